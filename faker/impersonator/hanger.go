package impersonator

import (
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// callBlocker blocks calls without a response until their clients disconnect or the fake
// stops.
type callBlocker struct {
	once sync.Once
	stop chan struct{}
	// blocked is the number of calls that block is holding.
	blocked atomic.Int64
}

func newCallBlocker() *callBlocker { return &callBlocker{stop: make(chan struct{})} }

func (h *callBlocker) block(r *http.Request) {
	h.blocked.Add(1)
	defer h.blocked.Add(-1)
	// The server notices that a client disconnected only after the body has been read.
	_, _ = io.Copy(io.Discard, r.Body)
	select {
	case <-h.stop:
	case <-r.Context().Done():
	}
}

// delay blocks a call for the duration d.
func (h *callBlocker) delay(r *http.Request, d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-time.After(d):
	case <-h.stop:
	case <-r.Context().Done():
	}
}

func (h *callBlocker) release() { h.once.Do(func() { close(h.stop) }) }
