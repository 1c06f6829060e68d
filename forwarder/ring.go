package forwarder

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// errSlowCaller says that the caller read nothing for too long.
var errSlowCaller = errors.New("the caller did not read its answer")

// Part is a part of an answer for the caller.
type Part struct {
	Text   string
	Tokens int
}

// ring is a bounded queue of parts from the goroutine that reads from the engine to the one
// that writes to the caller (rule F5).
type ring struct {
	mu    sync.Mutex
	parts [BufferParts]Part
	head  int
	count int
	bytes int
	// closed is set by the goroutine that reads from the engine after its last part.
	closed bool
	// ready and space hold at most one signal each.
	ready chan struct{}
	space chan struct{}
}

func newRing() *ring {
	return &ring{ready: make(chan struct{}, 1), space: make(chan struct{}, 1)}
}

// tryPush appends the part if there is space.
func (r *ring) tryPush(p Part) bool {
	r.mu.Lock()
	full := r.count == BufferParts || (r.count > 0 && r.bytes+len(p.Text) > BufferBytes)
	if !full {
		r.parts[(r.head+r.count)%BufferParts] = p
		r.count++
		r.bytes += len(p.Text)
	}
	r.mu.Unlock()
	if !full {
		wake(r.ready)
	}
	return !full
}

// push appends the part, waiting up to limit for space.
func (r *ring) push(ctx context.Context, p Part, limit time.Duration) error {
	if r.tryPush(p) {
		return nil
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	for {
		select {
		case <-r.space:
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-timer.C:
			return errSlowCaller
		}
		if r.tryPush(p) {
			return nil
		}
	}
}

// drain appends all parts to into and reports whether more can come.
func (r *ring) drain(into []Part) ([]Part, bool) {
	r.mu.Lock()
	for ; r.count > 0; r.count-- {
		into = append(into, r.parts[r.head])
		r.parts[r.head] = Part{}
		r.head = (r.head + 1) % BufferParts
	}
	r.bytes = 0
	open := !r.closed
	r.mu.Unlock()
	wake(r.space)
	return into, open
}

// close marks the end of the parts.
func (r *ring) close() {
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	wake(r.ready)
}

func wake(signal chan struct{}) {
	select {
	case signal <- struct{}{}:
	default:
	}
}
