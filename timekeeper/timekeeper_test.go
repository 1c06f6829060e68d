package timekeeper

import (
	"testing"
	"time"
)

// Guards against an instance that was suspended while a key was revoked and then trusts its
// stale routing, because its monotonic clock shows a recent confirmation.
func TestSuspensionIsFound(t *testing.T) {
	suspended := time.Hour
	d := newDetector(func() (time.Duration, bool) { return suspended, true })
	start := time.Unix(0, 0)
	if !d.LastResume(start).IsZero() {
		t.Error("a suspension from before the start counts")
	}
	suspended += time.Millisecond
	if !d.LastResume(start).IsZero() {
		t.Error("the time between two readings counts")
	}
	suspended += 3 * time.Second
	resumed := start.Add(time.Second)
	if got := d.LastResume(resumed); !got.Equal(resumed) {
		t.Errorf("resumed at %v, want %v", got, resumed)
	}
	if got := d.LastResume(resumed.Add(time.Second)); !got.Equal(resumed) {
		t.Errorf("later resumed at %v, want %v", got, resumed)
	}
}

func TestClocksCanBeRead(t *testing.T) {
	if _, ok := readSuspended(); !ok {
		t.Error("the clocks can't be read")
	}
}
