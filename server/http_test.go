package server_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"regexp"
	"sort"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/server"
	"github.com/sebdah/goldie/v2"
)

// variableParts matches the parts of a response that differ between runs.
var variableParts = regexp.MustCompile(`[0-9a-z]{26}|"created":[0-9]+`)

// dumpResponse formats a response with sorted headers and trailers.
func dumpResponse(response *http.Response, body string) []byte {
	var lines []string
	for name, values := range response.Header {
		lines = append(lines, name+": "+strings.Join(values, ", "))
	}
	for name, values := range response.Trailer {
		lines = append(lines, "(trailer) "+name+": "+strings.Join(values, ", "))
	}
	sort.Strings(lines)
	return variableParts.ReplaceAll([]byte(response.Status+"\n"+strings.Join(lines, "\n")+"\n\n"+body+"\n"), []byte("*"))
}

// Clients parse these responses, and a changed byte can break them. Each kind of response is
// compared with a golden file.
func TestAnswers(t *testing.T) {
	const prompt = `"model":"brief","prompt":"p"`
	chat := `{"model":"brief:pumps","messages":[{"role":"system","content":"s"},{"role":"user","content":"p"}]`
	tests := map[string]struct {
		method, path, body string
		faults             []string
	}{
		"models":           {"GET", "/v1/models", "", nil},
		"completion":       {"POST", "/v1/completions", "{" + prompt + "}", nil},
		"completion-sse":   {"POST", "/v1/completions", "{" + prompt + `,"stream":true}`, nil},
		"chat":             {"POST", "/v1/chat/completions", chat + "}", nil},
		"chat-sse-usage":   {"POST", "/v1/chat/completions", chat + `,"stream":true,"stream_options":{"include_usage":true}}`, nil},
		"chat-sse-broken":  {"POST", "/v1/chat/completions", chat + `,"stream":true}`, []string{"break", "wait", "connect"}},
		"chat-lost":        {"POST", "/v1/chat/completions", chat + `}`, []string{"wait", "wait", "wait"}},
		"sse-refused":      {"POST", "/v1/completions", "{" + prompt + `,"stream":true}`, []string{"refused", "refused", "refused"}},
		"service":          {"POST", "/services/ledger/visits", "visit 7", nil},
		"key-missing":      {"POST", "/services/ledger/notes", "note", nil},
		"unsupported":      {"POST", "/v1/completions", "{" + prompt + `,"n":2}`, nil},
		"unknown-field":    {"POST", "/v1/completions", "{" + prompt + `,"colour":1}`, nil},
		"others-model":     {"POST", "/v1/completions", `{"model":"secret","prompt":"p"}`, nil},
		"others-service":   {"GET", "/services/hidden/x", "", nil},
		"dots":             {"GET", "/services/ledger/list/../visits", "", nil},
		"nothing-there":    {"GET", "/v2", "", nil},
		"wrong-method":     {"GET", "/v1/completions", "", nil},
		"too-many-tokens":  {"POST", "/v1/completions", "{" + prompt + `,"max_tokens":1000000}`, nil},
		"too-large-a-body": {"POST", "/v1/completions", strings.Repeat(" ", 2<<20), nil},
	}
	golden := goldie.New(t)
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := newEnvironment().newNode()
				n.engineFaults = tt.faults
				request := httptest.NewRequest(tt.method, tt.path, strings.NewReader(tt.body))
				request.Header.Set("Authorization", bearer)
				recorder := httptest.NewRecorder()
				n.server.Handler().ServeHTTP(recorder, request)
				golden.Assert(t, name, dumpResponse(recorder.Result(), recorder.Body.String()))
			})
		})
	}
}

// A request with a wrong or missing key, or another scheme, must get 401 on every path.
func TestUnauthenticated(t *testing.T) {
	n := newEnvironment().newNode()
	for _, authorization := range []string{"", "Bearer", "Bearer ", "Bearer key-of-delt", "Basic key-of-delta", "key-of-delta"} {
		for _, path := range []string{"/v1/models", "/services/ledger/x", "/services/hidden/x"} {
			request := httptest.NewRequest("GET", path, nil)
			request.Header.Set("Authorization", authorization)
			recorder := httptest.NewRecorder()
			n.server.Handler().ServeHTTP(recorder, request)
			header := recorder.Header()
			if recorder.Code != http.StatusUnauthorized || header.Get(server.HeaderOutcome) != string(garnetworks.OutcomeNotRun) {
				t.Errorf("%q at %s: %d %s", authorization, path, recorder.Code, recorder.Body)
			}
		}
	}
}

// rejectingAdmitter refuses all calls.
type rejectingAdmitter struct{}

func (rejectingAdmitter) Admit(context.Context, garnetworks.AdmitRequest) (garnetworks.Ticket, error) {
	return nil, &garnetworks.Error{Kind: garnetworks.KindOverLimit, Detail: "enough", RetryAfter: 2500 * time.Millisecond}
}

type eventRecorder []garnetworks.Event

func (e *eventRecorder) Record(event garnetworks.Event) { *e = append(*e, event) }

// Refusals for a limit must name a retry time that is rounded up, and must not flood the
// events.
func TestOverLimit(t *testing.T) {
	n := newEnvironment().newNode()
	var recorded eventRecorder
	s := server.New(server.Options{
		Calls: n.calls, Manifest: newManifestSource(), Admitter: rejectingAdmitter{}, Recorder: &recorded,
		NewKeyIndex: func(*garnetworks.Manifest) server.KeyIndex { return fakeKeyIndex{} },
	})
	s.SetReady(true)
	for range 200 {
		recorder := httptest.NewRecorder()
		s.Handler().ServeHTTP(recorder, benchRequest("/v1/completions"))
		if recorder.Code != http.StatusTooManyRequests || recorder.Header().Get("Retry-After") != "3" {
			t.Fatalf("%d %v", recorder.Code, recorder.Header())
		}
	}
	if len(recorded) == 0 || len(recorded) > 100 || recorded[0].Kind != garnetworks.EventCallRefused {
		t.Errorf("%d events for 200 refusals", len(recorded))
	}
}
