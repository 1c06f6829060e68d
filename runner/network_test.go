package runner

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/garnetworks/garnetworks"
)

// memoryNetwork connects nodes in one process and simulates partitions between them.
type memoryNetwork struct {
	mu        sync.Mutex
	listeners map[string]*memoryListener
	// cut reports whether connections from the first node to the second are cut.
	cut   map[[2]garnetworks.NodeID]bool
	conns []*memoryConn
}

func newMemoryNetwork() *memoryNetwork {
	return &memoryNetwork{listeners: make(map[string]*memoryListener), cut: make(map[[2]garnetworks.NodeID]bool)}
}

// setCut cuts or restores the path between two nodes. Connections that were open when it
// is cut stay blackholed, as after a middlebox has dropped their state.
func (n *memoryNetwork) setCut(a, b garnetworks.NodeID, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[[2]garnetworks.NodeID{a, b}] = cut
	n.cut[[2]garnetworks.NodeID{b, a}] = cut
	if !cut {
		return
	}
	for _, c := range n.conns {
		if (c.from == a && c.to == b) || (c.from == b && c.to == a) {
			c.blackhole()
		}
	}
}

// blackholeOpen blackholes all open connections of a node; new ones work.
func (n *memoryNetwork) blackholeOpen(id garnetworks.NodeID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.conns {
		if c.from == id || c.to == id {
			c.blackhole()
		}
	}
}

// at returns the network as seen by a node.
func (n *memoryNetwork) at(id garnetworks.NodeID) Network { return &memoryNode{n, id} }

type memoryNode struct {
	network *memoryNetwork
	id      garnetworks.NodeID
}

// Listen implements Network.
func (m *memoryNode) Listen(address string) (net.Listener, error) {
	l := &memoryListener{network: m.network, owner: m.id, address: memoryAddress(address), accepted: make(chan net.Conn), closed: make(chan struct{})}
	m.network.mu.Lock()
	defer m.network.mu.Unlock()
	m.network.listeners[address] = l
	return l, nil
}

// Dial implements Network.
func (m *memoryNode) Dial(ctx context.Context, address string) (net.Conn, error) {
	m.network.mu.Lock()
	l := m.network.listeners[address]
	if l == nil {
		m.network.mu.Unlock()
		return nil, errors.New("connection refused")
	}
	cut := m.network.cut[[2]garnetworks.NodeID{m.id, l.owner}]
	m.network.mu.Unlock()
	if cut {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	here, there := net.Pipe()
	c := &memoryConn{Conn: here, from: m.id, to: l.owner, blackholed: make(chan struct{})}
	back := &memoryConn{Conn: there, from: l.owner, to: m.id, blackholed: make(chan struct{})}
	select {
	case l.accepted <- back:
	case <-l.closed:
		return nil, errors.New("connection refused")
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	m.network.mu.Lock()
	m.network.conns = append(m.network.conns, c, back)
	m.network.mu.Unlock()
	return c, nil
}

type memoryAddress string

func (memoryAddress) Network() string  { return "memory" }
func (a memoryAddress) String() string { return string(a) }

type memoryListener struct {
	network  *memoryNetwork
	owner    garnetworks.NodeID
	address  memoryAddress
	accepted chan net.Conn
	closed   chan struct{}
	once     sync.Once
}

// Accept implements net.Listener.
func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accepted:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *memoryListener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.network.mu.Lock()
		defer l.network.mu.Unlock()
		if l.network.listeners[string(l.address)] == l {
			delete(l.network.listeners, string(l.address))
		}
	})
	return nil
}

// Addr implements net.Listener.
func (l *memoryListener) Addr() net.Addr { return l.address }

// memoryConn is a connection whose writes are dropped once it is blackholed.
type memoryConn struct {
	net.Conn
	from, to   garnetworks.NodeID
	blackholed chan struct{}
	once       sync.Once
}

func (c *memoryConn) blackhole() {
	c.once.Do(func() {
		close(c.blackholed)
		// Unblocks a write that waits for its reader.
		_ = c.Conn.SetWriteDeadline(time.Now())
	})
}

// Write implements net.Conn.
func (c *memoryConn) Write(b []byte) (int, error) {
	select {
	case <-c.blackholed:
		return len(b), nil
	default:
	}
	n, err := c.Conn.Write(b)
	select {
	case <-c.blackholed:
		return len(b), nil
	default:
		return n, err
	}
}

// SetWriteDeadline implements net.Conn.
func (c *memoryConn) SetWriteDeadline(t time.Time) error {
	select {
	case <-c.blackholed:
		return nil
	default:
		return c.Conn.SetWriteDeadline(t)
	}
}

// SetDeadline implements net.Conn.
func (c *memoryConn) SetDeadline(t time.Time) error {
	if err := c.SetWriteDeadline(t); err != nil {
		return err
	}
	return c.SetReadDeadline(t)
}
