package messenger

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"
	"storj.io/drpc/drpcerr"

	"github.com/garnetworks/garnetworks"
)

// failureCode marks a drpc error whose text is an encoded failure.
const failureCode = 1

// failure is an error as sent to the caller (rule M6). The cause is not sent: it may
// contain internals that the caller must not see.
type failure struct {
	Kind       garnetworks.Kind      `json:"kind"`
	Detail     string                `json:"detail"`
	RetryAfter time.Duration         `json:"retry-after,omitempty"`
	At         garnetworks.Timestamp `json:"at"`
}

// encodeFailure converts a handler's error to a drpc error that carries the kind.
func encodeFailure(err error, at garnetworks.Timestamp) error {
	f := failure{Kind: garnetworks.KindOf(err), At: at}
	var e *garnetworks.Error
	switch {
	case errors.As(err, &e):
		f.Detail, f.RetryAfter = e.Detail, e.RetryAfter
	default:
		f.Detail = "the peer failed"
	}
	text, encodeErr := json.Marshal(f)
	if encodeErr != nil {
		return err
	}
	return drpcerr.WithCode(errors.New(string(text)), failureCode)
}

// decodeFailure returns the failure that the peer sent; false if err is another error.
func decodeFailure(err error) (failure, bool) {
	var f failure
	if drpcerr.Code(err) != failureCode {
		return f, false
	}
	if json.Unmarshal([]byte(err.Error()), &f) != nil {
		return f, false
	}
	return f, true
}

func (f failure) error() error {
	return &garnetworks.Error{Kind: f.Kind, Detail: f.Detail, RetryAfter: f.RetryAfter}
}

// responseLost returns the error of a call that may have reached the peer.
func responseLost(ctx context.Context, address string, cause error) error {
	if ctx.Err() != nil {
		cause = ctx.Err()
	}
	return garnetworks.WrapError(garnetworks.KindResponseLost, cause, "no answer from "+address)
}
