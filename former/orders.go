package former

import (
	"cmp"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/garnetworks/garnetworks"
)

// sentOrder is the last order other than a stage that was sent to an instance.
type sentOrder struct {
	order garnetworks.GroupOrder
	// at is when it was last sent.
	at       time.Time
	attempts int
	// accepted says that the engine accepted it.
	accepted bool
}

// stagedLoad is an order to load a model onto a host.
type stagedLoad struct {
	model garnetworks.ModelName
	at    time.Time
}

// urgency is the priority of an order that waits to be sent, the most urgent first (rule O8).
type urgency int

const (
	// urgentOpening lets a group serve that is ready.
	urgentOpening urgency = iota
	// urgentForming moves instances from a group that can't serve into one that will.
	urgentForming
	// urgentMissing loads the models that a group lacks.
	urgentMissing
	// urgentCleanup takes instances out of abandoned groups and prewarms spares.
	urgentCleanup
	// urgentSpare loads models onto hosts for which no group is waiting.
	urgentSpare
)

type urgentOrder struct {
	garnetworks.GroupOrder
	urgency urgency
}

// byUrgency returns the plan's orders in the order of sending. The sort is stable, so that
// the orders of one group stay together.
func (r *plan) byUrgency() []garnetworks.GroupOrder {
	slices.SortStableFunc(r.orders, func(a, b urgentOrder) int { return cmp.Compare(a.urgency, b.urgency) })
	orders := make([]garnetworks.GroupOrder, len(r.orders))
	for i := range r.orders {
		orders[i] = r.orders[i].GroupOrder
	}
	return orders
}

// Sent records that an order of the newest plan is sent now.
//
// An order's time counts from its sending and not from the plan. Otherwise the last of
// hundreds of orders would be sent again, and their instances excluded for not accepting them,
// before they had been sent at all.
func (p *Planner) Sent(now time.Time, o garnetworks.GroupOrder) {
	switch o.Kind {
	case garnetworks.GroupStage:
		p.staged[o.Incarnation] = stagedLoad{o.Model, now}
		return
	case garnetworks.GroupJoin:
		p.joined[o.Incarnation] = garnetworks.Membership{Group: o.Group, Epoch: o.Epoch}
		p.joinSent(&o)
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

// Answered records the engine's response to an order.
func (p *Planner) Answered(now time.Time, order garnetworks.GroupOrder, err error) {
	s := p.sent[order.Incarnation]
	if s != nil && s.order.Kind == order.Kind && s.order.Group == order.Group {
		s.accepted = err == nil
	}
	gone := garnetworks.IsKind(err, garnetworks.KindNotFound)
	switch order.Kind {
	case garnetworks.GroupLeave:
		// A conflict means that the engine is no longer in the group.
		if err == nil || garnetworks.IsKind(err, garnetworks.KindConflict) {
			p.left[order.Incarnation] = departure{garnetworks.Membership{Group: order.Group, Epoch: order.Epoch}, now}
		}
	case garnetworks.GroupJoin:
		p.joinAnswered(&order, err)
		var other otherGroupError
		if errors.As(err, &other) {
			p.foundIn(now, &order, other.membership)
			return
		}
		if gone || garnetworks.IsKind(err, garnetworks.KindStaleToken, garnetworks.KindConflict) {
			p.abandon(now, order.Group, order.Incarnation)
		}
	}
}

// send adds an order unless the same one was sent a moment ago, or the plan already has one
// for the instance.
func (r *plan) send(u urgency, o garnetworks.GroupOrder) {
	if s := r.sent[o.Incarnation]; s != nil && sameOrder(&s.order, &o) && r.now.Sub(s.at) < r.resendAfter(s) || r.ordered.Has(o.Incarnation) {
		return
	}
	r.ordered.Add(o.Incarnation)
	r.add(u, o)
}

// resendAfter returns how long an order may go without effect before it is sent again. A head
// that has accepted an order to open reports it only after FormTime.
func (r *plan) resendAfter(s *sentOrder) time.Duration {
	if s.accepted && s.order.Kind == garnetworks.GroupOpen {
		return r.Profile.FormTime + 2*resendInterval
	}
	return resendInterval
}

func (r *plan) add(u urgency, o garnetworks.GroupOrder) {
	o.Conditional = o.Kind == garnetworks.GroupJoin && r.earlierJoinOutstanding(&o)
	o.Token = garnetworks.NewFencingToken(r.Term, 0)
	r.orders = append(r.orders, urgentOrder{o, u})
}
