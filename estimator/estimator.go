// Package estimator tells from paired measurements which of two versions is better. It is
// pure, and its random draws repeat.
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
	// resamples is the number of bootstrap samples; with 10,000 the interval's ends
	// move by less than a hundredth of its width from one set of samples to another.
	resamples = 10_000
	// tail is the part of the comparisons in which the truth lies beyond each end of the
	// interval.
	tailProbability = 0.025
	// MinPairs is the number of pairs below which no interval is given: the ends
	// would be those of the differences themselves. A commit's three pairs with itself
	// agreed in sign on 2 of 12 days.
	MinPairs = 6
)

// Estimate is the mean of paired differences.
type Estimate struct {
	Pairs int     `json:"pairs"`
	Old   float64 `json:"old"`
	New   float64 `json:"new"`
	// Difference is the mean of new less old.
	Difference float64 `json:"difference"`
	// Low and High are the ends of its confidence interval; both absent with fewer
	// than LeastPairs pairs.
	Low  *float64 `json:"low,omitempty"`
	High *float64 `json:"high,omitempty"`
}

// New estimates the difference of values that are paired by their index.
func New(before, after []float64) Estimate {
	e := Estimate{Pairs: len(before)}
	if e.Pairs == 0 {
		return e
	}
	e.Old, e.New = stat.Mean(before, nil), stat.Mean(after, nil)
	e.Difference = e.New - e.Old
	if e.Pairs < MinPairs {
		return e
	}
	differences := make([]float64, e.Pairs)
	for i := range before {
		differences[i] = after[i] - before[i]
	}
	low, high := bootstrap(differences)
	e.Low, e.High = &low, &high
	return e
}

// bootstrap returns the expanded percentile interval of the mean of values. A plain
// percentile interval of few values is too narrow, since their spread is taken about
// their own mean and is itself a guess; so the ends are taken further out, as far as
// Student's distribution is wider than the normal one. Its source is fixed, so that the
// same plays give the same figures.
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

// expandedTail is the part of the resamples beyond each end for n values.
func expandedTail(n int) float64 {
	studentT := distuv.StudentsT{Sigma: 1, Nu: float64(n - 1)}
	expandedQuantile := math.Sqrt(float64(n)/float64(n-1)) * studentT.Quantile(tailProbability)
	return distuv.UnitNormal.CDF(expandedQuantile)
}

// uniformIndex draws indices below n.
type uniformIndex struct {
	random *rand.Rand
	n      int
}

// Rand implements the source of independent draws.
func (u uniformIndex) Rand() float64 { return float64(u.random.IntN(u.n)) }

// holdsZero reports whether the interval leaves the sign open.
func (e *Estimate) containsZero() bool {
	return e.Low == nil || *e.Low <= 0 && *e.High >= 0
}

// Interval is the confidence interval as text.
func (e *Estimate) Interval(digits int) string {
	if e.Low == nil {
		return "-"
	}
	return fmt.Sprintf("%+.*f to %+.*f", digits, *e.Low, digits, *e.High)
}

// Verdict says which version is better, if the pairs tell.
func (e *Estimate) Verdict() string {
	switch {
	case e.Low == nil:
		return "too few pairs"
	case e.containsZero():
		return "not told apart"
	case e.Difference > 0:
		return "new is better"
	}
	return "old is better"
}
