package tracker

import (
	"time"

	"github.com/garnetworks/garnetworks"
)

// Receive takes a peer's heartbeat.
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
		r.Heard = s.receiveNamesake(now, from, &d)
		return r, d
	case from.Zone == s.self.Zone:
		r.Refusal = s.checkAddress(now, from, &d)
		if r.Refusal != nil {
			return r, d
		}
		if !s.learn(now, from, &d) {
			m := s.members[from.ID]
			r.Heard = append(r.Heard, garnetworks.AliveNode{ID: from.ID, Incarnation: m.info.Incarnation, Age: now.Sub(m.evidence())})
			return r, d
		}
		if q.Leaving {
			s.members[from.ID].left = now
			d.Changed = true
		}
	}
	for _, n := range q.IndirectProbes[:min(len(q.IndirectProbes), maxQuestions)] {
		if h, ok := s.ask(now, n); ok {
			r.Heard = append(r.Heard, h)
		}
	}
	return r, d
}

// receiveNamesake answers a process with this node's own name. A node whose
// seeds name it reaches itself, which says nothing.
func (s *State) receiveNamesake(now time.Time, from garnetworks.NodeInfo, d *Decisions) []garnetworks.AliveNode {
	if from.Incarnation == s.self.Incarnation && from.Address == s.self.Address {
		return nil
	}
	if from.Incarnation > s.self.Incarnation {
		s.outrankedBy(now, from.Incarnation, d)
		return nil
	}
	return []garnetworks.AliveNode{{ID: s.self.ID, Incarnation: s.self.Incarnation + 1}}
}

// checkAddress refuses a node that claims the address of another one (rule
// T6), and has the address tried: if the newcomer answers there, the other one
// is displaced and the next heartbeat accepted.
func (s *State) checkAddress(now time.Time, from garnetworks.NodeInfo, d *Decisions) error {
	for id, m := range s.members {
		if id == from.ID || m.info.Address != from.Address || m.gone() || m.displaced {
			continue
		}
		m.asked = now
		if now.Sub(s.conflicts[from.Address]) >= conflictEvery {
			s.noteConflict(now, from.Address)
			d.Events = append(d.Events, s.event(garnetworks.EventAddressConflict, from, "the address is that of "+string(id)))
		}
		return garnetworks.Errorf(garnetworks.KindConflict, "address %s is that of node %s", from.Address, id)
	}
	return nil
}

// ask notes a question about a node and answers it from what is known.
func (s *State) ask(now time.Time, n garnetworks.NodeInfo) (garnetworks.AliveNode, bool) {
	if n.ID == s.self.ID {
		return garnetworks.AliveNode{ID: n.ID, Incarnation: s.self.Incarnation}, true
	}
	m := s.inQuestion(n)
	if m == nil {
		return garnetworks.AliveNode{}, false
	}
	m.asked = now
	if m.heard.IsZero() {
		return garnetworks.AliveNode{}, false
	}
	return garnetworks.AliveNode{ID: n.ID, Incarnation: m.info.Incarnation, Age: now.Sub(m.heard)}, true
}

// inQuestion returns the record of a node that was asked about; nil if there is
// none and no room for one.
func (s *State) inQuestion(n garnetworks.NodeInfo) *member {
	if n.Zone == s.self.Zone {
		return s.members[n.ID]
	}
	m, ok := s.strangers[n.ID]
	if ok {
		return m
	}
	if len(s.strangers) >= maxStrangers {
		return nil
	}
	m = &member{info: n}
	s.strangers[n.ID] = m
	return m
}
