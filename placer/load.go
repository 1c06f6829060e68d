package placer

import (
	"cmp"
	"slices"

	"github.com/garnetworks/garnetworks"
)

// loadClass orders the users of the weight store's rate (rule P12).
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
	class    loadClass
	priority int
	weights  Weights
	lacking  []*instance
	bytes    int64
	group    garnetworks.GroupID
	form     *pendingForm
	rate     int64
}

func (l *loader) preloads() bool { return l.group == "" && l.form == nil }

// shareRate gives each loader its rate and orders what has changed.
func (p *planner) shareRate() {
	loaders := p.loaders()
	p.forgetLoads(loaders)
	if p.in.StoreRate <= 0 {
		return
	}
	p.divide(loaders)
	for _, l := range loaders {
		switch {
		case l.form != nil:
			l.form.rate = l.rate
			p.noteLoad(l)
		case l.preloads():
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
	for _, f := range p.forms {
		l := &loader{class: f.class, priority: f.model.Priority, weights: f.model.weights(), form: f}
		all = append(all, p.lack(l, f.choice.members))
	}
	for _, i := range p.instances {
		if i.preload.Bytes > 0 && i.presence == idle {
			l := &loader{class: i.loadClass, priority: p.byName[i.preload.Model].Priority, weights: i.preload}
			all = append(all, p.lack(l, []*instance{i}))
		}
	}
	all = slices.DeleteFunc(all, func(l *loader) bool { return len(l.lacking) == 0 })
	slices.SortFunc(all, func(a, b *loader) int {
		return cmp.Or(
			cmp.Compare(a.class, b.class),
			cmp.Compare(b.priority, a.priority),
			cmp.Compare(a.bytes, b.bytes),
			cmp.Compare(a.lacking[0].ID, b.lacking[0].ID),
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
	return p.lack(l, g.members)
}

func (p *planner) lack(l *loader, members []*instance) *loader {
	for _, i := range members {
		if missing := p.missing(i, l.weights); missing > 0 {
			l.lacking = append(l.lacking, i)
			l.bytes += missing
		}
	}
	return l
}

// forgetLoads clears what is remembered of instances that no longer load.
func (p *planner) forgetLoads(loaders []*loader) {
	for _, i := range p.instances {
		i.loads = false
	}
	for _, l := range loaders {
		for _, i := range l.lacking {
			i.loads = true
		}
	}
	for _, i := range p.instances {
		if !i.loads {
			i.history.Weights = garnetworks.WeightID{}
			i.history.LoadRate = 0
		}
	}
}

// divide hands the rate out in the loaders' order. Members of one group share
// evenly, because the group forms when the last one is done.
func (p *planner) divide(loaders []*loader) {
	left := p.in.StoreRate
	floor := max(1, p.in.StoreRate/floorShare)
	for _, l := range loaders {
		if l.preloads() && !l.goesOn() {
			continue
		}
		// A group without any rate would look stuck, and rate 0 would leave the
		// rate to the engine.
		l.rate = floor
		left -= floor * int64(len(l.lacking))
	}
	for _, l := range loaders {
		if left <= 0 {
			return
		}
		if l.preloads() && left < p.in.StoreRate/preloadLeastShare {
			continue
		}
		each := left / int64(len(l.lacking))
		if p.in.InstanceRate > 0 {
			each = max(0, min(each, p.in.InstanceRate-l.rate))
		}
		l.rate += each
		left -= each * int64(len(l.lacking))
	}
}

// goesOn reports whether a preload was ordered before.
func (l *loader) goesOn() bool {
	h := l.lacking[0].history
	return h.Weights == l.weights.WeightID && h.LoadRate > 0
}

func (p *planner) orderPreload(l *loader) {
	i := l.lacking[0]
	if l.rate == 0 {
		return
	}
	retry := i.history.LoadOrdered.Add(preloadRetry)
	unseen := i.observed.Loading != l.weights.WeightID
	if l.goesOn() && (!unseen || p.in.Now.Before(retry)) {
		if unseen {
			p.wake(retry)
		}
		p.orderRates(l)
		return
	}
	p.noteLoad(l)
	p.loads = append(p.loads, Preload{
		Domain: i.domain.ID, Instance: i.ID, Weights: l.weights.WeightID,
		LoadRate: l.rate, Reason: i.reason,
	})
}

func (p *planner) orderRates(l *loader) {
	for _, i := range l.lacking {
		h := &i.history
		if h.Weights == l.weights.WeightID && !changed(h.LoadRate, l.rate) {
			continue
		}
		h.Weights = l.weights.WeightID
		h.LoadRate = l.rate
		p.loads = append(p.loads, SetLoadRate{
			Domain: i.domain.ID, Instance: i.ID, Group: l.group, LoadRate: l.rate,
		})
	}
}

func (p *planner) noteLoad(l *loader) {
	for _, i := range l.lacking {
		i.history.Weights = l.weights.WeightID
		i.history.LoadRate = l.rate
		i.history.LoadOrdered = p.in.Now
	}
}

// changed reports whether a new rate is worth an order (rule P13).
func changed(old, next int64) bool {
	difference := next - old
	if difference < 0 {
		difference = -difference
	}
	return difference*rateStep > old
}
