package admitter

import (
	"cmp"
	"slices"
	"time"

	"github.com/garnetworks/garnetworks"
)

// Bounds of the division of limits.
const (
	// ShareBound is the age at which a table no longer counts (A3).
	ShareBound = 15 * time.Second
	// SettleTime is how long a risen share waits (A2). It is above the time in
	// which a table reaches all nodes that can be reached.
	IncreaseDelay = 2 * time.Second
	// equalPart is the part of the limit that is divided equally at least, and
	// sparePart that of what the site does not ask for (A1).
	minEqualFraction    = 0.1
	unusedEqualFraction = 0.5
	// chanceCalls is the number of calls of a node at which half of what could
	// follow demand does.
	halfDemandCalls = 2
)

// NodeDemand is what one node asks for.
type NodeDemand struct {
	Node garnetworks.NodeID `json:"node"`
	// Unresponsive nodes are on the rosters, but have not been heard of within
	// ShareBound; they are taken to use the equal share (A3).
	Unresponsive bool `json:"silent,omitempty"`
	// Demands of a silent node are not looked at.
	Demands []garnetworks.Demand `json:"demands,omitempty"`
}

// ShareTable divides limits and slots among nodes.
type ShareTable struct {
	// Nodes are sorted by node.
	Nodes []NodeShare `json:"nodes"`
}

// NodeShare is one node's part.
type NodeShare struct {
	Node garnetworks.NodeID `json:"node"`
	// Slots is the node's part of the serving capacity, 0 to 1.
	Slots float64 `json:"slots"`
	// Workspaces are sorted by name; each workspace's shares sum to 1 at most
	// over the nodes.
	Workspaces []WorkspaceShare `json:"workspaces,omitempty"`
}

// WorkspaceShare is one node's part of a workspace's limits.
type WorkspaceShare struct {
	Workspace garnetworks.WorkspaceName `json:"workspace"`
	Share     float64                   `json:"share"`
	// Utilization is the site's demand as a part of the limit that is nearest to it.
	Utilization float64 `json:"use"`
}

// Node returns a node's row.
func (t *ShareTable) Node(id garnetworks.NodeID) (NodeShare, bool) {
	i, ok := slices.BinarySearchFunc(t.Nodes, id, func(s NodeShare, id garnetworks.NodeID) int {
		return cmp.Compare(s.Node, id)
	})
	if !ok {
		return NodeShare{}, false
	}
	return t.Nodes[i], true
}

// Shares divides the limits of the workspaces among all nodes on the rosters
// (A1, A3). It is a pure function of its arguments, so that each node that
// knows the same demands computes the same table.
func Shares(workspaces []garnetworks.WorkspaceSpec, nodes []NodeDemand) ShareTable {
	nodes = slices.Clone(nodes)
	slices.SortFunc(nodes, func(a, b NodeDemand) int { return cmp.Compare(a.Node, b.Node) })
	table := ShareTable{Nodes: make([]NodeShare, len(nodes))}
	for i, n := range nodes {
		table.Nodes[i].Node = n.Node
	}
	slots := divide(nodes, demandFraction(nodes, nil, 1), func(n *NodeDemand) float64 { return tokenDemand(n.Demands) })
	for i := range nodes {
		table.Nodes[i].Slots = slots[i]
	}
	for _, w := range sortedSpecs(workspaces) {
		utilization := siteUtilization(w, nodes)
		part := divide(nodes, demandFraction(nodes, &w, utilization), func(n *NodeDemand) float64 { return workspaceDemand(w, n.Demands) })
		for i := range nodes {
			row := &table.Nodes[i]
			row.Workspaces = append(row.Workspaces, WorkspaceShare{w.Name, part[i], utilization})
		}
	}
	return table
}

func sortedSpecs(workspaces []garnetworks.WorkspaceSpec) []garnetworks.WorkspaceSpec {
	sorted := slices.Clone(workspaces)
	slices.SortFunc(sorted, func(a, b garnetworks.WorkspaceSpec) int { return cmp.Compare(a.Name, b.Name) })
	return sorted
}

// follow returns the part of a limit that follows demand (A1). The fewer calls
// a node has seen, the more of its demand is chance: shares that follow a few
// calls would refuse the next ones at the nodes that had none.
func demandFraction(nodes []NodeDemand, w *garnetworks.WorkspaceSpec, utilization float64) float64 {
	calls, responsive := 0.0, 0.0
	for i := range nodes {
		if nodes[i].Unresponsive {
			continue
		}
		responsive++
		for _, d := range nodes[i].Demands {
			if w == nil || d.Workspace == w.Name {
				calls += max(0, d.RequestsPerSecond) * demandWindow.Seconds()
			}
		}
	}
	if responsive == 0 {
		return 0
	}
	mean := calls / responsive
	maxFraction := 1 - max(minEqualFraction, unusedEqualFraction*(1-utilization))
	return maxFraction * mean / (mean + halfDemandCalls)
}

// divide returns each node's part of 1: the equal part for silent nodes, and
// the rest, as far as follow says, by demand among the others.
func divide(nodes []NodeDemand, demandFraction float64, demand func(*NodeDemand) float64) []float64 {
	parts := make([]float64, len(nodes))
	if len(nodes) == 0 {
		return parts
	}
	equal := 1 / float64(len(nodes))
	remaining, sum, responsive := 1.0, 0.0, 0
	for i := range nodes {
		if nodes[i].Unresponsive {
			parts[i] = equal
			remaining -= equal
			continue
		}
		responsive++
		sum += demand(&nodes[i])
	}
	for i := range nodes {
		if nodes[i].Unresponsive {
			continue
		}
		parts[i] = remaining / float64(responsive)
		if sum > 0 {
			parts[i] = (1-demandFraction)*parts[i] + demandFraction*remaining*demand(&nodes[i])/sum
		}
	}
	return parts
}

// siteUse returns the site's demand as a part of the nearest limit. Silent nodes
// are taken to use what is reserved for them.
func siteUtilization(w garnetworks.WorkspaceSpec, nodes []NodeDemand) float64 {
	sum := garnetworks.Demand{}
	unresponsive := 0
	for i := range nodes {
		if nodes[i].Unresponsive {
			unresponsive++
			continue
		}
		for _, d := range nodes[i].Demands {
			if d.Workspace != w.Name {
				continue
			}
			sum.RequestsPerSecond += max(0, d.RequestsPerSecond)
			sum.TokensPerSecond += max(0, d.TokensPerSecond)
			sum.InFlight += max(0, d.InFlight)
		}
	}
	utilization := max(
		fraction(sum.RequestsPerSecond, w.Limits.RequestsPerSecond),
		fraction(sum.TokensPerSecond, w.Limits.TokensPerSecond),
		fraction(float64(sum.InFlight), float64(w.Limits.Concurrency)),
	)
	return utilization + float64(unresponsive)/float64(max(1, len(nodes)))
}

// wish adds up a node's demand for one workspace, each kind as a part of its
// limit.
func workspaceDemand(w garnetworks.WorkspaceSpec, demands []garnetworks.Demand) float64 {
	sum := 0.0
	for _, d := range demands {
		if d.Workspace != w.Name {
			continue
		}
		sum += fraction(d.RequestsPerSecond, w.Limits.RequestsPerSecond)
		sum += fraction(d.TokensPerSecond, w.Limits.TokensPerSecond)
		sum += fraction(float64(d.InFlight), float64(w.Limits.Concurrency))
	}
	return sum
}

func fraction(value, limit float64) float64 {
	if limit <= 0 || value <= 0 {
		return 0
	}
	return value / limit
}

// busy adds up the tokens that a node is asked for over all workspaces.
func tokenDemand(demands []garnetworks.Demand) float64 {
	sum := 0.0
	for _, d := range demands {
		sum += max(0, d.TokensPerSecond)
	}
	return sum
}
