package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// ending is how a server ends a connection after the first bytes of an answer.
type ending string

const (
	endingClose ending = "close"
	endingReset ending = "reset"
)

// rawServer answers each request with bytes of the test's choice.
type rawServer struct {
	listener net.Listener

	mu sync.Mutex
	// answer returns the bytes to send for a request, and how the connection ends after them; it is kept
	// open if ending is empty. number counts the connection's requests from 1.
	answer func(id string, number int) (text string, end ending)
}

func newRawServer(t *testing.T) *rawServer {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &rawServer{listener: listener}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	return s
}

func (s *rawServer) set(answer func(id string, number int) (string, ending)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answer = answer
}

func (s *rawServer) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for number := 1; ; number++ {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		s.mu.Lock()
		text, end := s.answer(request.Header.Get("Garnetworks-Request-Id"), number)
		s.mu.Unlock()
		if _, err := io.WriteString(conn, text); err != nil {
			return
		}
		if end == endingReset {
			// A node that has not read the bytes yet would lose them with the reset.
			time.Sleep(time.Millisecond)
			_ = conn.(*net.TCPConn).SetLinger(0)
		}
		if end != "" {
			return
		}
	}
}

// The kinds of routes of a rawSite, which are the first parts of their paths.
const (
	rawUnsafe = "unsafe"
	rawSafe   = "safe"
	rawStream = "streaming"
)

// rawSite is a node whose routes lead to a raw server of a service without models.
type rawSite struct {
	*onceSite
	server *rawServer
}

func newRawSite(t *testing.T) *rawSite {
	server := newRawServer(t)
	server.set(func(id string, _ int) (string, ending) { return rawAnswer(id, "", "Content-Length: 2\r\n", "ok"), "" })
	s := newRawSiteAt(t, server.listener.Addr().String(), onceTimeout)
	s.server = server
	return s
}

// newRawSiteAt returns a site whose routes have a timeout and lead to the server at an address, which has to
// answer "ok" at first.
func newRawSiteAt(t *testing.T, server string, timeout time.Duration) *rawSite {
	s := &rawSite{onceSite: newOnceSite(t, onceOptions{Seed: 1, Nodes: 1, Servers: 1})}
	s.awaitServing()
	var routes []any
	for _, kind := range []string{rawUnsafe, rawSafe, rawStream} {
		routes = append(routes, map[string]any{
			"name": kind, "host": "a.example", "path-prefix": "/" + kind + "/", "kind": kind, "service": "raw", "attempts": 1,
			"timeout-ms": timeout.Milliseconds(), "slo-ms": 150, "priority": 1, "public": false, "sticky": false, "can-resume": false, "gap-aim-ms": 200,
		})
	}
	s.store.Set("config", "main", map[string]any{
		"version": s.version + 1, "routes": routes,
		"services": []any{map[string]any{"name": "raw", "health-path": "/healthz", "max-connections": 400, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4 << 20, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants":  []any{map[string]any{"name": "w1", "api-keys": []string{s.key}, "priority": 1}},
	})
	s.store.Set("servers", "i-raw", map[string]any{
		"service": "raw", "address": server, "zone": "z1", "version": "v1", "slots": 40, "state": "ready", "cold-remaining-ms": 0, "sequence": 1,
	})
	for end := time.Now().Add(serveTime); s.request(t, rawUnsafe, "first").body != "ok"; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the node does not serve the raw server")
		}
	}
	return s
}

// rawAnswer returns a whole answer with status 200.
func rawAnswer(id, first, framing, body string) string {
	return "HTTP/1.1 200 OK\r\n" + first + "Garnetworks-Request-Id: " + id + "\r\nGarnetworks-Response-Stamp: s." + id + "\r\n" + framing + "\r\n" + body
}

// rawResult is what a client got: status 0 if there was no whole answer. received holds the body's bytes also then.
type rawResult struct {
	status         int
	stamped        bool
	body, received string
}

// request sends a request on a new connection.
func (s *rawSite) request(t *testing.T, kind, id string) rawResult {
	t.Helper()
	return s.exchange(t, strings.Replace(requestText(id, s.key, onceDeadline), "POST /log/x", "POST /"+kind+"/x", 1))
}

// exchange sends the text of a request on a new connection and reads the answer.
func (s *rawSite) exchange(t *testing.T, text string) rawResult {
	t.Helper()
	conn, err := net.DialTimeout("tcp4", s.nodes[0].front, time.Second)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(serveTime)); err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return rawResult{}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return rawResult{received: string(body)}
	}
	return rawResult{response.StatusCode, response.Header.Get("Garnetworks-Response-Stamp") != "", string(body), string(body)}
}

// Guards against an answer that a server ended early reaching the client as a whole one.
func TestAnswersThatEndEarlyAreNotPassedOnAsWhole(t *testing.T) {
	const (
		events = "id: 1\ndata: a\n\nid: 2\ndata: bc\n\n"
		first  = len("id: 1\ndata: a\n")
	)
	length := fmt.Sprintf("Content-Length: %d\r\n", len(events))
	chunk := func(part string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(part), part) }
	eventStream := "Content-Type: text/event-stream\r\n"
	forms := map[string]struct {
		framing, body string
		// unframed says that the answer has neither a length nor chunks, so that it may end with its connection.
		unframed bool
	}{
		"length":       {framing: length, body: events},
		"chunks":       {framing: "Transfer-Encoding: chunked\r\n", body: chunk(events[:first]) + chunk(events[first:]) + "0\r\n\r\n"},
		"trailers":     {framing: "Transfer-Encoding: chunked\r\nTrailer: X-Sum\r\n", body: chunk(events) + "0\r\nX-Sum: 1\r\n\r\n"},
		"no framing":   {body: events, unframed: true},
		"HTTP/1.0":     {framing: "Connection: close\r\n", body: events, unframed: true},
		"interim head": {framing: length, body: events},
	}
	s := newRawSite(t)
	for name, form := range forms {
		t.Run(name, func(t *testing.T) {
			played := 0
			for _, kind := range []string{rawUnsafe, rawSafe, rawStream} {
				for _, end := range []ending{endingClose, endingReset} {
					whole := func(id string) string {
						text := rawAnswer(id, eventStream, form.framing, form.body)
						switch name {
						case "HTTP/1.0":
							text = strings.Replace(text, "HTTP/1.1", "HTTP/1.0", 1)
						case "interim head":
							text = "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + text
						}
						return text
					}
					for cut := range len(whole("r-0000")) {
						id := fmt.Sprintf("r-%04d", cut)
						s.server.set(func(got string, _ int) (string, ending) { return whole(got)[:cut], end })
						got := s.request(t, kind, id)
						played++
						sent := ""
						if _, after, ok := strings.Cut(strings.TrimPrefix(whole(id)[:cut], "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"), "\r\n\r\n"); ok {
							sent = after
						}
						// An answer without framing may end with its connection; a stream does so after an event.
						allowed := form.unframed && end == endingClose && strings.Contains(whole(id)[:cut], "\r\n\r\n") &&
							(kind != rawStream || strings.HasSuffix(sent, "\n\n"))
						switch {
						case got.status == http.StatusOK && !allowed:
							t.Errorf("%s, %s after %d bytes: answered 200 with %q of %q", kind, end, cut, got.body, sent)
						case got.status == http.StatusOK && got.body != sent:
							t.Errorf("%s, %s after %d bytes: answered 200 with %q in place of %q", kind, end, cut, got.body, sent)
						case got.status != http.StatusOK && got.stamped:
							t.Errorf("%s, %s after %d bytes: status %d has the server's stamp", kind, end, cut, got.status)
						case got.status == http.StatusServiceUnavailable:
							t.Errorf("%s, %s after %d bytes: status %d promises that the request did not run", kind, end, cut, got.status)
						}
					}
				}
			}
			t.Logf("%d answers were cut", played)
		})
	}
}

// Guards against the first part of a head that belongs to no request being joined to the answer that follows it.
func TestPartsOfAHeadAreNotJoinedToAnAnswer(t *testing.T) {
	s := newRawSite(t)
	heads := map[string]string{
		"named":       rawAnswer("another", "", "Content-Length: 3\r\n", "old"),
		"unnamed":     "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nGarnetworks-Response-Stamp: old\r\nContent-Length: 3\r\n\r\nold",
		"stamp first": "HTTP/1.1 200 OK\r\nGarnetworks-Response-Stamp: old\r\nX-Host: h\r\nContent-Length: 3\r\n\r\nold",
		"refusal":     "HTTP/1.1 503 Service Unavailable\r\nGarnetworks-Not-Run: 1\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n",
		"trailers":    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-Sum, X-Size\r\n\r\n",
	}
	const success, failure = "200 OK", "500 Internal Server Error"
	for name, head := range heads {
		for _, status := range []string{success, failure} {
			t.Run(name+" before "+status, func(t *testing.T) {
				var last string // the status that the server gave last; requests are sent one after the other
				reused := 0
				for cut := 1; cut < len(head); cut++ {
					s.server.set(func(id string, number int) (string, ending) {
						body := "answer to " + id
						text := rawAnswer(id, "", fmt.Sprintf("Content-Length: %d\r\n", len(body)), body)
						last = success
						if number > 1 {
							reused++
							last = status
							text = head[:cut] + strings.Replace(text, success, status, 1)
						}
						return text, ""
					})
					for n := range 2 {
						id := fmt.Sprintf("r-%d-%d", cut, n)
						got := s.request(t, rawUnsafe, id)
						s.server.mu.Lock()
						last := last
						s.server.mu.Unlock()
						switch {
						case got.stamped && (fmt.Sprint(got.status) != last[:3] || got.body != "answer to "+id):
							t.Errorf("after %d bytes of another head the server answered %s, the client got %d with its stamp and %q", cut, last, got.status, got.body)
						case got.status == http.StatusServiceUnavailable:
							t.Errorf("after %d bytes of another head: status %d for a request that ran", cut, got.status)
						case got.status == http.StatusOK && !got.stamped:
							t.Errorf("after %d bytes of another head: status %d without a stamp", cut, got.status)
						}
					}
				}
				s.server.mu.Lock()
				defer s.server.mu.Unlock()
				if reused < len(head)/2 {
					t.Errorf("only %d of %d requests were sent on a kept connection", reused, len(head)-1)
				}
			})
		}
	}
}
