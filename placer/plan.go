package placer

import (
	"cmp"
	"slices"

	"github.com/garnetworks/garnetworks"
)

// Plan decides what to do next in the zone.
func Plan(in Input) Output {
	out := Output{State: in.State}
	free := map[garnetworks.DomainID][]garnetworks.Instance{}
	have := map[garnetworks.ModelName]int{}
	domains := slices.Clone(in.Domains)
	slices.SortFunc(domains, func(a, b garnetworks.FabricDomain) int { return cmp.Compare(a.ID, b.ID) })
	for _, d := range domains {
		held := garnetworks.NewSet[garnetworks.InstanceID]()
		for _, g := range d.Groups {
			if g.State == garnetworks.GroupBroken {
				out.Decisions = append(out.Decisions, DissolveGroup{Domain: d.ID, Group: g.ID, Reason: ReasonMemberLost})
				continue
			}
			have[g.Model]++
			for _, m := range g.Members {
				held.Add(m)
			}
		}
		for _, i := range d.Instances {
			if i.Power.Draws() {
				out.Drawn += i.Watts
			}
			if !held.Has(i.ID) && (i.Power == garnetworks.PowerOff || i.Condition == garnetworks.ConditionHealthy) {
				free[d.ID] = append(free[d.ID], i)
			}
		}
	}
	models := slices.Clone(in.Models)
	slices.SortStableFunc(models, func(a, b garnetworks.ModelSpec) int { return cmp.Compare(b.Priority, a.Priority) })
	drawn := out.Drawn
	for _, m := range models {
		for range m.MinGroups - have[m.Name] {
			for _, d := range domains {
				if form(&out, &drawn, in.Limit, d.ID, m, free) {
					break
				}
			}
		}
	}
	return out
}

func form(out *Output, drawn *garnetworks.Watts, limit garnetworks.Watts, d garnetworks.DomainID, m garnetworks.ModelSpec, free map[garnetworks.DomainID][]garnetworks.Instance) bool {
	var members, on []garnetworks.InstanceID
	var watts garnetworks.Watts
	var rest []garnetworks.Instance
	for _, i := range free[d] {
		if i.Class != m.Class || len(members) == m.GroupSize {
			rest = append(rest, i)
			continue
		}
		members = append(members, i.ID)
		if i.Power == garnetworks.PowerOff {
			on = append(on, i.ID)
			watts += i.Watts
		}
	}
	if len(members) < m.GroupSize || *drawn+watts > limit {
		return false
	}
	*drawn += watts
	free[d] = rest
	for _, i := range on {
		out.Decisions = append(out.Decisions, PowerOn{Domain: d, Instance: i, Reason: ReasonWanted})
	}
	if len(on) == 0 {
		slices.Sort(members)
		out.Decisions = append(out.Decisions, FormGroup{Domain: d, Model: m.Name, Version: m.Version, Adapters: m.Adapters, Members: members, Reason: ReasonWanted})
	}
	return true
}
