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

func TestCancelledCallReleasesSlot(t *testing.T) {
	// A slot that stays taken after its caller cancelled would be lost for good.
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

func TestStalledEnginesRefuseWaitingCalls(t *testing.T) {
	// Engines that hang end no calls; the age of the running calls must refuse waiting
	// ones, with time left for the caller to try elsewhere.
	synctest.Test(t, func(t *testing.T) {
		a := New(Options{Node: "n1"})
		a.SetManifest(testManifest())
		a.SetCapacity([]garnetworks.ModelCapacity{{Model: "m", Slots: 2, FirstToken: 50 * time.Millisecond}})
		for range 100 {
			ticket, err := a.Admit(t.Context(), testRequest("top", 2))
			if err != nil {
				t.Fatal(err)
			}
			time.Sleep(100 * time.Millisecond)
			ticket.Done(100)
		}
		for range 2 {
			if _, err := a.Admit(t.Context(), testRequest("top", 2)); err != nil {
				t.Fatal(err)
			}
		}
		begin := time.Now()
		request := testRequest("top", 2)
		request.FirstTokenBy = begin.Add(840 * time.Millisecond)
		_, err := a.Admit(t.Context(), request)
		if !garnetworks.IsKind(err, garnetworks.KindDeadlineUnreachable) {
			t.Fatalf("got %v, want a deadline that can't be met", err)
		}
		if waited := time.Since(begin); waited > 550*time.Millisecond {
			t.Errorf("refused after %v, want well before the deadline", waited)
		}
		if e := err.(*garnetworks.Error); e.RetryAfter < minOverloadRetry {
			t.Errorf("got Retry-After %v, want %v at least", e.RetryAfter, minOverloadRetry)
		}
	})
}

func TestLateCallGetsNoSlot(t *testing.T) {
	// A slot must not go to a waiting call that has missed its deadline while the node was
	// paused: another call could still use it in time.
	g := newGate(Options{Node: "n1"})
	g.setManifest(testStart, testManifest())
	g.setCapacity(testStart, []garnetworks.ModelCapacity{{Model: "m", Slots: 1}})
	g.pools["m"].slotTime = 0.1
	ask := func(by time.Duration) *waiter {
		return g.arrive(testStart, garnetworks.AdmitRequest{
			Workspace: "top", Model: "m", Priority: 2, Tokens: 1, Received: testStart, FirstTokenBy: testStart.Add(by),
		})
	}
	running, late, patient := ask(time.Second), ask(time.Second), ask(time.Minute)
	g.done(testStart.Add(2*time.Second), running, 1)
	if late.state != refused || patient.state != admitted {
		t.Errorf("got states %v and %v, want the late call refused and the other admitted", late.state, patient.state)
	}
}

func TestIdleNodeReports(t *testing.T) {
	// An idle node that reports nothing counts as unresponsive, and its share is reserved.
	g := newGate(Options{Node: "n1"})
	g.setManifest(testStart, testManifest())
	if d := g.demands(testStart); len(d) != 1 || d[0].RequestsPerSecond != 0 {
		t.Errorf("got demands %v of an idle node, want one of zero", d)
	}
}
