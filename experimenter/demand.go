package experimenter

import (
	"math"
	"time"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/apportioner"
)

// demand holds the calls of a pattern and how many of them were on time. Groups reject the calls
// beyond their rate.
type demand struct {
	pattern *GroupPattern
	calls   map[garnetworks.ModelName]garnetworks.CallOutcomes
	// arrived and served are sums over the steps.
	arrived, served map[garnetworks.ModelName]float64
}

func newDemand(pattern *GroupPattern) *demand {
	d := &demand{pattern: pattern, calls: pattern.Calls, arrived: make(map[garnetworks.ModelName]float64), served: make(map[garnetworks.ModelName]float64)}
	if d.calls == nil {
		d.calls = make(map[garnetworks.ModelName]garnetworks.CallOutcomes)
		for i := range pattern.Profile.Models {
			m := &pattern.Profile.Models[i]
			o := garnetworks.CallOutcomes{OnTime: 1, PromptTokens: 1000, OutputTokens: 100, Objective: 0.4, MaxGap: 0.3}
			o.Scale(float32(pattern.RequiredGroups[m.Name] * apportioner.GroupRate(&pattern.Profile, m, &o)))
			d.calls[m.Name] = o
		}
	}
	return d
}

// at returns the figures at a time while the numbers of groups serve.
func (d *demand) at(now time.Duration, serving map[garnetworks.ModelName]int) []garnetworks.ModelDemand {
	var demands []garnetworks.ModelDemand
	efficiency := d.pattern.Efficiency
	if efficiency == 0 {
		efficiency = 1
	}
	for i := range d.pattern.Profile.Models {
		m := &d.pattern.Profile.Models[i]
		o := d.calls[m.Name]
		o.Scale(float32(d.factor(now, m.Name)))
		served := apportioner.Served(&d.pattern.Profile, m, &o, float64(serving[m.Name])*efficiency)
		calls := o.Ended()
		d.arrived[m.Name] += calls
		d.served[m.Name] += calls * served
		o.OnTime, o.Rejected = float32(calls*served), float32(calls*(1-served))
		demands = append(demands, garnetworks.ModelDemand{Model: m.Name, CallsPerSecond: calls, Outcomes: o})
	}
	return demands
}

// factor is the rate of the model's calls relative to the mean.
func (d *demand) factor(now time.Duration, model garnetworks.ModelName) float64 {
	factor := 1.0
	if d.pattern.WaveLength > 0 {
		factor += d.pattern.Swing * math.Sin(2*math.Pi*float64(now-firstCall)/float64(d.pattern.WaveLength))
	}
	for _, b := range d.pattern.Bursts {
		if b.Kind == string(model) && now >= b.At && now < b.At+b.For {
			factor *= b.Factor
		}
	}
	return factor
}

// onTime returns the fraction of each model's calls on time.
func (d *demand) onTime() map[garnetworks.ModelName]float64 {
	fractions := make(map[garnetworks.ModelName]float64)
	for model, n := range d.arrived {
		fractions[model] = d.served[model] / n
	}
	return fractions
}
