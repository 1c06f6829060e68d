// Package garnetworks holds the domain of the serving system: plain structs
// with their invariants, the interfaces of everything that varies, and the
// closed list of error kinds. The packages below it hold one aggregate or one
// decision each; decisions are pure (state and time in, decision out) and
// adapters around them are thin.
//
// The whole system keeps these rules. Code elsewhere cites them as "rule G1"
// and so on at the line that keeps them.
//
//	G1  A replica group serves only while each of its members has confirmed,
//	    within ConfirmationBound, the same group, fencing token, model and
//	    version.
//	G2  An instance belongs to one group at most. A group lies wholly in one
//	    fabric domain, and a domain is one object, so one conditional update
//	    decides membership.
//	G3  Fencing tokens never go back: the high part is the term of the lease
//	    whose holder issued them, the low part counts within the term.
//	G4  The power drawn, counted pessimistically (an instance is on until it is
//	    proven off), never exceeds the site's cap.
//	G5  "not run" is said only when it is proven that no backend server began
//	    the call.
//	G6  A call that may not be repeated is sent to a backend server once at
//	    most, over all entry nodes, when it carries an idempotency key; and once
//	    at most for each receipt when it carries none.
//	G7  An answer reaches only the caller whose call identifier it echoes, and
//	    it counts as whole only with its end marker.
//	G8  A leaving backend server gets no new work within LeavingBound of the
//	    first sign.
//	G9  A planned stop cuts off no call in flight.
//	G10 A node never applies a manifest generation lower than one it has
//	    applied before.
//	G11 A write to the object API whose answer was lost is read back before
//	    anything is concluded from it.
//	G12 A lease holder sends no order later than its lease's end, measured on
//	    its own monotonic clock from before the write that renewed the lease.
package garnetworks

import "time"

// Bounds that several packages share.
const (
	// ConfirmationBound is the age at which a member's confirmation no longer
	// counts (rule G1). It is three probe intervals, so that one lost probe
	// does not take a group out.
	ConfirmationBound = 3 * time.Second
	// ProbeInterval is the time between two probes of one engine instance.
	ProbeInterval = time.Second
	// LeavingBound is the time within which a leaving backend server stops
	// receiving new work (rule G8).
	LeavingBound = 3 * time.Second
	// MaxObjectBytes is the largest value that the object API holds.
	MaxObjectBytes = 1 << 20
)
