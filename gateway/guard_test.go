package gateway

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/retrier"
	"github.com/garnetworks/garnetworks/scheduler"
)

// newGuarded returns a gateway with two groups, and a call that was sent to the first.
func newGuarded(t *testing.T) (*Gateway, *stream) {
	t.Helper()
	g := &Gateway{
		options:   Options{Suspect: func(garnetworks.GroupID) {}},
		scheduler: scheduler.New("z", func() float64 { return 0 }),
		progress:  make(map[garnetworks.GroupID]time.Time),
		retries:   make(map[garnetworks.ServiceName]*retrier.Window),
		waiters:   make(map[garnetworks.CallID]chan scheduler.Decision),
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

// keepMoving lets a group give events to other calls.
func (g *Gateway) keepMoving(group garnetworks.GroupID, d time.Duration) {
	const often = 50 * time.Millisecond
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(often) {
		g.mu.Lock()
		g.progress[group] = time.Now()
		g.mu.Unlock()
	}
}

// Story: an engine answers a part of its calls and never begins the others. Its health
// is good, and its group gives events all the time. The calls that it did not begin
// waited there until their clients left after two seconds.
func TestCallThatNeverBeginsMoves(t *testing.T) {
	cases := map[string]struct {
		begins bool
		full   bool
		moves  bool
	}{
		"never begins":                          {moves: true},
		"begins, and pauses":                    {begins: true},
		"never begins, with no place elsewhere": {full: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g, s := newGuarded(t)
				if c.full {
					g.scheduler.SetGroups(time.Now(), []scheduler.Group{{ID: "a-grey", Model: "m", Slots: 26}})
				}
				ctx, cancel := context.WithCancelCause(t.Context())
				guard := s.guard("a-grey", cancel)
				defer guard.stop()
				if c.begins {
					guard.event()
				}
				g.keepMoving("a-grey", 1900*time.Millisecond)
				if moved := context.Cause(ctx) == errStill; moved != c.moves {
					t.Errorf("the call has moved: %t", moved)
				}
				if c.moves && s.reserved != "b-well" {
					t.Errorf("it has a place at %q", s.reserved)
				}
			})
		})
	}
}

// Story: a group stands still, and its call takes a place elsewhere; at that moment
// the group gives the end of the answer after all. The place was never given back, and
// each such call left the other group one place less.
func TestUnusedPlaceIsGivenBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, s := newGuarded(t)
		guard := s.guard("a-grey", func(error) {})
		time.Sleep(3 * time.Second)
		guard.stop()
		if s.reserved != "b-well" {
			t.Fatalf("the call has a place at %q", s.reserved)
		}
		s.giveBack()
		for _, p := range g.scheduler.Load(time.Now()).Groups {
			if p.Group == "b-well" {
				t.Errorf("%d calls hold places there", p.Running)
			}
		}
	})
}

// Story: a group's instances all went dark, and the holder of the lease has told so. Calls
// without an event there waited for 1.2 s, those in the middle for 0.55, as if only this
// node's view spoke; a call that still gets events there stays.
func TestCallLeavesAGroupThatIsToldLost(t *testing.T) {
	cases := map[string]struct {
		told, events bool
		within       time.Duration
		moves        bool
	}{
		"told":                  {told: true, within: quietTime + moveAgain, moves: true},
		"told, but gives event": {told: true, events: true, within: quietTime + moveAgain},
		"not told":              {within: quietTime + moveAgain},
		"not told, for long":    {within: stillFirst + moveAgain, moves: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g, s := newGuarded(t)
				ctx, cancel := context.WithCancelCause(t.Context())
				guard := s.guard("a-grey", cancel)
				defer guard.stop()
				if c.told {
					g.SetOthers(garnetworks.LoadReport{Lost: []garnetworks.GroupID{"a-grey"}}, true)
				}
				for end := time.Now().Add(c.within); time.Now().Before(end); time.Sleep(moveAgain / 2) {
					if c.events {
						guard.event()
					}
				}
				synctest.Wait()
				if moved := context.Cause(ctx) == errStill; moved != c.moves {
					t.Errorf("the call has moved: %t", moved)
				}
			})
		})
	}
}
