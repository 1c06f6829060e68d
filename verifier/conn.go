package verifier

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// Conn is a connection that is read while it may be written (rule V1). One goroutine reads from it.
type Conn struct {
	net.Conn
	// writing is held during a write.
	writing sync.Mutex
	// failure is the first error by which the connection failed.
	failure atomic.Pointer[error]
}

// NewConn returns a Conn over conn.
func NewConn(conn net.Conn) *Conn { return &Conn{Conn: conn} }

// Dial opens a connection; net.Dialer.DialContext is one.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Verified returns a Dial whose connections are of type *Conn.
func (d Dial) Verified(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := d(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return NewConn(conn), nil
}

// Read implements net.Conn. It returns io.EOF only if the other side closed the connection in order.
//
// Failure: the server resets the connection while a request is being written. The write gets the error and
// the next read io.EOF, so that the part of a body that has arrived counts as all of it.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err == io.EOF {
		if failure := c.failureOfWrites(); failure != nil {
			return n, errors.Wrap(failure, "the connection has failed")
		}
		return n, err
	}
	c.record(err)
	return n, err
}

// failureOfWrites returns the failure of the connection once no write is in progress. A blocked write is
// ended, as the other side sends nothing more.
func (c *Conn) failureOfWrites() error {
	if !c.writing.TryLock() {
		_ = c.Conn.SetWriteDeadline(time.Unix(1, 0)) // fails only on a closed connection, where writes end as well
		c.writing.Lock()
	}
	defer c.writing.Unlock()
	if failure := c.failure.Load(); failure != nil {
		return *failure
	}
	return nil
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	c.record(err)
	return n, err
}

// WriteBuffers writes all buffers, with one system call where the connection can do so.
func (c *Conn) WriteBuffers(buffers net.Buffers) error {
	c.writing.Lock()
	defer c.writing.Unlock()
	_, err := buffers.WriteTo(c.Conn)
	c.record(err)
	return err
}

// record keeps the error of a failed connection. EPIPE is not one: writes get it once the other side has
// closed the connection in order, even if a reset followed.
func (c *Conn) record(err error) {
	var number syscall.Errno
	if errors.As(err, &number) && number != syscall.EPIPE {
		c.failure.CompareAndSwap(nil, &err)
	}
}

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	conn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.Errorf("a %T has no socket", c.Conn)
	}
	return conn.SyscallConn()
}
