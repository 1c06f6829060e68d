package server_test

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/server"
)

// A tech waits for a brief whose first attempt meets one fault, at its start or
// after four of twelve tokens. Each one must end whole all the same, and within
// the bound: a dead connection costs BetweenTokens, an engine that is alive and
// stuck SlowBetweenTokens, a time without any group that time.
func TestStreamSurvivesEachFault(t *testing.T) {
	faultFree := time.Duration(responseTokens+2*faultAfter) * 40 * time.Millisecond
	bounds := map[string]time.Duration{
		"silent": faultFree + 1100*time.Millisecond,
		"stuck":  faultFree + 5100*time.Millisecond,
		"slow":   faultFree + 3*time.Second,
		"outage": faultFree + 2100*time.Millisecond,
	}
	for _, fault := range engineFaultNames {
		t.Run(fault, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newEnvironment()
				w.engineFaults = []string{fault}
				n := w.newNode()
				begin := time.Now()
				r := n.sendCall(step{Action: "call-stream", Body: "part-a"})
				took := time.Since(begin)
				t.Logf("whole after %s", took)
				text, done, _ := streamText(r.body)
				if !done || text != fullResponse("part-a") || r.outcome != garnetworks.OutcomeCompleted {
					t.Errorf("outcome %s, text %q", r.outcome, text)
				}
				if bound := max(faultFree, bounds[fault]); took > bound {
					t.Errorf("took %s, bound %s", took, bound)
				}
			})
		})
	}
}

// An engine that resumes does so from the wrong place: with a text of its own,
// or with an end marker that belongs before the point of resumption. The second
// attempt is dropped and the third one completes the answer.
func TestStreamSurvivesWrongResumption(t *testing.T) {
	for _, fault := range []string{"anew", "short", "overlap", "crossed", "error-end"} {
		t.Run(fault, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newEnvironment()
				w.engineFaults = []string{"break", fault}
				r := w.newNode().sendCall(step{Action: "call-stream", Body: "part-a"})
				if text, done, _ := streamText(r.body); !done || text != fullResponse("part-a") {
					t.Errorf("done %t, text %q", done, text)
				}
			})
		})
	}
}

// A tech's note meets one fault. What the tech is told must be what the failure
// table says of it: the three columns are a call that may be repeated, one that
// may not, and one that may not and has a key.
func TestEachServiceFault(t *testing.T) {
	const c, u = garnetworks.OutcomeCompleted, garnetworks.OutcomeUnknown
	tests := map[string][3]garnetworks.Outcome{
		"none":        {c, c, c},
		"connect":     {c, c, c},
		"refused":     {c, c, c},
		"write":       {c, u, u},
		"write-ran":   {c, u, u},
		"wait-ran":    {c, u, u},
		"headers-ran": {c, u, u},
		"body-ran":    {c, u, u},
		"crossed":     {c, u, u},
		"crossed-ran": {c, u, u},
		"silent":      {c, u, u},
		"silent-ran":  {c, u, u},
		"late-ran":    {c, u, u},
		"panic-ran":   {c, u, u},
	}
	columns := []step{
		{Action: "call-read", Body: "b"},
		{Action: "call-write", Body: "b"},
		{Action: "call-write", Body: "b", Key: "k"},
	}
	for fault, want := range tests {
		for i, column := range columns {
			synctest.Test(t, func(t *testing.T) {
				w := newEnvironment()
				w.serviceFaults = []string{fault}
				r := w.newNode().sendCall(column)
				if r.outcome != want[i] {
					t.Errorf("%s, column %d: outcome %s, want %s: %s", fault, i, r.outcome, want[i], r.body)
				}
			})
		}
	}
}

// A tech's telephone loses its connection while a visit is being logged. The
// tech's program sends the call again through another node, with the same key,
// and must get the answer of the first one.
func TestKeyedCallOutlivesItsCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newEnvironment()
		visit := step{Action: "call-write", Body: "visit", Key: "k", CancelAfter: 50 * time.Millisecond}
		first := w.newNode().sendCall(visit)
		time.Sleep(time.Second)
		visit.CancelAfter = 0
		second := w.newNode().sendCall(visit)
		if first.outcome != garnetworks.OutcomeUnknown || second.body != "done:visit" || !second.replayed {
			t.Errorf("first %+v, second %+v", first, second)
		}
		if w.executions[first.id] != 1 || w.executions[second.id] != 0 {
			t.Errorf("executions: %v", w.executions)
		}
	})
}

// The platform's store is down for long. Calls that need a claim are refused as
// not run; those that may be repeated go on.
func TestStoreDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newEnvironment()
		w.claimFaults = []string{"down"}
		n := w.newNode()
		keyed := n.sendCall(step{Action: "call-write", Body: "b", Key: "k"})
		if keyed.outcome != garnetworks.OutcomeNotRun || !strings.Contains(keyed.body, string(garnetworks.KindClaimsUnavailable)) {
			t.Errorf("keyed: %+v", keyed)
		}
		if read := n.sendCall(step{Action: "call-read"}); read.outcome != garnetworks.OutcomeCompleted {
			t.Errorf("read: %+v", read)
		}
	})
}

// A node is stopped for an upgrade while it streams a brief. The brief must
// finish; what comes afterwards is refused as not run.
func TestDrainFinishesStreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newEnvironment().newNode()
		var stream *callResult
		go func() { stream = n.sendCall(step{Action: "call-stream", Body: "part-a"}) }()
		time.Sleep(100 * time.Millisecond)
		drained := make(chan error, 1)
		go func() { drained <- n.server.Drain(context.Background()) }()
		synctest.Wait()
		if n.server.Ready() {
			t.Error("the node is ready while it stops")
		}
		late := n.sendCall(step{Action: "call-write", Body: "b"})
		if late.outcome != garnetworks.OutcomeNotRun || !strings.Contains(late.body, string(garnetworks.KindShuttingDown)) {
			t.Errorf("late call: %+v", late)
		}
		if err := <-drained; err != nil {
			t.Error(err)
		}
		synctest.Wait()
		if _, done, _ := streamText(stream.body); !done {
			t.Errorf("the stream was cut off: %+v", stream)
		}
	})
}

// The grace period of a stopping node ends, or its operator signals a second
// time, while an engine is stuck. The caller must read that the answer is not
// whole, and Drain must say that a call was cut off.
func TestSecondSignalEndsStreamsWithError(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newEnvironment()
		w.engineFaults = []string{"stuck"}
		n := w.newNode()
		var stream *callResult
		go func() { stream = n.sendCall(step{Action: "call-stream", Body: "part-a"}) }()
		time.Sleep(time.Second)
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		if err := n.server.Drain(ctx); err == nil || !strings.Contains(err.Error(), "1 calls were cut off") {
			t.Errorf("Drain: %v", err)
		}
		synctest.Wait()
		_, done, broken := streamText(stream.body)
		if done || !broken || stream.outcome != garnetworks.OutcomeUnknown {
			t.Errorf("%+v", stream)
		}
	})
}

// While the balancer has not noticed yet that a stopping node is not ready, the
// node goes on taking its calls. Before it was ready for the first time it takes
// none.
func TestLameDuck(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newEnvironment().newNode()
		n.server = server.New(server.Options{
			Calls: n.calls, Manifest: newManifestSource(), LameDuck: 2 * time.Second,
			NewKeyIndex: func(*garnetworks.Manifest) server.KeyIndex { return fakeKeyIndex{} },
		})
		if r := n.sendCall(step{Action: "call-read"}); r.outcome != garnetworks.OutcomeNotRun {
			t.Errorf("before the node is ready: %+v", r)
		}
		n.server.SetReady(true)
		n.server.SetReady(false)
		go func() { _ = n.server.Drain(context.Background()) }()
		time.Sleep(time.Second)
		if r := n.sendCall(step{Action: "call-read"}); r.outcome != garnetworks.OutcomeCompleted || n.server.Ready() {
			t.Errorf("ready %t, %+v", n.server.Ready(), r)
		}
		time.Sleep(2 * time.Second)
		if r := n.sendCall(step{Action: "call-read"}); r.outcome != garnetworks.OutcomeNotRun {
			t.Errorf("%+v", r)
		}
	})
}
