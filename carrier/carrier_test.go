package carrier

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"storj.io/drpc/drpcmigrate"

	"github.com/garnetworks/garnetworks"
)

// listen serves calls on a listener that other connections share.
func listen(t *testing.T, handler http.HandlerFunc) string {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	mux := drpcmigrate.NewListenMux(listener, len(Prefix))
	server := &http.Server{Handler: handler}
	ctx, stop := context.WithCancel(t.Context())
	calls := mux.Route(Prefix)
	go func() { _ = mux.Run(ctx) }()
	go func() { _ = server.Serve(calls) }()
	t.Cleanup(func() { stop(); _ = server.Close() })
	return listener.Addr().String()
}

// received returns a client's call as a node receives it.
func received(t *testing.T, head, body string) *garnetworks.DelegatedCall {
	t.Helper()
	r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(head)))
	if err != nil {
		t.Fatal(err)
	}
	return &garnetworks.DelegatedCall{Request: r, Body: []byte(body), Elapsed: 1500 * time.Millisecond}
}

// Guards against a call that the second node reads otherwise than the first one received it.
func TestCallArrivesUnchanged(t *testing.T) {
	const target = "/a%2Fb/../c?x=1&y=%20"
	for name, method := range map[string]string{"with a body": http.MethodPost, "without": http.MethodGet} {
		t.Run(name, func(t *testing.T) {
			body := map[string]string{http.MethodPost: "text"}[method]
			address := listen(t, func(w http.ResponseWriter, r *http.Request) {
				if elapsed := Receive(r); elapsed != 1500*time.Millisecond {
					t.Errorf("elapsed %s", elapsed)
				}
				got, _ := io.ReadAll(r.Body)
				if r.Method != method || r.RequestURI != target || r.Host != "a.example" || string(got) != body {
					t.Errorf("got %s %s at %s with body %q", r.Method, r.RequestURI, r.Host, got)
				}
				want := http.Header{"X-Call": {"1", "2"}, "Authorization": {"Token k"}}
				for _, hop := range []string{"Content-Length", "Transfer-Encoding"} {
					r.Header.Del(hop)
				}
				if len(r.Header) != len(want) || len(r.Header["X-Call"]) != 2 || r.Header.Get("Authorization") != "Token k" {
					t.Errorf("got headers %v, want %v", r.Header, want)
				}
				w.Header().Set("X-Answer", "y")
				w.WriteHeader(http.StatusTeapot)
				_, _ = io.WriteString(w, "short")
			})
			c := NewClient()
			defer c.Close()
			head := method + " " + target + " HTTP/1.1\r\nHost: a.example\r\nX-Call: 1\r\nX-Call: 2\r\nX-Hop: h\r\nAuthorization: Token k\r\nConnection: X-Hop, keep-alive\r\n\r\n"
			response, err := c.Delegate(t.Context(), address, received(t, head, body))
			if err != nil {
				t.Fatal(err)
			}
			defer response.Body.Close()
			text, err := io.ReadAll(response.Body)
			if response.Status != http.StatusTeapot || response.Header.Get("X-Answer") != "y" || string(text) != "short" || err != nil || response.Untaken {
				t.Errorf("got %d %v %q, %v", response.Status, response.Header, text, err)
			}
		})
	}
}

// Guards against a call that a lost connection repeats, or that counts as unsent after that.
func TestCallIsSentOnce(t *testing.T) {
	const head = "GET /x HTTP/1.1\r\nHost: a.example\r\n\r\n"
	var calls atomic.Int32
	address := listen(t, func(w http.ResponseWriter, _ *http.Request) {
		if calls.Add(1) == 1 {
			return // the connection is kept for the next call
		}
		conn, _, err := http.NewResponseController(w).Hijack()
		if err == nil {
			_ = conn.Close()
		}
	})
	c := NewClient()
	defer c.Close()
	response, err := c.Delegate(t.Context(), address, received(t, head, ""))
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	_, err = c.Delegate(t.Context(), address, received(t, head, ""))
	var failure *garnetworks.AttemptError
	if !errors.As(err, &failure) || failure.Phase != garnetworks.PhaseWait {
		t.Errorf("got %v, want a failure of phase wait", err)
	}
	if got := calls.Load(); got != 2 {
		t.Errorf("%d calls arrived, want 2", got)
	}
}

// Guards against an unsent call that counts as received.
func TestCallToAnUnreachableNodeIsUnsent(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = listener.Close()
	_, err = NewClient().Delegate(t.Context(), listener.Addr().String(), received(t, "GET /x HTTP/1.1\r\nHost: a.example\r\n\r\n", ""))
	var failure *garnetworks.AttemptError
	if !errors.As(err, &failure) || failure.Phase != garnetworks.PhaseConnect {
		t.Errorf("got %v, want a failure of phase connect", err)
	}
}

// Guards against an interrupted answer that looks complete.
func TestInterruptedAnswerIsNotComplete(t *testing.T) {
	for name, headers := range map[string]http.Header{"streamed": {}, "with a length": {"Content-Length": {"100"}}} {
		t.Run(name, func(t *testing.T) {
			address := listen(t, func(w http.ResponseWriter, _ *http.Request) {
				for k, v := range headers {
					w.Header()[k] = v
				}
				_, _ = io.WriteString(w, "part")
				_ = http.NewResponseController(w).Flush()
				panic(http.ErrAbortHandler)
			})
			c := NewClient()
			defer c.Close()
			response, err := c.Delegate(t.Context(), address, received(t, "GET /x HTTP/1.1\r\nHost: a.example\r\n\r\n", ""))
			if err != nil {
				t.Fatal(err)
			}
			defer response.Body.Close()
			if text, err := io.ReadAll(response.Body); err == nil || string(text) != "part" {
				t.Errorf("got %q, %v", text, err)
			}
		})
	}
}

// Guards against a refusal of a node without servers that reaches the client as final.
func TestUntakenCallIsMarked(t *testing.T) {
	address := listen(t, func(w http.ResponseWriter, _ *http.Request) {
		MarkUntaken(w.Header())
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	c := NewClient()
	defer c.Close()
	response, err := c.Delegate(t.Context(), address, received(t, "GET /x HTTP/1.1\r\nHost: a.example\r\n\r\n", ""))
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if !response.Untaken || len(response.Header.Values(headerUntaken)) != 0 {
		t.Errorf("got untaken %t, headers %v", response.Untaken, response.Header)
	}
	if r := httptest.NewRequest(http.MethodGet, "/", nil); Receive(r) != 0 {
		t.Error("a call without the header has an elapsed time")
	}
}
