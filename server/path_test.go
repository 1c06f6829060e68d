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
	// Action is call-model, call-stream, call-read, call-write, kill or drain.
	Action string
	At     time.Duration
	Node   int
	// Key is the idempotency key; it may be empty.
	Key  string
	Body string
	// CancelAfter is 0 for calls that are not cancelled.
	CancelAfter time.Duration
	// BodyAfter is how long the last byte of the body takes.
	BodyAfter time.Duration
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

// callResult is the response to one call as its caller saw it.
type callResult struct {
	step
	id       garnetworks.CallID
	outcome  garnetworks.Outcome
	status   int
	body     string
	replayed bool
}

// run executes the scenario and returns the callers' results once all background work is done.
func (s scenario) run(e *environment) []*callResult {
	e.engineFaults = append([]string(nil), s.EngineFaults...)
	e.serviceFaults = append([]string(nil), s.ServiceFaults...)
	e.claimFaults = append([]string(nil), s.ClaimFaults...)
	var nodes [nodeCount]*node
	for i := range nodes {
		nodes[i] = e.newNode()
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

// sendCall sends one call and reads its response.
// slowReader returns the last byte after a time.
type slowReader struct {
	*strings.Reader
	after time.Duration
}

func (r *slowReader) Read(p []byte) (int, error) {
	if r.Len() > 1 {
		return r.Reader.Read(p[:min(len(p), r.Len()-1)])
	}
	if r.Len() == 1 {
		time.Sleep(r.after)
	}
	return r.Reader.Read(p)
}

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
	request := httptest.NewRequestWithContext(ctx, method, path, &slowReader{strings.NewReader(body), st.BodyAfter})
	request.ContentLength = int64(len(body))
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

// streamText returns the text of a stream and whether it has its end marker and an error
// event.
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

// findViolation describes the first result that violates a rule, or returns "".
func (e *environment) findViolation(results []*callResult) string {
	byKey := map[string]int{}
	for _, r := range results {
		ran := e.executions[r.id]
		if r.outcome == garnetworks.OutcomeNotRun && ran > 0 {
			return fmt.Sprintf("%+v: reported as not run, but ran %d times", r, ran)
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

// findResponseViolation checks that the response belongs to the call, and is complete if its
// outcome says so.
func (r *callResult) findResponseViolation(ran int) string {
	full := fullResponse(r.Body)
	completed := r.outcome == garnetworks.OutcomeCompleted
	switch r.Action {
	case "call-stream":
		text, done, hasError := streamText(r.body)
		if done != completed || (done && text != full) {
			return "a partial response is marked as complete"
		}
		if r.status == 200 && done == hasError {
			return "a stream ends without an end marker or an error event, or with both"
		}
		if !strings.HasPrefix(full, text) {
			return fmt.Sprintf("tokens are repeated, missing or from another response: %q", text)
		}
	case "call-model":
		var response struct{ Choices []struct{ Text string } }
		_ = json.Unmarshal([]byte(r.body), &response)
		if completed && (len(response.Choices) != 1 || response.Choices[0].Text != full) {
			return "the response is not the complete response to the call"
		}
		if !completed && len(response.Choices) > 0 {
			return "a call that did not complete has a response text"
		}
	default:
		if completed && r.body != "done:"+r.Body {
			return "the response is that of another call"
		}
		if completed && ran == 0 && !r.replayed {
			return "completed, but neither executed nor replayed"
		}
	}
	return ""
}

// Random calls, faults, cancellations, kills and drains on three nodes: no write may run twice,
// no call run that is reported as not run, no partial or wrong response pass for complete.
func TestCallPath(t *testing.T) {
	steps, calls := 0, 0
	outcomes := map[garnetworks.Outcome]int{}
	rapid.Check(t, func(rt *rapid.T) {
		s := drawScenario(rt)
		e := newEnvironment()
		violation := ""
		synctest.Test(t, func(*testing.T) {
			results := s.run(e)
			e.mu.Lock()
			defer e.mu.Unlock()
			violation = e.findViolation(results)
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
