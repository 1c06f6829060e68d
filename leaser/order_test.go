package leaser_test

import (
	"fmt"
	"testing"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/leaser"
)

// Guards against a holder with too little CPU, and against candidates that are all in one
// zone and lost together.
func TestRankNodesPrefersCPUThenDistinctZones(t *testing.T) {
	var nodes []garnetworks.NodeInfo
	for z := range 5 {
		for n := range 19 {
			milliCPU := 192
			if n < 3 {
				milliCPU = 800
			}
			nodes = append(nodes, garnetworks.NodeInfo{
				ID: garnetworks.NodeID(fmt.Sprintf("n-%d-%d", z, n)), Zone: garnetworks.ZoneID(fmt.Sprintf("z%d", z)), MilliCPU: milliCPU,
			})
		}
	}
	for key := range 20 {
		order := leaser.RankNodes(fmt.Sprintf("key-%d", key), nodes)
		zones := garnetworks.NewSet[garnetworks.ZoneID]()
		for i, n := range order[:15] {
			if n.MilliCPU != 800 {
				t.Fatalf("a node with a small CPU share has rank %d", i)
			}
			if i < 5 {
				zones.Add(n.Zone)
			}
		}
		if len(zones) != 5 {
			t.Errorf("the first five nodes are of %d zones", len(zones))
		}
		for i, n := range order {
			if got := leaser.Rank(fmt.Sprintf("key-%d", key), n, nodes); got != i {
				t.Fatalf("Rank() = %d, want %d", got, i)
			}
		}
	}
}
