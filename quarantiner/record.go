package quarantiner

import (
	"hash/fnv"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/garnetworks/garnetworks"
)

const (
	// MaxRuns bounds the interrupted runs that a record holds; the oldest are evicted.
	MaxRuns = 16
	// ExemptionPeriod is how long after a call with a content has completed no crash is
	// attributed to the content (Z4). It exceeds the time between the calls of a frequently
	// sent content, and bounds how long a content that has become harmful, for example by a
	// new model version, goes undetected.
	ExemptionPeriod = time.Minute
	// partExemptionPeriod is the same for a part of prompts, which calls share and begin often. It
	// bounds how long a part that has become harmful goes undetected.
	partExemptionPeriod = 2 * time.Second
	// crashSpacing is the time within which crashes count as one for a part: an outage that
	// interrupts many calls with the part at once is a single observation.
	crashSpacing = 50 * time.Millisecond
	// RetainThreshold is the number of runs from which a record is stored in the object API
	// (Z6). It is one below CrashThreshold, so that a node that reads the record can quarantine
	// the content after one more crash.
	RetainThreshold = 2
	// recordTTL is how long after its last interruption the record of a content with too few
	// crashes for a quarantine is kept.
	recordTTL = 10 * time.Minute
	// MinQuarantine is the length of a quarantine after CrashThreshold crashes. It leaves an
	// operator time to repair or roll back a model version.
	MinQuarantine = 10 * time.Minute
	// MaxQuarantine bounds the length of a quarantine; a crash every 12 hours is tolerable.
	MaxQuarantine = 12 * time.Hour
)

// run is an interrupted run of a call with the content. A record holds at most one for each
// incarnation.
type run struct {
	at    time.Time // first interruption known
	state garnetworks.CrashState
	// probes is the number of times the incarnation was probed, the last time at probedAt.
	probes   int
	probedAt time.Time
}

// record is what a node knows of a content, or of a part of prompts, and its interrupted runs (Z5).
type record struct {
	runs map[garnetworks.Incarnation]run
	// part says that the record is that of a part.
	part bool
	// completedAt is when a server last completed a call with the content, or survived the
	// beginning of an answer to a call with the part; zero if never.
	completedAt time.Time
	// trialAt is when some node was last allowed to let one call through (Z10); zero if never.
	trialAt time.Time
	// changedAt is when the record last changed.
	changedAt time.Time
	// observed says that this node itself saw a call with the content interrupted.
	observed bool
}

// add adds a run, or replaces the state of a known one by a stronger one, and reports whether
// that changed the record. The time of a known run stays.
func (r *record) add(incarnation garnetworks.Incarnation, at time.Time, state garnetworks.CrashState) bool {
	old, known := r.runs[incarnation]
	switch {
	case !known:
		r.runs[incarnation] = run{at: at, state: state}
		r.evictOldest()
		return true
	case state > old.state:
		old.state = state
		r.runs[incarnation] = old
		return true
	}
	return false
}

func (r *record) evictOldest() {
	if len(r.runs) <= MaxRuns {
		return
	}
	var oldest garnetworks.Incarnation
	for id, x := range r.runs {
		if o, ok := r.runs[oldest]; !ok || x.at.Before(o.at) {
			oldest = id
		}
	}
	delete(r.runs, oldest)
}

// attributable reports whether the content may have caused the interruption of a run: the
// crash isn't refuted, and came more than the exemption period after the last completion (Z4).
func (r *record) attributable(x run) bool {
	return x.state != garnetworks.CrashRefuted && (r.completedAt.IsZero() || x.at.Sub(r.completedAt) > r.exemptionPeriod())
}

func (r *record) exemptionPeriod() time.Duration {
	if r.part {
		return partExemptionPeriod
	}
	return ExemptionPeriod
}

// threshold returns the number of crashes that quarantine the content or the part.
func (r *record) threshold() int {
	if r.part {
		return partCrashThreshold
	}
	return CrashThreshold
}

// clusters returns the number of clusters of crashes, whose first crashes are spaced at least the
// given time apart.
func (r *record) clusters(spacing time.Duration) int {
	var times []time.Time
	for _, id := range r.incarnations(garnetworks.CrashConnectionRefused) {
		times = append(times, r.runs[id].at)
	}
	slices.SortFunc(times, time.Time.Compare)
	var first time.Time
	count := 0
	for _, at := range times {
		if count == 0 || at.Sub(first) >= spacing {
			first = at
			count++
		}
	}
	return count
}

// incarnations returns the incarnations of the attributable runs whose state is at least
// minState, sorted.
func (r *record) incarnations(minState garnetworks.CrashState) []garnetworks.Incarnation {
	var list []garnetworks.Incarnation
	for id, x := range r.runs {
		if x.state >= minState && r.attributable(x) {
			list = append(list, id)
		}
	}
	slices.SortFunc(list, garnetworks.Incarnation.Compare)
	return list
}

// learnsCompletion notes a completion that another node reported, and reports whether that changed
// the record: if it came later by more than the margin, or if fewer runs are attributable now.
func (r *record) learnsCompletion(at time.Time, margin time.Duration) bool {
	if !at.After(r.completedAt) {
		return false
	}
	before, attributable := r.completedAt, len(r.incarnations(garnetworks.CrashSuspected))
	r.completedAt = at
	if at.Sub(before) > margin || len(r.incarnations(garnetworks.CrashSuspected)) < attributable {
		return true
	}
	r.completedAt = before
	return false
}

// awaitsProof reports whether proofs of the suspected crashes could quarantine the content.
func (r *record) awaitsProof() bool {
	// Refused connections count as a confirmed crash until the incarnation answers (Z2).
	all := len(r.incarnations(garnetworks.CrashSuspected))
	return all >= r.threshold() && len(r.incarnations(garnetworks.CrashConnectionRefused)) < all
}

// lastInterruption returns when a call with the content was last interrupted, by any run,
// attributable or not.
func (r *record) lastInterruption() time.Time {
	var last time.Time
	for _, x := range r.runs {
		if x.at.After(last) {
			last = x.at
		}
	}
	return last
}

// quarantineTime returns the length of a quarantine, from the last interruption on (Z7). It doubles
// with each further crash of a content. Many calls can share a part and reach servers before it is
// quarantined, so there it doubles only with each crash after a trial.
func (r *record) quarantineTime() time.Duration {
	const maxDoublings = 10
	doublings := len(r.incarnations(garnetworks.CrashConnectionRefused)) - CrashThreshold
	if r.part {
		doublings = r.clusters(MinQuarantine) - 1
	}
	return min(MaxQuarantine, MinQuarantine<<min(max(doublings, 0), maxDoublings))
}

// expiresAt returns when the record may be removed. A record with enough crashes for a quarantine
// is kept for long after it, so that the next crash leads to a longer one. One that was acquitted is
// kept as long, since nodes that have not learned of that would pass the crashes on again.
func (r *record) expiresAt() time.Time {
	crashes := 0
	for _, x := range r.runs {
		if x.state >= garnetworks.CrashConnectionRefused && x.state != garnetworks.CrashRefuted {
			crashes++
		}
	}
	if crashes >= r.threshold() {
		return r.lastInterruption().Add(r.quarantineTime() + MaxQuarantine)
	}
	return r.lastInterruption().Add(recordTTL)
}

// retained reports whether the record has enough runs for Quarantiner.Retained and the object
// API (Z6). Refuted runs and those that a completion exempts count too: other nodes must learn
// of them to stop counting the crashes.
func (r *record) retained() bool { return len(r.runs) >= RetainThreshold }

// checksum returns a hash of the record's runs, their states and whether they are attributable,
// but not of its times, which differ between nodes by the transmission time of messages.
func (r *record) checksum(content garnetworks.ContentDigest) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(content)) // Write of a hash.Hash never fails
	for _, id := range slices.SortedFunc(maps.Keys(r.runs), garnetworks.Incarnation.Compare) {
		text := strconv.AppendInt([]byte(id.Instance), id.StartMS, 10)
		text = strconv.AppendBool(text, r.attributable(r.runs[id]))
		_, _ = h.Write(append(text, byte(r.runs[id].state)))
	}
	return h.Sum64()
}

// report returns the record as sent to other nodes.
func (r *record) report(content garnetworks.ContentDigest, now time.Time) garnetworks.ContentRecord {
	// A negative age means that no completion is known.
	rec := garnetworks.ContentRecord{Digest: content, LastCompletedAgeMS: -1}
	if !r.trialAt.IsZero() {
		rec.TrialAgeMS = max(1, now.Sub(r.trialAt).Milliseconds())
	}
	if !r.completedAt.IsZero() {
		rec.LastCompletedAgeMS = max(0, now.Sub(r.completedAt).Milliseconds())
	}
	for id, x := range r.runs {
		rec.Runs = append(rec.Runs, garnetworks.InterruptedRun{Instance: id.Instance, StartMS: id.StartMS, AgeMS: max(0, now.Sub(x.at).Milliseconds()), State: x.state})
	}
	slices.SortFunc(rec.Runs, func(a, b garnetworks.InterruptedRun) int { return a.Incarnation().Compare(b.Incarnation()) })
	return rec
}
