package launcher_test

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/faker/impersonator"
)

func TestWholePath(t *testing.T) {
	s := open(t, 4)
	s.serve(streamURL)
	stream := s.call(http.MethodPost, streamURL, nil)
	if stream.body != pieces(5) || stream.header.Get("Garnetworks-Response-Stamp") == "" {
		t.Errorf("stream: %+v", stream)
	}
	for _, target := range []string{onceURL, safeURL} {
		if a := s.call(http.MethodPost, target, nil); a.status != http.StatusOK || !strings.HasPrefix(a.body, "answer of s-") {
			t.Errorf("%s: %+v", target, a)
		}
	}
	for _, run := range s.head().Runs() {
		if run.Workspace != "w1" || run.Key != "" {
			t.Errorf("the engine got workspace %q and key %q", run.Workspace, run.Key)
		}
	}
}

func TestCallsThatAreNotPassedOn(t *testing.T) {
	s := open(t, 3)
	s.serve(onceURL)
	cases := map[string]struct {
		target string
		change func(*http.Request)
		want   int
	}{
		"unknown host":  {onceURL, func(r *http.Request) { r.Host = "b.example" }, http.StatusNotFound},
		"unknown path":  {"/none/x", nil, http.StatusNotFound},
		"unknown key":   {onceURL, func(r *http.Request) { r.Header.Set("Authorization", "Token other") }, http.StatusUnauthorized},
		"no key":        {onceURL, func(r *http.Request) { r.Header.Del("Authorization") }, http.StatusUnauthorized},
		"no identifier": {onceURL, func(r *http.Request) { r.Header.Del("Garnetworks-Request-Id") }, http.StatusBadRequest},
		"unknown model": {streamURL, func(r *http.Request) { r.Header.Set("Garnetworks-Model", "none") }, http.StatusServiceUnavailable},
		"body too large": {onceURL, func(r *http.Request) {
			r.Body = http.NoBody
			text := strings.NewReader(strings.Repeat("x", 5000))
			r.Body, r.ContentLength = readCloser{text}, 5000
		}, http.StatusRequestEntityTooLarge},
	}
	ran := len(s.services[0].Runs()) + len(s.services[1].Runs())
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if a := s.call(http.MethodPost, c.target, c.change); a.status != c.want {
				t.Errorf("status %d (%v), want %d", a.status, a.err, c.want)
			}
		})
	}
	if now := len(s.services[0].Runs()) + len(s.services[1].Runs()); now != ran {
		t.Errorf("%d of these calls ran", now-ran)
	}
}

type readCloser struct{ *strings.Reader }

func (readCloser) Close() error { return nil }

// Story: a node starts while the store can't be reached. It must not say that a
// route or a key does not exist; it knows none. It says that the call did not run
// and when to come back, and serves once the store is there.
func TestNodeWithoutStoreRefusesTruthfully(t *testing.T) {
	s := open(t, 3)
	s.stop()
	<-s.done
	s.store.UpdateFaults(func(f *impersonator.StoreFaults) { f.Down = true })
	s.start()
	var a answer
	s.eventually("the node listens", func() bool { a = s.call(http.MethodPost, onceURL, nil); return a.err == nil })
	if a.status != http.StatusServiceUnavailable || a.header.Get("Retry-After") == "" {
		t.Errorf("got %+v", a)
	}
	if r, err := http.Get(s.ready); err != nil || r.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("ready: %v, %v", r, err)
	}
	s.store.UpdateFaults(func(f *impersonator.StoreFaults) { f.Down = false })
	s.serve(onceURL)
}

// Story: a group breaks in the middle of an answer, within an event. The client
// gets the rest from another group and sees one whole answer.
func TestStreamGoesOnAtAnotherGroup(t *testing.T) {
	s := open(t, 6)
	s.serve(streamURL)
	for _, e := range s.engines {
		e.Events = 20
	}
	first := s.head()
	first.UpdateFaults(func(f *impersonator.BackendFaults) { f.BreakAfter = 3 })
	s.eventually("a call is resumed", func() bool {
		a := s.call(http.MethodPost, streamURL, nil)
		if a.err == nil && a.status == http.StatusOK && a.body != pieces(20) {
			t.Fatalf("an answer that looks whole has %q", a.body)
		}
		for _, e := range s.engines {
			for _, run := range e.Runs() {
				if run.ResumeAfter == "3" && a.body == pieces(20) {
					return true
				}
			}
		}
		return false
	})
}

// Story: a visit log ran, and its answer was lost. A node that sends it again, or
// says that it did not run, has the member billed twice.
func TestLostAnswerOfACallThatRunsOnce(t *testing.T) {
	s := open(t, 3)
	s.serve(onceURL)
	for _, b := range s.services {
		b.UpdateFaults(func(f *impersonator.BackendFaults) { f.LoseResponses = 1 })
	}
	before := len(s.services[0].Runs()) + len(s.services[1].Runs())
	a := s.call(http.MethodPost, onceURL, nil)
	if a.status != http.StatusBadGateway || a.header.Get("Retry-After") != "" {
		t.Errorf("got %+v, want 502 without a time to come back", a)
	}
	if ran := len(s.services[0].Runs()) + len(s.services[1].Runs()) - before; ran != 1 {
		t.Errorf("the call ran %d times", ran)
	}
}

// Story: the answer of a call that may be repeated was lost at one server; another
// one gives it.
func TestLostAnswerOfACallThatMayBeRepeated(t *testing.T) {
	s := open(t, 3)
	s.serve(safeURL)
	s.services[0].UpdateFaults(func(f *impersonator.BackendFaults) { f.LoseResponses = 1 })
	s.services[1].UpdateFaults(func(f *impersonator.BackendFaults) { f.LoseResponses = 0 })
	for range 4 {
		if a := s.call(http.MethodGet, safeURL, nil); a.status != http.StatusOK {
			t.Errorf("got %+v", a)
		}
	}
}

// entry is what a plain server registers.
func entry(service, address string) map[string]any {
	return map[string]any{
		"service": service, "address": address, "zone": "z1", "version": "v1", "state": "ready", "slots": 4,
		"cold-remaining-ms": 0, "sequence": 1,
	}
}

// Story: a server is gone, and its address was given to a server of another service
// before its entry was removed. A call that may run once is refused there, and the
// service has another server that would have taken it.
func TestReusedAddressCostsNoCall(t *testing.T) {
	s := open(t, 3)
	s.serve(onceURL)
	s.store.Set("servers", "s-gone", entry("svc", s.engines[0].Address()))
	for range 20 {
		if a := s.call(http.MethodPost, onceURL, nil); a.status != http.StatusOK {
			t.Fatalf("got %+v", a)
		}
	}
	for _, run := range s.engines[0].Runs() {
		if run.Target == onceURL {
			t.Error("a server of another service ran the call")
		}
	}
}

// Story: all servers of a service are full. A call that they refused did not run,
// and the caller is told so, and when to come back.
func TestFullServersAreSaidTruthfully(t *testing.T) {
	s := open(t, 3)
	s.serve(onceURL)
	for _, b := range s.services {
		b.UpdateFaults(func(f *impersonator.BackendFaults) { f.Full = true })
	}
	a := s.call(http.MethodPost, onceURL, nil)
	if a.status != http.StatusServiceUnavailable || a.header.Get("Retry-After") == "" {
		t.Errorf("got %+v", a)
	}
}

// Story: a key is taken away, and right after that a client uses it.
func TestRevokedKey(t *testing.T) {
	s := open(t, 3)
	s.serve(onceURL)
	s.store.Set("config", "main", config(2, "other"))
	s.eventually("the key is refused", func() bool {
		return s.call(http.MethodPost, onceURL, nil).status == http.StatusUnauthorized
	})
	// A configuration that goes back is never applied.
	s.store.Set("config", "main", config(1, key))
	s.store.Set("config", "main", config(3, "another"))
	s.eventually("the third version is in force", func() bool {
		a := s.call(http.MethodPost, onceURL, func(r *http.Request) { r.Header.Set("Authorization", "Token another") })
		return a.status == http.StatusOK
	})
	if a := s.call(http.MethodPost, onceURL, nil); a.status != http.StatusUnauthorized {
		t.Errorf("the key of an older version gives status %d", a.status)
	}
}

// Story: a client leaves in the middle of its answer. The engine goes on for
// seconds for nobody, unless its connection is closed at once.
func TestClientThatLeavesEndsItsCall(t *testing.T) {
	s := open(t, 3)
	s.serve(streamURL)
	for _, e := range s.engines {
		e.Events, e.EventTime = 10000, 5*time.Millisecond
	}
	ctx, leave := context.WithCancel(t.Context())
	go func() {
		s.call(http.MethodPost, streamURL, func(r *http.Request) { *r = *r.WithContext(ctx) })
	}()
	head := s.head()
	before := len(head.Runs())
	s.eventually("the call runs", func() bool { return head.Running() > 0 || len(head.Runs()) > before && head.Running() > 0 })
	leave()
	s.eventually("the engine has stopped", func() bool { return head.Running() == 0 })
	s.eventually("the log tells that the client left", func() bool { return strings.Contains(s.logs.String(), `"kind":"cancelled"`) })
}

// Story: a client leaves before the first event. The log told that the engine had
// timed out, and engineers looked for what was wrong with the engine.
func TestClientThatLeavesEarlyIsToldFromATimeout(t *testing.T) {
	s := open(t, 3)
	s.serve(streamURL)
	head := s.head()
	for _, e := range s.engines {
		e.UpdateFaults(func(f *impersonator.BackendFaults) { f.Stalled = true })
	}
	before := len(head.Runs())
	ctx, leave := context.WithCancel(t.Context())
	go func() {
		s.call(http.MethodPost, streamURL, func(r *http.Request) { *r = *r.WithContext(ctx) })
	}()
	s.eventually("the call is with the engine", func() bool { return head.BlockedCalls() > 0 })
	leave()
	s.eventually("the log tells that the client left", func() bool { return strings.Contains(s.logs.String(), `"kind":"cancelled"`) })
	if strings.Contains(s.logs.String(), "backend-timeout") || len(head.Runs()) != before {
		t.Error("the log tells of a timeout")
	}
}

// Story: a node is stopped as planned while calls are in flight. They get their
// answers, and the balancer is told at once.
func TestPlannedStopCutsOffNoCall(t *testing.T) {
	s := open(t, 3)
	s.serve(streamURL)
	for _, e := range s.engines {
		e.Events, e.EventTime = 100, 5*time.Millisecond
	}
	got := make(chan answer, 1)
	go func() { got <- s.call(http.MethodPost, streamURL, nil) }()
	head := s.head()
	s.eventually("the call runs", func() bool { return head.Running() > 0 })
	s.stop()
	s.eventually("the node says that it is not ready", func() bool {
		r, err := http.Get(s.ready)
		return err != nil || r.StatusCode == http.StatusServiceUnavailable
	})
	if a := <-got; a.status != http.StatusOK || a.body != pieces(100) {
		t.Errorf("the call in flight got status %d, %v and %d bytes", a.status, a.err, len(a.body))
	}
}

// Story: an engine of a group dies for good. A spare takes its place, and calls
// are served again without anybody's doing.
func TestLostEngineIsReplaced(t *testing.T) {
	s := open(t, 4)
	s.serve(streamURL)
	s.head().Kill()
	s.eventually("another engine serves", func() bool {
		a := s.call(http.MethodPost, streamURL, nil)
		return a.status == http.StatusOK && a.body == pieces(5)
	})
}

// Story: a replica of the store lags, and answers a list from before the servers came.
// A node that believes it has no servers left, and refuses all calls.
func TestLaggingListTakesNoServersAway(t *testing.T) {
	s := open(t, 3)
	s.serve(onceURL)
	s.store.UpdateFaults(func(f *impersonator.StoreFaults) { f.StaleLists = 3 })
	s.store.Compact()
	s.store.Set("servers", "s-new", entry("other", "127.0.0.1:1"))
	for range 50 {
		if a := s.call(http.MethodPost, onceURL, nil); a.status != http.StatusOK {
			t.Fatalf("got %+v", a)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// Story: an engine stops a call for a moment because it needs the memory for another
// one. The group is only slow with this call; it gets its whole answer, once.
func TestPreemptedStreamIsWhole(t *testing.T) {
	s := open(t, 3)
	s.serve(streamURL)
	for _, e := range s.engines {
		e.UpdateFaults(func(f *impersonator.BackendFaults) { f.PreemptAfter, f.PreemptTime = 2, 50*time.Millisecond })
	}
	if a := s.call(http.MethodPost, streamURL, nil); a.status != http.StatusOK || a.body != pieces(5) {
		t.Errorf("got %+v", a)
	}
}

// Story: a group stands still for a second, as when an engine on which it depends is
// slow to take an order, and goes on. There is no other group. The node ended the
// call after half a second of silence and broke the answer off in the middle.
func TestStreamOfASilentGroupWaitsForAPlaceElsewhere(t *testing.T) {
	s := open(t, 3)
	s.serve(streamURL)
	for _, e := range s.engines {
		e.UpdateFaults(func(f *impersonator.BackendFaults) { f.PreemptAfter, f.PreemptTime = 2, time.Second })
	}
	if a := s.call(http.MethodPost, streamURL, nil); a.status != http.StatusOK || a.body != pieces(5) {
		t.Errorf("got %+v", a)
	}
}

// Story: the same, with another group that has a place. The call goes on there
// before its client has waited for the silent group's end.
func TestStreamOfASilentGroupMoves(t *testing.T) {
	s := open(t, 6)
	s.serve(streamURL)
	const silence = 2 * time.Second
	first := s.head()
	first.UpdateFaults(func(f *impersonator.BackendFaults) { f.PreemptAfter, f.PreemptTime = 2, silence })
	s.eventually("a call is moved", func() bool {
		a := s.call(http.MethodPost, streamURL, nil)
		if a.status != http.StatusOK || a.body != pieces(5) {
			t.Fatalf("got %+v", a)
		}
		for _, e := range s.engines {
			for _, run := range e.Runs() {
				if run.ResumeAfter == "2" {
					return true
				}
			}
		}
		return false
	})
}

// Story: the servers of a service are slow, and the site's retries are used up. A call
// that may be repeated was taken from the first server before its time was over, got
// no retry, and failed; the server would have answered it.
func TestSlowServerKeepsACallThatHasNoRetry(t *testing.T) {
	s := open(t, 3)
	s.serve(safeURL)
	s.node.Reload(garnetworks.SiteBounds{RevokeTime: 5 * time.Second, RetryWindow: 10 * time.Second})
	for _, b := range s.services {
		b.UpdateFaults(func(f *impersonator.BackendFaults) { f.ExecutionTime = 700 * time.Millisecond })
	}
	a := s.call(http.MethodGet, safeURL, func(r *http.Request) { r.Header.Set("Garnetworks-Deadline-Ms", "1400") })
	if a.status != http.StatusOK {
		t.Errorf("got %+v", a)
	}
}

// Story: engines of an open group, first a member and then the head, crash and are back
// under their identifiers before their entries lapse. There is no spare. Calls went on to
// a head that nothing moves at; now the group is formed anew with the later lives, and
// calls are answered whole.
func TestGroupWithEnginesThatStartedAgainServes(t *testing.T) {
	s := open(t, 3)
	s.serve(streamURL)
	head := s.head()
	for round, again := range []*impersonator.Backend{other(s.engines, head), head} {
		before := len(again.Orders())
		again.Restart(int64(1764720000000 + round))
		s.eventually("a call succeeds at a group of the later life", func() bool {
			a := s.call(http.MethodPost, streamURL, nil)
			return a.status == http.StatusOK && a.body == pieces(5)
		})
		since := again.Orders()[before:]
		if !slices.ContainsFunc(since, func(order string) bool { return strings.HasPrefix(order, "join ") }) {
			t.Errorf("round %d: the later life was ordered %v", round, since)
		}
	}
}

// other returns an engine that is not the given one.
func other(engines []*impersonator.Backend, not *impersonator.Backend) *impersonator.Backend {
	for _, e := range engines {
		if e != not {
			return e
		}
	}
	return nil
}
