package garnetworks

import (
	"context"
	"time"
)

// EndState says what is known of a server's life under which a call broke off. A higher
// one is known for certain by more, and goes before a lower one.
type EndState int

const (
	// EndSuspected: the call broke off; whether the server ended is not known.
	EndSuspected EndState = iota
	// EndRefused: its host refuses connections, while another one answers: nobody listens
	// there. A partition can look the same to one node, so it is asked again.
	EndRefused
	// EndRefuted: the life answered afterwards, so it did not end under the call.
	EndRefuted
	// EndProven: another life answers in its place. A partition can't make this, as it can
	// make an entry go, or connections be refused.
	EndProven
)

// BrokenRun is a server's life under which a call broke off. Fields are encoded by
// position, since it travels between nodes.
type BrokenRun struct {
	_        struct{} `cbor:",toarray"`
	Instance InstanceID
	Born     int64
	// AgeMS is how long ago it broke off, in milliseconds; at least 0.
	AgeMS int64
	State EndState
}

// Life returns the run of the server's process.
func (r *BrokenRun) Life() Life { return Life{Instance: r.Instance, Born: r.Born} }

// ContentRecord is what is known of the runs of calls with one content.
type ContentRecord struct {
	_       struct{} `cbor:",toarray"`
	Content ContentDigest
	// Runs are those that broke off, of different lives.
	Runs []BrokenRun
	// AnsweredMS is how long ago a server last answered such a call whole, in
	// milliseconds; below 0 if none is known to have.
	AnsweredMS int64
}

// Quarantine keeps calls under which servers end from further servers.
type Quarantine interface {
	// Held returns for how long calls with the content are still kept from servers, and
	// whether they are. It waits for a moment, at most until ctx ends, where that is just
	// being found out.
	Held(ctx context.Context, content ContentDigest) (time.Duration, bool)
	// Broke takes that a call broke off at a server that was registered as live.
	Broke(content ContentDigest, life Life)
	// Answered takes that a server answered a call whole.
	Answered(content ContentDigest)
}

// HeldError returns the error of a call that is kept from servers for some time.
func HeldError(left time.Duration) error {
	return &Error{Kind: KindCallHeld, Detail: "servers ended under calls with this content", RetryAfter: left}
}

// ContentRecords are a node's records, for exchange with other nodes.
type ContentRecords interface {
	// Sum is the same at nodes that know the same of contents under which two servers or
	// more have ended.
	Sum() uint64
	// Recent returns the records that changed a moment ago, Lasting those that Sum is of.
	Recent() []ContentRecord
	Lasting() []ContentRecord
	Merge(records []ContentRecord)
}
