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

// worker commits the operations of one shard, one group after the other. One
// goroutine runs it; the fields above mu belong to that goroutine.
type worker struct {
	claimer *Claimer
	number  int

	// shard is the newest known state, read or written at revision by read
	// number readAt; it is nil when unknown.
	shard        *Shard
	revision     garnetworks.Revision
	readSequence uint64
	// adopted is when the state was read or written.
	loadedAt time.Time
	// highest is the highest revision ever seen.
	highestRevision garnetworks.Revision
	buckets         map[int]cachedBucket
	// nextWrite is the earliest time of the next write (rule C8).
	nextWrite time.Time
	// conflicts counts conflicts in a row.
	conflicts int
	// forwardAfter is when the committing node may be asked again; forwardFailures
	// counts its failures in a row.
	nextForward     time.Time
	forwardFailures int
	nextMove        time.Time

	writes, conflicted, failed, forwarded, bucketWrites atomic.Uint64
	// bytes is the size of the shard's value when it was last written.
	bytes atomic.Int64

	mu      sync.Mutex
	pending []*ticket
	// inRound is the number of owed tickets outside pending.
	inCommit     int
	lastSequence uint64
	wake         chan struct{}
	// failures counts failed rounds in a row; retryAt ends the wait after them.
	failures int
	retryAt  time.Time
	stopped  bool
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

// tryEnqueue queues a ticket that may be refused.
func (w *worker) tryEnqueue(t *ticket) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	switch {
	case w.stopped:
		return garnetworks.Errorf(garnetworks.KindShuttingDown, "the node takes no more claims")
	case w.failures >= refuseAfterFailures && now.Before(w.retryAt):
		return unavailable("the object API does not answer")
	case len(w.pending) >= maxPending:
		return unavailable("too many claims are waiting")
	}
	w.enqueue(t)
	return nil
}

// submit queues an operation that is owed; it is never refused. The number of
// such operations is bounded by the number of claims given out.
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

func (w *worker) signal() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// unrecorded returns the number of operations that are not recorded yet though they
// have to be.
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

// takeGroup removes the tickets of the next group from the queue. As long as a write
// with some of them may still land, the group is these alone, so that an outage
// leaves no more operations in doubt than one group holds.
func (w *worker) takeGroup() []*ticket {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pending = prune(w.pending)
	anyInDoubt := slices.ContainsFunc(w.pending, func(t *ticket) bool { return t.inDoubt })
	var group, rest []*ticket
	for _, t := range w.pending {
		if anyInDoubt && !t.inDoubt && t.op.Kind == OpClaim {
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

// requeue queues tickets of a failed round again, before all others.
func (w *worker) requeue(group []*ticket) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.inCommit = 0
	w.pending = append(group, w.pending...)
}

// commitGroup tries to commit a group once.
func (w *worker) commitGroup(ctx context.Context, group []*ticket) {
	if len(group) == 0 {
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

// deliver hands results to the tickets' callers. A claim that became fresh for
// a caller that has left is released, and so is a refused one of which a copy
// may still be on its way: the call that holds the key now may free it, and the
// late copy would then take it for a call that never runs (rule C4).
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

// stop refuses what still waits when the worker ends.
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
