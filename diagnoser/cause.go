package diagnoser

import (
	"net/http"
	"time"

	"github.com/garnetworks/garnetworks"
)

// Outcome is what became of a request.
type Outcome string

// The outcomes. Left and NotAllowed requests are nobody's miss and earn nothing.
const (
	OnTime     Outcome = "on-time"
	Late       Outcome = "late"
	Refused    Outcome = "refused"
	Failed     Outcome = "failed"
	Left       Outcome = "left"
	NotAllowed Outcome = "not-allowed"
)

// missed reports whether the request was owed more than it got.
func (o Outcome) missed() bool { return o == Late || o == Refused || o == Failed }

// Cause is why a request missed.
type Cause string

// The closed list of causes (rule D1).
const (
	CauseWaited       Cause = "waited-at-node"
	CauseSlowFirst    Cause = "slow-first-event"
	CausePaused       Cause = "paused"
	CauseTooLong      Cause = "out-of-time"
	CauseGroupLost    Cause = "group-lost"
	CauseRefusedThere Cause = "refused-by-server"
	CauseNoGroup      Cause = "turned-away-no-group"
	CauseNoTime       Cause = "turned-away-no-time"
	CauseNodeBack     Cause = "turned-away-just-back"
	CauseNotReady     Cause = "node-not-ready"
	CauseStoreAway    Cause = "keys-not-checkable"
	CauseStaleRouting Cause = "stale-routing"
	CauseNodeSlow     Cause = "node-slow"
	CauseServerFailed Cause = "server-failed"
	CauseServerSilent Cause = "server-silent"
	CauseSlowAnswer   Cause = "slow-answer"
	CauseClientLeft   Cause = "client-left"
	CauseHeld         Cause = "held"
	CauseNotAllowed   Cause = "not-allowed"
	CauseUnexplained  Cause = "unexplained"
)

// causes says what each cause means, in the order in which they are told.
var causes = []struct {
	Cause Cause
	Text  string
}{
	{CauseWaited, "waited at the node for a place at a group, and would have been in time without"},
	{CauseSlowFirst, "its group gave the first event late"},
	{CausePaused, "the group paused for too long between two events, and went on"},
	{CauseTooLong, "its answer was still coming when its time was over"},
	{CauseGroupLost, "its group gave no more events, or its connection broke; it went on elsewhere or not at all"},
	{CauseRefusedThere, "a server refused the attempt, and the next one came too late or not at all"},
	{CauseNoGroup, "turned away, since no group served its model"},
	{CauseNoTime, "turned away, since no place came free in time"},
	{CauseNodeBack, "turned away for want of a place by a node that had just started, or had just reached the object API again"},
	{CauseNotReady, "turned away by a node that knew no routing yet, or was stopping"},
	{CauseStoreAway, "turned away, since the node could not reach the object API for so long that it can't vouch for keys"},
	{CauseStaleRouting, "turned away, since the node's routing was too old to say for good that it does not allow the call"},
	{CauseNodeSlow, "the node's process stood still, or could not write to the client"},
	{CauseServerFailed, "a server of a plain service answered with its own failure, or an engine did"},
	{CauseServerSilent, "a server of a plain service gave no answer, or its connection broke"},
	{CauseSlowAnswer, "a server of a plain service answered late"},
	{CauseClientLeft, "the client left before it had reason to"},
	{CauseHeld, "turned away, since servers had ended under calls for the same"},
	{CauseNotAllowed, "asked for a route that there is not, or without a valid key"},
	{CauseUnexplained, "the lines don't tell"},
}

// Causes returns the closed list.
func Causes() []Cause {
	list := make([]Cause, len(causes))
	for i := range causes {
		list[i] = causes[i].Cause
	}
	return list
}

// Verdict is what is known of a request.
type Verdict struct {
	Outcome Outcome
	// Cause is empty for requests on time.
	Cause Cause
	// Call is the one that decided: the first that missed.
	Call *Call
	// Steps are set for CauseGroupLost.
	Steps Steps
}

// Steps are how long each step of going on elsewhere took after a group was lost.
type Steps struct {
	// See is the time from its last event to the end of the attempt, Place that to
	// the next attempt, Read that to its first event; 0 if it did not come so far.
	See, Place, Read time.Duration
}

// timeOver reports whether the client's time was over when the call ended. Its client
// closes the connection at the same moment, so that either may be told.
func (c *Call) timeOver() bool { return c.Left <= timeOverMargin && c.Attempts != nil }

// timeOverMargin is the time left at which a client's deadline may have passed for it:
// the way of its request is not in the node's reckoning.
const timeOverMargin = 50 * time.Millisecond

// clientPatience is the silence after which a client has reason to leave.
const clientPatience = 1900 * time.Millisecond

const (
	// stallPart is the part of a delay that a node's stall must make up to be its cause.
	stallPart = 0.5
	// keysAge is the age of the routing from which a node that refuses for want of
	// knowledge has lost the object API, and is not just starting.
	keysAge = 2 * time.Second
)

const notAllowed = CauseNotAllowed

// verdictOf returns the cause that an error kind alone tells; empty if it does not.
func verdictOf(kind garnetworks.Kind) Cause {
	switch kind {
	case garnetworks.KindInvalidRequest, garnetworks.KindTooLarge, garnetworks.KindUnauthenticated, garnetworks.KindForbidden,
		garnetworks.KindUnknownModel, garnetworks.KindUnknownService:
		return CauseNotAllowed
	case garnetworks.KindNoGroup, garnetworks.KindNoBackend:
		return CauseNoGroup
	case garnetworks.KindOverloaded, garnetworks.KindDeadlineUnreachable, garnetworks.KindOverLimit:
		return CauseNoTime
	case garnetworks.KindShuttingDown, garnetworks.KindNotReady:
		return CauseNotReady
	case garnetworks.KindStaleRouting:
		return CauseStaleRouting
	case garnetworks.KindBackendRefused:
		return CauseRefusedThere
	case garnetworks.KindCallQuarantined:
		return CauseHeld
	}
	return ""
}

// judge returns the verdict on a request; way is the time between client and node, both
// ways.
func (h *history) judge(r *Request, way time.Duration) Verdict {
	v := Verdict{Outcome: outcome(r, way)}
	if v.Outcome == OnTime {
		return v
	}
	v.Call = r.first()
	if len(r.Calls) > 1 || v.Outcome != Late { // rule D3
		v.Cause = h.causeOfEnd(v.Call)
	} else {
		v.Cause = causeOfDelay(v.Call, way)
	}
	if v.Cause == CauseClientLeft && v.Outcome.missed() {
		v.Cause = causeOfSilence(v.Call)
	}
	if v.Cause == CauseGroupLost {
		v.Steps = steps(v.Call)
	}
	return v
}

// outcome says what became of a request.
func outcome(r *Request, way time.Duration) Outcome {
	last := r.last()
	switch {
	case last.answered() && last.Status < http.StatusBadRequest:
		if isLate(r, way) {
			return Late
		}
		return OnTime
	case verdictOf(last.Kind) == CauseNotAllowed:
		return NotAllowed
	case last.Kind == garnetworks.KindCancelled && !hadReason(last) && !last.timeOver():
		return Left
	case last.Outcome == garnetworks.OutcomeNotRun:
		return Refused
	}
	return Failed
}

// isLate reports whether an answer that came was late at the client.
func isLate(r *Request, way time.Duration) bool {
	c := r.last()
	if c.Terms.Objective == 0 {
		return false // the terms are not known; the line would tell them of a late call
	}
	first := c.First
	if first == 0 {
		first = c.Took
	}
	if c.Received.Sub(r.first().Received)+first+way > c.Terms.Objective {
		return true
	}
	return c.Terms.MaxPause > 0 && c.Pause > c.Terms.MaxPause
}

// hadReason reports whether a client that left had been kept waiting for so long that
// it had reason to.
func hadReason(c *Call) bool { return c.silence() >= clientPatience }

// silence is the time from the last event that the client got, or from the receipt, to
// the call's end.
func (c *Call) silence() time.Duration {
	if c.First == 0 {
		return c.Took
	}
	var sum time.Duration
	for i := len(c.Attempts) - 1; i >= 0; i-- {
		a := &c.Attempts[i]
		sum += a.Silent
		if a.Events > 0 {
			break
		}
		sum += a.Placed
	}
	return sum
}

// causeOfEnd is why a call had no whole answer.
func (h *history) causeOfEnd(c *Call) Cause {
	cause := verdictOf(c.Kind)
	switch {
	case c.answered():
		return CauseServerFailed
	case cause == CauseNotReady && c.RoutingAge >= keysAge:
		return CauseStoreAway
	case (cause == CauseNoGroup || cause == CauseNoTime) && h.justBack(c.Node, c.Received):
		return CauseNodeBack
	case cause != "":
		return cause
	case c.Kind == garnetworks.KindCancelled && !hadReason(c) && !c.timeOver():
		return CauseClientLeft
	}
	return causeOfSilence(c)
}

// causeOfSilence is why a call that was sent to a server got no whole answer.
func causeOfSilence(c *Call) Cause {
	if c.Stalled >= clientPatience {
		return CauseNodeSlow
	}
	if len(c.Attempts) == 0 {
		if c.Waited > 0 {
			return CauseWaited
		}
		return CauseUnexplained
	}
	if c.Model == "" {
		return CauseServerSilent
	}
	if c.timeOver() && len(c.Attempts) == 1 && c.silence() < leastSilence {
		return CauseTooLong
	}
	return CauseGroupLost
}

// leastSilence is the time without an event from which a group is not taken to be at
// work on the call any more; groups under load give one each 100 ms or so.
const leastSilence = 500 * time.Millisecond

// causeOfDelay is why a call's whole answer was late.
func causeOfDelay(c *Call, way time.Duration) Cause {
	first := c.First
	if first == 0 {
		first = c.Took
	}
	over := first + way - c.Terms.Objective
	if over <= 0 {
		over = c.Pause - c.Terms.MaxPause
	}
	if c.Stalled > 0 && float64(c.Stalled) >= stallPart*float64(over) {
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
	if first+way <= c.Terms.Objective {
		return causeOfPause(c, last)
	}
	switch {
	case c.Waited >= over:
		return CauseWaited
	case first-c.Waited-last.First >= over:
		return CauseNodeSlow
	}
	return CauseSlowFirst
}

// causeOfAttempts is the cause of a call that needed more than one attempt.
func causeOfAttempts(c *Call) Cause {
	if len(c.Attempts) < 2 {
		return ""
	}
	lost := &c.Attempts[0]
	switch {
	case lost.Phase == garnetworks.PhaseRefused:
		return CauseRefusedThere
	case c.Model == "" && lost.Phase == garnetworks.PhaseDone:
		return CauseServerFailed
	case c.Model == "":
		return CauseServerSilent
	}
	return CauseGroupLost
}

// causeOfPause is why a stream in one attempt paused for too long.
func causeOfPause(c *Call, last *Attempt) Cause {
	if last.Pause > c.Terms.MaxPause {
		return CausePaused
	}
	return CauseNodeSlow
}

// steps are those of the first loss of a call.
func steps(c *Call) Steps {
	var s Steps
	for i := range c.Attempts {
		a := &c.Attempts[i]
		if i == 0 {
			s.See = a.Silent
			continue
		}
		s.Place, s.Read = a.Placed, a.First
		break
	}
	return s
}
