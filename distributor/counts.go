package distributor

import (
	"sync/atomic"
)

// Counts are a distributor's counters.
type Counts struct {
	// Published, Accepted, Duplicates and Older count updates by what became of
	// them here.
	Published, Accepted, Duplicates, Older uint64
	// Conflicts counts updates that carried a held version with another body.
	Conflicts uint64
	// Sent counts updates handed on, SendFailures messages without an answer.
	Sent, SendFailures uint64
	// Repaired and Pushed count updates that repair brought and gave.
	Repaired, Pushed uint64
	// Refused counts updates and jobs above a bound.
	Refused uint64
}

type counters struct {
	published, accepted, duplicates, older, conflicts atomic.Uint64
	sent, sendFailures, repaired, pushed, refused     atomic.Uint64
}

// Counts reads the counters.
func (d *Distributor) Counts() Counts {
	c := &d.counters
	return Counts{
		Published: c.published.Load(), Accepted: c.accepted.Load(),
		Duplicates: c.duplicates.Load(), Older: c.older.Load(), Conflicts: c.conflicts.Load(),
		Sent: c.sent.Load(), SendFailures: c.sendFailures.Load(),
		Repaired: c.repaired.Load(), Pushed: c.pushed.Load(), Refused: c.refused.Load(),
	}
}
