package faker

import (
	"context"
	"slices"
	"time"

	"github.com/garnetworks/garnetworks"
)

// Fault methods of engines, for FaultPlan.Methods.
const (
	MethodOrder       = "order"
	MethodStatus      = "status"
	MethodCacheEvents = "cache-events"
	MethodGenerate    = "generate"
)

// EngineSpec describes an engine and its instance. A zero Slots, Queue, FirstToken,
// PerToken, CacheBlocks, State or Address selects the default; default times are short to
// keep tests fast.
type EngineSpec struct {
	garnetworks.ListedInstance
	Watts garnetworks.Watts
	// On starts the instance powered on.
	On bool
	// Boot is the time from power-on until the engine responds.
	Boot time.Duration
	// ChecksFencing makes the engine refuse orders with stale tokens (rule F5).
	ChecksFencing bool
	// Slots is the maximum batch size, Queue the maximum number of waiting calls.
	Slots int
	Queue int
	// FirstToken is the time to the first token for a call in the batch, plus PerBlock for
	// each prompt block that is not cached.
	FirstToken time.Duration
	PerBlock   time.Duration
	// PerToken is the time between two tokens of a response.
	PerToken time.Duration
	// CacheBlocks is the capacity of the prefix cache in blocks.
	CacheBlocks int
	// LoadLag is the maximum age of a reported load.
	LoadLag time.Duration
	// EventLag delays cache events. Every EventGap-th event is lost; 0 loses none.
	EventLag time.Duration
	EventGap uint64
}

const (
	defaultSlots       = 32 // calls in a batch
	defaultQueue       = 64 // waiting calls
	defaultFirstToken  = 20 * time.Millisecond
	defaultPerToken    = 5 * time.Millisecond
	defaultCacheBlocks = 256  // prefix blocks
	maxCacheEvents     = 4096 // events kept per engine
	maxPromptBlocks    = 64   // prefix blocks per prompt
)

// Engine is a fake model engine on one instance.
type Engine struct {
	Faults
	fleet *Fleet
	spec  EngineSpec

	// The fields below are guarded by fleet.mu.
	power        garnetworks.PowerState
	boot         uint64
	incarnation  uint64
	phase        garnetworks.EnginePhase
	group        garnetworks.GroupID
	token        garnetworks.FencingToken
	highestToken garnetworks.FencingToken
	members      []garnetworks.InstanceID
	model        garnetworks.ModelName
	version      garnetworks.VersionName
	adapters     []garnetworks.AdapterName
	weights      []garnetworks.WeightID
	lastOrder    string
	leaving      bool
	orders       int
	// loads are the weight loads in progress.
	loads    map[garnetworks.WeightID]*load
	slowdown float64
	// crashPrompt is the prompt that crashes the process; crashes counts these crashes.
	crashPrompt string
	crashes     int
	// downSince is when the engine stopped participating; zero while it participates.
	downSince time.Time
	batch     batch
	cache     cache
	lastLoad  garnetworks.EngineLoad
}

func newEngine(f *Fleet, spec EngineSpec) *Engine {
	setDefault(&spec.Slots, defaultSlots)
	setDefault(&spec.Queue, defaultQueue)
	setDefault(&spec.FirstToken, defaultFirstToken)
	setDefault(&spec.PerToken, defaultPerToken)
	setDefault(&spec.CacheBlocks, defaultCacheBlocks)
	setDefault(&spec.State, garnetworks.ListedLive)
	setDefault(&spec.Address, "engine-"+string(spec.ID))
	e := &Engine{fleet: f, spec: spec, power: garnetworks.PowerOff, slowdown: 1}
	e.reset()
	e.downSince = time.Now()
	if spec.On {
		e.power = garnetworks.PowerOn
		e.incarnation = 1
		e.downSince = time.Time{}
	}
	return e
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// reset restores the state of a newly started process. The caller holds fleet.mu, unless
// the engine is not in the fleet yet.
func (e *Engine) reset() {
	e.cancelLoads()
	e.phase = garnetworks.EngineIdle
	e.group, e.token, e.highestToken, e.members = "", 0, 0, nil
	e.model, e.version, e.adapters, e.weights = "", "", nil, nil
	e.lastOrder, e.leaving = "", false
	e.cache = newCache(e.spec.CacheBlocks)
	e.lastLoad = garnetworks.EngineLoad{}
}

// Spec returns the engine's spec, with defaults and its current address.
func (e *Engine) Spec() EngineSpec {
	e.fleet.mu.Lock()
	defer e.fleet.mu.Unlock()
	return e.spec
}

// PowerState returns the instance's actual power state.
func (e *Engine) PowerState() garnetworks.PowerState {
	e.fleet.mu.Lock()
	defer e.fleet.mu.Unlock()
	return e.power
}

// Orders returns the number of orders executed, without repeated ones.
func (e *Engine) Orders() int {
	e.fleet.mu.Lock()
	defer e.fleet.mu.Unlock()
	return e.orders
}

// PowerOn starts the instance. The engine responds after the boot time, with a new
// incarnation and no state.
func (e *Engine) PowerOn() {
	e.fleet.mu.Lock()
	defer e.fleet.mu.Unlock()
	if e.power != garnetworks.PowerOff {
		return
	}
	e.power = garnetworks.PowerStarting
	e.boot++
	boot := e.boot
	time.AfterFunc(e.spec.Boot, func() { e.booted(boot) })
}

func (e *Engine) booted(boot uint64) {
	e.fleet.mu.Lock()
	if e.power != garnetworks.PowerStarting || e.boot != boot {
		e.fleet.mu.Unlock()
		return
	}
	e.power = garnetworks.PowerOn
	e.incarnation++
	e.downSince = time.Time{}
	row := e.spec.ListedInstance
	e.fleet.mu.Unlock()
	e.fleet.report(row)
}

// PowerOff stops the instance at once, breaks its connections and removes it from the list.
func (e *Engine) PowerOff() {
	e.fleet.mu.Lock()
	if e.power != garnetworks.PowerOff {
		e.power = garnetworks.PowerOff
		e.terminate("the instance was powered off")
	}
	id := e.spec.ID
	e.fleet.mu.Unlock()
	e.DropConnections()
	if e.fleet.List != nil {
		e.fleet.List.Remove(id)
	}
}

// Restart replaces the engine's process: its state and calls are lost and its
// incarnation increases.
func (e *Engine) Restart() {
	e.fleet.mu.Lock()
	e.terminate("the engine restarted")
	e.incarnation++
	e.downSince = time.Time{}
	e.fleet.mu.Unlock()
	e.DropConnections()
}

// SetLeaving marks the instance as leaving in its status and in the instance list.
func (e *Engine) SetLeaving() {
	e.fleet.mu.Lock()
	e.leaving = true
	e.spec.State = garnetworks.ListedLeaving
	row := e.spec.ListedInstance
	e.fleet.mu.Unlock()
	e.fleet.report(row)
}

// SetSlowdown multiplies the engine's token times by the factor, to simulate a straggler.
func (e *Engine) SetSlowdown(factor float64) {
	e.fleet.mu.Lock()
	defer e.fleet.mu.Unlock()
	e.slowdown = factor
}

// SetCrashPrompt makes every call with this prompt crash and restart the engine's process.
// An empty prompt turns this off.
func (e *Engine) SetCrashPrompt(prompt string) {
	e.fleet.mu.Lock()
	defer e.fleet.mu.Unlock()
	e.crashPrompt = prompt
}

// Crashes returns how often a call crashed the process.
func (e *Engine) Crashes() int {
	e.fleet.mu.Lock()
	defer e.fleet.mu.Unlock()
	return e.crashes
}

// SetEventGap loses every gap-th cache event; 0 loses none.
func (e *Engine) SetEventGap(gap uint64) {
	e.fleet.mu.Lock()
	defer e.fleet.mu.Unlock()
	e.spec.EventGap = gap
}

// SetFaults replaces the plan. It shadows Faults.SetFaults to track since when the engine
// has been missing from its group.
func (e *Engine) SetFaults(plan FaultPlan) {
	e.Faults.SetFaults(plan)
	e.updateDownSince()
}

func (e *Engine) updateDownSince() {
	e.fleet.mu.Lock()
	defer e.fleet.mu.Unlock()
	switch {
	case e.up():
		e.downSince = time.Time{}
	case e.downSince.IsZero():
		e.downSince = time.Now()
	}
}

func (e *Engine) terminate(reason string) {
	e.abortAll(reason)
	e.reset()
	e.downSince = time.Now()
}

// up reports whether the engine can participate in its group: it is powered on and neither
// down nor frozen. The caller holds fleet.mu.
func (e *Engine) up() bool {
	plan := e.CurrentFaults()
	return e.power == garnetworks.PowerOn && !plan.Down && !plan.Frozen
}

// on reports whether the instance is powered on.
func (e *Engine) on() bool {
	e.fleet.mu.Lock()
	defer e.fleet.mu.Unlock()
	return e.power == garnetworks.PowerOn
}

// Status returns the status that the engine reports.
func (e *Engine) Status(ctx context.Context) (garnetworks.EngineStatus, error) {
	if !e.on() {
		return garnetworks.EngineStatus{}, errNoEngine(e.Spec().Address)
	}
	return withFaults(ctx, &e.Faults, MethodStatus, failedRead(garnetworks.KindUnreachable), func() (garnetworks.EngineStatus, error) {
		e.fleet.mu.Lock()
		defer e.fleet.mu.Unlock()
		return e.status(), nil
	})
}

func (e *Engine) status() garnetworks.EngineStatus {
	return garnetworks.EngineStatus{
		Instance:    e.spec.ID,
		Incarnation: e.incarnation,
		Phase:       e.phase,
		Group:       e.group,
		Token:       e.token,
		Model:       e.model,
		Version:     e.version,
		Adapters:    slices.Clone(e.adapters),
		Weights:     slices.Clone(e.weights),
		LastOrder:   e.lastOrder,
		Leaving:     e.leaving,
		Load:        e.measure(),
		CacheEvents: e.cache.lastNumber,
	}
}

// measure returns the reported load, measured anew if the last report is at least LoadLag
// old. The caller holds fleet.mu.
func (e *Engine) measure() garnetworks.EngineLoad {
	now := time.Now()
	if e.lastLoad.At.IsZero() || now.Sub(e.lastLoad.At) >= e.spec.LoadLag {
		e.lastLoad = garnetworks.EngineLoad{
			Running:   len(e.batch.running),
			Waiting:   len(e.batch.waiting),
			Capacity:  e.spec.Slots,
			CacheUsed: e.cache.used(),
			At:        now,
		}
	}
	return e.lastLoad
}
