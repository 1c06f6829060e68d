package experimenter

import (
	"container/heap"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/exchanger"
	"github.com/garnetworks/garnetworks/scheduler"
)

const (
	// exchangeInterval is the time between two exchanges of the nodes' load.
	exchangeInterval = exchanger.Interval
	tickInterval     = 20 * time.Millisecond
	// maxRetryWaitFraction is the longest wait before a retry, as a fraction of the time left
	// to the client's deadline.
	maxRetryWaitFraction = 1.0 / 3
)

// Result is the outcome of a simulation for one class of requests.
type Result struct {
	Requests, OnTime, Late, Refused, Failed int
	// Earned is the credit gained, Owed what responses on time would have gained.
	Earned, Owed float64
	// FirstEvent holds the milliseconds from the first attempt to the first event.
	FirstEvent *hdrhistogram.Histogram
}

// Share returns the earned fraction of the owed credit.
func (r *Result) Share() float64 {
	if r.Owed == 0 {
		return 0
	}
	return r.Earned / r.Owed
}

// Results holds results by name: of each kind, of the largest tenth of each kind, and of
// each workspace. The empty name holds the total.
type Results map[string]*Result

// PolicyNames returns the names of all policies.
func PolicyNames() []string { return slices.Sorted(maps.Keys(policies)) }

// Run simulates the pattern with a policy.
func Run(pattern *Pattern, policyName string, seed uint64) (Results, error) {
	newPolicy, ok := policies[policyName]
	if !ok {
		return nil, garnetworks.Errorf(garnetworks.KindInvalidRequest, "no policy %q; there are %v", policyName, PolicyNames())
	}
	r := &run{pattern: pattern, results: make(Results)}
	for i := range pattern.Nodes {
		r.nodes = append(r.nodes, newPolicy(seed+uint64(i)))
	}
	r.makeGroups()
	r.schedule(seed)
	for r.events.Len() > 0 {
		e := heap.Pop(&r.events).(*event)
		r.now = e.at
		e.do()
	}
	return r.results, nil
}

// event is a scheduled action; order keeps events of one time in the order in which they
// were scheduled (rule E1).
type event struct {
	at    time.Duration
	order int
	do    func()
}

type events []*event

func (h events) Len() int { return len(h) }

func (h events) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].order < h[j].order
}

func (h events) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *events) Push(x any) { *h = append(*h, x.(*event)) }

// Pop implements heap.Interface.
func (h *events) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// run is the state of one simulation.
type run struct {
	pattern *Pattern
	now     time.Duration
	events  events
	order   int
	nodes   []policy
	groups  map[garnetworks.GroupID]*group
	results Results
}

func (r *run) at(at time.Duration, do func()) {
	r.order++
	heap.Push(&r.events, &event{at, r.order, do})
}

func (r *run) makeGroups() {
	r.groups = make(map[garnetworks.GroupID]*group)
	for i := range r.pattern.Profile.Models {
		m := &r.pattern.Profile.Models[i]
		for n := range r.pattern.Groups[m.Name] {
			id := groupID(m.Name, n)
			r.groups[id] = &group{id: id, model: m, profile: &r.pattern.Profile}
		}
	}
}

func groupID(model garnetworks.ModelName, n int) garnetworks.GroupID {
	return garnetworks.GroupID(fmt.Sprintf("%s.%d", model, n))
}

// schedule adds the events that don't depend on the policy.
func (r *run) schedule(seed uint64) {
	r.at(0, r.publishGroups)
	for _, c := range r.pattern.draw(seed) {
		r.at(c.arrived, func() { r.arrive(c) })
	}
	for _, l := range r.pattern.Losses {
		g := r.groups[groupID(l.Model, l.Group)]
		r.at(l.At, func() { r.failGroup(g) })
		r.at(l.At+l.For, func() { g.down = false; r.publishGroups() })
	}
	for at := time.Duration(0); at < r.pattern.Length; at += exchangeInterval {
		r.at(at, r.exchange)
	}
	for at := time.Duration(0); at < r.pattern.Length+time.Second; at += tickInterval {
		r.at(at, func() { r.eachNode(policy.tick) })
	}
}

func (r *run) eachNode(do func(policy, time.Duration) []decision) {
	for _, n := range r.nodes {
		r.apply(n, do(n, r.now))
	}
}

func (r *run) publishGroups() {
	var list []scheduler.Group
	for _, id := range slices.Sorted(maps.Keys(r.groups)) {
		if g := r.groups[id]; !g.down {
			list = append(list, scheduler.Group{ID: id, Model: g.model.Name, Slots: g.profile.Slots, PrefillRate: g.profile.PrefillRate / g.model.TimeFactor, PassTime: g.profile.PassTime(g.model)})
		}
	}
	for _, n := range r.nodes {
		r.apply(n, n.setGroups(r.now, list))
	}
}

// exchange gives each node the load of the others as it was half an interval before.
func (r *run) exchange() {
	reports := make([]garnetworks.LoadReport, len(r.nodes))
	for i, n := range r.nodes {
		reports[i] = n.load(r.now)
	}
	r.at(r.now+exchangeInterval/2, func() {
		for i, n := range r.nodes {
			others := slices.Delete(slices.Clone(reports), i, i+1)
			r.apply(n, n.setPeerLoad(r.now, exchanger.Sum(others...)))
		}
	})
}

// resultsOf returns the results that count a call.
func (r *run) resultsOf(c *call) []*Result {
	names := []string{"", c.kind.Name, fmt.Sprintf("workspace %d", c.workspace)}
	if c.large {
		names = append(names, c.kind.Name+", largest tenth")
	}
	list := make([]*Result, 0, len(names))
	for _, name := range names {
		if r.results[name] == nil {
			const mostMS, digits = 60000, 2
			r.results[name] = &Result{FirstEvent: hdrhistogram.New(1, mostMS, digits)}
		}
		list = append(list, r.results[name])
	}
	return list
}

func (r *run) arrive(c *call) {
	if c.tries == 0 {
		for _, result := range r.resultsOf(c) {
			result.Requests++
			result.Owed += c.kind.Worth
		}
	}
	n := r.nodes[c.node]
	r.apply(n, n.arrive(r.now, c))
}

// apply executes a node's decisions.
func (r *run) apply(n policy, decisions []decision) {
	for _, v := range decisions {
		if v.group == "" {
			r.refuse(v)
			continue
		}
		g := r.groups[v.group]
		t := &task{call: v.call, sentAt: r.now, remaining: v.call.answer, group: v.group}
		if g.down {
			r.fail(n, t)
			continue
		}
		g.waiting = append(g.waiting, t)
		r.startPass(g)
	}
}

// refuse schedules the client's retry, or counts the call as refused.
func (r *run) refuse(v decision) {
	c := v.call
	left := c.patience - (r.now - c.first)
	if c.tries >= r.pattern.Retries || left <= 0 {
		for _, result := range r.resultsOf(c) {
			result.Refused++
		}
		return
	}
	again := *c
	again.tries++
	again.arrived = r.now + min(v.retryAfter, time.Duration(float64(left)*maxRetryWaitFraction))
	again.node = (c.node + 1) % len(r.nodes)
	r.at(again.arrived, func() { r.arrive(&again) })
}

func (r *run) fail(n policy, t *task) {
	for _, result := range r.resultsOf(t.call) {
		result.Failed++
	}
	r.apply(n, n.finished(r.now, t))
}

// failGroup marks a group as lost and fails its calls.
func (r *run) failGroup(g *group) {
	g.down = true
	tasks := append(g.running, g.waiting...)
	g.running, g.waiting = nil, nil
	r.publishGroups()
	for _, t := range tasks {
		r.fail(r.nodes[t.node], t)
	}
}

// startPass begins a pass if the group is idle.
func (r *run) startPass(g *group) {
	if g.busy || g.down {
		return
	}
	took := g.beginPass()
	if took == 0 {
		return
	}
	g.busy = true
	r.at(r.now+took, func() { r.endPass(g) })
}

func (r *run) endPass(g *group) {
	g.busy = false
	if g.down {
		return
	}
	first, done := g.finishPass(r.now)
	for _, t := range first {
		for _, result := range r.resultsOf(t.call) {
			_ = result.FirstEvent.RecordValue((r.now - t.first).Milliseconds()) // fails only for values beyond the histogram's range
		}
		r.nodes[t.node].firstEvent(r.now, t)
	}
	for _, t := range done {
		r.countResponse(t)
		n := r.nodes[t.node]
		r.apply(n, n.finished(r.now, t))
	}
	r.startPass(g)
}

// countResponse counts a complete response (rule E4).
func (r *run) countResponse(t *task) {
	for _, result := range r.resultsOf(t.call) {
		switch {
		case r.now-t.first > t.patience:
			result.Failed++
		case t.firstEventAt-t.first <= t.kind.Objective && t.maxGap <= t.kind.MaxGap:
			result.OnTime++
			result.Earned += t.kind.Worth
		default:
			result.Late++
			result.Earned += t.kind.LateWorth
		}
	}
}
