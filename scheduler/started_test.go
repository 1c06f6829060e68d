package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/scheduler"
)

// peerLoad is a report of many nodes with the given calls at each group.
func peerLoad(nodes, running int, callsPerSecond float64, names ...garnetworks.GroupID) garnetworks.LoadReport {
	report := garnetworks.LoadReport{Nodes: nodes, Demands: []garnetworks.ModelDemand{{Model: "m", CallsPerSecond: callsPerSecond}}}
	for _, g := range names {
		report.Groups = append(report.Groups, garnetworks.GroupLoad{Group: g, Running: running})
	}
	return report
}

// urgentCall is a call that may wait for less than the interval between two reports.
func urgentCall(id string, arrived time.Time) scheduler.Call {
	return scheduler.Call{ID: garnetworks.CallID(id), Model: "m", Arrived: arrived, Objective: 250 * time.Millisecond, PromptTokens: 1460, MaxGap: 300 * time.Millisecond}
}

// Guards against a node without reports that scales its own calls by its last share.
func TestNodeWithoutPeersUsesItsWholeWindow(t *testing.T) {
	s := scheduler.New("z", fixedRandom)
	list := groups(30, "g", "h")
	for i := range list {
		list[i].PrefillRate = 50_000
	}
	s.SetGroups(start, list)
	s.Arrive(start, newCall("own"))
	s.Finished(start, "m", "g", time.Second, true)
	s.Finished(start, "m", "h", time.Second, true)
	now := start.Add(time.Second)
	s.SetPeerLoad(now, peerLoad(88, 20, 62, "g", "h"), true)
	s.SetPeerLoad(now, garnetworks.LoadReport{}, false)
	for n := range 12 {
		now = now.Add(400 * time.Millisecond)
		d, decided := s.Arrive(now, urgentCall(fmt.Sprint(n), now))
		if !decided || d.Group == "" {
			t.Fatalf("call %d of 12 to two groups of 30 slots: got %+v, want a group", n, d)
		}
		s.PrefillDone("m", d.Group, 1460)
		s.FirstEvent(now, "m", d.Group, 100*time.Millisecond, 250*time.Millisecond)
	}
}

// Guards against a node that waits for the next report before it uses new groups.
func TestNewGroupsAreUsedBeforeTheNextReport(t *testing.T) {
	tests := map[string]struct {
		before, after []garnetworks.GroupID
	}{
		"the node has just started":                 {nil, []garnetworks.GroupID{"g", "h"}},
		"other groups open beside a full one":       {[]garnetworks.GroupID{"full"}, []garnetworks.GroupID{"full", "g", "h"}},
		"all groups are replaced after a partition": {[]garnetworks.GroupID{"full"}, []garnetworks.GroupID{"g", "h"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := scheduler.New("z", fixedRandom)
			s.SetGroups(start, groups(30, test.before...))
			report := peerLoad(88, 10, 40, "g", "h")
			report.Groups = append(report.Groups, garnetworks.GroupLoad{Group: "full", Running: 40})
			s.SetPeerLoad(start, report, true)
			now := start.Add(20 * time.Millisecond)
			s.SetGroups(now, groups(30, test.after...))
			if d, decided := s.Arrive(now, urgentCall("a", now)); !decided || d.Group == "" || d.Group == "full" {
				t.Errorf("got %+v, decided is %t; want a new group at once", d, decided)
			}
		})
	}
}

// Guards against a node that takes all slots of a new group which its peers use.
func TestNewGroupsCountThePeersCalls(t *testing.T) {
	s := scheduler.New("z", fixedRandom)
	s.SetPeerLoad(start, peerLoad(88, 30, 40, "g"), true)
	s.SetGroups(start, groups(30, "g"))
	if placed := fill(s); placed > 5 {
		t.Errorf("%d calls placed at a group with 30 calls in 30 slots", placed)
	}
}
