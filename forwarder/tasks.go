package forwarder

import (
	"context"
	"sync"
)

// Tasks counts tasks in flight. Unlike a sync.WaitGroup, its Wait ends with a context, and
// tasks may begin during Wait. The zero value is empty.
type Tasks struct {
	mu    sync.Mutex
	count int
	// idle is closed when count falls to 0 during a Wait.
	idle chan struct{}
}

// Begin counts a task; End must follow.
func (t *Tasks) Begin() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.count++
}

// End counts the end of a task.
func (t *Tasks) End() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.count--
	if t.count == 0 && t.idle != nil {
		close(t.idle)
		t.idle = nil
	}
}

// Run runs a task on its own goroutine.
func (t *Tasks) Run(task func()) {
	t.Begin()
	go func() {
		defer t.End()
		task()
	}()
}

// Count returns the number of tasks in flight.
func (t *Tasks) Count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.count
}

// Wait returns nil when no task is in flight, or the cause of ctx's end.
func (t *Tasks) Wait(ctx context.Context) error {
	t.mu.Lock()
	if t.count == 0 {
		t.mu.Unlock()
		return nil
	}
	if t.idle == nil {
		t.idle = make(chan struct{})
	}
	idle := t.idle
	t.mu.Unlock()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}
