package controller

import (
	"slices"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/grouper"
	"github.com/garnetworks/garnetworks/placer"
)

// minRateDivisor sets the minimum load rate, as a fraction of the zone's store rate; orders
// to form a group are delayed while a member's rate is lower.
const minRateDivisor = 100

// models returns the manifest's models with the zone's share of groups.
func (s *ZoneState) models() []garnetworks.ModelSpec {
	return placer.ZoneModels(&s.Manifest.Manifest, s.Zone)
}

// planGroups computes a new plan if one is due and applies its decisions to the domains.
func (p *activeStep) planGroups() {
	if !p.planDue() {
		return
	}
	manifest := &p.Manifest.Manifest
	p.Plan = placer.Plan(placer.Input{
		Now:       p.o.Now,
		Domains:   p.currentDomains(),
		Models:    p.models(),
		Classes:   manifest.Site.Classes,
		Costs:     manifest.Site.CostWeights,
		Grace:     manifest.Site.Grace,
		Limit:     max(p.Limit-p.servicesDraw(), 0),
		StoreRate: p.storeShare(),
		Instances: p.instanceObservations(),
		Groups:    p.groupObservations(),
		NoOutage:  noOutageModels(manifest, p.Zone, p.o.Others),
		State:     p.Plan.State,
	})
	p.plannedAt = p.o.Now
	p.changed = false
	p.loads.MinRate = p.storeShare() / minRateDivisor
	for _, decision := range p.Plan.Decisions {
		p.apply(decision)
	}
}

func (p *activeStep) planDue() bool {
	replanDue := !p.Plan.ReplanAt.IsZero() && !p.o.Now.Before(p.Plan.ReplanAt)
	return p.changed || replanDue || p.o.Now.Sub(p.plannedAt) >= p.Times.PlanEvery || p.domainsChanged()
}

// domainsChanged reports whether this step has already changed a domain.
func (p *activeStep) domainsChanged() bool {
	return slices.ContainsFunc(p.open, func(d *openDomain) bool { return d.Aggregate.Urgency() != grouper.Unchanged })
}

func (p *activeStep) currentDomains() []garnetworks.FabricDomain {
	domains := make([]garnetworks.FabricDomain, 0, len(p.open))
	for _, d := range p.open {
		domains = append(domains, *d.Domain())
	}
	return domains
}

// storeShare returns the zone's share of the weight store's rate.
func (p *activeStep) storeShare() int64 {
	return p.StoreRate / max(int64(len(p.Manifest.Manifest.Site.Zones)), 1)
}

func (p *activeStep) instanceObservations() map[garnetworks.InstanceID]placer.InstanceObservation {
	observations := map[garnetworks.InstanceID]placer.InstanceObservation{}
	for id, s := range p.fresh {
		o := placer.InstanceObservation{Slowdown: p.o.Slowdowns[id]}
		if s.Phase == garnetworks.EngineLoading {
			o.Loading = garnetworks.WeightID{Model: s.Model, Version: s.Version}
			if s.Group == "" {
				o.Loading = p.loads.Preloads[id]
			}
		}
		if o != (placer.InstanceObservation{}) {
			observations[id] = o
		}
	}
	return observations
}

func (p *activeStep) groupObservations() map[garnetworks.GroupID]placer.GroupObservation {
	observations := map[garnetworks.GroupID]placer.GroupObservation{}
	for _, d := range p.open {
		for n := range d.Domain().Groups {
			g := &d.Domain().Groups[n]
			if g.State == garnetworks.GroupDraining {
				observations[g.ID] = placer.GroupObservation{Idle: p.idle(g)}
			}
		}
	}
	return observations
}

// idle reports whether every member has reported no calls since the last router
// must have learned of the drain (rule G9).
func (p *activeStep) idle(g *garnetworks.Group) bool {
	for _, m := range g.Members {
		s, ok := p.fresh[m]
		if !ok || s.Load.Running > 0 || s.Load.Waiting > 0 {
			return false
		}
		if p.lastStatus[m].Sub(g.Since) < garnetworks.LeavingBound {
			return false
		}
	}
	return true
}

// apply carries out one decision. A decision that violates the domain's rules is skipped:
// the next plan is made from the current state.
func (p *activeStep) apply(decision placer.Decision) {
	switch d := decision.(type) {
	case placer.FormGroup:
		p.form(d)
	case placer.DrainGroup:
		if a := p.domain(d.Domain); a != nil {
			a.Drain(d.Group, p.o.Now, d.Grace, string(d.Reason))
		}
	case placer.DissolveGroup:
		if a := p.domain(d.Domain); a != nil {
			a.Dissolve(d.Group, string(d.Reason))
		}
	case placer.PowerOn:
		p.powerOn(d)
	case placer.PowerOff:
		if a := p.domain(d.Domain); a != nil && p.granted && !p.failing(a.DomainState) {
			_ = a.PowerOff(d.Instance, string(d.Reason))
		}
	case placer.Preload:
		p.loads.Preloads[d.Instance] = d.Weights
		p.loads.Rates[d.Instance] = d.LoadRate
	case placer.SetLoadRate:
		p.loads.Rates[d.Instance] = d.LoadRate
	}
}

func (p *activeStep) form(d placer.FormGroup) {
	a := p.domain(d.Domain)
	if a == nil || (p.failing(a.DomainState) && !allCheckFencing(a.Domain(), d.Members)) {
		return
	}
	_, err := a.Form(garnetworks.Group{
		Model:    d.Model,
		Version:  d.Version,
		Adapters: d.Adapters,
		Members:  d.Members,
		Replaces: d.Replaces,
	}, p.o.Now)
	if err != nil {
		return
	}
	for _, m := range d.Members {
		delete(p.loads.Preloads, m)
		p.loads.Rates[m] = d.LoadRate
	}
}

// powerOn enforces rules C5 and C9 whatever the plan says.
func (p *activeStep) powerOn(d placer.PowerOn) {
	a := p.domain(d.Domain)
	if a == nil || !p.granted || p.failing(a.DomainState) {
		return
	}
	i := a.Instance(d.Instance)
	if i == nil || p.drawn()+i.Watts > p.Limit {
		return
	}
	_ = a.PowerOn(d.Instance, string(d.Reason))
}

// drawn returns the zone's draw, including this step's decisions.
func (p *activeStep) drawn() garnetworks.Watts {
	sum := p.servicesDraw()
	for _, d := range p.open {
		sum += grouper.Drawn(d.Domain())
	}
	return sum
}

// allCheckFencing reports whether all members check fencing tokens.
func allCheckFencing(d *garnetworks.FabricDomain, members []garnetworks.InstanceID) bool {
	for _, m := range members {
		if i := grouper.FindInstance(d, m); i == nil || !i.ChecksFencing {
			return false
		}
	}
	return true
}
