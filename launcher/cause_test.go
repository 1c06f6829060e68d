package launcher_test

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	"github.com/garnetworks/garnetworks/faker/impersonator"
)

// logLine returns the call's log line.
func (s *site) logLine(id string) map[string]any {
	s.t.Helper()
	var found map[string]any
	s.eventually("the log has a line of the call "+id, func() bool {
		for text := range strings.SplitSeq(s.logs.String(), "\n") {
			if !strings.Contains(text, `"call":"`+id+`"`) {
				continue
			}
			return json.Unmarshal([]byte(text), &found) == nil
		}
		return false
	})
	return found
}

// lastAttempt returns the last attempt in a call's line.
func lastAttempt(t *testing.T, line map[string]any) map[string]any {
	t.Helper()
	attempts, _ := line["attempts"].([]any)
	if len(attempts) == 0 {
		t.Fatalf("the line has no attempts: %v", line)
	}
	attempt, _ := attempts[len(attempts)-1].(map[string]any)
	return attempt
}

// Guards against failed calls whose cause can't be found in the logs by the call's
// identifier.
func TestLogLineShowsCauseOfFailure(t *testing.T) {
	cases := map[string]struct {
		target string
		inject func(*site)
		check  func(*testing.T, map[string]any)
	}{
		"refused, since no group serves": {
			target: streamURL,
			inject: func(*site) {},
			check: func(t *testing.T, line map[string]any) {
				if line["kind"] != "no-serving-group" || line["outcome"] != "not-run" || line["groups"] != 0.0 {
					t.Errorf("unexpected log line: %v", line)
				}
			},
		},
		"not repeatable, and its answer was lost": {
			target: onceURL,
			inject: func(s *site) {
				for _, b := range s.services {
					b.UpdateFaults(func(f *impersonator.BackendFaults) { f.LoseResponses = 1 })
				}
			},
			check: func(t *testing.T, line map[string]any) {
				attempt := lastAttempt(t, line)
				if line["kind"] != "backend-lost" || line["outcome"] != "unknown" || attempt["phase"] != "wait" || attempt["instance"] == "" {
					t.Errorf("unexpected log line: %v", line)
				}
			},
		},
		"refused by full servers": {
			target: onceURL,
			inject: func(s *site) {
				for _, b := range s.services {
					b.UpdateFaults(func(f *impersonator.BackendFaults) { f.Full = true })
				}
			},
			check: func(t *testing.T, line map[string]any) {
				if attempt := lastAttempt(t, line); line["outcome"] != "not-run" || attempt["phase"] != "refused" {
					t.Errorf("unexpected log line: %v", line)
				}
			},
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			// Two engines are too few for a group of three.
			s := newSite(t, 2)
			s.awaitSuccess(onceURL)
			c.inject(s)
			id := newID()
			s.call(http.MethodPost, c.target, func(r *http.Request) { r.Header.Set("Garnetworks-Request-Id", id) })
			c.check(t, s.logLine(id))
		})
	}
}

// Guards against a stream that was cut off with its engine having a log line without the
// group, the cause and the number of events sent.
func TestLogLineOfABrokenStream(t *testing.T) {
	s := newSite(t, 3)
	s.awaitSuccess(streamURL)
	for _, e := range s.engines {
		e.UpdateFaults(func(f *impersonator.BackendFaults) { f.BreakAfter = 2 })
	}
	id := newID()
	a := s.call(http.MethodPost, streamURL, func(r *http.Request) { r.Header.Set("Garnetworks-Request-Id", id) })
	if a.err == nil {
		t.Errorf("the client got an answer that looks complete: %+v", a)
	}
	line := s.logLine(id)
	attempts, _ := line["attempts"].([]any)
	if len(attempts) == 0 {
		t.Fatalf("the line has no attempts: %v", line)
	}
	first, _ := attempts[0].(map[string]any)
	if line["kind"] != "stream-broken" || first["events"] != 2.0 || first["group"] == "" || first["cause"] == "" {
		t.Errorf("unexpected log line: %v", line)
	}
}

// Guards against refusals whose lines lack the routing that was used, and its age.
func TestRefusalLogsItsRouting(t *testing.T) {
	s := newSite(t, 0)
	s.awaitSuccess(onceURL)
	cases := map[string]struct {
		change func(*http.Request)
		kind   string
	}{
		"unknown route": {func(r *http.Request) { r.Host = "b.example" }, "unknown-service"},
		"unknown key":   {func(r *http.Request) { r.Header.Set("Authorization", "Token other") }, "unauthenticated"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			id := newID()
			s.call(http.MethodPost, onceURL, func(r *http.Request) {
				r.Header.Set("Garnetworks-Request-Id", id)
				c.change(r)
			})
			line := s.logLine(id)
			if _, hasAge := line["routing-age-ms"].(float64); line["kind"] != c.kind || line["routing"] != 1.0 || !hasAge {
				t.Errorf("unexpected log line: %v", line)
			}
		})
	}
}
