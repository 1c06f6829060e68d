package controller

import (
	"fmt"
	"slices"
	"time"

	"github.com/garnetworks/garnetworks"
)

type simEngine struct {
	row         garnetworks.ListedInstance
	checks      bool
	power       garnetworks.PowerState
	bootAt      time.Time
	offAt       time.Time
	bootTime    time.Duration
	incarnation uint64
	unreachable bool
	// removed says that the platform no longer has the machine.
	removed        bool
	token          garnetworks.FencingToken
	highest        garnetworks.FencingToken
	lastObeyed     garnetworks.FencingToken
	powerToken     garnetworks.FencingToken
	lastPowerOrder string
	group          garnetworks.GroupID
	model          garnetworks.ModelName
	version        garnetworks.VersionName
	adapters       []garnetworks.AdapterName
	phase          garnetworks.EnginePhase
	loadUntil      time.Time
	weights        []garnetworks.WeightID
	lastOrder      string
	leaving        bool
	// readyAt is when the engine was last ready in each group.
	readyAt map[garnetworks.GroupID]time.Time
}

// answers reports whether the engine's process runs; a machine that was ordered to power
// off answers until it is off.
func (e *simEngine) answers() bool {
	return (e.power == garnetworks.PowerOn || e.power == garnetworks.PowerStopping) && !e.unreachable
}

func (e *simEngine) status() garnetworks.EngineStatus {
	return garnetworks.EngineStatus{
		Instance: e.row.ID, Incarnation: e.incarnation, Phase: e.phase, Group: e.group, Token: e.token,
		Model: e.model, Version: e.version, Adapters: e.adapters, Weights: slices.Clone(e.weights), LastOrder: e.lastOrder, Leaving: e.leaving,
	}
}

func (e *simEngine) tick(now time.Time) {
	if e.power == garnetworks.PowerStopping && !now.Before(e.offAt) {
		e.power = garnetworks.PowerOff
		e.restart()
	}
	if e.power == garnetworks.PowerStarting && !now.Before(e.bootAt) {
		e.power = garnetworks.PowerOn
		e.restart()
	}
	if e.phase == garnetworks.EngineLoading && !now.Before(e.loadUntil) {
		id := garnetworks.WeightID{Model: e.model, Version: e.version}
		if !slices.Contains(e.weights, id) {
			e.weights = append(e.weights, id)
		}
		e.phase = garnetworks.EngineReady
	}
	if e.answers() && e.phase == garnetworks.EngineReady {
		e.readyAt[e.group] = now
	}
}

func (e *simEngine) restart() {
	e.incarnation++
	e.token, e.highest, e.lastObeyed = 0, 0, 0
	e.group, e.model, e.version, e.adapters, e.weights = "", "", "", nil, nil
	e.phase, e.lastOrder, e.leaving = garnetworks.EngineIdle, "", false
	e.row.State = garnetworks.ListedLive
}

func (e *simEngine) order(s *sim, o garnetworks.EngineOrder) (garnetworks.EngineStatus, error) {
	if !e.answers() {
		return garnetworks.EngineStatus{}, garnetworks.Errorf(garnetworks.KindUnreachable, "")
	}
	if e.checks && o.Token < e.highest {
		return e.status(), garnetworks.Errorf(garnetworks.KindStaleToken, "")
	}
	if !e.checks && o.Token < e.lastObeyed {
		s.fail("%s, which ignores tokens, obeyed %s after %s", e.row.ID, o.ID, e.lastObeyed)
	}
	if o.Kind == garnetworks.OrderForm {
		what, key := fmt.Sprint(o.Group, o.Members, o.Model, o.Version), fmt.Sprint(e.row.Domain, o.Token)
		if old, ok := s.formed[key]; ok && old != what {
			s.fail("token %s was issued for %s and for %s", o.Token, old, what)
		}
		s.formed[key] = what
	}
	e.highest = max(e.highest, o.Token)
	e.lastObeyed = max(e.lastObeyed, o.Token)
	if o.ID == e.lastOrder {
		return e.status(), nil
	}
	e.lastOrder = o.ID
	e.carryOut(s.now, o)
	return e.status(), nil
}

func (e *simEngine) carryOut(now time.Time, o garnetworks.EngineOrder) {
	switch o.Kind {
	case garnetworks.OrderForm:
		if o.Group == e.group && o.Token == e.token {
			return
		}
		e.group, e.token, e.model, e.version, e.adapters = o.Group, o.Token, o.Model, o.Version, o.Adapters
		e.phase = garnetworks.EngineLoading
		e.loadUntil = now.Add(20 * time.Second)
		if slices.Contains(e.weights, garnetworks.WeightID{Model: o.Model, Version: o.Version}) {
			e.loadUntil = now.Add(time.Second)
		}
	case garnetworks.OrderRelease:
		e.group, e.token, e.phase = "", o.Token, garnetworks.EngineIdle
	case garnetworks.OrderDrain:
		if e.phase != garnetworks.EngineIdle {
			e.phase = garnetworks.EngineDraining
		}
	case garnetworks.OrderAdapters:
		e.adapters = o.Adapters
	}
}

func (e *simEngine) setPower(now time.Time, o garnetworks.PowerOrder) error {
	if e.removed {
		return garnetworks.Errorf(garnetworks.KindNotFound, "")
	}
	if o.Token < e.powerToken {
		return garnetworks.Errorf(garnetworks.KindStaleToken, "")
	}
	e.powerToken = o.Token
	if e.lastPowerOrder == o.ID {
		return nil
	}
	e.lastPowerOrder = o.ID
	switch {
	case o.On && e.power == garnetworks.PowerOff:
		e.power = garnetworks.PowerStarting
		e.bootAt = now.Add(e.bootTime)
		e.unreachable = false
	case !o.On && e.power != garnetworks.PowerOff:
		// The switch acknowledges before the machine is off.
		e.power = garnetworks.PowerStopping
		e.offAt = now.Add(3 * time.Second)
	}
	return nil
}
