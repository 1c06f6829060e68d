package gateway

import (
	"math"
	"net/http"
	"time"

	"github.com/garnetworks/garnetworks"
)

const (
	// outcomeDecay is the time constant of the average outcomes, as that of the average arrivals.
	outcomeDecay = 2 * time.Second
	// returnFraction is the fraction of the route's timeout by which the time left that a call
	// states is shorter at most on a first attempt: callers choose deadlines that differ by 0.15.
	// A call that was rejected before and has waited for less is taken for a new one.
	returnFraction = 0.15
)

// outcomes averages the outcomes of the calls to each model that ended at this node. The zero
// value has none.
type outcomes struct {
	at     time.Time
	models map[garnetworks.ModelName]*garnetworks.CallOutcomes
}

// decay reduces the averages to their values now.
func (o *outcomes) decay(now time.Time) {
	if elapsed := now.Sub(o.at); elapsed > 0 {
		factor := float32(math.Exp(-float64(elapsed) / float64(outcomeDecay)))
		for _, m := range o.models {
			m.Scale(factor)
		}
		o.at = now
	}
}

// add adds calls that have ended.
func (o *outcomes) add(now time.Time, model garnetworks.ModelName, ended *garnetworks.CallOutcomes) {
	o.decay(now)
	if o.models == nil {
		o.models, o.at = make(map[garnetworks.ModelName]*garnetworks.CallOutcomes), now
	}
	if o.models[model] == nil {
		o.models[model] = &garnetworks.CallOutcomes{}
	}
	o.models[model].Add(ended, float32(1/outcomeDecay.Seconds()))
}

// report sets the outcomes in the node's load report.
func (o *outcomes) report(now time.Time, demands []garnetworks.ModelDemand) {
	o.decay(now)
	for i := range demands {
		if m := o.models[demands[i].Model]; m != nil {
			demands[i].Outcomes = *m
		}
	}
}

// recordOutcome counts a model call that has ended, unless it is counted elsewhere: at the node that
// it was handed to, or when it was rejected before. Cancelled calls say nothing of the groups.
func (x *exchange) recordOutcome(status int, err error) {
	if x.call == nil || x.call.Model == "" || x.route == nil || x.service == nil || x.delegatedTo != "" || x.returning() {
		return
	}
	ended := garnetworks.CallOutcomes{
		PromptTokens: float32(x.call.PromptTokens), OutputTokens: float32(x.call.ExpectedTokens()),
		Objective: float32(x.route.Objective.Seconds()), MaxGap: float32(x.route.MaxGap.Seconds()), Priority: float32(x.priority),
	}
	switch kind := garnetworks.KindOf(err); {
	case err == nil && status == http.StatusOK && x.onTime():
		ended.OnTime = 1
	case err == nil && status != http.StatusOK:
		return // the engine's own error
	case kind == garnetworks.KindOverloaded || kind == garnetworks.KindNoGroup || kind == garnetworks.KindDeadlineUnreachable:
		ended.Rejected = 1
	case kind == garnetworks.KindCancelled:
		return
	case len(x.attemptLog) > 0:
		ended.Late = 1
	default: // refused for a reason that no group changes
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.outcomes.add(time.Now(), x.call.Model, &ended)
}

// onTime reports whether the first event and all pauses were within the route's limits.
func (x *exchange) onTime() bool {
	return x.firstEventAfter <= x.route.Objective && (x.route.MaxGap == 0 || x.maxPause <= x.route.MaxGap)
}

// returning reports whether the call states that it has waited before.
func (x *exchange) returning() bool {
	return !x.call.Deadline.IsZero() && x.call.Deadline.Sub(x.call.Received) < time.Duration((1-returnFraction)*float64(x.route.Timeout))
}

// Demands returns the demand for each model at the site; nil while that of the other nodes is
// unknown.
func (g *Gateway) Demands() []garnetworks.ModelDemand {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.peersKnown && !g.options.Alone {
		return nil
	}
	demands := g.load(time.Now()).Demands
	for i := range demands {
		for j := range g.peers.Demands {
			if p := &g.peers.Demands[j]; p.Model == demands[i].Model {
				demands[i].CallsPerSecond += p.CallsPerSecond
				demands[i].Outcomes.Add(&p.Outcomes, 1)
			}
		}
	}
	return demands
}
