package messenger

import (
	"context"

	"github.com/garnetworks/garnetworks"
)

// Requests of commitClaims lead to no event, so they carry no timestamp. A
// group waits for a write to the object API.
var commitClaims = rpc[garnetworks.CommitClaimsRequest, garnetworks.CommitClaimsResponse]{
	name: "commit-claims", progressTimeout: readProgressTimeout,
	call:              handleCommitClaims,
	requestTimestamp:  func(*garnetworks.CommitClaimsRequest) *garnetworks.Timestamp { return new(garnetworks.Timestamp) },
	responseTimestamp: func(m *garnetworks.CommitClaimsResponse) *garnetworks.Timestamp { return &m.At },
}

// handleCommitClaims answers only where the handler commits claims.
func handleCommitClaims(h garnetworks.PeerHandler, ctx context.Context, request *garnetworks.CommitClaimsRequest) (*garnetworks.CommitClaimsResponse, error) {
	committer, ok := h.(garnetworks.ClaimsHandler)
	if !ok {
		return nil, garnetworks.Errorf(garnetworks.KindInvalidRequest, "the node commits no claims")
	}
	return committer.CommitClaims(ctx, request)
}

// CommitClaims implements garnetworks.ClaimsCaller.
func (c *Client) CommitClaims(ctx context.Context, address string, request *garnetworks.CommitClaimsRequest) (*garnetworks.CommitClaimsResponse, error) {
	return invoke(ctx, c, address, commitClaims, request)
}

var _ garnetworks.ClaimsCaller = (*Client)(nil)
