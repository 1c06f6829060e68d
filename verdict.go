package garnetworks

import "context"

// Verdict is what the lease holder finds about a suspected group.
type Verdict string

const (
	// VerdictLost: a member does not answer, while other engines do.
	VerdictLost Verdict = "lost"
	// VerdictHealthy: all members answer.
	VerdictHealthy Verdict = "healthy"
	// VerdictUnknown: there is no finding in time, or the holder may be at fault itself.
	VerdictUnknown Verdict = "unknown"
)

// VerdictRequest asks the lease holder for its verdicts on suspected groups.
type VerdictRequest struct {
	_ struct{} `cbor:",toarray"`
	// From is the asking node.
	From NodeID
	// Groups holds each suspected group once, at most MaxSuspicions of them.
	Groups []Suspicion
}

// MaxSuspicions bounds the suspicions in a VerdictRequest: enough for the loss of a large fabric
// domain.
const MaxSuspicions = 64

// Suspicion is a group without events.
type Suspicion struct {
	_     struct{} `cbor:",toarray"`
	Group GroupID
	// SilentMS is the time since the group's last event to a call of the sender, or since the
	// call was sent, in milliseconds.
	SilentMS int64
}

// VerdictResponse holds the verdicts in the order of VerdictRequest.Groups.
type VerdictResponse struct {
	_        struct{} `cbor:",toarray"`
	At       Timestamp
	Verdicts []Verdict
}

// VerdictCaller sends VerdictRequests to the node at an address. Its errors are those of
// PeerCaller.
type VerdictCaller interface {
	Verdicts(ctx context.Context, address string, request *VerdictRequest) (*VerdictResponse, error)
}

// VerdictHandler handles VerdictRequests.
type VerdictHandler interface {
	Verdicts(ctx context.Context, request *VerdictRequest) (*VerdictResponse, error)
}
