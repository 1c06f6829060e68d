package connector

import (
	"cmp"
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/verifier"
)

// Options configure the connections of an adapter; zero fields get the defaults.
type Options struct {
	// ConnectTimeout bounds a TCP connect.
	ConnectTimeout time.Duration
	// IdleTimeout is how long an idle connection is kept. It is short because middleboxes
	// silently drop idle connections.
	IdleTimeout time.Duration
	// StallTimeout is how long an engine's response may make no progress (rule C6). It is
	// a last resort: callers that know the engine better end an attempt earlier by its
	// context.
	StallTimeout time.Duration
	// MaxIdlePerAddress bounds the idle connections to one address.
	MaxIdlePerAddress int
	// MaxResponseBytes bounds a response that is read into memory as a whole.
	MaxResponseBytes int64
	// DisableReuse opens a new connection for each request, so that no request is written
	// to a pooled connection that has stalled.
	DisableReuse bool
	// Dial connects to an address; nil dials TCP within ConnectTimeout.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Default options.
const (
	DefaultConnectTimeout    = time.Second
	DefaultIdleTimeout       = 30 * time.Second
	DefaultStallTimeout      = 15 * time.Second
	DefaultMaxIdlePerAddress = 64 // connections
	DefaultMaxResponseBytes  = 32 << 20
)

func (o Options) withDefaults() Options {
	o.ConnectTimeout = cmp.Or(o.ConnectTimeout, DefaultConnectTimeout)
	o.IdleTimeout = cmp.Or(o.IdleTimeout, DefaultIdleTimeout)
	o.StallTimeout = cmp.Or(o.StallTimeout, DefaultStallTimeout)
	o.MaxIdlePerAddress = cmp.Or(o.MaxIdlePerAddress, DefaultMaxIdlePerAddress)
	o.MaxResponseBytes = cmp.Or(o.MaxResponseBytes, DefaultMaxResponseBytes)
	return o
}

// pool keeps one transport per address, so that the idle connections to one address can be
// closed without affecting others. mu guards transports and lastSweep.
type pool struct {
	options    Options
	mu         sync.Mutex
	transports map[string]*addressTransport
	lastSweep  time.Time
}

// addressTransport is the transport to one address.
type addressTransport struct {
	http.Transport
	lastUsed time.Time
}

const (
	// sweepInterval is the minimum time between two sweeps of the transports.
	sweepInterval = time.Minute
	// transportLifetime is how long an unused transport is kept; addresses change with the
	// instances.
	transportLifetime = 10 * time.Minute
	// connBufferBytes is the size of a connection's read and write buffers.
	connBufferBytes = 4 << 10
	maxHeaderBytes  = 64 << 10
)

func newPool(options Options) *pool {
	return &pool{options: options.withDefaults(), transports: make(map[string]*addressTransport)}
}

func (p *pool) transport(address string) *addressTransport {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.lastSweep) > sweepInterval {
		p.sweep(now)
	}
	l := p.transports[address]
	if l == nil {
		l = &addressTransport{}
		p.setUp(&l.Transport)
		p.transports[address] = l
	}
	l.lastUsed = now
	return l
}

func (p *pool) setUp(t *http.Transport) {
	dial := p.options.Dial
	if dial == nil {
		dial = (&net.Dialer{Timeout: p.options.ConnectTimeout}).DialContext
	}
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countingConn{Conn: c}, nil
	}
	t.DisableCompression = true
	t.DisableKeepAlives = p.options.DisableReuse
	t.IdleConnTimeout = p.options.IdleTimeout
	t.MaxIdleConnsPerHost = p.options.MaxIdlePerAddress
	t.MaxResponseHeaderBytes = maxHeaderBytes
	t.ReadBufferSize = connBufferBytes
	t.WriteBufferSize = connBufferBytes
}

// sweep removes transports unused for longer than transportLifetime. The caller holds mu.
func (p *pool) sweep(now time.Time) {
	p.lastSweep = now
	for address, l := range p.transports {
		if now.Sub(l.lastUsed) > transportLifetime {
			l.CloseIdleConnections()
			delete(p.transports, address)
		}
	}
}

// closeIdle closes the idle connections to an address (rule C6).
func (p *pool) closeIdle(address string) {
	p.mu.Lock()
	l := p.transports[address]
	p.mu.Unlock()
	if l != nil {
		l.CloseIdleConnections()
	}
}

// Close closes all idle connections.
func (p *pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.transports {
		l.CloseIdleConnections()
	}
}

// countingConn counts the bytes that were written to it. mu guards the fields.
type countingConn struct {
	net.Conn
	mu      sync.Mutex
	written uint64
	writing int
	sealed  bool
}

var errSealed = errors.New("request cancelled before it was sent")

// Write fails if the connection is sealed. While it runs, seal reports bytes as sent.
func (c *countingConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errSealed
	}
	c.writing++
	c.mu.Unlock()
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	c.writing--
	c.written += uint64(n)
	c.mu.Unlock()
	return n, err
}

// count returns the bytes written so far.
func (c *countingConn) count() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// seal rejects all further writes. It reports whether more than writtenBefore bytes have
// been written or a write is in progress.
//
// It guards against a request that is cancelled between getting its connection and being
// written: the transport's write goroutine could still send it after the caller was told
// "not sent" (rule C1).
func (c *countingConn) seal(writtenBefore uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.written > writtenBefore || c.writing > 0
}

// trace records how far one request got in the transport. mu guards the fields.
type trace struct {
	mu sync.Mutex
	// conn is the last connection that the request got; writtenBefore is what had been
	// written to it earlier.
	conn          *countingConn
	writtenBefore uint64
	sent          bool
	firstByte     bool
}

func (t *trace) hooks() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GotConn:              t.gotConn,
		WroteRequest:         t.wroteRequest,
		GotFirstResponseByte: t.gotFirstByte,
	}
}

// gotConn records the connection. If bytes of the request were sent on an earlier one, the
// transport is retrying; the new connection is sealed, so that the retry fails without
// sending a byte (rule C2).
func (t *trace) gotConn(info httptrace.GotConnInfo) {
	c := countingConnOf(info.Conn)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conn != nil && t.conn.seal(t.writtenBefore) {
		c.seal(0)
		return
	}
	t.conn, t.writtenBefore = c, c.count()
}

// countingConnOf returns the countingConn below c, which may be a TLS connection.
func countingConnOf(c net.Conn) *countingConn {
	if secured, ok := c.(*tls.Conn); ok {
		c = secured.NetConn()
	}
	return c.(*countingConn)
}

func (t *trace) wroteRequest(info httptrace.WroteRequestInfo) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sent = info.Err == nil
}

func (t *trace) gotFirstByte() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.firstByte = true
}

// failurePhase returns how far a request got that has no complete response header. It
// seals the connection, so that no further byte of the request can be sent.
func (t *trace) failurePhase() garnetworks.CallPhase {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case t.conn == nil || !t.conn.seal(t.writtenBefore):
		return garnetworks.PhaseConnect
	case t.firstByte:
		return garnetworks.PhaseHeaders
	case !t.sent:
		return garnetworks.PhaseWrite
	}
	return garnetworks.PhaseWait
}

// singleUseBody hides that a body can be rewound, so that the transport can't retry a
// request whose body it has begun to read (rule C2).
type singleUseBody struct{ r io.Reader }

func (o *singleUseBody) Read(p []byte) (int, error) { return o.r.Read(p) }

// Close implements io.Closer.
func (o *singleUseBody) Close() error { return nil }

// send sends the request with the body. If it fails, the trace tells in which phase.
func (p *pool) send(ctx context.Context, address string, request *http.Request, body io.Reader, size int) (*http.Response, *trace, error) {
	t := &trace{}
	request = request.WithContext(httptrace.WithClientTrace(ctx, t.hooks()))
	request.Body = &singleUseBody{body}
	request.ContentLength = int64(size)
	request.GetBody = nil
	response, err := verifier.Transport{RoundTripper: p.transport(address)}.RoundTrip(request)
	if errors.Is(err, verifier.ErrMalformed) {
		p.closeIdle(address) // without a body the connection is idle again, and failurePhase seals it
	}
	return response, t, err
}
