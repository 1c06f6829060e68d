package claimer

import (
	"sync/atomic"

	"github.com/garnetworks/garnetworks"
)

// The states of a ticket. A ticket leaves ticketWaiting once, so that either
// its caller gets the result or the worker knows that nobody does.
const (
	ticketWaiting int32 = iota
	ticketDelivered
	ticketAbandoned
)

// ticket is an operation on its way through a worker.
type ticket struct {
	op Op
	// result and err are set before done is closed.
	result Result
	err    error
	done   chan struct{}
	state  atomic.Int32

	// The fields below belong to the worker.

	// sent says that a write with the operation may still land, or has been
	// handed to another node.
	inDoubt bool
	// remote says that another node has handed the operation over (rule C5).
	remote bool
	// number orders tickets and reads of the shard (rule C7).
	sequence uint64
}

func newTicket(op Op, remote bool) *ticket {
	return &ticket{op: op, remote: remote, done: make(chan struct{})}
}

// abandon ends the caller's interest. It returns false if the result is there.
func (t *ticket) abandon() bool {
	return t.state.CompareAndSwap(ticketWaiting, ticketAbandoned)
}

// abandoned reports whether the caller is gone.
func (t *ticket) abandoned() bool { return t.state.Load() == ticketAbandoned }

// deliver hands over the result. It returns false if the caller is gone.
func (t *ticket) deliver(result Result, err error) bool {
	t.result, t.err = result, err
	if !t.state.CompareAndSwap(ticketWaiting, ticketDelivered) {
		return false
	}
	close(t.done)
	return true
}

// mustCommit reports whether the operation has to be recorded sooner or later even if
// nobody waits for it.
func (t *ticket) mustCommit() bool { return t.op.Kind != OpClaim && !t.remote }

// asRelease turns a claim that nobody waits for into its asRelease (rule C4).
func (t *ticket) asRelease() *ticket {
	op := t.op
	op.Kind = OpRelease
	r := newTicket(op, false)
	r.sequence, r.inDoubt = t.sequence, t.inDoubt
	return r
}

// pruned returns the tickets that still have a purpose: a claim whose caller
// has left is dropped if it was never sent or is another node's, and becomes a
// release otherwise.
func prune(tickets []*ticket) []*ticket {
	kept := tickets[:0]
	for _, t := range tickets {
		switch {
		case t.op.Kind != OpClaim && !t.remote, !t.abandoned():
			kept = append(kept, t)
		case t.op.Kind == OpClaim && t.inDoubt && !t.remote:
			kept = append(kept, t.asRelease())
		}
	}
	return kept
}

// errorOf returns the error for a claim whose caller's context has ended.
func contextError(cancelled bool) error {
	if cancelled {
		return garnetworks.Errorf(garnetworks.KindCancelled, "the caller left before the call was claimed")
	}
	return unavailable("the claim was not proven in time")
}
