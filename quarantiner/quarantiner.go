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
	// MaxRecords bounds the contents that a node remembers; those with the fewest runs are
	// evicted first, the oldest of them before the others. It leaves room for the calls that
	// the outage of an availability zone interrupts, at about 300 bytes each.
	MaxRecords = 2048
	// MaxStored bounds the contents in the object API, and so the object to 0.3 MB.
	MaxStored = 256
	// maxReported bounds the records in a message between nodes to 10 KB.
	maxReported = 128
	// recentPeriod is how long a change is sent to other nodes: four of their exchanges, so
	// that a few lost ones don't matter.
	recentPeriod = 600 * time.Millisecond
	// proofTimeout is how long after the last interruption a call waits for a proof.
	// The server's host refuses connections within milliseconds, and the result of another
	// node's probe takes one exchange to arrive.
	proofTimeout = 300 * time.Millisecond
	// maxCompleted bounds the contents that a node remembers as completed. It covers more
	// than ExemptionPeriod at 25 calls per second.
	maxCompleted = 2048
)

// Options configure a quarantiner.
type Options struct {
	// Probe finds out whether an incarnation has crashed, by contacting the server. A server
	// that is no longer registered is contacted only if unregistered is set. CrashSuspected
	// means that the result is inconclusive.
	Probe func(ctx context.Context, incarnation garnetworks.Incarnation, unregistered bool) garnetworks.CrashState
	// Objects is the object API itself, not a cache.
	Objects garnetworks.ObjectAPI
	// IsReader reports whether the node reads the object API for others, or reaches no other node.
	IsReader func() bool
	// InitialReadDelay is how long a node that starts leaves reading the object to others,
	// from which it learns the content meanwhile.
	InitialReadDelay time.Duration
	// ReadWait is the longest wait of one watch request; DefaultReadWait if it is 0.
	ReadWait time.Duration
	// Publish receives the object's value and revision whenever the node has read or written
	// it, to pass it to nodes that merge it with MergeObject; it may be nil.
	Publish func(value []byte, revision garnetworks.Revision)
	// Recorder receives an event when a content is quarantined or released; it may be nil.
	Recorder garnetworks.Recorder
}

// Quarantiner decides which contents are quarantined. It implements garnetworks.Quarantine
// and garnetworks.ContentRecordStore, and is safe for concurrent use.
type Quarantiner struct {
	options Options
	// probeWake and storeWake wake the goroutines that probe servers and write records.
	probeWake, storeWake chan struct{}

	mu      sync.Mutex
	records map[garnetworks.ContentDigest]*record
	// quarantined maps contents to the end of their quarantine, which may have passed.
	quarantined map[garnetworks.ContentDigest]time.Time
	// completed maps contents to their last completion; completionOrder holds them in the
	// order in which they were first added.
	completed       map[garnetworks.ContentDigest]time.Time
	completionOrder []garnetworks.ContentDigest
	// stored are the checksums of the records that the object API is known to hold.
	stored map[garnetworks.ContentDigest]uint64
	// checksum is what Checksum returns if checksumValid; each exchange asks for it.
	checksum      uint64
	checksumValid bool
	// updated is closed and replaced whenever a record changes.
	updated chan struct{}
}

// New returns a quarantiner without records.
func New(options Options) *Quarantiner {
	options.ReadWait = cmp.Or(options.ReadWait, DefaultReadWait)
	return &Quarantiner{
		options: options, probeWake: make(chan struct{}, 1), storeWake: make(chan struct{}, 1),
		records: make(map[garnetworks.ContentDigest]*record), quarantined: make(map[garnetworks.ContentDigest]time.Time),
		completed: make(map[garnetworks.ContentDigest]time.Time), stored: make(map[garnetworks.ContentDigest]uint64),
		updated: make(chan struct{}),
	}
}

// Run probes servers, and reads and writes the object API, until ctx ends.
func (q *Quarantiner) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { q.runProbes(ctx); return nil })
	g.Go(func() error { q.watchObject(ctx); return nil })
	g.Go(func() error { q.runStore(ctx); return nil })
	return g.Wait()
}

// Quarantined implements garnetworks.Quarantine.
//
// It waits while a proof that would quarantine the content is due. Otherwise the call would
// be retried at a fourth server in the milliseconds before the third crash is proven.
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

// status returns for how long the content is still quarantined, for how long a proof that
// would quarantine it may still come, and a channel that is closed on the next change.
func (q *Quarantiner) status(now time.Time, content garnetworks.ContentDigest) (remaining, proofDue time.Duration, updated <-chan struct{}) {
	q.mu.Lock()
	defer q.mu.Unlock()
	remaining = q.quarantined[content].Sub(now)
	if r := q.records[content]; remaining <= 0 && r != nil && r.awaitsProof() {
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

// Count returns the number of quarantined contents.
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

// record returns a content's record, creating it if there is none; q.mu is held.
func (q *Quarantiner) record(content garnetworks.ContentDigest) *record {
	r := q.records[content]
	if r == nil {
		q.evict()
		r = &record{runs: make(map[garnetworks.Incarnation]run)}
		q.records[content] = r
	}
	return r
}

// evict removes one record if there are MaxRecords (Z7); q.mu is held.
func (q *Quarantiner) evict() {
	if len(q.records) < MaxRecords {
		return
	}
	least := slices.MinFunc(slices.Collect(maps.Keys(q.records)), func(a, b garnetworks.ContentDigest) int {
		x, y := q.records[a], q.records[b]
		return cmp.Or(cmp.Compare(len(x.runs), len(y.runs)), x.changedAt.Compare(y.changedAt), cmp.Compare(a, b))
	})
	delete(q.records, least)
}

// markChanged notes that a record changed, before updateQuarantined; q.mu is held.
func (q *Quarantiner) markChanged(now time.Time, content garnetworks.ContentDigest, r *record) {
	if at := q.completed[content]; at.After(r.completedAt) && now.Sub(at) < ExemptionPeriod {
		r.completedAt = at
	}
	r.changedAt = now
	if r.retained() {
		signal(q.probeWake)
		signal(q.storeWake)
	}
}

// updateQuarantined recomputes the quarantined contents (Z3); q.mu is held.
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
			q.recordEvent(garnetworks.EventCallQuarantined, fmt.Sprintf("content %s is quarantined for %s: %d servers crashed during calls with it, among them %s", content, quarantined[content].Sub(now).Round(time.Second), len(crashes), crashes[len(crashes)-1].Instance))
		}
	}
	for content, until := range q.quarantined {
		if _, still := quarantined[content]; !still && until.After(now) {
			q.recordEvent(garnetworks.EventCallReleased, fmt.Sprintf("content %s is no longer quarantined: a server completed it, or the crashes are refuted or attributed to another one", content))
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

// merge merges another node's record (Z5), and reports whether it changed anything; q.mu
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
	// Ages differ by milliseconds of transmission, which is not a change.
	const margin = time.Second
	if reported.LastCompletedAgeMS >= 0 && age(reported.LastCompletedAgeMS).Sub(r.completedAt) > margin {
		r.completedAt = age(reported.LastCompletedAgeMS)
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
	return q.reports(now, q.selectContents(maxReported, func(r *record) bool { return now.Sub(r.changedAt) < recentPeriod }))
}

// Retained implements garnetworks.ContentRecordStore.
func (q *Quarantiner) Retained() []garnetworks.ContentRecord {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.reports(time.Now(), q.retained())
}

// retained returns the contents whose records are retained; q.mu is held.
func (q *Quarantiner) retained() []garnetworks.ContentDigest {
	return q.selectContents(MaxStored, (*record).retained)
}

// selectContents returns at most limit contents whose records satisfy keep, those with the
// most runs first; q.mu is held. The order is the same at all nodes with the same records,
// so that they omit the same ones.
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

// reports returns the records of contents as sent to other nodes; q.mu is held.
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

// expire removes records that have expired (Z7).
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
