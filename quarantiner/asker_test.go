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

func (w *fakeProber) probe(_ context.Context, l garnetworks.Incarnation, _ bool) garnetworks.CrashState {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.probes++
	return w.states[l]
}

// count returns the number of probes so far.
func (w *fakeProber) count() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.probes
}

func (w *fakeProber) set(state garnetworks.CrashState, incarnations ...int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, n := range incarnations {
		w.states[incarnation(n)] = state
	}
}

// Only crashes that are found within probeWindow of the interruption count; otherwise a
// planned restart after a partition would be attributed to the calls it interrupted.
func TestCrashesFoundAfterPartition(t *testing.T) {
	cases := map[string]struct {
		run  func(q *Quarantiner, w *fakeProber)
		want bool
	}{
		"two crashes are found late, within the window": {func(q *Quarantiner, w *fakeProber) {
			q.ReportInterrupted("x", incarnation(1))
			q.ReportInterrupted("x", incarnation(2))
			time.Sleep(8 * time.Second)
			w.set(garnetworks.CrashProven, 1, 2)
			time.Sleep(2 * probeBackoffMax)
			w.set(garnetworks.CrashConnectionRefused, 3)
			q.ReportInterrupted("x", incarnation(3))
		}, true},
		"partitioned servers are replaced after the window": {func(q *Quarantiner, w *fakeProber) {
			for n := range 3 {
				q.ReportInterrupted("x", incarnation(n))
			}
			time.Sleep(probeWindow + time.Second)
			w.set(garnetworks.CrashProven, 0, 1, 2)
		}, false},
		"connections refused during a partition, then answered": {func(q *Quarantiner, w *fakeProber) {
			w.set(garnetworks.CrashConnectionRefused, 0, 1, 2)
			for n := range 3 {
				q.ReportInterrupted("x", incarnation(n))
			}
			time.Sleep(2 * probeWindow)
			w.set(garnetworks.CrashRefuted, 0)
		}, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := &fakeProber{states: make(map[garnetworks.Incarnation]garnetworks.CrashState)}
				q := New(Options{Probe: w.probe})
				ctx, stop := context.WithCancel(t.Context())
				defer synctest.Wait()
				defer stop()
				go q.runProbes(ctx)
				c.run(q, w)
				time.Sleep(2 * probeBackoffMax)
				if got := q.isQuarantined("x"); got != c.want {
					t.Errorf("quarantined = %t", got)
				}
				before := w.count()
				time.Sleep(time.Minute)
				if more := w.count() - before; more > 3*int(time.Minute/probeBackoffMax) {
					t.Errorf("%d probes in a minute", more)
				}
			})
		})
	}
}
