package messenger

import (
	"context"

	"github.com/garnetworks/garnetworks"
)

// verdict requests cause no event on the receiver, so they carry no timestamp. The handler
// waits for the answers of probed engines.
var verdict = rpc[garnetworks.VerdictRequest, garnetworks.VerdictResponse]{
	name: "verdict", progressTimeout: stateProgressTimeout, waits: true,
	call:              handleVerdicts,
	requestTimestamp:  func(*garnetworks.VerdictRequest) *garnetworks.Timestamp { return new(garnetworks.Timestamp) },
	responseTimestamp: func(m *garnetworks.VerdictResponse) *garnetworks.Timestamp { return &m.At },
}

// handleVerdicts returns KindInvalidRequest if h does not implement VerdictHandler.
func handleVerdicts(h garnetworks.PeerHandler, ctx context.Context, request *garnetworks.VerdictRequest) (*garnetworks.VerdictResponse, error) {
	v, ok := h.(garnetworks.VerdictHandler)
	if !ok {
		return nil, garnetworks.Errorf(garnetworks.KindInvalidRequest, "the node gives no verdicts on groups")
	}
	return v.Verdicts(ctx, request)
}

// Verdicts implements garnetworks.VerdictCaller.
func (c *Client) Verdicts(ctx context.Context, address string, request *garnetworks.VerdictRequest) (*garnetworks.VerdictResponse, error) {
	return invoke(ctx, c, address, verdict, request)
}

var _ garnetworks.VerdictCaller = (*Client)(nil)
