package drainer

import (
	"sync"
	"sync/atomic"
)

// Shared is a Drainer for several goroutines: those that bring signs change it
// one at a time, and those that route read its newest snapshot without a lock.
type Shared struct {
	mu       sync.Mutex
	drainer  *Drainer
	snapshot atomic.Pointer[Snapshot]
}

// NewShared returns a Shared that knows of no server.
func NewShared(options Options) *Shared {
	s := &Shared{drainer: New(options)}
	s.snapshot.Store(s.drainer.Snapshot())
	return s
}

// Update lets change bring signs, and publishes what they say before it returns.
// All signs of one answer belong in one call: each makes a snapshot.
func (s *Shared) Update(change func(d *Drainer)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s.drainer)
	s.snapshot.Store(s.drainer.Snapshot())
}

// Snapshot returns what the signs say now.
func (s *Shared) Snapshot() *Snapshot { return s.snapshot.Load() }
