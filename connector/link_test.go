package connector

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/garnetworks/garnetworks"
)

// disconnectingServer answers the first request on each connection, reads the second one
// completely and then closes the connection without a response.
type disconnectingServer struct {
	address string
	mu      sync.Mutex
	// received holds the identifiers of the requests that were read completely.
	received []string
}

func newDisconnectingServer(t *testing.T) *disconnectingServer {
	s := &disconnectingServer{}
	s.address = listen(t, s.serve)
	return s
}

// listen serves each connection on its own goroutine until the test ends.
func listen(t *testing.T, serve func(net.Conn)) (address string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	return l.Addr().String()
}

func (s *disconnectingServer) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for n := 0; n < 2; n++ {
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		id := request.Header.Get(HeaderCall)
		s.mu.Lock()
		s.received = append(s.received, id)
		s.mu.Unlock()
		if n == 0 {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+HeaderCall+": "+id+"\r\nContent-Length: 0\r\n\r\n")
		}
	}
}

func (s *disconnectingServer) receivedCount(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, seen := range s.received {
		if seen == id {
			n++
		}
	}
	return n
}

// The transport must not retry a call, even one with an Idempotency-Key, when a reused
// connection breaks after the server has read the call: it would run twice.
func TestTransportNeverRepeats(t *testing.T) {
	tests := map[string]struct {
		method string
		body   string
	}{
		"keyed with body":    {http.MethodPost, "parts"},
		"keyed without body": {http.MethodPost, ""},
		"get":                {http.MethodGet, ""},
		"put":                {http.MethodPut, "parts"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := newDisconnectingServer(t)
			p := newPool(Options{})
			defer p.Close()
			caller := &ServiceCaller{p}
			call := func(id garnetworks.CallID) error {
				_, err := caller.Call(t.Context(), s.address, &garnetworks.ServiceCall{
					ID: id, Method: test.method, Path: "/parts", Body: []byte(test.body), IdempotencyKey: "key-" + string(id),
				})
				return err
			}
			if err := call("c1"); err != nil {
				t.Fatal(err)
			}
			var attempt *garnetworks.AttemptError
			if err := call("c2"); !errors.As(err, &attempt) || attempt.Phase != garnetworks.PhaseWait {
				t.Errorf("got error %v, want one in phase wait", err)
			}
			if n := s.receivedCount("c2"); n != 1 {
				t.Errorf("the server read the call %d times, want once", n)
			}
		})
	}
}

// Even if a request's body can be rewound, the transport's retry must fail: the new
// connection is sealed before a byte is sent.
func TestRetryConnectionIsSealed(t *testing.T) {
	s := newDisconnectingServer(t)
	p := newPool(Options{})
	defer p.Close()
	address := s.address
	send := func(id string) (*http.Response, error) {
		request, err := http.NewRequest(http.MethodPost, "http://"+address+"/parts", strings.NewReader("parts"))
		if err != nil {
			t.Fatal(err)
		}
		request.Header.Set(HeaderCall, id)
		request.Header.Set(HeaderIdempotencyKey, id)
		tr := &trace{}
		return p.transport(address).RoundTrip(request.WithContext(httptrace.WithClientTrace(t.Context(), tr.hooks())))
	}
	first, err := send("c1")
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, first.Body)
	_ = first.Body.Close()
	if second, err := send("c2"); err == nil {
		_ = second.Body.Close()
		t.Error("the retry got a response")
	}
	if n := s.receivedCount("c2"); n != 1 {
		t.Errorf("the server read the call %d times, want once", n)
	}
}

// After a call was reported as not sent, the transport's write goroutine must not be able
// to send it.
func TestSealedConnectionSendsNothing(t *testing.T) {
	near, far := net.Pipe()
	defer near.Close()
	var arrived atomic.Int64
	go func() {
		n, _ := io.Copy(io.Discard, far)
		arrived.Add(n)
	}()
	c := &countingConn{Conn: near}
	tr := &trace{}
	tr.gotConn(httptrace.GotConnInfo{Conn: c})
	if phase := tr.failurePhase(); phase != garnetworks.PhaseConnect {
		t.Errorf("got phase %s, want connect", phase)
	}
	if _, err := c.Write([]byte("late")); err == nil {
		t.Error("the late write was accepted")
	}
	_ = near.Close()
	if n := arrived.Load(); n != 0 {
		t.Errorf("%d bytes arrived", n)
	}
}

// A call that is cancelled while it is written may have reached the server.
func TestWriteInProgressIsNotUnsent(t *testing.T) {
	near, far := net.Pipe()
	defer far.Close()
	c := &countingConn{Conn: near}
	tr := &trace{}
	tr.gotConn(httptrace.GotConnInfo{Conn: c})
	written := make(chan struct{})
	go func() {
		defer close(written)
		_, _ = c.Write([]byte("call"))
	}()
	for !c.isWriting() {
		time.Sleep(time.Millisecond)
	}
	if phase := tr.failurePhase(); phase != garnetworks.PhaseWrite {
		t.Errorf("got phase %s, want write", phase)
	}
	_ = near.Close()
	<-written
}

func (c *countingConn) isWriting() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writing > 0
}

// rawServer sends a fixed response on each connection after it has read the request.
func rawServer(t *testing.T, answer string) string {
	return listen(t, func(c net.Conn) {
		defer c.Close()
		if request, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			_, _ = io.Copy(io.Discard, request.Body)
			_, _ = io.WriteString(c, answer)
		}
	})
}

// A response that violates the protocol must not be delivered as complete, or prove that a
// call was not run.
func TestInvalidServiceResponses(t *testing.T) {
	const own = HeaderCall + ": c1\r\n"
	tests := map[string]struct {
		answer string
		phase  garnetworks.CallPhase
	}{
		"body without an end marker":         {"HTTP/1.1 200 OK\r\n" + own + "\r\nhalf", garnetworks.PhaseBody},
		"body shorter than its length":       {"HTTP/1.1 200 OK\r\n" + own + "Content-Length: 9\r\n\r\nhalf", garnetworks.PhaseBody},
		"chunks without the last one":        {"HTTP/1.1 200 OK\r\n" + own + "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n", garnetworks.PhaseBody},
		"head that breaks off":               {"HTTP/1.1 200 OK\r\nGarnet-C", garnetworks.PhaseHeaders},
		"no identifier":                      {"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", garnetworks.PhaseMismatched},
		"another identifier":                 {"HTTP/1.1 200 OK\r\n" + HeaderCall + ": c2\r\nContent-Length: 0\r\n\r\n", garnetworks.PhaseMismatched},
		"refusal of another call":            {"HTTP/1.1 503 Busy\r\n" + HeaderCall + ": c2\r\n" + HeaderOutcome + ": not-run\r\nContent-Length: 0\r\n\r\n", garnetworks.PhaseMismatched},
		"refusal by something between":       {"HTTP/1.1 503 Busy\r\n" + HeaderOutcome + ": not-run\r\nContent-Length: 0\r\n\r\n", garnetworks.PhaseMismatched},
		"refusal with an endless delay":      {"HTTP/1.1 503 Busy\r\n" + own + HeaderOutcome + ": not-run\r\nRetry-After: 99999999999\r\nContent-Length: 0\r\n\r\n", garnetworks.PhaseRefused},
		"not-run with a status that ran":     {"HTTP/1.1 500 Oops\r\n" + own + HeaderOutcome + ": not-run\r\nContent-Length: 0\r\n\r\n", garnetworks.PhaseDone},
		"unavailable without proof":          {"HTTP/1.1 503 Busy\r\n" + own + "Content-Length: 0\r\n\r\n", garnetworks.PhaseDone},
		"no answer at all":                   {"", garnetworks.PhaseWait},
		"not HTTP":                           {"hello\r\n\r\n", garnetworks.PhaseHeaders},
		"redirection is not followed":        {"HTTP/1.1 307 Go\r\n" + own + "Location: http://127.0.0.1:1/\r\nContent-Length: 0\r\n\r\n", garnetworks.PhaseDone},
		"status without a body is an answer": {"HTTP/1.1 204 Done\r\n" + own + "\r\n", garnetworks.PhaseDone},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			caller := NewServiceCaller(Options{})
			defer caller.Close()
			_, err := caller.Call(t.Context(), rawServer(t, test.answer), &garnetworks.ServiceCall{
				ID: "c1", Method: http.MethodPost, Path: "/", Body: []byte("x"),
			})
			phase := garnetworks.PhaseDone
			var attempt *garnetworks.AttemptError
			if errors.As(err, &attempt) {
				phase = attempt.Phase
			}
			if phase != test.phase {
				t.Errorf("got phase %s (error %v), want %s", phase, err, test.phase)
			}
			if attempt != nil && attempt.RetryAfter > time.Hour {
				t.Errorf("got a delay of %v", attempt.RetryAfter)
			}
		})
	}
}

// A write must not be reported as rejected, though it may be in force, when a proxy
// answers instead of the store or the response is incomplete.
func TestWritesWithUnknownOutcomeAreResponseLost(t *testing.T) {
	tests := map[string]struct {
		answer string
		kind   garnetworks.Kind
	}{
		"gateway's own page":  {"HTTP/1.1 502 Bad\r\nContent-Length: 4\r\n\r\noops", garnetworks.KindResponseLost},
		"unknown kind":        {"HTTP/1.1 409 No\r\nContent-Length: 18\r\n\r\n{\"kind\":\"strange\"}", garnetworks.KindResponseLost},
		"no revision":         {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}", garnetworks.KindResponseLost},
		"conflict":            {"HTTP/1.1 409 No\r\nContent-Length: 19\r\n\r\n{\"kind\":\"conflict\"}", garnetworks.KindConflict},
		"body breaks off":     {"HTTP/1.1 200 OK\r\n" + HeaderRevision + ": 7\r\nContent-Length: 9\r\n\r\n{}", garnetworks.KindResponseLost},
		"nothing comes back":  {"", garnetworks.KindResponseLost},
		"unavailable by kind": {"HTTP/1.1 503 No\r\nContent-Length: 33\r\n\r\n{\"kind\":\"object-api-unavailable\"}", garnetworks.KindObjectAPIDown},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			api := NewObjectAPI("http://"+rawServer(t, test.answer), Options{})
			defer api.Close()
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			_, err := api.Put(ctx, "key", []byte("value"), 1)
			if !garnetworks.IsKind(err, test.kind) {
				t.Errorf("got error %v, want kind %s", err, test.kind)
			}
		})
	}
}
