package placer

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/garnetworks/garnetworks"
)

// SpareParams are the parameters of the benefit of spares in one domain.
type SpareParams struct {
	// LossRate is the number of members lost per second in the domain's groups of
	// the class (λ).
	LossRate float64
	// TimeSaved is the wait that a powered spare with weights saves (T = B+L).
	TimeSaved time.Duration
	// RefillTime is the time until a spare that was used is replaced.
	RefillTime time.Duration
	// GroupSize is the number of members of a group (g).
	GroupSize int
	// Costs holds D and S.
	Costs garnetworks.CostWeights
}

// MarginalBenefit returns the cost per second that the k-th spare, from 1, saves
// (rule P10). A loss needs the k-th spare only if the k−1 others are used up, that
// is, if at least k−1 losses happened within the last refill time.
func (c SpareParams) MarginalBenefit(k int) float64 {
	downtimeCost := c.Costs.GroupDowntime + float64(c.GroupSize-1)*c.Costs.Stranded
	return c.LossRate * poissonAtLeast(c.LossRate*c.RefillTime.Seconds(), k-1) * c.TimeSaved.Seconds() * downtimeCost
}

// Spares returns how many powered spares have a benefit above their cost.
func (c SpareParams) Spares() int {
	k := 0
	for k < maxSpares && c.MarginalBenefit(k+1) > c.Costs.Stranded {
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

// pool holds the instances of one class in one domain.
type pool struct {
	SpareParams
	domain *domain
	class  *class
	// groupCounts counts the groups of each model, by the model's index.
	groupCounts []int
	// candidates are the instances that could be spares, the soonest available first.
	candidates []*instance
	// unused counts the instances without a use, whatever their power is.
	unused int
	// kept are the chosen spares.
	kept []*instance
	// hold is how long an unused instance stays powered.
	hold time.Duration
	// survivors counts the idle instances that wait for a lost member.
	survivors int
	// size counts the pool's instances, lost those that are lost, and waiting those
	// whose boot a slot waits for; groupWanted says that a slot of the class lacks a
	// group.
	size, lost, waiting int
	groupWanted         bool
}

// spareOption is the option to keep one more spare of a pool.
type spareOption struct {
	pool    *pool
	rank    int
	benefit float64
}

// chooseSpares keeps spares in order of benefit as long as power is left.
func (p *planner) chooseSpares() {
	p.indexPools()
	var options []spareOption
	for _, o := range p.pools {
		for k := 1; k <= min(len(o.candidates), maxSpares); k++ {
			benefit := o.benefitOf(k)
			if benefit <= p.in.Costs.Stranded {
				break
			}
			options = append(options, spareOption{pool: o, rank: k, benefit: benefit})
		}
	}
	slices.SortStableFunc(options, func(a, b spareOption) int { return cmp.Compare(b.benefit, a.benefit) })
	for _, s := range options {
		p.takeSpare(s)
	}
	for _, o := range p.pools {
		p.preloadSpares(o)
	}
}

func (p *planner) takeSpare(s spareOption) {
	i := s.pool.candidates[s.rank-1]
	p.spareDraw += i.Watts
	if len(s.pool.kept) != s.rank-1 || p.plannedDraw+i.Watts > p.in.Limit {
		return
	}
	s.pool.kept = append(s.pool.kept, i)
	p.plannedDraw += i.Watts
	i.use = usedAsSpare
	i.slotIndex = len(p.slots)
	i.reason = ReasonSpare
	i.domain.version++
}

func (p *planner) indexPools() {
	for _, d := range p.domains {
		for _, i := range d.instances {
			if i.class != nil && i.class.largest > 0 {
				i.pool = p.poolOf(d, i.class)
				i.pool.addLossRate(i)
			}
		}
	}
	for _, o := range p.pools {
		p.describePool(o)
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
	o.Costs = p.in.Costs
	o.GroupSize = c.largest
	p.pools = append(p.pools, o)
	return o
}

func (o *pool) addLossRate(i *instance) {
	if i.use != unused && i.use != usedAsSpare {
		o.LossRate += (i.class.FailuresPerDay + i.class.RestartsPerDay) / day.Seconds()
	}
}

// describePool fills in the times and the candidates of the pool.
func (p *planner) describePool(o *pool) {
	o.groupCounts = o.domain.groupCounts
	load := p.meanLoadTime(o)
	o.TimeSaved = o.class.BootTime + load
	o.RefillTime = o.TimeSaved
	o.unused = o.domain.countUnused(o.class)
	for _, i := range o.domain.instances {
		if i.class == o.class && p.mayBeSpare(i) {
			o.candidates = append(o.candidates, i)
		}
	}
	slices.SortStableFunc(o.candidates, func(a, b *instance) int {
		return cmp.Compare(p.spareRank(o, a), p.spareRank(o, b))
	})
}

// benefitOf is the benefit of the pool's k-th spare. Whether another instance is
// left to refill it from is counted without regard to power, so that powering a
// spare on doesn't change its benefit.
func (o *pool) benefitOf(k int) float64 {
	c := o.SpareParams
	if k >= o.unused {
		c.RefillTime = RepairTime
	}
	return c.MarginalBenefit(k)
}

func (p *planner) meanLoadTime(o *pool) time.Duration {
	var sum time.Duration
	count := 0
	for index, groups := range o.groupCounts {
		m := p.models[index]
		if m.class == o.class {
			sum += time.Duration(groups) * p.loadTime(m.WeightBytes, m.WeightBytes)
			count += groups
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
	switch i.availability {
	case idle, returning, drainingMember:
		return true
	case booting:
		return !i.suspect
	case switchedOff:
		if i.suspect {
			return false
		}
		// A spare that was just powered off is not booted again at once: a benefit
		// close to the cost would otherwise toggle its power (rule P13).
		again := i.history.PoweredOff.Add(FlapDampingTime)
		if !i.history.PoweredOff.IsZero() && p.in.Now.Before(again) {
			p.replanAt(again)
			return false
		}
		return true
	default:
		return false
	}
}

// spareRank sorts powered instances with useful weights first.
func (p *planner) spareRank(o *pool, i *instance) int {
	switch i.availability {
	case idle, returning, drainingMember:
		for index, groups := range o.groupCounts {
			m := p.models[index]
			if groups > 0 && m.class == o.class && p.missingBytes(i, m.weights()) == 0 {
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

// preloadSpares assigns the pool's spares to the models of its groups, by the bytes
// that a loss would otherwise wait for.
func (p *planner) preloadSpares(o *pool) {
	assigned := make([]int, len(p.models))
	for range o.kept {
		m := p.modelToPreload(o, assigned)
		if m == nil {
			return
		}
		assigned[m.index]++
		if i := p.spareFor(o, m); i != nil {
			i.preload = m.weights()
			i.loadClass = loadSpare
		}
	}
}

func (p *planner) modelToPreload(o *pool, assigned []int) *model {
	var best *model
	most := 0.0
	for index, groups := range o.groupCounts {
		m := p.models[index]
		if m.class != o.class {
			continue
		}
		need := float64(groups) * float64(m.WeightBytes) / float64(assigned[index]+1)
		if need > most {
			best, most = m, need
		}
	}
	return best
}

// spareFor returns the unassigned idle spare with the fewest bytes of the model's
// weights left to load; one whose load was already ordered precedes an empty one.
func (p *planner) spareFor(o *pool, m *model) *instance {
	var best *instance
	least := int64(math.MaxInt64)
	for _, i := range o.kept {
		if i.availability != idle || i.preload.Bytes != 0 {
			continue
		}
		missing := p.missingBytes(i, m.weights())
		if i.history.Weights == m.weights().WeightID {
			missing = min(missing, m.WeightBytes-1)
		}
		if missing < least {
			best, least = i, missing
		}
	}
	return best
}
