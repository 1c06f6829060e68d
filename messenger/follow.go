package messenger

import (
	"context"

	"github.com/garnetworks/garnetworks"
)

// Follow and exchange requests are sent several times a second and cause no event, so
// they carry no timestamp.
var (
	follow = rpc[garnetworks.FollowRequest, garnetworks.FollowResponse]{
		name: "follow", progressTimeout: readProgressTimeout, waits: true,
		call:              handleFollow,
		requestTimestamp:  func(*garnetworks.FollowRequest) *garnetworks.Timestamp { return new(garnetworks.Timestamp) },
		responseTimestamp: func(m *garnetworks.FollowResponse) *garnetworks.Timestamp { return &m.At },
	}
	exchange = rpc[garnetworks.ExchangeRequest, garnetworks.ExchangeResponse]{
		name: "exchange", progressTimeout: stateProgressTimeout,
		call:              handleExchange,
		requestTimestamp:  func(*garnetworks.ExchangeRequest) *garnetworks.Timestamp { return new(garnetworks.Timestamp) },
		responseTimestamp: func(m *garnetworks.ExchangeResponse) *garnetworks.Timestamp { return &m.At },
	}
)

// handleFollow returns KindInvalidRequest if h does not implement FollowHandler.
func handleFollow(h garnetworks.PeerHandler, ctx context.Context, request *garnetworks.FollowRequest) (*garnetworks.FollowResponse, error) {
	f, ok := h.(garnetworks.FollowHandler)
	if !ok {
		return nil, garnetworks.Errorf(garnetworks.KindInvalidRequest, "the node follows no objects for others")
	}
	return f.Follow(ctx, request)
}

// handleExchange returns KindInvalidRequest if h does not implement ExchangeHandler.
func handleExchange(h garnetworks.PeerHandler, ctx context.Context, request *garnetworks.ExchangeRequest) (*garnetworks.ExchangeResponse, error) {
	e, ok := h.(garnetworks.ExchangeHandler)
	if !ok {
		return nil, garnetworks.Errorf(garnetworks.KindInvalidRequest, "the node exchanges no loads")
	}
	return e.Exchange(ctx, request)
}

// Follow implements garnetworks.FollowCaller.
func (c *Client) Follow(ctx context.Context, address string, request *garnetworks.FollowRequest) (*garnetworks.FollowResponse, error) {
	return invoke(ctx, c, address, follow, request)
}

// Exchange implements garnetworks.ExchangeCaller.
func (c *Client) Exchange(ctx context.Context, address string, request *garnetworks.ExchangeRequest) (*garnetworks.ExchangeResponse, error) {
	return invoke(ctx, c, address, exchange, request)
}

var (
	_ garnetworks.FollowCaller   = (*Client)(nil)
	_ garnetworks.ExchangeCaller = (*Client)(nil)
)
