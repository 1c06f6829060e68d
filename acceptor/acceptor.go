// Package acceptor accepts connections for a server that must outlast a shortage of descriptors and
// of memory, bounds what clients may send before their request is handled, closes connections that
// are left unused, and detects clients that have left.
//
//	V1 An error other than that the listener is closed passes: too many open files, or a client that
//	   has left already. Accepting continues at once if connections could be ended for it, and
//	   after retryTime otherwise.
//	V2 A connection is closed when it has been unused for the idle time. It is not closed if
//	   a request has arrived by then, though the timer has ended.
//	V3 Whether a client has left is known as soon as the end of its connection has arrived. The
//	   context of a request shows it only when a goroutine has read that, which may be later
//	   than the next steps of the handler on a node that did not run for some time.
//	V4 A head of more than Limits.HeadBytes is refused with status 431, and one that has not
//	   arrived within Limits.HeadTime with 408, but not one that has arrived while the node did not
//	   run. Bytes are counted before the server parses them,
//	   since a parsed head takes many times its bytes.
//	V5 All heads together are bounded by package evictor. A connection that it ends, or a head for
//	   which there is no memory, is refused with status 503 if a part of a head has arrived,
//	   and closed otherwise. No handler has seen such a request, so that it has not run.
//	V6 A connection whose client takes nothing of an answer for WriteTime is closed. A client that
//	   reads slowly, but goes on reading, keeps it.
//	V7 Long answers and long messages of other protocols are bounded together with heads. A connection
//	   that carries messages may be ended for others, but not while one of its calls is handled.
package acceptor

import (
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/garnetworks/garnetworks/evictor"
)

const (
	// retryTime is the time from a failed accept to the next one.
	retryTime = 100 * time.Millisecond
	// logInterval is the least time between two log lines of failed accepts.
	logInterval = time.Second
	// evictedAtOnce is the number of connections that are ended when no descriptor is left, so that
	// some are free for the node's own connections as well.
	evictedAtOnce = 16
)

// Limits bound what a client may send and how long it may take. A field that is 0 sets no bound.
type Limits struct {
	// HeadBytes bounds the head of a request: the request line, the fields and the empty line.
	HeadBytes int64
	// HeadTime is the longest time from the first byte of a head, or from the begin of a new
	// connection, to the end of the head. IdleTime is how long a connection may be unused.
	HeadTime, IdleTime time.Duration
}

// End is why a connection was ended before its client closed it. The values are metric labels.
type End string

const (
	// EndNoRoom connections were refused because too many are open.
	EndNoRoom End = "no-room"
	// EndEvicted connections were ended for others.
	EndEvicted End = "evicted"
	// EndNoMemory connections sent a head for which there was no memory.
	EndNoMemory End = "no-memory"
	// EndHeadTooLong and EndHeadLate connections sent a head beyond Limits.
	EndHeadTooLong End = "head-too-long"
	EndHeadLate    End = "head-late"
	// EndUnread connections have a client that read nothing of an answer for WriteTime.
	EndUnread End = "answer-unread"
)

// Listener is a listener whose Accept fails only when it is closed. Its connections are for an
// http.Server whose ConnState is Track, whose ConnContext is WithConn, and which has an IdleTimeout and
// a ReadHeaderTimeout.
type Listener struct {
	net.Listener
	// Limits returns the limits in effect; it may be nil.
	Limits func() Limits
	// Pool holds the connections; it may be nil.
	Pool *evictor.Pool
	// Evictor is that of the pool.
	Evictor *evictor.Evictor
	// PrefixBytes is the length of what each connection begins with before its protocol is known. The
	// first byte behind it has to arrive within Limits.HeadTime.
	PrefixBytes int
	// Sealed says that the bytes are encrypted, so that heads can't be counted: the server bounds them.
	Sealed bool
	// WriteTime is the longest time for which a client may take nothing of an answer; no bound if it is 0.
	WriteTime time.Duration
	// Messages says that connections may carry messages instead of HTTP, and that Find is used.
	Messages bool
	// Ended is called for each connection that is ended; it may be nil.
	Ended func(End)
	// Log receives the first of several errors in a row, and no more than one in logInterval.
	Log func(error)

	logged time.Time
	// carriers holds the connections by the address of the client if Messages is set.
	carriers sync.Map
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for failures := 0; ; failures++ {
		accepted, err := l.Listener.Accept()
		switch {
		case err == nil && l.Limits == nil && l.Pool == nil:
			return accepted, nil
		case err == nil:
			if c, ok := l.open(accepted); ok {
				return c, nil
			}
			failures = -1
			continue
		case errors.Is(err, net.ErrClosed):
			return nil, err
		case failures == 0 && time.Since(l.logged) >= logInterval:
			l.logged = time.Now()
			l.Log(err)
		}
		if !l.makeRoom(err) {
			time.Sleep(retryTime)
		}
	}
}

// open adds a connection to the pool. It closes the connection if there is no room for it.
func (l *Listener) open(accepted net.Conn) (net.Conn, bool) {
	now := time.Now()
	c := &conn{Conn: accepted, listener: l, headBegan: now}
	c.prefixLeft = l.PrefixBytes
	if l.Pool != nil {
		c.mu.Lock() // the connection may be named before its entry is known
		entry, victim, ok := l.Pool.Open(c, now)
		c.entry = entry
		c.mu.Unlock()
		if !ok {
			l.ended(EndNoRoom)
			_ = accepted.Close() // the client gets no answer
			return nil, false
		}
		if victim != nil {
			victim.Evict()
		}
	}
	if l.Messages {
		l.carriers.Store(accepted.RemoteAddr().String(), c)
	}
	// The server sets its own deadline when it begins to read, which may be after the prefix.
	if !l.Sealed {
		_ = c.setHeadDeadline() // a connection that has ended fails at the first read
	}
	return c, true
}

// forget removes a connection that has ended.
func (l *Listener) forget(c *conn) {
	if l.Messages {
		l.carriers.CompareAndDelete(c.RemoteAddr().String(), c)
	}
}

// makeRoom ends connections if no descriptor is left, and reports whether it did.
func (l *Listener) makeRoom(err error) bool {
	if l.Evictor == nil || !errors.Is(err, syscall.EMFILE) && !errors.Is(err, syscall.ENFILE) {
		return false
	}
	victims := l.Evictor.MakeRoom(evictedAtOnce, time.Now())
	for _, victim := range victims {
		victim.Evict()
	}
	return len(victims) > 0
}

func (l *Listener) limits() Limits {
	if l.Limits == nil {
		return Limits{}
	}
	return l.Limits()
}

func (l *Listener) ended(reason End) {
	if l.Ended != nil {
		l.Ended(reason)
	}
}
