// Package parser parses manifests, rejects those that cannot work, and lists the
// changes between two manifests.
//
// The rules:
//
//	P1  All problems of a text are reported at once, each with line and column,
//	    in the order of the text.
//	P2  The schema is given by the yaml tags of garnetworks.Manifest: unknown and
//	    duplicate keys, missing keys that are not marked omitempty, and values of
//	    another type are rejected.
//	P3  A text ends with the document end marker "..." on a line of its own. A
//	    text truncated between two list entries is still valid YAML, and would
//	    silently drop the remaining models or workspaces.
//	P4  A format above garnetworks.ManifestFormat comes from a newer program;
//	    no other problem of such a text is reported, because this program cannot
//	    check it.
//	P5  Anchors, aliases, tags, merge keys, explicit keys, directives and more
//	    than one document are rejected, and nesting is bounded, so that the work
//	    and memory for a text are bounded by its length.
//	P6  Every reference names something that the manifest defines, names are
//	    unique and in kebab case, and numbers are within their limits.
//	P7  What can never work is rejected: a power cap below one group of the top
//	    priority or of any model with groups, a group larger than every fabric
//	    domain, a call rule shadowed by an earlier one, a key hash of two
//	    workspaces.
//	P8  The accepted manifest fits into one object of the object API.
package parser

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/garnetworks/garnetworks"
)

const (
	// MaxTextBytes bounds the text of a manifest.
	MaxTextBytes = garnetworks.MaxObjectBytes
	// MaxManifestBytes bounds a manifest as stored; the rest of the object is
	// reserved for the enclosing record.
	MaxManifestBytes = garnetworks.MaxObjectBytes - 64<<10
	// maxProblems bounds the number of problems reported.
	maxProblems = 100
)

// Problem is one error in a manifest.
type Problem struct {
	// File is the name given to Parse.
	File string `json:"file,omitempty"`
	// Line and Column start at 1; both are 0 if the manifest was not parsed from a
	// text.
	Line   int `json:"line,omitempty"`
	Column int `json:"column,omitempty"`
	// Path locates the value, such as models[2].group-size; it is empty for the
	// whole text.
	Path string `json:"path,omitempty"`
	// Text says what is wrong and what is allowed.
	Text string `json:"text"`
}

// String returns "file:line:column: path: text" without the empty parts.
func (p Problem) String() string {
	var b strings.Builder
	if p.File != "" {
		b.WriteString(p.File + ":")
	}
	if p.Line > 0 {
		fmt.Fprintf(&b, "%d:%d:", p.Line, p.Column)
	}
	if b.Len() > 0 {
		b.WriteByte(' ')
	}
	if p.Path != "" {
		b.WriteString(p.Path + ": ")
	}
	b.WriteString(p.Text)
	return b.String()
}

// Problems are all problems of a manifest, sorted by line, column and path.
type Problems []Problem

// Error returns the problems, one per line.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}

// Err returns an error of kind garnetworks.KindInvalidManifest that describes the
// problems, or nil if there are none.
func (p Problems) Err() error {
	if len(p) == 0 {
		return nil
	}
	detail := p[0].String()
	if len(p) > 1 {
		detail = fmt.Sprintf("%s (and %d more)", detail, len(p)-1)
	}
	return &garnetworks.Error{Kind: garnetworks.KindInvalidManifest, Detail: detail, Cause: p}
}

// Parse returns the manifest in data, or its problems with name as their File.
func Parse(name string, data []byte) (*garnetworks.Manifest, Problems) {
	return ParseForFleet(name, data, nil)
}

// ParseForFleet is Parse with the site's instances: it also rejects groups that no
// fabric domain can hold. An empty fleet means that the instances are unknown.
func ParseForFleet(name string, data []byte, fleet []garnetworks.ListedInstance) (*garnetworks.Manifest, Problems) {
	manifest := &garnetworks.Manifest{}
	d := &diagnostics{file: name, positions: map[string]position{}, unreadable: map[string]bool{}}
	if root, ok := scan(d, data); ok {
		decodeManifest(d, root, manifest)
	}
	if !d.newerFormat {
		check(d, manifest, fleet)
	}
	problems := d.sorted()
	if len(problems) > 0 {
		return nil, problems
	}
	return manifest, nil
}

// Check returns the problems of a manifest that was not parsed from a text, such as one
// received from another node.
func Check(manifest *garnetworks.Manifest) Problems {
	d := &diagnostics{positions: map[string]position{}, unreadable: map[string]bool{}}
	if manifest.Format > garnetworks.ManifestFormat {
		d.reportNewerFormat(manifest.Format)
		return d.sorted()
	}
	check(d, manifest, nil)
	return d.sorted()
}

// Encode returns the stored and transmitted form of the manifest.
func Encode(manifest *garnetworks.Manifest) ([]byte, error) {
	body, err := json.Marshal(manifest)
	return body, garnetworks.WrapError(garnetworks.KindInternal, err, "a manifest can't be encoded")
}

// Decode returns the manifest that Encode encoded. Unknown fields are rejected, not
// ignored: they come from a newer program, and a node that ignored them would act on
// a different manifest.
func Decode(body []byte) (*garnetworks.Manifest, error) {
	var head struct {
		Format int `json:"format"`
	}
	if err := json.Unmarshal(body, &head); err != nil {
		return nil, garnetworks.WrapError(garnetworks.KindInvalidManifest, err, "the stored manifest is damaged")
	}
	if head.Format > garnetworks.ManifestFormat {
		return nil, garnetworks.Errorf(garnetworks.KindInvalidManifest, "%s", newerFormatText(head.Format))
	}
	manifest := &garnetworks.Manifest{}
	decoder := json.NewDecoder(strings.NewReader(string(body)))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(manifest); err != nil {
		return nil, garnetworks.WrapError(garnetworks.KindInvalidManifest, err, "the stored manifest comes from another program version")
	}
	return manifest, nil
}

func newerFormatText(format int) string {
	return fmt.Sprintf("the manifest has format %d and comes from a newer program; this one reads up to format %d",
		format, garnetworks.ManifestFormat)
}

// position is a line and column of the text, both starting at 1.
type position struct{ line, column int }

// diagnostics collects the problems of one manifest and the positions of its values.
type diagnostics struct {
	file string
	// positions holds the position of each value that was decoded, by path.
	positions map[string]position
	// unreadable holds the paths of values that could not be decoded; no further
	// problems are reported for them.
	unreadable map[string]bool
	problems   Problems
	// newerFormat is set if the text comes from a newer program (rule P4).
	newerFormat bool
}

// add adds a problem at a position.
func (d *diagnostics) add(at position, path, format string, args ...any) {
	d.problems = append(d.problems, Problem{
		File: d.file, Line: at.line, Column: at.column, Path: path, Text: fmt.Sprintf(format, args...),
	})
}

// reportUnreadable adds a problem and marks the value at path as unreadable.
func (d *diagnostics) reportUnreadable(at position, path, format string, args ...any) {
	d.unreadable[path] = true
	d.add(at, path, format, args...)
}

// report adds a problem with the value at path, unless that value or one that encloses
// it is unreadable and thus already reported.
func (d *diagnostics) report(path, format string, args ...any) {
	if d.isUnreadable(path) {
		return
	}
	d.add(d.positionOf(path), path, format, args...)
}

// reportNewerFormat replaces all problems by that of the newer format (rule P4).
func (d *diagnostics) reportNewerFormat(format int) {
	d.newerFormat = true
	d.problems = nil
	d.add(d.positionOf("format"), "format", "%s", newerFormatText(format))
}

// isUnreadable reports whether the value at path or one that encloses it is unreadable.
func (d *diagnostics) isUnreadable(path string) bool {
	for ; path != ""; path = parent(path) {
		if d.unreadable[path] {
			return true
		}
	}
	return d.unreadable[""]
}

// isPartlyUnreadable reports whether the value at path, one that encloses it or one
// within it is unreadable.
func (d *diagnostics) isPartlyUnreadable(path string) bool {
	if d.isUnreadable(path) {
		return true
	}
	for b := range d.unreadable {
		if strings.HasPrefix(b, path+".") || strings.HasPrefix(b, path+"[") {
			return true
		}
	}
	return false
}

// hasUnreadableNames reports whether the name of any entry of a list is unreadable, so
// that a reference to an unknown name may mean that entry.
func (d *diagnostics) hasUnreadableNames(list string) bool {
	if d.isUnreadable(list) {
		return true
	}
	for b := range d.unreadable {
		entry, within := strings.CutPrefix(b, list+"[")
		if _, rest, _ := strings.Cut(entry, "]"); within && (rest == "" || rest == ".name") {
			return true
		}
	}
	return false
}

// positionOf returns the position of the value at path, or of the nearest enclosing
// value.
func (d *diagnostics) positionOf(path string) position {
	for ; path != ""; path = parent(path) {
		if at, ok := d.positions[path]; ok {
			return at
		}
	}
	return d.positions[""]
}

// parent returns the path of the enclosing value.
func parent(path string) string {
	i := strings.LastIndexAny(path, ".[")
	if i < 0 {
		return ""
	}
	return path[:i]
}

func (d *diagnostics) sorted() Problems {
	slices.SortStableFunc(d.problems, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column), cmp.Compare(a.Path, b.Path), cmp.Compare(a.Text, b.Text))
	})
	problems := slices.Compact(d.problems)
	if more := len(problems) - maxProblems; more > 0 {
		last := problems[maxProblems-1]
		problems = append(problems[:maxProblems:maxProblems], Problem{
			File: d.file, Line: last.Line, Column: last.Column, Text: fmt.Sprintf("%d more problems are not shown", more),
		})
	}
	return problems
}
