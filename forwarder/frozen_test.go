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

// site is three groups of one zone behind a router. The engine of g0 stands still
// from freezes to thaws, or refuses all calls meanwhile. The group's confirmation
// ends only when the bound for it is over.
type site struct {
	*router.Router
	freezes, thaws time.Time
	refuses        bool
	refused        atomic.Int64
}

func newSite() *site {
	s := &site{Router: router.New(router.Options{Node: "n", Zone: "z"})}
	s.freezes = time.Now().Add(10 * time.Second)
	s.thaws = s.freezes.Add(4 * time.Second)
	return s
}

// report gives the router a view of the zone each half second.
func (s *site) report(ctx context.Context) {
	for ctx.Err() == nil {
		now := time.Now()
		view := garnetworks.ZoneView{Zone: "z"}
		for _, id := range []garnetworks.GroupID{"g0", "g1", "g2"} {
			if id == "g0" && now.Sub(s.freezes) >= garnetworks.ConfirmationBound && now.Before(s.thaws) {
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

// ill reports whether the engine at the address is not well now.
func (s *site) ill(address string) bool {
	now := time.Now()
	return address == "g0" && !now.Before(s.freezes) && now.Before(s.thaws)
}

// work takes the given time, and longer while the engine is frozen.
func (s *site) work(ctx context.Context, address string, d time.Duration) error {
	err := sleep(ctx, d)
	if err == nil && s.ill(address) && !s.refuses {
		err = sleep(ctx, time.Until(s.thaws))
	}
	return err
}

func (s *site) Status(ctx context.Context, address string) (garnetworks.EngineStatus, error) {
	err := s.work(ctx, address, time.Millisecond)
	load := garnetworks.EngineLoad{Running: 8, At: time.Now()}
	return garnetworks.EngineStatus{Group: garnetworks.GroupID(address), Load: load}, err
}

func (s *site) Generate(ctx context.Context, address string, call *garnetworks.EngineCall) (garnetworks.EngineStream, error) {
	if s.refuses && s.ill(address) {
		s.refused.Add(1)
		cause := garnetworks.Errorf(garnetworks.KindNotReady, "a member is missing")
		return nil, &garnetworks.AttemptError{Phase: garnetworks.PhaseRefused, Cause: cause}
	}
	return &paced{call, call.ResumeFrom, func(next int) error {
		if next > call.ResumeFrom {
			return s.work(ctx, address, 40*time.Millisecond)
		}
		// Prompts differ, and so do the times to the first token.
		return s.work(ctx, address, time.Duration(80+call.Received.UnixNano()%97)*time.Millisecond)
	}}, nil
}

// siteResult is what the callers saw of the calls that came while g0 was not well.
type siteResult struct {
	mu           sync.Mutex
	whole, calls int
	kinds        map[garnetworks.Kind]int
	// firstTokens are sorted.
	firstTokens []time.Duration
}

// callAll sends perSecond calls of one second each until g0 is well again.
func (s *site) callAll(f *Forwarder, perSecond int) *siteResult {
	ctx, cancel := context.WithCancel(context.Background())
	var all sync.WaitGroup
	all.Go(func() { s.report(ctx) })
	result := &siteResult{kinds: map[garnetworks.Kind]int{}}
	var calls sync.WaitGroup
	pause := time.Second/time.Duration(perSecond) + 1
	for time.Now().Before(s.thaws) {
		time.Sleep(pause)
		calls.Go(func() {
			call := callFor(time.Minute)
			call.Model, call.MaxTokens = "m", 25
			during := !call.Received.Before(s.freezes)
			summary, err := f.Generate(ctx, call, &stuckSink{})
			if !during {
				return
			}
			result.mu.Lock()
			defer result.mu.Unlock()
			result.calls++
			result.kinds[garnetworks.KindOf(err)]++
			if err == nil {
				result.whole++
				result.firstTokens = append(result.firstTokens, summary.FirstToken)
			}
		})
	}
	calls.Wait()
	cancel()
	all.Wait()
	slices.Sort(result.firstTokens)
	return result
}

// The engine of one of three groups stands still for 4 s: its connections open,
// and nothing comes. Until the group's confirmation is over, a third of the calls
// goes there. The node knows how soon first tokens come here, and need not wait
// for the bound that would suit any engine.
func TestFrozenEngineDelaysFirstTokensLittle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite()
		f := New(Options{Engines: s, Groups: s, Prober: s})
		got := s.callAll(f, 15)
		count := len(got.firstTokens)
		median, p95, longest := got.firstTokens[count/2], got.firstTokens[count*95/100], got.firstTokens[count-1]
		t.Logf("%d of %d calls whole, first token: median %s, p95 %s, longest %s", got.whole, got.calls, median, p95, longest)
		// 0.84 s is the users' bound for 95 in 100 calls.
		if got.whole != got.calls || p95 > 840*time.Millisecond || longest > 1200*time.Millisecond {
			t.Errorf("%d of %d calls whole, first token: p95 %s, longest %s", got.whole, got.calls, p95, longest)
		}
	})
}

// The engine of one of three groups refuses all calls for some seconds, as one
// does that misses a member. Each refusal proves that the call did not run, and
// two other groups would take it.
func TestRefusedCallsRunElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite()
		s.refuses = true
		f := New(Options{Engines: s, Groups: s, Prober: s})
		got := s.callAll(f, 100)
		t.Logf("%d of %d calls whole, %d refusals, kinds %v", got.whole, got.calls, s.refused.Load(), got.kinds)
		if got.whole != got.calls {
			t.Errorf("%d of %d calls whole, kinds %v", got.whole, got.calls, got.kinds)
		}
	})
}
