package tracker

import (
	"time"

	"github.com/garnetworks/garnetworks"
)

// Receive handles a heartbeat from a peer.
func (s *State) Receive(now time.Time, q *garnetworks.HeartbeatRequest) (Reply, Decisions) {
	var r Reply
	var d Decisions
	if s.superseded {
		r.Refusal = garnetworks.Errorf(garnetworks.KindShuttingDown, "another process took the name %s", s.self.ID)
		return r, d
	}
	from := q.From
	switch {
	case from.ID == s.self.ID:
		r.Alive = s.receiveSameID(now, from, &d)
		return r, d
	case from.Zone == s.self.Zone:
		r.Refusal = s.checkAddress(now, from, &d)
		if r.Refusal != nil {
			return r, d
		}
		if !s.recordAlive(now, from, &d) {
			m := s.members[from.ID]
			r.Alive = append(r.Alive, garnetworks.AliveNode{ID: from.ID, Incarnation: m.info.Incarnation, Age: now.Sub(m.lastEvidence())})
			return r, d
		}
		if q.Leaving {
			s.members[from.ID].leftAt = now
			d.Changed = true
		}
	}
	if !s.lists(from) {
		r.Introduced = s.introduce(now, from)
	}
	for _, n := range q.IndirectProbes[:min(len(q.IndirectProbes), maxIndirectProbes)] {
		if h, ok := s.answerIndirectProbe(now, n); ok {
			r.Alive = append(r.Alive, h)
		}
	}
	return r, d
}

// receiveSameID handles a heartbeat from a process with this node's ID. A node listed among
// its own seeds sends heartbeats to itself; these are ignored.
func (s *State) receiveSameID(now time.Time, from garnetworks.NodeInfo, d *Decisions) []garnetworks.AliveNode {
	if from.Incarnation == s.self.Incarnation && from.Address == s.self.Address {
		return nil
	}
	if from.Incarnation > s.self.Incarnation {
		s.handleHigherIncarnation(now, from.Incarnation, d)
		return nil
	}
	return []garnetworks.AliveNode{{ID: s.self.ID, Incarnation: s.self.Incarnation + 1}}
}

// checkAddress refuses a node that claims another node's address (rule T6) and requests a
// probe of that address. If the newcomer answers there, the other node is displaced and the
// next heartbeat is accepted.
func (s *State) checkAddress(now time.Time, from garnetworks.NodeInfo, d *Decisions) error {
	for id, m := range s.members {
		if id == from.ID || m.info.Address != from.Address || m.gone() || m.displaced {
			continue
		}
		m.askedAt = now
		if now.Sub(s.conflicts[from.Address]) >= conflictEventInterval {
			s.recordConflict(now, from.Address)
			d.Events = append(d.Events, s.event(garnetworks.EventAddressConflict, from, "the address is that of "+string(id)))
		}
		return garnetworks.Errorf(garnetworks.KindConflict, "address %s is that of node %s", from.Address, id)
	}
	return nil
}

// answerIndirectProbe schedules a probe of n and returns what is known of it.
func (s *State) answerIndirectProbe(now time.Time, n garnetworks.NodeInfo) (garnetworks.AliveNode, bool) {
	if n.ID == s.self.ID {
		return garnetworks.AliveNode{ID: n.ID, Incarnation: s.self.Incarnation}, true
	}
	m := s.probedMember(n)
	if m == nil {
		return garnetworks.AliveNode{}, false
	}
	m.askedAt = now
	if m.heardAt.IsZero() {
		return garnetworks.AliveNode{}, false
	}
	return garnetworks.AliveNode{ID: n.ID, Incarnation: m.info.Incarnation, Age: now.Sub(m.heardAt)}, true
}

// probedMember returns the record of a node that a peer asks about, or nil if there is none
// and maxRemoteMembers are already recorded.
func (s *State) probedMember(n garnetworks.NodeInfo) *member {
	if n.Zone == s.self.Zone {
		return s.members[n.ID]
	}
	m, ok := s.remoteMembers[n.ID]
	if ok {
		return m
	}
	if len(s.remoteMembers) >= maxRemoteMembers {
		return nil
	}
	m = &member{info: n}
	s.remoteMembers[n.ID] = m
	return m
}
