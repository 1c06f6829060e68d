package limiter

import (
	"time"

	"github.com/garnetworks/garnetworks"
)

// Pauses holds until when servers that refused a call want none from this node (rule L6).
type Pauses map[garnetworks.Incarnation]time.Time

// Observe records that a server asked for a pause. A shorter one does not end an earlier one.
func (p Pauses) Observe(now time.Time, server garnetworks.Incarnation, pause time.Duration) {
	if until := now.Add(pause); until.After(p[server]) {
		p[server] = until
	}
}

// Limit returns what the node may send to a server: nothing until the end of its pause.
func (p Pauses) Limit(server garnetworks.Incarnation) Limit {
	until := p[server]
	return Limit{Until: until, From: until, Interval: 1}
}

// Retain removes pauses that have ended. A server that is not listed keeps its pause: its entry may
// have lapsed for a while.
func (p Pauses) Retain(now time.Time) {
	for server, until := range p {
		if !now.Before(until) {
			delete(p, server)
		}
	}
}
