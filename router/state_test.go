package router

import (
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
	defaults := map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true", "rapid.checks": "500"}
	for name, value := range defaults {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}

// oracleGroup is the oracle's state of a group: the newest row and the times of the last
// confirmations and denial.
type oracleGroup struct {
	row                                            garnetworks.GroupView
	confirmedByView, confirmedByProbe, deniedUntil time.Time
}

// oracle determines eligibility directly from rules R1 to R3.
type oracle struct {
	now    time.Time
	groups map[garnetworks.GroupID]*oracleGroup
}

func (o *oracle) eligible(id garnetworks.GroupID, model garnetworks.ModelName, adapter garnetworks.AdapterName) bool {
	g := o.groups[id]
	if g == nil || g.row.State != garnetworks.GroupServing || g.row.Model != model {
		return false
	}
	if adapter != "" && !slices.Contains(g.row.Adapters, adapter) {
		return false
	}
	if !g.deniedUntil.IsZero() && o.now.Before(g.deniedUntil) {
		return false
	}
	fresh := func(at time.Time) bool {
		return !at.IsZero() && o.now.Sub(at) <= garnetworks.ConfirmationBound
	}
	return fresh(g.confirmedByView) || fresh(g.confirmedByProbe)
}

func (o *oracle) view(at time.Time, view garnetworks.ZoneView) {
	seen := garnetworks.NewSet[garnetworks.GroupID]()
	for _, row := range view.Groups {
		seen.Add(row.ID)
		g := o.groups[row.ID]
		if g == nil {
			g = &oracleGroup{}
			o.groups[row.ID] = g
		}
		switch {
		case row.Token < g.row.Token:
			continue
		case row.Token > g.row.Token:
			g.deniedUntil, g.confirmedByView, g.confirmedByProbe = time.Time{}, time.Time{}, time.Time{}
		}
		g.row = row
		if at.After(g.confirmedByView) {
			g.confirmedByView = at
		}
		if !row.Confirmed {
			g.confirmedByView, g.confirmedByProbe = time.Time{}, time.Time{}
		}
	}
	for id, g := range o.groups {
		if g.row.Zone == view.Zone && !seen.Has(id) {
			delete(o.groups, id)
		}
	}
}

// routerMachine runs a router and the oracle in parallel.
type routerMachine struct {
	router   *Router
	oracle   *oracle
	zones    []garnetworks.ZoneID
	inFlight map[garnetworks.GroupID]int
}

func (m *routerMachine) row(t *rapid.T, zone garnetworks.ZoneID, i int) garnetworks.GroupView {
	states := []garnetworks.GroupState{
		garnetworks.GroupServing, garnetworks.GroupServing, garnetworks.GroupServing,
		garnetworks.GroupLoading, garnetworks.GroupDraining, garnetworks.GroupBroken,
	}
	row := garnetworks.GroupView{
		ID:        garnetworks.GroupID(fmt.Sprintf("%s-g%d", zone, i)),
		Zone:      zone,
		Model:     rapid.SampledFrom([]garnetworks.ModelName{"m", "m", "m", "n"}).Draw(t, "model"),
		Token:     garnetworks.FencingToken(rapid.IntRange(1, 3).Draw(t, "token")),
		State:     rapid.SampledFrom(states).Draw(t, "state"),
		Confirmed: rapid.IntRange(0, 3).Draw(t, "confirmed") > 0,
		Load:      garnetworks.EngineLoad{Running: rapid.IntRange(0, 60).Draw(t, "running"), Capacity: 32, At: m.oracle.now},
	}
	if rapid.Bool().Draw(t, "adapted") {
		row.Adapters = []garnetworks.AdapterName{"a"}
	}
	return row
}

func (m *routerMachine) id(t *rapid.T) garnetworks.GroupID {
	zone := rapid.SampledFrom(m.zones).Draw(t, "zone")
	return garnetworks.GroupID(fmt.Sprintf("%s-g%d", zone, rapid.IntRange(0, 5).Draw(t, "group")))
}

func (m *routerMachine) setView(t *rapid.T) {
	view := garnetworks.ZoneView{Zone: rapid.SampledFrom(m.zones).Draw(t, "zone")}
	for i := range 6 {
		if rapid.IntRange(0, 4).Draw(t, "present") > 0 {
			view.Groups = append(view.Groups, m.row(t, view.Zone, i))
		}
	}
	at := m.oracle.now.Add(-time.Duration(rapid.IntRange(0, 2000).Draw(t, "age")) * time.Millisecond)
	m.router.SetView(at, view)
	m.oracle.view(at, view)
	for id := range m.inFlight {
		if m.oracle.groups[id] == nil {
			delete(m.inFlight, id)
		}
	}
}

func (m *routerMachine) refresh(t *rapid.T) {
	zone := rapid.SampledFrom(m.zones).Draw(t, "zone")
	m.router.RefreshView(m.oracle.now, zone)
	for _, g := range m.oracle.groups {
		if g.row.Zone == zone && !g.confirmedByView.IsZero() {
			g.confirmedByView = m.oracle.now
		}
	}
}

func (m *routerMachine) confirm(t *rapid.T) {
	id := m.id(t)
	token := garnetworks.FencingToken(rapid.IntRange(1, 3).Draw(t, "token"))
	m.router.ConfirmGroup(m.oracle.now, id, token)
	if g := m.oracle.groups[id]; g != nil && g.row.Token == token {
		g.confirmedByProbe, g.deniedUntil = m.oracle.now, time.Time{}
	}
}

func (m *routerMachine) deny(id garnetworks.GroupID) {
	if g := m.oracle.groups[id]; g != nil {
		g.deniedUntil = m.oracle.now.Add(DenialTime)
	}
}

func (m *routerMachine) denyGroup(t *rapid.T) {
	id := m.id(t)
	m.router.DenyGroup(m.oracle.now, id)
	m.deny(id)
}

func (m *routerMachine) advance(t *rapid.T) {
	m.oracle.now = m.oracle.now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond)
}

func (m *routerMachine) choose(t *rapid.T) {
	call := testCall(rapid.SampledFrom([]string{"alpha", "beta", "gamma"}).Draw(t, "text"), rapid.IntRange(0, 8).Draw(t, "blocks"))
	call.Model = rapid.SampledFrom([]garnetworks.ModelName{"m", "m", "m", "n", "gone"}).Draw(t, "call model")
	call.Adapter = rapid.SampledFrom([]garnetworks.AdapterName{"", "a"}).Draw(t, "call adapter")
	var tried []garnetworks.GroupID
	for range rapid.IntRange(0, 2).Draw(t, "tries") {
		tried = append(tried, m.id(t))
	}
	got, err := m.router.Choose(m.oracle.now, call, tried)
	if err != nil {
		if !garnetworks.IsKind(err, garnetworks.KindNoGroup) {
			t.Fatalf("got %v, want no serving group", err)
		}
		for id := range m.oracle.groups {
			if m.oracle.eligible(id, call.Model, call.Adapter) && !slices.Contains(tried, id) {
				t.Fatalf("refused although %s is eligible", id)
			}
		}
		return
	}
	if !m.oracle.eligible(got.ID, call.Model, call.Adapter) {
		t.Fatalf("chose %s, which is not eligible: %+v", got.ID, m.oracle.groups[got.ID])
	}
	if slices.Contains(tried, got.ID) {
		t.Fatalf("chose %s again", got.ID)
	}
	if got.Token != m.oracle.groups[got.ID].row.Token {
		t.Fatalf("chose %s with token %v, want the newest %v", got.ID, got.Token, m.oracle.groups[got.ID].row.Token)
	}
	m.router.AttemptStarted(m.oracle.now, call, got.ID)
	m.inFlight[got.ID]++
}

func (m *routerMachine) finish(t *rapid.T) {
	id := m.id(t)
	if m.inFlight[id] == 0 {
		return
	}
	m.inFlight[id]--
	result := garnetworks.AttemptResult{
		Phase:      rapid.SampledFrom([]garnetworks.CallPhase{garnetworks.PhaseDone, garnetworks.PhaseConnect, garnetworks.PhaseBody}).Draw(t, "phase"),
		StaleToken: rapid.IntRange(0, 9).Draw(t, "stale") == 0,
		FirstToken: 50 * time.Millisecond,
		Elapsed:    time.Duration(rapid.IntRange(100, 5000).Draw(t, "elapsed")) * time.Millisecond,
		Tokens:     20,
	}
	m.router.AttemptFinished(m.oracle.now, testCall("alpha", 1), id, result)
	if result.StaleToken {
		m.deny(id)
	}
}

func (m *routerMachine) events(t *rapid.T) {
	call := testCall(rapid.SampledFrom([]string{"alpha", "beta", "gamma"}).Draw(t, "text"), 8)
	number := uint64(rapid.IntRange(1, 50).Draw(t, "number"))
	var events []garnetworks.CacheEvent
	for i, block := range garnetworks.PrefixBlocks("m", "", call.Prompt, 4) {
		events = append(events, garnetworks.CacheEvent{Number: number + uint64(i), Block: block, Added: rapid.IntRange(0, 4).Draw(t, "added") > 0})
	}
	m.router.CacheEvents(m.id(t), events)
}

// check compares the router's in-flight counts with the test's.
func (m *routerMachine) check(t *rapid.T) {
	for id, g := range m.router.table.groups {
		if g.load.own != m.inFlight[id] {
			t.Fatalf("%s has %d calls in flight, want %d", id, g.load.own, m.inFlight[id])
		}
	}
}

func TestRouterAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &routerMachine{
			oracle:   &oracle{now: testStart, groups: map[garnetworks.GroupID]*oracleGroup{}},
			zones:    []garnetworks.ZoneID{"z1", "z2", "z3"},
			inFlight: map[garnetworks.GroupID]int{},
		}
		m.router = New(Options{Node: "n1", Zone: "z1", Zones: []garnetworks.ZoneSpec{
			{Name: "z1", Region: "r1"}, {Name: "z2", Region: "r1"}, {Name: "z3", Region: "r2"},
		}})
		t.Repeat(map[string]func(*rapid.T){
			"view": m.setView, "refresh": m.refresh, "confirm": m.confirm, "deny": m.denyGroup,
			"advance": m.advance, "choose": m.choose, "choose-again": m.choose, "finish": m.finish,
			"events": m.events, "": m.check,
		})
	})
}

func TestGroupLossMovesOnlyItsCalls(t *testing.T) {
	// Guards against the loss of one group moving the calls of other groups, which would empty
	// the caches of the whole site.
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 40).Draw(t, "groups")
		lost := rapid.IntRange(0, n-1).Draw(t, "lost")
		call := testCall(rapid.StringN(5, 40, -1).Draw(t, "text"), rapid.IntRange(1, 20).Draw(t, "blocks"))
		view := testView("z1", n)
		a := New(Options{Node: "a", Zone: "z1"})
		b := New(Options{Node: "b", Zone: "z1"})
		a.SetView(testStart, view)
		b.SetView(testStart, view)
		first, _ := a.Choose(testStart, call, nil)
		second, _ := b.Choose(testStart, call, nil)
		if first.ID == "" || first.ID != second.ID {
			t.Fatalf("nodes chose %s and %s", first.ID, second.ID)
		}
		id := view.Groups[lost].ID
		view.Groups = slices.Delete(slices.Clone(view.Groups), lost, lost+1)
		a.SetView(testStart, view)
		after, _ := a.Choose(testStart, call, nil)
		if first.ID != id && after.ID != first.ID {
			t.Fatalf("%s was lost, but the call moved from %s to %s", id, first.ID, after.ID)
		}
	})
}
