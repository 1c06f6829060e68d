package controller

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/garnetworks/garnetworks"
)

func TestMain(m *testing.M) {
	flag.Parse()
	setFlagDefault("rapid.seed", "1")
	checks := "10"
	if testing.Short() {
		checks = "4"
	}
	setFlagDefault("rapid.checks", checks)
	setFlagDefault("rapid.steps", "25")
	setFlagDefault("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// setFlagDefault sets a flag that the command line does not set, so that CI runs are
// reproducible.
func setFlagDefault(name, value string) {
	given := false
	flag.Visit(func(f *flag.Flag) { given = given || f.Name == name })
	if !given {
		_ = flag.Set(name, value)
	}
}

func simManifest(zones, groups int, watts garnetworks.Watts, checks bool) garnetworks.Manifest {
	m := garnetworks.Manifest{
		Site: garnetworks.SiteSpec{
			PowerCap: watts,
			Classes: []garnetworks.InstanceClass{{
				Name: "gpu", Watts: simWatts, Accelerators: 8, ChecksFencing: checks, BootTime: 15 * time.Second, FailuresPerDay: 0.02,
			}},
			CostWeights: garnetworks.CostWeights{GroupDowntime: 4, Stranded: 1},
			Grace:       garnetworks.GraceSpec{Drain: 10 * time.Second, Shed: 5 * time.Second},
		},
		Models: []garnetworks.ModelSpec{{
			Name: "large", Version: "v1", WeightBytes: 1, GroupSize: 3, Class: "gpu", MinGroups: groups, MaxGroups: groups, Priority: 1,
		}},
	}
	for z := range zones {
		m.Site.Zones = append(m.Site.Zones, garnetworks.ZoneSpec{Name: garnetworks.ZoneID(fmt.Sprintf("z%d", z))})
	}
	return m
}

var simTicks, simFaults int

// TestControllersAgainstOracle checks invariants after every tick of random faults on two
// zones and two racing site controllers; afterwards every group must serve again.
func TestControllersAgainstOracle(t *testing.T) {
	for name, checks := range map[string]bool{"checks": true, "ignores": false} {
		t.Run(name, func(t *testing.T) { rapid.Check(t, func(rt *rapid.T) { fuzzOnce(rt, checks) }) })
	}
	t.Logf("%d ticks, %d faults", simTicks, simFaults)
}

func fuzzOnce(rt *rapid.T, checks bool) {
	groups := 4
	s := newSim(rapid.Uint64().Draw(rt, "seed"), 2, 3, 2, 4, checks, simManifest(2, groups, 16*simWatts, checks))
	fault := func(do func(n *simNode)) func(*rapid.T) {
		return func(rt *rapid.T) {
			do(s.nodes[rapid.IntRange(0, len(s.nodes)-1).Draw(rt, "node")])
			simFaults++
			s.step(rt)
		}
	}
	engine := func(do func(e *simEngine)) func(*rapid.T) {
		return func(rt *rapid.T) {
			do(s.engines[rapid.SampledFrom(s.ids).Draw(rt, "engine")])
			simFaults++
			s.step(rt)
		}
	}
	rt.Repeat(map[string]func(*rapid.T){
		"quiet":         func(rt *rapid.T) { s.step(rt) },
		"pause":         fault(func(n *simNode) { n.pausedUntil = s.now.Add(time.Duration(1+s.random.IntN(25)) * time.Second) }),
		"cut-api":       fault(func(n *simNode) { n.apiCut = !n.apiCut }),
		"cut-engines":   fault(func(n *simNode) { n.enginesCut = !n.enginesCut }),
		"lose-writes":   fault(func(n *simNode) { n.loseWriteAnswers = 3 }),
		"late-writes":   fault(func(n *simNode) { n.delayWrites = 3 }),
		"lose-answers":  fault(func(n *simNode) { n.loseOrderAnswers = 3 }),
		"restart-node":  fault(func(n *simNode) { s.restart(n) }),
		"outage":        func(rt *rapid.T) { s.apiDown = !s.apiDown; simFaults++; s.step(rt) },
		"list":          func(rt *rapid.T) { s.listDown = !s.listDown; simFaults++; s.step(rt) },
		"site-cut":      func(rt *rapid.T) { t := s.sites[s.random.IntN(2)]; t.cut = !t.cut; s.step(rt) },
		"site-lose":     func(rt *rapid.T) { s.sites[s.random.IntN(2)].lose = 2; s.step(rt) },
		"cap":           func(rt *rapid.T) { s.changeCap(rapid.IntRange(5, 16).Draw(rt, "cap")); simFaults++; s.step(rt) },
		"dark":          engine(func(e *simEngine) { e.unreachable = true }),
		"return":        engine(func(e *simEngine) { e.unreachable = false }),
		"restart":       engine(func(e *simEngine) { e.restart() }),
		"leave":         engine(func(e *simEngine) { e.leaving = true }),
		"dark-domain":   engine(func(e *simEngine) { s.forDomain(e, func(e *simEngine) { e.unreachable = true }) }),
		"return-domain": engine(func(e *simEngine) { s.forDomain(e, func(e *simEngine) { e.unreachable = false }) }),
	})
	s.recover(rt, groups)
	simTicks += s.ticks
}

func (s *sim) step(rt *rapid.T) {
	s.run(time.Duration(rapid.IntRange(1, 15).Draw(rt, "seconds")) * time.Second)
	s.failIfBroken(rt)
}

func (s *sim) failIfBroken(rt *rapid.T) {
	if s.broken == "" {
		return
	}
	for _, l := range s.log[max(len(s.log)-60, 0):] {
		rt.Log(l)
	}
	rt.Fatal(s.broken)
}

func (s *sim) changeCap(instances int) {
	m := *s.manifest
	m.Generation++
	m.Manifest.Site.PowerCap = garnetworks.Watts(instances) * simWatts
	s.manifest = &m
	s.cap = max(s.cap, m.Manifest.Site.PowerCap)
}

func (s *sim) forDomain(e *simEngine, do func(*simEngine)) {
	for _, other := range s.engines {
		if other.row.Domain == e.row.Domain {
			do(other)
		}
	}
}

// restart replaces a node's process under the same name.
func (s *sim) restart(n *simNode) {
	fresh := &sim{}
	*fresh = *s
	fresh.nodes = nil
	fresh.addNode(n.id, n.zone, n.lease.Rank)
	m := fresh.nodes[0]
	m.s = s
	m.writeID = n.writeID + 1_000_000
	m.process = n.process + 1
	*n = *m
}

// recover ends all faults and expects every group to serve within the time that leases,
// boots and loads may take.
func (s *sim) recover(rt *rapid.T, groups int) {
	s.apiDown, s.listDown = false, false
	for _, n := range s.nodes {
		n.apiCut, n.enginesCut, n.loseOrderAnswers, n.loseWriteAnswers, n.delayWrites = false, false, 0, 0, 0
	}
	for _, t := range s.sites {
		t.cut, t.lose = false, 0
	}
	for _, e := range s.engines {
		e.unreachable = false
		if e.leaving {
			e.restart()
		}
	}
	s.changeCap(16)
	for range 100 {
		s.run(10 * time.Second)
		s.failIfBroken(rt)
		if s.serving() == groups {
			return
		}
	}
	for _, l := range s.log[max(len(s.log)-60, 0):] {
		rt.Log(l)
	}
	s.dump(rt)
	rt.Fatalf("%d of %d groups serve 1000 s after the last fault", s.serving(), groups)
}

func (s *sim) dump(rt *rapid.T) {
	rt.Logf("ledger %s", s.objects[LedgerKey].value)
	for _, n := range s.nodes {
		if n.state.Phase != PhaseActive {
			continue
		}
		rt.Logf("%s stated %+v limit %d unmet %+v", n.id, n.state.Power.Stored, n.state.Limit, n.state.Plan.Unmet)
		for _, d := range n.state.sortedDomains() {
			for _, i := range d.Decided.Instances {
				e := s.engines[i.ID]
				rt.Logf("%s %s %s group %q token %s; engine %s %s group %q", i.ID, i.Power, i.Condition, i.Group, i.Token, e.power, e.phase, e.group)
			}
		}
	}
}
