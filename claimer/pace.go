package claimer

import (
	"context"
	"slices"
	"time"

	"github.com/garnetworks/garnetworks"
)

const (
	// refuseAfterFailures is the number of consecutive failures after which waiting claims
	// are refused; after fewer they wait for the next attempt.
	refuseAfterFailures = 3
	// retryMin and retryMax limit the backoff after failures.
	retryMin = 50 * time.Millisecond
	retryMax = 2 * time.Second
)

// refusesClaims reports whether claims are refused now without waiting.
func (w *worker) refusesClaims() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.failures >= refuseAfterFailures && time.Now().Before(w.retryAt)
}

// waitForTurn waits for the backoff after failures and, unless the next group is forwarded,
// for the write interval.
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

// scheduleNextWrite sets the earliest time of the next write. Retries after conflicts follow
// early, which the longer interval after them makes up for.
func (w *worker) scheduleNextWrite() {
	const jitter = 0.2
	o := &w.claimer.options
	interval := o.Interval * time.Duration(w.writers()*(1+w.conflicts))
	factor := 1 - jitter/2 + jitter*o.Random()
	w.nextWrite = time.Now().Add(time.Duration(float64(interval) * factor))
}

// recordSuccess resets the failure counters.
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

// recordFailure schedules the next attempt. A conflict is not a failure of the object API and
// is retried after a short random delay. After refuseAfterFailures failures the waiting claims
// are refused, so that their callers retry later.
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

// refuse returns an error to a waiting claim's caller. The ticket stays with the worker as
// abandoned.
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

// backoff returns a random time below a limit that doubles from low to high.
func backoff(failures int, low, high time.Duration, random float64) time.Duration {
	const doublings = 20
	ceiling := min(max(high, low), low<<min(max(failures-1, 0), doublings))
	return time.Duration((0.1 + 0.9*random) * float64(ceiling))
}

// writers returns the number of nodes that may write the shard: one per region with a
// Forwarder, else all ready nodes.
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
