package router

import "github.com/garnetworks/garnetworks"

// hintSlots is the number of prefixes that hints remember; the newest wins a
// slot.
const hintSlots = 1 << 13

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
	taken bool
}

func (h *hints) put(hash uint64, g *group) {
	h.slots[hash%hintSlots] = hint{hash: hash, group: g, epoch: g.epoch}
	h.taken = true
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
func (h *hints) events(g *group, events []garnetworks.CacheEvent) {
	for _, e := range events {
		if e.Number <= g.lastEvent {
			continue
		}
		if e.Number != g.lastEvent+1 && g.lastEvent != 0 {
			g.epoch++
			g.gaps++
		}
		g.lastEvent = e.Number
		if e.Added {
			h.put(e.Block, g)
		} else {
			h.drop(e.Block, g)
		}
	}
}
