package checker

import (
	"context"
	"slices"
	"testing"

	"github.com/pkg/errors"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/faker"
)

// InstanceListBed is an instance list that holds Rows, of at least two zones.
type InstanceListFixture struct {
	List    garnetworks.InstanceList
	Entries []garnetworks.ListedInstance
	Faults  FaultInjector
}

// InstanceList checks an instance list.
func InstanceList(t *testing.T, newFixture func(t *testing.T) InstanceListFixture) {
	t.Helper()
	run(t, newFixture, InstanceListCases())
}

// InstanceListCases returns the contract of garnetworks.InstanceList.
func InstanceListCases() map[string]Case[InstanceListFixture] {
	hasFaults := func(f InstanceListFixture) bool { return f.Faults != nil }
	return map[string]Case[InstanceListFixture]{
		"each zone has its own rows": {
			Failure: "A zone's controller forms a group with another zone's instance.",
			Run:     listEntries,
		},
		"an unknown zone is empty": {
			Failure: "A zone without instances looks like an outage of the list.",
			Run: func(ctx context.Context, f InstanceListFixture) error {
				entries, err := f.List.Instances(ctx, "no-such-zone")
				if err != nil {
					return errors.Wrap(err, "instances")
				}
				return want("rows", len(entries), 0)
			},
		},
		"an outage is not an empty list": {
			Failure:   "The list is down, and the controller takes all instances for gone.",
			Supported: hasFaults,
			Run: func(ctx context.Context, f InstanceListFixture) error {
				f.Faults.SetFaults(faker.FaultPlan{Down: true})
				_, err := f.List.Instances(ctx, f.Entries[0].Zone)
				f.Faults.SetFaults(faker.FaultPlan{})
				if err := wantKind("instances", err, garnetworks.KindUnreachable); err != nil {
					return err
				}
				return listEntries(ctx, f)
			},
		},
		"a frozen list holds nobody beyond the context": {
			Failure:   "The list pauses, and with it the zone's controller.",
			Supported: hasFaults,
			Run: func(ctx context.Context, f InstanceListFixture) error {
				f.Faults.SetFaults(faker.FaultPlan{Frozen: true})
				err := callWithTimeout(ctx, shortTimeout, func(ctx context.Context) error {
					_, err := f.List.Instances(ctx, f.Entries[0].Zone)
					return err
				})
				return wantKind("instances", err, garnetworks.KindUnreachable)
			},
		},
	}
}

func listEntries(ctx context.Context, f InstanceListFixture) error {
	zones := garnetworks.NewSet[garnetworks.ZoneID]()
	for _, entry := range f.Entries {
		zones.Add(entry.Zone)
	}
	for zone := range zones {
		entries, err := f.List.Instances(ctx, zone)
		if err != nil {
			return errors.Wrap(err, "instances")
		}
		wanted := slices.DeleteFunc(slices.Clone(f.Entries), func(r garnetworks.ListedInstance) bool { return r.Zone != zone })
		if !sameEntries(entries, wanted) {
			return errors.Errorf("zone %s: got %v, want %v", zone, entries, wanted)
		}
	}
	return nil
}

func sameEntries(a, other []garnetworks.ListedInstance) bool {
	if len(a) != len(other) {
		return false
	}
	for _, entry := range a {
		if !slices.Contains(other, entry) {
			return false
		}
	}
	return true
}

// PowerSwitchBed is a power switch with an instance that is off.
type PowerSwitchFixture struct {
	Power    garnetworks.PowerSwitch
	Instance garnetworks.InstanceID
	// Orders returns the number of orders that took effect; it may be nil.
	AppliedOrders func() int
	Faults        FaultInjector
}

// PowerSwitch checks a power switch.
func PowerSwitch(t *testing.T, newFixture func(t *testing.T) PowerSwitchFixture) {
	t.Helper()
	run(t, newFixture, PowerSwitchCases())
}

// PowerSwitchCases returns the contract of garnetworks.PowerSwitch.
func PowerSwitchCases() map[string]Case[PowerSwitchFixture] {
	hasFaults := func(f PowerSwitchFixture) bool { return f.Faults != nil }
	return map[string]Case[PowerSwitchFixture]{
		"orders take effect": {
			Failure: "The cap is raised and the ordered instances never start.",
			Run:     powerOnAndOff,
		},
		"a repeated order takes effect once": {
			Failure:   "An order whose answer was lost is sent again after a newer one and undoes it.",
			Supported: func(f PowerSwitchFixture) bool { return f.AppliedOrders != nil },
			Run:       powerRepeated,
		},
		"an old token is refused": {
			Failure: "A paused controller wakes and powers an instance on that its successor has turned off; the site exceeds its cap.",
			Run:     powerStaleToken,
		},
		"an unknown instance is said": {
			Failure: "An instance that does not exist is taken for proven off.",
			Run: func(ctx context.Context, f PowerSwitchFixture) error {
				_, err := f.Power.Power(ctx, "no-such-instance")
				return wantKind("power", err, garnetworks.KindNotFound)
			},
		},
		"a lost answer is neither failed nor done": {
			Failure:   "The instance is on although the controller was told that the order failed; the cap is exceeded unseen.",
			Supported: hasFaults,
			Run:       powerResponseLost,
		},
		"an outage proves nothing": {
			Failure:   "The switch is down and the controller takes an instance for off.",
			Supported: hasFaults,
			Run:       powerDown,
		},
	}
}

func powerOrder(f PowerSwitchFixture, id string, on bool, token garnetworks.FencingToken) garnetworks.PowerOrder {
	return garnetworks.PowerOrder{ID: id, Instance: f.Instance, On: on, Token: token}
}

func wantPower(ctx context.Context, f PowerSwitchFixture, state garnetworks.PowerState) error {
	return eventually(ctx, func() error {
		got, err := f.Power.Power(ctx, f.Instance)
		if err != nil {
			return errors.Wrap(err, "power")
		}
		return want("power", got, state)
	})
}

func powerOnAndOff(ctx context.Context, f PowerSwitchFixture) error {
	return firstError(
		func() error { return wantPower(ctx, f, garnetworks.PowerOff) },
		func() error { return f.Power.SetPower(ctx, powerOrder(f, "1", true, 1)) },
		func() error { return wantPower(ctx, f, garnetworks.PowerOn) },
		func() error { return f.Power.SetPower(ctx, powerOrder(f, "2", false, 2)) },
		func() error { return wantPower(ctx, f, garnetworks.PowerOff) },
	)
}

func powerRepeated(ctx context.Context, f PowerSwitchFixture) error {
	for range 3 {
		if err := f.Power.SetPower(ctx, powerOrder(f, "1", true, 1)); err != nil {
			return errors.Wrap(err, "set power")
		}
	}
	return want("orders", f.AppliedOrders(), 1)
}

func powerStaleToken(ctx context.Context, f PowerSwitchFixture) error {
	return firstError(
		func() error { return f.Power.SetPower(ctx, powerOrder(f, "1", false, 7)) },
		func() error {
			err := f.Power.SetPower(ctx, powerOrder(f, "2", true, 6))
			return wantKind("set power", err, garnetworks.KindStaleToken)
		},
		func() error { return wantPower(ctx, f, garnetworks.PowerOff) },
	)
}

func powerResponseLost(ctx context.Context, f PowerSwitchFixture) error {
	f.Faults.SetFaults(faker.FaultPlan{LoseAnswers: 1, Methods: []string{faker.MethodSetPower}})
	err := f.Power.SetPower(ctx, powerOrder(f, "1", true, 1))
	if err := wantKind("set power", err, garnetworks.KindResponseLost); err != nil {
		return err
	}
	return wantPower(ctx, f, garnetworks.PowerOn)
}

func powerDown(ctx context.Context, f PowerSwitchFixture) error {
	f.Faults.SetFaults(faker.FaultPlan{Down: true})
	setErr := f.Power.SetPower(ctx, powerOrder(f, "1", true, 1))
	state, err := f.Power.Power(ctx, f.Instance)
	f.Faults.SetFaults(faker.FaultPlan{})
	return firstError(
		func() error {
			return wantKind("set power", setErr, garnetworks.KindUnreachable, garnetworks.KindResponseLost)
		},
		func() error { return wantKind("power", err, garnetworks.KindUnreachable) },
		func() error { return want("nothing is proven", state.Draws(), true) },
	)
}

// WeightStoreBed is a weight store that holds the weights.
type WeightStoreFixture struct {
	Store   garnetworks.WeightStore
	Rate    int64
	Weights garnetworks.WeightID
	Size    int64
	Faults  FaultInjector
}

// WeightStore checks a weight store.
func WeightStore(t *testing.T, newFixture func(t *testing.T) WeightStoreFixture) {
	t.Helper()
	run(t, newFixture, WeightStoreCases())
}

// WeightStoreCases returns the contract of garnetworks.WeightStore.
func WeightStoreCases() map[string]Case[WeightStoreFixture] {
	return map[string]Case[WeightStoreFixture]{
		"rate and sizes": {
			Failure: "Loads are planned with a wrong size and starve each other.",
			Run: func(ctx context.Context, f WeightStoreFixture) error {
				rate, err := f.Store.Rate(ctx)
				if err != nil {
					return errors.Wrap(err, "rate")
				}
				size, err := f.Store.Size(ctx, f.Weights)
				if err != nil {
					return errors.Wrap(err, "size")
				}
				return firstError(
					func() error { return want("rate", rate, f.Rate) },
					func() error { return want("size", size, f.Size) },
				)
			},
		},
		"unknown weights are said": {
			Failure: "A version that was never uploaded is planned as if it took no time to load.",
			Run: func(ctx context.Context, f WeightStoreFixture) error {
				_, err := f.Store.Size(ctx, garnetworks.WeightID{Model: "no-such-model"})
				return wantKind("size", err, garnetworks.KindNotFound)
			},
		},
		"an outage is said": {
			Failure:   "The store is down and its rate is read as 0.",
			Supported: func(f WeightStoreFixture) bool { return f.Faults != nil },
			Run: func(ctx context.Context, f WeightStoreFixture) error {
				f.Faults.SetFaults(faker.FaultPlan{Down: true})
				_, rateErr := f.Store.Rate(ctx)
				_, sizeErr := f.Store.Size(ctx, f.Weights)
				return firstError(
					func() error { return wantKind("rate", rateErr, garnetworks.KindUnreachable) },
					func() error { return wantKind("size", sizeErr, garnetworks.KindUnreachable) },
				)
			},
		},
	}
}
