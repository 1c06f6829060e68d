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
	planEvery = 200 * time.Millisecond
	// planRest is the least time between two plans. It joins changes that come together,
	// and is small beside the second that a repair takes.
	planRest = 10 * time.Millisecond
	// restFactor is the rest after a plan in parts of the time that the plan took, so that
	// plans take a fifth of the node's processor at most.
	restFactor = 4
	// firstLoadTime is the time from the site's first start in which loads don't
	// count against the weight store's rate, since no call has come yet.
	firstLoadTime = 9 * time.Second
	// settleTime is how long no further server may have registered before groups
	// are formed at the site's first start, and settleMost bounds that wait.
	//
	// Failure: servers register one after the other within some seconds. Groups
	// formed of the first ones are all of the smallest model, and the others find
	// no domain with enough instances left. 162 engines take 4.1 s; with settleMost,
	// the load of the first groups (a tenth of the usual time) and their opening they
	// serve 8 s after the start, before the first calls at 10 s or more.
	settleTime = 350 * time.Millisecond
	settleMost = 6 * time.Second
	// loadRatePart is the part of the weight store's rate that is used: orders
	// that are carried out late may bring loads together.
	loadRatePart = 0.9
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
	Moving func() garnetworks.Set[garnetworks.GroupID]
	// Work returns the number of calls of each model that are or could be running at the
	// site; it may be nil.
	Work func() map[garnetworks.ModelName]float64
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
	answers  chan answered
	suspects chan garnetworks.GroupID
	changed  <-chan struct{}
	// queue holds the newest plan's orders that wait to be sent.
	queue       []queuedOrder
	orderFlight flight
	// stale says that something has changed since the last plan, and rested from when
	// on the next one may be made.
	stale  bool
	rested time.Time
	// planned is the view that the newest plan was made from.
	planned follower.Servers
	loads   loadBudget
	// sending counts the orders in flight.
	sending sync.WaitGroup
	term    uint32
	// held is when this node took the lease.
	held time.Time
	// count is the number of registered servers, and grown when it last rose.
	count int
	grown time.Time
}

// New returns the duty; it is called before the follower runs.
func New(options Options) *Former {
	const ring = 1024
	f := &Former{
		options:  options,
		started:  time.Now(),
		planners: make(map[garnetworks.ServiceName]*Planner),
		prober:   newProber(ring),
		answers:  make(chan answered, ring),
		suspects: make(chan garnetworks.GroupID, ring),
		changed:  options.Follower.Changed(),

		orderFlight: newFlight(),
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
	ticker := time.NewTicker(planEvery)
	defer ticker.Stop()
	rest := time.NewTimer(0)
	defer rest.Stop()
	for {
		select {
		case <-ctx.Done():
			f.sending.Wait()
			return nil
		case <-ticker.C:
			f.stale = true
		case <-f.changed:
			f.stale = true
		case <-f.options.Lease.Changed():
			f.stale = true
		case <-rest.C:
		case a := <-f.answers:
			f.take(a)
		case p := <-f.results:
			f.takeProbe(p)
		case id := <-f.suspects:
			f.suspect(id)
		}
		f.drain()
		if f.stale && !time.Now().Before(f.rested) {
			f.replan()
			rest.Reset(time.Until(f.rested))
		}
		f.dispatch(ctx)
		f.dispatchProbes(ctx)
	}
}

// drain takes all answers that are there, so that one plan serves them.
func (f *Former) drain() {
	for {
		select {
		case a := <-f.answers:
			f.take(a)
		case p := <-f.results:
			f.takeProbe(p)
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
	f.stale = false
	f.plan()
	took := time.Since(began)
	f.rested = time.Now().Add(min(planEvery, max(planRest, restFactor*took)))
}

// plan queues the orders that are due.
func (f *Former) plan() {
	now := time.Now()
	term := f.options.Lease.Term(now)
	f.queue = f.queue[:0]
	if term != f.term {
		f.term, f.held, f.loads = term, now, loadBudget{}
		if term != 0 {
			f.options.Follower.RefreshServers()
		}
	}
	x := f.options.Follower.Index()
	// Failure: a view from before the lease shows engines as free that the last
	// holder has ordered into a group since. So a new holder reads the store first.
	if term == 0 || f.options.Follower.ServersConfirmed().Before(f.held) || x == nil || !f.options.Follower.Ready() {
		f.lost.Store(nil)
		return
	}
	servers := f.options.Follower.Servers()
	if !f.settled(now, len(servers)) {
		f.lost.Store(nil)
		return
	}
	f.planned = servers
	f.forget(servers)
	f.noteLost(servers)
	f.probeDark(servers)
	f.probeDoubted(servers)
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
func (f *Former) noteLost(servers follower.Servers) {
	moving := f.moving()
	lost := make(garnetworks.Set[garnetworks.GroupID])
	for life := range f.dark {
		if s, ok := serverOf(servers, life); ok && s.Membership.Group != "" && !moving.Has(s.Membership.Group) {
			lost.Add(s.Membership.Group)
		}
	}
	list := slices.Sorted(maps.Keys(lost))
	f.lost.Store(&list)
}

// settled reports whether the servers that start with the site have registered.
func (f *Former) settled(now time.Time, count int) bool {
	if count > f.count {
		f.grown = now
	}
	f.count = count
	if !f.options.FirstStart || now.Sub(f.started) > settleMost {
		return true
	}
	return count > 0 && now.Sub(f.grown) >= settleTime
}

func (f *Former) planService(now time.Time, term uint32, servers follower.Servers, service garnetworks.ServiceName, profile *garnetworks.EngineProfile) {
	p := f.planners[service]
	if p == nil {
		p = NewPlanner()
		f.planners[service] = p
	}
	f.loads.configure(profile, *f.bounds.Load())
	loads := f.loads.left(now)
	first := f.options.FirstStart && now.Sub(f.started) < firstLoadTime
	if first {
		loads = len(servers)
	}
	orders := p.Plan(now, Input{
		Servers: servers, Service: service, Profile: profile, Dark: f.dark,
		Term: term, Loads: loads, Unhurried: first, Moving: f.moving(), Work: f.work(),
	})
	for _, o := range orders {
		f.queue = append(f.queue, queuedOrder{service, o, !first})
	}
}

func (f *Former) work() map[garnetworks.ModelName]float64 {
	if f.options.Work == nil {
		return nil
	}
	return f.options.Work()
}

func (f *Former) moving() garnetworks.Set[garnetworks.GroupID] {
	if f.options.Moving == nil {
		return nil
	}
	return f.options.Moving()
}
