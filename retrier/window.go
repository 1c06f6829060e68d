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
}

// windowBuckets is the number of buckets that a span is divided into.
const windowBuckets = 20

// Window limits the retries of the last span by its calls (rule R7). It is not safe for
// concurrent use.
//
// Unlike a Budget with the same bound, it lets a burst use all that the span allows: the
// loss of a group makes many streams retry at once after seconds without any retry.
type Window struct {
	limits WindowLimits
	// counts holds the buckets of the span and one more, the oldest, which lies in the
	// span in part only and counts for retries but not for calls.
	counts [windowBuckets + 1]struct{ calls, retries int }
	// bucketStart is when the newest bucket, counts[newest], began.
	bucketStart time.Time
	newest      int
}

// NewWindow returns a window without calls.
func NewWindow(limits WindowLimits, now time.Time) *Window {
	return &Window{limits: limits, bucketStart: now}
}

// SetLimits changes the limits and keeps the counts unless the span changes. Limits change
// several times a second with the number of nodes; resetting the window each time would
// allow unlimited retries.
func (w *Window) SetLimits(limits WindowLimits) {
	if limits.Span != w.limits.Span {
		*w = Window{limits: limits, bucketStart: w.bucketStart}
	}
	w.limits = limits
}

// RecordCall counts one call, not an attempt.
func (w *Window) RecordCall(now time.Time) {
	w.advance(now)
	w.counts[w.newest].calls++
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
	return max(0, int(allowed)-retries)
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
