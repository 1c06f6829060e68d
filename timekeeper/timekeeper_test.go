package timekeeper

import (
	"testing"
	"time"
)

// Story: an instance is suspended while a key is taken away. When it wakes, its
// monotonic clock says that the routing was confirmed a moment ago.
func TestSuspensionIsFound(t *testing.T) {
	suspended := time.Hour
	d := newDetector(func() (time.Duration, bool) { return suspended, true })
	start := time.Unix(0, 0)
	if !d.LastResume(start).IsZero() {
		t.Error("a sleep from before the start counts")
	}
	suspended += time.Millisecond
	if !d.LastResume(start).IsZero() {
		t.Error("the time between two readings counts")
	}
	suspended += 3 * time.Second
	resumed := start.Add(time.Second)
	if got := d.LastResume(resumed); !got.Equal(resumed) {
		t.Errorf("woke at %v, want %v", got, resumed)
	}
	if got := d.LastResume(resumed.Add(time.Second)); !got.Equal(resumed) {
		t.Errorf("woke at %v later, want %v", got, resumed)
	}
}

func TestClocksCanBeRead(t *testing.T) {
	if _, ok := readSuspended(); !ok {
		t.Error("the clocks can't be read")
	}
}
