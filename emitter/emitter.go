// Package emitter writes a process's log without blocking its callers, limits repeated lines,
// and logs the events of the timeline.
//
//	E1  Writing never blocks: lines go through a bounded queue to one goroutine
//	    that writes them. Lines that find the queue full are dropped and counted,
//	    and the next line written is preceded by one that gives the number.
//	E2  Lines of one cause are limited per second. Suppressed lines are counted and
//	    reported with the cause's next line, so the volume of the log depends on
//	    the number of causes, not on the load.
//	E3  An event is one line with the event's kind as its message and the same
//	    field names as on the timeline.
package emitter

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/garnetworks/garnetworks"
)

// DefaultLines is the default capacity of the queue of lines, which bounds its memory while
// the writer is slow.
const DefaultLines = 2048

// Emitter is an io.Writer that never blocks (rule E1).
type Emitter struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Uint64
	total   atomic.Uint64
	done    chan struct{}
}

// New returns an emitter that writes to out in its own goroutine and queues up to size lines,
// or DefaultLines if size is not positive.
func New(out io.Writer, size int) *Emitter {
	if size <= 0 {
		size = DefaultLines
	}
	e := &Emitter{out: out, lines: make(chan []byte, size), done: make(chan struct{})}
	go e.run()
	return e
}

// Write queues one line, or drops it if the queue is full. It always succeeds.
func (e *Emitter) Write(line []byte) (int, error) {
	select {
	case e.lines <- append([]byte(nil), line...):
	default:
		e.dropped.Add(1)
		e.total.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped since the start.
func (e *Emitter) Dropped() uint64 { return e.total.Load() }

// Close writes the queued lines and returns when that is done or the timeout has passed.
// Write must not be called afterwards.
func (e *Emitter) Close(timeout time.Duration) {
	close(e.lines)
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-e.done:
	case <-timer.C:
	}
}

func (e *Emitter) run() {
	defer close(e.done)
	for line := range e.lines {
		if n := e.dropped.Swap(0); n > 0 {
			// A failure to write the log can't be reported anywhere.
			_, _ = fmt.Fprintf(e.out, `{"@level":"warn","@message":"log lines dropped","count":%d}`+"\n", n)
		}
		_, _ = e.out.Write(line)
	}
}

// RateLimiter limits the lines per second of each cause (rule E2). It is safe for concurrent
// use.
type RateLimiter struct {
	limit      int
	mu         sync.Mutex
	causes     map[string]*cause
	suppressed atomic.Uint64
}

type cause struct {
	second     int64
	lines      int
	suppressed int
}

// maxCauses limits the memory of a RateLimiter; when it is reached, all causes are forgotten.
const maxCauses = 256

// NewRateLimiter returns a rate limiter that allows limit lines per cause and second.
func NewRateLimiter(limit int) *RateLimiter {
	return &RateLimiter{limit: limit, causes: make(map[string]*cause)}
}

// Suppressed returns the number of lines suppressed since the start.
func (l *RateLimiter) Suppressed() uint64 { return l.suppressed.Load() }

// Allow reports whether a line of the named cause may be written now, and if so, how many of
// its lines were suppressed since the last one.
func (l *RateLimiter) Allow(now time.Time, name string) (suppressed int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.causes[name]
	if c == nil {
		if len(l.causes) >= maxCauses {
			clear(l.causes)
		}
		c = &cause{}
		l.causes[name] = c
	}
	if second := now.Unix(); second != c.second {
		c.second, c.lines = second, 0
	}
	if c.lines >= l.limit {
		c.suppressed++
		l.suppressed.Add(1)
		return 0, false
	}
	c.lines++
	suppressed, c.suppressed = c.suppressed, 0
	return suppressed, true
}

// Recorder returns a recorder that logs each event (rule E3) and passes it on to next.
func Recorder(logger hclog.Logger, next garnetworks.Recorder) garnetworks.Recorder {
	return &eventLogger{Recorder: next, logger: logger}
}

type eventLogger struct {
	garnetworks.Recorder
	logger hclog.Logger
}

// Record logs the event and passes it on.
func (l *eventLogger) Record(event garnetworks.Event) {
	l.logger.Info(string(event.Kind), fields(&event)...)
	l.Recorder.Record(event)
}

// fields returns the nonempty fields of an event as log key-value pairs, named as on the
// timeline.
func fields(e *garnetworks.Event) []any {
	var list []any
	add := func(name, value string) {
		if value != "" {
			list = append(list, name, value)
		}
	}
	add("zone", string(e.Zone))
	add("group", string(e.Group))
	add("instance", string(e.Instance))
	add("call", string(e.Call))
	if e.Generation != 0 {
		list = append(list, "generation", e.Generation)
	}
	add("error", string(e.Error))
	add("detail", e.Detail)
	return list
}
