package former_test

import (
	"testing"
	"time"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/apportioner"
)

// newCompetingSimulation has domains of 37, each with a group of 16 and five of 4, and calls of the
// larger model at the rate of more groups than there are.
func newCompetingSimulation(domains int) *simulation {
	w := newSimulation(domains, 37)
	w.profile = &garnetworks.EngineProfile{
		Slots: 30, StepsPerPass: 7, StepTime: 5950 * time.Microsecond, StepTimePerCall: 44500 * time.Nanosecond, PrefillRate: 50700,
		LoadsPerSecond: 18, MaxConcurrentLoads: 28,
		Models: []garnetworks.ModelProfile{
			{Name: "large", GroupSize: 16, InitialShare: 0.44, TimeFactor: 1.3, LoadTime: 16 * time.Second, WarmLoadTime: 1600 * time.Millisecond},
			{Name: "small", GroupSize: 4, InitialShare: 0.56, TimeFactor: 0.6, LoadTime: 12 * time.Second, WarmLoadTime: 1100 * time.Millisecond},
		},
	}
	w.run(60 * time.Second)
	return w
}

// compete makes calls arrive at the rates of numbers of groups.
func (w *simulation) compete(large, small float64) {
	w.demands = func() []garnetworks.ModelDemand {
		var demands []garnetworks.ModelDemand
		serving := w.serving()
		for i, needed := range []float64{large, small} {
			m := &w.profile.Models[i]
			o := garnetworks.CallOutcomes{OnTime: 1, PromptTokens: 1000, OutputTokens: 150, Objective: 0.3, MaxGap: 0.3}
			o.Scale(float32(needed * apportioner.GroupRate(w.profile, m, &o)))
			served := float32(apportioner.Served(w.profile, m, &o, float64(serving[m.Name])))
			o.OnTime, o.Rejected = o.OnTime*served, o.OnTime*(1-served)
			demands = append(demands, garnetworks.ModelDemand{Model: m.Name, Outcomes: o})
		}
		return demands
	}
}

// Guards against a model that stays short of groups beside another one with more than it needs.
func TestSmallGroupsBecomeALargeOne(t *testing.T) {
	w := newCompetingSimulation(2)
	if got := w.serving(); got["large"] != 2 || got["small"] != 10 {
		t.Fatalf("serving %v at the start", got)
	}
	w.compete(4, 4)
	w.run(60 * time.Second)
	checkRules(t, w)
	if got := w.serving(); got["large"] < 3 || got["small"] < 4 {
		t.Errorf("serving %v, want 3 large groups and at least 4 small ones", got)
	}
}

// Guards against closing groups for another model beside a domain's return or a new lease.
func TestNoGroupsAreClosedBesideOtherChanges(t *testing.T) {
	cut := func(w *simulation, unreachable bool) {
		for _, e := range w.engines {
			if e.Domain == "d1" {
				e.unresponsive, e.partitioned = unreachable, unreachable
			}
		}
	}
	for name, during := range map[string]func(w *simulation){
		"unreachable domain": func(w *simulation) {
			cut(w, true)
			w.run(9 * time.Second)
			cut(w, false)
			w.run(2 * time.Second)
		},
		"lease changes": func(w *simulation) {
			for range 10 {
				w.term++
				w.run(2 * time.Second)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			w := newCompetingSimulation(3)
			w.compete(5, 4)
			w.run(5 * time.Second) // the shares are about to change
			closed := w.closeOrders
			during(w)
			if n := w.closeOrders - closed; n > 0 {
				t.Errorf("%d groups were closed", n)
			}
			checkRules(t, w)
			w.run(60 * time.Second)
			if got := w.serving(); got["large"] < 4 {
				t.Errorf("serving %v in the end, want 4 large groups", got)
			}
		})
	}
}

// Guards against small groups that leave only their own model on a domain's hosts.
func TestDomainWithoutTheModelFormsItsGroup(t *testing.T) {
	w := newCompetingSimulation(2)
	w.compete(4, 4)
	for _, e := range w.engines {
		if e.Domain != "d1" {
			continue
		}
		if e.Model == "large" {
			e.restart()
		}
		e.Staged, e.staging = []garnetworks.ModelName{"small"}, ""
	}
	w.run(60 * time.Second)
	checkRules(t, w)
	if got := w.serving(); got["large"] != 3 || got["small"] < 4 {
		t.Errorf("serving %v, want 3 large groups and at least 4 small ones", got)
	}
}
