package claimer

import (
	"sync/atomic"

	"github.com/garnetworks/garnetworks"
)

// States of a ticket. A ticket leaves ticketWaiting only once, so that either its caller
// gets the result or the worker knows that the caller does not.
const (
	ticketWaiting int32 = iota
	ticketDelivered
	ticketAbandoned
)

// ticket is an operation submitted to a worker.
type ticket struct {
	op Op
	// result and err are set before done is closed.
	result Result
	err    error
	done   chan struct{}
	state  atomic.Int32

	// The fields below are owned by the worker.

	// inDoubt is true if a write with the operation may still take effect, or if it was
	// forwarded to another node.
	inDoubt bool
	// remote is true if another node forwarded the operation (rule C5).
	remote bool
	// sequence orders tickets and reads of the shard (rule C7).
	sequence uint64
}

func newTicket(op Op, remote bool) *ticket {
	return &ticket{op: op, remote: remote, done: make(chan struct{})}
}

// abandon ends the caller's wait. It returns false if the result has been delivered.
func (t *ticket) abandon() bool {
	return t.state.CompareAndSwap(ticketWaiting, ticketAbandoned)
}

// abandoned reports whether the caller has stopped waiting.
func (t *ticket) abandoned() bool { return t.state.Load() == ticketAbandoned }

// deliver delivers the result. It returns false if the caller has stopped waiting.
func (t *ticket) deliver(result Result, err error) bool {
	t.result, t.err = result, err
	if !t.state.CompareAndSwap(ticketWaiting, ticketDelivered) {
		return false
	}
	close(t.done)
	return true
}

// mustCommit reports whether the operation must eventually be recorded even if no caller
// waits for it.
func (t *ticket) mustCommit() bool { return t.op.Kind != OpClaim && !t.remote }

// asRelease returns a ticket that releases the ticket's claim (rule C4).
func (t *ticket) asRelease() *ticket {
	op := t.op
	op.Kind = OpRelease
	r := newTicket(op, false)
	r.sequence, r.inDoubt = t.sequence, t.inDoubt
	return r
}

// prune drops abandoned tickets that need no commit: those of other nodes, and claims that are
// not in doubt. An abandoned claim in doubt is replaced by its release.
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

// contextError returns the error for a claim whose caller's context has ended.
func contextError(cancelled bool) error {
	if cancelled {
		return garnetworks.Errorf(garnetworks.KindCancelled, "the caller left before the call was claimed")
	}
	return unavailable("the claim was not proven in time")
}
