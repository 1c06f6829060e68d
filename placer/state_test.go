package placer_test

import (
	"reflect"
	"slices"
	"testing"
	"time"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/placer"
	"pgregory.net/rapid"
)

// machine drives a zone through random faults, orders and changes of the manifest.
// After each step the plan must keep the rules that apply checks, must be the same
// when it is computed twice, and the next plan must have no decisions once it is
// executed.
type machine struct {
	*testZone
}

func (m *machine) drawInstance(t *rapid.T) *garnetworks.Instance {
	d := &m.Domains[rapid.IntRange(0, len(m.Domains)-1).Draw(t, "domain")]
	return &d.Instances[rapid.IntRange(0, len(d.Instances)-1).Draw(t, "instance")]
}

func (m *machine) check(t *rapid.T) {
	before := clone(m.Input)
	a, b := placer.Plan(m.Input), placer.Plan(m.Input)
	if !reflect.DeepEqual(a, b) {
		t.Fatalf("two plans from one input differ:\n%s\n%s", describe(a), describe(b))
	}
	if !reflect.DeepEqual(before, m.Input) {
		t.Fatalf("the plan changed its input")
	}
	slices.Reverse(m.Domains)
	if c := placer.Plan(m.Input); !reflect.DeepEqual(a, c) {
		t.Fatalf("the plan depends on the order of domains:\n%s\n%s", describe(a), describe(c))
	}
	slices.Reverse(m.Domains)
	m.plan(t)
}

func clone(in placer.Input) placer.Input {
	in.Domains = slices.Clone(in.Domains)
	for i := range in.Domains {
		in.Domains[i].Instances = slices.Clone(in.Domains[i].Instances)
		in.Domains[i].Groups = slices.Clone(in.Domains[i].Groups)
	}
	in.Models = slices.Clone(in.Models)
	return in
}

func (m *machine) fault(t *rapid.T) {
	i := m.drawInstance(t)
	if i.Power == garnetworks.PowerOff {
		return
	}
	i.Condition = rapid.SampledFrom([]garnetworks.Condition{
		garnetworks.ConditionLost, garnetworks.ConditionLeaving,
		garnetworks.ConditionStraggler, garnetworks.ConditionReturned,
	}).Draw(t, "condition")
}

func (m *machine) heal(t *rapid.T) { m.drawInstance(t).Condition = garnetworks.ConditionHealthy }

func (m *machine) loseDomain(t *rapid.T) {
	d := &m.Domains[rapid.IntRange(0, len(m.Domains)-1).Draw(t, "domain")]
	for i := range d.Instances {
		if d.Instances[i].Power.Draws() {
			d.Instances[i].Condition = garnetworks.ConditionLost
		}
	}
}

func (m *machine) announce(t *rapid.T) {
	i := m.drawInstance(t)
	by := m.Now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "seconds")) * time.Second)
	m.Instances[i.ID] = placer.InstanceObservation{LeaveBy: by}
}

func (m *machine) observe(t *rapid.T) {
	w := garnetworks.WeightID{Model: "a", Version: "v1"}
	m.Instances[m.drawInstance(t).ID] = placer.InstanceObservation{
		Slowdown:    rapid.SampledFrom([]float64{0, 1, 3}).Draw(t, "slowdown"),
		Loading:     w,
		LoadedBytes: rapid.Int64Range(0, 300).Draw(t, "loaded") * gigabyte,
	}
}

func (m *machine) changeStoreRate(t *rapid.T) {
	m.StoreRate = rapid.SampledFrom([]int64{0, 1, 100, gigabyte, 10 * gigabyte}).Draw(t, "rate")
	m.InstanceRate = rapid.SampledFrom([]int64{0, gigabyte}).Draw(t, "instance rate")
}

func (m *machine) clearObservation(t *rapid.T) { delete(m.Instances, m.drawInstance(t).ID) }

func (m *machine) changeLimit(t *rapid.T) {
	count := 0
	for _, d := range m.Domains {
		count += len(d.Instances)
	}
	m.Limit = engineWatts * garnetworks.Watts(rapid.IntRange(0, count).Draw(t, "limit"))
}

func (m *machine) changeManifest(t *rapid.T) {
	o := &m.Models[rapid.IntRange(0, len(m.Models)-1).Draw(t, "model")]
	o.MinGroups = rapid.IntRange(0, 3).Draw(t, "min")
	o.MaxGroups = o.MinGroups + rapid.IntRange(0, 2).Draw(t, "more")
	o.Priority = rapid.IntRange(0, 3).Draw(t, "priority")
	o.Version = rapid.SampledFrom([]garnetworks.VersionName{"v1", "v2"}).Draw(t, "version")
	m.Costs = rapid.SampledFrom([]garnetworks.CostWeights{downtimeFirst, strandedFirst}).Draw(t, "weights")
}

func (m *machine) removeInstance(t *rapid.T) {
	d := &m.Domains[rapid.IntRange(0, len(m.Domains)-1).Draw(t, "domain")]
	if len(d.Instances) > 6 {
		d.Instances = slices.Delete(d.Instances, 2, 3)
	}
}

func (m *machine) advanceClock(t *rapid.T) {
	m.Now = m.Now.Add(time.Duration(rapid.IntRange(1, 600).Draw(t, "seconds")) * time.Second)
}

// recover heals all instances, finishes everything in progress and checks the result.
func (m *machine) recover(t *rapid.T) {
	m.StoreRate, m.InstanceRate = 10*gigabyte, 5*gigabyte
	m.Instances = map[garnetworks.InstanceID]placer.InstanceObservation{}
	for i := range m.Domains {
		for j := range m.Domains[i].Instances {
			m.Domains[i].Instances[j].Condition = garnetworks.ConditionHealthy
		}
	}
	m.settle(t)
	for _, wait := range []time.Duration{48 * time.Hour, 2 * placer.MaxHold, 2 * placer.MaxHold} {
		m.Now = m.Now.Add(wait)
		m.settle(t)
	}
	m.checkGreedy(t)
	m.checkNothingStranded(t)
}

// checkGreedy checks rule P1: for a model below its minimum there is no domain in
// which it could form if all groups of lower priority were gone.
func (m *machine) checkGreedy(t *rapid.T) {
	serving := m.serving()
	for _, o := range m.Models {
		if serving[o.Name] >= o.MinGroups {
			continue
		}
		used := garnetworks.Watts(0)
		for _, d := range m.Domains {
			free := 0
			for _, i := range d.Instances {
				if i.Class == o.Class {
					free++
				}
			}
			for _, g := range d.Groups {
				if m.protected(g.Model, o, serving) {
					free -= len(g.Members)
					used += engineWatts * garnetworks.Watts(len(g.Members))
				}
			}
			if free >= o.GroupSize && m.Limit >= m.protectedDraw(o, serving)+engineWatts*garnetworks.Watts(o.GroupSize) {
				t.Fatalf("%s has %d of %d groups though %s has room for it", o.Name, serving[o.Name], o.MinGroups, d.ID)
			}
		}
	}
}

func (m *machine) protected(name garnetworks.ModelName, than garnetworks.ModelSpec, _ map[garnetworks.ModelName]int) bool {
	for _, o := range m.Models {
		if o.Name == name {
			return o.Name == than.Name || o.Priority >= than.Priority
		}
	}
	return false
}

func (m *machine) protectedDraw(than garnetworks.ModelSpec, serving map[garnetworks.ModelName]int) garnetworks.Watts {
	draw := garnetworks.Watts(0)
	for _, g := range m.allGroups() {
		if m.protected(g.Model, than, serving) {
			draw += engineWatts * garnetworks.Watts(len(g.Members))
		}
	}
	return draw
}

// checkNothingStranded checks rules P10 and P11: in a zone at rest only spares are
// powered outside of groups, and none with weights that put stranded instances
// first.
func (m *machine) checkNothingStranded(t *rapid.T) {
	for _, d := range m.Domains {
		idle := 0
		for _, i := range d.Instances {
			if i.Power.Draws() && i.Group == "" {
				idle++
			}
		}
		most := 0
		if m.Costs == downtimeFirst {
			most = 2
		}
		if len(d.Groups) == 0 {
			most = 0
		}
		if idle > most {
			t.Fatalf("%s keeps %d instances powered outside of groups, want at most %d", d.ID, idle, most)
		}
	}
}

func TestPlansKeepTheRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &machine{newTestZone(3, 10, modelSpec("a", 3, 2, 3), modelSpec("b", 2, 1, 3), modelSpec("c", 1, 1, 2))}
		m.Classes = append(m.Classes, garnetworks.InstanceClass{Name: "other", Watts: engineWatts})
		for i := range m.Domains {
			m.Domains[i].Instances[0].Class = "other"
			m.Domains[i].Instances[0].Power = garnetworks.PowerOff
		}
		m.Models[2].GroupSize = rapid.SampledFrom([]int{2, 4}).Draw(t, "size")
		m.settle(t)
		t.Repeat(map[string]func(*rapid.T){
			"":         m.check,
			"fault":    m.fault,
			"heal":     m.heal,
			"dark":     m.loseDomain,
			"announce": m.announce,
			"withdraw": m.clearObservation,
			"observe":  m.observe,
			"store":    m.changeStoreRate,
			"limit":    m.changeLimit,
			"manifest": m.changeManifest,
			"remove":   m.removeInstance,
			"pass":     m.advanceClock,
			"finish":   func(*rapid.T) { m.finishPending() },
			"recover":  m.recover,
		})
	})
}
