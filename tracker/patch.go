package tracker

import (
	"cmp"
	"slices"

	"github.com/garnetworks/garnetworks"
)

// Patch is a change to a zone's roster. It never lowers a node's incarnation, whichever
// version it is applied to (rule T5), so concurrent writers are safe.
type Patch struct {
	Zone garnetworks.ZoneID
	// Set are the nodes to add or replace, sorted by ID.
	Set []garnetworks.NodeInfo
	// Remove are the nodes to remove, sorted by ID.
	Remove []Removal
	// KnownVersion is the highest version known; the new version is higher (rule T8).
	KnownVersion uint64
	// KnownNodes are the nodes of that version, sorted by ID.
	KnownNodes []garnetworks.NodeInfo
}

// Removal removes a node unless it is listed with a higher incarnation.
type Removal struct {
	ID          garnetworks.NodeID
	Incarnation uint64
	// Left is true if the node announced that it was stopping.
	Left bool
}

// Empty reports whether the patch contains no changes.
func (p Patch) Empty() bool { return len(p.Set) == 0 && len(p.Remove) == 0 }

// Restored returns the roster to patch if r was read in an era of the object API: the known one if r
// comes from a copy that lacks it, else r (rule T12). The versions of an era are above those of
// earlier ones.
func (p Patch) Restored(r garnetworks.Roster, era garnetworks.Era) garnetworks.Roster {
	if p.KnownVersion >= firstVersion(era) || r.Version >= p.KnownVersion {
		return r
	}
	return garnetworks.Roster{Zone: p.Zone, Version: p.KnownVersion, Nodes: p.KnownNodes}
}

// eraShift is the number of the low bits of a version that count the changes of one era.
const eraShift = 32

// firstVersion returns the version below all those that are written in an era.
func firstVersion(era garnetworks.Era) uint64 { return uint64(era) << eraShift }

// Apply returns the patched roster and whether it differs from r.
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
