package former

import (
	"context"
	"fmt"
	"maps"
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
	// probeTime bounds a probe. An engine that lives answers within some
	// milliseconds, whatever its load.
	probeTime = 150 * time.Millisecond
	// probeTries is the number of probes in a row without an answer after which
	// an instance counts as dark.
	probeTries = 2
	// darkProbeEvery is the time between two probes of a dark instance.
	darkProbeEvery = 700 * time.Millisecond
	// suspectEvery bounds the probes that suspicions of one group cause.
	suspectEvery = 400 * time.Millisecond
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
	// Recorder is told of orders and of what is believed of instances.
	Recorder garnetworks.Recorder
}

// Former forms the groups of all services while it holds the lease.
type Former struct {
	options  Options
	bounds   atomic.Pointer[garnetworks.SiteBounds]
	started  time.Time
	planners map[garnetworks.ServiceName]*Planner
	answers  chan answered
	probes   chan probed
	suspects chan garnetworks.GroupID
	changed  <-chan struct{}
	dark     garnetworks.Set[garnetworks.Life]
	// doubted instances did not answer an order and are to be probed.
	doubted garnetworks.Set[garnetworks.Life]
	misses  map[garnetworks.Life]int
	probing map[garnetworks.Life]time.Time
	asked   map[garnetworks.GroupID]time.Time
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

type answered struct {
	service garnetworks.ServiceName
	order   garnetworks.GroupOrder
	err     error
}

type probed struct {
	life garnetworks.Life
	err  error
}

// New returns the duty; it is called before the follower runs.
func New(options Options) *Former {
	const ring = 1024
	f := &Former{
		options:  options,
		started:  time.Now(),
		planners: make(map[garnetworks.ServiceName]*Planner),
		answers:  make(chan answered, ring),
		probes:   make(chan probed, ring),
		suspects: make(chan garnetworks.GroupID, ring),
		changed:  options.Follower.Changed(),
		dark:     make(garnetworks.Set[garnetworks.Life]),
		doubted:  make(garnetworks.Set[garnetworks.Life]),
		misses:   make(map[garnetworks.Life]int),
		probing:  make(map[garnetworks.Life]time.Time),
		asked:    make(map[garnetworks.GroupID]time.Time),
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
	for {
		select {
		case <-ctx.Done():
			f.sending.Wait()
			return nil
		case <-ticker.C:
		case <-f.changed:
		case <-f.options.Lease.Changed():
		case a := <-f.answers:
			f.take(a)
		case p := <-f.probes:
			f.takeProbe(p)
		case id := <-f.suspects:
			f.suspect(ctx, id)
		}
		f.drain()
		f.plan(ctx)
	}
}

// drain takes all answers that are there, so that one plan serves them.
func (f *Former) drain() {
	for {
		select {
		case a := <-f.answers:
			f.take(a)
		case p := <-f.probes:
			f.takeProbe(p)
		default:
			return
		}
	}
}

func (f *Former) take(a answered) {
	if p := f.planners[a.service]; p != nil {
		p.Answered(time.Now(), a.order, a.err)
	}
	if garnetworks.IsKind(a.err, garnetworks.KindUnreachable, garnetworks.KindAnswerLost) {
		f.doubt(a.order.Life)
	}
	if a.err != nil {
		f.record(garnetworks.EventOrderRefused, &a.order, a.err)
	}
}

// doubt notes that an instance did not answer an order. Only probes tell whether it
// is dark: orders get lost, or are carried out late, at instances that serve well,
// and a group that is given up for that is lost for nothing.
func (f *Former) doubt(id garnetworks.Life) {
	if len(f.doubted) < cap(f.answers) {
		f.doubted.Add(id)
	}
}

func (f *Former) miss(id garnetworks.Life) {
	f.misses[id]++
	if f.misses[id] >= probeTries && !f.dark.Has(id) {
		f.dark.Add(id)
		f.options.Recorder.Record(garnetworks.Event{Kind: garnetworks.EventInstanceSilent, Instance: id.Instance, Detail: fmt.Sprintf("%d probes in a row without an answer", f.misses[id])})
	}
}

func (f *Former) takeProbe(p probed) {
	if p.err == nil {
		if f.dark.Has(p.life) {
			f.options.Recorder.Record(garnetworks.Event{Kind: garnetworks.EventInstanceAnswers, Instance: p.life.Instance})
		}
		f.dark.Remove(p.life)
		delete(f.misses, p.life)
		return
	}
	if garnetworks.IsKind(p.err, garnetworks.KindNotFound) {
		// Another life, or another engine, answers at the address: the one that was
		// asked has ended, and a second probe would say the same.
		f.misses[p.life] = probeTries
	}
	f.miss(p.life)
}

// suspect probes the members of a group twice.
func (f *Former) suspect(ctx context.Context, id garnetworks.GroupID) {
	now := time.Now()
	if f.options.Lease.Term(now) == 0 || now.Sub(f.asked[id]) < suspectEvery {
		return
	}
	f.asked[id] = now
	f.options.Recorder.Record(garnetworks.Event{Kind: garnetworks.EventGroupSuspected, Group: id, Detail: "no events for a while, or a refusal; its members are probed"})
	for _, s := range f.options.Follower.Servers() {
		if s.Member.Group == id {
			f.probe(ctx, s, probeTries)
		}
	}
}

// probe asks an instance up to tries times, until it answers.
func (f *Former) probe(ctx context.Context, s garnetworks.RegisteredServer, tries int) {
	if time.Since(f.probing[s.Life()]) < probeTime*time.Duration(tries) {
		return
	}
	f.probing[s.Life()] = time.Now()
	go func() {
		for range tries {
			call, cancel := context.WithTimeout(ctx, probeTime)
			err := f.options.Orders.Probe(call, s.Address, s.Life())
			cancel()
			if ctx.Err() != nil {
				return
			}
			f.probes <- probed{s.Life(), err}
			if err == nil {
				return
			}
		}
	}()
}

// plan sends the orders that are due.
func (f *Former) plan(ctx context.Context) {
	now := time.Now()
	term := f.options.Lease.Term(now)
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
		return
	}
	servers := f.options.Follower.Servers()
	if !f.settled(now, len(servers)) {
		return
	}
	f.forget(servers)
	f.probeDark(ctx, servers)
	f.probeDoubted(ctx, servers)
	for i := range x.Services {
		if profile, ok := x.Services[i].Engines.Get(); ok {
			f.planService(ctx, now, term, servers, x.Services[i].Name, &profile)
		}
	}
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

func (f *Former) planService(ctx context.Context, now time.Time, term uint32, servers follower.Servers, service garnetworks.ServiceName, profile *garnetworks.EngineProfile) {
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
		Term: term, Loads: loads, Unhurried: first, Moving: f.moving(),
	})
	for _, o := range orders {
		if !first {
			f.loads.count(&o, servers)
		}
		f.send(ctx, service, o)
	}
}

func (f *Former) moving() garnetworks.Set[garnetworks.GroupID] {
	if f.options.Moving == nil {
		return nil
	}
	return f.options.Moving()
}

// send sends one order beside the others (rule O4).
func (f *Former) send(ctx context.Context, service garnetworks.ServiceName, o garnetworks.GroupOrder) {
	call, cancel, err := f.options.Lease.OrderContext(ctx)
	if err != nil {
		f.record(garnetworks.EventOrderRefused, &o, err)
		return
	}
	f.record(garnetworks.EventOrderSent, &o, nil)
	f.sending.Add(1)
	go func() {
		defer f.sending.Done()
		defer cancel()
		f.answers <- answered{service, o, f.options.Orders.SendOrder(call, o)}
	}()
}

// record tells what became of an order.
func (f *Former) record(kind garnetworks.EventKind, o *garnetworks.GroupOrder, err error) {
	detail := string(o.Kind)
	if o.Model != "" {
		detail += " " + string(o.Model)
	}
	if err != nil {
		detail += ": " + err.Error()
	}
	f.options.Recorder.Record(garnetworks.Event{Kind: kind, Instance: o.Life.Instance, Group: o.Group, Error: garnetworks.KindOf(err), Detail: detail})
}

// probeDark asks dark instances whether they are back.
func (f *Former) probeDark(ctx context.Context, servers follower.Servers) {
	for id := range f.dark {
		if s, ok := serverOf(servers, id); ok && time.Since(f.probing[id]) >= darkProbeEvery {
			f.probe(ctx, s, 1)
		}
	}
}

// probeDoubted asks the instances that did not answer an order whether they live.
func (f *Former) probeDoubted(ctx context.Context, servers follower.Servers) {
	for id := range f.doubted {
		if s, ok := serverOf(servers, id); ok {
			f.probe(ctx, s, probeTries)
		}
	}
	clear(f.doubted)
}

// forget drops what is known of instances that are not registered any more.
func (f *Former) forget(servers follower.Servers) {
	gone := func(id garnetworks.Life) bool { _, ok := serverOf(servers, id); return !ok }
	maps.DeleteFunc(f.dark, func(id garnetworks.Life, _ struct{}) bool { return gone(id) })
	maps.DeleteFunc(f.misses, func(id garnetworks.Life, _ int) bool { return gone(id) })
	maps.DeleteFunc(f.probing, func(id garnetworks.Life, _ time.Time) bool { return gone(id) })
	// Groups come and go; those asked about long ago matter no more.
	maps.DeleteFunc(f.asked, func(_ garnetworks.GroupID, at time.Time) bool { return time.Since(at) > time.Minute })
}
