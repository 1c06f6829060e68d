package former

import (
	"cmp"
	"slices"
	"time"

	"github.com/garnetworks/garnetworks"
)

// sentOrder is the last order to an instance.
type sentOrder struct {
	order garnetworks.GroupOrder
	// at is when it was sent.
	at       time.Time
	attempts int
	// taken says that the engine accepted it.
	accepted bool
}

// stagedLoad is an order to load a model onto a host.
type stagedLoad struct {
	model garnetworks.ModelName
	at    time.Time
}

// urgency is the place of an order among those that wait to be sent: what lets callers
// be served goes before what tidies up, and that before what prepares for losses
// (rule O8).
type urgency int

const (
	// urgentOpening lets a group serve that is ready now.
	urgentOpening urgency = iota
	// urgentForming brings instances from a group that can't serve into one that will.
	urgentForming
	// urgentLacking loads what a group lacks.
	urgentMissing
	// urgentTidying takes instances out of groups that were given up, and prepares
	// spares.
	urgentCleanup
	// urgentSpare loads models onto hosts that no group lacks now.
	urgentSpare
)

type urgentOrder struct {
	garnetworks.GroupOrder
	urgency urgency
}

// byUrgency returns the plan's orders in the order of sending. Those of one group stay
// together, so that it is ordered whole before the next one begins.
func (r *plan) byUrgency() []garnetworks.GroupOrder {
	slices.SortStableFunc(r.orders, func(a, b urgentOrder) int { return cmp.Compare(a.urgency, b.urgency) })
	orders := make([]garnetworks.GroupOrder, len(r.orders))
	for i := range r.orders {
		orders[i] = r.orders[i].GroupOrder
	}
	return orders
}

// Sent notes that an order of the newest plan is sent now, from when its time counts.
//
// Failure: the times of orders counted from the plan. Where hundreds were due at once,
// those at the end were sent again, and their instances left out for not having taken
// them, before they had been sent at all.
func (p *Planner) Sent(now time.Time, o garnetworks.GroupOrder) {
	switch o.Kind {
	case garnetworks.GroupStage:
		p.staged[o.Incarnation] = stagedLoad{o.Model, now}
		return
	case garnetworks.GroupJoin:
		p.joined[o.Incarnation] = garnetworks.Membership{Group: o.Group, Epoch: o.Epoch}
	}
	attempts := 1
	if s := p.sent[o.Incarnation]; s != nil && sameOrder(&s.order, &o) {
		attempts = s.attempts + 1
	}
	p.sent[o.Incarnation] = &sentOrder{order: o, at: now, attempts: attempts}
}

func sameOrder(a, b *garnetworks.GroupOrder) bool {
	return a.Kind == b.Kind && a.Group == b.Group && a.Model == b.Model
}

// Answered takes the engine's answer to an order.
func (p *Planner) Answered(now time.Time, order garnetworks.GroupOrder, err error) {
	s := p.sent[order.Incarnation]
	if s != nil && s.order.Kind == order.Kind && s.order.Group == order.Group {
		s.accepted = err == nil
	}
	gone := garnetworks.IsKind(err, garnetworks.KindNotFound)
	switch order.Kind {
	case garnetworks.GroupLeave:
		// A conflict says that the engine is not in the group any more.
		if err == nil || garnetworks.IsKind(err, garnetworks.KindConflict) {
			p.left[order.Incarnation] = garnetworks.Membership{Group: order.Group, Epoch: order.Epoch}
		}
	case garnetworks.GroupJoin:
		if gone || garnetworks.IsKind(err, garnetworks.KindStaleToken, garnetworks.KindConflict) {
			p.abandon(now, order.Group, order.Incarnation)
		}
	}
}

// send adds an order unless the same one was sent a moment ago, or the plan has another
// one for the instance.
func (r *plan) send(u urgency, o garnetworks.GroupOrder) {
	if s := r.sent[o.Incarnation]; s != nil && sameOrder(&s.order, &o) && r.now.Sub(s.at) < r.resendAfter(s) || r.ordered.Has(o.Incarnation) {
		return
	}
	r.ordered.Add(o.Incarnation)
	r.add(u, o)
}

// again returns how long an order may go without effect before it is sent again. A head
// that has taken the order to open says so by its entry after its own time only; without
// this each group was ordered to open twice or more.
func (r *plan) resendAfter(s *sentOrder) time.Duration {
	if s.accepted && s.order.Kind == garnetworks.GroupOpen {
		return r.Profile.FormTime + 2*resendInterval
	}
	return resendInterval
}

func (r *plan) add(u urgency, o garnetworks.GroupOrder) {
	o.Token = garnetworks.NewFencingToken(r.Term, 0)
	r.orders = append(r.orders, urgentOrder{o, u})
}
