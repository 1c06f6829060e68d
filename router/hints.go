package router

import (
	"slices"

	"github.com/garnetworks/garnetworks"
)

const (
	// hintSlots is the number of slots for hints.
	hintSlots = 1 << 14
	// hintBlocks is the number of a prompt's blocks for which hints are looked up.
	hintBlocks = 32
)

// hint records that a group holds a prefix.
type hint struct {
	hash  uint64
	group *group
	// epoch is the group's epoch when the hint was stored; hints of earlier epochs are invalid,
	// so incrementing a group's epoch invalidates all its hints.
	epoch uint32
}

// hints maps prefix hashes to groups that hold them. Prefixes of the same slot replace each
// other.
type hints struct {
	slots [hintSlots]hint
	// nonEmpty is false until the first hint, so that nodes without cache events skip lookups.
	nonEmpty bool
}

// put stores a hint. An existing valid hint for the prefix is kept: replacing it would move
// calls to another group with each cache miss.
func (h *hints) put(hash uint64, g *group) {
	if h.get(hash) != nil {
		return
	}
	h.slots[hash%hintSlots] = hint{hash: hash, group: g, epoch: g.epoch}
	h.nonEmpty = true
}

// get returns the group that holds a prefix according to a valid hint, or nil.
func (h *hints) get(hash uint64) *group {
	s := &h.slots[hash%hintSlots]
	if s.hash != hash || s.group == nil || s.epoch != s.group.epoch || s.group.gone {
		return nil
	}
	return s.group
}

// longestHint returns the eligible group with a hint for the longest prefix of the prompt, or
// nil.
func (t *table) longestHint(now int64, call *garnetworks.CallRequest, tried []garnetworks.GroupID) *group {
	t.blocks = garnetworks.AppendPrefixBlocks(t.blocks[:0], call.Model, call.Adapter, call.Prompt, hintBlocks)
	for i := len(t.blocks) - 1; i >= 0; i-- {
		g := t.hints.get(t.blocks[i])
		if g != nil && g.eligible(now) && g.serves(call) && !isTried(g, tried) {
			return g
		}
	}
	return nil
}

// serves reports whether the group has the call's model and adapter.
func (g *group) serves(call *garnetworks.CallRequest) bool {
	if g.view.Model != call.Model {
		return false
	}
	return call.Adapter == "" || slices.Contains(g.view.Adapters, call.Adapter)
}

func (h *hints) drop(hash uint64, g *group) {
	s := &h.slots[hash%hintSlots]
	if s.hash == hash && s.group == g {
		*s = hint{}
	}
}

// applyEvents applies a group's cache events in the order read. A gap may hide evictions, after
// which hints could send calls to a cache that no longer holds their prefix, so all hints of the
// group are invalidated (R9).
func (h *hints) applyEvents(g *group, events []garnetworks.CacheEvent) {
	for _, e := range events {
		if e.Number <= g.lastEventNumber {
			continue
		}
		if e.Number != g.lastEventNumber+1 && g.lastEventNumber != 0 {
			g.epoch++
			g.gaps++
		}
		g.lastEventNumber = e.Number
		if e.Added {
			h.put(e.Block, g)
		} else {
			h.drop(e.Block, g)
		}
	}
}
