package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/garnetworks/garnetworks/faker/impersonator"
)

// warmUp begins the identifiers of requests that open a connection to the server and leave it open.
const warmUp = "warm-up"

// newScriptedSite returns a site whose routes lead to a raw server, and a function that sets the server's answers.
// Requests to warm up are answered "ok".
func newScriptedSite(t *testing.T) (s *rawSite, answerWith func(func(id string, number int) impersonator.RawAnswer)) {
	t.Helper()
	var mu sync.Mutex
	var answer func(id string, number int) impersonator.RawAnswer
	server := &impersonator.RawServer{Answer: func(r *http.Request, number int) impersonator.RawAnswer {
		id := r.Header.Get("Garnetworks-Request-Id")
		mu.Lock()
		defer mu.Unlock()
		if answer == nil || strings.HasPrefix(id, warmUp) {
			return impersonator.RawAnswer{Text: rawAnswer(id, "", "Content-Length: 2\r\n", "ok")}
		}
		return answer(id, number)
	}}
	if err := server.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = server.Close() })
	return newRawSiteAt(t, server.Address(), serveTime), func(next func(id string, number int) impersonator.RawAnswer) {
		mu.Lock()
		defer mu.Unlock()
		answer = next
	}
}

// upload sends a request with a body of some bytes on a new connection.
func (s *rawSite) upload(t *testing.T, kind, id string, size int) rawResult {
	t.Helper()
	head := strings.Replace(requestText(id, s.key, serveTime), "POST /log/x", "POST /"+kind+"/x", 1)
	head = strings.Replace(head, "Content-Length: 4\r\n\r\nbody", fmt.Sprintf("Content-Length: %d\r\n\r\n", size), 1)
	return s.exchange(t, head+strings.Repeat("b", size))
}

// Guards against a part of an answer passing as whole, as its connection was reset while the request was being written.
func TestAnswersBesideUploadsAreNotCutOff(t *testing.T) {
	const (
		events = "id: 1\ndata: a\n\nid: 2\ndata: bc\n\n"
		// closes keeps the node from reusing a connection that the server is about to end.
		closes = "Connection: close\r\n"
	)
	chunk := fmt.Sprintf("%x\r\n%s\r\n", len(events), events)
	framings := map[string]struct {
		framing, body string
		// framed says that the answer's own bytes show where it ends.
		framed bool
	}{
		"none":       {"", events, false},
		"close":      {closes, events, false},
		"length":     {fmt.Sprintf("%sContent-Length: %d\r\n", closes, len(events)), events, true},
		"cut length": {closes + "Content-Length: 64\r\n", events, false},
		"chunks":     {closes + "Transfer-Encoding: chunked\r\n", chunk + "0\r\n\r\n", true},
		"cut chunks": {closes + "Transfer-Encoding: chunked\r\n", chunk, false},
	}
	ends := []impersonator.RawEnd{impersonator.RawReset, impersonator.RawCloseReset, impersonator.RawCloseRead, impersonator.RawReadReset}
	s, answerWith := newScriptedSite(t)
	for name, framing := range framings {
		for _, end := range ends {
			t.Run(name+", "+string(end), func(t *testing.T) {
				orderly := !strings.HasPrefix(name, "cut") && (end == impersonator.RawCloseReset || end == impersonator.RawCloseRead)
				played, whole, reused := 0, 0, 0
				for _, delay := range []time.Duration{0, 2 * time.Millisecond, 30 * time.Millisecond} {
					answerWith(func(id string, number int) impersonator.RawAnswer {
						if number > 1 {
							reused++
						}
						text := rawAnswer(id, "Content-Type: text/event-stream\r\n", framing.framing, framing.body)
						return impersonator.RawAnswer{Text: text, End: end, Delay: delay}
					})
					for _, size := range []int{8 << 10, 300 << 10, 1 << 20, 4 << 20} {
						for _, kind := range []string{rawUnsafe, rawSafe, rawStream} {
							for _, kept := range []bool{false, true} {
								if kept {
									s.request(t, kind, warmUp)
								}
								got := s.upload(t, kind, fmt.Sprintf("u-%s-%d-%s-%t", delay, size, kind, kept), size)
								played++
								switch {
								case got.status == http.StatusOK && got.body != events:
									t.Errorf("%s, %d bytes, %s, kept %t: answered 200 with %q", kind, size, delay, kept, got.body)
								case got.status == http.StatusOK && !framing.framed && !orderly:
									t.Errorf("%s, %d bytes, %s, kept %t: answered 200 though the server reset the connection", kind, size, delay, kept)
								case got.status != http.StatusOK && orderly:
									t.Errorf("%s, %d bytes, %s, kept %t: status %d for a whole answer", kind, size, delay, kept, got.status)
								case got.status == http.StatusServiceUnavailable:
									t.Errorf("%s, %d bytes, %s, kept %t: status %d promises that the request did not run", kind, size, delay, kept, got.status)
								case got.status == http.StatusOK:
									whole++
								}
							}
						}
					}
				}
				answerWith(nil)
				if reused == 0 {
					t.Error("no request was sent on a kept connection")
				}
				t.Logf("%d uploads, %d answered whole, %d on kept connections", played, whole, reused)
			})
		}
	}
}
