package checker

import (
	"context"
	"slices"
	"testing"

	"github.com/pkg/errors"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/faker"
)

// EngineOrdersFixture holds a sender of engine orders and two engines that belong to no group:
// Fenced checks fencing tokens, Unfenced does not.
type EngineOrdersFixture struct {
	Orders   garnetworks.EngineOrders
	Fenced   EngineTarget
	Unfenced EngineTarget
	// Weights names weights that the weight store holds.
	Weights garnetworks.WeightID
	// Unused is an address at which nothing listens.
	Unused string
	// Faults injects faults into the Fenced engine; it may be nil.
	Faults FaultInjector
}

// EngineTarget identifies an engine and its address.
type EngineTarget struct {
	Instance garnetworks.InstanceID
	Address  string
}

// EngineOrders runs the contract suite of garnetworks.EngineOrders.
func EngineOrders(t *testing.T, newFixture func(t *testing.T) EngineOrdersFixture) {
	t.Helper()
	Run(t, newFixture, EngineOrdersCases())
}

// EngineOrdersCases returns the cases of the garnetworks.EngineOrders contract.
func EngineOrdersCases() map[string]Case[EngineOrdersFixture] {
	hasFaults := func(f EngineOrdersFixture) bool { return f.Faults != nil }
	return map[string]Case[EngineOrdersFixture]{
		"form makes the engine a member that becomes ready": {
			Failure: "The controller records a group whose members do not serve it.",
			Run:     ordersForm,
		},
		"release makes the engine idle under the release's token": {
			Failure: "A released instance stays in its old group and becomes a member of two groups; or it reports token 0 and its zone never uses it again.",
			Run:     ordersRelease,
		},
		"drain stops new calls": {
			Failure: "A leaving engine goes on accepting calls and then interrupts them.",
			Run:     ordersDrain,
		},
		"preload loads weights without joining a group": {
			Failure: "Weights are loaded in advance, and the engine takes itself for a member of a group.",
			Run:     ordersPreload,
		},
		"adapters are replaced": {
			Failure: "An adapter that was removed from the manifest is still served.",
			Run:     ordersAdapters,
		},
		"a repeated order has no effect": {
			Failure: "An order whose response was lost is sent again and interrupts the calls of a serving group.",
			Run:     ordersRepeated,
		},
		"a repeated order can change the load rate": {
			Failure: "A group starts to load at a small share of the weight store's rate and keeps that rate after it is given a larger share.",
			Run:     ordersChangeRate,
		},
		"a stale fencing token is refused by an engine that checks tokens": {
			Failure: "A controller resumes after a pause and removes an instance from a group that its successor formed.",
			Run:     ordersStaleToken,
		},
		"an engine that does not check tokens executes stale orders": {
			Failure: "Tests rely on fencing that some engines do not have.",
			Run:     ordersUnfenced,
		},
		"an unknown order is an error": {
			Failure: "An engine ignores an order of a newer version without an error, and the controller waits for its effect.",
			Run: func(ctx context.Context, f EngineOrdersFixture) error {
				_, err := f.Orders.Order(ctx, f.Fenced.Address, garnetworks.EngineOrder{ID: "1", Kind: "dance", Token: 1})
				return wantKind("order", err, garnetworks.KindInvalidRequest)
			},
		},
		"no listener": {
			Failure: "The instance is gone, but the controller is not told that its order was not executed.",
			Run: func(ctx context.Context, f EngineOrdersFixture) error {
				_, err := f.Orders.Order(ctx, f.Unused, formOrder(f, "1", 1))
				if err := wantKind("order", err, garnetworks.KindUnreachable); err != nil {
					return err
				}
				_, err = f.Orders.Status(ctx, f.Unused)
				return wantKind("status", err, garnetworks.KindUnreachable)
			},
		},
		"an order with a lost response has an unknown outcome": {
			Failure:   "The engine joined the group, but its controller is told that the order failed.",
			Supported: hasFaults,
			Run:       ordersResponseLost,
		},
		"an engine that is down is reported": {
			Failure:   "An engine that is down keeps its last known status, and its group goes on serving.",
			Supported: hasFaults,
			Run: func(ctx context.Context, f EngineOrdersFixture) error {
				f.Faults.SetFaults(faker.FaultPlan{Down: true})
				_, err := f.Orders.Status(ctx, f.Fenced.Address)
				return wantKind("status", err, garnetworks.KindUnreachable)
			},
		},
		"a frozen engine blocks no call beyond its context": {
			Timed:     true,
			Failure:   "One paused engine delays the probes of all others.",
			Supported: hasFaults,
			Run: func(ctx context.Context, f EngineOrdersFixture) error {
				f.Faults.SetFaults(faker.FaultPlan{Frozen: true})
				err := callWithTimeout(ctx, shortTimeout, func(ctx context.Context) error {
					_, err := f.Orders.Status(ctx, f.Fenced.Address)
					return err
				})
				return wantKind("status", err, garnetworks.KindUnreachable)
			},
		},
		"stalled connections are dropped": {
			Timed:     true,
			Failure:   "Probes over a stalled connection fail forever and take a healthy group out of service.",
			Supported: hasFaults,
			Run:       ordersStalled,
		},
	}
}

func formOrder(f EngineOrdersFixture, id string, token garnetworks.FencingToken) garnetworks.EngineOrder {
	return garnetworks.EngineOrder{
		ID:      id,
		Kind:    garnetworks.OrderForm,
		Token:   token,
		Group:   garnetworks.GroupID("group-" + id),
		Members: []garnetworks.InstanceID{f.Fenced.Instance, f.Unfenced.Instance},
		Model:   f.Weights.Model,
		Version: f.Weights.Version,
	}
}

// wantReady waits until the engine is ready in the order's group and reports the order's
// group, token, model, version and ID.
func wantReady(ctx context.Context, f EngineOrdersFixture, address string, order garnetworks.EngineOrder) error {
	return eventually(ctx, func() error {
		status, err := f.Orders.Status(ctx, address)
		if err != nil {
			return errors.Wrap(err, "status")
		}
		return firstError(
			func() error { return want("phase", status.Phase, garnetworks.EngineReady) },
			func() error { return want("group", status.Group, order.Group) },
			func() error { return want("token", status.Token, order.Token) },
			func() error { return want("model", status.Model, order.Model) },
			func() error { return want("version", status.Version, order.Version) },
			func() error { return want("last order", status.LastOrder, order.ID) },
			func() error { return want("has the weights", slices.Contains(status.Weights, f.Weights), true) },
		)
	})
}

func sendOrder(ctx context.Context, f EngineOrdersFixture, target EngineTarget, order garnetworks.EngineOrder) (garnetworks.EngineStatus, error) {
	status, err := f.Orders.Order(ctx, target.Address, order)
	if err != nil {
		return status, errors.Wrapf(err, "order %s", order.Kind)
	}
	return status, want("instance", status.Instance, target.Instance)
}

func ordersForm(ctx context.Context, f EngineOrdersFixture) error {
	order := formOrder(f, "1", 1<<40)
	for _, target := range []EngineTarget{f.Fenced, f.Unfenced} {
		status, err := sendOrder(ctx, f, target, order)
		if err != nil {
			return err
		}
		if err := want("group in the response", status.Group, order.Group); err != nil {
			return err
		}
		if err := wantReady(ctx, f, target.Address, order); err != nil {
			return err
		}
	}
	return nil
}

func ordersRelease(ctx context.Context, f EngineOrdersFixture) error {
	if _, err := sendOrder(ctx, f, f.Fenced, formOrder(f, "1", 1)); err != nil {
		return err
	}
	status, err := sendOrder(ctx, f, f.Fenced, garnetworks.EngineOrder{ID: "2", Kind: garnetworks.OrderRelease, Token: 2})
	if err != nil {
		return err
	}
	released := func(status garnetworks.EngineStatus) error {
		return firstError(
			func() error { return want("phase", status.Phase, garnetworks.EngineIdle) },
			func() error { return want("group", status.Group, "") },
			func() error { return want("token", status.Token, 2) },
		)
	}
	if err := released(status); err != nil {
		return err
	}
	status, err = f.Orders.Status(ctx, f.Fenced.Address)
	if err != nil {
		return errors.Wrap(err, "status")
	}
	return released(status)
}

func ordersDrain(ctx context.Context, f EngineOrdersFixture) error {
	form := formOrder(f, "1", 1)
	if _, err := sendOrder(ctx, f, f.Fenced, form); err != nil {
		return err
	}
	if err := wantReady(ctx, f, f.Fenced.Address, form); err != nil {
		return err
	}
	status, err := sendOrder(ctx, f, f.Fenced, garnetworks.EngineOrder{ID: "2", Kind: garnetworks.OrderDrain, Token: 2})
	if err != nil {
		return err
	}
	return want("phase", status.Phase, garnetworks.EngineDraining)
}

func ordersPreload(ctx context.Context, f EngineOrdersFixture) error {
	order := garnetworks.EngineOrder{
		ID:      "1",
		Kind:    garnetworks.OrderPreload,
		Token:   1,
		Model:   f.Weights.Model,
		Version: f.Weights.Version,
	}
	if _, err := sendOrder(ctx, f, f.Fenced, order); err != nil {
		return err
	}
	return eventually(ctx, func() error {
		status, err := f.Orders.Status(ctx, f.Fenced.Address)
		if err != nil {
			return errors.Wrap(err, "status")
		}
		return firstError(
			func() error { return want("group", status.Group, "") },
			func() error { return want("has the weights", slices.Contains(status.Weights, f.Weights), true) },
		)
	})
}

func ordersAdapters(ctx context.Context, f EngineOrdersFixture) error {
	form := formOrder(f, "1", 1)
	form.Adapters = []garnetworks.AdapterName{"one", "two"}
	status, err := sendOrder(ctx, f, f.Fenced, form)
	if err != nil {
		return err
	}
	if !slices.Equal(status.Adapters, form.Adapters) {
		return errors.Errorf("got adapters %v, want %v", status.Adapters, form.Adapters)
	}
	change := garnetworks.EngineOrder{ID: "2", Kind: garnetworks.OrderAdapters, Token: 1, Adapters: []garnetworks.AdapterName{"two"}}
	status, err = sendOrder(ctx, f, f.Fenced, change)
	if err != nil {
		return err
	}
	if !slices.Equal(status.Adapters, change.Adapters) {
		return errors.Errorf("got adapters %v, want %v", status.Adapters, change.Adapters)
	}
	return want("group", status.Group, form.Group)
}

func ordersRepeated(ctx context.Context, f EngineOrdersFixture) error {
	order := formOrder(f, "1", 1)
	if _, err := sendOrder(ctx, f, f.Fenced, order); err != nil {
		return err
	}
	if err := wantReady(ctx, f, f.Fenced.Address, order); err != nil {
		return err
	}
	status, err := sendOrder(ctx, f, f.Fenced, order)
	if err != nil {
		return err
	}
	return want("phase", status.Phase, garnetworks.EngineReady)
}

func ordersChangeRate(ctx context.Context, f EngineOrdersFixture) error {
	slow := formOrder(f, "1", 1)
	slow.LoadRate = 1
	status, err := sendOrder(ctx, f, f.Fenced, slow)
	if err != nil {
		return err
	}
	if err := want("phase", status.Phase, garnetworks.EngineLoading); err != nil {
		return err
	}
	quick := slow
	quick.ID, quick.LoadRate = "2", 1<<40
	if _, err := sendOrder(ctx, f, f.Fenced, quick); err != nil {
		return err
	}
	return wantReady(ctx, f, f.Fenced.Address, quick)
}

func ordersStaleToken(ctx context.Context, f EngineOrdersFixture) error {
	newer := formOrder(f, "1", 8)
	if _, err := sendOrder(ctx, f, f.Fenced, newer); err != nil {
		return err
	}
	for _, kind := range []garnetworks.OrderKind{garnetworks.OrderForm, garnetworks.OrderRelease, garnetworks.OrderDrain} {
		older := formOrder(f, "2", 7)
		older.Kind = kind
		_, err := f.Orders.Order(ctx, f.Fenced.Address, older)
		if err := wantKind("stale "+string(kind), err, garnetworks.KindStaleToken); err != nil {
			return err
		}
	}
	return wantReady(ctx, f, f.Fenced.Address, newer)
}

func ordersUnfenced(ctx context.Context, f EngineOrdersFixture) error {
	if _, err := sendOrder(ctx, f, f.Unfenced, formOrder(f, "1", 8)); err != nil {
		return err
	}
	older := formOrder(f, "2", 7)
	if _, err := sendOrder(ctx, f, f.Unfenced, older); err != nil {
		return err
	}
	return wantReady(ctx, f, f.Unfenced.Address, older)
}

func ordersResponseLost(ctx context.Context, f EngineOrdersFixture) error {
	order := formOrder(f, "1", 1)
	f.Faults.SetFaults(faker.FaultPlan{LoseAnswers: 1, Methods: []string{faker.MethodOrder}})
	_, err := f.Orders.Order(ctx, f.Fenced.Address, order)
	if err := wantKind("order", err, garnetworks.KindResponseLost); err != nil {
		return err
	}
	return wantReady(ctx, f, f.Fenced.Address, order)
}

func ordersStalled(ctx context.Context, f EngineOrdersFixture) error {
	if _, err := f.Orders.Status(ctx, f.Fenced.Address); err != nil {
		return errors.Wrap(err, "status")
	}
	f.Faults.SilenceOpen()
	err := callWithTimeout(ctx, shortTimeout, func(ctx context.Context) error {
		_, err := f.Orders.Status(ctx, f.Fenced.Address)
		return err
	})
	if err != nil {
		if err := wantKind("status on a stalled connection", err, garnetworks.KindUnreachable); err != nil {
			return err
		}
	}
	return callWithTimeout(ctx, longTimeout, func(ctx context.Context) error {
		_, err := f.Orders.Status(ctx, f.Fenced.Address)
		return errors.Wrap(err, "status afterwards")
	})
}
