package main

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/garnetworks/garnetworks/faker/impersonator"
)

// minWait is the time from which a watch counts as one that waits: the store answers others sooner.
const minWait = 10 * time.Millisecond

// watch is a watch that the store has not answered.
type watch struct {
	since time.Time
	cut   context.CancelFunc
}

// storeFront passes calls to the store and can cut off the watches that wait.
type storeFront struct {
	listener net.Listener
	server   *http.Server
	store    *impersonator.Store
	client   http.Client

	mu sync.Mutex
	// waiting holds the watches that wait.
	waiting map[*http.Request]watch
}

func newStoreFront(store *impersonator.Store) (*storeFront, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	f := &storeFront{listener: listener, store: store, waiting: make(map[*http.Request]watch)}
	f.client.Transport = &http.Transport{MaxIdleConnsPerHost: 64}
	f.server = &http.Server{Handler: f}
	go func() { _ = f.server.Serve(listener) }() // ends with close
	return f, nil
}

func (f *storeFront) address() string { return f.listener.Addr().String() }

func (f *storeFront) close() { _ = f.server.Close() }

// ServeHTTP implements http.Handler.
func (f *storeFront) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	if r.URL.Query().Get("watch") != "" {
		f.mu.Lock()
		f.waiting[r] = watch{time.Now(), cancel}
		f.mu.Unlock()
		defer func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			delete(f.waiting, r)
		}()
	}
	request, err := http.NewRequestWithContext(ctx, r.Method, f.store.URL+r.URL.RequestURI(), r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	request.Header, request.ContentLength = r.Header.Clone(), r.ContentLength
	response, err := f.client.Do(request)
	if err != nil {
		panic(http.ErrAbortHandler) // a watch that was cut off, or a caller that has left
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	for name, values := range response.Header {
		w.Header()[name] = values
	}
	w.WriteHeader(response.StatusCode)
	_, _ = w.Write(body) // the caller may have left
}

// cutWatches cuts off the watches that wait now, and returns their number.
func (f *storeFront) cutWatches() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for r, w := range f.waiting {
		if time.Since(w.since) >= minWait {
			w.cut()
			delete(f.waiting, r)
			n++
		}
	}
	return n
}
