package placer

import (
	"cmp"
	"slices"

	"github.com/garnetworks/garnetworks"
)

// slot is one group that the manifest requests.
type slot struct {
	model   *model
	rank    int
	minimum bool
}

// slotsOf returns the slots in the order of rule P1; models are sorted by priority
// and name. A model has at most as many slots as feasible groups, so that a very
// large maximum doesn't slow planning down.
func slotsOf(models []*model) []slot {
	var slots []slot
	for _, m := range models {
		for rank := range min(max(m.MinGroups, m.MaxGroups), m.feasibleGroups) {
			slots = append(slots, slot{model: m, rank: rank, minimum: rank < m.MinGroups})
		}
	}
	slices.SortStableFunc(slots, func(a, b slot) int {
		if a.minimum != b.minimum {
			if a.minimum {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(b.model.Priority, a.model.Priority), cmp.Compare(a.rank, b.rank))
	})
	return slots
}

// pendingGroup is a group that can form as soon as the plan is executed.
type pendingGroup struct {
	placement placement
	model     *model
	replaces  *group
	reason    Reason
	class     loadClass
	rate      int64
}

// waitingSlot is a slot whose reserved members are not all available.
type waitingSlot struct {
	placement placement
	model     *model
}

// fillSlots keeps, sheds, displaces and places groups in the order of rule P1.
func (p *planner) fillSlots() {
	p.assignSlots()
	p.reportInfeasible()
	for index, s := range p.slots {
		if s.minimum {
			p.keepOrFill(index, s)
		}
		// Displacing changes the ranks of the displaced groups' models and the placements
		// of earlier slots; the next round takes both into account.
		if p.displaced {
			return
		}
	}
	for _, s := range p.slots {
		if g := s.group(); !s.minimum && g != nil && !g.ending {
			p.keepGroup(g)
		}
	}
	for _, m := range p.models {
		for _, g := range m.replacements {
			p.keepReplacement(g)
		}
	}
	for index, s := range p.slots {
		if g := s.group(); !s.minimum && (g == nil || g.ending) {
			p.fillSlot(index, s)
		}
	}
}

// reportInfeasible reports minimum groups that have no slot.
func (p *planner) reportInfeasible() {
	for _, m := range p.models {
		cause := CauseInstances
		if m.class == nil {
			cause = CauseClass
		}
		if m.MinGroups > m.feasibleGroups {
			p.addUnmetGroups(m, cause, m.MinGroups-m.feasibleGroups)
		}
	}
}

// assignSlots assigns each live group its slot; those above the maximum end.
func (p *planner) assignSlots() {
	for index, s := range p.slots {
		if g := s.group(); g != nil {
			g.slotIndex = index
			g.minimum = s.minimum
		}
	}
	for _, m := range p.models {
		kept := min(max(m.MinGroups, m.MaxGroups), len(m.live))
		for _, g := range m.live[kept:] {
			p.endGroup(g, ReasonSurplus, p.in.Grace.Drain)
			p.recordShed(m, kept)
		}
		m.live = m.live[:kept]
	}
}

func (s slot) group() *group {
	if s.rank < len(s.model.live) {
		return s.model.live[s.rank]
	}
	return nil
}

func (p *planner) keepOrFill(index int, s slot) {
	if g := s.group(); g != nil && !g.ending {
		p.keepGroup(g)
		return
	}
	p.fillSlot(index, s)
}

// keepGroup keeps the group, or sheds it if the limit is too low (rule P3).
func (p *planner) keepGroup(g *group) bool {
	watts := totalDraw(g.members)
	if p.plannedDraw+watts > p.in.Limit {
		p.endGroup(g, ReasonPower, p.in.Grace.Shed)
		p.recordShed(g.model, p.slots[g.slotIndex].rank)
		p.addUnmet(g.model, CausePower)
		return false
	}
	p.plannedDraw += watts
	g.domain.groupCounts[g.model.index]++
	for _, i := range g.members {
		i.use = usedByGroup
		i.slotIndex = g.slotIndex
	}
	return true
}

// keepReplacement keeps a group that forms to replace another one, as long as the
// limit has power for both.
func (p *planner) keepReplacement(g *group) {
	if g.ending {
		return
	}
	watts := totalDraw(g.members)
	if p.plannedDraw+watts > p.in.Limit {
		g.replaces.replacement = nil
		p.dissolve(g, ReasonPower)
		return
	}
	p.plannedDraw += watts
	g.slotIndex = g.replaces.slotIndex
	for _, i := range g.members {
		i.use = usedByGroup
		i.slotIndex = g.slotIndex
	}
}

// fillSlot places a group in an empty slot.
func (p *planner) fillSlot(index int, s slot) {
	m := s.model
	if p.recentlyShed(s) {
		p.addUnmet(m, CausePower)
		return
	}
	if p.plannedDraw+m.class.Watts*garnetworks.Watts(m.GroupSize) > p.in.Limit {
		p.skipForPower(s)
		return
	}
	c, ok := p.chooseMembers(index, s)
	if !ok {
		m.unplaced++
		p.addUnmet(m, CauseInstances)
		return
	}
	if p.plannedDraw+totalDraw(c.members) > p.in.Limit {
		p.skipForPower(s)
		return
	}
	p.reserveSlot(index, s, c)
}

// recentlyShed reports whether the slot must stay empty for now, so that a limit or
// maximum that goes up and down doesn't form and shed the same group repeatedly
// (rule P13). Groups that remained after the shed are replaced at any time.
func (p *planner) recentlyShed(s slot) bool {
	shed, ok := p.out.State.Sheds[s.model.Name]
	end := shed.At.Add(FlapDampingTime)
	if s.minimum {
		end = shed.At.Add(ReformDelay)
	}
	if !ok || s.rank < shed.Remaining || !p.in.Now.Before(end) {
		return false
	}
	p.replanAt(end)
	return true
}

// recordShed records that the model lost all groups from a rank on.
func (p *planner) recordShed(m *model, rank int) {
	if shed, ok := p.out.State.Sheds[m.Name]; ok && shed.At.Equal(p.in.Now) {
		rank = min(rank, shed.Remaining)
	}
	p.out.State.Sheds[m.Name] = Shed{At: p.in.Now, Remaining: rank}
}

// skipForPower leaves a slot empty for lack of power. If members were reserved for
// it, the limit has fallen since, which counts as a shed.
func (p *planner) skipForPower(s slot) {
	m := s.model
	if len(m.reservations) > 0 {
		m.reservations = m.reservations[1:]
		p.recordShed(m, s.rank)
	}
	m.unplaced++
	p.addUnmet(m, CausePower)
}

// chooseMembers tries, in turn, free instances, displacing groups, and suspect
// instances (rules P5, P6 and P7).
func (p *planner) chooseMembers(index int, s slot) (placement, bool) {
	best, ok := p.bestPlacement(s.model, false)
	if ok && best.ready() {
		return best, true
	}
	kept, isKept := p.nextReservation(s.model)
	if isKept && (!ok || best.wait+ReservationHysteresis > kept.wait) {
		return kept, true
	}
	if ok {
		return best, true
	}
	if s.minimum && p.displace(index, s.model) {
		return p.bestPlacement(s.model, false)
	}
	return p.bestPlacement(s.model, true)
}

func (p *planner) reserveSlot(index int, s slot, c placement) {
	class := loadExtra
	if s.minimum {
		class = loadMinimum
	}
	p.reserve(c, s.model, index, usedBySlot)
	c.domain.groupCounts[s.model.index]++
	if c.ready() {
		p.pendingGroups = append(p.pendingGroups, &pendingGroup{placement: c, model: s.model, reason: ReasonWanted, class: class})
		return
	}
	s.model.waiting++
	p.waitingSlots = append(p.waitingSlots, waitingSlot{placement: c, model: s.model})
	p.preloadWaiting(c, s.model, loadWaiting)
	p.out.State.Reservations = append(p.out.State.Reservations, Reservation{
		Model: s.model.Name, Domain: c.domain.ID, Members: idsOf(c.members),
	})
}

func idsOf(members []*instance) []garnetworks.InstanceID {
	ids := make([]garnetworks.InstanceID, 0, len(members))
	for _, i := range members {
		ids = append(ids, i.ID)
	}
	return ids
}

// nextReservation returns the model's next reservation that is still valid.
func (p *planner) nextReservation(m *model) (placement, bool) {
	for len(m.reservations) > 0 {
		r := m.reservations[0]
		m.reservations = m.reservations[1:]
		if c, ok := p.reservedPlacement(m, r); ok {
			return c, true
		}
	}
	return placement{}, false
}

func (p *planner) reservedPlacement(m *model, r Reservation) (placement, bool) {
	at, ok := slices.BinarySearchFunc(p.domains, r.Domain, func(d *domain, id garnetworks.DomainID) int {
		return cmp.Compare(d.ID, id)
	})
	if !ok || len(r.Members) != m.GroupSize {
		return placement{}, false
	}
	c := placement{domain: p.domains[at]}
	for _, i := range c.domain.instances {
		if slices.Contains(r.Members, i.ID) && available(i, m, true) {
			c.members = append(c.members, i)
		}
	}
	c.wait = p.placementWait(c.members, m)
	return c, len(c.members) == m.GroupSize
}

// reserve marks the members as used.
func (p *planner) reserve(c placement, m *model, slotIndex int, u use) {
	c.domain.version++
	p.plannedDraw += totalDraw(c.members)
	for _, i := range c.members {
		i.use = u
		i.slotIndex = slotIndex
		i.reason = ReasonWanted
	}
}

// preloadWaiting lets the available members load while others boot.
func (p *planner) preloadWaiting(c placement, m *model, class loadClass) {
	for _, i := range c.members {
		if i.availability == idle {
			i.preload = m.weights()
			i.loadClass = class
		}
	}
}

// displace ends the groups of one domain that make room for the model (rule P6). It
// returns false if no domain has enough of them.
func (p *planner) displace(index int, m *model) bool {
	var victims []*group
	for _, d := range p.domains {
		found := p.victimsIn(d, index, m)
		if found == nil {
			continue
		}
		if victims == nil || fewerOrLater(found, victims) {
			victims = found
		}
	}
	for _, g := range victims {
		p.endGroup(g, ReasonDisplaced, p.in.Grace.Shed)
	}
	p.displaced = victims != nil
	return p.displaced
}

func fewerOrLater(a, b []*group) bool {
	if len(a) != len(b) {
		return len(a) < len(b)
	}
	return a[len(a)-1].slotIndex > b[len(b)-1].slotIndex
}

// victimsIn returns the groups, from the last slot up, that must end so that the
// domain has enough free instances for the model, or nil.
func (p *planner) victimsIn(d *domain, index int, m *model) []*group {
	freeInstances := 0
	for _, i := range d.instances {
		if available(i, m, false) {
			freeInstances++
		}
	}
	var victims []*group
	for _, n := range p.models {
		victims = append(victims, displaceable(n, d, index, m)...)
	}
	slices.SortFunc(victims, func(a, b *group) int { return cmp.Compare(b.slotIndex, a.slotIndex) })
	for n, g := range victims {
		freeInstances += countUsable(g)
		if freeInstances >= m.GroupSize {
			return victims[:n+1]
		}
	}
	return nil
}

// displaceable returns the groups of model n in the domain that may be displaced for
// model m's slot: all of a lower priority, else as many as exceed n's minimum. A
// group in a minimum slot counts as exceeding it only if enough other groups
// already serve; one that still forms can't take its place yet.
func displaceable(n *model, d *domain, index int, m *model) []*group {
	if n.class != m.class || n == m {
		return nil
	}
	surplus := -n.MinGroups
	for _, g := range n.live {
		if !g.ending && g.State == garnetworks.GroupServing {
			surplus++
		}
	}
	var found []*group
	for at := len(n.live) - 1; at >= 0; at-- {
		g := n.live[at]
		if g.ending || g.domain != d {
			continue
		}
		lower := g.slotIndex > index && n.Priority < m.Priority
		if !lower && g.minimum && surplus <= 0 {
			continue
		}
		if g.State == garnetworks.GroupServing {
			surplus--
		}
		found = append(found, g)
	}
	return found
}

func countUsable(g *group) int {
	n := 0
	for _, i := range g.members {
		if i.observation.LeaveBy.IsZero() {
			n++
		}
	}
	return n
}

func (p *planner) addUnmet(m *model, cause Cause) { p.addUnmetGroups(m, cause, 1) }

func (p *planner) addUnmetGroups(m *model, cause Cause, groups int) {
	for i := range p.out.Unmet {
		u := &p.out.Unmet[i]
		if u.Model == m.Name && u.Cause == cause {
			u.Groups += groups
			return
		}
	}
	p.out.Unmet = append(p.out.Unmet, Unmet{Model: m.Name, Groups: groups, Cause: cause})
}

func totalDraw(members []*instance) garnetworks.Watts {
	var watts garnetworks.Watts
	for _, i := range members {
		watts += i.Watts
	}
	return watts
}

func (m *model) weights() Weights {
	id := garnetworks.WeightID{Model: m.Name, Version: m.Version}
	return Weights{WeightID: id, Bytes: m.WeightBytes}
}
