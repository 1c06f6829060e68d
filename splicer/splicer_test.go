package splicer_test

import (
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/garnetworks/garnetworks/splicer"
)

func event(n int) string { return fmt.Sprintf("id: %d\ndata: piece %d\n\n", n, n) }

// Guards against partial, duplicate and missing events when an attempt breaks and another
// one resumes the stream.
func TestAttemptsAreJoined(t *testing.T) {
	cases := map[string]struct {
		attempts []string
		want     string
		gap      bool
	}{
		"one attempt":                            {attempts: []string{event(1) + event(2)}, want: event(1) + event(2)},
		"broken between two events":              {attempts: []string{event(1), event(2)}, want: event(1) + event(2)},
		"broken within an event":                 {attempts: []string{event(1) + "id: 2\nda", event(2) + event(3)}, want: event(1) + event(2) + event(3)},
		"second attempt starts over":             {attempts: []string{event(1) + event(2), event(1) + event(2) + event(3)}, want: event(1) + event(2) + event(3)},
		"second attempt skips an event":          {attempts: []string{event(1), event(3)}, want: event(1), gap: true},
		"no identifiers":                         {attempts: []string{"data: a\n\ndata: b\n\n"}, want: "data: a\n\ndata: b\n\n"},
		"first attempt starts at a later number": {attempts: []string{event(13) + event(14)}, want: event(13) + event(14)},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var s splicer.Splicer
			var out []byte
			var err error
			for _, attempt := range c.attempts {
				s.Resume()
				out, err = s.Feed(out, []byte(attempt))
			}
			if string(out) != c.want || (err != nil) != c.gap {
				t.Errorf("got %q and %v, want %q", out, err, c.want)
			}
		})
	}
}

// Guards against results that depend on how the bytes are chunked or where attempts break.
func TestAnyChunkingGivesTheSameEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := rapid.IntRange(1, 12).Draw(t, "events")
		var s splicer.Splicer
		var out []byte
		for s.Events < total {
			s.Resume()
			var run strings.Builder
			for n := s.Events + 1; n <= total; n++ {
				run.WriteString(event(n))
			}
			text := run.String()
			for end := rapid.IntRange(1, len(text)).Draw(t, "break"); end > 0; {
				n := rapid.IntRange(1, end).Draw(t, "piece")
				var err error
				if out, err = s.Feed(out, []byte(text[:n])); err != nil {
					t.Fatal(err)
				}
				text, end = text[n:], end-n
			}
		}
		var want strings.Builder
		for n := 1; n <= total; n++ {
			want.WriteString(event(n))
		}
		if string(out) != want.String() {
			t.Fatalf("got %q", out)
		}
	})
}
