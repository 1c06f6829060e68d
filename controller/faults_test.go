package controller

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/grouper"
	"github.com/garnetworks/garnetworks/placer"
)

// newServingSim returns a simulated site on which every group serves.
func newServingSim(t *testing.T, seed uint64, checks bool) *sim {
	t.Helper()
	s := newSim(seed, 2, 3, 2, 4, checks, simManifest(2, 4, 16*simWatts, checks))
	s.runUntil(t, 3*time.Minute, "every group serves", func() bool { return s.serving() == 4 })
	return s
}

// newServingSimWithSpares returns a site on which failures are so frequent that spares
// are kept running.
func newServingSimWithSpares(t *testing.T, seed uint64, checks bool) *sim {
	t.Helper()
	manifest := simManifest(2, 4, 16*simWatts, checks)
	manifest.Site.Classes[0].FailuresPerDay = 100
	manifest.Site.CostWeights.GroupDowntime = 1000
	s := newSim(seed, 2, 3, 2, 4, checks, manifest)
	s.runUntil(t, 3*time.Minute, "every group serves", func() bool { return s.serving() == 4 })
	s.runChecked(t, time.Minute)
	return s
}

// runUntil runs the clock until the condition holds, and returns the time that it took.
func (s *sim) runUntil(t *testing.T, limit time.Duration, what string, condition func() bool) time.Duration {
	t.Helper()
	start := s.now
	for s.now.Sub(start) < limit {
		if s.broken != "" {
			t.Fatal(s.broken)
		}
		if condition() {
			return s.now.Sub(start)
		}
		s.run(simTick)
	}
	for _, l := range s.log {
		t.Log(l)
	}
	t.Fatalf("not after %s: %s", limit, what)
	return 0
}

func (s *sim) runChecked(t *testing.T, d time.Duration) {
	t.Helper()
	s.run(d)
	if s.broken != "" {
		t.Fatal(s.broken)
	}
}

// holder returns the node that considers itself the holder of the zone's lease.
func (s *sim) holder(zone garnetworks.ZoneID) *simNode {
	for _, n := range s.nodes {
		if n.zone == zone && n.state.Phase == PhaseActive {
			return n
		}
	}
	return nil
}

// servingMember returns a member of a serving group of the zone, and the group.
func (s *sim) servingMember(zone garnetworks.ZoneID) (*simEngine, garnetworks.GroupView) {
	for _, g := range s.views[zone].view.Groups {
		if g.Confirmed {
			return s.engines[g.Members[1]], g
		}
	}
	return nil, garnetworks.GroupView{}
}

func (s *sim) servingIn(zone garnetworks.ZoneID) int {
	n := 0
	for _, g := range s.views[zone].view.Groups {
		if g.Confirmed {
			n++
		}
	}
	return n
}

func withAndWithoutFencing(t *testing.T, test func(t *testing.T, checks bool)) {
	for name, checks := range map[string]bool{"checks": true, "ignores": false} {
		t.Run(name, func(t *testing.T) { test(t, checks) })
	}
}

// Guards against callers of other groups being affected by an object API outage in which
// a member is lost, and against orders after the lease to engines that ignore tokens.
func TestOutageLongerThanTheLease(t *testing.T) {
	withAndWithoutFencing(t, func(t *testing.T, checks bool) {
		s := newServingSimWithSpares(t, 1, checks)
		lost, group := s.servingMember("z0")
		if spare := s.spare(lost); spare == nil || spare.power != garnetworks.PowerOn {
			t.Fatal("no spare runs")
		}
		s.apiDown = true
		s.runChecked(t, 30*time.Second)
		lost.unreachable = true
		s.runUntil(t, 10*time.Second, "the view shows the broken group", func() bool { return s.servingIn("z0") == 1 })
		s.runChecked(t, 4*time.Minute)
		if got := s.servingIn("z1"); got != 2 {
			t.Errorf("%d of 2 groups of the other zone serve", got)
		}
		want := map[bool]int{true: 2, false: 1}[checks]
		if got := s.servingIn("z0"); got != want {
			t.Errorf("%d groups serve in the outage, want %d", got, want)
		}
		s.apiDown = false
		s.runUntil(t, 2*time.Minute, "every group serves after the outage", func() bool { return s.serving() == 4 })
		if _, g := s.servingMember("z0"); g.ID == group.ID {
			t.Errorf("the broken group %s serves again", g.ID)
		}
	})
}

// spare returns an instance of the engine's domain that is in no group.
func (s *sim) spare(e *simEngine) *simEngine {
	for _, id := range s.ids {
		if o := s.engines[id]; o.row.Domain == e.row.Domain && o.group == "" {
			return o
		}
	}
	return nil
}

// Guards against orders of a paused holder reaching engines after another node has taken
// over: they would break a group that serves.
func TestPausedHolderWakes(t *testing.T) {
	withAndWithoutFencing(t, func(t *testing.T, checks bool) {
		s := newServingSim(t, 2, checks)
		old := s.holder("z0")
		term := old.state.Term
		lost, _ := s.servingMember("z0")
		lost.unreachable = true
		s.runUntil(t, time.Minute, "orders to form another group are decided", func() bool {
			return s.events[garnetworks.EventGroupBroken] > 0 && old.unsentForm() != ""
		})
		// One of its members is lost meanwhile, so that the successor gives the others newer
		// tokens than those of the old holder's unsent orders.
		s.engines[old.unsentForm()].unreachable = true
		old.pausedUntil = s.now.Add(time.Minute)
		took := s.runUntil(t, time.Minute, "another node holds the lease", func() bool {
			for _, n := range s.nodes {
				if n.zone == "z0" && n.state.Phase == PhaseActive && n.state.Term > term {
					return true
				}
			}
			return false
		})
		t.Logf("the lease passed on after %s", took)
		s.runChecked(t, 2*time.Minute)
		if old.state.Phase != PhaseStandby {
			t.Errorf("the old holder is %s", old.state.Phase)
		}
		s.runUntil(t, 2*time.Minute, "every group serves", func() bool { return s.serving() == 4 })
	})
}

// unsentForm returns an instance for which the node has decided an order to form a group
// that is not sent yet.
func (n *simNode) unsentForm() garnetworks.InstanceID {
	if len(n.outbox) == 0 {
		return ""
	}
	for id, o := range n.state.orders {
		if o.busy && o.kind == garnetworks.OrderForm {
			return id
		}
	}
	return ""
}

// Guards against conflicting orders when only the lease holder loses the object API and
// another node takes over: engines obey the newer token, and the old holder stops.
func TestHolderCutOffFromTheObjectAPI(t *testing.T) {
	withAndWithoutFencing(t, func(t *testing.T, checks bool) {
		s := newServingSim(t, 3, checks)
		old := s.holder("z0")
		old.apiCut = true
		lost, _ := s.servingMember("z0")
		lost.unreachable = true
		s.runChecked(t, 2*time.Minute)
		s.runUntil(t, time.Minute, "every group serves", func() bool { return s.serving() == 4 })
		if checks && old.state.Phase == PhaseActive {
			t.Errorf("the old holder is still active under term %d", old.state.Term)
		}
		old.apiCut = false
		s.runChecked(t, 15*time.Second)
		if old.state.Phase != PhaseStandby {
			t.Errorf("the old holder can read the other lease but is %s", old.state.Phase)
		}
		s.runChecked(t, time.Minute)
		if s.serving() != 4 {
			t.Errorf("%d groups serve after the old holder's return", s.serving())
		}
	})
}

// Guards against a holder that is cut off from the engines breaking groups that still
// serve, instead of yielding the lease to another node (C8).
func TestIsolatedHolderYieldsLease(t *testing.T) {
	s := newServingSim(t, 4, true)
	old := s.holder("z0")
	broken := s.events[garnetworks.EventGroupBroken]
	old.enginesCut = true
	s.runUntil(t, time.Minute, "another node holds the lease", func() bool {
		n := s.holder("z0")
		return n != nil && n != old
	})
	s.runUntil(t, 20*time.Second, "every group serves", func() bool { return s.serving() == 4 })
	if got := s.events[garnetworks.EventGroupBroken] - broken; got != 0 {
		t.Errorf("%d groups were broken for the holder's own partition", got)
	}
}

// Guards against a resumed node taking its own 20 s pause for the engines' silence, which
// would break its groups or yield its lease.
func TestPauseIsNotCountedAsSilence(t *testing.T) {
	s := newServingSim(t, 4, true)
	state := s.holder("z0").state
	resumed := Observation{Now: s.now.Add(20 * time.Second), Term: state.Term, Manifest: state.Manifest}
	e := state.Step(resumed)
	if e.YieldLease {
		t.Error("the node yields its lease for its own pause")
	}
	for _, event := range e.Events {
		t.Errorf("event %s for the node's own pause: %s", event.Kind, event.Detail)
	}
	// Engines that stay silent after that count as silent.
	yielded := false
	for range 100 {
		resumed.Now = resumed.Now.Add(200 * time.Millisecond)
		yielded = yielded || state.Step(resumed).YieldLease
	}
	if !yielded {
		t.Error("a holder that gets no status for 20 s after its pause keeps the lease")
	}
}

// Guards against a zone whose instances are all lost never being recognized as such, since
// each node takes it for its own isolation: its power could not serve another zone.
func TestWholeZoneOutageIsAccepted(t *testing.T) {
	s := newServingSim(t, 12, true)
	for _, e := range s.engines {
		if e.row.Zone == "z0" {
			e.unreachable = true
		}
	}
	took := s.runUntil(t, 2*time.Minute, "members of the zone are recorded as lost", func() bool { return s.events[garnetworks.EventMemberLost] > 0 })
	t.Logf("recorded after %s", took)
	for _, e := range s.engines {
		e.unreachable = false
	}
	s.runChecked(t, 10*time.Second)
	s.runUntil(t, 3*time.Minute, "every group serves again", func() bool { return s.serving() == 4 })
}

// Guards against a holder that dropped unstored decisions going on under the same term:
// it would issue the same tokens for other decisions, which engines reject or mix up.
func TestTermIsNotUsedTwice(t *testing.T) {
	s := newServingSimWithSpares(t, 13, true)
	old := s.holder("z0")
	term := old.state.Term
	s.apiDown = true
	lost, _ := s.servingMember("z0")
	lost.unreachable = true
	s.runChecked(t, time.Minute)
	if s.servingIn("z0") != 2 {
		t.Fatal("the group was not formed in the outage")
	}
	old.enginesCut = true
	s.runChecked(t, time.Minute)
	old.enginesCut, s.apiDown = false, false
	s.runUntil(t, 2*time.Minute, "a holder is active again", func() bool { n := s.holder("z0"); return n != nil && n.state.Term > term })
	s.runChecked(t, time.Minute)
	s.runUntil(t, time.Minute, "every group serves", func() bool { return s.serving() == 4 })
}

// Guards against a new holder shedding groups, or not replacing a lost member, while the
// instance list is down: the domains contain the instances.
func TestNewHolderWithoutTheInstanceList(t *testing.T) {
	s := newServingSimWithSpares(t, 14, true)
	s.listDown = true
	s.restart(s.holder("z0"))
	lost, _ := s.servingMember("z0")
	lost.unreachable = true
	s.runChecked(t, 20*time.Second)
	s.runUntil(t, time.Minute, "every group serves", func() bool { return s.serving() == 4 })
	if got := s.events[garnetworks.EventGroupDraining]; got != 0 {
		t.Errorf("%d groups were drained", got)
	}
}

// Guards against a new holder publishing a view before it has a status of every engine:
// nodes in other zones, which know the zone by its view alone, would refuse calls.
func TestFirstViewOfNewHolderIsComplete(t *testing.T) {
	s := newServingSim(t, 16, true)
	for _, n := range s.nodes {
		if n.zone == "z0" {
			n.apiCut = true
			n.pausedUntil = s.now.Add(time.Hour)
		}
	}
	key := ZoneLeaseKey("z0")
	_, err := s.put(key, []byte(`{"term":7}`), s.objects[key].revision)
	if err != nil {
		t.Fatal(err)
	}
	fresh := s.nodes[0]
	s.restart(fresh)
	fresh.slowProbesUntil = s.now.Add(4 * time.Second)
	for start := s.now; s.now.Sub(start) < 20*time.Second; {
		s.runChecked(t, simTick)
		if got := s.servingIn("z0"); got != 2 {
			t.Fatalf("%d of 2 groups are in the view of term %d", got, s.views["z0"].version.Term)
		}
	}
	if s.views["z0"].version.Term < 8 {
		t.Errorf("the new holder published no view: %+v", s.views["z0"].version)
	}
}

// Guards against routing to a replaced group whose silent member returns, and against the
// member joining a new group before it has confirmed its release (D6).
func TestReturnedMemberIsRefused(t *testing.T) {
	withAndWithoutFencing(t, func(t *testing.T, checks bool) {
		s := newServingSim(t, 5, checks)
		member, old := s.servingMember("z0")
		member.unreachable = true
		s.runUntil(t, 30*time.Second, "the group is broken", func() bool { return s.events[garnetworks.EventGroupBroken] > 0 })
		member.unreachable = false
		s.runChecked(t, time.Second)
		token := member.highest
		s.runUntil(t, 2*time.Minute, "every group serves", func() bool { return s.serving() == 4 })
		if member.group == old.ID || member.highest <= token {
			t.Errorf("%s is in %q under %s, and was under %s", member.row.ID, member.group, member.highest, token)
		}
	})
}

// Guards against a group that refuses all calls for good after a holder ordered its drain
// and lost the lease before storing the decision.
func TestDrainThatWasNeverWritten(t *testing.T) {
	s := newServingSim(t, 6, false)
	member, old := s.servingMember("z0")
	for _, m := range old.Members {
		s.engines[m].phase = garnetworks.EngineDraining
	}
	s.runChecked(t, 10*time.Second)
	s.runUntil(t, 2*time.Minute, "every group serves", func() bool { return s.serving() == 4 })
	if member.group == old.ID {
		t.Errorf("%s is still in %s", member.row.ID, old.ID)
	}
}

// Guards against measuring an instance's boot time from when the holder began to listen
// instead of from the power order: it would count as lost before it could boot.
func TestStartingInstanceIsGivenItsBootTime(t *testing.T) {
	s := newServingSim(t, 7, true)
	s.runChecked(t, 5*time.Minute)
	lost := s.events[garnetworks.EventMemberLost]
	member, _ := s.servingMember("z0")
	member.unreachable = true
	s.runChecked(t, 10*time.Second)
	s.runUntil(t, 2*time.Minute, "every group serves", func() bool { return s.serving() == 4 })
	if got := s.events[garnetworks.EventMemberLost] - lost; got != 1 {
		t.Errorf("%d instances were recorded as lost, want only the unreachable one", got)
	}
}

// Guards against counting a zone that has not stated its draw as drawing nothing: its
// power would be granted to other zones.
func TestZoneStatesItsDrawBeforeAnythingIsGranted(t *testing.T) {
	s := newSim(8, 2, 3, 2, 4, true, simManifest(2, 4, 9*simWatts, true))
	for _, n := range s.nodes {
		if n.zone == "z1" {
			n.apiCut = true
		}
	}
	s.runChecked(t, 30*time.Second)
	var ledger garnetworks.PowerLedger
	if o, ok := s.objects[LedgerKey]; ok {
		_ = json.Unmarshal(o.value, &ledger)
	}
	for _, g := range ledger.Grants {
		if g.Granted > 8*simWatts {
			t.Errorf("%s was granted %d W while z1 draws 80000 W of a cap of 90000 W", g.Zone, g.Granted)
		}
	}
	for _, n := range s.nodes {
		n.apiCut = false
	}
	s.runUntil(t, 2*time.Minute, "the site draws no more than its cap", func() bool { return s.draw() <= 9*simWatts })
	s.runUntil(t, 2*time.Minute, "the ledger holds the cap", func() bool {
		_ = json.Unmarshal(s.objects[LedgerKey].value, &ledger)
		return ledger.Cap == 9*simWatts
	})
}

// Guards against power going off before the drain's grace ends when the cap is lowered,
// and against the ledger's cap falling below the actual draw.
func TestLoweredCapShedsWithGrace(t *testing.T) {
	s := newServingSim(t, 9, true)
	s.changeCap(6)
	s.runUntil(t, time.Minute, "groups drain", func() bool { return s.events[garnetworks.EventGroupDraining] == 2 })
	at := s.now
	s.runUntil(t, 2*time.Minute, "the site draws no more than its cap", func() bool { return s.draw() <= 6*simWatts })
	if grace := s.now.Sub(at); grace < 3*time.Second {
		t.Errorf("power went %s after the drain began", grace)
	}
	s.runChecked(t, time.Minute)
	if got := s.serving(); got != 2 {
		t.Errorf("%d groups serve under the lowered cap, want 2", got)
	}
}

// Guards against taking the last status before a power-off for a sign that the instance
// was powered on again, which would power it off over and over.
func TestProvenOffStaysOff(t *testing.T) {
	s := newServingSim(t, 15, true)
	s.runChecked(t, 2*time.Minute)
	off := 0
	for _, e := range s.engines {
		if e.power == garnetworks.PowerOff {
			off++
		}
	}
	if got := s.events[garnetworks.EventPowerOff]; off == 0 || got != off {
		t.Errorf("%d orders to power off for %d instances that are off", got, off)
	}
	if got := s.events[garnetworks.EventPowerOn]; got != 0 {
		t.Errorf("%d instances were powered on again on a site that began with all on", got)
	}
}

// Guards against an instance that the power switch no longer knows counting against the
// power cap for ever.
func TestRemovedInstanceIsDropped(t *testing.T) {
	s := newServingSim(t, 10, true)
	member, _ := s.servingMember("z0")
	member.removed, member.unreachable, member.power = true, true, garnetworks.PowerOff
	s.runUntil(t, 5*time.Minute, "the domain drops the instance", func() bool {
		for _, d := range s.holder("z0").state.Domains {
			if grouper.FindInstance(&d.Decided, member.row.ID) != nil {
				return false
			}
		}
		return true
	})
}

// TestWritesPerFaultAndAtRest bounds the object API's writes: in an hour at rest, and for
// each fault until every group serves again.
func TestWritesPerFaultAndAtRest(t *testing.T) {
	s := newServingSim(t, 11, true)
	s.runChecked(t, 2*time.Minute)
	quiet := time.Hour
	if testing.Short() {
		quiet = 5 * time.Minute
	}
	leases := 2 * int(quiet/(3*time.Second))
	puts, gets := s.puts, s.gets
	s.runChecked(t, quiet)
	rest := s.puts - puts
	t.Logf("%s at rest, 2 zones with 3 nodes each: %d writes, of them about %d renewals; %d reads", quiet, rest, leases, s.gets-gets)
	if rest > leases+leases/16 {
		t.Errorf("%d writes in %s at rest", rest, quiet)
	}
	count := func(name string, fault func(), limit int) {
		puts, at := s.puts, s.now
		fault()
		s.runChecked(t, 6*time.Second)
		took := 6*time.Second + s.runUntil(t, 5*time.Minute, "every group serves", func() bool { return s.serving() == 4 })
		s.runChecked(t, 3*time.Minute)
		renewals := int(s.now.Sub(at) / (3 * time.Second) * 2)
		t.Logf("%s: %s until every group serves, %d writes besides renewals", name, took, s.puts-puts-renewals)
		if got := s.puts - puts - renewals; got > limit {
			t.Errorf("%s cost %d writes, want %d at most", name, got, limit)
		}
	}
	member, _ := s.servingMember("z0")
	count("member lost and back", func() { member.unreachable = true; s.after(10*time.Second, func() { member.unreachable = false }) }, 20)
	member, _ = s.servingMember("z1")
	count("engine restarted", func() { member.restart() }, 20)
	member, _ = s.servingMember("z0")
	count("domain unreachable and back", func() {
		s.forDomain(member, func(e *simEngine) { e.unreachable = true })
		s.after(30*time.Second, func() { s.forDomain(member, func(e *simEngine) { e.unreachable = false }) })
	}, 40)
	count("manifest changed", func() { s.changeCap(16) }, 10)
	count("holder restarted", func() { s.restart(s.holder("z0")) }, 20)
}

// Guards against a superseded holder sending further orders, writes or views, and against
// it reusing its term while the lease's record still has it (C4, C6).
func TestSupersededHolderDoesNotResume(t *testing.T) {
	for name, sign := range map[string]func(s *ZoneState, o *Observation){
		"another node in the lease": func(_ *ZoneState, o *Observation) { o.Contested = true },
		"a refused token":           func(s *ZoneState, _ *Observation) { s.refused = "test" },
		"a higher term in a domain": func(s *ZoneState, _ *Observation) { s.sortedDomains()[0].Stored.Term++ },
		"a higher term in the statement": func(s *ZoneState, _ *Observation) {
			s.Power.Stored.Term++
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := newServingSim(t, 17, true)
			n := s.holder("z0")
			term := n.state.Term
			o := Observation{Now: s.now, Manifest: s.manifest, Statuses: n.table}
			sign(n.state, &o)
			e := n.state.Step(o)
			if n.state.Phase != PhaseStandby || len(e.Orders)+len(e.Power)+len(e.Writes) > 0 || e.View.Present {
				t.Errorf("the holder is %s and does %+v", n.state.Phase, e)
			}
			e = n.state.Step(Observation{Now: s.now, Term: term, Manifest: s.manifest, Statuses: n.table})
			if n.state.Phase != PhaseStandby || e.RaiseFloor != term {
				t.Errorf("the holder is %s again under term %d and raises the floor to %d", n.state.Phase, term, e.RaiseFloor)
			}
		})
	}
}

// Guards against ordering a drain of engines that ignore tokens before it is stored: a
// successor would find a serving group whose engines refuse every call (C2).
func TestDrainIsWrittenFirst(t *testing.T) {
	s := newServingSim(t, 18, false)
	s.apiDown = true
	member, group := s.servingMember("z0")
	member.leaving = true
	s.runUntil(t, 6*time.Second, "the view shows the drain", func() bool {
		for _, g := range s.views["z0"].view.Groups {
			if g.ID == group.ID {
				return g.State == garnetworks.GroupDraining
			}
		}
		return false
	})
	s.runChecked(t, 5*time.Second)
	for _, m := range group.Members {
		if s.engines[m].phase == garnetworks.EngineDraining {
			t.Errorf("%s was ordered to drain", m)
		}
	}
}

// Guards against a zone powering instances off before its first grant, without which it
// could not power them on again (W5).
func TestNothingIsPoweredBeforeTheFirstGrant(t *testing.T) {
	s := newSim(19, 2, 3, 2, 4, true, simManifest(2, 4, 16*simWatts, true))
	for _, site := range s.sites {
		site.cut = true
	}
	s.runUntil(t, 3*time.Minute, "every group serves", func() bool { return s.serving() == 4 })
	s.runChecked(t, 5*time.Minute)
	if got := s.events[garnetworks.EventPowerOff] + s.events[garnetworks.EventPowerOn]; got != 0 {
		t.Errorf("%d power orders without a grant", got)
	}
}

// Guards against the controller relying on the placer not to power an instance on above
// the limit, or when the decision can't be stored (C5, C9).
func TestPowerOnIsRefused(t *testing.T) {
	for name, c := range map[string]struct {
		headroom garnetworks.Watts
		term     uint32
		want     garnetworks.PowerState
	}{
		"above the limit":    {simWatts - 1, 1, garnetworks.PowerOff},
		"beyond the lease":   {simWatts, 0, garnetworks.PowerOff},
		"within both bounds": {simWatts, 1, garnetworks.PowerStarting},
	} {
		t.Run(name, func(t *testing.T) {
			s := newServingSim(t, 20, true)
			s.runUntil(t, time.Minute, "a spare is off", func() bool { return s.offIn("z0") != nil })
			off := s.offIn("z0")
			p := &activeStep{ZoneState: s.holder("z0").state, o: Observation{Now: s.now, Term: c.term}, e: &Effects{}}
			p.openDomains()
			p.Limit = p.drawn() + c.headroom
			p.apply(placer.PowerOn{Domain: off.row.Domain, Instance: off.row.ID})
			if got := p.domain(off.row.Domain).Instance(off.row.ID).Power; got != c.want {
				t.Errorf("the instance is %s, want %s", got, c.want)
			}
		})
	}
}

// offIn returns an instance of the zone that its domain records as off.
func (s *sim) offIn(zone garnetworks.ZoneID) *simEngine {
	for _, id := range s.ids {
		e := s.engines[id]
		d := s.holder(zone).state.Domains[e.row.Domain]
		if e.row.Zone == zone && d != nil && grouper.FindInstance(&d.Decided, id).Power == garnetworks.PowerOff {
			return e
		}
	}
	return nil
}
