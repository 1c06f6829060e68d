package retrier

import (
	"math/rand/v2"
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
	w := NewWindow(WindowLimits{Span: span, Fraction: 0.12, Slack: 13}, roundDown, now.Add(-span))
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
		w := NewWindow(limits, roundDown, now.Add(-span))
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
	w := NewWindow(WindowLimits{Span: span, Slack: 10}, roundDown, now.Add(-span))
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
	w := NewWindow(WindowLimits{Span: span, Fraction: 1}, roundDown, now.Add(-span))
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

// roundDown rounds what a window allows down.
func roundDown() float64 { return 0 }

// Guards against a restart that gives a node all of its retries again.
func TestRestartsGiveNoRetriesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const callInterval = 50 * time.Millisecond
		startFraction := rapid.Float64Range(0, 0.3).Draw(t, "start fraction")
		limits := WindowLimits{
			Span: span, Fraction: rapid.Float64Range(startFraction, 0.7).Draw(t, "fraction"), StartFraction: startFraction,
			Slack: rapid.Float64Range(0, 50).Draw(t, "slack"),
		}
		start := time.Unix(1000, 0)
		w := NewWindow(limits, roundDown, start)
		life := rapid.IntRange(1, 30_000)
		end := start.Add(time.Duration(life.Draw(t, "ms")) * time.Millisecond)
		// The node has nothing to retry until the failure begins.
		failure := start.Add(time.Duration(rapid.IntRange(0, 40_000).Draw(t, "failure ms")) * time.Millisecond)
		var retries []time.Time
		for now := start; now.Sub(start) < 6*span; now = now.Add(callInterval) {
			if !now.Before(end) {
				w = NewWindow(limits, roundDown, now)
				end = now.Add(time.Duration(life.Draw(t, "ms")) * time.Millisecond)
			}
			w.RecordCall(now)
			for !now.Before(failure) && w.Take(now) {
				retries = append(retries, now)
			}
		}
		calls := float64(span / callInterval)
		bound := limits.Slack + (limits.Fraction+limits.StartFraction)*(calls+1)
		first := 0
		for last := range retries {
			for retries[last].Sub(retries[first]) >= span {
				first++
			}
			if got := last - first + 1; float64(got) > bound+1e-6 {
				t.Fatalf("%d retries in a span, bound %.2f", got, bound)
			}
		}
	})
}

// Guards against a limit that rounds down to none at each of many nodes.
func TestManyNodesShareAFewRetries(t *testing.T) {
	const nodes, spans = 986, 30
	random := rand.New(rand.NewPCG(1, 2)).Float64
	for name, limits := range map[string]WindowLimits{
		"slack alone": {Span: span, Slack: 0.1},
		"calls alone": {Span: span, Fraction: 0.13},
		"both":        {Span: span, Fraction: 0.13, Slack: 0.8},
	} {
		t.Run(name, func(t *testing.T) {
			const callsPerSpan = 2
			share := limits.Slack + limits.Fraction*callsPerSpan
			start := time.Unix(1000, 0)
			windows := make([]*Window, nodes)
			for i := range windows {
				windows[i] = NewWindow(limits, random, start.Add(-span))
			}
			total := 0
			for n := range spans {
				taken := 0
				for i, w := range windows {
					phase := time.Duration(float64(i) / nodes * float64(span) / callsPerSpan)
					for call := range callsPerSpan {
						now := start.Add(time.Duration(n)*span + time.Duration(call)*span/callsPerSpan + phase)
						w.RecordCall(now)
						if w.Take(now) {
							taken++
						}
					}
				}
				// A span in which a quarter of the roundings are drawn again allows more.
				const tolerance = 1.5
				if most := tolerance * share * nodes; float64(taken) > most {
					t.Errorf("%d retries of all nodes in a span, at most %.0f", taken, most)
				}
				total += taken
			}
			if least := 0.5 * share * nodes * spans; float64(total) < least {
				t.Errorf("%d retries of all nodes in all spans, at least %.0f", total, least)
			}
		})
	}
}
