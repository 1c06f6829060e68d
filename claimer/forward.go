package claimer

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/garnetworks/garnetworks"
)

const (
	// forwardTimeout bounds the time that another node is given to commit.
	forwardTimeout = 500 * time.Millisecond
	// forwardBackoff is how long a node is not asked again after a failure; it
	// doubles with each further one up to forwardPauseMax, since a node can be
	// listed as ready and be cut off from this one for long.
	forwardBackoff    = 2 * time.Second
	forwardBackoffMax = 30 * time.Second
)

// committer returns the node that commits the shard's operations for its
// region: the ready one with the highest rendezvous weight. It is a matter of
// cost alone; the conditional write decides whoever commits.
func (w *worker) committer() (garnetworks.NodeInfo, bool) {
	self := w.claimer.options.Node
	var best garnetworks.NodeInfo
	weight := uint64(0)
	for _, n := range w.claimer.roster() {
		if !n.Ready || n.Region != self.Region {
			continue
		}
		h := xxhash.Sum64String(shardKey(w.number) + "\x00" + string(n.ID))
		if h > weight {
			best, weight = n, h
		}
	}
	return best, weight > 0
}

// shouldForward reports whether the next group goes to another node.
func (w *worker) shouldForward() bool {
	if !w.claimer.options.Forwarder.Present || time.Now().Before(w.nextForward) {
		return false
	}
	n, ok := w.committer()
	return ok && n.ID != w.claimer.options.Node.ID
}

// forward hands the node's own operations to the committing node and returns
// those that remain to be committed here. After an error the operations may
// have been committed or may be later; they are idempotent (rule C2) and are
// committed here.
func (w *worker) forward(ctx context.Context, group []*ticket) []*ticket {
	if !w.shouldForward() {
		return group
	}
	node, _ := w.committer()
	var own, rest []*ticket
	var ops []Op
	for _, t := range group {
		if t.remote || t.inDoubt {
			rest = append(rest, t)
			continue
		}
		own = append(own, t)
		ops = append(ops, t.op)
	}
	if len(own) == 0 {
		return rest
	}
	for _, t := range own {
		t.inDoubt = true
	}
	call, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	results, err := w.claimer.options.Forwarder.Value.Commit(call, node, w.number, ops)
	if err != nil || len(results) != len(ops) {
		w.forwardFailures++
		pause := min(forwardBackoff<<min(w.forwardFailures-1, 10), forwardBackoffMax)
		w.nextForward = time.Now().Add(pause)
		return group
	}
	w.forwardFailures = 0
	w.forwarded.Add(1)
	for i, t := range own {
		// The other node's answer ends its doubts, but for a claim that it
		// refused as ended: it may have tried to write it before.
		t.inDoubt = results[i].Verdict == VerdictReleased
	}
	w.deliver(own, results)
	return rest
}
