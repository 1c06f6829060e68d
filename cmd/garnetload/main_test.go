package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/faker"
)

func testFlags(url string) flags {
	return flags{
		URL: []string{url}, Key: []string{"key"}, Rate: 2000, Arrivals: "poisson", Duration: time.Second, Count: 40, Seed: 7,
		Model: []string{"chat"}, Prefixes: 2, PrefixBytes: 64, PromptBytes: 32, MaxTokens: 3, Service: "ledger/visits",
		Timeout: 30 * time.Second, MaxInFlight: 1000, Verify: true, Output: "json",
	}
}

// answerCompletion answers a streamed completion as an entry node does.
func answerCompletion(w http.ResponseWriter, r *http.Request, events func(text string) string) {
	var body struct {
		Model  string `json:"model"`
		Prompt string `json:"prompt"`
		Tokens int    `json:"max_tokens"`
	}
	data, _ := io.ReadAll(r.Body)
	_ = json.Unmarshal(data, &body)
	call := &garnetworks.CallRequest{Model: garnetworks.ModelName(body.Model), Prompt: body.Prompt}
	w.Header().Set("Trailer", "Garnet-Outcome")
	for i := range body.Tokens {
		_, _ = io.WriteString(w, events(faker.Token(call, i)))
	}
	_, _ = io.WriteString(w, events(""))
	w.Header().Set("Garnet-Outcome", "completed")
}

func completionEvent(text string) string {
	if text == "" {
		return "data: [DONE]\n\n"
	}
	return `data: {"choices":[{"text":"` + text + `"}]}` + "\n\n"
}

// Guards against waiting for answers before sending further calls, which hides a stalled site:
// no call is answered here before all have arrived.
func TestCallsAreSentWithoutWaitingForAnswers(t *testing.T) {
	f := testFlags("")
	var arrived atomic.Int64
	all := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if arrived.Add(1) == int64(f.Count) {
			close(all)
		}
		<-all
		answerCompletion(w, r, completionEvent)
	}))
	defer server.Close()
	f.URL = []string{server.URL}
	var stdout, stderr bytes.Buffer
	if code := run(t.Context(), f, &stdout, &stderr); code != exitOK {
		t.Fatalf("got exit code %d: %s", code, &stderr)
	}
	var report struct {
		Classes []classBody `json:"classes"`
	}
	if err := json.Unmarshal(stdout.Bytes(), &report); err != nil {
		t.Fatal(err)
	}
	if len(report.Classes) != 1 || report.Classes[0].FirstToken.Count != int64(f.Count) {
		t.Fatalf("got %s, want %d completed calls", &stdout, f.Count)
	}
	if got := report.Classes[0].BetweenTokens.Count; got != int64(2*f.Count) {
		t.Errorf("got %d times between tokens, want %d", got, 2*f.Count)
	}
}

// Guards against measuring from the time of sending, which hides how late a call was sent.
func TestTimesCountFromWhenCallsWereDue(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		answerCompletion(w, r, completionEvent)
	}))
	defer server.Close()
	s, err := newSender(t.Context(), testFlags(server.URL))
	if err != nil {
		t.Fatal(err)
	}
	const late = 3 * time.Second
	r := s.send(t.Context(), job{class: classGateway, url: server.URL, model: "chat", prompt: "x"}, time.Now().Add(-late))
	if r.outcome != outcomeCompleted || r.firstToken < late || r.total < late || r.sendDelay < late {
		t.Errorf("got %+v, want a completed call with times of %v and more", r, late)
	}
}

func TestOutcomes(t *testing.T) {
	tests := map[string]struct {
		handler       http.HandlerFunc
		outcome, kind string
	}{
		"completed": {func(w http.ResponseWriter, r *http.Request) { answerCompletion(w, r, completionEvent) }, outcomeCompleted, ""},
		"wrong text": {func(w http.ResponseWriter, r *http.Request) {
			answerCompletion(w, r, func(text string) string { return completionEvent(strings.ToUpper(text)) })
		}, outcomeWrong, ""},
		"no end": {func(w http.ResponseWriter, r *http.Request) {
			answerCompletion(w, r, func(text string) string { return strings.Replace(completionEvent(text), "[DONE]", "{}", 1) })
		}, outcomeBroken, ""},
		"broken connection": {func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, completionEvent("a"))
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}, outcomeBroken, "unexpected EOF"},
		"refused": {func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Garnet-Outcome", "not-run")
			w.Header().Set("Garnet-Error-Kind", "overloaded")
			w.Header().Set("Retry-After", "2")
			w.WriteHeader(http.StatusServiceUnavailable)
		}, "not-run", "overloaded"},
		"answer without outcome": {func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusBadGateway) }, outcomeBroken, "status 502"},
		"no answer":              {func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, outcomeNoAnswer, "EOF"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(test.handler)
			defer server.Close()
			s, err := newSender(t.Context(), testFlags(server.URL))
			if err != nil {
				t.Fatal(err)
			}
			r := s.send(t.Context(), job{class: classGateway, url: server.URL, model: "chat", prompt: "x"}, time.Now())
			if r.outcome != test.outcome || r.kind != test.kind {
				t.Errorf("got outcome %q and kind %q, want %q and %q", r.outcome, r.kind, test.outcome, test.kind)
			}
		})
	}
}

func TestPlanIsBoundedAndReproducible(t *testing.T) {
	f := testFlags("http://127.0.0.1:1")
	f.Count, f.Duration, f.ServiceShare, f.Repeat = 0, 200*time.Millisecond, 0.5, 0.5
	f.Key = []string{"a=3", "b"}
	makeJobs := func() []job {
		p, err := newPlan(f)
		if err != nil {
			t.Fatal(err)
		}
		var jobs []job
		for j, ok := p.next(); ok; j, ok = p.next() {
			jobs = append(jobs, j)
		}
		return jobs
	}
	first, second := makeJobs(), makeJobs()
	if len(first) == 0 || len(first) != len(second) {
		t.Fatalf("got %d and %d calls", len(first), len(second))
	}
	bodies := make(map[string]string)
	for i, j := range first {
		if j != second[i] {
			t.Errorf("call %d differs between equal plans", i)
		}
		if j.due > f.Duration {
			t.Errorf("call %d is due after the end", i)
		}
		if body, ok := bodies[j.idempotencyKey]; ok && j.class == classService && body != j.body {
			t.Errorf("key %s has two bodies", j.idempotencyKey)
		}
		bodies[j.idempotencyKey] = j.body
	}
}

// Guards against missing a call that the site reports as not run although its service ran it.
func TestExecutionsAreComparedWithOutcomes(t *testing.T) {
	tests := map[string]struct {
		outcomes []string
		ran      int
		want     executionsBody
	}{
		"completed":               {[]string{outcomeCompleted}, 1, executionsBody{RanOnce: 1}},
		"repeated":                {[]string{outcomeCompleted, outcomeCompleted}, 1, executionsBody{RanOnce: 1}},
		"ran twice":               {[]string{outcomeCompleted, outcomeCompleted}, 2, executionsBody{RanAgain: 1}},
		"not run":                 {[]string{outcomeNotRun}, 0, executionsBody{NeverRan: 1}},
		"false not run":           {[]string{outcomeNotRun, outcomeNotRun}, 1, executionsBody{RanOnce: 1, NotRunButRan: 1}},
		"false completed":         {[]string{outcomeCompleted}, 0, executionsBody{NeverRan: 1, CompletedButNeverRan: 1}},
		"unknown, then refused":   {[]string{"unknown", outcomeNotRun}, 1, executionsBody{RanOnce: 1}},
		"refused, then completed": {[]string{outcomeNotRun, outcomeCompleted}, 1, executionsBody{RanOnce: 1}},
		"no answer":               {[]string{outcomeNoAnswer}, 1, executionsBody{RanOnce: 1}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := newReport()
			for _, outcome := range test.outcomes {
				r.add(result{class: classService, key: "visit-7", outcome: outcome})
			}
			test.want.Keys = 1
			if got := compareExecutions(r.keys, map[string]int{"visit-7": test.ran, "earlier": 2}); got != test.want {
				t.Errorf("got %+v, want %+v", got, test.want)
			}
		})
	}
}

func TestInvalidFlagsAreReported(t *testing.T) {
	tests := map[string]struct {
		change func(f *flags)
		want   string
	}{
		"rate":          {func(f *flags) { f.Rate = 0 }, "--rate"},
		"duration":      {func(f *flags) { f.Duration = 2 * time.Hour }, "--duration"},
		"weight":        {func(f *flags) { f.Model = []string{"chat=-1"} }, "--model"},
		"empty key":     {func(f *flags) { f.Key = []string{"=2"} }, "--key"},
		"remote":        {func(f *flags) { f.URL = []string{"http://192.0.2.1:80"} }, "--allow-remote"},
		"host name":     {func(f *flags) { f.URL = []string{"http://example.test"} }, "--allow-remote"},
		"not a URL":     {func(f *flags) { f.URL = []string{"127.0.0.1:80"} }, "base URL"},
		"remote engine": {func(f *flags) { f.Direct = "192.0.2.1:80" }, "--allow-remote"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := testFlags("http://127.0.0.1:1")
			test.change(&f)
			var stdout, stderr bytes.Buffer
			if code := run(t.Context(), f, &stdout, &stderr); code != exitUsage || !strings.Contains(stderr.String(), test.want) {
				t.Errorf("got exit code %d and %q, want %d and a line with %q", code, &stderr, exitUsage, test.want)
			}
		})
	}
}
