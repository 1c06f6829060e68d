package forwarder

import (
	"context"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/retrier"
	"github.com/pkg/errors"
)

// Sink receives the answer of a call to a model. Its methods are called by the goroutine that
// called Generate; an error cancels the call.
type Sink interface {
	// Write writes the next part.
	Write(part Part) error
	// Flush is called after all parts that are available have been written.
	Flush() error
	// Idle is called when no part has come for a while, to send a keep-alive to the caller.
	Idle() error
}

// Summary describes a call to a model that has ended, whole or not.
type Summary struct {
	// Tokens is the number of delivered tokens, buffered ones included.
	Tokens int
	// FinishReason is the engine's: stop or length. It is empty unless the answer is whole.
	FinishReason string
	// Attempts counts attempts, Resumed those that continued after delivered tokens.
	Attempts int
	Resumed  int
	// FirstToken is the time from CallRequest.Received to the first token.
	FirstToken time.Duration
	// Group is the group of the last attempt.
	Group garnetworks.GroupID
}

// resumeBackoff is the minimum pause before an interrupted stream asks again for a retry or a
// group; the maximum is twice that.
const resumeBackoff = 50 * time.Millisecond

// modelCall is one call to a model. Its fields, except for ring, belong to the goroutine that
// runs the attempts.
type modelCall struct {
	*Forwarder
	call       *garnetworks.CallRequest
	identity   garnetworks.CallIdentity
	ring       *ring
	transcript transcript
	history    retrier.History
	summary    Summary
	// tried are the groups that failed and are not chosen again while there is another one.
	tried []garnetworks.GroupID
	// lastFailure is the last attempt's failure.
	lastFailure *failure
	// survived says that the engine of the current attempt survived the beginning of the answer.
	survived bool
}

// failure is how an attempt failed.
type failure struct {
	phase      garnetworks.CallPhase
	cause      error
	retryAfter time.Duration
	// timedOut says that the watchdog ended the attempt.
	timedOut bool
	// connectionStalled says that only the connection failed: the group may be tried again.
	connectionStalled bool
	// refusal is the kind of the server's error; meaningful only in the refused phase.
	refusal garnetworks.Kind
}

// Generate runs the call and writes its answer to sink until it is whole. An error means that
// the answer is not whole, whatever was written to sink; its kind states what is known of the
// call.
func (f *Forwarder) Generate(ctx context.Context, call *garnetworks.CallRequest, sink Sink) (Summary, error) {
	f.creditRetryBudget()
	ctx, cancelDeadline := context.WithDeadline(ctx, call.Deadline)
	defer cancelDeadline()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	m := &modelCall{
		Forwarder:  f,
		call:       call,
		identity:   call.Identity(),
		ring:       newRing(),
		transcript: transcript{maxTokens: call.MaxTokens},
		history:    retrier.History{Repeatability: retrier.Repeatable, MaxAttempts: f.options.MaxAttempts},
	}
	result := make(chan error, 1)
	f.tasks.Run(func() {
		err := m.run(ctx)
		m.ring.close()
		result <- err
	})
	sinkErr := m.deliver(sink)
	if sinkErr != nil {
		cancel(sinkErr)
	}
	err := <-result
	if sinkErr != nil {
		err = garnetworks.WrapError(garnetworks.KindCancelled, sinkErr, "the caller went away")
	}
	m.summary.Tokens = m.transcript.tokens
	f.recordFailure(call.ID, m.summary.Group, "", err)
	return m.summary, err
}

// deliver writes parts to the sink until the ring is closed. It returns the sink's error.
func (m *modelCall) deliver(sink Sink) error {
	parts := make([]Part, 0, BufferParts)
	idle := time.NewTimer(m.options.Timeouts.Idle)
	defer idle.Stop()
	lastWrite := time.Now()
	for {
		select {
		case <-m.ring.ready:
		case <-idle.C:
			if time.Since(lastWrite) >= m.options.Timeouts.Idle {
				if err := sink.Idle(); err != nil {
					return err
				}
				lastWrite = time.Now()
			}
			idle.Reset(m.options.Timeouts.Idle - time.Since(lastWrite))
			continue
		}
		var open bool
		parts, open = m.ring.drain(parts[:0])
		if err := writeAll(sink, parts); err != nil {
			return err
		}
		if !open {
			return nil
		}
		lastWrite = time.Now()
	}
}

func writeAll(sink Sink, parts []Part) error {
	if len(parts) == 0 {
		return nil
	}
	for _, p := range parts {
		if err := sink.Write(p); err != nil {
			return err
		}
	}
	return sink.Flush()
}

// run makes attempts until the answer is whole or the call fails.
func (m *modelCall) run(ctx context.Context) error {
	for {
		if err := m.checkQuarantine(ctx, m.identity); err != nil {
			return m.callError(ctx, err)
		}
		group, err := m.chooseGroup(ctx)
		if err != nil {
			return m.callError(ctx, err)
		}
		m.survived = false
		m.lastFailure = m.attempt(ctx, &group)
		m.reportToQuarantine(ctx, m.interruptedIdentity(), headIncarnation(&group), m.lastFailure)
		if m.lastFailure == nil {
			return nil
		}
		delivered := m.transcript.tokens > 0
		decision := m.history.RecordFailure(retrier.Failure{Phase: m.lastFailure.phase, Refusal: m.lastFailure.refusal, Delivered: delivered})
		if ctx.Err() != nil || m.lastFailure.cause == errSlowCaller || !decision.Retry || !m.awaitRetry(ctx, decision) {
			return m.callError(ctx, m.lastFailure.cause)
		}
		if !m.lastFailure.connectionStalled {
			m.tried = append(m.tried, group.ID)
		}
	}
}

// awaitRetry takes a retry from the budget (rule F8). The loss of a zone interrupts many
// streams at once; so that they aren't all resumed at the same time, each waits for the budget,
// up to ResumeWait.
func (m *modelCall) awaitRetry(ctx context.Context, decision retrier.Decision) bool {
	if decision.Free {
		return true
	}
	deadline := time.Now().Add(m.options.Timeouts.ResumeWait)
	for !m.takeFromRetryBudget() {
		if !decision.Resume || time.Now().After(deadline) {
			return false
		}
		if !m.backOff(ctx) {
			return false
		}
	}
	return true
}

// chooseGroup returns the group of the next attempt. If no untried one is left, an interrupted
// stream is resumed on one that was tried.
func (m *modelCall) chooseGroup(ctx context.Context) (garnetworks.GroupView, error) {
	now := time.Now()
	if ctx.Err() != nil {
		return garnetworks.GroupView{}, context.Cause(ctx)
	}
	// A call that can no longer meet its first-token deadline is refused before anything is
	// sent, while it is certain that it did not run.
	if m.history.Attempts == 0 && now.After(m.call.FirstTokenBy) {
		return garnetworks.GroupView{}, garnetworks.Errorf(garnetworks.KindDeadlineUnreachable, "the first token's deadline has passed")
	}
	group, err := m.options.Groups.Choose(now, m.call, m.tried)
	if err == nil || m.transcript.tokens == 0 {
		return group, err
	}
	return m.chooseAnyGroup(ctx)
}

// chooseAnyGroup waits up to ResumeWait for a group to resume an interrupted stream on, tried
// or not.
//
// The model may have no group for a moment, because its only one is lost or a lost probe has
// removed the group's confirmation. Without the wait, the part of the answer that the caller
// already has would be generated again from the start.
func (m *modelCall) chooseAnyGroup(ctx context.Context) (garnetworks.GroupView, error) {
	deadline := time.Now().Add(m.options.Timeouts.ResumeWait)
	for {
		now := time.Now()
		group, err := m.options.Groups.Choose(now, m.call, nil)
		if err == nil || now.After(deadline) || !m.backOff(ctx) {
			return group, err
		}
	}
}

// backOff waits for the backoff time and reports whether ctx is still active.
func (m *modelCall) backOff(ctx context.Context) bool {
	select {
	case <-time.After(resumeBackoff + rand.N(resumeBackoff)):
		return true
	case <-ctx.Done():
		return false
	}
}

// attempt makes one attempt and returns nil if the answer is whole.
func (m *modelCall) attempt(ctx context.Context, group *garnetworks.GroupView) *failure {
	started := time.Now()
	delivered := m.transcript.tokens
	m.summary.Attempts++
	m.summary.Group = group.ID
	if delivered > 0 {
		m.summary.Resumed++
	}
	attemptCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	call := &garnetworks.EngineCall{
		CallRequest: *m.call,
		Attempt:     attemptID(m.call.ID, m.summary.Attempts),
		Group:       group.ID,
		Token:       group.Token,
		ResumeFrom:  delivered,
		Delivered:   string(m.transcript.text),
	}
	m.options.Groups.AttemptStarted(started, m.call, group.ID)
	wd := m.watch(attemptCtx, cancel, group, m.call)
	result := garnetworks.AttemptResult{Phase: garnetworks.PhaseDone}
	err := recoverPanic(func() error { return m.readStream(attemptCtx, group, call, wd, &result) })
	wd.stop()
	result.Tokens = m.transcript.tokens - delivered
	var failed *failure
	if err != nil {
		failed = classify(attemptCtx, err)
		result.Phase = failed.phase
		if failed.cause == errEngineLost {
			// The outcome of the call stays unknown, but for the group chooser the engine is
			// unreachable.
			result.Phase = garnetworks.PhaseConnect
		}
		result.Stalled = failed.connectionStalled
		result.StaleToken = failed.refusal == garnetworks.KindStaleToken
		result.Leaving = failed.refusal == garnetworks.KindShuttingDown
		result.RetryAfter = failed.retryAfter
		result.Cancelled = cancelled(ctx) || errors.Is(err, errSlowCaller)
	}
	now := time.Now()
	result.Elapsed = now.Sub(started)
	m.options.Groups.AttemptFinished(now, m.call, group.ID, result)
	return failed
}

// readStream reads one attempt's answer into the ring.
func (m *modelCall) readStream(ctx context.Context, group *garnetworks.GroupView, call *garnetworks.EngineCall, wd *watchdog, result *garnetworks.AttemptResult) error {
	stream, err := m.options.Engines.Generate(ctx, group.Address, call)
	if err != nil {
		return err
	}
	// Closing the stream of an incomplete answer cancels it at the engine (rule F6).
	defer stream.Close()
	m.transcript.beginAttempt()
	var chunk garnetworks.Chunk
	for {
		chunk = garnetworks.Chunk{}
		if err := stream.Next(&chunk); err != nil {
			return err
		}
		if chunk.Attempt != call.Attempt {
			// Rule F1. The adapter may have checked it as well, but nothing after this point can
			// detect a mismatched answer.
			return &garnetworks.AttemptError{
				Phase: garnetworks.PhaseMismatched,
				Cause: errors.Errorf("the answer echoes attempt %q", chunk.Attempt),
			}
		}
		wd.recordProgress(chunk.Tokens)
		m.recordChunk(group, &chunk, wd, result)
		if err := m.enqueue(ctx, &chunk, wd); err != nil {
			return err
		}
		if chunk.End {
			return m.finish(&chunk)
		}
	}
}

// recordChunk records the engine's load and the time of the first token.
func (m *modelCall) recordChunk(group *garnetworks.GroupView, chunk *garnetworks.Chunk, wd *watchdog, result *garnetworks.AttemptResult) {
	if load, ok := chunk.Load.Get(); ok {
		m.options.Groups.ReportLoad(time.Now(), group.ID, load)
	}
	if chunk.Tokens == 0 {
		return
	}
	if result.FirstToken == 0 {
		result.FirstToken = max(time.Since(wd.started), 1)
	}
	if m.summary.FirstToken == 0 {
		m.summary.FirstToken = max(time.Since(m.call.Received), 1)
	}
	m.reportSurvival(wd.started, result.FirstToken)
}

// enqueue puts the new part of the chunk into the ring.
func (m *modelCall) enqueue(ctx context.Context, chunk *garnetworks.Chunk, wd *watchdog) error {
	part, err := m.transcript.accept(chunk)
	if err != nil {
		return &garnetworks.AttemptError{Phase: garnetworks.PhaseBody, Cause: err}
	}
	if part.Tokens == 0 && part.Text == "" {
		return nil
	}
	if m.ring.tryPush(part) {
		return nil
	}
	wd.pause()
	defer wd.resume()
	return m.ring.push(ctx, part, m.options.Timeouts.SlowCaller)
}

// finish checks the end marker (rule F2).
func (m *modelCall) finish(chunk *garnetworks.Chunk) error {
	if chunk.FinishReason == finishError {
		return &garnetworks.AttemptError{
			Phase: garnetworks.PhaseBody,
			Cause: errors.New("the engine ended the answer with an error"),
		}
	}
	// If a resumed attempt ends before the position at which the first one was interrupted, its
	// end marker belongs to another text.
	if chunk.Index+chunk.Tokens < m.transcript.tokens {
		return &garnetworks.AttemptError{Phase: garnetworks.PhaseBody, Cause: errContradictingChunk}
	}
	m.summary.FinishReason = chunk.FinishReason
	return nil
}

// finishError is the finish reason of an engine that failed.
const finishError = "error"

// attemptID returns the identifier of a call's nth attempt.
func attemptID(call garnetworks.CallID, n int) garnetworks.CallID {
	return call + "." + garnetworks.CallID(strconv.Itoa(n))
}

// classify converts an attempt's error to a failure.
func classify(ctx context.Context, err error) *failure {
	failed := &failure{phase: garnetworks.PhaseWait, cause: err}
	var attempt *garnetworks.AttemptError
	if errors.As(err, &attempt) {
		failed.phase = attempt.Phase
		failed.retryAfter = attempt.RetryAfter
		failed.timedOut = attempt.Stalled
		failed.connectionStalled = attempt.Stalled
	}
	// An adapter may report an answer without an end marker as done, but an error is never
	// PhaseDone.
	if failed.phase == garnetworks.PhaseDone {
		failed.phase = garnetworks.PhaseBody
	}
	if cause := watchdogCause(ctx); cause != nil {
		failed.cause = cause
		failed.timedOut = true
		failed.connectionStalled = cause == errConnectionStalled
	}
	failed.refusal = garnetworks.KindOf(err)
	return failed
}

// cancelled reports whether ctx was ended by something other than its deadline, so that the
// attempt says nothing about the server.
func cancelled(ctx context.Context) bool {
	return ctx.Err() != nil && !errors.Is(context.Cause(ctx), context.DeadlineExceeded)
}

// callError returns the call's error. The outcome that its kind states is no stronger than
// what the attempts have proven (rule R3).
func (m *modelCall) callError(ctx context.Context, cause error) error {
	if errors.Is(cause, errSlowCaller) {
		return garnetworks.WrapError(garnetworks.KindCancelled, cause, "the call was ended")
	}
	if ctx.Err() != nil {
		return m.contextError(context.Cause(ctx))
	}
	if m.transcript.tokens > 0 {
		return garnetworks.WrapError(garnetworks.KindStreamBroken, cause, "the answer broke off and could not be resumed")
	}
	return attemptsFailedError(&m.history, m.lastFailure, cause)
}

// contextError returns the error of a call whose context has ended.
func (m *modelCall) contextError(cause error) error {
	switch {
	case errors.Is(cause, context.Canceled):
		return garnetworks.WrapError(garnetworks.KindCancelled, cause, "the caller cancelled the call")
	case m.transcript.tokens > 0:
		return garnetworks.WrapError(garnetworks.KindStreamBroken, cause, "the answer was cut off")
	}
	return contextEndError(&m.history, cause)
}

// contextEndError returns the error of a call without an answer whose context was ended by its
// deadline or by the end of the node's grace period.
func contextEndError(history *retrier.History, cause error) error {
	mayHaveRun := history.Outcome() != garnetworks.OutcomeNotRun
	graceEnded := errors.Is(cause, ErrGraceEnded)
	switch {
	case graceEnded && mayHaveRun:
		return garnetworks.WrapError(garnetworks.KindBackendLost, cause, "the node stopped before the answer came")
	case graceEnded:
		return garnetworks.WrapError(garnetworks.KindShuttingDown, cause, "the node stopped before the call was sent")
	case mayHaveRun:
		return garnetworks.WrapError(garnetworks.KindBackendTimeout, cause, "the deadline passed before the answer came")
	}
	return garnetworks.WrapError(garnetworks.KindDeadlineUnreachable, cause, "the deadline passed before the call was sent")
}

// attemptsFailedError returns the error of a call without an answer whose attempts failed or
// for which no backend server was found.
func attemptsFailedError(history *retrier.History, last *failure, cause error) error {
	if history.Outcome() == garnetworks.OutcomeUnknown {
		if last != nil && last.timedOut {
			return garnetworks.WrapError(garnetworks.KindBackendTimeout, cause, "the backend server made no progress")
		}
		return garnetworks.WrapError(garnetworks.KindBackendLost, cause, "the call may have run")
	}
	if last == nil {
		return cause
	}
	kind := garnetworks.KindNoBackend
	if last.phase == garnetworks.PhaseRefused {
		kind = garnetworks.KindBackendRefused
	}
	return &garnetworks.Error{
		Kind:       kind,
		Detail:     "no backend server began the call",
		RetryAfter: last.retryAfter,
		Cause:      cause,
	}
}
