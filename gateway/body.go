package gateway

import (
	"io"
	"math/rand/v2"
	"net/http"

	"github.com/pkg/errors"

	"github.com/garnetworks/garnetworks"
)

// defaultBodyBytes limits a body if the routing sets no limit.
const defaultBodyBytes = 4 << 20

func random() float64 { return rand.Float64() }

func asError(err error) (*garnetworks.Error, bool) {
	var e *garnetworks.Error
	ok := errors.As(err, &e)
	return e, ok
}

// readBody reads the whole body, so that the call can be sent again and reaches a server only
// after the client has sent all of it.
func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	if r.ContentLength == 0 {
		return nil, nil
	}
	if r.ContentLength > limit {
		w.Header().Set("Connection", "close")
		return nil, garnetworks.Errorf(garnetworks.KindTooLarge, "the body has %d bytes", r.ContentLength)
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	if err == nil {
		return body, nil
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, garnetworks.WrapError(garnetworks.KindTooLarge, err, "the body is too large")
	}
	return nil, garnetworks.WrapError(garnetworks.KindInvalidRequest, err, "the body is incomplete")
}
