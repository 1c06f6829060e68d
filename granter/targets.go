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
	var total garnetworks.Watts
	for _, n := range needs {
		total += n.Watts * garnetworks.Watts(n.Groups)
	}
	return total
}

// ask is one zone's need at one place in the order.
type zoneNeed struct {
	garnetworks.PowerNeed
	zone garnetworks.ZoneID
}

// targets returns what each zone shall draw at most. The sum is at most the
// cap less what zones outside the plan's reach hold.
func (p *sitePlan) targets() map[garnetworks.ZoneID]garnetworks.Watts {
	targets := map[garnetworks.ZoneID]garnetworks.Watts{}
	remaining := p.allocateGroups(targets, p.zoneNeeds(), p.Cap)
	p.shareRemainder(targets, remaining)
	return targets
}

func (p *sitePlan) zoneNeeds() []zoneNeed {
	var zoneNeeds []zoneNeed
	for _, g := range p.grants {
		for _, n := range p.Powers[g.Zone].Needs {
			if n.Groups > 0 && n.Watts > 0 {
				zoneNeeds = append(zoneNeeds, zoneNeed{n, g.Zone})
			}
		}
	}
	slices.SortStableFunc(zoneNeeds, func(a, b zoneNeed) int { return compareNeeds(a.PowerNeed, b.PowerNeed) })
	return zoneNeeds
}

// fill gives out whole groups: within one place in the order, a group at a time
// to each zone in turn, so that no zone's name decides.
func (p *sitePlan) allocateGroups(targets map[garnetworks.ZoneID]garnetworks.Watts, zoneNeeds []zoneNeed, remaining garnetworks.Watts) garnetworks.Watts {
	for len(zoneNeeds) > 0 {
		n := 1
		for n < len(zoneNeeds) && compareNeeds(zoneNeeds[n].PowerNeed, zoneNeeds[0].PowerNeed) == 0 {
			n++
		}
		remaining = allocateRoundRobin(targets, zoneNeeds[:n], remaining)
		zoneNeeds = zoneNeeds[n:]
	}
	return remaining
}

func allocateRoundRobin(targets map[garnetworks.ZoneID]garnetworks.Watts, zoneNeeds []zoneNeed, remaining garnetworks.Watts) garnetworks.Watts {
	allocated := true
	for allocated {
		allocated = false
		for n := range zoneNeeds {
			need := &zoneNeeds[n]
			if need.Groups == 0 || need.Watts > remaining {
				continue
			}
			need.Groups--
			remaining -= need.Watts
			targets[need.zone] += need.Watts
			allocated = true
		}
	}
	return remaining
}

// share splits what no group needs: the room in which zones replace members and
// keep spares. It goes by what each zone got, and evenly if none got anything.
func (p *sitePlan) shareRemainder(targets map[garnetworks.ZoneID]garnetworks.Watts, remaining garnetworks.Watts) {
	if len(p.grants) == 0 || remaining <= 0 {
		return
	}
	var total garnetworks.Watts
	for _, t := range targets {
		total += t
	}
	spare := remaining
	for _, g := range p.grants {
		part := spare / garnetworks.Watts(len(p.grants))
		if total > 0 {
			part = garnetworks.Watts(float64(spare) * float64(targets[g.Zone]) / float64(total))
		}
		part = min(part, remaining)
		targets[g.Zone] += part
		remaining -= part
	}
}
