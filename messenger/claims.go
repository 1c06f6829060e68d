package messenger

import (
	"context"

	"github.com/garnetworks/garnetworks"
)

// commitClaims requests cause no event on the receiver, so they carry no timestamp. The
// progress timeout is the longer one because a handler waits for a write to the object API.
var commitClaims = rpc[garnetworks.CommitClaimsRequest, garnetworks.CommitClaimsResponse]{
	name: "commit-claims", progressTimeout: readProgressTimeout,
	call:              handleCommitClaims,
	requestTimestamp:  func(*garnetworks.CommitClaimsRequest) *garnetworks.Timestamp { return new(garnetworks.Timestamp) },
	responseTimestamp: func(m *garnetworks.CommitClaimsResponse) *garnetworks.Timestamp { return &m.At },
}

// handleCommitClaims returns KindInvalidRequest if h does not implement ClaimsHandler.
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
