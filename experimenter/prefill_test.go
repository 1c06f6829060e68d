package experimenter_test

import (
	"flag"
	"testing"

	"github.com/garnetworks/garnetworks/experimenter"
)

// wide adds a replay with 986 nodes, which takes about a minute.
var wide = flag.Bool("wide", false, "replay with 986 nodes, too")

// Guards against many nodes that send groups more prompts than they can prefill on time.
func TestManyNodesServeAsMuchOnTimeAsFew(t *testing.T) {
	// leastRatio is what many nodes must serve on time of what six nodes do.
	const leastRatio = 0.85
	onTime := func(nodes []float64) int {
		p := experimenter.Patterns()["short-of-prefill"]
		p.Nodes = nodes
		total := 0
		for seed := range uint64(2) {
			results, err := experimenter.Run(&p, "scheduler", seed+1)
			if err != nil {
				t.Fatal(err)
			}
			total += results[""].OnTime
		}
		return total
	}
	few := onTime(experimenter.Patterns()["calm"].Nodes)
	counts := []int{69, 89}
	if *wide {
		counts = append(counts, 986)
	}
	for _, count := range counts {
		nodes := make([]float64, count)
		for i := range nodes {
			nodes[i] = 1 / float64(count)
		}
		many := onTime(nodes)
		t.Logf("%d calls are on time with %d nodes, %d with six", many, count, few)
		if float64(many) < leastRatio*float64(few) {
			t.Errorf("%d nodes serve %.2f of what six nodes serve on time", count, float64(many)/float64(few))
		}
	}
}
