package gateway

import (
	"net/http"
	"strings"
	"time"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/emitter"
	"github.com/garnetworks/garnetworks/scheduler"
)

// Limits of the log.
const (
	// SuccessLinesPerSecond and FailureLinesPerSecond limit a node's lines per second: those of
	// successful calls, and those of failed calls for each cause.
	SuccessLinesPerSecond = 50
	FailureLinesPerSecond = 20
)

// detailFraction is the fraction of the objective, or of the allowed pause, from which a call
// is logged in detail. It is below 1 because the client also measures the network latency.
const detailFraction = 0.9

// minLoggedWrite is the shortest write to the client that is logged; shorter ones only fill
// the socket buffer.
const minLoggedWrite = 10 * time.Millisecond

// sampleInterval is the number of calls on time of which one is logged in detail, for
// comparison with late calls and so that the limits of every route appear in the log. One in 20
// makes the log 2 % longer.
const sampleInterval = 20

// callLog collects what is logged about one call.
type callLog struct {
	attemptLog []emitter.Attempt
	// waited is how long the call waited for its first slot.
	waited time.Duration
	// decision is the scheduler's last one.
	decision scheduler.Decision
	// returned says that the call was rejected before, admittedLate that it was admitted although
	// it can only be late, with aheadLate calls ahead of it.
	returned, admittedLate bool
	aheadLate              int
	// hasRouting says that the node had a routing when the call arrived: of version routing,
	// last confirmed as the newest routingAge before.
	hasRouting bool
	routing    uint64
	routingAge time.Duration
	// firstEventAfter is the time from the call's receipt to its first event; 0 before it.
	firstEventAfter time.Duration
	// lastEvent is when the last event was written to the client, maxPause the longest time
	// between two events over all attempts.
	lastEvent time.Time
	maxPause  time.Duration
	// delegatedTo is the node that took the call over.
	delegatedTo garnetworks.NodeID
	// callLimit is the limit that the server named in its last answer.
	callLimit garnetworks.Option[float64]
	// reused and unnamed describe the connection and the answer of the last attempt.
	reused, unnamed bool
	// maxWrite is the longest time that writing an event took.
	maxWrite time.Duration
	// stallsBefore is the node's total stall time when the call was received.
	stallsBefore time.Duration
}

func milliseconds(d time.Duration) int64 { return d.Milliseconds() }

// addAttempt appends an attempt that has ended.
func (a *callLog) addAttempt(group garnetworks.GroupID, instance garnetworks.InstanceID, started time.Time, failure error) *emitter.Attempt {
	attempt := emitter.Attempt{Group: group, Instance: instance, Phase: garnetworks.PhaseDone, TookMS: milliseconds(time.Since(started))}
	if failure != nil {
		attempt.Phase = asAttemptError(failure).Phase
		attempt.RetryAfterMS = milliseconds(asAttemptError(failure).RetryAfter)
		attempt.Cause = failure.Error()
	}
	if limit, ok := a.callLimit.Get(); ok {
		attempt.Limit = &limit
	}
	a.callLimit = garnetworks.Option[float64]{}
	attempt.Reused, attempt.Unnamed = a.reused, a.unnamed
	a.reused, a.unnamed = false, false
	a.attemptLog = append(a.attemptLog, attempt)
	return &a.attemptLog[len(a.attemptLog)-1]
}

// recordEvent records an event whose write to the client began at started and has ended.
func (a *callLog) recordEvent(received, started time.Time) {
	now := time.Now()
	a.maxWrite = max(a.maxWrite, now.Sub(started))
	if a.lastEvent.IsZero() {
		a.firstEventAfter = now.Sub(received)
	} else {
		a.maxPause = max(a.maxPause, now.Sub(a.lastEvent))
	}
	a.lastEvent = now
}

// recordEnd counts a call that has ended and logs it, within the limits for successful calls
// or for the failure's cause.
func (x *exchange) recordEnd(status int, outcome garnetworks.Outcome, err error) {
	kind := garnetworks.KindOf(err)
	x.recordOutcome(status, err)
	route := ""
	if x.route != nil {
		route = x.route.Name
	}
	x.options.Meter.ProxiedCall(route, outcome, kind)
	bound, cause := x.failureLines, string(kind)+route
	switch {
	case x.sentAgain():
		cause = "sent-again" + route
	case err == nil:
		bound, cause = x.successLines, "well"
	}
	folded, ok := bound.Allow(time.Now(), cause)
	if !ok {
		return
	}
	x.options.Logger.Info(emitter.CallEnded, x.fields(status, outcome, err, folded)...)
}

// sentAgain reports whether a call that may run once was tried at several servers or nodes.
func (x *exchange) sentAgain() bool {
	if x.route == nil || x.route.Idempotent() {
		return false
	}
	return len(x.attemptLog) > 1 || len(x.attemptLog) > 0 && x.delegatedTo != ""
}

// fields returns the key-value pairs of the call's line, which docs/OPERATIONS.md describes. A
// call that was clearly on time gets a short line, to leave the log's volume to the others.
func (x *exchange) fields(status int, outcome garnetworks.Outcome, err error, folded int) []any {
	list := []any{"status", status, "outcome", outcome}
	detailed := err != nil || status >= http.StatusBadRequest || x.nearlyLate() || x.onTimeCalls.Add(1)%sampleInterval == 0
	if x.call != nil {
		list = x.appendCall(list, detailed)
	}
	if x.hasRouting {
		list = x.appendRouting(list, detailed)
	}
	if x.route != nil {
		list = x.appendRoute(list, detailed)
	}
	if x.workspace != "" {
		list = append(list, "workspace", x.workspace)
	}
	if d := &x.decision; d.Kind != "" {
		list = append(list, "ahead", d.Ahead, "expected-wait-ms", milliseconds(d.ExpectedWait), "may-wait-ms", milliseconds(d.Patience),
			"groups", d.Groups, "spare", d.Spare)
	}
	if x.returned {
		list = append(list, "returned", true)
	}
	if x.admittedLate {
		list = append(list, "admitted-late", true, "ahead-late", x.aheadLate)
	}
	if x.delegatedTo != "" {
		list = append(list, "delegated-to", x.delegatedTo)
	}
	if len(x.attemptLog) > 0 {
		list = append(list, "attempts", loggedAttempts(x.attemptLog, detailed))
	}
	if err != nil {
		list = append(list, "kind", garnetworks.KindOf(err), "error", x.errorText(err))
	}
	if folded > 0 {
		list = append(list, "folded", folded)
	}
	return list
}

// nearlyLate reports whether the client may have measured the answer as late.
func (x *exchange) nearlyLate() bool {
	first := x.firstEventAfter
	if first == 0 { // the answer was not streamed
		first = time.Since(x.call.Received)
	}
	if float64(first) > detailFraction*float64(x.route.Objective) || len(x.attemptLog) > 1 {
		return true
	}
	return x.route.MaxGap > 0 && float64(x.maxPause) > detailFraction*float64(x.route.MaxGap)
}

// appendCall appends the call's parameters and durations.
func (x *exchange) appendCall(list []any, detailed bool) []any {
	list = append(list, "call", x.call.ID, "took-ms", milliseconds(time.Since(x.call.Received)))
	if x.firstEventAfter > 0 {
		list = append(list, "first-ms", milliseconds(x.firstEventAfter))
	}
	if x.call.Model != "" {
		list = append(list, "model", x.call.Model, "prompt", x.call.PromptTokens, "answer", x.call.ExpectedTokens())
	} else {
		list = append(list, "body", len(x.call.Body), "target", x.call.Target)
	}
	if !detailed {
		return list
	}
	if x.identity.Content != "" {
		list = append(list, "content", x.identity.Content)
	}
	if len(x.call.SharedParts) > 0 {
		list = append(list, "parts", x.call.SharedParts)
	}
	list = append(list, "waited-ms", milliseconds(x.waited))
	if !x.deadline.IsZero() {
		list = append(list, "left-ms", milliseconds(time.Until(x.deadline)))
	}
	if !x.call.Deadline.IsZero() {
		list = append(list, "deadline-ms", milliseconds(x.call.Deadline.Sub(x.call.Received)))
	}
	if x.maxPause > 0 {
		list = append(list, "pause-ms", milliseconds(x.maxPause))
	}
	if x.maxWrite >= minLoggedWrite {
		list = append(list, "write-ms", milliseconds(x.maxWrite))
	}
	if stalled := x.stalls.total() - x.stallsBefore; stalled > 0 {
		list = append(list, "stalled-ms", milliseconds(stalled))
	}
	return list
}

// appendRouting appends the routing that the call was matched with.
func (x *exchange) appendRouting(list []any, detailed bool) []any {
	list = append(list, "routing", x.routing)
	if !detailed {
		return list
	}
	return append(list, "routing-age-ms", milliseconds(x.routingAge))
}

// appendRoute appends the route and its limits.
func (x *exchange) appendRoute(list []any, detailed bool) []any {
	list = append(list, "route", x.route.Name)
	if !detailed {
		return list
	}
	list = append(list, "priority", x.priority,
		"objective-ms", milliseconds(x.route.Objective), "timeout-ms", milliseconds(x.route.Timeout))
	if x.route.MaxGap > 0 {
		list = append(list, "max-pause-ms", milliseconds(x.route.MaxGap))
	}
	if !x.route.Idempotent() {
		list = append(list, "once", true)
	}
	return list
}

// loggedAttempts returns the attempts to log: for a call on time only the server that answered.
func loggedAttempts(attempts []emitter.Attempt, detailed bool) []emitter.Attempt {
	if detailed {
		return attempts
	}
	last := attempts[len(attempts)-1]
	return []emitter.Attempt{{Group: last.Group, Instance: last.Instance, Events: last.Events, Limit: last.Limit}}
}

// errorText returns the error's text without the cause, which the last attempt already has.
func (x *exchange) errorText(err error) string {
	text := err.Error()
	if n := len(x.attemptLog); n > 0 && x.attemptLog[n-1].Cause != "" {
		text = strings.TrimSuffix(text, x.attemptLog[n-1].Cause)
		text = strings.TrimSuffix(text, ": ")
	}
	return text
}

// outcomeOf returns the outcome that an error status of the node implies for the call.
func outcomeOf(status int) garnetworks.Outcome {
	switch status {
	case http.StatusBadGateway, http.StatusGatewayTimeout, garnetworks.ErrorResponseFor(garnetworks.KindCancelled).Status, 0:
		return garnetworks.OutcomeUnknown
	}
	return garnetworks.OutcomeNotRun
}
