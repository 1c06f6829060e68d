package former

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/follower"
)

const (
	// hedgeAfter is how long a member of a suspected group may leave a probe unanswered before
	// another one is sent over another connection, so that one lost packet does not count.
	// verdictAfter is the time without an answer to either from which the group is lost. Live
	// engines respond within fastResponse.
	hedgeAfter   = fastResponse
	verdictAfter = 90 * time.Millisecond
	// VerdictTimeout bounds the time to a verdict. Callers allow pauses of 200 ms.
	VerdictTimeout = 150 * time.Millisecond
	// maxHedges bounds the second probes of a round: one unanswered member is enough for the
	// verdict "lost". hedgeReserve is the number of second probes and controls that may be in
	// flight beyond the window, which the unanswered probes of a lost group of 16 fill alone.
	maxHedges    = 2
	hedgeReserve = 8
	// A group with events to minActiveNodes nodes is probed only after questions of two nodes
	// within corroborationTime. If it is lost, their silences begin with the same pass.
	minActiveNodes    = 3
	corroborationTime = 100 * time.Millisecond
	// roundRetention is how long a round's verdict is kept. It spans the time until the load
	// reports of all nodes show that the group sends no events.
	roundRetention = time.Second
	// maxQuestions bounds the questions that wait for the former's loop.
	maxQuestions = 1024
)

// question is a question for the verdict on a group.
type question struct {
	from  garnetworks.NodeID
	group garnetworks.GroupID
	// since is when the asking node's silence began.
	since  time.Time
	answer chan<- garnetworks.Verdict
	// asked is when the question arrived.
	asked time.Time
}

// memberProbe is the state of a member's probes in a round.
type memberProbe struct {
	zone garnetworks.ZoneID
	// sent and hedged are when the first and the second probe were sent; hedgeQueued says that
	// the second one was queued.
	sent, hedged time.Time
	hedgeQueued  bool
	// answered says that the member has answered, ended that its incarnation has ended or was
	// unresponsive before.
	answered, ended bool
}

// unanswered reports whether neither of the member's probes was answered in time.
func (m *memberProbe) unanswered(now time.Time) bool {
	return m.ended || !m.answered && !m.sent.IsZero() && !m.hedged.IsZero() &&
		now.Sub(m.sent) >= verdictAfter && now.Sub(m.hedged) >= verdictAfter-hedgeAfter
}

// round is a round of probes of a suspected group's members.
type round struct {
	began   time.Time
	members map[garnetworks.Incarnation]*memberProbe
	// fast and slow count the answers of engines, to probes sent since the round began, within
	// fastResponse and after it. Slow ones show that this node's processor or links are
	// overloaded.
	fast, slow int
	// hedges is the number of second probes queued.
	hedges int
	// dueAt is when the round is to be advanced next.
	dueAt time.Time
	// verdict is empty while the round is not decided; decidedAt is when it was.
	verdict   garnetworks.Verdict
	decidedAt time.Time
	answers   []chan<- garnetworks.Verdict
}

// decide returns the verdict, or "" if the round is to go on (rules O9, O11 and O12).
func (r *round) decide(now time.Time) garnetworks.Verdict {
	answered, lost := 0, false
	for _, m := range r.members {
		if m.answered {
			answered++
		}
		lost = lost || m.unanswered(now)
	}
	switch {
	case len(r.members) == 0:
		return garnetworks.VerdictUnknown
	case answered == len(r.members):
		return garnetworks.VerdictHealthy
	case lost && now.Sub(r.dueAt) > localDelay: // O9: answers may wait to be handled
		return garnetworks.VerdictUnknown
	case lost && r.fast > r.slow:
		return garnetworks.VerdictLost
	case now.Sub(r.began) >= VerdictTimeout:
		return garnetworks.VerdictUnknown
	}
	return ""
}

// nextDue returns when the round is to be advanced next.
func (r *round) nextDue(now time.Time) time.Time {
	due := r.began.Add(VerdictTimeout)
	for _, m := range r.members {
		next := m.sent.Add(hedgeAfter)
		if !m.hedged.IsZero() {
			next = m.sent.Add(verdictAfter)
			if h := m.hedged.Add(verdictAfter - hedgeAfter); h.After(next) {
				next = h
			}
		}
		if !m.answered && !m.sent.IsZero() && next.After(now) && next.Before(due) {
			due = next
		}
	}
	return due
}

// Verdict probes the members of a group that a node suspects and returns what it finds, or
// VerdictUnknown after VerdictTimeout. The group has sent the node no events for the time silence.
func (f *Former) Verdict(ctx context.Context, from garnetworks.NodeID, group garnetworks.GroupID, silence time.Duration) garnetworks.Verdict {
	answer := make(chan garnetworks.Verdict, 1)
	now := time.Now()
	select {
	case f.questions <- question{from, group, now.Add(-silence), answer, now}:
	default:
		return garnetworks.VerdictUnknown
	}
	ctx, cancel := context.WithTimeout(ctx, VerdictTimeout)
	defer cancel()
	select {
	case v := <-answer:
		return v
	case <-ctx.Done():
		return garnetworks.VerdictUnknown
	}
}

// answerQuestion answers a question at once or adds it to a round of probes.
func (f *Former) answerQuestion(now time.Time, q question) {
	// A node that has just taken the lease does not act on its view of the servers yet.
	if f.options.Lease.Term(now) == 0 || f.lost.Load() == nil {
		q.answer <- garnetworks.VerdictUnknown
		return
	}
	f.join(now, q, f.options.Follower.Servers())
}

// join adds a question to the group's round of probes, and begins one if there is none.
func (f *Former) join(now time.Time, q question, servers follower.Servers) {
	if slices.Contains(f.Lost(), q.group) {
		q.answer <- garnetworks.VerdictLost
		return
	}
	r := f.rounds[q.group]
	switch {
	case r != nil && r.verdict == "":
		r.answers = append(r.answers, q.answer)
		return
	case r != nil && !r.began.Before(q.since):
		q.answer <- r.verdict
		return
	}
	// The group of an instance that has been unresponsive for some time, but is not lost, sends
	// events to other nodes.
	if now.Sub(f.lastSuspected[q.group]) < suspectInterval || f.hasUnresponsive(q.group, servers) {
		q.answer <- garnetworks.VerdictUnknown
		return
	}
	waiting, ok := f.lone[q.group]
	if ok && now.Sub(waiting.asked) > corroborationTime {
		ok = false
	}
	if f.activeNodes(q.group) >= minActiveNodes && (!ok || waiting.from == q.from) {
		// The question is answered with those of other nodes, or not before VerdictTimeout.
		f.lone[q.group] = q
		return
	}
	f.beginRound(now, q.group, servers)
	r = f.rounds[q.group]
	r.answers = append(r.answers, q.answer)
	if ok {
		r.answers = append(r.answers, waiting.answer)
	}
	delete(f.lone, q.group)
}

// activeNodes returns the number of nodes that recently had events of the group.
func (f *Former) activeNodes(group garnetworks.GroupID) int {
	if f.options.ActiveNodes == nil {
		return 0
	}
	return f.options.ActiveNodes(group)
}

func (f *Former) hasUnresponsive(group garnetworks.GroupID, servers follower.Servers) bool {
	for id := range f.unresponsive {
		if s, ok := serverOf(servers, id); ok && s.Membership.Group == group {
			return true
		}
	}
	return false
}

// beginRound probes the members of a group up to probeAttempts times each.
func (f *Former) beginRound(now time.Time, id garnetworks.GroupID, servers follower.Servers) {
	f.lastSuspected[id] = now
	f.options.Recorder.Record(garnetworks.Event{Kind: garnetworks.EventGroupSuspected, Group: id, Detail: "no recent events, or a refused call; its members are probed"})
	f.probeControls(now, controlInterval, id, servers)
	r := &round{began: now, members: make(map[garnetworks.Incarnation]*memberProbe)}
	for _, s := range servers {
		if s.Membership.Group != id {
			continue
		}
		r.members[s.Incarnation()] = &memberProbe{zone: s.Zone, ended: f.unresponsive.Has(s.Incarnation())}
		if !f.probe(s, probeAttempts) {
			// Probes from before the round may still be running; they are no answer to it.
			f.probeQueue = append(f.probeQueue, pendingProbe{server: s, attempts: 1, hedge: true})
		}
	}
	r.dueAt = r.nextDue(now)
	f.rounds[id] = r
}

// probeSent records in the open rounds that a probe is sent.
func (f *Former) probeSent(now time.Time, p *pendingProbe) {
	if p.control {
		return
	}
	id := p.server.Incarnation()
	for _, r := range f.rounds {
		m := r.members[id]
		switch {
		case r.verdict != "" || m == nil:
			continue
		case m.sent.IsZero():
			m.sent = now
		default:
			m.hedged = now
		}
		r.dueAt = r.nextDue(now)
	}
}

// probeAnswered records the answer of an engine in the rounds.
func (f *Former) probeAnswered(now time.Time, p *probeResult) {
	for _, r := range f.rounds {
		sent := now.Add(-p.took)
		m := r.members[p.incarnation]
		if sent.Before(r.began) {
			continue
		}
		if p.took <= fastResponse {
			r.fast++
		} else {
			r.slow++
		}
		if m == nil || p.err != nil { // another incarnation answered
			continue
		}
		m.answered, m.ended = true, false
		if r.verdict == garnetworks.VerdictLost && !r.anyUnanswered(now) {
			r.verdict = garnetworks.VerdictHealthy
			f.needsPlan = true
		}
	}
}

// markEnded records in the rounds that an instance was found unresponsive.
func (f *Former) markEnded(id garnetworks.Incarnation) {
	for _, r := range f.rounds {
		if m := r.members[id]; m != nil && r.verdict == "" {
			m.ended = true
		}
	}
}

func (r *round) anyUnanswered(now time.Time) bool {
	for _, m := range r.members {
		if m.unanswered(now) {
			return true
		}
	}
	return false
}

// advanceRounds sends second probes, decides the rounds that can be decided and drops old ones.
func (f *Former) advanceRounds(now time.Time, servers func() follower.Servers) {
	maps.DeleteFunc(f.lone, func(_ garnetworks.GroupID, q question) bool { return now.Sub(q.asked) > VerdictTimeout })
	for id, r := range f.rounds {
		if r.verdict != "" {
			if now.Sub(r.decidedAt) > roundRetention {
				delete(f.rounds, id)
			}
			continue
		}
		if v := r.decide(now); v != "" {
			f.closeRound(now, id, r, v)
			continue
		}
		f.hedge(now, id, r, servers)
		r.dueAt = r.nextDue(now)
	}
}

// nextRoundDue returns when advanceRounds is to be called next, and whether a round is open.
func (f *Former) nextRoundDue() (next time.Time, ok bool) {
	for _, r := range f.rounds {
		if r.verdict == "" && (!ok || r.dueAt.Before(next)) {
			next, ok = r.dueAt, true
		}
	}
	return next, ok
}

// hedge sends second probes to the members that have not answered the first one within
// hedgeAfter, and probes controls if no engine has answered this node.
func (f *Former) hedge(now time.Time, id garnetworks.GroupID, r *round, servers func() follower.Servers) {
	for incarnation, m := range r.members {
		if m.answered || m.sent.IsZero() || m.hedgeQueued || r.hedges >= maxHedges || now.Sub(m.sent) < hedgeAfter {
			continue
		}
		s, ok := serverOf(servers(), incarnation)
		if !ok {
			continue
		}
		m.hedgeQueued = true
		r.hedges++
		f.probeQueue = slices.Insert(f.probeQueue, 0, pendingProbe{server: s, attempts: 1, hedge: true})
		if r.fast == 0 {
			f.probeControls(now, hedgeAfter, id, servers())
		}
	}
}

// closeRound decides a round and answers its questions. The verdict "lost" is withheld while many
// unanswered probes in several zones indicate a fault of this node (O9), and without the lease.
func (f *Former) closeRound(now time.Time, id garnetworks.GroupID, r *round, verdict garnetworks.Verdict) {
	if verdict == garnetworks.VerdictLost && (f.lost.Load() == nil || f.localFaultLikely(now)) {
		verdict = garnetworks.VerdictUnknown
	}
	r.verdict, r.decidedAt = verdict, now
	if verdict == garnetworks.VerdictLost {
		f.options.Recorder.Record(garnetworks.Event{Kind: garnetworks.EventGroupFoundLost, Group: id, Detail: "a member does not answer probes, other engines do"})
		f.findLostGroups(f.plannedServers)
	}
	for _, answer := range r.answers {
		answer <- verdict
	}
	r.answers = nil
}

// localFaultLikely reports whether a fault of this node is presumed, or the unanswered members of
// the recent rounds are in several zones.
func (f *Former) localFaultLikely(now time.Time) bool {
	if now.Sub(f.localFault.suspectedSince) <= localFaultHold {
		return true
	}
	zones := make(map[garnetworks.ZoneID]*zoneProbes)
	for _, r := range f.rounds {
		if now.Sub(r.began) > localFaultWindow {
			continue
		}
		for _, m := range r.members {
			if zones[m.zone] == nil {
				zones[m.zone] = &zoneProbes{}
			}
			if m.answered {
				zones[m.zone].responsive++
			} else if !m.sent.IsZero() && now.Sub(m.sent) >= hedgeAfter {
				zones[m.zone].failed++
			}
		}
	}
	return failedZones(zones) >= 2
}
