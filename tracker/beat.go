package tracker

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/garnetworks/garnetworks"
)

// sendHeartbeats sends the heartbeats of one round if it is due (rule T1).
func (s *State) sendHeartbeats(now time.Time, d *Decisions) {
	if now.Before(s.nextRound) {
		return
	}
	s.nextRound = s.nextRound.Add(HeartbeatInterval)
	if s.nextRound.Before(now) {
		// The process was paused; missed rounds are skipped.
		s.nextRound = now.Add(HeartbeatInterval)
	}
	s.rounds++
	targets := map[string]garnetworks.NodeInfo{}
	add := func(nodes ...garnetworks.NodeInfo) {
		for _, n := range nodes {
			targets[n.Address] = n
		}
	}
	near := s.neighbours()
	add(near...)
	add(s.remoteTargets(now, len(near))...)
	suspects := s.suspects()
	if !s.unlistedSince.IsZero() || len(suspects) > 0 {
		add(s.candidates()...)
	}
	if len(suspects) > 0 {
		add(s.indirectProbers()...)
	}
	if len(targets) == 0 || !s.heardAnyone(now) {
		count := 1
		if len(targets) == 0 {
			count = 3
		}
		add(s.seedTargets(count)...)
	}
	delete(targets, s.self.Address)
	for _, address := range slices.Sorted(maps.Keys(targets)) {
		d.Probes = append(d.Probes, Probe{Node: targets[address], From: s.self, IndirectProbes: except(suspects, targets[address].ID)})
	}
}

// except returns nodes without the one named id.
func except(nodes []garnetworks.NodeInfo, id garnetworks.NodeID) []garnetworks.NodeInfo {
	return slices.DeleteFunc(slices.Clone(nodes), func(n garnetworks.NodeInfo) bool { return n.ID == id })
}

// neighbours returns the node's live successors on the ring. Suspected nodes are
// included, so that their recovery is noticed, but don't count towards Neighbours.
func (s *State) neighbours() []garnetworks.NodeInfo {
	var near []garnetworks.NodeInfo
	healthy := 0
	for _, m := range s.ring() {
		near = append(near, m.info)
		if m.suspectedSince.IsZero() {
			healthy++
		}
		if healthy == Neighbours || len(near) == 2*Neighbours {
			break
		}
	}
	return near
}

// ring returns the members that are not lost or leaving, in ring order after this node.
func (s *State) ring() []*member {
	var all []*member
	for _, m := range s.members {
		if !m.gone() {
			all = append(all, m)
		}
	}
	own := ringHash(s.self.ID)
	slices.SortFunc(all, func(a, b *member) int {
		// Distance from this node along the ring; the subtraction wraps around.
		return cmp.Compare(ringHash(a.info.ID)-own, ringHash(b.info.ID)-own)
	})
	return all
}

// ringHash returns the position of a node on the ring.
func ringHash(id garnetworks.NodeID) uint64 { return xxhash.Sum64String(string(id)) }

// remoteTargets returns one node of another zone if a heartbeat to one is due. Zones and
// their nodes are chosen in turn. The argument near is the number of neighbours.
func (s *State) remoteTargets(now time.Time, near int) []garnetworks.NodeInfo {
	if now.Before(s.nextRemote) {
		return nil
	}
	s.nextRemote = now.Add(RemoteHeartbeatInterval)
	if near < Neighbours {
		s.nextRemote = now.Add(RemoteHeartbeatIntervalSmall)
	}
	s.remoteRounds++
	if node, ok := s.remoteNode(s.remoteRounds); ok {
		return []garnetworks.NodeInfo{node}
	}
	// No other zone is known when a site first starts; the seeds connect the zones.
	return s.seedTargets(1)
}

// remoteNode returns a node of another zone, chosen in turn.
func (s *State) remoteNode(turn uint64) (garnetworks.NodeInfo, bool) {
	var zones []garnetworks.ZoneID
	for z, r := range s.rosters {
		if z != s.self.Zone && len(r.Nodes) > 0 {
			zones = append(zones, z)
		}
	}
	if len(zones) == 0 {
		return garnetworks.NodeInfo{}, false
	}
	slices.Sort(zones)
	start := ringHash(s.self.ID)
	nodes := s.rosters[zones[(start+turn)%uint64(len(zones))]].Nodes
	return nodes[(start/7+turn/uint64(len(zones)))%uint64(len(nodes))], true
}

// indirectProbers returns the nodes to ask about suspects: the nearest ones that are not
// suspected and one of another zone.
func (s *State) indirectProbers() []garnetworks.NodeInfo {
	var probers []garnetworks.NodeInfo
	for _, m := range s.ring() {
		if m.suspectedSince.IsZero() && len(probers) < Neighbours {
			probers = append(probers, m.info)
		}
	}
	if node, ok := s.remoteNode(s.rounds); ok {
		probers = append(probers, node)
	}
	return probers
}

// suspects returns the nodes that this node suspects, at most maxIndirectProbes.
func (s *State) suspects() []garnetworks.NodeInfo {
	var suspects []garnetworks.NodeInfo
	for _, id := range slices.Sorted(maps.Keys(s.members)) {
		m := s.members[id]
		if !m.suspectedSince.IsZero() && !m.gone() && len(suspects) < maxIndirectProbes {
			suspects = append(suspects, m.info)
		}
	}
	return suspects
}

// heardAnyone reports whether any node of the zone was heard within unlistedTTL. It is true
// for an accepted node that is alone in its zone.
func (s *State) heardAnyone(now time.Time) bool {
	for _, m := range s.members {
		if now.Sub(m.heardAt) <= unlistedTTL {
			return true
		}
	}
	return len(s.members) == 0 && s.accepted
}

// seedTargets returns up to count seeds, chosen in turn. Seeds also let a node that has lost
// contact with all others find them again.
func (s *State) seedTargets(count int) []garnetworks.NodeInfo {
	var targets []garnetworks.NodeInfo
	for i := range min(count, len(s.seeds)) {
		address := s.seeds[(s.rounds+uint64(i))%uint64(len(s.seeds))]
		targets = append(targets, garnetworks.NodeInfo{Address: address})
	}
	return targets
}

// sendIndirectProbes probes the nodes that peers have asked about.
func (s *State) sendIndirectProbes(now time.Time, d *Decisions) {
	count := 0
	for _, all := range []map[garnetworks.NodeID]*member{s.members, s.remoteMembers} {
		for _, id := range slices.Sorted(maps.Keys(all)) {
			m := all[id]
			asked := !m.askedAt.IsZero() && now.Sub(m.askedAt) < 2*HeartbeatInterval
			if !asked || now.Sub(m.probedAt) < HeartbeatInterval || count == maxIndirectProbes {
				continue
			}
			m.probedAt = now
			count++
			d.Probes = append(d.Probes, Probe{Node: m.info, From: s.self})
		}
	}
}
