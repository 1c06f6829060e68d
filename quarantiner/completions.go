package quarantiner

import (
	"time"

	"github.com/garnetworks/garnetworks"
)

// maxCompleted bounds the contents, and the parts, that a node remembers as completed. It covers
// more than ExemptionPeriod at 25 calls per second.
const maxCompleted = 2048

// completions holds the last completion of each content, or of each part, for a bounded number of
// them.
type completions struct {
	at map[garnetworks.ContentDigest]time.Time
	// order holds the contents in the order in which they were first added.
	order []garnetworks.ContentDigest
}

func newCompletions() completions {
	return completions{at: make(map[garnetworks.ContentDigest]time.Time)}
}

// add records a completion, and forgets the content that was added first if there are too many.
func (c *completions) add(now time.Time, digest garnetworks.ContentDigest) {
	if _, ok := c.at[digest]; !ok {
		c.order = append(c.order, digest)
	}
	c.at[digest] = now
	if len(c.order) > maxCompleted {
		delete(c.at, c.order[0])
		c.order = c.order[1:]
	}
}
