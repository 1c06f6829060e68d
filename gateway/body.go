package gateway

import (
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/acceptor"
)

const (
	// defaultBodyBytes limits a body if the routing sets no limit.
	defaultBodyBytes = 4 << 20
	// bodyFraction is the part of the node's memory that the bodies of calls may take, and minBodies
	// the bytes that they may take at least.
	bodyFraction = 0.2
	minBodies    = 4 * defaultBodyBytes
	// smallBodyReserve is the part of it that is left to bodies of at most smallBody bytes.
	smallBodyReserve = 1.0 / 8
	smallBody        = 64 << 10
	// discardTime and maxDiscardedBytes bound what is read of a body after its call was refused.
	discardTime       = 2 * time.Second
	maxDiscardedBytes = 2 * defaultBodyBytes
)

func random() float64 { return rand.Float64() }

func asError(err error) (*garnetworks.Error, bool) {
	var e *garnetworks.Error
	ok := errors.As(err, &e)
	return e, ok
}

// readBody reads the whole body, so that the call can be sent again and reaches a server only
// after the client has sent all of it. It refuses one that does not fit into the node's memory
// before it is read (rule W7).
func (x *exchange) readBody(limit int64) (body []byte, err error) {
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	length := x.request.ContentLength
	if length == 0 {
		return nil, nil
	}
	if length > limit {
		return nil, x.unread(garnetworks.Errorf(garnetworks.KindTooLarge, "the body has %d bytes", length))
	}
	// A body that arrives after the call's deadline is of no use; what can't set a deadline is no
	// connection.
	connection := http.NewResponseController(x.w)
	_ = connection.SetReadDeadline(x.deadline)
	acceptor.BeginBody(x.request.Context())
	release := x.endWhenClosing(func() { _ = connection.SetReadDeadline(time.Unix(1, 0)) })
	defer func() {
		release()
		acceptor.EndBody(x.request.Context(), err == nil)
		_ = connection.SetReadDeadline(time.Time{})
	}()
	if length > 0 {
		return x.readSized(length)
	}
	return x.readUnsized(limit)
}

// readSized reads a body of a known length.
func (x *exchange) readSized(length int64) ([]byte, error) {
	if !x.reserve(length) {
		return nil, x.unread(garnetworks.Errorf(garnetworks.KindOverloaded, "the bodies of other calls leave no room for %d bytes", length))
	}
	body := make([]byte, length)
	if _, err := io.ReadFull(x.request.Body, body); err != nil {
		return nil, x.incomplete(err)
	}
	return body, nil
}

// readUnsized reads a body of unknown length.
func (x *exchange) readUnsized(limit int64) ([]byte, error) {
	var body []byte
	for {
		if len(body) == cap(body) {
			larger := min(max(smallBody, 2*int64(cap(body))), limit+1)
			if !x.reserve(larger - int64(cap(body))) {
				return nil, x.unread(garnetworks.Errorf(garnetworks.KindOverloaded, "the bodies of other calls leave no room for %d bytes", larger))
			}
			body = append(make([]byte, 0, larger), body...)
		}
		n, err := x.request.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case int64(len(body)) > limit:
			return nil, x.unread(garnetworks.Errorf(garnetworks.KindTooLarge, "the body has more than %d bytes", limit))
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			return nil, x.incomplete(err)
		}
	}
}

// unread notes that the rest of the body is still to come, and closes the connection after the answer.
func (x *exchange) unread(err error) error {
	x.bodyUnread = true
	x.w.Header().Set("Connection", "close")
	return err
}

// discardRest reads what is left of the body of a refused call. A connection that is closed before
// is reset, and a client that is still sending doesn't see its answer.
func (x *exchange) discardRest() {
	if !x.bodyUnread {
		return
	}
	// The answer is sent and the connection closes: what fails here fails for a client that has left.
	connection := http.NewResponseController(x.w)
	_ = connection.Flush()
	_ = connection.SetReadDeadline(time.Now().Add(discardTime))
	_, _ = io.CopyN(io.Discard, x.request.Body, maxDiscardedBytes)
}

// incomplete returns the error for a body that broke off or did not arrive in time.
func (x *exchange) incomplete(err error) error {
	kind := garnetworks.KindInvalidRequest
	if errors.Is(err, os.ErrDeadlineExceeded) {
		if stopped := x.checkStop(); stopped != nil {
			return x.unread(stopped)
		}
		kind = garnetworks.KindDeadlineUnreachable
	}
	return x.unread(garnetworks.WrapError(kind, err, "the body is incomplete"))
}

// reserve takes memory for the call's body, until the call ends.
func (x *exchange) reserve(bytes int64) bool {
	if !x.bodies.reserve(bytes) {
		return false
	}
	x.reserved += bytes
	return true
}

// releaseBody returns the memory of the call's body.
func (x *exchange) releaseBody() {
	x.bodies.release(x.reserved)
	x.reserved = 0
}

// bodies bounds the memory that the bodies of calls take (rule W7).
type bodies struct {
	limit int64
	mu    sync.Mutex
	used  int64
}

// newBodies returns bodies for a node with that much memory; without a bound if it is 0.
func newBodies(memory int64) *bodies {
	if memory <= 0 {
		return &bodies{limit: math.MaxInt64}
	}
	return &bodies{limit: max(minBodies, int64(float64(memory)*bodyFraction))}
}

// reserve takes bytes if there are enough, and reports whether it did.
func (b *bodies) reserve(bytes int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	left := b.limit - b.used
	if bytes > smallBody {
		left -= int64(float64(b.limit) * smallBodyReserve)
	}
	if bytes > left {
		return false
	}
	b.used += bytes
	return true
}

func (b *bodies) release(bytes int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= bytes
}
