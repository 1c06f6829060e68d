package former

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/apportioner"
	"github.com/garnetworks/garnetworks/follower"
)

// Times and limits of orders.
const (
	// resendInterval is how long an order may go unanswered before it is sent again. Engines
	// respond and report their state within tens of milliseconds; repeated orders are
	// idempotent.
	resendInterval = 250 * time.Millisecond
	// joinMargin is added to the time that a join should take before the group is
	// abandoned, since a slow store reports it late.
	joinMargin = 4 * time.Second
	// exclusionTime is how long an instance that did not accept a join is excluded.
	exclusionTime = 3 * time.Second
	// firstTerm is the first term of the lease, before which no order was given.
	firstTerm = 1
	// maxReportLag is how long an engine's report may lag behind the engine.
	maxReportLag = 600 * time.Millisecond
	// maxJoinAttempts is the number of unanswered joins after which a member is excluded.
	maxJoinAttempts = 6
)

// Parameters that distinguish a partition from losses.
const (
	// partitionCount entries that vanish from a domain within partitionWindow indicate a
	// partition or an unreachable domain rather than losses of single engines.
	partitionCount  = 4
	partitionWindow = 4 * time.Second
	// returnGrace is how long after the return of one entry the domain's other entries may
	// take to return.
	returnGrace = 2300 * time.Millisecond
	// probeReturnGrace is the same for instances that answer probes again. It exceeds
	// unresponsiveProbeInterval, so that each unresponsive one is probed within it.
	probeReturnGrace = time.Second
)

// Input is the input of a plan.
type Input struct {
	Servers follower.Servers
	Service garnetworks.ServiceName
	Profile *garnetworks.EngineProfile
	// Unresponsive holds the instances that don't answer probes although they are listed.
	Unresponsive garnetworks.Set[garnetworks.Incarnation]
	// Evacuated holds the availability zones whose groups get no calls.
	Evacuated garnetworks.Set[garnetworks.ZoneID]
	// Term is the lease's term.
	Term uint32
	// Progressing holds the groups that recently sent an event to some node.
	Progressing garnetworks.Set[garnetworks.GroupID]
	// Loads is the number of loads from the weight store that may begin now.
	Loads int
	// Demands is the observed demand for each model at the site; empty if unknown.
	Demands []garnetworks.ModelDemand
	// BeforeFirstCall says that no call has arrived yet, so that loads delay nobody.
	BeforeFirstCall bool
}

// formation is a group that was ordered and has not opened yet.
type formation struct {
	id      garnetworks.GroupID
	epoch   garnetworks.FencingToken
	model   garnetworks.ModelName
	members []garnetworks.Incarnation
	// deadline is when the formation is abandoned.
	deadline time.Time
	// prewarms marks a group of a single spare that never opens: it loads the model into the
	// instance's memory, so that a later join needs no warm start.
	prewarms bool
	// loading are the members that had to load the weights from the weight store.
	loading []garnetworks.Incarnation
}

// Planner plans the orders of one service. It keeps what was ordered and not yet reported by
// the engines. It is not safe for concurrent use.
type Planner struct {
	sequence   uint32
	term       uint32
	formations map[garnetworks.GroupID]*formation
	sent       map[garnetworks.Incarnation]*sentOrder
	// left holds the group and epoch that an instance last acknowledged to have left
	// (rule O2). The store shows it a little later.
	left map[garnetworks.Incarnation]departure
	// joins holds the joins that each instance was sent in this term (rule O13).
	joins map[garnetworks.Incarnation]*joinOrders
	// joined holds the last group that an instance was ordered to join. The store shows it a
	// little later; until then the instance may be in it.
	joined   map[garnetworks.Incarnation]garnetworks.Membership
	excluded map[garnetworks.Incarnation]time.Time
	// prewarmed holds the model that a spare was last prewarmed for.
	prewarmed map[garnetworks.Incarnation]garnetworks.ModelName
	// abandoned are the groups that were given up while they were being formed.
	abandoned garnetworks.Set[garnetworks.GroupID]
	// lastServers and lastUnresponsive are those of the last plan; vanishedAt holds when
	// entries vanished.
	lastServers follower.Servers
	vanishedAt  map[garnetworks.Incarnation]time.Time
	// domainOf holds the domains of the listed and the vanished servers.
	domainOf         map[garnetworks.Incarnation]garnetworks.DomainID
	lastUnresponsive garnetworks.Set[garnetworks.Incarnation]
	// staged holds the last order to load a model onto each instance's host.
	staged map[garnetworks.Incarnation]stagedLoad
	// reallocations holds the reallocation in progress in each domain.
	reallocations map[garnetworks.DomainID]*reallocation
	apportioner   apportioner.Apportioner
	// sharesChanged says that the last plan changed the models' shares.
	sharesChanged bool
	// termSince is when the term began; unsettledUntil is until when a domain is assumed to be
	// unreachable or to return.
	termSince, unsettledUntil time.Time
	// uncertainUntil holds the time until which a domain's groups are not dissolved.
	uncertainUntil map[garnetworks.DomainID]time.Time
}

// NewPlanner returns a planner that has ordered nothing.
func NewPlanner() *Planner {
	return &Planner{
		formations:     make(map[garnetworks.GroupID]*formation),
		sent:           make(map[garnetworks.Incarnation]*sentOrder),
		left:           make(map[garnetworks.Incarnation]departure),
		joins:          make(map[garnetworks.Incarnation]*joinOrders),
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
	// counts are the groups of each model at the start of the plan.
	counts map[garnetworks.ModelName]int
	orders []urgentOrder
	// ordered are the instances that this plan has an order for; plannedStages are the models
	// that it orders them to load onto their hosts; loadsLeft is the rest of the load budget.
	ordered       garnetworks.Set[garnetworks.Incarnation]
	plannedStages map[garnetworks.Incarnation]garnetworks.ModelName
	loadsLeft     int
	// isUnsettled is the result of unsettled.
	isUnsettled bool
	// pendingLeaves are the domains in which responses to orders to leave are awaited.
	pendingLeaves garnetworks.Set[garnetworks.DomainID]
}

// Plan returns the orders that are due, the most urgent ones first. The caller reports each
// one that it sends to Sent and drops the others when the next plan is made, which repeats
// those that are still needed.
func (p *Planner) Plan(now time.Time, in Input) []garnetworks.GroupOrder {
	if in.Term != p.term {
		// A new term of the lease: the engines report what earlier holders ordered.
		p.term, p.sequence, p.termSince = in.Term, 0, now
		clear(p.formations)
		clear(p.sent)
		clear(p.left)
		clear(p.joins)
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
	r.counts = r.servingCounts()
	r.sharesChanged = r.apportioner.Update(now, apportioner.Input{
		Profile: in.Profile, Demands: in.Demands, Groups: r.counts, Instances: r.usableCount(),
	})
	r.Profile = r.apportioner.Profile(in.Profile)
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

// usableCount returns the number of instances that may be in groups that get calls.
func (r *plan) usableCount() int {
	n := 0
	for _, s := range r.Servers {
		if r.usable(&s) && !r.Evacuated.Has(s.Zone) {
			n++
		}
	}
	return n
}

// forget drops state that is no longer needed, so that memory stays bounded.
func (r *plan) forget() {
	const keep = time.Minute
	const most = 256
	if len(r.abandoned) > most {
		r.forgetAbandoned()
	}
	maps.DeleteFunc(r.sent, func(l garnetworks.Incarnation, s *sentOrder) bool { return !r.listed(l) && r.now.Sub(s.at) > keep })
	maps.DeleteFunc(r.staged, func(l garnetworks.Incarnation, _ stagedLoad) bool { return !r.listed(l) })
	maps.DeleteFunc(r.prewarmed, func(l garnetworks.Incarnation, _ garnetworks.ModelName) bool { return !r.listed(l) })
	maps.DeleteFunc(r.left, func(l garnetworks.Incarnation, _ departure) bool { return !r.listed(l) })
	maps.DeleteFunc(r.joins, func(l garnetworks.Incarnation, _ *joinOrders) bool { return !r.listed(l) && r.sent[l] == nil })
	maps.DeleteFunc(r.excluded, func(_ garnetworks.Incarnation, until time.Time) bool { return r.now.After(until) })
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }

func sortedIncarnations[V any](m map[garnetworks.Incarnation]V) []garnetworks.Incarnation {
	return slices.SortedFunc(maps.Keys(m), garnetworks.Incarnation.Compare)
}

// server returns the entry of an incarnation; false if it is not listed or a later one is.
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

// forgetAbandoned drops the abandoned groups that no instance reports any more.
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
