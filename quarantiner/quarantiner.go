package quarantiner

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/garnetworks/garnetworks"
)

const (
	// MaxRecords bounds the contents that a node remembers, and likewise the parts; those with the
	// fewest runs are evicted first, the oldest of them before the others. It leaves room for the
	// calls that the outage of an availability zone interrupts, at about 300 bytes each.
	MaxRecords = 2048
	// evictedAtOnce is the number of records that are evicted together.
	evictedAtOnce = MaxRecords / 16
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
	// Recorder receives an event when a content or a part is quarantined or released; it may be nil.
	Recorder garnetworks.Recorder
}

// Quarantiner decides which calls are quarantined. It implements garnetworks.Quarantine
// and garnetworks.ContentRecordStore, and is safe for concurrent use.
type Quarantiner struct {
	options Options
	// probeWake, storeWake and trialWake wake the goroutines that probe servers, write records and
	// claim trials.
	probeWake, storeWake, trialWake chan struct{}

	mu      sync.Mutex
	records map[garnetworks.ContentDigest]*record
	// quarantined holds the quarantines by the content or part that has their crashes.
	quarantined map[garnetworks.ContentDigest]quarantine
	// trials holds the trials that this node was asked for or may carry out, likewise.
	trials map[garnetworks.ContentDigest]trial
	// completed are the contents that servers completed, survived the parts with which servers
	// survived the beginning of an answer.
	completed, survived completions
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
		options: options, probeWake: make(chan struct{}, 1), storeWake: make(chan struct{}, 1), trialWake: make(chan struct{}, 1),
		records: make(map[garnetworks.ContentDigest]*record), quarantined: make(map[garnetworks.ContentDigest]quarantine),
		trials: make(map[garnetworks.ContentDigest]trial), completed: newCompletions(), survived: newCompletions(),
		stored: make(map[garnetworks.ContentDigest]uint64), updated: make(chan struct{}),
	}
}

// Run probes servers, and reads and writes the object API, until ctx ends.
func (q *Quarantiner) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { q.runProbes(ctx); return nil })
	g.Go(func() error { q.watchObject(ctx); return nil })
	g.Go(func() error { q.runStore(ctx); return nil })
	g.Go(func() error { q.runTrials(ctx); return nil })
	return g.Wait()
}

// Quarantined implements garnetworks.Quarantine.
//
// It waits while a proof that would quarantine the call is due, for proofTimeout at most. Otherwise
// the call would be retried at a fourth server in the milliseconds before the third crash is proven.
func (q *Quarantiner) Quarantined(ctx context.Context, call garnetworks.CallIdentity) (time.Duration, bool) {
	began := time.Now()
	for {
		now := time.Now()
		remaining, proofDue, updated := q.status(now, &call)
		proofDue = min(proofDue, began.Add(proofTimeout).Sub(now))
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

// status returns for how long the call is still quarantined, for how long a proof that would
// quarantine it may still come, and a channel that is closed on the next change.
func (q *Quarantiner) status(now time.Time, call *garnetworks.CallIdentity) (remaining, proofDue time.Duration, updated <-chan struct{}) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for lead, u := range q.quarantined {
		if !u.covers(call) {
			continue
		}
		left := u.until.Sub(now)
		if left <= 0 {
			left = q.trialDelay(now, lead, call.ID)
		}
		remaining = max(remaining, left)
	}
	for _, digest := range digestsOf(call) {
		if r := q.records[digest]; remaining <= 0 && r != nil && r.awaitsProof() {
			proofDue = max(proofDue, r.lastInterruption().Add(proofTimeout).Sub(now))
		}
	}
	return remaining, proofDue, q.updated
}

// digestsOf returns all digests by which a call is known.
func digestsOf(call *garnetworks.CallIdentity) []garnetworks.ContentDigest {
	return append([]garnetworks.ContentDigest{call.Content}, call.Parts...)
}

// ReportInterrupted implements garnetworks.Quarantine.
func (q *Quarantiner) ReportInterrupted(call garnetworks.CallIdentity, incarnation garnetworks.Incarnation) {
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	updated := false
	for _, digest := range digestsOf(&call) {
		delete(q.trials, digest)
		r := q.record(digest)
		r.observed = true
		if r.add(incarnation, now, garnetworks.CrashSuspected) {
			q.markChanged(now, digest, r)
			updated = true
		}
	}
	if updated {
		q.updateQuarantined(now)
	}
}

// ReportSurvival implements garnetworks.Quarantine.
func (q *Quarantiner) ReportSurvival(call garnetworks.CallIdentity) {
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	updated := false
	for _, digest := range call.Parts {
		q.survived.add(now, digest)
		// Without a crash that is attributed to the part there is nothing to acquit it of.
		if r := q.records[digest]; r != nil && len(r.incarnations(garnetworks.CrashSuspected)) > 0 {
			q.markChanged(now, digest, r)
			updated = true
		}
	}
	if updated {
		q.updateQuarantined(now)
	}
}

// ReportCompleted implements garnetworks.Quarantine.
func (q *Quarantiner) ReportCompleted(call garnetworks.CallIdentity) {
	q.ReportSurvival(call)
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	q.completed.add(now, call.Content)
	if r := q.records[call.Content]; r != nil {
		q.markChanged(now, call.Content, r)
		q.updateQuarantined(now)
	}
}

// Count returns the number of quarantines in effect.
func (q *Quarantiner) Count() int {
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	n := 0
	for _, u := range q.quarantined {
		if u.until.After(now) {
			n++
		}
	}
	return n
}

// record returns the record of a content or part, creating it if there is none; q.mu is held.
func (q *Quarantiner) record(digest garnetworks.ContentDigest) *record {
	r := q.records[digest]
	if r == nil {
		q.evict(digest.IsPart())
		r = &record{runs: make(map[garnetworks.Incarnation]run), part: digest.IsPart()}
		q.records[digest] = r
	}
	return r
}

// evict makes room for the record of a content, or of a part, if there are MaxRecords of them (Z7);
// q.mu is held. It removes several at once, as an outage adds thousands in a moment.
func (q *Quarantiner) evict(part bool) {
	if len(q.records) < MaxRecords {
		return
	}
	var list []garnetworks.ContentDigest
	for digest, r := range q.records {
		if r.part == part {
			list = append(list, digest)
		}
	}
	if len(list) < MaxRecords {
		return
	}
	slices.SortFunc(list, func(a, b garnetworks.ContentDigest) int {
		x, y := q.records[a], q.records[b]
		return cmp.Or(cmp.Compare(len(x.runs), len(y.runs)), x.changedAt.Compare(y.changedAt), cmp.Compare(a, b))
	})
	for _, digest := range list[:evictedAtOnce] {
		delete(q.records, digest)
	}
}

// lastCompletion returns when this node last saw a server complete the content, or survive the part.
func (q *Quarantiner) lastCompletion(digest garnetworks.ContentDigest) time.Time {
	if digest.IsPart() {
		return q.survived.at[digest]
	}
	return q.completed.at[digest]
}

// markChanged notes that a record changed, before updateQuarantined; q.mu is held.
func (q *Quarantiner) markChanged(now time.Time, digest garnetworks.ContentDigest, r *record) {
	if at := q.lastCompletion(digest); at.After(r.completedAt) && now.Sub(at) < r.exemptionPeriod() {
		r.completedAt = at
	}
	r.changedAt = now
	if r.retained() {
		signal(q.probeWake)
		signal(q.storeWake)
	}
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
	// Ages differ by milliseconds of transmission, which is not a change unless crashes are exempt by it.
	const margin = time.Second
	if reported.LastCompletedAgeMS >= 0 && r.learnsCompletion(age(reported.LastCompletedAgeMS), margin) {
		updated = true
	}
	if reported.TrialAgeMS > 0 && age(reported.TrialAgeMS).After(r.trialAt) {
		r.trialAt = age(reported.TrialAgeMS)
	}
	if r.expiresAt().Before(now) {
		delete(q.records, reported.Digest)
		return true
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
