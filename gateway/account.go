package gateway

import (
	"net/http"
	"strings"
	"time"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/emitter"
	"github.com/garnetworks/garnetworks/scheduler"
)

// Bounds of the log. A node at the design size gets about 15 calls a second.
const (
	// EndedWell and EndedBadly are the lines that a node writes in a second of
	// calls that ended well, and of each cause of calls that did not.
	SuccessLinesPerSecond = 50
	FailureLinesPerSecond = 20
)

// detailPart is the part of the objective, or of the allowed pause, from which a call's
// line tells details. It is below 1, since the client measures a little more than the
// node: the way of its request and of the events.
const detailFraction = 0.9

// leastWriting is the time from which a write to the client is told. Shorter ones are
// the socket's buffer being filled.
const minLoggedWrite = 10 * time.Millisecond

// sampled is the number of calls of which one is told in detail though it was on time,
// so that the others' lines have something to be held against, and the terms of routes
// without any late call are told as well. One in 20 adds 2 in 100 to the log.
const sampleInterval = 20

// account gathers what one call's line tells.
type callLog struct {
	attemptLog []emitter.Attempt
	// waited is how long the call waited for its first place.
	waited time.Duration
	// decision is the last one of the scheduler.
	decision scheduler.Decision
	// matched says that the node knew a routing when the call came: version routing,
	// last known to be the newest one routingAge before.
	hasRouting bool
	routing    uint64
	routingAge time.Duration
	// first is the time from the call's receipt to its first event; 0 before it.
	firstEventAfter time.Duration
	// lastEvent is when the last event was with the client, pause the longest time
	// between two, over all attempts.
	lastEvent time.Time
	maxPause  time.Duration
	// writing is the longest time that an event took to be written.
	maxWrite time.Duration
	// stalled is what the node's stalls came to when the call was received.
	stallsBefore time.Duration
}

func milliseconds(d time.Duration) int64 { return d.Milliseconds() }

// tried notes the end of an attempt.
func (a *callLog) addAttempt(group garnetworks.GroupID, instance garnetworks.InstanceID, started time.Time, failure error) *emitter.Attempt {
	t := emitter.Attempt{Group: group, Instance: instance, Phase: garnetworks.PhaseDone, TookMS: milliseconds(time.Since(started))}
	if failure != nil {
		t.Phase = asAttemptError(failure).Phase
		t.Cause = failure.Error()
	}
	a.attemptLog = append(a.attemptLog, t)
	return &a.attemptLog[len(a.attemptLog)-1]
}

// event notes that an event is with the client, whose write began at a time.
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

// ended writes the call's line and counts it. A call that ended well has one line
// at most; lines of calls that did not are bounded by their cause.
func (x *exchange) recordEnd(status int, outcome garnetworks.Outcome, err error) {
	kind := garnetworks.KindOf(err)
	route := ""
	if x.route != nil {
		route = x.route.Name
	}
	x.options.Meter.PassedCall(route, outcome, kind)
	bound, cause := x.failureLines, string(kind)+route
	if err == nil {
		bound, cause = x.successLines, "well"
	}
	folded, ok := bound.Allow(time.Now(), cause)
	if !ok {
		return
	}
	x.options.Logger.Info(emitter.CallEnded, x.fields(status, outcome, err, folded)...)
}

// fields are the line's fields; docs/OPERATIONS.md explains them. A call that was
// surely on time is told in short, so that the log's volume goes to the others.
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

// nearlyLate reports whether the client may have found the answer late.
func (x *exchange) nearlyLate() bool {
	first := x.firstEventAfter
	if first == 0 { // the answer came whole
		first = time.Since(x.call.Received)
	}
	if float64(first) > detailFraction*float64(x.route.Objective) || len(x.attemptLog) > 1 {
		return true
	}
	return x.route.MaxGap > 0 && float64(x.maxPause) > detailFraction*float64(x.route.MaxGap)
}

// appendCall appends what the call asked for and how long it took.
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
	if x.content != "" {
		list = append(list, "content", x.content)
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

// appendRouting appends which routing the call was matched by.
func (x *exchange) appendRouting(list []any, detailed bool) []any {
	list = append(list, "routing", x.routing)
	if !detailed {
		return list
	}
	return append(list, "routing-age-ms", milliseconds(x.routingAge))
}

// appendRoute appends the route and its terms.
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

// attempts are those that the line tells: of a call that was on time only who
// answered.
func loggedAttempts(trials []emitter.Attempt, detailed bool) []emitter.Attempt {
	if detailed {
		return trials
	}
	last := trials[len(trials)-1]
	return []emitter.Attempt{{Group: last.Group, Instance: last.Instance, Events: last.Events}}
}

// errorText is the error's text without the cause that the last attempt tells.
func (x *exchange) errorText(err error) string {
	text := err.Error()
	if n := len(x.attemptLog); n > 0 && x.attemptLog[n-1].Cause != "" {
		text = strings.TrimSuffix(text, x.attemptLog[n-1].Cause)
		text = strings.TrimSuffix(text, ": ")
	}
	return text
}

// outcomeOf is what an answer of the node's own says of the call.
func outcomeOf(status int) garnetworks.Outcome {
	switch status {
	case http.StatusBadGateway, http.StatusGatewayTimeout, garnetworks.ErrorResponseFor(garnetworks.KindCancelled).Status, 0:
		return garnetworks.OutcomeUnknown
	}
	return garnetworks.OutcomeNotRun
}
