package controller

import (
	"time"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/grouper"
)

// sendOrders asks for the engine orders that are due and may go out.
func (p *deciding) sendOrders() {
	for _, d := range p.open {
		for _, order := range grouper.Orders(&d.Ahead, p.fresh, p.loads) {
			beyond, ok := p.maySend(d.DomainState, order)
			if ok && p.pace(order) {
				again := p.orders[order.Instance].first.Before(p.o.Now)
				p.e.Orders = append(p.e.Orders, EngineEffect{AddressedOrder: order, BeyondLease: beyond, Again: again})
			}
		}
	}
	p.readBack()
}

// maySend keeps rules C2 to C4 and C7.
func (p *deciding) maySend(d *DomainState, order grouper.AddressedOrder) (beyond, ok bool) {
	written := recorded(d, order.Instance)
	if written && p.o.Term != 0 {
		return false, true
	}
	if !p.failing(d) || !order.ChecksFencing {
		return false, false
	}
	i := grouper.FindInstance(&d.Ahead, order.Instance)
	if g := grouper.FindGroup(&d.Ahead, i.Group); g != nil && !allCheck(&d.Ahead, g.Members) {
		return false, false
	}
	return true, true
}

// recorded reports whether the newest decision about the instance is proven to
// be written. Every decision issues a token but for a drain, which keeps the
// group's.
func recorded(d *DomainState, id garnetworks.InstanceID) bool {
	stored := grouper.FindInstance(&d.Stored, id)
	decided := grouper.FindInstance(&d.Ahead, id)
	return stored != nil && decided != nil &&
		stored.Token == decided.Token && stored.Group == decided.Group && d.Stored.Term == d.Ahead.Term &&
		drains(&d.Stored, stored.Group) == drains(&d.Ahead, decided.Group)
}

func drains(d *garnetworks.FabricDomain, id garnetworks.GroupID) bool {
	g := grouper.FindGroup(d, id)
	return g != nil && g.State == garnetworks.GroupDraining
}

// pace lets one order at a time go to an instance, and the same one again only
// after a while.
func (p *deciding) pace(order grouper.AddressedOrder) bool {
	sent := p.orders[order.Instance]
	if sent == nil {
		sent = &sentOrder{}
		p.orders[order.Instance] = sent
	}
	if sent.busy || (sent.id == order.ID && p.o.Now.Sub(sent.at) < p.Times.Retry) {
		return false
	}
	first := p.o.Now
	if sent.kind == order.Kind && sent.token == order.Token {
		first = sent.first
	}
	*sent = sentOrder{id: order.ID, kind: order.Kind, token: order.Token, busy: true, at: p.o.Now, first: first}
	return true
}

// OnOrder takes in the answer to an engine order that was sent at the given
// time. A refused token means that another holder has been there.
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

// readBack asks the instances themselves that nobody else hears, so that what
// they say decides (C7): those that must show their release, those whose newest
// word the shared table does not take because its token is lower, and silent
// ones.
func (p *deciding) readBack() {
	for _, d := range p.sorted() {
		for n := range d.Ahead.Instances {
			i := &d.Ahead.Instances[n]
			if p.wantsReadBack(i) {
				p.e.ReadBacks = append(p.e.ReadBacks, ReadBack{i.ID, i.Address})
			}
		}
	}
}

func (p *deciding) wantsReadBack(i *garnetworks.Instance) bool {
	if i.Power == garnetworks.PowerOff || i.Power == garnetworks.PowerStopping || i.Address == "" {
		return false
	}
	_, fresh := p.fresh[i.ID]
	if fresh && i.Condition != garnetworks.ConditionReturned && p.o.Now.Sub(p.heard[i.ID]) < p.Times.ReadBack {
		return false
	}
	read := p.reads[i.ID]
	if read == nil {
		read = &nextCall{}
		p.reads[i.ID] = read
	}
	return read.start(p.o.Now)
}

// OnReadBack takes in a status that was read directly.
func (s *ZoneState) OnReadBack(sent time.Time, id garnetworks.InstanceID, status garnetworks.EngineStatus, err error) {
	if read := s.reads[id]; read != nil {
		read.done(sent.Add(s.Times.ReadBack))
	}
	s.OnStatus(sent, status, err)
}

// sendPower asks for the power orders that are due: only of written decisions
// and only under the lease (C2, C5).
func (p *deciding) sendPower() {
	if p.o.Term == 0 {
		return
	}
	for _, d := range p.open {
		for _, order := range grouper.PowerOrders(&d.Ahead) {
			if recorded(d.DomainState, order.Instance) && p.pacePower(order) {
				p.e.Power = append(p.e.Power, PowerEffect{order})
			}
		}
	}
}

func (p *deciding) pacePower(order garnetworks.PowerOrder) bool {
	sent := p.power[order.Instance]
	if sent == nil || sent.id != order.ID {
		p.power[order.Instance] = &sentPower{id: order.ID, token: order.Token, busy: true, at: p.o.Now, first: p.o.Now}
		return true
	}
	if sent.busy || (sent.acked && order.On) || p.o.Now.Sub(sent.at) < p.Times.Retry {
		return false
	}
	sent.busy = true
	sent.at = p.o.Now
	return true
}

// OnPower takes in the answer to a power order; for an order to power off,
// proven is what the switch read after it acknowledged the order.
func (s *ZoneState) OnPower(now time.Time, order garnetworks.PowerOrder, proven garnetworks.PowerState, err error) {
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
		s.gone.Add(order.Instance)
	case err != nil:
	case order.On:
		sent.acked = true
	case proven == garnetworks.PowerOff:
		s.proveOff(now, order)
	}
}

func (s *ZoneState) proveOff(now time.Time, order garnetworks.PowerOrder) {
	for _, d := range s.Domains {
		a, err := grouper.Open(&d.Ahead, s.Term)
		if err != nil || !a.ConfirmOff(order.Instance, order.Token) {
			continue
		}
		d.Ahead = *a.Domain()
		d.Urgency = grouper.Hard
		s.offAt[order.Instance] = now
	}
}
