package tracker

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/garnetworks/garnetworks"
)

var start = time.Date(2027, time.March, 1, 8, 0, 0, 0, time.UTC)

// process is one process of a node.
type process struct {
	state  *State
	paused bool
	// superseded is set when its state said so.
	superseded bool
}

// world runs states against each other in virtual time. Calls take no time;
// what fails is decided by the world's faults.
type world struct {
	t   failer
	now time.Time
	// at holds the running process of each address.
	at map[string]*process
	// cut holds the pairs of addresses whose calls fail, by direction.
	cut map[[2]string]bool
	// stored are the roster objects.
	stored map[garnetworks.ZoneID]garnetworks.Roster
	// down refuses all calls to the object API; loseAnswer lets the next write
	// take effect and fail.
	down, loseAnswer bool
	writes, probes   int
	// removed counts how often each node was taken out of its roster.
	removed     map[garnetworks.NodeID]int
	events      []garnetworks.Event
	incarnation uint64
}

// failer is what *testing.T and *rapid.T have in common here.
type failer interface {
	Helper()
	Fatalf(format string, args ...any)
}

func newWorld(t failer) *world {
	return &world{
		t: t, now: start, at: map[string]*process{}, cut: map[[2]string]bool{},
		stored:  map[garnetworks.ZoneID]garnetworks.Roster{},
		removed: map[garnetworks.NodeID]int{},
	}
}

func zoneOf(i, zones int) garnetworks.ZoneID {
	return garnetworks.ZoneID(fmt.Sprintf("zone-%d", i%zones))
}

func address(i int) string { return fmt.Sprintf("10.0.0.%d:7000", i) }

// start runs a new process of node i in one of the zones.
func (w *world) start(i, zones int) *process {
	w.incarnation++
	return w.startAs(garnetworks.NodeInfo{
		ID: garnetworks.NodeID(fmt.Sprintf("entry-%03d", i)), Incarnation: w.incarnation, Address: address(i),
		Zone: zoneOf(i, zones), Region: "region-1", Ready: true,
	})
}

func (w *world) startAs(n garnetworks.NodeInfo) *process {
	p := &process{state: NewState(n, []string{address(0), address(1)}, w.now)}
	w.at[n.Address] = p
	if !w.down {
		for _, z := range slices.Sorted(maps.Keys(w.stored)) {
			p.state.Step(w.now, RosterLearned{Roster: w.stored[z]})
		}
		p.state.Step(w.now, RostersRead{})
	}
	return p
}

// cutBetween cuts or heals calls between two sets of addresses.
func (w *world) cutBetween(from, to []string, cut bool) {
	for _, a := range from {
		for _, b := range to {
			if a != b {
				w.cut[[2]string{a, b}] = cut
			}
		}
	}
}

// run lets virtual time pass.
func (w *world) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(Tick) {
		for _, a := range slices.Sorted(maps.Keys(w.at)) {
			if p := w.at[a]; !p.paused {
				w.carryOut(p, p.state.Step(w.now, Ticked{}))
			}
		}
	}
}

func (w *world) carryOut(p *process, d Decisions) {
	w.events = append(w.events, d.Events...)
	p.superseded = p.superseded || d.Superseded
	for _, probe := range d.Probes {
		w.probe(p, probe)
	}
	if patch, ok := d.Write.Get(); ok {
		w.write(p, patch)
	}
	if d.Reread && !w.down {
		for _, z := range slices.Sorted(maps.Keys(w.stored)) {
			w.carryOut(p, p.state.Step(w.now, RosterLearned{Roster: w.stored[z]}))
		}
	}
}

func (w *world) probe(p *process, probe Probe) {
	w.probes++
	target, ok := w.at[probe.Node.Address]
	if !ok || target.paused || w.cut[[2]string{p.state.self.Address, probe.Node.Address}] {
		w.carryOut(p, p.state.Step(w.now, Unanswered{Node: probe.Node, Kind: garnetworks.KindUnreachable}))
		return
	}
	reply, d := target.state.Receive(w.now, &garnetworks.HeartbeatRequest{From: probe.From, IndirectProbes: probe.Ask, Leaving: probe.Leaving})
	w.carryOut(target, d)
	if reply.Refusal != nil {
		w.carryOut(p, p.state.Step(w.now, Unanswered{Node: probe.Node, Kind: garnetworks.KindOf(reply.Refusal)}))
		return
	}
	w.carryOut(p, p.state.Step(w.now, Answered{Node: probe.Node, From: target.state.Self(), Asked: len(probe.Ask) > 0, Heard: reply.Heard}))
	for _, z := range slices.Sorted(maps.Keys(target.state.rosters)) {
		w.carryOut(p, p.state.Step(w.now, RosterLearned{Roster: target.state.rosters[z]}))
	}
}

func (w *world) write(p *process, patch Patch) {
	if w.down {
		w.carryOut(p, p.state.Step(w.now, Written{Patch: patch, Err: garnetworks.Errorf(garnetworks.KindObjectAPIDown, "outage")}))
		return
	}
	current := w.stored[patch.Zone]
	next, changed := patch.Apply(current)
	if changed {
		w.writes++
		w.checkWrite(current, next)
		w.stored[patch.Zone] = next
	}
	if w.loseAnswer {
		w.loseAnswer = false
		w.carryOut(p, p.state.Step(w.now, Written{Patch: patch, Err: garnetworks.Errorf(garnetworks.KindResponseLost, "lost")}))
		return
	}
	w.carryOut(p, p.state.Step(w.now, Written{Patch: patch, Roster: next}))
	w.spread(p, next)
}

// spread takes the distributor's place.
func (w *world) spread(from *process, r garnetworks.Roster) {
	for _, a := range slices.Sorted(maps.Keys(w.at)) {
		if p := w.at[a]; !p.paused && !w.cut[[2]string{from.state.self.Address, a}] {
			w.carryOut(p, p.state.Step(w.now, RosterLearned{Roster: r}))
		}
	}
}

// checkWrite holds the rules that each roster write keeps.
func (w *world) checkWrite(before, after garnetworks.Roster) {
	if after.Version <= before.Version {
		w.t.Fatalf("roster version went from %d to %d", before.Version, after.Version)
	}
	old := map[garnetworks.NodeID]uint64{}
	for _, n := range before.Nodes {
		old[n.ID] = n.Incarnation
	}
	for _, n := range after.Nodes {
		if n.Incarnation < old[n.ID] {
			w.t.Fatalf("node %s went from incarnation %d back to %d", n.ID, old[n.ID], n.Incarnation)
		}
		delete(old, n.ID)
	}
	for id := range old {
		w.removed[id]++
	}
}

// living are the processes that run and were not superseded.
func (w *world) living(zone garnetworks.ZoneID) []garnetworks.NodeInfo {
	var nodes []garnetworks.NodeInfo
	for _, p := range w.at {
		if n := p.state.Self(); n.Zone == zone && !p.superseded && !p.paused && !p.state.leaving {
			nodes = append(nodes, n)
		}
	}
	slices.SortFunc(nodes, compareNodes)
	return nodes
}

// settled reports whether each zone's roster lists just the living nodes, and
// each of them knows it.
func (w *world) settled(zones int) error {
	for z := range zones {
		zone := zoneOf(z, zones)
		want := w.living(zone)
		if got := w.stored[zone].Nodes; !slices.Equal(got, want) {
			return garnetworks.Errorf(garnetworks.KindInternal, "%s lists %v, want %v", zone, names(got), names(want))
		}
		for _, p := range w.at {
			if p.superseded || p.paused {
				continue
			}
			if got := p.state.rosters[zone]; got.Version != w.stored[zone].Version {
				return garnetworks.Errorf(garnetworks.KindInternal, "%s knows version %d of %s, want %d", p.state.self.ID, got.Version, zone, w.stored[zone].Version)
			}
		}
	}
	return nil
}

func names(nodes []garnetworks.NodeInfo) []string {
	var all []string
	for _, n := range nodes {
		all = append(all, fmt.Sprintf("%s#%d", n.ID, n.Incarnation))
	}
	slices.SortFunc(all, cmp.Compare[string])
	return all
}

func (w *world) count(kind garnetworks.EventKind) int {
	n := 0
	for _, e := range w.events {
		if e.Kind == kind {
			n++
		}
	}
	return n
}
