package acceptor

import (
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// conn is a client's connection to an http.Server.
type conn struct {
	net.Conn
	idleTime func() time.Duration
	// idle says that the server waits for the next request.
	idle atomic.Bool
}

// Track is the ConnState of an http.Server that serves a Listener with an idle time.
func Track(c net.Conn, state http.ConnState) {
	if c, ok := c.(*conn); ok {
		c.idle.Store(state == http.StateIdle)
	}
}

// SetReadDeadline replaces the server's idle timeout, which it sets once a connection is unused.
func (c *conn) SetReadDeadline(t time.Time) error {
	if idle := c.idleTime(); idle > 0 && c.idle.Load() && !t.IsZero() {
		t = time.Now().Add(idle)
	}
	return c.Conn.SetReadDeadline(t)
}

// Read reads once more when the idle time has ended (V2).
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 && c.idle.Load() && errors.Is(err, os.ErrDeadlineExceeded) {
		n = c.readArrived(p)
	}
	if n > 0 {
		c.idle.Store(false)
		return n, nil
	}
	return n, err
}

// readArrived reads what has arrived, without waiting; 0 if there is nothing.
func (c *conn) readArrived(p []byte) (n int) {
	raw, ok := c.Conn.(syscall.Conn)
	if !ok || c.Conn.SetReadDeadline(time.Time{}) != nil {
		return 0
	}
	socket, err := raw.SyscallConn()
	if err != nil {
		return 0 // the connection is closed
	}
	read := func(descriptor uintptr) bool {
		n, err = unix.Read(int(descriptor), p)
		return true
	}
	if failure := socket.Read(read); failure != nil || err != nil {
		return 0 // nothing has arrived, or the connection is closed
	}
	return n
}
