package estimator_test

import (
	"math/rand/v2"
	"testing"

	"github.com/garnetworks/garnetworks/estimator"
)

// The interval must cover the known true difference in about 95 of 100 comparisons, with
// few pairs as with many; a wrong width keeps useless changes or drops useful ones.
func TestIntervalCoverage(t *testing.T) {
	const comparisons, trueDifference, stdDev = 400, 0.01, 0.05
	cases := map[string]int{"minimum": estimator.MinPairs, "eight": 8, "twenty": 20}
	for name, pairs := range cases {
		t.Run(name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(3, 4))
			covered := 0
			for range comparisons {
				before, after := make([]float64, pairs), make([]float64, pairs)
				for i := range before {
					before[i] = 0.7 + 0.1*random.NormFloat64()
					after[i] = before[i] + trueDifference + stdDev*random.NormFloat64()
				}
				e := estimator.New(before, after)
				if *e.Low <= trueDifference && trueDifference <= *e.High {
					covered++
				}
			}
			if coverage := float64(covered) / comparisons; coverage < 0.92 || coverage > 0.98 {
				t.Errorf("the interval covered the true difference in %.3f of the comparisons", coverage)
			}
		})
	}
}

func TestEstimate(t *testing.T) {
	cases := map[string]struct {
		before, after []float64
		difference    float64
		interval      bool
		verdict       string
	}{
		"none":                        {nil, nil, 0, false, "too few pairs"},
		"one pair":                    {[]float64{1}, []float64{2}, 1, false, "too few pairs"},
		"same difference everywhere":  {[]float64{1, 2, 3, 4, 5, 6}, []float64{2, 3, 4, 5, 6, 7}, 1, true, "new is better"},
		"no difference":               {[]float64{1, 2, 3, 4, 5, 6}, []float64{1, 2, 3, 4, 5, 6}, 0, true, "not told apart"},
		"pairs vary widely, together": {[]float64{1, 9, 4, 7, 2, 6}, []float64{0.9, 8.8, 3.9, 6.9, 1.9, 5.9}, -0.7 / 6, true, "old is better"},
		"five pairs":                  {[]float64{1, 2, 3, 4, 5}, []float64{2, 3, 4, 5, 6}, 1, false, "too few pairs"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			e := estimator.New(c.before, c.after)
			if deviation := e.Difference - c.difference; deviation > 1e-9 || deviation < -1e-9 {
				t.Errorf("the difference is %g", e.Difference)
			}
			if (e.Low != nil) != c.interval || e.Verdict() != c.verdict {
				t.Errorf("interval %v, verdict %q", e.Interval(4), e.Verdict())
			}
		})
	}
}
