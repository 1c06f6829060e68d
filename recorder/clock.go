package recorder

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/garnetworks/garnetworks"
)

// Limits of the hybrid logical clock.
const (
	// MaxClockSkew is how far a received timestamp may be ahead of the node's corrected time
	// (rule C3).
	MaxClockSkew = 30 * time.Second
	// MaxSampleAge is how long a peer's reading is used for the correction (rule C4).
	MaxSampleAge = 60 * time.Second
	// MinSamples is the minimum number of peers for a correction; with fewer, a node can't
	// tell whose clock is wrong.
	MinSamples = 2
	// MaxSamples limits the number of peers whose readings are kept.
	MaxSamples = 8
)

// Clock is a hybrid logical clock. The caller passes in the node's own time. The zero value
// is ready for use. It is not safe for concurrent use.
type Clock struct {
	last garnetworks.Timestamp
	// correction is added to the node's own time.
	correction time.Duration
	samples    []sample
}

// sample is the offset of a peer's clock from the node's own time.
type sample struct {
	source string
	offset time.Duration
	at     time.Time
}

// Now returns a timestamp later than all that were returned or accepted before (rules C1
// and C2).
func (c *Clock) Now(now time.Time) garnetworks.Timestamp {
	wall := now.Add(c.correction).UnixMilli()
	switch {
	case wall > c.last.Wall:
		c.last = garnetworks.Timestamp{Wall: wall}
	case c.last.Logical == math.MaxUint32:
		c.last = garnetworks.Timestamp{Wall: c.last.Wall + 1}
	default:
		c.last.Logical++
	}
	return c.last
}

// Observe accepts a received timestamp, so that every later reading is after it (rule C2),
// or returns a KindInvalidRequest error if it is too far ahead (rule C3). The zero timestamp,
// sent by nodes without a clock, is accepted and ignored.
func (c *Clock) Observe(t garnetworks.Timestamp, now time.Time) error {
	limit := now.Add(c.correction + MaxClockSkew).UnixMilli()
	// A timestamp far in the future comes from a broken clock, and accepting it would
	// move the clocks of all nodes ahead for good. Rejecting the whole message instead
	// of the timestamp alone keeps effects ordered after their causes.
	if t.Wall > limit {
		return garnetworks.Errorf(garnetworks.KindInvalidRequest, "the sender's clock is %d ms ahead", t.Wall-now.Add(c.correction).UnixMilli())
	}
	if c.last.Before(t) {
		c.last = t
	}
	return nil
}

// Sample records the reading of a peer's clock at the node's own time now, and reports
// whether it led to a correction of the node's clock (rule C4). After a correction backwards,
// readings restart below those that peers refused.
func (c *Clock) Sample(source string, t garnetworks.Timestamp, now time.Time) bool {
	if t.Wall == 0 {
		return false
	}
	c.addSample(sample{source: source, offset: t.Time().Sub(now), at: now})
	if len(c.samples) < MinSamples {
		return false
	}
	median := c.median()
	drift := median - c.correction
	if drift.Abs() <= MaxClockSkew {
		return false
	}
	c.correction = median
	limit := now.Add(median + MaxClockSkew).UnixMilli()
	if c.last.Wall > limit {
		c.last = garnetworks.Timestamp{Wall: now.Add(median).UnixMilli()}
	}
	return true
}

// Correction returns the duration that the clock adds to the node's own time.
func (c *Clock) Correction() time.Duration { return c.correction }

func (c *Clock) addSample(s sample) {
	c.samples = slices.DeleteFunc(c.samples, func(o sample) bool {
		return o.source == s.source || s.at.Sub(o.at) > MaxSampleAge
	})
	if len(c.samples) == MaxSamples {
		c.samples = slices.Delete(c.samples, 0, 1)
	}
	c.samples = append(c.samples, s)
}

// median returns the lower median of the samples' offsets and of zero, the offset of the
// node's own time.
func (c *Clock) median() time.Duration {
	all := []time.Duration{0}
	for _, s := range c.samples {
		all = append(all, s.offset)
	}
	slices.SortFunc(all, cmp.Compare[time.Duration])
	return all[(len(all)-1)/2]
}
