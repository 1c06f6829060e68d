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
type word[T any] struct {
	at   time.Time
	what T
}

// tableAge is how long a table is used before it is worked out anew.
const tableAge = time.Second

// Keeper keeps the words of one zone's nodes and of the other zones. It is not
// safe for concurrent use.
type Keeper struct {
	zone  garnetworks.ZoneID
	nodes []garnetworks.NodeInfo
	own   map[garnetworks.NodeID]word[[]garnetworks.Demand]
	zones map[garnetworks.ZoneID]word[ZoneDemand]

	table   admitter.ShareTable
	tableAt time.Time
}

// New returns a keeper for the zone.
func New(zone garnetworks.ZoneID) *Keeper {
	return &Keeper{
		zone:  zone,
		own:   make(map[garnetworks.NodeID]word[[]garnetworks.Demand]),
		zones: make(map[garnetworks.ZoneID]word[ZoneDemand]),
	}
}

// SetNodes takes the nodes on the rosters of all zones; what others reported is
// forgotten.
func (k *Keeper) SetNodes(nodes []garnetworks.NodeInfo) {
	k.nodes = nodes
	known := garnetworks.NewSet[garnetworks.NodeID]()
	for i := range nodes {
		known.Add(nodes[i].ID)
	}
	for id := range k.own {
		if !known.Has(id) {
			delete(k.own, id)
		}
	}
}

// Report takes the demand of a node of the own zone (rule S1).
func (k *Keeper) Report(now time.Time, node garnetworks.NodeID, demands []garnetworks.Demand) {
	k.own[node] = word[[]garnetworks.Demand]{now, demands}
}

// TakeZone takes another zone's demand.
func (k *Keeper) TakeZone(now time.Time, zone garnetworks.ZoneID, demand ZoneDemand) {
	if zone != k.zone {
		k.zones[zone] = word[ZoneDemand]{now, demand}
	}
}

// ZoneDemand returns the sum of the own zone's demand.
func (k *Keeper) ZoneDemand(now time.Time) ZoneDemand {
	sums := make(map[garnetworks.WorkspaceName]garnetworks.Demand)
	heard := 0
	for _, w := range k.own {
		if now.Sub(w.at) > admitter.ShareBound { // S3
			continue
		}
		heard++
		for _, d := range w.what {
			sums[d.Workspace] = plus(sums[d.Workspace], d)
		}
	}
	demands := make([]garnetworks.Demand, 0, len(sums))
	for _, d := range sums {
		demands = append(demands, d)
	}
	slices.SortFunc(demands, func(a, b garnetworks.Demand) int { return cmp.Compare(a.Workspace, b.Workspace) })
	return ZoneDemand{Nodes: heard, Demands: demands}
}

func plus(a, b garnetworks.Demand) garnetworks.Demand {
	return garnetworks.Demand{
		Workspace:         b.Workspace,
		RequestsPerSecond: a.RequestsPerSecond + b.RequestsPerSecond,
		TokensPerSecond:   a.TokensPerSecond + b.TokensPerSecond,
		InFlight:          a.InFlight + b.InFlight,
	}
}

// Row returns a node's shares, or none if the node is on no roster yet.
func (k *Keeper) Row(now time.Time, workspaces []garnetworks.WorkspaceSpec, node garnetworks.NodeID) garnetworks.Option[admitter.NodeShare] {
	if k.tableAt.IsZero() || now.Sub(k.tableAt) >= tableAge || len(k.table.Nodes) != len(k.nodes) {
		k.table = admitter.Shares(workspaces, k.demands(now))
		k.tableAt = now
	}
	row, ok := k.table.Node(node)
	if !ok {
		return garnetworks.Option[admitter.NodeShare]{}
	}
	return garnetworks.Some(row)
}

// demands lays out what is known for every node of the site (S2).
func (k *Keeper) demands(now time.Time) []admitter.NodeDemand {
	count := make(map[garnetworks.ZoneID]int)
	for i := range k.nodes {
		count[k.nodes[i].Zone]++
	}
	parts := make(map[garnetworks.ZoneID][]garnetworks.Demand, len(k.zones))
	for zone, w := range k.zones {
		if now.Sub(w.at) <= admitter.ShareBound && count[zone] > 0 { // S3
			parts[zone] = divide(w.what.Demands, count[zone])
		}
	}
	list := make([]admitter.NodeDemand, 0, len(k.nodes))
	for i := range k.nodes {
		list = append(list, k.demand(now, &k.nodes[i], parts))
	}
	return list
}

func (k *Keeper) demand(now time.Time, n *garnetworks.NodeInfo, parts map[garnetworks.ZoneID][]garnetworks.Demand) admitter.NodeDemand {
	if n.Zone != k.zone {
		part, heard := parts[n.Zone]
		return admitter.NodeDemand{Node: n.ID, Unresponsive: !heard, Demands: part}
	}
	w, heard := k.own[n.ID]
	heard = heard && now.Sub(w.at) <= admitter.ShareBound // S3
	return admitter.NodeDemand{Node: n.ID, Unresponsive: !heard, Demands: w.what}
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
const minimumWitnesses = 2

// Slowdowns returns the groups that are slow by the nodes' words (S4).
func Slowdowns(words map[garnetworks.NodeID][]garnetworks.GroupSlowdown) map[garnetworks.GroupID]float64 {
	ratios := make(map[garnetworks.GroupID][]float64)
	for _, slow := range words {
		for _, s := range slow {
			ratios[s.Group] = append(ratios[s.Group], s.Ratio)
		}
	}
	needed := min(minimumWitnesses, len(words))
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
