package faker

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/garnetworks/garnetworks"
)

// CacheEvents returns the events numbered above after that are older than the event lag.
func (e *Engine) CacheEvents(ctx context.Context, after uint64) ([]garnetworks.CacheEvent, error) {
	if !e.on() {
		return nil, errNoEngine(e.Spec().Address)
	}
	return withFaults(ctx, &e.Faults, MethodCacheEvents, failedRead(garnetworks.KindUnreachable), func() ([]garnetworks.CacheEvent, error) {
		e.fleet.mu.Lock()
		defer e.fleet.mu.Unlock()
		return e.cache.eventsAfter(after, time.Now().Add(-e.spec.EventLag), e.spec.EventGap), nil
	})
}

// KVCache is the exported form of a prompt's cached prefix blocks.
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

// ImportKV adds the blocks of an exported prefix to the cache.
func (e *Engine) ImportKV(kv KVCache) {
	e.fleet.mu.Lock()
	defer e.fleet.mu.Unlock()
	e.cache.add(kv.Blocks)
}

// cache is a bounded LRU prefix cache that logs its additions and evictions.
type cache struct {
	limit      int
	clock      uint64
	blocks     map[uint64]uint64
	lastNumber uint64
	events     []cacheEvent
}

type cacheEvent struct {
	garnetworks.CacheEvent
	at time.Time
}

func newCache(limit int) cache {
	return cache{limit: limit, blocks: make(map[uint64]uint64)}
}

func (c *cache) used() float64 { return float64(len(c.blocks)) / float64(c.limit) }

// hits returns the length of the longest prefix of blocks that is cached.
func (c *cache) hits(blocks []uint64) int {
	for i, b := range blocks {
		if _, ok := c.blocks[b]; !ok {
			return i
		}
	}
	return len(blocks)
}

// add inserts the blocks, then evicts the least recently used ones beyond the limit.
func (c *cache) add(blocks []uint64) {
	for _, b := range blocks {
		c.clock++
		if _, ok := c.blocks[b]; !ok {
			c.recordEvent(b, true)
		}
		c.blocks[b] = c.clock
	}
	for len(c.blocks) > c.limit {
		b := oldest(c.blocks)
		delete(c.blocks, b)
		c.recordEvent(b, false)
	}
}

func oldest(blocks map[uint64]uint64) uint64 {
	keys := slices.Collect(maps.Keys(blocks))
	return slices.MinFunc(keys, func(a, b uint64) int { return int(blocks[a]) - int(blocks[b]) })
}

func (c *cache) recordEvent(block uint64, added bool) {
	c.lastNumber++
	event := garnetworks.CacheEvent{Number: c.lastNumber, Block: block, Added: added}
	c.events = append(c.events, cacheEvent{event, time.Now()})
	if excess := len(c.events) - maxCacheEvents; excess > 0 {
		c.events = slices.Clone(c.events[excess:])
	}
}

func (c *cache) eventsAfter(after uint64, until time.Time, gap uint64) []garnetworks.CacheEvent {
	var events []garnetworks.CacheEvent
	for _, e := range c.events {
		lost := gap > 0 && e.Number%gap == 0
		if e.Number > after && !e.at.After(until) && !lost {
			events = append(events, e.CacheEvent)
		}
	}
	return events
}
