package quarantiner

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/garnetworks/garnetworks"
)

const (
	// MostRecords bounds the contents that a node remembers; those with the fewest ends
	// go first, the oldest of them before the others. An availability zone of 300 engines
	// that goes dark leaves some 1,500 calls broken off, each of which takes 300 bytes.
	MaxRecords = 2048
	// MostStored bounds the contents in the object API, and so its value to 0.3 MB.
	MaxStored = 256
	// mostTold bounds the records in a message between nodes to 10 KB.
	maxReported = 128
	// recentTime is how long a change is told to other nodes: four of their exchanges, so
	// that a few lost ones don't matter.
	recentPeriod = 600 * time.Millisecond
	// proofTime is how long a call waits for a proof. The server's host refuses within
	// milliseconds, and another node's question takes one exchange to be heard of.
	proofTimeout = 300 * time.Millisecond
	// mostSound bounds the contents that a node knows to be sound. At 25 calls a second
	// they are those of more than SoundTime.
	maxCompleted = 2048
)

// Options describe a quarantiner.
type Options struct {
	// Probe finds out whether a life has ended, by asking the server; if its entry is gone
	// only if ask is set. CrashSuspected means that it can't be told.
	Probe func(ctx context.Context, incarnation garnetworks.Incarnation, unregistered bool) garnetworks.CrashState
	// Objects is the object API itself.
	Objects garnetworks.ObjectAPI
	// Reads reports whether the node reads the object API for others, or reaches none.
	Reads func() bool
	// InitialReadDelay is how long a node that starts leaves the object to others, of which it
	// hears meanwhile.
	InitialReadDelay time.Duration
	// ReadWait is the longest wait of the watch; DefaultReadWait if it is 0.
	ReadWait time.Duration
	// Publish gets the object's value, with its revision, whenever the node has read or
	// written it, to spread it to others that take it by TakeObject; it may be nil.
	Publish func(value []byte, revision garnetworks.Revision)
	// Recorder is told which contents are held and which are no longer; it may be nil.
	Recorder garnetworks.Recorder
}

// Quarantiner knows which contents are held. It implements garnetworks.Quarantine and
// garnetworks.ContentRecordStore, and is safe for concurrent use.
type Quarantiner struct {
	options Options
	// asking and storing wake the duties that ask after lives and write records.
	probeWake, storeWake chan struct{}

	mu      sync.Mutex
	records map[garnetworks.ContentDigest]*record
	// held tells until when contents are held.
	quarantined map[garnetworks.ContentDigest]time.Time
	// sound tells when contents were last answered whole; order holds them by the time
	// at which they were first.
	completed       map[garnetworks.ContentDigest]time.Time
	completionOrder []garnetworks.ContentDigest
	// stored are the sums of the records that the object API is known to have.
	stored map[garnetworks.ContentDigest]uint64
	// sum is what Sum returns, if summed; each message between nodes asks for it.
	checksum      uint64
	checksumValid bool
	// news is closed, and made anew, whenever anything is learnt.
	updated chan struct{}
}

// New returns a quarantiner that holds nothing.
func New(options Options) *Quarantiner {
	options.ReadWait = cmp.Or(options.ReadWait, DefaultReadWait)
	return &Quarantiner{
		options: options, probeWake: make(chan struct{}, 1), storeWake: make(chan struct{}, 1),
		records: make(map[garnetworks.ContentDigest]*record), quarantined: make(map[garnetworks.ContentDigest]time.Time),
		completed: make(map[garnetworks.ContentDigest]time.Time), stored: make(map[garnetworks.ContentDigest]uint64),
		updated: make(chan struct{}),
	}
}

// Run asks after servers, and reads and writes the object API, until ctx ends.
func (q *Quarantiner) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { q.runProbes(ctx); return nil })
	g.Go(func() error { q.watchObject(ctx); return nil })
	g.Go(func() error { q.runStore(ctx); return nil })
	return g.Wait()
}

// Quarantined implements garnetworks.Quarantine.
//
// Failure: the third server ends, and the call is repeated at a fourth one in the
// milliseconds in which the third one's end is proven. So it waits while the proof that
// would hold it is due.
func (q *Quarantiner) Quarantined(ctx context.Context, content garnetworks.ContentDigest) (time.Duration, bool) {
	for {
		remaining, proofDue, updated := q.status(time.Now(), content)
		if remaining > 0 || proofDue <= 0 {
			return remaining, remaining > 0
		}
		timer := time.NewTimer(proofDue)
		select {
		case <-ctx.Done():
		case <-updated:
		case <-timer.C:
		}
		timer.Stop()
		if ctx.Err() != nil {
			return 0, false
		}
	}
}

// look returns for how long the content is held, for how long the proof that would hold it
// is due, and a channel that is closed when anything more is known.
func (q *Quarantiner) status(now time.Time, content garnetworks.ContentDigest) (remaining, proofDue time.Duration, updated <-chan struct{}) {
	q.mu.Lock()
	defer q.mu.Unlock()
	remaining = q.quarantined[content].Sub(now)
	if r := q.records[content]; remaining <= 0 && r != nil && r.pending() {
		proofDue = r.lastInterruption().Add(proofTimeout).Sub(now)
	}
	return remaining, proofDue, q.updated
}

// ReportInterrupted implements garnetworks.Quarantine.
func (q *Quarantiner) ReportInterrupted(content garnetworks.ContentDigest, incarnation garnetworks.Incarnation) {
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	r := q.record(content)
	r.observed = true
	if r.add(incarnation, now, garnetworks.CrashSuspected) {
		q.markChanged(now, content, r)
		q.updateQuarantined(now)
	}
}

// ReportCompleted implements garnetworks.Quarantine.
func (q *Quarantiner) ReportCompleted(content garnetworks.ContentDigest) {
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	if _, ok := q.completed[content]; !ok {
		q.completionOrder = append(q.completionOrder, content)
	}
	q.completed[content] = now
	if len(q.completionOrder) > maxCompleted {
		delete(q.completed, q.completionOrder[0])
		q.completionOrder = q.completionOrder[1:]
	}
	if r := q.records[content]; r != nil {
		q.markChanged(now, content, r)
		q.updateQuarantined(now)
	}
}

// Count returns the number of contents that are held.
func (q *Quarantiner) Count() int {
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	n := 0
	for _, until := range q.quarantined {
		if until.After(now) {
			n++
		}
	}
	return n
}

// record returns a content's record, and makes one if there is none; q.mu is held.
func (q *Quarantiner) record(content garnetworks.ContentDigest) *record {
	r := q.records[content]
	if r == nil {
		q.evict()
		r = &record{runs: make(map[garnetworks.Incarnation]run)}
		q.records[content] = r
	}
	return r
}

// makeRoom forgets a record if there are as many as may be (Z7); q.mu is held.
func (q *Quarantiner) evict() {
	if len(q.records) < MaxRecords {
		return
	}
	least := slices.MinFunc(slices.Collect(maps.Keys(q.records)), func(a, b garnetworks.ContentDigest) int {
		x, y := q.records[a], q.records[b]
		return cmp.Or(cmp.Compare(len(x.runs), len(y.runs)), x.changed.Compare(y.changed), cmp.Compare(a, b))
	})
	delete(q.records, least)
}

// learnt takes that something new is known of a content, before it is judged; q.mu is held.
func (q *Quarantiner) markChanged(now time.Time, content garnetworks.ContentDigest, r *record) {
	if at := q.completed[content]; at.After(r.completed) && now.Sub(at) < ExemptionPeriod {
		r.completed = at
	}
	r.changed = now
	if r.retained() {
		signal(q.probeWake)
		signal(q.storeWake)
	}
}

// judge decides anew what is held (Z3); q.mu is held.
func (q *Quarantiner) updateQuarantined(now time.Time) {
	close(q.updated)
	q.updated = make(chan struct{})
	q.checksumValid = false
	var suspects []suspect
	for content, r := range q.records {
		if len(r.runs) < CrashThreshold {
			continue
		}
		if crashes := r.incarnations(garnetworks.CrashConnectionRefused); len(crashes) >= CrashThreshold {
			suspects = append(suspects, suspect{content, crashes})
		}
	}
	quarantined := make(map[garnetworks.ContentDigest]time.Time)
	for _, content := range findCulprits(suspects) {
		r := q.records[content]
		crashes := r.incarnations(garnetworks.CrashConnectionRefused)
		quarantined[content] = r.lastInterruption().Add(quarantineTime(len(crashes)))
		if quarantined[content].After(now) && !q.quarantined[content].Equal(quarantined[content]) {
			q.recordEvent(garnetworks.EventCallQuarantined, fmt.Sprintf("content %s is held for %s: %d servers ended under it, among them %s", content, quarantined[content].Sub(now).Round(time.Second), len(crashes), crashes[len(crashes)-1].Instance))
		}
	}
	for content, until := range q.quarantined {
		if _, still := quarantined[content]; !still && until.After(now) {
			q.recordEvent(garnetworks.EventCallReleased, fmt.Sprintf("content %s is no longer held: a server answered it, or another one explains the ends", content))
		}
	}
	q.quarantined = quarantined
}

func (q *Quarantiner) recordEvent(kind garnetworks.EventKind, detail string) {
	if q.options.Recorder != nil {
		q.options.Recorder.Record(garnetworks.Event{Kind: kind, Detail: detail})
	}
}

// Merge implements garnetworks.ContentRecordStore.
func (q *Quarantiner) Merge(records []garnetworks.ContentRecord) {
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	updated := false
	for i := range records {
		updated = q.merge(now, &records[i]) || updated
	}
	if updated {
		q.updateQuarantined(now)
	}
}

// merge takes another node's record (Z5), and reports whether it tells anything new; q.mu
// is held.
func (q *Quarantiner) merge(now time.Time, reported *garnetworks.ContentRecord) bool {
	age := func(ms int64) time.Time { return now.Add(-time.Duration(max(0, ms)) * time.Millisecond) }
	updated := false
	r := q.records[reported.Digest]
	if r == nil && len(reported.Runs) == 0 {
		return false
	}
	if r == nil {
		r = q.record(reported.Digest)
	}
	for i := range reported.Runs {
		x := &reported.Runs[i]
		updated = r.add(x.Incarnation(), age(x.AgeMS), x.State) || updated
	}
	// Ages grow on the way by some milliseconds, which is no news.
	const margin = time.Second
	if reported.LastCompletedAgeMS >= 0 && age(reported.LastCompletedAgeMS).Sub(r.completed) > margin {
		r.completed = age(reported.LastCompletedAgeMS)
		updated = true
	}
	if r.expiresAt().Before(now) {
		delete(q.records, reported.Digest)
		q.checksumValid = false
		return false
	}
	if updated {
		q.markChanged(now, reported.Digest, r)
	}
	return updated
}

// Recent implements garnetworks.ContentRecordStore.
func (q *Quarantiner) Recent() []garnetworks.ContentRecord {
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.reports(now, q.selectContents(maxReported, func(r *record) bool { return now.Sub(r.changed) < recentPeriod }))
}

// Retained implements garnetworks.ContentRecordStore.
func (q *Quarantiner) Retained() []garnetworks.ContentRecord {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.reports(time.Now(), q.retained())
}

// lasting returns the contents whose records last; q.mu is held.
func (q *Quarantiner) retained() []garnetworks.ContentDigest {
	return q.selectContents(MaxStored, (*record).retained)
}

// chosen returns the contents of which something holds, those with the most runs first;
// q.mu is held. The order is the same at all nodes that know the same, so that they leave
// the same ones out.
func (q *Quarantiner) selectContents(limit int, keep func(*record) bool) []garnetworks.ContentDigest {
	var list []garnetworks.ContentDigest
	for content, r := range q.records {
		if keep(r) {
			list = append(list, content)
		}
	}
	slices.SortFunc(list, func(a, b garnetworks.ContentDigest) int {
		return cmp.Or(cmp.Compare(len(q.records[b].runs), len(q.records[a].runs)), cmp.Compare(a, b))
	})
	return list[:min(len(list), limit)]
}

// told returns the records of contents; q.mu is held.
func (q *Quarantiner) reports(now time.Time, contents []garnetworks.ContentDigest) []garnetworks.ContentRecord {
	var list []garnetworks.ContentRecord
	for _, content := range contents {
		list = append(list, q.records[content].report(content, now))
	}
	return list
}

// Checksum implements garnetworks.ContentRecordStore.
func (q *Quarantiner) Checksum() uint64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.checksumValid {
		q.checksum, q.checksumValid = 0, true
		for _, content := range q.retained() {
			q.checksum ^= q.records[content].checksum(content)
		}
	}
	return q.checksum
}

// forget drops what is no longer needed (Z7).
func (q *Quarantiner) expire() {
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	before := len(q.records)
	maps.DeleteFunc(q.records, func(_ garnetworks.ContentDigest, r *record) bool { return r.expiresAt().Before(now) })
	maps.DeleteFunc(q.stored, func(content garnetworks.ContentDigest, _ uint64) bool { return q.records[content] == nil })
	if len(q.records) != before {
		q.updateQuarantined(now)
	}
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
