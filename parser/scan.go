package parser

import (
	"bytes"
	"fmt"
	"unicode/utf8"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/lexer"
	yamlparser "github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"
	"github.com/pkg/errors"
)

const (
	// endMarker is the last line of a complete text (rule P3).
	endMarker = "..."
	// maxNesting bounds the nesting of flow collections and of sequences on one
	// line; the schema needs six levels.
	maxNesting = 16
	// maxKeys bounds the keys of one mapping; the schema has ten at most.
	maxKeys = 64
	// maxIndent bounds a line's indentation, and so the nesting of blocks.
	maxIndent = 64
)

// forbiddenTokens are the YAML features that manifests may not use (rule P5).
var forbiddenTokens = map[token.Type]string{
	token.AnchorType:         "anchors are not allowed in a manifest",
	token.AliasType:          "aliases are not allowed in a manifest",
	token.TagType:            "tags are not allowed in a manifest",
	token.MergeKeyType:       "merge keys are not allowed in a manifest",
	token.MappingKeyType:     "explicit keys (?) are not allowed in a manifest",
	token.DirectiveType:      "directives are not allowed in a manifest",
	token.LiteralType:        "text blocks are not allowed in a manifest",
	token.FoldedType:         "text blocks are not allowed in a manifest",
	token.DocumentHeaderType: "the document start marker is not allowed in a manifest",
}

// scan returns the root node of the text if its syntax is valid.
func scan(d *diagnostics, data []byte) (ast.Node, bool) {
	body, ok := checkText(d, data)
	if !ok {
		d.unreadable[""] = true
		return nil, false
	}
	root, ok := parseNodes(d, body)
	if !ok {
		d.unreadable[""] = true
	}
	return root, ok
}

// checkText checks size, encoding, indentation and end marker, and returns the text
// before the marker.
func checkText(d *diagnostics, data []byte) ([]byte, bool) {
	start := position{1, 1}
	if len(data) > MaxTextBytes {
		d.add(start, "", "the text has %d bytes; at most %d are allowed", len(data), MaxTextBytes)
		return nil, false
	}
	if !utf8.Valid(data) || bytes.IndexByte(data, 0) >= 0 {
		d.add(start, "", "the text is not UTF-8 or holds a zero byte")
		return nil, false
	}
	data = bytes.ReplaceAll(data, []byte("\r\n"), []byte("\n"))
	lines := bytes.Split(data, []byte("\n"))
	for i, line := range lines {
		if indent := len(line) - len(bytes.TrimLeft(line, " \t")); indent > maxIndent && indent < len(line) {
			d.add(position{i + 1, maxIndent + 1}, "", "the line is indented by more than %d", maxIndent)
			return nil, false
		}
	}
	last := len(lines) - 1
	for last > 0 && len(bytes.TrimSpace(lines[last])) == 0 {
		last--
	}
	if string(bytes.TrimRight(lines[last], " \t")) != endMarker {
		// Rule P3.
		d.add(position{last + 1, len(lines[last]) + 1}, "",
			"the text does not end with the line %q; it may have been cut off while it was written", endMarker)
		return nil, false
	}
	return bytes.Join(lines[:last], []byte("\n")), true
}

// parseNodes parses the text into YAML nodes.
func parseNodes(d *diagnostics, body []byte) (root ast.Node, ok bool) {
	// The YAML library may panic on malformed input; an operator's text must not
	// crash the node.
	defer func() {
		if r := recover(); r != nil {
			d.add(position{1, 1}, "", "the text is not YAML")
			root, ok = nil, false
		}
	}()
	if !checkTokens(d, lexer.Tokenize(string(body))) {
		return nil, false
	}
	file, err := yamlparser.ParseBytes(body, 0, yamlparser.AllowDuplicateMapKey())
	if err != nil {
		addSyntaxError(d, err)
		return nil, false
	}
	var roots []ast.Node
	for _, doc := range file.Docs {
		if doc.Body != nil {
			roots = append(roots, doc.Body)
		}
	}
	switch len(roots) {
	case 0:
		d.add(position{1, 1}, "", "the text holds no manifest")
		return nil, false
	case 1:
		return roots[0], true
	}
	d.add(nodePosition(roots[1]), "", "the text holds more than one document")
	return nil, false
}

// checkTokens reports the tokens that rule P5 forbids, before any nodes are built.
func checkTokens(d *diagnostics, tokens token.Tokens) bool {
	ok := true
	bounds := &bounds{}
	for _, t := range tokens {
		at := position{t.Position.Line, t.Position.Column}
		if text, forbidden := forbiddenTokens[t.Type]; forbidden {
			d.add(at, "", "%s", text)
			ok = false
		}
		if t.Type == token.DocumentEndType {
			d.add(at, "", "the end marker %q stands before the end of the text", endMarker)
			return false
		}
		if text := bounds.exceeded(t); text != "" {
			d.add(at, "", "%s", text)
			return false
		}
	}
	return ok
}

// bounds tracks the structure of a text token by token. The YAML library's work grows
// with the square of the keys of one mapping and with the nesting depth, so both are
// limited before it parses the text.
type bounds struct {
	// line and entries count the sequence entries that start on one line.
	line, entries int
	// open are the collections that enclose the token, the innermost last.
	open []mapping
	// flow is the number of flow collections that enclose the token.
	flow int
}

// mapping counts the keys of one mapping.
type mapping struct {
	// column is the column of a block mapping's keys; 0 marks a flow mapping or
	// sequence.
	column int
	keys   int
	// line is the line on which a flow collection starts.
	line int
}

// exceeded processes the next token and describes the limit it exceeds, or returns "".
func (b *bounds) exceeded(t *token.Token) string {
	if t.Position.Line != b.line {
		b.line, b.entries = t.Position.Line, 0
	}
	switch t.Type {
	case token.SequenceEntryType:
		b.entries++
		b.closeBlocks(t.Position.Column)
	case token.SequenceStartType, token.MappingStartType:
		b.flow++
		b.open = append(b.open, mapping{line: t.Position.Line})
	case token.SequenceEndType, token.MappingEndType:
		b.flow--
		b.closeFlow()
	case token.MappingValueType:
		b.key(t)
	}
	if b.flow > maxNesting || b.entries > maxNesting || len(b.open) > 2*maxNesting {
		return fmt.Sprintf("the text is nested more than %d deep", maxNesting)
	}
	if len(b.open) == 0 || b.open[len(b.open)-1].keys <= maxKeys {
		return ""
	}
	if last := b.open[len(b.open)-1]; last.column == 0 {
		return fmt.Sprintf("the bracket on line %d holds more than %d keys; is it closed?", last.line, maxKeys)
	}
	return fmt.Sprintf("the mapping has more than %d keys", maxKeys)
}

// closeBlocks closes the block mappings that start at or after a column.
func (b *bounds) closeBlocks(column int) {
	for n := len(b.open); n > 0 && b.open[n-1].column >= column; n = len(b.open) {
		b.open = b.open[:n-1]
	}
}

// closeFlow closes the innermost flow collection.
func (b *bounds) closeFlow() {
	for n := len(b.open); n > 0; n = len(b.open) {
		last := b.open[n-1]
		b.open = b.open[:n-1]
		if last.column == 0 {
			return
		}
	}
}

// key counts a key, which is the token before the colon.
func (b *bounds) key(colon *token.Token) {
	column := colon.Position.Column
	if colon.Prev != nil {
		column = colon.Prev.Position.Column
	}
	if b.flow > 0 {
		column = 0
	} else {
		b.closeBlocks(column + 1)
	}
	if n := len(b.open); n > 0 && b.open[n-1].column == column {
		b.open[n-1].keys++
		return
	}
	b.open = append(b.open, mapping{column: column, keys: 1})
}

// addSyntaxError reports the YAML library's error at the token it names.
func addSyntaxError(d *diagnostics, err error) {
	var e yaml.Error
	if !errors.As(err, &e) {
		d.add(position{1, 1}, "", "the text is not YAML: %v", err)
		return
	}
	at := position{1, 1}
	if t := e.GetToken(); t != nil {
		at = position{t.Position.Line, t.Position.Column}
	}
	d.add(at, "", "the text is not YAML: %s", e.GetMessage())
}

// nodePosition returns the position of a node, or of its first key if it is a block
// mapping.
func nodePosition(n ast.Node) position {
	if n == nil {
		return position{1, 1}
	}
	if s, ok := n.(*ast.MappingNode); ok && len(s.Values) > 0 && !s.IsFlowStyle {
		n = s.Values[0].Key
	}
	if s, ok := n.(*ast.MappingValueNode); ok {
		n = s.Key
	}
	t := n.GetToken()
	if t == nil {
		return position{1, 1}
	}
	return position{t.Position.Line, t.Position.Column}
}
