package leaser_test

import (
	"fmt"
	"testing"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/leaser"
)

// Story: four in five nodes of a site have a fifth of a core, and one of them took the
// lease. It was late with all orders to 880 engines. The three nodes that read the lease
// often were of one zone, and when that was cut off nobody took it for 20 s.
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
				t.Fatalf("a weak node comes at place %d", i)
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
				t.Fatalf("rank %d at place %d", got, i)
			}
		}
	}
}
