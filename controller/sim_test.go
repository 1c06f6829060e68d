package controller

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/granter"
	"github.com/garnetworks/garnetworks/grouper"
	"github.com/garnetworks/garnetworks/leaser"
)

// sim runs the pure parts of several nodes over small fakes on a simulated clock, one tick
// at a time, so that any order of events can be produced.
type sim struct {
	now time.Time
	// cap is the highest allowed cap of the ledger; ledgerComplete says that the ledger
	// has a row for each zone.
	cap            garnetworks.Watts
	ledgerComplete bool
	manifest       *garnetworks.AcceptedManifest
	objects        map[string]simObject
	revision       garnetworks.Revision
	puts           int
	gets           int
	engines        map[garnetworks.InstanceID]*simEngine
	ids            []garnetworks.InstanceID
	nodes          []*simNode
	sites          []*simSite
	scheduled      []simEvent
	apiDown        bool
	listDown       bool
	views          map[garnetworks.ZoneID]simView
	random         *rand.Rand
	broken         string
	ticks          int
	// domainsSeen holds the last stored domains, to check that tokens never go back.
	domainsSeen map[string]garnetworks.FabricDomain
	events      map[garnetworks.EventKind]int
	// formed holds the group that each domain's token was issued for.
	formed map[string]string
	log    []string
}

type simObject struct {
	value    []byte
	revision garnetworks.Revision
}

type simEvent struct {
	at time.Time
	do func()
}

type simView struct {
	version garnetworks.UpdateVersion
	view    garnetworks.ZoneView
}

type simNode struct {
	s                *sim
	id               garnetworks.NodeID
	zone             garnetworks.ZoneID
	lease            *leaser.State
	leaseBusy        bool
	state            *ZoneState
	pausedUntil      time.Time
	apiCut           bool
	enginesCut       bool
	loseWriteAnswers int
	delayWrites      int
	loseOrderAnswers int
	table            map[garnetworks.InstanceID]TimedStatus
	probed           time.Time
	// slowProbesUntil is until when each instance is probed only every three seconds.
	slowProbesUntil time.Time
	writeID         int
	sequence        uint64
	inbox           []func()
	// outbox holds orders that are decided but not sent, since a pause may come between.
	outbox []func()
	// process counts restarts: answers to an earlier process are dropped.
	process int
}

const (
	simTick  = 200 * time.Millisecond
	simWatts = 10_000
)

func newSim(seed uint64, zones, nodes, domains, size int, checks bool, manifest garnetworks.Manifest) *sim {
	s := &sim{
		now:         time.Unix(1_000_000, 0),
		cap:         manifest.Site.PowerCap,
		manifest:    &garnetworks.AcceptedManifest{Generation: 1, Manifest: manifest},
		objects:     map[string]simObject{},
		engines:     map[garnetworks.InstanceID]*simEngine{},
		views:       map[garnetworks.ZoneID]simView{},
		random:      rand.New(rand.NewPCG(seed, 1)),
		domainsSeen: map[string]garnetworks.FabricDomain{},
		events:      map[garnetworks.EventKind]int{},
		formed:      map[string]string{},
	}
	for z := range zones {
		zone := garnetworks.ZoneID(fmt.Sprintf("z%d", z))
		s.addEngines(zone, domains, size, checks, manifest.Site.Classes[0].BootTime)
		for n := range nodes {
			s.addNode(garnetworks.NodeID(fmt.Sprintf("n%d-%d", z, n)), zone, n)
		}
	}
	// A site that starts with more instances on than its cap allows can only shed.
	s.cap = max(s.cap, s.draw())
	for n := range 2 {
		s.sites = append(s.sites, &simSite{s: s, id: n})
	}
	return s
}

func (s *sim) addEngines(zone garnetworks.ZoneID, domains, size int, checks bool, boot time.Duration) {
	for d := range domains {
		for i := range size {
			id := garnetworks.InstanceID(fmt.Sprintf("%s-d%d-i%02d", zone, d, i))
			s.ids = append(s.ids, id)
			s.engines[id] = &simEngine{
				row: garnetworks.ListedInstance{
					ID: id, Address: string(id), Zone: zone, Class: "gpu", State: garnetworks.ListedLive,
					Domain: garnetworks.DomainID(fmt.Sprintf("%s-d%d", zone, d)),
				},
				checks: checks, power: garnetworks.PowerOn, incarnation: 1, bootTime: boot,
				phase: garnetworks.EngineIdle, readyAt: map[garnetworks.GroupID]time.Time{},
			}
		}
	}
}

func (s *sim) addNode(id garnetworks.NodeID, zone garnetworks.ZoneID, rank int) {
	lease := leaser.NewState(id, leaser.Defaults())
	lease.Rank, lease.Candidates = rank, 3
	times := DefaultTimes()
	s.nodes = append(s.nodes, &simNode{s: s, id: id, zone: zone, lease: lease, state: NewZoneState(zone, times), table: map[garnetworks.InstanceID]TimedStatus{}})
}

func (s *sim) fail(format string, args ...any) {
	if s.broken == "" {
		s.broken = fmt.Sprintf("at %s: ", s.now.Format("04:05.0")) + fmt.Sprintf(format, args...)
	}
}

func (s *sim) after(d time.Duration, do func()) {
	s.scheduled = append(s.scheduled, simEvent{s.now.Add(d), do})
}

// run advances the clock.
func (s *sim) run(d time.Duration) {
	for until := s.now.Add(d); s.now.Before(until) && s.broken == ""; {
		s.now = s.now.Add(simTick)
		s.ticks++
		s.deliver()
		for _, id := range s.ids {
			s.engines[id].tick(s.now)
		}
		for _, n := range s.nodes {
			n.tick()
		}
		for _, site := range s.sites {
			site.tick()
		}
		s.check()
	}
}

func (s *sim) deliver() {
	due := s.scheduled
	s.scheduled = nil
	sort.SliceStable(due, func(i, j int) bool { return due[i].at.Before(due[j].at) })
	for _, e := range due {
		if e.at.After(s.now) {
			s.scheduled = append(s.scheduled, e)
			continue
		}
		e.do()
	}
}

// Object API.

func (s *sim) get(key string) (garnetworks.Object, error) {
	s.gets++
	o, ok := s.objects[key]
	if !ok {
		return garnetworks.Object{}, garnetworks.Errorf(garnetworks.KindNotFound, "%s", key)
	}
	return garnetworks.Object{Key: key, Value: o.value, Revision: o.revision}, nil
}

func (s *sim) put(key string, value []byte, after garnetworks.Revision) (garnetworks.Revision, error) {
	s.puts++
	if s.objects[key].revision != after {
		return 0, garnetworks.Errorf(garnetworks.KindConflict, "%s", key)
	}
	s.revision++
	s.objects[key] = simObject{value, s.revision}
	s.checkStored(key, value)
	s.checkLedger(key, value)
	return s.revision, nil
}

// checkLedger allows a ledger cap above the manifest's only for what was drawn or granted
// under an earlier cap.
func (s *sim) checkLedger(key string, value []byte) {
	if key != LedgerKey {
		return
	}
	var ledger garnetworks.PowerLedger
	_ = json.Unmarshal(value, &ledger)
	ledgerComplete := len(ledger.Grants) == len(s.manifest.Manifest.Site.Zones)
	if ledgerComplete && s.ledgerComplete && ledger.Cap > s.cap {
		s.fail("the ledger's cap rises from %d W to %d W", s.cap, ledger.Cap)
	}
	s.ledgerComplete = ledgerComplete
	s.cap = max(ledger.Cap, s.manifest.Manifest.Site.PowerCap)
}

var errDown = garnetworks.Errorf(garnetworks.KindObjectAPIDown, "down")

// call makes a call from a node to the object API, which takes 0.2 s and is subject to
// the node's faults.
func (n *simNode) call(write bool, do func() error, answer func(error)) {
	s := n.s
	if s.apiDown || n.apiCut {
		n.answer(simTick, func() { answer(errDown) })
		return
	}
	if write && n.delayWrites > 0 {
		n.delayWrites--
		s.after(time.Duration(1+s.random.IntN(20))*time.Second, func() { _ = do() })
		n.answer(simTick, func() { answer(garnetworks.Errorf(garnetworks.KindResponseLost, "late")) })
		return
	}
	err := do()
	if write && n.loseWriteAnswers > 0 {
		n.loseWriteAnswers--
		err = garnetworks.Errorf(garnetworks.KindResponseLost, "lost")
	}
	n.answer(simTick, func() { answer(err) })
}

// answer passes a result to the node's process, which handles it when it runs.
func (n *simNode) answer(d time.Duration, do func()) {
	process := n.process
	n.s.after(d, func() {
		if n.process == process {
			n.inbox = append(n.inbox, do)
		}
	})
}

// Nodes.

func (n *simNode) tick() {
	s := n.s
	if s.now.Before(n.pausedUntil) {
		return
	}
	inbox := append(n.outbox, n.inbox...)
	n.inbox, n.outbox = nil, nil
	for _, do := range inbox {
		do()
	}
	n.tickLease()
	n.probe()
	term := n.lease.Term(s.now)
	if term == 0 && n.state.Phase == PhaseStandby {
		return
	}
	o := Observation{Now: s.now, Term: term, Contested: !n.lease.Holding, Manifest: s.manifest, Statuses: n.table}
	n.carryOut(n.state.Step(o), term)
}

func (n *simNode) tickLease() {
	if n.leaseBusy {
		return
	}
	s := n.s
	n.writeID++
	a := n.lease.Next(s.now, fmt.Sprintf("%s/%d", n.id, n.writeID))
	key := ZoneLeaseKey(n.zone)
	switch a.Kind {
	case leaser.ActionRead:
		n.leaseBusy = true
		var o garnetworks.Object
		n.call(false, func() (err error) { o, err = s.get(key); return err }, func(err error) {
			n.leaseBusy = false
			var record garnetworks.LeaseRecord
			if err == nil {
				err = json.Unmarshal(o.Value, &record)
			}
			n.lease.OnRead(s.now, record, o.Revision, err, s.random.Float64())
		})
	case leaser.ActionWrite:
		n.leaseBusy = true
		value, _ := json.Marshal(a.Record)
		var revision garnetworks.Revision
		n.call(true, func() (err error) { revision, err = s.put(key, value, a.After); return err }, func(err error) {
			n.leaseBusy = false
			n.lease.OnWrite(s.now, revision, err)
		})
	}
}

func (n *simNode) probe() {
	s := n.s
	if s.now.Sub(n.probed) < time.Second {
		return
	}
	n.probed = s.now
	for k, id := range s.ids {
		e := s.engines[id]
		// A node that has just started spreads its first probes over three seconds.
		if s.now.Before(n.slowProbesUntil) && k%3 != int(s.now.Unix()%3) {
			continue
		}
		if !n.enginesCut && e.answers() && e.row.Zone == n.zone {
			n.table[id] = TimedStatus{e.status(), s.now}
		}
	}
}

func (n *simNode) carryOut(e Effects, term uint32) {
	s := n.s
	for _, event := range e.Events {
		s.events[event.Kind]++
		s.log = append(s.log, fmt.Sprintf("%s %s %s %s %s %s", s.now.Format("04:05.0"), n.id, event.Kind, event.Group, event.Instance, event.Detail))
	}
	if view, ok := e.View.Get(); ok {
		n.sequence++
		n.publish(garnetworks.UpdateVersion{Term: n.state.Term, Sequence: n.sequence}, view)
	}
	n.callObjects(e)
	if e.ReadList {
		rows, err := s.rows(n.zone), error(nil)
		if s.listDown {
			rows, err = nil, garnetworks.Errorf(garnetworks.KindUnreachable, "")
		}
		n.answer(simTick, func() { n.state.OnList(s.now, rows, err) })
	}
	if e.ReadRate {
		n.state.OnRate(s.now, 0, nil)
	}
	for _, p := range e.Power {
		n.outbox = append(n.outbox, func() { n.powerOrder(p) })
	}
	for _, o := range e.Orders {
		n.outbox = append(n.outbox, func() { n.engineOrder(o) })
	}
	for _, r := range e.ReadBacks {
		n.readBack(r)
	}
	if e.RaiseFloor > 0 {
		n.lease.RaiseFloor(s.now, e.RaiseFloor)
	}
	if e.YieldLease {
		n.lease.Yield(s.now, yieldPeriod)
	}
}

func (n *simNode) callObjects(e Effects) {
	s, term := n.s, n.state.Term
	if e.ListDomains {
		var objects []garnetworks.Object
		n.call(false, func() error { objects = s.list(DomainsPrefix(n.zone)); return nil }, func(err error) {
			if err := n.state.OnDomains(s.now, objects, err); err != nil && !garnetworks.IsKind(err, garnetworks.KindObjectAPIDown) {
				s.fail("%v", err)
			}
		})
	}
	for _, r := range e.Reads {
		var o garnetworks.Object
		n.call(false, func() (err error) { o, err = s.get(r.Key); return err }, func(err error) { _ = n.state.OnRead(s.now, term, r.Key, o, err) })
	}
	for _, w := range e.Writes {
		var revision garnetworks.Revision
		n.call(true, func() (err error) { revision, err = s.put(w.Key, w.Value, w.After); return err }, func(err error) { n.state.OnWrite(s.now, term, w.Key, revision, err) })
	}
	if e.ReadLedger {
		var o garnetworks.Object
		n.call(false, func() (err error) { o, err = s.get(LedgerKey); return err }, func(err error) {
			var ledger garnetworks.PowerLedger
			if err == nil {
				err = json.Unmarshal(o.Value, &ledger)
			}
			n.state.OnLedger(s.now, ledger, err)
		})
	}
}

func (s *sim) list(prefix string) []garnetworks.Object {
	s.gets++
	var objects []garnetworks.Object
	for key, o := range s.objects {
		if len(key) > len(prefix) && key[:len(prefix)] == prefix {
			objects = append(objects, garnetworks.Object{Key: key, Value: o.value, Revision: o.revision})
		}
	}
	sort.Slice(objects, func(i, j int) bool { return objects[i].Key < objects[j].Key })
	return objects
}

func (s *sim) rows(zone garnetworks.ZoneID) []garnetworks.ListedInstance {
	var rows []garnetworks.ListedInstance
	for _, id := range s.ids {
		if e := s.engines[id]; e.row.Zone == zone && e.power == garnetworks.PowerOn {
			rows = append(rows, e.row)
		}
	}
	return rows
}

// engineOrder checks the lease immediately before the order, as the loop does; the order
// takes effect at some time within its bound.
func (n *simNode) engineOrder(o EngineEffect) {
	s := n.s
	sent := s.now
	bound := n.lease.Settings.OrderBound
	ok := o.WithoutLease && n.lease.Holding
	if !o.WithoutLease {
		_, ok = n.lease.MayAct(sent, bound)
	}
	if !ok {
		n.answer(simTick, func() {
			n.state.OnOrder(sent, o, garnetworks.EngineStatus{}, garnetworks.Errorf(garnetworks.KindLeaseLost, ""))
		})
		return
	}
	e := s.engines[o.Instance]
	if n.enginesCut || !e.answers() {
		n.answer(bound, func() {
			n.state.OnOrder(sent, o, garnetworks.EngineStatus{}, garnetworks.Errorf(garnetworks.KindUnreachable, ""))
		})
		return
	}
	delay := time.Duration(s.random.Int64N(int64(bound)))
	lost := n.loseOrderAnswers > 0
	if lost {
		n.loseOrderAnswers--
	}
	s.after(delay, func() {
		status, err := e.order(s, o.EngineOrder)
		if lost {
			status, err = garnetworks.EngineStatus{}, garnetworks.Errorf(garnetworks.KindResponseLost, "")
		}
		n.answer(simTick, func() { n.state.OnOrder(sent, o, status, err) })
	})
}

func (n *simNode) readBack(r ReadBack) {
	sent, e := n.s.now, n.s.engines[r.Instance]
	if n.enginesCut || !e.answers() {
		n.answer(simTick, func() {
			n.state.OnReadBack(sent, r.Instance, garnetworks.EngineStatus{}, garnetworks.Errorf(garnetworks.KindUnreachable, ""))
		})
		return
	}
	status := e.status()
	n.answer(simTick, func() { n.state.OnReadBack(sent, r.Instance, status, nil) })
}

// powerOrder may take effect long after its answer was lost; the switch checks tokens.
func (n *simNode) powerOrder(p PowerEffect) {
	s := n.s
	e := s.engines[p.Instance]
	if _, ok := n.lease.MayAct(s.now, n.lease.Settings.OrderBound); !ok {
		n.answer(simTick, func() {
			n.state.OnPower(s.now, p.PowerOrder, garnetworks.PowerUnknown, garnetworks.Errorf(garnetworks.KindLeaseLost, ""))
		})
		return
	}
	if n.loseOrderAnswers > 0 {
		n.loseOrderAnswers--
		s.after(time.Duration(s.random.IntN(30))*time.Second, func() { _ = e.setPower(s.now, p.PowerOrder) })
		n.answer(simTick, func() {
			n.state.OnPower(s.now, p.PowerOrder, garnetworks.PowerUnknown, garnetworks.Errorf(garnetworks.KindResponseLost, ""))
		})
		return
	}
	err := e.setPower(s.now, p.PowerOrder)
	state := e.power
	n.answer(simTick, func() { n.state.OnPower(s.now, p.PowerOrder, state, err) })
}

// simSite is a site controller whose round spans several ticks. Two of them run, both of
// which take the lease as held: only the conditional write prevents conflicts.
type simSite struct {
	s      *sim
	id     int
	cut    bool
	lose   int
	busy   bool
	memory granter.SiteState
}

func (t *simSite) tick() {
	s := t.s
	if t.busy || t.cut || s.apiDown || s.random.IntN(10) > 0 {
		return
	}
	t.busy = true
	in := granter.SiteInput{Now: s.now, Term: 1, Generation: s.manifest.Generation, Cap: s.manifest.Manifest.Site.PowerCap, State: t.memory, Powers: map[garnetworks.ZoneID]garnetworks.ZonePower{}}
	for _, z := range s.manifest.Manifest.Site.Zones {
		in.Zones = append(in.Zones, z.Name)
	}
	object, err := s.get(LedgerKey)
	if err == nil {
		_ = json.Unmarshal(object.Value, &in.Ledger)
	}
	s.after(t.delay(), func() { t.readPowers(in, object.Revision) })
}

func (t *simSite) delay() time.Duration { return time.Duration(t.s.random.IntN(8)) * simTick }

func (t *simSite) readPowers(in granter.SiteInput, after garnetworks.Revision) {
	s := t.s
	for _, o := range s.list(PowersPrefix) {
		var p garnetworks.ZonePower
		_ = json.Unmarshal(o.Value, &p)
		in.Powers[p.Zone] = p
	}
	out, err := granter.PlanSite(in)
	s.after(t.delay(), func() {
		t.busy = false
		if err != nil || s.apiDown {
			return
		}
		if out.Changed {
			out.Ledger.WriteID = fmt.Sprint(t.id, s.ticks)
			value, _ := json.Marshal(out.Ledger)
			if _, err := s.put(LedgerKey, value, after); err != nil || t.lose > 0 {
				t.lose = max(t.lose-1, 0)
				return
			}
		}
		t.memory = out.State
	})
}

// Invariants.

// publish checks a view: all members of a confirmed group were ready within the bound
// (rule G1), and no two confirmed groups share a member.
func (n *simNode) publish(version garnetworks.UpdateVersion, view garnetworks.ZoneView) {
	s := n.s
	held := map[garnetworks.InstanceID]garnetworks.GroupID{}
	for _, g := range view.Groups {
		if !g.Confirmed {
			continue
		}
		for _, m := range g.Members {
			if other, twice := held[m]; twice {
				s.fail("%s publishes %s as a member of %s and %s", n.id, m, other, g.ID)
			}
			held[m] = g.ID
			if seen, ok := s.engines[m].readyAt[g.ID]; !ok || s.now.Sub(seen) > garnetworks.ConfirmationBound+simTick {
				s.fail("%s publishes %s as confirmed, but member %s was last ready at %v", n.id, g.ID, m, seen)
			}
		}
	}
	if s.views[view.Zone].version.Less(version) {
		s.views[view.Zone] = simView{version, view}
	}
}

// check compares the actual draw with the ledger's cap and checks the domains' invariants.
func (s *sim) check() {
	draw := s.draw()
	ceiling := s.cap
	if o, ok := s.objects[LedgerKey]; ok {
		var ledger garnetworks.PowerLedger
		_ = json.Unmarshal(o.value, &ledger)
		if len(ledger.Grants) < len(s.manifest.Manifest.Site.Zones) {
			return
		}
		ceiling = ledger.Cap
		var granted garnetworks.Watts
		for _, g := range ledger.Grants {
			granted += g.Granted
		}
		if granted > ledger.Cap {
			s.fail("grants of %d W exceed the cap of %d W", granted, ledger.Cap)
		}
	}
	if draw > ceiling {
		s.fail("the site draws %d W, above the cap of %d W", draw, ceiling)
	}
	for _, n := range s.nodes {
		for _, d := range n.state.Domains {
			if err := grouper.Check(&d.Decided); err != nil {
				s.fail("%s decided: %v", n.id, err)
			}
		}
	}
}

func (s *sim) draw() garnetworks.Watts {
	var draw garnetworks.Watts
	for _, e := range s.engines {
		if e.power != garnetworks.PowerOff {
			draw += simWatts
		}
	}
	return draw
}

// checkStored checks a stored domain's invariants, and that no token goes back.
func (s *sim) checkStored(key string, value []byte) {
	var d garnetworks.FabricDomain
	if len(key) < len(domainsPrefix) || key[:len(domainsPrefix)] != domainsPrefix {
		return
	}
	_ = json.Unmarshal(value, &d)
	if err := grouper.Check(&d); err != nil {
		s.fail("stored: %v", err)
	}
	old := s.domainsSeen[key]
	if garnetworks.NewFencingToken(d.Term, d.Sequence) < garnetworks.NewFencingToken(old.Term, old.Sequence) {
		s.fail("%s went back from %d.%d to %d.%d", key, old.Term, old.Sequence, d.Term, d.Sequence)
	}
	for n := range old.Instances {
		i := &old.Instances[n]
		if now := grouper.FindInstance(&d, i.ID); now != nil && now.Token < i.Token {
			s.fail("the token of %s went back from %s to %s", i.ID, i.Token, now.Token)
		}
	}
	s.domainsSeen[key] = d
}

// serving counts the groups that the views call confirmed.
func (s *sim) serving() int {
	n := 0
	for _, v := range s.views {
		for _, g := range v.view.Groups {
			if g.Confirmed {
				n++
			}
		}
	}
	return n
}
