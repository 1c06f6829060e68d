package impersonator

import (
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// hanger holds calls that are never answered, until their clients leave or the
// stand-in ends.
type hanger struct {
	once sync.Once
	over chan struct{}
	// held is the number of calls that are being held.
	held atomic.Int64
}

func newHanger() *hanger { return &hanger{over: make(chan struct{})} }

func (h *hanger) wait(r *http.Request) {
	h.held.Add(1)
	defer h.held.Add(-1)
	// A server sees that its client left only once the body has been read.
	_, _ = io.Copy(io.Discard, r.Body)
	select {
	case <-h.over:
	case <-r.Context().Done():
	}
}

// pause holds a call for a while.
func (h *hanger) pause(r *http.Request, d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-time.After(d):
	case <-h.over:
	case <-r.Context().Done():
	}
}

func (h *hanger) end() { h.once.Do(func() { close(h.over) }) }
