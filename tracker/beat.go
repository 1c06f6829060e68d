package tracker

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/garnetworks/garnetworks"
)

// beat sends this round's heartbeats (rule T1).
func (s *State) beat(now time.Time, d *Decisions) {
	if now.Before(s.nextBeat) {
		return
	}
	s.nextBeat = s.nextBeat.Add(HeartbeatEvery)
	if s.nextBeat.Before(now) {
		// The process was paused; the rounds it missed are not made up for.
		s.nextBeat = now.Add(HeartbeatEvery)
	}
	s.beats++
	targets := map[string]garnetworks.NodeInfo{}
	add := func(nodes ...garnetworks.NodeInfo) {
		for _, n := range nodes {
			targets[n.Address] = n
		}
	}
	near := s.neighbours()
	add(near...)
	add(s.farTargets(now, len(near))...)
	suspects := s.suspects()
	if !s.unlisted.IsZero() || len(suspects) > 0 {
		add(s.candidates()...)
	}
	if len(suspects) > 0 {
		add(s.witnesses()...)
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
		d.Probes = append(d.Probes, Probe{Node: targets[address], From: s.self, Ask: except(suspects, targets[address].ID)})
	}
}

func except(nodes []garnetworks.NodeInfo, id garnetworks.NodeID) []garnetworks.NodeInfo {
	return slices.DeleteFunc(slices.Clone(nodes), func(n garnetworks.NodeInfo) bool { return n.ID == id })
}

// neighbours returns the next living nodes on the ring. Suspected ones stay
// among them, so that their return is seen, but do not count.
func (s *State) neighbours() []garnetworks.NodeInfo {
	var near []garnetworks.NodeInfo
	sound := 0
	for _, m := range s.ring() {
		near = append(near, m.info)
		if m.suspected.IsZero() {
			sound++
		}
		if sound == Neighbours || len(near) == 2*Neighbours {
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

// farTargets returns a node of another zone when one is due. Zones and nodes
// take turns.
func (s *State) farTargets(now time.Time, near int) []garnetworks.NodeInfo {
	if now.Before(s.nextFar) {
		return nil
	}
	s.nextFar = now.Add(FarEvery)
	if near < Neighbours {
		s.nextFar = now.Add(FarEverySmall)
	}
	s.farBeats++
	if far, ok := s.farNode(s.farBeats); ok {
		return []garnetworks.NodeInfo{far}
	}
	// At the first start of a site no zone knows another one; the seeds join
	// them.
	return s.seedTargets(1)
}

// farNode returns a node of another zone by turn.
func (s *State) farNode(turn uint64) (garnetworks.NodeInfo, bool) {
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

// witnesses are nodes to ask about suspects: the nearest sound ones and one of
// another zone.
func (s *State) witnesses() []garnetworks.NodeInfo {
	var witnesses []garnetworks.NodeInfo
	for _, m := range s.ring() {
		if m.suspected.IsZero() && len(witnesses) < Neighbours {
			witnesses = append(witnesses, m.info)
		}
	}
	if far, ok := s.farNode(s.beats); ok {
		witnesses = append(witnesses, far)
	}
	return witnesses
}

// suspects are the nodes that this node suspects, as many as may be asked about
// at once.
func (s *State) suspects() []garnetworks.NodeInfo {
	var suspects []garnetworks.NodeInfo
	for _, id := range slices.Sorted(maps.Keys(s.members)) {
		m := s.members[id]
		if !m.suspected.IsZero() && !m.gone() && len(suspects) < maxQuestions {
			suspects = append(suspects, m.info)
		}
	}
	return suspects
}

// heardAnyone reports whether any node of the zone was heard of late.
func (s *State) heardAnyone(now time.Time) bool {
	for _, m := range s.members {
		if now.Sub(m.heard) <= unlistedFor {
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
		address := s.seeds[(s.beats+uint64(i))%uint64(len(s.seeds))]
		targets = append(targets, garnetworks.NodeInfo{Address: address})
	}
	return targets
}

// inquire tries the nodes that others asked about.
func (s *State) inquire(now time.Time, d *Decisions) {
	count := 0
	for _, all := range []map[garnetworks.NodeID]*member{s.members, s.strangers} {
		for _, id := range slices.Sorted(maps.Keys(all)) {
			m := all[id]
			asked := !m.asked.IsZero() && now.Sub(m.asked) < 2*HeartbeatEvery
			if !asked || now.Sub(m.tried) < HeartbeatEvery || count == maxQuestions {
				continue
			}
			m.tried = now
			count++
			d.Probes = append(d.Probes, Probe{Node: m.info, From: s.self})
		}
	}
}
