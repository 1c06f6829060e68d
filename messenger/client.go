package messenger

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"storj.io/drpc"

	"github.com/garnetworks/garnetworks"
)

// ClientOptions configure a Client.
type ClientOptions struct {
	// Keys enable mutual TLS; nil means plain TCP.
	Keys *Keys
	// Clock may be nil; messages are then neither stamped nor checked.
	Clock Clock
	// Traffic counts the client's traffic; it may be nil.
	Traffic *Traffic
	// Recorder may be nil; it gets an event when an address stalls.
	Recorder garnetworks.Recorder
	// Dial connects to an address; nil dials TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// Client calls the peer methods of other nodes. It implements garnetworks.PeerCaller and
// is safe for concurrent use.
type Client struct {
	options ClientOptions
	clock   optionalClock

	mu    sync.Mutex
	pools map[string]*pool
	// stalled holds the addresses that were reported as stalled and have not responded
	// since.
	stalled   garnetworks.Set[string]
	lastSweep time.Time
	closed    bool
}

var _ garnetworks.PeerCaller = (*Client)(nil)

// NewClient returns a client.
func NewClient(options ClientOptions) *Client {
	if options.Traffic == nil {
		options.Traffic = new(Traffic)
	}
	if options.Recorder == nil {
		options.Recorder = nopRecorder{}
	}
	if options.Dial == nil {
		options.Dial = dialTCP
	}
	return &Client{options: options, clock: optionalClock{options.Clock}, pools: map[string]*pool{}, stalled: garnetworks.NewSet[string](), lastSweep: time.Now()}
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	return new(net.Dialer).DialContext(ctx, "tcp", address)
}

// Close closes all idle connections. Connections in use are closed when their calls end.
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

// invoke makes one call. It retries once, if a reused connection failed (rule M3).
func invoke[Q, A any](ctx context.Context, c *Client, address string, r rpc[Q, A], request *Q) (*A, error) {
	ctx, cancel := withDefaultDeadline(ctx)
	defer cancel()
	// Copies the request before stamping it, because the caller may send the same request
	// to several peers concurrently.
	stamped := *request
	c.clock.stamp(r.requestTimestamp(&stamped))
	message, err := Encoding{}.Marshal(&stamped)
	if err != nil {
		return nil, c.classify(ctx, address, err)
	}
	response, err := attempt(ctx, c, address, r, message)
	var connErr *connError
	if errors.As(err, &connErr) && connErr.reused && ctx.Err() == nil {
		c.options.Traffic.retries.Add(1)
		response, err = attempt(ctx, c, address, r, message)
	}
	if err != nil {
		return nil, c.classify(ctx, address, err)
	}
	at := *r.responseTimestamp(response)
	c.clock.sample(address, at)
	if err := c.clock.observe(at); err != nil {
		return nil, err
	}
	return response, nil
}

// connError reports that a connection failed during a call.
type connError struct {
	// reused reports whether the connection had carried an earlier call, so that it may
	// have failed before this call was sent (rule M3).
	reused bool
	cause  error
}

// Error implements error.
func (e *connError) Error() string { return e.cause.Error() }

// Unwrap returns the cause for errors.Is and errors.As.
func (e *connError) Unwrap() error { return e.cause }

// classify converts the error of a call to one that has a kind, where it can.
func (c *Client) classify(ctx context.Context, address string, err error) error {
	var connErr *connError
	if errors.As(err, &connErr) {
		return responseLost(ctx, address, connErr.cause)
	}
	if f, ok := decodeFailure(err); ok {
		c.clock.sample(address, f.At)
		return f.error()
	}
	return err
}

// attempt makes the call once, on one connection.
func attempt[Q, A any](ctx context.Context, c *Client, address string, r rpc[Q, A], request encoded) (*A, error) {
	conn, err := c.acquire(ctx, address)
	if err != nil {
		return nil, err
	}
	response := new(A)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	watch := watchProgress(conn.metered, progressTimeout(ctx, conn, r.progressTimeout), cancel)
	c.options.Traffic.messagesSent.Add(1)
	var size sizedEncoding
	err = conn.Invoke(ctx, r.name, &size, request, response)
	stalled := watch.stop()
	c.options.Traffic.add(r.name, len(request), size.read)
	if err == nil {
		c.options.Traffic.messagesReceived.Add(1)
		c.markResponsive(address)
		c.release(conn)
		return response, nil
	}
	if _, ok := decodeFailure(err); ok {
		c.options.Traffic.messagesReceived.Add(1)
		c.markResponsive(address)
		c.release(conn)
		return nil, err
	}
	c.discard(conn)
	if stalled {
		c.closeStalled(address, conn.pool)
	}
	return nil, &connError{reused: conn.reused, cause: err}
}

// sizedEncoding records the encoded size of the response.
type sizedEncoding struct {
	Encoding
	read int
}

// Unmarshal implements drpc.Encoding.
func (e *sizedEncoding) Unmarshal(data []byte, message drpc.Message) error {
	e.read = len(data)
	return e.Encoding.Unmarshal(data, message)
}
