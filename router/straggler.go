package router

import (
	"slices"
	"time"

	"github.com/garnetworks/garnetworks"
)

const (
	// paceWeight is the share of a new measurement in the moving averages, from 0 to 1.
	paceWeight = 0.2
	// minPaceSamples is the number of answers from which a pace is reliable.
	minPaceSamples = 8
	// minPaceGroups is the number of reliable paces that a median needs.
	minPaceGroups = 4
	// slowRatio is the ratio to the median above which a group is a straggler.
	slowRatio = 1.5
	// paceMaxAge is the age from which measurements no longer count, so that a slow group is
	// tried again (R10).
	paceMaxAge = time.Minute
	// slowWeight scales the capacity of a group that its controller marks as slow; minWeight is
	// the lower bound of any straggler's weight.
	slowWeight = 0.5
	minWeight  = 0.1
)

// pace is a group's speed as measured by this node.
type pace struct {
	// perToken and firstToken are moving averages, in seconds, of the time per token after the
	// first one and of the time to the first token.
	perToken, firstToken float64
	samples              int
	updatedAt            int64
	// ratio is perToken over the median of the model's groups; 0 if unknown.
	ratio float64
	// weight scales the group's capacity, in (0, 1].
	weight float64
}

// add adds the measurements of a complete answer.
func (p *pace) add(now int64, r garnetworks.AttemptResult) {
	if r.Phase != garnetworks.PhaseDone || r.Tokens < 2 || r.FirstToken <= 0 {
		return
	}
	perToken := (r.Elapsed - r.FirstToken).Seconds() / float64(r.Tokens-1)
	firstToken := r.FirstToken.Seconds()
	p.updatedAt = now
	p.samples++
	if p.samples == 1 {
		p.perToken, p.firstToken = perToken, firstToken
		return
	}
	p.perToken += paceWeight * (perToken - p.perToken)
	p.firstToken += paceWeight * (firstToken - p.firstToken)
}

// reliable reports whether there are enough recent measurements.
func (p *pace) reliable(now int64) bool {
	return p.samples >= minPaceSamples && now-p.updatedAt < int64(paceMaxAge)
}

// lowerMedian sorts the values and returns their lower median, or 0 if there are too few.
func lowerMedian(values []float64) float64 {
	if len(values) < minPaceGroups {
		return 0
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}

// updatePaceRatio compares the group with the median of its model's groups (R10).
func (g *group) updatePaceRatio(now int64, median float64) {
	p := &g.pace
	p.ratio = 0
	p.weight = 1
	if g.view.Slow {
		p.weight = slowWeight
	}
	if median <= 0 || !p.reliable(now) {
		return
	}
	p.ratio = p.perToken / median
	if p.ratio > slowRatio {
		p.weight = max(minWeight, min(p.weight, 1/(p.ratio*p.ratio)))
	}
}

// Straggler is a group that answers more slowly than the other groups of its model, as
// measured by one node.
type Straggler struct {
	Group garnetworks.GroupID
	Zone  garnetworks.ZoneID
	// Ratio is the time per token over that of the median group; above 1.5.
	Ratio float64
	// Samples is the number of measured answers.
	Samples int
}
