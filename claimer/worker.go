package claimer

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/garnetworks/garnetworks"
	"github.com/pkg/errors"
)

// worker commits the operations of one shard in groups, one after the other. It is run by one
// goroutine, which owns the non-atomic fields above mu.
type worker struct {
	claimer *Claimer
	number  int

	// shard is the newest known state, at the given revision; it is nil if unknown.
	// readSequence is the newest ticket's number just before it was read or written.
	shard        *Shard
	revision     garnetworks.Revision
	readSequence uint64
	// loadedAt is when the state was read or written.
	loadedAt time.Time
	// highestRevision is the highest revision seen in the era, which is known if eraKnown is set.
	highestRevision garnetworks.Revision
	era             garnetworks.Era
	eraKnown        bool
	// latest is the newest state seen or written; nil if none. lost is that of an earlier era
	// whose records are not written again yet (rule C12).
	latest, lost *Shard
	buckets      map[int]cachedBucket
	// nextWrite is the earliest time of the next write (rule C8).
	nextWrite time.Time
	// conflicts counts consecutive conflicts.
	conflicts int
	// nextForward is the earliest time of the next forwarding; forwardFailures counts
	// consecutive failures of it.
	nextForward     time.Time
	forwardFailures int
	nextMove        time.Time

	writes, conflicted, failed, forwarded, bucketWrites atomic.Uint64
	// bytes is the size of the shard's value when it was last written.
	bytes atomic.Int64
	// newEra requests that the shard be read because an era has begun. changedAt is when its
	// state was last written or read, in Unix nanoseconds.
	newEra    atomic.Bool
	changedAt atomic.Int64

	mu      sync.Mutex
	pending []*ticket
	// inCommit is the number of unrecorded tickets outside pending.
	inCommit     int
	lastSequence uint64
	wake         chan struct{}
	// failures counts consecutive failed commits; retryAt ends the backoff after them.
	failures int
	retryAt  time.Time
	// holdUntil is until when claims are neither granted nor released (rule C12).
	holdUntil time.Time
	stopped   bool
}

type cachedBucket struct {
	bucket   *Bucket
	revision garnetworks.Revision
	// bytes is the size of the bucket's value.
	bytes int
}

func newWorker(c *Claimer, number int) *worker {
	return &worker{claimer: c, number: number, buckets: make(map[int]cachedBucket), wake: make(chan struct{}, 1)}
}

// submitAndWait submits a claim and waits for its result.
func (w *worker) submitAndWait(ctx context.Context, op Op) (Result, error) {
	t := newTicket(op, false)
	if err := w.tryEnqueue(t); err != nil {
		return Result{}, err
	}
	return w.await(ctx, t)
}

// await waits for a ticket's result or the end of ctx.
func (w *worker) await(ctx context.Context, t *ticket) (Result, error) {
	select {
	case <-t.done:
	case <-ctx.Done():
		if t.abandon() {
			w.signal()
			return Result{}, contextError(errors.Is(ctx.Err(), context.Canceled))
		}
		<-t.done
	}
	return t.result, t.err
}

// commitForwarded submits another node's operations and waits for their results.
func (w *worker) commitForwarded(ctx context.Context, ops []Op) ([]Result, error) {
	tickets := make([]*ticket, len(ops))
	for i := range ops {
		tickets[i] = newTicket(ops[i], true)
		if err := w.tryEnqueue(tickets[i]); err != nil {
			abandonAll(tickets[:i])
			return nil, err
		}
	}
	results := make([]Result, len(ops))
	for i, t := range tickets {
		result, err := w.await(ctx, t)
		if err != nil {
			abandonAll(tickets[i:])
			return nil, err
		}
		results[i] = result
	}
	return results, nil
}

func abandonAll(tickets []*ticket) {
	for _, t := range tickets {
		t.abandon()
	}
}

// tryEnqueue queues a ticket unless claims are refused now.
func (w *worker) tryEnqueue(t *ticket) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	switch {
	case w.stopped:
		return garnetworks.Errorf(garnetworks.KindShuttingDown, "the node takes no more claims")
	case t.op.Kind == OpClaim && now.Before(w.holdUntil):
		return w.heldError(now)
	case w.failures >= refuseAfterFailures && now.Before(w.retryAt):
		return unavailable("the object API does not answer")
	case len(w.pending) >= maxPending:
		return unavailable("too many claims are waiting")
	}
	w.enqueue(t)
	return nil
}

// submit queues an operation that must be recorded; it never refuses. The number of such
// operations is bounded by the number of granted claims.
func (w *worker) submit(op Op) *ticket {
	t := newTicket(op, false)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.enqueue(t)
	return t
}

// enqueue appends a ticket; the caller holds mu.
func (w *worker) enqueue(t *ticket) {
	w.lastSequence++
	t.sequence = w.lastSequence
	w.pending = append(w.pending, t)
	w.signal()
}

// signal wakes the worker.
func (w *worker) signal() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// unrecorded returns the number of this node's outcomes and claims in doubt that are not yet
// recorded.
func (w *worker) unrecorded() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := w.inCommit
	for _, t := range w.pending {
		if t.mustCommit() || t.inDoubt && !t.remote {
			n++
		}
	}
	return n
}

// run commits groups of tickets until ctx ends.
func (w *worker) run(ctx context.Context) {
	defer w.stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.wake:
		}
		if w.newEra.Swap(false) {
			w.writeLost(ctx)
		}
		for ctx.Err() == nil && w.hasPending() {
			w.waitForTurn(ctx)
			w.commitGroup(ctx, w.takeGroup())
		}
	}
}

// hasPending reports whether tickets wait.
func (w *worker) hasPending() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pending = prune(w.pending)
	return len(w.pending) > 0
}

// takeGroup removes the next group from the queue. While some tickets are in doubt, new claims
// wait, so that an outage leaves at most one group of claims in doubt.
func (w *worker) takeGroup() []*ticket {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pending = prune(w.pending)
	anyInDoubt := slices.ContainsFunc(w.pending, func(t *ticket) bool { return t.inDoubt })
	held := time.Now().Before(w.holdUntil)
	var group, rest []*ticket
	for _, t := range w.pending {
		if held && (t.op.Kind == OpClaim || t.op.Kind == OpRelease) || anyInDoubt && !t.inDoubt && t.op.Kind == OpClaim {
			rest = append(rest, t)
			continue
		}
		group = append(group, t)
		if t.mustCommit() || t.inDoubt && !t.remote {
			w.inCommit++
		}
	}
	w.pending = rest
	return group
}

// requeue puts the tickets of a failed commit back at the front of the queue.
func (w *worker) requeue(group []*ticket) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.inCommit = 0
	w.pending = append(group, w.pending...)
}

// commitGroup makes one attempt to commit a group.
func (w *worker) commitGroup(ctx context.Context, group []*ticket) {
	if len(group) == 0 {
		sleep(ctx, heldPoll)
		return
	}
	group = w.forward(ctx, group)
	if len(group) == 0 {
		w.recordSuccess()
		return
	}
	results, err := w.commit(ctx, group)
	if err != nil {
		w.requeue(group)
		w.recordFailure(err)
		return
	}
	w.deliver(group, results)
	w.recordSuccess()
	w.moveToBucket(ctx)
}

// deliver passes results to the tickets' callers. A claim granted to a caller that has stopped
// waiting is released, and so is a refused one that is in doubt: if the current holder releases
// the key, a delayed copy would otherwise claim it for a call that never runs (rule C4).
func (w *worker) deliver(group []*ticket, results []Result) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.inCommit = 0
	for i, t := range group {
		verdict := results[i].Verdict
		delivered := t.deliver(results[i], nil)
		if t.op.Kind != OpClaim || t.remote || verdict == VerdictRecorded {
			continue
		}
		if verdict == VerdictGranted && !delivered || verdict != VerdictGranted && t.inDoubt {
			w.enqueue(t.asRelease())
		}
	}
}

// stop refuses the waiting claims when the worker ends.
func (w *worker) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	for _, t := range w.pending {
		t.refuse("the node stops")
	}
}

func (w *worker) record(event garnetworks.Event) {
	if r := w.claimer.options.Recorder; r != nil {
		r.Record(event)
	}
}
