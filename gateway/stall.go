package gateway

import (
	"sync/atomic"
	"time"
)

// minStall is the least delay of a tick that counts as a stall. Shorter delays, of some ten
// milliseconds, are common when processes share a core, and no caller notices them.
const minStall = 100 * time.Millisecond

// stalls sums the times in which the process did not run, because the instance was frozen or
// the CPU was taken away. A call during a stall is late because of it.
type stalls struct{ sum atomic.Int64 }

// tick records the time that elapsed between two ticks, which were due every interval.
func (s *stalls) tick(elapsed, interval time.Duration) {
	if late := elapsed - interval; late >= minStall {
		s.sum.Add(int64(late))
	}
}

func (s *stalls) total() time.Duration { return time.Duration(s.sum.Load()) }
