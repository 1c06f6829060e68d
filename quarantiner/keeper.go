package quarantiner

import (
	"context"
	"encoding/json"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/watcher"
)

// Key of the object that stores the retained records (Z6).
const (
	objectPrefix = "quarantines/"
	objectKey    = objectPrefix + "calls"
)

// Times and bounds for reading and writing the object.
const (
	// DefaultReadWait is the longest wait of one watch request when one node reads for its
	// cell. A change ends the wait at once, and a dead connection is noticed after it; nodes
	// that reach each other exchange records long before.
	DefaultReadWait = 8 * time.Second
	// readMargin is how long past its wait a watch request may take to answer.
	readMargin = 700 * time.Millisecond
	// callTimeout bounds other requests to the object API.
	callTimeout = time.Second
	// roleCheckInterval is how often a node that does not read checks whether it should. It
	// must be well below the three seconds in which a node has to learn what others know.
	roleCheckInterval = 200 * time.Millisecond
	// Retries back off between these bounds.
	retryMin = 200 * time.Millisecond
	retryMax = 2 * time.Second
	// batchDelay batches the reports of one crash into one write: those of a call's two
	// attempts, and the probe results that follow.
	batchDelay = 40 * time.Millisecond
	// takeoverDelay is how long a node that reads leaves a change to the node that saw it.
	takeoverDelay = 700 * time.Millisecond
	// maxWriteAttempts bounds the consecutive writes that conflict.
	maxWriteAttempts = 4
)

// storedObject is the value of the object.
type storedObject struct {
	Contents []storedRecord `json:"contents"`
}

type storedRecord struct {
	Content garnetworks.ContentDigest `json:"content"`
	Runs    []storedRun               `json:"runs"`
	// LastCompletedMS is in Unix milliseconds, as are all times here; 0 if never.
	LastCompletedMS int64 `json:"answered-ms,omitempty"`
	// TrialMS is when a node was last allowed to let one call through; 0 if never.
	TrialMS int64 `json:"trial-ms,omitempty"`
}

type storedRun struct {
	Instance garnetworks.InstanceID `json:"instance"`
	StartMS  int64                  `json:"born,omitempty"`
	AtMS     int64                  `json:"at-ms"`
	State    string                 `json:"state"`
}

// stateNames are the stored names of the states.
var stateNames = map[garnetworks.CrashState]string{
	garnetworks.CrashSuspected: "suspected", garnetworks.CrashConnectionRefused: "refused", garnetworks.CrashRefuted: "refuted", garnetworks.CrashProven: "proven",
}

func parseState(name string) (garnetworks.CrashState, bool) {
	for state, n := range stateNames {
		if n == name {
			return state, true
		}
	}
	return 0, false
}

// encode returns the value of the object.
func encode(now time.Time, records []garnetworks.ContentRecord) ([]byte, error) {
	var object storedObject
	at := func(age int64) int64 { return now.UnixMilli() - age }
	for _, r := range records {
		s := storedRecord{Content: r.Digest}
		if r.LastCompletedAgeMS >= 0 {
			s.LastCompletedMS = at(r.LastCompletedAgeMS)
		}
		if r.TrialAgeMS > 0 {
			s.TrialMS = at(r.TrialAgeMS)
		}
		for _, x := range r.Runs {
			s.Runs = append(s.Runs, storedRun{Instance: x.Instance, StartMS: x.StartMS, AtMS: at(x.AgeMS), State: stateNames[x.State]})
		}
		object.Contents = append(object.Contents, s)
	}
	return json.Marshal(object)
}

// decode reads the value of the object. A time in the future counts as now: the clocks of
// nodes differ by seconds, while quarantines last minutes.
func decode(now time.Time, value []byte) ([]garnetworks.ContentRecord, error) {
	var object storedObject
	if err := json.Unmarshal(value, &object); err != nil {
		return nil, garnetworks.WrapError(garnetworks.KindInvalidRequest, err, "the records of quarantined calls can't be decoded")
	}
	age := func(at int64) int64 { return max(0, now.UnixMilli()-at) }
	var records []garnetworks.ContentRecord
	for _, s := range object.Contents[:min(len(object.Contents), MaxStored)] {
		r := garnetworks.ContentRecord{Digest: s.Content, LastCompletedAgeMS: -1}
		if s.LastCompletedMS > 0 {
			r.LastCompletedAgeMS = age(s.LastCompletedMS)
		}
		if s.TrialMS > 0 {
			r.TrialAgeMS = max(1, age(s.TrialMS))
		}
		for _, x := range s.Runs[:min(len(s.Runs), MaxRuns)] {
			if state, ok := parseState(x.State); ok {
				r.Runs = append(r.Runs, garnetworks.InterruptedRun{Instance: x.Instance, StartMS: x.StartMS, AgeMS: age(x.AtMS), State: state})
			}
		}
		records = append(records, r)
	}
	return records, nil
}

// watchObject reads the object while the node reads for others.
func (q *Quarantiner) watchObject(ctx context.Context) {
	var revision garnetworks.Revision
	listed, failures := false, 0
	sleep(ctx, q.options.InitialReadDelay)
	for ctx.Err() == nil {
		if !q.options.IsReader() {
			sleep(ctx, roleCheckInterval)
			continue
		}
		objects, next, err := q.read(ctx, listed, revision)
		switch {
		case err == nil:
			if !listed && len(objects) == 0 {
				q.forgetStored()
			}
			listed, revision, failures = true, next, 0
			q.mergeObjects(objects)
		case garnetworks.IsKind(err, garnetworks.KindCompacted) && listed:
			listed = false
		default:
			failures++
			sleep(ctx, watcher.Backoff(failures, retryMin, retryMax, rand.Float64()))
		}
	}
}

// read lists the object, or once it is listed waits for a change after a revision. It
// returns the revision to continue from.
func (q *Quarantiner) read(ctx context.Context, listed bool, after garnetworks.Revision) ([]garnetworks.Object, garnetworks.Revision, error) {
	if !listed {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		return q.options.Objects.List(ctx, objectPrefix)
	}
	ctx, cancel := context.WithTimeout(ctx, q.options.ReadWait+readMargin)
	defer cancel()
	return q.options.Objects.Watch(ctx, objectPrefix, after, q.options.ReadWait)
}

func (q *Quarantiner) mergeObjects(objects []garnetworks.Object) {
	for _, o := range objects {
		if o.Key == objectKey && !o.Deleted {
			q.MergeObject(o.Value)
			q.publish(o.Value, o.Revision)
		}
	}
}

// forgetStored notes that the object does not exist, so that the records are written again.
//
// Failure: the object API comes back from a copy from before the first record. New nodes learn of no
// quarantine, while those that know of it take it for stored.
func (q *Quarantiner) forgetStored() {
	q.mu.Lock()
	defer q.mu.Unlock()
	clear(q.stored)
}

func (q *Quarantiner) publish(value []byte, revision garnetworks.Revision) {
	if q.options.Publish != nil {
		q.options.Publish(value, revision)
	}
}

// MergeObject merges a value of the object into the node's records.
func (q *Quarantiner) MergeObject(value []byte) {
	records, err := decode(time.Now(), value)
	if err != nil {
		// The next write replaces the value that can't be decoded.
		q.mu.Lock()
		defer q.mu.Unlock()
		q.recordEvent(garnetworks.EventObjectRefused, err.Error())
		clear(q.stored)
		return
	}
	q.Merge(records)
	stored := checksums(records)
	q.mu.Lock()
	defer q.mu.Unlock()
	q.stored = stored
}

// checksums returns the checksum of each record.
func checksums(records []garnetworks.ContentRecord) map[garnetworks.ContentDigest]uint64 {
	sums := make(map[garnetworks.ContentDigest]uint64)
	for i := range records {
		sums[records[i].Digest] = checksumOf(&records[i])
	}
	return sums
}

func checksumOf(reported *garnetworks.ContentRecord) uint64 {
	r := record{runs: make(map[garnetworks.Incarnation]run), part: reported.Digest.IsPart()}
	now := time.Now()
	if reported.LastCompletedAgeMS >= 0 {
		r.completedAt = now.Add(-time.Duration(reported.LastCompletedAgeMS) * time.Millisecond)
	}
	for i := range reported.Runs {
		x := &reported.Runs[i]
		r.add(x.Incarnation(), now.Add(-time.Duration(x.AgeMS)*time.Millisecond), x.State)
	}
	return r.checksum(reported.Digest)
}

// runStore writes changes that this node saw, and those of others that were left unwritten.
func (q *Quarantiner) runStore(ctx context.Context) {
	ticker := time.NewTicker(takeoverDelay)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-q.storeWake:
			sleep(ctx, batchDelay)
		case <-ticker.C:
		}
		for range maxWriteAttempts {
			if !q.needsStore() || !garnetworks.IsKind(q.write(ctx), garnetworks.KindConflict) {
				break
			}
		}
	}
}

// storable returns the contents whose records belong in the object (Z6): those with enough
// confirmed crashes, and those already stored. Suspected crashes alone are not stored: a
// partition interrupts hundreds of harmless calls twice, and writing them all would load
// the object API for nothing.
func (q *Quarantiner) storable() []garnetworks.ContentDigest {
	list := q.selectContents(len(q.records), func(r *record) bool { return r.retained() })
	list = slices.DeleteFunc(list, func(content garnetworks.ContentDigest) bool {
		_, has := q.stored[content]
		return !has && len(q.records[content].incarnations(garnetworks.CrashConnectionRefused)) < RetainThreshold
	})
	return list[:min(len(list), MaxStored)]
}

func (q *Quarantiner) recordsToStore() []garnetworks.ContentRecord {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.reports(time.Now(), q.storable())
}

// needsStore reports whether there is anything for this node to write.
func (q *Quarantiner) needsStore() bool {
	now := time.Now()
	reads := q.options.IsReader()
	q.mu.Lock()
	defer q.mu.Unlock()
	return slices.ContainsFunc(q.storable(), func(content garnetworks.ContentDigest) bool {
		r := q.records[content]
		responsible := r.observed || reads && now.Sub(r.changedAt) > takeoverDelay
		return responsible && q.stored[content] != r.checksum(content)
	})
}

// write merges the object into the node's records and writes them back if needed. Errors
// are counted by the meter of the object API, and the next check retries.
func (q *Quarantiner) write(ctx context.Context) error {
	return q.update(ctx, q.needsStore)
}

// update reads the object and merges it into the node's records, and writes these back if change
// then returns true.
func (q *Quarantiner) update(ctx context.Context, change func() bool) error {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	object, err := q.options.Objects.Get(call, objectKey)
	switch {
	case garnetworks.IsKind(err, garnetworks.KindNotFound):
		object.Revision = 0
	case err != nil:
		return err
	default:
		q.MergeObject(object.Value)
	}
	if !change() {
		return nil
	}
	now := time.Now()
	records := q.recordsToStore()
	value, err := encode(now, records)
	if err != nil {
		return err
	}
	revision, err := q.options.Objects.Put(call, objectKey, value, object.Revision)
	if err != nil {
		return err
	}
	q.publish(value, revision)
	stored := checksums(records)
	q.mu.Lock()
	defer q.mu.Unlock()
	maps.Copy(q.stored, stored)
	return nil
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
