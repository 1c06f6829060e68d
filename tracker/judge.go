package tracker

import (
	"maps"
	"slices"
	"time"

	"github.com/garnetworks/garnetworks"
)

// detectFailures updates suspicions and marks lost nodes (rules T2 and T3).
func (s *State) detectFailures(now time.Time, d *Decisions) {
	candidate := s.isCandidate()
	for _, id := range slices.Sorted(maps.Keys(s.members)) {
		m := s.members[id]
		if m.gone() {
			continue
		}
		s.updateSuspicion(now, m, d)
		if candidate && s.isLost(now, m) {
			m.lost = true
			s.recordLoss(now, id)
			d.Changed = true
		}
	}
}

// updateSuspicion starts or ends the suspicion of m. A node that a peer has asked about is
// suspected without waiting for SuspectAfter of failed heartbeats.
func (s *State) updateSuspicion(now time.Time, m *member, d *Decisions) {
	silent := !m.failingSince.IsZero() && now.Sub(m.lastEvidence()) >= SuspectAfter
	asked := !m.askedAt.IsZero() && now.Sub(m.askedAt) < SuspectAfter
	switch {
	case !silent:
		if !m.suspectedSince.IsZero() {
			m.suspectedSince, m.lossConfirmed = time.Time{}, false
			d.Changed = true
		}
	case m.suspectedSince.IsZero() && (asked || now.Sub(m.failingSince) >= SuspectAfter):
		m.suspectedSince = now
		d.Changed = true
		d.Events = append(d.Events, s.event(garnetworks.EventNodeSuspected, m.info, "no answer since "+m.failingSince.UTC().Format(time.TimeOnly)))
	}
}

// isLost applies rule T3. Confirmation by another node is required because all nodes seem
// silent to one whose own network has failed, and it would remove them from the roster.
func (s *State) isLost(now time.Time, m *member) bool {
	if m.displaced {
		return true
	}
	if m.suspectedSince.IsZero() || now.Sub(m.suspectedSince) < s.confirmTimeout(now, m) {
		return false
	}
	return m.lossConfirmed || s.onlyOther(m) // rules T3, T4
}

// confirmTimeout returns how long m must be suspected before it is declared lost. It doubles
// with each recent loss, so that a flapping node does not cause frequent roster writes.
func (s *State) confirmTimeout(now time.Time, m *member) time.Duration {
	l := s.losses[m.info.ID]
	if now.Sub(l.last) > lossTTL {
		return ConfirmTimeout
	}
	return ConfirmTimeout << min(l.count, maxConfirmDoublings)
}

// recordLoss counts a loss of the node.
func (s *State) recordLoss(now time.Time, id garnetworks.NodeID) {
	l := s.losses[id]
	if now.Sub(l.last) > lossTTL {
		l.count = 0
	}
	if len(s.losses) >= maxLossHistories {
		clear(s.losses)
	}
	s.losses[id] = lossHistory{count: l.count + 1, last: now}
}

// onlyOther reports whether m is the only other node known, in any zone.
func (s *State) onlyOther(m *member) bool {
	for id, other := range s.members {
		if id != m.info.ID && !other.gone() {
			return false
		}
	}
	_, remote := s.remoteNode(0)
	return !remote && s.synced
}
