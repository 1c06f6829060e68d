package prober

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/garnetworks/garnetworks"
)

// Replicas is the number of nodes that probe one instance (rule P1): one may
// be lost or cut off at any moment without a gap in the confirmations.
const Replicas = 2

// Target is an engine instance to probe.
type Target struct {
	Instance garnetworks.InstanceID
	Address  string
	Zone     garnetworks.ZoneID
}

// Probers returns the nodes that probe the instance, best first: the Replicas
// ready nodes of its zone with the highest rendezvous weights. The nodes may
// come in any order.
func Probers(instance garnetworks.InstanceID, zone garnetworks.ZoneID, nodes []garnetworks.NodeInfo) []garnetworks.NodeID {
	type weighted struct {
		node   garnetworks.NodeID
		weight uint64
	}
	var best [Replicas + 1]weighted
	found := 0
	for i := range nodes {
		n := &nodes[i]
		if n.Zone != zone || !n.Ready {
			continue
		}
		best[found] = weighted{n.ID, rendezvous(n.ID, instance)}
		found++
		slices.SortFunc(best[:found], func(a, b weighted) int {
			return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.node, b.node))
		})
		found = min(found, Replicas)
	}
	probers := make([]garnetworks.NodeID, found)
	for i := range probers {
		probers[i] = best[i].node
	}
	return probers
}

// rendezvous is the weight of the pair of a node and an instance.
func rendezvous(node garnetworks.NodeID, instance garnetworks.InstanceID) uint64 {
	var buffer [128]byte
	b := append(buffer[:0], node...)
	b = append(b, 0)
	b = append(b, instance...)
	return xxhash.Sum64(b)
}

// Assigned returns the targets that the node probes, in order of instance.
func Assigned(node garnetworks.NodeID, nodes []garnetworks.NodeInfo, targets []Target) []Target {
	var assigned []Target
	for _, t := range targets {
		if slices.Contains(Probers(t.Instance, t.Zone, nodes), node) {
			assigned = append(assigned, t)
		}
	}
	slices.SortFunc(assigned, func(a, b Target) int { return cmp.Compare(a.Instance, b.Instance) })
	return assigned
}
