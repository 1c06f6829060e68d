package claimer

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/garnetworks/garnetworks"
)

const (
	// forwardTimeout limits the time that another node has to commit.
	forwardTimeout = 500 * time.Millisecond
	// forwardBackoff is the time without forwarding after a failure. It doubles with each
	// further failure up to forwardBackoffMax, since a node can be listed as ready but
	// unreachable from this one for long.
	forwardBackoff    = 2 * time.Second
	forwardBackoffMax = 30 * time.Second
)

// committer returns the node that commits the shard's operations for its region: the ready
// one with the highest rendezvous hash. Correctness does not depend on the choice, since all
// writes are conditional.
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

// shouldForward reports whether the next group is forwarded to another node.
func (w *worker) shouldForward() bool {
	if !w.claimer.options.Forwarder.Present || time.Now().Before(w.nextForward) {
		return false
	}
	n, ok := w.committer()
	return ok && n.ID != w.claimer.options.Node.ID
}

// forward sends the node's own operations to the committing node and returns those that
// remain to be committed here. After an error the operations may have been committed or may
// be later; they are idempotent (rule C2) and are committed here as well.
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
		// The response resolves the doubt, except for a claim refused as released: the other
		// node may have tried to write it before.
		t.inDoubt = results[i].Verdict == VerdictReleased
	}
	w.deliver(own, results)
	return rest
}
