package experimenter_test

import (
	"testing"

	"github.com/garnetworks/garnetworks/experimenter"
)

func replay(t *testing.T, pattern, policy string, seed uint64) *experimenter.Result {
	t.Helper()
	p := experimenter.Patterns()[pattern]
	results, err := experimenter.Run(&p, policy, seed)
	if err != nil {
		t.Fatal(err)
	}
	return results[""]
}

// Guards against a scheduler that serves users worse than sending each call at once to the
// group with the fewest calls of the node.
func TestPoliciesUnderLoad(t *testing.T) {
	cases := map[string]struct {
		// gain is the smallest gain in the earned share over the baseline.
		gain float64
		// share is the smallest share that the scheduler must earn.
		share float64
	}{
		"calm":       {gain: 0, share: 0.95},
		"overload":   {gain: 0.3, share: 0.65},
		"burst":      {gain: 0.05, share: 0.8},
		"losses":     {gain: 0, share: 0.9},
		"many-nodes": {gain: 0.25, share: 0.8},
	}
	for pattern, c := range cases {
		t.Run(pattern, func(t *testing.T) {
			const seeds = 2
			gain, share := 0.0, 0.0
			for seed := uint64(1); seed <= seeds; seed++ {
				ours, base := replay(t, pattern, "scheduler", seed), replay(t, pattern, "least-running", seed)
				t.Logf("scheduler %.3f (on time %d, late %d, refused %d, failed %d), least-running %.3f (%d, %d, %d, %d)",
					ours.Share(), ours.OnTime, ours.Late, ours.Refused, ours.Failed, base.Share(), base.OnTime, base.Late, base.Refused, base.Failed)
				gain += (ours.Share() - base.Share()) / seeds
				share += ours.Share() / seeds
			}
			if gain < c.gain || share < c.share {
				t.Errorf("the scheduler earns %.3f, %.3f more than the baseline; want %.2f and %.2f", share, gain, c.share, c.gain)
			}
		})
	}
}

// Guards against returning callers that are rejected until they give up, or displace calls on time.
func TestReturningCallersAreServed(t *testing.T) {
	for _, pattern := range []string{"overload", "burst", "losses"} {
		t.Run(pattern, func(t *testing.T) {
			const seeds = 3
			var unserved, onTime [2]int
			for seed := uint64(1); seed <= seeds; seed++ {
				for i, policy := range []string{"scheduler", "unstated"} {
					r := replay(t, pattern, policy, seed)
					unserved[i] += r.Refused + r.Failed
					onTime[i] += r.OnTime
				}
			}
			t.Logf("unserved %d, without stated times %d; on time %d and %d", unserved[0], unserved[1], onTime[0], onTime[1])
			if unserved[0] > unserved[1] || onTime[0] < onTime[1] {
				t.Errorf("%d calls are unserved and %d on time; without stated times, %d and %d", unserved[0], onTime[0], unserved[1], onTime[1])
			}
		})
	}
}

func TestReplayIsDeterministic(t *testing.T) {
	one, two := replay(t, "burst", "scheduler", 3), replay(t, "burst", "scheduler", 3)
	if one.Earned != two.Earned || one.OnTime != two.OnTime || one.Refused != two.Refused {
		t.Errorf("two replays give %+v and %+v", one, two)
	}
}

func TestUnknownPolicy(t *testing.T) {
	p := experimenter.Patterns()["calm"]
	if _, err := experimenter.Run(&p, "none", 1); err == nil {
		t.Error("an unknown policy was accepted")
	}
}

// Guards against rejecting mainly one kind, one workspace or the largest calls under overload.
func TestNobodyIsStarvedUnderOverload(t *testing.T) {
	p := experimenter.Patterns()["overload"]
	results, err := experimenter.Run(&p, "scheduler", 1)
	if err != nil {
		t.Fatal(err)
	}
	served := func(r *experimenter.Result) float64 { return float64(r.OnTime+r.Late) / float64(r.Requests) }
	all := served(results[""])
	for name, r := range results {
		if served(r) < all/2 {
			t.Errorf("%q: %.2f are served, %.2f of all", name, served(r), all)
		}
	}
	if len(results) < 10 {
		t.Errorf("only %d classes were counted", len(results))
	}
}
