package garnetworks

import (
	"context"
	"time"
)

// CrashState is the evidence on whether a server crashed while running a call. The states
// are ordered by the strength of the evidence; a stronger one replaces a weaker one.
type CrashState int

const (
	// CrashSuspected: the call was interrupted; whether the server ended is not known.
	CrashSuspected CrashState = iota
	// CrashConnectionRefused: the server's host refuses connections while another server of
	// its zone answers. A partition can look the same to one node, so the server is probed
	// again.
	CrashConnectionRefused
	// CrashRefuted: the incarnation answered afterwards, so it did not end with the call.
	CrashRefuted
	// CrashProven: another incarnation answers in its place. A partition can't cause this,
	// whereas it can make an entry expire or connections be refused.
	CrashProven
)

// InterruptedRun is an incarnation of a server on which a call was interrupted. Fields are
// encoded by position, because it is sent between nodes.
type InterruptedRun struct {
	_        struct{} `cbor:",toarray"`
	Instance InstanceID
	StartMS  int64
	// AgeMS is how long ago the call was interrupted, in milliseconds; at least 0.
	AgeMS int64
	State CrashState
}

// Incarnation returns the incarnation of the server.
func (r *InterruptedRun) Incarnation() Incarnation {
	return Incarnation{Instance: r.Instance, StartMS: r.StartMS}
}

// ContentRecord is what is known about the runs of calls with the same content, or of calls with the
// same part in their prompts.
type ContentRecord struct {
	_      struct{} `cbor:",toarray"`
	Digest ContentDigest
	// Runs are the interrupted ones, each of a different incarnation.
	Runs []InterruptedRun
	// LastCompletedAgeMS is how long ago a server last completed such a call, or for a part how
	// long ago one was last known to have survived the beginning of its answer, in milliseconds;
	// below 0 if none is known to have.
	LastCompletedAgeMS int64
	// TrialAgeMS is how long ago a node was last allowed to let one call through, in milliseconds;
	// 0 if none is known to have been. It comes from the object API and is not sent between nodes.
	TrialAgeMS int64 `cbor:"-"`
}

// SurvivalTime is how long after the beginning of an answer a server has survived it. A server that a
// part of the prompt crashes does so with the first event or before it.
const SurvivalTime = 300 * time.Millisecond

// Quarantine keeps calls that crash servers away from further servers.
type Quarantine interface {
	// Quarantined returns how long calls like this one remain quarantined, and whether they are.
	// While this is being determined it waits briefly, at most until ctx ends.
	Quarantined(ctx context.Context, call CallIdentity) (time.Duration, bool)
	// ReportInterrupted records that a call was interrupted on a server registered as live. The
	// identity has no parts if the server had survived the beginning of the answer.
	ReportInterrupted(call CallIdentity, incarnation Incarnation)
	// ReportSurvival records that a server survived the beginning of an answer to the call.
	ReportSurvival(call CallIdentity)
	// ReportCompleted records that a server completed a call.
	ReportCompleted(call CallIdentity)
}

// QuarantinedError returns the error for a call that is quarantined for the remaining time.
func QuarantinedError(remaining time.Duration) error {
	return &Error{Kind: KindCallQuarantined, Detail: "servers ended under calls with this content or a part of it", RetryAfter: remaining}
}

// ContentRecordStore holds a node's records, for exchange with other nodes.
type ContentRecordStore interface {
	// Checksum is equal on nodes that know the same about the contents on which at least two
	// servers were interrupted.
	Checksum() uint64
	// Recent returns the records that changed recently, Retained those that Checksum covers.
	Recent() []ContentRecord
	Retained() []ContentRecord
	Merge(records []ContentRecord)
}
