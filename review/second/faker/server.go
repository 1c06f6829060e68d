package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// meanWork, workSpread and maxWork are the sheet's for a visit-log; tailShare of the requests take tailFactor times as long.
	meanWork   = 30 * time.Millisecond
	workSpread = 0.5
	tailShare  = 0.01
	tailFactor = 5
	maxWork    = 220 * time.Millisecond
	// slots requests are worked on at once and queue more wait; further ones are rejected.
	slots = 6
	queue = 24
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

	mu sync.Mutex
	// registered says that it writes its entry.
	registered bool
	// arrived and runs hold when a request arrived that is not rejected, and when it began to run.
	arrived, runs map[string]time.Time
	pending       int
	// slots has a token for each request that is worked on.
	slots chan struct{}
}

// workTime draws the time of a request.
func workTime() time.Duration {
	work := float64(meanWork) * math.Exp(rand.NormFloat64()*workSpread-workSpread*workSpread/2)
	if rand.Float64() < tailShare {
		work *= tailFactor
	}
	return min(time.Duration(work), maxWork)
}

// startServer starts a server that keeps its entry in the store.
func (s *site) startServer(id, service, zone string) (*server, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b := &server{site: s, id: id, service: service, zone: zone, listener: listener, born: time.Now().UnixMilli(), registered: true, arrived: make(map[string]time.Time), runs: make(map[string]time.Time), slots: make(chan struct{}, slots)}
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
	now := time.Now()
	id := r.Header.Get("Garnetworks-Request-Id")
	w.Header().Set("Garnetworks-Request-Id", id)
	if expected := r.Header.Get("Garnetworks-Expect-Instance"); expected != "" && expected != b.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if !b.enter(id, now) {
		w.Header().Set("Garnetworks-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer b.leaveQueue()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	select {
	case b.slots <- struct{}{}:
		defer func() { <-b.slots }()
	case <-r.Context().Done():
		return
	}
	b.mu.Lock()
	b.runs[id] = time.Now()
	b.mu.Unlock()
	b.site.note("request %s reached server %s %.3f s after the start and runs", id, b.id, now.Sub(b.site.began).Seconds())
	select {
	case <-time.After(workTime()):
	case <-r.Context().Done():
		return
	}
	w.Header().Set("Garnetworks-Response-Stamp", "stamp."+b.id+"."+id)
	_, _ = fmt.Fprintf(w, "answer of %s to %s, %d bytes", b.id, id, len(body))
}

// enter takes a place for a request, if there is one.
func (b *server) enter(id string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.pending >= slots+queue {
		return false
	}
	b.pending++
	b.arrived[id] = now
	return true
}

func (b *server) leaveQueue() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.pending--
}

// arrivedAt returns when a request reached the server, which did not reject it.
func (b *server) arrivedAt(id string) (time.Time, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	at, ok := b.arrived[id]
	return at, ok
}
