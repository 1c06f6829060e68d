package server_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/server"
	"pgregory.net/rapid"
)

// step is one step of a scenario, at a time after its start.
type step struct {
	// What is call-model, call-stream, call-read, call-write, kill or drain.
	Action string
	At     time.Duration
	Node   int
	// Key is empty for a call without one.
	Key  string
	Body string
	// CancelAfter is 0 for callers who stay.
	CancelAfter time.Duration
}

type scenario struct {
	Steps         []step
	EngineFaults  []string
	ServiceFaults []string
	ClaimFaults   []string
}

func drawScenario(t *rapid.T) scenario {
	millis := func(limit int) *rapid.Generator[time.Duration] {
		return rapid.Custom(func(t *rapid.T) time.Duration {
			return time.Duration(rapid.IntRange(0, limit).Draw(t, "ms")) * time.Millisecond
		})
	}
	actions := []string{"call-model", "call-stream", "call-stream", "call-read", "call-write", "call-write", "call-write", "call-write", "kill", "drain"}
	steps := rapid.Custom(func(t *rapid.T) step {
		s := step{
			Action: rapid.SampledFrom(actions).Draw(t, "what"),
			At:     millis(4000).Draw(t, "at"),
			Node:   rapid.IntRange(0, nodeCount-1).Draw(t, "node"),
			Key:    rapid.SampledFrom([]string{"", "k1", "k2"}).Draw(t, "key"),
			Body:   rapid.SampledFrom([]string{"part-a", "part-a", "part-b"}).Draw(t, "body"),
		}
		if rapid.IntRange(0, 4).Draw(t, "cancels") == 0 {
			s.CancelAfter = time.Millisecond + millis(1500).Draw(t, "cancel")
		}
		return s
	})
	faults := func(names []string, label string) []string {
		return rapid.SliceOfN(rapid.SampledFrom(names), 0, 12).Draw(t, label)
	}
	return scenario{
		Steps:         rapid.SliceOfN(steps, 1, 16).Draw(t, "steps"),
		EngineFaults:  faults(engineFaultNames, "engine faults"),
		ServiceFaults: faults(serviceFaultNames, "service faults"),
		ClaimFaults:   faults(claimFaultNames, "claim faults"),
	}
}

const nodeCount = 3

// receipt is what one caller saw.
type callResult struct {
	step
	id       garnetworks.CallID
	outcome  garnetworks.Outcome
	status   int
	body     string
	replayed bool
}

// run plays the scenario and returns what the callers saw, after all that was
// still to run has run.
func (s scenario) run(w *environment) []*callResult {
	w.engineFaults = append([]string(nil), s.EngineFaults...)
	w.serviceFaults = append([]string(nil), s.ServiceFaults...)
	w.claimFaults = append([]string(nil), s.ClaimFaults...)
	var nodes [nodeCount]*node
	for i := range nodes {
		nodes[i] = w.newNode()
	}
	var mu sync.Mutex
	var results []*callResult
	var group sync.WaitGroup
	for i := range s.Steps {
		st := s.Steps[i]
		group.Go(func() {
			time.Sleep(st.At + time.Duration(i)*time.Microsecond)
			n := nodes[st.Node]
			switch st.Action {
			case "kill":
				if !n.isDead() {
					close(n.dead)
				}
			case "drain":
				ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
				defer cancel()
				_ = n.server.Drain(ctx)
			default:
				r := n.sendCall(st)
				mu.Lock()
				results = append(results, r)
				mu.Unlock()
			}
		})
	}
	group.Wait()
	time.Sleep(time.Minute)
	for _, n := range nodes {
		if !n.isDead() {
			close(n.dead)
		}
	}
	time.Sleep(time.Minute)
	return results
}

// receive sends one call and reads its answer.
func (n *node) sendCall(st step) *callResult {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if st.CancelAfter > 0 {
		time.AfterFunc(st.CancelAfter, cancel)
	}
	method, path, body := "POST", "/services/ledger/visits", st.Body
	switch st.Action {
	case "call-model", "call-stream":
		path = "/v1/completions"
		body = fmt.Sprintf(`{"model":"brief:pumps","prompt":%q,"stream":%t}`, st.Body, st.Action == "call-stream")
	case "call-read":
		method = "GET"
	}
	request := httptest.NewRequestWithContext(ctx, method, path, strings.NewReader(body))
	request.Header.Set("Authorization", bearer)
	if st.Key != "" && method == "POST" {
		request.Header.Set("Idempotency-Key", st.Key)
	}
	recorder := httptest.NewRecorder()
	n.server.Handler().ServeHTTP(recorder, request)
	response := recorder.Result()
	r := &callResult{
		step:     st,
		id:       garnetworks.CallID(response.Header.Get(server.HeaderCallID)),
		outcome:  garnetworks.Outcome(response.Header.Get(server.HeaderOutcome)),
		status:   response.StatusCode,
		body:     recorder.Body.String(),
		replayed: response.Header.Get(server.HeaderReplayed) != "",
	}
	if r.outcome == "" {
		r.outcome = garnetworks.Outcome(response.Trailer.Get(server.HeaderOutcome))
	}
	return r
}

// streamText returns the text of a stream and whether it has its end marker and
// an error event.
func streamText(body string) (text string, done, hasError bool) {
	for event := range strings.SplitSeq(body, "\n\n") {
		hasError = hasError || strings.HasPrefix(event, "event: error")
		data, ok := strings.CutPrefix(event, "data: ")
		done = done || data == "[DONE]"
		var chunk struct{ Choices []struct{ Text string } }
		if ok && json.Unmarshal([]byte(data), &chunk) == nil && len(chunk.Choices) > 0 {
			text += chunk.Choices[0].Text
		}
	}
	return text, done, hasError
}

// judge returns what is wrong with the receipts, or "".
func (w *environment) findViolation(results []*callResult) string {
	byKey := map[string]int{}
	for _, r := range results {
		ran := w.executions[r.id]
		if r.outcome == garnetworks.OutcomeNotRun && ran > 0 {
			return fmt.Sprintf("%+v: not run, and it ran %d times", r, ran)
		}
		if r.outcome == "" {
			return fmt.Sprintf("%+v: no outcome", r)
		}
		if r.Action == "call-write" {
			if ran > 1 {
				return fmt.Sprintf("%+v: ran %d times", r, ran)
			}
			if r.Key != "" {
				byKey[r.Key] += ran
			}
		}
		if violation := r.findResponseViolation(ran); violation != "" {
			return fmt.Sprintf("%+v: %s", r, violation)
		}
	}
	for key, ran := range byKey {
		if ran > 1 {
			return fmt.Sprintf("key %s ran %d times", key, ran)
		}
	}
	return ""
}

// judgeAnswer checks that the answer is the caller's own, and whole if it says
// so.
func (r *callResult) findResponseViolation(ran int) string {
	full := fullResponse(r.Body)
	completed := r.outcome == garnetworks.OutcomeCompleted
	switch r.Action {
	case "call-stream":
		text, done, hasError := streamText(r.body)
		if done != completed || (done && text != full) {
			return "a partial answer looks whole"
		}
		if r.status == 200 && done == hasError {
			return "a stream ends without saying how"
		}
		if !strings.HasPrefix(full, text) {
			return fmt.Sprintf("tokens are repeated, missing or another's: %q", text)
		}
	case "call-model":
		var response struct{ Choices []struct{ Text string } }
		_ = json.Unmarshal([]byte(r.body), &response)
		if completed && (len(response.Choices) != 1 || response.Choices[0].Text != full) {
			return "the answer is not the caller's whole answer"
		}
		if !completed && len(response.Choices) > 0 {
			return "an answer that is not whole"
		}
	default:
		if completed && r.body != "done:"+r.Body {
			return "the answer is not the caller's own"
		}
		if completed && ran == 0 && !r.replayed {
			return "completed without an execution"
		}
	}
	return ""
}

// A visit is logged twice, a note that "did not run" is found in the ledger, a
// brief ends in the middle and looks whole. Callers on three nodes send calls,
// with equal keys at the same time and after failures; engines and servers
// refuse, break off, go silent, cross answers and answer late; the store of
// claims is down or loses answers; nodes are killed and drained; callers leave.
// The oracle counts executions and compares texts.
func TestCallPath(t *testing.T) {
	steps, calls := 0, 0
	outcomes := map[garnetworks.Outcome]int{}
	rapid.Check(t, func(rt *rapid.T) {
		s := drawScenario(rt)
		w := newEnvironment()
		violation := ""
		synctest.Test(t, func(*testing.T) {
			results := s.run(w)
			w.mu.Lock()
			defer w.mu.Unlock()
			violation = w.findViolation(results)
			steps += len(s.Steps)
			calls += len(results)
			for _, r := range results {
				outcomes[r.outcome]++
			}
		})
		if violation != "" {
			rt.Fatalf("%s", violation)
		}
	})
	t.Logf("%d steps, %d calls, outcomes %v", steps, calls, outcomes)
}
