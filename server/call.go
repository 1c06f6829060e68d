package server

import (
	"cmp"
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/acceptor"
	"github.com/garnetworks/garnetworks/forwarder"
	"github.com/oklog/ulid/v2"
	"github.com/pkg/errors"
)

// httpCall is one HTTP request and the state of its call.
type httpCall struct {
	*Server
	w         http.ResponseWriter
	r         *http.Request
	control   *http.ResponseController
	id        garnetworks.CallID
	received  time.Time
	catalog   *catalog
	workspace *garnetworks.WorkspaceSpec
	// reservedBytes is the number of bytes acquired from Server.bodyBudget.
	reservedBytes int64
	report        CallReport
	// forwarded says that the call was passed to the forwarder, which records its outcome.
	forwarded bool
	// headerSent says that the response header is sent, so that an error can only be reported
	// in the body.
	headerSent bool
}

// serve runs one call and writes a problem document if it fails.
func (s *Server) serve(w http.ResponseWriter, r *http.Request, run func(*httpCall) error) {
	c := &httpCall{
		Server:   s,
		w:        w,
		r:        r,
		control:  http.NewResponseController(w),
		id:       newCallID(),
		received: time.Now(),
	}
	w.Header().Set(HeaderCallID, string(c.id))
	if err := s.beginCall(); err != nil {
		c.finish(err)
		return
	}
	defer s.calls.End()
	defer c.releaseBody()
	c.finish(c.runAuthenticated(run))
}

func newCallID() garnetworks.CallID {
	return garnetworks.CallID(strings.ToLower(ulid.Make().String()))
}

func (c *httpCall) runAuthenticated(run func(*httpCall) error) error {
	var err error
	c.catalog, err = c.currentCatalog()
	if err != nil {
		return err
	}
	c.workspace, err = c.catalog.workspace(c.r.Header.Get("Authorization"))
	if err != nil {
		return err
	}
	c.report.Workspace = c.workspace.Name
	return run(c)
}

// finish writes err as the response, unless the header is sent already, and reports the call to
// the Observer.
func (c *httpCall) finish(err error) {
	if c.closing() && !c.headerSent {
		c.w.Header().Set("Connection", "close")
	}
	c.report.Outcome = garnetworks.OutcomeCompleted
	c.report.Elapsed = time.Since(c.received)
	if err != nil {
		c.report.Kind = garnetworks.KindOf(err)
		c.report.Outcome = garnetworks.ErrorResponseFor(c.report.Kind).Outcome
		c.recordRefusal(err)
	}
	if err != nil && !c.headerSent {
		c.setWriteDeadline()
		writeProblem(c.w, c.id, err)
	}
	if c.options.Observer != nil {
		c.options.Observer.CallEnded(c.report)
	}
}

// recordRefusal records calls refused because of a limit. The forwarder records those it was
// given, and invalid requests are not recorded.
func (c *httpCall) recordRefusal(err error) {
	limited := garnetworks.IsKind(err, garnetworks.KindOverLimit, garnetworks.KindOverloaded, garnetworks.KindDeadlineUnreachable)
	if c.forwarded || !limited {
		return
	}
	c.refusals.Record(garnetworks.Event{
		Kind:   garnetworks.EventCallRefused,
		Call:   c.id,
		Error:  garnetworks.KindOf(err),
		Detail: "workspace " + string(c.workspace.Name) + ": " + err.Error(),
	})
}

// setWriteDeadline gives the caller WriteTimeout to read what is written next.
func (c *httpCall) setWriteDeadline() {
	// A ResponseWriter without deadlines, as in tests, is not limited.
	_ = c.control.SetWriteDeadline(time.Now().Add(c.options.Limits.WriteTimeout))
}

// readBody reads the request's body within the limits of rule H3.
func (c *httpCall) readBody() ([]byte, error) {
	limit := c.options.Limits.BodyBytes
	length := c.r.ContentLength
	if length > limit {
		return nil, garnetworks.Errorf(garnetworks.KindTooLarge, "the body is larger than %d bytes", limit)
	}
	if length < 0 {
		length = limit
	}
	if !c.bodyBudget.TryAcquire(length) {
		return nil, garnetworks.Errorf(garnetworks.KindOverloaded, "the node holds too many requests")
	}
	c.reservedBytes = length
	_ = c.control.SetReadDeadline(time.Now().Add(c.options.Limits.BodyTimeout))
	acceptor.BeginBody(c.r.Context())
	body, err := io.ReadAll(http.MaxBytesReader(c.w, c.r.Body, limit))
	acceptor.EndBody(c.r.Context(), err == nil)
	// Failure: if the deadline stayed set and expired during the call, net/http's background
	// read would fail, be taken for a closed connection and cancel the call.
	_ = c.control.SetReadDeadline(time.Time{})
	if err != nil {
		return nil, bodyError(err, limit)
	}
	c.releaseUnused(int64(len(body)))
	return body, nil
}

func bodyError(err error, limit int64) error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return garnetworks.Errorf(garnetworks.KindTooLarge, "the body is larger than %d bytes", limit)
	}
	return garnetworks.WrapError(garnetworks.KindInvalidRequest, err, "the body did not come whole")
}

// releaseUnused returns the part of the reservation that exceeds the body's length.
func (c *httpCall) releaseUnused(length int64) {
	c.bodyBudget.Release(c.reservedBytes - length)
	c.reservedBytes = length
}

func (c *httpCall) releaseBody() { c.bodyBudget.Release(c.reservedBytes) }

// context returns the call's context. It ends when the caller's connection is closed or the
// node's grace period is over.
func (c *httpCall) context() (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(c.r.Context())
	stop := context.AfterFunc(c.graceCtx, func() { cancel(context.Cause(c.graceCtx)) })
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

// admit requests admission for the workspace; model is empty for calls to plain services, which
// use no model capacity.
func (c *httpCall) admit(ctx context.Context, model garnetworks.ModelName, tokens int, firstTokenBy time.Time) (garnetworks.Ticket, error) {
	if c.options.Admitter == nil {
		return unlimitedTicket{}, nil
	}
	return c.options.Admitter.Admit(ctx, garnetworks.AdmitRequest{
		Workspace:    c.workspace.Name,
		Model:        model,
		Priority:     c.workspace.Priority,
		Tokens:       tokens,
		Received:     c.received,
		FirstTokenBy: firstTokenBy,
	})
}

// unlimitedTicket is the ticket of a server without an Admitter.
type unlimitedTicket struct{}

func (unlimitedTicket) Done(int) {}

// serveModel returns the handler of model calls.
func (s *Server) serveModel(parse func([]byte) (*modelRequest, error), format *responseFormat) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.serve(w, r, func(c *httpCall) error { return c.generate(parse, format) })
	}
}

func (c *httpCall) generate(parse func([]byte) (*modelRequest, error), format *responseFormat) error {
	body, err := c.readBody()
	if err != nil {
		return err
	}
	request, err := parse(body)
	if err != nil {
		return err
	}
	call, err := c.callRequest(request)
	if err != nil {
		return err
	}
	ctx, cancel := c.context()
	defer cancel()
	promptTokens := estimateTokens(call.Prompt)
	ticket, err := c.admit(ctx, call.Model, promptTokens+call.MaxTokens, call.FirstTokenBy)
	if err != nil {
		return err
	}
	var summary forwarder.Summary
	defer func() { ticket.Done(promptTokens + summary.Tokens) }()
	if err := c.checkGrace(call.Deadline); err != nil {
		return err
	}
	response := newModelResponse(c, format, request, promptTokens)
	c.forwarded = true
	summary, err = c.options.Calls.Generate(ctx, call, response)
	c.report.Summary = summary
	return response.endResponse(summary, err)
}

// callRequest checks the request against the workspace and the limits, and applies defaults.
func (c *httpCall) callRequest(request *modelRequest) (*garnetworks.CallRequest, error) {
	model, adapter, err := c.catalog.model(c.workspace, request.Model)
	if err != nil {
		return nil, err
	}
	limits := &c.options.Limits
	request.MaxTokens = cmp.Or(request.MaxTokens, limits.DefaultTokens)
	if request.MaxTokens > limits.MaxTokens {
		return nil, garnetworks.Errorf(garnetworks.KindInvalidRequest, "max_tokens must be at most %d", limits.MaxTokens)
	}
	deadline := c.workspace.Deadline
	deadline.FirstToken = cmp.Or(deadline.FirstToken, limits.FirstToken)
	deadline.Total = cmp.Or(deadline.Total, limits.Total)
	c.report.Model = model
	return &garnetworks.CallRequest{
		ID:           c.id,
		Workspace:    c.workspace.Name,
		Model:        model,
		Adapter:      adapter,
		Priority:     c.workspace.Priority,
		Prompt:       request.Prompt,
		SharedParts:  request.SharedParts,
		MaxTokens:    request.MaxTokens,
		Temperature:  request.Temperature,
		Stop:         request.Stop,
		Received:     c.received,
		FirstTokenBy: c.received.Add(deadline.FirstToken),
		Deadline:     c.received.Add(deadline.Total),
	}, nil
}

// bytesPerToken is a typical length of a token, for estimates.
const bytesPerToken = 4

// estimateTokens estimates the length of the prompt. The exact number is known only to the
// engine's tokenizer, for which admission can't wait.
func estimateTokens(prompt string) int { return (len(prompt) + bytesPerToken - 1) / bytesPerToken }

// serveService handles calls to plain services.
func (s *Server) serveService(w http.ResponseWriter, r *http.Request) {
	s.serve(w, r, (*httpCall).callService)
}

func (c *httpCall) callService() error {
	service, path, err := splitServicePath(c.r.URL)
	if err != nil {
		return err
	}
	if err := c.catalog.service(c.workspace, service); err != nil {
		return err
	}
	c.report.Service = service
	key, err := parseIdempotencyKey(c.r.Header.Values(HeaderIdempotencyKey))
	if err != nil {
		return err
	}
	body, err := c.readBody()
	if err != nil {
		return err
	}
	ctx, cancel := c.context()
	defer cancel()
	ticket, err := c.admit(ctx, "", 0, c.received.Add(c.options.Limits.FirstToken))
	if err != nil {
		return err
	}
	defer ticket.Done(0)
	if err := c.checkGrace(c.received.Add(c.options.Limits.Total)); err != nil {
		return err
	}
	c.forwarded = true
	response, err := c.options.Calls.CallService(ctx, &garnetworks.ServiceCall{
		ID:             c.id,
		Workspace:      c.workspace.Name,
		Service:        service,
		Method:         c.r.Method,
		Path:           path,
		ContentType:    c.r.Header.Get(headerContentType),
		Body:           body,
		IdempotencyKey: key,
	})
	if err != nil {
		return err
	}
	return c.writeService(&response)
}

// writeService sends the response of a plain service to the caller.
func (c *httpCall) writeService(response *garnetworks.ServiceResponse) error {
	// Failure: net/http panics on an invalid status, and the caller would see a broken
	// connection after its call ran.
	if response.Status < http.StatusOK || response.Status > maxStatus {
		return garnetworks.Errorf(garnetworks.KindBackendLost, "the backend server answered with status %d", response.Status)
	}
	h := c.w.Header()
	if response.ContentType != "" {
		h.Set(headerContentType, response.ContentType)
	}
	h.Set(HeaderOutcome, string(garnetworks.OutcomeCompleted))
	if response.ID != c.id {
		h.Set(HeaderReplayed, "true")
	}
	c.setWriteDeadline()
	c.headerSent = true
	c.w.WriteHeader(response.Status)
	_, _ = c.w.Write(response.Body)
	return nil
}

const maxStatus = 599

var _ Caller = (*forwarder.Forwarder)(nil)
