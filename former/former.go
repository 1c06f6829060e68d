package former

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/follower"
	"github.com/garnetworks/garnetworks/leaser"
)

// Times of the duty.
const (
	// planEvery is the longest time between two plans; changes and answers bring
	// them forward.
	planInterval = 200 * time.Millisecond
	// planRest is the least time between two plans. It joins changes that come together,
	// and is small beside the second that a repair takes.
	minPlanPause = 10 * time.Millisecond
	// restFactor is the rest after a plan in parts of the time that the plan took, so that
	// plans take a fifth of the node's processor at most.
	pauseFactor = 4
	// firstLoadTime is the time from the site's first start in which loads don't
	// count against the weight store's rate, since no call has come yet.
	unmeteredLoadTime = 9 * time.Second
	// settleTime is how long no further server may have registered before groups
	// are formed at the site's first start, and settleMost bounds that wait.
	//
	// Failure: servers register one after the other within some seconds. Groups
	// formed of the first ones are all of the smallest model, and the others find
	// no domain with enough instances left. 162 engines take 4.1 s; with settleMost,
	// the load of the first groups (a tenth of the usual time) and their opening they
	// serve 8 s after the start, before the first calls at 10 s or more.
	settleTime    = 350 * time.Millisecond
	maxSettleTime = 6 * time.Second
	// loadRatePart is the part of the weight store's rate that is used: orders
	// that are carried out late may bring loads together.
	loadRateFraction = 0.9
)

// Options describe the duty.
type Options struct {
	Follower *follower.Follower
	Orders   garnetworks.GroupOrders
	Lease    *leaser.Lease
	Bounds   garnetworks.SiteBounds
	// FirstStart is set when the whole site starts for the first time.
	FirstStart bool
	// Moving returns the groups that gave an event to some node a moment ago; it may
	// be nil.
	Progressing func() garnetworks.Set[garnetworks.GroupID]
	// Work returns the number of calls of each model that are or could be running at the
	// site; it may be nil.
	Demand func() map[garnetworks.ModelName]float64
	// Recorder is told of orders and of what is believed of instances.
	Recorder garnetworks.Recorder
}

// Former forms the groups of all services while it holds the lease.
type Former struct {
	options  Options
	bounds   atomic.Pointer[garnetworks.SiteBounds]
	started  time.Time
	planners map[garnetworks.ServiceName]*Planner
	// lost are the groups that have a dark instance, while the node holds the lease.
	lost atomic.Pointer[[]garnetworks.GroupID]
	prober
	orderResults chan orderResult
	suspects     chan garnetworks.GroupID
	changed      <-chan struct{}
	// queue holds the newest plan's orders that wait to be sent.
	queue       []queuedOrder
	orderWindow congestionWindow
	// stale says that something has changed since the last plan, and rested from when
	// on the next one may be made.
	needsPlan  bool
	nextPlanAt time.Time
	// planned is the view that the newest plan was made from.
	plannedServers follower.Servers
	loads          loadBudget
	// sending counts the orders in flight.
	sending sync.WaitGroup
	term    uint32
	// held is when this node took the lease.
	leaseSince time.Time
	// count is the number of registered servers, and grown when it last rose.
	serverCount      int
	lastRegistration time.Time
}

// New returns the duty; it is called before the follower runs.
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

// SetBounds takes the site's bounds.
func (f *Former) SetBounds(bounds garnetworks.SiteBounds) { f.bounds.Store(&bounds) }

// Suspect tells that the group seems to stand still. It never blocks.
func (f *Former) Suspect(id garnetworks.GroupID) {
	select {
	case f.suspects <- id:
	default:
	}
}

// Run forms groups until ctx ends. It returns once all orders have ended, so that
// the lease may then be given up.
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

// drain takes all answers that are there, so that one plan serves them.
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

// replan makes a plan, and rests from planning for a while.
//
// Failure: a plan was made for each answer to an order. At 880 engines one costs some
// 20 ms of a small instance's processor, and thousands of answers in the first seconds
// took all of it, so that the answers waited and looked like silence.
func (f *Former) replan() {
	began := time.Now()
	f.needsPlan = false
	f.plan()
	took := time.Since(began)
	f.nextPlanAt = time.Now().Add(min(planInterval, max(minPlanPause, pauseFactor*took)))
}

// plan queues the orders that are due.
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
	// Failure: a view from before the lease shows engines as free that the last
	// holder has ordered into a group since. So a new holder reads the store first.
	if term == 0 || f.options.Follower.ServersConfirmed().Before(f.leaseSince) || x == nil || !f.options.Follower.Ready() {
		f.lost.Store(nil)
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

// noteLost finds the groups that have a dark instance and give no node any event.
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
		Servers: servers, Service: service, Profile: profile, Unresponsive: f.unresponsive,
		Term: term, Loads: loads, BeforeFirstCall: first, Progressing: f.progressing(), Demand: f.demand(),
	})
	for _, o := range orders {
		f.queue = append(f.queue, queuedOrder{service, o, !first})
	}
}

func (f *Former) demand() map[garnetworks.ModelName]float64 {
	if f.options.Demand == nil {
		return nil
	}
	return f.options.Demand()
}

func (f *Former) progressing() garnetworks.Set[garnetworks.GroupID] {
	if f.options.Progressing == nil {
		return nil
	}
	return f.options.Progressing()
}
