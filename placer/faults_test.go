package placer_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/placer"
	"github.com/sebdah/goldie/v2"
)

// faultCase is a row of the fault table: what happens in a zone at rest, and for how
// long the effects are counted.
type faultCase struct {
	name   string
	window time.Duration
	begin  func(s *simulator)
	// runs is the number of runs that are averaged; 0 means 1.
	runs int
	// setup changes the zone before it starts; it may be nil.
	setup func(*testZone)
}

// window is how long the effects of a fault are counted.
const window = time.Hour

func faultCases() []faultCase {
	withSpareRoom := func(w *testZone) { w.Models[2].MaxGroups = 1 }
	return []faultCase{
		{name: "nothing happens", window: window, begin: func(*simulator) {}},
		{name: "single member lost", window: window, begin: func(s *simulator) { s.fail(s.member("a", 1), repairTime, false) }},
		{name: "member returns in 8 s", window: window, begin: func(s *simulator) { s.fail(s.member("a", 1), 8*time.Second, true) }},
		{name: "member returns in 45 s", window: window, begin: func(s *simulator) { s.fail(s.member("a", 1), 45*time.Second, true) }},
		{name: "two members, one domain", window: window, begin: func(s *simulator) {
			s.fail(s.member("a", 1), repairTime, false)
			s.fail(s.member("b", 2), repairTime, false)
		}},
		{name: "whole domain dark", window: 2 * window, begin: func(s *simulator) { s.cutOff(0, 1) }},
		{name: "same, room elsewhere", window: 2 * window, setup: withSpareRoom, begin: func(s *simulator) { s.cutOff(0, 1) }},
		{name: "rack (half a domain)", window: 2 * window, begin: func(s *simulator) { s.cutOff(0, 2) }},
		{name: "straggler", window: window, begin: func(s *simulator) {
			s.member("a", 1).instance.Condition = garnetworks.ConditionStraggler
		}},
		{name: "4 restarts, no notice", window: window, begin: func(s *simulator) { s.restarts(0) }},
		{name: "4 restarts, announced", window: window, begin: func(s *simulator) { s.restarts(10 * time.Minute) }},
		{name: "cap lowered for 20 min", window: window, begin: func(s *simulator) {
			before := s.Limit
			s.Limit = engineWatts * 45
			s.after(20*time.Minute, func() { s.Limit = before })
		}},
		{name: "peak begins", window: window, setup: func(w *testZone) { w.Models[1].MinGroups, w.Models[1].MaxGroups = 3, 3 }, begin: func(s *simulator) {
			s.Models[1].MaxGroups = 6
		}},
		{name: "store slow, member lost", window: window, begin: func(s *simulator) {
			s.StoreRate /= 10
			s.fail(s.member("a", 1), repairTime, false)
		}},
		{name: "boot slow, member lost", window: window, begin: func(s *simulator) {
			s.bootTime = 15 * time.Minute
			s.fail(s.member("a", 1), repairTime, false)
		}},
		ordinaryDays(3),
	}
}

// ordinaryDays averages several days.
func ordinaryDays(days int) faultCase {
	day := uint64(0)
	return faultCase{name: "ordinary day", window: 24 * time.Hour, runs: days, begin: func(s *simulator) {
		s.ordinaryDay(day % uint64(days))
		day++
	}}
}

// cutOff makes every part-th instance of a domain unreachable for half an hour, as a
// failed network switch does; the instances keep their weights if they keep their
// power, and the power can still be switched.
func (s *simulator) cutOff(domain, part int) {
	for n := range s.Domains[domain].Instances {
		if n%part == 0 {
			s.fail(s.engines[s.Domains[domain].Instances[n].ID], 30*time.Minute, true)
		}
	}
}

func (s *simulator) restarts(announced time.Duration) {
	for n := range 4 {
		s.after(time.Duration(n)*12*time.Minute, func() { s.restart(s.member("b", n), announced) })
	}
}

type measures struct {
	down, stranded, slow float64
}

func simulate(t testing.TB, c faultCase, p policy, weights garnetworks.CostWeights) measures {
	t.Helper()
	var sum measures
	runs := max(1, c.runs)
	for range runs {
		m := simulateOnce(t, c, p, weights)
		sum.down += m.down / float64(runs)
		sum.stranded += m.stranded / float64(runs)
		sum.slow += m.slow / float64(runs)
	}
	return sum
}

func simulateOnce(t testing.TB, c faultCase, p policy, weights garnetworks.CostWeights) measures {
	t.Helper()
	w := newTestZone(5, 15, modelSpec("a", 10, 4, 6), modelSpec("b", 5, 4, 6), modelSpec("c", 1, 1, 3))
	w.Costs = weights
	w.Limit = engineWatts * 70
	w.Grace.Drain = time.Minute
	if c.setup != nil {
		c.setup(w)
	}
	s := newSimulator(w, p)
	s.announced = map[garnetworks.InstanceID]placer.InstanceObservation{}
	s.run(startTime.Add(time.Hour))
	before := s.account.Metrics()
	slow := s.slow
	c.begin(s)
	s.run(s.Now.Add(c.window))
	if s.err != nil {
		t.Fatalf("%s: %v", c.name, s.err)
	}
	s.account.CountUntil(s.Now)
	after := s.account.Metrics()
	return measures{
		down:     (after.GroupDowntime - before.GroupDowntime).Seconds(),
		stranded: (after.Stranded - before.Stranded).Seconds(),
		slow:     (s.slow - slow).Seconds(),
	}
}

// TestFaultTable compares group downtime and stranded time of the baseline with those
// of the policy, with cost weights that put either downtime or stranding first.
func TestFaultTable(t *testing.T) {
	var b strings.Builder
	fmt.Fprintf(&b, "%-24s|%32s |%32s |%12s |%20s\n", "",
		"group downtime, group-seconds", "stranded, instance-seconds", "cost ratio", "slow, group-seconds")
	fmt.Fprintf(&b, "%-24s", "case")
	for range 2 {
		fmt.Fprintf(&b, "|%8s %7s %4s %7s %4s ", "baseline", "D-heavy", "", "S-heavy", "")
	}
	fmt.Fprintf(&b, "| D-hvy S-hvy |%6s %6s %6s\n", "base", "D-hvy", "S-hvy")
	for _, c := range faultCases() {
		if testing.Short() && c.window > 2*window {
			continue
		}
		naive := simulate(t, c, baseline, downtimeFirst)
		d := simulate(t, c, placer.Plan, downtimeFirst)
		s := simulate(t, c, placer.Plan, strandedFirst)
		fmt.Fprintf(&b, "%-24s|%8.0f %7.0f %4s %7.0f %4s |%8.0f %7.0f %4s %7.0f %4s |%6s %5s |%6.0f %6.0f %6.0f\n", c.name,
			naive.down, d.down, ratio(d.down, naive.down), s.down, ratio(s.down, naive.down),
			naive.stranded, d.stranded, ratio(d.stranded, naive.stranded), s.stranded, ratio(s.stranded, naive.stranded),
			ratio(d.cost(downtimeFirst), naive.cost(downtimeFirst)), ratio(s.cost(strandedFirst), naive.cost(strandedFirst)),
			naive.slow, d.slow, s.slow)
	}
	t.Logf("\n%s", b.String())
	if !testing.Short() {
		goldie.New(t).Assert(t, "fault-table", []byte(b.String()))
	}
}

// TestWeightTable measures the ordinary day under several ratios of the cost weights;
// docs/weights.md contains the result.
func TestWeightTable(t *testing.T) {
	if testing.Short() {
		t.Skip("three weeks are simulated")
	}
	day := ordinaryDays(3)
	var b strings.Builder
	fmt.Fprintf(&b, "%8s%26s%30s\n", "D/S", "downtime, group-seconds", "stranded, instance-seconds")
	for _, ratio := range []float64{0.2, 1, 10, 100, 300, 3000, 30000} {
		m := simulate(t, day, placer.Plan, garnetworks.CostWeights{GroupDowntime: ratio, Stranded: 1})
		fmt.Fprintf(&b, "%8g%26.0f%30.0f\n", ratio, m.down, m.stranded)
	}
	t.Logf("\n%s", b.String())
	goldie.New(t).Assert(t, "weight-table", []byte(b.String()))
}

// cost applies the cost weights to the measures.
func (m measures) cost(w garnetworks.CostWeights) float64 {
	return m.down*w.GroupDowntime + m.stranded*w.Stranded
}

func ratio(a, b float64) string {
	if b == 0 {
		return "-"
	}
	return fmt.Sprintf("%.2f", a/b)
}
