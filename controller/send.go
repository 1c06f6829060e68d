package controller

import (
	"time"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/grouper"
)

// sendOrders adds the engine orders that are due and allowed to the effects.
func (p *activeStep) sendOrders() {
	for _, d := range p.open {
		for _, order := range grouper.Orders(&d.Decided, p.fresh, p.loads) {
			withoutLease, ok := p.maySend(d.DomainState, order)
			if ok && p.startOrder(order) {
				retry := p.orders[order.Instance].firstSent.Before(p.o.Now)
				p.e.Orders = append(p.e.Orders, EngineEffect{AddressedOrder: order, WithoutLease: withoutLease, Retry: retry})
			}
		}
	}
	p.readBack()
}

// maySend reports whether an order may be sent (rules C2 to C4 and C7). An order whose decision
// is stored may be sent under the lease. While the lease or the domain's object fails, an order
// may be sent without the lease if its instance and all members of the group check fencing.
func (p *activeStep) maySend(d *DomainState, order grouper.AddressedOrder) (withoutLease, ok bool) {
	written := decisionStored(d, order.Instance)
	if written && p.o.Term != 0 {
		return false, true
	}
	if !p.failing(d) || !order.ChecksFencing {
		return false, false
	}
	i := grouper.FindInstance(&d.Decided, order.Instance)
	if g := grouper.FindGroup(&d.Decided, i.Group); g != nil && !allCheckFencing(&d.Decided, g.Members) {
		return false, false
	}
	return true, true
}

// decisionStored reports whether the newest decision about the instance is known to be
// stored. Every decision issues a new token except a drain, which keeps the group's.
func decisionStored(d *DomainState, id garnetworks.InstanceID) bool {
	stored := grouper.FindInstance(&d.Stored, id)
	decided := grouper.FindInstance(&d.Decided, id)
	return stored != nil && decided != nil &&
		stored.Token == decided.Token && stored.Group == decided.Group && d.Stored.Term == d.Decided.Term &&
		isDraining(&d.Stored, stored.Group) == isDraining(&d.Decided, decided.Group)
}

func isDraining(d *garnetworks.FabricDomain, id garnetworks.GroupID) bool {
	g := grouper.FindGroup(d, id)
	return g != nil && g.State == garnetworks.GroupDraining
}

// startOrder reports whether an order may be sent now, and marks it as in flight. An
// instance gets one order at a time, and the same order again only after Times.Retry.
func (p *activeStep) startOrder(order grouper.AddressedOrder) bool {
	sent := p.orders[order.Instance]
	if sent == nil {
		sent = &sentOrder{}
		p.orders[order.Instance] = sent
	}
	if sent.busy || (sent.id == order.ID && p.o.Now.Sub(sent.at) < p.Times.Retry) {
		return false
	}
	firstSent := p.o.Now
	if sent.kind == order.Kind && sent.token == order.Token {
		firstSent = sent.firstSent
	}
	*sent = sentOrder{id: order.ID, kind: order.Kind, token: order.Token, busy: true, at: p.o.Now, firstSent: firstSent}
	return true
}

// OnOrder handles the answer to an engine order that was sent at the given time. A
// rejected token means that another holder has sent orders to the engine.
func (s *ZoneState) OnOrder(sent time.Time, effect EngineEffect, status garnetworks.EngineStatus, err error) {
	if o := s.orders[effect.Instance]; o != nil && o.id == effect.ID {
		o.busy = false
	}
	if garnetworks.IsKind(err, garnetworks.KindStaleToken) && effect.Token.Term() == s.Term {
		s.refused = "the engine on " + string(effect.Instance) + " refused " + effect.ID
		return
	}
	s.OnStatus(sent, status, err)
}

// readBack requests statuses directly from the instances of which a report of their own is
// needed (rule C7): those that must confirm their release, those whose newest status the
// shared table rejects because its token is lower, and those without a recent status.
func (p *activeStep) readBack() {
	for _, d := range p.sortedDomains() {
		for n := range d.Decided.Instances {
			i := &d.Decided.Instances[n]
			if p.wantsReadBack(i) {
				p.e.ReadBacks = append(p.e.ReadBacks, ReadBack{i.ID, i.Address})
			}
		}
	}
}

func (p *activeStep) wantsReadBack(i *garnetworks.Instance) bool {
	if i.Power == garnetworks.PowerOff || i.Power == garnetworks.PowerStopping || i.Address == "" {
		return false
	}
	_, fresh := p.fresh[i.ID]
	if fresh && i.Condition != garnetworks.ConditionReturned && p.o.Now.Sub(p.lastStatus[i.ID]) < p.Times.ReadBack {
		return false
	}
	read := p.reads[i.ID]
	if read == nil {
		read = &periodicCall{}
		p.reads[i.ID] = read
	}
	return read.start(p.o.Now)
}

// OnReadBack handles a status that was read directly.
func (s *ZoneState) OnReadBack(sent time.Time, id garnetworks.InstanceID, status garnetworks.EngineStatus, err error) {
	if read := s.reads[id]; read != nil {
		read.done(sent.Add(s.Times.ReadBack))
	}
	s.OnStatus(sent, status, err)
}

// sendPower adds the power orders that are due to the effects, only for stored decisions and
// only under the lease (rules C2 and C5).
func (p *activeStep) sendPower() {
	if p.o.Term == 0 {
		return
	}
	for _, d := range p.open {
		for _, order := range grouper.PowerOrders(&d.Decided) {
			if decisionStored(d.DomainState, order.Instance) && p.startPowerOrder(order) {
				p.e.Power = append(p.e.Power, PowerEffect{order})
			}
		}
	}
}

func (p *activeStep) startPowerOrder(order garnetworks.PowerOrder) bool {
	sent := p.power[order.Instance]
	if sent == nil || sent.id != order.ID {
		p.power[order.Instance] = &sentPower{id: order.ID, token: order.Token, busy: true, at: p.o.Now, firstSent: p.o.Now}
		return true
	}
	if sent.busy || (sent.acked && order.On) || p.o.Now.Sub(sent.at) < p.Times.Retry {
		return false
	}
	sent.busy = true
	sent.at = p.o.Now
	return true
}

// OnPower handles the answer to a power order; for an order to power off, state is what
// the switch reported after it acknowledged the order.
func (s *ZoneState) OnPower(now time.Time, order garnetworks.PowerOrder, state garnetworks.PowerState, err error) {
	sent := s.power[order.Instance]
	if sent == nil || sent.id != order.ID {
		return
	}
	sent.busy = false
	s.changed = true
	switch {
	case garnetworks.IsKind(err, garnetworks.KindStaleToken):
		if order.Token.Term() == s.Term {
			s.refused = "the power switch refused " + order.ID
		}
	case garnetworks.IsKind(err, garnetworks.KindNotFound):
		s.removed.Add(order.Instance)
	case err != nil:
	case order.On:
		sent.acked = true
	case state == garnetworks.PowerOff:
		s.confirmOff(now, order)
	}
}

func (s *ZoneState) confirmOff(now time.Time, order garnetworks.PowerOrder) {
	for _, d := range s.Domains {
		a, err := grouper.Open(&d.Decided, s.Term)
		if err != nil || !a.ConfirmOff(order.Instance, order.Token) {
			continue
		}
		d.Decided = *a.Domain()
		d.Urgency = grouper.Hard
		s.offAt[order.Instance] = now
	}
}
