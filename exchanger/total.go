package exchanger

import (
	"slices"
	"time"

	"github.com/garnetworks/garnetworks"
)

// totalAge is how long a sum over all reports is used. It is short compared with Interval, since
// nodes that act on older sums place more calls at the same groups.
const totalAge = 10 * time.Millisecond

// total is the sum over all valid reports of nodes and cells, and the node's own.
type total struct {
	at  time.Time
	sum garnetworks.LoadReport
	// parts are the reports of nodes in the sum.
	parts map[string]garnetworks.LoadReport
	// computed counts the sums.
	computed int
}

// sumWithout returns the sum over all valid reports except that of one node.
//
// Load pattern: the head of a large cell answers each of its nodes several times a second. A sum
// over all reports for each answer makes its work grow with the square of the cell's nodes.
func (e *Exchanger) sumWithout(now time.Time, from string, own garnetworks.LoadReport) garnetworks.LoadReport {
	e.mu.Lock()
	recent := now.Sub(e.total.at) < totalAge
	e.mu.Unlock()
	if !recent {
		e.computeTotal(now, own)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return subtract(e.total.sum, e.total.parts[from])
}

func (e *Exchanger) computeTotal(now time.Time, own garnetworks.LoadReport) {
	cells := e.validReports(&e.cells, "")
	nodes := e.validReports(&e.nodes, "")
	e.mu.Lock()
	defer e.mu.Unlock()
	parts := make(map[string]garnetworks.LoadReport, len(e.nodes))
	for from, r := range e.nodes {
		parts[from] = r.report
	}
	e.total = total{at: now, sum: Sum(append(append(nodes, cells...), own)...), parts: parts, computed: e.total.computed + 1}
}

// subtract returns the sum without one of the reports in it. Suspicions and lost groups stay.
func subtract(sum, part garnetworks.LoadReport) garnetworks.LoadReport {
	sum.Nodes -= part.Nodes
	if len(part.Groups) > 0 {
		loads := make(map[garnetworks.GroupID]garnetworks.GroupLoad, len(part.Groups))
		for _, g := range part.Groups {
			loads[g.Group] = g
		}
		sum.Groups = slices.Clone(sum.Groups)
		for i := range sum.Groups {
			sum.Groups[i].Running -= loads[sum.Groups[i].Group].Running
			sum.Groups[i].ActiveNodes -= loads[sum.Groups[i].Group].ActiveNodes
			sum.Groups[i].PrefillTokens -= loads[sum.Groups[i].Group].PrefillTokens
		}
		sum.Groups = slices.DeleteFunc(sum.Groups, func(g garnetworks.GroupLoad) bool { return g.Running <= 0 && g.ActiveNodes <= 0 })
	}
	sum.Demands = slices.Clone(sum.Demands)
	for i := range sum.Demands {
		for _, d := range part.Demands {
			if d.Model == sum.Demands[i].Model {
				sum.Demands[i].CallsPerSecond = max(0, sum.Demands[i].CallsPerSecond-d.CallsPerSecond)
				sum.Demands[i].Outcomes.Add(&d.Outcomes, -1)
			}
		}
	}
	return sum
}
