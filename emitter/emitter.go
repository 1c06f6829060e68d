// Package emitter writes a process's log lines, and tells the events of its time
// line as such lines, so that the log and the time line are one account.
//
//	E1  Writing never waits: lines go through a bounded ring to one goroutine
//	    that writes. What finds the ring full is dropped and counted, and the next
//	    line that gets through is preceded by one that tells the number.
//	E2  Lines of one cause are bounded in a second; what is beyond is counted, and
//	    told with the cause's next line. So the volume depends on the number of
//	    causes, not on the load.
//	E3  An event is one line with the event's kind as its message and the same
//	    field names as on the time line.
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

// DefaultLines is the number of lines that wait for a writer that is slow. At 400
// bytes a line they take 0.8 MB.
const DefaultLines = 2048

// Emitter is a writer that never waits (rule E1).
type Emitter struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Uint64
	total   atomic.Uint64
	done    chan struct{}
}

// New returns an emitter that writes to out from a goroutine of its own, and holds
// up to size lines; DefaultLines if size is not above 0.
func New(out io.Writer, size int) *Emitter {
	if size <= 0 {
		size = DefaultLines
	}
	e := &Emitter{out: out, lines: make(chan []byte, size), done: make(chan struct{})}
	go e.run()
	return e
}

// Write takes one line. It always succeeds.
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

// Close writes what waits and returns, or returns after timeout. Nothing may be
// written afterwards.
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
			// A log that can't be written has nowhere to tell of it.
			_, _ = fmt.Fprintf(e.out, `{"@level":"warn","@message":"log lines dropped","count":%d}`+"\n", n)
		}
		_, _ = e.out.Write(line)
	}
}

// RateLimiter bounds the lines of each cause (rule E2). It is safe for concurrent use.
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

// maxCauses bounds the memory of a rate limiter; the oldest causes are forgotten.
const maxCauses = 256

// NewRateLimiter returns a rate limiter that lets limit lines of a cause through in a second.
func NewRateLimiter(limit int) *RateLimiter {
	return &RateLimiter{limit: limit, causes: make(map[string]*cause)}
}

// Suppressed returns the number of lines held back since the start.
func (l *RateLimiter) Suppressed() uint64 { return l.suppressed.Load() }

// Allow reports whether a line of the cause may be written now, and how many of it
// were held back since the last one.
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

// Recorder returns a recorder that tells each event in the log (rule E3) before it
// hands it to next.
func Recorder(logger hclog.Logger, next garnetworks.Recorder) garnetworks.Recorder {
	return &eventLogger{Recorder: next, logger: logger}
}

type eventLogger struct {
	garnetworks.Recorder
	logger hclog.Logger
}

// Record tells the event and passes it on.
func (l *eventLogger) Record(event garnetworks.Event) {
	l.logger.Info(string(event.Kind), fields(&event)...)
	l.Recorder.Record(event)
}

// fields returns the fields of an event that are set, by the names of the time
// line.
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
