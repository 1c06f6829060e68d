// Package parser reads manifests, refuses the ones that can't work, and says
// what a new one changes.
//
// The rules:
//
//	P1  All problems of a text are told at once, each with line and column, in
//	    the text's order.
//	P2  The schema is the yaml tags of garnetworks.Manifest: a key that it does
//	    not hold, a key that stands twice, a missing one that is not marked
//	    omitempty, and a value of another type are refused.
//	P3  A text ends with the document end marker "..." on a line of its own. A
//	    text cut off between two list entries is still good YAML, and would
//	    silently drop the rest of the models or workspaces.
//	P4  A format above garnetworks.ManifestFormat comes from a newer program;
//	    nothing else is said of such a text, because this program can't judge
//	    it.
//	P5  Anchors, aliases, tags, merge keys, explicit keys, directives and more
//	    than one document are refused, and nesting is bounded, so that the work
//	    and memory for a text are bounded by its length.
//	P6  Every reference names something that the manifest holds, names are
//	    unique and in kebab case, and numbers are in their ranges.
//	P7  What can never work is refused: a power cap below one group of the top
//	    priority or of a model that is wanted at all, a group larger than every
//	    fabric domain, a call rule that an earlier one hides, a key hash of two
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
	// MaxTextBytes bounds a manifest's text.
	MaxTextBytes = garnetworks.MaxObjectBytes
	// MaxManifestBytes bounds a manifest as stored; the rest of the object is
	// left to the record around it.
	MaxManifestBytes = garnetworks.MaxObjectBytes - 64<<10
	// maxProblems bounds the list of problems.
	maxProblems = 100
)

// Problem is one thing that is wrong with a manifest.
type Problem struct {
	// File is the name that was given to Parse.
	File string `json:"file,omitempty"`
	// Line and Column count from 1; 0 if the manifest was not read from a text.
	Line   int `json:"line,omitempty"`
	Column int `json:"column,omitempty"`
	// Path is the value's place, such as models[2].group-size; empty for the
	// whole text.
	Path string `json:"path,omitempty"`
	// Text says what is wrong and what is allowed.
	Text string `json:"text"`
}

// String returns file:line:column: path: text, without the parts that are
// empty.
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

// Error joins the problems, one a line.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}

// Err returns an error of kind garnetworks.KindInvalidManifest that names the
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

// Parse returns the manifest in data, or its problems. The name stands in the
// problems' File.
func Parse(name string, data []byte) (*garnetworks.Manifest, Problems) {
	return ParseForFleet(name, data, nil)
}

// ParseForFleet is Parse with the instances that the site has: it refuses
// groups that no fabric domain can hold. No instances means that they are not
// known.
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

// Check returns the problems of a manifest that was not read from a text, such
// as one that another node sent.
func Check(manifest *garnetworks.Manifest) Problems {
	d := &diagnostics{positions: map[string]position{}, unreadable: map[string]bool{}}
	if manifest.Format > garnetworks.ManifestFormat {
		d.reportNewerFormat(manifest.Format)
		return d.sorted()
	}
	check(d, manifest, nil)
	return d.sorted()
}

// Encode returns the manifest as it is stored and sent.
func Encode(manifest *garnetworks.Manifest) ([]byte, error) {
	body, err := json.Marshal(manifest)
	return body, garnetworks.WrapError(garnetworks.KindInternal, err, "a manifest can't be encoded")
}

// Decode returns the manifest that Encode wrote. A field that this program does
// not know is refused, not dropped: it comes from a newer program, and to
// decide without it would be to decide by another manifest.
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

// position is a place in the text.
type position struct{ line, column int }

// places collects the problems of one manifest and knows where its values
// stand.
type diagnostics struct {
	file string
	// at holds the position of each value that was read, by path.
	positions map[string]position
	// bad holds the paths of values that could not be read; nothing further is
	// said of them.
	unreadable map[string]bool
	problems   Problems
	// newer is set if the text comes from a newer program (rule P4).
	newerFormat bool
}

// add records a problem at a position.
func (d *diagnostics) add(at position, path, format string, args ...any) {
	d.problems = append(d.problems, Problem{
		File: d.file, Line: at.line, Column: at.column, Path: path, Text: fmt.Sprintf(format, args...),
	})
}

// reject records that the value at path could not be read.
func (d *diagnostics) reportUnreadable(at position, path, format string, args ...any) {
	d.unreadable[path] = true
	d.add(at, path, format, args...)
}

// refuse records a problem with a value that was read. Values that were not
// read, and all within them, already have their problem.
func (d *diagnostics) report(path, format string, args ...any) {
	if d.isUnreadable(path) {
		return
	}
	d.add(d.positionOf(path), path, format, args...)
}

// refuseNewer drops all other problems (rule P4).
func (d *diagnostics) reportNewerFormat(format int) {
	d.newerFormat = true
	d.problems = nil
	d.add(d.positionOf("format"), "format", "%s", newerFormatText(format))
}

// unread reports whether the value at path or one around it could not be read.
func (d *diagnostics) isUnreadable(path string) bool {
	for ; path != ""; path = parent(path) {
		if d.unreadable[path] {
			return true
		}
	}
	return d.unreadable[""]
}

// partlyUnread reports whether the value at path, one around it or one within
// it could not be read.
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

// namesUnread reports whether the name of an entry of a list could not be read,
// so that a reference to an unknown name may mean that entry.
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

// find returns the position of the value at path, or of the nearest one around
// it.
func (d *diagnostics) positionOf(path string) position {
	for ; path != ""; path = parent(path) {
		if at, ok := d.positions[path]; ok {
			return at
		}
	}
	return d.positions[""]
}

// parent returns the path around path.
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
