package drainer

import (
	"sync"
	"sync/atomic"
)

// Shared is a Drainer that is safe for concurrent use: updates are serialized, and readers
// get the latest snapshot without a lock.
type Shared struct {
	mu       sync.Mutex
	drainer  *Drainer
	snapshot atomic.Pointer[Snapshot]
}

// NewShared returns a Shared without servers.
func NewShared(options Options) *Shared {
	s := &Shared{drainer: New(options)}
	s.snapshot.Store(s.drainer.Snapshot())
	return s
}

// Update calls change with the Drainer, and publishes a snapshot before it returns. All
// reports of one answer belong in one call, since each call builds a snapshot.
func (s *Shared) Update(change func(d *Drainer)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s.drainer)
	s.snapshot.Store(s.drainer.Snapshot())
}

// Snapshot returns the latest snapshot.
func (s *Shared) Snapshot() *Snapshot { return s.snapshot.Load() }
