// Package sharer aggregates the demand of nodes at the controller of an availability zone and
// computes each node's share of the limits.
//
// The rules:
//
//	S1  Nodes report to the controller of their own zone only; controllers send each other
//	    the sum of their zone, so that traffic grows with the number of zones.
//	S2  A zone's sum is divided equally among its nodes. Shares are then computed by
//	    package admitter over all nodes of the site, so they sum to 1 at most, and the
//	    equal share of a silent node stays reserved.
//	S3  A report older than admitter.ShareBound counts as silence.
//	S4  A group's slowdown is the median over the nodes that measured one, and counts only
//	    if at least two nodes did, or all if there are fewer: a single node with a bad
//	    connection to a group must not cause its replacement.
package sharer

import (
	"cmp"
	"slices"
	"time"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/admitter"
)

// ZoneDemand is the total demand of a zone, as its controller sends it to the other zones.
type ZoneDemand struct {
	// Nodes is the number of nodes with a recent report.
	Nodes int `json:"nodes"`
	// Demands is sorted by workspace.
	Demands []garnetworks.Demand `json:"demands"`
}

// report is a received value with the time of its receipt.
type report[T any] struct {
	at    time.Time
	value T
}

// maxTableAge is the age at which the table of shares is recomputed.
const maxTableAge = time.Second

// Aggregator holds the latest reports of one zone's nodes and of the other zones. It is not
// safe for concurrent use.
type Aggregator struct {
	zone        garnetworks.ZoneID
	nodes       []garnetworks.NodeInfo
	nodeReports map[garnetworks.NodeID]report[[]garnetworks.Demand]
	zoneReports map[garnetworks.ZoneID]report[ZoneDemand]

	table   admitter.ShareTable
	tableAt time.Time
}

// New returns an aggregator for the zone.
func New(zone garnetworks.ZoneID) *Aggregator {
	return &Aggregator{
		zone:        zone,
		nodeReports: make(map[garnetworks.NodeID]report[[]garnetworks.Demand]),
		zoneReports: make(map[garnetworks.ZoneID]report[ZoneDemand]),
	}
}

// SetNodes sets the nodes on the rosters of all zones and removes the reports of other nodes.
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

// Report records the demand of a node in the aggregator's zone (rule S1).
func (a *Aggregator) Report(now time.Time, node garnetworks.NodeID, demands []garnetworks.Demand) {
	a.nodeReports[node] = report[[]garnetworks.Demand]{now, demands}
}

// SetZoneDemand records another zone's demand; the aggregator's own zone is ignored.
func (a *Aggregator) SetZoneDemand(now time.Time, zone garnetworks.ZoneID, demand ZoneDemand) {
	if zone != a.zone {
		a.zoneReports[zone] = report[ZoneDemand]{now, demand}
	}
}

// ZoneDemand returns the total demand of the aggregator's zone.
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

// NodeShare returns a node's shares; the option is empty if the node is on no roster.
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

// demands returns the demand of every node of the site (S2).
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
		return admitter.NodeDemand{Node: n.ID, Unresponsive: !recent, Demands: part}
	}
	r, recent := a.nodeReports[n.ID]
	recent = recent && now.Sub(r.at) <= admitter.ShareBound // S3
	return admitter.NodeDemand{Node: n.ID, Unresponsive: !recent, Demands: r.value}
}

// divide returns one of n equal parts of the demands. Calls in flight are rounded up, so that
// a few calls don't become zero.
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

// minReports is the number of nodes that must report a group as slow (S4).
const minReports = 2

// Slowdowns returns the slow groups and their slowdown according to the nodes' reports (S4).
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
