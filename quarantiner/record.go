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
	// MaxRuns bounds the runs that are kept of a content; the oldest are evicted.
	MaxRuns = 16
	// ExemptionPeriod is how long a content is exempt after it was completed (Z4). It exceeds
	// the time between copies of a popular call, and bounds how long a content that has become
	// harmful, for example by a new model version, goes undetected.
	ExemptionPeriod = time.Minute
	// RetainThreshold is the number of runs from which a content's record is retained (Z6). A
	// node that knows of fewer lets at most two more servers crash.
	RetainThreshold = 2
	// recordTTL is how long a content is remembered that is not quarantined.
	recordTTL = 10 * time.Minute
	// MinQuarantine is the quarantine after CrashThreshold crashes. It leaves an operator time
	// to repair or roll back a model version.
	MinQuarantine = 10 * time.Minute
	// MaxQuarantine bounds a quarantine: a content that crashes a server twice a day does no harm.
	MaxQuarantine = 12 * time.Hour
)

// run is an incarnation at which a call with the content was interrupted.
type run struct {
	at    time.Time
	state garnetworks.CrashState
	// probes is the number of times the incarnation was probed, the last at probedAt.
	probes   int
	probedAt time.Time
}

// record is what a node knows of a content (Z5).
type record struct {
	runs map[garnetworks.Incarnation]run
	// completed is when a server last completed such a call; zero if never.
	completedAt time.Time
	// changed is when the record last changed.
	changedAt time.Time
	// observed says that this node itself saw a call with the content interrupted.
	observed bool
}

// add adds or updates a run, and reports whether that changed the record.
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

// attributable reports whether a run may be caused by the content (Z4).
func (r *record) attributable(x run) bool {
	return x.state != garnetworks.CrashRefuted && (r.completedAt.IsZero() || x.at.Sub(r.completedAt) > ExemptionPeriod)
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

// awaitsProof reports whether the content would be quarantined if all suspected crashes were
// confirmed.
func (r *record) awaitsProof() bool {
	all := len(r.incarnations(garnetworks.CrashSuspected))
	return all >= CrashThreshold && len(r.incarnations(garnetworks.CrashConnectionRefused)) < all
}

// lastInterruption is when the content was last interrupted.
func (r *record) lastInterruption() time.Time {
	var last time.Time
	for _, x := range r.runs {
		if x.at.After(last) {
			last = x.at
		}
	}
	return last
}

// quarantineTime is the length of the quarantine from the last interruption (Z7).
func quarantineTime(crashes int) time.Duration {
	const maxDoublings = 10
	return min(MaxQuarantine, MinQuarantine<<min(max(crashes-CrashThreshold, 0), maxDoublings))
}

// expiresAt is when the record may be removed. The record of a quarantined content outlives
// the quarantine, so that the next crash extends it.
func (r *record) expiresAt() time.Time {
	if crashes := len(r.incarnations(garnetworks.CrashConnectionRefused)); crashes >= CrashThreshold {
		return r.lastInterruption().Add(2 * quarantineTime(crashes))
	}
	return r.lastInterruption().Add(recordTTL)
}

// retained reports whether the record belongs to Retained and may be stored in the object API
// (Z6). Refuted runs and those before a completion count too: other nodes must learn of them
// to stop counting the crashes.
func (r *record) retained() bool { return len(r.runs) >= RetainThreshold }

// checksum is a digest of the record without its times, which differ between nodes by the
// transmission time of messages.
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
	rec := garnetworks.ContentRecord{Digest: content, LastCompletedAgeMS: -1}
	if !r.completedAt.IsZero() {
		rec.LastCompletedAgeMS = max(0, now.Sub(r.completedAt).Milliseconds())
	}
	for id, x := range r.runs {
		rec.Runs = append(rec.Runs, garnetworks.InterruptedRun{Instance: id.Instance, StartMS: id.StartMS, AgeMS: max(0, now.Sub(x.at).Milliseconds()), State: x.state})
	}
	slices.SortFunc(rec.Runs, func(a, b garnetworks.InterruptedRun) int { return a.Incarnation().Compare(b.Incarnation()) })
	return rec
}
