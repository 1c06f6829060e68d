package tracker

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/garnetworks/garnetworks"
)

// sendHeartbeats sends this round's heartbeats (rule T1).
func (s *State) sendHeartbeats(now time.Time, d *Decisions) {
	if now.Before(s.nextRound) {
		return
	}
	s.nextRound = s.nextRound.Add(HeartbeatInterval)
	if s.nextRound.Before(now) {
		// The process was paused; the rounds it missed are not made up for.
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

func except(nodes []garnetworks.NodeInfo, id garnetworks.NodeID) []garnetworks.NodeInfo {
	return slices.DeleteFunc(slices.Clone(nodes), func(n garnetworks.NodeInfo) bool { return n.ID == id })
}

// neighbours returns the next living nodes on the ring. Suspected ones stay
// among them, so that their return is seen, but do not count.
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

// ring returns the members that are not gone, in ring order from this node on.
func (s *State) ring() []*member {
	var all []*member
	for _, m := range s.members {
		if !m.gone() {
			all = append(all, m)
		}
	}
	own := ringHash(s.self.ID)
	slices.SortFunc(all, func(a, b *member) int {
		// The distance from this node, round the ring.
		return cmp.Compare(ringHash(a.info.ID)-own, ringHash(b.info.ID)-own)
	})
	return all
}

func ringHash(id garnetworks.NodeID) uint64 { return xxhash.Sum64String(string(id)) }

// remoteTargets returns a node of another zone when one is due. Zones and nodes
// take turns.
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
	// At the first start of a site no zone knows another one; the seeds join
	// them.
	return s.seedTargets(1)
}

// remoteNode returns a node of another zone by turn.
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

// indirectProbers are nodes to ask about suspects: the nearest sound ones and one of
// another zone.
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

// suspects are the nodes that this node suspects, as many as may be asked about
// at once.
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

// heardAnyone reports whether any node of the zone was heard of late.
func (s *State) heardAnyone(now time.Time) bool {
	for _, m := range s.members {
		if now.Sub(m.heardAt) <= unlistedTTL {
			return true
		}
	}
	return len(s.members) == 0 && s.accepted
}

// seedTargets are count of the seeds, by turn: some at the start, later one, as
// a way back for a node that lost sight of all others.
func (s *State) seedTargets(count int) []garnetworks.NodeInfo {
	var targets []garnetworks.NodeInfo
	for i := range min(count, len(s.seeds)) {
		address := s.seeds[(s.rounds+uint64(i))%uint64(len(s.seeds))]
		targets = append(targets, garnetworks.NodeInfo{Address: address})
	}
	return targets
}

// sendIndirectProbes tries the nodes that others asked about.
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
