package gateway

import (
	"context"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/acceptor"
	"github.com/garnetworks/garnetworks/carrier"
	"github.com/garnetworks/garnetworks/emitter"
	"github.com/garnetworks/garnetworks/limiter"
	"github.com/garnetworks/garnetworks/retrier"
)

const (
	// maxBufferedBytes limits a response that is read completely before it is sent to the
	// client, so that an interrupted call can be repeated.
	maxBufferedBytes = 8 << 20
	// smallAnswer is the length up to which a response is read without reserving memory, and
	// answerRetryTime the time between two tries to reserve some.
	smallAnswer     = 16 << 10
	answerRetryTime = 20 * time.Millisecond
	// maxRefusalBytes and refusalReadTime limit reading the body of a refusal, which is only read
	// so that its connection can be used again.
	maxRefusalBytes = 4 << 10
	refusalReadTime = 50 * time.Millisecond
	// maxFreeAttempts limits the attempts that do not count against the route's limit.
	maxFreeAttempts = 4
	// attemptFraction is the fraction of the remaining time that an attempt gets if more
	// attempts are allowed, so that a hanging server leaves time for another one.
	attemptFraction = 0.45
	// plainConnectTime bounds the connection setup to a plain service. Within a site a live
	// server accepts within milliseconds.
	plainConnectTime = 200 * time.Millisecond
)

// bufferedResponse is a response with its complete body, or one whose events the client has got.
type bufferedResponse struct {
	*garnetworks.ProxiedResponse
	body []byte
	sent bool
}

// errMisdirected says that another server now has the address.
var errMisdirected = errors.New("another server has the address")

// reachedNoServer reports whether an attempt reached no server of the service, so that it does
// not count against the route's limit: the connection failed, or the address now belongs to a
// server of another service, which refused the call.
func reachedNoServer(failure *garnetworks.AttemptError) bool {
	return failure.Phase == garnetworks.PhaseConnect || errors.Is(failure.Cause, errMisdirected)
}

// repeatability returns what the route's kind permits.
func (x *exchange) repeatability() retrier.Repeatability {
	if x.route.Idempotent() {
		return retrier.Repeatable
	}
	return retrier.NotRepeatable
}

// callService sends a call to a plain service.
func (x *exchange) callService() {
	history := retrier.History{Repeatability: x.repeatability(), MaxAttempts: x.route.MaxAttempts}
	repeatable := history.Repeatability == retrier.Repeatable
	var tried []garnetworks.Incarnation
	freeAttempts := 0
	for {
		// The check may wait, so that a server that was picked before it may refuse calls by then.
		if err := x.checkBegin(); err != nil {
			x.refuse(x.w, x, err)
			return
		}
		server, retryAfter, ok := x.pick(tried)
		if !ok && x.delegate() {
			return
		}
		if !ok {
			x.refuseUnserved(retryAfter)
			return
		}
		tried = append(tried, server.Incarnation())
		mayRepeat := repeatable && len(tried) < x.route.MaxAttempts+freeAttempts
		answer, granted, failure := x.attemptPlain(&server, mayRepeat)
		if failure == nil && answer.sent {
			x.recordEnd(answer.Status, garnetworks.OutcomeCompleted, nil)
			return
		}
		if failure == nil && (answer.Status < http.StatusInternalServerError || !mayRepeat) {
			x.writeResponse(answer)
			return
		}
		if failure == nil { // an error response to a call that may be repeated
			if !granted && !x.takeRetry(x.service.Name) {
				x.writeResponse(answer)
				return
			}
			continue
		}
		if failure.Phase == garnetworks.PhaseConnect && x.linksDown() && x.delegate() {
			return
		}
		if reachedNoServer(failure) && freeAttempts < maxFreeAttempts {
			freeAttempts++
			// The server of another service got the call, so that the next one is a retry.
			if failure.Phase != garnetworks.PhaseConnect && !granted && !x.takeRetry(x.service.Name) {
				x.refuseUnanswered(garnetworks.KindBackendRefused, failure)
				return
			}
			continue
		}
		decision := history.RecordFailure(retrier.Failure{Phase: failure.Phase})
		if x.ctx.Err() != nil || !decision.Retry || !x.resumable() || !granted && !x.takeRetry(x.service.Name) {
			x.refuseUnanswered(garnetworks.KindBackendRefused, failure)
			return
		}
	}
}

// pick chooses a server of the call's service. If none is available, it returns the time until
// a limited server takes a call; 0 if there is none.
func (x *exchange) pick(tried []garnetworks.Incarnation) (s garnetworks.RegisteredServer, retryAfter time.Duration, ok bool) {
	now := time.Now()
	evacuated := x.options.Follower.Evacuated()
	x.mu.Lock()
	defer x.mu.Unlock()
	view := x.view(now)
	limitOf := func(s *garnetworks.RegisteredServer) limiter.Limit {
		return x.serverLimit(now, &view, s.Incarnation(), x.coldLimit(now, x.service, s))
	}
	var servers, preferred []garnetworks.RegisteredServer
	for _, s := range x.options.Follower.ServersOf(x.service.Name) {
		if s.State != garnetworks.ListedLive || evacuated.Has(s.Zone) { // rule E1
			continue
		}
		limit := limitOf(&s)
		if !x.limitedCalls.Allows(now, s.Incarnation(), limit) {
			if wait := limit.Next(x.limitedCalls[s.Incarnation()]).Sub(now); retryAfter == 0 || wait < retryAfter {
				retryAfter = wait
			}
			continue
		}
		servers = append(servers, s)
		if limit.Prefers(now, x.limitedCalls[s.Incarnation()]) && !slices.Contains(tried, s.Incarnation()) {
			preferred = append(preferred, s)
		}
	}
	if len(preferred) > 0 {
		servers = preferred
	}
	s, ok = x.picker.Pick(now, servers, tried)
	if ok {
		x.limitedCalls.Record(now, s.Incarnation(), limitOf(&s))
	}
	return s, retryAfter, ok
}

// refuseUnserved answers a call for which no server is available.
func (x *exchange) refuseUnserved(retryAfter time.Duration) {
	cause := errors.New("no server is available")
	if retryAfter == 0 {
		x.refuseUnanswered(garnetworks.KindNoBackend, cause)
		return
	}
	x.refuse(x.w, x, &garnetworks.Error{
		Kind: garnetworks.KindNoBackend, Detail: "the call got no answer", Cause: cause,
		RetryAfter: min(retryAfter, garnetworks.ErrorResponseFor(garnetworks.KindNoBackend).RetryAfter),
	})
}

// errSlow is the cause of cancelling an attempt to leave time for another one.
var errSlow = errors.New("the server is too slow")

// attemptPlain sends the call to one server and reads the whole response, or relays its events. If
// more attempts are allowed, it cancels a slow one, but only after taking a retry, which granted
// reports.
//
// Failure: servers are slow and the retries are used up. Cancelling the attempt without a
// retry loses an answer that would have come in time.
func (x *exchange) attemptPlain(server *garnetworks.RegisteredServer, mayRepeat bool) (answer *bufferedResponse, granted bool, failure *garnetworks.AttemptError) {
	started := time.Now()
	ctx, cancel := context.WithCancelCause(x.ctx)
	defer cancel(nil)
	stopSlow := func() {}
	if mayRepeat {
		timeout := time.Duration(float64(time.Until(x.deadline)) * attemptFraction)
		slow := time.AfterFunc(timeout, func() {
			if x.takeRetry(x.service.Name) {
				cancel(errSlow)
			}
		})
		stopSlow = func() { slow.Stop() }
		defer stopSlow()
	}
	attempt := &garnetworks.ProxiedAttempt{
		ProxiedCall: x.call, Instance: server.ID, Workspace: x.workspace, ServerDeadline: x.deadline, ConnectTime: plainConnectTime,
	}
	if x.route.Kind == garnetworks.RouteStreaming {
		attempt.ResumeAfter = x.resumeAfter()
	}
	response, err := x.sendAttempt(ctx, server.Address, attempt)
	x.recordAnswer(server.Incarnation(), started, response, err)
	if err == nil && x.streamsEvents(response) {
		failure = x.relayEvents(response, stopSlow)
		answer = &bufferedResponse{ProxiedResponse: response, sent: true}
	} else {
		answer, failure = x.readResponse(ctx, response, err)
	}
	now := time.Now()
	x.recordAttempt("", server.ID, started, failure)
	if failure == nil {
		x.options.Quarantine.ReportCompleted(x.identity)
	} else {
		x.reportInterrupted(x.identity, server.Incarnation(), failure)
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	failed := failure != nil && x.ctx.Err() == nil
	x.picker.Finished(now, server.Incarnation(), now.Sub(started), failed)
	if failure != nil && reachedNoServer(failure) {
		x.picker.Unreachable(now, server.Incarnation())
	}
	return answer, context.Cause(ctx) == errSlow, failure
}

// readResponse reads the body and checks that the response is complete and the server's own.
func (x *exchange) readResponse(ctx context.Context, answer *garnetworks.ProxiedResponse, err error) (*bufferedResponse, *garnetworks.AttemptError) {
	if err != nil {
		return nil, asAttemptError(err)
	}
	defer answer.Body.Close()
	switch {
	case answer.NotRun && answer.Status == http.StatusMisdirectedRequest:
		readRefusal(answer)
		return nil, &garnetworks.AttemptError{Phase: garnetworks.PhaseRefused, Cause: errMisdirected}
	case answer.NotRun:
		readRefusal(answer)
		return nil, &garnetworks.AttemptError{Phase: garnetworks.PhaseRefused, RetryAfter: answer.RetryAfter, Cause: errors.Errorf("refused with status %d", answer.Status)}
	case !answer.FromServer || answer.Header.Get("Content-Encoding") != "":
		return nil, &garnetworks.AttemptError{Phase: garnetworks.PhaseHeaders, Cause: errors.Errorf("an answer with status %d is not a server's own", answer.Status)}
	}
	body, err := x.readAnswer(ctx, answer.Body)
	if err != nil {
		return nil, &garnetworks.AttemptError{Phase: garnetworks.PhaseBody, Cause: err}
	}
	return &bufferedResponse{ProxiedResponse: answer, body: body}, nil
}

// readAnswer reads a whole answer. The memory of a long one is reserved before it is read (rule W8).
func (x *exchange) readAnswer(ctx context.Context, from io.Reader) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(from, smallAnswer))
	if err != nil || len(body) < smallAnswer {
		return body, err
	}
	for {
		if len(body) == cap(body) {
			larger := min(2*cap(body), maxBufferedBytes+1)
			if err := x.reserveAnswer(ctx, larger); err != nil {
				return nil, err
			}
			body = append(make([]byte, 0, larger), body...)
		}
		n, err := from.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case len(body) > maxBufferedBytes:
			return nil, errors.New("the response is too large")
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			return nil, err
		}
	}
}

// reserveAnswer waits until there is memory for an answer. That of clients that do not read theirs is
// taken back after a while.
func (x *exchange) reserveAnswer(ctx context.Context, bytes int) error {
	for !acceptor.ReserveAnswer(x.request.Context(), int64(bytes)) {
		select {
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "no memory for an answer of %d bytes", bytes)
		case <-time.After(answerRetryTime):
		}
	}
	return nil
}

// readRefusal reads the body of a refusal to its end, unless it is too long or too slow.
func readRefusal(answer *garnetworks.ProxiedResponse) {
	if body, ok := answer.Body.(interface{ SetReadDeadline(at time.Time) error }); ok && body.SetReadDeadline(time.Now().Add(refusalReadTime)) != nil {
		return
	}
	// An error only costs the connection.
	_, _ = io.Copy(io.Discard, io.LimitReader(answer.Body, maxRefusalBytes))
}

func asAttemptError(err error) *garnetworks.AttemptError {
	var a *garnetworks.AttemptError
	if errors.As(err, &a) {
		return a
	}
	return &garnetworks.AttemptError{Phase: garnetworks.PhaseWait, Cause: err}
}

// writeResponse sends a server's response to the client unchanged, unless its status promises to
// the client that a call which may run once has not run: the client would send it again.
func (x *exchange) writeResponse(answer *bufferedResponse) {
	if x.headersSent {
		x.interrupt(errors.Errorf("a further server answered with status %d", answer.Status))
	}
	if !x.route.Idempotent() && saysNotRun(answer.Status) {
		x.refuseUnanswered(garnetworks.KindBackendLost, errors.Errorf("the server answered with status %d, and not that it did not run the call", answer.Status))
		return
	}
	h := x.copyHeader(answer.Header)
	h.Set("Content-Length", strconv.Itoa(len(answer.body)))
	x.w.WriteHeader(answer.Status)
	_, _ = x.w.Write(answer.body) // fails if the client has disconnected
	x.recordEnd(answer.Status, garnetworks.OutcomeCompleted, nil)
}

// saysNotRun reports whether a status promises to clients that the call has not run and never will.
func saysNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// recordAttempt adds an ended attempt to the call's log line and the metrics.
func (x *exchange) recordAttempt(group garnetworks.GroupID, instance garnetworks.InstanceID, started time.Time, failure *garnetworks.AttemptError) *emitter.Attempt {
	x.observeLinks(instance, failure)
	if n := len(x.attemptLog); n > 0 && !x.route.Idempotent() {
		x.options.Meter.SentAgain(x.service.Name, x.attemptLog[n-1].Phase)
	}
	var err error
	if failure != nil {
		err = failure
	}
	attempt := x.addAttempt(group, instance, started, err)
	x.options.Meter.Attempt(x.service.Name, group, attempt.Phase, time.Since(started))
	return attempt
}

// recordAnswer records what a server reports of itself in the headers of an answer to a call that
// was sent at sent.
func (x *exchange) recordAnswer(server garnetworks.Incarnation, sent time.Time, answer *garnetworks.ProxiedResponse, err error) {
	if err == nil {
		x.reused, x.unnamed = answer.Reused, answer.Unnamed
	} else {
		x.reused = asAttemptError(err).Reused
	}
	if err != nil || answer.Status == http.StatusMisdirectedRequest {
		return
	}
	x.observeLimit(server, sent, answer)
	x.observeRetryAfter(server, answer.RetryAfter)
	if answer.Leaving {
		x.observeLeaving(server)
	}
	if answer.CallLimit.Present {
		x.callLimit = answer.CallLimit
		x.options.Meter.LimitedAnswer(x.service.Name)
	}
}

// copyHeader copies a response's headers.
func (x *exchange) copyHeader(from http.Header) http.Header {
	h := x.w.Header()
	for name, values := range from {
		h[name] = values
	}
	carrier.ClearMark(h)
	if _, ok := from["Content-Type"]; !ok {
		h["Content-Type"] = nil // prevents content sniffing
	}
	if x.stopping.Load() {
		h.Set("Connection", "close")
	}
	return h
}

// contextErrorKind returns the error kind of a call whose context has ended, so that the log
// distinguishes a client's disconnect from a server's timeout. The end of a stopping node is the
// latter for callers.
func contextErrorKind(ctx context.Context) garnetworks.Kind {
	if errors.Is(context.Cause(ctx), context.Canceled) {
		return garnetworks.KindCancelled
	}
	return garnetworks.KindBackendTimeout
}

// refuseUnanswered answers a call that got no response from a server (rules W2 and W6).
func (x *exchange) refuseUnanswered(kind garnetworks.Kind, cause error) {
	if x.execution.mayHaveRun() {
		kind = x.lostKind()
	}
	x.refuse(x.w, x, garnetworks.WrapError(kind, cause, "the call got no answer"))
}

// lostKind returns the error kind of a call that may have run and got no answer.
func (x *exchange) lostKind() garnetworks.Kind {
	if x.ctx.Err() != nil {
		return contextErrorKind(x.ctx)
	}
	return garnetworks.KindBackendLost
}
