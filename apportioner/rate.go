package apportioner

import (
	"math"
	"time"

	"github.com/garnetworks/garnetworks"
)

const (
	// TargetFraction is the fraction of a model's calls on time with which its groups are enough.
	// Calls at groups that are lost are late with any number of groups.
	TargetFraction = 0.95
	// networkTime is the latency between client and group, subtracted from the objectives.
	networkTime = 20 * time.Millisecond
	// imbalance is how much more or less than the mean some groups get: nodes place calls by loads
	// that are up to 300 ms old. Without it, the profile predicts 0.93 of the calls on time where
	// 0.7 are: 11 calls per second with 1,500 prompt tokens to each group.
	imbalance = 0.25
	// residualPasses is the mean time, in passes, that a call waits for the running pass.
	residualPasses = 0.5
	// bisections is the number of steps in which an interval is halved: to a millionth.
	bisections = 20
)

// work is what a mean call of a model takes at a group, in seconds.
type work struct {
	// steps is the time of a pass without calls and prompts, perCall the additional time for each
	// call in the batch, prefill the time to process the call's prompt.
	steps, perCall, prefill float64
	// passes is the number of passes that the call takes.
	passes float64
	slots  float64
	// objective and maxGap are 0 if the calls have none.
	objective, maxGap float64
}

// workOf returns the work of the model's calls. Without a call it uses the profile's mean lengths.
func workOf(profile *garnetworks.EngineProfile, m *garnetworks.ModelProfile, o *garnetworks.CallOutcomes) work {
	prompt, output := float64(profile.MeanPromptTokens), float64(profile.MeanOutputTokens)
	w := work{slots: float64(profile.Slots)}
	if n := o.Ended(); n > 0 {
		prompt, output = float64(o.PromptTokens)/n, float64(o.OutputTokens)/n
		w.objective, w.maxGap = float64(o.Objective)/n, float64(o.MaxGap)/n
	}
	steps := float64(max(1, profile.StepsPerPass))
	w.steps = m.TimeFactor * steps * profile.StepTime.Seconds()
	context := (prompt + output/2) / 1000
	w.perCall = m.TimeFactor * steps * (profile.StepTimePerCall.Seconds() + context*profile.StepTimePerThousandTokens.Seconds())
	if profile.PrefillRate > 0 {
		w.prefill = m.TimeFactor * prompt / profile.PrefillRate
	}
	w.passes = max(1, math.Ceil(output/steps))
	return w
}

// onTime returns the fraction of calls whose first event and pauses are on time at groups that get
// the rate of calls per second on average (rule P1).
func (w *work) onTime(rate float64) float64 {
	return (w.onTimeAt(rate*(1-imbalance)) + w.onTimeAt(rate) + w.onTimeAt(rate*(1+imbalance))) / 3
}

// onTimeAt returns the same for a group with this rate. Times are taken as normally distributed.
func (w *work) onTimeAt(rate float64) float64 {
	utilization := rate * w.prefill
	// A pass takes (steps + perCall x calls)/(1-utilization), and the calls in the batch are
	// rate x (passes + residualPasses) x pass.
	inPasses := rate * (w.passes + residualPasses)
	denominator := 1 - utilization - inPasses*w.perCall
	if utilization >= 1 || denominator <= 0 {
		return 0
	}
	pass := w.steps / denominator
	if inPasses*pass > w.slots {
		return 0
	}
	variance := rate * pass * w.prefill * w.prefill / (1 - utilization*utilization)
	// A call is more likely to arrive during a long pass than during a short one.
	seen := pass + variance/max(pass, 1e-6)
	own := pass * (1 - utilization)
	mean := residualPasses*seen + own + w.prefill + utilization*seen
	deviation := math.Sqrt(seen*seen/12 + utilization*w.prefill*seen)
	fraction := 1.0
	if w.objective > 0 {
		fraction = probability(w.objective-networkTime.Seconds()-mean, deviation)
	}
	if w.maxGap > 0 {
		fraction *= math.Pow(probability(w.maxGap-pass, math.Sqrt(variance)), w.passes-1)
	}
	return fraction
}

// probability returns the probability that a normally distributed error is below the margin.
func probability(margin, deviation float64) float64 {
	if deviation <= 0 {
		deviation = 1e-6
	}
	return math.Erfc(-margin/deviation/math.Sqrt2) / 2
}

// rate returns the highest rate of calls of a group with at least TargetFraction on time; if no
// rate has as many, one call at a time.
func (w *work) rate() float64 {
	alone := w.passes*(w.steps+w.perCall) + w.prefill
	if alone <= 0 {
		return math.Inf(1)
	}
	low, high := 0.0, w.slots/alone
	for range bisections {
		if middle := (low + high) / 2; w.onTime(middle) >= TargetFraction {
			low = middle
		} else {
			high = middle
		}
	}
	return max(low, min(1, w.slots)/alone)
}

// served returns the fraction of calls on time if groups get the rate of calls per second and
// reject the calls beyond their own rate.
func (w *work) served(rate float64) float64 {
	most := w.rate()
	if rate <= most {
		return max(w.onTime(rate), TargetFraction)
	}
	return TargetFraction * most / rate
}

// GroupRate returns the calls per second that a group of the model serves on time (rule P1).
func GroupRate(profile *garnetworks.EngineProfile, m *garnetworks.ModelProfile, o *garnetworks.CallOutcomes) float64 {
	w := workOf(profile, m, o)
	return w.rate()
}

// Served returns the fraction of the model's calls on time if they are divided between the groups
// and each group rejects calls beyond its rate.
func Served(profile *garnetworks.EngineProfile, m *garnetworks.ModelProfile, o *garnetworks.CallOutcomes, groups float64) float64 {
	if o.Ended() == 0 {
		return 1
	}
	if groups <= 0 {
		return 0
	}
	w := workOf(profile, m, o)
	return w.served(o.Ended() / groups)
}
