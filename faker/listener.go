package faker

import (
	"net"
	"sync/atomic"
)

// listener accepts connections that SilenceOpen can silence.
type listener struct {
	net.Listener
	faults *Faults
	// refuses makes the listener reset new connections while it returns true; may be nil.
	refuses func() bool
}

// Accept returns the next connection. While the fake is down or refuses, it resets
// connections instead.
func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.faults.CurrentFaults().Down || (l.refuses != nil && l.refuses()) {
			reset(c)
			continue
		}
		return l.faults.track(c), nil
	}
}

// reset closes c so that the peer sees a TCP reset instead of an orderly close.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// conn is a connection that can go silent: it then discards incoming and outgoing bytes
// without an error on either side.
type conn struct {
	net.Conn
	faults *Faults
	silent atomic.Bool
}

func (f *Faults) track(c net.Conn) *conn {
	tracked := &conn{Conn: c, faults: f}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.conns == nil {
		f.conns = make(map[*conn]struct{})
	}
	f.conns[tracked] = struct{}{}
	return tracked
}

// Read discards incoming bytes while the connection is silent.
func (c *conn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.silent.Load() {
			return n, err
		}
	}
}

// Write discards p while the connection is silent.
func (c *conn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close untracks the connection. A silent connection must not notify its peer, so its
// socket stays open until the peer closes it.
func (c *conn) Close() error {
	c.faults.mu.Lock()
	delete(c.faults.conns, c)
	c.faults.mu.Unlock()
	if !c.silent.Load() {
		return c.Conn.Close()
	}
	go drain(c.Conn)
	return nil
}

func drain(c net.Conn) {
	defer c.Close()
	buffer := make([]byte, 512)
	for {
		if _, err := c.Read(buffer); err != nil {
			return
		}
	}
}
