package former

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/follower"
)

// Times of the planner.
const (
	// orderAgain is how long an order may go unanswered before it is sent again.
	// Engines answer within milliseconds and tell their state by the store within
	// some tens of them; a repeated order changes nothing.
	resendInterval = 250 * time.Millisecond
	// joinMargin is added to the time that a join should take before the group
	// is given up: a store that is slow tells it late.
	joinMargin = 4 * time.Second
	// shunTime is how long an instance that did not take a join is left out.
	exclusionTime = 3 * time.Second
	// joinTries is the number of unanswered joins after which a member is shunned.
	maxJoinAttempts = 6
)

// Times and numbers by which a partition is told from losses.
const (
	// massCount entries that vanish from a domain within massTime are a partition or
	// a dark domain rather than losses of single engines.
	partitionCount  = 4
	partitionWindow = 4 * time.Second
	// returnTime is how long after a return the others' entries may take to be back;
	// the platform says about two seconds.
	returnGrace = 2300 * time.Millisecond
	// answerTime is the same for instances that answer probes again: each dark one is
	// probed once in it.
	probeReturnGrace = time.Second
)

// Input is what a plan is made from.
type Input struct {
	Servers follower.Servers
	Service garnetworks.ServiceName
	Profile *garnetworks.EngineProfile
	// Dark holds the instances that do not answer although their entries stand.
	Unresponsive garnetworks.Set[garnetworks.Incarnation]
	// Term is the lease's.
	Term uint32
	// Moving holds the groups that gave an event to some node a moment ago.
	Progressing garnetworks.Set[garnetworks.GroupID]
	// Loads is the number of loads from the weight store that may begin now.
	Loads int
	// Work is the number of calls of each model that are or could be running, as observed;
	// empty if nothing is known.
	Demand map[garnetworks.ModelName]float64
	// Unhurried says that no call has come yet, so that loads hold nothing up.
	BeforeFirstCall bool
}

// formation is a group that was ordered and has not opened yet.
type formation struct {
	id      garnetworks.GroupID
	epoch   garnetworks.FencingToken
	model   garnetworks.ModelName
	members []garnetworks.Incarnation
	// until is when it is given up.
	deadline time.Time
	// prepares says that the group is of one spare alone and never opens: it takes the
	// model into the instance's memory, so that a later join takes no warm start.
	prewarms bool
	// loading are the members that had to load the weights from the weight store.
	loading []garnetworks.Incarnation
}

// Planner remembers what was ordered and not yet told by the engines. It is for
// one goroutine.
type Planner struct {
	sequence   uint32
	term       uint32
	formations map[garnetworks.GroupID]*formation
	sent       map[garnetworks.Incarnation]*sentOrder
	// left holds, for an instance, the group and epoch that it has left by its own
	// word (rule O2). The store tells it a little later.
	left map[garnetworks.Incarnation]garnetworks.Membership
	// joined holds the last group that an instance was ordered into. The store
	// tells of it a little later; until then the instance may be in it.
	joined   map[garnetworks.Incarnation]garnetworks.Membership
	excluded map[garnetworks.Incarnation]time.Time
	// prepared holds the model that a spare was prepared for.
	prewarmed map[garnetworks.Incarnation]garnetworks.ModelName
	// abandoned are the groups that were given up while they were formed.
	abandoned garnetworks.Set[garnetworks.GroupID]
	// seen is the last view, gone when entries vanished from it, dark the instances
	// that did not answer then.
	lastServers follower.Servers
	vanishedAt  map[garnetworks.Incarnation]time.Time
	// domainOf holds the domains of the listed and the vanished servers.
	domainOf         map[garnetworks.Incarnation]garnetworks.DomainID
	lastUnresponsive garnetworks.Set[garnetworks.Incarnation]
	// staged holds the last order to load a model onto each instance's host.
	staged map[garnetworks.Incarnation]stagedLoad
	// exchanges holds what each domain gives up a group for.
	reallocations map[garnetworks.DomainID]*reallocation
	demand        demandTracker
	// unsure holds the domains whose groups are not dissolved before a time.
	uncertainUntil map[garnetworks.DomainID]time.Time
}

// NewPlanner returns a planner that has ordered nothing.
func NewPlanner() *Planner {
	return &Planner{
		formations:     make(map[garnetworks.GroupID]*formation),
		sent:           make(map[garnetworks.Incarnation]*sentOrder),
		left:           make(map[garnetworks.Incarnation]garnetworks.Membership),
		joined:         make(map[garnetworks.Incarnation]garnetworks.Membership),
		excluded:       make(map[garnetworks.Incarnation]time.Time),
		prewarmed:      make(map[garnetworks.Incarnation]garnetworks.ModelName),
		abandoned:      make(garnetworks.Set[garnetworks.GroupID]),
		staged:         make(map[garnetworks.Incarnation]stagedLoad),
		reallocations:  make(map[garnetworks.DomainID]*reallocation),
		vanishedAt:     make(map[garnetworks.Incarnation]time.Time),
		domainOf:       make(map[garnetworks.Incarnation]garnetworks.DomainID),
		uncertainUntil: make(map[garnetworks.DomainID]time.Time),
	}
}

// plan is one run of the planner.
type plan struct {
	*Planner
	Input
	now    time.Time
	groups []Group
	orders []urgentOrder
	// ordered are the instances that this plan orders something, stages the models that
	// it orders them to load.
	ordered       garnetworks.Set[garnetworks.Incarnation]
	plannedStages map[garnetworks.Incarnation]garnetworks.ModelName
	loadsLeft     int
	// unsettled are the domains in which answers to orders to leave are awaited.
	pendingLeaves garnetworks.Set[garnetworks.DomainID]
}

// Plan returns the orders that are due, the most urgent ones first. Those that are sent
// are told to Sent; the others are void once the next plan is made, which names them
// again if they still matter.
func (p *Planner) Plan(now time.Time, in Input) []garnetworks.GroupOrder {
	if in.Term != p.term {
		// A new holding: what an earlier one ordered is read from the engines.
		p.term, p.sequence = in.Term, 0
		clear(p.formations)
		clear(p.sent)
		clear(p.left)
		clear(p.joined)
		clear(p.staged)
		clear(p.reallocations)
	}
	r := &plan{
		Planner: p, Input: in, now: now, loadsLeft: in.Loads,
		ordered: make(garnetworks.Set[garnetworks.Incarnation]), plannedStages: make(map[garnetworks.Incarnation]garnetworks.ModelName),
	}
	r.detectPartitions()
	r.groups = Observe(in.Servers, in.Service, Sizes(in.Profile))
	r.demand.update(now, in.Profile, in.Demand, r.groupCounts())
	r.Profile = r.demand.profile(in.Profile)
	r.advanceFormations()
	r.maintainGroups()
	r.releaseAbandoned()
	r.findPendingLeaves()
	r.formGroups()
	r.stageMissing()
	r.stageSpares()
	r.prewarmSpares()
	r.stageSecondModels()
	r.forget()
	return r.byUrgency()
}

func (r *plan) usable(s *garnetworks.RegisteredServer) bool {
	return s.Service == r.Service && s.State == garnetworks.ListedLive && !r.Unresponsive.Has(s.Incarnation()) && !r.now.Before(r.excluded[s.Incarnation()])
}

// forget drops what no longer matters, so that memory stays bounded.
func (r *plan) forget() {
	const keep = time.Minute
	const most = 256
	if len(r.abandoned) > most {
		r.forgetAbandoned()
	}
	maps.DeleteFunc(r.sent, func(l garnetworks.Incarnation, s *sentOrder) bool { return !r.listed(l) && r.now.Sub(s.at) > keep })
	maps.DeleteFunc(r.staged, func(l garnetworks.Incarnation, _ stagedLoad) bool { return !r.listed(l) })
	maps.DeleteFunc(r.prewarmed, func(l garnetworks.Incarnation, _ garnetworks.ModelName) bool { return !r.listed(l) })
	maps.DeleteFunc(r.left, func(l garnetworks.Incarnation, _ garnetworks.Membership) bool { return !r.listed(l) })
	maps.DeleteFunc(r.excluded, func(_ garnetworks.Incarnation, until time.Time) bool { return r.now.After(until) })
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }

func sortedIncarnations[V any](m map[garnetworks.Incarnation]V) []garnetworks.Incarnation {
	return slices.SortedFunc(maps.Keys(m), garnetworks.Incarnation.Compare)
}

// server returns the entry of a life; none if it is not listed, or a later life is.
func (r *plan) server(l garnetworks.Incarnation) (garnetworks.RegisteredServer, bool) {
	return serverOf(r.Servers, l)
}

func (r *plan) listed(l garnetworks.Incarnation) bool {
	_, ok := r.server(l)
	return ok
}

func serverOf(servers follower.Servers, l garnetworks.Incarnation) (garnetworks.RegisteredServer, bool) {
	s, ok := servers[l.Instance]
	if !ok || s.Incarnation() != l {
		return garnetworks.RegisteredServer{}, false
	}
	return s, true
}

func without(servers, removed []garnetworks.RegisteredServer) []garnetworks.RegisteredServer {
	return slices.DeleteFunc(slices.Clone(servers), func(s garnetworks.RegisteredServer) bool {
		return slices.ContainsFunc(removed, func(t garnetworks.RegisteredServer) bool { return t.ID == s.ID })
	})
}

// forgetAbandoned drops the groups that no instance names any more.
func (r *plan) forgetAbandoned() {
	named := make(garnetworks.Set[garnetworks.GroupID])
	for i := range r.groups {
		named.Add(r.groups[i].ID)
	}
	for id := range r.abandoned {
		if !named.Has(id) {
			r.abandoned.Remove(id)
		}
	}
}
