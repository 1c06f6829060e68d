package admitter

import (
	"cmp"
	"slices"
	"time"

	"github.com/garnetworks/garnetworks"
)

// Parameters of the division of limits.
const (
	// ShareBound is the age at which a table no longer counts (A3).
	ShareBound = 15 * time.Second
	// IncreaseDelay is how long an increased share is delayed (A2). It exceeds the time
	// in which a table reaches all reachable nodes.
	IncreaseDelay = 2 * time.Second
	// At least minEqualFraction of the limit is divided equally, and at least
	// unusedEqualFraction of the part that the site does not use (A1).
	minEqualFraction    = 0.1
	unusedEqualFraction = 0.5
	// halfDemandCalls is the mean number of calls per node at which the demand fraction
	// reaches half of its maximum.
	halfDemandCalls = 2
)

// NodeDemand is the demand of one node.
type NodeDemand struct {
	Node garnetworks.NodeID `json:"node"`
	// Unresponsive nodes are on the rosters, but have not been heard from within
	// ShareBound; they are assumed to use the equal share (A3).
	Unresponsive bool `json:"silent,omitempty"`
	// Demands of an unresponsive node are ignored.
	Demands []garnetworks.Demand `json:"demands,omitempty"`
}

// ShareTable divides limits and slots among nodes.
type ShareTable struct {
	// Nodes are sorted by node.
	Nodes []NodeShare `json:"nodes"`
}

// NodeShare is one node's row of a table.
type NodeShare struct {
	Node garnetworks.NodeID `json:"node"`
	// Slots is the node's share of the serving capacity, 0 to 1.
	Slots float64 `json:"slots"`
	// Workspaces are sorted by name; each workspace's shares sum to 1 at most over
	// the nodes.
	Workspaces []WorkspaceShare `json:"workspaces,omitempty"`
}

// WorkspaceShare is one node's share of a workspace's limits.
type WorkspaceShare struct {
	Workspace garnetworks.WorkspaceName `json:"workspace"`
	Share     float64                   `json:"share"`
	// Utilization is the site's demand over the limit that it is closest to, plus the
	// part reserved for unresponsive nodes.
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

// Shares divides the limits of the workspaces among all nodes on the rosters (A1, A3).
// It is a pure function, so that all nodes with the same demands compute the same
// table.
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
		share := divide(nodes, demandFraction(nodes, &w, utilization), func(n *NodeDemand) float64 { return workspaceDemand(w, n.Demands) })
		for i := range nodes {
			row := &table.Nodes[i]
			row.Workspaces = append(row.Workspaces, WorkspaceShare{w.Name, share[i], utilization})
		}
	}
	return table
}

func sortedSpecs(workspaces []garnetworks.WorkspaceSpec) []garnetworks.WorkspaceSpec {
	sorted := slices.Clone(workspaces)
	slices.SortFunc(sorted, func(a, b garnetworks.WorkspaceSpec) int { return cmp.Compare(a.Name, b.Name) })
	return sorted
}

// demandFraction returns the fraction of a limit that is divided by demand (A1). The
// fewer calls the nodes have seen, the more of their demand is random: shares that
// follow a few calls would refuse the next ones at the nodes that had none.
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

// divide returns each node's share of 1: the equal share for unresponsive nodes; the
// rest is divided among the others, demandFraction of it by demand.
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

// siteUtilization returns the site's demand over the limit that it is closest to.
// Unresponsive nodes are assumed to use what is reserved for them.
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

// workspaceDemand returns the sum of a node's demands for one workspace, each as a
// fraction of its limit.
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

// tokenDemand returns the sum of a node's token demand over all workspaces.
func tokenDemand(demands []garnetworks.Demand) float64 {
	sum := 0.0
	for _, d := range demands {
		sum += max(0, d.TokensPerSecond)
	}
	return sum
}
