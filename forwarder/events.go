package forwarder

import (
	"strconv"
	"sync"
	"time"

	"github.com/garnetworks/garnetworks"
)

// eventsPerSecond limits the events of one kind, so that a flood of refused calls does not
// displace all other events from the time line's ring.
const eventsPerSecond = 10

// EventLimiter is a Recorder that limits the events it passes to another one, and adds the
// number of dropped events to the detail of the next one. It is safe for concurrent use.
type EventLimiter struct {
	recorder garnetworks.Recorder
	mu       sync.Mutex
	windows  map[garnetworks.EventKind]eventWindow
}

type eventWindow struct {
	second  int64
	passed  int
	skipped int
}

// NewEventLimiter returns an EventLimiter in front of recorder, which may be nil.
func NewEventLimiter(recorder garnetworks.Recorder) *EventLimiter {
	return &EventLimiter{recorder: recorder, windows: map[garnetworks.EventKind]eventWindow{}}
}

// Record records the event unless its kind has reached the limit for the current second.
func (l *EventLimiter) Record(event garnetworks.Event) {
	if l.recorder == nil {
		return
	}
	skipped, ok := l.allow(event.Kind)
	if !ok {
		return
	}
	if skipped > 0 {
		event.Detail += " (and " + strconv.Itoa(skipped) + " more before)"
	}
	l.recorder.Record(event)
}

func (l *EventLimiter) allow(kind garnetworks.EventKind) (skipped int, ok bool) {
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

// recordFailure records a failed call as an event, except one that its caller cancelled.
func (f *Forwarder) recordFailure(call garnetworks.CallID, group garnetworks.GroupID, instance garnetworks.InstanceID, err error) {
	if err == nil || garnetworks.IsKind(err, garnetworks.KindCancelled) {
		return
	}
	kind := garnetworks.KindOf(err)
	event := garnetworks.Event{
		Kind:     garnetworks.EventCallOutcomeUnknown,
		Call:     call,
		Group:    group,
		Instance: instance,
		Error:    kind,
		Detail:   err.Error(),
	}
	if garnetworks.ErrorResponseFor(kind).Outcome == garnetworks.OutcomeNotRun {
		event.Kind = garnetworks.EventCallRefused
	}
	f.events.Record(event)
}
