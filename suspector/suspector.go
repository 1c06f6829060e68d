// Package suspector decides when a node suspects that a group is lost, from the group's usual
// gaps between events. It is pure: it does no I/O and takes the time as an argument. A
// suspicion moves no call; it only asks the lease holder for its verdict.
//
// The rules:
//
//	T1  Gaps are measured over all of the node's calls at a group, because the engine sends
//	    the events of a whole batch with each pass. Events of the same pass count as one,
//	    and no gap is measured while no call is between two events. What counts as usual is
//	    a high quantile, so that passes with prompts are covered and single lost packets,
//	    which delay an event by 0.2 s, change little. A group with few samples is judged by
//	    those of its model.
//	T2  A group is suspected after a multiple of its usual gap, and no sooner than a part of
//	    the pause that the call's route allows, which a pass with a long prompt does not
//	    reach. MaxThreshold is the upper bound, and applies while nothing is known.
//	T3  While no call of the node has had an event from the group, a multiple of the usual time
//	    to a first event takes the place of that of the gap, since prefill takes longer than a
//	    pass.
//	T4  Load pattern: a group that is slow or behind a lossy link is suspected again and again.
//	    Each suspicion costs a probe of each member. So the threshold doubles with each
//	    suspicion after the first one that the verdict refutes, and returns in steps.
//	T5  There is one question for each silence, and after an unknown verdict, a few more.
//	T6  The state is bounded: one entry for each group with recent calls and each model.
package suspector

import (
	"maps"
	"time"

	"github.com/garnetworks/garnetworks"
)

const (
	// MaxThreshold is the silence after which a group is always suspected. It is not shorter
	// than a pass of a full batch with a long prompt.
	MaxThreshold = 300 * time.Millisecond
	// gapFactor is the silence that is suspicious, as a multiple of the usual gap or time to a
	// first event (T2, T3).
	gapFactor = 1.75
	// minPauseFraction is the lower bound as a fraction of the allowed pause (T2). With 200 ms
	// and 300 ms it is above the passes of 30 to 110 ms, and leaves more than half of the
	// pause for the verdict and the move.
	minPauseFraction = 0.45
	// quantile is the part of the gaps that counts as usual, learningRate how fast the estimate
	// follows: a longer gap raises it by at most a fifth, a shorter one lowers it by a hundredth.
	quantile     = 0.95
	learningRate = 0.2
	// minSamples is the number of samples from which an estimate is used.
	minSamples = 8
	// samePass is the longest time between events of one pass (T1). Passes take 30 ms or more.
	samePass = 5 * time.Millisecond
	// refutationDecay is the time without a refuted suspicion after which one fewer counts
	// (T4), maxRefuted the most that count.
	refutationDecay = 10 * time.Second
	maxRefuted      = 4
	// questionInterval is the time between two questions in one silence, maxQuestions their
	// number (T5).
	questionInterval = 100 * time.Millisecond
	maxQuestions     = 3
	// retention is how long a group without calls is remembered, maxGroups bounds the groups
	// (T6): more than the servers of the largest site could form.
	retention = 2 * time.Minute
	maxGroups = 4096
)

// estimate follows a high quantile of durations.
type estimate struct {
	value   time.Duration
	samples int
}

func (e *estimate) observe(d time.Duration) {
	d = min(d, MaxThreshold)
	if e.samples++; e.samples == 1 {
		e.value = d
		return
	}
	step := learningRate * float64(e.value)
	if d > e.value {
		e.value = min(d, e.value+time.Duration(step*quantile))
	} else {
		e.value = max(d, e.value-time.Duration(step*(1-quantile)))
	}
}

// usual is what is usual for a group or a model.
type usual struct{ gap, first estimate }

// group is the state of a group.
type group struct {
	usual
	model garnetworks.ModelName
	// lastEvent is the time of the last event to any of the node's calls; used is when the group
	// last had a call.
	lastEvent, used time.Time
	// calls is the number of the node's calls, streaming that of those that have had an event.
	calls, streaming int
	// refuted is the number of refuted suspicions at lastRefuted (T4).
	refuted     int
	lastRefuted time.Time
	// questions is the number of questions in the present silence, the last one at askedAt;
	// answered says that it has a final verdict (T5).
	questions int
	askedAt   time.Time
	answered  bool
}

// Suspector holds what is usual for the groups to which a node has calls. The zero value is
// ready for use. It is not safe for concurrent use.
type Suspector struct {
	groups map[garnetworks.GroupID]*group
	models map[garnetworks.ModelName]*usual
}

// Suspicion is the decision on a silence.
type Suspicion struct {
	// Threshold is the silence from which the group is suspected.
	Threshold time.Duration
	// Ask says that the lease holder is to be asked now.
	Ask bool
}

// Started records that a call was sent to the group.
func (s *Suspector) Started(now time.Time, model garnetworks.ModelName, id garnetworks.GroupID) {
	if s.groups == nil {
		s.groups, s.models = make(map[garnetworks.GroupID]*group), make(map[garnetworks.ModelName]*usual)
	}
	g := s.groups[id]
	if g == nil {
		if len(s.groups) >= maxGroups { // T6
			return
		}
		g = &group{model: model}
		s.groups[id] = g
	}
	if s.models[model] == nil {
		s.models[model] = &usual{}
	}
	g.calls++
	g.used = now
}

// Event records an event of the group; first says that it is the first one of its call, which
// was sent to the group the time after ago.
func (s *Suspector) Event(now time.Time, id garnetworks.GroupID, first bool, after time.Duration) {
	g := s.groups[id]
	if g == nil {
		return
	}
	m := s.models[g.model]
	if gap := now.Sub(g.lastEvent); g.streaming > 0 && gap >= samePass { // T1
		g.gap.observe(gap)
		m.gap.observe(gap)
	}
	if first {
		g.streaming++
		g.first.observe(after)
		m.first.observe(after)
	}
	g.lastEvent, g.used = now, now
	g.questions, g.answered = 0, false
}

// Ended records the end of a call at the group; hadEvent says whether it had an event there.
func (s *Suspector) Ended(now time.Time, id garnetworks.GroupID, hadEvent bool) {
	g := s.groups[id]
	if g == nil || g.calls == 0 {
		return
	}
	g.calls--
	if hadEvent && g.streaming > 0 {
		g.streaming--
	}
	if g.calls == 0 { // the silence of the next call is another one
		g.questions, g.answered = 0, false
	}
	g.used = now
}

// Threshold returns the silence from which a group is suspected, for a call whose route allows
// the pause; 0 if it states none (T2, T3).
func (s *Suspector) Threshold(now time.Time, id garnetworks.GroupID, pause time.Duration) time.Duration {
	g := s.groups[id]
	if g == nil {
		return MaxThreshold
	}
	m := s.models[g.model]
	e, fallback := g.gap, m.gap
	if g.streaming == 0 { // T3
		e, fallback = g.first, m.first
	}
	if e.samples < minSamples {
		e = fallback
	}
	if e.samples < minSamples {
		return MaxThreshold
	}
	lowest := time.Duration(minPauseFraction * float64(pause))
	if pause <= 0 {
		lowest = MaxThreshold / 2
	}
	threshold := max(lowest, time.Duration(gapFactor*float64(e.value)))
	return min(MaxThreshold, threshold<<max(0, g.refutations(now)-1)) // T4
}

// refutations returns the number of refuted suspicions that still count (T4).
func (g *group) refutations(now time.Time) int {
	return max(0, g.refuted-int(now.Sub(g.lastRefuted)/refutationDecay))
}

// Check decides on a silence of the group, for a call whose route allows the pause. If the
// answer says Ask, the question counts as asked.
func (s *Suspector) Check(now time.Time, id garnetworks.GroupID, silence, pause time.Duration) Suspicion {
	r := Suspicion{Threshold: s.Threshold(now, id, pause)}
	g := s.groups[id]
	if g == nil || silence < r.Threshold || g.answered || g.questions >= maxQuestions || g.questions > 0 && now.Sub(g.askedAt) < questionInterval { // T5
		return r
	}
	g.questions++
	g.askedAt = now
	r.Ask = true
	return r
}

// Answered records a verdict on a question asked at asked. It returns false if the group has sent
// an event since, which outweighs the verdict.
func (s *Suspector) Answered(now time.Time, id garnetworks.GroupID, asked time.Time, verdict garnetworks.Verdict) bool {
	g := s.groups[id]
	if g == nil {
		return true
	}
	current := !g.lastEvent.After(asked)
	if current && verdict != garnetworks.VerdictUnknown {
		g.answered = true
	}
	if verdict == garnetworks.VerdictHealthy {
		g.refuted = min(maxRefuted, g.refutations(now)+1)
		g.lastRefuted = now
	}
	return current
}

// Retain drops the groups that have had no call for some time (T6), and the models without
// groups.
func (s *Suspector) Retain(now time.Time) {
	maps.DeleteFunc(s.groups, func(_ garnetworks.GroupID, g *group) bool { return g.calls == 0 && now.Sub(g.used) > retention })
	used := make(garnetworks.Set[garnetworks.ModelName])
	for _, g := range s.groups {
		used.Add(g.model)
	}
	maps.DeleteFunc(s.models, func(model garnetworks.ModelName, _ *usual) bool { return !used.Has(model) })
}
