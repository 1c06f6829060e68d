package gateway

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/scheduler"
)

// newStream returns a call to model m whose caller waits for a time.
func newStream(g *Gateway, patience time.Duration) *stream {
	now := time.Now()
	s := &stream{exchange: &exchange{
		Gateway: g, ctx: context.Background(), deadline: now.Add(patience),
		call:  &garnetworks.ProxiedCall{Model: "m", Received: now, Deadline: now.Add(patience)},
		route: &garnetworks.Route{Name: "r", Timeout: 8 * time.Second, Objective: 300 * time.Millisecond},
	}}
	return s
}

// Guards against callers that return to another node and are rejected there as new ones.
func TestReturnedCallsAreAdmittedLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		g := newFollowingGateway(ctx, limitedAPI{}, garnetworks.SiteBounds{})
		g.scheduler.SetGroups(time.Now(), []scheduler.Group{{ID: "g", Model: "m", Slots: 20}})
		for range 30 {
			s := newStream(g, 8*time.Second)
			if d, ok := s.place(); !ok || d.Group == "" {
				t.Fatalf("not placed: %+v", d)
			}
			g.scheduler.FirstEvent(time.Now(), "m", "g", 250*time.Millisecond, 300*time.Millisecond)
			g.deliver(g.scheduler.Finished(time.Now(), "m", "g", 0, true))
		}
		s := newStream(g, 7*time.Second)
		d, ok := s.place()
		s.recordOrder(d)
		if !ok || !d.Late || !d.Returned {
			t.Errorf("a call that returned after a second: %+v", d)
		}
		fields := s.fields(200, garnetworks.OutcomeCompleted, nil, 0)
		for _, key := range []string{"returned", "admitted-late", "ahead-late"} {
			if !slices.Contains(fields, any(key)) {
				t.Errorf("the log line lacks %s: %v", key, fields)
			}
		}
		// The next attempt of the same call is the same arrival.
		request := s.schedulerCall()
		time.Sleep(time.Second)
		s.describeArrival(&request)
		if waited := s.call.Received.Sub(request.FirstArrived); waited != time.Second {
			t.Errorf("the call first arrived %s before its return, want 1s", waited)
		}
		stop()
		synctest.Wait()
	})
}
