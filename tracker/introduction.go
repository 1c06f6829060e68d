package tracker

import (
	"slices"
	"time"

	"github.com/garnetworks/garnetworks"
)

// maxIntroduced limits the nodes that are introduced to an unlisted node: the candidates for
// writing its zone's roster.
const maxIntroduced = Candidates

// newcomer is an unlisted node that sent a heartbeat.
type newcomer struct {
	garnetworks.NodeInfo
	heardAt time.Time
}

// lists reports whether the known roster of the node's zone has its present description.
func (s *State) lists(n garnetworks.NodeInfo) bool {
	return slices.Contains(s.rosters[n.Zone].Nodes, n)
}

// introduce records an unlisted node and returns the first few other nodes of its zone (rule
// T11).
//
// Load pattern: hundreds of nodes of a site start at once and know three seeds, which are in
// other zones than most of them. Each would find itself the only candidate of its zone and
// write the roster, in conflict with all others.
func (s *State) introduce(now time.Time, n garnetworks.NodeInfo) []garnetworks.NodeInfo {
	first := slices.DeleteFunc(s.newcomers[n.Zone], func(other newcomer) bool {
		return other.ID == n.ID || now.Sub(other.heardAt) > unlistedTTL || s.lists(other.NodeInfo)
	})
	at, _ := slices.BinarySearchFunc(first, n, func(a newcomer, b garnetworks.NodeInfo) int { return compareNodes(a.NodeInfo, b) })
	first = slices.Insert(first, at, newcomer{n, now})
	s.newcomers[n.Zone] = first[:min(len(first), maxIntroduced)]
	var nodes []garnetworks.NodeInfo
	for _, other := range s.newcomers[n.Zone] {
		nodes = append(nodes, other.NodeInfo)
	}
	if n.Zone == s.self.Zone {
		nodes = append(append(nodes, s.self), s.candidates()...)
	}
	nodes = append(nodes, s.rosters[n.Zone].Nodes[:min(len(s.rosters[n.Zone].Nodes), maxIntroduced)]...)
	slices.SortFunc(nodes, compareNodes)
	nodes = slices.CompactFunc(nodes, func(a, b garnetworks.NodeInfo) bool { return a.ID == b.ID })
	nodes = slices.DeleteFunc(nodes, func(other garnetworks.NodeInfo) bool { return other.ID == n.ID })
	return nodes[:min(len(nodes), maxIntroduced)]
}

// recordIntroduced records nodes of the own zone that a peer knows, so that this node sends them
// heartbeats and waits for their write.
func (s *State) recordIntroduced(now time.Time, nodes []garnetworks.NodeInfo, d *Decisions) {
	for _, n := range nodes {
		if n.Zone != s.self.Zone || n.ID == s.self.ID {
			continue
		}
		if m, ok := s.members[n.ID]; ok && m.info.Incarnation >= n.Incarnation {
			continue
		}
		s.members[n.ID] = &member{info: n, reportedAt: now}
		d.Changed = true
	}
}
