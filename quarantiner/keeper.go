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

// The object with the records that last (Z6).
const (
	objectPrefix = "quarantines/"
	objectKey    = objectPrefix + "calls"
)

// Times of reading and writing it.
const (
	// DefaultReadWait is the longest wait of the watch where one node reads for a cell. A
	// change ends it at once, and a path that has gone silent is found after it; nodes in
	// touch hear of records from each other long before.
	DefaultReadWait = 8 * time.Second
	// readMargin is how long past its wait the watch may take to answer.
	readMargin = 700 * time.Millisecond
	// callTime bounds other calls.
	callTime = time.Second
	// readsEvery is how often a node that does not read looks whether it shall: nodes lose
	// each other within a second, and have three to hear of what others know.
	readsEvery = 200 * time.Millisecond
	// Retries wait between these bounds.
	retryMin = 200 * time.Millisecond
	retryMax = 2 * time.Second
	// joinTime joins what is learnt of one end into one write: the ends under a call's two
	// attempts, and the answers to the questions after them.
	joinTime = 40 * time.Millisecond
	// othersTime is how long a node that reads leaves a change to the node that saw it.
	othersTime = 700 * time.Millisecond
	// writeTries bounds the writes in a row that find the object changed.
	writeTries = 4
)

// storedObject is the object's value.
type storedObject struct {
	Contents []storedRecord `json:"contents"`
}

type storedRecord struct {
	Content garnetworks.ContentDigest `json:"content"`
	Runs    []storedRun               `json:"runs"`
	// AnsweredMS is in Unix milliseconds, as are all times here; 0 if never.
	AnsweredMS int64 `json:"answered-ms,omitempty"`
}

type storedRun struct {
	Instance garnetworks.InstanceID `json:"instance"`
	Born     int64                  `json:"born,omitempty"`
	AtMS     int64                  `json:"at-ms"`
	State    string                 `json:"state"`
}

// stateNames are the states as they are stored.
var stateNames = map[garnetworks.CrashState]string{
	garnetworks.CrashSuspected: "suspected", garnetworks.CrashConnectionRefused: "refused", garnetworks.CrashRefuted: "refuted", garnetworks.CrashProven: "proven",
}

func stateOf(name string) (garnetworks.CrashState, bool) {
	for state, n := range stateNames {
		if n == name {
			return state, true
		}
	}
	return 0, false
}

// encode returns the object's value.
func encode(now time.Time, records []garnetworks.ContentRecord) ([]byte, error) {
	var object storedObject
	at := func(age int64) int64 { return now.UnixMilli() - age }
	for _, r := range records {
		s := storedRecord{Content: r.Digest}
		if r.LastCompletedAgeMS >= 0 {
			s.AnsweredMS = at(r.LastCompletedAgeMS)
		}
		for _, x := range r.Runs {
			s.Runs = append(s.Runs, storedRun{Instance: x.Instance, Born: x.StartMS, AtMS: at(x.AgeMS), State: stateNames[x.State]})
		}
		object.Contents = append(object.Contents, s)
	}
	return json.Marshal(object)
}

// decode reads the object's value. Clocks of nodes differ by seconds, holds take minutes;
// a time that lies ahead counts as now.
func decode(now time.Time, value []byte) ([]garnetworks.ContentRecord, error) {
	var object storedObject
	if err := json.Unmarshal(value, &object); err != nil {
		return nil, garnetworks.WrapError(garnetworks.KindInvalidRequest, err, "the records of held calls can't be decoded")
	}
	age := func(at int64) int64 { return max(0, now.UnixMilli()-at) }
	var records []garnetworks.ContentRecord
	for _, s := range object.Contents[:min(len(object.Contents), MostStored)] {
		r := garnetworks.ContentRecord{Digest: s.Content, LastCompletedAgeMS: -1}
		if s.AnsweredMS > 0 {
			r.LastCompletedAgeMS = age(s.AnsweredMS)
		}
		for _, x := range s.Runs[:min(len(s.Runs), MostRuns)] {
			if state, ok := stateOf(x.State); ok {
				r.Runs = append(r.Runs, garnetworks.InterruptedRun{Instance: x.Instance, StartMS: x.Born, AgeMS: age(x.AtMS), State: state})
			}
		}
		records = append(records, r)
	}
	return records, nil
}

// follow reads the object while the node reads for others.
func (q *Quarantiner) follow(ctx context.Context) {
	var revision garnetworks.Revision
	listed, failures := false, 0
	wait(ctx, q.options.FirstRead)
	for ctx.Err() == nil {
		if !q.options.Reads() {
			wait(ctx, readsEvery)
			continue
		}
		objects, next, err := q.read(ctx, listed, revision)
		switch {
		case err == nil:
			listed, revision, failures = true, next, 0
			q.takeObjects(objects)
		case garnetworks.IsKind(err, garnetworks.KindCompacted) && listed:
			listed = false
		default:
			failures++
			wait(ctx, watcher.Backoff(failures, retryMin, retryMax, rand.Float64()))
		}
	}
}

// read lists the object, or once it is listed waits for its change after a revision, and
// returns the revision to go on from.
func (q *Quarantiner) read(ctx context.Context, listed bool, after garnetworks.Revision) ([]garnetworks.Object, garnetworks.Revision, error) {
	if !listed {
		ctx, cancel := context.WithTimeout(ctx, callTime)
		defer cancel()
		return q.options.Objects.List(ctx, objectPrefix)
	}
	ctx, cancel := context.WithTimeout(ctx, q.options.ReadWait+readMargin)
	defer cancel()
	return q.options.Objects.Watch(ctx, objectPrefix, after, q.options.ReadWait)
}

func (q *Quarantiner) takeObjects(objects []garnetworks.Object) {
	for _, o := range objects {
		if o.Key == objectKey && !o.Deleted {
			q.TakeObject(o.Value)
			q.publish(o.Value, o.Revision)
		}
	}
}

func (q *Quarantiner) publish(value []byte, revision garnetworks.Revision) {
	if q.options.Publish != nil {
		q.options.Publish(value, revision)
	}
}

// TakeObject joins what the object tells.
func (q *Quarantiner) TakeObject(value []byte) {
	records, err := decode(time.Now(), value)
	if err != nil {
		// The next write replaces what another program wrote there.
		q.mu.Lock()
		defer q.mu.Unlock()
		q.tell(garnetworks.EventObjectRefused, err.Error())
		clear(q.stored)
		return
	}
	q.Merge(records)
	stored := sumsOf(records)
	q.mu.Lock()
	defer q.mu.Unlock()
	q.stored = stored
}

// sumsOf returns the sums of records as they were told.
func sumsOf(records []garnetworks.ContentRecord) map[garnetworks.ContentDigest]uint64 {
	sums := make(map[garnetworks.ContentDigest]uint64)
	for i := range records {
		sums[records[i].Digest] = sumOf(&records[i])
	}
	return sums
}

func sumOf(told *garnetworks.ContentRecord) uint64 {
	r := record{runs: make(map[garnetworks.Incarnation]run)}
	now := time.Now()
	if told.LastCompletedAgeMS >= 0 {
		r.answered = now.Add(-time.Duration(told.LastCompletedAgeMS) * time.Millisecond)
	}
	for i := range told.Runs {
		x := &told.Runs[i]
		r.join(x.Incarnation(), now.Add(-time.Duration(x.AgeMS)*time.Millisecond), x.State)
	}
	return r.sum(told.Digest)
}

// store writes what this node saw, and what others saw and did not write.
func (q *Quarantiner) store(ctx context.Context) {
	ticker := time.NewTicker(othersTime)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-q.storing:
			wait(ctx, joinTime)
		case <-ticker.C:
		}
		for range writeTries {
			if !q.unstored() || !garnetworks.IsKind(q.write(ctx), garnetworks.KindConflict) {
				break
			}
		}
	}
}

// storable returns the contents whose records belong into the object (Z6): those under
// which servers were found to have ended, and those that it has.
//
// Load pattern: a zone is cut off, and hundreds of sound calls break off twice there. Their
// records were written one after the other by all nodes, a fifth of a day's calls to the
// object API, though nothing was known but that a way was cut.
func (q *Quarantiner) storable() []garnetworks.ContentDigest {
	list := q.chosen(len(q.records), func(r *record) bool { return r.lasting() })
	list = slices.DeleteFunc(list, func(content garnetworks.ContentDigest) bool {
		_, has := q.stored[content]
		return !has && len(q.records[content].lives(garnetworks.CrashConnectionRefused)) < StoredEnds
	})
	return list[:min(len(list), MostStored)]
}

func (q *Quarantiner) toStore() []garnetworks.ContentRecord {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.told(time.Now(), q.storable())
}

// unstored reports whether there is anything that this node is to write.
func (q *Quarantiner) unstored() bool {
	now := time.Now()
	reads := q.options.Reads()
	q.mu.Lock()
	defer q.mu.Unlock()
	return slices.ContainsFunc(q.storable(), func(content garnetworks.ContentDigest) bool {
		r := q.records[content]
		mine := r.seen || reads && now.Sub(r.changed) > othersTime
		return mine && q.stored[content] != r.sum(content)
	})
}

// write joins the object with what the node knows. Its failure is told by the meter of the
// object API, and made up for by the next look.
func (q *Quarantiner) write(ctx context.Context) error {
	call, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	object, err := q.options.Objects.Get(call, objectKey)
	switch {
	case garnetworks.IsKind(err, garnetworks.KindNotFound):
		object.Revision = 0
	case err != nil:
		return err
	default:
		q.TakeObject(object.Value)
	}
	if !q.unstored() {
		return nil
	}
	now := time.Now()
	records := q.toStore()
	value, err := encode(now, records)
	if err != nil {
		return err
	}
	revision, err := q.options.Objects.Put(call, objectKey, value, object.Revision)
	if err != nil {
		return err
	}
	q.publish(value, revision)
	stored := sumsOf(records)
	q.mu.Lock()
	defer q.mu.Unlock()
	maps.Copy(q.stored, stored)
	return nil
}

func wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
