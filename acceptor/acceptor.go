// Package acceptor accepts connections for a server that must outlast a shortage of descriptors,
// closes those that clients leave unused, and detects clients that have left.
//
//	V1 An error other than that the listener is closed passes: too many open files, or a client that
//	   has left already. Accepting continues after retryTime.
//	V2 A connection is closed when it has been unused for the idle time. It is not closed if
//	   a request has arrived by then, though the timer has ended.
//	V3 Whether a client has left is known as soon as the end of its connection has arrived. The
//	   context of a request shows it only when a goroutine has read that, which may be later
//	   than the next steps of the handler on a node that did not run for some time.
package acceptor

import (
	"net"
	"time"

	"github.com/pkg/errors"
)

// retryTime is the time from a failed accept to the next one.
const retryTime = 100 * time.Millisecond

// Listener is a listener whose Accept fails only when it is closed.
type Listener struct {
	net.Listener
	// IdleTime returns how long a connection may be unused; 0 leaves it to the server. It may be nil.
	// It applies to a server with an IdleTimeout whose ConnState is Track and ConnContext WithConn.
	IdleTime func() time.Duration
	// Log receives the first of several errors in a row.
	Log func(error)
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for failures := 0; ; failures++ {
		c, err := l.Listener.Accept()
		switch {
		case err == nil && l.IdleTime == nil:
			return c, nil
		case err == nil:
			return &conn{Conn: c, idleTime: l.IdleTime}, nil
		case errors.Is(err, net.ErrClosed):
			return nil, err
		case failures == 0:
			l.Log(err)
		}
		time.Sleep(retryTime)
	}
}
