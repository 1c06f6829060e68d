package acceptor

import (
	"context"
	"net"
	"syscall"

	"github.com/pkg/errors"
)

// connKey is the key of a request's connection in its context.
type connKey struct{}

// WithConn is the ConnContext of an http.Server that serves a Listener with an idle time.
func WithConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// Gone reports whether the client of the request with the context has closed its connection (V3).
func Gone(ctx context.Context) bool {
	c, ok := ctx.Value(connKey{}).(*conn)
	return ok && c.gone()
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
