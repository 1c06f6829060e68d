// Package sharer keeps, at the controller of an availability zone, what the
// nodes are asked for, and works out each node's share of the limits.
//
// The rules:
//
//	S1  Nodes report to their own zone's controller alone; controllers tell each
//	    other the sum of their zone, so that traffic grows with zones.
//	S2  A zone's sum stands for its nodes in equal parts. The table is then that
//	    of package admitter over all nodes of the site, so its shares sum to 1
//	    at most and a silent node keeps its equal share reserved.
//	S3  A word older than admitter.ShareBound counts as silence.
//	S4  A group counts as slow by the median of the nodes that measured it so,
//	    and only if two nodes did, or all that there are: one node with a bad way
//	    to a group must not have it replaced.
package sharer

import (
	"cmp"
	"slices"
	"time"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/admitter"
)

// ZoneDemand is the sum of a zone's demand, as its controller tells the site.
type ZoneDemand struct {
	// Nodes is the number of nodes heard.
	Nodes int `json:"nodes"`
	// Demands are sorted by workspace.
	Demands []garnetworks.Demand `json:"demands"`
}

// word is what was heard and when.
type report[T any] struct {
	at    time.Time
	value T
}

// tableAge is how long a table is used before it is worked out anew.
const maxTableAge = time.Second

// Aggregator keeps the words of one zone's nodes and of the other zones. It is not
// safe for concurrent use.
type Aggregator struct {
	zone        garnetworks.ZoneID
	nodes       []garnetworks.NodeInfo
	nodeReports map[garnetworks.NodeID]report[[]garnetworks.Demand]
	zoneReports map[garnetworks.ZoneID]report[ZoneDemand]

	table   admitter.ShareTable
	tableAt time.Time
}

// New returns a keeper for the zone.
func New(zone garnetworks.ZoneID) *Aggregator {
	return &Aggregator{
		zone:        zone,
		nodeReports: make(map[garnetworks.NodeID]report[[]garnetworks.Demand]),
		zoneReports: make(map[garnetworks.ZoneID]report[ZoneDemand]),
	}
}

// SetNodes takes the nodes on the rosters of all zones; what others reported is
// forgotten.
func (a *Aggregator) SetNodes(nodes []garnetworks.NodeInfo) {
	a.nodes = nodes
	known := garnetworks.NewSet[garnetworks.NodeID]()
	for i := range nodes {
		known.Add(nodes[i].ID)
	}
	for id := range a.nodeReports {
		if !known.Has(id) {
			delete(a.nodeReports, id)
		}
	}
}

// Report takes the demand of a node of the own zone (rule S1).
func (a *Aggregator) Report(now time.Time, node garnetworks.NodeID, demands []garnetworks.Demand) {
	a.nodeReports[node] = report[[]garnetworks.Demand]{now, demands}
}

// SetZoneDemand takes another zone's demand.
func (a *Aggregator) SetZoneDemand(now time.Time, zone garnetworks.ZoneID, demand ZoneDemand) {
	if zone != a.zone {
		a.zoneReports[zone] = report[ZoneDemand]{now, demand}
	}
}

// ZoneDemand returns the sum of the own zone's demand.
func (a *Aggregator) ZoneDemand(now time.Time) ZoneDemand {
	sums := make(map[garnetworks.WorkspaceName]garnetworks.Demand)
	reporting := 0
	for _, r := range a.nodeReports {
		if now.Sub(r.at) > admitter.ShareBound { // S3
			continue
		}
		reporting++
		for _, d := range r.value {
			sums[d.Workspace] = addDemand(sums[d.Workspace], d)
		}
	}
	demands := make([]garnetworks.Demand, 0, len(sums))
	for _, d := range sums {
		demands = append(demands, d)
	}
	slices.SortFunc(demands, func(a, b garnetworks.Demand) int { return cmp.Compare(a.Workspace, b.Workspace) })
	return ZoneDemand{Nodes: reporting, Demands: demands}
}

func addDemand(a, b garnetworks.Demand) garnetworks.Demand {
	return garnetworks.Demand{
		Workspace:         b.Workspace,
		RequestsPerSecond: a.RequestsPerSecond + b.RequestsPerSecond,
		TokensPerSecond:   a.TokensPerSecond + b.TokensPerSecond,
		InFlight:          a.InFlight + b.InFlight,
	}
}

// NodeShare returns a node's shares, or none if the node is on no roster yet.
func (a *Aggregator) NodeShare(now time.Time, workspaces []garnetworks.WorkspaceSpec, node garnetworks.NodeID) garnetworks.Option[admitter.NodeShare] {
	if a.tableAt.IsZero() || now.Sub(a.tableAt) >= maxTableAge || len(a.table.Nodes) != len(a.nodes) {
		a.table = admitter.Shares(workspaces, a.demands(now))
		a.tableAt = now
	}
	row, ok := a.table.Node(node)
	if !ok {
		return garnetworks.Option[admitter.NodeShare]{}
	}
	return garnetworks.Some(row)
}

// demands lays out what is known for every node of the site (S2).
func (a *Aggregator) demands(now time.Time) []admitter.NodeDemand {
	count := make(map[garnetworks.ZoneID]int)
	for i := range a.nodes {
		count[a.nodes[i].Zone]++
	}
	parts := make(map[garnetworks.ZoneID][]garnetworks.Demand, len(a.zoneReports))
	for zone, r := range a.zoneReports {
		if now.Sub(r.at) <= admitter.ShareBound && count[zone] > 0 { // S3
			parts[zone] = divide(r.value.Demands, count[zone])
		}
	}
	list := make([]admitter.NodeDemand, 0, len(a.nodes))
	for i := range a.nodes {
		list = append(list, a.demand(now, &a.nodes[i], parts))
	}
	return list
}

func (a *Aggregator) demand(now time.Time, n *garnetworks.NodeInfo, parts map[garnetworks.ZoneID][]garnetworks.Demand) admitter.NodeDemand {
	if n.Zone != a.zone {
		part, recent := parts[n.Zone]
		return admitter.NodeDemand{Node: n.ID, Silent: !recent, Demands: part}
	}
	r, recent := a.nodeReports[n.ID]
	recent = recent && now.Sub(r.at) <= admitter.ShareBound // S3
	return admitter.NodeDemand{Node: n.ID, Silent: !recent, Demands: r.value}
}

// divide returns one of n equal parts of the demands. The calls in flight are
// rounded up, so that a few calls don't count as none.
func divide(demands []garnetworks.Demand, n int) []garnetworks.Demand {
	part := make([]garnetworks.Demand, len(demands))
	for i, d := range demands {
		part[i] = garnetworks.Demand{
			Workspace:         d.Workspace,
			RequestsPerSecond: d.RequestsPerSecond / float64(n),
			TokensPerSecond:   d.TokensPerSecond / float64(n),
			InFlight:          (d.InFlight + n - 1) / n,
		}
	}
	return part
}

// minimumWitnesses is the number of nodes that must call a group slow (S4).
const minReports = 2

// Slowdowns returns the groups that are slow by the nodes' words (S4).
func Slowdowns(reports map[garnetworks.NodeID][]garnetworks.GroupSlowdown) map[garnetworks.GroupID]float64 {
	ratios := make(map[garnetworks.GroupID][]float64)
	for _, slow := range reports {
		for _, s := range slow {
			ratios[s.Group] = append(ratios[s.Group], s.Ratio)
		}
	}
	needed := min(minReports, len(reports))
	result := make(map[garnetworks.GroupID]float64)
	for group, list := range ratios {
		if len(list) < needed {
			continue
		}
		slices.Sort(list)
		result[group] = list[(len(list)-1)/2]
	}
	return result
}
