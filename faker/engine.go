package faker

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/garnetworks/garnetworks"
)

// Methods of engines.
const (
	MethodOrder       = "order"
	MethodStatus      = "status"
	MethodCacheEvents = "cache-events"
	MethodGenerate    = "generate"
)

// EngineSpec describes an engine and its instance; zero times and sizes mean
// the defaults, which are small so that tests are quick.
type EngineSpec struct {
	garnetworks.ListedInstance
	Watts garnetworks.Watts
	// On says that the instance runs from the start.
	On bool
	// Boot is the time from power-on to the first answer.
	Boot time.Duration
	// ChecksFencing makes the engine refuse orders with old tokens (rule F5).
	ChecksFencing bool
	// Slots is the size of the batch, Queue the number of calls that may wait.
	Slots int
	Queue int
	// FirstToken is the time to the first token when the batch has room, with
	// PerBlock added for each prompt block that is not in the cache.
	FirstToken time.Duration
	PerBlock   time.Duration
	// PerToken is the time between tokens of one answer.
	PerToken time.Duration
	// CacheBlocks is the number of prompt prefix blocks that the cache holds.
	CacheBlocks int
	// LoadLag is how old a reported load can be.
	LoadLag time.Duration
	// EventLag is how late cache events come; every EventGap-th never comes (0:
	// all come).
	EventLag time.Duration
	EventGap uint64
}

const (
	defaultSlots       = 32
	defaultQueue       = 64
	defaultFirstToken  = 20 * time.Millisecond
	defaultPerToken    = 5 * time.Millisecond
	defaultCacheBlocks = 256
	maxCacheEvents     = 4096
	maxPromptBlocks    = 64
)

// Engine is a model engine on one instance.
type Engine struct {
	Faults
	fleet *Fleet
	spec  EngineSpec

	// The fields below are guarded by fleet.mu.
	power       garnetworks.PowerState
	boot        uint64
	incarnation uint64
	phase       garnetworks.EnginePhase
	group       garnetworks.GroupID
	token       garnetworks.FencingToken
	highest     garnetworks.FencingToken
	members     []garnetworks.InstanceID
	model       garnetworks.ModelName
	version     garnetworks.VersionName
	adapters    []garnetworks.AdapterName
	weights     []garnetworks.WeightID
	lastOrder   string
	leaving     bool
	orders      int
	// loads are the running loads of weights.
	loads    map[garnetworks.WeightID]*load
	slowdown float64
	// downSince is when the engine stopped taking part; zero while it does.
	downSince time.Time
	batch     batch
	cache     cache
	reported  garnetworks.EngineLoad
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

// reset gives the engine the state of a process that has just started.
func (e *Engine) reset() {
	e.cancelLoads()
	e.phase = garnetworks.EngineIdle
	e.group, e.token, e.highest, e.members = "", 0, 0, nil
	e.model, e.version, e.adapters, e.weights = "", "", nil, nil
	e.lastOrder, e.leaving = "", false
	e.cache = newCache(e.spec.CacheBlocks)
	e.reported = garnetworks.EngineLoad{}
}

// Spec returns the engine's description with its address.
func (e *Engine) Spec() EngineSpec {
	e.fleet.mu.Lock()
	defer e.fleet.mu.Unlock()
	return e.spec
}

// PowerState returns the instance's true power state.
func (e *Engine) PowerState() garnetworks.PowerState {
	e.fleet.mu.Lock()
	defer e.fleet.mu.Unlock()
	return e.power
}

// Orders returns the number of orders carried out; repeated ones count once.
func (e *Engine) Orders() int {
	e.fleet.mu.Lock()
	defer e.fleet.mu.Unlock()
	return e.orders
}

// PowerOn starts the instance; the engine answers after the boot time, with a
// new incarnation and no state.
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

// PowerOff stops the instance at once; its connections break.
func (e *Engine) PowerOff() {
	e.fleet.mu.Lock()
	if e.power != garnetworks.PowerOff {
		e.power = garnetworks.PowerOff
		e.die("the instance was powered off")
	}
	id := e.spec.ID
	e.fleet.mu.Unlock()
	e.DropConnections()
	if e.fleet.List != nil {
		e.fleet.List.Remove(id)
	}
}

// Restart replaces the engine's process: its state and calls are lost and its
// incarnation grows.
func (e *Engine) Restart() {
	e.fleet.mu.Lock()
	e.die("the engine restarted")
	e.incarnation++
	e.downSince = time.Time{}
	e.fleet.mu.Unlock()
	e.DropConnections()
}

// SetLeaving makes the engine say that it will stop, and the list too.
func (e *Engine) SetLeaving() {
	e.fleet.mu.Lock()
	e.leaving = true
	e.spec.State = garnetworks.ListedLeaving
	row := e.spec.ListedInstance
	e.fleet.mu.Unlock()
	e.fleet.report(row)
}

// SetSlowdown makes the engine a straggler: its times grow by the factor.
func (e *Engine) SetSlowdown(factor float64) {
	e.fleet.mu.Lock()
	defer e.fleet.mu.Unlock()
	e.slowdown = factor
}

// SetEventGap makes every gap-th cache event get lost; 0 loses none.
func (e *Engine) SetEventGap(gap uint64) {
	e.fleet.mu.Lock()
	defer e.fleet.mu.Unlock()
	e.spec.EventGap = gap
}

// SetFaults replaces the plan. It shadows Faults.SetFaults so that the other
// members know how long the engine has been missing.
func (e *Engine) SetFaults(plan FaultPlan) {
	e.Faults.SetFaults(plan)
	e.noteAbsence()
}

func (e *Engine) noteAbsence() {
	e.fleet.mu.Lock()
	defer e.fleet.mu.Unlock()
	switch {
	case e.up():
		e.downSince = time.Time{}
	case e.downSince.IsZero():
		e.downSince = time.Now()
	}
}

func (e *Engine) die(reason string) {
	e.breakAll(reason)
	e.reset()
	e.downSince = time.Now()
}

// up reports whether the engine takes part in its group now.
func (e *Engine) up() bool {
	plan := e.FaultsNow()
	return e.power == garnetworks.PowerOn && !plan.Down && !plan.Frozen
}

// on reports whether the engine's process runs.
func (e *Engine) on() bool {
	e.fleet.mu.Lock()
	defer e.fleet.mu.Unlock()
	return e.power == garnetworks.PowerOn
}

// Order carries out an order.
func (e *Engine) Order(ctx context.Context, order garnetworks.EngineOrder) (garnetworks.EngineStatus, error) {
	if !e.on() {
		return garnetworks.EngineStatus{}, errNoEngine(e.Spec().Address)
	}
	return apply(ctx, &e.Faults, MethodOrder, failedWrite(garnetworks.KindUnreachable), func() (garnetworks.EngineStatus, error) {
		e.fleet.mu.Lock()
		defer e.fleet.mu.Unlock()
		if err := e.carryOut(order); err != nil {
			return garnetworks.EngineStatus{}, err
		}
		return e.status(), nil
	})
}

func (e *Engine) carryOut(order garnetworks.EngineOrder) error {
	if e.spec.ChecksFencing && order.Token < e.highest {
		return garnetworks.Errorf(garnetworks.KindStaleToken, "token %v is lower than %v", order.Token, e.highest)
	}
	if order.ID != "" && order.ID == e.lastOrder {
		return nil
	}
	if err := e.obey(order); err != nil {
		return err
	}
	e.highest = max(e.highest, order.Token)
	e.lastOrder = order.ID
	e.orders++
	return nil
}

func (e *Engine) obey(order garnetworks.EngineOrder) error {
	switch order.Kind {
	case garnetworks.OrderForm:
		return e.form(order)
	case garnetworks.OrderRelease:
		e.leave("the group was released")
		// Statuses with a lower token than an earlier one are taken for echoes, so
		// an engine that forgot the token would not be heard of after its release.
		e.token = order.Token
	case garnetworks.OrderDrain:
		e.drain()
	case garnetworks.OrderPreload:
		e.load(order)
	case garnetworks.OrderAdapters:
		e.adapters = slices.Clone(order.Adapters)
	default:
		return garnetworks.Errorf(garnetworks.KindInvalidRequest, "unknown order %q", order.Kind)
	}
	return nil
}

// form joins a group. The same group and token again change only the rate of a
// load that runs.
func (e *Engine) form(order garnetworks.EngineOrder) error {
	if !slices.Contains(order.Members, e.spec.ID) {
		return garnetworks.Errorf(garnetworks.KindInvalidRequest, "%s is not among the members of group %s", e.spec.ID, order.Group)
	}
	if order.Group == e.group && order.Token == e.token {
		e.load(order)
		return nil
	}
	e.leave("the engine joined another group")
	e.group, e.token = order.Group, order.Token
	e.members = slices.Clone(order.Members)
	e.model, e.version = order.Model, order.Version
	e.adapters = slices.Clone(order.Adapters)
	e.phase = garnetworks.EngineLoading
	e.load(order)
	return nil
}

func (e *Engine) leave(reason string) {
	e.breakAll(reason)
	e.cancelLoads()
	e.phase = garnetworks.EngineIdle
	e.group, e.token, e.members = "", 0, nil
	e.model, e.version, e.adapters = "", "", nil
}

func (e *Engine) drain() {
	if e.phase != garnetworks.EngineIdle {
		e.phase = garnetworks.EngineDraining
	}
}

func (e *Engine) cancelLoads() {
	for _, l := range e.loads {
		l.cancel()
	}
	e.loads = make(map[garnetworks.WeightID]*load)
}

// load reads weights in the background. A load that runs gets the order's rate.
func (e *Engine) load(order garnetworks.EngineOrder) {
	id := garnetworks.WeightID{Model: order.Model, Version: order.Version}
	switch {
	case slices.Contains(e.weights, id):
		e.becomeReady()
	case e.fleet.Store == nil:
		e.loaded(id)
	case e.loads[id] != nil:
		e.fleet.Store.setRate(e.loads[id], order.LoadRate)
	default:
		ctx, cancel := context.WithCancel(e.fleet.ctx)
		l := &load{asked: order.LoadRate, cancel: cancel}
		e.loads[id] = l
		go e.loadWeights(ctx, id, l)
	}
}

func (e *Engine) loaded(id garnetworks.WeightID) {
	e.weights = append(e.weights, id)
	e.becomeReady()
}

// becomeReady ends the loading phase once the group's weights are there.
func (e *Engine) becomeReady() {
	id := garnetworks.WeightID{Model: e.model, Version: e.version}
	if e.phase == garnetworks.EngineLoading && slices.Contains(e.weights, id) {
		e.phase = garnetworks.EngineReady
	}
}

// loadRetry is how long a failed load waits before it starts again.
const loadRetry = 200 * time.Millisecond

func (e *Engine) loadWeights(ctx context.Context, id garnetworks.WeightID, l *load) {
	for e.fleet.Store.read(ctx, id, l) != nil {
		if sleep(ctx, loadRetry) != nil {
			return
		}
	}
	e.fleet.mu.Lock()
	defer e.fleet.mu.Unlock()
	if ctx.Err() != nil {
		return
	}
	l.cancel()
	delete(e.loads, id)
	e.loaded(id)
}

// Status returns the engine's own word on its state.
func (e *Engine) Status(ctx context.Context) (garnetworks.EngineStatus, error) {
	if !e.on() {
		return garnetworks.EngineStatus{}, errNoEngine(e.Spec().Address)
	}
	return apply(ctx, &e.Faults, MethodStatus, failedRead(garnetworks.KindUnreachable), func() (garnetworks.EngineStatus, error) {
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
		CacheEvents: e.cache.newest,
	}
}

// measure returns the load as last measured; it is measured again once the
// report is older than the lag.
func (e *Engine) measure() garnetworks.EngineLoad {
	now := time.Now()
	if e.reported.At.IsZero() || now.Sub(e.reported.At) >= e.spec.LoadLag {
		e.reported = garnetworks.EngineLoad{
			Running:   len(e.batch.running),
			Waiting:   len(e.batch.waiting),
			Capacity:  e.spec.Slots,
			CacheUsed: e.cache.used(),
			At:        now,
		}
	}
	return e.reported
}

// CacheEvents returns the events after the given number that have come by now.
func (e *Engine) CacheEvents(ctx context.Context, after uint64) ([]garnetworks.CacheEvent, error) {
	if !e.on() {
		return nil, errNoEngine(e.Spec().Address)
	}
	return apply(ctx, &e.Faults, MethodCacheEvents, failedRead(garnetworks.KindUnreachable), func() ([]garnetworks.CacheEvent, error) {
		e.fleet.mu.Lock()
		defer e.fleet.mu.Unlock()
		return e.cache.since(after, time.Now().Add(-e.spec.EventLag), e.spec.EventGap), nil
	})
}

// KVCache is the exported form of a prompt's cached prefix.
type KVCache struct {
	Blocks []uint64 `json:"blocks"`
}

// ExportKV returns the longest cached prefix of the prompt.
func (e *Engine) ExportKV(model garnetworks.ModelName, adapter garnetworks.AdapterName, prompt string) KVCache {
	e.fleet.mu.Lock()
	defer e.fleet.mu.Unlock()
	blocks := garnetworks.PrefixBlocks(model, adapter, prompt, maxPromptBlocks)
	return KVCache{Blocks: blocks[:e.cache.hits(blocks)]}
}

// ImportKV puts an exported prefix into the cache.
func (e *Engine) ImportKV(kv KVCache) {
	e.fleet.mu.Lock()
	defer e.fleet.mu.Unlock()
	e.cache.add(kv.Blocks)
}

// cache is a bounded prefix cache with its events.
type cache struct {
	limit  int
	clock  uint64
	blocks map[uint64]uint64
	newest uint64
	events []cacheEvent
}

type cacheEvent struct {
	garnetworks.CacheEvent
	at time.Time
}

func newCache(limit int) cache {
	return cache{limit: limit, blocks: make(map[uint64]uint64)}
}

func (c *cache) used() float64 { return float64(len(c.blocks)) / float64(c.limit) }

// hits returns how many of the blocks, from the first on, are cached.
func (c *cache) hits(blocks []uint64) int {
	for i, b := range blocks {
		if _, ok := c.blocks[b]; !ok {
			return i
		}
	}
	return len(blocks)
}

// add enters the blocks and evicts the least recently used ones beyond the
// limit.
func (c *cache) add(blocks []uint64) {
	for _, b := range blocks {
		c.clock++
		if _, ok := c.blocks[b]; !ok {
			c.note(b, true)
		}
		c.blocks[b] = c.clock
	}
	for len(c.blocks) > c.limit {
		b := oldest(c.blocks)
		delete(c.blocks, b)
		c.note(b, false)
	}
}

func oldest(blocks map[uint64]uint64) uint64 {
	keys := slices.Collect(maps.Keys(blocks))
	return slices.MinFunc(keys, func(a, b uint64) int { return int(blocks[a]) - int(blocks[b]) })
}

func (c *cache) note(block uint64, added bool) {
	c.newest++
	event := garnetworks.CacheEvent{Number: c.newest, Block: block, Added: added}
	c.events = append(c.events, cacheEvent{event, time.Now()})
	if excess := len(c.events) - maxCacheEvents; excess > 0 {
		c.events = slices.Clone(c.events[excess:])
	}
}

func (c *cache) since(after uint64, until time.Time, gap uint64) []garnetworks.CacheEvent {
	var events []garnetworks.CacheEvent
	for _, e := range c.events {
		lost := gap > 0 && e.Number%gap == 0
		if e.Number > after && !e.at.After(until) && !lost {
			events = append(events, e.CacheEvent)
		}
	}
	return events
}
