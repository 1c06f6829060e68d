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
		err := f.options.Orders.SendOrder(call, next.order)
		f.orderResults <- orderResult{next, time.Since(began), err}
	}()
	return true
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
