// Package pooler sends requests to servers over connections that it keeps, and tells whose a response is.
// What identifies a call in a response is the caller's to say.
//
//	O1  A connection is used again only if its last response was complete and framed, nothing
//	    arrived after it, and the server has not closed it.
//	O2  A response is accepted for a request only if it echoes the request's identifier, or is an
//	    error without one that is the first response of its connection; others on a connection
//	    are left over from earlier requests and discarded. No two attempts of a request that must
//	    not run twice share a connection, as their responses echo the same identifier.
//	O3  What is read before a response's headers are complete is bounded.
//	O4  A failed request reports the phase that it reached.
//	O5  On a connection that was used before, headers in which a further status line
//	    stands are those of no response: they begin with the first part of one that
//	    belongs to no request, and its status and headers would count for this one.
//	O6  A response with malformed headers or trailers (package verifier) fails the attempt.
package pooler

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/verifier"
)

// Limits of connections to backend servers.
const (
	// defaultConnectTime is the connect timeout of an attempt that sets none.
	defaultConnectTime = 500 * time.Millisecond
	// DefaultAckTime is how long sent bytes may stay unacknowledged before the connection
	// fails. It detects a dead connection to a server that is otherwise reachable.
	DefaultAckTime = 800 * time.Millisecond
	// idleTime is how long an idle connection is kept unless the server asks for less.
	idleTime = 8 * time.Second
	// atMostOnceIdleTime is the same for a call that must not run twice. The longer a
	// connection was idle, the likelier the server closes it just as the call is sent, which
	// leaves unknown whether the call ran.
	atMostOnceIdleTime = 300 * time.Millisecond
	// maxIdle is the maximum number of idle connections to one server.
	maxIdle = 16
	// maxStaleResponses is how many responses to earlier calls are discarded on a connection.
	maxStaleResponses = 3
	// maxStaleResponseBytes limits the body of such a response.
	maxStaleResponseBytes = 1 << 20
	// readBufferBytes is several times the size of a stream's event.
	readBufferBytes = 4 << 10
	// MaxHeadBytes limits what is read from a connection until a response's headers are complete.
	MaxHeadBytes = 64 << 10
)

// errHeadTooLarge and errNoResponse are the causes of attempts whose server sent too many header
// bytes, or bytes that are no response.
var (
	errHeadTooLarge = errors.New("the headers of the answer have no end")
	errNoResponse   = errors.New("the server's bytes are no answer")
	errJoinedHeads  = errors.New("the headers of the answer hold a second status line")
)

// Pool keeps idle connections to servers. It implements garnetworks.ServerConnector.
type Pool struct {
	mu   sync.Mutex
	idle map[string][]*connection
}

// New returns a Pool without connections.
func New() *Pool { return &Pool{idle: make(map[string][]*connection)} }

// Request is a request to a server.
type Request struct {
	Method string
	// Head returns all that precedes the body. It is called once the connection is open, as it may hold the
	// time that is left.
	Head func() []byte
	Body []byte
	// ID is what responses echo; IDOf returns what one echoes, "" if nothing.
	ID   garnetworks.CallID
	IDOf func(http.Header) garnetworks.CallID
	// AtMostOnce says that the request must not run twice, Repeated that an attempt of it was sent before.
	AtMostOnce, Repeated bool
	// ConnectTime and AckTime replace the defaults if they are above 0.
	ConnectTime, AckTime time.Duration
}

// Response is a response whose headers have arrived.
type Response struct {
	*http.Response
	// Reused says that the connection had carried a request before, Unnamed that the response echoes no
	// identifier, EndsWithConnection that only the connection's end ends the body.
	Reused, Unnamed, EndsWithConnection bool
}

// connection is a connection to a backend server. It carries one call at a time.
type connection struct {
	*verifier.Conn
	reader  *bufio.Reader
	address string
	// headLeft is how many bytes may still be read for headers; it counts while inHead is set.
	headLeft int
	inHead   bool
	// scanner scans the headers that are being read.
	scanner verifier.HeadScanner
	// idleSince is when its last response was complete.
	idleSince time.Time
	// requests counts those that were sent on it.
	requests int
	// keepAlive is how long it may stay idle in the pool.
	keepAlive time.Duration
	// ackTime is how long sent bytes may stay unacknowledged; 0 before the first call.
	ackTime time.Duration
}

// Send sends a request and returns the response once its headers have arrived. Its body has to be closed.
func (p *Pool) Send(ctx context.Context, address string, request *Request) (*Response, *garnetworks.AttemptError) {
	c, err := p.connection(ctx, address, request)
	if err != nil {
		return nil, &garnetworks.AttemptError{Phase: garnetworks.PhaseConnect, Cause: err}
	}
	// When ctx ends, reads and writes on the connection fail, including those of the
	// response's body.
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	x := &exchange{pool: p, connection: c, stop: stop, request: request}
	response, failure := x.run()
	if failure != nil {
		x.abandon()
		return nil, failure
	}
	return response, nil
}

// connection takes an idle connection that passes the check of alive, or opens a new one.
func (p *Pool) connection(ctx context.Context, address string, request *Request) (*connection, error) {
	for {
		c := p.take(address, request)
		if c == nil {
			break
		}
		if c.alive() && c.setAckTime(request.AckTime) == nil {
			return c, nil
		}
		_ = c.Close()
	}
	return dial(ctx, address, request.ConnectTime, request.AckTime)
}

// Connect implements garnetworks.ServerConnector. The connection is kept for calls.
func (p *Pool) Connect(ctx context.Context, address string) error {
	c, err := dial(ctx, address, 0, 0)
	if err != nil {
		return err
	}
	c.idleSince, c.keepAlive = time.Now(), idleTime
	p.put(c)
	return nil
}

// dial opens a connection; a limit of 0 means its default.
func dial(ctx context.Context, address string, connectTime, ackTime time.Duration) (*connection, error) {
	bound := connectTime
	if bound <= 0 {
		bound = defaultConnectTime
	}
	dialer := net.Dialer{Timeout: bound, KeepAlive: -1, Control: LimitAckTime(DefaultAckTime)}
	raw, err := dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, err
	}
	c := &connection{Conn: verifier.NewConn(raw), address: address}
	c.reader = bufio.NewReaderSize(c, readBufferBytes)
	if err := c.setAckTime(ackTime); err != nil {
		_ = raw.Close()
		return nil, err
	}
	return c, nil
}

// tcpUserTimeout is Linux's TCP_USER_TIMEOUT, which limits how long sent bytes may stay
// unacknowledged. Its unit is milliseconds.
const tcpUserTimeout = 18

// LimitAckTime returns a net.Dialer's Control by which a connection fails once sent bytes have been
// unacknowledged for bound.
func LimitAckTime(bound time.Duration) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error { return setUserTimeout(raw, bound) }
}

func setUserTimeout(raw syscall.RawConn, bound time.Duration) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(bound.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}

// setAckTime limits how long sent bytes may stay unacknowledged; 0 means DefaultAckTime.
func (c *connection) setAckTime(bound time.Duration) error {
	if bound <= 0 {
		bound = DefaultAckTime
	}
	if bound == c.ackTime {
		return nil
	}
	control, err := c.SyscallConn()
	if err != nil {
		return err
	}
	c.ackTime = bound
	return setUserTimeout(control, bound)
}

// take removes and returns the most recently used connection to address if the attempt may use
// it, and nil otherwise.
func (p *Pool) take(address string, request *Request) *connection {
	// A second copy of the refusal of the earlier attempt names the same call.
	if request.AtMostOnce && request.Repeated {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	idle := time.Since(c.idleSince)
	if idle > c.keepAlive {
		// The others have been idle even longer.
		for _, old := range list {
			_ = old.Close()
		}
		delete(p.idle, address)
		return nil
	}
	if request.AtMostOnce && idle > atMostOnceIdleTime {
		return nil
	}
	p.idle[address] = list[:len(list)-1]
	return c
}

func (p *Pool) put(c *connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[c.address]
	if len(list) >= maxIdle {
		_ = list[0].Close()
		list = append(list[:0], list[1:]...)
	}
	p.idle[c.address] = append(list, c)
}

// Sweep closes the connections that have been idle for too long. It has to be called
// periodically, so that connections to removed servers don't stay open.
func (p *Pool) Sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Sub(c.idleSince) > c.keepAlive {
				_ = c.Close()
				continue
			}
			kept = append(kept, c)
		}
		if len(kept) == 0 {
			delete(p.idle, address)
			continue
		}
		p.idle[address] = kept
	}
}

// Read reads from the connection. While headers are read it fails after MaxHeadBytes.
//
// Failure: a server sends header bytes without end. Each call to it would take all of the node's
// memory until its deadline.
func (c *connection) Read(p []byte) (int, error) {
	if !c.inHead {
		return c.Conn.Read(p)
	}
	if c.headLeft <= 0 {
		return 0, errHeadTooLarge
	}
	n, err := c.Conn.Read(p)
	c.headLeft -= n
	c.scanner.Scan(p[:n])
	return n, err
}

// readHead reads the headers of a response. The bytes are checked as they arrive, so that a call does
// not wait for the end of a line that never ends.
func (c *connection) readHead(request *http.Request) (*http.Response, garnetworks.CallPhase, error) {
	const protocol = "HTTP/"
	c.headLeft, c.inHead, c.scanner = MaxHeadBytes, true, verifier.HeadScanner{}
	buffered, _ := c.reader.Peek(c.reader.Buffered()) // never fails
	c.scanner.Scan(buffered)
	defer func() { c.inHead = false }()
	for n := 1; n <= len(protocol); n++ {
		start, err := c.reader.Peek(n)
		switch {
		case err != nil && n == 1:
			return nil, garnetworks.PhaseWait, err
		case err != nil:
			return nil, garnetworks.PhaseHeaders, err
		case start[n-1] != protocol[n-1]:
			return nil, garnetworks.PhaseHeaders, errNoResponse
		}
	}
	response, err := http.ReadResponse(c.reader, request)
	switch {
	case err != nil:
		return nil, garnetworks.PhaseHeaders, err
	case c.requests > 1 && joinsHeads(response):
		return nil, garnetworks.PhaseHeaders, errJoinedHeads
	case c.scanner.Folded:
		return nil, garnetworks.PhaseHeaders, errors.Wrap(verifier.ErrMalformed, "folded line in the headers")
	}
	return response, garnetworks.PhaseHeaders, verifier.Head(response)
}

// statusLine matches the begin of one.
var statusLine = regexp.MustCompile(`HTTP/1\.[01] [1-9][0-9][0-9]`)

// joinsHeads reports whether a status line stands within a response's headers (rule O5).
func joinsHeads(response *http.Response) bool {
	if statusLine.MatchString(response.Status) {
		return true
	}
	for _, fields := range []http.Header{response.Header, response.Trailer} {
		for name, values := range fields {
			if statusLine.MatchString(name) || slices.ContainsFunc(values, statusLine.MatchString) {
				return true
			}
		}
	}
	return false
}

// alive reports whether nothing has arrived on the idle connection: neither the server's
// close nor an unexpected response (rule O1).
func (c *connection) alive() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	control, err := c.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	err = control.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, readErr := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		empty = readErr == syscall.EAGAIN
		return true
	})
	return err == nil && empty
}

// exchange is one call on one connection.
type exchange struct {
	pool       *Pool
	connection *connection
	stop       func() bool
	request    *Request
}

// abandon closes the connection, which cancels the call at the server.
func (x *exchange) abandon() {
	x.stop()
	_ = x.connection.Close()
}

func (x *exchange) run() (*Response, *garnetworks.AttemptError) {
	r := x.request
	head := r.Head()
	reused := x.connection.requests > 0
	x.connection.requests++
	sent := make(chan error, 1)
	if len(head)+len(r.Body) <= readBufferBytes {
		_, err := x.connection.Write(append(head, r.Body...))
		sent <- err
	} else {
		// The server may respond before it has read a long body, and may stop reading until
		// its response is read, so the request is written concurrently.
		go func() {
			sent <- x.connection.WriteBuffers(net.Buffers{head, r.Body})
		}()
	}
	response, phase, err := x.readResponse()
	if err != nil {
		return nil, &garnetworks.AttemptError{Phase: phase, Stalled: errors.Is(err, os.ErrDeadlineExceeded), Reused: reused, Cause: err}
	}
	requestSent := false
	select {
	case err := <-sent:
		requestSent = err == nil
	default:
	}
	result := &Response{
		Response: response, Reused: reused, Unnamed: r.IDOf(response.Header) != r.ID,
		EndsWithConnection: response.ContentLength < 0 && len(response.TransferEncoding) == 0,
	}
	response.Body = &responseBody{
		ReadCloser: response.Body,
		exchange:   x,
		response:   response,
		// Rule O1: request bytes that are still being sent must not be taken by the server
		// for the start of the next request.
		reusable:  requestSent && !response.Close && !result.EndsWithConnection,
		keepAlive: keepAliveTime(response.Header),
	}
	return result, nil
}

// readResponse reads response headers until those of this call arrive (rule O2).
func (x *exchange) readResponse() (*http.Response, garnetworks.CallPhase, error) {
	request := &http.Request{Method: x.request.Method}
	for range maxStaleResponses + 1 {
		response, phase, err := x.connection.readHead(request)
		if err != nil {
			return nil, phase, err
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		if x.belongs(response) {
			return response, garnetworks.PhaseDone, nil
		}
		// A body of unknown length may have no end.
		if response.ContentLength < 0 || response.ContentLength > maxStaleResponseBytes || response.Close {
			break
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			break
		}
	}
	return nil, garnetworks.PhaseMismatched, errors.New("the answer belongs to another call")
}

// belongs reports whether a response is the one to this request. An error without an identifier is
// so only on a connection that carried nothing before: on others it may be left over from an
// earlier request, and this one runs.
func (x *exchange) belongs(response *http.Response) bool {
	switch x.request.IDOf(response.Header) {
	case x.request.ID:
		return true
	case "":
		return response.StatusCode >= http.StatusBadRequest && x.connection.requests == 1
	}
	return false
}

// keepAliveTime returns how long the connection may stay idle: at most half of the server's
// keep-alive timeout, so that it is not used while the server closes it.
func keepAliveTime(h http.Header) time.Duration {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		if n, err := strconv.Atoi(value); err == nil {
			return min(idleTime, time.Duration(n)*time.Second/2)
		}
	}
	return idleTime
}

// responseBody is the body of a response. Close returns its connection to the pool.
type responseBody struct {
	io.ReadCloser
	exchange  *exchange
	response  *http.Response
	reusable  bool
	keepAlive time.Duration
	// atEOF is set once the body was read to its end, closed by the first Close, timed by
	// SetReadDeadline.
	atEOF, closed, timed bool
}

// SetReadDeadline limits reading the body, for a reader that can do without the rest of it.
func (b *responseBody) SetReadDeadline(at time.Time) error {
	b.timed = true
	return b.exchange.connection.SetReadDeadline(at)
}

func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != io.EOF {
		return n, err
	}
	if malformed := verifier.Trailer(b.response); malformed != nil {
		return n, malformed
	}
	b.atEOF = true
	return n, err
}

// Close returns the connection to the pool if the response was read to its end and the
// connection can be reused, and closes the connection otherwise.
func (b *responseBody) Close() error {
	if b.closed {
		return nil
	}
	b.closed = true
	c := b.exchange.connection
	if !b.atEOF || !b.reusable || c.reader.Buffered() > 0 || !b.exchange.stop() {
		b.exchange.abandon()
		return nil
	}
	if b.timed && c.SetReadDeadline(time.Time{}) != nil {
		_ = c.Close()
		return nil
	}
	c.idleSince = time.Now()
	c.keepAlive = b.keepAlive
	b.exchange.pool.put(c)
	return nil
}
