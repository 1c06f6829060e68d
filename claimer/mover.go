package claimer

import (
	"context"
	"time"

	"github.com/garnetworks/garnetworks"
)

// minMoveInterval is the minimum time between two moves to buckets.
const minMoveInterval = time.Second

// moveToBucket moves the settled records of the shard's fullest bucket to that bucket's
// object, if the shard is above its target size. It runs right after a commit, when the cached
// shard is current. A failure leaves the records in the shard, possibly in both places;
// readers merge the copies.
func (w *worker) moveToBucket(ctx context.Context) {
	now := time.Now()
	if w.shard == nil || now.Before(w.nextMove) {
		return
	}
	b, ok := w.shard.FullestBucket(now)
	if !ok {
		return
	}
	w.nextMove = now.Add(minMoveInterval)
	records := w.shard.Settled(now, b)
	revision, err := w.writeBucket(ctx, now, b, records)
	if err != nil {
		delete(w.buckets, b)
		return
	}
	_ = w.write(ctx, w.shard.Without(b, records, revision), nil)
}

// writeBucket adds records to a bucket and returns the bucket's new revision.
func (w *worker) writeBucket(ctx context.Context, now time.Time, b int, records []Record) (garnetworks.Revision, error) {
	// Rule C9: if an earlier bucket write succeeded and the shard write after it failed, the
	// bucket's revision is newer than the shard's mark. So the bucket is read, not taken from
	// the cache.
	current, err := w.readBucket(ctx, b)
	if err != nil {
		return 0, err
	}
	next, expired, fits := current.bucket.Merge(w.shard.ExpiryClock(now), w.claimer.options.Retention, records)
	if !fits {
		return 0, garnetworks.Errorf(garnetworks.KindTooLarge, "bucket %d/%d is full", w.number, b)
	}
	if err := w.deleteAnswers(ctx, expired); err != nil {
		return 0, err
	}
	value, err := encode(next)
	if err != nil {
		return 0, err
	}
	call, cancel := context.WithTimeout(ctx, w.claimer.options.CallTimeout)
	defer cancel()
	revision, err := w.claimer.options.API.Put(call, bucketKey(w.number, b), value, current.revision)
	if err != nil {
		return 0, err
	}
	w.bucketWrites.Add(1)
	w.buckets[b] = cachedBucket{next, revision, len(value)}
	return revision, nil
}

// readBucket reads a bucket. It returns an empty one if the bucket does not exist and the shard
// has no mark for it. A revision below the mark is an error.
func (w *worker) readBucket(ctx context.Context, b int) (cachedBucket, error) {
	object, err := w.get(ctx, bucketKey(w.number, b))
	if garnetworks.IsKind(err, garnetworks.KindNotFound) && w.shard.Marks[b] == 0 {
		return cachedBucket{bucket: &Bucket{}}, nil
	}
	if err != nil {
		return cachedBucket{}, err
	}
	if object.Revision < w.shard.Marks[b] {
		return cachedBucket{}, garnetworks.Errorf(garnetworks.KindObjectAPIDown, "bucket %d/%d has a lower revision than the shard's mark", w.number, b)
	}
	bucket := &Bucket{}
	if err := decode(object.Value, bucket); err != nil {
		return cachedBucket{}, err
	}
	return cachedBucket{bucket, object.Revision, len(object.Value)}, nil
}

// deleteAnswers deletes the stored answers of expired records. It runs before the write that
// removes the records, so that a crash in between leaves no unreferenced answers.
func (w *worker) deleteAnswers(ctx context.Context, records []Record) error {
	for i := range records {
		r := &records[i]
		call, cancel := context.WithTimeout(ctx, w.claimer.options.CallTimeout)
		err := w.deleteAnswer(call, r)
		cancel()
		if err != nil && !garnetworks.IsKind(err, garnetworks.KindNotFound) {
			return err
		}
	}
	return nil
}

// deleteAnswer deletes a record's stored answer, if there is one.
func (w *worker) deleteAnswer(ctx context.Context, r *Record) error {
	api, key := w.claimer.options.API, answerKey(r.Key, r.Call)
	err := api.Delete(ctx, key, r.Answer.Revision)
	if !garnetworks.IsKind(err, garnetworks.KindConflict) {
		return err
	}
	// The revision is of an earlier era. The key names the call, so the object is its answer.
	object, err := api.Get(ctx, key)
	if err != nil {
		return err
	}
	return api.Delete(ctx, key, object.Revision)
}
