package former

import (
	"math"
	"time"

	"github.com/garnetworks/garnetworks"
)

const (
	// workMemory is the time over which observed work is averaged: waves of some seconds
	// shall not close groups.
	averagingTime = 3 * time.Second
	// easyUse and fullUse are the parts of the places of a model's groups that its calls
	// would fill: up to the first one the stated shares hold, from the second one on the
	// observed ones, and between them a mean of both. Groups beyond what the calls need are
	// the reserve that the next loss asks for, and can't be had back as fast as they are
	// given up.
	lowUtilization  = 0.7
	highUtilization = 1.5
	// statedGroups is the weight of the stated shares beside the observed work, as the work
	// of so many groups of the mean size: they count while little comes.
	priorGroups = 1
	// shareChange is the factor by which a model's share must differ from the one in use
	// for the observed shares to replace it: each change of a group costs its callers a few
	// seconds of it.
	minShareChange = 1.3
)

// workload is the observed work of a service's models: the calls that they would keep
// running if all were served.
type demandTracker struct {
	at    time.Time
	calls map[garnetworks.ModelName]float64
	// shares are those in use; none while the stated ones are.
	shares map[garnetworks.ModelName]float64
}

// take averages what is observed now, and changes the shares if they no longer fit.
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
// Load pattern: the stated shares are old. Half of the instances were in groups of the large
// model, which gets 8 calls in 100; in a burst the small one's calls were turned away beside
// 150 free places of the large one.
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

// fittingShares returns the stated shares where the models' calls find their places with
// them, and goes over to the observed ones as they don't.
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

// observedShares returns the models' shares by the calls that they keep running, and by the
// stated shares as far as these count. A call takes a slot of a group, and so as many
// instances as the group has; a model's share is that of the instances that its calls need.
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

// differ reports whether a model's share is another one than that in use.
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
