package limiter_test

import (
	"testing"
	"time"

	"github.com/garnetworks/garnetworks/limiter"
)

// Guards against a backoff that a lapse of the entry, or a later and shorter one, ends early.
func TestBackoffLastsToItsEnd(t *testing.T) {
	const backoff = 3 * time.Second
	b := make(limiter.Backoffs)
	b.Observe(start, server, backoff)
	b.Observe(start.Add(time.Second), server, time.Second)
	for at, want := range map[time.Duration]bool{0: false, backoff - 1: false, backoff: true, time.Minute: true} {
		b.Retain(start.Add(time.Second))
		if got := b.Limit(server).Allows(start.Add(at), start); got != want {
			t.Errorf("after %s a call is allowed: %t", at, got)
		}
	}
	if b.Retain(start.Add(backoff)); len(b) != 0 {
		t.Errorf("%d backoffs are kept", len(b))
	}
}

// Guards against a limit that is lost when its server also requests a backoff.
func TestStricterKeepsBothLimits(t *testing.T) {
	named := limiter.Limit{Until: start.Add(time.Hour), Interval: 2 * time.Second}
	b := make(limiter.Backoffs)
	b.Observe(start, server, 3*time.Second)
	both := limiter.Stricter(start, named, b.Limit(server))
	last := start.Add(-time.Minute)
	for at, want := range map[time.Duration]bool{0: false, 3*time.Second - 1: false, 3 * time.Second: true} {
		if got := both.Allows(start.Add(at), last); got != want {
			t.Errorf("after %s a call is allowed: %t", at, got)
		}
	}
	if next := both.Next(start.Add(3 * time.Second)); next != start.Add(5*time.Second) {
		t.Errorf("the second call is allowed after %s", next.Sub(start))
	}
	if got := limiter.Stricter(start, named, limiter.Limit{}); got != named {
		t.Errorf("with no other limit: %+v", got)
	}
}
