package garnetworks

import (
	"context"
	"time"
)

// CrashState says what is known of a server's life under which a call broke off. A higher
// one is known for certain by more, and goes before a lower one.
type CrashState int

const (
	// CrashSuspected: the call broke off; whether the server ended is not known.
	CrashSuspected CrashState = iota
	// CrashConnectionRefused: its host refuses connections, while another one answers: nobody listens
	// there. A partition can look the same to one node, so it is asked again.
	CrashConnectionRefused
	// CrashRefuted: the life answered afterwards, so it did not end under the call.
	CrashRefuted
	// CrashProven: another life answers in its place. A partition can't make this, as it can
	// make an entry go, or connections be refused.
	CrashProven
)

// InterruptedRun is a server's life under which a call broke off. Fields are encoded by
// position, since it travels between nodes.
type InterruptedRun struct {
	_        struct{} `cbor:",toarray"`
	Instance InstanceID
	StartMS  int64
	// AgeMS is how long ago it broke off, in milliseconds; at least 0.
	AgeMS int64
	State CrashState
}

// Incarnation returns the run of the server's process.
func (r *InterruptedRun) Incarnation() Incarnation {
	return Incarnation{Instance: r.Instance, StartMS: r.StartMS}
}

// ContentRecord is what is known of the runs of calls with one content.
type ContentRecord struct {
	_      struct{} `cbor:",toarray"`
	Digest ContentDigest
	// Runs are those that broke off, of different lives.
	Runs []InterruptedRun
	// LastCompletedAgeMS is how long ago a server last answered such a call whole, in
	// milliseconds; below 0 if none is known to have.
	LastCompletedAgeMS int64
}

// Quarantine keeps calls under which servers end from further servers.
type Quarantine interface {
	// Quarantined returns for how long calls with the content are still kept from servers, and
	// whether they are. It waits for a moment, at most until ctx ends, where that is just
	// being found out.
	Quarantined(ctx context.Context, content ContentDigest) (time.Duration, bool)
	// ReportInterrupted takes that a call broke off at a server that was registered as live.
	ReportInterrupted(content ContentDigest, incarnation Incarnation)
	// ReportCompleted takes that a server answered a call whole.
	ReportCompleted(content ContentDigest)
}

// QuarantinedError returns the error of a call that is kept from servers for some time.
func QuarantinedError(remaining time.Duration) error {
	return &Error{Kind: KindCallQuarantined, Detail: "servers ended under calls with this content", RetryAfter: remaining}
}

// ContentRecordStore are a node's records, for exchange with other nodes.
type ContentRecordStore interface {
	// Checksum is the same at nodes that know the same of contents under which two servers or
	// more have ended.
	Checksum() uint64
	// Recent returns the records that changed a moment ago, Retained those that Checksum is of.
	Recent() []ContentRecord
	Retained() []ContentRecord
	Merge(records []ContentRecord)
}
