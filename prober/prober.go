package prober

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/garnetworks/garnetworks"
)

// Defaults of Options.
const (
	// DefaultTimeout ends a probe before the next one begins, so that a node has at most
	// one probe of an instance in flight.
	DefaultTimeout = 800 * time.Millisecond
	// resultsBuffer is the capacity of the channel of results: two rounds of 300 targets.
	resultsBuffer = 600
)

// Options configure a Prober. Node and Orders are required.
type Options struct {
	// Node is the node that runs the prober.
	Node garnetworks.NodeID
	// Peers sends confirmations to the other nodes of the zone; without it the node sends
	// none.
	Peers garnetworks.Option[garnetworks.ConfirmCaller]
	// Orders reads the status of engines.
	Orders garnetworks.EngineOrders
	// Recorder may be nil.
	Recorder garnetworks.Recorder
	// Table stores the results; nil creates a new one.
	Table *Table
	// Interval is the time between two probes of a target; 0 means
	// garnetworks.ProbeInterval.
	Interval time.Duration
	// Timeout limits the time of one probe; 0 means DefaultTimeout.
	Timeout time.Duration
	// Random returns values in [0, 1); nil means the system's generator.
	Random func() float64
}

// Prober probes the instances that are assigned to its node. It probes all of them at once, at
// a time of the interval with random jitter, so that the results are recent when they are sent
// to peers and the rounds of different nodes are spread out.
type Prober struct {
	options  Options
	exchange *Exchange
	// sendNow holds a token if a confirmation has changed since the last send.
	sendNow chan struct{}
	results chan garnetworks.ProbeResult
	dropped atomic.Uint64

	mu       sync.Mutex
	nodes    []garnetworks.NodeInfo
	targets  []Target
	assigned []Target
	failing  garnetworks.Set[garnetworks.InstanceID]
	changed  map[garnetworks.InstanceID]struct{}
}

// New returns a prober that has no targets until SetRoster and SetTargets are called.
func New(options Options) *Prober {
	if options.Interval <= 0 {
		options.Interval = garnetworks.ProbeInterval
	}
	if options.Timeout <= 0 {
		options.Timeout = DefaultTimeout
	}
	if options.Random == nil {
		options.Random = rand.Float64
	}
	if options.Table == nil {
		options.Table = NewTable()
	}
	return &Prober{
		options:  options,
		exchange: NewExchange(options.Node, time.Now(), options.Table),
		sendNow:  make(chan struct{}, 1),
		results:  make(chan garnetworks.ProbeResult, resultsBuffer),
		failing:  garnetworks.NewSet[garnetworks.InstanceID](),
		changed:  make(map[garnetworks.InstanceID]struct{}),
	}
}

// Table returns the table that stores the results.
func (p *Prober) Table() *Table { return p.options.Table }

// SetRoster sets the entry nodes of all zones. Unchanged nodes cost little.
func (p *Prober) SetRoster(nodes []garnetworks.NodeInfo) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if slices.Equal(nodes, p.nodes) {
		return
	}
	p.nodes = slices.Clone(nodes)
	p.reassign()
}

// SetTargets sets the engine instances of the node's zone, or of all zones. Unchanged targets
// cost little.
func (p *Prober) SetTargets(targets []Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if slices.Equal(targets, p.targets) {
		return
	}
	p.targets = slices.Clone(targets)
	p.reassign()
	known := garnetworks.NewSet[garnetworks.InstanceID]()
	for _, t := range targets {
		known.Add(t.Instance)
	}
	p.options.Table.Keep(known)
}

// reassign computes the assignment after a change of nodes or targets. The caller holds mu.
func (p *Prober) reassign() {
	p.assigned = Assigned(p.options.Node, p.nodes, p.targets)
	p.exchange.SetTopology(p.nodes, p.targets)
}

// Assigned returns the targets that the node currently probes.
func (p *Prober) Assigned() []Target {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.assigned)
}

// Results returns the channel of the node's own results. If the channel is full, results are
// dropped from it and counted by Dropped; the table has them all.
func (p *Prober) Results() <-chan garnetworks.ProbeResult { return p.results }

// Dropped returns the number of results dropped because the channel was full.
func (p *Prober) Dropped() uint64 { return p.dropped.Load() }

// TakeChanges returns the results whose confirmation has changed since the last call, sorted by
// instance, with their ages at now.
func (p *Prober) TakeChanges(now time.Time) []garnetworks.ProbeResult {
	p.mu.Lock()
	defer p.mu.Unlock()
	results := make([]garnetworks.ProbeResult, 0, len(p.changed))
	for id := range p.changed {
		if s, at, ok := p.options.Table.Status(id); ok {
			results = append(results, garnetworks.ProbeResult{Status: s, Age: now.Sub(at)})
		}
	}
	clear(p.changed)
	slices.SortFunc(results, func(a, b garnetworks.ProbeResult) int {
		return cmp.Compare(a.Status.Instance, b.Status.Instance)
	})
	return results
}

// Run probes and sends to the peers until ctx ends, and returns ctx's error.
func (p *Prober) Run(ctx context.Context) error {
	var running sync.WaitGroup
	defer running.Wait()
	roundStarted := make(chan struct{}, 1)
	running.Go(func() { p.sendLoop(ctx, roundStarted) })
	wait := time.Duration(p.options.Random() * float64(p.options.Interval))
	for {
		sleep(ctx, wait)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		for _, t := range p.Assigned() {
			running.Go(func() { p.probe(ctx, t) })
		}
		signal(roundStarted)
		wait = p.nextRoundDelay()
	}
}

// signal sends a token to a channel of capacity 1 unless it holds one.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// sleep waits for d or the end of ctx.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// nextRoundDelay returns the time until the next round: the interval minus up to a tenth of
// jitter, so that the rounds of different nodes do not stay synchronized and two probes are
// never further apart than the interval.
func (p *Prober) nextRoundDelay() time.Duration {
	const jitter = 0.1
	return time.Duration(float64(p.options.Interval) * (1 - jitter*p.options.Random()))
}

// probe probes one target and handles the result.
func (p *Prober) probe(ctx context.Context, t Target) {
	sent := time.Now() // rule P2: before the probe, not after its response
	call, cancel := context.WithTimeout(ctx, p.options.Timeout)
	defer cancel()
	status, err := p.options.Orders.Status(call, t.Address)
	if ctx.Err() != nil {
		return
	}
	if err == nil && status.Instance != t.Instance {
		// After a replacement another instance can have the address; its status says nothing
		// about the target.
		err = garnetworks.Errorf(garnetworks.KindUnreachable, "%s answered at %s in place of %s", status.Instance, t.Address, t.Instance)
	}
	if now := time.Now(); err == nil && clockJumped(0, now.Round(0).Sub(sent.Round(0)), now.Sub(sent)) {
		// The machine was suspended during the probe, so its age is unknown.
		err = garnetworks.Errorf(garnetworks.KindResponseLost, "the clock jumped during the probe")
	}
	result := garnetworks.ProbeResult{Status: status}
	if err != nil {
		result = garnetworks.ProbeResult{Status: garnetworks.EngineStatus{Instance: t.Instance}, Failed: true}
	}
	p.handleResult(sent, t, result, err)
}

// handleResult merges a result, records changes, and adds it to the channel of results.
func (p *Prober) handleResult(sent time.Time, t Target, result garnetworks.ProbeResult, err error) {
	result.Age = time.Since(sent)
	changed := p.options.Table.Merge(sent.Add(result.Age), []garnetworks.ProbeResult{result})
	p.mu.Lock()
	for _, id := range changed {
		p.changed[id] = struct{}{}
		signal(p.sendNow)
	}
	failedBefore := p.failing.Has(t.Instance)
	p.failing.Remove(t.Instance)
	if err != nil {
		p.failing.Add(t.Instance)
	}
	p.mu.Unlock()
	p.record(t, failedBefore, err)
	select {
	case p.results <- result:
	default:
		p.dropped.Add(1)
	}
}

// record records an event when a target begins or stops answering.
func (p *Prober) record(t Target, failedBefore bool, err error) {
	if p.options.Recorder == nil || failedBefore == (err != nil) {
		return
	}
	event := garnetworks.Event{Kind: garnetworks.EventMemberReturned, Zone: t.Zone, Instance: t.Instance, Detail: "probe answered"}
	if err != nil {
		event.Kind = garnetworks.EventMemberLost
		event.Error = garnetworks.KindOf(err)
		event.Detail = "probe failed"
	}
	p.options.Recorder.Record(event)
}

// Check probes an address now, on a new connection if the prober's EngineOrders opens one for
// each status call. It distinguishes a dead connection from a slow engine: if the engine
// answers here while a call on an open connection makes no progress, the connection is dead.
func (p *Prober) Check(ctx context.Context, address string) (garnetworks.EngineStatus, error) {
	call, cancel := context.WithTimeout(ctx, p.options.Timeout)
	defer cancel()
	return p.options.Orders.Status(call, address)
}
