package forwarder

import (
	"strconv"
	"sync"
	"time"

	"github.com/garnetworks/garnetworks"
)

// eventsPerSecond bounds the events of one kind. An overload refuses thousands
// of calls a second; without the bound they would push everything else out of
// the time line's ring.
const eventsPerSecond = 10

// eventLimiter passes events on to the recorder, and counts those of a second
// that it leaves out in the next one's detail.
type eventLimiter struct {
	recorder garnetworks.Recorder
	mu       sync.Mutex
	windows  map[garnetworks.EventKind]eventWindow
}

type eventWindow struct {
	second  int64
	passed  int
	skipped int
}

func newEventLimiter(recorder garnetworks.Recorder) *eventLimiter {
	return &eventLimiter{recorder: recorder, windows: map[garnetworks.EventKind]eventWindow{}}
}

func (l *eventLimiter) record(event garnetworks.Event) {
	if l.recorder == nil {
		return
	}
	skipped, ok := l.pass(event.Kind)
	if !ok {
		return
	}
	if skipped > 0 {
		event.Detail += " (and " + strconv.Itoa(skipped) + " more before)"
	}
	l.recorder.Record(event)
}

func (l *eventLimiter) pass(kind garnetworks.EventKind) (skipped int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	w := l.windows[kind]
	second := time.Now().Unix()
	if w.second != second {
		w.second = second
		w.passed = 0
	}
	if w.passed == eventsPerSecond {
		w.skipped++
		l.windows[kind] = w
		return 0, false
	}
	w.passed++
	skipped, w.skipped = w.skipped, 0
	l.windows[kind] = w
	return skipped, true
}

// ended records how a call failed; completed calls and those that their callers
// cancelled make no event.
func (f *Forwarder) ended(call garnetworks.CallID, group garnetworks.GroupID, instance garnetworks.InstanceID, err error) {
	if err == nil || garnetworks.IsKind(err, garnetworks.KindCancelled) {
		return
	}
	kind := garnetworks.KindOf(err)
	event := garnetworks.Event{
		Kind:     garnetworks.EventCallUnknown,
		Call:     call,
		Group:    group,
		Instance: instance,
		Error:    kind,
		Detail:   err.Error(),
	}
	if garnetworks.KindAnswer(kind).Outcome == garnetworks.OutcomeNotRun {
		event.Kind = garnetworks.EventCallRefused
	}
	f.events.record(event)
}
