package relayer

import "time"

const (
	// slackTime is the part of the apply time that the waits of a prefix leave to retries and the
	// object API. The rest covers contents of the maximum age and two unanswered requests.
	slackTime = 900 * time.Millisecond
	// maxStretch limits how much longer than the shortest ones waits are. They bound how late a
	// node detects a peer that does not respond.
	maxStretch = 2.5
)

// times are the times of a prefix that depend on its apply time (rule Y8).
type times struct {
	// maxAge is the age from which contents are stale. The others are the waits that the
	// constants watchWait, chainedWatchWait, followWait and ResponseMargin describe. The margin
	// grows with the wait, since a call on a reused connection gets a part of the time only.
	maxAge, watch, chainedWatch, follow, margin time.Duration
}

// timesFor returns the times of a prefix whose changes must apply within applyTime.
func timesFor(applyTime time.Duration) times {
	stretch := float64(applyTime-slackTime) / float64(MaxAge+2*(followWait+ResponseMargin))
	stretch = min(max(stretch, 1), maxStretch)
	scaled := func(d time.Duration) time.Duration { return time.Duration(stretch * float64(d)) }
	return times{maxAge: scaled(MaxAge), watch: scaled(watchWait), chainedWatch: scaled(chainedWatchWait), follow: scaled(followWait), margin: scaled(ResponseMargin)}
}

// repeatsRequests reports whether the apply time allows a second request to a peer before the
// node reads the object API itself.
func (c *cache) repeatsRequests() bool {
	return c.applyTime >= c.times.maxAge+2*c.times.follow+c.times.margin+retryReserve
}
