package retrier

import "time"

// WindowLimits are the bounds of a node's retries in any span of a length.
type WindowLimits struct {
	// Span is the length.
	Span time.Duration
	// Fraction is the number of retries that each call of the span allows; 0 to 1.
	Fraction float64
	// Slack is the number of retries that a span allows without any call.
	Slack float64
}

// windowParts is the number of parts that a span is counted in.
const windowBuckets = 20

// Window counts the retries of the last span against its calls (rule R7). It is for
// one goroutine or for use under a lock.
//
// Where a site's bound is told for a span, it fits the load pattern of a lost group
// better than a Budget: some twenty streams have to go on elsewhere within half a
// second, after many seconds in which none had to. A Budget that keeps the same
// bound saves up a small part of what those seconds allowed.
type Window struct {
	limits WindowLimits
	// counts holds the parts of the span and one more, of which the oldest counts
	// for retries and not for calls: it lies in the span in part only.
	counts [windowBuckets + 1]struct{ calls, retries int }
	// begun is when the newest part began; it is counts[newest].
	bucketStart time.Time
	newest      int
}

// NewWindow returns a window without calls.
func NewWindow(limits WindowLimits, now time.Time) *Window {
	return &Window{limits: limits, bucketStart: now}
}

// SetLimits changes the limits; what was counted stays.
//
// Failure: the number of nodes that share a site's retries is told anew several
// times a second. A window that is made anew each time bounds nothing.
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

// Take takes one retry, or reports that the span has had its part.
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

// advance begins the parts that are due. Callers on several goroutines read the
// clock before they take the lock, so times come slightly out of order; an older one
// changes nothing.
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
	// All parts are empty now; a pause of any length is skipped.
	w.bucketStart = now
}
