package prober

import (
	"cmp"
	"math"
	"slices"

	"github.com/garnetworks/garnetworks"
)

// maxSingleRow is the number of nodes up to which all nodes of a zone send to each other
// directly.
const maxSingleRow = 6

// grid is a zone's nodes, ready or not, in rows of nearly equal size. Each node sends its own
// probe results to its row, and those of its row to its column, so that results reach all nodes
// in two steps with about 2·√n messages per node.
type grid struct {
	rows [][]garnetworks.NodeInfo
}

// newGrid arranges the zone's nodes, sorted by ID. Nodes that are not ready are included,
// because they need the results before they can become ready.
func newGrid(zone garnetworks.ZoneID, nodes []garnetworks.NodeInfo) grid {
	var members []garnetworks.NodeInfo
	for _, n := range nodes {
		if n.Zone == zone {
			members = append(members, n)
		}
	}
	slices.SortFunc(members, func(a, b garnetworks.NodeInfo) int { return cmp.Compare(a.ID, b.ID) })
	count := 1
	if len(members) > maxSingleRow {
		count = int(math.Round(math.Sqrt(float64(len(members)))))
	}
	g := grid{rows: make([][]garnetworks.NodeInfo, count)}
	for i := range g.rows {
		g.rows[i] = members[i*len(members)/count : (i+1)*len(members)/count]
	}
	return g
}

// position returns the node's row and its index in it.
func (g grid) position(id garnetworks.NodeID) (row, column int, ok bool) {
	for r, members := range g.rows {
		for c := range members {
			if members[c].ID == id {
				return r, c, true
			}
		}
	}
	return 0, 0, false
}

// row returns the other nodes of the node's row.
func (g grid) row(id garnetworks.NodeID) []garnetworks.NodeInfo {
	r, c, ok := g.position(id)
	if !ok {
		return nil
	}
	return slices.Delete(slices.Clone(g.rows[r]), c, c+1)
}

// column returns the nodes of other rows to which the node sends its row's results. Row sizes
// differ by at most one; if another row is longer than the node's row, the first node of the
// shorter row also sends to the last node of the longer one.
func (g grid) column(id garnetworks.NodeID) []garnetworks.NodeInfo {
	r, c, ok := g.position(id)
	if !ok {
		return nil
	}
	var receivers []garnetworks.NodeInfo
	rowSize := len(g.rows[r])
	for i, members := range g.rows {
		if i == r {
			continue
		}
		if c < len(members) {
			receivers = append(receivers, members[c])
		}
		if c == 0 && len(members) > rowSize {
			receivers = append(receivers, members[rowSize:]...)
		}
	}
	return receivers
}
