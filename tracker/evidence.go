package tracker

import (
	"fmt"
	"time"

	"github.com/garnetworks/garnetworks"
)

// learn takes direct evidence of a node of the own zone. It reports false for
// an incarnation that was replaced.
func (s *State) learn(now time.Time, n garnetworks.NodeInfo, d *Decisions) bool {
	m, ok := s.members[n.ID]
	if !ok {
		m = &member{}
		s.members[n.ID] = m
	}
	if n.Incarnation < m.info.Incarnation {
		return false
	}
	if n.Incarnation > m.info.Incarnation && ok {
		// A new process: what was held against the old one says nothing of it.
		*m = member{}
	}
	if m.lost {
		m.lost, m.displaced = false, false
		d.Changed = true
	}
	if !m.left.IsZero() && now.Sub(m.left) > SuspectAfter {
		// It said goodbye and yet lives on; earlier words may have overtaken it.
		m.left = time.Time{}
		d.Changed = true
	}
	if m.info != n {
		m.info = n
		d.Changed = true
	}
	m.heard = now
	return true
}

func (s *State) answered(now time.Time, o Answered, d *Decisions) {
	if o.From.ID == s.self.ID {
		return
	}
	if s.outranked(now, o.Heard, d) {
		return
	}
	s.read = true
	s.takeHeard(now, o)
	if stranger, ok := s.strangers[o.From.ID]; ok {
		stranger.heard = now
	}
	if o.Node.ID != "" && o.Node.ID != o.From.ID {
		s.displace(now, o.Node, d)
	}
	if o.From.Zone != s.self.Zone {
		return
	}
	if !s.learn(now, o.From, d) {
		s.failed(now, o.Node)
		return
	}
	m := s.members[o.From.ID]
	m.failing, m.displaced = time.Time{}, false
}

// outranked handles a peer's word that this node's name has a higher
// incarnation (rule T5).
func (s *State) outranked(now time.Time, heard []garnetworks.AliveNode, d *Decisions) bool {
	for _, h := range heard {
		if h.ID == s.self.ID && h.Incarnation > s.self.Incarnation {
			s.outrankedBy(now, h.Incarnation, d)
			return true
		}
	}
	return false
}

// outrankedBy raises the incarnation of a process that has just started, whose
// clock may be behind that of the one before. One that was accepted has been
// replaced while it was paused or cut off: going on would show as two nodes
// that answer in one name.
func (s *State) outrankedBy(now time.Time, incarnation uint64, d *Decisions) {
	if !s.accepted {
		s.self.Incarnation = incarnation + 1
		s.noteListing(now)
		d.Changed = true
		return
	}
	s.superseded = true
	d.Superseded = true
	d.Events = append(d.Events, s.event(garnetworks.EventNodeSuperseded, s.self, fmt.Sprintf("incarnation %d is known", incarnation)))
}

// takeHeard takes the words of a node that was asked about suspects.
func (s *State) takeHeard(now time.Time, o Answered) {
	heard := garnetworks.NewSet[garnetworks.NodeID]()
	for _, h := range o.Heard {
		m, ok := s.members[h.ID]
		if !ok || h.Incarnation < m.info.Incarnation {
			continue
		}
		if at := now.Add(-h.Age); at.After(m.told) {
			m.told = at
		}
		if h.Age < SuspectAfter {
			heard.Add(h.ID)
		}
	}
	if !o.Asked {
		return
	}
	for id, m := range s.members {
		// The asked node needs the time to try for itself.
		tried := !m.suspected.IsZero() && now.Sub(m.suspected) >= ConfirmBound
		if tried && !heard.Has(id) && id != o.From.ID {
			m.denied = true
		}
	}
}

// displace takes the word of another node at the address of n (rule T6).
func (s *State) displace(now time.Time, n garnetworks.NodeInfo, d *Decisions) {
	m, ok := s.members[n.ID]
	if !ok || m.info.Address != n.Address || m.displaced {
		return
	}
	m.displaced = true
	if m.failing.IsZero() {
		m.failing = now
	}
	d.Events = append(d.Events, s.event(garnetworks.EventNodeSuspected, m.info, "another node answers at its address"))
}

func (s *State) unanswered(now time.Time, o Unanswered, d *Decisions) {
	if !isSilence(o.Kind) {
		s.refused(now, o, d)
		return
	}
	if o.Node.Zone != s.self.Zone {
		// Another zone's node gets the next turn at once, so that a few lost
		// nodes do not keep this one from hearing of other zones.
		s.nextFar = now
		return
	}
	s.failed(now, o.Node)
}

// isSilence reports whether an error says nothing but that no answer came. Any
// other is an answer: somebody lives there.
func isSilence(k garnetworks.Kind) bool {
	return k == garnetworks.KindUnreachable || k == garnetworks.KindResponseLost
}

func (s *State) failed(now time.Time, n garnetworks.NodeInfo) {
	m, ok := s.members[n.ID]
	if ok && m.failing.IsZero() {
		m.failing = now
	}
}

func (s *State) refused(now time.Time, o Unanswered, d *Decisions) {
	if o.Kind != garnetworks.KindConflict || now.Sub(s.conflicts[o.Node.Address]) < conflictEvery {
		return
	}
	s.noteConflict(now, o.Node.Address)
	d.Events = append(d.Events, s.event(garnetworks.EventAddressConflict, s.self, "refused by "+o.Node.Address+": "+o.Detail))
}

func (s *State) noteConflict(now time.Time, address string) {
	if len(s.conflicts) >= maxStrangers {
		clear(s.conflicts)
	}
	s.conflicts[address] = now
}
