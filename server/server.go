// Package server is the HTTP API for callers: OpenAI-compatible model calls and calls to plain
// services.
//
//	H1  Each response carries the call's identifier, its outcome and, for an error,
//	    its kind. An error is a problem document as garnetworks.ErrorResponseFor
//	    defines it for the kind.
//	H2  A complete stream ends with "data: [DONE]". An interrupted stream ends with
//	    "event: error" and never with [DONE], so that a partial response can't be
//	    taken for a complete one.
//	H3  All resources of a request are limited: the size of header and body, the
//	    bytes of all bodies together, the time to send them, and the time to read
//	    the response.
//	H4  The path of a call to a plain service is normalized before it is matched
//	    against the manifest, and is forwarded in the normalized form. A path that
//	    backend servers could interpret differently is refused.
//	H5  A request for a feature that is not supported is refused with the name of
//	    the field; no field is silently ignored.
//	H6  A stopping node first becomes unready, then refuses new calls as not run, and those
//	    that have not begun and may last beyond its grace period, and finishes those in
//	    flight. When its grace period ends, the remaining calls end with an error that
//	    states their outcome (rule G9).
package server

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/forwarder"
	"github.com/go-chi/chi/v5"
	"github.com/pkg/errors"
	"golang.org/x/sync/semaphore"
)

// Caller forwards calls to backend servers. *forwarder.Forwarder implements it.
type Caller interface {
	Generate(ctx context.Context, call *garnetworks.CallRequest, sink forwarder.Sink) (forwarder.Summary, error)
	CallService(ctx context.Context, call *garnetworks.ServiceCall) (garnetworks.ServiceResponse, error)
	// Wait returns nil once no background work is left, or an error if ctx ends first.
	Wait(ctx context.Context) error
}

// KeyIndex finds the workspace of a key, comparing hashes in constant time.
type KeyIndex interface {
	Lookup(key string) (garnetworks.WorkspaceName, bool)
}

// CallReport describes a call that has ended, for metrics.
type CallReport struct {
	Workspace garnetworks.WorkspaceName
	// Model is set for model calls, Service for calls to plain services.
	Model   garnetworks.ModelName
	Service garnetworks.ServiceName
	Outcome garnetworks.Outcome
	// Kind is empty for a completed call.
	Kind    garnetworks.Kind
	Elapsed time.Duration
	Summary forwarder.Summary
}

// Observer receives a report for each call. CallEnded must not block.
type Observer interface {
	CallEnded(report CallReport)
}

// Limits are the limits of rule H3. Zero fields take the value of DefaultLimits.
type Limits struct {
	// BodyBytes limits the body of one request.
	BodyBytes int64
	// TotalBodyBytes limits the bodies of all requests in flight.
	TotalBodyBytes int64
	// HeaderBytes limits a request's header.
	HeaderBytes int
	// BodyTimeout limits the time that a caller takes to send the body.
	BodyTimeout time.Duration
	// WriteTimeout limits the time for which a caller reads nothing of its response.
	WriteTimeout time.Duration
	// MaxTokens limits the tokens that a request may ask for; DefaultTokens applies if it
	// does not set max_tokens.
	MaxTokens     int
	DefaultTokens int
	// FirstToken and Total are the deadlines of workspaces that set none.
	FirstToken time.Duration
	Total      time.Duration
}

// DefaultLimits returns limits for a node with about 200 calls in flight.
func DefaultLimits() Limits {
	return Limits{
		BodyBytes:      1 << 20,
		TotalBodyBytes: 64 << 20,
		HeaderBytes:    32 << 10,
		BodyTimeout:    30 * time.Second,
		WriteTimeout:   20 * time.Second,
		MaxTokens:      32768,
		DefaultTokens:  1024,
		FirstToken:     5 * time.Second,
		Total:          5 * time.Minute,
	}
}

// Options are the dependencies and settings of a Server.
type Options struct {
	Calls    Caller
	Manifest garnetworks.ManifestSource
	// NewKeyIndex indexes the keys of a manifest; it is called when the manifest changes.
	NewKeyIndex func(manifest *garnetworks.Manifest) KeyIndex
	// Admitter may be nil; every call is then admitted.
	Admitter garnetworks.Admitter
	// Recorder may be nil.
	Recorder garnetworks.Recorder
	// Observer may be nil.
	Observer Observer
	Limits   Limits
	// LameDuck is how long Drain continues to accept calls after the node became unready, so
	// that the load balancer notices first.
	LameDuck time.Duration
	// CloseTimeout limits the time to end the remaining calls with an error after the grace
	// period; 0 means DefaultCloseTimeout.
	CloseTimeout time.Duration
}

// DefaultCloseTimeout leaves time to write an error to each caller.
const DefaultCloseTimeout = 2 * time.Second

// Server handles callers' requests. It is safe for concurrent use.
type Server struct {
	options    Options
	router     chi.Router
	bodyBudget *semaphore.Weighted
	catalog    atomic.Pointer[catalog]
	// refusals receives the events of calls refused because of a limit.
	refusals *forwarder.EventLimiter

	// graceCtx is cancelled with forwarder.ErrGraceEnded when the grace period is over.
	graceCtx context.Context
	endGrace context.CancelCauseFunc

	mu sync.Mutex
	// ready is the value last passed to SetReady; wasReady says whether it was ever true.
	ready    bool
	wasReady bool
	// leaving is set when Drain begins, draining once new calls are refused.
	leaving  bool
	draining bool
	// graceEnd is when the grace period ends, from draining on; zero if it has no end.
	graceEnd time.Time
	// calls counts the calls in flight; none begins after draining is set.
	calls forwarder.Tasks
}

// New returns a Server that is not ready yet.
func New(options Options) *Server {
	options.Limits = options.Limits.withDefaults()
	if options.CloseTimeout == 0 {
		options.CloseTimeout = DefaultCloseTimeout
	}
	s := &Server{
		options:    options,
		bodyBudget: semaphore.NewWeighted(options.Limits.TotalBodyBytes),
		refusals:   forwarder.NewEventLimiter(options.Recorder),
	}
	s.graceCtx, s.endGrace = context.WithCancelCause(context.Background())
	s.router = s.routes()
	return s
}

func (s *Server) routes() chi.Router {
	r := chi.NewRouter()
	r.Post("/v1/chat/completions", s.serveModel(parseChat, chatFormat))
	r.Post("/v1/completions", s.serveModel(parseCompletion, completionFormat))
	r.Get("/v1/models", s.serveModels)
	r.HandleFunc("/services/*", s.serveService)
	r.NotFound(func(w http.ResponseWriter, r *http.Request) {
		s.refuse(w, garnetworks.Errorf(garnetworks.KindNotFound, "there is nothing at this path"))
	})
	r.MethodNotAllowed(func(w http.ResponseWriter, r *http.Request) {
		s.refuse(w, garnetworks.Errorf(garnetworks.KindInvalidRequest, "the method %s is not known at this path", r.Method))
	})
	return r
}

// Handler returns the handler for callers' requests.
func (s *Server) Handler() http.Handler { return s.router }

// HTTPServer returns an HTTP server for Handler with the limits of rule H3.
func (s *Server) HTTPServer() *http.Server {
	return &http.Server{
		Handler:           s.router,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    s.options.Limits.HeaderBytes,
	}
}

const (
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 75 * time.Second
)

// ListenConfig returns the configuration of the listener for callers.
//
// Failure: if a caller's connection is lost silently while the node has nothing to send, no
// write fails and the call occupies its group until the deadline. TCP keep-alive detects the
// loss within 25 s.
func ListenConfig() net.ListenConfig {
	return net.ListenConfig{KeepAliveConfig: net.KeepAliveConfig{
		Enable:   true,
		Idle:     10 * time.Second,
		Interval: 5 * time.Second,
		Count:    3,
	}}
}

// SetReady sets whether a load balancer should send calls to the node. Before the first true,
// calls are refused as not run. A later false refuses none, so that calls sent before the load
// balancer notices are served.
func (s *Server) SetReady(ready bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ready = ready
	s.wasReady = s.wasReady || ready
}

// Ready reports whether a load balancer should send calls to the node.
func (s *Server) Ready() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ready && !s.leaving
}

// InFlight returns the number of calls in flight.
func (s *Server) InFlight() int { return s.calls.Count() }

// Drain stops the server (rule H6). It makes the node unready, accepts calls for another
// LameDuck, then refuses them, and returns nil once none is in flight and no response is left
// to be recorded. If ctx ends first, because of the end of the grace period or a second
// signal, the remaining calls end with an error, and Drain returns an error with their number.
func (s *Server) Drain(ctx context.Context) error {
	s.mu.Lock()
	s.leaving = true
	s.mu.Unlock()
	sleep(ctx, s.options.LameDuck)
	s.mu.Lock()
	s.draining = true
	s.graceEnd, _ = ctx.Deadline()
	s.mu.Unlock()
	if s.calls.Wait(ctx) == nil && s.options.Calls.Wait(ctx) == nil {
		return nil
	}
	aborted := s.InFlight()
	s.endGrace(forwarder.ErrGraceEnded)
	closeCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), s.options.CloseTimeout)
	defer cancel()
	_ = s.calls.Wait(closeCtx)
	if err := s.options.Calls.Wait(closeCtx); err != nil {
		return errors.Wrapf(err, "%d calls were cut off, and not all answers were recorded", aborted)
	}
	if aborted == 0 {
		return nil
	}
	return errors.Errorf("%d calls were cut off at the end of the grace period", aborted)
}

func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// beginCall counts a call as in flight, or returns an error if it is refused.
func (s *Server) beginCall() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		return garnetworks.Errorf(garnetworks.KindShuttingDown, "this node takes no new calls")
	}
	if !s.wasReady {
		return garnetworks.Errorf(garnetworks.KindNotReady, "this node is not ready yet")
	}
	s.calls.Begin()
	return nil
}

// checkGrace returns an error for a call that has not begun, if the node stops and the call may last beyond its
// grace period (rule H6).
func (s *Server) checkGrace(deadline time.Time) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.graceEnd.IsZero() || !deadline.After(s.graceEnd) {
		return nil
	}
	return garnetworks.Errorf(garnetworks.KindShuttingDown, "the call may last longer than this node does")
}

// closing reports whether connections should be closed after their response.
func (s *Server) closing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaving
}

func (l Limits) withDefaults() Limits {
	d := DefaultLimits()
	l.BodyBytes = cmp.Or(l.BodyBytes, d.BodyBytes)
	l.TotalBodyBytes = cmp.Or(l.TotalBodyBytes, d.TotalBodyBytes)
	l.HeaderBytes = cmp.Or(l.HeaderBytes, d.HeaderBytes)
	l.BodyTimeout = cmp.Or(l.BodyTimeout, d.BodyTimeout)
	l.WriteTimeout = cmp.Or(l.WriteTimeout, d.WriteTimeout)
	l.MaxTokens = cmp.Or(l.MaxTokens, d.MaxTokens)
	l.DefaultTokens = cmp.Or(l.DefaultTokens, d.DefaultTokens)
	l.FirstToken = cmp.Or(l.FirstToken, d.FirstToken)
	l.Total = cmp.Or(l.Total, d.Total)
	return l
}
