package claimer

import (
	"context"

	"github.com/garnetworks/garnetworks"
)

// PeerForwarder forwards operations to other nodes over the peer protocol.
type PeerForwarder struct {
	Peers garnetworks.ClaimsCaller
}

var _ Forwarder = PeerForwarder{}

// Commit implements Forwarder.
func (f PeerForwarder) Commit(ctx context.Context, node garnetworks.NodeInfo, shard int, ops []Op) ([]Result, error) {
	encoded, err := encode(ops)
	if err != nil {
		return nil, err
	}
	answer, err := f.Peers.CommitClaims(ctx, node.Address, &garnetworks.CommitClaimsRequest{Shard: shard, Operations: encoded})
	if err != nil {
		return nil, err
	}
	var results []Result
	return results, decode(answer.Results, &results)
}

var _ garnetworks.ClaimsHandler = (*Claimer)(nil)

// CommitClaims implements garnetworks.ClaimsHandler.
func (c *Claimer) CommitClaims(ctx context.Context, request *garnetworks.CommitClaimsRequest) (*garnetworks.CommitClaimsResponse, error) {
	var ops []Op
	if err := decode(request.Operations, &ops); err != nil {
		return nil, garnetworks.WrapError(garnetworks.KindInvalidRequest, err, "the operations can't be read")
	}
	results, err := c.CommitForwarded(ctx, request.Shard, ops)
	if err != nil {
		return nil, err
	}
	encoded, err := encode(results)
	if err != nil {
		return nil, err
	}
	return &garnetworks.CommitClaimsResponse{Results: encoded}, nil
}
