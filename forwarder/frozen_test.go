package forwarder

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/router"
)

// threeGroups is a router with three groups in one zone. The engine of g0 freezes, or refuses
// all calls, from frozenFrom until frozenUntil. Its confirmation lapses only after
// ConfirmationBound.
type threeGroups struct {
	*router.Router
	frozenFrom, frozenUntil time.Time
	refusing                bool
	refusals                atomic.Int64
}

func newThreeGroups() *threeGroups {
	s := &threeGroups{Router: router.New(router.Options{Node: "n", Zone: "z"})}
	s.frozenFrom = time.Now().Add(10 * time.Second)
	s.frozenUntil = s.frozenFrom.Add(4 * time.Second)
	return s
}

// report reports the zone's groups to the router every half second.
func (s *threeGroups) report(ctx context.Context) {
	for ctx.Err() == nil {
		now := time.Now()
		view := garnetworks.ZoneView{Zone: "z"}
		for _, id := range []garnetworks.GroupID{"g0", "g1", "g2"} {
			if id == "g0" && now.Sub(s.frozenFrom) >= garnetworks.ConfirmationBound && now.Before(s.frozenUntil) {
				continue
			}
			view.Groups = append(view.Groups, garnetworks.GroupView{
				ID: id, Zone: "z", Model: "m", Token: 1, Address: string(id), State: garnetworks.GroupServing, Confirmed: true,
			})
		}
		s.SetView(now, view)
		time.Sleep(500 * time.Millisecond)
	}
}

// unhealthy reports whether the engine at the address is frozen or refuses calls now.
func (s *threeGroups) unhealthy(address string) bool {
	now := time.Now()
	return address == "g0" && !now.Before(s.frozenFrom) && now.Before(s.frozenUntil)
}

// respond waits for d, and longer while the engine is frozen.
func (s *threeGroups) respond(ctx context.Context, address string, d time.Duration) error {
	err := sleep(ctx, d)
	if err == nil && s.unhealthy(address) && !s.refusing {
		err = sleep(ctx, time.Until(s.frozenUntil))
	}
	return err
}

func (s *threeGroups) Status(ctx context.Context, address string) (garnetworks.EngineStatus, error) {
	err := s.respond(ctx, address, time.Millisecond)
	load := garnetworks.EngineLoad{Running: 8, At: time.Now()}
	return garnetworks.EngineStatus{Group: garnetworks.GroupID(address), Load: load}, err
}

func (s *threeGroups) Generate(ctx context.Context, address string, call *garnetworks.EngineCall) (garnetworks.EngineStream, error) {
	if s.refusing && s.unhealthy(address) {
		s.refusals.Add(1)
		cause := garnetworks.Errorf(garnetworks.KindNotReady, "a member is missing")
		return nil, &garnetworks.AttemptError{Phase: garnetworks.PhaseRefused, Cause: cause}
	}
	return &pacedStream{call, call.ResumeFrom, func(next int) error {
		if next > call.ResumeFrom {
			return s.respond(ctx, address, 40*time.Millisecond)
		}
		// The prompts differ, and so do the times to the first token.
		return s.respond(ctx, address, time.Duration(80+call.Received.UnixNano()%97)*time.Millisecond)
	}}, nil
}

// callResults are the results of the calls that were received once g0 became unhealthy.
type callResults struct {
	mu               sync.Mutex
	completed, calls int
	kinds            map[garnetworks.Kind]int
	// firstTokens are sorted.
	firstTokens []time.Duration
}

// runCalls sends perSecond calls a second until g0 is healthy again.
func (s *threeGroups) runCalls(f *Forwarder, perSecond int) *callResults {
	ctx, cancel := context.WithCancel(context.Background())
	var reporter sync.WaitGroup
	reporter.Go(func() { s.report(ctx) })
	result := &callResults{kinds: map[garnetworks.Kind]int{}}
	var calls sync.WaitGroup
	pause := time.Second/time.Duration(perSecond) + 1
	for time.Now().Before(s.frozenUntil) {
		time.Sleep(pause)
		calls.Go(func() {
			call := callFor(time.Minute)
			call.Model, call.MaxTokens = "m", 25
			counted := !call.Received.Before(s.frozenFrom)
			summary, err := f.Generate(ctx, call, &stallingSink{})
			if !counted {
				return
			}
			result.mu.Lock()
			defer result.mu.Unlock()
			result.calls++
			result.kinds[garnetworks.KindOf(err)]++
			if err == nil {
				result.completed++
				result.firstTokens = append(result.firstTokens, summary.FirstToken)
			}
		})
	}
	calls.Wait()
	cancel()
	reporter.Wait()
	slices.Sort(result.firstTokens)
	return result
}

// Guards against late first tokens while an engine is frozen with open connections and its
// group is still confirmed: the early probe must find it.
func TestFrozenEngineBarelyDelaysFirstTokens(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newThreeGroups()
		f := New(Options{Engines: s, Groups: s, Prober: s})
		got := s.runCalls(f, 15)
		count := len(got.firstTokens)
		median, p95, longest := got.firstTokens[count/2], got.firstTokens[count*95/100], got.firstTokens[count-1]
		t.Logf("%d of %d calls whole, first token: median %s, p95 %s, longest %s", got.completed, got.calls, median, p95, longest)
		// Users accept a 95th percentile of 840 ms.
		if got.completed != got.calls || p95 > 840*time.Millisecond || longest > 1200*time.Millisecond {
			t.Errorf("%d of %d calls whole, first token: p95 %s, longest %s", got.completed, got.calls, p95, longest)
		}
	})
}

// Guards against failing a call that one group refused as not run while other groups would
// serve it.
func TestRefusedCallsRunElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newThreeGroups()
		s.refusing = true
		f := New(Options{Engines: s, Groups: s, Prober: s})
		got := s.runCalls(f, 100)
		t.Logf("%d of %d calls whole, %d refusals, kinds %v", got.completed, got.calls, s.refusals.Load(), got.kinds)
		if got.completed != got.calls {
			t.Errorf("%d of %d calls whole, kinds %v", got.completed, got.calls, got.kinds)
		}
	})
}
