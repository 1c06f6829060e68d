package server_test

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/forwarder"
	"github.com/garnetworks/garnetworks/server"
	"github.com/pkg/errors"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

const (
	responseTokens = 12
	serviceTimeout = 5 * time.Second
	bearer         = "Bearer key-of-delta"
)

// fakeKeyIndex is a KeyIndex with one key.
type fakeKeyIndex struct{}

func (fakeKeyIndex) Lookup(key string) (garnetworks.WorkspaceName, bool) {
	return "delta", key == "key-of-delta"
}

type manifestSource struct{ accepted garnetworks.AcceptedManifest }

func (m *manifestSource) Manifest() (*garnetworks.AcceptedManifest, bool) {
	return &m.accepted, m.accepted.Generation > 0
}

func newManifestSource() *manifestSource {
	return &manifestSource{garnetworks.AcceptedManifest{Generation: 1, Manifest: garnetworks.Manifest{
		Models: []garnetworks.ModelSpec{{Name: "brief", Adapters: []garnetworks.AdapterName{"pumps"}}, {Name: "secret"}},
		Workspaces: []garnetworks.WorkspaceSpec{{
			Name:     "delta",
			Models:   []garnetworks.ModelName{"brief"},
			Services: []garnetworks.ServiceName{"ledger"},
			Deadline: garnetworks.DeadlineSpec{FirstToken: 5 * time.Second, Total: time.Minute},
		}},
		Services: []garnetworks.ServiceSpec{{Name: "ledger", Timeout: serviceTimeout, Calls: []garnetworks.ServiceCallSpec{
			{Methods: []string{"GET"}, PathPrefix: "/", Idempotent: true},
			{PathPrefix: "/notes", KeyRequired: true},
		}}, {Name: "hidden"}},
	}}}
}

// callIDOf returns the identifier of the call that an attempt belongs to.
func callIDOf(attempt garnetworks.CallID) garnetworks.CallID {
	call, _, _ := strings.Cut(string(attempt), ".")
	return garnetworks.CallID(call)
}

func attemptError(phase garnetworks.CallPhase) error {
	return &garnetworks.AttemptError{Phase: phase, Cause: errors.New("fault")}
}

// environment is the state that the nodes of a test share: the backend servers and the claim
// store. It counts the executions of each call.
type environment struct {
	mu         sync.Mutex
	executions map[garnetworks.CallID]int
	claims     map[string]*claimRecord
	// noGroupUntil is the end of an outage of all groups.
	noGroupUntil time.Time
	// stuckAttempts counts attempts at engines that are busy and generate nothing.
	stuckAttempts int
	// The faults are injected into the next attempts and claim writes, in order.
	engineFaults  []string
	serviceFaults []string
	claimFaults   []string
}

func newEnvironment() *environment {
	return &environment{executions: map[garnetworks.CallID]int{}, claims: map[string]*claimRecord{}}
}

func (e *environment) execute(call garnetworks.CallID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.executions[call]++
}

func (e *environment) nextFault(faults *[]string) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(*faults) == 0 {
		return "none"
	}
	fault := (*faults)[0]
	*faults = (*faults)[1:]
	return fault
}

// node is an entry node in an environment. Once dead is closed, its actions have no effect.
type node struct {
	*environment
	server *server.Server
	calls  *forwarder.Forwarder
	dead   chan struct{}
}

func (e *environment) newNode() *node {
	n := &node{environment: e, dead: make(chan struct{})}
	n.calls = forwarder.New(forwarder.Options{
		Engines: n, Services: n, Groups: n, Servers: n, Claims: n, Prober: n, Manifest: newManifestSource(),
	})
	n.server = server.New(server.Options{
		Calls: n.calls, Manifest: newManifestSource(),
		NewKeyIndex: func(*garnetworks.Manifest) server.KeyIndex { return fakeKeyIndex{} },
	})
	n.server.SetReady(true)
	return n
}

func (n *node) isDead() bool {
	select {
	case <-n.dead:
		return true
	default:
		return false
	}
}

var errDead = errors.New("the node is dead")

// block waits until ctx ends or the node is dead.
func (n *node) block(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-n.dead:
	}
}

func (n *node) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	case <-n.dead:
	}
}

// Groups and servers: three of each, of which the first untried one is chosen.

func pickUntried(tried int) (int, error) {
	if tried >= 3 {
		return 0, garnetworks.Errorf(garnetworks.KindNoGroup, "all were tried already")
	}
	return tried, nil
}

func (n *node) Choose(_ time.Time, _ *garnetworks.CallRequest, tried []garnetworks.GroupID) (garnetworks.GroupView, error) {
	if n.hasNoGroup() {
		return garnetworks.GroupView{}, garnetworks.Errorf(garnetworks.KindNoGroup, "no group is available")
	}
	i, err := pickUntried(len(tried))
	id := fmt.Sprint("g", i)
	return garnetworks.GroupView{ID: garnetworks.GroupID(id), Address: id}, err
}

func (n *node) hasNoGroup() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return time.Now().Before(n.noGroupUntil)
}

func (n *node) AttemptStarted(time.Time, *garnetworks.CallRequest, garnetworks.GroupID) {}

func (n *node) AttemptFinished(time.Time, *garnetworks.CallRequest, garnetworks.GroupID, garnetworks.AttemptResult) {
}

func (n *node) ReportLoad(time.Time, garnetworks.GroupID, garnetworks.EngineLoad) {}

func (n *node) ChooseServer(_ time.Time, _ garnetworks.ServiceName, tried []garnetworks.InstanceID) (garnetworks.ServerView, error) {
	i, err := pickUntried(len(tried))
	return garnetworks.ServerView{Instance: garnetworks.InstanceID(fmt.Sprint("s", i))}, err
}

func (n *node) ServerCallStarted(time.Time, garnetworks.ServiceName, garnetworks.InstanceID) {}

func (n *node) ServerCallFinished(time.Time, garnetworks.ServiceName, garnetworks.InstanceID, garnetworks.AttemptResult) {
}

// Status responds to a probe: the engine is alive, and busy only if it is stuck.
func (n *node) Status(_ context.Context, address string) (garnetworks.EngineStatus, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return garnetworks.EngineStatus{
		Group: garnetworks.GroupID(address),
		Load:  garnetworks.EngineLoad{At: time.Now(), Running: n.stuckAttempts},
	}, nil
}

// tokenText returns the text of a token of the response to a prompt.
func tokenText(prompt string, i int) string {
	return fmt.Sprintf("%.8s\n\"%d\" ", strings.TrimSpace(prompt), i)
}

func fullResponse(prompt string) string {
	var text strings.Builder
	for i := range responseTokens {
		text.WriteString(tokenText(prompt, i))
	}
	return text.String()
}

// engineFaultNames are the faults of attempts at engines; "none" is a success.
var engineFaultNames = []string{
	"none", "none", "connect", "refused", "stale", "write", "wait", "headers", "break", "silent", "mismatched",
	"no-end", "false-done", "gap", "overlap", "repeat", "restart", "short", "error-end", "slow", "stuck", "panic", "outage",
}

func (n *node) Generate(ctx context.Context, _ string, call *garnetworks.EngineCall) (garnetworks.EngineStream, error) {
	if n.isDead() {
		return nil, attemptError(garnetworks.PhaseConnect)
	}
	fault := n.nextFault(&n.engineFaults)
	switch fault {
	case "connect", "refused":
		return nil, attemptError(garnetworks.CallPhase(fault))
	case "stale":
		return nil, &garnetworks.AttemptError{Phase: garnetworks.PhaseRefused, Cause: garnetworks.Errorf(garnetworks.KindStaleToken, "old")}
	}
	n.execute(call.ID)
	switch fault {
	case "write", "wait", "headers":
		return nil, attemptError(garnetworks.CallPhase(fault))
	}
	s := &engineStream{node: n, ctx: ctx, call: call, fault: fault, index: call.ResumeFrom}
	switch fault {
	case "overlap":
		s.index = max(0, call.ResumeFrom-3)
	case "restart":
		s.index = 0
	}
	return s, nil
}

type engineStream struct {
	*node
	ctx   context.Context
	call  *garnetworks.EngineCall
	fault string
	index int
	sent  int
}

// faultAfter is the number of chunks before the fault of an attempt.
const faultAfter = 4

func (s *engineStream) Next(c *garnetworks.Chunk) error {
	s.sleep(s.ctx, 40*time.Millisecond)
	if s.sent == faultAfter {
		if err := s.injectFault(c); err != nil {
			return err
		}
	}
	if s.isDead() || s.ctx.Err() != nil {
		return attemptError(garnetworks.PhaseBody)
	}
	s.sent++
	text := tokenText(s.call.Prompt, s.index)
	if s.fault == "restart" && s.call.ResumeFrom > 0 {
		text = "other "
	}
	*c = garnetworks.Chunk{Attempt: s.call.Attempt, Index: s.index, Text: text, Tokens: 1}
	if s.fault == "mismatched" && s.sent > faultAfter {
		c.Attempt, c.Text = "another.1", "another caller's"
	}
	s.index++
	if s.index >= responseTokens || (s.fault == "short" && s.call.ResumeFrom > 0) {
		s.finish(c)
	}
	return nil
}

// injectFault injects the faults that occur in the middle of a response.
func (s *engineStream) injectFault(c *garnetworks.Chunk) error {
	switch s.fault {
	case "panic":
		panic("unexpected response")
	case "outage":
		s.mu.Lock()
		s.noGroupUntil = time.Now().Add(2 * time.Second)
		s.mu.Unlock()
		return attemptError(garnetworks.PhaseBody)
	case "break":
		return attemptError(garnetworks.PhaseBody)
	case "no-end":
		return io.EOF
	case "false-done":
		return attemptError(garnetworks.PhaseDone)
	case "gap":
		s.index++
	case "repeat":
		s.index--
	case "error-end":
		*c = garnetworks.Chunk{}
		s.index = responseTokens - 1
	case "stuck":
		s.mu.Lock()
		s.stuckAttempts++
		s.mu.Unlock()
		s.block(s.ctx)
	case "silent":
		s.block(s.ctx)
	case "slow":
		s.sleep(s.ctx, 3*time.Second)
	}
	return nil
}

func (s *engineStream) finish(c *garnetworks.Chunk) {
	c.End = true
	c.FinishReason = "stop"
	if s.fault == "error-end" {
		c.Index, c.Text, c.Tokens = s.call.ResumeFrom+s.sent-1, "", 0
		c.FinishReason = "error"
	}
	if s.fault == "short" && s.call.ResumeFrom > 0 {
		// The end marker precedes the position at which to resume.
		c.Index, c.Text, c.Tokens = 0, tokenText(s.call.Prompt, 0), 1
	}
}

func (s *engineStream) Close() error { return nil }

// serviceFaultNames are the faults of attempts at plain services. With the suffix "-ran" the
// call was executed; with "late" only after the node gave up on it.
var serviceFaultNames = []string{
	"none", "none", "connect", "refused", "write", "write-ran", "wait-ran", "headers-ran", "body-ran",
	"mismatched", "mismatched-ran", "silent", "silent-ran", "late-ran", "panic-ran",
}

func (n *node) Call(ctx context.Context, _ string, call *garnetworks.ServiceCall) (garnetworks.ServiceResponse, error) {
	if n.isDead() {
		return garnetworks.ServiceResponse{}, attemptError(garnetworks.PhaseConnect)
	}
	fault, ran := strings.CutSuffix(n.nextFault(&n.serviceFaults), "-ran")
	id := callIDOf(call.ID)
	if fault == "late" {
		time.AfterFunc(serviceTimeout+time.Second, func() { n.execute(id) })
		n.block(ctx)
		return garnetworks.ServiceResponse{}, attemptError(garnetworks.PhaseWait)
	}
	n.sleep(ctx, 100*time.Millisecond)
	if n.isDead() {
		return garnetworks.ServiceResponse{}, errDead
	}
	if ran || fault == "none" {
		n.execute(id)
	}
	if ctx.Err() != nil {
		return garnetworks.ServiceResponse{}, attemptError(garnetworks.PhaseWait)
	}
	response := garnetworks.ServiceResponse{ID: call.ID, Status: 200, ContentType: "text/plain", Body: append([]byte("done:"), call.Body...)}
	switch fault {
	case "panic":
		panic("unexpected response")
	case "none":
		return response, nil
	case "mismatched":
		response.ID = "another.1"
		response.Body = []byte("another caller's")
		return response, nil
	case "silent":
		n.block(ctx)
		return garnetworks.ServiceResponse{}, attemptError(garnetworks.PhaseWait)
	}
	return garnetworks.ServiceResponse{}, attemptError(garnetworks.CallPhase(fault))
}

// claimRecord is a claim in the store.
type claimRecord struct {
	garnetworks.ClaimRequest
	response *garnetworks.ServiceResponse
	unknown  bool
}

// claimFaultNames are the faults of the claim store: it is down, or its response is lost after
// the write.
var claimFaultNames = []string{"none", "none", "none", "down", "lost"}

// writeClaims runs write unless the store is down. A response is lost only after the write.
func (n *node) writeClaims(write func() error) error {
	fault := n.nextFault(&n.claimFaults)
	if n.isDead() || fault == "down" {
		return garnetworks.Errorf(garnetworks.KindClaimsUnavailable, "down")
	}
	n.mu.Lock()
	err := write()
	n.mu.Unlock()
	if fault == "lost" {
		return garnetworks.Errorf(garnetworks.KindClaimsUnavailable, "lost")
	}
	return err
}

func (n *node) Claim(_ context.Context, request garnetworks.ClaimRequest) (garnetworks.ClaimResult, error) {
	result := garnetworks.ClaimResult{Claim: garnetworks.Claim{ClaimRequest: request}}
	err := n.writeClaims(func() error {
		r := n.claims[request.Key]
		switch {
		case r == nil:
			n.claims[request.Key] = &claimRecord{ClaimRequest: request}
		case r.BodyHash != request.BodyHash:
			return garnetworks.Errorf(garnetworks.KindKeyReused, "another body")
		case r.response != nil:
			result.Recorded = garnetworks.Some(*r.response)
		case r.unknown || time.Now().After(r.Until):
			return garnetworks.Errorf(garnetworks.KindOutcomeUnknown, "the outcome is unknown")
		default:
			return garnetworks.Errorf(garnetworks.KindInProgress, "the call is in progress")
		}
		return nil
	})
	return result, err
}

func (n *node) Complete(_ context.Context, claim garnetworks.Claim, response *garnetworks.ServiceResponse) error {
	return n.writeClaims(func() error {
		n.claims[claim.Key].response = response
		return nil
	})
}

func (n *node) Abandon(_ context.Context, claim garnetworks.Claim, outcome garnetworks.Outcome) error {
	return n.writeClaims(func() error {
		r := n.claims[claim.Key]
		if r == nil || r.Call != claim.Call {
			return nil
		}
		r.unknown = true
		if outcome == garnetworks.OutcomeNotRun {
			delete(n.claims, claim.Key)
		}
		return nil
	})
}
