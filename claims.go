package garnetworks

import "context"

// CommitClaimsRequest hands operations on one shard of the claims to the node
// that commits them for its region. Fields are encoded by position.
type CommitClaimsRequest struct {
	_ struct{} `cbor:",toarray"`
	// Shard is the shard's number.
	Shard int
	// Operations are encoded by package claimer.
	Operations []byte
}

// CommitClaimsResponse holds the results of operations that are proven to be in
// the object API.
type CommitClaimsResponse struct {
	_  struct{} `cbor:",toarray"`
	At Timestamp
	// Results are encoded by package claimer, one for each operation.
	Results []byte
}

// ClaimsCaller hands claims to another node by address. After an error the
// operations may have been committed, or may still be.
type ClaimsCaller interface {
	CommitClaims(ctx context.Context, address string, request *CommitClaimsRequest) (*CommitClaimsResponse, error)
}

// ClaimsHandler commits other nodes' claims.
type ClaimsHandler interface {
	CommitClaims(ctx context.Context, request *CommitClaimsRequest) (*CommitClaimsResponse, error)
}
