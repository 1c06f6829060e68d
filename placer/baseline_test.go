package placer_test

import (
	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/placer"
)

// baseline is the naive policy that the fault table compares with: it keeps no
// spares, ends a group when a member is missing or leaving, and forms groups in
// order of discovery from the first usable instances of a domain, booting those
// that are off. It powers instances off only if the limit requires it, sets no
// load rates and knows no priorities. Engines keep their weights, as under the
// policy, so that the comparison is fair.
func baseline(in placer.Input) placer.Output {
	b := &naivePlanner{in: in, taken: garnetworks.NewSet[garnetworks.InstanceID](), groupCounts: map[garnetworks.ModelName]int{}}
	b.classifyGroups()
	b.shed()
	b.rebuild()
	return b.out
}

type naivePlanner struct {
	in          placer.Input
	out         placer.Output
	taken       garnetworks.Set[garnetworks.InstanceID]
	groupCounts map[garnetworks.ModelName]int
	drawn       garnetworks.Watts
}

func (b *naivePlanner) classifyGroups() {
	for _, d := range b.in.Domains {
		conditions := map[garnetworks.InstanceID]garnetworks.Condition{}
		for _, i := range d.Instances {
			conditions[i.ID] = i.Condition
			if i.Power.Draws() {
				b.drawn += i.Watts
			}
		}
		for _, g := range d.Groups {
			b.classifyGroup(d.ID, g, conditions)
		}
	}
}

func (b *naivePlanner) classifyGroup(d garnetworks.DomainID, g garnetworks.Group, conditions map[garnetworks.InstanceID]garnetworks.Condition) {
	drained := g.State == garnetworks.GroupDraining && (b.in.Groups[g.ID].Idle || !b.in.Now.Before(g.DrainUntil))
	lost, leaving := drained, false
	for _, m := range g.Members {
		c := conditions[m]
		lost = lost || c == garnetworks.ConditionLost || c == garnetworks.ConditionReturned
		leaving = leaving || c == garnetworks.ConditionLeaving
	}
	if lost {
		b.out.Decisions = append(b.out.Decisions, placer.DissolveGroup{Domain: d, Group: g.ID})
		return
	}
	for _, m := range g.Members {
		b.taken.Add(m)
	}
	if g.State == garnetworks.GroupDraining {
		return
	}
	if leaving && g.State == garnetworks.GroupServing {
		b.out.Decisions = append(b.out.Decisions, placer.DrainGroup{Domain: d, Group: g.ID, Grace: b.in.Grace.Drain})
		return
	}
	b.groupCounts[g.Model]++
}

// shed powers unused instances off and drains groups, those of the last domain
// first, until the draw fits the limit.
func (b *naivePlanner) shed() {
	over := b.drawn - b.in.Limit
	for n := len(b.in.Domains) - 1; n >= 0 && over > 0; n-- {
		d := b.in.Domains[n]
		for _, i := range d.Instances {
			if over > 0 && i.Power.Draws() && !b.taken.Has(i.ID) {
				if i.Power != garnetworks.PowerStopping {
					b.out.Decisions = append(b.out.Decisions, placer.PowerOff{Domain: d.ID, Instance: i.ID})
				}
				b.taken.Add(i.ID)
				over -= i.Watts
			}
		}
		for _, g := range d.Groups {
			if over <= 0 {
				break
			}
			over -= engineWatts * garnetworks.Watts(len(g.Members))
			if g.State == garnetworks.GroupServing && b.taken.Has(g.Members[0]) {
				b.out.Decisions = append(b.out.Decisions, placer.DrainGroup{Domain: d.ID, Group: g.ID, Grace: b.in.Grace.Shed})
				b.groupCounts[g.Model]--
			}
		}
	}
}

func (b *naivePlanner) rebuild() {
	for _, m := range b.in.Models {
		for range max(0, m.MaxGroups-b.groupCounts[m.Name]) {
			for _, d := range b.in.Domains {
				if b.formGroup(m, d) {
					break
				}
			}
		}
	}
}

func (b *naivePlanner) formGroup(m garnetworks.ModelSpec, d garnetworks.FabricDomain) bool {
	var members []garnetworks.InstanceID
	var powerOns []placer.Decision
	ready := true
	watts := garnetworks.Watts(0)
	for _, i := range d.Instances {
		healthy := i.Condition == garnetworks.ConditionHealthy || i.Condition == garnetworks.ConditionStraggler
		pending := i.Power == garnetworks.PowerStarting || i.Power == garnetworks.PowerOff || i.Condition == garnetworks.ConditionReturned
		usable := i.Power == garnetworks.PowerOn && healthy || i.Power != garnetworks.PowerStopping && pending
		if len(members) == m.GroupSize || b.taken.Has(i.ID) || !usable {
			continue
		}
		members = append(members, i.ID)
		ready = ready && i.Power == garnetworks.PowerOn && healthy
		if i.Power == garnetworks.PowerOff {
			powerOns = append(powerOns, placer.PowerOn{Domain: d.ID, Instance: i.ID})
			watts += i.Watts
		}
	}
	if len(members) < m.GroupSize || b.drawn+watts > b.in.Limit {
		return false
	}
	b.drawn += watts
	for _, id := range members {
		b.taken.Add(id)
	}
	b.out.Decisions = append(b.out.Decisions, powerOns...)
	if ready {
		b.out.Decisions = append(b.out.Decisions, placer.FormGroup{
			Domain: d.ID, Model: m.Name, Version: m.Version, Members: members,
		})
	}
	return true
}
