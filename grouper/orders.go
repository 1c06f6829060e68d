package grouper

import (
	"fmt"
	"slices"

	"github.com/garnetworks/garnetworks"
)

// AddressedOrder is an order with its destination.
type AddressedOrder struct {
	garnetworks.EngineOrder
	Instance garnetworks.InstanceID
	Address  string
	// ChecksFencing says whether the engine refuses stale tokens.
	ChecksFencing bool
}

// LoadPlan holds the load rates and preloads that the plan assigns to instances. An instance
// may be absent.
type LoadPlan struct {
	// Rates are in bytes per second.
	Rates map[garnetworks.InstanceID]int64
	// Preloads are for instances in no group.
	Preloads map[garnetworks.InstanceID]garnetworks.WeightID
	// MinRate delays the order to form while the member's rate is set but lower, since an
	// engine may keep the rate with which it began to load.
	MinRate int64
}

// Orders returns the orders that bring the engines from their reported state to the state of
// the domain. It is level-triggered: an order whose response was lost is returned again with
// the same ID until the engine's status shows its effect, and orders of earlier decisions are
// never returned again. Engines without a fresh status get no orders.
func Orders(d *garnetworks.FabricDomain, fresh Statuses, loads LoadPlan) []AddressedOrder {
	var orders []AddressedOrder
	for n := range d.Instances {
		i := &d.Instances[n]
		s, ok := fresh[i.ID]
		if !ok || i.Power == garnetworks.PowerStopping || i.Power == garnetworks.PowerOff {
			continue
		}
		order, due := orderFor(d, i, s, loads)
		if due {
			orders = append(orders, AddressedOrder{EngineOrder: order, Instance: i.ID, Address: i.Address, ChecksFencing: i.ChecksFencing})
		}
	}
	return orders
}

func orderFor(d *garnetworks.FabricDomain, i *garnetworks.Instance, s garnetworks.EngineStatus, loads LoadPlan) (garnetworks.EngineOrder, bool) {
	if i.Group == "" {
		return idleOrder(i, s, loads)
	}
	g := FindGroup(d, i.Group)
	if g == nil {
		return garnetworks.EngineOrder{}, false
	}
	switch g.State {
	case garnetworks.GroupForming, garnetworks.GroupLoading, garnetworks.GroupServing:
		return memberOrder(i, g, s, loads)
	case garnetworks.GroupDraining:
		return drainOrder(g, s)
	}
	return garnetworks.EngineOrder{}, false
}

func idleOrder(i *garnetworks.Instance, s garnetworks.EngineStatus, loads LoadPlan) (garnetworks.EngineOrder, bool) {
	if s.Group != "" || (i.Condition == garnetworks.ConditionReturned && !released(i, s)) {
		return garnetworks.EngineOrder{
			ID:    releaseID(i.Token),
			Kind:  garnetworks.OrderRelease,
			Token: i.Token,
			Group: s.Group,
		}, true
	}
	weights, wanted := loads.Preloads[i.ID]
	if !wanted || i.Condition != garnetworks.ConditionHealthy || slices.Contains(s.Weights, weights) {
		return garnetworks.EngineOrder{}, false
	}
	rate := loads.Rates[i.ID]
	id := fmt.Sprintf("preload/%s/%s/%d", i.Token, weights, rate)
	return garnetworks.EngineOrder{
		ID:       id,
		Kind:     garnetworks.OrderPreload,
		Token:    i.Token,
		Model:    weights.Model,
		Version:  weights.Version,
		LoadRate: rate,
	}, s.LastOrder != id
}

func memberOrder(i *garnetworks.Instance, g *garnetworks.Group, s garnetworks.EngineStatus, loads LoadPlan) (garnetworks.EngineOrder, bool) {
	rate := loads.Rates[i.ID]
	form := garnetworks.EngineOrder{
		ID:       fmt.Sprintf("form/%s/%d", g.ID, rate),
		Kind:     garnetworks.OrderForm,
		Token:    g.Token,
		Group:    g.ID,
		Members:  slices.Clone(g.Members),
		Model:    g.Model,
		Version:  g.Version,
		Adapters: slices.Clone(g.Adapters),
		LoadRate: rate,
	}
	if s.Group != g.ID || s.Token != g.Token {
		return form, rate == 0 || rate >= loads.MinRate
	}
	if s.Phase == garnetworks.EngineLoading && rate > 0 && s.LastOrder != form.ID {
		return form, true
	}
	if s.Phase == garnetworks.EngineReady && !sameAdapters(s.Adapters, g.Adapters) {
		return garnetworks.EngineOrder{
			ID:       fmt.Sprintf("adapters/%s/%v", g.ID, g.Adapters),
			Kind:     garnetworks.OrderAdapters,
			Token:    g.Token,
			Group:    g.ID,
			Model:    g.Model,
			Version:  g.Version,
			Adapters: slices.Clone(g.Adapters),
		}, true
	}
	return garnetworks.EngineOrder{}, false
}

func drainOrder(g *garnetworks.Group, s garnetworks.EngineStatus) (garnetworks.EngineOrder, bool) {
	due := s.Group == g.ID && s.Token == g.Token &&
		(s.Phase == garnetworks.EngineReady || s.Phase == garnetworks.EngineLoading)
	return garnetworks.EngineOrder{
		ID:    fmt.Sprintf("drain/%s", g.ID),
		Kind:  garnetworks.OrderDrain,
		Token: g.Token,
		Group: g.ID,
	}, due
}

func sameAdapters(a, b []garnetworks.AdapterName) bool {
	if len(a) != len(b) {
		return false
	}
	for _, x := range a {
		if !slices.Contains(b, x) {
			return false
		}
	}
	return true
}

// PowerOrders returns the power orders that are due: those of instances whose decided power
// state is not confirmed yet.
func PowerOrders(d *garnetworks.FabricDomain) []garnetworks.PowerOrder {
	var orders []garnetworks.PowerOrder
	for n := range d.Instances {
		i := &d.Instances[n]
		switch i.Power {
		case garnetworks.PowerStarting:
			orders = append(orders, powerOrder(i, true))
		case garnetworks.PowerStopping:
			orders = append(orders, powerOrder(i, false))
		}
	}
	return orders
}

func powerOrder(i *garnetworks.Instance, on bool) garnetworks.PowerOrder {
	state := "off"
	if on {
		state = "on"
	}
	return garnetworks.PowerOrder{
		ID:       fmt.Sprintf("power-%s/%s/%s", state, i.ID, i.Token),
		Instance: i.ID,
		On:       on,
		Token:    i.Token,
	}
}

// Drawn returns the domain's power draw, counting every instance not proven off (rule G4).
func Drawn(d *garnetworks.FabricDomain) garnetworks.Watts {
	var sum garnetworks.Watts
	for n := range d.Instances {
		if d.Instances[n].Power.Draws() {
			sum += d.Instances[n].Watts
		}
	}
	return sum
}
