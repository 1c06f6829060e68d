package admitter

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/garnetworks/garnetworks"
)

func testManifest() *garnetworks.Manifest {
	return &garnetworks.Manifest{
		Models: []garnetworks.ModelSpec{{Name: "m"}},
		Workspaces: []garnetworks.WorkspaceSpec{
			{Name: "large", Priority: 1},
			{Name: "small", Priority: 1},
			{Name: "top", Priority: 2},
		},
	}
}

func testRequest(workspace garnetworks.WorkspaceName, priority int) garnetworks.AdmitRequest {
	now := time.Now()
	return garnetworks.AdmitRequest{
		Workspace: workspace, Model: "m", Priority: priority, Tokens: 100,
		Received: now, FirstTokenBy: now.Add(10 * time.Second),
	}
}

func TestCancelledCallLeavesNothing(t *testing.T) {
	// A caller hangs up while its call waits. If its place stayed taken, the node
	// would lose a slot with each such caller until it served nobody.
	synctest.Test(t, func(t *testing.T) {
		a := New(Options{Node: "n1"})
		a.SetManifest(testManifest())
		a.SetCapacity([]garnetworks.ModelCapacity{{Model: "m", Slots: 1}})
		first, err := a.Admit(t.Context(), testRequest("large", 1))
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if _, err = a.Admit(ctx, testRequest("small", 1)); !garnetworks.IsKind(err, garnetworks.KindCancelled) {
			t.Fatalf("got %v, want a cancelled call", err)
		}
		first.Done(100)
		if c := a.Counts(); c.Running != 0 || c.Waiting != 0 {
			t.Errorf("got %d running, %d waiting calls, want none", c.Running, c.Waiting)
		}
		if d := a.Demands(); len(d) > 0 && d[0].InFlight != 0 {
			t.Errorf("got %d calls in flight, want none", d[0].InFlight)
		}
	})
}
