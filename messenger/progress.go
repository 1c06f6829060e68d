package messenger

import (
	"context"
	"sync"
	"time"
)

// progressTimeout returns the method's timeout. On a reused connection it is at most 2/5 of
// the time left, which leaves enough for the retry (rule M3); otherwise calls with short
// deadlines would fail one after the other until all stalled connections are used up.
func progressTimeout(ctx context.Context, conn *peerConn, bound time.Duration) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok || !conn.reused {
		return bound
	}
	return min(bound, time.Until(deadline)*2/5)
}

// progressWatch cancels a call whose connection makes no progress (rule M2).
type progressWatch struct {
	mu               sync.Mutex
	timer            *time.Timer
	stalled, stopped bool
}

// watchProgress cancels a call if no byte moves on conn for bound. It detects connections
// whose state a middlebox has dropped: writes succeed, but no response or error ever comes.
// It measures progress instead of the call's age, so that a large message on a slow link
// is not cancelled.
func watchProgress(conn *meteredConn, bound time.Duration, cancel func()) *progressWatch {
	w := &progressWatch{}
	began := time.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(bound, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		idleFor := min(conn.idleFor(), time.Since(began))
		switch {
		case w.stopped:
		case idleFor >= bound:
			w.stalled = true
			cancel()
		default:
			w.timer.Reset(bound - idleFor)
		}
	})
	return w
}

// stop ends the watch and reports whether it cancelled the call.
func (w *progressWatch) stop() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
	return w.stalled
}
