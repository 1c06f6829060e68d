package experimenter_test

import (
	"testing"

	"github.com/garnetworks/garnetworks/experimenter"
)

// maxShortEngines is the largest number of engines that short runs simulate.
const maxShortEngines = 200

// Guards against lost groups that return only after a load instead of a warm start, which
// takes detection (0.6 s), join (1.6 s) and opening (0.3 s).
func TestGroupsUnderLosses(t *testing.T) {
	const median = 50
	for name, pattern := range experimenter.GroupPatterns() {
		t.Run(name, func(t *testing.T) {
			if testing.Short() && pattern.Domains*pattern.EnginesPerDomain > maxShortEngines {
				t.Skip("a replay of that size takes minutes under the race detector")
			}
			ours, err := experimenter.RunGroups(&pattern, "former", 1)
			if err != nil {
				t.Fatal(err)
			}
			base, err := experimenter.RunGroups(&pattern, "naive", 1)
			if err != nil {
				t.Fatal(err)
			}
			for policy, r := range map[string]*experimenter.GroupResult{"former": ours, "naive": base} {
				t.Logf("%s: %d losses, down p50 %d ms, p75 %d, worst %d, idle %s", policy, r.Losses,
					r.Downtime.ValueAtQuantile(median), r.Downtime.ValueAtQuantile(75), r.Downtime.Max(), r.Idle)
			}
			const warm = 2500
			got, naive := ours.Downtime.ValueAtQuantile(median), base.Downtime.ValueAtQuantile(median)
			if got > warm || got > naive/2 {
				t.Errorf("median downtime of a lost group is %d ms, %d ms with the baseline", got, naive)
			}
			if ours.Idle >= base.Idle {
				t.Errorf("engines are idle for %s, and for %s with the baseline", ours.Idle, base.Idle)
			}
		})
	}
}

func TestUnknownGroupPolicy(t *testing.T) {
	pattern := experimenter.GroupPatterns()["lost-engines"]
	if _, err := experimenter.RunGroups(&pattern, "none", 1); err == nil {
		t.Error("an unknown policy was accepted")
	}
}
