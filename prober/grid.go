package prober

import (
	"cmp"
	"math"
	"slices"

	"github.com/garnetworks/garnetworks"
)

// singleRow is the number of nodes up to which all nodes of a zone tell each
// other directly.
const singleRow = 6

// grid is a zone's nodes, ready or not, in rows of nearly equal size. Each node tells
// its row what it has probed, and its column what its row has told it, so that
// all hear all in two steps and each sends some 2·√n messages.
type grid struct {
	rows [][]garnetworks.NodeInfo
}

// newGrid arranges the zone's nodes, in order of name. A node that is not ready
// yet has to hear of the engines before it can be.
func newGrid(zone garnetworks.ZoneID, nodes []garnetworks.NodeInfo) grid {
	var listed []garnetworks.NodeInfo
	for _, n := range nodes {
		if n.Zone == zone {
			listed = append(listed, n)
		}
	}
	slices.SortFunc(listed, func(a, b garnetworks.NodeInfo) int { return cmp.Compare(a.ID, b.ID) })
	count := 1
	if len(listed) > singleRow {
		count = int(math.Round(math.Sqrt(float64(len(listed)))))
	}
	g := grid{rows: make([][]garnetworks.NodeInfo, count)}
	for i := range g.rows {
		g.rows[i] = listed[i*len(listed)/count : (i+1)*len(listed)/count]
	}
	return g
}

// place returns the node's row and its position in it.
func (g grid) place(id garnetworks.NodeID) (row, column int, ok bool) {
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
	r, c, ok := g.place(id)
	if !ok {
		return nil
	}
	return slices.Delete(slices.Clone(g.rows[r]), c, c+1)
}

// column returns the nodes of other rows that the node tells about its own row.
// Row sizes differ by one at most; where the node's row has no member for the
// last column of a longer row, its first member speaks to that column too.
func (g grid) column(id garnetworks.NodeID) []garnetworks.NodeInfo {
	r, c, ok := g.place(id)
	if !ok {
		return nil
	}
	var told []garnetworks.NodeInfo
	own := len(g.rows[r])
	for i, members := range g.rows {
		if i == r {
			continue
		}
		if c < len(members) {
			told = append(told, members[c])
		}
		if c == 0 && len(members) > own {
			told = append(told, members[own:]...)
		}
	}
	return told
}
