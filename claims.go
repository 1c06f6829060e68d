package garnetworks

import "context"

// CommitClaimsRequest forwards operations on one shard of the claims to the node
// that commits them for its region. Fields are encoded by position.
type CommitClaimsRequest struct {
	_ struct{} `cbor:",toarray"`
	// Shard is the shard's number.
	Shard int
	// Operations are encoded by package claimer.
	Operations []byte
}

// CommitClaimsResponse holds the results of operations that are known to be
// stored in the object API.
type CommitClaimsResponse struct {
	_  struct{} `cbor:",toarray"`
	At Timestamp
	// Results are encoded by package claimer, one for each operation.
	Results []byte
}

// ClaimsCaller forwards claim operations to the node at an address. After an
// error they may already be committed, or may be committed later.
type ClaimsCaller interface {
	CommitClaims(ctx context.Context, address string, request *CommitClaimsRequest) (*CommitClaimsResponse, error)
}

// ClaimsHandler commits claim operations for other nodes.
type ClaimsHandler interface {
	CommitClaims(ctx context.Context, request *CommitClaimsRequest) (*CommitClaimsResponse, error)
}
