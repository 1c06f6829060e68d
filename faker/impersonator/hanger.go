package impersonator

import (
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// callBlocker holds calls that are never answered, until their clients leave or the
// stand-in ends.
type callBlocker struct {
	once sync.Once
	stop chan struct{}
	// held is the number of calls that are being held.
	blocked atomic.Int64
}

func newCallBlocker() *callBlocker { return &callBlocker{stop: make(chan struct{})} }

func (h *callBlocker) block(r *http.Request) {
	h.blocked.Add(1)
	defer h.blocked.Add(-1)
	// A server sees that its client left only once the body has been read.
	_, _ = io.Copy(io.Discard, r.Body)
	select {
	case <-h.stop:
	case <-r.Context().Done():
	}
}

// delay holds a call for a while.
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
