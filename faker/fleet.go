package faker

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/garnetworks/garnetworks"
)

// Fleet is a set of engines that know each other as members of groups. It
// implements garnetworks.EngineOrders, CacheEvents and EngineCaller in process,
// by the engines' addresses.
type Fleet struct {
	// Store is where the engines load weights from; nil loads them at once.
	Store *WeightStore
	// List is told of instances that come and go; nil tells none.
	List *InstanceList
	// Silence is how long the in-process caller waits on a silent call before it
	// gives up, as an adapter would.
	Silence time.Duration

	ctx  context.Context
	stop context.CancelFunc

	// mu guards the state of all engines, because an engine looks at the members
	// of its group.
	mu              sync.Mutex
	engines         map[garnetworks.InstanceID]*Engine
	addresses       map[string]*Engine
	attempts        []Attempt
	droppedAttempts uint64
}

// Attempt is the record of one call that reached an engine, for oracles.
type Attempt struct {
	ID       garnetworks.CallID
	Call     garnetworks.CallID
	Instance garnetworks.InstanceID
	Group    garnetworks.GroupID
	Token    garnetworks.FencingToken
	At       time.Time
	// Refused says why the engine did not begin it; empty if it did.
	Refused string
	// MissingFor is how long a member had been missing when the call came; 0 if
	// none was.
	MissingFor time.Duration
}

const (
	defaultSilence = 3 * time.Second
	maxAttempts    = 1 << 18
)

// NewFleet returns a fleet without engines. Close ends its goroutines.
func NewFleet(store *WeightStore, list *InstanceList) *Fleet {
	ctx, stop := context.WithCancel(context.Background())
	return &Fleet{
		Store:     store,
		List:      list,
		Silence:   defaultSilence,
		ctx:       ctx,
		stop:      stop,
		engines:   make(map[garnetworks.InstanceID]*Engine),
		addresses: make(map[string]*Engine),
	}
}

// Close stops all engines.
func (f *Fleet) Close() {
	f.stop()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range f.engines {
		e.abortAll("the fleet was closed")
	}
}

// Add enters an engine and reports it to the list if it is on.
func (f *Fleet) Add(spec EngineSpec) *Engine {
	e := newEngine(f, spec)
	f.mu.Lock()
	f.engines[spec.ID] = e
	f.addresses[e.spec.Address] = e
	f.mu.Unlock()
	if spec.On {
		f.report(e.spec.ListedInstance)
	}
	return e
}

// Engine returns an engine, or nil if there is none.
func (f *Fleet) Engine(id garnetworks.InstanceID) *Engine {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.engines[id]
}

// Engines returns all engines by instance.
func (f *Fleet) Engines() []*Engine {
	f.mu.Lock()
	defer f.mu.Unlock()
	engines := make([]*Engine, 0, len(f.engines))
	for _, e := range f.engines {
		engines = append(engines, e)
	}
	slices.SortFunc(engines, func(a, b *Engine) int { return cmp.Compare(a.spec.ID, b.spec.ID) })
	return engines
}

// Draw returns the watts of all instances that are not off.
func (f *Fleet) Draw() garnetworks.Watts {
	f.mu.Lock()
	defer f.mu.Unlock()
	var sum garnetworks.Watts
	for _, e := range f.engines {
		if e.power.Draws() {
			sum += e.spec.Watts
		}
	}
	return sum
}

// Attempts returns the calls that reached engines, in order. Only the first
// 2^18 are kept; lost counts the rest.
func (f *Fleet) Attempts() (attempts []Attempt, lost uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.attempts), f.droppedAttempts
}

func (f *Fleet) record(a Attempt) {
	if len(f.attempts) == maxAttempts {
		f.droppedAttempts++
		return
	}
	f.attempts = append(f.attempts, a)
}

func (f *Fleet) report(row garnetworks.ListedInstance) {
	if f.List != nil {
		f.List.Report(row)
	}
}

// setAddress gives an engine another address, once its listener is known.
func (f *Fleet) setAddress(e *Engine, address string) {
	f.mu.Lock()
	delete(f.addresses, e.spec.Address)
	e.spec.Address = address
	f.addresses[address] = e
	row, on := e.spec.ListedInstance, e.power == garnetworks.PowerOn
	f.mu.Unlock()
	if on {
		f.report(row)
	}
}

func (f *Fleet) engineAt(address string) *Engine {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.addresses[address]
}

func errNoEngine(address string) error {
	return garnetworks.Errorf(garnetworks.KindUnreachable, "no engine answers at %s", address)
}

// Order implements garnetworks.EngineOrders.
func (f *Fleet) Order(ctx context.Context, address string, order garnetworks.EngineOrder) (garnetworks.EngineStatus, error) {
	e := f.engineAt(address)
	if e == nil {
		return garnetworks.EngineStatus{}, errNoEngine(address)
	}
	return e.Order(ctx, order)
}

// Status implements garnetworks.EngineOrders.
func (f *Fleet) Status(ctx context.Context, address string) (garnetworks.EngineStatus, error) {
	e := f.engineAt(address)
	if e == nil {
		return garnetworks.EngineStatus{}, errNoEngine(address)
	}
	return e.Status(ctx)
}

// CacheEvents implements garnetworks.CacheEvents.
func (f *Fleet) CacheEvents(ctx context.Context, address string, after uint64) ([]garnetworks.CacheEvent, error) {
	e := f.engineAt(address)
	if e == nil {
		return nil, errNoEngine(address)
	}
	return e.CacheEvents(ctx, after)
}

// Generate implements garnetworks.EngineCaller.
func (f *Fleet) Generate(ctx context.Context, address string, call *garnetworks.EngineCall) (garnetworks.EngineStream, error) {
	e := f.engineAt(address)
	if e == nil {
		return nil, &garnetworks.AttemptError{Phase: garnetworks.PhaseConnect, Cause: errNoEngine(address)}
	}
	return e.Generate(ctx, call)
}
