package acceptor

import (
	"os"
	"time"

	"github.com/pkg/errors"

	"github.com/garnetworks/garnetworks/evictor"
)

const (
	// maxWrite is the most that is written at once. It distinguishes a client that reads slowly from one that
	// reads nothing.
	maxWrite = 32 << 10
	// stallTime is how long a write may wait before its connection counts as stalled.
	stallTime = time.Second
)

// Write implements net.Conn. It fails if the client takes nothing for the listener's WriteTime (rule V6).
func (c *conn) Write(p []byte) (written int, err error) {
	limit := c.listener.WriteTime
	if limit <= 0 || !c.served { // what is no http.Server sets its own deadlines
		return c.Conn.Write(p)
	}
	var stalled time.Duration
	for {
		wait := min(stallTime, limit-stalled)
		if err := c.Conn.SetWriteDeadline(time.Now().Add(wait)); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(p[written:min(len(p), written+maxWrite)])
		written += n
		switch {
		case err == nil && stalled > 0:
			stalled = 0
			c.enter(evictor.Serving)
		case err != nil && !errors.Is(err, os.ErrDeadlineExceeded):
			return written, err
		case err != nil && n > 0:
			stalled = 0
		case err != nil:
			stalled += wait
			if stalled >= limit {
				c.listener.ended(EndUnread)
				return written, err
			}
			if c.isEvicted() {
				c.listener.ended(EndEvicted)
				return written, err
			}
			c.enter(evictor.Stalled)
		}
		if written == len(p) {
			return written, nil
		}
	}
}
