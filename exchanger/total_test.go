package exchanger

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/garnetworks/garnetworks"
)

// Guards against a head whose work grows with the square of its cell's nodes, and against sums
// that differ from those over all other nodes.
func TestHeadSumsOncePerInterval(t *testing.T) {
	const rounds = 3
	sums := func(nodes int) int {
		e := New(Options{
			Self: func() garnetworks.NodeInfo { return garnetworks.NodeInfo{ID: "head"} }, Nodes: func() []garnetworks.NodeInfo { return nil },
			Load:        func() garnetworks.LoadReport { return garnetworks.LoadReport{} },
			SetPeerLoad: func(garnetworks.LoadReport, bool) {}, Suspect: func(garnetworks.GroupID) {},
		})
		report := func(i int) *garnetworks.ExchangeRequest {
			return &garnetworks.ExchangeRequest{From: fmt.Sprint("n-", i), Report: garnetworks.LoadReport{
				Nodes: 1, Groups: []garnetworks.GroupLoad{{Group: "g", Running: i, ActiveNodes: 1}}, Demands: []garnetworks.ModelDemand{{Model: "m", CallsPerSecond: 1}},
			}}
		}
		total := 0
		for i := range nodes {
			total += i
		}
		for range rounds {
			for i := range nodes {
				response, err := e.Exchange(context.Background(), report(i))
				if err != nil {
					t.Fatal(err)
				}
				time.Sleep(Interval / time.Duration(nodes))
				if time.Since(e.total.at) > 2*totalAge || len(e.nodes) < nodes {
					continue
				}
				if got := response.Report.Groups[0].Running; len(e.total.parts) == nodes && got != total-i {
					t.Errorf("node %d gets a load of %d, the others have %d", i, got, total-i)
				}
			}
		}
		return e.total.computed
	}
	synctest.Test(t, func(t *testing.T) {
		const most = int(rounds*Interval/totalAge) + 1
		if small, large := sums(80), sums(320); small > most || large > most {
			t.Errorf("%d sums with 80 nodes, %d with 320, want %d at most", small, large, most)
		}
	})
}

// Guards against an older limit that replaces a newer one in a sum, and against unbounded sums.
func TestSumHoldsTheNewestLimits(t *testing.T) {
	report := func(perSecond float64, age int64, instance garnetworks.InstanceID) garnetworks.LoadReport {
		return garnetworks.LoadReport{Limits: []garnetworks.ServerLimit{{Instance: instance, CallsPerSecond: perSecond, AgeMS: age}}}
	}
	sum := Sum(report(2, 300, "a"), report(-1, 100, "a"), report(3, 400, "a"), report(5, 200, "b"))
	if len(sum.Limits) != 2 || sum.Limits[0].CallsPerSecond != -1 || sum.Limits[1].Instance != "b" {
		t.Errorf("the sum is %+v", sum.Limits)
	}
	var many []garnetworks.LoadReport
	for i := range 2 * maxLimits {
		many = append(many, report(1, 0, garnetworks.InstanceID(fmt.Sprint(i))))
	}
	if got := len(Sum(many...).Limits); got != maxLimits {
		t.Errorf("the sum has %d limits", got)
	}
}

// Guards against nodes that ask a former lease holder for verdicts while its last reports are valid.
func TestSumNamesTheHolderOfTheNewestTerm(t *testing.T) {
	report := func(node garnetworks.NodeID, term uint32) garnetworks.LoadReport {
		return garnetworks.LoadReport{Nodes: 1, LeaseHolder: node, LeaseTerm: term}
	}
	sum := Sum(report("", 0), report("old", 3), Sum(report("new", 4), report("", 0)), report("older", 2))
	if sum.LeaseHolder != "new" || sum.LeaseTerm != 4 {
		t.Errorf("the holder is %q of term %d", sum.LeaseHolder, sum.LeaseTerm)
	}
}

// Guards against outcomes of calls that are lost in a sum, or stay in it without their node.
func TestSumOfOutcomes(t *testing.T) {
	report := func(onTime, late float32) garnetworks.LoadReport {
		return garnetworks.LoadReport{Nodes: 1, Demands: []garnetworks.ModelDemand{{
			Model: "m", CallsPerSecond: 1, Outcomes: garnetworks.CallOutcomes{OnTime: onTime, Late: late, PromptTokens: 100},
		}}}
	}
	a, b := report(3, 1), report(5, 0)
	sum := Sum(a, b)
	want := garnetworks.CallOutcomes{OnTime: 8, Late: 1, PromptTokens: 200}
	if got := sum.Demands[0]; got.Outcomes != want || got.CallsPerSecond != 2 {
		t.Errorf("sum %+v, want outcomes %+v", got, want)
	}
	if got := subtract(sum, a).Demands[0].Outcomes; got != b.Demands[0].Outcomes {
		t.Errorf("without one node %+v, want %+v", got, b.Demands[0].Outcomes)
	}
	if got := sum.Demands[0].Outcomes; got != want {
		t.Errorf("the sum has changed to %+v", got)
	}
}
