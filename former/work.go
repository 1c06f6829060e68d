package former

import (
	"math"
	"time"

	"github.com/garnetworks/garnetworks"
)

const (
	// workMemory is the time over which observed work is averaged: waves of some seconds
	// shall not close groups.
	workMemory = 5 * time.Second
	// statedGroups is the weight of the stated shares beside the observed work, as the work
	// of so many groups of the mean size: they count while little comes.
	statedGroups = 1
)

// workload is the observed work of a service's models: the calls that they would keep
// running if all were served.
type workload struct {
	at    time.Time
	calls map[garnetworks.ModelName]float64
}

// take averages what is observed now.
func (w *workload) take(now time.Time, observed map[garnetworks.ModelName]float64) {
	if w.calls == nil {
		w.calls = make(map[garnetworks.ModelName]float64)
	}
	part := 1.0
	if !w.at.IsZero() {
		part = 1 - math.Exp(-float64(now.Sub(w.at))/float64(workMemory))
	}
	w.at = now
	for model, calls := range observed {
		w.calls[model] += part * (calls - w.calls[model])
	}
}

// observedProfile returns the profile with the models' shares by the observed work. A call
// takes a slot of a group, and so as many instances as the group has; a model's share is
// that of the instances that its calls need.
//
// Load pattern: the stated shares are old. Half of the instances were in groups of the large
// model, which gets 8 calls in 100; in a burst the small one's calls were turned away beside
// 150 free places of the large one.
func observedProfile(profile *garnetworks.EngineProfile, calls map[garnetworks.ModelName]float64) *garnetworks.EngineProfile {
	if len(profile.Models) == 0 || len(calls) == 0 {
		return profile
	}
	stated, sizes, needs := 0.0, 0.0, 0.0
	for i := range profile.Models {
		m := &profile.Models[i]
		stated += m.Share
		sizes += float64(m.Size)
		needs += calls[m.Name] * float64(m.Size)
	}
	if stated <= 0 || needs <= 0 {
		return profile
	}
	prior := statedGroups * float64(profile.Slots) * sizes / float64(len(profile.Models))
	observed := *profile
	observed.Models = make([]garnetworks.ModelProfile, len(profile.Models))
	for i := range profile.Models {
		m := profile.Models[i]
		m.Share = (calls[m.Name]*float64(m.Size) + prior*m.Share/stated) / (needs + prior)
		observed.Models[i] = m
	}
	return &observed
}
