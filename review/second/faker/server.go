package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// server is a server of a plain service.
type server struct {
	site     *site
	id       string
	service  string
	zone     string
	listener net.Listener
	http     *http.Server
	born     int64
	// minWork and maxWork bound the time of a request.
	minWork, maxWork time.Duration

	mu sync.Mutex
	// registered says that it writes its entry.
	registered bool
	runs       map[string]time.Time
}

// startServer starts a server that keeps its entry in the store.
func (s *site) startServer(id, service, zone string, minWork, maxWork time.Duration) (*server, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b := &server{site: s, id: id, service: service, zone: zone, listener: listener, born: time.Now().UnixMilli(), minWork: minWork, maxWork: maxWork, registered: true, runs: make(map[string]time.Time)}
	b.http = &http.Server{Handler: b}
	go func() { _ = b.http.Serve(listener) }() // ends with exit
	go b.heartbeat()
	s.servers = append(s.servers, b)
	s.note("server %s of %s starts at %s", id, service, listener.Addr())
	return b, nil
}

// heartbeat writes the entry until the server has left.
func (b *server) heartbeat() {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for b.beat() {
		select {
		case <-b.site.closed:
			return
		case <-ticker.C:
		}
	}
}

// beat writes the entry, and reports whether the server is still registered.
func (b *server) beat() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.registered {
		return false
	}
	entry, err := json.Marshal(map[string]any{
		"service": b.service, "address": b.listener.Addr().String(), "zone": b.zone, "version": "v1", "slots": 6, "state": "ready",
		"cold-remaining-ms": 0, "sequence": 0, "born": b.born,
	})
	if err != nil {
		panic(err)
	}
	b.site.store.SetText("servers", b.id, string(entry))
	return true
}

// leave removes the entry and returns when the store had done it. The server goes on serving.
func (b *server) leave() time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.registered = false
	b.site.store.Remove("servers", b.id)
	now := time.Now()
	b.site.note("the entry of server %s is removed; it goes on serving", b.id)
	return now
}

// exit ends the server with the requests that it works on.
func (b *server) exit() { _ = b.http.Close() }

// ServeHTTP implements http.Handler.
func (b *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Garnetworks-Request-Id")
	w.Header().Set("Garnetworks-Request-Id", id)
	if expected := r.Header.Get("Garnetworks-Expect-Instance"); expected != "" && expected != b.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	now := time.Now()
	b.mu.Lock()
	b.runs[id] = now
	b.mu.Unlock()
	b.site.note("request %s reaches server %s and runs", id, b.id)
	select {
	case <-time.After(b.minWork + time.Duration(rand.Float64()*float64(b.maxWork-b.minWork))):
	case <-r.Context().Done():
		return
	}
	w.Header().Set("Garnetworks-Response-Stamp", "stamp."+b.id+"."+id)
	_, _ = fmt.Fprintf(w, "answer of %s to %s, %d bytes", b.id, id, len(body))
}

// ranAt returns when the server began to work on a request.
func (b *server) ranAt(id string) (time.Time, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	at, ok := b.runs[id]
	return at, ok
}
