package placer

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/garnetworks/garnetworks"
)

// SpareCase is what the worth of a spare in one domain depends on.
type SpareCase struct {
	// LossRate is the number of members lost a second in the domain's groups of
	// the class (λ).
	LossRate float64
	// Saved is the wait that a powered spare with weights saves (T = B+L).
	Saved time.Duration
	// Refill is the time until a spare that was used is replaced.
	Refill time.Duration
	// GroupSize is g.
	GroupSize int
	// Weights are D and S.
	Weights garnetworks.CostWeights
}

// Worth returns the cost a second that the k-th spare, from 1, saves (rule
// P10). A loss finds it useful if fewer than k−1 of the others are left, that
// is, if at least k−1 losses happened within the last refill.
func (c SpareCase) Worth(k int) float64 {
	still := c.Weights.GroupDowntime + float64(c.GroupSize-1)*c.Weights.Stranded
	return c.LossRate * poissonAtLeast(c.LossRate*c.Refill.Seconds(), k-1) * c.Saved.Seconds() * still
}

// Spares returns how many powered spares are worth their cost.
func (c SpareCase) Spares() int {
	k := 0
	for k < mostSpares && c.Worth(k+1) > c.Weights.Stranded {
		k++
	}
	return k
}

// poissonAtLeast returns P(N ≥ n) for a Poisson variable N.
func poissonAtLeast(mean float64, n int) float64 {
	below, term := 0.0, math.Exp(-mean)
	for k := range n {
		below += term
		term *= mean / float64(k+1)
	}
	return max(0, 1-below)
}

// pool is the instances of one class in one domain.
type pool struct {
	SpareCase
	domain *domain
	class  *class
	// uses counts the groups of each model, by its index.
	uses []int
	// candidates are the instances that could be spares, the readiest first.
	candidates []*instance
	// unused counts the instances without a use, whatever their power is.
	unused int
	// kept are the chosen spares.
	kept []*instance
	// hold is how long a leftover is held.
	hold time.Duration
	// survivors counts the idle instances that wait for a lost member.
	survivors int
	// size counts the pool's instances, lost those that are lost, and waiting
	// those that boot for a slot; wanted says that a slot of the class is empty.
	size, lost, waiting int
	wanted              bool
}

// spareStep is the choice of one more spare of a pool.
type spareStep struct {
	pool  *pool
	count int
	worth float64
}

// keepSpares takes spares by their worth as long as power is left.
func (p *planner) keepSpares() {
	p.indexPools()
	var steps []spareStep
	for _, o := range p.pools {
		for k := 1; k <= min(len(o.candidates), mostSpares); k++ {
			worth := o.worthOf(k)
			if worth <= p.in.Weights.Stranded {
				break
			}
			steps = append(steps, spareStep{pool: o, count: k, worth: worth})
		}
	}
	slices.SortStableFunc(steps, func(a, b spareStep) int { return cmp.Compare(b.worth, a.worth) })
	for _, s := range steps {
		p.keepSpare(s)
	}
	for _, o := range p.pools {
		p.preloadSpares(o)
	}
}

func (p *planner) keepSpare(s spareStep) {
	i := s.pool.candidates[s.count-1]
	p.spareWatts += i.Watts
	if len(s.pool.kept) != s.count-1 || p.planned+i.Watts > p.in.Limit {
		return
	}
	s.pool.kept = append(s.pool.kept, i)
	p.planned += i.Watts
	i.use = usedAsSpare
	i.order = len(p.slots)
	i.reason = ReasonSpare
	i.domain.version++
}

func (p *planner) indexPools() {
	for _, d := range p.domains {
		for _, i := range d.instances {
			if i.class != nil && i.class.largest > 0 {
				i.pool = p.poolOf(d, i.class)
				i.pool.count(i)
			}
		}
	}
	for _, o := range p.pools {
		p.describe(o)
	}
}

// poolOf returns the pool of the class in the domain that is being indexed.
func (p *planner) poolOf(d *domain, c *class) *pool {
	for n := len(p.pools) - 1; n >= 0 && p.pools[n].domain == d; n-- {
		if p.pools[n].class == c {
			return p.pools[n]
		}
	}
	o := &pool{domain: d, class: c}
	o.Weights = p.in.Weights
	o.GroupSize = c.largest
	p.pools = append(p.pools, o)
	return o
}

func (o *pool) count(i *instance) {
	if i.use != unused && i.use != usedAsSpare {
		o.LossRate += (i.class.FailuresPerDay + i.class.RestartsPerDay) / day.Seconds()
	}
}

// describe fills in the times and the candidates of the pool.
func (p *planner) describe(o *pool) {
	o.uses = o.domain.held
	load := p.meanLoad(o)
	o.Saved = o.class.BootTime + load
	o.Refill = o.Saved
	o.unused = o.domain.unused(o.class)
	for _, i := range o.domain.instances {
		if i.class == o.class && p.mayBeSpare(i) {
			o.candidates = append(o.candidates, i)
		}
	}
	slices.SortStableFunc(o.candidates, func(a, b *instance) int {
		return cmp.Compare(p.spareRank(o, a), p.spareRank(o, b))
	})
}

// worthOf is the worth of the pool's k-th spare. Whether another instance is
// left to refill it from is counted without regard to power, so that ordering a
// spare on doesn't change what it is worth.
func (o *pool) worthOf(k int) float64 {
	c := o.SpareCase
	if k >= o.unused {
		c.Refill = RepairTime
	}
	return c.Worth(k)
}

func (p *planner) meanLoad(o *pool) time.Duration {
	var sum time.Duration
	count := 0
	for index, uses := range o.uses {
		m := p.models[index]
		if m.class == o.class {
			sum += time.Duration(uses) * p.loadTime(m.WeightBytes, m.WeightBytes)
			count += uses
		}
	}
	if count == 0 {
		return 0
	}
	return sum / time.Duration(count)
}

func (p *planner) mayBeSpare(i *instance) bool {
	if i.use != unused || i.isStraggler() {
		return false
	}
	switch i.presence {
	case idle, returning, leavingGroup:
		return true
	case booting:
		return !i.doubtful
	case powerless:
		if i.doubtful {
			return false
		}
		// A spare that was just given up is not booted again at once: a worth
		// that goes up and down would switch its power each time (rule P13).
		again := i.history.PoweredOff.Add(FlapBound)
		if !i.history.PoweredOff.IsZero() && p.in.Now.Before(again) {
			p.wake(again)
			return false
		}
		return true
	default:
		return false
	}
}

// spareRank puts powered instances with useful weights first.
func (p *planner) spareRank(o *pool, i *instance) int {
	switch i.presence {
	case idle, returning, leavingGroup:
		for index, uses := range o.uses {
			m := p.models[index]
			if uses > 0 && m.class == o.class && p.missing(i, m.weights()) == 0 {
				return 0
			}
		}
		return 1
	case booting:
		return 2
	default:
		return 3
	}
}

// preloadSpares divides the pool's spares among the models of its groups, by
// the bytes that a loss would have to wait for.
func (p *planner) preloadSpares(o *pool) {
	given := make([]int, len(p.models))
	for range o.kept {
		m := p.neediest(o, given)
		if m == nil {
			return
		}
		given[m.index]++
		if i := p.spareFor(o, m); i != nil {
			i.preload = m.weights()
			i.loadClass = loadSpare
		}
	}
}

func (p *planner) neediest(o *pool, given []int) *model {
	var best *model
	most := 0.0
	for index, uses := range o.uses {
		m := p.models[index]
		if m.class != o.class {
			continue
		}
		need := float64(uses) * float64(m.WeightBytes) / float64(given[index]+1)
		if need > most {
			best, most = m, need
		}
	}
	return best
}

// spareFor returns a spare without a task, one that holds or loads the model's
// weights first.
func (p *planner) spareFor(o *pool, m *model) *instance {
	var best *instance
	least := int64(math.MaxInt64)
	for _, i := range o.kept {
		if i.presence != idle || i.preload.Bytes != 0 {
			continue
		}
		missing := p.missing(i, m.weights())
		if i.history.Weights == m.weights().WeightID {
			missing = min(missing, m.WeightBytes-1)
		}
		if missing < least {
			best, least = i, missing
		}
	}
	return best
}
