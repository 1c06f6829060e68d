package controller

import (
	"slices"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/grouper"
	"github.com/garnetworks/garnetworks/placer"
)

// leastShare is the part of the zone's store rate below which a group that has
// yet to load waits for its turn.
const minRateDivisor = 100

// models returns the zone's share of the manifest's models.
func (s *ZoneState) models() []garnetworks.ModelSpec {
	return placer.ZoneModels(&s.Manifest.Manifest, s.Zone)
}

// planGroups asks the placer and carries its decisions out on the aggregates.
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

// opened reports whether this step has changed a domain already.
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

// storeShare is the zone's part of the weight store's rate.
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

// idle reports whether the group's engines said that they have no call, after
// the last router can have heard of the drain (rule G9).
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

// apply carries out one decision. One that the domain's rules refuse is left
// out: the next plan is made from what holds then.
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

// powerOn keeps rule C9 whatever the plan says, and C5.
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

// drawn is the zone's draw by the decisions of this step.
func (p *activeStep) drawn() garnetworks.Watts {
	sum := p.servicesDraw()
	for _, d := range p.open {
		sum += grouper.Drawn(d.Domain())
	}
	return sum
}

// allCheck reports whether all the instances check fencing tokens.
func allCheckFencing(d *garnetworks.FabricDomain, members []garnetworks.InstanceID) bool {
	for _, m := range members {
		if i := grouper.FindInstance(d, m); i == nil || !i.ChecksFencing {
			return false
		}
	}
	return true
}
