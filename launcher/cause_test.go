package launcher_test

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	"github.com/garnetworks/garnetworks/faker/impersonator"
)

// line returns the one line of the log that names the call.
func (s *site) line(id string) map[string]any {
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

// Story: a user complains of one call and gives its identifier. The engineer on
// call has the logs only, and must find what decided it.
func TestCauseIsFoundFromTheIdentifier(t *testing.T) {
	cases := map[string]struct {
		target string
		strike func(*site)
		check  func(*testing.T, map[string]any)
	}{
		"refused, since no group serves": {
			target: streamURL,
			strike: func(*site) {},
			check: func(t *testing.T, line map[string]any) {
				if line["kind"] != "no-serving-group" || line["outcome"] != "not-run" || line["groups"] != 0.0 {
					t.Errorf("the line tells %v", line)
				}
			},
		},
		"not repeatable, and its answer was lost": {
			target: onceURL,
			strike: func(s *site) {
				for _, b := range s.services {
					b.UpdateFaults(func(f *impersonator.BackendFaults) { f.LoseResponses = 1 })
				}
			},
			check: func(t *testing.T, line map[string]any) {
				attempt := lastAttempt(t, line)
				if line["kind"] != "backend-lost" || line["outcome"] != "unknown" || attempt["phase"] != "wait" || attempt["instance"] == "" {
					t.Errorf("the line tells %v", line)
				}
			},
		},
		"refused by full servers": {
			target: onceURL,
			strike: func(s *site) {
				for _, b := range s.services {
					b.UpdateFaults(func(f *impersonator.BackendFaults) { f.Full = true })
				}
			},
			check: func(t *testing.T, line map[string]any) {
				if attempt := lastAttempt(t, line); line["outcome"] != "not-run" || attempt["phase"] != "refused" {
					t.Errorf("the line tells %v", line)
				}
			},
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			// Two engines are too few for a group of three.
			s := open(t, 2)
			s.serve(onceURL)
			c.strike(s)
			id := newID()
			s.call(http.MethodPost, c.target, func(r *http.Request) { r.Header.Set("Garnetworks-Request-Id", id) })
			c.check(t, s.line(id))
		})
	}
}

// Story: a stream was cut off in the middle with its engine, and no other group
// could go on. The call's line names the group and the instance, and how far the
// answer had come.
func TestCauseOfAStreamThatBrokeOff(t *testing.T) {
	s := open(t, 3)
	s.serve(streamURL)
	for _, e := range s.engines {
		e.UpdateFaults(func(f *impersonator.BackendFaults) { f.BreakAfter = 2 })
	}
	id := newID()
	a := s.call(http.MethodPost, streamURL, func(r *http.Request) { r.Header.Set("Garnetworks-Request-Id", id) })
	if a.err == nil {
		t.Errorf("the client got an answer that looks whole: %+v", a)
	}
	line := s.line(id)
	attempts, _ := line["attempts"].([]any)
	if len(attempts) == 0 {
		t.Fatalf("the line has no attempts: %v", line)
	}
	first, _ := attempts[0].(map[string]any)
	if line["kind"] != "stream-broken" || first["events"] != 2.0 || first["group"] == "" || first["cause"] == "" {
		t.Errorf("the line tells %v", line)
	}
}

// Guards against refusals whose lines lack the routing that decided them, and its age.
func TestRefusalTellsItsRouting(t *testing.T) {
	s := open(t, 0)
	s.serve(onceURL)
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
			line := s.line(id)
			if _, told := line["routing-age-ms"].(float64); line["kind"] != c.kind || line["routing"] != 1.0 || !told {
				t.Errorf("the line tells %v", line)
			}
		})
	}
}
