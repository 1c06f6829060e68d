// Package estimator estimates from paired measurements, of which larger values are better,
// which of two versions is better. It does no I/O and uses a fixed seed, so that results are
// reproducible.
package estimator

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
	"gonum.org/v1/gonum/stat/sampleuv"
)

const (
	// resamples is the number of bootstrap samples. It is large enough that the bounds of
	// the interval hardly depend on the seed.
	resamples = 10_000
	// tailProbability is the probability that the true mean is below the confidence interval,
	// and likewise that it is above: the interval is one of 95 % confidence.
	tailProbability = 0.025
	// MinPairs is the number of pairs below which no interval is given: its bounds would
	// nearly be the smallest and the largest difference.
	MinPairs = 6
)

// Estimate is the mean of paired differences with its confidence interval.
type Estimate struct {
	// Pairs is the number of paired values, Old and New are the means of the two versions.
	Pairs int     `json:"pairs"`
	Old   float64 `json:"old"`
	New   float64 `json:"new"`
	// Difference is the mean of new minus old.
	Difference float64 `json:"difference"`
	// Low and High are the bounds of the confidence interval; both are nil with fewer than
	// MinPairs pairs.
	Low  *float64 `json:"low,omitempty"`
	High *float64 `json:"high,omitempty"`
}

// New estimates the difference of values that are paired by index. Both slices must have the
// same length.
func New(oldValues, newValues []float64) Estimate {
	e := Estimate{Pairs: len(oldValues)}
	if e.Pairs == 0 {
		return e
	}
	e.Old, e.New = stat.Mean(oldValues, nil), stat.Mean(newValues, nil)
	e.Difference = e.New - e.Old
	if e.Pairs < MinPairs {
		return e
	}
	differences := make([]float64, e.Pairs)
	for i := range oldValues {
		differences[i] = newValues[i] - oldValues[i]
	}
	low, high := bootstrap(differences)
	e.Low, e.High = &low, &high
	return e
}

// bootstrap returns the expanded percentile interval (Hesterberg, 2015) of the mean of values.
// A plain percentile interval of few values is too narrow; expandedTail corrects for it.
func bootstrap(values []float64) (low, high float64) {
	source := rand.NewPCG(1, 2)
	index := sampleuv.IIDer{Dist: uniformIndex{rand.New(source), len(values)}}
	means := make([]float64, resamples)
	sample := make([]float64, len(values))
	for i := range means {
		index.Sample(sample)
		for j, k := range sample {
			sample[j] = values[int(k)]
		}
		means[i] = stat.Mean(sample, nil)
	}
	slices.Sort(means)
	tailFraction := expandedTail(len(values))
	return stat.Quantile(tailFraction, stat.Empirical, means, nil), stat.Quantile(1-tailFraction, stat.Empirical, means, nil)
}

// expandedTail returns the fraction of the resamples beyond each bound for n values. In place
// of the normal quantile it takes that of Student's distribution, since the variance is
// estimated from few values, times sqrt(n/(n-1)), since the variance of the resamples divides
// by n instead of n-1.
func expandedTail(n int) float64 {
	studentT := distuv.StudentsT{Sigma: 1, Nu: float64(n - 1)}
	expandedQuantile := math.Sqrt(float64(n)/float64(n-1)) * studentT.Quantile(tailProbability)
	return distuv.UnitNormal.CDF(expandedQuantile)
}

// uniformIndex draws indices below n uniformly.
type uniformIndex struct {
	random *rand.Rand
	n      int
}

// Rand returns a random index; it implements distuv.Rander.
func (u uniformIndex) Rand() float64 { return float64(u.random.IntN(u.n)) }

// inconclusive reports whether the interval is missing or contains zero.
func (e *Estimate) inconclusive() bool {
	return e.Low == nil || *e.Low <= 0 && *e.High >= 0
}

// Interval formats the confidence interval with the given number of decimals; "-" if there is
// none.
func (e *Estimate) Interval(digits int) string {
	if e.Low == nil {
		return "-"
	}
	return fmt.Sprintf("%+.*f to %+.*f", digits, *e.Low, digits, *e.High)
}

// Verdict says which version is better, or why that can't be told: there are too few pairs for
// an interval, or it contains zero.
func (e *Estimate) Verdict() string {
	switch {
	case e.Low == nil:
		return "too few pairs"
	case e.inconclusive():
		return "not told apart"
	case e.Difference > 0:
		return "new is better"
	}
	return "old is better"
}
