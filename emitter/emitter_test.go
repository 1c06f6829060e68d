package emitter_test

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/emitter"
)

// slowWriter blocks writes until a given time.
type slowWriter struct {
	bytes.Buffer
	until time.Time
}

func (w *slowWriter) Write(p []byte) (int, error) {
	time.Sleep(time.Until(w.until))
	return w.Buffer.Write(p)
}

// Guards against calls that wait for their log lines while the log's reader is blocked.
func TestWriteDoesNotBlockOnSlowWriter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const size, lines = 10, 100
		start := time.Now()
		out := &slowWriter{until: start.Add(10 * time.Second)}
		e := emitter.New(out, size)
		for i := range lines {
			if _, err := fmt.Fprintf(e, "line %d\n", i); err != nil {
				t.Fatal(err)
			}
			synctest.Wait()
		}
		if waited := time.Since(start); waited != 0 {
			t.Errorf("writing waited for %s", waited)
		}
		time.Sleep(11 * time.Second)
		fmt.Fprintln(e, "after")
		e.Close(time.Second)
		text := out.String()
		written := strings.Count(text, "line ")
		if written+int(e.Dropped()) != lines || e.Dropped() == 0 {
			t.Errorf("%d lines written and %d dropped of %d", written, e.Dropped(), lines)
		}
		if want := fmt.Sprintf(`"count":%d`, e.Dropped()); !strings.Contains(text, want) {
			t.Errorf("the log does not contain %s: %s", want, text)
		}
	})
}

// Guards against a log flooded with lines of one cause, such as refused calls.
func TestLinesOfOneCauseAreBounded(t *testing.T) {
	l := emitter.NewRateLimiter(3)
	now := time.Unix(100, 0)
	written, reported := 0, 0
	for second := range 3 {
		for range 2000 {
			if suppressed, ok := l.Allow(now.Add(time.Duration(second)*time.Second), "no-group"); ok {
				written++
				reported += suppressed
			}
		}
	}
	if written != 9 || reported != 2*1997 || l.Suppressed() != 3*1997 {
		t.Errorf("%d lines written, %d reported as suppressed, %d suppressed", written, reported, l.Suppressed())
	}
	if _, ok := l.Allow(now, "other"); !ok {
		t.Error("a line of another cause was suppressed")
	}
}

type eventList []garnetworks.Event

func (l *eventList) Record(e garnetworks.Event) { *l = append(*l, e) }

func TestRecorderLogsEvents(t *testing.T) {
	var out bytes.Buffer
	var events eventList
	logger := hclog.New(&hclog.LoggerOptions{Output: &out, JSONFormat: true})
	emitter.Recorder(logger, &events).Record(garnetworks.Event{Kind: garnetworks.EventMemberLost, Group: "m.1", Instance: "i-1", Detail: "why"})
	for _, want := range []string{`"@message":"member-lost"`, `"group":"m.1"`, `"instance":"i-1"`, `"detail":"why"`} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("the line lacks %s: %s", want, out.String())
		}
	}
	if len(events) != 1 {
		t.Errorf("%d events were passed on", len(events))
	}
}

func BenchmarkLine(b *testing.B) {
	e := emitter.New(io.Discard, 0)
	logger := hclog.New(&hclog.LoggerOptions{Output: e, JSONFormat: true})
	b.ReportAllocs()
	for b.Loop() {
		logger.Info("call ended", "call", "9c41d07be2a35f68", "route", "r-2yhvz3p", "workspace", "hule930", "status", 200, "took-ms", 812, "events", 29)
	}
}
