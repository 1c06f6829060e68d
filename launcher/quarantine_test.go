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
	// crashing is the body of a call under which each server that runs it crashes.
	crashing = "ends its server"
	// mostEnded is the number of servers after which it shall reach no other one, and
	// mostKnown the same where it comes at several nodes: three more may end by then.
	mostEnded = 3
	mostKnown = 2 * mostEnded
	// spreadTime is how long nodes are given to hear of each other what they know; sites
	// expect it within three seconds.
	spreadTime = time.Second
	// title is what a caller is told of a call that is kept from servers.
	title = "The call has ended the backend servers that ran it"
)

// openCrashing starts a site in which engines crash under a call.
func openCrashing(t *testing.T) *site {
	t.Helper()
	const engines, services, groups = 18, 6, 6
	s := open(t, engines)
	for i := len(s.services); i < services; i++ {
		b := impersonator.NewBackend(s.store, fmt.Sprintf("s-%d", i), "svc", "z1", "")
		t.Cleanup(b.Close)
		s.services = append(s.services, b)
	}
	for _, b := range append(append([]*impersonator.Backend(nil), s.engines...), s.services...) {
		b.UpdateFaults(func(f *impersonator.BackendFaults) { f.CrashBody = crashing })
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
	s.serve(streamURL)
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

// ranCrashing returns the identifiers of the calls under which engines crashed.
func (s *site) ranCrashing() (ids []string) {
	for _, b := range append(append([]*impersonator.Backend(nil), s.engines...), s.services...) {
		for _, run := range b.Runs() {
			if run.Body == crashing {
				ids = append(ids, run.ID)
			}
		}
	}
	return ids
}

// refusals sends copies of the crashing call and checks that each that is said not to have
// run has not. It returns the number of copies that were kept from servers.
func (s *site) refusals(target string, copies int) (refused int) {
	s.t.Helper()
	for range copies {
		id, a := s.send(target, crashing)
		if a.status != http.StatusServiceUnavailable {
			continue
		}
		if strings.Contains(a.body, title) {
			refused++
		}
		if a.header.Get("Retry-After") == "" {
			s.t.Errorf("a refusal does not say when to come back: %+v", a)
		}
		if garnetworks.NewSet(s.ranCrashing()...).Has(id) {
			s.t.Errorf("the call %s ran and is told not to have run", id)
		}
	}
	return refused
}

// A call ended each engine that began to run it, and its caller sent it again and
// again. The node took each copy for a new call and each end for a loss like any other:
// two engines ended for each copy ("backend-lost", twice "unexpected EOF" before any event
// in its line), 28 and 34 of them in all, and every second sound call beside them failed.
// The cause: nothing remembered under which calls engines had ended.
func TestCallThatEndsItsEnginesIsKeptFromOthers(t *testing.T) {
	for name, target := range map[string]string{"model": streamURL, "plain service": safeURL} {
		t.Run(name, func(t *testing.T) {
			s := openCrashing(t)
			const copies = 12
			s.refusals(target, copies)
			if ran := s.ranCrashing(); len(ran) > mostEnded {
				t.Errorf("%d servers ended, want %d at most", len(ran), mostEnded)
			}
			for i := range copies {
				if _, a := s.send(streamURL, fmt.Sprint("sound ", i)); a.status != http.StatusOK {
					t.Errorf("a sound call got %+v", a)
				}
			}
		})
	}
}

// The copies of such a call came at other nodes, and at nodes that started after
// the engines had ended, when those that saw it are gone. Each node on its own would end
// three more engines.
func TestCallThatEndsItsEnginesIsKnownAtOtherNodes(t *testing.T) {
	s := openCrashing(t)
	second := s.join("n2")
	second.serve(streamURL)
	time.Sleep(spreadTime)
	s.eventually("the first node refuses the call", func() bool { return s.refusals(streamURL, 1) == 1 || len(s.ranCrashing()) > mostKnown })
	time.Sleep(spreadTime)
	if second.refusals(streamURL, 1) != 1 {
		t.Error("the second node does not refuse the call")
	}
	for _, node := range []*site{s, second} {
		node.stop()
		<-node.done
	}
	third := s.join("n3")
	third.serve(safeURL)
	time.Sleep(spreadTime)
	if third.refusals(streamURL, 1) != 1 {
		t.Error("a node that starts anew does not refuse the call")
	}
	if ran := s.ranCrashing(); len(ran) > mostKnown {
		t.Errorf("%d engines ended, want %d at most", len(ran), mostKnown)
	}
}

// Sound calls are in flight at the engines that end, and meet the call that ends
// them again at the engine that they go on at. None of them is taken for it: each is
// answered whole in the end, when its client sends it again as clients do.
func TestSoundCallsBesideOneThatEndsEnginesAreServed(t *testing.T) {
	s := openCrashing(t)
	const streams, tries = 24, 20
	for _, e := range s.engines {
		e.Events, e.EventTime = 30, 10*time.Millisecond
	}
	var calls sync.WaitGroup
	for i := range streams {
		calls.Go(func() {
			for range tries {
				_, a := s.send(streamURL, fmt.Sprint("sound ", i))
				if strings.Contains(a.body, title) {
					t.Errorf("a sound call is taken for one that ends engines: %+v", a)
				}
				if a.status == http.StatusOK && a.err == nil {
					if a.body != pieces(30) {
						t.Errorf("an answer that looks whole has %d bytes", len(a.body))
					}
					return
				}
				time.Sleep(100 * time.Millisecond)
			}
			t.Errorf("sound call %d was not answered in %d tries", i, tries)
		})
	}
	const copies = 12
	s.refusals(streamURL, copies)
	calls.Wait()
	if ran := s.ranCrashing(); len(ran) > mostKnown {
		t.Errorf("%d engines ended, want %d at most", len(ran), mostKnown)
	}
}

// Servers are stopped as planned, one after the other, with the same long call in
// flight. They were told to leave, so the call is not blamed for their ends.
func TestCallIsNotBlamedForServersThatLeave(t *testing.T) {
	s := openCrashing(t)
	slow := func(time time.Duration) {
		for _, b := range s.services {
			b.UpdateFaults(func(f *impersonator.BackendFaults) { f.ExecutionTime = time })
		}
	}
	slow(time.Minute)
	for range mostEnded {
		ctx, leave := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			s.call(http.MethodPost, safeURL, func(r *http.Request) { *r = *r.WithContext(ctx) })
		}()
		s.eventually("the call runs", func() bool { return s.running() != nil })
		first := s.running()
		first.Drain()
		s.eventually("the node knows that the server leaves", func() bool { return s.told("server-leaving", first.ID) })
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

// A zone was cut off, and a call that ran there broke off at three engines as its client
// sent it again. Their entries lapsed, since they did not reach the platform either, and
// each was taken for the end of its engine: the call was held at all nodes for ten minutes
// ("3 servers ended under it"), though the engines lived and served on once the cut was
// over. The cause: a partition makes entries lapse as crashes do.
func TestCallIsNotBlamedForEnginesThatWereCutOff(t *testing.T) {
	s := openCrashing(t)
	for _, e := range s.engines {
		e.UpdateFaults(func(f *impersonator.BackendFaults) { f.CrashBody = "" })
		e.Events, e.EventTime = 400, 10*time.Millisecond
	}
	const body = "sound"
	var cut []*impersonator.Backend
	for len(cut) < mostEnded {
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
		s.eventually("the node has left the engine", func() bool { return b.Running() == 0 })
		s.eventually("the entry lapses", func() bool { return s.told("server-gone", b.ID) })
		leave()
		<-done
		s.eventually("the call has ended", func() bool { return runningOf(s.engines) == nil })
	}
	time.Sleep(spreadTime)
	for _, b := range cut {
		b.Heal()
	}
	time.Sleep(spreadTime)
	for _, e := range s.engines {
		e.Events = 5
	}
	if _, a := s.send(streamURL, body); a.status != http.StatusOK {
		t.Errorf("the call got %+v", a)
	}
	if s.told("call-held", "") {
		t.Error("the call is held though no engine has ended")
	}
}

// running returns a plain server that runs a call and has not ended.
func (s *site) running() *impersonator.Backend { return runningOf(s.services) }

// runningOf returns the backend that runs a call and has not ended.
func runningOf(backends []*impersonator.Backend) *impersonator.Backend {
	for _, b := range backends {
		if b.Running() > 0 && !b.Stopped() {
			return b
		}
	}
	return nil
}

// told reports whether the node's log has an event of an instance.
func (s *site) told(event, instance string) bool {
	for line := range strings.Lines(s.logs.String()) {
		if strings.Contains(line, event) && strings.Contains(line, instance) {
			return true
		}
	}
	return false
}
