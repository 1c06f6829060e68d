package acceptor

import (
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"github.com/garnetworks/garnetworks/evictor"
)

// readAhead is the most that an http.Server reads beyond what it needs.
const readAhead = 4 << 10

// phase is what an http.Server does with a connection.
type phase int32

const (
	// phaseHead connections are waited on for the head of a request, from their begin or from the first
	// byte of a next request.
	phaseHead phase = iota
	// phaseRequest connections have a request that is being handled.
	phaseRequest
	// phaseIdle connections are waited on for the next request.
	phaseIdle
)

// conn is a client's connection.
type conn struct {
	net.Conn
	listener *Listener
	// entry is nil if the listener has no pool.
	entry *evictor.Connection
	phase atomic.Int32

	// The goroutine that reads or waits for a request has these; a connection is never read by two.
	head       head
	headBegan  time.Time
	prefixLeft int
	// served says that an http.Server has the connection; readBehind is the cost of the last bytes
	// that were read during a request, a part of which may belong to the next one.
	served     bool
	readBehind int64
	// early is the first byte of a next request if it arrived during a request, when the server waits for
	// the client's end.
	early []byte
	// waits says that the server has set the deadline of an unused connection. It sets another one when it
	// has a next request, which may have arrived with the last one.
	waits bool

	// mu keeps an eviction and the server's read deadlines in order.
	mu sync.Mutex
	// evicted says that the evictor has named the connection.
	evicted bool
	// messages is what is known of the messages of a connection that carries no HTTP.
	messages messages
}

// Track is the ConnState of an http.Server that serves a Listener.
func Track(c net.Conn, state http.ConnState) {
	if sealed, ok := c.(interface{ NetConn() net.Conn }); ok {
		c = sealed.NetConn()
	}
	if c, ok := c.(*conn); ok {
		c.track(state)
	}
}

func (c *conn) track(state http.ConnState) {
	switch state {
	case http.StateNew:
		c.served = true
	case http.StateActive:
		c.phase.Store(int32(phaseRequest))
		c.readBehind = c.head.behind
		c.resume(evictor.Serving)
	case http.StateIdle:
		c.phase.Store(int32(phaseIdle))
		c.waits = false
		c.enter(evictor.Unused)
		if len(c.early) > 0 {
			c.beginHead(c.readBehind)
		}
	}
}

// enter moves the connection to a stage, unless it is to end.
func (c *conn) enter(stage evictor.Stage) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.entry != nil && !c.evicted {
		c.entry.Enter(stage, time.Now())
	}
}

// resume moves the connection to a stage. One that was to end goes on, since its request has arrived.
func (c *conn) resume(stage evictor.Stage) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.entry != nil {
		c.entry.Enter(stage, time.Now())
	}
	if c.evicted {
		c.evicted = false
		_ = c.Conn.SetReadDeadline(time.Time{}) // a connection that has ended fails at the next read
	}
}

// Evict implements evictor.Owner. What waits to read ends at once, and a write that waits within stallTime.
func (c *conn) Evict() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.entry.Ending() { // its request may have arrived since it was named
		c.cut()
	}
}

// cut ends what waits to read; mu is held.
func (c *conn) cut() {
	c.evicted = true
	past := time.Unix(1, 0)
	_ = c.Conn.SetReadDeadline(past) // a connection that has ended needs none
	if c.messages.longest > 0 {
		_ = c.Conn.SetWriteDeadline(past) // likewise
	}
}

func (c *conn) isEvicted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.evicted
}

// Close implements net.Conn.
func (c *conn) Close() error {
	if c.entry != nil {
		c.entry.Close()
	}
	c.listener.forget(c)
	return c.Conn.Close()
}

// SetReadDeadline replaces the server's timeouts for heads and unused connections by the listener's.
func (c *conn) SetReadDeadline(t time.Time) error {
	if c.listener.Sealed {
		return c.setReadDeadline(t)
	}
	switch phase(c.phase.Load()) {
	case phaseIdle:
		if c.waits {
			c.beginHead(c.readBehind)
			return nil
		}
		c.waits = true
		if idle := c.listener.limits().IdleTime; idle > 0 && !t.IsZero() {
			t = time.Now().Add(idle)
		}
	case phaseHead:
		if limit := c.listener.limits().HeadTime; limit > 0 && !t.IsZero() {
			t = c.headBegan.Add(limit)
		}
	}
	return c.setReadDeadline(t)
}

// setHeadDeadline sets the deadline of a head that begins.
func (c *conn) setHeadDeadline() error {
	limit := c.listener.limits().HeadTime
	if limit <= 0 {
		return nil
	}
	return c.setReadDeadline(c.headBegan.Add(limit))
}

func (c *conn) setReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.evicted {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// beginHead begins to count a head; behind is the cost of what has arrived of it.
func (c *conn) beginHead(behind int64) {
	c.phase.Store(int32(phaseHead))
	c.head, c.headBegan = head{behind: behind}, time.Now()
	c.head.add(c.early)
	c.early = nil
	c.resume(evictor.Unfinished)
	_ = c.setHeadDeadline() // a connection that has ended fails at the next read
	if !c.reserve() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.cut()
	}
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.mayHaveArrived() {
		n = c.readArrived(p) // rules V2, V4
	}
	if n > 0 {
		err = nil
	}
	if c.listener.Sealed {
		return n, err
	}
	if c.prefixLeft >= 0 && !c.served && n > 0 {
		return c.readPrefix(n)
	}
	if !c.served {
		return c.readMessage(n, err)
	}
	switch phase(c.phase.Load()) {
	case phaseRequest:
		switch {
		case len(p) == 1: // only the wait for the client's end reads a single byte
			c.early = append(c.early, p[:n]...)
		case len(p) > readAhead:
			c.readBehind = 0
		default:
			c.readBehind = cost(p[:n])
		}
		return n, err
	case phaseIdle:
		if n == 0 {
			return n, err
		}
		c.beginHead(0)
	}
	return c.readHead(p, n, err)
}

// readPrefix counts bytes of a connection whose protocol is not known yet. One whose protocol isn't
// HTTP has no deadline once it has begun.
func (c *conn) readPrefix(n int) (int, error) {
	c.prefixLeft -= n
	if c.prefixLeft >= 0 {
		return n, nil
	}
	c.phase.Store(int32(phaseRequest))
	_ = c.setReadDeadline(time.Time{}) // a connection that has ended fails at the next read
	return c.readMessage(n, nil)
}

// readHead counts n bytes of a head, and refuses it if it is beyond the limits (rules V4, V5).
func (c *conn) readHead(p []byte, n int, err error) (int, error) {
	if n == 0 {
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return 0, c.refuseLate(err)
		}
		return 0, err
	}
	if c.head.bytes == 0 && c.head.behind == 0 {
		c.enter(evictor.Unfinished)
	}
	c.head.add(p[:n])
	switch limit := c.listener.limits().HeadBytes; {
	case limit > 0 && c.head.bytes > limit:
		return 0, c.refuse(EndHeadTooLong)
	case !c.reserve():
		return 0, c.refuse(EndNoMemory)
	}
	return n, nil
}

// reserve takes the memory of the head as far as it has arrived.
func (c *conn) reserve() bool { return c.reserveBytes(c.head.cost()) }

// mayHaveArrived reports whether what has arrived counts although the read deadline has passed: a next
// request, or the rest of a head that no other connection needs the memory of.
func (c *conn) mayHaveArrived() bool {
	switch phase(c.phase.Load()) {
	case phaseIdle:
		return true
	case phaseHead:
		return !c.isEvicted()
	default:
		return false
	}
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
	if phase(c.phase.Load()) == phaseHead {
		_ = c.setHeadDeadline() // what has not arrived is late
	}
	return n
}
