package granter

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/garnetworks/garnetworks"
)

func sprintf(format string, args ...any) string { return fmt.Sprintf(format, args...) }

// Needs lists the power that the models need in a zone, the most important
// first: the minimum groups in order of priority, then the others (W8). Models
// whose class is unknown need none.
func Needs(models []garnetworks.ModelSpec, classes []garnetworks.InstanceClass) []garnetworks.PowerNeed {
	watts := map[string]garnetworks.Watts{}
	for _, c := range classes {
		watts[c.Name] = c.Watts
	}
	var needs []garnetworks.PowerNeed
	for _, m := range models {
		group := watts[m.Class] * garnetworks.Watts(m.GroupSize)
		if group <= 0 {
			continue
		}
		needs = append(needs,
			garnetworks.PowerNeed{Minimum: true, Priority: m.Priority, Watts: group, Groups: m.MinGroups},
			garnetworks.PowerNeed{Priority: m.Priority, Watts: group, Groups: m.MaxGroups - m.MinGroups})
	}
	needs = slices.DeleteFunc(needs, func(n garnetworks.PowerNeed) bool { return n.Groups <= 0 })
	slices.SortStableFunc(needs, compareNeeds)
	return needs
}

func compareNeeds(a, b garnetworks.PowerNeed) int {
	if a.Minimum != b.Minimum {
		if a.Minimum {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(b.Priority, a.Priority), cmp.Compare(b.Watts, a.Watts))
}

// Total returns the power of all needs.
func Total(needs []garnetworks.PowerNeed) garnetworks.Watts {
	var sum garnetworks.Watts
	for _, n := range needs {
		sum += n.Watts * garnetworks.Watts(n.Groups)
	}
	return sum
}

// ask is one zone's need at one place in the order.
type ask struct {
	garnetworks.PowerNeed
	zone garnetworks.ZoneID
}

// targets returns what each zone shall draw at most. The sum is at most the
// cap less what zones outside the plan's reach hold.
func (p *sitePlan) targets() map[garnetworks.ZoneID]garnetworks.Watts {
	targets := map[garnetworks.ZoneID]garnetworks.Watts{}
	left := p.fill(targets, p.asks(), p.Cap)
	p.share(targets, left)
	return targets
}

func (p *sitePlan) asks() []ask {
	var asks []ask
	for _, g := range p.grants {
		for _, n := range p.Powers[g.Zone].Needs {
			if n.Groups > 0 && n.Watts > 0 {
				asks = append(asks, ask{n, g.Zone})
			}
		}
	}
	slices.SortStableFunc(asks, func(a, b ask) int { return compareNeeds(a.PowerNeed, b.PowerNeed) })
	return asks
}

// fill gives out whole groups: within one place in the order, a group at a time
// to each zone in turn, so that no zone's name decides.
func (p *sitePlan) fill(targets map[garnetworks.ZoneID]garnetworks.Watts, asks []ask, left garnetworks.Watts) garnetworks.Watts {
	for len(asks) > 0 {
		n := 1
		for n < len(asks) && compareNeeds(asks[n].PowerNeed, asks[0].PowerNeed) == 0 {
			n++
		}
		left = deal(targets, asks[:n], left)
		asks = asks[n:]
	}
	return left
}

func deal(targets map[garnetworks.ZoneID]garnetworks.Watts, asks []ask, left garnetworks.Watts) garnetworks.Watts {
	given := true
	for given {
		given = false
		for n := range asks {
			a := &asks[n]
			if a.Groups == 0 || a.Watts > left {
				continue
			}
			a.Groups--
			left -= a.Watts
			targets[a.zone] += a.Watts
			given = true
		}
	}
	return left
}

// share splits what no group needs: the room in which zones replace members and
// keep spares. It goes by what each zone got, and evenly if none got anything.
func (p *sitePlan) share(targets map[garnetworks.ZoneID]garnetworks.Watts, left garnetworks.Watts) {
	if len(p.grants) == 0 || left <= 0 {
		return
	}
	var sum garnetworks.Watts
	for _, t := range targets {
		sum += t
	}
	spare := left
	for _, g := range p.grants {
		part := spare / garnetworks.Watts(len(p.grants))
		if sum > 0 {
			part = garnetworks.Watts(float64(spare) * float64(targets[g.Zone]) / float64(sum))
		}
		part = min(part, left)
		targets[g.Zone] += part
		left -= part
	}
}
