package quarantiner

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
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
	// completed are the contents that servers completed, begun the parts with which servers
	// survived the beginning of an answer.
	completed, begun completions
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
		trials: make(map[garnetworks.ContentDigest]trial), completed: newCompletions(), begun: newCompletions(),
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

// quarantine is the quarantine of the calls that have all of some contents and parts.
type quarantine struct {
	// shared are the digests that all these calls have.
	shared []garnetworks.ContentDigest
	// until is when a call may be tried again, which may have passed.
	until time.Time
}

// covers reports whether the call is one of those quarantined.
func (u *quarantine) covers(call *garnetworks.CallIdentity) bool {
	return !slices.ContainsFunc(u.shared, func(digest garnetworks.ContentDigest) bool { return !call.Has(digest) })
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

// ReportBegun implements garnetworks.Quarantine.
func (q *Quarantiner) ReportBegun(call garnetworks.CallIdentity) {
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	updated := false
	for _, digest := range call.Parts {
		q.begun.add(now, digest)
		// Later beginnings of a part to which no crash is attributed tell nothing new.
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
	q.ReportBegun(call)
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

// lastCompletion returns when this node last saw the content completed or the part begun.
func (q *Quarantiner) lastCompletion(digest garnetworks.ContentDigest) time.Time {
	if digest.IsPart() {
		return q.begun.at[digest]
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

// updateQuarantined recomputes the quarantines (Z3, Z8); q.mu is held.
func (q *Quarantiner) updateQuarantined(now time.Time) {
	close(q.updated)
	q.updated = make(chan struct{})
	q.checksumValid = false
	var suspects []suspect
	for digest, r := range q.records {
		if len(r.runs) < CrashThreshold {
			continue
		}
		if crashes := r.incarnations(garnetworks.CrashConnectionRefused); len(crashes) >= CrashThreshold {
			suspects = append(suspects, suspect{digest: digest, crashes: crashes, spread: r.clusters(crashSpacing) >= r.threshold()})
		}
	}
	quarantined := make(map[garnetworks.ContentDigest]quarantine)
	for _, c := range findCulprits(suspects) {
		r := q.records[c.lead()]
		u := quarantine{shared: c.shared, until: r.lastInterruption().Add(r.quarantineTime())}
		quarantined[c.lead()] = u
		if old := q.quarantined[c.lead()]; u.until.After(now) && (!old.until.Equal(u.until) || !slices.Equal(old.shared, u.shared)) {
			q.recordEvent(garnetworks.EventCallQuarantined, fmt.Sprintf("content %s is quarantined for %s: %d servers crashed during calls with it, among them %s", describe(&u), u.until.Sub(now).Round(time.Second), len(c.crashes), c.crashes[len(c.crashes)-1].Instance))
		}
	}
	for lead, u := range q.quarantined {
		if _, still := quarantined[lead]; !still && u.until.After(now) {
			q.recordEvent(garnetworks.EventCallReleased, fmt.Sprintf("content %s is no longer quarantined: a server completed it or began to answer it, or the crashes are refuted or attributed to another one", describe(&u)))
		}
	}
	q.quarantined = quarantined
}

// describe names what the calls of a quarantine have in common.
func describe(u *quarantine) string {
	var names []string
	for _, digest := range u.shared {
		names = append(names, string(digest))
	}
	return strings.Join(names, " with ")
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

// selectContents returns at most limit contents and parts whose records satisfy keep; q.mu is held.
// Those to which the most runs are attributed come first, and parts before contents, since more
// calls depend on them. The order is the same at all nodes with the same records, so that they omit
// the same ones.
func (q *Quarantiner) selectContents(limit int, keep func(*record) bool) []garnetworks.ContentDigest {
	type candidate struct {
		digest     garnetworks.ContentDigest
		part       int
		attributed int
		runs       int
	}
	var list []candidate
	for digest, r := range q.records {
		if !keep(r) {
			continue
		}
		c := candidate{digest: digest, attributed: len(r.incarnations(garnetworks.CrashSuspected)), runs: len(r.runs)}
		if r.part {
			c.part = 1
		}
		list = append(list, c)
	}
	slices.SortFunc(list, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.attributed, a.attributed), cmp.Compare(b.part, a.part), cmp.Compare(b.runs, a.runs), cmp.Compare(a.digest, b.digest))
	})
	var digests []garnetworks.ContentDigest
	for _, c := range list[:min(len(list), limit)] {
		digests = append(digests, c.digest)
	}
	return digests
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
