// Package garnetworks is the domain model of a serving system for large language
// models: plain structs with their invariants, the interfaces that adapters
// implement, and the closed list of error kinds. Each package below it holds one
// aggregate or one kind of decision. Decisions are pure functions of state and
// time; the adapters around them are thin.
//
// The whole system keeps these rules. The code that enforces a rule cites it as
// "rule G1" and so on.
//
//	G1  A replica group serves only while each of its members has confirmed,
//	    within ConfirmationBound, the same group, fencing token, model and
//	    version.
//	G2  An instance belongs to at most one group. All members of a group are in
//	    one fabric domain. A domain is one object, so a single conditional
//	    update decides membership.
//	G3  Fencing tokens never decrease: the high part is the term of the lease
//	    whose holder issued them, the low part counts within the term.
//	G4  The site's power draw never exceeds its cap. It is counted
//	    pessimistically: an instance counts as on until it is proven off.
//	G5  "not run" is reported only if it is proven that no backend server began
//	    the call.
//	G6  A call that may not be repeated is sent to a backend server at most once
//	    across all entry nodes if it carries an idempotency key, and at most
//	    once per received request if it carries none.
//	G7  A response is delivered only to the caller whose call identifier it
//	    echoes, and it is complete only with its end marker.
//	G8  A backend server that is leaving gets no new work within LeavingBound of
//	    the first sign that it leaves.
//	G9  A planned stop interrupts no call in flight.
//	G10 A node never applies a manifest generation lower than one it has
//	    applied before.
//	G11 After a write to the object API whose response was lost, the object is
//	    read back before anything is concluded from the write.
//	G12 A lease holder sends no order after its lease has ended. The end is
//	    measured on the holder's own monotonic clock, from before the write that
//	    renewed the lease.
package garnetworks

import "time"

// Time and size limits that several packages share.
const (
	// ConfirmationBound is the age at which a member's confirmation expires (rule
	// G1). It spans three probe intervals, so that one lost probe does not take a
	// group out of service.
	ConfirmationBound = 3 * time.Second
	// ProbeInterval is the time between two probes of an engine instance.
	ProbeInterval = time.Second
	// LeavingBound is the time within which a leaving backend server stops
	// receiving new work (rule G8).
	LeavingBound = 3 * time.Second
	// MaxObjectBytes is the size of the largest value that the object API stores.
	MaxObjectBytes = 1 << 20
)
