package former

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/apportioner"
	"github.com/garnetworks/garnetworks/follower"
	"github.com/garnetworks/garnetworks/leaser"
)

// Times and rates of planning.
const (
	// planInterval is the longest time between two plans; changes and responses trigger
	// earlier ones.
	planInterval = 200 * time.Millisecond
	// minPlanPause is the shortest pause between two plans, which batches changes that arrive
	// together. It is short compared with the second that a repair takes.
	minPlanPause = 10 * time.Millisecond
	// pauseFactor is the pause after a plan as a multiple of the time that the plan took, up
	// to planInterval. It keeps planning to about a fifth of the processor.
	pauseFactor = 4
	// unmeteredLoadTime is the time after the site's first start in which loads don't count
	// against the weight store's rate, since no call has arrived yet.
	unmeteredLoadTime = 9 * time.Second
	// settleTime is how long no further server may have registered before groups are formed
	// at the site's first start; maxSettleTime bounds that wait.
	//
	// Servers register one after the other within some seconds. Without the wait, the groups
	// formed of the first ones are all of the smallest model, and no domain has enough
	// instances left for the others. 162 engines register within 4.1 s; with maxSettleTime, the
	// first loads and the opening, groups serve 8 s after the start.
	settleTime    = 350 * time.Millisecond
	maxSettleTime = 6 * time.Second
	// loadRateFraction is the part of the weight store's rate that is used, since delayed
	// orders may make loads begin together.
	loadRateFraction = 0.9
)

// Options configure a Former.
type Options struct {
	Follower *follower.Follower
	Orders   garnetworks.GroupOrders
	Lease    *leaser.Lease
	Bounds   garnetworks.SiteBounds
	// FirstStart is set when the whole site starts for the first time.
	FirstStart bool
	// Progressing returns the groups that recently sent an event to some node; it may be nil.
	Progressing func() garnetworks.Set[garnetworks.GroupID]
	// Demands returns the demand for each model at the site, nothing if it is unknown; it may be
	// nil.
	Demands func() []garnetworks.ModelDemand
	// Apportioned receives the states of a service's models after each plan, and nil when the node
	// makes no plans; it may be nil.
	Apportioned func([]apportioner.ModelState)
	// Recorder receives events on orders, on probes and on suspected groups.
	Recorder garnetworks.Recorder
}

// Former forms the groups of all services while it holds the lease.
type Former struct {
	options  Options
	bounds   atomic.Pointer[garnetworks.SiteBounds]
	started  time.Time
	planners map[garnetworks.ServiceName]*Planner
	// lost are the groups with an unresponsive instance and no recent events; nil while
	// this node makes no plans, as without the lease.
	lost atomic.Pointer[[]garnetworks.GroupID]
	prober
	orderResults chan orderResult
	suspects     chan garnetworks.GroupID
	changed      <-chan struct{}
	// queue holds the newest plan's orders that were not sent yet.
	queue       []queuedOrder
	orderWindow congestionWindow
	// needsPlan says that something has changed since the last plan; nextPlanAt is the
	// earliest time of the next one.
	needsPlan  bool
	nextPlanAt time.Time
	// plannedServers are the servers that the newest plan was made from.
	plannedServers follower.Servers
	loads          loadBudget
	// sending counts the orders in flight.
	sending sync.WaitGroup
	term    uint32
	// leaseSince is when this node took the lease.
	leaseSince time.Time
	// serverCount is the number of registered servers, lastRegistration when it last rose.
	serverCount      int
	lastRegistration time.Time
}

// New returns a Former. It must be called before the follower runs.
func New(options Options) *Former {
	const bufferSize = 1024
	f := &Former{
		options:      options,
		started:      time.Now(),
		planners:     make(map[garnetworks.ServiceName]*Planner),
		prober:       newProber(bufferSize),
		orderResults: make(chan orderResult, bufferSize),
		suspects:     make(chan garnetworks.GroupID, bufferSize),
		changed:      options.Follower.Changed(),

		orderWindow: newCongestionWindow(),
	}
	f.bounds.Store(&options.Bounds)
	return f
}

// SetBounds replaces the site's bounds.
func (f *Former) SetBounds(bounds garnetworks.SiteBounds) { f.bounds.Store(&bounds) }

// Suspect reports that a group seems to make no progress. It never blocks.
func (f *Former) Suspect(id garnetworks.GroupID) {
	select {
	case f.suspects <- id:
	default:
	}
}

// Run forms groups until ctx ends. It returns once all orders have ended, so that the
// lease may be given up then.
func (f *Former) Run(ctx context.Context) error {
	ticker := time.NewTicker(planInterval)
	defer ticker.Stop()
	pause := time.NewTimer(0)
	defer pause.Stop()
	for {
		select {
		case <-ctx.Done():
			f.sending.Wait()
			return nil
		case <-ticker.C:
			f.needsPlan = true
		case <-f.changed:
			f.needsPlan = true
		case <-f.options.Lease.Changed():
			f.needsPlan = true
		case <-pause.C:
		case a := <-f.orderResults:
			f.handleOrderResult(a)
		case p := <-f.probeResults:
			f.handleProbeResult(p)
		case id := <-f.suspects:
			f.suspect(id)
		}
		f.drainResults()
		if f.needsPlan && !time.Now().Before(f.nextPlanAt) {
			f.replan()
			pause.Reset(time.Until(f.nextPlanAt))
		}
		f.dispatch(ctx)
		f.dispatchProbes(ctx)
	}
}

// drainResults handles all results that have arrived, so that one plan covers them.
func (f *Former) drainResults() {
	for {
		select {
		case a := <-f.orderResults:
			f.handleOrderResult(a)
		case p := <-f.probeResults:
			f.handleProbeResult(p)
		default:
			return
		}
	}
}

// replan makes a plan and sets the earliest time of the next one.
//
// Plans are limited in rate because with hundreds of engines a plan for each response to an
// order would take the whole processor, and responses that are handled late look like missing
// ones. At 880 engines a plan takes some 20 ms of a small instance's processor.
func (f *Former) replan() {
	began := time.Now()
	f.needsPlan = false
	f.plan()
	took := time.Since(began)
	f.nextPlanAt = time.Now().Add(min(planInterval, max(minPlanPause, pauseFactor*took)))
}

// plan replaces the queue by the orders that are due.
func (f *Former) plan() {
	now := time.Now()
	term := f.options.Lease.Term(now)
	f.queue = f.queue[:0]
	if term != f.term {
		f.term, f.leaseSince, f.loads = term, now, loadBudget{}
		if term != 0 {
			f.options.Follower.RefreshServers()
		}
	}
	x := f.options.Follower.Index()
	// A new holder reads the store first: a view from before the lease shows engines as free
	// that the last holder has since ordered into a group.
	if term == 0 || f.options.Follower.ServersConfirmed().Before(f.leaseSince) || x == nil || !f.options.Follower.Ready() {
		f.lost.Store(nil)
		if f.options.Apportioned != nil {
			f.options.Apportioned(nil)
		}
		return
	}
	servers := f.options.Follower.Servers()
	if !f.settled(now, len(servers)) {
		f.lost.Store(nil)
		return
	}
	f.plannedServers = servers
	f.forget(servers)
	f.findLostGroups(servers)
	f.probeUnresponsive(servers)
	f.probeUnconfirmed(servers)
	for i := range x.Services {
		if profile, ok := x.Services[i].Engines.Get(); ok {
			f.planService(now, term, servers, x.Services[i].Name, &profile)
		}
	}
}

// Lost returns the groups that are known to be lost, while the node holds the lease.
func (f *Former) Lost() []garnetworks.GroupID {
	if lost := f.lost.Load(); lost != nil {
		return *lost
	}
	return nil
}

// findLostGroups records the groups with an unresponsive instance that send no events.
func (f *Former) findLostGroups(servers follower.Servers) {
	progressing := f.progressing()
	lost := make(garnetworks.Set[garnetworks.GroupID])
	for incarnation := range f.unresponsive {
		if s, ok := serverOf(servers, incarnation); ok && s.Membership.Group != "" && !progressing.Has(s.Membership.Group) {
			lost.Add(s.Membership.Group)
		}
	}
	list := slices.Sorted(maps.Keys(lost))
	f.lost.Store(&list)
}

// settled reports whether the servers that start with the site have registered.
func (f *Former) settled(now time.Time, count int) bool {
	if count > f.serverCount {
		f.lastRegistration = now
	}
	f.serverCount = count
	if !f.options.FirstStart || now.Sub(f.started) > maxSettleTime {
		return true
	}
	return count > 0 && now.Sub(f.lastRegistration) >= settleTime
}

func (f *Former) planService(now time.Time, term uint32, servers follower.Servers, service garnetworks.ServiceName, profile *garnetworks.EngineProfile) {
	p := f.planners[service]
	if p == nil {
		p = NewPlanner()
		f.planners[service] = p
	}
	f.loads.configure(profile, *f.bounds.Load())
	loads := f.loads.available(now)
	first := f.options.FirstStart && now.Sub(f.started) < unmeteredLoadTime
	if first {
		loads = len(servers)
	}
	orders := p.Plan(now, Input{
		Servers: servers, Service: service, Profile: profile, Unresponsive: f.unresponsive, Evacuated: f.options.Follower.Evacuated(),
		Term: term, Loads: loads, BeforeFirstCall: first, Progressing: f.progressing(), Demands: f.demands(),
	})
	f.reportShares(service, p)
	for _, o := range orders {
		f.queue = append(f.queue, queuedOrder{service, o, !first})
	}
}

func (f *Former) demands() []garnetworks.ModelDemand {
	if f.options.Demands == nil {
		return nil
	}
	return f.options.Demands()
}

// reportShares reports the states of a service's models, with an event if the shares have changed.
func (f *Former) reportShares(service garnetworks.ServiceName, p *Planner) {
	states := p.apportioner.States()
	if p.sharesChanged {
		f.options.Recorder.Record(garnetworks.Event{Kind: garnetworks.EventSharesChanged, Detail: string(service) + ": " + apportioner.Describe(states)})
	}
	if f.options.Apportioned != nil && len(states) > 0 {
		f.options.Apportioned(states)
	}
}

func (f *Former) progressing() garnetworks.Set[garnetworks.GroupID] {
	if f.options.Progressing == nil {
		return nil
	}
	return f.options.Progressing()
}
