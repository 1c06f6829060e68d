package tracker

import (
	"cmp"
	"slices"

	"github.com/garnetworks/garnetworks"
)

// Patch is a change of a zone's roster. Applied to any version of the roster,
// it never takes a node's incarnation back (rule T5), so candidates that decide
// at once do no harm.
type Patch struct {
	Zone garnetworks.ZoneID
	// Set are nodes to list as described, sorted by ID.
	Set []garnetworks.NodeInfo
	// Remove are nodes to take out, sorted by ID.
	Remove []Removal
	// KnownVersion is the highest version known; the new one is higher (rule T8).
	KnownVersion uint64
}

// Removal takes a node out unless it is listed with a higher incarnation.
type Removal struct {
	ID          garnetworks.NodeID
	Incarnation uint64
	// Left says that the node said itself that it was stopping.
	Left bool
}

// Empty reports whether the patch changes nothing anywhere.
func (p Patch) Empty() bool { return len(p.Set) == 0 && len(p.Remove) == 0 }

// Apply returns the changed roster, and whether it differs from r.
func (p Patch) Apply(r garnetworks.Roster) (garnetworks.Roster, bool) {
	nodes := map[garnetworks.NodeID]garnetworks.NodeInfo{}
	for _, n := range r.Nodes {
		nodes[n.ID] = n
	}
	changed := false
	for _, removal := range p.Remove {
		listed, ok := nodes[removal.ID]
		if ok && listed.Incarnation <= removal.Incarnation {
			delete(nodes, removal.ID)
			changed = true
		}
	}
	for _, n := range p.Set {
		listed, ok := nodes[n.ID]
		if ok && (listed == n || listed.Incarnation > n.Incarnation) {
			continue
		}
		nodes[n.ID] = n
		changed = true
	}
	if !changed {
		return r, false
	}
	next := garnetworks.Roster{Zone: p.Zone, Version: max(r.Version, p.KnownVersion) + 1}
	for _, n := range nodes {
		next.Nodes = append(next.Nodes, n)
	}
	slices.SortFunc(next.Nodes, compareNodes)
	return next, true
}

func compareNodes(a, b garnetworks.NodeInfo) int { return cmp.Compare(a.ID, b.ID) }
