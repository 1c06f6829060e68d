package distributor

import (
	"sync/atomic"
)

// Counts is a snapshot of a distributor's counters.
type Counts struct {
	// Published, Accepted, Duplicates and Older count updates by their result at
	// this node.
	Published, Accepted, Duplicates, Older uint64
	// Conflicts counts updates with the held version but a different body.
	Conflicts uint64
	// Sent counts forwarded updates, SendFailures messages without an answer.
	Sent, SendFailures uint64
	// Repaired counts updates fetched by repair, Pushed those pushed to peers.
	Repaired, Pushed uint64
	// Refused counts updates and jobs that exceeded a limit.
	Refused uint64
}

type counters struct {
	published, accepted, duplicates, older, conflicts atomic.Uint64
	sent, sendFailures, repaired, pushed, refused     atomic.Uint64
}

// Counts returns the current values of the counters.
func (d *Distributor) Counts() Counts {
	c := &d.counters
	return Counts{
		Published: c.published.Load(), Accepted: c.accepted.Load(),
		Duplicates: c.duplicates.Load(), Older: c.older.Load(), Conflicts: c.conflicts.Load(),
		Sent: c.sent.Load(), SendFailures: c.sendFailures.Load(),
		Repaired: c.repaired.Load(), Pushed: c.pushed.Load(), Refused: c.refused.Load(),
	}
}
