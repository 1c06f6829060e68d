package router

import (
	"slices"

	"github.com/garnetworks/garnetworks"
)

const (
	// hintSlots is the number of prefixes that hints remember.
	hintSlots = 1 << 14
	// hintBlocks is the number of a prompt's blocks that hints are looked up for.
	hintBlocks = 32
)

// hint says that a group was seen to hold a prefix.
type hint struct {
	hash  uint64
	group *group
	// epoch is the group's epoch when the hint was taken; hints of an earlier
	// epoch do not count, so that dropping all of a group's hints is one step.
	epoch uint32
}

// hints remembers which group holds a prefix.
type hints struct {
	slots [hintSlots]hint
	// taken is false until the first hint, so that nodes without cache events
	// spend nothing on looking.
	nonEmpty bool
}

// put remembers a prefix. The first group that was seen to hold it keeps the
// slot: if the newest one took it, calls would wander with each miss.
func (h *hints) put(hash uint64, g *group) {
	if h.get(hash) != nil {
		return
	}
	h.slots[hash%hintSlots] = hint{hash: hash, group: g, epoch: g.epoch}
	h.nonEmpty = true
}

// get returns the group that was seen to hold a prefix, or nil.
func (h *hints) get(hash uint64) *group {
	s := &h.slots[hash%hintSlots]
	if s.hash != hash || s.group == nil || s.epoch != s.group.epoch || s.group.gone {
		return nil
	}
	return s.group
}

// longest returns the eligible group that was seen to hold the longest part of
// the prompt, or nil.
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

// events takes a group's cache events in the order read. A gap means that
// evictions may be among the lost events: the group's hints would then send
// calls to a cache that no longer holds their prefix, so all are dropped (R9).
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
