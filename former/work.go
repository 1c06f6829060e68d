package former

import (
	"math"
	"time"

	"github.com/garnetworks/garnetworks"
)

const (
	// averagingTime is the time constant of the average of the demand. Bursts of some seconds
	// should not close groups.
	averagingTime = 3 * time.Second
	// lowUtilization and highUtilization are calls per slot of a model's groups. Up to the
	// first the configured shares apply, from the second the observed ones, and in between
	// a mean of both. Groups beyond the demand are a reserve for the next loss and take
	// longer to get back than to give up.
	lowUtilization  = 0.7
	highUtilization = 1.5
	// priorGroups is the weight of the configured shares in the observed ones, in groups of
	// the mean size; it dominates while the demand is low.
	priorGroups = 1
	// minShareChange is the factor by which a model's share must differ from the one in use
	// before it is replaced, since each change of a group costs seconds of its capacity.
	minShareChange = 1.3
)

// demandTracker averages the demand of a service's models: the calls that would be running if
// all were served.
type demandTracker struct {
	at    time.Time
	calls map[garnetworks.ModelName]float64
	// shares are those in use; nil while the configured ones are.
	shares map[garnetworks.ModelName]float64
}

// update averages the observed demand and replaces the shares if they differ too much.
func (w *demandTracker) update(now time.Time, profile *garnetworks.EngineProfile, observed map[garnetworks.ModelName]float64, groups map[garnetworks.ModelName]int) {
	if len(observed) == 0 {
		return
	}
	if w.calls == nil {
		w.calls = make(map[garnetworks.ModelName]float64)
	}
	alpha := 1.0
	if !w.at.IsZero() {
		alpha = 1 - math.Exp(-float64(now.Sub(w.at))/float64(averagingTime))
	}
	w.at = now
	for model, calls := range observed {
		w.calls[model] += alpha * (calls - w.calls[model])
	}
	if shares := blendedShares(profile, w.calls, groups); sharesDiffer(shares, w.profile(profile)) {
		w.shares = shares
	}
}

// profile returns the profile with the shares in use.
//
// Load pattern: the configured shares are outdated. Half of the instances were in groups of a
// model with 8 of 100 calls, and a burst of calls of the other model was rejected beside 150 free
// slots.
func (w *demandTracker) profile(configured *garnetworks.EngineProfile) *garnetworks.EngineProfile {
	if w.shares == nil {
		return configured
	}
	current := *configured
	current.Models = make([]garnetworks.ModelProfile, len(configured.Models))
	for i, m := range configured.Models {
		if share, ok := w.shares[m.Name]; ok {
			m.InitialShare = share
		}
		current.Models[i] = m
	}
	return &current
}

// blendedShares returns the configured shares while the demand fits into the slots, and moves
// to the observed ones as utilization rises.
func blendedShares(profile *garnetworks.EngineProfile, calls map[garnetworks.ModelName]float64, groups map[garnetworks.ModelName]int) map[garnetworks.ModelName]float64 {
	observed := observedShares(profile, calls)
	if observed == nil {
		return nil
	}
	configured, utilization := 0.0, 0.0
	for i := range profile.Models {
		configured += profile.Models[i].InitialShare
	}
	for i := range profile.Models {
		m := &profile.Models[i]
		slots := max(groups[m.Name], 1) * profile.Slots
		utilization = max(utilization, calls[m.Name]/float64(max(slots, 1)))
	}
	weight := min(max((utilization-lowUtilization)/(highUtilization-lowUtilization), 0), 1)
	total := 0.0
	shares := make(map[garnetworks.ModelName]float64)
	for i := range profile.Models {
		m := &profile.Models[i]
		shares[m.Name] = math.Pow(m.InitialShare/configured, 1-weight) * math.Pow(observed[m.Name], weight)
		total += shares[m.Name]
	}
	for model := range shares {
		shares[model] /= total
	}
	return shares
}

// observedShares returns the models' shares by the instances that their running calls need,
// weighted with the configured shares. A call takes a slot of a group, and so as many
// instances as the group has. It returns nil without demand or configured shares.
func observedShares(profile *garnetworks.EngineProfile, calls map[garnetworks.ModelName]float64) map[garnetworks.ModelName]float64 {
	configured, sizes, needs := 0.0, 0.0, 0.0
	for i := range profile.Models {
		m := &profile.Models[i]
		configured += m.InitialShare
		sizes += float64(m.GroupSize)
		needs += calls[m.Name] * float64(m.GroupSize)
	}
	if configured <= 0 || needs <= 0 {
		return nil
	}
	prior := priorGroups * float64(profile.Slots) * sizes / float64(len(profile.Models))
	shares := make(map[garnetworks.ModelName]float64)
	for i := range profile.Models {
		m := &profile.Models[i]
		shares[m.Name] = (calls[m.Name]*float64(m.GroupSize) + prior*m.InitialShare/configured) / (needs + prior)
	}
	return shares
}

// sharesDiffer reports whether a model's share differs from the one in use by minShareChange.
func sharesDiffer(shares map[garnetworks.ModelName]float64, current *garnetworks.EngineProfile) bool {
	total := 0.0
	for i := range current.Models {
		total += current.Models[i].InitialShare
	}
	for i := range current.Models {
		share, ok := shares[current.Models[i].Name]
		before := current.Models[i].InitialShare / total
		if ok && (share > before*minShareChange || share*minShareChange < before) {
			return true
		}
	}
	return false
}
