package scheduler_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/scheduler"
)

// The replay of one workspace with ten times the calls of each of smallWorkspaces others, at twice
// the rate that the groups can serve.
const (
	smallWorkspaces, smallRate, largeRate = 5, 40, 400
	sharedGroups, sharedSlots             = 10, 30
	sharedServiceTime                     = time.Second
	replayTick                            = 10 * time.Millisecond
	replayTime, replayFrom                = 12 * time.Second, 4 * time.Second
)

// replaySharing returns the fractions of the small workspaces' and of the large one's calls that are
// served. A part of the nodes gets no load reports.
func replaySharing(nodes, disconnected int, stated bool) (small, large float64) {
	random := rand.New(rand.NewPCG(1, uint64(nodes)))
	list := make([]*scheduler.Scheduler, nodes)
	names := make([]garnetworks.GroupID, sharedGroups)
	for i := range names {
		names[i] = garnetworks.GroupID(fmt.Sprint("g", i))
	}
	for i := range list {
		list[i] = scheduler.New("z", random.Float64)
		list[i].SetGroups(start, groups(sharedSlots, names...))
	}
	type running struct {
		node  int
		group garnetworks.GroupID
	}
	ends := make(map[time.Duration][]running)
	load := make(map[garnetworks.GroupID]int)
	workspaceOf := make(map[garnetworks.CallID]garnetworks.WorkspaceName)
	sent, served := make(map[bool]float64), make(map[bool]float64)
	next := 0
	for at := time.Duration(0); at < replayTime; at += replayTick {
		now := start.Add(at)
		apply := func(node int, decisions ...scheduler.Decision) {
			for _, d := range decisions {
				if d.Group == "" {
					continue
				}
				load[d.Group]++
				ends[at+sharedServiceTime] = append(ends[at+sharedServiceTime], running{node, d.Group})
				list[node].FirstEvent(now, "m", d.Group, 150*time.Millisecond, 400*time.Millisecond)
				if at >= replayFrom {
					served[workspaceOf[d.Call] == "large"]++
				}
			}
		}
		for _, r := range ends[at] {
			load[r.group]--
			apply(r.node, list[r.node].Finished(now, "m", r.group, sharedServiceTime, true)...)
		}
		if at%(150*time.Millisecond) == 0 {
			for i, s := range list {
				report := garnetworks.LoadReport{Nodes: nodes - 1, Demands: []garnetworks.ModelDemand{{Model: "m", CallsPerSecond: (smallWorkspaces*smallRate + largeRate) * float64(nodes-1) / float64(nodes)}}}
				own := make(map[garnetworks.GroupID]int)
				for _, g := range s.Load(now).Groups {
					own[g.Group] = g.Running
				}
				for g, n := range load {
					report.Groups = append(report.Groups, garnetworks.GroupLoad{Group: g, Running: n - own[g]})
				}
				apply(i, s.SetPeerLoad(now, report, i >= disconnected)...)
			}
		}
		for range random.IntN(2*(smallWorkspaces*smallRate+largeRate)/100 + 1) {
			workspace := garnetworks.WorkspaceName("large")
			if u := random.IntN(smallWorkspaces*smallRate + largeRate); u >= largeRate {
				workspace = garnetworks.WorkspaceName(fmt.Sprint("small", u%smallWorkspaces))
			}
			next++
			call := newCall(fmt.Sprint(next))
			call.Arrived = now
			if stated {
				call.Workspace = workspace
			}
			workspaceOf[call.ID] = workspace
			if at >= replayFrom {
				sent[workspace == "large"]++
			}
			node := random.IntN(nodes)
			if d, decided := list[node].Arrive(now, call); decided {
				apply(node, d)
			}
		}
		for i, s := range list {
			if s.Waiting() > 0 {
				apply(i, s.Advance(now)...)
			}
		}
	}
	return served[false] / sent[false], served[true] / sent[true]
}

// Guards against a workspace that displaces the calls of others, and capacity left unused for shares.
func TestWorkspacesShareScarceSlots(t *testing.T) {
	cases := map[string]struct {
		nodes, disconnected int
		// gain is the least gain in the fraction of the small workspaces' calls that are served.
		gain float64
	}{
		"6 nodes": {6, 0, 0.31}, "6 nodes, a third disconnected": {6, 2, 0.29},
		"69 nodes": {69, 0, 0.05}, "69 nodes, a third disconnected": {69, 23, 0.08}, "986 nodes": {986, 0, 0.02},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if testing.Short() && c.nodes > 100 {
				t.Skip("a replay of that size takes seconds under the race detector")
			}
			small, large := replaySharing(c.nodes, c.disconnected, true)
			smallBefore, largeBefore := replaySharing(c.nodes, c.disconnected, false)
			total := func(small, large float64) float64 { return smallWorkspaces*smallRate*small + largeRate*large }
			t.Logf("served: small %.3f, large %.3f, %.0f per second; without workspaces %.3f, %.3f, %.0f", small, large, total(small, large), smallBefore, largeBefore, total(smallBefore, largeBefore))
			if small < smallBefore+c.gain || total(small, large) < 0.93*total(smallBefore, largeBefore) {
				t.Error("the small workspaces gain too little, or too few calls are served")
			}
		})
	}
}
