package gateway

import (
	"context"
	"time"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/scheduler"
)

// moveAgain is the time between two looks for a place elsewhere while a group stands
// still; places come free some ten times a second.
const moveRetryInterval = 100 * time.Millisecond

// guard moves a call from a group that stands still to another one.
//
// Failure: a member of a group dies or is cut off. The head goes on accepting
// calls and gives no more events until it breaks, seconds later; a client leaves
// before. It shows as silence on all calls of the group at once: a group that
// gives events to other calls is only slow with this one.
//
// Failure: a group stands still for a second and goes on, while no other group has a
// place or the retries are used up. A call that is ended for the silence is lost
// then, and would have been answered. So it is ended only when it has a place
// elsewhere.
type watchdog struct {
	stream  *stream
	group   garnetworks.GroupID
	cancel  context.CancelCauseFunc
	timer   *time.Timer
	started time.Time
	limit   time.Duration
	// begun says that the call has had an event here, late that it has had none for
	// the scheduler's BeginTime.
	hadEvent, reportedFailed bool
	// movable says that the route allows another attempt after this one, and work is
	// what the call then asks the scheduler for.
	movable bool
	request scheduler.Call
	stopped bool
}

// guard begins to look after an attempt.
func (s *stream) newWatchdog(group garnetworks.GroupID, cancel context.CancelCauseFunc) *watchdog {
	w := &watchdog{
		stream: s, group: group, cancel: cancel, started: time.Now(), limit: firstEventStallTimeout,
		movable: s.route.Idempotent() && s.attempts+1 < s.route.MaxAttempts,
		request: s.schedulerCall(),
	}
	w.request.Resumed = true
	s.mu.Lock()
	defer s.mu.Unlock()
	w.timer = time.AfterFunc(suspectTimeout, w.check)
	return w
}

// event notes that the group gave an event.
func (w *watchdog) recordEvent() {
	now := time.Now()
	w.stream.mu.Lock()
	defer w.stream.mu.Unlock()
	w.stream.lastGroupEvent[w.group] = now
	w.stream.scheduler.EventReceived(now, w.stream.call.Model, w.group)
	w.limit, w.hadEvent = stallTimeout, true
	w.timer.Reset(suspectTimeout)
}

// stop ends the guard; no place is taken after it.
func (w *watchdog) stop() {
	w.stream.mu.Lock()
	defer w.stream.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
}

// check runs when this call has had no event for some time.
func (w *watchdog) check() {
	silent, moved := w.evaluate(time.Now())
	if silent {
		w.stream.options.Suspect(w.group)
	}
	if moved {
		w.cancel(errStalled)
	}
}

// judge tells whether the group is quiet, and whether the call has a place elsewhere
// for that; if not, it sets the timer anew.
func (w *watchdog) evaluate(now time.Time) (silent, moved bool) {
	w.stream.mu.Lock()
	defer w.stream.mu.Unlock()
	if w.stopped {
		return false, false
	}
	last := w.stream.lastGroupEvent[w.group]
	if last.Before(w.started) {
		last = w.started
	}
	silence := now.Sub(last)
	if silence >= suspectTimeout {
		w.stream.scheduler.Unreachable(now, w.stream.call.Model, w.group)
	}
	if w.firstEventOverdue(now) && w.movable && w.stream.reserve(now, w.request) {
		return silence >= suspectTimeout, true
	}
	limit := w.limit
	if w.stream.scheduler.Lost(now, w.stream.call.Model, w.group) {
		limit = suspectTimeout
	}
	switch {
	case silence < suspectTimeout:
		w.timer.Reset(suspectTimeout - silence)
		return false, false
	case silence < limit:
		w.timer.Reset(min(moveRetryInterval, limit-silence))
	case w.movable && w.stream.reserve(now, w.request):
		return true, true
	default:
		w.timer.Reset(moveRetryInterval)
	}
	return true, false
}

// neverBegins tells that the group has not begun the call for so long that it counts
// as failed; the lock is held.
//
// Failure: an engine answers a part of its calls and never begins the others, while
// its health is good and its group gives events. It shows as calls without a first
// event; their clients left after two seconds, and new calls went there all the same.
func (w *watchdog) firstEventOverdue(now time.Time) bool {
	if w.hadEvent || now.Sub(w.started) < w.stream.scheduler.FirstEventTimeout(w.stream.call.Model) {
		return false
	}
	if !w.reportedFailed {
		w.reportedFailed = true
		w.stream.scheduler.Failed(w.stream.call.Model, w.group)
	}
	return true
}

// reserve takes a place at another group and a retry, if there are both; the lock is
// held.
func (s *stream) reserve(now time.Time, request scheduler.Call) bool {
	retries := s.retryWindow(now, s.service.Name)
	if retries.Available(now) < 1 {
		return false
	}
	group, ok := s.scheduler.TryPlace(now, request)
	if !ok {
		return false
	}
	s.reserved = group
	return retries.Take(now)
}

// takeReserved returns the place that was taken elsewhere, if there is one.
func (s *stream) takeReserved() (scheduler.Decision, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	group := s.reserved
	s.reserved = ""
	return scheduler.Decision{Group: group}, group != ""
}

// giveBack gives a reserved place back that the call does not need, because its
// group gave the end of the answer after all.
func (s *stream) releaseReserved() {
	d, ok := s.takeReserved()
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.scheduler.PrefillDone(s.call.Model, d.Group, s.call.PromptTokens)
	s.deliver(s.scheduler.Finished(time.Now(), s.call.Model, d.Group, 0, false))
}
