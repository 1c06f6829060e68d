package claimer

import (
	"context"
	"time"

	"github.com/garnetworks/garnetworks"
)

// maxCachedBytes limits the encoded size of the buckets cached by one worker.
const maxCachedBytes = 2 << 20

// commit applies a group to the shard and returns results that are proven to be in the store
// (rule C1).
func (w *worker) commit(ctx context.Context, group []*ticket) ([]Result, error) {
	ops := make([]Op, len(group))
	newest := uint64(0)
	for i, t := range group {
		ops[i] = t.op
		newest = max(newest, t.sequence)
	}
	if err := w.load(ctx, ops); err != nil {
		return nil, err
	}
	if w.holds(group) {
		return nil, garnetworks.Errorf(garnetworks.KindConflict, "claims of shard %d are held until those of earlier eras are written again", w.number)
	}
	next, results, changed := w.shard.Apply(time.Now(), w.lookup, ops)
	if changed || w.lost != nil {
		return results, w.write(ctx, next, group)
	}
	if w.readSequence >= newest {
		return results, nil
	}
	// Rule C7: there is nothing to write, but the cached state may be out of date.
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

// write replaces the shard's object if it has not changed. After an error other than
// throttling or an outage, the shard is read again before the next attempt.
func (w *worker) write(ctx context.Context, next *Shard, group []*ticket) error {
	value, err := encode(next)
	if err != nil {
		return err
	}
	call, cancel := context.WithTimeout(ctx, w.claimer.options.CallTimeout)
	defer cancel()
	newest := w.latestSequence()
	w.scheduleNextWrite()
	revision, err := w.claimer.options.API.Put(call, shardKey(w.number), value, w.revision)
	if err != nil {
		w.handleWriteError(err, group)
		return err
	}
	w.writes.Add(1)
	w.bytes.Store(int64(len(value)))
	w.setShard(next, revision, newest)
	w.lost = nil
	return nil
}

// handleWriteError discards the cached shard, except after throttling or an outage. It marks
// the group as in doubt unless the error proves that the write had no effect: it may still
// take effect, even after its deadline.
func (w *worker) handleWriteError(err error, group []*ticket) {
	if !garnetworks.IsKind(err, garnetworks.KindThrottled, garnetworks.KindObjectAPIDown) {
		w.shard = nil // rule G11: read back
	}
	if hadNoEffect(err) {
		return
	}
	for _, t := range group {
		t.inDoubt = true // rule C4
	}
}

// hadNoEffect reports whether an error proves that a write has had and will have no effect.
func hadNoEffect(err error) bool {
	return garnetworks.IsKind(err, garnetworks.KindConflict, garnetworks.KindThrottled,
		garnetworks.KindTooLarge, garnetworks.KindObjectAPIDown)
}

// setShard stores a state that was in the store after the ticket numbered readSequence.
func (w *worker) setShard(s *Shard, revision garnetworks.Revision, readSequence uint64) {
	w.shard, w.revision, w.readSequence, w.loadedAt = s, revision, readSequence, time.Now()
	w.latest = s
	w.changedAt.Store(w.loadedAt.UnixNano())
	w.highestRevision = max(w.highestRevision, revision)
}

// latestSequence returns the number of the newest ticket.
func (w *worker) latestSequence() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lastSequence
}

// load reads the shard if it is unknown or may be stale, and the buckets of the operations'
// keys.
func (w *worker) load(ctx context.Context, ops []Op) error {
	if w.shard == nil || w.maybeStale() {
		if err := w.read(ctx); err != nil {
			return err
		}
	}
	w.evictBuckets()
	for i := range ops {
		if err := w.loadBucket(ctx, ops[i].Key.Bucket()); err != nil {
			return err
		}
	}
	return nil
}

// maybeStale reports whether another node has probably written the shard since it was read.
// Reading first avoids a write that would conflict; the object API allows far more reads than
// writes.
func (w *worker) maybeStale() bool {
	return w.writers() > 1 && time.Since(w.loadedAt) > w.claimer.options.Interval/4
}

// read reads the shard; a missing object is an empty shard.
func (w *worker) read(ctx context.Context) error {
	newest := w.latestSequence()
	object, err := w.get(ctx, shardKey(w.number))
	revision, era := object.Revision, object.Revision.Era()
	if garnetworks.IsKind(err, garnetworks.KindNotFound) {
		revision, err = 0, nil
	}
	if err != nil {
		return err
	}
	// Granting the keys of claims that an older state lacks could run a call twice.
	if w.eraKnown && (era < w.era || era == w.era && revision < w.highestRevision) {
		return garnetworks.Errorf(garnetworks.KindObjectAPIDown, "claims of shard %d went back from revision %s to %s", w.number, w.highestRevision, object.Revision)
	}
	s := &Shard{Number: w.number}
	if revision > 0 {
		if err := decode(object.Value, s); err != nil {
			return err
		}
	}
	w.observeEra(era)
	if w.lost != nil && !s.restore(w.lost) {
		w.lost = nil
	}
	w.setShard(s, revision, newest)
	return nil
}

func (w *worker) get(ctx context.Context, key string) (garnetworks.Object, error) {
	call, cancel := context.WithTimeout(ctx, w.claimer.options.CallTimeout)
	defer cancel()
	return w.claimer.options.API.Get(call, key)
}

// evictBuckets removes arbitrary buckets from the cache until it is within its limit.
func (w *worker) evictBuckets() {
	total := 0
	for _, cached := range w.buckets {
		total += cached.bytes
	}
	for b, cached := range w.buckets {
		if total <= maxCachedBytes {
			return
		}
		total -= cached.bytes
		delete(w.buckets, b)
	}
}

// loadBucket reads a bucket unless the cached copy is at least at the revision that the shard
// requires (rule C9).
func (w *worker) loadBucket(ctx context.Context, b int) error {
	minRevision := w.shard.Marks[b]
	cached, ok := w.buckets[b]
	if minRevision == 0 || ok && cached.revision >= minRevision {
		return nil
	}
	object, err := w.get(ctx, bucketKey(w.number, b))
	if err != nil {
		return err
	}
	if object.Revision < minRevision {
		return garnetworks.Errorf(garnetworks.KindObjectAPIDown, "bucket %d/%d is at revision %d, below %d", w.number, b, object.Revision, minRevision)
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
	cached, ok := w.buckets[b]
	if !ok || w.shard.Marks[b] == 0 {
		return Record{}, false
	}
	return cached.bucket.Find(key)
}
