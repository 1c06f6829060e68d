package messenger

import (
	"maps"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Traffic counts what a node sends to and receives from its peers. The zero
// value is ready for use; it may be shared by a server and a client.
type Traffic struct {
	messagesSent, messagesReceived atomic.Uint64
	bytesSent, bytesReceived       atomic.Uint64
	dials, stalled, retries        atomic.Uint64
	refused                        atomic.Uint64

	mu sync.Mutex
	// methods counts the calls that this node makes.
	methods map[string]MethodCount
}

// MethodCount counts the calls of one method that a node makes. Its bytes are
// those of the messages, without framing.
type MethodCount struct {
	Calls, BytesSent, BytesReceived uint64
}

// add counts a call.
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

// Methods reads the counters of the calls that the node makes, by method.
func (t *Traffic) Methods() map[string]MethodCount {
	t.mu.Lock()
	defer t.mu.Unlock()
	return maps.Clone(t.methods)
}

// TrafficCount is a reading of Traffic.
type TrafficCount struct {
	// Messages are requests and answers.
	MessagesSent, MessagesReceived uint64
	// Bytes are counted at the TCP connection, so TLS and framing are in them,
	// but not the headers of TCP and IP.
	BytesSent, BytesReceived uint64
	Dials                    uint64
	// Stalled counts connections that were ended because they lastProgress no byte.
	Stalled uint64
	// Retries counts calls that were sent a second time.
	Retries uint64
	// Refused counts connections and calls turned away by a bound.
	Refused uint64
}

// Count reads the counters.
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

// meteredConn counts bytes, notes when the last one lastProgress, and bounds writes.
type meteredConn struct {
	net.Conn
	traffic *Traffic
	opened  time.Time
	// lastProgress is when the last byte lastProgress, in nanoseconds after opened.
	lastProgress atomic.Int64
}

func newMeteredConn(conn net.Conn, traffic *Traffic) *meteredConn {
	return &meteredConn{Conn: conn, traffic: traffic, opened: time.Now()}
}

// Read reads from the connection.
func (c *meteredConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.bytesReceived.Add(uint64(n))
	c.recordProgress(n)
	return n, err
}

// Write writes to the connection. Without the deadline, a peer that stops
// reading would hold the writer and its message for ever.
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

// idleFor is the time since a byte lastProgress.
func (c *meteredConn) idleFor() time.Duration {
	return time.Since(c.opened) - time.Duration(c.lastProgress.Load())
}
