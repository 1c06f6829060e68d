package placer

import (
	"cmp"
	"slices"

	"github.com/garnetworks/garnetworks"
)

// slot is one group that the manifest asks for.
type slot struct {
	model   *model
	rank    int
	minimum bool
}

// slotsOf returns the slots in the order of rule P1; models are sorted by
// priority and name. A model has no more slots than the zone's instances could
// ever fill, whatever its maximum is.
func slotsOf(models []*model) []slot {
	var slots []slot
	for _, m := range models {
		for rank := range min(max(m.MinGroups, m.MaxGroups), m.reach) {
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

// pendingForm is a group that can form as soon as the plan is carried out.
type pendingForm struct {
	choice   choice
	model    *model
	replaces *group
	reason   Reason
	class    loadClass
	rate     int64
}

// pendingWait is a slot whose members are not all there.
type pendingWait struct {
	choice choice
	model  *model
}

// fillSlots keeps, sheds, displaces and places groups, in the order of P1.
func (p *planner) fillSlots() {
	p.assignSlots()
	p.noteBeyondReach()
	for order, s := range p.slots {
		if s.minimum {
			p.keepOrFill(order, s)
		}
		// What is displaced changes the ranks of its model and the choices of
		// earlier slots; the next round sees it all.
		if p.displaced {
			return
		}
	}
	for _, s := range p.slots {
		if g := s.group(); !s.minimum && g != nil && !g.ending {
			p.keep(g)
		}
	}
	for _, m := range p.models {
		for _, g := range m.shadows {
			p.keepShadow(g)
		}
	}
	for order, s := range p.slots {
		if g := s.group(); !s.minimum && (g == nil || g.ending) {
			p.fill(order, s)
		}
	}
}

// noteBeyondReach reports minimum groups that have no slot.
func (p *planner) noteBeyondReach() {
	for _, m := range p.models {
		cause := CauseInstances
		if m.class == nil {
			cause = CauseClass
		}
		if m.MinGroups > m.reach {
			p.unmetGroups(m, cause, m.MinGroups-m.reach)
		}
	}
}

// assignSlots gives each living group its slot; those above the maximum end.
func (p *planner) assignSlots() {
	for order, s := range p.slots {
		if g := s.group(); g != nil {
			g.order = order
			g.minimum = s.minimum
		}
	}
	for _, m := range p.models {
		most := min(max(m.MinGroups, m.MaxGroups), len(m.live))
		for _, g := range m.live[most:] {
			p.end(g, ReasonSurplus, p.in.Grace.Drain)
			p.noteShed(m, most)
		}
		m.live = m.live[:most]
	}
}

func (s slot) group() *group {
	if s.rank < len(s.model.live) {
		return s.model.live[s.rank]
	}
	return nil
}

func (p *planner) keepOrFill(order int, s slot) {
	if g := s.group(); g != nil && !g.ending {
		p.keep(g)
		return
	}
	p.fill(order, s)
}

// keep lets the group go on, or sheds it if the limit is too low (rule P3).
func (p *planner) keep(g *group) bool {
	watts := drawOf(g.members)
	if p.planned+watts > p.in.Limit {
		p.end(g, ReasonPower, p.in.Grace.Shed)
		p.noteShed(g.model, p.slots[g.order].rank)
		p.unmet(g.model, CausePower)
		return false
	}
	p.planned += watts
	g.domain.held[g.model.index]++
	for _, i := range g.members {
		i.use = usedByGroup
		i.order = g.order
	}
	return true
}

// keepShadow keeps a group that forms to replace another one, as long as power
// is left for both.
func (p *planner) keepShadow(g *group) {
	if g.ending {
		return
	}
	watts := drawOf(g.members)
	if p.planned+watts > p.in.Limit {
		g.replaces.replacement = nil
		p.dissolve(g, ReasonPower)
		return
	}
	p.planned += watts
	g.order = g.replaces.order
	for _, i := range g.members {
		i.use = usedByGroup
		i.order = g.order
	}
}

// fill places a group in an empty slot.
func (p *planner) fill(order int, s slot) {
	m := s.model
	if p.recentlyShed(s) {
		p.unmet(m, CausePower)
		return
	}
	if p.planned+m.class.Watts*garnetworks.Watts(m.GroupSize) > p.in.Limit {
		p.giveUp(s)
		return
	}
	c, ok := p.chooseFor(order, s)
	if !ok {
		m.unplaced++
		p.unmet(m, CauseInstances)
		return
	}
	if p.planned+drawOf(c.members) > p.in.Limit {
		p.giveUp(s)
		return
	}
	p.reserveSlot(order, s, c)
}

// recentlyShed keeps a limit or a maximum that goes up and down from forming and
// shedding the same group again and again (rule P13). Groups that were left
// then are replaced at any time.
func (p *planner) recentlyShed(s slot) bool {
	shed, ok := p.out.State.Sheds[s.model.Name]
	end := shed.At.Add(FlapBound)
	if s.minimum {
		end = shed.At.Add(ReformBound)
	}
	if !ok || s.rank < shed.Groups || !p.in.Now.Before(end) {
		return false
	}
	p.wake(end)
	return true
}

// noteShed remembers that the model lost all groups from a rank on.
func (p *planner) noteShed(m *model, rank int) {
	if shed, ok := p.out.State.Sheds[m.Name]; ok && shed.At.Equal(p.in.Now) {
		rank = min(rank, shed.Groups)
	}
	p.out.State.Sheds[m.Name] = Shed{At: p.in.Now, Groups: rank}
}

// giveUp leaves a slot empty for lack of power. If members were reserved for
// it, the limit has fallen, and their boots are in vain.
func (p *planner) giveUp(s slot) {
	m := s.model
	if len(m.reservations) > 0 {
		m.reservations = m.reservations[1:]
		p.noteShed(m, s.rank)
	}
	m.unplaced++
	p.unmet(m, CausePower)
}

// chooseFor tries, in turn, free instances, displacing, and doubtful instances
// (rules P5, P6 and P7).
func (p *planner) chooseFor(order int, s slot) (choice, bool) {
	best, ok := p.best(s.model, false)
	if ok && best.ready() {
		return best, true
	}
	kept, isKept := p.reserved(s.model)
	if isKept && (!ok || best.wait+SwitchGain > kept.wait) {
		return kept, true
	}
	if ok {
		return best, true
	}
	if s.minimum && p.displace(order, s.model) {
		return p.best(s.model, false)
	}
	return p.best(s.model, true)
}

func (p *planner) reserveSlot(order int, s slot, c choice) {
	class := loadExtra
	if s.minimum {
		class = loadMinimum
	}
	p.reserve(c, s.model, order, usedBySlot)
	c.domain.held[s.model.index]++
	if c.ready() {
		p.forms = append(p.forms, &pendingForm{choice: c, model: s.model, reason: ReasonWanted, class: class})
		return
	}
	s.model.pending++
	p.waits = append(p.waits, pendingWait{choice: c, model: s.model})
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

// reserved returns the model's next reservation that still holds.
func (p *planner) reserved(m *model) (choice, bool) {
	for len(m.reservations) > 0 {
		r := m.reservations[0]
		m.reservations = m.reservations[1:]
		if c, ok := p.reservedChoice(m, r); ok {
			return c, true
		}
	}
	return choice{}, false
}

func (p *planner) reservedChoice(m *model, r Reservation) (choice, bool) {
	at, ok := slices.BinarySearchFunc(p.domains, r.Domain, func(d *domain, id garnetworks.DomainID) int {
		return cmp.Compare(d.ID, id)
	})
	if !ok || len(r.Members) != m.GroupSize {
		return choice{}, false
	}
	c := choice{domain: p.domains[at]}
	for _, i := range c.domain.instances {
		if slices.Contains(r.Members, i.ID) && available(i, m, true) {
			c.members = append(c.members, i)
		}
	}
	c.wait = p.waitOf(c.members, m)
	return c, len(c.members) == m.GroupSize
}

// reserve takes the members for one use.
func (p *planner) reserve(c choice, m *model, order int, u use) {
	c.domain.version++
	p.planned += drawOf(c.members)
	for _, i := range c.members {
		i.use = u
		i.order = order
		i.reason = ReasonWanted
	}
}

// preloadWaiting lets the members that are there load while others boot.
func (p *planner) preloadWaiting(c choice, m *model, class loadClass) {
	for _, i := range c.members {
		if i.presence == idle {
			i.preload = m.weights()
			i.loadClass = class
		}
	}
}

// displace drains the groups of one domain that make room for the model (rule
// P6). It returns false if no domain has enough of them.
func (p *planner) displace(order int, m *model) bool {
	var victims []*group
	for _, d := range p.domains {
		found := p.victimsIn(d, order, m)
		if found == nil {
			continue
		}
		if victims == nil || fewerOrLater(found, victims) {
			victims = found
		}
	}
	for _, g := range victims {
		p.end(g, ReasonDisplaced, p.in.Grace.Shed)
	}
	p.displaced = victims != nil
	return p.displaced
}

func fewerOrLater(a, b []*group) bool {
	if len(a) != len(b) {
		return len(a) < len(b)
	}
	return a[len(a)-1].order > b[len(b)-1].order
}

// victimsIn returns the last groups of the domain that together with its free
// instances give room for the model, or nil.
func (p *planner) victimsIn(d *domain, order int, m *model) []*group {
	room := 0
	for _, i := range d.instances {
		if available(i, m, false) {
			room++
		}
	}
	var victims []*group
	for _, n := range p.models {
		victims = append(victims, displaceable(n, d, order, m)...)
	}
	slices.SortFunc(victims, func(a, b *group) int { return cmp.Compare(b.order, a.order) })
	for n, g := range victims {
		room += usableMembers(g)
		if room >= m.GroupSize {
			return victims[:n+1]
		}
	}
	return nil
}

// displaceable returns the groups of model n in the domain that may give way to
// model m's slot: all of a lower priority, else as many as are above n's
// minimum. A group that holds a minimum slot counts as above it only if enough
// others serve already; one that still forms can't stand in for it yet.
func displaceable(n *model, d *domain, order int, m *model) []*group {
	if n.class != m.class || n == m {
		return nil
	}
	above := -n.MinGroups
	for _, g := range n.live {
		if !g.ending && g.State == garnetworks.GroupServing {
			above++
		}
	}
	var found []*group
	for at := len(n.live) - 1; at >= 0; at-- {
		g := n.live[at]
		if g.ending || g.domain != d {
			continue
		}
		lower := g.order > order && n.Priority < m.Priority
		if !lower && g.minimum && above <= 0 {
			continue
		}
		if g.State == garnetworks.GroupServing {
			above--
		}
		found = append(found, g)
	}
	return found
}

func usableMembers(g *group) int {
	n := 0
	for _, i := range g.members {
		if i.observed.LeaveBy.IsZero() {
			n++
		}
	}
	return n
}

func (p *planner) unmet(m *model, cause Cause) { p.unmetGroups(m, cause, 1) }

func (p *planner) unmetGroups(m *model, cause Cause, groups int) {
	for i := range p.out.Unmet {
		u := &p.out.Unmet[i]
		if u.Model == m.Name && u.Cause == cause {
			u.Groups += groups
			return
		}
	}
	p.out.Unmet = append(p.out.Unmet, Unmet{Model: m.Name, Groups: groups, Cause: cause})
}

func drawOf(members []*instance) garnetworks.Watts {
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
