package admitter

import (
	"math"
	"time"
)

// bucket is a token bucket that may go into debt: a call is admitted while the level
// is high enough, and is charged in full.
type bucket struct {
	// rate is the refill per second, depth the maximum level.
	rate, depth float64
	level       float64
	at          time.Time
}

// set changes rate and depth. A new bucket starts with one unit or one BurstTime of
// refill, so that a restart gains next to nothing.
func (b *bucket) set(now time.Time, rate, depth float64) {
	if b.at.IsZero() {
		b.level = min(depth, max(1, rate*BurstTime.Seconds()))
		b.at = now
	}
	b.fill(now)
	b.rate = rate
	b.depth = depth
	b.level = min(b.level, depth)
}

func (b *bucket) fill(now time.Time) {
	if elapsed := now.Sub(b.at).Seconds(); elapsed > 0 {
		b.level = min(b.depth, b.level+elapsed*b.rate)
		b.at = now
	}
}

// wait returns how long until the level reaches need; 0 if it has.
func (b *bucket) wait(now time.Time, need float64) time.Duration {
	b.fill(now)
	if b.level >= need {
		return 0
	}
	if b.rate <= 0 {
		return maxRetryAfter
	}
	return seconds((need - b.level) / b.rate)
}

// take takes n from the level, or returns it if n is below 0.
func (b *bucket) take(now time.Time, n float64) {
	b.fill(now)
	b.level = min(b.depth, b.level-n)
}

// meter is a rate with exponential decay over window.
type meter struct {
	window time.Duration
	value  float64
	at     time.Time
}

func (m *meter) add(now time.Time, n float64) {
	m.value = m.rate(now) + n/m.window.Seconds()
	m.at = now
}

func (m *meter) rate(now time.Time) float64 {
	elapsed := now.Sub(m.at)
	if elapsed <= 0 || m.value == 0 {
		return m.value
	}
	return m.value * math.Exp(-elapsed.Seconds()/m.window.Seconds())
}

// seconds converts seconds to a duration, capped to avoid overflow.
func seconds(s float64) time.Duration {
	if s > maxRetryAfter.Seconds() {
		return maxRetryAfter
	}
	return time.Duration(s * float64(time.Second))
}
