// Package timekeeper detects whether the instance was suspended.
//
// A suspended instance's monotonic clock stops, so that state from before the suspension
// looks fresh after it, and a node could accept a key that was revoked meanwhile.
// CLOCK_BOOTTIME continues during a suspension and can't be set, so its difference to
// CLOCK_MONOTONIC is the time that the instance was suspended.
package timekeeper

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// minSuspension is the smallest difference that counts as a suspension. It allows for the
// thread being preempted between the readings of the two clocks.
const minSuspension = 100 * time.Millisecond

// Detector detects suspensions of the instance. It is safe for concurrent use.
type Detector struct {
	mu         sync.Mutex
	suspended  time.Duration
	lastResume time.Time
	read       func() (time.Duration, bool)
}

// New returns a detector that reads the instance's clocks.
func New() *Detector { return newDetector(readSuspended) }

func newDetector(read func() (time.Duration, bool)) *Detector {
	d := &Detector{read: read}
	d.suspended, _ = read()
	return d
}

// readSuspended returns the time suspended since boot, or false if the clocks can't be read.
func readSuspended() (time.Duration, bool) {
	var boot, mono unix.Timespec
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &mono) != nil || unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil {
		return 0, false
	}
	return time.Duration(boot.Nano() - mono.Nano()), true
}

// LastResume returns when a suspension was last detected, or the zero time if there was none.
// State from before that time may be older than it looks.
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
