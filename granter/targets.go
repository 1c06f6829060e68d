package granter

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/garnetworks/garnetworks"
)

func sprintf(format string, args ...any) string { return fmt.Sprintf(format, args...) }

// Needs returns the power that the models need in a zone, the most important first: the
// minimum groups in order of priority, then the others (W8). Models of an unknown class
// are omitted.
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

// zoneNeed is a need of one zone.
type zoneNeed struct {
	garnetworks.PowerNeed
	zone garnetworks.ZoneID
}

// targets returns the most that each zone should draw. The sum is at most the cap.
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

// allocateGroups allocates the power of whole groups by descending importance, and returns
// what remains. Equally important groups are allocated one at a time to each zone in turn,
// so that no zone is preferred by its name.
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

// shareRemainder splits the power that no group needs, which zones use to replace members and
// for spares. Each zone gets a part proportional to its target; if all are 0, equal parts.
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
