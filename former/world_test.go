package former_test

import (
	"fmt"
	"slices"
	"time"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/follower"
	"github.com/garnetworks/garnetworks/former"
)

// engine is an engine of the world: what it holds, and what the store tells of it.
type engine struct {
	garnetworks.RegisteredServer
	// readyAt is when a join is done.
	readyAt time.Time
	// staging is being loaded onto the host until stagedAt.
	staging  garnetworks.ModelName
	stagedAt time.Time
	// epoch is the highest taken in this life.
	epoch garnetworks.FencingToken
	dead  bool
	// dark engines get no orders; cut ones also have no entry in the store.
	dark, cut bool
}

// world is a site's engines, an oracle of the rules, and a planner.
type world struct {
	now     time.Time
	engines map[garnetworks.InstanceID]*engine
	planner *former.Planner
	// moving are the groups that give events.
	moving  garnetworks.Set[garnetworks.GroupID]
	profile *garnetworks.EngineProfile
	term    uint32
	// loadTime is the time of a load from the weight store after started+unhurried,
	// when the first call comes; loads take a tenth of it before.
	loadTime time.Duration
	started  time.Time
	// told is the view of the store, which may lag behind the engines.
	told follower.Servers
	// ready holds the members that have ever been ready in each group.
	ready map[garnetworks.GroupID]garnetworks.Set[garnetworks.InstanceID]
	// faults are the rules that were broken.
	faults []string
	orders int
	// left counts the orders to leave that were carried out, unfit those to open that
	// did not fit the engine's state.
	left, unfit int
	// waits counts the joins that had to wait for a load after the first call.
	waits int
}

func profile() *garnetworks.EngineProfile {
	return &garnetworks.EngineProfile{
		Slots: 4, LoadsPerSecond: 5, MaxConcurrentLoads: 40,
		Models: []garnetworks.ModelProfile{
			{Name: "large", GroupSize: 6, InitialShare: 0.67, TimeFactor: 1, LoadTime: 16 * time.Second, WarmLoadTime: 1600 * time.Millisecond},
			{Name: "small", GroupSize: 3, InitialShare: 0.33, TimeFactor: 0.6, LoadTime: 12 * time.Second, WarmLoadTime: 1100 * time.Millisecond},
		},
	}
}

// unhurried is the time from the site's start to its first call.
const unhurried = 9 * time.Second

func (w *world) unhurried() bool { return w.now.Sub(w.started) < unhurried }

// load returns how long a load takes that begins now.
func (w *world) load() time.Duration {
	const part = 10
	if w.unhurried() {
		return w.loadTime / part
	}
	return w.loadTime
}

func newWorld(domains, each int) *world {
	w := &world{
		now: time.Unix(1000, 0), ready: make(map[garnetworks.GroupID]garnetworks.Set[garnetworks.InstanceID]), engines: make(map[garnetworks.InstanceID]*engine),
		planner: former.NewPlanner(), profile: profile(), term: 1, loadTime: 16 * time.Second, started: time.Unix(1000, 0),
	}
	for d := range domains {
		for i := range each {
			w.add(fmt.Sprintf("i-%d-%02d", d, i), fmt.Sprintf("d%d", d))
		}
	}
	return w
}

func (w *world) add(id, domain string) {
	e := &engine{}
	e.ID, e.Address, e.Service = garnetworks.InstanceID(id), id, "llm"
	e.Domain, e.State = garnetworks.DomainID(domain), garnetworks.ListedLive
	w.engines[e.ID] = e
}

// tell brings the store's view up to date.
func (w *world) tell() {
	told := make(follower.Servers)
	for id, e := range w.engines {
		if !e.dead && !e.cut {
			s := e.RegisteredServer
			if old, ok := w.told[id]; ok {
				s.InheritFrom(&old)
			}
			told[id] = s
		}
	}
	w.told = told
}

// startAgain starts an engine again under its identifier: it knows nothing of before,
// and its host keeps what it holds.
func (e *engine) startAgain() {
	e.StartMS++
	e.Membership, e.Model, e.epoch = garnetworks.Membership{}, "", 0
	e.staging = ""
}

// step lets time pass, finishes joins and runs the planner once.
func (w *world) step(d time.Duration) {
	w.now = w.now.Add(d)
	for _, e := range w.engines {
		if e.staging != "" && !w.now.Before(e.stagedAt) {
			e.Staged, e.staging = []garnetworks.ModelName{e.staging}, ""
		}
		if e.Membership.State == garnetworks.MemberJoining && !w.now.Before(e.readyAt) {
			e.Membership.State = garnetworks.MemberReady
			model := former.GroupModel(e.Membership.Group)
			if e.Model != model && !slices.Contains(e.Staged, model) {
				e.Staged = []garnetworks.ModelName{model} // a load leaves it on the host
			}
			e.Model = model
			if w.ready[e.Membership.Group] == nil {
				w.ready[e.Membership.Group] = make(garnetworks.Set[garnetworks.InstanceID])
			}
			w.ready[e.Membership.Group].Add(e.ID)
		}
	}
	dark := make(garnetworks.Set[garnetworks.Incarnation])
	for _, e := range w.engines {
		if e.dark || e.dead {
			dark.Add(e.Incarnation())
		}
	}
	const loads = 100
	for _, o := range w.planner.Plan(w.now, former.Input{Servers: w.told, Service: "llm", Profile: w.profile, Dark: dark, Term: w.term, Loads: loads, Unhurried: w.unhurried(), Moving: w.moving}) {
		w.orders++
		w.planner.Sent(w.now, o)
		w.planner.Answered(w.now, o, w.carryOut(o))
	}
}

// carryOut does what an engine does with an order.
func (w *world) carryOut(o garnetworks.GroupOrder) error {
	e := w.engines[o.Incarnation.Instance]
	switch {
	case e == nil || e.dead:
		return garnetworks.Errorf(garnetworks.KindNotFound, "no such engine")
	case e.dark || e.cut:
		return garnetworks.Errorf(garnetworks.KindUnreachable, "dark")
	}
	same := e.Membership.Group == o.Group && e.Membership.Epoch == o.Epoch
	switch o.Kind {
	case garnetworks.GroupStage:
		if !slices.Contains(e.Staged, o.Model) {
			e.staging, e.stagedAt = o.Model, w.now.Add(w.load())
		}
	case garnetworks.GroupJoin:
		return w.join(e, o)
	case garnetworks.GroupOpen:
		if !same || e.Membership.State != garnetworks.MemberReady && e.Membership.State != garnetworks.MemberOpen {
			w.unfit++
			return garnetworks.Errorf(garnetworks.KindConflict, "not ready")
		}
		w.checkOpen(o)
		e.Membership.State = garnetworks.MemberOpen
	case garnetworks.GroupClose:
		if same {
			e.Membership.State = garnetworks.MemberReady
		}
	case garnetworks.GroupLeave:
		if !same {
			return garnetworks.Errorf(garnetworks.KindConflict, "not in the group")
		}
		e.Membership = garnetworks.Membership{}
		w.left++
	}
	return nil
}

func (w *world) join(e *engine, o garnetworks.GroupOrder) error {
	if o.Epoch < e.epoch {
		return garnetworks.Errorf(garnetworks.KindStaleToken, "older epoch")
	}
	if e.Membership.Group == o.Group && e.Membership.Epoch == o.Epoch {
		return nil
	}
	if e.Membership.Group != "" {
		w.fault("%s joined %s while in %s", e.ID, o.Group, e.Membership.Group) // rule O2
	}
	e.epoch = o.Epoch
	e.Membership = garnetworks.Membership{Group: o.Group, Epoch: o.Epoch, Rank: slices.IndexFunc(o.Members, func(l garnetworks.Incarnation) bool { return l.Instance == e.ID }), State: garnetworks.MemberJoining}
	wait := w.load()
	if slices.Contains(e.Staged, o.Model) {
		wait = 1600 * time.Millisecond
	}
	if e.Model == o.Model {
		wait = 200 * time.Millisecond
	}
	if wait == w.loadTime {
		w.waits++
	}
	e.readyAt = w.now.Add(wait)
	return nil
}

// checkOpen holds an order to open against rule O1: each member has been ready in the
// group. One that was and is lost meanwhile can't be known of.
func (w *world) checkOpen(o garnetworks.GroupOrder) {
	model := former.GroupModel(o.Group)
	for _, p := range w.profile.Models {
		if ready := len(w.ready[o.Group]); p.Name == model && ready < p.GroupSize {
			w.fault("%s opened after %d of %d members were ready", o.Group, ready, p.GroupSize)
		}
	}
}

func (w *world) fault(format string, args ...any) {
	w.faults = append(w.faults, fmt.Sprintf(format, args...))
}

// serving counts the groups of each model whose members all live.
func (w *world) serving() map[garnetworks.ModelName]int {
	servers := make(follower.Servers)
	for id, e := range w.engines {
		if !e.dead && !e.dark && !e.cut {
			servers[id] = e.RegisteredServer
		}
	}
	counts := make(map[garnetworks.ModelName]int)
	for _, g := range former.Observe(servers, "llm", former.Sizes(w.profile)) {
		if g.Serves() && g.Whole {
			counts[g.Model]++
		}
	}
	return counts
}

// run lets the world go on for a while, with a view that is always up to date.
func (w *world) run(d time.Duration) {
	const tick = 100 * time.Millisecond
	for ; d > 0; d -= tick {
		w.tell()
		w.step(tick)
	}
}
