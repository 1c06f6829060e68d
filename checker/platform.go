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
type InstanceListBed struct {
	List   garnetworks.InstanceList
	Rows   []garnetworks.ListedInstance
	Faults Faults
}

// InstanceList checks an instance list.
func InstanceList(t *testing.T, open func(t *testing.T) InstanceListBed) {
	t.Helper()
	run(t, open, InstanceListCases())
}

// InstanceListCases returns the contract of garnetworks.InstanceList.
func InstanceListCases() map[string]Case[InstanceListBed] {
	able := func(b InstanceListBed) bool { return b.Faults != nil }
	return map[string]Case[InstanceListBed]{
		"each zone has its own rows": {
			Story: "A zone's controller forms a group with another zone's instance.",
			Run:   listRows,
		},
		"an unknown zone is empty": {
			Story: "A zone without instances looks like an outage of the list.",
			Run: func(ctx context.Context, b InstanceListBed) error {
				rows, err := b.List.Instances(ctx, "no-such-zone")
				if err != nil {
					return errors.Wrap(err, "instances")
				}
				return want("rows", len(rows), 0)
			},
		},
		"an outage is not an empty list": {
			Story: "The list is down, and the controller takes all instances for gone.",
			Able:  able,
			Run: func(ctx context.Context, b InstanceListBed) error {
				b.Faults.SetFaults(faker.FaultPlan{Down: true})
				_, err := b.List.Instances(ctx, b.Rows[0].Zone)
				b.Faults.SetFaults(faker.FaultPlan{})
				if err := wantKind("instances", err, garnetworks.KindUnreachable); err != nil {
					return err
				}
				return listRows(ctx, b)
			},
		},
		"a frozen list holds nobody beyond the context": {
			Story: "The list pauses, and with it the zone's controller.",
			Able:  able,
			Run: func(ctx context.Context, b InstanceListBed) error {
				b.Faults.SetFaults(faker.FaultPlan{Frozen: true})
				err := promptly(ctx, shortWait, func(ctx context.Context) error {
					_, err := b.List.Instances(ctx, b.Rows[0].Zone)
					return err
				})
				return wantKind("instances", err, garnetworks.KindUnreachable)
			},
		},
	}
}

func listRows(ctx context.Context, b InstanceListBed) error {
	zones := garnetworks.NewSet[garnetworks.ZoneID]()
	for _, row := range b.Rows {
		zones.Add(row.Zone)
	}
	for zone := range zones {
		rows, err := b.List.Instances(ctx, zone)
		if err != nil {
			return errors.Wrap(err, "instances")
		}
		wanted := slices.DeleteFunc(slices.Clone(b.Rows), func(r garnetworks.ListedInstance) bool { return r.Zone != zone })
		if !sameRows(rows, wanted) {
			return errors.Errorf("zone %s: got %v, want %v", zone, rows, wanted)
		}
	}
	return nil
}

func sameRows(a, b []garnetworks.ListedInstance) bool {
	if len(a) != len(b) {
		return false
	}
	for _, row := range a {
		if !slices.Contains(b, row) {
			return false
		}
	}
	return true
}

// PowerSwitchBed is a power switch with an instance that is off.
type PowerSwitchBed struct {
	Power    garnetworks.PowerSwitch
	Instance garnetworks.InstanceID
	// Orders returns the number of orders that took effect; it may be nil.
	Orders func() int
	Faults Faults
}

// PowerSwitch checks a power switch.
func PowerSwitch(t *testing.T, open func(t *testing.T) PowerSwitchBed) {
	t.Helper()
	run(t, open, PowerSwitchCases())
}

// PowerSwitchCases returns the contract of garnetworks.PowerSwitch.
func PowerSwitchCases() map[string]Case[PowerSwitchBed] {
	able := func(b PowerSwitchBed) bool { return b.Faults != nil }
	return map[string]Case[PowerSwitchBed]{
		"orders take effect": {
			Story: "The cap is raised and the ordered instances never start.",
			Run:   powerOnAndOff,
		},
		"a repeated order takes effect once": {
			Story: "An order whose answer was lost is sent again after a newer one and undoes it.",
			Able:  func(b PowerSwitchBed) bool { return b.Orders != nil },
			Run:   powerRepeated,
		},
		"an old token is refused": {
			Story: "A paused controller wakes and powers an instance on that its successor has turned off; the site exceeds its cap.",
			Run:   powerStale,
		},
		"an unknown instance is said": {
			Story: "An instance that does not exist is taken for proven off.",
			Run: func(ctx context.Context, b PowerSwitchBed) error {
				_, err := b.Power.Power(ctx, "no-such-instance")
				return wantKind("power", err, garnetworks.KindNotFound)
			},
		},
		"a lost answer is neither failed nor done": {
			Story: "The instance is on although the controller was told that the order failed; the cap is exceeded unseen.",
			Able:  able,
			Run:   powerLost,
		},
		"an outage proves nothing": {
			Story: "The switch is down and the controller takes an instance for off.",
			Able:  able,
			Run:   powerDown,
		},
	}
}

func powerOrder(b PowerSwitchBed, id string, on bool, token garnetworks.FencingToken) garnetworks.PowerOrder {
	return garnetworks.PowerOrder{ID: id, Instance: b.Instance, On: on, Token: token}
}

func wantPower(ctx context.Context, b PowerSwitchBed, state garnetworks.PowerState) error {
	return eventually(ctx, func() error {
		got, err := b.Power.Power(ctx, b.Instance)
		if err != nil {
			return errors.Wrap(err, "power")
		}
		return want("power", got, state)
	})
}

func powerOnAndOff(ctx context.Context, b PowerSwitchBed) error {
	return steps(
		func() error { return wantPower(ctx, b, garnetworks.PowerOff) },
		func() error { return b.Power.SetPower(ctx, powerOrder(b, "1", true, 1)) },
		func() error { return wantPower(ctx, b, garnetworks.PowerOn) },
		func() error { return b.Power.SetPower(ctx, powerOrder(b, "2", false, 2)) },
		func() error { return wantPower(ctx, b, garnetworks.PowerOff) },
	)
}

func powerRepeated(ctx context.Context, b PowerSwitchBed) error {
	for range 3 {
		if err := b.Power.SetPower(ctx, powerOrder(b, "1", true, 1)); err != nil {
			return errors.Wrap(err, "set power")
		}
	}
	return want("orders", b.Orders(), 1)
}

func powerStale(ctx context.Context, b PowerSwitchBed) error {
	return steps(
		func() error { return b.Power.SetPower(ctx, powerOrder(b, "1", false, 7)) },
		func() error {
			err := b.Power.SetPower(ctx, powerOrder(b, "2", true, 6))
			return wantKind("set power", err, garnetworks.KindStaleToken)
		},
		func() error { return wantPower(ctx, b, garnetworks.PowerOff) },
	)
}

func powerLost(ctx context.Context, b PowerSwitchBed) error {
	b.Faults.SetFaults(faker.FaultPlan{LoseAnswers: 1, Methods: []string{faker.MethodSetPower}})
	err := b.Power.SetPower(ctx, powerOrder(b, "1", true, 1))
	if err := wantKind("set power", err, garnetworks.KindResponseLost); err != nil {
		return err
	}
	return wantPower(ctx, b, garnetworks.PowerOn)
}

func powerDown(ctx context.Context, b PowerSwitchBed) error {
	b.Faults.SetFaults(faker.FaultPlan{Down: true})
	setErr := b.Power.SetPower(ctx, powerOrder(b, "1", true, 1))
	state, err := b.Power.Power(ctx, b.Instance)
	b.Faults.SetFaults(faker.FaultPlan{})
	return steps(
		func() error {
			return wantKind("set power", setErr, garnetworks.KindUnreachable, garnetworks.KindResponseLost)
		},
		func() error { return wantKind("power", err, garnetworks.KindUnreachable) },
		func() error { return want("nothing is proven", state.Draws(), true) },
	)
}

// WeightStoreBed is a weight store that holds the weights.
type WeightStoreBed struct {
	Store   garnetworks.WeightStore
	Rate    int64
	Weights garnetworks.WeightID
	Size    int64
	Faults  Faults
}

// WeightStore checks a weight store.
func WeightStore(t *testing.T, open func(t *testing.T) WeightStoreBed) {
	t.Helper()
	run(t, open, WeightStoreCases())
}

// WeightStoreCases returns the contract of garnetworks.WeightStore.
func WeightStoreCases() map[string]Case[WeightStoreBed] {
	return map[string]Case[WeightStoreBed]{
		"rate and sizes": {
			Story: "Loads are planned with a wrong size and starve each other.",
			Run: func(ctx context.Context, b WeightStoreBed) error {
				rate, err := b.Store.Rate(ctx)
				if err != nil {
					return errors.Wrap(err, "rate")
				}
				size, err := b.Store.Size(ctx, b.Weights)
				if err != nil {
					return errors.Wrap(err, "size")
				}
				return steps(
					func() error { return want("rate", rate, b.Rate) },
					func() error { return want("size", size, b.Size) },
				)
			},
		},
		"unknown weights are said": {
			Story: "A version that was never uploaded is planned as if it took no time to load.",
			Run: func(ctx context.Context, b WeightStoreBed) error {
				_, err := b.Store.Size(ctx, garnetworks.WeightID{Model: "no-such-model"})
				return wantKind("size", err, garnetworks.KindNotFound)
			},
		},
		"an outage is said": {
			Story: "The store is down and its rate is read as 0.",
			Able:  func(b WeightStoreBed) bool { return b.Faults != nil },
			Run: func(ctx context.Context, b WeightStoreBed) error {
				b.Faults.SetFaults(faker.FaultPlan{Down: true})
				_, rateErr := b.Store.Rate(ctx)
				_, sizeErr := b.Store.Size(ctx, b.Weights)
				return steps(
					func() error { return wantKind("rate", rateErr, garnetworks.KindUnreachable) },
					func() error { return wantKind("size", sizeErr, garnetworks.KindUnreachable) },
				)
			},
		},
	}
}
