package placer

import (
	"cmp"
	"slices"
	"time"

	"github.com/garnetworks/garnetworks"
)

// concurrentShare bounds the replacements of a model at one time to a part of
// its groups.
const concurrentShare = 4

// replaceMembers makes replacements before groups end (rule P8).
func (p *planner) replaceMembers() {
	for _, m := range p.models {
		for _, g := range p.replaceable(m) {
			if p.busy(m) >= max(1, len(m.live)/concurrentShare) {
				break
			}
			p.replace(g)
		}
	}
}

// busy counts the groups of the model that are on their way. Slots that nothing
// can fill don't count: a new version would else wait for them for good.
func (p *planner) busy(m *model) int {
	count := m.drains + m.pending + len(m.shadows) + m.moving
	for _, g := range m.live {
		if g.State != garnetworks.GroupServing {
			count++
		}
	}
	for _, f := range p.forms {
		if f.model == m && f.replaces == nil {
			count++
		}
	}
	return count
}

// replaceable returns the model's groups with something to replace, the most
// urgent first.
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
			firstLeave(a).Compare(firstLeave(b)),
			cmp.Compare(a.order, b.order),
		)
	})
	return groups
}

func reasonToReplace(g *group) Reason {
	if !firstLeave(g).IsZero() {
		return ReasonLeaving
	}
	if g.Version != g.model.Version {
		return ReasonVersion
	}
	if len(worse(g)) > 0 {
		return ReasonStraggler
	}
	return ""
}

func urgency(g *group) int {
	return slices.Index([]Reason{ReasonLeaving, ReasonVersion, ReasonStraggler}, reasonToReplace(g))
}

// firstLeave returns the first announced end of a member, or zero.
func firstLeave(g *group) time.Time {
	var first time.Time
	for _, i := range g.members {
		by := i.observed.LeaveBy
		if !by.IsZero() && (first.IsZero() || by.Before(first)) {
			first = by
		}
	}
	return first
}

// replace takes the cheaper way of rule P8.
func (p *planner) replace(g *group) {
	reason := reasonToReplace(g)
	if reason == ReasonStraggler && !p.mayMove(g.model) {
		return
	}
	whole, wholeCost, wholePossible := p.wholeReplacement(g)
	parts, partsCost, partsPossible := p.preparedMembers(g, reason)
	if reason == ReasonVersion && p.in.Held.Has(g.model.Name) {
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
	if reason == ReasonStraggler && p.stragglerLoss(g) <= cost {
		return
	}
	g.model.moving++
	if useWhole {
		p.formBeside(g, whole, reason)
		return
	}
	p.swapMembers(g, parts, reason)
}

// mayMove keeps two measurements of slowness that disagree from moving a model's
// groups back and forth (rule P9).
func (p *planner) mayMove(m *model) bool {
	moved, ok := p.out.State.Moves[m.Name]
	if !ok || !p.in.Now.Before(moved.Add(MoveBound)) {
		return true
	}
	p.wake(moved.Add(MoveBound))
	return false
}

func (p *planner) stragglerLoss(g *group) float64 {
	slowdown := 1.0
	for _, i := range g.members {
		if !i.isStraggler() {
			continue
		}
		s := i.observed.Slowdown
		if s <= 1 {
			s = defaultSlowdown
		}
		slowdown = max(slowdown, s)
	}
	return (1 - 1/slowdown) * p.groupCost(g.model) * StragglerHorizon.Seconds()
}

// groupCost is the cost of a whole group standing still for a second: D+g·S.
func (p *planner) groupCost(m *model) float64 {
	return p.in.Weights.GroupDowntime + float64(m.GroupSize)*p.in.Weights.Stranded
}

// wholeReplacement finds a second group to form before the first one drains.
func (p *planner) wholeReplacement(g *group) (choice, float64, bool) {
	c, ok := p.best(g.model, false)
	if !ok || p.planned+drawOf(c.members) > p.in.Limit {
		return choice{}, 0, false
	}
	busy := c.wait + FormTime + p.in.Grace.Drain
	return c, p.in.Weights.Stranded * float64(g.model.GroupSize) * busy.Seconds(), true
}

// preparedMembers finds the instances to put in the place of the bad members.
// A new version needs none: the members stay and load it after the drain.
func (p *planner) preparedMembers(g *group, reason Reason) (choice, float64, bool) {
	still := p.in.Grace.Drain + FormTime
	if reason == ReasonVersion {
		whole := g.model.WeightBytes
		still += time.Duration(g.model.GroupSize) * p.loadTime(whole, whole)
		return choice{domain: g.domain}, p.groupCost(g.model) * still.Seconds(), true
	}
	c, ok := p.replacementsFor(g)
	if !ok || p.planned+drawOf(c.members) > p.in.Limit {
		return choice{}, 0, false
	}
	cost := p.in.Weights.Stranded * float64(len(c.members)) * c.wait.Seconds()
	return c, cost + p.groupCost(g.model)*still.Seconds(), true
}

func (p *planner) replacementsFor(g *group) (choice, bool) {
	var candidates []candidate
	for _, i := range g.domain.instances {
		if available(i, g.model, false) && !i.isStraggler() {
			candidates = append(candidates, p.rate(i, g.model))
		}
	}
	need := len(worse(g))
	if len(candidates) < need {
		return choice{}, false
	}
	slices.SortFunc(candidates, compareCandidates)
	c := choice{domain: g.domain}
	for _, o := range candidates[:need] {
		c.members = append(c.members, o.instance)
	}
	c.wait = p.waitOf(c.members, g.model)
	return c, true
}

// formBeside prepares or forms the whole replacement.
func (p *planner) formBeside(g *group, c choice, reason Reason) {
	p.reserve(c, g.model, g.order, usedAsReplacement)
	if !c.ready() {
		p.preloadWaiting(c, g.model, loadReplacement)
		return
	}
	p.forms = append(p.forms, &pendingForm{
		choice: c, model: g.model, replaces: g, reason: reason, class: loadReplacement,
	})
	p.moved(g.model, reason)
}

// swapMembers prepares the new members and drains the group once they are.
func (p *planner) swapMembers(g *group, c choice, reason Reason) {
	if !p.prepared(c, g.model) {
		p.reserve(c, g.model, g.order, usedAsReplacement)
		p.preloadWaiting(c, g.model, loadReplacement)
		return
	}
	p.end(g, reason, p.leavingGrace(g))
	p.moved(g.model, reason)
}

func (p *planner) prepared(c choice, m *model) bool {
	if !c.ready() {
		return false
	}
	for _, i := range c.members {
		if p.in.StoreRate > 0 && p.missing(i, m.weights()) > 0 {
			return false
		}
	}
	return true
}

func (p *planner) moved(m *model, reason Reason) {
	if reason == ReasonStraggler {
		p.out.State.Moves[m.Name] = p.in.Now
	}
}
