package admitter

import (
	"slices"
	"time"

	"github.com/garnetworks/garnetworks"
)

// waiter is a call that waits or has been decided.
type waiter struct {
	request   garnetworks.AdmitRequest
	workspace *workspace
	pool      *pool
	class     *class
	flow      *flow
	// start is the call's start tag in fair queueing (A7).
	start float64
	// startedAt is when the call was given its slot.
	startedAt time.Time
	state     waitState
	// err is the error of a refused call.
	err error
	// decided is closed with the decision; nil for calls that never waited.
	decided chan struct{}
}

type waitState int

const (
	waiting waitState = iota
	admitted
	refused
	finished
)

// cost is the call's weight in fair queueing.
func (w *waiter) cost() float64 { return max(1, float64(w.request.Tokens)) }

// flow is one workspace's queue within a class.
type flow struct {
	// finish is the finish tag of the last call that was queued or admitted.
	finish  float64
	queue   []*waiter
	running int
	// arrivals measures the calls that asked for a slot.
	arrivals meter
}

// class holds the calls of one priority.
type class struct {
	priority int
	// virtualTime is the start tag of the last call admitted; it never decreases.
	virtualTime float64
	flows       map[garnetworks.WorkspaceName]*flow
	waiting     int
	running     int
	// arrivals measures the calls that asked for a slot.
	arrivals meter
}

func (c *class) flow(name garnetworks.WorkspaceName) *flow {
	f := c.flows[name]
	if f == nil {
		f = &flow{arrivals: meter{window: classWindow}}
		c.flows[name] = f
	}
	return f
}

// mean returns the expected number of the workspace's calls in flight if all of its
// calls were admitted.
func (f *flow) mean(now time.Time, slotTime float64) float64 { return f.arrivals.rate(now) * slotTime }

// active returns the number of workspaces that have calls waiting or running.
func (c *class) active() int {
	n := 0
	for _, f := range c.flows {
		if f.running > 0 || len(f.queue) > 0 {
			n++
		}
	}
	return n
}

// tag assigns start and finish tags to a call, as the last of its flow.
func (c *class) tag(w *waiter) {
	w.start = max(c.virtualTime, w.flow.finish)
	w.flow.finish = w.start + w.cost()
}

// push queues a tagged call.
func (c *class) push(w *waiter) {
	w.flow.queue = append(w.flow.queue, w)
	c.waiting++
}

// head returns the call to be served next, or nil. Equal tags are ordered by workspace
// name, so that the order is deterministic.
func (c *class) head() *waiter {
	var best *waiter
	for _, f := range c.flows {
		if len(f.queue) > 0 && (best == nil || servedBefore(f.queue[0], best)) {
			best = f.queue[0]
		}
	}
	return best
}

func servedBefore(a, b *waiter) bool {
	if a.start != b.start {
		return a.start < b.start
	}
	return a.request.Workspace < b.request.Workspace
}

// dequeue removes a call that is first in its flow and advances virtual time.
func (c *class) dequeue(w *waiter) {
	w.flow.queue = w.flow.queue[1:]
	c.waiting--
	c.virtualTime = max(c.virtualTime, w.start)
}

// remove removes a call that will not be served, and moves the later calls of its flow
// forward, as if it had never arrived (A10).
func (c *class) remove(w *waiter) {
	f := w.flow
	i := slices.Index(f.queue, w)
	if i < 0 {
		return
	}
	f.queue = slices.Delete(f.queue, i, i+1)
	c.waiting--
	for _, later := range f.queue[i:] {
		later.start = max(c.virtualTime, later.start-w.cost())
	}
	f.finish -= w.cost()
}

// evictionCandidate returns the last call of the longest flow, or nil.
func (c *class) evictionCandidate() *waiter {
	var best *flow
	for _, f := range c.flows {
		if len(f.queue) == 0 {
			continue
		}
		if best == nil || len(f.queue) > len(best.queue) ||
			len(f.queue) == len(best.queue) && f.queue[0].request.Workspace > best.queue[0].request.Workspace {
			best = f
		}
	}
	if best == nil {
		return nil
	}
	return best.queue[len(best.queue)-1]
}
