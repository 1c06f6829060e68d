package placer

import (
	"cmp"
	"slices"
	"time"

	"github.com/garnetworks/garnetworks"
)

// replacementDivisor bounds a model's concurrent replacements to the number of its
// groups divided by this, but allows one.
const replacementDivisor = 4

// replaceGroups makes replacements before groups end (rule P8).
func (p *planner) replaceGroups() {
	for _, m := range p.models {
		for _, g := range p.replaceable(m) {
			if p.countChanging(m) >= max(1, len(m.live)/replacementDivisor) {
				break
			}
			p.replace(g)
		}
	}
}

// countChanging counts the groups of the model that are being formed, drained or
// replaced. Slots that nothing can fill don't count: a new version would otherwise
// wait for them indefinitely.
func (p *planner) countChanging(m *model) int {
	count := m.draining + m.waiting + len(m.replacements) + m.replacing
	for _, g := range m.live {
		if g.State != garnetworks.GroupServing {
			count++
		}
	}
	for _, f := range p.pendingGroups {
		if f.model == m && f.replaces == nil {
			count++
		}
	}
	return count
}

// replaceable returns the model's groups that need a replacement, the most urgent
// first.
func (p *planner) replaceable(m *model) []*group {
	var groups []*group
	for _, g := range m.live {
		if g.ending || g.replacement != nil || g.State != garnetworks.GroupServing {
			continue
		}
		if reasonToReplace(g) != "" {
			groups = append(groups, g)
		}
	}
	slices.SortFunc(groups, func(a, b *group) int {
		return cmp.Or(
			cmp.Compare(urgency(a), urgency(b)),
			earliestLeave(a).Compare(earliestLeave(b)),
			cmp.Compare(a.slotIndex, b.slotIndex),
		)
	})
	return groups
}

func reasonToReplace(g *group) Reason {
	if !earliestLeave(g).IsZero() {
		return ReasonLeaving
	}
	if g.Version != g.model.Version {
		return ReasonVersion
	}
	if len(membersToReplace(g)) > 0 {
		return ReasonStraggler
	}
	return ""
}

func urgency(g *group) int {
	return slices.Index([]Reason{ReasonLeaving, ReasonVersion, ReasonStraggler}, reasonToReplace(g))
}

// earliestLeave returns the earliest announced stop of a member, or zero.
func earliestLeave(g *group) time.Time {
	var first time.Time
	for _, i := range g.members {
		by := i.observation.LeaveBy
		if !by.IsZero() && (first.IsZero() || by.Before(first)) {
			first = by
		}
	}
	return first
}

// replace chooses the cheaper kind of replacement (rule P8).
func (p *planner) replace(g *group) {
	reason := reasonToReplace(g)
	if reason == ReasonStraggler && !p.mayReplaceStraggler(g.model) {
		return
	}
	whole, wholeCost, wholePossible := p.groupReplacement(g)
	parts, partsCost, partsPossible := p.memberReplacement(g, reason)
	if reason == ReasonVersion && p.in.NoOutage.Has(g.model.Name) {
		partsPossible = false
	}
	if !wholePossible && !partsPossible {
		return
	}
	useWhole := wholePossible && (!partsPossible || wholeCost <= partsCost)
	cost := partsCost
	if useWhole {
		cost = wholeCost
	}
	if reason == ReasonStraggler && p.stragglerCost(g) <= cost {
		return
	}
	g.model.replacing++
	if useWhole {
		p.replaceWhole(g, whole, reason)
		return
	}
	p.swapMembers(g, parts, reason)
}

// mayReplaceStraggler keeps contradictory slowdown measurements from moving a model's
// groups back and forth (rule P9).
func (p *planner) mayReplaceStraggler(m *model) bool {
	moved, ok := p.out.State.StragglerReplacements[m.Name]
	if !ok || !p.in.Now.Before(moved.Add(StragglerReplacementInterval)) {
		return true
	}
	p.replanAt(moved.Add(StragglerReplacementInterval))
	return false
}

func (p *planner) stragglerCost(g *group) float64 {
	slowdown := 1.0
	for _, i := range g.members {
		if !i.isStraggler() {
			continue
		}
		s := i.observation.Slowdown
		if s <= 1 {
			s = defaultSlowdown
		}
		slowdown = max(slowdown, s)
	}
	return (1 - 1/slowdown) * p.downtimeCost(g.model) * StragglerHorizon.Seconds()
}

// downtimeCost is the cost of a whole group not serving for a second: D+g·S.
func (p *planner) downtimeCost(m *model) float64 {
	return p.in.Costs.GroupDowntime + float64(m.GroupSize)*p.in.Costs.Stranded
}

// groupReplacement finds members for a second group that forms before the first one
// drains, and returns the cost.
func (p *planner) groupReplacement(g *group) (placement, float64, bool) {
	c, ok := p.bestPlacement(g.model, false)
	if !ok || p.plannedDraw+totalDraw(c.members) > p.in.Limit {
		return placement{}, 0, false
	}
	busy := c.wait + FormTime + p.in.Grace.Drain
	return c, p.in.Costs.Stranded * float64(g.model.GroupSize) * busy.Seconds(), true
}

// memberReplacement finds instances that replace the members to be left out, and
// returns the cost. A new version needs none: the members stay and load it after
// the drain.
func (p *planner) memberReplacement(g *group, reason Reason) (placement, float64, bool) {
	downtime := p.in.Grace.Drain + FormTime
	if reason == ReasonVersion {
		whole := g.model.WeightBytes
		downtime += time.Duration(g.model.GroupSize) * p.loadTime(whole, whole)
		return placement{domain: g.domain}, p.downtimeCost(g.model) * downtime.Seconds(), true
	}
	c, ok := p.findReplacements(g)
	if !ok || p.plannedDraw+totalDraw(c.members) > p.in.Limit {
		return placement{}, 0, false
	}
	cost := p.in.Costs.Stranded * float64(len(c.members)) * c.wait.Seconds()
	return c, cost + p.downtimeCost(g.model)*downtime.Seconds(), true
}

func (p *planner) findReplacements(g *group) (placement, bool) {
	var candidates []candidate
	for _, i := range g.domain.instances {
		if available(i, g.model, false) && !i.isStraggler() {
			candidates = append(candidates, p.newCandidate(i, g.model))
		}
	}
	need := len(membersToReplace(g))
	if len(candidates) < need {
		return placement{}, false
	}
	slices.SortFunc(candidates, compareCandidates)
	c := placement{domain: g.domain}
	for _, o := range candidates[:need] {
		c.members = append(c.members, o.instance)
	}
	c.wait = p.placementWait(c.members, g.model)
	return c, true
}

// replaceWhole reserves the members of the replacement, or forms it if they are ready.
func (p *planner) replaceWhole(g *group, c placement, reason Reason) {
	p.reserve(c, g.model, g.slotIndex, usedAsReplacement)
	if !c.ready() {
		p.preloadWaiting(c, g.model, loadReplacement)
		return
	}
	p.pendingGroups = append(p.pendingGroups, &pendingGroup{
		placement: c, model: g.model, replaces: g, reason: reason, class: loadReplacement,
	})
	p.recordReplacement(g.model, reason)
}

// swapMembers prepares the new members, and drains the group once they are prepared.
func (p *planner) swapMembers(g *group, c placement, reason Reason) {
	if !p.isPrepared(c, g.model) {
		p.reserve(c, g.model, g.slotIndex, usedAsReplacement)
		p.preloadWaiting(c, g.model, loadReplacement)
		return
	}
	p.endGroup(g, reason, p.leavingGrace(g))
	p.recordReplacement(g.model, reason)
}

func (p *planner) isPrepared(c placement, m *model) bool {
	if !c.ready() {
		return false
	}
	for _, i := range c.members {
		if p.in.StoreRate > 0 && p.missingBytes(i, m.weights()) > 0 {
			return false
		}
	}
	return true
}

func (p *planner) recordReplacement(m *model, reason Reason) {
	if reason == ReasonStraggler {
		p.out.State.StragglerReplacements[m.Name] = p.in.Now
	}
}
