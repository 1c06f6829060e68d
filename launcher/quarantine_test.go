package launcher_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/faker/impersonator"
)

const (
	// crashBody is the body of a call under which each server that runs it crashes.
	crashBody = "ends its server"
	// maxCrashes is the number of crashed servers after which the call may reach no further
	// one; maxCrashesAcrossNodes is the same where it arrives at several nodes: as many
	// again may crash before the nodes have told each other.
	maxCrashes            = 3
	maxCrashesAcrossNodes = 2 * maxCrashes
	// propagationTime is how long nodes are given to exchange what they know; the limit for
	// sites is three seconds.
	propagationTime = time.Second
	// heldTitle is the title of the answer to a call that is kept from servers.
	heldTitle = "The call has ended the backend servers that ran it"
)

// newCrashingSite starts a site whose servers crash under calls with crashBody.
func newCrashingSite(t *testing.T) *site {
	t.Helper()
	const engines, services, groups = 18, 6, 6
	s := newSite(t, engines)
	for i := len(s.services); i < services; i++ {
		b := impersonator.NewBackend(s.store, fmt.Sprintf("s-%d", i), "svc", "z1", "")
		t.Cleanup(b.Close)
		s.services = append(s.services, b)
	}
	for _, b := range append(append([]*impersonator.Backend(nil), s.engines...), s.services...) {
		b.UpdateFaults(func(f *impersonator.BackendFaults) { f.CrashBody = crashBody })
	}
	s.eventually("all groups serve", func() bool {
		open := 0
		for _, e := range s.engines {
			if slices.ContainsFunc(e.Orders(), func(order string) bool { return strings.HasPrefix(order, "open ") }) {
				open++
			}
		}
		return open >= groups
	})
	s.awaitSuccess(streamURL)
	return s
}

// send sends a call with a body, and returns its identifier and its answer.
func (s *site) send(target, body string) (string, answer) {
	id := ""
	a := s.call(http.MethodPost, target, func(r *http.Request) {
		r.Body, r.ContentLength = io.NopCloser(strings.NewReader(body)), int64(len(body))
		id = r.Header.Get("Garnetworks-Request-Id")
	})
	return id, a
}

// crashedRunIDs returns the identifiers of the calls under which servers crashed.
func (s *site) crashedRunIDs() (ids []string) {
	for _, b := range append(append([]*impersonator.Backend(nil), s.engines...), s.services...) {
		for _, run := range b.Runs() {
			if run.Body == crashBody {
				ids = append(ids, run.ID)
			}
		}
	}
	return ids
}

// refusals sends copies of the crashing call and checks that those reported as not run have
// not run. It returns the number of copies that were kept from servers.
func (s *site) refusals(target string, copies int) (refused int) {
	s.t.Helper()
	for range copies {
		id, a := s.send(target, crashBody)
		if a.status != http.StatusServiceUnavailable {
			continue
		}
		if strings.Contains(a.body, heldTitle) {
			refused++
		}
		if a.header.Get("Retry-After") == "" {
			s.t.Errorf("a refusal has no Retry-After: %+v", a)
		}
		if garnetworks.NewSet(s.crashedRunIDs()...).Has(id) {
			s.t.Errorf("the call %s ran but is reported as not run", id)
		}
	}
	return refused
}

// Guards against a call that crashes each server that runs it being retried on further
// servers, which fails the other calls there.
func TestCallThatEndsItsEnginesIsKeptFromOthers(t *testing.T) { checkCrashingCallIsKept(t) }

// Guards against a fourth crash where the node gets little processor time.
func TestCallThatEndsItsEnginesIsKeptFromOthersBesideLoad(t *testing.T) {
	const busy = 3
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	for range busy {
		go func() {
			for ctx.Err() == nil { //nolint:revive // The loop only takes processor time.
			}
		}()
	}
	checkCrashingCallIsKept(t)
}

// checkCrashingCallIsKept checks how many servers a call crashes, and that others are served then.
func checkCrashingCallIsKept(t *testing.T) {
	t.Helper()
	for name, target := range map[string]string{"model": streamURL, "plain service": safeURL} {
		t.Run(name, func(t *testing.T) {
			s := newCrashingSite(t)
			const copies = 12
			s.refusals(target, copies)
			if ran := s.crashedRunIDs(); len(ran) > maxCrashes {
				t.Errorf("%d servers crashed, want %d at most", len(ran), maxCrashes)
			}
			for i := range copies {
				if _, a := s.send(streamURL, fmt.Sprint("sound ", i)); a.status != http.StatusOK {
					t.Errorf("a healthy call got %+v", a)
				}
			}
		})
	}
}

// Guards against a crashing call being held only by the nodes that saw it: each other node,
// and each node started later, would let it crash more engines.
func TestCallThatEndsItsEnginesIsKnownAtOtherNodes(t *testing.T) {
	s := newCrashingSite(t)
	second := s.join("n2")
	second.awaitSuccess(streamURL)
	time.Sleep(propagationTime)
	s.eventually("the first node refuses the call", func() bool { return s.refusals(streamURL, 1) == 1 || len(s.crashedRunIDs()) > maxCrashesAcrossNodes })
	time.Sleep(propagationTime)
	if second.refusals(streamURL, 1) != 1 {
		t.Error("the second node does not refuse the call")
	}
	for _, node := range []*site{s, second} {
		node.stop()
		<-node.done
	}
	third := s.join("n3")
	third.awaitSuccess(safeURL)
	time.Sleep(propagationTime)
	if third.refusals(streamURL, 1) != 1 {
		t.Error("a node that started later does not refuse the call")
	}
	if ran := s.crashedRunIDs(); len(ran) > maxCrashesAcrossNodes {
		t.Errorf("%d engines crashed, want %d at most", len(ran), maxCrashesAcrossNodes)
	}
}

// Guards against blaming healthy calls that are in flight at crashing engines: each is
// answered completely in the end, when its client retries it.
func TestOtherCallsAreServedBesideCrashingCall(t *testing.T) {
	s := newCrashingSite(t)
	const streams, tries = 24, 20
	for _, e := range s.engines {
		e.Events, e.EventTime = 30, 10*time.Millisecond
	}
	var calls sync.WaitGroup
	for i := range streams {
		calls.Go(func() {
			for range tries {
				_, a := s.send(streamURL, fmt.Sprint("sound ", i))
				if strings.Contains(a.body, heldTitle) {
					t.Errorf("a healthy call is taken for a crashing one: %+v", a)
				}
				if a.status == http.StatusOK && a.err == nil {
					if a.body != streamBody(30) {
						t.Errorf("an answer that looks complete has %d bytes", len(a.body))
					}
					return
				}
				time.Sleep(100 * time.Millisecond)
			}
			t.Errorf("healthy call %d was not answered in %d tries", i, tries)
		})
	}
	const copies = 12
	s.refusals(streamURL, copies)
	calls.Wait()
	if ran := s.crashedRunIDs(); len(ran) > maxCrashesAcrossNodes {
		t.Errorf("%d engines crashed, want %d at most", len(ran), maxCrashesAcrossNodes)
	}
}

// Guards against blaming a long call for the ends of servers that stop as planned, which
// announce it.
func TestCallIsNotBlamedForServersThatLeave(t *testing.T) {
	s := newCrashingSite(t)
	slow := func(delay time.Duration) {
		for _, b := range s.services {
			b.UpdateFaults(func(f *impersonator.BackendFaults) { f.ExecutionTime = delay })
		}
	}
	slow(time.Minute)
	for range maxCrashes {
		ctx, leave := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			s.call(http.MethodPost, safeURL, func(r *http.Request) { *r = *r.WithContext(ctx) })
		}()
		s.eventually("the call runs", func() bool { return s.running() != nil })
		first := s.running()
		first.Drain()
		s.eventually("the node knows that the server is leaving", func() bool { return s.logged("server-leaving", first.ID) })
		first.Crash()
		s.eventually("the call runs elsewhere", func() bool { return s.running() != nil })
		leave()
		<-done
		s.eventually("the call has ended", func() bool { return s.running() == nil })
	}
	slow(0)
	if a := s.call(http.MethodPost, safeURL, nil); a.status != http.StatusOK {
		t.Errorf("the call got %+v", a)
	}
}

// Guards against blaming a call for engines that were only cut off: in a partition entries
// expire as after crashes, and the call would be held at all nodes.
func TestCallIsNotBlamedForEnginesThatWereCutOff(t *testing.T) {
	s := newCrashingSite(t)
	for _, e := range s.engines {
		e.UpdateFaults(func(f *impersonator.BackendFaults) { f.CrashBody = "" })
		e.Events, e.EventTime = 400, 10*time.Millisecond
	}
	const body = "sound"
	var cut []*impersonator.Backend
	for len(cut) < maxCrashes {
		ctx, leave := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			s.call(http.MethodPost, streamURL, func(r *http.Request) {
				*r = *r.WithContext(ctx)
				r.Body, r.ContentLength = io.NopCloser(strings.NewReader(body)), int64(len(body))
			})
		}()
		s.eventually("the call runs", func() bool { return runningOf(s.engines) != nil })
		b := runningOf(s.engines)
		b.Partition()
		cut = append(cut, b)
		s.eventually("the node has closed its call to the engine", func() bool { return b.Running() == 0 })
		s.eventually("the entry expires", func() bool { return s.logged("server-gone", b.ID) })
		leave()
		<-done
		s.eventually("the call has ended", func() bool { return runningOf(s.engines) == nil })
	}
	time.Sleep(propagationTime)
	for _, b := range cut {
		b.Heal()
	}
	time.Sleep(propagationTime)
	for _, e := range s.engines {
		e.Events = 5
	}
	if _, a := s.send(streamURL, body); a.status != http.StatusOK {
		t.Errorf("the call got %+v", a)
	}
	if s.logged("call-held", "") {
		t.Error("the call is held though no engine has crashed")
	}
}

// running returns a plain server that runs a call and has not crashed.
func (s *site) running() *impersonator.Backend { return runningOf(s.services) }

// runningOf returns a backend that runs a call and has not crashed.
func runningOf(backends []*impersonator.Backend) *impersonator.Backend {
	for _, b := range backends {
		if b.Running() > 0 && !b.Stopped() {
			return b
		}
	}
	return nil
}

// logged reports whether the node's log has an event of an instance.
func (s *site) logged(event, instance string) bool {
	for line := range strings.Lines(s.logs.String()) {
		if strings.Contains(line, event) && strings.Contains(line, instance) {
			return true
		}
	}
	return false
}
