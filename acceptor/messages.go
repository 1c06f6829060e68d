package acceptor

import (
	"net"
	"os"
	"time"

	"github.com/pkg/errors"

	"github.com/garnetworks/garnetworks/evictor"
)

const (
	// messageFree is the length up to which a message is covered by what each connection may take.
	messageFree = 16 << 10
	// bytesPerMessageByte is the memory that a longer one takes for each of its bytes while it is read
	// and decoded.
	bytesPerMessageByte = 6
	// trailingBytes may arrive after a call without beginning another one: the frame that ends its stream.
	trailingBytes = 16
)

// messages counts what has arrived on a connection whose protocol isn't HTTP.
type messages struct {
	// pending is what has arrived since the last call began; longest is the most that it has been. Buffers
	// keep their size until the connection ends.
	pending, longest int64
	// calls is the number of calls that are being handled.
	calls int
	// called says that there has been a call.
	called bool
}

// cost returns the memory that the longest message takes beyond what each connection may take.
func (m *messages) cost() int64 {
	if m.longest <= messageFree {
		return 0
	}
	return m.longest * bytesPerMessageByte
}

// Carrier is a connection that carries calls as messages of a protocol other than HTTP.
type Carrier interface {
	// BeginCall says that a call has arrived whole and is being handled, EndCall that it was answered.
	BeginCall()
	EndCall()
}

// Find returns the open connection from a client's address, and false if there is none. It serves
// libraries that wrap connections.
func (l *Listener) Find(client net.Addr) (Carrier, bool) {
	c, ok := l.carriers.Load(client.String())
	if !ok {
		return nil, false
	}
	return c.(*conn), true
}

// readMessage counts n bytes of a message (rule V7).
func (c *conn) readMessage(n int, err error) (int, error) {
	if n == 0 {
		if errors.Is(err, os.ErrDeadlineExceeded) && c.isEvicted() {
			c.listener.ended(EndEvicted)
		}
		return 0, err
	}
	c.mu.Lock()
	m := &c.messages
	m.pending += int64(n)
	longer := m.pending > max(m.longest, messageFree)
	m.longest = max(m.longest, m.pending)
	receiving := m.calls == 0 && (m.pending > trailingBytes || !m.called)
	c.mu.Unlock()
	if receiving {
		c.enter(evictor.Unfinished)
	}
	if longer && !c.reserveMessage() {
		c.listener.ended(EndNoMemory)
		return 0, errRefused
	}
	return n, err
}

// reserveMessage takes the memory of the longest message.
func (c *conn) reserveMessage() bool {
	c.mu.Lock()
	bytes := c.messages.cost()
	c.mu.Unlock()
	return bytes == 0 || c.reserveBytes(bytes)
}

// BeginCall implements Carrier.
func (c *conn) BeginCall() {
	c.mu.Lock()
	c.messages.calls++
	c.messages.called, c.messages.pending = true, 0
	c.mu.Unlock()
	c.resume(evictor.Serving)
}

// EndCall implements Carrier.
func (c *conn) EndCall() {
	c.mu.Lock()
	c.messages.calls--
	idle := c.messages.calls == 0
	c.mu.Unlock()
	if !idle {
		return
	}
	c.enter(evictor.Unused)
	if !c.reserveMessage() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.cut()
	}
}

// reserveBytes takes memory for what the connection holds.
func (c *conn) reserveBytes(bytes int64) bool {
	if c.entry == nil {
		return true
	}
	victims, ok := c.entry.Reserve(bytes, time.Now())
	for _, victim := range victims {
		victim.Evict()
	}
	return ok
}
