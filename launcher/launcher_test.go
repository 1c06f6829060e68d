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

func TestEndToEnd(t *testing.T) {
	s := newSite(t, 4)
	s.awaitSuccess(streamURL)
	stream := s.call(http.MethodPost, streamURL, nil)
	if stream.body != streamBody(5) || stream.header.Get("Garnetworks-Response-Stamp") == "" {
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
	s := newSite(t, 3)
	s.awaitSuccess(onceURL)
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

// Guards against a node that starts without the store answering that a route or key does
// not exist, instead of 503 with Retry-After.
func TestNodeWithoutStoreAnswersUnavailable(t *testing.T) {
	s := newSite(t, 3)
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
	s.awaitSuccess(onceURL)
}

// Guards against an answer with gaps or duplicates when a group breaks within an event and
// another group resumes the stream.
func TestStreamGoesOnAtAnotherGroup(t *testing.T) {
	s := newSite(t, 6)
	s.awaitSuccess(streamURL)
	for _, e := range s.engines {
		e.Events = 20
	}
	first := s.head()
	first.UpdateFaults(func(f *impersonator.BackendFaults) { f.BreakAfter = 3 })
	s.eventually("a call is resumed", func() bool {
		a := s.call(http.MethodPost, streamURL, nil)
		if a.err == nil && a.status == http.StatusOK && a.body != streamBody(20) {
			t.Fatalf("an answer that looks complete has %q", a.body)
		}
		for _, e := range s.engines {
			for _, run := range e.Runs() {
				if run.ResumeAfter == "3" && a.body == streamBody(20) {
					return true
				}
			}
		}
		return false
	})
}

// Guards against repeating a call that may run only once, or saying that it did not run,
// after its answer was lost.
func TestLostAnswerOfACallThatRunsOnce(t *testing.T) {
	s := newSite(t, 3)
	s.awaitSuccess(onceURL)
	for _, b := range s.services {
		b.UpdateFaults(func(f *impersonator.BackendFaults) { f.LoseResponses = 1 })
	}
	before := len(s.services[0].Runs()) + len(s.services[1].Runs())
	a := s.call(http.MethodPost, onceURL, nil)
	if a.status != http.StatusBadGateway || a.header.Get("Retry-After") != "" {
		t.Errorf("got %+v, want 502 without Retry-After", a)
	}
	if ran := len(s.services[0].Runs()) + len(s.services[1].Runs()) - before; ran != 1 {
		t.Errorf("the call ran %d times", ran)
	}
}

// Guards against failing a repeatable call whose answer one server lost, though another
// server can answer it.
func TestLostAnswerOfACallThatMayBeRepeated(t *testing.T) {
	s := newSite(t, 3)
	s.awaitSuccess(safeURL)
	time.Sleep(retrySpan)
	s.services[0].UpdateFaults(func(f *impersonator.BackendFaults) { f.LoseResponses = 1 })
	s.services[1].UpdateFaults(func(f *impersonator.BackendFaults) { f.LoseResponses = 0 })
	for range 4 {
		if a := s.call(http.MethodGet, safeURL, nil); a.status != http.StatusOK {
			t.Errorf("got %+v", a)
		}
	}
}

// entry returns the registration of a plain server.
func entry(service, address string) map[string]any {
	return map[string]any{
		"service": service, "address": address, "zone": "z1", "version": "v1", "state": "ready", "slots": 4,
		"cold-remaining-ms": 0, "sequence": 1,
	}
}

// Guards against failing a call because the entry of a removed server points to an address
// that a server of another service reuses.
func TestReusedAddressCostsNoCall(t *testing.T) {
	s := newSite(t, 3)
	s.awaitSuccess(onceURL)
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

// Guards against a refusal by full servers that does not say that the call did not run and
// when to retry.
func TestFullServersAnswerUnavailable(t *testing.T) {
	s := newSite(t, 3)
	s.awaitSuccess(onceURL)
	for _, b := range s.services {
		b.UpdateFaults(func(f *impersonator.BackendFaults) { f.Full = true })
	}
	a := s.call(http.MethodPost, onceURL, nil)
	if a.status != http.StatusServiceUnavailable || a.header.Get("Retry-After") == "" {
		t.Errorf("got %+v", a)
	}
}

// Guards against a revoked key being accepted after the change is applied.
func TestRevokedKey(t *testing.T) {
	s := newSite(t, 3)
	s.awaitSuccess(onceURL)
	s.store.Set("config", "main", config(2, "other"))
	s.eventually("the key is refused", func() bool {
		return s.call(http.MethodPost, onceURL, nil).status == http.StatusUnauthorized
	})
	// A configuration with a lower version is never applied.
	s.store.Set("config", "main", config(1, key))
	s.store.Set("config", "main", config(3, "another"))
	s.eventually("the third version is applied", func() bool {
		a := s.call(http.MethodPost, onceURL, func(r *http.Request) { r.Header.Set("Authorization", "Token another") })
		return a.status == http.StatusOK
	})
	if a := s.call(http.MethodPost, onceURL, nil); a.status != http.StatusUnauthorized {
		t.Errorf("the key of an older version gives status %d", a.status)
	}
}

// Guards against an engine going on with a call whose client has disconnected in the middle
// of the answer.
func TestClientThatLeavesEndsItsCall(t *testing.T) {
	s := newSite(t, 3)
	s.awaitSuccess(streamURL)
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
	s.eventually("the log has the call as cancelled", func() bool { return strings.Contains(s.logs.String(), `"kind":"cancelled"`) })
}

// Guards against logging a client's disconnect before the first event as a timeout of the
// engine.
func TestEarlyCancelIsNotLoggedAsTimeout(t *testing.T) {
	s := newSite(t, 3)
	s.awaitSuccess(streamURL)
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
	s.eventually("the log has the call as cancelled", func() bool { return strings.Contains(s.logs.String(), `"kind":"cancelled"`) })
	if strings.Contains(s.logs.String(), "backend-timeout") || len(head.Runs()) != before {
		t.Error("the log has a timeout")
	}
}

// Guards against a planned stop cutting off calls in flight, or not being announced to the
// balancer.
func TestPlannedStopCutsOffNoCall(t *testing.T) {
	s := newSite(t, 3)
	s.awaitSuccess(streamURL)
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
	if a := <-got; a.status != http.StatusOK || a.body != streamBody(100) {
		t.Errorf("the call in flight got status %d, %v and %d bytes", a.status, a.err, len(a.body))
	}
}

// Guards against a group whose engine is lost for good not being replaced by a spare.
func TestLostEngineIsReplaced(t *testing.T) {
	s := newSite(t, 4)
	s.awaitSuccess(streamURL)
	s.head().Kill()
	s.eventually("another engine serves", func() bool {
		a := s.call(http.MethodPost, streamURL, nil)
		return a.status == http.StatusOK && a.body == streamBody(5)
	})
}

// Guards against a list from a lagging replica, older than the servers' entries, removing
// servers and refusing calls.
func TestStaleListRemovesNoServers(t *testing.T) {
	s := newSite(t, 3)
	s.awaitSuccess(onceURL)
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

// Guards against a stream that the engine preempts for a moment being cut off or repeated.
func TestPreemptedStreamIsWhole(t *testing.T) {
	s := newSite(t, 3)
	s.awaitSuccess(streamURL)
	for _, e := range s.engines {
		e.UpdateFaults(func(f *impersonator.BackendFaults) { f.PreemptAfter, f.PreemptTime = 2, 50*time.Millisecond })
	}
	if a := s.call(http.MethodPost, streamURL, nil); a.status != http.StatusOK || a.body != streamBody(5) {
		t.Errorf("got %+v", a)
	}
}

// Guards against cutting off a stream of a group that pauses for a second when no other
// group could resume it.
func TestStreamOfASilentGroupWaitsForAPlaceElsewhere(t *testing.T) {
	s := newSite(t, 3)
	s.awaitSuccess(streamURL)
	for _, e := range s.engines {
		e.UpdateFaults(func(f *impersonator.BackendFaults) { f.PreemptAfter, f.PreemptTime = 2, time.Second })
	}
	if a := s.call(http.MethodPost, streamURL, nil); a.status != http.StatusOK || a.body != streamBody(5) {
		t.Errorf("got %+v", a)
	}
}

// Guards against leaving a stream at a silent group when another group has a free slot.
func TestStreamOfASilentGroupMoves(t *testing.T) {
	s := newSite(t, 6)
	s.awaitSuccess(streamURL)
	const silence = 2 * time.Second
	first := s.head()
	first.UpdateFaults(func(f *impersonator.BackendFaults) { f.PreemptAfter, f.PreemptTime = 2, silence })
	s.eventually("a call is moved", func() bool {
		a := s.call(http.MethodPost, streamURL, nil)
		if a.status != http.StatusOK || a.body != streamBody(5) {
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

// Guards against calls left at a lost group because another node holds the lease.
func TestStreamLeavesALostGroupOnTheHoldersVerdict(t *testing.T) {
	s := newSite(t, 6)
	for _, e := range s.engines {
		e.Events, e.EventTime = 20, 40*time.Millisecond
	}
	s.awaitSuccess(streamURL)
	second := s.join("n2")
	second.awaitSuccess(streamURL)
	setLost := func(e *impersonator.Backend, lost bool) {
		e.UpdateFaults(func(f *impersonator.BackendFaults) { f.Stalled, f.Unreachable = lost, lost })
	}
	// On an overloaded machine the holder may find its own probes late, and gives no verdict.
	second.eventually("a call leaves a lost group on a verdict", func() bool {
		second.awaitSuccess(streamURL)
		done := make(chan answer, 1)
		go func() { done <- second.call(http.MethodPost, streamURL, nil) }()
		var lost *impersonator.Backend
		second.eventually("the call runs", func() bool {
			at := slices.IndexFunc(s.engines, func(e *impersonator.Backend) bool { return e.Running() > 0 })
			if at >= 0 {
				lost = s.engines[at]
			}
			return at >= 0 || len(done) > 0
		})
		if lost == nil {
			<-done
			return false
		}
		time.Sleep(100 * time.Millisecond)
		setLost(lost, true)
		<-done
		setLost(lost, false)
		return second.metric(`garnet_suspicions_total{verdict="lost"}`) > 0 && second.metric(`garnet_move_silence_seconds_count{cause="verdict"}`) > 0
	})
}

// Guards against taking a repeatable call from a slow server that would have answered it,
// when the retry budget is used up.
func TestSlowServerKeepsACallThatHasNoRetry(t *testing.T) {
	s := newSite(t, 3)
	s.awaitSuccess(safeURL)
	s.node.Reload(garnetworks.SiteBounds{RevokeTime: 5 * time.Second, RetryWindow: 10 * time.Second})
	for _, b := range s.services {
		b.UpdateFaults(func(f *impersonator.BackendFaults) { f.ExecutionTime = 700 * time.Millisecond })
	}
	a := s.call(http.MethodGet, safeURL, func(r *http.Request) { r.Header.Set("Garnetworks-Deadline-Ms", "1400") })
	if a.status != http.StatusOK {
		t.Errorf("got %+v", a)
	}
}

// Guards against routing to an open group whose member or head crashed and restarted before
// its entry expired, instead of forming the group anew.
func TestGroupWithEnginesThatStartedAgainServes(t *testing.T) {
	s := newSite(t, 3)
	s.awaitSuccess(streamURL)
	head := s.head()
	for round, restarted := range []*impersonator.Backend{other(s.engines, head), head} {
		before := len(restarted.Orders())
		restarted.Restart(int64(1764720000000 + round))
		s.eventually("the restarted engine is ordered into a group", func() bool {
			since := restarted.Orders()[before:]
			return slices.ContainsFunc(since, func(order string) bool { return strings.HasPrefix(order, "join ") })
		})
		s.eventually("a call succeeds at a group of the restarted engine", func() bool {
			a := s.call(http.MethodPost, streamURL, nil)
			return a.status == http.StatusOK && a.body == streamBody(5)
		})
	}
}

// other returns an engine other than the excluded one.
func other(engines []*impersonator.Backend, excluded *impersonator.Backend) *impersonator.Backend {
	for _, e := range engines {
		if e != excluded {
			return e
		}
	}
	return nil
}

// Guards against calls to servers of an evacuated zone, against calls that wait although no
// other zone serves, and against a zone that stays without calls after its return.
func TestEvacuatedZoneGetsNoCalls(t *testing.T) {
	for name, target := range map[string]string{"model": streamURL, "plain service": onceURL} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t, 3)
			s.awaitSuccess(target)
			runs := func() int {
				n := 0
				for _, b := range append(slices.Clone(s.engines), s.services...) {
					n += len(b.Runs())
				}
				return n
			}
			s.store.Set("evacuations", "z1", map[string]any{})
			s.eventually("calls are refused", func() bool {
				return s.call(http.MethodPost, target, nil).status == http.StatusServiceUnavailable
			})
			before := runs()
			for range 20 {
				if a := s.call(http.MethodPost, target, nil); a.status != http.StatusServiceUnavailable || a.header.Get("Retry-After") == "" {
					t.Errorf("got %+v", a)
				}
			}
			if n := runs() - before; n > 0 {
				t.Errorf("%d calls reached the zone", n)
			}
			s.store.Remove("evacuations", "z1")
			s.awaitSuccess(target)
			if !strings.Contains(s.logs.String(), string(garnetworks.EventZoneEvacuated)) || !strings.Contains(s.logs.String(), string(garnetworks.EventZoneReturned)) {
				t.Error("the log does not tell of the evacuation")
			}
		})
	}
}

// Guards against a limit that only those nodes keep to which the server named it.
func TestServerLimitIsKnownAtOtherNodes(t *testing.T) {
	for name, target := range map[string]string{"model": streamURL, "plain service": safeURL} {
		t.Run(name, func(t *testing.T) {
			const perSecond = 5
			s := newSite(t, 6)
			s.awaitSuccess(target)
			second := s.join("n2")
			second.awaitSuccess(target)
			for _, b := range append(slices.Clone(s.engines), s.services...) {
				b.UpdateFaults(func(f *impersonator.BackendFaults) { f.CallLimit = garnetworks.Some(float64(perSecond)) })
			}
			s.eventually("the first node logs a limit", func() bool {
				s.call(http.MethodPost, target, nil)
				return strings.Contains(s.logs.String(), string(garnetworks.EventServerLimited))
			})
			s.eventually("the second node, which gets no calls, knows a limit", func() bool { return second.metric("garnet_limited_servers") > 0 })
			for _, b := range append(slices.Clone(s.engines), s.services...) {
				b.UpdateFaults(func(f *impersonator.BackendFaults) { f.CallLimit = garnetworks.Option[float64]{} })
			}
			s.eventually("both nodes know that the limits have ended", func() bool {
				s.call(http.MethodPost, target, nil)
				second.call(http.MethodPost, target, nil)
				return s.metric("garnet_limited_servers") == 0 && second.metric("garnet_limited_servers") == 0
			})
		})
	}
}

// Guards against calls to a server that announces in its answers only that it is leaving.
func TestServerThatAnnouncesLeavingGetsNoMoreCalls(t *testing.T) {
	for name, target := range map[string]string{"model": streamURL, "safe call": safeURL, "call that runs once": onceURL} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t, 6)
			s.awaitSuccess(target)
			all := append(slices.Clone(s.engines), s.services...)
			leaving := all[slices.IndexFunc(all, func(b *impersonator.Backend) bool { return len(b.Runs()) > 0 })]
			leaving.UpdateFaults(func(f *impersonator.BackendFaults) { f.AnnounceLeaving = true })
			s.eventually("the node knows that the server leaves", func() bool {
				s.call(http.MethodPost, target, nil)
				return s.logged(string(garnetworks.EventServerLeaving), leaving.ID)
			})
			before := len(leaving.Runs())
			for range 100 {
				s.call(http.MethodPost, target, nil)
			}
			if n := len(leaving.Runs()) - before; n > 0 {
				t.Errorf("the server got %d calls after it had said that it leaves", n)
			}
			s.awaitSuccess(target)
		})
	}
}
