package prober

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/garnetworks/garnetworks"
)

// ProbersPerInstance is the number of nodes that probe one instance (rule P1), so that the
// loss of one of them leaves no gap in the confirmations.
const ProbersPerInstance = 2

// Target is an engine instance to probe.
type Target struct {
	Instance garnetworks.InstanceID
	Address  string
	Zone     garnetworks.ZoneID
}

// assigner selects the probers of a zone's instances.
type assigner struct {
	// ready are the zone's ready nodes with the indexes of their rows in the grid.
	ready []candidate
}

type candidate struct {
	id  garnetworks.NodeID
	row int
}

// newAssigner returns the assigner for a zone. The order of nodes does not matter.
func newAssigner(zone garnetworks.ZoneID, nodes []garnetworks.NodeInfo) assigner {
	var a assigner
	for r, members := range newGrid(zone, nodes).rows {
		for _, n := range members {
			if n.Ready {
				a.ready = append(a.ready, candidate{n.ID, r})
			}
		}
	}
	return a
}

// probers returns the nodes that probe an instance: the ready node with the highest rendezvous
// weight, and the one with the highest weight in another row of the grid, so that their results
// reach every node by two paths without a common node. If no other row has a ready node, the
// second one is the next by weight.
func (a assigner) probers(instance garnetworks.InstanceID) []garnetworks.NodeID {
	first, ok := a.highest(instance, func(candidate) bool { return true })
	if !ok {
		return nil
	}
	second, ok := a.highest(instance, func(c candidate) bool { return c.row != first.row })
	if !ok {
		second, ok = a.highest(instance, func(c candidate) bool { return c.id != first.id })
	}
	if !ok {
		return []garnetworks.NodeID{first.id}
	}
	return []garnetworks.NodeID{first.id, second.id}
}

// highest returns the allowed node with the highest rendezvous weight.
func (a assigner) highest(instance garnetworks.InstanceID, allowed func(candidate) bool) (candidate, bool) {
	var best candidate
	var weight uint64
	for _, c := range a.ready {
		if !allowed(c) {
			continue
		}
		if w := rendezvous(c.id, instance); best.id == "" || w > weight {
			best, weight = c, w
		}
	}
	return best, best.id != ""
}

// rendezvous returns the weight of a node for an instance.
func rendezvous(node garnetworks.NodeID, instance garnetworks.InstanceID) uint64 {
	var buffer [128]byte
	b := append(buffer[:0], node...)
	b = append(b, 0)
	b = append(b, instance...)
	return xxhash.Sum64(b)
}

// Probers returns the nodes that probe the instance, the first choice first (rule P1).
func Probers(instance garnetworks.InstanceID, zone garnetworks.ZoneID, nodes []garnetworks.NodeInfo) []garnetworks.NodeID {
	return newAssigner(zone, nodes).probers(instance)
}

// Assigned returns the targets that the node probes, sorted by instance.
func Assigned(node garnetworks.NodeID, nodes []garnetworks.NodeInfo, targets []Target) []Target {
	zone := zoneOf(node, nodes)
	a := newAssigner(zone, nodes)
	var assigned []Target
	for _, t := range targets {
		if t.Zone == zone && slices.Contains(a.probers(t.Instance), node) {
			assigned = append(assigned, t)
		}
	}
	slices.SortFunc(assigned, func(a, b Target) int { return cmp.Compare(a.Instance, b.Instance) })
	return assigned
}

// zoneOf returns the zone of a node, or "" if it is not listed.
func zoneOf(id garnetworks.NodeID, nodes []garnetworks.NodeInfo) garnetworks.ZoneID {
	i := slices.IndexFunc(nodes, func(n garnetworks.NodeInfo) bool { return n.ID == id })
	if i < 0 {
		return ""
	}
	return nodes[i].Zone
}
