package controller

import (
	"reflect"
	"time"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/grouper"
)

// slowThreshold is the slowdown from which a group is marked slow for routers.
const slowThreshold = 1.5

// zoneView returns the view of the zone that all nodes receive.
func (p *activeStep) zoneView() garnetworks.ZoneView {
	view := garnetworks.ZoneView{Zone: p.Zone, Metrics: p.Metrics}
	for _, d := range p.open {
		for n := range d.Decided.Groups {
			if g := &d.Decided.Groups[n]; g.State != garnetworks.GroupBroken {
				view.Groups = append(view.Groups, p.groupView(&d.Decided, g))
			}
		}
	}
	for _, l := range p.Listed {
		if l.Service == "" {
			continue
		}
		view.Servers = append(view.Servers, garnetworks.ServerView{
			Instance: l.ID,
			Service:  l.Service,
			Zone:     p.Zone,
			Address:  l.Address,
			Leaving:  l.State == garnetworks.ListedLeaving,
		})
	}
	return view
}

func (p *activeStep) groupView(d *garnetworks.FabricDomain, g *garnetworks.Group) garnetworks.GroupView {
	view := garnetworks.GroupView{
		ID:        g.ID,
		Zone:      p.Zone,
		Domain:    d.ID,
		Model:     g.Model,
		Version:   g.Version,
		Adapters:  g.Adapters,
		Token:     g.Token,
		State:     g.State,
		Members:   g.Members,
		Confirmed: serves(d, g, p.fresh),
	}
	if first := grouper.FindInstance(d, g.Members[0]); first != nil {
		view.Address = first.Address
		view.Load = p.fresh[first.ID].Load
	}
	for _, m := range g.Members {
		view.Slow = view.Slow || p.o.Slowdowns[m] >= slowThreshold
	}
	return view
}

// serves reports whether the group counts as serving now (rule G1).
func serves(d *garnetworks.FabricDomain, g *garnetworks.Group, fresh grouper.Statuses) bool {
	return g.State == garnetworks.GroupServing && grouper.Confirmed(d, g, fresh)
}

// publish requests a new view when its routing data has changed, and every PublishEvery
// to refresh the loads and metrics.
func (p *activeStep) publish() {
	view := p.zoneView()
	if p.viewAt.IsZero() && p.warmingUp(view) {
		return
	}
	due := p.viewAt.IsZero() || p.o.Now.Sub(p.viewAt) >= p.Times.PublishEvery
	if !due && reflect.DeepEqual(stableFields(view), stableFields(p.view)) {
		return
	}
	p.view = view
	p.viewAt = p.o.Now
	p.e.View = garnetworks.Some(view)
}

// warmingUp reports whether a new holder may not have a status of every member yet. Its
// first view would mark serving groups as unconfirmed, and nodes that know them only by
// views would refuse calls. A group with a member that is really lost is reported at most
// Times.Loss later.
func (p *activeStep) warmingUp(view garnetworks.ZoneView) bool {
	if p.o.Now.Sub(p.ListeningSince) >= p.Times.Loss {
		return false
	}
	for n := range view.Groups {
		// A group may serve although that has not been written yet (C10).
		if g := &view.Groups[n]; g.State != garnetworks.GroupDraining && !g.Confirmed {
			return true
		}
	}
	return false
}

// stableFields returns the view without metrics and loads, which change all the time.
func stableFields(view garnetworks.ZoneView) garnetworks.ZoneView {
	view.Metrics = garnetworks.ZoneMetrics{}
	groups := make([]garnetworks.GroupView, len(view.Groups))
	copy(groups, view.Groups)
	for n := range groups {
		groups[n].Load = garnetworks.EngineLoad{}
	}
	view.Groups = groups
	return view
}

// updateMetrics adds the time since the last step to the downtime metrics.
func (p *activeStep) updateMetrics() {
	elapsed := p.o.Now.Sub(p.metricsAt)
	p.metricsAt = p.o.Now
	down, stranded := p.countGroupsDown(), p.countStranded()
	p.Metrics.GroupDowntime += elapsed * time.Duration(p.Metrics.GroupsDown)
	p.Metrics.Stranded += elapsed * time.Duration(p.Metrics.InstancesStranded)
	p.Metrics.GroupsDown = down
	p.Metrics.InstancesStranded = stranded
	p.Metrics.Drawn = p.drawn()
	p.Metrics.Limit = p.Limit
}

// countGroupsDown returns how many wanted groups don't serve.
func (p *activeStep) countGroupsDown() int {
	serving := map[garnetworks.ModelName]int{}
	for _, d := range p.open {
		for n := range d.Decided.Groups {
			if g := &d.Decided.Groups[n]; serves(&d.Decided, g, p.fresh) {
				serving[g.Model]++
			}
		}
	}
	down := 0
	for _, w := range p.Plan.Wanted {
		down += max(w.Groups-serving[w.Model], 0)
	}
	return down
}

// countStranded returns how many powered instances neither serve nor belong to a draining
// group, which still finishes calls.
func (p *activeStep) countStranded() int {
	stranded := 0
	for _, d := range p.open {
		for n := range d.Decided.Instances {
			i := &d.Decided.Instances[n]
			g := grouper.FindGroup(&d.Decided, i.Group)
			useful := g != nil && (serves(&d.Decided, g, p.fresh) || g.State == garnetworks.GroupDraining)
			if i.Power.Draws() && !useful {
				stranded++
			}
		}
	}
	return stranded
}
