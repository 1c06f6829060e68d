package router

import (
	"fmt"
	"testing"
	"time"

	"github.com/garnetworks/garnetworks"
)

var testStart = time.Unix(1_800_000_000, 0)

// testView returns a view with n serving groups of one model.
func testView(zone garnetworks.ZoneID, n int) garnetworks.ZoneView {
	view := garnetworks.ZoneView{Zone: zone}
	for i := range n {
		view.Groups = append(view.Groups, garnetworks.GroupView{
			ID:        garnetworks.GroupID(fmt.Sprintf("%s-g%d", zone, i)),
			Zone:      zone,
			Model:     "m",
			Version:   "v1",
			Adapters:  []garnetworks.AdapterName{"a"},
			Token:     garnetworks.NewFencingToken(1, uint32(i+1)),
			Address:   fmt.Sprintf("127.0.0.1:%d", 9000+i),
			State:     garnetworks.GroupServing,
			Confirmed: true,
			Load:      garnetworks.EngineLoad{Capacity: 32, At: testStart},
		})
	}
	return view
}

func TestChoosesSameGroupAtAllNodes(t *testing.T) {
	// Guards against nodes that rank groups differently and so miss the engine that holds the
	// prefix of a conversation.
	view := testView("z1", 18)
	call := testCall("the same long prefix", 8)
	want := garnetworks.GroupID("")
	for _, node := range []garnetworks.NodeID{"n1", "n2", "n3"} {
		r := New(Options{Node: node, Zone: "z1"})
		r.SetView(testStart, view)
		got, err := r.Choose(testStart, call, nil)
		if err != nil {
			t.Fatal(err)
		}
		if want == "" {
			want = got.ID
		}
		if got.ID != want {
			t.Errorf("node %s chose %s, want %s", node, got.ID, want)
		}
	}
}

func TestNodePartitionedFromController(t *testing.T) {
	// Guards against sending calls to an unconfirmed group while a zone is partitioned from its
	// controller (rule G1), and against rejecting calls that a confirmed group could serve.
	r := New(Options{Node: "n1", Zone: "z1"})
	r.SetView(testStart, testView("z1", 2))
	call := testCall("prefix", 4)
	late := testStart.Add(garnetworks.ConfirmationBound + time.Millisecond)
	if _, err := r.Choose(late, call, nil); !garnetworks.IsKind(err, garnetworks.KindNoGroup) {
		t.Errorf("got %v without confirmation, want no serving group", err)
	}
	r.ConfirmGroup(late, "z1-g1", garnetworks.NewFencingToken(1, 2))
	r.ConfirmGroup(late, "z1-g0", garnetworks.NewFencingToken(9, 1))
	got, err := r.Choose(late, call, nil)
	if err != nil || got.ID != "z1-g1" {
		t.Errorf("got %s, %v, want the group that the node's own probes confirmed", got.ID, err)
	}
}

func TestRegions(t *testing.T) {
	zones := []garnetworks.ZoneSpec{{Name: "z1", Region: "r1"}, {Name: "z2", Region: "r1"}, {Name: "z3", Region: "r2"}}
	views := []garnetworks.ZoneView{testView("z1", 3), testView("z2", 3), testView("z3", 3)}
	tests := map[string]struct {
		blocks int
		// lost zones have no view.
		lost garnetworks.Set[garnetworks.ZoneID]
		// full zones have three waiting calls per slot.
		full garnetworks.Set[garnetworks.ZoneID]
		want garnetworks.Set[garnetworks.ZoneID]
	}{
		"long prompts use the region":            {blocks: 4, want: garnetworks.NewSet[garnetworks.ZoneID]("z1", "z2")},
		"short prompts stay in the zone":         {want: garnetworks.NewSet[garnetworks.ZoneID]("z1")},
		"short prompts leave a full zone":        {full: garnetworks.NewSet[garnetworks.ZoneID]("z1"), want: garnetworks.NewSet[garnetworks.ZoneID]("z1", "z2")},
		"a lost zone is served by the region":    {lost: garnetworks.NewSet[garnetworks.ZoneID]("z1"), want: garnetworks.NewSet[garnetworks.ZoneID]("z2")},
		"a lost region is served by another":     {blocks: 4, lost: garnetworks.NewSet[garnetworks.ZoneID]("z1", "z2"), want: garnetworks.NewSet[garnetworks.ZoneID]("z3")},
		"a full region spills to another":        {blocks: 4, full: garnetworks.NewSet[garnetworks.ZoneID]("z1", "z2"), want: garnetworks.NewSet[garnetworks.ZoneID]("z1", "z2", "z3")},
		"full regions take no spilled calls":     {blocks: 4, full: garnetworks.NewSet[garnetworks.ZoneID]("z1", "z2", "z3"), want: garnetworks.NewSet[garnetworks.ZoneID]("z1", "z2")},
		"calls stay if the other region is full": {blocks: 4, full: garnetworks.NewSet[garnetworks.ZoneID]("z3"), want: garnetworks.NewSet[garnetworks.ZoneID]("z1", "z2")},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := New(Options{Node: "n1", Zone: "z1", Zones: zones})
			for _, view := range views {
				if test.lost.Has(view.Zone) {
					continue
				}
				for i := range view.Groups {
					view.Groups[i].Load.Waiting = 0
					if test.full.Has(view.Zone) {
						view.Groups[i].Load.Waiting = 96
					}
				}
				r.SetView(testStart, view)
			}
			for i := range 50 {
				call := testCall(fmt.Sprintf("prefix %d", i), test.blocks)
				got, err := r.Choose(testStart, call, nil)
				if err != nil {
					t.Fatal(err)
				}
				if !test.want.Has(got.Zone) {
					t.Fatalf("got zone %s, want one of %v", got.Zone, garnetworks.Sorted(test.want))
				}
			}
		})
	}
}

func TestServers(t *testing.T) {
	view := func(zone garnetworks.ZoneID, leaving bool, ids ...garnetworks.InstanceID) garnetworks.ZoneView {
		v := garnetworks.ZoneView{Zone: zone}
		for _, id := range ids {
			v.Servers = append(v.Servers, garnetworks.ServerView{Instance: id, Service: "ledger", Zone: zone, Address: string(id), Leaving: leaving})
		}
		return v
	}
	type finish struct {
		instance garnetworks.InstanceID
		result   garnetworks.AttemptResult
	}
	tests := map[string]struct {
		views    []garnetworks.ZoneView
		finished []finish
		tried    []garnetworks.InstanceID
		want     garnetworks.Set[garnetworks.InstanceID]
	}{
		"own zone first": {
			views: []garnetworks.ZoneView{view("z1", false, "s1"), view("z2", false, "s2")},
			want:  garnetworks.NewSet[garnetworks.InstanceID]("s1"),
		},
		"leaving by its view": {
			views: []garnetworks.ZoneView{view("z1", true, "s1"), view("z2", false, "s2")},
			want:  garnetworks.NewSet[garnetworks.InstanceID]("s2"),
		},
		"leaving by its own statement, outdated view": {
			views:    []garnetworks.ZoneView{view("z1", false, "s1", "s2"), view("z1", false, "s1", "s2")},
			finished: []finish{{"s1", garnetworks.AttemptResult{Phase: garnetworks.PhaseRefused, Leaving: true}}},
			want:     garnetworks.NewSet[garnetworks.InstanceID]("s2"),
		},
		"unreachable, another zone": {
			views:    []garnetworks.ZoneView{view("z1", false, "s1"), view("z2", false, "s2")},
			finished: []finish{{"s1", garnetworks.AttemptResult{Phase: garnetworks.PhaseConnect}}},
			want:     garnetworks.NewSet[garnetworks.InstanceID]("s2"),
		},
		"unreachable, the only server": {
			views:    []garnetworks.ZoneView{view("z1", false, "s1")},
			finished: []finish{{"s1", garnetworks.AttemptResult{Phase: garnetworks.PhaseConnect}}},
			want:     garnetworks.NewSet[garnetworks.InstanceID]("s1"),
		},
		"all tried": {
			views: []garnetworks.ZoneView{view("z1", false, "s1")},
			tried: []garnetworks.InstanceID{"s1"},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := New(Options{Node: "n1", Zone: "z1"})
			r.SetView(testStart, test.views[0])
			for _, f := range test.finished {
				r.ServerCallStarted(testStart, "ledger", f.instance)
				r.ServerCallFinished(testStart, "ledger", f.instance, f.result)
			}
			for _, v := range test.views[1:] {
				r.SetView(testStart, v)
			}
			for range 20 {
				got, err := r.ChooseServer(testStart, "ledger", test.tried)
				if len(test.want) == 0 {
					if !garnetworks.IsKind(err, garnetworks.KindNoBackend) {
						t.Fatalf("got %v, want no backend server", err)
					}
					continue
				}
				if !test.want.Has(got.Instance) {
					t.Fatalf("got %s, %v, want one of %v", got.Instance, err, garnetworks.Sorted(test.want))
				}
			}
		})
	}
}

func TestGapDropsHints(t *testing.T) {
	// Guards against trusting hints after a gap in a group's events, which may hide evictions.
	r := New(Options{Node: "n1", Zone: "z1"})
	r.SetView(testStart, testView("z1", 18))
	call := testCall("prefix", 8)
	home, err := r.Choose(testStart, call, nil)
	if err != nil {
		t.Fatal(err)
	}
	hinted := garnetworks.GroupID("z1-g0")
	if home.ID == hinted {
		hinted = "z1-g1"
	}
	block := garnetworks.PrefixBlocks("m", "", call.Prompt, 8)[7]
	r.CacheEvents(hinted, []garnetworks.CacheEvent{{Number: 1, Block: block, Added: true}})
	if got, _ := r.Choose(testStart, call, nil); got.ID != hinted {
		t.Errorf("got %s, want the hinted group %s", got.ID, hinted)
	}
	r.CacheEvents(hinted, []garnetworks.CacheEvent{{Number: 7, Block: 99, Added: true}})
	if got, _ := r.Choose(testStart, call, nil); got.ID != home.ID {
		t.Errorf("got %s after a gap, want the hash's group %s", got.ID, home.ID)
	}
}
