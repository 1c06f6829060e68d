package sharer

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/admitter"
)

var (
	start      = time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)
	workspaces = []garnetworks.WorkspaceSpec{{Name: "w", Limits: garnetworks.LimitsSpec{RequestsPerSecond: 100}}}
)

// siteNodes returns the nodes of zones of the given sizes.
func siteNodes(sizes map[garnetworks.ZoneID]int) []garnetworks.NodeInfo {
	var nodes []garnetworks.NodeInfo
	for _, zone := range []garnetworks.ZoneID{"a", "b", "c"} {
		for i := range sizes[zone] {
			nodes = append(nodes, garnetworks.NodeInfo{ID: garnetworks.NodeID(fmt.Sprintf("%s-%d", zone, i)), Zone: zone})
		}
	}
	return nodes
}

func demand(rate float64) []garnetworks.Demand {
	return []garnetworks.Demand{{Workspace: "w", RequestsPerSecond: rate, TokensPerSecond: rate}}
}

// share returns a node's share of workspace w.
func share(t *testing.T, a *Aggregator, now time.Time, node garnetworks.NodeID) float64 {
	t.Helper()
	row, ok := a.NodeShare(now, workspaces, node).Get()
	if !ok {
		t.Fatalf("no row for %s", node)
	}
	return row.Workspaces[0].Share
}

func TestSharesOfAllControllersSumToOne(t *testing.T) {
	// Guards against zone controllers whose tables of shares together exceed the limit of a
	// workspace.
	nodes := siteNodes(map[garnetworks.ZoneID]int{"a": 2, "b": 5, "c": 1})
	aggregators := map[garnetworks.ZoneID]*Aggregator{"a": New("a"), "b": New("b"), "c": New("c")}
	for i, n := range nodes {
		aggregators[n.Zone].SetNodes(nodes)
		aggregators[n.Zone].Report(start, n.ID, demand(float64(10*i)))
	}
	for from, a := range aggregators {
		for _, other := range aggregators {
			other.SetZoneDemand(start, from, a.ZoneDemand(start))
		}
	}
	sum := 0.0
	for _, n := range nodes {
		sum += share(t, aggregators[n.Zone], start, n.ID)
	}
	if math.Abs(sum-1) > 1e-9 {
		t.Errorf("shares sum to %v, want 1", sum)
	}
	if low, high := share(t, aggregators["b"], start, "b-0"), share(t, aggregators["b"], start, "b-4"); low >= high {
		t.Errorf("shares do not follow demand: %v for less, %v for more", low, high)
	}
}

func TestSilentZoneKeepsItsEqualShare(t *testing.T) {
	// Guards against assigning the equal share that nodes of a partitioned zone continue to use.
	nodes := siteNodes(map[garnetworks.ZoneID]int{"a": 2, "b": 1, "c": 1})
	a := New("a")
	a.SetNodes(nodes)
	a.SetZoneDemand(start, "b", ZoneDemand{Nodes: 1, Demands: demand(10)})
	a.SetZoneDemand(start, "c", ZoneDemand{Nodes: 1, Demands: demand(80)})
	now := start.Add(admitter.ShareBound + time.Second)
	a.SetZoneDemand(now, "b", ZoneDemand{Nodes: 1, Demands: demand(10)})
	a.Report(now, "a-0", demand(10))
	a.Report(now, "a-1", demand(10))

	sum := share(t, a, now, "a-0") + share(t, a, now, "a-1") + share(t, a, now, "b-0")
	if want := 0.75; math.Abs(sum-want) > 1e-9 {
		t.Errorf("reporting nodes have %v together, want %v", sum, want)
	}
}

func TestUnknownNodeGetsNoShares(t *testing.T) {
	a := New("a")
	a.SetNodes(siteNodes(map[garnetworks.ZoneID]int{"a": 1}))
	a.Report(start, "a-9", demand(1))
	if row := a.NodeShare(start, workspaces, "a-9"); row.Present {
		t.Errorf("a node on no roster got %+v, want no shares", row.Value)
	}
	a.SetNodes(siteNodes(map[garnetworks.ZoneID]int{"a": 1}))
	if got := a.ZoneDemand(start).Nodes; got != 0 {
		t.Errorf("a removed node counts in the zone's demand")
	}
}

func TestSlowdownNeedsTwoNodes(t *testing.T) {
	slow := func(ratio float64) []garnetworks.GroupSlowdown {
		return []garnetworks.GroupSlowdown{{Group: "g", Ratio: ratio}}
	}
	tests := map[string]struct {
		reports map[garnetworks.NodeID][]garnetworks.GroupSlowdown
		want    float64
	}{
		"one of two":          {map[garnetworks.NodeID][]garnetworks.GroupSlowdown{"x": slow(3), "y": nil}, 0},
		"the only node":       {map[garnetworks.NodeID][]garnetworks.GroupSlowdown{"x": slow(3)}, 3},
		"two, lower median":   {map[garnetworks.NodeID][]garnetworks.GroupSlowdown{"x": slow(3), "y": slow(2)}, 2},
		"outlier among three": {map[garnetworks.NodeID][]garnetworks.GroupSlowdown{"x": slow(2), "y": slow(90), "z": slow(3)}, 3},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			if got := Slowdowns(tt.reports)["g"]; got != tt.want {
				t.Errorf("Slowdowns() = %v, want %v", got, tt.want)
			}
		})
	}
}

// BenchmarkTable measures computing the table of shares at one zone's controller.
func BenchmarkTable(b *testing.B) {
	for _, count := range []int{6, 24, 96, 330} {
		b.Run(fmt.Sprintf("nodes=%d", count), func(b *testing.B) {
			nodes := siteNodes(map[garnetworks.ZoneID]int{"a": count / 3, "b": count / 3, "c": count / 3})
			specs := make([]garnetworks.WorkspaceSpec, 10)
			demands := make([]garnetworks.Demand, 10)
			for i := range specs {
				specs[i] = garnetworks.WorkspaceSpec{Name: garnetworks.WorkspaceName(fmt.Sprintf("workspace-%d", i)), Limits: garnetworks.LimitsSpec{RequestsPerSecond: 100}}
				demands[i] = garnetworks.Demand{Workspace: specs[i].Name, RequestsPerSecond: float64(i)}
			}
			a := New("a")
			a.SetNodes(nodes)
			for _, n := range nodes {
				a.Report(start, n.ID, demands)
			}
			a.SetZoneDemand(start, "b", ZoneDemand{Nodes: count / 3, Demands: demands})
			b.ReportAllocs()
			for b.Loop() {
				a.tableAt = time.Time{}
				a.NodeShare(start, specs, "a-0")
			}
		})
	}
}
