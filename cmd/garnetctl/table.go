package main

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/garnetworks/garnetworks"
)

// table prints rows in aligned columns.
type table struct {
	rows [][]string
}

// newTable returns a table with the given header in upper case, or none if it is empty.
func newTable(header ...string) *table {
	t := &table{}
	if len(header) > 0 {
		t.rows = append(t.rows, upper(header))
	}
	return t
}

func upper(header []string) []string {
	row := make([]string, len(header))
	for i, h := range header {
		row[i] = strings.ToUpper(h)
	}
	return row
}

func (t *table) row(cells ...string) { t.rows = append(t.rows, cells) }

// print writes the rows in aligned columns.
func (t *table) print(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, row := range t.rows {
		cells := make([]string, len(row))
		for i, cell := range row {
			cells[i] = sanitizeCell(cell)
		}
		_, _ = fmt.Fprintln(tw, strings.TrimRight(strings.Join(cells, "\t"), "\t"))
	}
	return tw.Flush()
}

// sanitizeCell replaces control characters, so that texts from nodes and manifests can't
// control the terminal or break the columns. An empty cell becomes a dash.
func sanitizeCell(cell string) string {
	if cell == "" {
		return "-"
	}
	return strings.Map(func(r rune) rune {
		if r < ' ' || r == 0x7f || (r >= 0x80 && r < 0xa0) {
			return ' '
		}
		return r
	}, cell)
}

// printJSON prints a value as indented JSON.
func (s *session) printJSON(value any) error {
	encoder := json.NewEncoder(s.stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// formatTime formats a time in UTC; the zero time is empty.
func formatTime(t time.Time) string {
	if t.IsZero() {
		return ""
	}
	return t.UTC().Format("2006-01-02 15:04:05.000")
}

func formatWatts(w garnetworks.Watts) string { return fmt.Sprintf("%d W", w) }

// formatDuration formats a duration, rounded to a tenth of a second.
func formatDuration(d time.Duration) string { return d.Round(100 * time.Millisecond).String() }

func formatGeneration(g garnetworks.Generation) string {
	if g == 0 {
		return ""
	}
	return fmt.Sprint(g)
}

// joinNames joins values with commas.
func joinNames[T ~string](values []T) string {
	words := make([]string, len(values))
	for i, v := range values {
		words[i] = string(v)
	}
	return strings.Join(words, ", ")
}

func yesNo(yes bool) string {
	if yes {
		return "yes"
	}
	return "no"
}

// pluralize returns a number with its noun, in the plural unless the number is 1.
func pluralize(n int, noun string) string {
	if n == 1 {
		return "1 " + noun
	}
	return fmt.Sprintf("%d %ss", n, noun)
}
