package checker

import (
	"context"
	"slices"
	"testing"

	"github.com/pkg/errors"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/faker"
)

// EngineOrdersBed is an adapter for orders with two engines that belong to no
// group, one that checks fencing tokens and one that doesn't.
type EngineOrdersBed struct {
	Orders   garnetworks.EngineOrders
	Checking EngineTarget
	Trusting EngineTarget
	// Weights are in the weight store.
	Weights garnetworks.WeightID
	// Unused is an address at which nothing listens.
	Unused string
	// Faults are those of the checking engine; they may be nil.
	Faults Faults
}

// EngineTarget is where an engine is reached.
type EngineTarget struct {
	Instance garnetworks.InstanceID
	Address  string
}

// EngineOrders checks an adapter for engine orders.
func EngineOrders(t *testing.T, open func(t *testing.T) EngineOrdersBed) {
	t.Helper()
	run(t, open, EngineOrdersCases())
}

// EngineOrdersCases returns the contract of garnetworks.EngineOrders.
func EngineOrdersCases() map[string]Case[EngineOrdersBed] {
	able := func(b EngineOrdersBed) bool { return b.Faults != nil }
	return map[string]Case[EngineOrdersBed]{
		"form makes a member that gets ready": {
			Story: "A group is formed on paper while its members serve something else.",
			Run:   ordersForm,
		},
		"release makes the engine idle under the release's token": {
			Story: "A released instance stays with its old group and is a member of two; or it reports token 0, which is taken for an echo, and is lost to its zone.",
			Run:   ordersRelease,
		},
		"drain takes no new calls": {
			Story: "A leaving engine keeps taking calls and cuts them off.",
			Run:   ordersDrain,
		},
		"preload loads without joining": {
			Story: "Weights are loaded ahead and the engine believes it is a member.",
			Run:   ordersPreload,
		},
		"adapters are replaced": {
			Story: "An adapter is taken out of the manifest and still answers.",
			Run:   ordersAdapters,
		},
		"a repeated order changes nothing": {
			Story: "An order whose answer was lost is sent again and breaks off the calls of a serving group.",
			Run:   ordersRepeated,
		},
		"a repeated order can change the rate of a load": {
			Story: "A group starts to load at what is left of the weight store's rate; when the others are done it is given more, and goes on at a crawl.",
			Run:   ordersChangeRate,
		},
		"an old token is refused by an engine that checks": {
			Story: "A paused controller wakes and takes an instance out of the group that its successor formed.",
			Run:   ordersStale,
		},
		"an engine that does not check obeys": {
			Story: "Tests believe in a protection that some engines don't have.",
			Run:   ordersTrusting,
		},
		"an unknown order is an error": {
			Story: "A newer program's order is swallowed and the controller waits for its effect.",
			Run: func(ctx context.Context, b EngineOrdersBed) error {
				_, err := b.Orders.Order(ctx, b.Checking.Address, garnetworks.EngineOrder{ID: "1", Kind: "dance", Token: 1})
				return wantKind("order", err, garnetworks.KindInvalidRequest)
			},
		},
		"nobody listens": {
			Story: "An engine's instance is gone; its order must be known not to have been carried out.",
			Run: func(ctx context.Context, b EngineOrdersBed) error {
				_, err := b.Orders.Order(ctx, b.Unused, formOrder(b, "1", 1))
				if err := wantKind("order", err, garnetworks.KindUnreachable); err != nil {
					return err
				}
				_, err = b.Orders.Status(ctx, b.Unused)
				return wantKind("status", err, garnetworks.KindUnreachable)
			},
		},
		"a lost answer is neither failed nor done": {
			Story: "The engine joined the group although its controller was told that it did not.",
			Able:  able,
			Run:   ordersLost,
		},
		"an engine that is down is said": {
			Story: "A dead member keeps its last word and its group goes on serving.",
			Able:  able,
			Run: func(ctx context.Context, b EngineOrdersBed) error {
				b.Faults.SetFaults(faker.FaultPlan{Down: true})
				_, err := b.Orders.Status(ctx, b.Checking.Address)
				return wantKind("status", err, garnetworks.KindUnreachable)
			},
		},
		"a frozen engine holds nobody beyond the context": {
			Story: "An engine pauses and holds up the probes of all others.",
			Able:  able,
			Run: func(ctx context.Context, b EngineOrdersBed) error {
				b.Faults.SetFaults(faker.FaultPlan{Frozen: true})
				err := promptly(ctx, shortWait, func(ctx context.Context) error {
					_, err := b.Orders.Status(ctx, b.Checking.Address)
					return err
				})
				return wantKind("status", err, garnetworks.KindUnreachable)
			},
		},
		"silent connections are given up": {
			Story: "Probes over a forgotten connection fail for ever and take a healthy group out.",
			Able:  able,
			Run:   ordersSilent,
		},
	}
}

func formOrder(b EngineOrdersBed, id string, token garnetworks.FencingToken) garnetworks.EngineOrder {
	return garnetworks.EngineOrder{
		ID:      id,
		Kind:    garnetworks.OrderForm,
		Token:   token,
		Group:   garnetworks.GroupID("group-" + id),
		Members: []garnetworks.InstanceID{b.Checking.Instance, b.Trusting.Instance},
		Model:   b.Weights.Model,
		Version: b.Weights.Version,
	}
}

// wantReady waits until the engine serves in the order's group.
func wantReady(ctx context.Context, b EngineOrdersBed, address string, order garnetworks.EngineOrder) error {
	return eventually(ctx, func() error {
		status, err := b.Orders.Status(ctx, address)
		if err != nil {
			return errors.Wrap(err, "status")
		}
		return steps(
			func() error { return want("phase", status.Phase, garnetworks.EngineReady) },
			func() error { return want("group", status.Group, order.Group) },
			func() error { return want("token", status.Token, order.Token) },
			func() error { return want("model", status.Model, order.Model) },
			func() error { return want("version", status.Version, order.Version) },
			func() error { return want("last order", status.LastOrder, order.ID) },
			func() error { return want("has the weights", slices.Contains(status.Weights, b.Weights), true) },
		)
	})
}

func sendOrder(ctx context.Context, b EngineOrdersBed, target EngineTarget, order garnetworks.EngineOrder) (garnetworks.EngineStatus, error) {
	status, err := b.Orders.Order(ctx, target.Address, order)
	if err != nil {
		return status, errors.Wrapf(err, "order %s", order.Kind)
	}
	return status, want("instance", status.Instance, target.Instance)
}

func ordersForm(ctx context.Context, b EngineOrdersBed) error {
	order := formOrder(b, "1", 1<<40)
	for _, target := range []EngineTarget{b.Checking, b.Trusting} {
		status, err := sendOrder(ctx, b, target, order)
		if err != nil {
			return err
		}
		if err := want("group at once", status.Group, order.Group); err != nil {
			return err
		}
		if err := wantReady(ctx, b, target.Address, order); err != nil {
			return err
		}
	}
	return nil
}

func ordersRelease(ctx context.Context, b EngineOrdersBed) error {
	if _, err := sendOrder(ctx, b, b.Checking, formOrder(b, "1", 1)); err != nil {
		return err
	}
	status, err := sendOrder(ctx, b, b.Checking, garnetworks.EngineOrder{ID: "2", Kind: garnetworks.OrderRelease, Token: 2})
	if err != nil {
		return err
	}
	released := func(status garnetworks.EngineStatus) error {
		return steps(
			func() error { return want("phase", status.Phase, garnetworks.EngineIdle) },
			func() error { return want("group", status.Group, "") },
			func() error { return want("token", status.Token, 2) },
		)
	}
	if err := released(status); err != nil {
		return err
	}
	status, err = b.Orders.Status(ctx, b.Checking.Address)
	if err != nil {
		return errors.Wrap(err, "status")
	}
	return released(status)
}

func ordersDrain(ctx context.Context, b EngineOrdersBed) error {
	form := formOrder(b, "1", 1)
	if _, err := sendOrder(ctx, b, b.Checking, form); err != nil {
		return err
	}
	if err := wantReady(ctx, b, b.Checking.Address, form); err != nil {
		return err
	}
	status, err := sendOrder(ctx, b, b.Checking, garnetworks.EngineOrder{ID: "2", Kind: garnetworks.OrderDrain, Token: 2})
	if err != nil {
		return err
	}
	return want("phase", status.Phase, garnetworks.EngineDraining)
}

func ordersPreload(ctx context.Context, b EngineOrdersBed) error {
	order := garnetworks.EngineOrder{
		ID:      "1",
		Kind:    garnetworks.OrderPreload,
		Token:   1,
		Model:   b.Weights.Model,
		Version: b.Weights.Version,
	}
	if _, err := sendOrder(ctx, b, b.Checking, order); err != nil {
		return err
	}
	return eventually(ctx, func() error {
		status, err := b.Orders.Status(ctx, b.Checking.Address)
		if err != nil {
			return errors.Wrap(err, "status")
		}
		return steps(
			func() error { return want("group", status.Group, "") },
			func() error { return want("has the weights", slices.Contains(status.Weights, b.Weights), true) },
		)
	})
}

func ordersAdapters(ctx context.Context, b EngineOrdersBed) error {
	form := formOrder(b, "1", 1)
	form.Adapters = []garnetworks.AdapterName{"one", "two"}
	status, err := sendOrder(ctx, b, b.Checking, form)
	if err != nil {
		return err
	}
	if !slices.Equal(status.Adapters, form.Adapters) {
		return errors.Errorf("got adapters %v, want %v", status.Adapters, form.Adapters)
	}
	change := garnetworks.EngineOrder{ID: "2", Kind: garnetworks.OrderAdapters, Token: 1, Adapters: []garnetworks.AdapterName{"two"}}
	status, err = sendOrder(ctx, b, b.Checking, change)
	if err != nil {
		return err
	}
	if !slices.Equal(status.Adapters, change.Adapters) {
		return errors.Errorf("got adapters %v, want %v", status.Adapters, change.Adapters)
	}
	return want("group", status.Group, form.Group)
}

func ordersRepeated(ctx context.Context, b EngineOrdersBed) error {
	order := formOrder(b, "1", 1)
	if _, err := sendOrder(ctx, b, b.Checking, order); err != nil {
		return err
	}
	if err := wantReady(ctx, b, b.Checking.Address, order); err != nil {
		return err
	}
	status, err := sendOrder(ctx, b, b.Checking, order)
	if err != nil {
		return err
	}
	return want("phase", status.Phase, garnetworks.EngineReady)
}

func ordersChangeRate(ctx context.Context, b EngineOrdersBed) error {
	slow := formOrder(b, "1", 1)
	slow.LoadRate = 1
	status, err := sendOrder(ctx, b, b.Checking, slow)
	if err != nil {
		return err
	}
	if err := want("phase", status.Phase, garnetworks.EngineLoading); err != nil {
		return err
	}
	quick := slow
	quick.ID, quick.LoadRate = "2", 1<<40
	if _, err := sendOrder(ctx, b, b.Checking, quick); err != nil {
		return err
	}
	return wantReady(ctx, b, b.Checking.Address, quick)
}

func ordersStale(ctx context.Context, b EngineOrdersBed) error {
	newer := formOrder(b, "1", 8)
	if _, err := sendOrder(ctx, b, b.Checking, newer); err != nil {
		return err
	}
	for _, kind := range []garnetworks.OrderKind{garnetworks.OrderForm, garnetworks.OrderRelease, garnetworks.OrderDrain} {
		older := formOrder(b, "2", 7)
		older.Kind = kind
		_, err := b.Orders.Order(ctx, b.Checking.Address, older)
		if err := wantKind("old "+string(kind), err, garnetworks.KindStaleToken); err != nil {
			return err
		}
	}
	return wantReady(ctx, b, b.Checking.Address, newer)
}

func ordersTrusting(ctx context.Context, b EngineOrdersBed) error {
	if _, err := sendOrder(ctx, b, b.Trusting, formOrder(b, "1", 8)); err != nil {
		return err
	}
	older := formOrder(b, "2", 7)
	if _, err := sendOrder(ctx, b, b.Trusting, older); err != nil {
		return err
	}
	return wantReady(ctx, b, b.Trusting.Address, older)
}

func ordersLost(ctx context.Context, b EngineOrdersBed) error {
	order := formOrder(b, "1", 1)
	b.Faults.SetFaults(faker.FaultPlan{LoseAnswers: 1, Methods: []string{faker.MethodOrder}})
	_, err := b.Orders.Order(ctx, b.Checking.Address, order)
	if err := wantKind("order", err, garnetworks.KindResponseLost); err != nil {
		return err
	}
	return wantReady(ctx, b, b.Checking.Address, order)
}

func ordersSilent(ctx context.Context, b EngineOrdersBed) error {
	if _, err := b.Orders.Status(ctx, b.Checking.Address); err != nil {
		return errors.Wrap(err, "status")
	}
	b.Faults.SilenceOpen()
	err := promptly(ctx, shortWait, func(ctx context.Context) error {
		_, err := b.Orders.Status(ctx, b.Checking.Address)
		return err
	})
	if err != nil {
		if err := wantKind("status on a silent connection", err, garnetworks.KindUnreachable); err != nil {
			return err
		}
	}
	return promptly(ctx, longWait, func(ctx context.Context) error {
		_, err := b.Orders.Status(ctx, b.Checking.Address)
		return errors.Wrap(err, "status afterwards")
	})
}
