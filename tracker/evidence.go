package tracker

import (
	"fmt"
	"time"

	"github.com/garnetworks/garnetworks"
)

// recordAlive records direct evidence that a node of the own zone is alive. It returns false
// if the incarnation is lower than the known one.
func (s *State) recordAlive(now time.Time, n garnetworks.NodeInfo, d *Decisions) bool {
	m, ok := s.members[n.ID]
	if !ok {
		m = &member{}
		s.members[n.ID] = m
	}
	if n.Incarnation < m.info.Incarnation {
		return false
	}
	if n.Incarnation > m.info.Incarnation && ok {
		// A new process: the state of the old one does not apply to it.
		*m = member{}
	}
	if m.lost {
		m.lost, m.displaced = false, false
		d.Changed = true
	}
	if !m.leftAt.IsZero() && now.Sub(m.leftAt) > SuspectAfter {
		// It announced that it was leaving but is still alive. Heartbeats within SuspectAfter
		// don't cancel the announcement, since they may have been sent before it.
		m.leftAt = time.Time{}
		d.Changed = true
	}
	if m.info != n {
		m.info = n
		d.Changed = true
	}
	m.heardAt = now
	return true
}

// handleAnswered handles the response to a heartbeat.
func (s *State) handleAnswered(now time.Time, o Answered, d *Decisions) {
	if o.From.ID == s.self.ID {
		return
	}
	if s.checkIncarnation(now, o.Alive, d) {
		return
	}
	s.synced = true
	s.recordAliveNodes(now, o)
	s.recordIntroduced(now, o.Introduced, d)
	if remote, ok := s.remoteMembers[o.From.ID]; ok {
		remote.heardAt = now
	}
	if o.Node.ID != "" && o.Node.ID != o.From.ID {
		s.markDisplaced(now, o.Node, d)
	}
	if o.From.Zone != s.self.Zone {
		return
	}
	if !s.recordAlive(now, o.From, d) {
		s.recordFailure(now, o.Node)
		return
	}
	m := s.members[o.From.ID]
	m.failingSince, m.displaced = time.Time{}, false
}

// checkIncarnation handles a peer's report of a higher incarnation of this node's name
// (rule T5). It reports whether there was one.
func (s *State) checkIncarnation(now time.Time, heard []garnetworks.AliveNode, d *Decisions) bool {
	for _, h := range heard {
		if h.ID == s.self.ID && h.Incarnation > s.self.Incarnation {
			s.handleHigherIncarnation(now, h.Incarnation, d)
			return true
		}
	}
	return false
}

// handleHigherIncarnation handles a higher incarnation of this node's name. A process that
// was not yet accepted raises its own, since its clock may be behind that of its predecessor.
// An accepted one was replaced while it was paused or cut off; if it continued, two nodes
// would answer under one name.
func (s *State) handleHigherIncarnation(now time.Time, incarnation uint64, d *Decisions) {
	if !s.accepted {
		s.self.Incarnation = incarnation + 1
		s.updateListing(now)
		d.Changed = true
		return
	}
	s.superseded = true
	d.Superseded = true
	d.Events = append(d.Events, s.event(garnetworks.EventNodeSuperseded, s.self, fmt.Sprintf("incarnation %d is known", incarnation)))
}

// recordAliveNodes records which suspects the answering node has heard. If it was asked, the
// loss of those that it has not heard is confirmed.
func (s *State) recordAliveNodes(now time.Time, o Answered) {
	heard := garnetworks.NewSet[garnetworks.NodeID]()
	for _, h := range o.Alive {
		m, ok := s.members[h.ID]
		if !ok || h.Incarnation < m.info.Incarnation {
			continue
		}
		if at := now.Add(-h.Age); at.After(m.reportedAt) {
			m.reportedAt = at
		}
		if h.Age < SuspectAfter {
			heard.Add(h.ID)
		}
	}
	if !o.Indirect {
		return
	}
	for id, m := range s.members {
		// The node that was asked needs ConfirmTimeout to probe the suspect itself.
		hadTime := !m.suspectedSince.IsZero() && now.Sub(m.suspectedSince) >= ConfirmTimeout
		if hadTime && !heard.Has(id) && id != o.From.ID {
			m.lossConfirmed = true
		}
	}
}

// markDisplaced records that another node answers at the address of n (rule T6).
func (s *State) markDisplaced(now time.Time, n garnetworks.NodeInfo, d *Decisions) {
	m, ok := s.members[n.ID]
	if !ok || m.info.Address != n.Address || m.displaced {
		return
	}
	m.displaced = true
	if m.failingSince.IsZero() {
		m.failingSince = now
	}
	d.Events = append(d.Events, s.event(garnetworks.EventNodeSuspected, m.info, "another node answers at its address"))
}

// handleUnanswered handles a failed heartbeat.
func (s *State) handleUnanswered(now time.Time, o Unanswered, d *Decisions) {
	if !isNoAnswer(o.Kind) {
		s.handleRefused(now, o, d)
		return
	}
	if o.Node.Zone != s.self.Zone {
		// Retry at once with the next node, so that a few lost nodes don't cut this node
		// off from other zones.
		s.nextRemote = now
		return
	}
	s.recordFailure(now, o.Node)
}

// isNoAnswer reports whether an error means that no response arrived. Any other error was
// sent by a process that is alive.
func isNoAnswer(k garnetworks.Kind) bool {
	return k == garnetworks.KindUnreachable || k == garnetworks.KindResponseLost
}

// recordFailure records when heartbeats to n began to fail.
func (s *State) recordFailure(now time.Time, n garnetworks.NodeInfo) {
	m, ok := s.members[n.ID]
	if ok && m.failingSince.IsZero() {
		m.failingSince = now
	}
}

// handleRefused reports an address conflict if the peer refused the heartbeat for that.
func (s *State) handleRefused(now time.Time, o Unanswered, d *Decisions) {
	if o.Kind != garnetworks.KindConflict || now.Sub(s.conflicts[o.Node.Address]) < conflictEventInterval {
		return
	}
	s.recordConflict(now, o.Node.Address)
	d.Events = append(d.Events, s.event(garnetworks.EventAddressConflict, s.self, "refused by "+o.Node.Address+": "+o.Detail))
}

// recordConflict records when a conflict over the address was last reported.
func (s *State) recordConflict(now time.Time, address string) {
	if len(s.conflicts) >= maxRemoteMembers {
		clear(s.conflicts)
	}
	s.conflicts[address] = now
}
