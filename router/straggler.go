package router

import (
	"slices"
	"time"

	"github.com/garnetworks/garnetworks"
)

const (
	paceWeight = 0.2
	// paceSamples is the number of answers before a group is judged.
	minPaceSamples = 8
	// paceGroups is the number of judged groups that a median needs.
	minPaceGroups = 4
	// slowRatio is the ratio to the median above which a group is a straggler.
	slowRatio = 1.5
	// paceMemory is the age at which measurements no longer count, so that a
	// group that recovers is tried again (R10).
	paceMaxAge = time.Minute
	// slowWeight is the capacity left to a group that its controller calls
	// slow, and leastWeight the least that any straggler keeps.
	slowWeight = 0.5
	minWeight  = 0.1
)

// pace is a group's speed by the node's own measurements.
type pace struct {
	// token and first are moving averages of the seconds for each token after
	// the first, and up to the first.
	perToken, firstToken float64
	samples              int
	updatedAt            int64
	// ratio is token over the median of the model's groups; 0 if not judged.
	ratio float64
	// weight scales the group's capacity, in (0, 1].
	weight float64
}

// add takes the times of a whole answer.
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

// judged reports whether the measurements count.
func (p *pace) reliable(now int64) bool {
	return p.samples >= minPaceSamples && now-p.updatedAt < int64(paceMaxAge)
}

// medianOf returns the lower median, or 0 if there are too few values; it
// sorts them.
func lowerMedian(values []float64) float64 {
	if len(values) < minPaceGroups {
		return 0
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}

// judge compares the group with the median of its model's groups (R10).
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

// Straggler is a group whose answers are slower than the other groups' of its
// model, by one node's measurements.
type Straggler struct {
	Group garnetworks.GroupID
	Zone  garnetworks.ZoneID
	// Ratio is the time for each token over the median group's; above 1.5.
	Ratio float64
	// Samples is the number of answers measured.
	Samples int
}
