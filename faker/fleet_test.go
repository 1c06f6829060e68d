package faker

import (
	"context"
	"flag"
	"fmt"
	"os"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/garnetworks/garnetworks"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true", "rapid.checks": "100"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// oracle models the expected state of one engine.
type oracle struct {
	on, frozen, down bool
	checksFencing    bool
	group            garnetworks.GroupID
	token, highest   garnetworks.FencingToken
	members          []garnetworks.InstanceID
	draining         bool
}

// fleetMachine applies random orders and faults to a fleet and compares which engines
// accept a call with the oracle's prediction (rules F2 and F5).
type fleetMachine struct {
	fleet  *Fleet
	ids    []garnetworks.InstanceID
	states map[garnetworks.InstanceID]*oracle
	orders int
}

func newFleetMachine() *fleetMachine {
	m := &fleetMachine{fleet: NewFleet(nil, nil), states: make(map[garnetworks.InstanceID]*oracle)}
	for i := range 4 {
		id := garnetworks.InstanceID(fmt.Sprintf("e%d", i))
		m.fleet.Add(EngineSpec{ListedInstance: garnetworks.ListedInstance{ID: id}, On: true, ChecksFencing: i < 2})
		m.ids = append(m.ids, id)
		m.states[id] = &oracle{on: true, checksFencing: i < 2}
	}
	return m
}

func (m *fleetMachine) drawEngine(t *rapid.T) (*Engine, *oracle) {
	id := rapid.SampledFrom(m.ids).Draw(t, "engine")
	return m.fleet.Engine(id), m.states[id]
}

func (o *oracle) reachable() bool { return o.on && !o.down && !o.frozen }

// reset models a restarted process.
func (o *oracle) reset() {
	o.group, o.token, o.highest, o.members, o.draining = "", 0, 0, nil, false
}

func (m *fleetMachine) order(t *rapid.T, e *Engine, o *oracle, order garnetworks.EngineOrder) {
	m.orders++
	order.ID = fmt.Sprintf("order-%d", m.orders)
	order.Token = garnetworks.FencingToken(rapid.Uint64Range(1, 6).Draw(t, "token"))
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_, err := e.Order(ctx, order)
	stale := o.checksFencing && order.Token < o.highest
	switch {
	case !o.reachable():
		if err == nil {
			t.Fatalf("an unreachable engine executed an order")
		}
		return
	case stale:
		if !garnetworks.IsKind(err, garnetworks.KindStaleToken) {
			t.Fatalf("got error %v for token %v after %v", err, order.Token, o.highest)
		}
		return
	case err != nil:
		t.Fatal(err)
	}
	o.highest = max(o.highest, order.Token)
	o.apply(order)
}

func (o *oracle) apply(order garnetworks.EngineOrder) {
	switch order.Kind {
	case garnetworks.OrderForm:
		if order.Group != o.group || order.Token != o.token {
			o.group, o.token, o.members, o.draining = order.Group, order.Token, order.Members, false
		}
	case garnetworks.OrderRelease:
		o.group, o.token, o.members, o.draining = "", order.Token, nil, false
	case garnetworks.OrderDrain:
		o.draining = o.group != ""
	}
}

func (m *fleetMachine) form(t *rapid.T) {
	// Each group has fixed members, as a group decided once does.
	first := rapid.IntRange(0, len(m.ids)-2).Draw(t, "first")
	members := slices.Clone(m.ids[first : first+2])
	id := rapid.SampledFrom(members).Draw(t, "member")
	m.order(t, m.fleet.Engine(id), m.states[id], garnetworks.EngineOrder{
		Kind:    garnetworks.OrderForm,
		Group:   garnetworks.GroupID(fmt.Sprintf("g%d", first)),
		Members: members,
		Model:   "model",
		Version: "v1",
	})
}

func (m *fleetMachine) orderOf(kind garnetworks.OrderKind) func(*rapid.T) {
	return func(t *rapid.T) {
		e, o := m.drawEngine(t)
		m.order(t, e, o, garnetworks.EngineOrder{Kind: kind})
	}
}

// shouldServe reports whether the engine must accept a call with the oracle's group and
// token.
func (m *fleetMachine) shouldServe(id garnetworks.InstanceID) bool {
	o := m.states[id]
	if !o.reachable() || o.group == "" || o.draining || o.members[0] != id {
		return false
	}
	for _, member := range o.members {
		other := m.states[member]
		if !other.reachable() || other.group != o.group || other.token != o.token {
			return false
		}
	}
	return true
}

// check sends every engine a call with its group's token and one with the next token.
func (m *fleetMachine) check(t *rapid.T) {
	for _, id := range m.ids {
		o := m.states[id]
		for _, offset := range []garnetworks.FencingToken{0, 1} {
			call := &garnetworks.EngineCall{
				CallRequest: garnetworks.CallRequest{Model: "model", Prompt: "x", MaxTokens: 1},
				Group:       o.group,
				Token:       o.token + offset,
			}
			served := m.serves(id, call)
			if want := offset == 0 && m.shouldServe(id); served != want {
				t.Fatalf("engine %s with %+v served call with token %v: %v, want %v", id, *o, call.Token, served, want)
			}
		}
	}
}

func (m *fleetMachine) serves(id garnetworks.InstanceID, call *garnetworks.EngineCall) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	stream, err := m.fleet.Engine(id).Generate(ctx, call)
	if err != nil {
		return false
	}
	defer stream.Close()
	var chunk garnetworks.Chunk
	for !chunk.End {
		if err := stream.Next(&chunk); err != nil {
			return false
		}
	}
	return true
}

// Guards against a group that serves while a member is down, frozen, or in another group
// or token, since test oracles rely on rule F2.
func TestFleetServesOnlyCompleteGroups(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		// rapid would call Deadline, which panics inside a synctest bubble, so hide it.
		rapid.Check(struct{ rapid.TB }{t}, func(rt *rapid.T) {
			m := newFleetMachine()
			defer m.fleet.Close()
			rt.Repeat(map[string]func(*rapid.T){
				"form":    m.form,
				"form ":   m.form,
				"release": m.orderOf(garnetworks.OrderRelease),
				"drain":   m.orderOf(garnetworks.OrderDrain),
				"restart": func(t *rapid.T) {
					e, o := m.drawEngine(t)
					if o.on {
						e.Restart()
						o.reset()
					}
				},
				"power": func(t *rapid.T) {
					e, o := m.drawEngine(t)
					if o.on {
						e.PowerOff()
					} else {
						e.PowerOn()
						synctest.Wait()
						time.Sleep(time.Millisecond)
					}
					o.on = !o.on
					o.reset()
				},
				"freeze": func(t *rapid.T) {
					e, o := m.drawEngine(t)
					o.frozen = !o.frozen
					e.SetFaults(FaultPlan{Frozen: o.frozen, Down: o.down})
				},
				"down": func(t *rapid.T) {
					e, o := m.drawEngine(t)
					o.down = !o.down
					e.SetFaults(FaultPlan{Frozen: o.frozen, Down: o.down})
				},
				"": m.check,
			})
			for _, id := range m.ids {
				m.fleet.Engine(id).SetFaults(FaultPlan{})
			}
		})
	})
}

// Guards against loads that exceed the store's rate or that get less than their requested
// share of it.
func TestLoadsShareStoreRate(t *testing.T) {
	const rate, size = 1000, 1000
	id := garnetworks.WeightID{Model: "m", Version: "v"}
	tests := map[string]struct {
		requestedRates []int64
		want           []time.Duration
	}{
		"alone":      {[]int64{0}, []time.Duration{time.Second}},
		"own rate":   {[]int64{500}, []time.Duration{2 * time.Second}},
		"fair":       {[]int64{0, 0}, []time.Duration{2 * time.Second, 2 * time.Second}},
		"planned":    {[]int64{750, 250}, []time.Duration{4 * time.Second / 3, 4 * time.Second}},
		"overbooked": {[]int64{1000, 1000}, []time.Duration{2 * time.Second, 2 * time.Second}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := NewWeightStore(rate, map[garnetworks.WeightID]int64{id: size})
				start := time.Now()
				took := make([]time.Duration, len(test.requestedRates))
				var loads sync.WaitGroup
				for i, asked := range test.requestedRates {
					loads.Go(func() {
						if err := w.read(t.Context(), id, &load{requestedRate: asked}); err != nil {
							t.Error(err)
						}
						took[i] = time.Since(start)
					})
				}
				loads.Wait()
				for i, want := range test.want {
					if diff := (took[i] - want).Abs(); diff > 2*loadStep {
						t.Errorf("load %d took %v, want %v", i, took[i], want)
					}
				}
			})
		})
	}
}

// newServingEngine returns an engine that serves in a group of its own.
func newServingEngine(t *testing.T, spec EngineSpec) *Engine {
	f := NewFleet(nil, nil)
	t.Cleanup(f.Close)
	spec.ID, spec.On = "e", true
	e := f.Add(spec)
	order := garnetworks.EngineOrder{
		ID: "1", Kind: garnetworks.OrderForm, Token: 1, Group: "g", Members: []garnetworks.InstanceID{"e"}, Model: "m", Version: "v",
	}
	if _, err := e.Order(t.Context(), order); err != nil {
		t.Fatal(err)
	}
	return e
}

// measureCall returns the time to the first token and the total time of a call.
func measureCall(t *testing.T, e *Engine, prompt string, priority, tokens int) (first, end time.Duration) {
	start := time.Now()
	stream, err := e.Generate(t.Context(), &garnetworks.EngineCall{
		CallRequest: garnetworks.CallRequest{Model: "m", Prompt: prompt, Priority: priority, MaxTokens: tokens},
		Group:       "g", Token: 1,
	})
	if err != nil {
		t.Error(err)
		return 0, 0
	}
	defer stream.Close()
	var chunk garnetworks.Chunk
	for !chunk.End {
		if err := stream.Next(&chunk); err != nil {
			t.Error(err)
			return 0, 0
		}
		if first == 0 {
			first = time.Since(start)
		}
	}
	return first, time.Since(start)
}

func TestEngineTimes(t *testing.T) {
	const prefix, perToken, perBlock = 40 * time.Millisecond, 10 * time.Millisecond, 20 * time.Millisecond
	spec := EngineSpec{FirstToken: prefix, PerToken: perToken, PerBlock: perBlock, Slots: 1, CacheBlocks: 4}
	prompt := string(make([]byte, 3*garnetworks.PrefixBlockBytes))
	synctest.Test(t, func(t *testing.T) {
		e := newServingEngine(t, spec)
		cold, end := measureCall(t, e, prompt, 0, 5)
		if want := prefix + 3*perBlock; cold != want || end != want+4*perToken {
			t.Errorf("cold: got %v and %v, want %v and %v", cold, end, want, want+4*perToken)
		}
		if warm, _ := measureCall(t, e, prompt, 0, 1); warm != prefix {
			t.Errorf("warm: got %v, want %v", warm, prefix)
		}
		other := "other" + string(make([]byte, 3*garnetworks.PrefixBlockBytes))
		measureCall(t, e, other, 0, 1)
		if evicted, _ := measureCall(t, e, prompt, 0, 1); evicted <= prefix {
			t.Errorf("evicted: got %v, want more than %v", evicted, prefix)
		}
		e.SetSlowdown(3)
		if slow, _ := measureCall(t, e, "x", 0, 1); slow < 3*prefix-3*perToken {
			t.Errorf("straggler: got %v, want about %v", slow, 3*prefix)
		}
	})
	synctest.Test(t, func(t *testing.T) {
		e := newServingEngine(t, spec)
		ends := make([]time.Duration, 3)
		var calls sync.WaitGroup
		for priority := range ends {
			calls.Go(func() { _, ends[priority] = measureCall(t, e, "x", priority, 3) })
			synctest.Wait()
		}
		calls.Wait()
		if ends[2] >= ends[1] {
			t.Errorf("got ends %v, want the higher priority first", ends)
		}
	})
}

func TestInstanceListLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := NewInstanceList(time.Second)
		l.Report(garnetworks.ListedInstance{ID: "e", Zone: "z"})
		count := func() int {
			rows, err := l.Instances(t.Context(), "z")
			if err != nil {
				t.Fatal(err)
			}
			return len(rows)
		}
		before := count()
		time.Sleep(time.Second)
		after := count()
		l.Remove("e")
		stale := count()
		time.Sleep(time.Second)
		if gone := count(); before != 0 || after != 1 || stale != 1 || gone != 0 {
			t.Errorf("got %d, %d, %d, %d rows, want 0, 1, 1, 0", before, after, stale, gone)
		}
	})
}
