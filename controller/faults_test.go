package controller

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/grouper"
	"github.com/garnetworks/garnetworks/placer"
)

// settled returns a simulated site on which every group serves.
func newServingSim(t *testing.T, seed uint64, checks bool) *sim {
	t.Helper()
	s := newSim(seed, 2, 3, 2, 4, checks, simManifest(2, 4, 16*simWatts, checks))
	s.runUntil(t, 3*time.Minute, "every group serves", func() bool { return s.serving() == 4 })
	return s
}

// settledWithSpares returns a site on which failures are so frequent that spares
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

// until runs the clock until the condition holds.
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

// holder is the node that holds the zone's lease, as it believes itself.
func (s *sim) holder(zone garnetworks.ZoneID) *simNode {
	for _, n := range s.nodes {
		if n.zone == zone && n.state.Phase == PhaseActive {
			return n
		}
	}
	return nil
}

// member returns a member of a serving group of the zone and its group.
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

// TestOutageLongerThanTheLease: the object API is down for five minutes and a
// member dies in the first. Callers of the other groups must notice nothing.
// Engines that check fencing tokens are formed into a new group while the outage
// lasts, under the old term; engines that ignore them get no order after the
// lease ends, and the group comes back after the outage.
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
		s.runUntil(t, 10*time.Second, "routers hear of the missing member", func() bool { return s.servingIn("z0") == 1 })
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

// TestPausedHolderWakes: the holder of a zone's lease stops for a minute in
// the middle of forming a group, and another node takes over. When it wakes it
// still has orders in hand. None of them may reach an engine: callers would find
// a group whose members were taken away from it.
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
		// One of its members dies meanwhile, so that the successor gives the others
		// newer tokens than those in the old holder's hand.
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

// forming returns an instance that the node has decided to order into a group
// and not yet sent the order to.
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

// TestHolderCutOffFromTheObjectAPI: the holder of a lease loses the object API
// and nobody else does; another node takes over while the old holder still
// reaches the engines. Both act on the same engines for a while. Engines that
// check tokens obey the new one; the old one stops at the first sign of it.
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
			t.Errorf("the old holder still decides, under term %d", old.state.Term)
		}
		old.apiCut = false
		s.runChecked(t, 15*time.Second)
		if old.state.Phase != PhaseStandby {
			t.Errorf("the old holder has seen another one's lease and is %s", old.state.Phase)
		}
		s.runChecked(t, time.Minute)
		if s.serving() != 4 {
			t.Errorf("%d groups serve after the old holder's return", s.serving())
		}
	})
}

// TestHolderThatHearsNobodyGivesTheLeaseAway: the node that holds a zone's lease
// loses its way to the engines; all groups go on answering callers. It must not
// break them, nor cut their power, and another node takes over (C8).
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

// TestPauseIsNotSilence: a zone's only node is paused for 20 s. When it wakes, all
// confirmations it has are old; it must not take that for engines that are silent,
// which would break its groups or give the lease away for half a minute.
func TestPauseIsNotCountedAsSilence(t *testing.T) {
	s := newServingSim(t, 4, true)
	state := s.holder("z0").state
	resumed := Observation{Now: s.now.Add(20 * time.Second), Term: state.Term, Manifest: state.Manifest}
	e := state.Step(resumed)
	if e.YieldLease {
		t.Error("the node gives its lease away for its own pause")
	}
	for _, event := range e.Events {
		t.Errorf("event %s for the node's own pause: %s", event.Kind, event.Detail)
	}
	// Engines that stay silent after that are believed to be.
	yielded := false
	for range 100 {
		resumed.Now = resumed.Now.Add(200 * time.Millisecond)
		yielded = yielded || state.Step(resumed).YieldLease
	}
	if !yielded {
		t.Error("a holder that hears nobody for 20 s after its pause keeps the lease")
	}
}

// TestDarkZoneIsBelieved: every instance of a zone goes dark at once. No node can
// tell that from its own partition; each gives the lease to the next one, and the
// first one that gets it back believes it, so that the instances are powered off
// and their power can serve another zone.
func TestWholeZoneOutageIsAccepted(t *testing.T) {
	s := newServingSim(t, 12, true)
	for _, e := range s.engines {
		if e.row.Zone == "z0" {
			e.unreachable = true
		}
	}
	took := s.runUntil(t, 2*time.Minute, "the zone is believed to be dark", func() bool { return s.events[garnetworks.EventMemberLost] > 0 })
	t.Logf("believed after %s", took)
	for _, e := range s.engines {
		e.unreachable = false
	}
	s.runChecked(t, 10*time.Second)
	s.runUntil(t, 3*time.Minute, "every group serves again", func() bool { return s.serving() == 4 })
}

// TestTermIsNotUsedTwice: in an outage of the object API a holder forms a group
// that it can't write down. Then it loses its way to the engines, gives the lease
// away, which nobody can take, and forgets what it decided. When everything is
// back its own lease record still stands. Had it gone on under the same term, it
// would issue the same tokens for other decisions: engines refuse its orders for
// good, or take one group for another. The fuzzing found it.
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
	s.runUntil(t, 2*time.Minute, "the zone is held again", func() bool { n := s.holder("z0"); return n != nil && n.state.Term > term })
	s.runChecked(t, time.Minute)
	s.runUntil(t, time.Minute, "every group serves", func() bool { return s.serving() == 4 })
}

// TestNewHolderWithoutTheInstanceList: the instance list is down when a zone's
// controller moves to another node, and a member dies. The domains name the
// instances; the group must come back from a running spare, and the other groups
// must not be shed for a limit that is not known yet.
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

// TestFirstViewOfANewHolderIsWhole: a node starts, finds its zone's lease free and
// holds it before it has probed every engine. Callers in other zones, whose nodes
// know the zone by its view alone, must not be refused meanwhile.
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
		t.Errorf("the new holder told nothing: %+v", s.views["z0"].version)
	}
}

// TestReturnedMemberIsRefused: a member falls silent, its group is replaced, and
// it comes back as if nothing had happened, ready in its old group. Nobody may be
// sent to the old group, and the member joins a new one only after it has
// confirmed its release under a new token (D6).
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

// TestDrainThatWasNeverWritten: a holder decides to drain a group, tells the
// engines, and loses its lease before the decision is written. The successor
// finds a serving group whose engines refuse all calls: its callers would be
// refused for good. The fuzzing found it.
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

// TestStartingInstanceIsGivenItsBootTime: an instance is powered on by a holder
// that began long ago. Its boot time counts from the order, not from when the
// holder began to listen; otherwise it is given up before it could boot, and the
// group that needs it comes late. The fuzzing found it.
func TestStartingInstanceIsGivenItsBootTime(t *testing.T) {
	s := newServingSim(t, 7, true)
	s.runChecked(t, 5*time.Minute)
	lost := s.events[garnetworks.EventMemberLost]
	member, _ := s.servingMember("z0")
	member.unreachable = true
	s.runChecked(t, 10*time.Second)
	s.runUntil(t, 2*time.Minute, "every group serves", func() bool { return s.serving() == 4 })
	if got := s.events[garnetworks.EventMemberLost] - lost; got != 1 {
		t.Errorf("%d instances were given up, want only the dark one", got)
	}
}

// TestZoneStatesItsDrawBeforeAnythingIsGranted: a site starts with more instances
// on than its cap allows, and one zone is slow to begin. A zone that has not said
// what it draws must not be counted as drawing nothing: its power would be granted
// to others. The fuzzing found it.
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

// TestLoweredCapShedsWithGrace: operators lower the cap by half. Groups drain
// for the grace of shedding before their power goes, and the ledger's cap falls
// with the draw, never ahead of it.
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

// TestProvenOffStaysOff: an instance is powered off. Its last answer to a probe is
// a second old and still counts for three; it must not pass for a sign that
// somebody powered the instance on again, or it is powered off over and over.
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

// TestGoneInstanceIsForgotten: the platform takes an instance away for good. The
// power switch does not know it any more, so it can't draw; it must not count
// against the cap for ever.
func TestRemovedInstanceIsDropped(t *testing.T) {
	s := newServingSim(t, 10, true)
	member, _ := s.servingMember("z0")
	member.removed, member.unreachable, member.power = true, true, garnetworks.PowerOff
	s.runUntil(t, 5*time.Minute, "the domain forgets it", func() bool {
		for _, d := range s.holder("z0").state.Domains {
			if grouper.FindInstance(&d.Decided, member.row.ID) != nil {
				return false
			}
		}
		return true
	})
}

// TestWritesPerFaultAndAtRest counts the object API's calls: an hour at rest,
// and each fault until every group serves again.
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
	count("domain dark and back", func() {
		s.forDomain(member, func(e *simEngine) { e.unreachable = true })
		s.after(30*time.Second, func() { s.forDomain(member, func(e *simEngine) { e.unreachable = false }) })
	}, 40)
	count("manifest changed", func() { s.changeCap(16) }, 10)
	count("holder restarted", func() { s.restart(s.holder("z0")) }, 20)
}

// TestHoldingEndsAndIsNotTakenUpAgain: each sign that another holder has been there
// ends the holding at once, without one more order or view, and its term is never
// used again, though the lease's record may still stand (C4, C6).
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

// TestDrainIsWrittenFirst: the object API goes down and an instance says that it
// is leaving, while the lease still lasts. Its engines ignore tokens. The drain
// can't be written, so it must not be ordered: a successor would find a serving
// group whose engines refuse every call (C2).
func TestDrainIsWrittenFirst(t *testing.T) {
	s := newServingSim(t, 18, false)
	s.apiDown = true
	member, group := s.servingMember("z0")
	member.leaving = true
	s.runUntil(t, 6*time.Second, "routers hear of the drain", func() bool {
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

// TestNothingIsPoweredBeforeTheFirstGrant: a site starts and its site controllers
// can't run yet. Zones form groups of what is on, and power nothing off as unused:
// without a grant they could not power it on again (W5).
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

// TestPowerOnIsRefused: a plan asks for power that the zone does not have, or while
// the decision can't be written. The placer would not ask; the controller must not
// depend on that, because one watt too many may trip the site (C5, C9).
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

// offIn returns an instance of the zone that the record holds as off.
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
