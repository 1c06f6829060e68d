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
	// A caller's next turn comes in at another node. If nodes ranked groups
	// differently, the engine that holds the prefix would be missed.
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
