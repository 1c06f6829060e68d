package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/garnetworks/garnetworks/faker/impersonator"
)

const (
	// spoiledCalls is the number of requests. From each of spoiledFrom on, one answer is spoiled: 2 in
	// 100, within 5 seconds.
	spoiledCalls = 100
	// spoiledBytes is the size of a spoiled answer's body.
	spoiledBytes = 300 << 10
	callPause    = 100 * time.Millisecond
)

// spoiledFrom are the requests from which on an answer is spoiled.
var spoiledFrom = []int{40, 60}

// spoiling says which answers are spoiled: the next one of the faulty engine, which is the first that
// answers while armed.
type spoiling struct {
	mu     sync.Mutex
	armed  bool
	faulty string
}

func (s *spoiling) arm() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.armed = true
}

// take reports whether the engine spoils its next answer.
func (s *spoiling) take(engine string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.armed || s.faulty != "" && s.faulty != engine {
		return false
	}
	s.armed, s.faulty = false, engine
	return true
}

// spoiler stands in front of an engine and spoils some of its answers.
type spoiler struct {
	engine   http.Handler
	id       string
	spoiling *spoiling
	runs     *runs
}

// runs are the requests that engines began to work on.
type runs struct {
	mu   sync.Mutex
	list map[string][]string
}

func (r *runs) add(id, engine string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list[id] = append(r.list[id], engine)
}

func (r *runs) of(id string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.list[id]...)
}

// ServeHTTP answers a request like the engine, but with wrong bytes in place of the events of a
// spoiled answer. The engine has run the request then: it has the engine's stamp.
func (s *spoiler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get("Garnetworks-Model") == "" || r.Header.Get("Garnetworks-Expect-Instance") != s.id || !s.spoiling.take(s.id) {
		s.engine.ServeHTTP(w, r)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	id := r.Header.Get("Garnetworks-Request-Id")
	s.runs.add(id, s.id)
	w.Header().Set("Garnetworks-Request-Id", id)
	w.Header().Set("Garnetworks-Response-Stamp", "stamp."+s.id)
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	_, _ = w.Write(bytes.Repeat([]byte("#"), spoiledBytes))
}

// spoiledCase sends streams that may not be repeated while an engine spoils some of its answers, and
// checks that no request that ran is answered as not run (REFUSED).
func spoiledCase(r *record, dir string, trouble bool) (bool, error) {
	s := newSite(r, dir)
	defer s.stop()
	ran := &runs{list: make(map[string][]string)}
	spoiling := &spoiling{}
	s.addEngines("hattiesburg", "hattiesburg-1", 6)
	for _, e := range s.engines {
		e.Events, e.EventTime = 5, 10*time.Millisecond
		e.Config.Handler = &spoiler{engine: e.Config.Handler, id: e.ID, spoiling: spoiling, runs: ran}
	}
	s.addServices()
	s.configure(7, []string{apiKey}, routeSpec{name: "r-2yhvz3p", prefix: "/lohu930/", kind: "streaming", service: "garnet-llm", timeoutMS: deadlineMS, objectiveMS: 400, attempts: 2})
	if err := s.start(1); err != nil {
		return false, err
	}
	q := request{method: http.MethodPost, path: "/lohu930/2f", body: `{"prompt":"pump 9"}`, model: true, deadline: deadlineMS * time.Millisecond}
	front := s.nodes[0].front
	if err := awaitServing(front, q, 40*time.Second); err != nil {
		return false, err
	}
	r.printf("the node serves; %d streams follow on a route without can-resume, so that each may run once at most", spoiledCalls)
	broken := 0
	for n := 1; n <= spoiledCalls; n++ {
		if trouble && slices.Contains(spoiledFrom, n) {
			spoiling.arm()
		}
		a := once(front, q)
		for _, e := range s.engines {
			recordRuns(ran, e, a.id)
		}
		where := ran.of(a.id)
		refused := a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests
		r.printf("request %s; ran at %v", a, where)
		if refused && len(where) > 0 {
			broken++
			r.printf("  REFUSED: answered %d, Retry-After %q: %q, although %v ran it", a.status, a.header.Get("Retry-After"), a.body, where)
			again := once(front, q)
			r.printf("  the client may come back after this answer: request %s", again)
		}
		time.Sleep(callPause)
	}
	r.printf("%d of %d requests were refused as not run and have run", broken, spoiledCalls)
	if broken == 0 {
		return false, nil
	}
	return true, fmt.Errorf("%w: REFUSED, %d requests", errRule, broken)
}

// recordRuns adds the runs of a request at an engine.
func recordRuns(ran *runs, e *impersonator.Backend, id string) {
	for _, run := range e.Runs() {
		if run.ID == id {
			ran.add(id, e.ID)
		}
	}
}
