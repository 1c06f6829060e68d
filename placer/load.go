package placer

import (
	"cmp"
	"slices"

	"github.com/garnetworks/garnetworks"
)

// loadClass is the order in which loads get the weight store's rate (rule P12).
type loadClass int

const (
	loadMinimum loadClass = iota
	loadExtra
	loadWaiting
	loadReplacement
	loadSpare
)

// loader is a user of the weight store's rate: a group, or one instance that
// preloads.
type loader struct {
	class     loadClass
	priority  int
	weights   Weights
	instances []*instance
	bytes     int64
	group     garnetworks.GroupID
	pending   *pendingGroup
	rate      int64
}

func (l *loader) isPreload() bool { return l.group == "" && l.pending == nil }

// allocateRate sets the rate of each loader and orders the changed ones.
func (p *planner) allocateRate() {
	loaders := p.loaders()
	p.clearFinishedLoads(loaders)
	if p.in.StoreRate <= 0 {
		return
	}
	p.divideRate(loaders)
	for _, l := range loaders {
		switch {
		case l.pending != nil:
			l.pending.rate = l.rate
			p.recordLoad(l)
		case l.isPreload():
			p.orderPreload(l)
		default:
			p.orderRates(l)
		}
	}
}

func (p *planner) loaders() []*loader {
	var all []*loader
	for _, g := range p.groups {
		loading := g.State == garnetworks.GroupForming || g.State == garnetworks.GroupLoading
		if loading && !g.ending {
			all = append(all, p.groupLoader(g))
		}
	}
	for _, f := range p.pendingGroups {
		l := &loader{class: f.class, priority: f.model.Priority, weights: f.model.weights(), pending: f}
		all = append(all, p.addMissing(l, f.placement.members))
	}
	for _, i := range p.instances {
		if i.preload.Bytes > 0 && i.availability == idle {
			l := &loader{class: i.loadClass, priority: p.modelsByName[i.preload.Model].Priority, weights: i.preload}
			all = append(all, p.addMissing(l, []*instance{i}))
		}
	}
	all = slices.DeleteFunc(all, func(l *loader) bool { return len(l.instances) == 0 })
	slices.SortFunc(all, func(a, b *loader) int {
		return cmp.Or(
			cmp.Compare(a.class, b.class),
			cmp.Compare(b.priority, a.priority),
			cmp.Compare(a.bytes, b.bytes),
			cmp.Compare(a.instances[0].ID, b.instances[0].ID),
		)
	})
	return all
}

func (p *planner) groupLoader(g *group) *loader {
	w := Weights{
		WeightID: garnetworks.WeightID{Model: g.Model, Version: g.Version},
		Bytes:    g.model.WeightBytes,
	}
	l := &loader{class: loadExtra, priority: g.model.Priority, weights: w, group: g.ID}
	if g.minimum {
		l.class = loadMinimum
	}
	if g.replaces != nil && g.replaces.replacement == g {
		l.class = loadReplacement
	}
	return p.addMissing(l, g.members)
}

func (p *planner) addMissing(l *loader, members []*instance) *loader {
	for _, i := range members {
		if missing := p.missingBytes(i, l.weights); missing > 0 {
			l.instances = append(l.instances, i)
			l.bytes += missing
		}
	}
	return l
}

// clearFinishedLoads clears the load history of instances that no longer load.
func (p *planner) clearFinishedLoads(loaders []*loader) {
	for _, i := range p.instances {
		i.loading = false
	}
	for _, l := range loaders {
		for _, i := range l.instances {
			i.loading = true
		}
	}
	for _, i := range p.instances {
		if !i.loading {
			i.history.Weights = garnetworks.WeightID{}
			i.history.LoadRate = 0
		}
	}
}

// divideRate allocates the store's rate in the order of loaders. Members of a group
// get equal rates, since the group forms when the last one is done.
func (p *planner) divideRate(loaders []*loader) {
	left := p.in.StoreRate
	floor := max(1, p.in.StoreRate/minRateDivisor)
	for _, l := range loaders {
		if l.isPreload() && !l.isOrdered() {
			continue
		}
		// Without any rate a group would seem stuck, and rate 0 would let the engine
		// choose its own rate.
		l.rate = floor
		left -= floor * int64(len(l.instances))
	}
	for _, l := range loaders {
		if left <= 0 {
			return
		}
		if l.isPreload() && left < p.in.StoreRate/minPreloadDivisor {
			continue
		}
		each := left / int64(len(l.instances))
		if p.in.InstanceRate > 0 {
			each = max(0, min(each, p.in.InstanceRate-l.rate))
		}
		l.rate += each
		left -= each * int64(len(l.instances))
	}
}

// isOrdered reports whether the preload was ordered before.
func (l *loader) isOrdered() bool {
	h := l.instances[0].history
	return h.Weights == l.weights.WeightID && h.LoadRate > 0
}

func (p *planner) orderPreload(l *loader) {
	i := l.instances[0]
	if l.rate == 0 {
		return
	}
	retry := i.history.LoadOrdered.Add(preloadRetryInterval)
	notLoading := i.observation.Loading != l.weights.WeightID
	if l.isOrdered() && (!notLoading || p.in.Now.Before(retry)) {
		if notLoading {
			p.replanAt(retry)
		}
		p.orderRates(l)
		return
	}
	p.recordLoad(l)
	p.loadOrders = append(p.loadOrders, Preload{
		Domain: i.domain.ID, Instance: i.ID, Weights: l.weights.WeightID,
		LoadRate: l.rate, Reason: i.reason,
	})
}

func (p *planner) orderRates(l *loader) {
	for _, i := range l.instances {
		h := &i.history
		if h.Weights == l.weights.WeightID && !rateChanged(h.LoadRate, l.rate) {
			continue
		}
		h.Weights = l.weights.WeightID
		h.LoadRate = l.rate
		p.loadOrders = append(p.loadOrders, SetLoadRate{
			Domain: i.domain.ID, Instance: i.ID, Group: l.group, LoadRate: l.rate,
		})
	}
}

func (p *planner) recordLoad(l *loader) {
	for _, i := range l.instances {
		i.history.Weights = l.weights.WeightID
		i.history.LoadRate = l.rate
		i.history.LoadOrdered = p.in.Now
	}
}

// rateChanged reports whether the new rate differs enough to be ordered (rule P13).
func rateChanged(old, next int64) bool {
	difference := next - old
	if difference < 0 {
		difference = -difference
	}
	return difference*rateChangeDivisor > old
}
