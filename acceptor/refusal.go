package acceptor

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/garnetworks/garnetworks"
)

const (
	// refusalTime bounds writing a refusal, which fits into the kernel's buffer.
	refusalTime = 100 * time.Millisecond
	// lingerTime and maxLingerBytes bound what is read after a refusal. A connection that is closed
	// before is reset, and a client that is still sending doesn't see its answer.
	lingerTime     = 500 * time.Millisecond
	maxLingerBytes = 256 << 10
)

// errRefused makes an http.Server close a connection without an answer of its own.
var errRefused error = &net.OpError{Op: "read", Net: "tcp", Err: errors.New("the request's head was refused")}

// refusals are the statuses of refused heads; a connection that is evicted is refused like one for which
// there is no memory.
var refusals = map[End]int{
	EndHeadTooLong: http.StatusRequestHeaderFieldsTooLarge,
	EndHeadLate:    http.StatusRequestTimeout,
	EndNoMemory:    garnetworks.ErrorResponseFor(garnetworks.KindOverloaded).Status,
	EndEvicted:     garnetworks.ErrorResponseFor(garnetworks.KindOverloaded).Status,
}

// refuse answers a head that no handler gets, waits for the client to read that unless the connection is to
// end for others, and returns the error that ends it.
func (c *conn) refuse(reason End) error {
	c.listener.ended(reason)
	c.answer(reason)
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok && half.CloseWrite() == nil && c.setReadDeadline(time.Now().Add(lingerTime)) == nil {
		_, _ = io.CopyN(io.Discard, c.Conn, maxLingerBytes) // ends with the client, or at a bound
	}
	return errRefused
}

// refuseLate ends a connection whose read deadline has passed during a head; err is the error of its read.
func (c *conn) refuseLate(err error) error {
	reason := EndHeadLate
	if c.isEvicted() {
		reason = EndEvicted
	}
	c.listener.ended(reason)
	if c.head.bytes > 0 {
		c.answer(reason)
	}
	return err
}

// answer writes a refusal.
func (c *conn) answer(reason End) {
	status, retry := refusals[reason], ""
	if status == http.StatusServiceUnavailable {
		after := garnetworks.ErrorResponseFor(garnetworks.KindOverloaded).RetryAfter
		retry = "Retry-After: " + strconv.FormatFloat(after.Seconds(), 'f', 3, 64) + "\r\n"
	}
	text := http.StatusText(status) + "\n"
	_ = c.Conn.SetWriteDeadline(time.Now().Add(refusalTime))
	// The connection ends: what fails here fails for a client that has left.
	_, _ = fmt.Fprintf(c.Conn, "HTTP/1.1 %d %s\r\nContent-Type: text/plain; charset=utf-8\r\nContent-Length: %d\r\n%sConnection: close\r\n\r\n%s", status, http.StatusText(status), len(text), retry, text)
}
