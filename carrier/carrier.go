// Package carrier carries client calls from a node to another one that takes them over: HTTP/1.1
// on the listener for other nodes, after a prefix that distinguishes such connections from peer calls.
//
//	C1  A call is never sent twice: not by the client, and not by the transport under it, which
//	    would repeat requests on connections that were closed meanwhile.
//	C2  The error of a call that may have been received is never in the connect phase.
package carrier

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"storj.io/drpc/drpcmigrate"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/pooler"
	"github.com/garnetworks/garnetworks/verifier"
)

// Prefix is what a connection that carries calls begins with. No peer call begins so.
const Prefix = "GNCALLS1"

const (
	// connectTime bounds the connection setup. It takes milliseconds between nodes, and the call
	// can still go to another one.
	connectTime = 150 * time.Millisecond
	// idleTime is how long an idle connection is kept. It is shorter than the time that servers
	// keep connections.
	idleTime = 8 * time.Second
	// maxIdlePerNode is the maximum number of idle connections to one node.
	maxIdlePerNode = 16
	// ackTime is how long sent bytes may stay unacknowledged, and keepAliveIdle the silence after
	// which a connection is checked: one to a node that is partitioned meanwhile must not hold its
	// call.
	ackTime       = 800 * time.Millisecond
	keepAliveIdle = time.Second
	// headerElapsed holds the time in milliseconds since the first node received the call.
	headerElapsed = "Garnet-Elapsed-Ms"
	// headerUntaken is set in the response of a node that could not take the call.
	headerUntaken = "Garnet-Untaken"
)

// hopHeaders apply to a single connection.
var hopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect"}

// Client sends calls to other nodes. It implements garnetworks.CallDelegator.
type Client struct{ transport *http.Transport }

// NewClient returns a client without connections.
func NewClient() *Client {
	dialer := &net.Dialer{
		Timeout: connectTime, KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveIdle, Count: 1},
		Control: pooler.LimitAckTime(ackTime),
	}
	return &Client{&http.Transport{
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, "tcp4", address)
			if err != nil {
				return nil, err
			}
			return drpcmigrate.NewHeaderConn(verifier.NewConn(conn), Prefix), nil
		},
		IdleConnTimeout: idleTime, MaxIdleConnsPerHost: maxIdlePerNode, DisableCompression: true,
	}}
}

// Close closes the idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// Delegate implements garnetworks.CallDelegator.
func (c *Client) Delegate(ctx context.Context, address string, call *garnetworks.DelegatedCall) (*garnetworks.DelegatedResponse, error) {
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteHeaders: func() { sent.Store(true) }})
	request := newRequest(ctx, address, call)
	response, err := (verifier.Transport{RoundTripper: c.transport}).RoundTrip(request)
	if err != nil {
		phase := garnetworks.PhaseConnect
		if sent.Load() {
			phase = garnetworks.PhaseWait
		}
		return nil, &garnetworks.AttemptError{Phase: phase, Cause: err}
	}
	untaken := response.Header.Get(headerUntaken) != ""
	for _, name := range append([]string{headerUntaken}, hopHeaders...) {
		response.Header.Del(name)
	}
	return &garnetworks.DelegatedResponse{Status: response.StatusCode, Header: response.Header, Body: response.Body, Untaken: untaken}, nil
}

// newRequest returns the request that carries a call.
func newRequest(ctx context.Context, address string, call *garnetworks.DelegatedCall) *http.Request {
	header := call.Request.Header.Clone()
	for _, line := range header["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			header.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopHeaders {
		header.Del(name)
	}
	if _, ok := header["User-Agent"]; !ok {
		header["User-Agent"] = []string{""} // the transport adds none of its own
	}
	header.Set(headerElapsed, strconv.FormatInt(call.Elapsed.Milliseconds(), 10))
	request := (&http.Request{
		Method: call.Request.Method, URL: &url.URL{Scheme: "http", Host: address, Opaque: call.Request.RequestURI}, Host: call.Request.Host,
		Header: header,
	}).WithContext(ctx)
	// A body that can't be read again, and even an empty one is such, keeps the transport from
	// repeating the request (rule C1).
	request.Body = &onceBody{Reader: bytes.NewReader(call.Body)}
	request.ContentLength = int64(len(call.Body))
	if len(call.Body) == 0 {
		request.ContentLength = -1
	}
	return request
}

// onceBody is a body that can be read once.
type onceBody struct{ io.Reader }

func (*onceBody) Close() error { return nil }

// Receive takes the carrier's own headers from a received call and returns the time since the first
// node received it.
func Receive(r *http.Request) time.Duration {
	elapsed, err := strconv.ParseInt(r.Header.Get(headerElapsed), 10, 64)
	r.Header.Del(headerElapsed)
	if err != nil || elapsed < 0 {
		return 0
	}
	return time.Duration(elapsed) * time.Millisecond
}

// ClearMark removes the mark from the headers of a server's response.
func ClearMark(h http.Header) { h.Del(headerUntaken) }

// MarkUntaken marks a response as that of a node that could not take the call.
func MarkUntaken(h http.Header) { h.Set(headerUntaken, "1") }
