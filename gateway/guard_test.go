package gateway

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/delegator"
	"github.com/garnetworks/garnetworks/meter"
	"github.com/garnetworks/garnetworks/retrier"
	"github.com/garnetworks/garnetworks/scheduler"
)

// newWatchedStream returns a gateway with two groups and a call that was placed at the first.
func newWatchedStream(t *testing.T) (*Gateway, *stream) {
	t.Helper()
	g := &Gateway{
		options:        Options{Suspect: func(garnetworks.GroupID) {}, Meter: meter.New(), Alone: true},
		scheduler:      scheduler.New("z", func() float64 { return 0 }),
		lastGroupEvent: make(map[garnetworks.GroupID]time.Time),
		watchdogs:      make(map[garnetworks.GroupID]garnetworks.Set[*watchdog]),
		retryWindows:   make(map[garnetworks.ServiceName]*retrier.Window),
		waiters:        make(map[garnetworks.CallID]chan scheduler.Decision),
		links:          delegator.NewLinks(),
	}
	g.bounds.Store(&garnetworks.SiteBounds{RetryWindow: 10 * time.Second, RetrySlack: 100})
	g.scheduler.SetGroups(time.Now(), []scheduler.Group{{ID: "a-grey", Model: "m", Slots: 26}, {ID: "b-well", Model: "m", Slots: 26}})
	x := &exchange{
		Gateway: g, service: &garnetworks.RoutedService{Name: "llm"},
		call:  &garnetworks.ProxiedCall{Model: "m", Received: time.Now()},
		route: &garnetworks.Route{Kind: garnetworks.RouteStreaming, Resumable: true, MaxAttempts: 2, Objective: 400 * time.Millisecond},
	}
	s := &stream{exchange: x}
	d, ok := s.place()
	if !ok || d.Group != "a-grey" {
		t.Fatalf("the call was placed at %+v", d)
	}
	s.tried = append(s.tried, d.Group)
	return g, s
}

// emitEvents lets a group send events to other calls for the duration d.
func (g *Gateway) emitEvents(group garnetworks.GroupID, d time.Duration) {
	const interval = 50 * time.Millisecond
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(interval) {
		g.mu.Lock()
		g.lastGroupEvent[group] = time.Now()
		g.mu.Unlock()
	}
}

// Guards against calls that wait at an engine that never begins them, while its health checks
// pass and its group sends events.
func TestCallWithoutFirstEventMoves(t *testing.T) {
	cases := map[string]struct {
		begins bool
		full   bool
		moves  bool
	}{
		"no first event":                    {moves: true},
		"first event, then a pause":         {begins: true},
		"no first event, no slot elsewhere": {full: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g, s := newWatchedStream(t)
				if c.full {
					g.scheduler.SetGroups(time.Now(), []scheduler.Group{{ID: "a-grey", Model: "m", Slots: 26}})
				}
				ctx, cancel := context.WithCancelCause(t.Context())
				wd := s.newWatchdog("a-grey", cancel)
				defer wd.stop()
				if c.begins {
					wd.recordEvent()
				}
				g.emitEvents("a-grey", 1900*time.Millisecond)
				if moved := context.Cause(ctx) == errStalled; moved != c.moves {
					t.Errorf("the call has moved: %t", moved)
				}
				if c.moves && s.reserved != "b-well" {
					t.Errorf("it reserved a slot at %q", s.reserved)
				}
			})
		})
	}
}

// Guards against a slot leak: a call reserves a slot elsewhere, then its stalled group completes
// the answer.
func TestUnusedReservationIsReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, s := newWatchedStream(t)
		wd := s.newWatchdog("a-grey", func(error) {})
		time.Sleep(3 * time.Second)
		wd.stop()
		if s.reserved != "b-well" {
			t.Fatalf("the call reserved a slot at %q", s.reserved)
		}
		s.releaseReserved()
		for _, p := range g.scheduler.Load(time.Now()).Groups {
			if p.Group == "b-well" {
				t.Errorf("%d calls hold slots there", p.Running)
			}
		}
	})
}

// Guards against calls that stay at a group that the lease holder reports lost, until this
// node's own longer timeout.
func TestCallLeavesGroupReportedLost(t *testing.T) {
	cases := map[string]struct {
		reported, events bool
		within           time.Duration
		moves            bool
	}{
		"reported lost":                   {reported: true, within: suspectTimeout + moveRetryInterval, moves: true},
		"reported lost, but sends events": {reported: true, events: true, within: suspectTimeout + moveRetryInterval},
		"not reported":                    {within: suspectTimeout + moveRetryInterval},
		"not reported, long silence":      {within: firstEventStallTimeout + moveRetryInterval, moves: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g, s := newWatchedStream(t)
				ctx, cancel := context.WithCancelCause(t.Context())
				wd := s.newWatchdog("a-grey", cancel)
				defer wd.stop()
				if c.reported {
					g.SetPeerLoad(garnetworks.LoadReport{Lost: []garnetworks.GroupID{"a-grey"}}, true)
				}
				for end := time.Now().Add(c.within); time.Now().Before(end); time.Sleep(moveRetryInterval / 2) {
					if c.events {
						wd.recordEvent()
					}
				}
				synctest.Wait()
				if moved := context.Cause(ctx) == errStalled; moved != c.moves {
					t.Errorf("the call has moved: %t", moved)
				}
			})
		})
	}
}
