package controller

import (
	"maps"
	"time"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/granter"
	"github.com/garnetworks/garnetworks/grouper"
)

// activeStep is one step of a lease holder in PhaseActive.
type activeStep struct {
	*ZoneState
	o          Observation
	e          *Effects
	fresh      grouper.Statuses
	lastStatus map[garnetworks.InstanceID]time.Time
	// open are the domains opened for this step's decisions, sorted by key.
	open []*openDomain
}

type openDomain struct {
	*DomainState
	*grouper.Aggregate
}

func (s *ZoneState) act(o Observation, e *Effects) {
	if s.superseded(o, e) {
		return
	}
	p := &activeStep{ZoneState: s, o: o, e: e}
	p.collectStatuses()
	p.pruneInstances()
	if p.isolated() {
		return
	}
	p.addDomains()
	if !p.openDomains() {
		return
	}
	if p.observe() {
		return
	}
	if p.planPower() {
		p.planGroups()
	}
	p.commit()
	p.sendOrders()
	p.sendPower()
	p.updateMetrics()
	p.publish()
}

// superseded reports whether a domain, the zone's power statement, an engine or the power
// switch holds a higher term, and steps down if so. If the lease is still held, its record
// was set back, so a term above the higher one is requested; otherwise another node has
// taken over (C4).
func (s *ZoneState) superseded(o Observation, e *Effects) bool {
	highest := s.Power.Stored.Term
	for _, d := range s.Domains {
		highest = max(highest, d.Stored.Term)
	}
	switch {
	case highest > s.Term:
		s.stepDown(o, e, highest, "the object API holds a higher term")
	case s.refused != "":
		s.stepDown(o, e, s.Term, s.refused)
	default:
		return false
	}
	return true
}

func (s *ZoneState) stepDown(o Observation, e *Effects, floor uint32, reason string) {
	e.Events = append(e.Events, garnetworks.Event{Kind: garnetworks.EventOrderRefused, Zone: s.Zone, Error: garnetworks.KindStaleToken, Detail: reason})
	if o.Term != 0 {
		e.RaiseFloor = max(e.RaiseFloor, floor)
	}
	s.reset()
}

// pruneInstances drops the state kept for instances that no domain contains any more.
func (p *activeStep) pruneInstances() {
	maps.DeleteFunc(p.direct, func(id garnetworks.InstanceID, _ TimedStatus) bool { return !p.hasInstance(id) })
	maps.DeleteFunc(p.orders, func(id garnetworks.InstanceID, _ *sentOrder) bool { return !p.hasInstance(id) })
	maps.DeleteFunc(p.reads, func(id garnetworks.InstanceID, _ *periodicCall) bool { return !p.hasInstance(id) })
	maps.DeleteFunc(p.power, func(id garnetworks.InstanceID, _ *sentPower) bool { return !p.hasInstance(id) })
	maps.DeleteFunc(p.offAt, func(id garnetworks.InstanceID, _ time.Time) bool { return !p.hasInstance(id) })
	maps.DeleteFunc(p.loads.Rates, func(id garnetworks.InstanceID, _ int64) bool { return !p.hasInstance(id) })
	maps.DeleteFunc(p.loads.Preloads, func(id garnetworks.InstanceID, _ garnetworks.WeightID) bool { return !p.hasInstance(id) })
}

func (p *activeStep) hasInstance(id garnetworks.InstanceID) bool {
	_, ok := p.lastStatus[id]
	return ok
}

// collectStatuses selects the statuses recent enough to count (rule G1) and records when
// the last status of each instance was requested, or when the holder began to listen if that is
// later.
func (p *activeStep) collectStatuses() {
	p.fresh = grouper.Statuses{}
	p.lastStatus = map[garnetworks.InstanceID]time.Time{}
	for _, d := range p.sortedDomains() {
		for n := range d.Decided.Instances {
			p.collectStatus(d.Decided.Instances[n].ID)
		}
	}
}

func (p *activeStep) collectStatus(id garnetworks.InstanceID) {
	s, ok := p.o.Statuses[id]
	if own, known := p.direct[id]; known && (!ok || own.At.After(s.At)) {
		s, ok = own, true
	}
	p.lastStatus[id] = p.ListeningSince
	// A status from before the power was confirmed off belongs to an engine that no
	// longer runs.
	if !ok || !s.At.After(p.offAt[id]) {
		return
	}
	if s.At.After(p.ListeningSince) {
		p.lastStatus[id] = s.At
	}
	if p.o.Now.Sub(s.At) <= garnetworks.ConfirmationBound {
		p.fresh[id] = s.EngineStatus
		p.lastContact = p.o.Now
	}
}

// isolated reports whether no instance answers although at least two should run (C8), and
// the step must end. Failure: a holder that is cut off from the engines sees every group
// as broken while other nodes reach them. It first keeps reading statuses without changing
// anything; after Times.Isolation it yields the lease, unless it did so recently.
func (p *activeStep) isolated() bool {
	if len(p.fresh) > 0 || p.countRunning() < 2 {
		return false
	}
	silent := p.o.Now.Sub(p.lastContact)
	yielded := !p.yieldedAt.IsZero() && p.o.Now.Sub(p.yieldedAt) < yieldCooldown
	if silent <= p.Times.Isolation {
		p.readBack()
		return true
	}
	if yielded {
		return false
	}
	p.e.YieldLease = true
	p.e.Events = append(p.e.Events, garnetworks.Event{Kind: garnetworks.EventLeaseLost, Zone: p.Zone, Detail: "no instance answers this node; another node may reach them"})
	p.reset()
	p.yieldedAt = p.o.Now
	return true
}

// yieldCooldown is how long after yielding the lease for isolation a holder does not yield
// it again, but treats unanswered instances as lost.
const yieldCooldown = 10 * time.Minute

func (p *activeStep) countRunning() int {
	n := 0
	for _, d := range p.Domains {
		for k := range d.Decided.Instances {
			if d.Decided.Instances[k].Power == garnetworks.PowerOn && d.Decided.Instances[k].Condition != garnetworks.ConditionLost {
				n++
			}
		}
	}
	return n
}

// addDomains adds an object for each listed domain that has none.
func (p *activeStep) addDomains() {
	for _, l := range p.Listed {
		if l.Service != "" || l.Domain == "" || p.Domains[l.Domain] != nil {
			continue
		}
		d := &DomainState{Record: Record[garnetworks.FabricDomain]{Key: DomainKey(p.Zone, l.Domain)}}
		d.Decided = garnetworks.FabricDomain{ID: l.Domain, Zone: p.Zone}
		p.Domains[l.Domain] = d
	}
}

func (p *activeStep) openDomains() bool {
	for _, d := range p.sortedDomains() {
		a, err := grouper.Open(&d.Decided, p.Term)
		if err != nil {
			return false
		}
		p.open = append(p.open, &openDomain{d, a})
	}
	return true
}

func (p *activeStep) domain(id garnetworks.DomainID) *openDomain {
	for _, d := range p.open {
		if d.Decided.ID == id {
			return d
		}
	}
	return nil
}

// observe applies the statuses and the instance list to the domains. It reports whether
// an engine shows that another holder has taken over.
func (p *activeStep) observe() bool {
	observation := grouper.Observation{
		Now:         p.o.Now,
		Fresh:       p.fresh,
		LastStatus:  p.lastStatus,
		Leaving:     garnetworks.NewSet[garnetworks.InstanceID](),
		PowerOnSent: map[garnetworks.InstanceID]time.Time{},
		FormSent:    map[garnetworks.InstanceID]time.Time{},
		Timeouts:    p.timeouts(),
	}
	for _, d := range p.open {
		for n := range d.Domain().Instances {
			i := &d.Domain().Instances[n]
			if s := p.orders[i.ID]; s != nil && s.kind == garnetworks.OrderForm && s.token == i.Token {
				observation.FormSent[i.ID] = s.firstSent
			}
			// A power order from an earlier decision does not start this decision's boot timeout.
			if s := p.power[i.ID]; s != nil && s.token == i.Token {
				observation.PowerOnSent[i.ID] = s.firstSent
			}
		}
	}
	listed := garnetworks.NewSet[garnetworks.InstanceID]()
	for _, l := range p.Listed {
		listed.Add(l.ID)
		if l.State == garnetworks.ListedLeaving {
			observation.Leaving.Add(l.ID)
		}
		p.register(l)
	}
	for _, d := range p.open {
		if token, over := d.Observe(observation); over {
			p.stepDown(p.o, p.e, token.Term(), "an engine holds the token "+token.String())
			return true
		}
		for id := range p.removed {
			if !listed.Has(id) && p.o.Term != 0 {
				d.RemoveVanished(id, p.o.Now)
			}
		}
		p.applyManifest(d)
	}
	return false
}

// register adds a listed engine to its domain. A row is ignored while another domain still
// contains the instance.
func (p *activeStep) register(l garnetworks.ListedInstance) {
	class, known := p.class(l.Class)
	if l.Service != "" || !known {
		return
	}
	for _, d := range p.open {
		if d.Decided.ID != l.Domain && grouper.FindInstance(&d.Decided, l.ID) != nil {
			return
		}
	}
	if d := p.domain(l.Domain); d != nil {
		d.Register(l, class)
		p.removed.Remove(l.ID)
	}
	if _, known := p.lastStatus[l.ID]; !known {
		p.lastStatus[l.ID] = p.o.Now
	}
}

// applyManifest passes the manifest's generation and adapters on to the groups.
func (p *activeStep) applyManifest(d *openDomain) {
	if p.Manifest == nil {
		return
	}
	d.SetGeneration(p.Manifest.Generation)
	for _, m := range p.Manifest.Manifest.Models {
		for n := range d.Domain().Groups {
			g := &d.Domain().Groups[n]
			if g.Model == m.Name && g.Version == m.Version {
				d.SetAdapters(g.ID, m.Adapters)
			}
		}
	}
}

func (p *activeStep) timeouts() grouper.Timeouts {
	b := grouper.Timeouts{Loss: p.Times.Loss, Form: p.Times.Form, Load: p.Times.Load, Boot: map[string]time.Duration{}}
	if p.Manifest == nil {
		return b
	}
	b.Drain = p.Manifest.Manifest.Site.Grace.Drain
	for _, c := range p.Manifest.Manifest.Site.Classes {
		b.Boot[c.Name] = time.Duration(p.Times.BootFactor)*c.BootTime + p.Times.BootSlack
	}
	return b
}

// planPower computes the zone's limit and its power statement. It reports false while the
// limit is unknown. Failure: a plan made then would use a limit of zero and shed the
// zone's groups.
func (p *activeStep) planPower() bool {
	if p.Manifest == nil {
		return false
	}
	if !p.ListKnown {
		return p.proceedWithoutList()
	}
	drawn := p.drawn()
	needs := granter.Needs(p.models(), p.Manifest.Manifest.Site.Classes)
	out := granter.PlanZone(granter.ZoneInput{
		Zone:   p.Zone,
		Term:   p.Term,
		Stated: p.Power.Stored,
		Ledger: p.Ledger,
		Drawn:  drawn,
		Need:   max(granter.Total(needs), p.Plan.Need) + p.servicesDraw(),
		Needs:  needs,
	})
	p.Limit, p.granted = out.Limit, out.Granted
	switch {
	case p.Power.MustRead:
		p.Power.read(p.o.Now, p.e)
	case out.Changed && p.o.Term != 0:
		out.Statement.WriteID = p.writeID()
		p.Power.write(p.o.Now, out.Statement, p.e)
	}
	return true
}

// listWait is how long a new holder waits for the instance list.
const listWait = 5 * time.Second

// proceedWithoutList reports whether a new holder goes on with the instances that its
// domains contain while the instance list is unavailable. The draw of plain services is
// unknown then, so nothing is powered on or off and no power statement is written.
func (p *activeStep) proceedWithoutList() bool {
	p.Limit, p.granted = p.Power.Stored.Limit, false
	return p.Power.Stored.SeenSequence != 0 && p.o.Now.Sub(p.Since) >= listWait
}

// commit takes over the step's changes to the domains and requests the writes that are due.
func (p *activeStep) commit() {
	for _, d := range p.open {
		p.e.Events = append(p.e.Events, d.Events()...)
		if d.Aggregate.Urgency() != grouper.Unchanged {
			p.changed = true
			d.Decided = *d.Domain()
			d.DomainState.Urgency = max(d.DomainState.Urgency, d.Aggregate.Urgency())
			if d.SoftSince.IsZero() {
				d.SoftSince = p.o.Now
			}
		}
		p.store(d.DomainState)
	}
}

func (p *activeStep) store(d *DomainState) {
	switch {
	case d.MustRead:
		d.read(p.o.Now, p.e)
	case p.o.Term == 0:
		// The lease has expired: a write would be rejected or fail (C3).
	case d.Resend, d.Urgency == grouper.Hard, d.Urgency == grouper.Soft && p.o.Now.Sub(d.SoftSince) >= p.Times.SoftWriteEvery:
		p.writeDomain(p.o.Now, d, p.e)
	}
}

// failing reports whether the lease has expired or calls for the domain's object fail.
func (p *activeStep) failing(d *DomainState) bool { return p.o.Term == 0 || !d.FailingSince.IsZero() }
