// Package server answers callers over HTTP: the OpenAI-compatible calls to
// models, and plain services.
//
//	H1  Each answer names its call, its outcome and, for an error, its kind; an
//	    error is a problem document of the kind's row of the table.
//	H2  A stream that is whole ends with "data: [DONE]". A stream that broke off
//	    ends with "event: error" and never with [DONE]; so a partial answer can't
//	    pass for a whole one.
//	H3  Nothing of a request is held without a bound: header, body, the bytes of
//	    all bodies together, the time to send them, the time to take the answer.
//	H4  The path of a call to a plain service is brought into one normal form
//	    before it is compared with the manifest, and the same form is sent on. A
//	    path that backend servers could read in two ways is refused.
//	H5  A request that names what the system does not do is refused with the name
//	    of the field; nothing is silently left out.
//	H6  A node that stops drops its readiness first, then refuses new calls as
//	    not run, and finishes those in flight. When its grace period ends, what
//	    is left is ended truthfully (rule G9).
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

// Caller carries calls to backend servers; *forwarder.Forwarder is one.
type Caller interface {
	Generate(ctx context.Context, call *garnetworks.CallRequest, sink forwarder.Sink) (forwarder.Summary, error)
	CallService(ctx context.Context, call *garnetworks.ServiceCall) (garnetworks.ServiceResponse, error)
	// Wait returns when nothing runs in the background any more.
	Wait(ctx context.Context) error
}

// KeyIndex finds the workspace of a key in constant time for each hash.
type KeyIndex interface {
	Lookup(key string) (garnetworks.WorkspaceName, bool)
}

// CallReport describes a call that has ended, for metrics.
type CallReport struct {
	Workspace garnetworks.WorkspaceName
	// Model is set for calls to models, Service for those to plain services.
	Model   garnetworks.ModelName
	Service garnetworks.ServiceName
	Outcome garnetworks.Outcome
	// Kind is empty for a completed call.
	Kind    garnetworks.Kind
	Elapsed time.Duration
	Summary forwarder.Summary
}

// Observer takes a report for each call; it never blocks.
type Observer interface {
	CallEnded(report CallReport)
}

// Limits are the bounds of rule H3. Zero fields take the value of DefaultLimits.
type Limits struct {
	// BodyBytes bounds the body of one request.
	BodyBytes int64
	// TotalBodyBytes bounds the bytes of all requests in flight.
	TotalBodyBytes int64
	// HeaderBytes bounds a request's header.
	HeaderBytes int
	// BodyTimeout bounds the time that a caller takes to send a body.
	BodyTimeout time.Duration
	// WriteTimeout bounds the time that a caller takes nothing of its answer.
	WriteTimeout time.Duration
	// MaxTokens is the most tokens that a request may ask for; DefaultTokens is
	// taken where it names none.
	MaxTokens     int
	DefaultTokens int
	// FirstToken and Total are the deadlines of workspaces that set none.
	FirstToken time.Duration
	Total      time.Duration
}

// DefaultLimits returns the bounds for the design size, where a node holds about
// 200 calls.
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

// Options join a Server with the rest of the node.
type Options struct {
	Calls    Caller
	Manifest garnetworks.ManifestSource
	// NewKeyIndex indexes the keys of a manifest; it is called once for each.
	NewKeyIndex func(manifest *garnetworks.Manifest) KeyIndex
	// Admitter may be nil; every call is then admitted.
	Admitter garnetworks.Admitter
	// Recorder may be nil.
	Recorder garnetworks.Recorder
	// Observer may be nil.
	Observer Observer
	Limits   Limits
	// LameDuck is how long Drain goes on taking calls after the readiness has
	// dropped, so that the balancer can notice.
	LameDuck time.Duration
	// CloseTimeout bounds the truthful end of calls after the grace period; 0 means
	// DefaultCloseTime.
	CloseTimeout time.Duration
}

// DefaultCloseTimeout is enough to write an error to each caller.
const DefaultCloseTimeout = 2 * time.Second

// Server answers callers. It is safe for concurrent use.
type Server struct {
	options    Options
	router     chi.Router
	bodyBudget *semaphore.Weighted
	catalog    atomic.Pointer[catalog]
	// refusals takes the events of calls that a limit refused.
	refusals *forwarder.EventLimiter

	// grace ends with forwarder.ErrGraceEnded when the grace period is over.
	graceCtx context.Context
	endGrace context.CancelCauseFunc

	mu sync.Mutex
	// ready is the runner's word, and opened whether it ever was true.
	ready    bool
	wasReady bool
	// leaving is set by Drain; draining once new calls are refused.
	leaving  bool
	draining bool
	// calls are those in flight; none begins after draining is set.
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

// Handler returns the handler of the callers' address.
func (s *Server) Handler() http.Handler { return s.router }

// HTTPServer returns an HTTP server for Handler with the bounds of rule H3.
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

// ListenConfig returns the settings of the callers' listener.
//
// Failure: a caller's connection goes silent while the node has nothing to send,
// so no write fails; the call would hold its group until the deadline. The
// kernel's probes find it within 25 s.
func ListenConfig() net.ListenConfig {
	return net.ListenConfig{KeepAliveConfig: net.KeepAliveConfig{
		Enable:   true,
		Idle:     10 * time.Second,
		Interval: 5 * time.Second,
		Count:    3,
	}}
}

// SetReady sets whether a balancer should send calls to the node. Before the
// first true, calls are refused as not run. A later false refuses none: those
// that the balancer sends before it notices are served.
func (s *Server) SetReady(ready bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ready = ready
	s.wasReady = s.wasReady || ready
}

// Ready reports whether a balancer should send calls to the node.
func (s *Server) Ready() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ready && !s.leaving
}

// InFlight returns the number of calls in flight.
func (s *Server) InFlight() int { return s.calls.Count() }

// Drain stops the server (rule H6). It drops the readiness, takes calls for
// LameDuck more, then refuses them, and returns nil once none is in flight and
// no answer waits to be recorded. If ctx ends first (the end of the grace
// period, or a second signal), the calls that are left are ended with an error,
// and Drain says how many they were.
func (s *Server) Drain(ctx context.Context) error {
	s.mu.Lock()
	s.leaving = true
	s.mu.Unlock()
	sleep(ctx, s.options.LameDuck)
	s.mu.Lock()
	s.draining = true
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

// enter counts a call as in flight, or refuses it.
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

// closing reports whether connections should be closed after their answer.
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
