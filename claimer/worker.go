package claimer

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/garnetworks/garnetworks"
	"github.com/pkg/errors"
)

const (
	// giveUpAfter is the number of failures in a row after which waiting claims
	// are refused; fewer are ridden out within the claims' own time.
	giveUpAfter = 3
	// retryMin and retryMax bound the wait between failing rounds.
	retryMin = 50 * time.Millisecond
	retryMax = 2 * time.Second
	// forwardTimeout bounds the time that another node is given to commit.
	forwardTimeout = 500 * time.Millisecond
	// forwardPause is how long a node is not asked again after a failure; it
	// doubles with each further one up to forwardPauseMax, since a node can be
	// listed as ready and be cut off from this one for long.
	forwardPause    = 2 * time.Second
	forwardPauseMax = 30 * time.Second
	// moveInterval is the least distance between two moves to buckets.
	moveInterval = time.Second
	// cachedBytes bounds the buckets that a worker remembers, by their encoded
	// sizes: a node that writes all shards for itself holds 32 MB at most.
	cachedBytes = 2 << 20
)

// worker commits the operations of one shard, one group after the other. One
// goroutine runs it; the fields above mu belong to that goroutine.
type worker struct {
	claimer *Claimer
	number  int

	// shard is the newest known state, read or written at revision by read
	// number readAt; it is nil when unknown.
	shard    *Shard
	revision garnetworks.Revision
	readAt   uint64
	// adopted is when the state was read or written.
	adopted time.Time
	// highest is the highest revision ever seen.
	highest garnetworks.Revision
	buckets map[int]cachedBucket
	// nextWrite is the earliest time of the next write (rule C8).
	nextWrite time.Time
	// conflicts counts conflicts in a row.
	conflicts int
	// forwardAfter is when the committing node may be asked again; forwardFailures
	// counts its failures in a row.
	forwardAfter    time.Time
	forwardFailures int
	moveAfter       time.Time

	writes, conflicted, failed, forwarded, moves atomic.Uint64
	// bytes is the size of the shard's value when it was last written.
	bytes atomic.Int64

	mu      sync.Mutex
	pending []*ticket
	// inRound is the number of owed tickets outside pending.
	inRound int
	counter uint64
	wake    chan struct{}
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

// do submits a claim and waits for its result.
func (w *worker) do(ctx context.Context, op Op) (Result, error) {
	t := newTicket(op, false)
	if err := w.admit(t); err != nil {
		return Result{}, err
	}
	return w.await(ctx, t)
}

// await waits for a ticket's result or the end of ctx.
func (w *worker) await(ctx context.Context, t *ticket) (Result, error) {
	select {
	case <-t.done:
	case <-ctx.Done():
		if t.leave() {
			w.signal()
			return Result{}, errorOf(errors.Is(ctx.Err(), context.Canceled))
		}
		<-t.done
	}
	return t.result, t.err
}

// serve submits another node's operations and waits for their results.
func (w *worker) serve(ctx context.Context, ops []Op) ([]Result, error) {
	tickets := make([]*ticket, len(ops))
	for i := range ops {
		tickets[i] = newTicket(ops[i], true)
		if err := w.admit(tickets[i]); err != nil {
			leaveAll(tickets[:i])
			return nil, err
		}
	}
	results := make([]Result, len(ops))
	for i, t := range tickets {
		result, err := w.await(ctx, t)
		if err != nil {
			leaveAll(tickets[i:])
			return nil, err
		}
		results[i] = result
	}
	return results, nil
}

func leaveAll(tickets []*ticket) {
	for _, t := range tickets {
		t.leave()
	}
}

// admit queues a ticket that may be refused.
func (w *worker) admit(t *ticket) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	switch {
	case w.stopped:
		return garnetworks.Errorf(garnetworks.KindShuttingDown, "the node takes no more claims")
	case w.failures >= giveUpAfter && now.Before(w.retryAt):
		return unavailable("the object API does not answer")
	case len(w.pending) >= queueBound:
		return unavailable("too many claims are waiting")
	}
	w.queue(t)
	return nil
}

// submit queues an operation that is owed; it is never refused. The number of
// such operations is bounded by the number of claims given out.
func (w *worker) submit(op Op) *ticket {
	t := newTicket(op, false)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.queue(t)
	return t
}

// queue appends a ticket; the caller holds mu.
func (w *worker) queue(t *ticket) {
	w.counter++
	t.number = w.counter
	w.pending = append(w.pending, t)
	w.signal()
}

func (w *worker) signal() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// owed returns the number of operations that are not recorded yet though they
// have to be.
func (w *worker) owed() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := w.inRound
	for _, t := range w.pending {
		if t.owed() || t.sent && !t.remote {
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
		for ctx.Err() == nil && w.busy() {
			w.wait(ctx)
			w.round(ctx, w.take())
		}
	}
}

// refuses reports whether claims are refused at once now.
func (w *worker) refuses() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.failures >= giveUpAfter && time.Now().Before(w.retryAt)
}

// busy reports whether tickets wait.
func (w *worker) busy() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pending = pruned(w.pending)
	return len(w.pending) > 0
}

// wait keeps the distance to the last write and to the last failure.
func (w *worker) wait(ctx context.Context) {
	w.mu.Lock()
	until := w.retryAt
	w.mu.Unlock()
	if w.nextWrite.After(until) && !w.forwards() {
		until = w.nextWrite
	}
	if d := time.Until(until); d > 0 {
		sleep(ctx, d)
	}
}

// take removes the tickets of the next group from the queue. As long as a write
// with some of them may still land, the group is these alone, so that an outage
// leaves no more operations in doubt than one group holds.
func (w *worker) take() []*ticket {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pending = pruned(w.pending)
	doubtful := slices.ContainsFunc(w.pending, func(t *ticket) bool { return t.sent })
	var group, rest []*ticket
	for _, t := range w.pending {
		if doubtful && !t.sent && t.op.Kind == OpClaim {
			rest = append(rest, t)
			continue
		}
		group = append(group, t)
		if t.owed() || t.sent && !t.remote {
			w.inRound++
		}
	}
	w.pending = rest
	return group
}

// putBack queues tickets of a failed round again, before all others.
func (w *worker) putBack(group []*ticket) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.inRound = 0
	w.pending = append(group, w.pending...)
}

// round tries to commit a group once.
func (w *worker) round(ctx context.Context, group []*ticket) {
	if len(group) == 0 {
		return
	}
	group = w.forward(ctx, group)
	if len(group) == 0 {
		w.succeed()
		return
	}
	results, err := w.commit(ctx, group)
	if err != nil {
		w.putBack(group)
		w.fail(err)
		return
	}
	w.deliver(group, results)
	w.succeed()
	w.move(ctx)
}

// commit applies a group to the shard and returns results that are proven to be
// in the store.
func (w *worker) commit(ctx context.Context, group []*ticket) ([]Result, error) {
	ops := make([]Op, len(group))
	newest := uint64(0)
	for i, t := range group {
		ops[i] = t.op
		newest = max(newest, t.number)
	}
	if err := w.load(ctx, ops); err != nil {
		return nil, err
	}
	next, results, changed := w.shard.Apply(time.Now(), w.lookup, ops)
	if changed {
		return results, w.write(ctx, next, group)
	}
	if w.readAt >= newest {
		return results, nil
	}
	// Rule C7: nothing is to be written, but what is known may be out of date.
	w.shard = nil
	if err := w.load(ctx, ops); err != nil {
		return nil, err
	}
	next, results, changed = w.shard.Apply(time.Now(), w.lookup, ops)
	if changed {
		return results, w.write(ctx, next, group)
	}
	return results, nil
}

// write replaces the shard's object if it has not changed. After an error the
// shard is read again before the next try.
func (w *worker) write(ctx context.Context, next *Shard, group []*ticket) error {
	value, err := encode(next)
	if err != nil {
		return err
	}
	call, cancel := context.WithTimeout(ctx, w.claimer.options.CallTimeout)
	defer cancel()
	newest := w.now()
	w.paced()
	revision, err := w.claimer.options.API.Put(call, shardKey(w.number), value, w.revision)
	if err != nil {
		w.doubt(err, group)
		return err
	}
	w.writes.Add(1)
	w.bytes.Store(int64(len(value)))
	w.adopt(next, revision, newest)
	return nil
}

// doubt draws the consequences of a failed write: unless it provably had no
// effect, it may still land, also after its deadline.
func (w *worker) doubt(err error, group []*ticket) {
	if !garnetworks.IsKind(err, garnetworks.KindThrottled, garnetworks.KindObjectAPIDown) {
		w.shard = nil // rule G11: read back
	}
	if harmless(err) {
		return
	}
	for _, t := range group {
		t.sent = true // rule C4
	}
}

// harmless reports whether an error proves that a write had no effect and will
// have none.
func harmless(err error) bool {
	return garnetworks.IsKind(err, garnetworks.KindConflict, garnetworks.KindThrottled,
		garnetworks.KindTooLarge, garnetworks.KindObjectAPIDown)
}

// adopt takes a state that was in the store after the ticket number readAt.
func (w *worker) adopt(s *Shard, revision garnetworks.Revision, readAt uint64) {
	w.shard, w.revision, w.readAt, w.adopted = s, revision, readAt, time.Now()
	w.highest = max(w.highest, revision)
}

// now returns the number of the newest ticket.
func (w *worker) now() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.counter
}

// paced sets the earliest time of the next write. A write that follows early
// after conflicts is made up for by a longer wait.
func (w *worker) paced() {
	const jitter = 0.2
	o := &w.claimer.options
	distance := o.Interval * time.Duration(w.writers()*(1+w.conflicts))
	factor := 1 - jitter/2 + jitter*o.Random()
	w.nextWrite = time.Now().Add(time.Duration(float64(distance) * factor))
}

// load reads the shard if it is unknown, and the buckets of the operations' keys.
func (w *worker) load(ctx context.Context, ops []Op) error {
	if w.shard == nil || w.stale() {
		if err := w.read(ctx); err != nil {
			return err
		}
	}
	w.trim()
	for i := range ops {
		if err := w.loadBucket(ctx, ops[i].Key.Bucket()); err != nil {
			return err
		}
	}
	return nil
}

// stale reports whether another node has probably written the shard since it
// was read. A read then saves a write that would meet a conflict; the platform
// takes several times as many reads as writes.
func (w *worker) stale() bool {
	return w.writers() > 1 && time.Since(w.adopted) > w.claimer.options.Interval/4
}

// read reads the shard.
func (w *worker) read(ctx context.Context) error {
	newest := w.now()
	object, err := w.get(ctx, shardKey(w.number))
	if garnetworks.IsKind(err, garnetworks.KindNotFound) {
		object, err = garnetworks.Object{}, nil
	}
	if err != nil {
		return err
	}
	// A store that was set back to a backup has lost claims. Giving their keys
	// out again could run a call twice, so the node refuses claims instead.
	if object.Revision < w.highest {
		return garnetworks.Errorf(garnetworks.KindObjectAPIDown, "claims of shard %d went back from revision %d to %d", w.number, w.highest, object.Revision)
	}
	s := &Shard{Number: w.number}
	if object.Revision > 0 {
		if err := decode(object.Value, s); err != nil {
			return err
		}
	}
	w.adopt(s, object.Revision, newest)
	return nil
}

func (w *worker) get(ctx context.Context, key string) (garnetworks.Object, error) {
	call, cancel := context.WithTimeout(ctx, w.claimer.options.CallTimeout)
	defer cancel()
	return w.claimer.options.API.Get(call, key)
}

// trim bounds the memory for buckets; which ones go does not matter.
func (w *worker) trim() {
	total := 0
	for _, known := range w.buckets {
		total += known.bytes
	}
	for b, known := range w.buckets {
		if total <= cachedBytes {
			return
		}
		total -= known.bytes
		delete(w.buckets, b)
	}
}

// loadBucket reads a bucket unless a copy is known that the shard's mark allows
// (rule C9).
func (w *worker) loadBucket(ctx context.Context, b int) error {
	mark := w.shard.Marks[b]
	known, ok := w.buckets[b]
	if mark == 0 || ok && known.revision >= mark {
		return nil
	}
	object, err := w.get(ctx, bucketKey(w.number, b))
	if err != nil {
		return err
	}
	if object.Revision < mark {
		return garnetworks.Errorf(garnetworks.KindObjectAPIDown, "bucket %d/%d is at revision %d, below %d", w.number, b, object.Revision, mark)
	}
	bucket := &Bucket{}
	if err := decode(object.Value, bucket); err != nil {
		return err
	}
	w.buckets[b] = cachedBucket{bucket, object.Revision, len(object.Value)}
	return nil
}

// lookup finds a record in the loaded buckets.
func (w *worker) lookup(key Digest) (Record, bool) {
	b := key.Bucket()
	known, ok := w.buckets[b]
	if !ok || w.shard.Marks[b] == 0 {
		return Record{}, false
	}
	return known.bucket.Find(key)
}

// deliver hands results to the tickets' callers. A claim that became fresh for
// a caller that has left is released, and so is a refused one of which a copy
// may still be on its way: the call that holds the key now may free it, and the
// late copy would then take it for a call that never runs (rule C4).
func (w *worker) deliver(group []*ticket, results []Result) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.inRound = 0
	for i, t := range group {
		verdict := results[i].Verdict
		delivered := t.deliver(results[i], nil)
		if t.op.Kind != OpClaim || t.remote || verdict == VerdictRecorded {
			continue
		}
		if verdict == VerdictFresh && !delivered || verdict != VerdictFresh && t.sent {
			w.queue(t.release())
		}
	}
}

// succeed ends a series of failures.
func (w *worker) succeed() {
	w.conflicts = 0
	w.mu.Lock()
	down := w.failures >= giveUpAfter
	w.failures = 0
	w.retryAt = time.Time{}
	w.mu.Unlock()
	if down {
		w.record(garnetworks.Event{Kind: garnetworks.EventObjectAPIBack, Detail: "claims are given again"})
	}
}

// fail notes a failed round. A conflict is not a failure of the object API: it
// is tried again after a short random time. After giveUpAfter failures the
// waiting claims are refused, since their callers do better to come back.
func (w *worker) fail(err error) {
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
	gaveUp := w.failures == giveUpAfter
	var refused []*ticket
	if w.failures >= giveUpAfter {
		refused = slices.Clone(w.pending)
	}
	w.mu.Unlock()
	for _, t := range refused {
		t.refuse("the object API does not answer")
	}
	if gaveUp {
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
	if t.state.CompareAndSwap(ticketWaiting, ticketLeft) {
		t.err = err
		close(t.done)
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

// committer returns the node that commits the shard's operations for its
// region: the ready one with the highest rendezvous weight. It is a matter of
// cost alone; the conditional write decides whoever commits.
func (w *worker) committer() (garnetworks.NodeInfo, bool) {
	self := w.claimer.options.Node
	var best garnetworks.NodeInfo
	weight := uint64(0)
	for _, n := range w.claimer.roster() {
		if !n.Ready || n.Region != self.Region {
			continue
		}
		h := xxhash.Sum64String(shardKey(w.number) + "\x00" + string(n.ID))
		if h > weight {
			best, weight = n, h
		}
	}
	return best, weight > 0
}

// forwards reports whether the next group goes to another node.
func (w *worker) forwards() bool {
	if !w.claimer.options.Forwarder.Present || time.Now().Before(w.forwardAfter) {
		return false
	}
	n, ok := w.committer()
	return ok && n.ID != w.claimer.options.Node.ID
}

// forward hands the node's own operations to the committing node and returns
// those that remain to be committed here. After an error the operations may
// have been committed or may be later; they are idempotent (rule C2) and are
// committed here.
func (w *worker) forward(ctx context.Context, group []*ticket) []*ticket {
	if !w.forwards() {
		return group
	}
	node, _ := w.committer()
	var own, rest []*ticket
	var ops []Op
	for _, t := range group {
		if t.remote || t.sent {
			rest = append(rest, t)
			continue
		}
		own = append(own, t)
		ops = append(ops, t.op)
	}
	if len(own) == 0 {
		return rest
	}
	for _, t := range own {
		t.sent = true
	}
	call, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	results, err := w.claimer.options.Forwarder.Value.Commit(call, node, w.number, ops)
	if err != nil || len(results) != len(ops) {
		w.forwardFailures++
		pause := min(forwardPause<<min(w.forwardFailures-1, 10), forwardPauseMax)
		w.forwardAfter = time.Now().Add(pause)
		return group
	}
	w.forwardFailures = 0
	w.forwarded.Add(1)
	for i, t := range own {
		// The other node's answer ends its doubts, but for a claim that it
		// refused as ended: it may have tried to write it before.
		t.sent = results[i].Verdict == VerdictReleased
	}
	w.deliver(own, results)
	return rest
}
