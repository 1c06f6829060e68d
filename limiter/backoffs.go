package limiter

import (
	"time"

	"github.com/garnetworks/garnetworks"
)

// Backoffs holds until when this node backs off from servers that refused a call (rule L6).
type Backoffs map[garnetworks.Incarnation]time.Time

// Observe records that a server requested a backoff. A shorter one does not end an earlier one.
func (b Backoffs) Observe(now time.Time, server garnetworks.Incarnation, backoff time.Duration) {
	if until := now.Add(backoff); until.After(b[server]) {
		b[server] = until
	}
}

// Limit returns what the node may send to a server: nothing until the end of its backoff.
func (b Backoffs) Limit(server garnetworks.Incarnation) Limit {
	until := b[server]
	return Limit{Until: until, From: until, Interval: 1}
}

// Retain removes backoffs that have ended. A server that is not listed keeps its backoff, since its
// entry may have lapsed for a while.
func (b Backoffs) Retain(now time.Time) {
	for server, until := range b {
		if !now.Before(until) {
			delete(b, server)
		}
	}
}
