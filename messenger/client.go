package messenger

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"storj.io/drpc/drpcconn"

	"github.com/garnetworks/garnetworks"
)

// ClientOptions are what a client needs.
type ClientOptions struct {
	// Keys secure the connections; nil leaves them open.
	Keys *Keys
	// Clock may be nil.
	Clock Clock
	// Traffic may be nil.
	Traffic *Traffic
	// Recorder may be nil; it gets an event for each silent connection.
	Recorder garnetworks.Recorder
	// Dial opens a connection to an address; nil dials TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// Client calls other nodes. It implements garnetworks.PeerCaller and is safe
// for concurrent use.
type Client struct {
	options ClientOptions
	clock   stamper

	mu     sync.Mutex
	pools  map[string]*pool
	swept  time.Time
	closed bool
}

var _ garnetworks.PeerCaller = (*Client)(nil)

// pool holds the connections to one address.
type pool struct {
	// users counts the calls that hold or wait for a slot; a pool in use is not
	// dropped.
	users int
	// slots holds a token for each connection in use (rule M4).
	slots chan struct{}
	// idle connections, the most recently used one last.
	idle []*peerConn
}

// peerConn is a connection that carries one call at a time.
type peerConn struct {
	*drpcconn.Conn
	metered *meteredConn
	pool    *pool
	// used is when the last call ended.
	used time.Time
	// reused says that the connection carried a call before this one.
	reused bool
}

// NewClient returns a client.
func NewClient(options ClientOptions) *Client {
	if options.Traffic == nil {
		options.Traffic = new(Traffic)
	}
	if options.Recorder == nil {
		options.Recorder = silent{}
	}
	if options.Dial == nil {
		options.Dial = dialTCP
	}
	return &Client{options: options, clock: stamper{options.Clock}, pools: map[string]*pool{}, swept: time.Now()}
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	return new(net.Dialer).DialContext(ctx, "tcp", address)
}

// Close ends all idle connections; calls in progress end theirs.
func (c *Client) Close() {
	c.mu.Lock()
	var all []*peerConn
	for _, p := range c.pools {
		all = append(all, p.idle...)
		p.idle = nil
	}
	c.closed = true
	c.mu.Unlock()
	closeAll(all)
}

// Heartbeat implements garnetworks.PeerCaller.
func (c *Client) Heartbeat(ctx context.Context, address string, request *garnetworks.HeartbeatRequest) (*garnetworks.HeartbeatResponse, error) {
	return invoke(ctx, c, address, heartbeat, request)
}

// Distribute implements garnetworks.PeerCaller.
func (c *Client) Distribute(ctx context.Context, address string, request *garnetworks.DistributeRequest) (*garnetworks.DistributeResponse, error) {
	return invoke(ctx, c, address, distribute, request)
}

// Fetch implements garnetworks.PeerCaller.
func (c *Client) Fetch(ctx context.Context, address string, request *garnetworks.FetchRequest) (*garnetworks.FetchResponse, error) {
	return invoke(ctx, c, address, fetch, request)
}

// Events implements garnetworks.PeerCaller.
func (c *Client) Events(ctx context.Context, address string, request *garnetworks.EventsRequest) (*garnetworks.EventsResponse, error) {
	return invoke(ctx, c, address, events, request)
}

// Status implements garnetworks.PeerCaller.
func (c *Client) Status(ctx context.Context, address string, request *garnetworks.StatusRequest) (*garnetworks.StatusResponse, error) {
	return invoke(ctx, c, address, status, request)
}

// Propose implements garnetworks.PeerCaller.
func (c *Client) Propose(ctx context.Context, address string, request *garnetworks.ProposeRequest) (*garnetworks.ProposeResponse, error) {
	return invoke(ctx, c, address, propose, request)
}

// Progress implements garnetworks.PeerCaller.
func (c *Client) Progress(ctx context.Context, address string, request *garnetworks.ProgressRequest) (*garnetworks.ProgressResponse, error) {
	return invoke(ctx, c, address, progress, request)
}

// Report implements garnetworks.PeerCaller.
func (c *Client) Report(ctx context.Context, address string, request *garnetworks.ReportRequest) (*garnetworks.ReportResponse, error) {
	return invoke(ctx, c, address, report, request)
}

// Confirm implements garnetworks.ConfirmCaller.
func (c *Client) Confirm(ctx context.Context, address string, request *garnetworks.ConfirmRequest) (*garnetworks.ConfirmResponse, error) {
	return invoke(ctx, c, address, confirm, request)
}

var _ garnetworks.ConfirmCaller = (*Client)(nil)

// invoke makes one call.
func invoke[Q, A any](ctx context.Context, c *Client, address string, r rpc[Q, A], request *Q) (*A, error) {
	ctx, cancel := bounded(ctx)
	defer cancel()
	// The caller may send one request to several peers at once, so the
	// timestamp goes into a copy.
	stamped := *request
	c.clock.stamp(r.asked(&stamped))
	message, err := Encoding{}.Marshal(&stamped)
	if err != nil {
		return nil, c.explain(ctx, address, err)
	}
	answer, err := attempt(ctx, c, address, r, message)
	var broken *brokenError
	if errors.As(err, &broken) && broken.reused && ctx.Err() == nil {
		c.options.Traffic.retries.Add(1)
		answer, err = attempt(ctx, c, address, r, message)
	}
	if err != nil {
		return nil, c.explain(ctx, address, err)
	}
	at := *r.answered(answer)
	c.clock.sample(address, at)
	if err := c.clock.observe(at); err != nil {
		return nil, err
	}
	return answer, nil
}

// brokenError is the failure of the connection under a call.
type brokenError struct {
	// reused says that the connection had carried another call before, so that
	// the failure may be an old one that shows only now (rule M3).
	reused bool
	cause  error
}

// Error returns the cause.
func (e *brokenError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *brokenError) Unwrap() error { return e.cause }

// explain gives a failed call's error its kind.
func (c *Client) explain(ctx context.Context, address string, err error) error {
	var broken *brokenError
	if errors.As(err, &broken) {
		return lostAnswer(ctx, address, broken.cause)
	}
	if f, ok := decodeFailure(err); ok {
		c.clock.sample(address, f.At)
		return f.error()
	}
	return err
}

// attempt makes the call on one connection.
func attempt[Q, A any](ctx context.Context, c *Client, address string, r rpc[Q, A], request encoded) (*A, error) {
	conn, err := c.take(ctx, address)
	if err != nil {
		return nil, err
	}
	answer := new(A)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	watch := watchProgress(conn.metered, progressBound(ctx, conn, r.progress), cancel)
	c.options.Traffic.messagesSent.Add(1)
	err = conn.Invoke(ctx, r.name, Encoding{}, request, answer)
	silent := watch.stop()
	if err == nil {
		c.options.Traffic.messagesReceived.Add(1)
		c.giveBack(conn)
		return answer, nil
	}
	if _, ok := decodeFailure(err); ok {
		c.options.Traffic.messagesReceived.Add(1)
		c.giveBack(conn)
		return nil, err
	}
	c.drop(conn)
	if silent {
		c.endSilent(address, conn.pool)
	}
	return nil, &brokenError{reused: conn.reused, cause: err}
}

// progressBound is the method's bound, and on a reused connection at most the
// share of the time left that leaves enough for a second try (rule M3). With
// the whole time spent on a silent connection, calls with short deadlines would
// fail one after the other until all old connections are used up.
func progressBound(ctx context.Context, conn *peerConn, bound time.Duration) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok || !conn.reused {
		return bound
	}
	return min(bound, time.Until(deadline)*2/5)
}

// progressWatch ends a call whose connection moves no byte (rule M2).
type progressWatch struct {
	mu              sync.Mutex
	timer           *time.Timer
	silent, stopped bool
}

// watchProgress cancels when conn has been still for bound. The failure is a
// connection that something between the ends has forgotten: writes go into the
// buffer, no answer ever comes, and no error shows. Looking at moved bytes in
// place of the call's age lets a large message over a slow link pass.
func watchProgress(conn *meteredConn, bound time.Duration, cancel func()) *progressWatch {
	w := &progressWatch{}
	began := time.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(bound, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		still := min(conn.still(), time.Since(began))
		switch {
		case w.stopped:
		case still >= bound:
			w.silent = true
			cancel()
		default:
			w.timer.Reset(bound - still)
		}
	})
	return w
}

// stop ends the watch and reports whether it ended the call.
func (w *progressWatch) stop() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
	return w.silent
}

// endSilent closes the idle connections to the address: what forgot one of
// them has likely forgotten all.
func (c *Client) endSilent(address string, p *pool) {
	c.options.Traffic.silent.Add(1)
	c.options.Recorder.Record(garnetworks.Event{
		Kind:   garnetworks.EventSilentConnection,
		Detail: "peer " + address,
	})
	c.mu.Lock()
	idle := p.idle
	p.idle = nil
	c.mu.Unlock()
	closeAll(idle)
}

// take returns a connection to the address, an idle one if there is one.
func (c *Client) take(ctx context.Context, address string) (*peerConn, error) {
	p := c.pool(address)
	select {
	case p.slots <- struct{}{}:
	case <-ctx.Done():
		c.leave(p)
		return nil, unreachable(address, ctx.Err())
	}
	if conn := c.idle(p); conn != nil {
		conn.reused = true
		return conn, nil
	}
	conn, err := c.dial(ctx, address)
	if err != nil {
		<-p.slots
		c.leave(p)
		return nil, unreachable(address, err)
	}
	conn.pool = p
	return conn, nil
}

func unreachable(address string, cause error) error {
	return garnetworks.WrapError(garnetworks.KindUnreachable, cause, "can't connect to "+address)
}

// pool returns the pool of the address, and now and then drops what was idle
// for long anywhere.
func (c *Client) pool(address string) *pool {
	c.mu.Lock()
	var stale []*peerConn
	if now := time.Now(); now.Sub(c.swept) > IdleBound {
		c.swept = now
		stale = c.sweep(now)
	}
	p, ok := c.pools[address]
	if !ok {
		p = &pool{slots: make(chan struct{}, MaxPerAddress)}
		c.pools[address] = p
	}
	p.users++
	c.mu.Unlock()
	closeAll(stale)
	return p
}

// leave ends a call's use of the pool.
func (c *Client) leave(p *pool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p.users--
}

// sweep takes out connections that were idle for long, and pools without any.
func (c *Client) sweep(now time.Time) []*peerConn {
	var stale []*peerConn
	for address, p := range c.pools {
		var kept []*peerConn
		for _, conn := range p.idle {
			if now.Sub(conn.used) > IdleBound {
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

// idle takes a usable idle connection out of the pool; nil if there is none.
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
	return now.Sub(conn.used) <= IdleBound && now.Sub(conn.metered.opened) <= ReuseBound
}

func (c *Client) dial(ctx context.Context, address string) (*peerConn, error) {
	ctx, cancel := context.WithTimeout(ctx, DialBound)
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

// giveBack makes the connection idle.
func (c *Client) giveBack(conn *peerConn) {
	conn.used = time.Now()
	c.mu.Lock()
	surplus := conn
	if !c.closed {
		conn.pool.idle = append(conn.pool.idle, conn)
		surplus = c.surplus()
	}
	conn.pool.users--
	c.mu.Unlock()
	<-conn.pool.slots
	if surplus != nil {
		_ = surplus.Close()
	}
}

// surplus takes out the connection that was idle for longest if there are more
// than MaxIdle; nil if there are not. The caller holds mu.
func (c *Client) surplus() *peerConn {
	count := 0
	var oldest *pool
	for _, p := range c.pools {
		count += len(p.idle)
		if len(p.idle) > 0 && (oldest == nil || p.idle[0].used.Before(oldest.idle[0].used)) {
			oldest = p
		}
	}
	if count <= MaxIdle {
		return nil
	}
	conn := oldest.idle[0]
	oldest.idle = oldest.idle[1:]
	return conn
}

// drop ends a connection that failed.
func (c *Client) drop(conn *peerConn) {
	<-conn.pool.slots
	c.leave(conn.pool)
	_ = conn.Close()
}

func closeAll(conns []*peerConn) {
	for _, conn := range conns {
		_ = conn.Close()
	}
}
