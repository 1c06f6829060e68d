package router

import (
	"container/heap"
	"container/list"
	"time"

	"github.com/garnetworks/garnetworks"
)

// Simulated engine: continuous batching with a bounded number of slots, one prefill at a time,
// decode steps that slow down with the batch size, and an LRU prefix cache of bounded size.
const (
	engineSlots       = 64
	engineWaiting     = 128
	enginePrefill     = 30_000 // tokens per second
	engineStep        = 25 * time.Millisecond
	engineStepPerCall = 300 * time.Microsecond
	blockTokens       = 128
)

type simCall struct {
	request garnetworks.CallRequest
	blocks  []uint64
	output  int
	node    int
	group   int
	// arrived, started and first are times since the start of the simulation.
	arrived, started, first time.Duration
	cached                  int
}

type simEngine struct {
	id      garnetworks.GroupID
	running int
	waiting []*simCall
	// prefillFree is the time at which the prefill unit becomes idle.
	prefillFree time.Duration
	// slow is a factor on the decode time.
	slow  float64
	cache map[uint64]*list.Element
	order *list.List
	// blocks is the capacity of the cache in blocks.
	blocks int
	// names maps blocks to their hashes in events. pending holds the events that were not sent
	// yet, number is that of the last one.
	names   map[uint64]uint64
	pending []garnetworks.CacheEvent
	number  uint64
}

func newSimEngine(id garnetworks.GroupID, blocks int) *simEngine {
	return &simEngine{id: id, slow: 1, blocks: blocks, names: map[uint64]uint64{}, cache: map[uint64]*list.Element{}, order: list.New()}
}

// lookup returns the number of leading blocks in the cache.
func (e *simEngine) lookup(blocks []uint64) int {
	for i, b := range blocks {
		element := e.cache[b]
		if element == nil {
			return i
		}
		e.order.MoveToFront(element)
	}
	return len(blocks)
}

func (e *simEngine) store(blocks []uint64) {
	for _, b := range blocks {
		if element := e.cache[b]; element != nil {
			e.order.MoveToFront(element)
			continue
		}
		e.cache[b] = e.order.PushFront(b)
		e.event(b, true)
		if e.order.Len() > e.blocks {
			last := e.order.Back()
			delete(e.cache, last.Value.(uint64))
			e.event(last.Value.(uint64), false)
			e.order.Remove(last)
		}
	}
}

// name records the hashes by which events refer to a call's blocks.
func (e *simEngine) name(c *simCall) {
	per := BlockBytes / garnetworks.PrefixBlockBytes
	hashes := garnetworks.PrefixBlocks(c.request.Model, c.request.Adapter, c.request.Prompt, hintBlocks)
	for i := 0; (i+1)*per <= len(hashes) && i < len(c.blocks); i++ {
		e.names[c.blocks[i]] = hashes[(i+1)*per-1]
	}
}

func (e *simEngine) event(block uint64, added bool) {
	if hash, ok := e.names[block]; ok {
		e.number++
		e.pending = append(e.pending, garnetworks.CacheEvent{Number: e.number, Block: hash, Added: added})
	}
}

func (e *simEngine) load(at time.Time) garnetworks.EngineLoad {
	return garnetworks.EngineLoad{Running: e.running, Waiting: len(e.waiting), Capacity: engineSlots, At: at}
}

// begin assigns a slot to the call and returns the times of its first token and of its end.
func (e *simEngine) begin(now time.Duration, c *simCall) (first, end time.Duration) {
	e.running++
	c.started = now
	c.cached = e.lookup(c.blocks)
	uncached := len(c.blocks) - c.cached
	prefill := time.Duration(float64(uncached*blockTokens) / enginePrefill * float64(time.Second))
	e.prefillFree = max(now, e.prefillFree) + prefill
	e.store(c.blocks)
	step := time.Duration(e.slow * float64(engineStep+time.Duration(e.running)*engineStepPerCall))
	c.first = e.prefillFree + step
	return c.first, c.first + time.Duration(c.output-1)*step
}

type simEvent struct {
	at    time.Duration
	order int
	do    func(now time.Duration)
}

// simLoop executes events in order of time.
type simLoop struct {
	events []simEvent
	count  int
}

func (l *simLoop) Len() int           { return len(l.events) }
func (l *simLoop) Less(i, j int) bool { return simEventBefore(l.events[i], l.events[j]) }
func (l *simLoop) Swap(i, j int)      { l.events[i], l.events[j] = l.events[j], l.events[i] }
func (l *simLoop) Push(x any)         { l.events = append(l.events, x.(simEvent)) }

func simEventBefore(a, b simEvent) bool {
	if a.at != b.at {
		return a.at < b.at
	}
	return a.order < b.order
}

func (l *simLoop) Pop() any {
	last := l.events[len(l.events)-1]
	l.events = l.events[:len(l.events)-1]
	return last
}

func (l *simLoop) at(t time.Duration, do func(now time.Duration)) {
	l.count++
	heap.Push(l, simEvent{t, l.count, do})
}

func (l *simLoop) run() {
	for len(l.events) > 0 {
		e := heap.Pop(l).(simEvent)
		e.do(e.at)
	}
}
