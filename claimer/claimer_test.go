package claimer

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/garnetworks/garnetworks"
	"pgregory.net/rapid"
)

// outcome is what happens to a call after its claim.
type outcome int

const (
	endComplete outcome = iota
	endUnknown
	endNotRun
	endCrash // the node crashes after the call ran, before the outcome is recorded
	outcomes
)

// step is one call of a scenario.
type step struct {
	At, Pause, Patience time.Duration
	Node, Key           int
	End                 outcome
}

// scenario is one run of the state machine test.
type scenario struct {
	Seed       uint64
	Nodes      int
	Forwarding bool
	Loss       float64
	Faults     faults
	Steps      []step
}

func drawScenario(t *rapid.T, crashes bool) scenario {
	chance := func(name string, most float64) float64 { return rapid.Float64Range(0, most).Draw(t, name) }
	millis := func(name string, most int) time.Duration {
		return time.Duration(rapid.IntRange(0, most).Draw(t, name)) * time.Millisecond
	}
	s := scenario{
		Seed: rapid.Uint64().Draw(t, "seed"), Nodes: rapid.IntRange(2, 4).Draw(t, "nodes"),
		Forwarding: rapid.Bool().Draw(t, "forwarding"), Loss: chance("loss", 0.4),
		Faults: faults{lost: chance("lost", 0.4), late: chance("late", 0.4), throttled: chance("throttled", 0.3), latency: 2 * time.Millisecond},
	}
	s.Faults.downFrom = millis("down-from", 20_000)
	s.Faults.downTo = s.Faults.downFrom + millis("down", 10_000)
	last := endCrash
	if !crashes {
		last = endNotRun
	}
	for range rapid.IntRange(5, 40).Draw(t, "steps") {
		s.Steps = append(s.Steps, step{
			At: millis("at", 30_000), Pause: millis("pause", 8_000) * time.Duration(rapid.IntRange(0, 1).Draw(t, "paused")),
			Patience: 50*time.Millisecond + millis("patience", 3_000),
			Node:     rapid.IntRange(0, s.Nodes-1).Draw(t, "node"), Key: rapid.IntRange(0, 3).Draw(t, "key"),
			End: outcome(rapid.IntRange(0, int(last)).Draw(t, "end")),
		})
	}
	return s
}

// oracle records what happened to each key, to check the claimers' results against.
type oracle struct {
	mu       sync.Mutex
	runs     [4]int
	answer   [4]string
	recorded [4]bool // Complete returned without an error
	unknown  [4]bool // an outcome was recorded as unknown
	failures []string
}

func (o *oracle) failf(format string, args ...any) {
	o.failures = append(o.failures, fmt.Sprintf(format, args...))
}

// run executes a scenario with real claimers in virtual time.
func (s scenario) run(t *testing.T) *oracle {
	o := &oracle{}
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		c := newCluster(ctx, s.Nodes, s.Forwarding, s.Loss, newStore(s.Faults, s.Seed))
		var calls sync.WaitGroup
		for i, st := range s.Steps {
			calls.Go(func() {
				time.Sleep(st.At)
				o.call(ctx, c, i, st)
			})
		}
		calls.Wait()
		c.store.mu.Lock()
		c.store.faults, c.loss = faults{latency: time.Millisecond}, 0
		c.store.mu.Unlock()
		time.Sleep(time.Minute) // late writes take effect, releases are recorded
		o.checkFinalState(ctx, c, s)
		cancel()
		time.Sleep(5 * time.Second)
	})
	return o
}

func request(key, call int) garnetworks.ClaimRequest {
	return garnetworks.ClaimRequest{
		Workspace: "delta", Service: "ledger", Key: fmt.Sprint("visit-", key), BodyHash: [32]byte{byte(key)},
		Call: garnetworks.CallID(fmt.Sprint("call-", call)), Until: time.Now().Add(4 * time.Second),
	}
}

// call does what the forwarder does: claim, wait, check, run, record.
func (o *oracle) call(ctx context.Context, c *cluster, i int, st step) {
	node := c.nodes[st.Node]
	r := request(st.Key, i)
	patient, cancel := context.WithTimeout(ctx, st.Patience)
	defer cancel()
	result, err := node.Claim(patient, r)
	if o.checkResult(st.Key, result, err) || err != nil {
		return
	}
	time.Sleep(st.Pause) // the node is paused between claim and call
	if st.End == endNotRun || !MayForward(time.Now(), &result.Claim) {
		_ = node.Abandon(patient, result.Claim, garnetworks.OutcomeNotRun)
		return
	}
	answer := o.execute(st.Key, i)
	switch st.End {
	case endCrash:
		c.stop[st.Node]()
	case endUnknown:
		o.mu.Lock()
		o.unknown[st.Key] = true
		o.mu.Unlock()
		_ = node.Abandon(patient, result.Claim, garnetworks.OutcomeUnknown)
	default:
		err = node.Complete(patient, result.Claim, &garnetworks.ServiceResponse{ID: r.Call, Status: 200, Body: []byte(answer)})
		o.mu.Lock()
		defer o.mu.Unlock()
		o.recorded[st.Key] = o.recorded[st.Key] || err == nil
	}
}

// execute simulates the backend server.
func (o *oracle) execute(key, call int) string {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.runs[key]++
	o.answer[key] = fmt.Sprint("answer of ", call)
	if o.runs[key] > 1 {
		o.failf("key %d ran %d times", key, o.runs[key])
	}
	return o.answer[key]
}

// checkResult checks the result of a claim against what happened, and reports whether it was
// a recorded answer.
func (o *oracle) checkResult(key int, result garnetworks.ClaimResult, err error) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	answer, ok := result.Recorded.Get()
	switch {
	case err == nil && ok && string(answer.Body) != o.answer[key]:
		o.failf("key %d was answered %q, not %q", key, answer.Body, o.answer[key])
	case err == nil && !ok && o.runs[key] > 0:
		o.failf("key %d was granted after it ran", key)
	case err != nil && !garnetworks.IsKind(err, garnetworks.KindInProgress, garnetworks.KindOutcomeUnknown,
		garnetworks.KindClaimsUnavailable, garnetworks.KindCancelled, garnetworks.KindShuttingDown):
		o.failf("key %d: unexpected error %v", key, err)
	}
	return ok
}

// checkFinalState claims every key after all faults have ended: a key that ran is never
// granted, a recorded one is answered, and one that never ran is free again.
func (o *oracle) checkFinalState(ctx context.Context, c *cluster, s scenario) {
	verifier := New(Options{Node: garnetworks.NodeInfo{ID: "asker"}, API: c.store})
	go func() { _ = verifier.Run(ctx) }()
	crashed := false
	for _, st := range s.Steps {
		crashed = crashed || st.End == endCrash
	}
	for key := range o.runs {
		result, err := verifier.Claim(ctx, request(key, 1000+key))
		o.checkResult(key, result, err)
		switch {
		case o.recorded[key] && !result.Recorded.Present:
			o.failf("key %d lost its recorded answer: %v", key, err)
		case !crashed && o.runs[key] == 0 && err != nil:
			o.failf("key %d never ran and is stuck: %v", key, err)
		}
	}
}

// A retried call must run at most once, be answered with its own answer, and leave its key
// free if it never ran, despite faults of the object API, nodes and forwarding.
func TestAtMostOnceOverAllNodes(t *testing.T) {
	for name, crashes := range map[string]bool{"with-crashes": true, "without-crashes": false} {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(rt *rapid.T) {
				s := drawScenario(rt, crashes)
				if o := s.run(t); len(o.failures) > 0 {
					rt.Fatalf("%v\n%+v", o.failures, s)
				}
			})
		})
	}
}
