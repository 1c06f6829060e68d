package retrier

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

const span = 10 * time.Second

// The loss of a group makes all of a node's streams of it retry at once; the window must
// allow what the calls of the span permit.
func TestWindowAllowsBurstAfterGroupLoss(t *testing.T) {
	const callsPerSecond, streams = 60, 20
	now := time.Unix(1000, 0)
	w := NewWindow(WindowLimits{Span: span, Fraction: 0.12, Slack: 13}, now)
	for range 10 * callsPerSecond {
		now = now.Add(time.Second / callsPerSecond)
		w.RecordCall(now)
	}
	for i := range streams {
		if !w.Take(now) {
			t.Fatalf("only %d streams may be resumed", i)
		}
	}
}

// When a service fails, retries in any span must stay within the bound, or they overload
// the remaining servers.
func TestWindowBoundsRetriesInEachSpan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := WindowLimits{
			Span:     span,
			Fraction: rapid.Float64Range(0, 1).Draw(t, "fraction"),
			Slack:    rapid.Float64Range(0, 50).Draw(t, "slack"),
		}
		now := time.Unix(1000, 0)
		w := NewWindow(limits, now)
		type step struct {
			at             time.Time
			calls, retries int
		}
		var steps []step
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			s := step{at: now, calls: rapid.IntRange(0, 20).Draw(t, "calls")}
			for range s.calls {
				w.RecordCall(now)
			}
			for range rapid.IntRange(0, 40).Draw(t, "wanted") {
				if w.Take(now) {
					s.retries++
				}
			}
			// A clock reading from before another goroutine's, used after it.
			w.RecordCall(now.Add(-time.Hour))
			s.calls++
			steps = append(steps, s)
		}
		for _, last := range steps {
			if last.retries == 0 {
				continue
			}
			calls, retries := 0, 0
			for _, s := range steps {
				if !s.at.After(last.at) && last.at.Sub(s.at) <= span {
					calls += s.calls
					retries += s.retries
				}
			}
			if bound := limits.Slack + limits.Fraction*float64(calls); float64(retries) > bound+1e-6 {
				t.Fatalf("%d retries, bound %.2f", retries, bound)
			}
		}
	})
}

// Limits that change with the number of nodes must not refill a window.
func TestSetLimitsDoesNotRefill(t *testing.T) {
	now := time.Unix(0, 0)
	w := NewWindow(WindowLimits{Span: span, Slack: 10}, now)
	for w.Take(now) {
	}
	for nodes := range 100 {
		w.SetLimits(WindowLimits{Span: span, Slack: float64(5 + nodes%5)})
		if w.Take(now) {
			t.Fatalf("a retry is left after %d changes", nodes)
		}
	}
}

// Calls older than the span allow no retries.
func TestWindowExpires(t *testing.T) {
	now := time.Unix(0, 0)
	w := NewWindow(WindowLimits{Span: span, Fraction: 1}, now)
	for range 10 {
		w.RecordCall(now)
	}
	for pause, left := range map[time.Duration]int{0: 10, span / 2: 10, span: 0, time.Hour: 0} {
		v := *w
		if got := v.Available(now.Add(pause)); got != left {
			t.Errorf("%d retries are left after %s, want %d", got, pause, left)
		}
	}
}
