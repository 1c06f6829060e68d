package placer_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/placer"
	"github.com/sebdah/goldie/v2"
	"pgregory.net/rapid"
)

// threeModelZone returns a zone of 5 domains of 15 instances with three models.
func threeModelZone(t *testing.T) *testZone {
	w := newTestZone(5, 15, modelSpec("a", 10, 4, 6), modelSpec("b", 5, 4, 6), modelSpec("c", 1, 1, 3))
	w.settle(t)
	return w
}

// decisionsOf returns the decisions of one type.
func decisionsOf[T placer.Decision](out placer.Output) []T {
	var found []T
	for _, d := range out.Decisions {
		if one, ok := d.(T); ok {
			found = append(found, one)
		}
	}
	return found
}

// If two groups of a domain lose a member each and nothing can be booted, the
// survivors must form one group instead of waiting in two incomplete ones.
func TestSurvivorsOfOneDomainMerge(t *testing.T) {
	w := newTestZone(1, 8, modelSpec("a", 1, 2, 2))
	w.settle(t)
	w.instance("d00-i00").Condition = garnetworks.ConditionLost
	w.instance("d00-i04").Condition = garnetworks.ConditionLost
	out := w.plan(t)
	if dissolved, formed := decisionsOf[placer.DissolveGroup](out), decisionsOf[placer.FormGroup](out); len(dissolved) != 2 || len(formed) != 1 {
		t.Fatalf("want both groups dissolved and one formed of the survivors:\n%s", describe(out))
	}
	if rate := decisionsOf[placer.FormGroup](out)[0].LoadRate; rate != 0 {
		t.Errorf("the survivors have their weights, yet load at %d", rate)
	}
}

// If a domain is lost and the others are full, the more important model must get its
// group back at the expense of the less important one.
func TestLostDomainIsReplacedByPriority(t *testing.T) {
	w := newTestZone(2, 8, modelSpec("high", 9, 2, 2), modelSpec("low", 1, 1, 2))
	w.settle(t)
	for _, g := range w.allGroups() {
		t.Log(g.ID, g.Model, g.Members)
	}
	for i := range w.Domains[0].Instances {
		w.Domains[0].Instances[i].Condition = garnetworks.ConditionLost
	}
	out := w.plan(t)
	drains := decisionsOf[placer.DrainGroup](out)
	if len(drains) != 1 || w.group(drains[0].Group).Model != "low" || drains[0].Grace != w.Grace.Shed {
		t.Fatalf("want the group of low drained with the grace for shedding:\n%s", describe(out))
	}
	w.settle(t)
	if got := w.serving(); got["high"] != 2 || got["low"] != 0 {
		t.Errorf("serving %v, want both groups of high", got)
	}
}

// Instances that return after a long loss must not be powered off as idle before they
// are re-admitted.
func TestReturnAfterLongLossKeepsItsPower(t *testing.T) {
	w := threeModelZone(t)
	for i := range w.Domains[0].Instances {
		w.Domains[0].Instances[i].Condition = garnetworks.ConditionLost
	}
	w.plan(t)
	w.Now = w.Now.Add(30 * time.Minute)
	for i := range w.Domains[0].Instances {
		w.Domains[0].Instances[i].Condition = garnetworks.ConditionReturned
	}
	if offs := decisionsOf[placer.PowerOff](w.plan(t)); len(offs) != 0 {
		t.Errorf("%d instances were switched off on their return", len(offs))
	}
}

// A slot that nothing can fill must not block the rollout of a new version: it doesn't
// count as a group that is being formed.
func TestVersionRollsThoughASlotStaysEmpty(t *testing.T) {
	w := newTestZone(2, 6, modelSpec("a", 1, 2, 3))
	w.settle(t)
	w.Models[0].Version = "v2"
	w.settle(t)
	for _, g := range w.allGroups() {
		if g.Version != "v2" {
			t.Errorf("%s still has version %s", g.ID, g.Version)
		}
	}
}

// If every instance of a zone is lost at once, the node is probably partitioned and
// must not power the instances off after the ordinary grace period.
func TestMassLossKeepsPower(t *testing.T) {
	w := threeModelZone(t)
	w.Costs = strandedFirst
	// With so short a boot time every other hold is shorter than MassLossGrace.
	w.Classes[0].BootTime = 20 * time.Second
	w.settle(t)
	for i := range w.Domains {
		for j := range w.Domains[i].Instances {
			w.Domains[i].Instances[j].Condition = garnetworks.ConditionLost
		}
	}
	w.plan(t)
	w.Now = w.Now.Add(placer.MassLossGrace - time.Second)
	if offs := decisionsOf[placer.PowerOff](w.plan(t)); len(offs) != 0 {
		t.Errorf("%d instances were switched off before MassLossGrace", len(offs))
	}
}

// Guards against an equal split of the store's rate, which delays every group.
func TestStoreRateFollowsPriority(t *testing.T) {
	w := newTestZone(2, 10, modelSpec("high", 9, 1, 2), modelSpec("low", 1, 1, 2))
	w.plan(t)
	w.finishPending()
	w.Now = w.Now.Add(time.Second)
	out := w.plan(t)
	sum, rates := int64(0), map[garnetworks.ModelName]int64{}
	for _, f := range decisionsOf[placer.FormGroup](out) {
		sum += f.LoadRate * int64(len(f.Members))
		rates[f.Model] = max(rates[f.Model], f.LoadRate)
	}
	for _, l := range decisionsOf[placer.Preload](out) {
		sum += l.LoadRate
	}
	if sum > w.StoreRate {
		t.Errorf("rates sum up to %d of %d", sum, w.StoreRate)
	}
	if rates["high"] < 100*rates["low"] {
		t.Errorf("high loads at %d, low at %d", rates["high"], rates["low"])
	}
}

// flapCases alternate an input every five seconds.
func flapCases() map[string]func(s *simulator, on bool) {
	return map[string]func(s *simulator, on bool){
		"weights": func(s *simulator, on bool) {
			s.Costs = strandedFirst
			if on {
				s.Costs = downtimeFirst
			}
		},
		"limit": func(s *simulator, on bool) {
			s.Limit = engineWatts * 58
			if on {
				s.Limit = engineWatts * 70
			}
		},
		"maximum": func(s *simulator, on bool) {
			s.Models[1].MaxGroups = 5
			if on {
				s.Models[1].MaxGroups = 6
			}
		},
		"straggler": func(s *simulator, on bool) {
			for _, e := range s.enginesInOrder[:4] {
				if e.instance.Power == garnetworks.PowerOn {
					e.instance.Condition = garnetworks.ConditionHealthy
					if on {
						e.instance.Condition = garnetworks.ConditionStraggler
					}
				}
			}
		},
		"member": func(s *simulator, on bool) {
			if e := s.enginesInOrder[1]; !on {
				s.fail(e, 4*time.Second, true)
			}
		},
	}
}

// An input that alternates must not power instances off within FlapDampingTime of
// their start, nor re-form groups more often than ReformDelay allows.
func TestAlternatingInputsDoNotFlap(t *testing.T) {
	for name, alternate := range flapCases() {
		t.Run(name, func(t *testing.T) {
			w := newTestZone(5, 15, modelSpec("a", 10, 4, 6), modelSpec("b", 5, 4, 6), modelSpec("c", 1, 1, 3))
			w.Limit = engineWatts * 70
			ons := map[garnetworks.InstanceID]time.Time{}
			formed, switched, began := 0, 0, false
			s := newSimulator(w, func(in placer.Input) placer.Output {
				out := placer.Plan(in)
				formed += len(decisionsOf[placer.FormGroup](out))
				for _, d := range decisionsOf[placer.PowerOn](out) {
					ons[d.Instance] = in.Now
					switched++
				}
				for _, d := range decisionsOf[placer.PowerOff](out) {
					since := in.Now.Sub(ons[d.Instance])
					if began && d.Reason == placer.ReasonIdle && since < placer.FlapDampingTime {
						t.Errorf("%s is switched off %v after it was switched on", d.Instance, since)
					}
				}
				return out
			})
			s.run(startTime.Add(20 * time.Minute))
			began, formed, switched = true, 0, 0
			const length = 30 * time.Minute
			for n := 0; time.Duration(n)*5*time.Second < length; n++ {
				alternate(s, n%2 == 1)
				s.run(s.Now.Add(5 * time.Second))
			}
			if s.err != nil {
				t.Fatal(s.err)
			}
			// No case touches more than three groups.
			if most := 3 * int(length/placer.ReformDelay); formed > most {
				t.Errorf("%d groups were formed in %v, want at most %d", formed, length, most)
			}
			if most := 15 * int(length/placer.FlapDampingTime); switched > most {
				t.Errorf("%d instances were switched on in %v, want at most %d", switched, length, most)
			}
			t.Logf("%d groups formed, %d instances switched on", formed, switched)
		})
	}
}

// TestSpareTable shows how many powered spares each ratio of cost weights gives in a
// domain of 15 with three groups of 4; docs/weights.md contains the result.
func TestSpareTable(t *testing.T) {
	var b strings.Builder
	losses := map[string]float64{"11 failures": 11.0 / 600, "and 160 restarts": 171.0 / 600}
	fmt.Fprintf(&b, "%-18s%14s%14s%14s\n", "D/S", "boot 3 min", "boot 15 min", "no more off")
	for _, name := range []string{"11 failures", "and 160 restarts"} {
		fmt.Fprintf(&b, "%s a day on 600 instances\n", name)
		for _, d := range []float64{1, 100, 300, 1000, 3000, 10000, 30000} {
			c := placer.SpareParams{
				LossRate: 12 * losses[name] / 86400, TimeSaved: 220 * time.Second, RefillTime: 220 * time.Second,
				GroupSize: 4, Costs: garnetworks.CostWeights{GroupDowntime: d, Stranded: 1},
			}
			slow := c
			slow.TimeSaved, slow.RefillTime = 940*time.Second, 940*time.Second
			scarce := c
			scarce.RefillTime = placer.RepairTime
			fmt.Fprintf(&b, "%-18.0f%14d%14d%14d\n", d, c.Spares(), slow.Spares(), scarce.Spares())
		}
	}
	goldie.New(t).Assert(t, "spares", []byte(b.String()))
}

// The shares of all zones must add up to the manifest's groups for any numbers.
func TestZoneSharesAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var manifest garnetworks.Manifest
		zones := rapid.IntRange(1, 8).Draw(t, "zones")
		for z := range zones {
			manifest.Site.Zones = append(manifest.Site.Zones, garnetworks.ZoneSpec{
				Name:     garnetworks.ZoneID(fmt.Sprintf("z%d", z)),
				Excluded: z > 0 && rapid.Bool().Draw(t, "left out"),
			})
		}
		for n := range rapid.IntRange(1, 5).Draw(t, "models") {
			least := rapid.IntRange(0, 20).Draw(t, "min")
			most := least + rapid.IntRange(0, 20).Draw(t, "more")
			manifest.Models = append(manifest.Models, modelSpec(garnetworks.ModelName(fmt.Sprint("m", n)), 0, least, most))
		}
		least, most := make([]int, len(manifest.Models)), make([]int, len(manifest.Models))
		for _, z := range manifest.Site.Zones {
			for n, m := range placer.ZoneModels(&manifest, z.Name) {
				if m.MinGroups > m.MaxGroups {
					t.Fatalf("%s: %d to %d groups", m.Name, m.MinGroups, m.MaxGroups)
				}
				if !z.Excluded {
					least[n] += m.MinGroups
					most[n] += m.MaxGroups
				}
			}
		}
		for n, m := range manifest.Models {
			if least[n] != m.MinGroups || most[n] != m.MaxGroups {
				t.Fatalf("%s: shares sum up to %d and %d, want %d and %d", m.Name, least[n], most[n], m.MinGroups, m.MaxGroups)
			}
		}
	})
}

// A booted instance that waits for its re-admission must not be taken for unusable, or
// its slot powers on a second one.
func TestBootedMemberIsWaitedFor(t *testing.T) {
	w := newTestZone(1, 8, modelSpec("a", 1, 1, 1))
	w.Costs = strandedFirst
	w.settle(t)
	w.instance("d00-i00").Condition = garnetworks.ConditionLost
	ons := decisionsOf[placer.PowerOn](w.plan(t))
	if len(ons) != 1 {
		t.Fatalf("%d instances were ordered on, want 1", len(ons))
	}
	w.Now = w.Now.Add(3 * time.Minute)
	booted := w.instance(ons[0].Instance)
	booted.Power, booted.Condition = garnetworks.PowerOn, garnetworks.ConditionReturned
	if out := w.plan(t); len(decisionsOf[placer.PowerOn](out)) != 0 || len(decisionsOf[placer.FormGroup](out)) != 0 {
		t.Fatalf("want nothing until the re-admission:\n%s", describe(out))
	}
	w.Now = w.Now.Add(2 * time.Second)
	booted.Condition = garnetworks.ConditionHealthy
	if forms := decisionsOf[placer.FormGroup](w.plan(t)); len(forms) != 1 {
		t.Fatalf("%d groups were formed after the re-admission, want 1", len(forms))
	}
}

// A straggler known only by its measured slowdown must be replaced, and its group must
// end only after that.
func TestMeasuredStragglerIsReplaced(t *testing.T) {
	w := newTestZone(1, 8, modelSpec("a", 1, 1, 1))
	w.settle(t)
	slow := w.allGroups()[0].Members[0]
	w.Instances[slow] = placer.InstanceObservation{Slowdown: 2}
	for range 3 {
		out := w.plan(t)
		for _, f := range decisionsOf[placer.FormGroup](out) {
			for _, m := range f.Members {
				if m == slow {
					t.Fatalf("the straggler is taken again:\n%s", describe(out))
				}
			}
		}
		w.finishPending()
		w.Now = w.Now.Add(time.Minute)
	}
	w.settle(t)
	if got := w.serving()["a"]; got != 1 || w.instance(slow).Group != "" {
		t.Errorf("%d groups serve, the straggler's group is %q", got, w.instance(slow).Group)
	}
}

// The need must include spares beyond the limit; otherwise the zone's grant never
// grows enough to power them.
func TestNeedIncludesSparesBeyondTheLimit(t *testing.T) {
	w := threeModelZone(t)
	full := placer.Plan(w.Input).Need
	w.Limit = engineWatts * 60
	w.settle(t)
	if out := placer.Plan(w.Input); out.Need != full || out.Drawn != w.Limit {
		t.Errorf("need %d, drawn %d; want the need of before, %d, and the limit drawn", out.Need, out.Drawn, full)
	}
}

// A maximum far beyond the zone's instances must neither stall planning nor raise the
// wanted groups.
func TestMaximumBeyondAllInstances(t *testing.T) {
	w := newTestZone(2, 9, modelSpec("a", 1, 6, 1_000_000_000), modelSpec("bad", 1, 1, 1))
	w.Models[1].GroupSize = 0
	w.settle(t)
	if got := w.serving()["a"]; got != 4 {
		t.Errorf("%d groups serve, want 4", got)
	}
	want := map[garnetworks.ModelName]placer.Unmet{
		"a":   {Model: "a", Groups: 2, Cause: placer.CauseInstances},
		"bad": {Model: "bad", Groups: 1, Cause: placer.CauseClass},
	}
	for _, u := range placer.Plan(w.Input).Unmet {
		if u != want[u.Model] {
			t.Errorf("unmet %+v, want %+v", u, want[u.Model])
		}
	}
}

// A model must not displace a group of equal priority: the two would displace each
// other forever.
func TestEqualPrioritiesDoNotDisplaceEachOther(t *testing.T) {
	w := newTestZone(2, 4, modelSpec("a", 1, 1, 1), modelSpec("b", 1, 1, 1))
	w.settle(t)
	lost := w.allGroups()[0]
	for _, id := range lost.Members {
		w.instance(id).Condition = garnetworks.ConditionLost
	}
	if lost.Model != "a" {
		t.Fatalf("the first domain holds %s", lost.Model)
	}
	if drains := decisionsOf[placer.DrainGroup](w.plan(t)); len(drains) != 0 {
		t.Errorf("unexpected drains: %+v", drains)
	}
}

// If no replacement can be prepared for a member with an announced stop, the drain must
// begin early enough to finish before the stop.
func TestAnnouncedEndIsDrainedInTime(t *testing.T) {
	w := newTestZone(1, 4, modelSpec("a", 1, 1, 1))
	w.settle(t)
	by := w.Now.Add(w.Grace.Drain + time.Minute)
	w.Instances["d00-i02"] = placer.InstanceObservation{LeaveBy: by}
	out := w.plan(t)
	if len(out.Decisions) != 0 || out.ReplanAt.After(by.Add(-w.Grace.Drain)) {
		t.Fatalf("want to wake before %v, not %v:\n%s", by, out.ReplanAt, describe(out))
	}
	w.Now = by.Add(-w.Grace.Drain)
	if drains := decisionsOf[placer.DrainGroup](w.plan(t)); len(drains) != 1 || drains[0].Reason != placer.ReasonLeaving {
		t.Errorf("drains are %+v", drains)
	}
}

// An instance that fails and returns repeatedly must wait after its second failure, or
// it breaks a group at each return.
func TestRepeatedlyFailingInstanceBacksOff(t *testing.T) {
	w := newTestZone(1, 4, modelSpec("a", 1, 1, 1))
	w.settle(t)
	forms := 0
	for range 30 {
		w.instance("d00-i01").Condition = garnetworks.ConditionLost
		w.plan(t)
		w.Now = w.Now.Add(5 * time.Second)
		w.instance("d00-i01").Condition = garnetworks.ConditionHealthy
		forms += len(decisionsOf[placer.FormGroup](w.plan(t)))
		w.finishPending()
		w.Now = w.Now.Add(5 * time.Second)
	}
	// One at once, and one after the first minute; the next backoff takes two more
	// minutes.
	if forms > 3 {
		t.Errorf("%d groups were formed with it in 5 minutes", forms)
	}
}

// If a member of each group is measured as slow at once, the groups of the model must
// not all be replaced at once.
func TestOneStragglerPerModelIsReplaced(t *testing.T) {
	w := newTestZone(1, 15, modelSpec("a", 1, 3, 3))
	// Without a known rate nothing is preloaded, and a spare is ready at once.
	w.StoreRate = 0
	w.settle(t)
	began := w.Now
	for _, g := range w.allGroups() {
		w.Instances[g.Members[3]] = placer.InstanceObservation{Slowdown: 3}
	}
	moved := 0
	for w.Now.Sub(began) < placer.StragglerReplacementInterval {
		out := w.plan(t)
		for _, d := range decisionsOf[placer.DrainGroup](out) {
			if d.Reason == placer.ReasonStraggler {
				moved++
			}
		}
		w.finishPending()
		w.Now = w.Now.Add(10 * time.Second)
	}
	if moved != 1 {
		t.Errorf("%d groups were replaced within %v, want 1", moved, placer.StragglerReplacementInterval)
	}
}
