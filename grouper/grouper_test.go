package grouper

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/garnetworks/garnetworks"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		given := false
		flag.Visit(func(f *flag.Flag) { given = given || f.Name == name })
		if !given {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

var start = time.Unix(1_000_000, 0)

func class(checks bool) garnetworks.InstanceClass {
	return garnetworks.InstanceClass{Name: "gpu", Watts: 10, ChecksFencing: checks, Accelerators: 8}
}

func listed(n int) garnetworks.ListedInstance {
	return garnetworks.ListedInstance{ID: name(n), Address: string(name(n)), Class: "gpu", Domain: "d"}
}

func name(n int) garnetworks.InstanceID { return garnetworks.InstanceID(fmt.Sprintf("i%02d", n)) }

// newHealthyDomain returns a domain of healthy, powered instances.
func newHealthyDomain(t testing.TB, size int, checks bool) *Aggregate {
	a, err := Open(&garnetworks.FabricDomain{ID: "d", Zone: "z"}, 1)
	if err != nil {
		t.Fatal(err)
	}
	for n := range size {
		a.Register(listed(n), class(checks))
		a.MarkRunning(name(n))
		a.SetIncarnation(name(n), 1)
		if err := a.Readmit(name(n), idle(a.Instance(name(n)))); err != nil {
			t.Fatal(err)
		}
	}
	return a
}

func idle(i *garnetworks.Instance) garnetworks.EngineStatus {
	return garnetworks.EngineStatus{Instance: i.ID, Incarnation: i.Incarnation, Token: i.Token, Phase: garnetworks.EngineIdle}
}

func ready(i *garnetworks.Instance, g *garnetworks.Group) garnetworks.EngineStatus {
	return garnetworks.EngineStatus{
		Instance: i.ID, Incarnation: i.Incarnation, Phase: garnetworks.EngineReady,
		Group: g.ID, Token: g.Token, Model: g.Model, Version: g.Version,
	}
}

// TestTransitionsKeepTheInvariants makes random valid and invalid transitions under growing
// terms. The invariants hold, refused transitions change nothing, and no token decreases.
func TestTransitionsKeepTheInvariants(t *testing.T) {
	steps, refused := 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		domain := *newHealthyDomain(t, 8, rapid.Bool().Draw(rt, "checks")).Domain()
		a, _ := Open(&domain, 1)
		now := start
		tokens := map[garnetworks.InstanceID]garnetworks.FencingToken{}
		pick := func(rt *rapid.T) garnetworks.InstanceID { return name(rapid.IntRange(0, 8).Draw(rt, "instance")) }
		group := func(rt *rapid.T) garnetworks.GroupID {
			if len(a.Domain().Groups) == 0 {
				return "none"
			}
			return rapid.SampledFrom(a.Domain().Groups).Draw(rt, "group").ID
		}
		attempt := func(do func() error) {
			before := Clone(a.Domain())
			if do() == nil {
				return
			}
			refused++
			if !slices.EqualFunc(before.Instances, a.Domain().Instances, sameInstance) || len(before.Groups) != len(a.Domain().Groups) {
				rt.Fatal("a refused transition changed the domain")
			}
		}
		rt.Repeat(map[string]func(*rapid.T){
			"": func(rt *rapid.T) {
				steps++
				now = now.Add(time.Second)
				if err := Check(a.Domain()); err != nil {
					rt.Fatal(err)
				}
				for _, i := range a.Domain().Instances {
					if i.Token < tokens[i.ID] {
						rt.Fatalf("the token of %s decreased from %s to %s", i.ID, tokens[i.ID], i.Token)
					}
					tokens[i.ID] = i.Token
				}
			},
			"form": func(rt *rapid.T) {
				members := rapid.SliceOfN(rapid.Custom(pick), 0, 4).Draw(rt, "members")
				attempt(func() error {
					_, err := a.Form(garnetworks.Group{Model: "m", Version: "v", Members: members}, now)
					return err
				})
			},
			"advance": func(rt *rapid.T) {
				g := a.Group(group(rt))
				if g == nil {
					return
				}
				fresh := Statuses{}
				for _, m := range g.Members {
					fresh[m] = ready(a.Instance(m), g)
				}
				missing := rapid.Bool().Draw(rt, "missing")
				if missing {
					delete(fresh, g.Members[0])
				}
				was := g.State
				a.Advance(g.ID, fresh, now)
				if missing && g.State == garnetworks.GroupServing && was != garnetworks.GroupServing {
					rt.Fatal("a group serves without a member's confirmation")
				}
			},
			"lose":     func(rt *rapid.T) { a.MarkLost(pick(rt), now, "test") },
			"return":   func(rt *rapid.T) { a.MarkReturned(pick(rt), 2, now, "test") },
			"readmit":  func(rt *rapid.T) { id := pick(rt); attempt(func() error { return a.Readmit(id, status(a, id)) }) },
			"drain":    func(rt *rapid.T) { a.Drain(group(rt), now, time.Second, "test") },
			"break":    func(rt *rapid.T) { a.Break(group(rt), now, "test") },
			"dissolve": func(rt *rapid.T) { a.Dissolve(group(rt), "test") },
			"on":       func(rt *rapid.T) { id := pick(rt); attempt(func() error { return a.PowerOn(id, "test") }) },
			"off":      func(rt *rapid.T) { id := pick(rt); attempt(func() error { return a.PowerOff(id, "test") }) },
			"prove": func(rt *rapid.T) {
				if i := a.Instance(pick(rt)); i != nil {
					a.ConfirmOff(i.ID, i.Token)
				}
			},
			"see":    func(rt *rapid.T) { a.MarkRunning(pick(rt)) },
			"gone":   func(rt *rapid.T) { a.RemoveVanished(pick(rt), now) },
			"listed": func(rt *rapid.T) { a.Register(listed(rapid.IntRange(0, 8).Draw(rt, "row")), class(true)) },
			"term": func(rt *rapid.T) {
				next, err := Open(a.Domain(), a.Domain().Term+uint32(rapid.IntRange(0, 2).Draw(rt, "terms")))
				if err != nil {
					rt.Fatal(err)
				}
				a = next
			},
		})
	})
	t.Logf("%d transitions, %d refused", steps, refused)
}

func status(a *Aggregate, id garnetworks.InstanceID) garnetworks.EngineStatus {
	if i := a.Instance(id); i != nil {
		return idle(i)
	}
	return garnetworks.EngineStatus{}
}

func sameInstance(x, y garnetworks.Instance) bool {
	return x.Power == y.Power && x.Condition == y.Condition && x.Group == y.Group && x.Token == y.Token
}

// TestInvalidTransitionsAreRefused covers the transitions that would violate a rule.
func TestInvalidTransitionsAreRefused(t *testing.T) {
	form := func(a *Aggregate, members ...garnetworks.InstanceID) error {
		_, err := a.Form(garnetworks.Group{Model: "m", Version: "v", Members: members}, start)
		return err
	}
	for title, c := range map[string]struct {
		do   func(a *Aggregate) error
		want garnetworks.Kind
	}{
		"a lower term (D1)": {func(a *Aggregate) error {
			a.Domain().Term = 9
			_, err := Open(a.Domain(), 8)
			return err
		}, garnetworks.KindStaleToken},
		"no member (D3)":                   {func(a *Aggregate) error { return form(a) }, garnetworks.KindConflict},
		"a member twice (D3)":              {func(a *Aggregate) error { return form(a, "i00", "i00") }, garnetworks.KindConflict},
		"another domain's (D3)":            {func(a *Aggregate) error { return form(a, "i00", "x00") }, garnetworks.KindNotFound},
		"a member of a group (D3)":         {func(a *Aggregate) error { _ = form(a, "i00", "i01"); return form(a, "i01", "i02") }, garnetworks.KindConflict},
		"a lost member (D3)":               {func(a *Aggregate) error { a.MarkLost("i00", start, ""); return form(a, "i00") }, garnetworks.KindConflict},
		"a returned member (D6)":           {func(a *Aggregate) error { a.MarkReturned("i00", 2, start, ""); return form(a, "i00") }, garnetworks.KindConflict},
		"a member that is off (D3)":        {func(a *Aggregate) error { _ = a.PowerOff("i00", ""); return form(a, "i00") }, garnetworks.KindConflict},
		"power of a member (D8)":           {func(a *Aggregate) error { _ = form(a, "i00"); return a.PowerOff("i00", "") }, garnetworks.KindConflict},
		"power on while it runs":           {func(a *Aggregate) error { return a.PowerOn("i00", "") }, garnetworks.KindConflict},
		"deregistering a powered instance": {func(a *Aggregate) error { return a.Deregister("i00") }, garnetworks.KindConflict},
		"readmission without a release": {func(a *Aggregate) error {
			a.MarkReturned("i00", 2, start, "")
			return a.Readmit("i00", garnetworks.EngineStatus{Incarnation: 2, Phase: garnetworks.EngineIdle})
		}, garnetworks.KindConflict},
		"readmission in a group": {func(a *Aggregate) error {
			a.MarkReturned("i00", 2, start, "")
			s := idle(a.Instance("i00"))
			s.Group = "old"
			return a.Readmit("i00", s)
		}, garnetworks.KindConflict},
		"a former member that ignores tokens (D7)": {func(a *Aggregate) error {
			_ = form(a, "i00", "i01")
			id := a.Domain().Groups[0].ID
			a.Dissolve(id, "")
			return form(a, "i00")
		}, garnetworks.KindConflict},
		"a stale power-off confirmation (D8)": {func(a *Aggregate) error { return staleOffConfirmation(a) }, garnetworks.KindConflict},
	} {
		t.Run(title, func(t *testing.T) {
			if err := c.do(newHealthyDomain(t, 4, false)); garnetworks.KindOf(err) != c.want {
				t.Errorf("got %v, want %s", err, c.want)
			}
		})
	}
}

// staleOffConfirmation powers an instance off, on and off, and confirms the second power-off
// with the first one's token: the power-on may be carried out between the two.
func staleOffConfirmation(a *Aggregate) error {
	_ = a.PowerOff("i00", "")
	first := a.Instance("i00").Token
	a.ConfirmOff("i00", first)
	_ = a.PowerOn("i00", "")
	_ = a.PowerOff("i00", "")
	if a.ConfirmOff("i00", first) {
		return nil
	}
	return garnetworks.Errorf(garnetworks.KindConflict, "refused")
}

// TestPowerOffOutranksPowerOn: a delayed power-on after a confirmed power-off must be refused by
// the switch, so each power order needs a newer token than the last (D8).
func TestPowerOffOutranksPowerOn(t *testing.T) {
	a := newHealthyDomain(t, 1, true)
	var last garnetworks.FencingToken
	for range 3 {
		for _, do := range []func(garnetworks.InstanceID, string) error{a.PowerOff, a.PowerOn} {
			if err := do("i00", ""); err != nil {
				t.Fatal(err)
			}
			order := PowerOrders(a.Domain())[0]
			if order.Token <= last {
				t.Errorf("%s carries %s after %s", order.ID, order.Token, last)
			}
			last = order.Token
			a.ConfirmOff("i00", last)
			a.MarkRunning("i00")
			if order.On {
				continue
			}
			// The confirmation was of this order; the instance is off again for the next one.
			a.Instance("i00").Power = garnetworks.PowerOff
		}
	}
}

// TestConfirmationComparesAllFields: a member confirms a group only if its status matches in
// group, token, model, version and incarnation, and it is ready (G1).
func TestConfirmationComparesAllFields(t *testing.T) {
	for title, change := range map[string]func(s *garnetworks.EngineStatus){
		"group":       func(s *garnetworks.EngineStatus) { s.Group = "other" },
		"token":       func(s *garnetworks.EngineStatus) { s.Token-- },
		"model":       func(s *garnetworks.EngineStatus) { s.Model = "other" },
		"version":     func(s *garnetworks.EngineStatus) { s.Version = "other" },
		"incarnation": func(s *garnetworks.EngineStatus) { s.Incarnation++ },
		"phase":       func(s *garnetworks.EngineStatus) { s.Phase = garnetworks.EngineLoading },
	} {
		a := newHealthyDomain(t, 4, true)
		id, err := a.Form(garnetworks.Group{Model: "m", Version: "v", Members: []garnetworks.InstanceID{"i00", "i01", "i02"}}, start)
		if err != nil {
			t.Fatal(err)
		}
		g := a.Group(id)
		fresh := Statuses{}
		for _, m := range g.Members {
			fresh[m] = ready(a.Instance(m), g)
		}
		if !Confirmed(a.Domain(), g, fresh) {
			t.Fatal("the group is not confirmed although all its members confirm it")
		}
		s := fresh["i01"]
		change(&s)
		fresh["i01"] = s
		if Confirmed(a.Domain(), g, fresh) {
			t.Errorf("the group is confirmed with another %s", title)
		}
	}
}

// TestObserveChecksReportedTokens: a higher term means that another lease holder took over, an
// unrecorded token advances the sequence, and an impossible one marks only its engine as lost.
func TestObserveChecksReportedTokens(t *testing.T) {
	for title, c := range map[string]struct {
		token      garnetworks.FencingToken
		superseded bool
		lost       bool
	}{
		"known":      {garnetworks.NewFencingToken(1, 1), false, false},
		"unrecorded": {garnetworks.NewFencingToken(1, 900), false, false},
		"higher":     {garnetworks.NewFencingToken(2, 1), true, false},
		"impossible": {garnetworks.NewFencingToken(1<<31, 1), false, true},
	} {
		a := newHealthyDomain(t, 2, true)
		s := idle(a.Instance("i00"))
		s.Token = c.token
		_, superseded := a.Observe(Observation{Now: start, Fresh: Statuses{"i00": s, "i01": idle(a.Instance("i01"))}})
		lost := a.Instance("i00").Condition == garnetworks.ConditionLost
		if superseded != c.superseded || lost != c.lost {
			t.Errorf("%s: superseded %t, lost %t", title, superseded, lost)
		}
		if next := a.nextToken(); !c.superseded && !c.lost && next <= c.token {
			t.Errorf("%s: the next token is %s after %s", title, next, c.token)
		}
	}
}

// TestLeavingMemberDrainsItsGroup: a group with an instance listed as leaving takes no new call
// from that observation on (D9, rule G8).
func TestLeavingMemberDrainsItsGroup(t *testing.T) {
	a := newHealthyDomain(t, 3, true)
	id, err := a.Form(garnetworks.Group{Model: "m", Version: "v", Members: []garnetworks.InstanceID{"i00", "i01"}}, start)
	if err != nil {
		t.Fatal(err)
	}
	fresh := Statuses{"i02": idle(a.Instance("i02"))}
	for _, m := range a.Group(id).Members {
		fresh[m] = ready(a.Instance(m), a.Group(id))
	}
	o := Observation{Now: start, Fresh: fresh, Timeouts: Timeouts{Drain: time.Minute}}
	a.Observe(o)
	if got := a.Group(id).State; got != garnetworks.GroupServing {
		t.Fatalf("the group is %s", got)
	}
	o.Leaving = garnetworks.NewSet[garnetworks.InstanceID]("i01")
	a.Observe(o)
	if g := a.Group(id); g.State != garnetworks.GroupDraining || !g.DrainUntil.Equal(start.Add(time.Minute)) {
		t.Errorf("the group is %s until %s", g.State, g.DrainUntil)
	}
}

// TestDomainFitsTheObjectSize: even a domain of a whole fleet must take at most half of the
// object API's limit.
func TestDomainFitsTheObjectSize(t *testing.T) {
	for _, size := range []int{16, 75, 600} {
		a := newHealthyDomain(t, size, true)
		for n := 0; n+4 <= size; n += 4 {
			if _, err := a.Form(garnetworks.Group{
				Model: "large-model-name", Version: "2026-11-30-release", Adapters: []garnetworks.AdapterName{"adapter-one", "adapter-two"},
				Members: []garnetworks.InstanceID{name(n), name(n + 1), name(n + 2), name(n + 3)},
			}, start); err != nil {
				t.Fatal(err)
			}
		}
		for n := range size {
			a.SetWeights(name(n), []garnetworks.WeightID{{Model: "large-model-name", Version: "2026-11-30-release"}, {Model: "large-model-name", Version: "2026-11-01-release"}})
		}
		value, err := json.Marshal(a.Domain())
		if err != nil {
			t.Fatal(err)
		}
		t.Logf("%d instances: %d bytes, %.1f %% of the object size", size, len(value), 100*float64(len(value))/garnetworks.MaxObjectBytes)
		if len(value) > garnetworks.MaxObjectBytes/2 {
			t.Errorf("%d instances take %d bytes", size, len(value))
		}
	}
}
