package checker

import (
	"context"
	"slices"
	"testing"

	"github.com/pkg/errors"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/faker"
)

// InstanceListFixture holds an instance list with the given Entries, of at least two zones.
type InstanceListFixture struct {
	List    garnetworks.InstanceList
	Entries []garnetworks.ListedInstance
	Faults  FaultInjector
}

// InstanceList runs the contract suite of garnetworks.InstanceList.
func InstanceList(t *testing.T, newFixture func(t *testing.T) InstanceListFixture) {
	t.Helper()
	Run(t, newFixture, InstanceListCases())
}

// InstanceListCases returns the cases of the garnetworks.InstanceList contract.
func InstanceListCases() map[string]Case[InstanceListFixture] {
	hasFaults := func(f InstanceListFixture) bool { return f.Faults != nil }
	return map[string]Case[InstanceListFixture]{
		"each zone has its own entries": {
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
				return want("entries", len(entries), 0)
			},
		},
		"an outage is not an empty list": {
			Failure:   "The list is down, and the controller concludes that all instances are gone.",
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
		"a frozen list blocks no call beyond its context": {
			Timed:     true,
			Failure:   "The list pauses, and the zone's controller is blocked with it.",
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

// PowerSwitchFixture holds a power switch and an instance that is off.
type PowerSwitchFixture struct {
	Power    garnetworks.PowerSwitch
	Instance garnetworks.InstanceID
	// AppliedOrders returns the number of orders that took effect; it may be nil.
	AppliedOrders func() int
	Faults        FaultInjector
}

// PowerSwitch runs the contract suite of garnetworks.PowerSwitch.
func PowerSwitch(t *testing.T, newFixture func(t *testing.T) PowerSwitchFixture) {
	t.Helper()
	Run(t, newFixture, PowerSwitchCases())
}

// PowerSwitchCases returns the cases of the garnetworks.PowerSwitch contract.
func PowerSwitchCases() map[string]Case[PowerSwitchFixture] {
	hasFaults := func(f PowerSwitchFixture) bool { return f.Faults != nil }
	return map[string]Case[PowerSwitchFixture]{
		"orders take effect": {
			Failure: "The power cap is raised, but the ordered instances never start.",
			Run:     powerOnAndOff,
		},
		"a repeated order takes effect once": {
			Failure:   "An order whose response was lost is sent again after a newer one and reverts it.",
			Supported: func(f PowerSwitchFixture) bool { return f.AppliedOrders != nil },
			Run:       powerRepeated,
		},
		"a stale fencing token is refused": {
			Failure: "A controller resumes after a pause and turns on an instance that its successor turned off, so the site exceeds its power cap.",
			Run:     powerStaleToken,
		},
		"an unknown instance is reported": {
			Failure: "An instance that does not exist is taken for proven off.",
			Run: func(ctx context.Context, f PowerSwitchFixture) error {
				_, err := f.Power.Power(ctx, "no-such-instance")
				return wantKind("power", err, garnetworks.KindNotFound)
			},
		},
		"an order with a lost response has an unknown outcome": {
			Failure:   "The instance is on, but the controller is told that the order failed; the site exceeds its power cap undetected.",
			Supported: hasFaults,
			Run:       powerResponseLost,
		},
		"an outage proves no power state": {
			Failure:   "The power switch is down, and the controller takes an instance for off.",
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
		func() error { return want("counts as drawing power", state.Draws(), true) },
	)
}

// WeightStoreFixture holds a weight store that contains Weights, and the rate (bytes per
// second) and size (bytes) that it must report.
type WeightStoreFixture struct {
	Store   garnetworks.WeightStore
	Rate    int64
	Weights garnetworks.WeightID
	Size    int64
	Faults  FaultInjector
}

// WeightStore runs the contract suite of garnetworks.WeightStore.
func WeightStore(t *testing.T, newFixture func(t *testing.T) WeightStoreFixture) {
	t.Helper()
	Run(t, newFixture, WeightStoreCases())
}

// WeightStoreCases returns the cases of the garnetworks.WeightStore contract.
func WeightStoreCases() map[string]Case[WeightStoreFixture] {
	return map[string]Case[WeightStoreFixture]{
		"rate and sizes are reported": {
			Failure: "Loads are planned with a wrong size and compete for the store's rate.",
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
		"unknown weights are reported": {
			Failure: "A version that was never uploaded is planned as if it took no time to load.",
			Run: func(ctx context.Context, f WeightStoreFixture) error {
				_, err := f.Store.Size(ctx, garnetworks.WeightID{Model: "no-such-model"})
				return wantKind("size", err, garnetworks.KindNotFound)
			},
		},
		"an outage is reported": {
			Failure:   "The store is down, and its rate is read as 0.",
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
