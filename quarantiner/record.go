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
	// MostRuns bounds the lives that are kept of a content; the newest are.
	MaxRuns = 16
	// SoundTime is how long a content counts as sound after it was answered (Z4). It is
	// above the time in which copies of a popular call come again, and bounds for how
	// long one that has become harmful, say by another model version, is not found.
	ExemptionPeriod = time.Minute
	// StoredEnds is the number of lives from which a content's record lasts (Z6). A node
	// that knows of fewer lets at most two more servers end.
	RetainThreshold = 2
	// memory is how long a content is remembered that is not held.
	recordTTL = 10 * time.Minute
	// FirstHold is how long a content is held after MostEnds ends. An operator is told
	// within a minute, and needs some to mend or take back a model version.
	MinQuarantine = 10 * time.Minute
	// LongestHold bounds a hold: a content that ends a server twice a day harms nobody.
	MaxQuarantine = 12 * time.Hour
)

// run is a life under which the content broke off.
type run struct {
	at    time.Time
	state garnetworks.CrashState
	// asked is the number of times that the life was asked after, last at askedAt.
	probes   int
	probedAt time.Time
}

// record is what is known of a content (Z5).
type record struct {
	runs map[garnetworks.Incarnation]run
	// answered is when a server last answered such a call whole; zero if never.
	completed time.Time
	// changed is when anything of it was learnt last.
	changed time.Time
	// seen says that this node saw the content break off.
	observed bool
}

// join takes a run, and reports whether that tells anything new.
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
	for l, x := range r.runs {
		if o, ok := r.runs[oldest]; !ok || x.at.Before(o.at) {
			oldest = l
		}
	}
	delete(r.runs, oldest)
}

// counts reports whether a run may be the content's doing (Z4).
func (r *record) attributable(x run) bool {
	return x.state != garnetworks.CrashRefuted && (r.completed.IsZero() || x.at.Sub(r.completed) > ExemptionPeriod)
}

// lives returns the lives of the runs that may be the content's doing and that are known
// as well as least, in order.
func (r *record) incarnations(minState garnetworks.CrashState) []garnetworks.Incarnation {
	var list []garnetworks.Incarnation
	for l, x := range r.runs {
		if x.state >= minState && r.attributable(x) {
			list = append(list, l)
		}
	}
	slices.SortFunc(list, garnetworks.Incarnation.Compare)
	return list
}

// pending reports whether the content would be held if the lives in doubt had ended.
func (r *record) pending() bool {
	all := len(r.incarnations(garnetworks.CrashSuspected))
	return all >= CrashThreshold && len(r.incarnations(garnetworks.CrashConnectionRefused)) < all
}

// last is when the content last broke off.
func (r *record) lastInterruption() time.Time {
	var last time.Time
	for _, x := range r.runs {
		if x.at.After(last) {
			last = x.at
		}
	}
	return last
}

// hold is how long a content is held after its last end (Z7).
func quarantineTime(crashes int) time.Duration {
	const doublings = 10
	return min(MaxQuarantine, MinQuarantine<<min(max(crashes-CrashThreshold, 0), doublings))
}

// until is when the record may be forgotten. That of a content that was held outlives the
// hold, so that its next end is not taken for its first one.
func (r *record) expiresAt() time.Time {
	if crashes := len(r.incarnations(garnetworks.CrashConnectionRefused)); crashes >= CrashThreshold {
		return r.lastInterruption().Add(2 * quarantineTime(crashes))
	}
	return r.lastInterruption().Add(recordTTL)
}

// lasting reports whether the record is kept in the object API (Z6). What was refuted or
// answered since lasts as well: nodes that read it there must not go on with what was taken
// for an end before.
func (r *record) retained() bool { return len(r.runs) >= RetainThreshold }

// sum is a digest of what the record tells, without times: they differ between nodes by
// the way of the messages.
func (r *record) checksum(content garnetworks.ContentDigest) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(content)) // a hash takes all bytes
	for _, l := range slices.SortedFunc(maps.Keys(r.runs), garnetworks.Incarnation.Compare) {
		text := strconv.AppendInt([]byte(l.Instance), l.StartMS, 10)
		text = strconv.AppendBool(text, r.attributable(r.runs[l]))
		_, _ = h.Write(append(text, byte(r.runs[l].state)))
	}
	return h.Sum64()
}

// tell returns the record as other nodes get it.
func (r *record) report(content garnetworks.ContentDigest, now time.Time) garnetworks.ContentRecord {
	rec := garnetworks.ContentRecord{Digest: content, LastCompletedAgeMS: -1}
	if !r.completed.IsZero() {
		rec.LastCompletedAgeMS = max(0, now.Sub(r.completed).Milliseconds())
	}
	for l, x := range r.runs {
		rec.Runs = append(rec.Runs, garnetworks.InterruptedRun{Instance: l.Instance, StartMS: l.StartMS, AgeMS: max(0, now.Sub(x.at).Milliseconds()), State: x.state})
	}
	slices.SortFunc(rec.Runs, func(a, b garnetworks.InterruptedRun) int { return a.Incarnation().Compare(b.Incarnation()) })
	return rec
}
