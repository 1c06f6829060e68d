package diagnoser

import (
	"net/http"
	"time"

	"github.com/garnetworks/garnetworks"
)

// Outcome is the result of a request.
type Outcome string

// The outcomes. Abandoned and NotAllowed requests are no misses and earn no credit.
const (
	OnTime     Outcome = "on-time"
	Late       Outcome = "late"
	Refused    Outcome = "refused"
	Failed     Outcome = "failed"
	Abandoned  Outcome = "left"
	NotAllowed Outcome = "not-allowed"
)

// missed reports whether the request got less than its service level.
func (o Outcome) missed() bool { return o == Late || o == Refused || o == Failed }

// Cause is the reason for which a request missed its service level.
type Cause string

// The closed list of causes (rule D1).
const (
	CauseQueued         Cause = "waited-at-node"
	CauseSlowFirstEvent Cause = "slow-first-event"
	CausePaused         Cause = "paused"
	CauseTimeout        Cause = "out-of-time"
	CauseGroupLost      Cause = "group-lost"
	CauseBackendRefused Cause = "refused-by-server"
	CauseNoGroup        Cause = "turned-away-no-group"
	CauseNoCapacity     Cause = "turned-away-no-time"
	CauseNodeCatchingUp Cause = "turned-away-just-back"
	CauseNotReady       Cause = "node-not-ready"
	CauseObjectAPILost  Cause = "keys-not-checkable"
	CauseStaleRouting   Cause = "stale-routing"
	CauseNodeSlow       Cause = "node-slow"
	CauseServerFailed   Cause = "server-failed"
	CauseServerSilent   Cause = "server-silent"
	CauseSlowAnswer     Cause = "slow-answer"
	CauseClientLeft     Cause = "client-left"
	CauseQuarantined    Cause = "held"
	CauseNotAllowed     Cause = "not-allowed"
	CauseUnexplained    Cause = "unexplained"
)

// causes describes each cause. Reports list causes of equal cost in this order.
var causes = []struct {
	Cause Cause
	Text  string
}{
	{CauseQueued, "waited at the node for a place at a group, and would have been in time without"},
	{CauseSlowFirstEvent, "its group gave the first event late"},
	{CausePaused, "the group paused for too long between two events, and went on"},
	{CauseTimeout, "its answer was still coming when its time was over"},
	{CauseGroupLost, "its group gave no more events, or its connection broke; it went on elsewhere or not at all"},
	{CauseBackendRefused, "a server refused the attempt, and the next one came too late or not at all"},
	{CauseNoGroup, "turned away, since no group served its model"},
	{CauseNoCapacity, "turned away, since no place came free in time"},
	{CauseNodeCatchingUp, "turned away for want of a place by a node that had just started, or had just reached the object API again"},
	{CauseNotReady, "turned away by a node that knew no routing yet, or was stopping"},
	{CauseObjectAPILost, "turned away, since the node could not reach the object API for so long that it can't vouch for keys"},
	{CauseStaleRouting, "turned away, since the node's routing was too old to say for good that it does not allow the call"},
	{CauseNodeSlow, "the node's process stood still, or could not write to the client"},
	{CauseServerFailed, "a server of a plain service answered with its own failure, or an engine did"},
	{CauseServerSilent, "a server of a plain service gave no answer, or its connection broke"},
	{CauseSlowAnswer, "a server of a plain service answered late"},
	{CauseClientLeft, "the client left before it had reason to"},
	{CauseQuarantined, "turned away, since servers had ended under calls for the same"},
	{CauseNotAllowed, "asked for a route that there is not, or without a valid key"},
	{CauseUnexplained, "the lines don't tell"},
}

// Causes returns all causes.
func Causes() []Cause {
	list := make([]Cause, len(causes))
	for i := range causes {
		list[i] = causes[i].Cause
	}
	return list
}

// Diagnosis is the outcome and cause of a request.
type Diagnosis struct {
	Outcome Outcome
	// Cause is empty for requests on time.
	Cause Cause
	// Call is the first call that missed, which determines the cause (rule D3).
	Call *Call
	// Steps is set for CauseGroupLost.
	Steps FailoverSteps
}

// FailoverSteps holds the duration of each step of a failover to another group.
type FailoverSteps struct {
	// Detect is the time from the last event to the end of the attempt, Place that to the
	// next attempt, Prefill that to its first event; 0 for steps that were not reached.
	Detect, Place, Prefill time.Duration
}

// deadlinePassed reports whether the client's deadline had passed when the call ended. The
// client closes the connection at that moment, so that the call may end as cancelled.
func (c *Call) deadlinePassed() bool { return c.TimeLeft <= deadlineMargin && c.Attempts != nil }

// deadlineMargin is the time left below which the deadline may have passed at the client,
// since the node does not count the time that the request took to reach it.
const deadlineMargin = 50 * time.Millisecond

// maxClientWait is the silence after which leaving is not blamed on the client.
const maxClientWait = 1900 * time.Millisecond

const (
	// minStallFraction is the part of a delay that a process stall must make up to be its cause.
	minStallFraction = 0.5
	// objectAPILostAge is the age of the routing from which a node that is not ready is taken
	// to have lost the object API, rather than to be starting.
	objectAPILostAge = 2 * time.Second
)

const notAllowed = CauseNotAllowed

// causeOfKind returns the cause that an error kind alone implies; empty if there is none.
func causeOfKind(kind garnetworks.Kind) Cause {
	switch kind {
	case garnetworks.KindInvalidRequest, garnetworks.KindTooLarge, garnetworks.KindUnauthenticated, garnetworks.KindForbidden,
		garnetworks.KindUnknownModel, garnetworks.KindUnknownService:
		return CauseNotAllowed
	case garnetworks.KindNoGroup, garnetworks.KindNoBackend:
		return CauseNoGroup
	case garnetworks.KindOverloaded, garnetworks.KindDeadlineUnreachable, garnetworks.KindOverLimit:
		return CauseNoCapacity
	case garnetworks.KindShuttingDown, garnetworks.KindNotReady:
		return CauseNotReady
	case garnetworks.KindStaleRouting:
		return CauseStaleRouting
	case garnetworks.KindBackendRefused:
		return CauseBackendRefused
	case garnetworks.KindCallQuarantined:
		return CauseQuarantined
	}
	return ""
}

// diagnose returns the outcome and cause of a request; roundTrip is the network time between
// client and node, both ways.
func (h *history) diagnose(r *Request, roundTrip time.Duration) Diagnosis {
	v := Diagnosis{Outcome: outcome(r, roundTrip)}
	if v.Outcome == OnTime {
		return v
	}
	v.Call = r.first()
	if len(r.Calls) > 1 || v.Outcome != Late { // rule D3
		v.Cause = h.causeOfEnd(v.Call)
	} else {
		v.Cause = causeOfDelay(v.Call, roundTrip)
	}
	if v.Cause == CauseClientLeft && v.Outcome.missed() {
		v.Cause = causeOfSilence(v.Call)
	}
	if v.Cause == CauseGroupLost {
		v.Steps = steps(v.Call)
	}
	return v
}

// outcome returns the result of a request.
func outcome(r *Request, roundTrip time.Duration) Outcome {
	last := r.last()
	switch {
	case last.answered() && last.Status < http.StatusBadRequest:
		if isLate(r, roundTrip) {
			return Late
		}
		return OnTime
	case causeOfKind(last.Kind) == CauseNotAllowed:
		return NotAllowed
	case last.Kind == garnetworks.KindCancelled && !hadReasonToLeave(last) && !last.deadlinePassed():
		return Abandoned
	case last.Outcome == garnetworks.OutcomeNotRun:
		return Refused
	}
	return Failed
}

// isLate reports whether a complete response was late at the client.
func isLate(r *Request, roundTrip time.Duration) bool {
	c := r.last()
	if c.ServiceLevel.Objective == 0 {
		return false // the service level is unknown; the line of a late call would state it
	}
	first := c.FirstEvent
	if first == 0 {
		first = c.Duration
	}
	if c.Received.Sub(r.first().Received)+first+roundTrip > c.ServiceLevel.Objective {
		return true
	}
	return c.ServiceLevel.MaxGap > 0 && c.MaxGap > c.ServiceLevel.MaxGap
}

// hadReasonToLeave reports whether a client that left had waited for maxClientWait without
// an event.
func hadReasonToLeave(c *Call) bool { return c.silence() >= maxClientWait }

// silence returns the time from the last event that the client got, or from the receipt, to
// the call's end.
func (c *Call) silence() time.Duration {
	if c.FirstEvent == 0 {
		return c.Duration
	}
	var sum time.Duration
	for i := len(c.Attempts) - 1; i >= 0; i-- {
		a := &c.Attempts[i]
		sum += a.Silence
		if a.Events > 0 {
			break
		}
		sum += a.PlacementTime
	}
	return sum
}

// causeOfEnd returns the cause of a call that did not succeed.
func (h *history) causeOfEnd(c *Call) Cause {
	cause := causeOfKind(c.Kind)
	switch {
	case c.answered():
		return CauseServerFailed
	case cause == CauseNotReady && c.RoutingAge >= objectAPILostAge:
		return CauseObjectAPILost
	case (cause == CauseNoGroup || cause == CauseNoCapacity) && h.recentlyRecovered(c.Node, c.Received):
		return CauseNodeCatchingUp
	case cause != "":
		return cause
	case c.Kind == garnetworks.KindCancelled && !hadReasonToLeave(c) && !c.deadlinePassed():
		return CauseClientLeft
	}
	return causeOfSilence(c)
}

// causeOfSilence returns the cause of a call that waited or was sent but got no whole response.
func causeOfSilence(c *Call) Cause {
	if c.Stalled >= maxClientWait {
		return CauseNodeSlow
	}
	if len(c.Attempts) == 0 {
		if c.QueueWait > 0 {
			return CauseQueued
		}
		return CauseUnexplained
	}
	if c.Model == "" {
		return CauseServerSilent
	}
	if c.deadlinePassed() && len(c.Attempts) == 1 && c.silence() < minGroupSilence {
		return CauseTimeout
	}
	return CauseGroupLost
}

// minGroupSilence is the time without an event from which a group is taken to have stopped
// working on a call.
const minGroupSilence = 500 * time.Millisecond

// causeOfDelay returns the cause of a complete response that was late.
func causeOfDelay(c *Call, roundTrip time.Duration) Cause {
	first := c.FirstEvent
	if first == 0 {
		first = c.Duration
	}
	over := first + roundTrip - c.ServiceLevel.Objective
	if over <= 0 {
		over = c.MaxGap - c.ServiceLevel.MaxGap
	}
	if c.Stalled > 0 && float64(c.Stalled) >= minStallFraction*float64(over) {
		return CauseNodeSlow
	}
	if cause := causeOfAttempts(c); cause != "" {
		return cause
	}
	if len(c.Attempts) == 0 {
		return CauseUnexplained
	}
	last := &c.Attempts[len(c.Attempts)-1]
	if c.Model == "" {
		return CauseSlowAnswer
	}
	if first+roundTrip <= c.ServiceLevel.Objective {
		return causeOfPause(c, last)
	}
	switch {
	case c.QueueWait >= over:
		return CauseQueued
	case first-c.QueueWait-last.FirstEvent >= over:
		return CauseNodeSlow
	}
	return CauseSlowFirstEvent
}

// causeOfAttempts returns the cause of a call that took several attempts, otherwise "".
func causeOfAttempts(c *Call) Cause {
	if len(c.Attempts) < 2 {
		return ""
	}
	lost := &c.Attempts[0]
	switch {
	case lost.Phase == garnetworks.PhaseRefused:
		return CauseBackendRefused
	case c.Model == "" && lost.Phase == garnetworks.PhaseDone:
		return CauseServerFailed
	case c.Model == "":
		return CauseServerSilent
	}
	return CauseGroupLost
}

// causeOfPause returns the cause of a pause within a stream of one attempt.
func causeOfPause(c *Call, last *Attempt) Cause {
	if last.MaxGap > c.ServiceLevel.MaxGap {
		return CausePaused
	}
	return CauseNodeSlow
}

// steps returns the failover steps of a call's first lost attempt.
func steps(c *Call) FailoverSteps {
	var s FailoverSteps
	for i := range c.Attempts {
		a := &c.Attempts[i]
		if i == 0 {
			s.Detect = a.Silence
			continue
		}
		s.Place, s.Prefill = a.PlacementTime, a.FirstEvent
		break
	}
	return s
}
