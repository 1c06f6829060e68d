package former

import (
	"context"
	"time"

	"github.com/garnetworks/garnetworks"
)

// queuedOrder is an order of the newest plan that was not sent yet.
type queuedOrder struct {
	service garnetworks.ServiceName
	order   garnetworks.GroupOrder
	// metered says that its load counts against the weight store's rate.
	metered bool
}

// orderResult is the result of an order.
type orderResult struct {
	queuedOrder
	took time.Duration
	err  error
}

// dispatch sends the queued orders that the window allows (rule O8).
func (f *Former) dispatch(ctx context.Context) {
	for len(f.queue) > 0 && f.orderWindow.available() > 0 {
		next := f.queue[0]
		f.queue = f.queue[1:]
		if !f.send(ctx, next) {
			f.queue = nil
			return
		}
	}
}

// send sends one order in a goroutine of its own (rule O4). It returns false if the lease
// does not allow any.
func (f *Former) send(ctx context.Context, next queuedOrder) bool {
	call, cancel, err := f.options.Lease.OrderContext(ctx)
	if err != nil {
		f.record(garnetworks.EventOrderRefused, &next.order, err)
		return false
	}
	began := time.Now()
	f.planners[next.service].Sent(began, next.order)
	if next.metered {
		f.loads.spend(&next.order, f.plannedServers)
	}
	f.record(garnetworks.EventOrderSent, &next.order, nil)
	f.orderWindow.start()
	f.sending.Add(1)
	go func() {
		defer f.sending.Done()
		defer cancel()
		err := sendOrder(call, f.options.Orders, next.order)
		f.orderResults <- orderResult{next, time.Since(began), err}
	}()
	return true
}

// otherGroupError is the cause of an order to join that was not sent because the engine reports that
// it is in another group.
type otherGroupError struct{ membership garnetworks.Membership }

func (e otherGroupError) Error() string {
	return "the engine is in group " + string(e.membership.Group)
}

// sendOrder sends an order. It sends a conditional one only if the engine reports to be in no other
// group, and so that it takes effect only if the engine has accepted no order since (rule O13).
func sendOrder(ctx context.Context, orders garnetworks.GroupOrders, o garnetworks.GroupOrder) error {
	if !o.Conditional {
		return orders.SendOrder(ctx, o)
	}
	report, err := orders.Report(ctx, o.Address, o.Incarnation)
	if garnetworks.IsKind(err, garnetworks.KindNotFound) {
		return err
	}
	if err != nil {
		return garnetworks.WrapError(garnetworks.KindUnreachable, err, "the engine gives no report; the order was not sent")
	}
	if !report.Accepted.Present {
		return garnetworks.Errorf(garnetworks.KindUnreachable, "the engine does not report how many orders it has accepted; the order was not sent")
	}
	if in := report.Membership; in.Group != "" && (in.Group != o.Group || in.Epoch != o.Epoch) {
		return garnetworks.WrapError(garnetworks.KindConflict, otherGroupError{in}, "the order was not sent")
	}
	o.Expect = report.Accepted
	err = orders.SendOrder(ctx, o)
	if garnetworks.IsKind(err, garnetworks.KindConflict) {
		return garnetworks.WrapError(garnetworks.KindThrottled, err, "the engine has accepted another order since its report")
	}
	return err
}

// handleOrderResult records the result of an order and decides whether a new plan is needed.
func (f *Former) handleOrderResult(a orderResult) {
	lost := garnetworks.IsKind(a.err, garnetworks.KindUnreachable, garnetworks.KindResponseLost)
	f.orderWindow.done(time.Now(), a.took, !lost)
	if p := f.planners[a.service]; p != nil {
		p.Answered(time.Now(), a.order, a.err)
	}
	if lost {
		f.scheduleProbe(a.order.Incarnation)
	}
	if a.err != nil {
		f.record(garnetworks.EventOrderRefused, &a.order, a.err)
	}
	if a.err != nil || a.order.Kind == garnetworks.GroupLeave {
		// Other responses are followed by the engine's own report, which triggers a plan.
		f.needsPlan = true
	}
}

// record emits an event for an order that was sent or refused.
func (f *Former) record(kind garnetworks.EventKind, o *garnetworks.GroupOrder, err error) {
	detail := string(o.Kind)
	if o.Model != "" {
		detail += " " + string(o.Model)
	}
	if err != nil {
		detail += ": " + err.Error()
	}
	f.options.Recorder.Record(garnetworks.Event{Kind: kind, Instance: o.Incarnation.Instance, Group: o.Group, Error: garnetworks.KindOf(err), Detail: detail})
}
