package forwarder

import (
	"context"
	"crypto/sha256"
	"slices"
	"strings"
	"time"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/claimer"
	"github.com/garnetworks/garnetworks/retrier"
	"github.com/pkg/errors"
)

// claimMargin is added to a claim's duration, since the process can be suspended between
// claiming and forwarding.
const claimMargin = time.Second

// recordRetryInterval is the time between two attempts to complete or abandon a claim.
const recordRetryInterval = 250 * time.Millisecond

// serviceCall is one call to a plain service, run by the embedded Forwarder.
type serviceCall struct {
	*Forwarder
	call        *garnetworks.ServiceCall
	identity    garnetworks.CallIdentity
	spec        *garnetworks.ServiceSpec
	history     retrier.History
	tried       []garnetworks.InstanceID // instances of the failed attempts, which are avoided
	lastFailure *failure
	// lastInstance is the instance to which the last attempt was sent.
	lastInstance garnetworks.InstanceID
}

// CallService runs the call and returns the service's whole answer, or an error whose kind
// tells whether the call may have run.
func (f *Forwarder) CallService(ctx context.Context, call *garnetworks.ServiceCall) (garnetworks.ServiceResponse, error) {
	f.creditRetryBudget()
	s, err := f.newServiceCall(call)
	if err != nil {
		f.recordFailure(call.ID, "", "", err)
		return garnetworks.ServiceResponse{}, err
	}
	// The timeout of a keyed call starts only when it is claimed, in runUnderClaim.
	if s.history.Repeatability == retrier.Keyed {
		return s.runDetached(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, s.spec.Timeout)
	defer cancel()
	answer, err := s.run(ctx)
	f.recordFailure(call.ID, "", s.lastInstance, err)
	return answer, err
}

func (f *Forwarder) newServiceCall(call *garnetworks.ServiceCall) (*serviceCall, error) {
	manifest, ok := f.options.Manifest.Manifest()
	if !ok {
		return nil, garnetworks.Errorf(garnetworks.KindNotReady, "no manifest is in force yet")
	}
	spec := FindService(&manifest.Manifest, call.Service)
	if spec == nil {
		return nil, garnetworks.Errorf(garnetworks.KindUnknownService, "no service %q", call.Service)
	}
	rule := MatchCall(spec, call.Method, call.Path)
	repeatability := retrier.NotRepeatable
	switch {
	case rule.Idempotent:
		repeatability = retrier.Repeatable
	case call.IdempotencyKey != "":
		repeatability = retrier.Keyed
	case rule.KeyRequired:
		return nil, garnetworks.Errorf(garnetworks.KindInvalidRequest, "this call needs an Idempotency-Key header")
	}
	return &serviceCall{
		Forwarder: f,
		call:      call,
		identity:  call.Identity(),
		spec:      spec,
		history:   retrier.History{Repeatability: repeatability, MaxAttempts: f.options.MaxAttempts},
	}, nil
}

// FindService returns the service's spec, or nil.
func FindService(manifest *garnetworks.Manifest, name garnetworks.ServiceName) *garnetworks.ServiceSpec {
	for i := range manifest.Services {
		if manifest.Services[i].Name == name {
			return &manifest.Services[i]
		}
	}
	return nil
}

// MatchCall returns the first of spec.Calls that matches the call; if none does, the zero
// ServiceCallSpec, which is not idempotent. The query of path is ignored.
func MatchCall(spec *garnetworks.ServiceSpec, method, path string) garnetworks.ServiceCallSpec {
	path, _, _ = strings.Cut(path, "?")
	for _, c := range spec.Calls {
		if len(c.Methods) > 0 && !slices.Contains(c.Methods, method) {
			continue
		}
		if strings.HasPrefix(path, c.PathPrefix) {
			return c
		}
	}
	return garnetworks.ServiceCallSpec{}
}

// runDetached runs a keyed call on its own goroutine, which outlives the caller (rule F6).
//
// The call is not cancelled when its caller disconnects, since a repetition with the same key
// would then find its outcome unknown. It is finished and recorded, so that the repetition
// gets the answer.
func (s *serviceCall) runDetached(ctx context.Context) (garnetworks.ServiceResponse, error) {
	type result struct {
		answer garnetworks.ServiceResponse
		err    error
	}
	results := make(chan result, 1)
	detachedCtx, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	// Of the ends of the caller's context, only that of the node's grace period cancels the call.
	stop := context.AfterFunc(ctx, func() {
		if cause := context.Cause(ctx); errors.Is(cause, ErrGraceEnded) {
			cancel(cause)
		}
	})
	s.tasks.Run(func() {
		defer cancel(nil)
		defer stop()
		answer, err := s.runClaimed(detachedCtx)
		s.recordFailure(s.call.ID, "", s.lastInstance, err)
		results <- result{answer, err}
	})
	select {
	case r := <-results:
		return r.answer, r.err
	case <-ctx.Done():
	}
	// The call was cancelled too, so it ends soon with an error that tells whether it may have run.
	if cause := context.Cause(ctx); errors.Is(cause, ErrGraceEnded) {
		r := <-results
		return r.answer, r.err
	}
	return garnetworks.ServiceResponse{}, garnetworks.WrapError(garnetworks.KindCancelled, ctx.Err(),
		"the caller went away; the call goes on and its answer is recorded under its key")
}

// runClaimed claims a keyed call, runs it and records its answer (rule F7).
func (s *serviceCall) runClaimed(ctx context.Context) (garnetworks.ServiceResponse, error) {
	claimed, err := s.claim(ctx)
	if err != nil {
		return garnetworks.ServiceResponse{}, err
	}
	if recorded, ok := claimed.Recorded.Get(); ok {
		return recorded, nil
	}
	answer, err := s.runUnderClaim(ctx, claimed.Claim)
	if err != nil {
		s.abandon(ctx, claimed.Claim, s.history.Outcome())
		return garnetworks.ServiceResponse{}, err
	}
	s.record(ctx, claimed.Claim, &answer)
	return answer, nil
}

// claim claims the call. After an error the call is not sent. Errors about an earlier call with
// the key (reused, in progress, outcome unknown) are returned unchanged; all others become
// KindClaimsUnavailable, whose outcome is "not run".
func (s *serviceCall) claim(ctx context.Context) (garnetworks.ClaimResult, error) {
	if s.options.Claims == nil {
		return garnetworks.ClaimResult{}, garnetworks.Errorf(garnetworks.KindClaimsUnavailable, "this node has no claims")
	}
	timeouts := &s.options.Timeouts
	request := garnetworks.ClaimRequest{
		Workspace: s.call.Workspace,
		Service:   s.call.Service,
		Key:       s.call.IdempotencyKey,
		BodyHash:  hashCall(s.call),
		Call:      s.call.ID,
		Until:     time.Now().Add(timeouts.Claim + s.spec.Timeout + claimMargin),
	}
	claimCtx, cancel := context.WithTimeout(ctx, timeouts.Claim)
	defer cancel()
	result, err := s.options.Claims.Claim(claimCtx, request)
	if err == nil {
		return result, nil
	}
	if garnetworks.IsKind(err, garnetworks.KindKeyReused, garnetworks.KindInProgress, garnetworks.KindOutcomeUnknown) {
		return result, err
	}
	return result, &garnetworks.Error{
		Kind:   garnetworks.KindClaimsUnavailable,
		Detail: "the call can't be claimed now and was not sent",
		Cause:  err,
	}
}

func (s *serviceCall) runUnderClaim(ctx context.Context, claim garnetworks.Claim) (garnetworks.ServiceResponse, error) {
	// Other nodes report the outcome as unknown once the claim has ended, so that an answer would
	// come too late. The process may have been suspended since it claimed the call.
	if !claimer.MayForward(time.Now(), &claim) {
		return garnetworks.ServiceResponse{}, garnetworks.Errorf(garnetworks.KindDeadlineUnreachable, "the claim ended before the call was sent")
	}
	ctx, cancel := context.WithTimeout(ctx, s.spec.Timeout)
	defer cancel()
	return s.run(ctx)
}

// hashCall hashes what calls with the same idempotency key must have in common: method, path,
// content type and body.
func hashCall(call *garnetworks.ServiceCall) [sha256.Size]byte {
	h := sha256.New()
	for _, part := range []string{call.Method, call.Path, call.ContentType} {
		h.Write([]byte(part))
		h.Write([]byte{0})
	}
	h.Write(call.Body)
	return [sha256.Size]byte(h.Sum(nil))
}

// record records the answer in the background and waits for that, but at most for RecordWait:
// an unavailable store must not hold the answer back.
func (s *serviceCall) record(ctx context.Context, claim garnetworks.Claim, answer *garnetworks.ServiceResponse) {
	done := make(chan struct{})
	recordedAnswer := *answer
	s.tasks.Run(func() {
		defer close(done)
		s.complete(context.WithoutCancel(ctx), claim, &recordedAnswer)
	})
	wait := time.NewTimer(s.options.Timeouts.RecordWait)
	defer wait.Stop()
	select {
	case <-done:
	case <-wait.C:
	}
}

// complete records the answer, or abandons the claim if the answer can't be recorded. If
// Timeouts.Record has passed, the claim stays open until it ends at Claim.Until.
func (s *serviceCall) complete(ctx context.Context, claim garnetworks.Claim, answer *garnetworks.ServiceResponse) {
	ctx, cancel := context.WithTimeout(ctx, s.options.Timeouts.Record)
	defer cancel()
	err := s.retryWhileUnavailable(ctx, func() error { return s.options.Claims.Complete(ctx, claim, answer) })
	if err == nil || ctx.Err() != nil {
		return
	}
	// If an answer can't be recorded, for instance because it is too large, no other call with
	// the key may run, so the claim is ended with an unknown outcome.
	s.abandon(ctx, claim, garnetworks.OutcomeUnknown)
}

// abandon ends the claim without an answer, in the background.
func (s *serviceCall) abandon(ctx context.Context, claim garnetworks.Claim, outcome garnetworks.Outcome) {
	ctx = context.WithoutCancel(ctx)
	s.tasks.Run(func() {
		ctx, cancel := context.WithTimeout(ctx, s.options.Timeouts.Record)
		defer cancel()
		// If this never succeeds, the claim ends at Claim.Until with an unknown outcome, which is
		// correct for any call.
		_ = s.retryWhileUnavailable(ctx, func() error { return s.options.Claims.Abandon(ctx, claim, outcome) })
	})
}

// retryWhileUnavailable repeats write until it succeeds, fails with an error that a repetition
// doesn't mend, or ctx ends. write must be idempotent: its response may have been lost.
func (s *serviceCall) retryWhileUnavailable(ctx context.Context, write func() error) error {
	for {
		err := write()
		if !garnetworks.IsKind(err, garnetworks.KindClaimsUnavailable, garnetworks.KindObjectAPIDown,
			garnetworks.KindResponseLost, garnetworks.KindThrottled) {
			return err
		}
		select {
		case <-time.After(recordRetryInterval):
		case <-ctx.Done():
			return err
		}
	}
}

// run makes attempts until one succeeds or no further one is allowed.
func (s *serviceCall) run(ctx context.Context) (garnetworks.ServiceResponse, error) {
	for {
		if ctx.Err() != nil {
			return garnetworks.ServiceResponse{}, s.contextError(ctx)
		}
		if err := s.checkQuarantine(ctx, s.identity); err != nil {
			return garnetworks.ServiceResponse{}, attemptsFailedError(&s.history, s.lastFailure, err)
		}
		server, err := s.chooseServer()
		if err != nil {
			return garnetworks.ServiceResponse{}, attemptsFailedError(&s.history, s.lastFailure, err)
		}
		var answer garnetworks.ServiceResponse
		attemptCtx, cancel := s.attemptContext(ctx)
		answer, s.lastFailure = s.attempt(attemptCtx, &server)
		cancel()
		// The start time of a plain service's server is not known, so its incarnation has none.
		s.reportToQuarantine(ctx, s.identity, garnetworks.Incarnation{Instance: server.Instance}, s.lastFailure)
		if s.lastFailure == nil {
			return answer, nil
		}
		decision := s.history.RecordFailure(retrier.Failure{Phase: s.lastFailure.phase, Refusal: s.lastFailure.refusal})
		if ctx.Err() != nil {
			return garnetworks.ServiceResponse{}, s.contextError(ctx)
		}
		if !decision.Retry || (!decision.Free && !s.takeFromRetryBudget()) {
			return garnetworks.ServiceResponse{}, attemptsFailedError(&s.history, s.lastFailure, s.lastFailure.cause)
		}
		s.tried = append(s.tried, server.Instance)
	}
}

// chooseServer returns the server of the next attempt. A repeatable call is sent to a server
// that was already tried if there is no other.
func (s *serviceCall) chooseServer() (garnetworks.ServerView, error) {
	now := time.Now()
	server, err := s.options.Servers.ChooseServer(now, s.call.Service, s.tried)
	if err == nil || len(s.tried) == 0 || s.history.Repeatability != retrier.Repeatable {
		return server, err
	}
	return s.options.Servers.ChooseServer(now, s.call.Service, nil)
}

// attemptContext returns the context of an attempt. An attempt of a repeatable call, except
// the last, gets half of the remaining time: a server that accepts the connection and never
// answers can't be told from a slow one, since a plain service shows no progress before its
// answer, and would use up the whole time of the call.
func (s *serviceCall) attemptContext(ctx context.Context) (context.Context, context.CancelFunc) {
	deadline, ok := ctx.Deadline()
	last := s.history.Attempts+1 >= s.history.MaxAttempts
	if !ok || last || s.history.Repeatability != retrier.Repeatable {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, time.Until(deadline)/2)
}

// attempt sends the call to one server.
func (s *serviceCall) attempt(ctx context.Context, server *garnetworks.ServerView) (garnetworks.ServiceResponse, *failure) {
	started := time.Now()
	s.lastInstance = server.Instance
	call := *s.call
	call.ID = attemptID(s.call.ID, s.history.Attempts+1)
	s.options.Servers.ServerCallStarted(started, s.call.Service, server.Instance)
	var answer garnetworks.ServiceResponse
	err := recoverPanic(func() (err error) {
		answer, err = s.options.Services.Call(ctx, server.Address, &call)
		return err
	})
	if err == nil && answer.ID != call.ID {
		err = &garnetworks.AttemptError{
			Phase: garnetworks.PhaseMismatched,
			Cause: errors.Errorf("the answer is for another call, %q", answer.ID),
		}
	}
	result := garnetworks.AttemptResult{Phase: garnetworks.PhaseDone}
	var failed *failure
	if err != nil {
		failed = classify(ctx, err)
		result.Phase = failed.phase
		result.Stalled = failed.timedOut || errors.Is(ctx.Err(), context.DeadlineExceeded)
		result.Leaving = failed.refusal == garnetworks.KindShuttingDown
		result.RetryAfter = failed.retryAfter
		result.Cancelled = cancelled(ctx)
	}
	now := time.Now()
	result.Elapsed = now.Sub(started)
	s.options.Servers.ServerCallFinished(now, s.call.Service, server.Instance, result)
	// The caller knows the identifier of the call, not that of the attempt.
	answer.ID = s.call.ID
	return answer, failed
}

// contextError returns the error of a call whose context has ended.
func (s *serviceCall) contextError(ctx context.Context) error {
	cause := context.Cause(ctx)
	if errors.Is(cause, context.Canceled) {
		return garnetworks.WrapError(garnetworks.KindCancelled, cause, "the caller cancelled the call")
	}
	return contextEndError(&s.history, cause)
}
