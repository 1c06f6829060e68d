package faker

import (
	"context"
	"slices"
	"time"

	"github.com/garnetworks/garnetworks"
)

// Order executes an order and returns the engine's status after it.
func (e *Engine) Order(ctx context.Context, order garnetworks.EngineOrder) (garnetworks.EngineStatus, error) {
	if !e.on() {
		return garnetworks.EngineStatus{}, errNoEngine(e.Spec().Address)
	}
	return withFaults(ctx, &e.Faults, MethodOrder, failedWrite(garnetworks.KindUnreachable), func() (garnetworks.EngineStatus, error) {
		e.fleet.mu.Lock()
		defer e.fleet.mu.Unlock()
		if err := e.execute(order); err != nil {
			return garnetworks.EngineStatus{}, err
		}
		return e.status(), nil
	})
}

func (e *Engine) execute(order garnetworks.EngineOrder) error {
	if e.spec.ChecksFencing && order.Token < e.highestToken {
		return garnetworks.Errorf(garnetworks.KindStaleToken, "token %v is lower than %v", order.Token, e.highestToken)
	}
	if order.ID != "" && order.ID == e.lastOrder {
		return nil
	}
	if err := e.dispatch(order); err != nil {
		return err
	}
	e.highestToken = max(e.highestToken, order.Token)
	e.lastOrder = order.ID
	e.orders++
	return nil
}

func (e *Engine) dispatch(order garnetworks.EngineOrder) error {
	switch order.Kind {
	case garnetworks.OrderForm:
		return e.form(order)
	case garnetworks.OrderRelease:
		e.leave("the group was released")
		// Readers of statuses ignore one with a lower token than an earlier one, so the engine
		// keeps the order's token after the release.
		e.token = order.Token
	case garnetworks.OrderDrain:
		e.drain()
	case garnetworks.OrderPreload:
		e.load(order)
	case garnetworks.OrderAdapters:
		e.adapters = slices.Clone(order.Adapters)
	default:
		return garnetworks.Errorf(garnetworks.KindInvalidRequest, "unknown order %q", order.Kind)
	}
	return nil
}

// form joins the engine to a group. Repeating the current group and token only changes the
// rate of a running load.
func (e *Engine) form(order garnetworks.EngineOrder) error {
	if !slices.Contains(order.Members, e.spec.ID) {
		return garnetworks.Errorf(garnetworks.KindInvalidRequest, "%s is not among the members of group %s", e.spec.ID, order.Group)
	}
	if order.Group == e.group && order.Token == e.token {
		e.load(order)
		return nil
	}
	e.leave("the engine joined another group")
	e.group, e.token = order.Group, order.Token
	e.members = slices.Clone(order.Members)
	e.model, e.version = order.Model, order.Version
	e.adapters = slices.Clone(order.Adapters)
	e.phase = garnetworks.EngineLoading
	e.load(order)
	return nil
}

func (e *Engine) leave(reason string) {
	e.abortAll(reason)
	e.cancelLoads()
	e.phase = garnetworks.EngineIdle
	e.group, e.token, e.members = "", 0, nil
	e.model, e.version, e.adapters = "", "", nil
}

func (e *Engine) drain() {
	if e.phase != garnetworks.EngineIdle {
		e.phase = garnetworks.EngineDraining
	}
}

func (e *Engine) cancelLoads() {
	for _, l := range e.loads {
		l.cancel()
	}
	e.loads = make(map[garnetworks.WeightID]*load)
}

// load loads the order's weights in the background, or at once if the fleet has no store.
// If that load is already running, it only changes its rate.
func (e *Engine) load(order garnetworks.EngineOrder) {
	id := garnetworks.WeightID{Model: order.Model, Version: order.Version}
	switch {
	case slices.Contains(e.weights, id):
		e.updateReadiness()
	case e.fleet.Store == nil:
		e.addWeights(id)
	case e.loads[id] != nil:
		e.fleet.Store.setRate(e.loads[id], order.LoadRate)
	default:
		ctx, cancel := context.WithCancel(e.fleet.ctx)
		l := &load{requestedRate: order.LoadRate, cancel: cancel}
		e.loads[id] = l
		go e.loadWeights(ctx, id, l)
	}
}

func (e *Engine) addWeights(id garnetworks.WeightID) {
	e.weights = append(e.weights, id)
	e.updateReadiness()
}

// updateReadiness ends the loading phase once the group's weights are loaded.
func (e *Engine) updateReadiness() {
	id := garnetworks.WeightID{Model: e.model, Version: e.version}
	if e.phase == garnetworks.EngineLoading && slices.Contains(e.weights, id) {
		e.phase = garnetworks.EngineReady
	}
}

// loadRetry is the delay before a failed load is retried.
const loadRetry = 200 * time.Millisecond

func (e *Engine) loadWeights(ctx context.Context, id garnetworks.WeightID, l *load) {
	for e.fleet.Store.read(ctx, id, l) != nil {
		if sleep(ctx, loadRetry) != nil {
			return
		}
	}
	e.fleet.mu.Lock()
	defer e.fleet.mu.Unlock()
	if ctx.Err() != nil {
		return
	}
	l.cancel()
	delete(e.loads, id)
	e.addWeights(id)
}
