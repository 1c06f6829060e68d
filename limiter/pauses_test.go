package limiter_test

import (
	"testing"
	"time"

	"github.com/garnetworks/garnetworks/limiter"
)

// Guards against a call within a pause because the server's entry lapsed meanwhile, and against a
// pause that a later, shorter one ends.
func TestPauseLastsToItsEnd(t *testing.T) {
	const pause = 3 * time.Second
	p := make(limiter.Pauses)
	p.Observe(start, server, pause)
	p.Observe(start.Add(time.Second), server, time.Second)
	for at, want := range map[time.Duration]bool{0: false, pause - 1: false, pause: true, time.Minute: true} {
		p.Retain(start.Add(time.Second))
		if got := p.Limit(server).Allows(start.Add(at), start); got != want {
			t.Errorf("after %s a call is allowed: %t", at, got)
		}
	}
	if p.Retain(start.Add(pause)); len(p) != 0 {
		t.Errorf("%d pauses are kept", len(p))
	}
}

// Guards against a limit that is given up when a server that names one asks for a pause as well,
// and the other way round.
func TestStricterKeepsBothLimits(t *testing.T) {
	named := limiter.Limit{Until: start.Add(time.Hour), Interval: 2 * time.Second}
	p := make(limiter.Pauses)
	p.Observe(start, server, 3*time.Second)
	both := limiter.Stricter(start, named, p.Limit(server))
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
