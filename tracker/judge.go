package tracker

import (
	"maps"
	"slices"
	"time"

	"github.com/garnetworks/garnetworks"
)

// judge decides on suspicion and loss (rules T2 and T3).
func (s *State) judge(now time.Time, d *Decisions) {
	candidate := s.isCandidate()
	for _, id := range slices.Sorted(maps.Keys(s.members)) {
		m := s.members[id]
		if m.gone() {
			continue
		}
		s.suspect(now, m, d)
		if candidate && s.isLost(now, m) {
			m.lost = true
			s.noteLoss(now, id)
			d.Changed = true
		}
	}
}

func (s *State) suspect(now time.Time, m *member, d *Decisions) {
	silent := !m.failing.IsZero() && now.Sub(m.evidence()) >= SuspectAfter
	asked := !m.asked.IsZero() && now.Sub(m.asked) < SuspectAfter
	switch {
	case !silent:
		if !m.suspected.IsZero() {
			m.suspected, m.denied = time.Time{}, false
			d.Changed = true
		}
	case m.suspected.IsZero() && (asked || now.Sub(m.failing) >= SuspectAfter):
		m.suspected = now
		d.Changed = true
		d.Events = append(d.Events, s.event(garnetworks.EventNodeSuspected, m.info, "no answer since "+m.failing.UTC().Format(time.TimeOnly)))
	}
}

// isLost keeps rule T3. Deciding on the own failure alone would take out half a
// zone when the deciding node's own network fails; the asked node's word shows
// that others can still be heard.
func (s *State) isLost(now time.Time, m *member) bool {
	if m.displaced {
		return true
	}
	if m.suspected.IsZero() || now.Sub(m.suspected) < s.confirmBound(now, m) {
		return false
	}
	return m.denied || s.onlyOther(m) // rules T3, T4
}

// confirmBound grows for nodes that come and go, so that a node at the edge of
// reach does not cause a roster write each few seconds.
func (s *State) confirmBound(now time.Time, m *member) time.Duration {
	l := s.lost[m.info.ID]
	if now.Sub(l.last) > forgetLosses {
		return ConfirmBound
	}
	return ConfirmBound << min(l.count, maxFlaps)
}

func (s *State) noteLoss(now time.Time, id garnetworks.NodeID) {
	l := s.lost[id]
	if now.Sub(l.last) > forgetLosses {
		l.count = 0
	}
	if len(s.lost) >= maxLosses {
		clear(s.lost)
	}
	s.lost[id] = losses{count: l.count + 1, last: now}
}

// onlyOther reports whether no node is known but this one and m.
func (s *State) onlyOther(m *member) bool {
	for id, other := range s.members {
		if id != m.info.ID && !other.gone() {
			return false
		}
	}
	_, far := s.farNode(0)
	return !far && s.read
}
