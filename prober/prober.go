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
	// DefaultTimeout ends a probe before the next one begins, so that one
	// instance has one probe in flight from a node at most.
	DefaultTimeout = 800 * time.Millisecond
	// resultsBuffer bounds the channel of results: two rounds over 300 targets.
	resultsBuffer = 600
)

// Options configure a Prober.
type Options struct {
	// Node is the node that probes.
	Node garnetworks.NodeID
	// Peers sends results to the other nodes of the zone; without it the node
	// knows only what it probes itself.
	Peers garnetworks.Option[garnetworks.ConfirmCaller]
	// Orders reads engines' status.
	Orders garnetworks.EngineOrders
	// Recorder may be nil.
	Recorder garnetworks.Recorder
	// Table takes the results; nil makes a new one.
	Table *Table
	// Interval is the time between two probes of a target; 0 takes
	// garnetworks.ProbeInterval.
	Interval time.Duration
	// Timeout bounds one probe; 0 takes DefaultTimeout.
	Timeout time.Duration
	// Random returns values in [0, 1); nil takes the runtime's generator.
	Random func() float64
}

// Prober probes the instances that are assigned to its node. It probes all of
// them at one moment of the interval, chosen at random for each round, so that
// what it then tells its peers is young; the moments of different nodes differ.
type Prober struct {
	options  Options
	exchange *Exchange
	// word holds a token when a word has changed since the last telling.
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

// New returns a prober that probes nothing before SetRoster and SetTargets.
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

// Table returns the table that the results go to.
func (p *Prober) Table() *Table { return p.options.Table }

// SetRoster takes the entry nodes of all zones. Without a change it does little.
func (p *Prober) SetRoster(nodes []garnetworks.NodeInfo) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if slices.Equal(nodes, p.nodes) {
		return
	}
	p.nodes = slices.Clone(nodes)
	p.reassign()
}

// SetTargets takes the engine instances of the node's zone, or of all zones.
// Without a change it does little.
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

// arrange follows a change of nodes or targets; the caller holds mu.
func (p *Prober) reassign() {
	p.assigned = Assigned(p.options.Node, p.nodes, p.targets)
	p.exchange.SetTopology(p.nodes, p.targets)
}

// Assigned returns the targets that this node probes now.
func (p *Prober) Assigned() []Target {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.assigned)
}

// Results returns the channel of the node's own results. A reader that falls
// behind loses results, which Dropped counts; the table has them all.
func (p *Prober) Results() <-chan garnetworks.ProbeResult { return p.results }

// Dropped returns the number of results that found the channel full.
func (p *Prober) Dropped() uint64 { return p.dropped.Load() }

// TakeChanges returns the results whose word has changed since the last call, in order
// of instance, with their ages at now.
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

// Run probes and tells the peers until ctx ends, and returns ctx's error.
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

// signal puts a token into a channel that has room for one.
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

// pause returns the time to the next round: the interval with a tenth of
// jitter downwards, so that rounds of different nodes do not stay in step and
// no two probes lie further apart than the interval.
func (p *Prober) nextRoundDelay() time.Duration {
	const jitter = 0.1
	return time.Duration(float64(p.options.Interval) * (1 - jitter*p.options.Random()))
}

// probe asks one target and files the result.
func (p *Prober) probe(ctx context.Context, t Target) {
	sent := time.Now() // rule P2: before the probe, not after its answer
	call, cancel := context.WithTimeout(ctx, p.options.Timeout)
	defer cancel()
	status, err := p.options.Orders.Status(call, t.Address)
	if ctx.Err() != nil {
		return
	}
	if err == nil && status.Instance != t.Instance {
		// An address is given to another instance after a replacement; its answer
		// says nothing of the target.
		err = garnetworks.Errorf(garnetworks.KindUnreachable, "%s answered at %s in place of %s", status.Instance, t.Address, t.Instance)
	}
	if now := time.Now(); err == nil && clockJumped(0, now.Round(0).Sub(sent.Round(0)), now.Sub(sent)) {
		// The machine was suspended meanwhile, so the age can't be told.
		err = garnetworks.Errorf(garnetworks.KindResponseLost, "the clock jumped during the probe")
	}
	result := garnetworks.ProbeResult{Status: status}
	if err != nil {
		result = garnetworks.ProbeResult{Status: garnetworks.EngineStatus{Instance: t.Instance}, Failed: true}
	}
	p.handleResult(sent, t, result, err)
}

// file merges a result, notes its change, and passes it on.
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

// record puts the edges between answering and failing on the time line.
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

// Check probes one address now, on a connection of its own if the EngineOrders
// that the prober was given opens one for each status call. It tells a silent
// connection from a slow engine: if the engine answers here while a call on an
// open connection makes no progress, the connection is dead.
func (p *Prober) Check(ctx context.Context, address string) (garnetworks.EngineStatus, error) {
	call, cancel := context.WithTimeout(ctx, p.options.Timeout)
	defer cancel()
	return p.options.Orders.Status(call, address)
}
