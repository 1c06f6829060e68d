package acceptor

import (
	"context"
	"net"
	"syscall"

	"github.com/pkg/errors"

	"github.com/garnetworks/garnetworks/evictor"
)

// connKey is the key of a request's connection in its context.
type connKey struct{}

// WithConn is the ConnContext of an http.Server that serves a Listener.
func WithConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// Gone reports whether the client of the request with the context has closed its connection (V3).
func Gone(ctx context.Context) bool {
	c, ok := ctx.Value(connKey{}).(*conn)
	return ok && c.gone()
}

// BeginBody says that the body of the request with the context is being read, and EndBody that its
// reading has ended. A connection whose body does not arrive may be ended for others (rule V5).
func BeginBody(ctx context.Context) {
	if c, ok := ctx.Value(connKey{}).(*conn); ok {
		c.enter(evictor.Uploading)
	}
}

// EndBody is described at BeginBody. A connection whose body is incomplete serves no further request.
func EndBody(ctx context.Context, complete bool) {
	if c, ok := ctx.Value(connKey{}).(*conn); ok && complete {
		c.resume(evictor.Serving)
	}
}

// ReserveAnswer takes memory for an answer of that many bytes to the request with the context, which is kept until
// its client has read it. It reports whether there is enough (rule V7).
func ReserveAnswer(ctx context.Context, bytes int64) bool {
	c, ok := ctx.Value(connKey{}).(*conn)
	return !ok || c.reserveBytes(c.head.cost()+bytes)
}

// gone looks at what has arrived without reading it, beside a Read that waits.
func (c *conn) gone() bool {
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	socket, err := raw.SyscallConn()
	if err != nil {
		return true // the connection is closed
	}
	gone := false
	if err := socket.Control(func(descriptor uintptr) {
		var one [1]byte
		n, _, err := syscall.Recvfrom(int(descriptor), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		gone = n == 0 && err == nil || errors.Is(err, syscall.ECONNRESET)
	}); err != nil {
		return true // likewise
	}
	return gone
}
