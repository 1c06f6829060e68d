package gateway

import (
	"sync/atomic"
	"time"
)

// leastStall is the time by which a tick must be late to count as a stall of the node.
// A process that shares a core with others is set aside for some ten milliseconds now
// and then, which nobody notices.
const minStall = 100 * time.Millisecond

// stalls sums the times in which the process did not run: the instance was frozen, or
// its processor was taken away. A call that was late meanwhile is late for that.
type stalls struct{ sum atomic.Int64 }

// tick takes the time between two ticks that were due after a time.
func (s *stalls) tick(elapsed, interval time.Duration) {
	if late := elapsed - interval; late >= minStall {
		s.sum.Add(int64(late))
	}
}

func (s *stalls) total() time.Duration { return time.Duration(s.sum.Load()) }
