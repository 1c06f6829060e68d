package quarantiner

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/garnetworks/garnetworks"
)

// fakeProber answers probes with preset states.
type fakeProber struct {
	mu     sync.Mutex
	states map[garnetworks.Incarnation]garnetworks.CrashState
	probes int
}

func (p *fakeProber) probe(_ context.Context, id garnetworks.Incarnation, _ bool) garnetworks.CrashState {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.probes++
	return p.states[id]
}

// count returns the number of probes so far.
func (p *fakeProber) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.probes
}

func (p *fakeProber) set(state garnetworks.CrashState, incarnations ...int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, n := range incarnations {
		p.states[incarnation(n)] = state
	}
}

// Only crashes that are found within probeWindow of the interruption count; otherwise a
// planned restart after a partition would be attributed to the calls it interrupted.
func TestCrashesFoundAfterPartition(t *testing.T) {
	cases := map[string]struct {
		run  func(q *Quarantiner, p *fakeProber)
		want bool
	}{
		"two crashes are found late, within the window": {func(q *Quarantiner, p *fakeProber) {
			q.ReportInterrupted(copyOf("x"), incarnation(1))
			q.ReportInterrupted(copyOf("x"), incarnation(2))
			time.Sleep(8 * time.Second)
			p.set(garnetworks.CrashProven, 1, 2)
			time.Sleep(2 * probeBackoffMax)
			p.set(garnetworks.CrashConnectionRefused, 3)
			q.ReportInterrupted(copyOf("x"), incarnation(3))
		}, true},
		"partitioned servers are replaced after the window": {func(q *Quarantiner, p *fakeProber) {
			for n := range 3 {
				q.ReportInterrupted(copyOf("x"), incarnation(n))
			}
			time.Sleep(probeWindow + time.Second)
			p.set(garnetworks.CrashProven, 0, 1, 2)
		}, false},
		"connections refused during a partition, then answered": {func(q *Quarantiner, p *fakeProber) {
			p.set(garnetworks.CrashConnectionRefused, 0, 1, 2)
			for n := range 3 {
				q.ReportInterrupted(copyOf("x"), incarnation(n))
			}
			time.Sleep(2 * probeWindow)
			p.set(garnetworks.CrashRefuted, 0)
		}, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := &fakeProber{states: make(map[garnetworks.Incarnation]garnetworks.CrashState)}
				q := New(Options{Probe: p.probe})
				ctx, stop := context.WithCancel(t.Context())
				defer synctest.Wait()
				defer stop()
				go q.runProbes(ctx)
				c.run(q, p)
				time.Sleep(2 * probeBackoffMax)
				if got := q.isQuarantined("x"); got != c.want {
					t.Errorf("quarantined = %t", got)
				}
				before := p.count()
				time.Sleep(time.Minute)
				if more := p.count() - before; more > 3*int(time.Minute/probeBackoffMax) {
					t.Errorf("%d probes in a minute", more)
				}
			})
		})
	}
}
