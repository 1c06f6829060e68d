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
	ticketLeft
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
	sent bool
	// remote says that another node has handed the operation over (rule C5).
	remote bool
	// number orders tickets and reads of the shard (rule C7).
	number uint64
}

func newTicket(op Op, remote bool) *ticket {
	return &ticket{op: op, remote: remote, done: make(chan struct{})}
}

// leave ends the caller's interest. It returns false if the result is there.
func (t *ticket) leave() bool {
	return t.state.CompareAndSwap(ticketWaiting, ticketLeft)
}

// left reports whether the caller is gone.
func (t *ticket) left() bool { return t.state.Load() == ticketLeft }

// deliver hands over the result. It returns false if the caller is gone.
func (t *ticket) deliver(result Result, err error) bool {
	t.result, t.err = result, err
	if !t.state.CompareAndSwap(ticketWaiting, ticketDelivered) {
		return false
	}
	close(t.done)
	return true
}

// owed reports whether the operation has to be recorded sooner or later even if
// nobody waits for it.
func (t *ticket) owed() bool { return t.op.Kind != OpClaim && !t.remote }

// release turns a claim that nobody waits for into its release (rule C4).
func (t *ticket) release() *ticket {
	op := t.op
	op.Kind = OpRelease
	r := newTicket(op, false)
	r.number, r.sent = t.number, t.sent
	return r
}

// pruned returns the tickets that still have a purpose: a claim whose caller
// has left is dropped if it was never sent or is another node's, and becomes a
// release otherwise.
func pruned(tickets []*ticket) []*ticket {
	kept := tickets[:0]
	for _, t := range tickets {
		switch {
		case t.op.Kind != OpClaim && !t.remote, !t.left():
			kept = append(kept, t)
		case t.op.Kind == OpClaim && t.sent && !t.remote:
			kept = append(kept, t.release())
		}
	}
	return kept
}

// errorOf returns the error for a claim whose caller's context has ended.
func errorOf(cancelled bool) error {
	if cancelled {
		return garnetworks.Errorf(garnetworks.KindCancelled, "the caller left before the call was claimed")
	}
	return unavailable("the claim was not proven in time")
}
