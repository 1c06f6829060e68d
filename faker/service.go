package faker

import (
	"context"
	"encoding/json"
	"maps"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/garnetworks/garnetworks"
)

// MethodCall is the fault method of plain services.
const MethodCall = "call"

// Service is a fake backend server of a plain service. It executes every call it receives,
// repeated ones too, and counts the executions.
type Service struct {
	Faults
	name garnetworks.ServiceName

	mu       sync.Mutex
	duration time.Duration
	leaving  bool
	byCall   map[garnetworks.CallID]int
	byKey    map[string]int
	byBody   map[string]int
	total    int
	last     garnetworks.CallID
}

// ServiceResult is the body of a plain service's response.
type ServiceResult struct {
	Service garnetworks.ServiceName `json:"service"`
	Path    string                  `json:"path"`
	Key     string                  `json:"key,omitempty"`
	// Execution is the number of this execution on the server, starting at 1.
	Execution int `json:"execution"`
}

// NewService returns a server of the service. Each execution takes the given duration.
func NewService(name garnetworks.ServiceName, duration time.Duration) *Service {
	return &Service{
		name:     name,
		duration: duration,
		byCall:   make(map[garnetworks.CallID]int),
		byKey:    make(map[string]int),
		byBody:   make(map[string]int),
	}
}

// SetLeaving sets whether the server refuses new calls.
func (s *Service) SetLeaving(leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = leaving
}

// Executions returns the total number of executions.
func (s *Service) Executions() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.total
}

// ExecutionsOf returns the number of executions with the call identifier.
func (s *Service) ExecutionsOf(id garnetworks.CallID) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byCall[id]
}

// ExecutionsByKey returns the number of executions with the idempotency key.
func (s *Service) ExecutionsByKey(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byKey[key]
}

// ExecutionsPerKey returns the number of executions for each idempotency key.
func (s *Service) ExecutionsPerKey() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.byKey)
}

// ExecutionsByBody returns the number of executions with the body.
func (s *Service) ExecutionsByBody(body string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byBody[body]
}

// run executes the call, counting it before the response is written (rule F4).
func (s *Service) run(ctx context.Context, call *garnetworks.ServiceCall) (garnetworks.ServiceResponse, error) {
	execution := s.countExecution(call)
	// A cancelled caller does not undo the execution.
	_ = sleep(ctx, s.duration)
	result := ServiceResult{Service: s.name, Path: call.Path, Key: call.IdempotencyKey, Execution: execution}
	body, err := json.Marshal(result)
	if err != nil {
		return garnetworks.ServiceResponse{}, err
	}
	return garnetworks.ServiceResponse{
		ID:          call.ID,
		Status:      http.StatusOK,
		ContentType: "application/json",
		Body:        body,
	}, nil
}

// checkAccepting returns the reason to refuse new calls, or nil.
func (s *Service) checkAccepting() *garnetworks.Error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.leaving {
		return nil
	}
	return newRefusal(garnetworks.KindShuttingDown, "the server is leaving")
}

func (s *Service) countExecution(call *garnetworks.ServiceCall) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.total++
	s.byCall[call.ID]++
	s.byBody[string(call.Body)]++
	if call.IdempotencyKey != "" {
		s.byKey[call.IdempotencyKey]++
	}
	return s.total
}

// previousCall returns the identifier of the previous call, for responses with another
// call's identifier, and stores id for the next time.
func (s *Service) previousCall(id garnetworks.CallID) garnetworks.CallID {
	s.mu.Lock()
	defer s.mu.Unlock()
	last := s.last
	s.last = id
	if last == "" {
		return "crossed-" + id
	}
	return last
}

// Call executes a call in process and reports failures as a network adapter would.
func (s *Service) Call(ctx context.Context, call *garnetworks.ServiceCall) (garnetworks.ServiceResponse, error) {
	if _, err := url.ParseRequestURI(call.Path); err != nil || call.Path[0] != '/' {
		return garnetworks.ServiceResponse{}, &garnetworks.AttemptError{Phase: garnetworks.PhaseConnect, Cause: err}
	}
	t, err := s.begin(ctx, MethodCall)
	if err != nil {
		return garnetworks.ServiceResponse{}, beginError(err, false)
	}
	if refused := s.checkAccepting(); refused != nil {
		return garnetworks.ServiceResponse{}, &garnetworks.AttemptError{Phase: garnetworks.PhaseRefused, RetryAfter: refused.RetryAfter, Cause: refused}
	}
	answer, err := s.run(ctx, call)
	previous := s.previousCall(call.ID)
	if err == nil {
		err = ctx.Err()
	}
	if err == nil {
		err = s.end(ctx, t)
	}
	if err != nil {
		return garnetworks.ServiceResponse{}, &garnetworks.AttemptError{Phase: garnetworks.PhaseWait, Cause: err}
	}
	if s.consume(MethodCall, truncatedAnswers) {
		return garnetworks.ServiceResponse{}, &garnetworks.AttemptError{Phase: garnetworks.PhaseBody}
	}
	if s.consume(MethodCall, crossedAnswers) && previous != call.ID {
		return garnetworks.ServiceResponse{}, &garnetworks.AttemptError{Phase: garnetworks.PhaseMismatched}
	}
	return answer, nil
}

// Services maps addresses to plain-service servers. It implements
// garnetworks.ServiceCaller in process.
type Services struct {
	mu        sync.Mutex
	addresses map[string]*Service
}

// Add registers a server at an address.
func (s *Services) Add(address string, server *Service) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.addresses == nil {
		s.addresses = make(map[string]*Service)
	}
	s.addresses[address] = server
}

// Call implements garnetworks.ServiceCaller.
func (s *Services) Call(ctx context.Context, address string, call *garnetworks.ServiceCall) (garnetworks.ServiceResponse, error) {
	s.mu.Lock()
	server := s.addresses[address]
	s.mu.Unlock()
	if server == nil {
		return garnetworks.ServiceResponse{}, &garnetworks.AttemptError{Phase: garnetworks.PhaseConnect, Cause: errNoEngine(address)}
	}
	return server.Call(ctx, call)
}
