package gateway

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/emitter"
	"github.com/garnetworks/garnetworks/scheduler"
	"github.com/garnetworks/garnetworks/suspector"
)

// Timeouts and limits of streams.
const (
	// suspectTimeout is how long a group may send no event to any of this node's calls before
	// it is suspected at the latest, which only causes its members to be probed, and reported
	// to the other nodes. Package suspector decides when the lease holder is asked for its
	// verdict before that.
	suspectTimeout = suspector.MaxThreshold
	// stallTimeout is the silence after which the node moves its calls to other groups. It is
	// longer because a moved call needs another prefill. It is the upper bound for groups on
	// which there is no verdict.
	stallTimeout = 550 * time.Millisecond
	// firstEventStallTimeout is the same for a call without an event yet.
	firstEventStallTimeout = 1200 * time.Millisecond
	// streamConnectTime bounds the connection setup to a group's head. It takes milliseconds
	// within a site and a lost packet is resent only after a second; a call that fails sooner
	// can still be on time at another group.
	streamConnectTime = 100 * time.Millisecond
	// streamAckTime is how long sent bytes of a repeatable call may stay unacknowledged. It
	// allows for one retransmission: a live host acknowledges within milliseconds, and a lost
	// packet is resent after 0.2 s.
	streamAckTime = 300 * time.Millisecond
	// readBufferBytes is the size of a read from a stream; an event is smaller.
	readBufferBytes = 4 << 10
	// Urgencies at the engine: the client of a resumed stream waits in the middle of an answer.
	urgencyResumed = 2
	urgencyFirst   = 4
)

var errStalled = errors.New("the group gives no events")

// stream is the state of a model call over its attempts.
type stream struct {
	*exchange
	// complete says that the answer was whole.
	complete bool
	tried    []garnetworks.GroupID
	// attempts counts those that may have run, freeAttempts those that surely did not.
	attempts, freeAttempts int
	resuming               bool
	// moved says that the current slot was reserved while the previous group stalled.
	moved bool
	// reserved is the group with a slot that was reserved because the current group stalls;
	// guarded by the gateway's lock.
	reserved garnetworks.GroupID
	// arrival is what is known of the call's arrival since its first request for a slot.
	arrival garnetworks.Option[scheduler.Arrival]
	// current is the current attempt.
	current attemptState
}

// attemptState is what is known of a running attempt.
type attemptState struct {
	incarnation garnetworks.Incarnation
	started     time.Time
	// firstEventAfter is the time to the first event, 0 before it; lastEvent is when the last
	// one came, or the start, and maxPause the longest time between two.
	firstEventAfter time.Duration
	lastEvent       time.Time
	maxPause        time.Duration
	// groupCalls and pendingPrefill are the group's load before the attempt: its calls, and
	// the prompt tokens of this node that it has yet to read.
	groupCalls, pendingPrefill int
	// survived says that the server survived the beginning of the answer, and was reported so.
	survived bool
	reason   emitter.AttemptReason
	// placementTime is the time from the end of the previous attempt to the start.
	placementTime time.Duration
}

// recordEvent records the arrival of an event.
func (a *attemptState) recordEvent(now time.Time) {
	if a.firstEventAfter == 0 {
		a.firstEventAfter = now.Sub(a.started)
	} else {
		a.maxPause = max(a.maxPause, now.Sub(a.lastEvent))
	}
	a.lastEvent = now
}

// describe copies the attempt's measurements to its log entry.
func (a *attemptState) describe(attempt *emitter.Attempt, events int, failed bool) {
	attempt.Why, attempt.PlacedMS = a.reason, milliseconds(a.placementTime)
	attempt.FirstMS, attempt.PauseMS, attempt.Events = milliseconds(a.firstEventAfter), milliseconds(a.maxPause), events
	attempt.Calls, attempt.Reading = a.groupCalls, a.pendingPrefill
	if failed {
		attempt.SilentMS = milliseconds(time.Since(a.lastEvent))
	}
}

// generate sends a call to a group, and to another one if the first is lost.
func (x *exchange) generate() {
	s := &stream{exchange: x}
	defer s.releaseReserved()
	for {
		start := time.Now()
		d, ok := s.place()
		s.decision = d
		s.recordOrder(d)
		if len(s.attemptLog) == 0 {
			s.waited = time.Since(start)
			x.options.Meter.QueueWait(x.call.Model, s.waited)
		}
		s.current = s.newAttemptState(time.Since(start))
		if !ok {
			s.end(garnetworks.KindCancelled, x.ctx.Err())
			return
		}
		if d.Group == "" && (s.delegate() || s.offer()) {
			return
		}
		if d.Group == "" {
			s.end(d.Kind, &garnetworks.Error{Kind: d.Kind, Detail: "no slot was free in time", RetryAfter: d.RetryAfter})
			return
		}
		again, failure := s.attempt(d.Group)
		if failure == nil {
			if s.complete {
				s.recordEnd(http.StatusOK, garnetworks.OutcomeCompleted, nil)
			}
			return
		}
		if (!again || s.linksDown()) && s.delegate() {
			return
		}
		if !again || x.ctx.Err() != nil {
			s.end(garnetworks.KindBackendRefused, failure)
			return
		}
	}
}

// newAttemptState returns the state of the next attempt, whose placement took some time.
func (s *stream) newAttemptState(took time.Duration) attemptState {
	if len(s.attemptLog) == 0 {
		return attemptState{}
	}
	r := attemptState{placementTime: took, reason: emitter.AttemptRepeated}
	if s.moved {
		r.reason = emitter.AttemptMoved
	}
	return r
}

// schedulerCall returns the call's request to the scheduler.
func (s *stream) schedulerCall() scheduler.Call {
	request := scheduler.Call{
		ID:    garnetworks.CallID(strconv.FormatUint(s.sequence.Add(1), 10)),
		Model: s.call.Model, Workspace: s.workspace, Priority: s.priority, Arrived: s.call.Received,
		Objective: s.route.Objective, PromptTokens: s.call.PromptTokens, MaxGap: s.route.MaxGap, Resumed: s.headersSent || s.resuming, Tried: s.tried,
	}
	if request.Resumed {
		request.Arrived = time.Now()
	}
	return request
}

// describeArrival sets what the caller's deadline shows of the call; g.mu is held.
func (s *stream) describeArrival(request *scheduler.Call) {
	if request.Resumed || s.call.Deadline.IsZero() {
		return
	}
	if !s.arrival.Present {
		s.arrival = garnetworks.Some(s.arrivals.Describe(s.scheduler.Rejecting(s.call.Received, s.call.Model), s.route.Name, s.call.Received, s.call.Deadline))
	}
	request.Arrival, _ = s.arrival.Get()
	request.Deadline = s.deadline
}

// recordOrder records a decision on which calls are served, which are late, and which are rejected.
func (s *stream) recordOrder(d scheduler.Decision) {
	s.returned = s.returned || d.Returned
	if d.Late {
		s.admittedLate = true
		s.aheadLate = d.Ahead
		s.options.Meter.AdmittedLate(s.call.Model)
	}
	if d.Kind == garnetworks.KindOverloaded {
		s.options.Meter.RejectedCall(s.call.Model, d.Returned)
	}
}

// place waits for a slot. It returns false if the client disconnected or time ran out.
func (s *stream) place() (scheduler.Decision, bool) {
	d, ok := s.takeReserved()
	s.moved = ok
	if ok {
		return d, true
	}
	request := s.schedulerCall()
	id := request.ID
	waiter := make(chan scheduler.Decision, 1)
	s.mu.Lock()
	s.describeArrival(&request)
	d, decided := s.scheduler.Arrive(time.Now(), request)
	if !decided {
		s.waiters[id] = waiter
	}
	s.mu.Unlock()
	if decided {
		return d, true
	}
	select {
	case s.enqueued <- struct{}{}:
	default:
	}
	closing := s.stop.closing.Done()
	for {
		select {
		case d := <-waiter:
			return d, true
		case <-closing:
			if s.checkStop() != nil {
				s.leaveQueue(id, waiter)
				return scheduler.Decision{Kind: garnetworks.KindShuttingDown, RetryAfter: stopRetryAfter}, true
			}
			closing = nil
		case <-s.ctx.Done():
			s.leaveQueue(id, waiter)
			return scheduler.Decision{}, false
		}
	}
}

// leaveQueue withdraws the request for a slot.
func (s *stream) leaveQueue(id garnetworks.CallID, waiter <-chan scheduler.Decision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.waiters, id)
	s.scheduler.Cancel(id, s.call.Model)
	select {
	case d := <-waiter:
		// The decision came at the same time; its slot is freed.
		if d.Group != "" {
			s.scheduler.PrefillDone(s.call.Model, d.Group, s.call.PromptTokens)
			s.deliver(s.scheduler.Finished(time.Now(), s.call.Model, d.Group, 0, false))
		}
	default:
	}
}

// attempt sends the call to one group. It returns no failure if the client has got its
// answer, and otherwise whether another group may be tried.
func (s *stream) attempt(group garnetworks.GroupID) (again bool, failure error) {
	defer s.releaseSlot(group)
	h, ok := s.beginAttempt(group)
	if err := s.checkBegin(); err != nil {
		return false, err
	}
	s.tried = append(s.tried, group)
	if !ok {
		s.freeAttempts++
		return s.freeAttempts <= maxFreeAttempts, errors.New("the group no longer exists")
	}
	if s.refusesCalls(h.incarnation) {
		s.freeAttempts++
		return s.freeAttempts <= maxFreeAttempts, errors.New("the engine has refused calls since the call got its slot")
	}
	ctx, cancel := context.WithCancelCause(s.ctx)
	defer cancel(nil)
	wd := s.newWatchdog(group, cancel)
	defer wd.stop()
	eventsBefore := s.splicer.Events
	defer func() {
		attempt := s.recordAttempt(group, h.incarnation.Instance, s.current.started, attemptErrorOf(failure))
		s.current.describe(attempt, s.splicer.Events-eventsBefore, failure != nil)
	}()
	urgency := urgencyFirst
	if s.headersSent {
		urgency = urgencyResumed
	}
	ackTime := time.Duration(0)
	if s.route.Idempotent() {
		ackTime = streamAckTime
	}
	answer, err := s.sendAttempt(ctx, h.address, &garnetworks.ProxiedAttempt{
		ProxiedCall: s.call, Instance: h.incarnation.Instance, Workspace: s.workspace, ServerDeadline: s.deadline,
		Urgency: urgency, ResumeAfter: s.resumeAfter(), ConnectTime: streamConnectTime, AckTime: ackTime,
	})
	s.recordAnswer(h.incarnation, s.current.started, answer, err)
	if err != nil {
		s.reportInterrupted(asAttemptError(err))
		return s.handleFailure(group, asAttemptError(err), context.Cause(ctx))
	}
	defer answer.Body.Close()
	switch {
	case answer.NotRun:
		return s.handleRefusal(group, answer)
	case !answer.FromServer || answer.Header.Get("Content-Encoding") != "":
		return s.handleFailure(group, &garnetworks.AttemptError{Phase: garnetworks.PhaseHeaders, Cause: errors.Errorf("an answer with status %d is not an engine's own", answer.Status)}, nil)
	case answer.Status != http.StatusOK:
		return s.handleErrorResponse(group, answer)
	}
	s.attempts++
	return s.relay(group, answer, wd, func() error { return context.Cause(ctx) })
}

// beginAttempt records the group's load and returns its head, if it has one.
func (s *stream) beginAttempt(group garnetworks.GroupID) (head, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.current.started, s.current.lastEvent = now, now
	s.current.groupCalls = max(0, s.scheduler.Calls(s.call.Model, group)-1)
	s.current.pendingPrefill = max(0, s.scheduler.PendingPrefill(s.call.Model, group)-s.call.PromptTokens)
	h, ok := s.heads[group]
	s.current.incarnation = h.incarnation
	return h, ok
}

// releaseSlot frees the call's slot at a group.
func (s *stream) releaseSlot(group garnetworks.GroupID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current.firstEventAfter == 0 {
		s.scheduler.PrefillDone(s.call.Model, group, s.call.PromptTokens)
	}
	now := time.Now()
	s.deliver(s.scheduler.Finished(now, s.call.Model, group, now.Sub(s.current.started), s.current.firstEventAfter > 0))
}

// handleRefusal handles a response that says that the engine did not begin the call.
func (s *stream) handleRefusal(group garnetworks.GroupID, answer *garnetworks.ProxiedResponse) (bool, error) {
	s.mu.Lock()
	now := time.Now()
	if answer.Status == http.StatusMisdirectedRequest || answer.FaultyInstance != "" {
		s.scheduler.Stalled(now, s.call.Model, group)
		defer s.options.Suspect(group)
	} else {
		s.scheduler.Full(now, s.call.Model, group)
	}
	if answer.RetryAfter > 0 {
		s.scheduler.BackoffRequested(s.call.Model, group)
	}
	s.mu.Unlock()
	s.freeAttempts++
	err := &garnetworks.AttemptError{
		Phase: garnetworks.PhaseRefused, RetryAfter: answer.RetryAfter,
		Cause: errors.Errorf("%s refused with status %d because of %q", group, answer.Status, answer.FaultyInstance),
	}
	return s.freeAttempts <= maxFreeAttempts && s.attempts < s.route.MaxAttempts && s.claimRetry(), err
}

// handleFailure handles an attempt that failed before its response.
func (s *stream) handleFailure(group garnetworks.GroupID, failure *garnetworks.AttemptError, cause error) (bool, error) {
	if s.ctx.Err() != nil {
		return false, failure
	}
	s.reportStall(group)
	if failure.Phase == garnetworks.PhaseConnect {
		s.freeAttempts++
		return s.freeAttempts <= maxFreeAttempts, failure
	}
	s.attempts++
	return s.tryResume(errors.Wrap(failure, causeText(cause)))
}

// reportStall reports that a group did not answer or interrupted an answer.
func (s *stream) reportStall(group garnetworks.GroupID) {
	now := time.Now()
	s.mu.Lock()
	s.scheduler.Stalled(now, s.call.Model, group)
	s.scheduler.Unreachable(now, s.call.Model, group)
	s.mu.Unlock()
	s.options.Suspect(group)
}

func causeText(cause error) string {
	if cause == nil {
		return "attempt failed"
	}
	return cause.Error()
}

// tryResume decides whether a call may continue at another group after a lost attempt.
func (s *stream) tryResume(failure error) (bool, error) {
	if !s.route.Idempotent() || s.attempts >= s.route.MaxAttempts || !s.resumable() {
		return false, failure
	}
	s.resuming = true
	return s.claimRetry(), failure
}

// claimRetry reports whether the call has a retry: the one taken with its reserved slot, or a
// new one from the service's window.
func (s *stream) claimRetry() bool {
	s.mu.Lock()
	reserved := s.reserved != ""
	s.mu.Unlock()
	return reserved || s.takeRetry(s.service.Name)
}

// handleErrorResponse sends an engine's error to the client, unless another group may try.
func (s *stream) handleErrorResponse(group garnetworks.GroupID, answer *garnetworks.ProxiedResponse) (bool, error) {
	s.attempts++
	result, failure := s.readResponse(s.ctx, answer, nil)
	if failure != nil {
		return s.tryResume(failure)
	}
	if s.headersSent {
		return s.tryResume(errors.Errorf("%s answered with status %d", group, answer.Status))
	}
	s.options.Quarantine.ReportCompleted(garnetworks.CallIdentity{ID: s.call.ID, Content: s.identity.Content})
	s.recordGroupFailure(group, answer.Status)
	if answer.Status >= http.StatusInternalServerError && s.route.Idempotent() && s.attempts < s.route.MaxAttempts && s.claimRetry() {
		return true, errors.Errorf("%s answered with status %d", group, answer.Status)
	}
	s.writeResponse(result)
	return false, nil
}

// recordGroupFailure counts an engine's server error against its group.
func (s *stream) recordGroupFailure(group garnetworks.GroupID, status int) {
	if status < http.StatusInternalServerError {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.scheduler.Failed(s.call.Model, group)
}

// relay copies the events to the client as they arrive.
func (s *stream) relay(group garnetworks.GroupID, answer *garnetworks.ProxiedResponse, wd *watchdog, cause func() error) (bool, error) {
	buffer := make([]byte, readBufferBytes)
	var events []byte
	received := false
	s.splicer.Resume()
	for {
		n, err := answer.Body.Read(buffer)
		if n > 0 {
			var gap error
			events, gap = s.splicer.Feed(events[:0], buffer[:n])
			if gap != nil {
				return s.tryResume(gap)
			}
			if len(events) > 0 {
				wd.recordEvent()
				received = true
				first := s.current.firstEventAfter == 0
				now := time.Now()
				s.current.recordEvent(now)
				s.reportSurvival(now)
				if first {
					s.recordFirstEvent(group, s.current.firstEventAfter)
				}
				if failure := s.send(answer, events); failure != nil {
					return false, failure
				}
			}
		}
		if err == io.EOF && s.endsWhole(answer, received) {
			return false, s.finish(answer)
		}
		if err != nil {
			return s.handleBrokenStream(group, err, cause())
		}
	}
}

func (s *stream) recordFirstEvent(group garnetworks.GroupID, took time.Duration) {
	if s.splicer.Events <= 1 {
		s.options.Meter.FirstEvent(s.route.Name, time.Since(s.call.Received))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.scheduler.PrefillDone(s.call.Model, group, s.call.PromptTokens)
	s.scheduler.FirstEvent(time.Now(), s.call.Model, group, took, s.route.Objective)
}

// handleBrokenStream handles a stream that ended before its last event.
func (s *stream) handleBrokenStream(group garnetworks.GroupID, err, cause error) (bool, error) {
	s.reportInterrupted(&garnetworks.AttemptError{Phase: garnetworks.PhaseBody, Cause: err})
	if s.ctx.Err() != nil {
		return false, err
	}
	s.reportStall(group)
	return s.tryResume(errors.Wrap(err, causeText(cause)))
}

// finish ends a whole answer.
func (s *stream) finish(answer *garnetworks.ProxiedResponse) error {
	s.sendHeaders(answer)
	s.complete = true
	s.options.Quarantine.ReportCompleted(s.identity)
	return nil
}

// end ends a call without a whole answer (rules W1 and W2).
func (s *stream) end(kind garnetworks.Kind, cause error) {
	if s.headersSent {
		s.interrupt(cause)
	}
	if e, ok := asError(cause); ok && !s.execution.mayHaveRun() {
		s.refuse(s.w, s.exchange, e)
		return
	}
	if kind == garnetworks.KindCancelled && !s.execution.mayHaveRun() {
		kind = garnetworks.KindDeadlineUnreachable
	}
	s.refuseUnanswered(kind, cause)
}

// attemptErrorOf returns an attempt's error as an *AttemptError, or nil if there is none.
func attemptErrorOf(err error) *garnetworks.AttemptError {
	if err == nil {
		return nil
	}
	return asAttemptError(err)
}
