package gateway

import (
	"math"
	"testing"
	"time"

	"github.com/garnetworks/garnetworks"
)

// Guards against calls that are counted twice, for the wrong reason or not at all.
func TestRecordOutcome(t *testing.T) {
	route := &garnetworks.Route{Objective: 300 * time.Millisecond, MaxGap: 200 * time.Millisecond, Timeout: 5 * time.Second}
	for name, c := range map[string]struct {
		first, pause, left time.Duration
		status             int
		kind               garnetworks.Kind
		attempted          bool
		delegatedTo        garnetworks.NodeID
		want               garnetworks.CallOutcomes
	}{
		"on time":                 {first: 100 * time.Millisecond, status: 200, attempted: true, want: garnetworks.CallOutcomes{OnTime: 1}},
		"late first event":        {first: 400 * time.Millisecond, status: 200, attempted: true, want: garnetworks.CallOutcomes{Late: 1}},
		"long pause":              {first: 100 * time.Millisecond, pause: 250 * time.Millisecond, status: 200, attempted: true, want: garnetworks.CallOutcomes{Late: 1}},
		"broken off":              {kind: garnetworks.KindStreamBroken, attempted: true, want: garnetworks.CallOutcomes{Late: 1}},
		"rejected":                {status: 503, kind: garnetworks.KindOverloaded, want: garnetworks.CallOutcomes{Rejected: 1}},
		"no group":                {status: 503, kind: garnetworks.KindNoGroup, want: garnetworks.CallOutcomes{Rejected: 1}},
		"first attempt, jittered": {status: 503, kind: garnetworks.KindOverloaded, left: 4500 * time.Millisecond, want: garnetworks.CallOutcomes{Rejected: 1}},
		"returning":               {first: 100 * time.Millisecond, status: 200, left: 3 * time.Second, attempted: true},
		"cancelled":               {kind: garnetworks.KindCancelled, attempted: true},
		"bad key":                 {status: 401, kind: garnetworks.KindUnauthenticated},
		"engine's own error":      {status: 500, attempted: true},
		"at another node":         {first: 100 * time.Millisecond, status: 200, delegatedTo: "n2"},
	} {
		t.Run(name, func(t *testing.T) {
			g := &Gateway{}
			now := time.Now()
			x := &exchange{
				Gateway: g, route: route, service: &garnetworks.RoutedService{},
				call: &garnetworks.ProxiedCall{Model: "m", Received: now, PromptTokens: 1000, MaxTokens: 70},
			}
			x.firstEventAfter, x.maxPause, x.delegatedTo = c.first, c.pause, c.delegatedTo
			if c.left > 0 {
				x.call.Deadline = now.Add(c.left)
			}
			var err error
			if c.kind != "" {
				err = garnetworks.Errorf(c.kind, "failed")
			}
			if c.attempted {
				x.addAttempt("g", "i", now, nil)
			}
			x.recordOutcome(c.status, err)
			got := garnetworks.CallOutcomes{}
			if o := g.outcomes.models["m"]; o != nil {
				got = *o
			}
			got.Scale(float32(outcomeDecay.Seconds()))
			if got.OnTime != c.want.OnTime || got.Late != c.want.Late || got.Rejected != c.want.Rejected {
				t.Errorf("counted %+v, want %+v", got, c.want)
			}
			if n := got.Ended(); float64(got.PromptTokens) != 1000*n || float64(got.OutputTokens) != 70*n {
				t.Errorf("%v prompt and %v output tokens of %v calls", got.PromptTokens, got.OutputTokens, n)
			}
		})
	}
}

// Guards against averages that don't follow the rate of calls.
func TestOutcomeRate(t *testing.T) {
	var o outcomes
	now := time.Unix(1000, 0)
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		o.add(now, "m", &garnetworks.CallOutcomes{OnTime: 1})
	}
	demands := []garnetworks.ModelDemand{{Model: "m"}, {Model: "none"}}
	o.report(now, demands)
	if got := demands[0].Outcomes.Ended(); math.Abs(got-10) > 1 {
		t.Errorf("%.1f calls per second, want 10", got)
	}
	o.report(now.Add(time.Minute), demands)
	if got := demands[0].Outcomes.Ended(); got > 0.01 {
		t.Errorf("%.2f calls per second after a minute without any", got)
	}
}
