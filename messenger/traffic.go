package messenger

import (
	"maps"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Traffic counts the messages and bytes that a node exchanges with its peers. The zero
// value is ready for use. A server and a client may share one.
type Traffic struct {
	messagesSent, messagesReceived atomic.Uint64
	bytesSent, bytesReceived       atomic.Uint64
	dials, stalled, retries        atomic.Uint64
	refused                        atomic.Uint64

	mu sync.Mutex
	// methods counts outgoing calls by method; mu guards it.
	methods map[string]MethodCount
}

// MethodCount counts the outgoing calls of one method. Its bytes are those of the encoded
// messages, without framing.
type MethodCount struct {
	Calls, BytesSent, BytesReceived uint64
}

// add counts an outgoing call.
func (t *Traffic) add(method string, sent, received int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.methods == nil {
		t.methods = make(map[string]MethodCount)
	}
	m := t.methods[method]
	m.Calls++
	m.BytesSent += uint64(sent)
	m.BytesReceived += uint64(received)
	t.methods[method] = m
}

// Methods returns a copy of the counters of outgoing calls by method.
func (t *Traffic) Methods() map[string]MethodCount {
	t.mu.Lock()
	defer t.mu.Unlock()
	return maps.Clone(t.methods)
}

// TrafficCount is a snapshot of Traffic.
type TrafficCount struct {
	// Messages are requests and responses.
	MessagesSent, MessagesReceived uint64
	// Bytes are counted on the TCP connection: they include TLS and framing, but no TCP or
	// IP headers.
	BytesSent, BytesReceived uint64
	Dials                    uint64
	// Stalled counts connections closed because they made no progress (rule M2).
	Stalled uint64
	// Retries counts calls that were sent a second time (rule M3).
	Retries uint64
	// Refused counts connections and calls rejected by a limit (rule M4).
	Refused uint64
}

// Count returns a snapshot of the counters.
func (t *Traffic) Count() TrafficCount {
	return TrafficCount{
		MessagesSent:     t.messagesSent.Load(),
		MessagesReceived: t.messagesReceived.Load(),
		BytesSent:        t.bytesSent.Load(),
		BytesReceived:    t.bytesReceived.Load(),
		Dials:            t.dials.Load(),
		Stalled:          t.stalled.Load(),
		Retries:          t.retries.Load(),
		Refused:          t.refused.Load(),
	}
}

// meteredConn counts bytes, tracks progress and sets a deadline on each write.
type meteredConn struct {
	net.Conn
	traffic *Traffic
	opened  time.Time
	// lastProgress is when bytes last moved, in nanoseconds after opened.
	lastProgress atomic.Int64
}

func newMeteredConn(conn net.Conn, traffic *Traffic) *meteredConn {
	return &meteredConn{Conn: conn, traffic: traffic, opened: time.Now()}
}

// Read implements net.Conn.
func (c *meteredConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.bytesReceived.Add(uint64(n))
	c.recordProgress(n)
	return n, err
}

// Write implements net.Conn. Without the deadline, a peer that stops reading would block
// the writer forever.
func (c *meteredConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(WriteTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	c.traffic.bytesSent.Add(uint64(n))
	c.recordProgress(n)
	return n, err
}

func (c *meteredConn) recordProgress(n int) {
	if n > 0 {
		c.lastProgress.Store(int64(time.Since(c.opened)))
	}
}

// idleFor returns the time since bytes last moved, or since the connection was opened.
func (c *meteredConn) idleFor() time.Duration {
	return time.Since(c.opened) - time.Duration(c.lastProgress.Load())
}
