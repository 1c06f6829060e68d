package retrier

import "time"

// WindowLimits configure a node's retries in a sliding window.
type WindowLimits struct {
	// Span is the length of the window.
	Span time.Duration
	// Fraction is the number of retries that each call in the window allows; 0 to 1.
	Fraction float64
	// Slack is the number of retries that the window allows without any call.
	Slack float64
	// StartFraction takes the place of Fraction and Slack in the first span of a process (rule
	// R8); 0 to Fraction.
	StartFraction float64
}

const (
	// windowBuckets is the number of buckets that a span is divided into.
	windowBuckets = 20
	// roundingSpans is the number of spans after which the rounding is drawn again. A span in
	// which it is drawn again allows more than its share.
	roundingSpans = 4
)

// Window limits the retries of the last span by its calls (rules R7 to R9). It is not safe for
// concurrent use.
//
// Unlike a Budget with the same bound, it lets a burst use all that the span allows: the
// loss of a group makes many streams retry at once after seconds without any retry.
type Window struct {
	limits WindowLimits
	random func() float64
	// started is when the process of the node started.
	started time.Time
	// rounding is added to what the window allows before it is rounded down; 0 to 1. It was drawn
	// at roundingDrawn.
	rounding      float64
	roundingDrawn time.Time
	// counts holds the buckets of the span and one more, the oldest, which lies in the
	// span in part only and counts for retries but not for calls.
	counts [windowBuckets + 1]struct{ calls, retries int }
	// bucketStart is when the newest bucket, counts[newest], began.
	bucketStart time.Time
	newest      int
}

// NewWindow returns a window without calls for a node whose process started at started; random
// must return values in [0, 1).
func NewWindow(limits WindowLimits, random func() float64, started time.Time) *Window {
	// Nodes that start at the same time must not draw again at the same time.
	drawn := started.Add(-time.Duration(random() * roundingSpans * float64(limits.Span)))
	return &Window{limits: limits, random: random, started: started, rounding: random(), roundingDrawn: drawn, bucketStart: started}
}

// SetLimits changes the limits and keeps the counts unless the span changes. Limits change
// several times a second with the number of nodes; resetting the window each time would
// allow unlimited retries. A window whose span changes begins like that of a new process.
func (w *Window) SetLimits(limits WindowLimits) {
	if limits.Span != w.limits.Span {
		*w = *NewWindow(limits, w.random, w.bucketStart)
	}
	w.limits = limits
}

// RecordCall counts one call, not an attempt.
func (w *Window) RecordCall(now time.Time) {
	w.advance(now)
	w.counts[w.newest].calls++
}

// RemoveCall takes back a call that was counted, since another node counts it.
func (w *Window) RemoveCall(now time.Time) {
	w.advance(now)
	if w.counts[w.newest].calls > 0 {
		w.counts[w.newest].calls--
	}
}

// Take takes one retry, and reports whether the window allowed it.
func (w *Window) Take(now time.Time) bool {
	if w.Available(now) < 1 {
		return false
	}
	w.counts[w.newest].retries++
	return true
}

// Available returns the number of retries that could be taken at once.
func (w *Window) Available(now time.Time) int {
	w.advance(now)
	calls, retries := 0, 0
	oldest := (w.newest + 1) % len(w.counts)
	for i, c := range w.counts {
		retries += c.retries
		if i != oldest {
			calls += c.calls
		}
	}
	allowed := w.limits.Slack + w.limits.Fraction*float64(calls)
	if now.Sub(w.started) < w.limits.Span { // rule R8
		allowed = w.limits.StartFraction * float64(calls)
	}
	if now.Sub(w.roundingDrawn) >= roundingSpans*w.limits.Span {
		w.rounding, w.roundingDrawn = w.random(), now
	}
	return max(0, int(allowed+w.rounding)-retries) // rule R9
}

// advance begins the buckets that are due. Goroutines read the clock before they take the
// lock, so times may be slightly out of order; an older one changes nothing.
func (w *Window) advance(now time.Time) {
	bucketSpan := w.limits.Span / windowBuckets
	if bucketSpan <= 0 {
		return
	}
	for range len(w.counts) {
		if now.Sub(w.bucketStart) < bucketSpan {
			return
		}
		w.bucketStart = w.bucketStart.Add(bucketSpan)
		w.newest = (w.newest + 1) % len(w.counts)
		clear(w.counts[w.newest : w.newest+1])
	}
	// All buckets are empty now; the rest of a long idle time is skipped.
	w.bucketStart = now
}
