package controller

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/leaser"
)

// Zone runs an availability zone's controller. Any number of nodes run one for the same
// zone; the holder of the lease acts.
type Zone struct {
	options Options
	lease   *leaser.Lease
	state   *ZoneState
	jobs    chan job
	results chan result
}

// job is a call that a worker makes; its result is applied by the loop, so that only
// one goroutine accesses the state.
type (
	job    func(ctx context.Context) result
	result func(s *ZoneState)
)

const (
	// workers bounds the calls in flight.
	workers = 32
	// callTimeout bounds a call to the platform other than an order.
	callTimeout = 3 * time.Second
	// yieldPeriod is how long an isolated node leaves the lease to others.
	yieldPeriod = 30 * time.Second
)

// NewZone returns a zone controller that starts when Run is called.
func NewZone(options Options) (*Zone, error) {
	if err := options.check(); err != nil {
		return nil, err
	}
	if options.Times.Tick == 0 {
		options.Times = DefaultTimes()
	}
	lease, err := leaser.New(leaser.Options{
		Self:     options.Node,
		Key:      ZoneLeaseKey(options.Zone),
		Objects:  options.Objects,
		Settings: options.Lease,
		Recorder: options.Recorder,
		Zone:     options.Zone,
	})
	if err != nil {
		return nil, err
	}
	return &Zone{
		options: options,
		lease:   lease,
		state:   NewZoneState(options.Zone, options.Times),
		jobs:    make(chan job, workers),
		results: make(chan result, workers),
	}, nil
}

// Lease returns the zone's lease, for status pages and for SetContenders.
func (z *Zone) Lease() *leaser.Lease { return z.lease }

// Run contends for the zone's lease and controls the zone while holding it, until ctx
// ends. It then ends all calls before it releases the lease.
func (z *Zone) Run(ctx context.Context) error {
	leaseCtx, stopLease := context.WithCancel(context.WithoutCancel(ctx))
	var lease, pool sync.WaitGroup
	lease.Go(func() { _ = z.lease.Run(leaseCtx) })
	for range workers {
		pool.Go(func() { z.work(ctx) })
	}
	z.loop(ctx)
	pool.Wait()
	stopLease()
	lease.Wait()
	return nil
}

func (z *Zone) work(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case j := <-z.jobs:
			r := j(ctx)
			select {
			case z.results <- r:
			case <-ctx.Done():
				return
			}
		}
	}
}

func (z *Zone) loop(ctx context.Context) {
	ticker := time.NewTicker(z.options.Times.Tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case r := <-z.results:
			r(z.state)
		case <-ticker.C:
			z.tick(ctx)
		case <-z.lease.Changed():
			z.tick(ctx)
		}
	}
}

func (z *Zone) tick(ctx context.Context) {
	now := time.Now()
	term := z.lease.Term(now)
	if term == 0 && z.state.Phase == PhaseStandby {
		return
	}
	z.carryOut(ctx, z.state.Step(z.observe(now, term)))
}

func (z *Zone) observe(now time.Time, term uint32) Observation {
	o := Observation{Now: now, Term: term, Contested: z.lease.Contested()}
	o.Manifest, _ = z.options.Manifest.Manifest()
	if z.options.Slowdowns != nil {
		o.Slowdowns = z.options.Slowdowns()
	}
	if z.options.Others != nil {
		o.Others = z.options.Others()
	}
	o.Statuses = map[garnetworks.InstanceID]TimedStatus{}
	for _, id := range z.state.knownInstances() {
		if status, at, ok := z.options.Statuses.Status(id); ok {
			o.Statuses[id] = TimedStatus{status, at}
		}
	}
	return o
}

// knownInstances returns the instances of the zone's domains.
func (s *ZoneState) knownInstances() []garnetworks.InstanceID {
	var ids []garnetworks.InstanceID
	for _, d := range s.Domains {
		for n := range d.Decided.Instances {
			ids = append(ids, d.Decided.Instances[n].ID)
		}
	}
	return ids
}

func (z *Zone) carryOut(ctx context.Context, e Effects) {
	for _, event := range e.Events {
		z.record(event)
	}
	if view, ok := e.View.Get(); ok && z.options.Publish != nil {
		z.state.sequence++
		z.options.Publish(garnetworks.UpdateVersion{Term: z.state.Term, Sequence: z.state.sequence}, view)
	}
	z.callObjects(ctx, e)
	z.callPlatform(ctx, e)
	z.callEngines(ctx, e)
	if e.RaiseFloor > 0 {
		z.lease.RaiseFloor(e.RaiseFloor)
	}
	if e.YieldLease {
		z.lease.Yield(yieldPeriod)
	}
}

func (z *Zone) record(event garnetworks.Event) {
	if z.options.Recorder != nil {
		z.options.Recorder.Record(event)
	}
}

// enqueue hands a job to the workers. While they are all busy it applies results, so that
// the loop and the workers cannot deadlock.
func (z *Zone) enqueue(ctx context.Context, j job) {
	for {
		select {
		case z.jobs <- j:
			return
		case r := <-z.results:
			r(z.state)
		case <-ctx.Done():
			return
		}
	}
}

func (z *Zone) callObjects(ctx context.Context, e Effects) {
	term := z.state.Term
	if e.ListDomains {
		z.enqueue(ctx, z.listDomains)
	}
	for _, r := range e.Reads {
		z.enqueue(ctx, func(ctx context.Context) result { return z.read(ctx, term, r) })
	}
	for _, w := range e.Writes {
		z.enqueue(ctx, func(ctx context.Context) result { return z.write(ctx, term, w) })
	}
	if e.ReadLedger {
		z.enqueue(ctx, z.readLedger)
	}
}

func (z *Zone) listDomains(ctx context.Context) result {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	objects, _, err := z.options.Objects.List(ctx, DomainsPrefix(z.options.Zone))
	return func(s *ZoneState) {
		if err := s.OnDomains(time.Now(), objects, err); err != nil {
			z.recordAPIError(err)
		}
	}
}

func (z *Zone) recordAPIError(err error) {
	z.record(garnetworks.Event{Kind: garnetworks.EventObjectAPIDown, Zone: z.options.Zone, Error: garnetworks.KindOf(err), Detail: err.Error()})
}

func (z *Zone) read(ctx context.Context, term uint32, r Read) result {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	object, err := z.options.Objects.Get(ctx, r.Key)
	return func(s *ZoneState) { _ = s.OnRead(time.Now(), term, r.Key, object, err) }
}

func (z *Zone) write(ctx context.Context, term uint32, w Write) result {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	revision, err := z.options.Objects.Put(ctx, w.Key, w.Value, w.After)
	return func(s *ZoneState) { s.OnWrite(time.Now(), term, w.Key, revision, err) }
}

func (z *Zone) readLedger(ctx context.Context) result {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	object, err := z.options.Objects.Get(ctx, LedgerKey)
	var ledger garnetworks.PowerLedger
	if err == nil {
		err = json.Unmarshal(object.Value, &ledger)
	}
	return func(s *ZoneState) { s.OnLedger(time.Now(), ledger, err) }
}

func (z *Zone) callPlatform(ctx context.Context, e Effects) {
	if e.ReadList {
		z.enqueue(ctx, z.readList)
	}
	if e.ReadRate {
		z.enqueue(ctx, z.readRate)
	}
	for _, p := range e.Power {
		z.enqueue(ctx, func(ctx context.Context) result { return z.power(ctx, p) })
	}
}

func (z *Zone) readList(ctx context.Context) result {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	rows, err := z.options.Instances.Instances(ctx, z.options.Zone)
	return func(s *ZoneState) { s.OnList(time.Now(), rows, err) }
}

func (z *Zone) readRate(ctx context.Context) result {
	if z.options.Weights == nil {
		return func(s *ZoneState) { s.OnRate(time.Now(), 0, nil) }
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	rate, err := z.options.Weights.Rate(ctx)
	return func(s *ZoneState) { s.OnRate(time.Now(), rate, err) }
}

// power sends a power order under the lease (C3), and reads the power state after an
// order to power off was acknowledged.
func (z *Zone) power(ctx context.Context, p PowerEffect) result {
	state := garnetworks.PowerUnknown
	orderCtx, cancel, err := z.lease.OrderContext(ctx)
	if err == nil {
		defer cancel()
		err = z.options.Power.SetPower(orderCtx, p.PowerOrder)
	}
	if err == nil && !p.On {
		state, err = z.options.Power.Power(orderCtx, p.Instance)
	}
	return func(s *ZoneState) { s.OnPower(time.Now(), p.PowerOrder, state, err) }
}

func (z *Zone) callEngines(ctx context.Context, e Effects) {
	for _, r := range e.ReadBacks {
		z.enqueue(ctx, func(ctx context.Context) result { return z.readBack(ctx, r) })
	}
	for _, o := range e.Orders {
		z.enqueue(ctx, func(ctx context.Context) result { return z.order(ctx, o) })
	}
}

func (z *Zone) readBack(ctx context.Context, r ReadBack) result {
	ctx, cancel := context.WithTimeout(ctx, z.options.Times.ReadBack)
	defer cancel()
	sent := time.Now()
	status, err := z.options.Orders.Status(ctx, r.Address)
	return func(s *ZoneState) { s.OnReadBack(sent, r.Instance, status, err) }
}

// order sends an engine order. The lease is checked immediately before, because the order
// may have waited here or the process may have been paused (rule G12).
func (z *Zone) order(ctx context.Context, o EngineEffect) result {
	orderCtx, cancel, err := z.orderContext(ctx, o)
	sent := time.Now()
	if err != nil {
		return func(s *ZoneState) { s.OnOrder(sent, o, garnetworks.EngineStatus{}, err) }
	}
	defer cancel()
	if !o.Retry {
		z.record(garnetworks.Event{
			Kind:     garnetworks.EventOrderSent,
			Zone:     z.options.Zone,
			Group:    o.Group,
			Instance: o.Instance,
			Detail:   string(o.Kind) + " under token " + o.Token.String(),
		})
	}
	status, err := z.options.Orders.Order(orderCtx, o.Address, o.EngineOrder)
	return func(s *ZoneState) { s.OnOrder(sent, o, status, err) }
}

func (z *Zone) orderContext(ctx context.Context, o EngineEffect) (context.Context, context.CancelFunc, error) {
	if !o.WithoutLease {
		return z.lease.OrderContext(ctx)
	}
	if z.lease.Contested() {
		return nil, nil, garnetworks.Errorf(garnetworks.KindLeaseLost, "another node holds the lease of %s", z.options.Zone)
	}
	orderCtx, cancel := context.WithTimeout(ctx, z.lease.OrderBound())
	return orderCtx, cancel, nil
}
