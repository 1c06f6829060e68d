// Package timekeeper finds out whether the instance was suspended.
//
// Failure: a suspended instance's monotonic clock stands still, so that what a node
// knew before the suspension looks fresh when it wakes; it would honour a key that
// was taken away meanwhile. The clock that counts since the instance's boot goes on
// in a suspension, and nobody sets it, so the difference of the two clocks shows
// how long the instance slept.
package timekeeper

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// minSuspension is the difference that counts as a suspension; reading two clocks one
// after the other takes some microseconds, and a thread may lose its turn between.
const minSuspension = 100 * time.Millisecond

// Detector remembers when the instance last woke.
type Detector struct {
	mu         sync.Mutex
	suspended  time.Duration
	lastResume time.Time
	read       func() (time.Duration, bool)
}

// New returns a keeper of the instance's clocks.
func New() *Detector { return newDetector(readSuspended) }

func newDetector(read func() (time.Duration, bool)) *Detector {
	d := &Detector{read: read}
	d.suspended, _ = read()
	return d
}

// readSuspended returns how long the instance has slept since its boot.
func readSuspended() (time.Duration, bool) {
	var boot, mono unix.Timespec
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &mono) != nil || unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil {
		return 0, false
	}
	return time.Duration(boot.Nano() - mono.Nano()), true
}

// LastResume returns when the instance was last found to have slept; what was known
// before that may be older than it looks. It is zero if that never happened.
func (d *Detector) LastResume(now time.Time) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	suspended, ok := d.read()
	if !ok {
		return d.lastResume
	}
	if suspended-d.suspended > minSuspension {
		d.lastResume = now
	}
	d.suspended = max(d.suspended, suspended)
	return d.lastResume
}
