package faker

import (
	"net"
	"sync/atomic"
)

// listener hands out connections that SilenceOpen can make silent.
type listener struct {
	net.Listener
	faults *Faults
	// refuses may be nil.
	refuses func() bool
}

// Accept waits for a connection; while the stand-in is down or refuses, each
// is reset at once.
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

// reset closes c so that the other end sees a reset and not an orderly end.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// conn is a connection that can go silent: bytes that come are dropped, bytes
// that go are swallowed, and neither end is told.
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

// Read drops what comes while the connection is silent.
func (c *conn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.silent.Load() {
			return n, err
		}
	}
}

// Write swallows p while the connection is silent.
func (c *conn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close forgets the connection. A silent one tells its other end nothing, so
// its socket stays open until the other end closes it.
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
