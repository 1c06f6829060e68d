package router

import (
	"cmp"
	"slices"
	"time"

	"github.com/garnetworks/garnetworks"
)

// capacities returns for each base model the slots and the calls in use of its eligible groups
// and the median time to first token, sorted by model. Pools with an adapter are left out. now
// is in nanoseconds.
func (t *table) capacities(now int64) []garnetworks.ModelCapacity {
	var all []garnetworks.ModelCapacity
	for key, p := range t.pools {
		if key.adapter == "" {
			all = append(all, t.capacity(now, key.model, p))
		}
	}
	slices.SortFunc(all, func(a, b garnetworks.ModelCapacity) int { return cmp.Compare(a.Model, b.Model) })
	return all
}

// capacity sums up the eligible groups of a pool over the whole site.
func (t *table) capacity(now int64, model garnetworks.ModelName, p *pool) garnetworks.ModelCapacity {
	// Recomputes the expected loads that inUse reads.
	p.site.refresh(now)
	result := garnetworks.ModelCapacity{Model: model}
	t.scratch = t.scratch[:0]
	for _, e := range p.site.entries {
		g := e.group
		if !g.eligible(now) {
			continue
		}
		result.Slots += int(g.load.capacity)
		result.InUse += g.load.inUse()
		if g.pace.reliable(now) {
			t.scratch = append(t.scratch, g.pace.firstToken)
		}
	}
	if len(t.scratch) > 0 {
		slices.Sort(t.scratch)
		// The upper median over the groups, in seconds.
		result.FirstToken = time.Duration(t.scratch[len(t.scratch)/2] * float64(time.Second))
	}
	return result
}
