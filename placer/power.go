package placer

import (
	"cmp"
	"slices"
	"time"

	"github.com/garnetworks/garnetworks"
)

// decidePower orders instances off and on (rules P3, P11 and P13).
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

// wantedOn returns the instances to be ordered on, the most urgent first.
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

// delayBoots spaces out the boots of several groups (rule P14): the store feeds
// one group after another, so that a group whose turn comes later would only
// stand by, powered, until then.
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

// hasBootingMember reports whether a member boots already.
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

// shouldProbe reports whether the failed instances of a domain are tried with
// one of them: all booting in vain cost more than the boot time that one costs
// (rule P7).
func (p *planner) shouldProbe(d *domain) bool {
	for _, i := range d.instances {
		if i.class != nil && i.class.largest > 0 {
			return p.in.Costs.Stranded*float64(i.class.largest) > p.in.Costs.GroupDowntime
		}
	}
	return false
}

// switchOffDue orders off what has no use any longer and returns its draw,
// with that of instances that are being switched off.
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

// trackIdle keeps the time since which the instance is of no use. The time that
// it was lost doesn't count: else one that returns late would be switched off
// before it is re-admitted.
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

// offDue returns why and when the instance is to be ordered off; an empty
// reason means that it isn't.
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

// lostDue returns when a lost instance is to be ordered off. One that boots is
// given the time that bootLimit allows, which grows with each failure.
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
// group of its domain waits for a boot, a return may be sooner, and a few lost
// instances cost less than the wait. Of a domain of which half is lost at once,
// a switch is the likelier cause than the instances, which then come back with
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

// idleDue returns the end of the hold by rule P11, but not before FlapBound has
// passed since the instance was ordered on (rule P13).
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

// breakEvenHold is the time after which holding a group's n instances has
// cost as much as booting and loading them anew would.
func (p *planner) breakEvenHold(o *pool, n int) time.Duration {
	cost := p.in.Costs.Stranded * float64(n)
	if cost <= 0 {
		return MaxHold
	}
	factor := 1 + p.in.Costs.GroupDowntime/cost
	return seconds(min(o.TimeSaved.Seconds()*factor, MaxHold.Seconds()))
}

// computeHolds computes, for each pool, how long its leftovers are held.
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

// countLosses fills in what lostHold asks for.
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
// wanting and that power is left for, or 0.
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

// countSurvivors counts the idle instances of a pool that wait for a lost member:
// a group is wanted, they are too few for it, and with those that may return
// they are enough.
func (p *planner) countSurvivors(o *pool) int {
	least := p.smallestUnplaced(o.class)
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
	if least == 0 || survivors+mayReturn < least {
		return 0
	}
	return survivors
}

// switchOffToFit gives up holds until the lack of power is covered; what is of
// the least use goes first.
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

// switchOn orders on, in order, what the pessimistic draw leaves room for. A
// later instance never overtakes an earlier one that must wait, since it would
// take the power that the earlier one waits for.
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
	// Most of a zone lost at once shows rather that this node is cut off; to
	// switch everything off would turn its own fault into the zone's.
	if lost >= massLossMinInstances && float64(lost) > massLossShare*float64(powered) {
		return MassLossGrace
	}
	return LostGrace
}
