package messenger

import (
	"context"
	"crypto/tls"
	"time"

	"storj.io/drpc/drpcconn"

	"github.com/garnetworks/garnetworks"
)

// pool holds the connections to one address. Client.mu guards users and idle.
type pool struct {
	// users counts the calls that hold a slot or wait for one; a pool with users is not
	// removed.
	users int
	// slots holds a token for each connection in use (rule M4).
	slots chan struct{}
	// idle holds the idle connections, the most recently used one last.
	idle []*peerConn
}

// peerConn is a connection that carries one call at a time.
type peerConn struct {
	*drpcconn.Conn
	metered *meteredConn
	pool    *pool
	// used is when the connection last became idle.
	used time.Time
	// reused reports whether the connection carried an earlier call.
	reused bool
}

func unreachable(address string, cause error) error {
	return garnetworks.WrapError(garnetworks.KindUnreachable, cause, "can't connect to "+address)
}

// acquire returns an idle connection to the address, or dials a new one.
func (c *Client) acquire(ctx context.Context, address string) (*peerConn, error) {
	p := c.pool(address)
	select {
	case p.slots <- struct{}{}:
	case <-ctx.Done():
		c.releasePool(p)
		return nil, unreachable(address, ctx.Err())
	}
	if conn := c.idle(p); conn != nil {
		conn.reused = true
		return conn, nil
	}
	conn, err := c.dial(ctx, address)
	if err != nil {
		<-p.slots
		c.releasePool(p)
		return nil, unreachable(address, err)
	}
	conn.pool = p
	return conn, nil
}

// pool returns the pool of the address and registers the caller as a user. It also closes
// expired idle connections of all pools, at most once per IdleTimeout.
func (c *Client) pool(address string) *pool {
	c.mu.Lock()
	var stale []*peerConn
	if now := time.Now(); now.Sub(c.lastSweep) > IdleTimeout {
		c.lastSweep = now
		stale = c.sweep(now)
	}
	p, ok := c.pools[address]
	if !ok {
		p = &pool{slots: make(chan struct{}, MaxConnectionsPerAddress)}
		c.pools[address] = p
	}
	p.users++
	c.mu.Unlock()
	closeAll(stale)
	return p
}

// releasePool unregisters a user of the pool.
func (c *Client) releasePool(p *pool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p.users--
}

// sweep removes unused pools and expired idle connections, and returns the connections for
// the caller to close. The caller holds mu.
func (c *Client) sweep(now time.Time) []*peerConn {
	var stale []*peerConn
	for address, p := range c.pools {
		var kept []*peerConn
		for _, conn := range p.idle {
			if now.Sub(conn.used) > IdleTimeout {
				stale = append(stale, conn)
				continue
			}
			kept = append(kept, conn)
		}
		p.idle = kept
		if len(kept) == 0 && p.users == 0 {
			delete(c.pools, address)
		}
	}
	return stale
}

// idle removes and returns a usable idle connection; nil if there is none.
func (c *Client) idle(p *pool) *peerConn {
	c.mu.Lock()
	var stale []*peerConn
	var found *peerConn
	now := time.Now()
	for found == nil && len(p.idle) > 0 {
		conn := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		if !usable(conn, now) {
			stale = append(stale, conn)
			continue
		}
		found = conn
	}
	c.mu.Unlock()
	closeAll(stale)
	return found
}

func usable(conn *peerConn, now time.Time) bool {
	select {
	case <-conn.Closed():
		return false
	default:
	}
	return now.Sub(conn.used) <= IdleTimeout && now.Sub(conn.metered.opened) <= MaxReuseAge
}

func (c *Client) dial(ctx context.Context, address string) (*peerConn, error) {
	ctx, cancel := context.WithTimeout(ctx, DialTimeout)
	defer cancel()
	c.options.Traffic.dials.Add(1)
	conn, err := c.options.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	metered := newMeteredConn(conn, c.options.Traffic)
	options := drpcconn.Options{Manager: managerOptions()}
	if c.options.Keys == nil {
		return &peerConn{Conn: drpcconn.NewWithOptions(metered, options), metered: metered}, nil
	}
	secured := tls.Client(metered, c.options.Keys.clientConfig())
	if err := secured.HandshakeContext(ctx); err != nil {
		_ = metered.Close()
		return nil, err
	}
	return &peerConn{Conn: drpcconn.NewWithOptions(secured, options), metered: metered}, nil
}

// release returns a connection to its pool after a completed call.
func (c *Client) release(conn *peerConn) {
	conn.used = time.Now()
	c.mu.Lock()
	evicted := conn
	if !c.closed {
		conn.pool.idle = append(conn.pool.idle, conn)
		evicted = c.evictOldestIdle()
	}
	conn.pool.users--
	c.mu.Unlock()
	<-conn.pool.slots
	if evicted != nil {
		_ = evicted.Close()
	}
}

// evictOldestIdle removes and returns the connection that was idle for longest if there
// are more than MaxIdleConnections, or nil. The caller holds mu.
func (c *Client) evictOldestIdle() *peerConn {
	count := 0
	var oldest *pool
	for _, p := range c.pools {
		count += len(p.idle)
		if len(p.idle) > 0 && (oldest == nil || p.idle[0].used.Before(oldest.idle[0].used)) {
			oldest = p
		}
	}
	if count <= MaxIdleConnections {
		return nil
	}
	conn := oldest.idle[0]
	oldest.idle = oldest.idle[1:]
	return conn
}

// discard closes a connection that failed and frees its slot.
func (c *Client) discard(conn *peerConn) {
	<-conn.pool.slots
	c.releasePool(conn.pool)
	_ = conn.Close()
}

// markResponsive records that the address has responded.
func (c *Client) markResponsive(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stalled.Remove(address)
}

// closeStalled closes the idle connections to an address with a stalled connection: what
// dropped the state of one, such as a firewall, has probably dropped that of all.
func (c *Client) closeStalled(address string, p *pool) {
	c.options.Traffic.stalled.Add(1)
	c.mu.Lock()
	idle := p.idle
	p.idle = nil
	reported := c.stalled.Has(address)
	c.stalled.Add(address)
	c.mu.Unlock()
	if !reported { // a dead peer is called each second; without this it would flood the events
		c.options.Recorder.Record(garnetworks.Event{
			Kind:   garnetworks.EventStalledConnection,
			Detail: "peer " + address,
		})
	}
	closeAll(idle)
}

func closeAll(conns []*peerConn) {
	for _, conn := range conns {
		_ = conn.Close()
	}
}
