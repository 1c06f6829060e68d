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

// A stream whose first attempt fails must complete within the time that the fault may cost: a
// dead connection BetweenTokens, a stuck engine SlowBetweenTokens, an outage its duration.
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
				e := newEnvironment()
				e.engineFaults = []string{fault}
				n := e.newNode()
				begin := time.Now()
				r := n.sendCall(step{Action: "call-stream", Body: "part-a"})
				took := time.Since(begin)
				t.Logf("complete after %s", took)
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

// An engine resumes at the wrong position, with another text or an early end marker. The second
// attempt must be discarded, and the third must complete the response.
func TestStreamSurvivesWrongResumption(t *testing.T) {
	for _, fault := range []string{"restart", "short", "overlap", "mismatched", "error-end"} {
		t.Run(fault, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := newEnvironment()
				e.engineFaults = []string{"break", fault}
				r := e.newNode().sendCall(step{Action: "call-stream", Body: "part-a"})
				if text, done, _ := streamText(r.body); !done || text != fullResponse("part-a") {
					t.Errorf("done %t, text %q", done, text)
				}
			})
		})
	}
}

// Each fault must have the outcome listed for it. The columns are an idempotent call, one that
// is not, and one that is not but has an idempotency key.
func TestEachServiceFault(t *testing.T) {
	const c, u = garnetworks.OutcomeCompleted, garnetworks.OutcomeUnknown
	tests := map[string][3]garnetworks.Outcome{
		"none":           {c, c, c},
		"connect":        {c, c, c},
		"refused":        {c, c, c},
		"write":          {c, u, u},
		"write-ran":      {c, u, u},
		"wait-ran":       {c, u, u},
		"headers-ran":    {c, u, u},
		"body-ran":       {c, u, u},
		"mismatched":     {c, u, u},
		"mismatched-ran": {c, u, u},
		"silent":         {c, u, u},
		"silent-ran":     {c, u, u},
		"late-ran":       {c, u, u},
		"panic-ran":      {c, u, u},
	}
	columns := []step{
		{Action: "call-read", Body: "b"},
		{Action: "call-write", Body: "b"},
		{Action: "call-write", Body: "b", Key: "k"},
	}
	for fault, want := range tests {
		for i, column := range columns {
			synctest.Test(t, func(t *testing.T) {
				e := newEnvironment()
				e.serviceFaults = []string{fault}
				r := e.newNode().sendCall(column)
				if r.outcome != want[i] {
					t.Errorf("%s, column %d: outcome %s, want %s: %s", fault, i, r.outcome, want[i], r.body)
				}
			})
		}
	}
}

// The caller of a keyed call disconnects and repeats it through another node. The repetition
// must receive the response of the first call.
func TestKeyedCallOutlivesItsCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEnvironment()
		visit := step{Action: "call-write", Body: "visit", Key: "k", CancelAfter: 50 * time.Millisecond}
		first := e.newNode().sendCall(visit)
		time.Sleep(time.Second)
		visit.CancelAfter = 0
		second := e.newNode().sendCall(visit)
		if first.outcome != garnetworks.OutcomeUnknown || second.body != "done:visit" || !second.replayed {
			t.Errorf("first %+v, second %+v", first, second)
		}
		if e.executions[first.id] != 1 || e.executions[second.id] != 0 {
			t.Errorf("executions: %v", e.executions)
		}
	})
}

// While the claim store is down, calls that need a claim are refused as not run, and
// idempotent calls are served.
func TestStoreDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEnvironment()
		e.claimFaults = []string{"down"}
		n := e.newNode()
		keyed := n.sendCall(step{Action: "call-write", Body: "b", Key: "k"})
		if keyed.outcome != garnetworks.OutcomeNotRun || !strings.Contains(keyed.body, string(garnetworks.KindClaimsUnavailable)) {
			t.Errorf("keyed: %+v", keyed)
		}
		if read := n.sendCall(step{Action: "call-read"}); read.outcome != garnetworks.OutcomeCompleted {
			t.Errorf("read: %+v", read)
		}
	})
}

// A draining node must finish its streams and refuse new calls as not run.
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
			t.Error("the node is ready while it drains")
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
			t.Errorf("the stream was interrupted: %+v", stream)
		}
	})
}

// Guards against calls that are begun late in the grace period, and cut off at its end.
func TestLateBodyIsRefusedIfTheGraceIsTooShort(t *testing.T) {
	// The workspace's deadline is one minute, that of calls to plain services five.
	cases := map[string]struct {
		action string
		grace  time.Duration
		want   garnetworks.Outcome
	}{
		"model, too short":   {"call-model", 50 * time.Second, garnetworks.OutcomeNotRun},
		"stream, too short":  {"call-stream", 50 * time.Second, garnetworks.OutcomeNotRun},
		"service, too short": {"call-write", 4 * time.Minute, garnetworks.OutcomeNotRun},
		"model, enough":      {"call-model", 2 * time.Minute, garnetworks.OutcomeCompleted},
		"stream, enough":     {"call-stream", 2 * time.Minute, garnetworks.OutcomeCompleted},
		"service, enough":    {"call-write", 6 * time.Minute, garnetworks.OutcomeCompleted},
	}
	for name, tt := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := newEnvironment().newNode()
				results := make(chan *callResult, 1)
				go func() { results <- n.sendCall(step{Action: tt.action, Body: "part-a", BodyAfter: 3 * time.Second}) }()
				time.Sleep(time.Second)
				ctx, cancel := context.WithTimeout(context.Background(), tt.grace)
				defer cancel()
				go func() { _ = n.server.Drain(ctx) }()
				if r := <-results; r.outcome != tt.want {
					t.Errorf("%+v", r)
				}
				synctest.Wait()
			})
		})
	}
}

// The grace period ends while an engine is stuck. The stream must end with an error, and Drain
// must report the interrupted call.
func TestSecondSignalEndsStreamsWithError(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEnvironment()
		e.engineFaults = []string{"stuck"}
		n := e.newNode()
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

// A stopping node accepts calls until LameDuck has passed. A node that was never ready accepts
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
