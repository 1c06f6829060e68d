package messenger

import (
	"context"
	"sync"
	"time"
)

// progressTimeout is the method's bound, and on a reused connection at most the
// share of the time left that leaves enough for a second try (rule M3). With
// the whole time spent on a stalled connection, calls with short deadlines would
// fail one after the other until all old connections are used up.
func progressTimeout(ctx context.Context, conn *peerConn, bound time.Duration) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok || !conn.reused {
		return bound
	}
	return min(bound, time.Until(deadline)*2/5)
}

// progressWatch ends a call whose connection moves no byte (rule M2).
type progressWatch struct {
	mu               sync.Mutex
	timer            *time.Timer
	stalled, stopped bool
}

// watchProgress cancels when conn has been idleFor for bound. The failure is a
// connection that something between the ends has forgotten: writes go into the
// buffer, no answer ever comes, and no error shows. Looking at moved bytes in
// place of the call's age lets a large message over a slow link pass.
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

// stop ends the watch and reports whether it ended the call.
func (w *progressWatch) stop() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
	return w.stalled
}
