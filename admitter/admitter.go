package admitter

import (
	"context"
	"sync"
	"time"

	"github.com/garnetworks/garnetworks"
)

// Admitter enforces the limits of workspaces and the capacity of the node. It is
// safe for concurrent use.
type Admitter struct {
	mu   sync.Mutex
	gate *gate
}

var _ garnetworks.Admitter = (*Admitter)(nil)

// New returns an admitter without a manifest: it refuses all calls until
// SetManifest.
func New(options Options) *Admitter { return &Admitter{gate: newGate(options)} }

// update changes the gate and wakes the waiting calls that were decided.
func (a *Admitter) update(change func(now time.Time, g *gate)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	change(time.Now(), a.gate)
	for _, w := range a.gate.decided {
		close(w.decided)
	}
	clear(a.gate.decided)
	a.gate.decided = a.gate.decided[:0]
}

// SetManifest applies the workspaces, limits and models of a manifest.
func (a *Admitter) SetManifest(m *garnetworks.Manifest) {
	a.update(func(now time.Time, g *gate) { g.setManifest(now, m) })
}

// SetNodes sets the number of entry nodes on the rosters of all zones, reachable or
// not, this one included: the equal share of a partitioned node is safe only if all
// nodes count alike (A3).
func (a *Admitter) SetNodes(nodes int) {
	a.update(func(now time.Time, g *gate) { g.setNodes(now, nodes) })
}

// SetShares applies a table from Shares. A table without this node is ignored: the
// node that computed it does not know this one yet.
func (a *Admitter) SetShares(table ShareTable) {
	row, ok := table.Node(a.gate.options.Node)
	if !ok {
		return
	}
	a.update(func(now time.Time, g *gate) { g.setShares(now, row) })
}

// SetCapacity sets the capacity of all models, about once a second.
func (a *Admitter) SetCapacity(capacities []garnetworks.ModelCapacity) {
	a.update(func(now time.Time, g *gate) { g.setCapacity(now, capacities) })
}

// Stop refuses new calls. Waiting calls stay queued.
func (a *Admitter) Stop() {
	a.update(func(_ time.Time, g *gate) { g.stopped = true })
}

// Demands returns the node's demand, to be exchanged with other nodes.
func (a *Admitter) Demands() []garnetworks.Demand {
	var all []garnetworks.Demand
	a.update(func(now time.Time, g *gate) { all = g.demands(now) })
	return all
}

// Counts returns the decisions since the start.
func (a *Admitter) Counts() Counts {
	a.mu.Lock()
	defer a.mu.Unlock()
	counts := a.gate.counts
	for _, p := range a.gate.pools {
		counts.Waiting += p.waiting
		counts.Running += p.running
	}
	return counts
}

// Admit admits a call, queues it or refuses it; see garnetworks.Admitter.
func (a *Admitter) Admit(ctx context.Context, request garnetworks.AdmitRequest) (garnetworks.Ticket, error) {
	if err := ctx.Err(); err != nil {
		return nil, garnetworks.WrapError(garnetworks.KindCancelled, err, "the caller had gone")
	}
	var w *waiter
	a.update(func(now time.Time, g *gate) { w = g.arrive(now, request) })
	if w.decided != nil {
		a.await(ctx, w)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if w.state == refused {
		return nil, w.err
	}
	return &ticket{admitter: a, waiter: w}, nil
}

// await returns once the call is decided.
func (a *Admitter) await(ctx context.Context, w *waiter) {
	poll := time.NewTicker(reviewInterval)
	defer poll.Stop()
	for {
		select {
		case <-w.decided:
			return
		case <-ctx.Done():
			a.leave(w)
			return
		case <-poll.C:
			a.update(func(now time.Time, g *gate) { g.poll(now, w) })
		}
	}
}

// leave cancels a waiting call. A call that was admitted at the same moment releases
// its slot, since its caller has gone.
func (a *Admitter) leave(w *waiter) {
	a.update(func(now time.Time, g *gate) {
		if g.cancel(now, w) || w.state == refused {
			return
		}
		g.done(now, w, 0)
		w.state = refused
		w.err = garnetworks.Errorf(garnetworks.KindCancelled, "the caller cancelled the call while it waited")
	})
}

// ticket is the admission of one call.
type ticket struct {
	admitter *Admitter
	waiter   *waiter
}

// Done releases the slot; a second call does nothing.
func (t *ticket) Done(tokens int) {
	t.admitter.update(func(now time.Time, g *gate) { g.done(now, t.waiter, tokens) })
}
