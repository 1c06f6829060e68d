package parser

import (
	"fmt"
	"math"
	"reflect"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/token"

	"github.com/garnetworks/garnetworks"
)

var durationType = reflect.TypeFor[time.Duration]()

// field is a key of the schema (rule P2).
type field struct {
	name     string
	index    int
	optional bool
}

// fieldsOf returns the schema of a struct, in the order of its fields.
func fieldsOf(t reflect.Type) []field {
	fields := make([]field, 0, t.NumField())
	for i := range t.NumField() {
		name, options, _ := strings.Cut(t.Field(i).Tag.Get("yaml"), ",")
		fields = append(fields, field{name: name, index: i, optional: options == "omitempty"})
	}
	return fields
}

// decodeManifest decodes the root node into the manifest. It checks the format first,
// because a newer format cannot be checked by this program (rule P4).
func decodeManifest(d *diagnostics, root ast.Node, manifest *garnetworks.Manifest) {
	for _, entry := range entriesOf(root) {
		if keyOf(entry) != "format" {
			continue
		}
		d.positions["format"] = nodePosition(entry.Value)
		if n, ok := entry.Value.(*ast.IntegerNode); ok {
			if format, ok := integer(n); ok && format > garnetworks.ManifestFormat && format < math.MaxInt32 {
				d.reportNewerFormat(int(format))
				return
			}
		}
	}
	decode(d, root, reflect.ValueOf(manifest).Elem(), "")
}

// decode decodes the node into v and reports values that do not match the schema.
func decode(d *diagnostics, n ast.Node, v reflect.Value, path string) {
	at := nodePosition(n)
	d.positions[path] = at
	if n == nil || n.Type() == ast.NullType {
		d.reportUnreadable(at, path, "the value is missing")
		return
	}
	switch {
	case v.Type() == durationType:
		decodeDuration(d, n, v, path)
	case v.Kind() == reflect.Struct:
		decodeStruct(d, n, v, path)
	case v.Kind() == reflect.Slice:
		decodeSlice(d, n, v, path)
	default:
		decodeScalar(d, n, v, path)
	}
}

func decodeStruct(d *diagnostics, n ast.Node, v reflect.Value, path string) {
	at := nodePosition(n)
	entries := entriesOf(n)
	if entries == nil {
		d.reportUnreadable(at, path, "must be a mapping, not %s", describeNode(n))
		return
	}
	fields := fieldsOf(v.Type())
	seen := map[string]position{}
	for _, entry := range entries {
		decodeEntry(d, entry, v, path, fields, seen)
	}
	for _, f := range fields {
		if _, given := seen[f.name]; !given && !f.optional {
			d.reportUnreadable(at, join(path, f.name), "is missing")
		}
	}
}

func decodeEntry(d *diagnostics, entry *ast.MappingValueNode, v reflect.Value, path string, fields []field, seen map[string]position) {
	key := keyOf(entry)
	at := nodePosition(entry)
	if first, duplicate := seen[key]; duplicate {
		d.add(at, join(path, key), "the key stands twice; first on line %d", first.line)
		return
	}
	seen[key] = at
	for _, f := range fields {
		if f.name == key {
			decode(d, entry.Value, v.Field(f.index), join(path, key))
			return
		}
	}
	d.add(at, join(path, key), "unknown key; known here: %s", fieldNames(fields))
}

func decodeSlice(d *diagnostics, n ast.Node, v reflect.Value, path string) {
	sequence, ok := n.(*ast.SequenceNode)
	if !ok {
		d.reportUnreadable(nodePosition(n), path, "must be a list, not %s", describeNode(n))
		return
	}
	list := reflect.MakeSlice(v.Type(), len(sequence.Values), len(sequence.Values))
	for i, value := range sequence.Values {
		decode(d, value, list.Index(i), fmt.Sprintf("%s[%d]", path, i))
	}
	v.Set(list)
}

func decodeDuration(d *diagnostics, n ast.Node, v reflect.Value, path string) {
	s, ok := n.(*ast.StringNode)
	if !ok {
		d.reportUnreadable(nodePosition(n), path, "must be a duration with its unit, such as 30s, not %s", describeNode(n))
		return
	}
	duration, err := time.ParseDuration(s.Value)
	if err != nil {
		d.reportUnreadable(nodePosition(n), path, "must be a duration with its unit, such as 30s, not %q", shorten(s.Value))
		return
	}
	v.SetInt(int64(duration))
}

func decodeScalar(d *diagnostics, n ast.Node, v reflect.Value, path string) {
	switch v.Kind() {
	case reflect.String:
		if s, ok := n.(*ast.StringNode); ok {
			v.SetString(s.Value)
			return
		}
		d.reportUnreadable(nodePosition(n), path, "must be text, not %s; put it in quotes", describeNode(n))
	case reflect.Bool:
		if b, ok := n.(*ast.BoolNode); ok {
			v.SetBool(b.Value)
			return
		}
		d.reportUnreadable(nodePosition(n), path, "must be true or false, not %s", describeNode(n))
	case reflect.Float64:
		if f, ok := float(n); ok {
			v.SetFloat(f)
			return
		}
		d.reportUnreadable(nodePosition(n), path, "must be a number, not %s", describeNode(n))
	default:
		i, ok := integer(n)
		if !ok || v.OverflowInt(i) {
			d.reportUnreadable(nodePosition(n), path, "must be a whole number, not %s", describeNode(n))
			return
		}
		v.SetInt(i)
	}
}

// integer returns the value of an integer node that fits into an int64.
func integer(n ast.Node) (int64, bool) {
	i, ok := n.(*ast.IntegerNode)
	if !ok {
		return 0, false
	}
	switch value := i.Value.(type) {
	case int64:
		return value, true
	case uint64:
		return int64(value), value <= math.MaxInt64
	}
	return 0, false
}

// exponential matches numbers of YAML's core schema that the YAML library returns as
// strings, such as 2e+06.
var exponential = regexp.MustCompile(`^[-+]?[0-9]+[eE][-+]?[0-9]+$`)

// float returns the value of a node that is a finite number.
func float(n ast.Node) (float64, bool) {
	if s, ok := n.(*ast.StringNode); ok && s.Token.Type == token.StringType && exponential.MatchString(s.Value) {
		f, err := strconv.ParseFloat(s.Value, 64)
		return f, err == nil
	}
	if f, ok := n.(*ast.FloatNode); ok {
		return f.Value, !math.IsInf(f.Value, 0) && !math.IsNaN(f.Value)
	}
	i, ok := integer(n)
	return float64(i), ok
}

// entriesOf returns the entries of a mapping, or nil if n is not a mapping.
func entriesOf(n ast.Node) []*ast.MappingValueNode {
	switch m := n.(type) {
	case *ast.MappingNode:
		if m.Values == nil {
			return []*ast.MappingValueNode{}
		}
		return m.Values
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{m}
	}
	return nil
}

func keyOf(entry *ast.MappingValueNode) string {
	if entry.Key == nil || entry.Key.GetToken() == nil {
		return ""
	}
	return entry.Key.GetToken().Value
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

func fieldNames(fields []field) string {
	list := make([]string, len(fields))
	for i, f := range fields {
		list[i] = f.name
	}
	return strings.Join(list, ", ")
}

// describeNode describes a node's kind or value for an error message.
func describeNode(n ast.Node) string {
	switch s := n.(type) {
	case *ast.MappingNode, *ast.MappingValueNode:
		return "a mapping"
	case *ast.SequenceNode:
		return "a list"
	case *ast.StringNode:
		return fmt.Sprintf("the text %q", shorten(s.Value))
	}
	if t := n.GetToken(); t != nil {
		return shorten(t.Value)
	}
	return "something else"
}

// shorten limits the length of values quoted in problems.
func shorten(s string) string {
	const maxLength = 40
	runes := []rune(s)
	if len(runes) <= maxLength {
		return s
	}
	return string(runes[:maxLength]) + "…"
}
