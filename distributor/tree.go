package distributor

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/garnetworks/garnetworks"
)

// Split divides targets into the branches to which self forwards an update (rule
// D2). The first node of a branch receives the update, with the rest of the branch
// as its targets. Branches to other regions come first because their latency is
// highest. The seed determines the order within branches (rule D3).
func Split(self garnetworks.NodeInfo, targets []garnetworks.NodeInfo, fanout int, seed uint64) [][]garnetworks.NodeInfo {
	regions := map[garnetworks.RegionID][]garnetworks.NodeInfo{}
	zones := map[garnetworks.ZoneID][]garnetworks.NodeInfo{}
	var sameZone []garnetworks.NodeInfo
	for _, n := range targets {
		switch {
		case n.Zone == self.Zone:
			sameZone = append(sameZone, n)
		case n.Region == self.Region:
			zones[n.Zone] = append(zones[n.Zone], n)
		default:
			regions[n.Region] = append(regions[n.Region], n)
		}
	}
	var branches [][]garnetworks.NodeInfo
	for _, r := range slices.Sorted(maps.Keys(regions)) {
		branches = append(branches, shuffle(regions[r], seed))
	}
	for _, z := range slices.Sorted(maps.Keys(zones)) {
		branches = append(branches, shuffle(zones[z], seed))
	}
	return append(branches, chunks(shuffle(sameZone, seed), fanout)...)
}

// shuffle sorts nodes by a seeded hash of their addresses.
func shuffle(nodes []garnetworks.NodeInfo, seed uint64) []garnetworks.NodeInfo {
	type ranked struct {
		node garnetworks.NodeInfo
		rank uint64
	}
	all := make([]ranked, 0, len(nodes))
	for _, n := range nodes {
		d := xxhash.NewWithSeed(seed)
		_, _ = d.WriteString(n.Address)
		all = append(all, ranked{node: n, rank: d.Sum64()})
	}
	slices.SortFunc(all, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.node.Address, b.node.Address))
	})
	sorted := make([]garnetworks.NodeInfo, 0, len(nodes))
	for _, r := range all {
		sorted = append(sorted, r.node)
	}
	return sorted
}

// chunks divides nodes into at most count slices of nearly equal length.
func chunks(nodes []garnetworks.NodeInfo, count int) [][]garnetworks.NodeInfo {
	count = min(count, len(nodes))
	var all [][]garnetworks.NodeInfo
	for i := range count {
		all = append(all, nodes[i*len(nodes)/count:(i+1)*len(nodes)/count])
	}
	return all
}

// seedOf returns a hash of the updates' topics and versions.
func seedOf(updates []garnetworks.Update) uint64 {
	var seed uint64
	for _, u := range updates {
		seed += versionHash(u.Topic, u.Version)
	}
	return seed
}

// Depth returns the number of hops to the farthest target.
func Depth(self garnetworks.NodeInfo, targets []garnetworks.NodeInfo, fanout int, seed uint64) int {
	depth := 0
	for _, b := range Split(self, targets, fanout, seed) {
		depth = max(depth, 1+Depth(b[0], b[1:], fanout, seed))
	}
	return depth
}
