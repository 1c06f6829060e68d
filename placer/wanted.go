package placer

import (
	"cmp"
	"math"
	"slices"

	"github.com/garnetworks/garnetworks"
)

// capacity counts the instances of one class in one domain that no wanted group
// has taken.
type capacity struct {
	domain      *domain
	class       *class
	remaining   int
	groupCounts []int
}

// countWanted computes the wanted groups (rule P2) and the zone's need.
func (p *planner) countWanted() {
	wanted, _ := p.wantedWithin(p.in.Limit)
	for _, m := range p.models {
		p.out.Wanted = append(p.out.Wanted, ModelGroups{Model: m.Name, Groups: wanted[m.index]})
	}
	slices.SortFunc(p.out.Wanted, func(a, b ModelGroups) int { return cmp.Compare(a.Model, b.Model) })
	_, p.out.Need = p.wantedWithin(math.MaxInt64)
	p.out.Need += p.spareDraw
}

func (p *planner) wantedWithin(limit garnetworks.Watts) ([]int, garnetworks.Watts) {
	capacities := p.capacities()
	wanted := make([]int, len(p.models))
	var drawn garnetworks.Watts
	for _, s := range p.slots {
		m := s.model
		watts := m.class.Watts * garnetworks.Watts(m.GroupSize)
		if watts > limit-drawn {
			continue
		}
		c := bestCapacity(capacities, m)
		if c == nil {
			continue
		}
		c.remaining -= m.GroupSize
		c.groupCounts[m.index]++
		drawn += watts
		wanted[m.index]++
	}
	return wanted, drawn
}

func (p *planner) capacities() []*capacity {
	var all []*capacity
	for _, d := range p.domains {
		first := len(all)
		for _, i := range d.instances {
			if i.class == nil {
				continue
			}
			at := slices.IndexFunc(all[first:], func(c *capacity) bool { return c.class == i.class })
			if at < 0 {
				at = len(all) - first
				all = append(all, &capacity{domain: d, class: i.class, groupCounts: make([]int, len(p.models))})
			}
			all[first+at].remaining++
		}
	}
	return all
}

// bestCapacity returns where a group of the model would go by the tie-breaks of
// rule P5.
func bestCapacity(capacities []*capacity, m *model) *capacity {
	var best *capacity
	for _, c := range capacities {
		if c.class != m.class || c.remaining < m.GroupSize {
			continue
		}
		if best == nil || compareCapacities(c, best, m) < 0 {
			best = c
		}
	}
	return best
}

func compareCapacities(a, b *capacity, m *model) int {
	return cmp.Or(
		cmp.Compare(a.fragmentation(m), b.fragmentation(m)),
		cmp.Compare(a.groupCounts[m.index], b.groupCounts[m.index]),
		cmp.Compare(b.remaining, a.remaining),
	)
}

// fragmentation is by how much a group of the model raises the number of instances
// left over from groups of the largest size.
func (c *capacity) fragmentation(m *model) int {
	if !c.class.mixed {
		return 0
	}
	return (c.remaining-m.GroupSize)%c.class.largest - c.remaining%c.class.largest
}

// Wanted returns the number of groups of each model that the manifest and the limit
// allow (rule P2), sorted by model, without computing a plan.
func Wanted(in Input) []ModelGroups {
	p := newPlanner(in)
	p.countWanted()
	return p.out.Wanted
}
