package gateway

import (
	"net/http"
	"time"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/scheduler"
)

// Bounds of the log. A node at the design size gets about 15 calls a second.
const (
	// EndedWell and EndedBadly are the lines that a node writes in a second of
	// calls that ended well, and of each cause of calls that did not.
	EndedWell  = 50
	EndedBadly = 20
)

// trial is one attempt in a call's line.
type trial struct {
	Group    garnetworks.GroupID    `json:"group,omitempty"`
	Instance garnetworks.InstanceID `json:"instance,omitempty"`
	// Phase is how far the attempt came; done for a whole answer.
	Phase garnetworks.CallPhase `json:"phase"`
	// FirstMS is the time to its first event, TookMS that to its end.
	FirstMS int64  `json:"first-ms,omitempty"`
	TookMS  int64  `json:"took-ms"`
	Events  int    `json:"events,omitempty"`
	Cause   string `json:"cause,omitempty"`
}

// account gathers what one call's line tells.
type account struct {
	trials []trial
	// waited is how long the call waited for its first place.
	waited time.Duration
	// decision is the last one of the scheduler.
	decision scheduler.Decision
	// routing is the version that the call was matched by, confirmed how long
	// before the call that was known to be the newest one.
	routing   uint64
	confirmed time.Duration
}

func milliseconds(d time.Duration) int64 { return d.Milliseconds() }

// tried notes the end of an attempt.
func (a *account) tried(group garnetworks.GroupID, instance garnetworks.InstanceID, began time.Time, failure error) *trial {
	t := trial{Group: group, Instance: instance, Phase: garnetworks.PhaseDone, TookMS: milliseconds(time.Since(began))}
	if failure != nil {
		t.Phase = asAttempt(failure).Phase
		t.Cause = failure.Error()
	}
	a.trials = append(a.trials, t)
	return &a.trials[len(a.trials)-1]
}

// ended writes the call's line and counts it. A call that ended well has one line
// at most; lines of calls that did not are bounded by their cause.
func (x *exchange) ended(status int, outcome garnetworks.Outcome, err error) {
	kind := garnetworks.KindOf(err)
	route := ""
	if x.route != nil {
		route = x.route.Name
	}
	x.options.Meter.PassedCall(route, outcome, kind)
	bound, cause := x.badly, string(kind)+route
	if err == nil {
		bound, cause = x.well, "well"
	}
	folded, ok := bound.Allow(time.Now(), cause)
	if !ok {
		return
	}
	x.options.Logger.Info("call-ended", x.fields(status, outcome, err, folded)...)
}

// fields are the line's fields; docs/OPERATIONS.md explains them.
func (x *exchange) fields(status int, outcome garnetworks.Outcome, err error, folded int) []any {
	list := []any{"status", status, "outcome", outcome}
	if x.call != nil {
		list = append(list, "call", x.call.ID, "took-ms", milliseconds(time.Since(x.call.Received)))
		if !x.until.IsZero() {
			list = append(list, "left-ms", milliseconds(time.Until(x.until)))
		}
		if x.call.Model != "" {
			list = append(list, "model", x.call.Model, "waited-ms", milliseconds(x.waited))
		}
	}
	if x.route != nil {
		list = append(list, "route", x.route.Name, "routing", x.routing, "routing-age-ms", milliseconds(x.confirmed))
	}
	if x.workspace != "" {
		list = append(list, "workspace", x.workspace)
	}
	if d := &x.decision; d.Kind != "" {
		list = append(list, "ahead", d.Ahead, "expected-wait-ms", milliseconds(d.Expected), "may-wait-ms", milliseconds(d.Patience), "groups", d.Groups)
	}
	if len(x.trials) > 0 {
		list = append(list, "attempts", x.trials)
	}
	if err != nil {
		list = append(list, "kind", garnetworks.KindOf(err), "error", err.Error())
	}
	if folded > 0 {
		list = append(list, "folded", folded)
	}
	return list
}

// outcomeOf is what an answer of the node's own says of the call.
func outcomeOf(status int) garnetworks.Outcome {
	switch status {
	case http.StatusBadGateway, http.StatusGatewayTimeout, garnetworks.KindAnswer(garnetworks.KindCancelled).Status, 0:
		return garnetworks.OutcomeUnknown
	}
	return garnetworks.OutcomeNotRun
}
