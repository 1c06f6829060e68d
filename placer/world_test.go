package placer_test

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/placer"
)

// TestMain fixes rapid's seed, so that CI runs are reproducible; a seed on the command
// line takes precedence.
func TestMain(m *testing.M) {
	flag.Parse()
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if given[name] {
			continue
		}
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

var (
	startTime     = time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)
	downtimeFirst = garnetworks.CostWeights{GroupDowntime: 1000, Stranded: 1}
	strandedFirst = garnetworks.CostWeights{GroupDowntime: 1, Stranded: 5}
)

const (
	engineWatts = garnetworks.Watts(10_000)
	gigabyte    = int64(1e9)
)

// testZone is a zone whose domains follow the decisions as the grouper's do.
type testZone struct {
	placer.Input
	groups int
}

func engineClass() garnetworks.InstanceClass {
	return garnetworks.InstanceClass{
		Name: "engine", Watts: engineWatts, Accelerators: 8,
		BootTime: 3 * time.Minute, FailuresPerDay: 11.0 / 600, RestartsPerDay: 160.0 / 600,
	}
}

func modelSpec(name garnetworks.ModelName, priority, minGroups, maxGroups int) garnetworks.ModelSpec {
	return garnetworks.ModelSpec{
		Name: name, Version: "v1", WeightBytes: 200 * gigabyte, GroupSize: 4, Class: "engine",
		MinGroups: minGroups, MaxGroups: maxGroups, Priority: priority,
	}
}

// newTestZone returns a zone with all instances off.
func newTestZone(domains, size int, models ...garnetworks.ModelSpec) *testZone {
	w := &testZone{Input: placer.Input{
		Now: startTime, Models: models, Classes: []garnetworks.InstanceClass{engineClass()},
		Costs: downtimeFirst, Grace: garnetworks.GraceSpec{Drain: 30 * time.Second, Shed: 10 * time.Second},
		Limit: engineWatts * garnetworks.Watts(domains*size), StoreRate: 10 * gigabyte, InstanceRate: 5 * gigabyte,
		Instances: map[garnetworks.InstanceID]placer.InstanceObservation{},
		Groups:    map[garnetworks.GroupID]placer.GroupObservation{},
	}}
	for d := range domains {
		domain := garnetworks.FabricDomain{ID: garnetworks.DomainID(fmt.Sprintf("d%02d", d)), Zone: "z"}
		for i := range size {
			domain.Instances = append(domain.Instances, garnetworks.Instance{
				ID: garnetworks.InstanceID(fmt.Sprintf("d%02d-i%02d", d, i)), Class: "engine", Watts: engineWatts,
				Power: garnetworks.PowerOff, Condition: garnetworks.ConditionHealthy,
			})
		}
		w.Domains = append(w.Domains, domain)
	}
	return w
}

func (w *testZone) domain(id garnetworks.DomainID) *garnetworks.FabricDomain {
	for i := range w.Domains {
		if w.Domains[i].ID == id {
			return &w.Domains[i]
		}
	}
	return nil
}

func (w *testZone) instance(id garnetworks.InstanceID) *garnetworks.Instance {
	for i := range w.Domains {
		for j := range w.Domains[i].Instances {
			if w.Domains[i].Instances[j].ID == id {
				return &w.Domains[i].Instances[j]
			}
		}
	}
	return nil
}

func (w *testZone) group(id garnetworks.GroupID) *garnetworks.Group {
	for i := range w.Domains {
		for j := range w.Domains[i].Groups {
			if w.Domains[i].Groups[j].ID == id {
				return &w.Domains[i].Groups[j]
			}
		}
	}
	return nil
}

// allGroups returns every group of the zone by domain and position.
func (w *testZone) allGroups() []*garnetworks.Group {
	var all []*garnetworks.Group
	for i := range w.Domains {
		for j := range w.Domains[i].Groups {
			all = append(all, &w.Domains[i].Groups[j])
		}
	}
	return all
}

func (w *testZone) drawn() garnetworks.Watts {
	var drawn garnetworks.Watts
	for _, d := range w.Domains {
		for _, i := range d.Instances {
			if i.Power.Draws() {
				drawn += i.Watts
			}
		}
	}
	return drawn
}

// apply executes the plan and returns an error for the first decision that breaks a
// rule that must always hold.
func (w *testZone) apply(out placer.Output) error {
	w.State = out.State
	for _, d := range out.Decisions {
		if err := w.applyOne(d); err != nil {
			return fmt.Errorf("%T %+v: %w", d, d, err)
		}
	}
	return nil
}

func (w *testZone) applyOne(decision placer.Decision) error {
	switch d := decision.(type) {
	case placer.FormGroup:
		return w.formGroup(d)
	case placer.DrainGroup:
		g := w.group(d.Group)
		if g.State != garnetworks.GroupServing {
			return fmt.Errorf("drains a group that is %s", g.State)
		}
		g.State, g.Since, g.DrainUntil = garnetworks.GroupDraining, w.Now, w.Now.Add(d.Grace)
	case placer.DissolveGroup:
		for _, id := range w.group(d.Group).Members {
			if i := w.instance(id); i != nil {
				i.Group = ""
			}
		}
		domain := w.domain(d.Domain)
		domain.Groups = slices.DeleteFunc(domain.Groups, func(g garnetworks.Group) bool { return g.ID == d.Group })
	case placer.PowerOn:
		return w.powerOn(d)
	case placer.PowerOff:
		i := w.instance(d.Instance)
		if i.Group != "" || !i.Power.Draws() || i.Power == garnetworks.PowerStopping {
			return fmt.Errorf("power %s, group %q", i.Power, i.Group)
		}
		i.Power, i.Weights = garnetworks.PowerStopping, nil
	case placer.Preload:
		i := w.instance(d.Instance)
		if i.Group != "" || i.Power != garnetworks.PowerOn || d.LoadRate <= 0 {
			return fmt.Errorf("power %s, group %q", i.Power, i.Group)
		}
	case placer.SetLoadRate:
		if d.LoadRate <= 0 {
			return fmt.Errorf("rate of 0")
		}
	}
	return nil
}

func (w *testZone) formGroup(d placer.FormGroup) error {
	w.groups++
	g := garnetworks.Group{
		ID: garnetworks.GroupID(fmt.Sprintf("g%05d", w.groups)), Model: d.Model, Version: d.Version,
		Members: d.Members, State: garnetworks.GroupForming, Replaces: d.Replaces, Since: w.Now,
	}
	size := 0
	for _, m := range w.Models {
		if m.Name == d.Model {
			size = m.GroupSize
		}
	}
	domain := w.domain(d.Domain)
	if len(d.Members) != size || !slices.IsSorted(d.Members) {
		return fmt.Errorf("wrong members")
	}
	for _, id := range d.Members {
		at := slices.IndexFunc(domain.Instances, func(i garnetworks.Instance) bool { return i.ID == id })
		if at < 0 {
			return fmt.Errorf("%s is not in the domain", id)
		}
		i := &domain.Instances[at]
		usable := i.Condition == garnetworks.ConditionHealthy || i.Condition == garnetworks.ConditionStraggler
		if i.Group != "" || i.Power != garnetworks.PowerOn || !usable || i.Class != "engine" {
			return fmt.Errorf("%s: power %s, condition %s, group %q", id, i.Power, i.Condition, i.Group)
		}
		i.Group = g.ID
	}
	domain.Groups = append(domain.Groups, g)
	return nil
}

func (w *testZone) powerOn(d placer.PowerOn) error {
	i := w.instance(d.Instance)
	if i.Power != garnetworks.PowerOff {
		return fmt.Errorf("power %s", i.Power)
	}
	i.Power, i.Condition = garnetworks.PowerStarting, garnetworks.ConditionReturned
	if drawn := w.drawn(); drawn > w.Limit {
		return fmt.Errorf("draws %d of %d", drawn, w.Limit)
	}
	return nil
}

// plan computes a plan, applies it and checks that the next plan has no decisions.
func (w *testZone) plan(t failer) placer.Output {
	t.Helper()
	out := placer.Plan(w.Input)
	if err := w.apply(out); err != nil {
		t.Fatalf("%v", err)
	}
	if again := placer.Plan(w.Input); len(again.Decisions) > 0 {
		t.Fatalf("the plan\n%s\nis followed at once by\n%s", describe(out), describe(again))
	}
	return out
}

type failer interface {
	Helper()
	Fatalf(format string, args ...any)
}

func describe(out placer.Output) string {
	s := ""
	for _, d := range out.Decisions {
		s += fmt.Sprintf("%T%+v\n", d, d)
	}
	return s
}

// settle finishes boots, loads, power switches and drains at once until a plan has no
// decisions.
func (w *testZone) settle(t failer) {
	t.Helper()
	for range 100 {
		out := w.plan(t)
		moved := w.finishPending()
		if len(out.Decisions) == 0 && !moved {
			return
		}
		w.Now = w.Now.Add(time.Second)
	}
	t.Fatalf("the zone does not settle")
}

// finishPending finishes everything that is in progress.
func (w *testZone) finishPending() bool {
	moved := false
	for i := range w.Domains {
		for j := range w.Domains[i].Instances {
			moved = finishPower(&w.Domains[i].Instances[j]) || moved
		}
	}
	for _, g := range w.allGroups() {
		switch g.State {
		case garnetworks.GroupForming, garnetworks.GroupLoading:
			for _, id := range g.Members {
				w.instance(id).Weights = []garnetworks.WeightID{{Model: g.Model, Version: g.Version}}
			}
			g.State, g.Since = garnetworks.GroupServing, w.Now
			moved = true
		case garnetworks.GroupDraining:
			w.Groups[g.ID] = placer.GroupObservation{Idle: true}
			moved = true
		}
	}
	return moved
}

func finishPower(i *garnetworks.Instance) bool {
	switch i.Power {
	case garnetworks.PowerStarting:
		i.Power, i.Condition = garnetworks.PowerOn, garnetworks.ConditionHealthy
	case garnetworks.PowerStopping:
		i.Power = garnetworks.PowerOff
	default:
		return false
	}
	return true
}

// serving counts serving groups by model.
func (w *testZone) serving() map[garnetworks.ModelName]int {
	serving := map[garnetworks.ModelName]int{}
	for _, g := range w.allGroups() {
		if g.State == garnetworks.GroupServing {
			serving[g.Model]++
		}
	}
	return serving
}

func TestColdStartServesAllWanted(t *testing.T) {
	w := newTestZone(5, 15, modelSpec("a", 10, 4, 6), modelSpec("b", 5, 4, 6), modelSpec("c", 1, 1, 3))
	w.settle(t)
	got := w.serving()
	for _, wanted := range placer.Wanted(w.Input) {
		if got[wanted.Model] != wanted.Groups {
			t.Errorf("%s serves %d groups, wanted %d", wanted.Model, got[wanted.Model], wanted.Groups)
		}
	}
}
