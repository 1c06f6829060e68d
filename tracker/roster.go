package tracker

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/garnetworks/garnetworks"
)

// candidates returns the first Candidates nodes that may write the roster, except this one.
func (s *State) candidates() []garnetworks.NodeInfo {
	var first []garnetworks.NodeInfo
	for _, id := range s.writers() {
		if len(first) == Candidates {
			break
		}
		if m, ok := s.members[id]; ok {
			first = append(first, m.info)
		}
	}
	return first
}

// writers returns the zone's live nodes in the order in which they may write the roster.
func (s *State) writers() []garnetworks.NodeID {
	var ids []garnetworks.NodeID
	if !s.leaving {
		ids = append(ids, s.self.ID)
	}
	for id, m := range s.members {
		if !m.gone() && m.suspectedSince.IsZero() {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// rank returns this node's position among the writers, or -1.
func (s *State) rank() int { return slices.Index(s.writers(), s.self.ID) }

// isCandidate reports whether this node may write the roster.
func (s *State) isCandidate() bool {
	r := s.rank()
	return r >= 0 && r < Candidates
}

// listed returns the roster's entry for a node of the own zone.
func (s *State) listed(id garnetworks.NodeID) (garnetworks.NodeInfo, bool) {
	nodes := s.rosters[s.self.Zone].Nodes
	i, ok := slices.BinarySearchFunc(nodes, id, func(n garnetworks.NodeInfo, id garnetworks.NodeID) int { return cmp.Compare(n.ID, id) })
	if !ok {
		return garnetworks.NodeInfo{}, false
	}
	return nodes[i], true
}

// updateListing updates since when the roster has not listed this node's current description.
func (s *State) updateListing(now time.Time) {
	listed, _ := s.listed(s.self.ID)
	switch {
	case listed == s.self:
		s.unlistedSince = time.Time{}
		s.accepted = true
	case s.unlistedSince.IsZero():
		s.unlistedSince = now
	}
}

// applyRoster records a roster if it is newer than the known one.
func (s *State) applyRoster(now time.Time, r garnetworks.Roster, d *Decisions) {
	if r.Version <= s.rosters[r.Zone].Version {
		return
	}
	if !slices.IsSortedFunc(r.Nodes, compareNodes) {
		r.Nodes = slices.SortedFunc(slices.Values(r.Nodes), compareNodes)
	}
	s.rosters[r.Zone] = r
	d.Changed = true
	if r.Zone != s.self.Zone {
		return
	}
	for _, n := range r.Nodes {
		if n.ID == s.self.ID {
			if n.Incarnation > s.self.Incarnation || (n.Incarnation == s.self.Incarnation && n.Address != s.self.Address) {
				s.handleHigherIncarnation(now, n.Incarnation, d)
			}
			continue
		}
		s.applyListed(now, n)
	}
	s.updateListing(now)
}

// applyListed applies a roster entry of the own zone. It does not replace direct evidence
// of the same or a higher incarnation.
func (s *State) applyListed(now time.Time, n garnetworks.NodeInfo) {
	m, ok := s.members[n.ID]
	switch {
	case !ok:
		s.members[n.ID] = &member{info: n}
	case n.Incarnation > m.info.Incarnation:
		*m = member{info: n}
	case n.Incarnation == m.info.Incarnation && m.lost && !m.displaced:
		// The roster's writer heard the node after this node had declared it lost.
		m.lost, m.suspectedSince, m.lossConfirmed = false, time.Time{}, false
		m.reportedAt = now
	}
}

// reread requests that the rosters be listed again if that is due; the first writer does so
// for its zone.
func (s *State) reread(now time.Time, d *Decisions) {
	if now.Before(s.nextReread) {
		return
	}
	s.nextReread = now.Add(RereadInterval)
	d.Reread = s.rank() == 0
}

// decideWrite decides whether this node writes the roster now (rule T7).
func (s *State) decideWrite(now time.Time, d *Decisions) {
	rank := s.rank()
	var patch Patch
	switch {
	case s.leaving:
		// Peers were notified and remove this node.
		return
	case !s.synced && now.Sub(s.unlistedSince) < JoinTimeout:
		// The writers are unknown until the first read.
		return
	case rank < Candidates:
		patch = s.desiredPatch(now)
	case !s.unlistedSince.IsZero() && now.Sub(s.unlistedSince) >= JoinTimeout:
		patch = Patch{Zone: s.self.Zone, Set: []garnetworks.NodeInfo{s.self}}
		rank = 0
	}
	if patch.Empty() && !(s.rosterLost && rank < Candidates) {
		s.pendingSince = time.Time{}
		return
	}
	if s.pendingSince.IsZero() {
		s.pendingSince = now
	}
	due := s.pendingSince.Add(BatchDelay + time.Duration(rank)*RankDelay)
	if s.writing || now.Before(due) || now.Before(s.nextWrite) {
		return
	}
	known := s.rosters[s.self.Zone]
	patch.Zone, patch.KnownVersion, patch.KnownNodes = s.self.Zone, known.Version, known.Nodes
	s.writing = true
	d.Write = garnetworks.Some(patch)
}

// desiredPatch returns the changes that this node's direct evidence requires.
func (s *State) desiredPatch(now time.Time) Patch {
	p := Patch{Zone: s.self.Zone}
	for _, id := range slices.Sorted(maps.Keys(s.members)) {
		m := s.members[id]
		listed, ok := s.listed(id)
		switch {
		case m.gone():
			if ok && listed.Incarnation <= m.info.Incarnation {
				p.Remove = append(p.Remove, Removal{ID: id, Incarnation: m.info.Incarnation, Left: !m.lost})
			}
		case now.Sub(m.heardAt) > SuspectAfter || m.displaced:
		case !ok || (listed != m.info && listed.Incarnation <= m.info.Incarnation):
			p.Set = append(p.Set, m.info)
		}
	}
	if listed, _ := s.listed(s.self.ID); listed != s.self {
		p.Set = append(p.Set, s.self)
		slices.SortFunc(p.Set, compareNodes)
	}
	return p
}

// handleWritten handles the result of a roster write.
func (s *State) handleWritten(now time.Time, o RosterWritten, d *Decisions) {
	s.writing = false
	if o.Err != nil {
		s.backoff = min(max(2*s.backoff, time.Second), maxBackoff)
		s.nextWrite = now.Add(s.backoff)
		return
	}
	s.backoff, s.rosterLost = 0, false
	before := s.rosters[s.self.Zone]
	if before.Version == 0 {
		// When a site first starts, the other zones write their rosters at the same time.
		s.nextReread = now.Add(FirstRereadDelay)
	}
	s.applyRoster(now, o.Roster, d)
	s.recordWriteEvents(before, o, d)
}

// recordWriteEvents emits the events of a roster write.
func (s *State) recordWriteEvents(before garnetworks.Roster, o RosterWritten, d *Decisions) {
	if o.Roster.Version <= before.Version {
		return
	}
	known := map[garnetworks.NodeID]garnetworks.NodeInfo{}
	for _, n := range before.Nodes {
		known[n.ID] = n
	}
	for _, n := range o.Patch.Set {
		if old, ok := known[n.ID]; !ok || old.Incarnation != n.Incarnation {
			d.Events = append(d.Events, s.event(garnetworks.EventNodeJoined, n, "listed"))
		}
	}
	for _, r := range o.Patch.Remove {
		reason := "lost"
		if r.Left {
			reason = "left"
		}
		if n, ok := known[r.ID]; ok {
			d.Events = append(d.Events, s.event(garnetworks.EventNodeLost, n, reason))
		}
	}
	d.Events = append(d.Events, garnetworks.Event{
		Kind: garnetworks.EventRosterWritten, Zone: s.self.Zone,
		Detail: fmt.Sprintf("version %d, %d nodes", o.Roster.Version, len(o.Roster.Nodes)),
	})
}
