package placer

import (
	"cmp"
	"slices"
	"time"

	"github.com/garnetworks/garnetworks"
)

// decidePower powers instances off and on (rules P3, P11 and P13).
func (p *planner) decidePower() {
	p.delayBoots()
	ons := p.wantedOn()
	var requested garnetworks.Watts
	for _, i := range ons {
		requested += i.Watts
	}
	excess := p.out.Drawn + requested - p.in.Limit
	excess -= p.switchOffDue()
	p.switchOffToFit(excess)
	p.switchOn(ons)
}

// wantedOn returns the instances to be powered on, the most urgent first.
func (p *planner) wantedOn() []*instance {
	var ons []*instance
	for _, d := range p.domains {
		probing := d.unrecovered && p.shouldProbe(d)
		probed := probing && hasBooting(d)
		for _, i := range d.instances {
			if i.use == unused || i.availability != switchedOff {
				continue
			}
			if i.bootDelay > 0 {
				p.replanAt(p.in.Now.Add(i.bootDelay))
				continue
			}
			if i.suspect && probed {
				continue
			}
			ons = append(ons, i)
			probed = probing
		}
	}
	slices.SortStableFunc(ons, func(a, b *instance) int { return cmp.Compare(a.slotIndex, b.slotIndex) })
	return ons
}

// delayBoots spaces out the boots of several groups (rule P14): the store loads one
// group after another, so the members of a later group would only be
// stranded until the store is free.
func (p *planner) delayBoots() {
	if p.in.StoreRate <= 0 {
		return
	}
	storeBusy := p.storeBusyTime()
	for _, w := range p.waitingSlots {
		size := float64(w.model.GroupSize)
		c := w.placement
		boot := c.longestWait(p)
		if p.in.Costs.Stranded*size > p.in.Costs.GroupDowntime && !c.hasBootingMember() {
			c.setBootDelay(storeBusy - boot - bootMargin)
		}
		storeBusy = max(storeBusy, boot) + p.placementWait(c.members, w.model) - boot
	}
}

// storeBusyTime estimates how long the store is busy with groups that load.
func (p *planner) storeBusyTime() time.Duration {
	var bytes int64
	for _, l := range p.loaders() {
		if !l.isPreload() {
			bytes += l.bytes
		}
	}
	return seconds(float64(bytes) / float64(p.in.StoreRate))
}

func (c placement) longestWait(p *planner) time.Duration {
	var longest time.Duration
	for _, i := range c.members {
		longest = max(longest, p.availabilityWait(i))
	}
	return longest
}

// hasBootingMember reports whether a member is already booting.
func (c placement) hasBootingMember() bool {
	return slices.ContainsFunc(c.members, func(i *instance) bool { return i.availability == booting })
}

func (c placement) setBootDelay(d time.Duration) {
	for _, i := range c.members {
		i.bootDelay = d
	}
}

func hasBooting(d *domain) bool {
	return slices.ContainsFunc(d.instances, func(i *instance) bool { return i.availability == booting && i.use != unused })
}

// shouldProbe reports whether the failed instances of a domain are probed by
// booting one of them: booting all of them in vain costs more than waiting for one
// boot (rule P7).
func (p *planner) shouldProbe(d *domain) bool {
	for _, i := range d.instances {
		if i.class != nil && i.class.largest > 0 {
			return p.in.Costs.Stranded*float64(i.class.largest) > p.in.Costs.GroupDowntime
		}
	}
	return false
}

// switchOffDue powers off the instances whose hold has ended and returns their
// draw plus the draw of instances that are already stopping.
func (p *planner) switchOffDue() garnetworks.Watts {
	var freed garnetworks.Watts
	for _, i := range p.instances {
		if i.Power == garnetworks.PowerStopping {
			freed += i.Watts
		}
		p.trackIdle(i)
		reason, due := p.offDue(i)
		if reason == "" {
			continue
		}
		if p.in.Now.Before(due) {
			p.replanAt(due)
			continue
		}
		p.switchOff(i, reason)
		freed += i.Watts
	}
	return freed
}

// trackIdle records since when the instance has been unused. The time for which it
// was lost doesn't count: otherwise an instance that returns late would be powered
// off before it is re-admitted.
func (p *planner) trackIdle(i *instance) {
	running := i.Power == garnetworks.PowerOn || i.Power == garnetworks.PowerStarting
	if !running || i.use != unused || i.draining || !i.history.LostSince.IsZero() {
		i.history.IdleSince = time.Time{}
		return
	}
	if i.history.IdleSince.IsZero() {
		i.history.IdleSince = p.in.Now
	}
}

// offDue returns why and when the instance is to be powered off; an empty reason
// means that it isn't.
func (p *planner) offDue(i *instance) (Reason, time.Time) {
	switch {
	case i.Power == garnetworks.PowerOff || i.Power == garnetworks.PowerStopping:
		return "", time.Time{}
	case i.use != unused || i.draining || i.class == nil || i.class.largest == 0:
		return "", time.Time{}
	case !i.history.LostSince.IsZero():
		return ReasonLost, p.lostDue(i)
	case i.Power != garnetworks.PowerOn && i.Power != garnetworks.PowerStarting:
		return "", time.Time{}
	case i.Condition == garnetworks.ConditionLeaving:
		return ReasonLeaving, i.history.IdleSince
	case !i.history.ReturnedSince.IsZero():
		return ReasonIdle, i.history.ReturnedSince.Add(ReturnGrace)
	default:
		return ReasonIdle, p.idleDue(i)
	}
}

// lostDue returns when a lost instance is to be powered off. A booting one gets at
// least the time that bootLimit allows, which grows with each failure.
func (p *planner) lostDue(i *instance) time.Time {
	due := i.history.LostSince.Add(p.lostHold(i))
	if i.Power != garnetworks.PowerStarting {
		return due
	}
	if end := i.history.PoweredOn.Add(bootLimit(i)); end.After(due) {
		return end
	}
	return due
}

// lostHold returns how long a lost instance keeps its power (rule P11). While a
// group of its domain waits for a boot, the instance may return sooner, and a few
// lost instances cost less than the wait. If half of the pool is lost at once, a
// failed network switch is likelier than failed instances, which then return with
// their weights.
func (p *planner) lostHold(i *instance) time.Duration {
	o := i.pool
	switch {
	case o.waiting > 0 && float64(o.lost-o.GroupSize)*p.in.Costs.Stranded < p.in.Costs.GroupDowntime:
		return MaxHold
	case 2*o.lost >= o.size && o.groupWanted:
		return max(p.lostGrace, p.breakEvenHold(o, o.GroupSize))
	default:
		return p.lostGrace
	}
}

// idleDue returns the end of the hold by rule P11, but not before FlapDampingTime has
// passed since the instance was powered on (rule P13).
func (p *planner) idleDue(i *instance) time.Time {
	due := i.history.IdleSince.Add(p.idleHold(i))
	if on := i.history.PoweredOn; !on.IsZero() && on.Add(FlapDampingTime).After(due) {
		due = on.Add(FlapDampingTime)
	}
	return due
}

func (p *planner) idleHold(i *instance) time.Duration {
	o := i.pool
	hold := o.hold
	if o.survivors > 0 && i.availability == idle {
		hold = max(hold, p.breakEvenHold(o, o.survivors))
	}
	return min(hold, MaxHold)
}

// breakEvenHold returns the time after which holding n instances of a group has cost
// as much as booting and loading them anew.
func (p *planner) breakEvenHold(o *pool, n int) time.Duration {
	cost := p.in.Costs.Stranded * float64(n)
	if cost <= 0 {
		return MaxHold
	}
	factor := 1 + p.in.Costs.GroupDowntime/cost
	return seconds(min(o.TimeSaved.Seconds()*factor, MaxHold.Seconds()))
}

// computeHolds computes, for each pool, how long its unused instances stay powered.
func (p *planner) computeHolds() {
	for _, o := range p.pools {
		share := 1.0
		if s := p.in.Costs.Stranded; s > 0 {
			share = min(1, o.benefitOf(len(o.kept)+1)/s)
		}
		o.hold = seconds(o.class.BootTime.Seconds() * share)
		o.survivors = p.countSurvivors(o)
		p.countLosses(o)
	}
}

// countLosses fills in the counts that lostHold uses.
func (p *planner) countLosses(o *pool) {
	o.groupWanted = p.smallestUnplaced(o.class) > 0
	for _, m := range p.models {
		o.groupWanted = o.groupWanted || m.class == o.class && m.waiting > 0
	}
	for _, i := range o.domain.instances {
		if i.class != o.class {
			continue
		}
		o.size++
		if !i.history.LostSince.IsZero() {
			o.lost++
		}
		if i.use == usedBySlot && (i.availability == booting || i.availability == switchedOff) {
			o.waiting++
		}
	}
}

// smallestUnplaced returns the size of the smallest group of the class that is
// missing and that the limit has power for, or 0.
func (p *planner) smallestUnplaced(c *class) int {
	smallest := 0
	for _, m := range p.models {
		affordable := p.plannedDraw+c.Watts*garnetworks.Watts(m.GroupSize) <= p.in.Limit
		if m.class == c && m.unplaced > 0 && affordable && (smallest == 0 || m.GroupSize < smallest) {
			smallest = m.GroupSize
		}
	}
	return smallest
}

// countSurvivors counts the idle instances of a pool that wait for a lost member. It
// returns 0 unless a group is missing that the idle instances can fill together
// with those that may return.
func (p *planner) countSurvivors(o *pool) int {
	groupSize := p.smallestUnplaced(o.class)
	survivors, mayReturn := 0, 0
	for _, i := range o.domain.instances {
		if i.class != o.class || i.use != unused {
			continue
		}
		if i.availability == idle {
			survivors++
		} else if i.history.Failures > 0 {
			mayReturn++
		}
	}
	if groupSize == 0 || survivors+mayReturn < groupSize {
		return 0
	}
	return survivors
}

// switchOffToFit ends holds until the excess is covered, those of the least useful
// instances first.
func (p *planner) switchOffToFit(excess garnetworks.Watts) {
	if excess <= 0 {
		return
	}
	var held []*instance
	for _, i := range p.instances {
		if reason, _ := p.offDue(i); reason != "" && !i.orderedOff {
			held = append(held, i)
		}
	}
	slices.SortStableFunc(held, func(a, b *instance) int { return cmp.Compare(powerOffRank(a), powerOffRank(b)) })
	for _, i := range held {
		if excess <= 0 {
			return
		}
		reason, _ := p.offDue(i)
		if reason == ReasonIdle {
			reason = ReasonPower
		}
		p.switchOff(i, reason)
		excess -= i.Watts
	}
}

func powerOffRank(i *instance) int {
	switch {
	case !i.history.LostSince.IsZero():
		return 0
	case i.availability != idle:
		return 1
	case len(i.Weights) == 0:
		return 2
	default:
		return 3
	}
}

func (p *planner) switchOff(i *instance, reason Reason) {
	i.orderedOff = true
	p.powerOffs = append(p.powerOffs, PowerOff{Domain: i.domain.ID, Instance: i.ID, Reason: reason})
	if reason == ReasonIdle || reason == ReasonPower {
		i.history.PoweredOff = p.in.Now
	}
	i.history.PoweredOn = time.Time{}
	i.history.IdleSince = time.Time{}
	i.history.Weights = garnetworks.WeightID{}
	i.history.LoadRate = 0
}

// switchOn powers on, in order, the instances that the pessimistic draw leaves room
// for. It stops at the first one that doesn't fit: a later instance would take the
// power that the earlier one waits for.
func (p *planner) switchOn(ons []*instance) {
	drawn := p.out.Drawn
	for _, i := range ons {
		if drawn+i.Watts > p.in.Limit {
			return
		}
		drawn += i.Watts
		i.history.PoweredOn = p.in.Now
		i.history.PoweredOff = time.Time{}
		p.powerOns = append(p.powerOns, PowerOn{Domain: i.domain.ID, Instance: i.ID, Reason: i.reason})
	}
}

// lostInstanceGrace returns how long lost instances keep their power.
func (p *planner) lostInstanceGrace() time.Duration {
	powered, lost := 0, 0
	for _, i := range p.instances {
		ran := i.Power == garnetworks.PowerOn || i.Power == garnetworks.PowerUnknown
		isLost := !i.history.LostSince.IsZero()
		if isLost {
			lost++
		}
		if ran || isLost {
			powered++
		}
	}
	// If most of the zone is lost at once, this node is probably partitioned from it;
	// powering everything off would turn that fault into an outage of the zone.
	if lost >= massLossMinInstances && float64(lost) > massLossShare*float64(powered) {
		return MassLossGrace
	}
	return LostGrace
}
