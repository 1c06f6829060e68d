package placer

import (
	"cmp"
	"slices"
	"time"

	"github.com/garnetworks/garnetworks"
)

// classifyGroups ends the groups that can't continue and divides the others into
// those that fill slots and those that form to replace a group.
func (p *planner) classifyGroups() {
	for _, g := range p.groups {
		p.classifyGroup(g)
	}
	for _, g := range p.groups {
		p.classifyReplacement(g)
	}
	for _, m := range p.models {
		slices.SortFunc(m.live, compareRetention)
	}
	p.classified = true
}

func (p *planner) classifyGroup(g *group) {
	e, ended := p.ended[g.ID]
	switch {
	case isBroken(g):
		p.dissolve(g, ReasonMemberLost)
	case ended:
		p.endGroup(g, e.reason, e.grace)
	case g.State == garnetworks.GroupDraining:
		p.continueDrain(g)
	case g.model == nil || g.model.class == nil:
		p.endGroup(g, ReasonSurplus, p.in.Grace.Drain)
	case hasLeavingMember(g) || p.mustDrainNow(g):
		p.endGroup(g, ReasonLeaving, p.leavingGrace(g))
	default:
		for _, i := range g.members {
			i.availability = inGroup
		}
	}
}

// isBroken reports whether the group lacks a member (rules G1 and P4). A member
// whose power is off or unknown counts as missing whatever its condition is.
func isBroken(g *group) bool {
	if g.State == garnetworks.GroupBroken || len(g.members) != len(g.Members) {
		return true
	}
	if g.model != nil && len(g.members) != g.model.GroupSize {
		return g.State != garnetworks.GroupDraining
	}
	for _, i := range g.members {
		missing := i.Condition == garnetworks.ConditionLost || i.Condition == garnetworks.ConditionReturned
		if missing || i.Power != garnetworks.PowerOn {
			return true
		}
	}
	return false
}

func hasLeavingMember(g *group) bool {
	for _, i := range g.members {
		if i.Condition == garnetworks.ConditionLeaving {
			return true
		}
	}
	return false
}

// mustDrainNow reports whether a member stops before a drain that begins later could
// finish: calls in flight would be cut off (rule G9).
func (p *planner) mustDrainNow(g *group) bool {
	by := earliestLeave(g)
	if by.IsZero() {
		return false
	}
	latest := by.Add(-p.in.Grace.Drain)
	if p.in.Now.Before(latest) {
		p.replanAt(latest)
		return false
	}
	return true
}

// leavingGrace returns the drain's grace period, cut to the time until the first
// member stops.
func (p *planner) leavingGrace(g *group) time.Duration {
	grace := p.in.Grace.Drain
	for _, i := range g.members {
		if by := i.observation.LeaveBy; !by.IsZero() {
			grace = min(grace, max(by.Sub(p.in.Now), 0))
		}
	}
	return grace
}

func (p *planner) continueDrain(g *group) {
	if p.in.Groups[g.ID].Idle || !p.in.Now.Before(g.DrainUntil) {
		p.dissolve(g, ReasonDrained)
		return
	}
	p.replanAt(g.DrainUntil)
	p.markDraining(g, g.DrainUntil)
}

func (p *planner) markDraining(g *group, until time.Time) {
	g.ending = true
	if g.model != nil {
		g.model.draining++
	}
	g.domain.version++
	for _, i := range g.members {
		i.use = unused
		i.draining = true
		i.availability = p.availabilityOf(i)
		if i.availability == idle {
			i.availability = drainingMember
			i.freeAt = until
		}
	}
}

// dissolve ends the group at once; its members become unused.
func (p *planner) dissolve(g *group, reason Reason) {
	p.recordEnd(g, reason, 0)
	g.ending = true
	g.domain.version++
	for _, i := range g.members {
		i.use = unused
		i.draining = false
		i.availability = p.availabilityOf(i)
	}
	p.groupEnds = append(p.groupEnds, DissolveGroup{Domain: g.domain.ID, Group: g.ID, Reason: reason})
}

// recordEnd records an end that was decided after classifyGroups for the next round.
func (p *planner) recordEnd(g *group, reason Reason, grace time.Duration) {
	if p.classified {
		p.rerun = true
		p.ended[g.ID] = groupEnd{reason: reason, grace: grace}
	}
}

// endGroup drains the group if it serves and has a grace period, and dissolves it
// otherwise. A group that forms to replace it is dissolved as well.
func (p *planner) endGroup(g *group, reason Reason, grace time.Duration) {
	if r := g.replacement; r != nil && !r.ending {
		p.dissolve(r, reason)
	}
	if g.State != garnetworks.GroupServing || grace <= 0 {
		p.dissolve(g, reason)
		return
	}
	p.recordEnd(g, reason, grace)
	until := p.in.Now.Add(grace)
	p.groupEnds = append(p.groupEnds, DrainGroup{Domain: g.domain.ID, Group: g.ID, Grace: grace, Reason: reason})
	p.replanAt(until)
	p.markDraining(g, until)
}

// classifyReplacement drains a group whose replacement serves (rule P8) and keeps a
// replacement that still forms out of the slots.
func (p *planner) classifyReplacement(g *group) {
	if g.ending {
		return
	}
	old := g.replaces
	replacing := old != nil && !old.ending
	if replacing && g.State == garnetworks.GroupServing {
		p.endGroup(old, ReasonReplaced, p.in.Grace.Drain)
		if old.model != nil {
			old.model.live = slices.DeleteFunc(old.model.live, func(o *group) bool { return o == old })
		}
		replacing = false
	}
	if replacing {
		old.replacement = g
		g.model.replacements = append(g.model.replacements, g)
		return
	}
	g.model.live = append(g.model.live, g)
}

// compareRetention sorts the group that is to be kept longest first.
func compareRetention(a, b *group) int {
	return cmp.Or(
		cmp.Compare(retentionRank(a), retentionRank(b)),
		a.Since.Compare(b.Since),
		cmp.Compare(a.ID, b.ID),
	)
}

func retentionRank(g *group) int {
	// Groups that don't serve yet stay in the order in which they formed, so that a
	// new one never takes the slot of an older one.
	if g.State != garnetworks.GroupServing {
		return 4
	}
	n := 0
	if g.Version != g.model.Version {
		n += 2
	}
	if len(membersToReplace(g)) > 0 {
		n++
	}
	return n
}

// membersToReplace returns the members that a replacement would leave out.
func membersToReplace(g *group) []*instance {
	var members []*instance
	for _, i := range g.members {
		if i.isStraggler() || !i.observation.LeaveBy.IsZero() {
			members = append(members, i)
		}
	}
	return members
}
