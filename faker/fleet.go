package faker

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/garnetworks/garnetworks"
)

// Fleet is a set of engines that can form groups. It implements garnetworks.EngineOrders,
// CacheEvents and EngineCaller in process, addressing engines by their Address.
type Fleet struct {
	// Store is the source of the engines' weights; if nil, weights load at once.
	Store *WeightStore
	// List, if not nil, is updated when instances start and stop.
	List *InstanceList
	// Silence is how long an in-process call waits on a silent engine before it fails, as an
	// adapter's stall timeout would.
	Silence time.Duration

	ctx  context.Context
	stop context.CancelFunc

	// mu guards the state of all engines, because an engine reads the state of the other
	// members of its group.
	mu              sync.Mutex
	engines         map[garnetworks.InstanceID]*Engine
	addresses       map[string]*Engine
	attempts        []Attempt
	droppedAttempts uint64
}

// Attempt records a call that reached an engine, for test oracles.
type Attempt struct {
	ID       garnetworks.CallID
	Call     garnetworks.CallID
	Instance garnetworks.InstanceID
	Group    garnetworks.GroupID
	Token    garnetworks.FencingToken
	At       time.Time
	// Refused is why the engine refused the call; empty if it accepted it.
	Refused string
	// MissingFor is how long a group member had been missing when the call arrived; 0 if none
	// was.
	MissingFor time.Duration
}

const (
	defaultSilence = 3 * time.Second
	maxAttempts    = 1 << 18 // recorded calls
)

// NewFleet returns a fleet without engines. Close stops its goroutines.
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

// Add adds an engine and, if it is powered on, reports it to the list.
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

// Engine returns the engine of an instance, or nil.
func (f *Fleet) Engine(id garnetworks.InstanceID) *Engine {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.engines[id]
}

// Engines returns all engines, sorted by instance.
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

// Draw returns the total power of all instances that are not off.
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

// Attempts returns the calls that reached engines, in order of arrival. Only the first
// maxAttempts are kept; dropped counts the others.
func (f *Fleet) Attempts() (attempts []Attempt, dropped uint64) {
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

// setAddress changes an engine's address and reports it to the list if it is powered on.
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
