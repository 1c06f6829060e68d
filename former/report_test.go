package former

import (
	"testing"
	"time"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/apportioner"
)

// Guards against shares that change without an event, and against an event with each plan.
func TestChangedSharesAreReported(t *testing.T) {
	recorder := &eventCounter{}
	var reported []apportioner.ModelState
	f := &Former{options: Options{Recorder: recorder, Apportioned: func(states []apportioner.ModelState) { reported = states }}}
	p := NewPlanner()
	f.reportShares("s", p)
	if reported != nil {
		t.Error("states before any figures")
	}
	for second := range 60 {
		p.sharesChanged = p.updateShares(second)
		f.reportShares("s", p)
	}
	if n := recorder.kinds[garnetworks.EventSharesChanged]; n != 1 {
		t.Errorf("%d events, want one", n)
	}
	if len(reported) != 2 || reported[0].OnTime > 0 || reported[0].Needed < 5 {
		t.Errorf("reported %+v", reported)
	}
}

// updateShares passes figures of which all calls to model "a" are rejected.
func (p *Planner) updateShares(second int) bool {
	const size = 20
	profile := &garnetworks.EngineProfile{Slots: 4, StepsPerPass: 1, StepTime: time.Millisecond, Models: []garnetworks.ModelProfile{
		{Name: "a", GroupSize: size, InitialShare: 0.5, TimeFactor: 1}, {Name: "b", GroupSize: size, InitialShare: 0.5, TimeFactor: 1},
	}}
	demands := []garnetworks.ModelDemand{
		{Model: "a", Outcomes: garnetworks.CallOutcomes{Rejected: 5000, OutputTokens: 50000, Objective: 2500, MaxGap: 2500}},
		{Model: "b", Outcomes: garnetworks.CallOutcomes{OnTime: 1, OutputTokens: 10, Objective: 0.5, MaxGap: 0.5}},
	}
	return p.apportioner.Update(time.Unix(int64(second), 0), apportioner.Input{
		Profile: profile, Demands: demands, Groups: map[garnetworks.ModelName]int{"a": 5, "b": 5}, Instances: 10 * size,
	})
}

// Guards against a domain that never forms a group of a model again.
func TestReserve(t *testing.T) {
	const size = 20
	member := func(group garnetworks.GroupID) []garnetworks.RegisteredServer {
		return []garnetworks.RegisteredServer{{Membership: garnetworks.Membership{Group: group}}}
	}
	for name, c := range map[string]struct {
		model   garnetworks.ModelName
		figures bool
		servers []garnetworks.RegisteredServer
		want    int
	}{
		"no figures":                {"a", false, member("b.1"), minReserve},
		"short, domain without it":  {"a", true, member("b.1"), size},
		"short, domain with it":     {"a", true, member("a.1"), minReserve},
		"enough, domain without it": {"b", true, member("a.1"), minReserve},
	} {
		t.Run(name, func(t *testing.T) {
			p := NewPlanner()
			if c.figures {
				p.updateShares(1)
			}
			r := &plan{Planner: p, counts: map[garnetworks.ModelName]int{"a": 5, "b": 5}}
			if got := r.reserve(c.servers, &garnetworks.ModelProfile{Name: c.model, GroupSize: size}); got != c.want {
				t.Errorf("%d instances, want %d", got, c.want)
			}
		})
	}
}
