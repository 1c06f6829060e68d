package claimer

import (
	"context"
	"slices"
	"time"

	"github.com/garnetworks/garnetworks"
)

const (
	// refuseAfterFailures is the number of failures in a row after which waiting claims
	// are refused; fewer are ridden out within the claims' own time.
	refuseAfterFailures = 3
	// retryMin and retryMax bound the wait between failing rounds.
	retryMin = 50 * time.Millisecond
	retryMax = 2 * time.Second
)

// refusesClaims reports whether claims are refused at once now.
func (w *worker) refusesClaims() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.failures >= refuseAfterFailures && time.Now().Before(w.retryAt)
}

// waitForTurn keeps the distance to the last write and to the last failure.
func (w *worker) waitForTurn(ctx context.Context) {
	w.mu.Lock()
	until := w.retryAt
	w.mu.Unlock()
	if w.nextWrite.After(until) && !w.shouldForward() {
		until = w.nextWrite
	}
	if d := time.Until(until); d > 0 {
		sleep(ctx, d)
	}
}

// scheduleNextWrite sets the earliest time of the next write. A write that follows early
// after conflicts is made up for by a longer wait.
func (w *worker) scheduleNextWrite() {
	const jitter = 0.2
	o := &w.claimer.options
	interval := o.Interval * time.Duration(w.writers()*(1+w.conflicts))
	factor := 1 - jitter/2 + jitter*o.Random()
	w.nextWrite = time.Now().Add(time.Duration(float64(interval) * factor))
}

// recordSuccess ends a series of failures.
func (w *worker) recordSuccess() {
	w.conflicts = 0
	w.mu.Lock()
	down := w.failures >= refuseAfterFailures
	w.failures = 0
	w.retryAt = time.Time{}
	w.mu.Unlock()
	if down && w.claimer.refusingWorkers.Add(-1) == 0 {
		w.record(garnetworks.Event{Kind: garnetworks.EventObjectAPIRestored, Detail: "claims are given again"})
	}
}

// recordFailure notes a failed round. A conflict is not a failure of the object API: it
// is tried again after a short random time. After giveUpAfter failures the
// waiting claims are refused, since their callers do better to come back.
func (w *worker) recordFailure(err error) {
	o := &w.claimer.options
	if garnetworks.IsKind(err, garnetworks.KindConflict) {
		w.conflicted.Add(1)
		w.conflicts++
		w.nextWrite = time.Now().Add(backoff(w.conflicts, o.Interval/2, o.Interval*time.Duration(w.writers()), o.Random()))
		return
	}
	w.failed.Add(1)
	w.mu.Lock()
	w.failures++
	w.retryAt = time.Now().Add(backoff(w.failures, retryMin, retryMax, o.Random()))
	gaveUp := w.failures == refuseAfterFailures
	var refused []*ticket
	if w.failures >= refuseAfterFailures {
		refused = slices.Clone(w.pending)
	}
	w.mu.Unlock()
	for _, t := range refused {
		t.refuse("the object API does not answer")
	}
	if gaveUp && w.claimer.refusingWorkers.Add(1) == 1 {
		w.record(garnetworks.Event{Kind: garnetworks.EventObjectAPIDown, Error: garnetworks.KindOf(err), Detail: "claims are refused"})
	}
}

// refuse tells a waiting claim's caller that it did not get the key. The
// ticket stays with the worker as one whose caller has left.
func (t *ticket) refuse(detail string) {
	if t.op.Kind != OpClaim {
		return
	}
	err := unavailable(detail)
	if t.state.CompareAndSwap(ticketWaiting, ticketAbandoned) {
		t.err = err
		close(t.done)
	}
}

// backoff returns a random time below a ceiling that doubles from low to high.
func backoff(failures int, low, high time.Duration, random float64) time.Duration {
	const doublings = 20
	ceiling := min(max(high, low), low<<min(max(failures-1, 0), doublings))
	return time.Duration((0.1 + 0.9*random) * float64(ceiling))
}

// writers returns the number of nodes that may write the shard: one in each
// region where nodes commit for each other, else all ready ones.
func (w *worker) writers() int {
	regions := garnetworks.NewSet[garnetworks.RegionID]()
	ready := 0
	for _, n := range w.claimer.roster() {
		if n.Ready {
			regions.Add(n.Region)
			ready++
		}
	}
	if w.claimer.options.Forwarder.Present {
		return max(len(regions), 1)
	}
	return max(ready, 1)
}
