package placer

import (
	"cmp"
	"slices"
	"time"

	"github.com/garnetworks/garnetworks"
)

// judgeGroups ends the groups that can't go on and sorts the others into those
// that fill slots and those that form to replace one.
func (p *planner) judgeGroups() {
	for _, g := range p.groups {
		p.judgeGroup(g)
	}
	for _, g := range p.groups {
		p.judgeReplacement(g)
	}
	for _, m := range p.models {
		slices.SortFunc(m.live, compareLive)
	}
	p.judged = true
}

func (p *planner) judgeGroup(g *group) {
	e, ended := p.ended[g.ID]
	switch {
	case isBroken(g):
		p.dissolve(g, ReasonMemberLost)
	case ended:
		p.end(g, e.reason, e.grace)
	case g.State == garnetworks.GroupDraining:
		p.goOnDraining(g)
	case g.model == nil || g.model.class == nil:
		p.end(g, ReasonSurplus, p.in.Grace.Drain)
	case hasLeaving(g) || p.leavesSoon(g):
		p.end(g, ReasonLeaving, p.leavingGrace(g))
	default:
		for _, i := range g.members {
			i.presence = employed
		}
	}
}

// isBroken reports whether the group misses a member (rules G1 and P4). A
// member that is powered off or unknown is missing whatever its last word was.
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

func hasLeaving(g *group) bool {
	for _, i := range g.members {
		if i.Condition == garnetworks.ConditionLeaving {
			return true
		}
	}
	return false
}

// leavesSoon reports whether a member ends before a later drain could finish:
// its calls would be cut off (rule G9).
func (p *planner) leavesSoon(g *group) bool {
	by := firstLeave(g)
	if by.IsZero() {
		return false
	}
	latest := by.Add(-p.in.Grace.Drain)
	if p.in.Now.Before(latest) {
		p.wake(latest)
		return false
	}
	return true
}

// leavingGrace is the drain's grace, but no longer than the member stays.
func (p *planner) leavingGrace(g *group) time.Duration {
	grace := p.in.Grace.Drain
	for _, i := range g.members {
		if by := i.observed.LeaveBy; !by.IsZero() {
			grace = min(grace, max(by.Sub(p.in.Now), 0))
		}
	}
	return grace
}

func (p *planner) goOnDraining(g *group) {
	if p.in.Groups[g.ID].Idle || !p.in.Now.Before(g.DrainUntil) {
		p.dissolve(g, ReasonDrained)
		return
	}
	p.wake(g.DrainUntil)
	p.startDrain(g, g.DrainUntil)
}

func (p *planner) startDrain(g *group, until time.Time) {
	g.ending = true
	if g.model != nil {
		g.model.drains++
	}
	g.domain.version++
	for _, i := range g.members {
		i.use = unused
		i.draining = true
		i.presence = p.presenceOf(i)
		if i.presence == idle {
			i.presence = leavingGroup
			i.free = until
		}
	}
}

// dissolve ends the group at once; its members are judged on their own.
func (p *planner) dissolve(g *group, reason Reason) {
	p.noteEnd(g, reason, 0)
	g.ending = true
	g.domain.version++
	for _, i := range g.members {
		i.use = unused
		i.draining = false
		i.presence = p.presenceOf(i)
	}
	p.closing = append(p.closing, DissolveGroup{Domain: g.domain.ID, Group: g.ID, Reason: reason})
}

// noteEnd keeps an end that was decided on the way for the next round.
func (p *planner) noteEnd(g *group, reason Reason, grace time.Duration) {
	if p.judged {
		p.endedLate = true
		p.ended[g.ID] = ending{reason: reason, grace: grace}
	}
}

// end drains the group; one that doesn't serve has nothing to drain. The group
// that was to replace it ends as well, unless that is why it ends.
func (p *planner) end(g *group, reason Reason, grace time.Duration) {
	if r := g.replacement; r != nil && !r.ending {
		p.dissolve(r, reason)
	}
	if g.State != garnetworks.GroupServing || grace <= 0 {
		p.dissolve(g, reason)
		return
	}
	p.noteEnd(g, reason, grace)
	until := p.in.Now.Add(grace)
	p.closing = append(p.closing, DrainGroup{Domain: g.domain.ID, Group: g.ID, Grace: grace, Reason: reason})
	p.wake(until)
	p.startDrain(g, until)
}

// judgeReplacement drains a group whose replacement serves (rule P8) and sets
// apart one that still forms.
func (p *planner) judgeReplacement(g *group) {
	if g.ending {
		return
	}
	old := g.replaces
	replacing := old != nil && !old.ending
	if replacing && g.State == garnetworks.GroupServing {
		p.end(old, ReasonReplaced, p.in.Grace.Drain)
		if old.model != nil {
			old.model.live = slices.DeleteFunc(old.model.live, func(o *group) bool { return o == old })
		}
		replacing = false
	}
	if replacing {
		old.replacement = g
		g.model.shadows = append(g.model.shadows, g)
		return
	}
	g.model.live = append(g.model.live, g)
}

// compareLive puts first the group that is to be kept longest.
func compareLive(a, b *group) int {
	return cmp.Or(
		cmp.Compare(demerits(a), demerits(b)),
		a.Since.Compare(b.Since),
		cmp.Compare(a.ID, b.ID),
	)
}

func demerits(g *group) int {
	// Groups that don't serve yet keep their order of forming, so that a new one
	// never takes the slot of one that formed before it.
	if g.State != garnetworks.GroupServing {
		return 4
	}
	n := 0
	if g.Version != g.model.Version {
		n += 2
	}
	if len(worse(g)) > 0 {
		n++
	}
	return n
}

// worse returns the members that a replacement would leave out.
func worse(g *group) []*instance {
	var members []*instance
	for _, i := range g.members {
		if i.isStraggler() || !i.observed.LeaveBy.IsZero() {
			members = append(members, i)
		}
	}
	return members
}
