package gateway

import (
	"context"
	"time"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/scheduler"
)

// moveRetryInterval is the time between two attempts to reserve a slot elsewhere while a group
// stalls. Slots become free some ten times a second.
const moveRetryInterval = 100 * time.Millisecond

// watchdog moves a call from a stalled group to another one.
//
// Failure: a member of a group dies or is cut off. The head still accepts calls but sends no
// events until it breaks, seconds later. All calls of the group are silent then; a group that
// sends events to other calls is not stalled, only slow with this one.
//
// Failure: a group stalls briefly and recovers while no other group has a free slot or the
// retries are used up. Cancelling the call would lose an answer that still comes, so a call is
// cancelled only after a slot elsewhere is reserved.
type watchdog struct {
	stream  *stream
	group   garnetworks.GroupID
	cancel  context.CancelCauseFunc
	timer   *time.Timer
	started time.Time
	limit   time.Duration
	// hadEvent says that the call has had an event from the group, reportedFailed that it had
	// none within the scheduler's FirstEventTimeout and was reported as failed.
	hadEvent, reportedFailed bool
	// movable says that the route allows another attempt after this one, and request is the
	// scheduler request for it.
	movable bool
	request scheduler.Call
	stopped bool
}

// newWatchdog starts a watchdog for an attempt at the group.
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

// recordEvent records an event of the group.
func (w *watchdog) recordEvent() {
	now := time.Now()
	w.stream.mu.Lock()
	defer w.stream.mu.Unlock()
	w.stream.lastGroupEvent[w.group] = now
	w.stream.scheduler.EventReceived(now, w.stream.call.Model, w.group)
	w.limit, w.hadEvent = stallTimeout, true
	w.timer.Reset(suspectTimeout)
}

// stop stops the watchdog; it reserves no slot afterwards.
func (w *watchdog) stop() {
	w.stream.mu.Lock()
	defer w.stream.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
}

// check runs when the call has had no event for some time.
func (w *watchdog) check() {
	silent, moved := w.evaluate(time.Now())
	if silent {
		w.stream.options.Suspect(w.group)
	}
	if moved {
		w.cancel(errStalled)
	}
}

// evaluate reports whether the group is silent, and whether a slot elsewhere was reserved so
// that the call moves; if not, it resets the timer.
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

// firstEventOverdue reports whether the call has had no event for so long that it counts as
// failed, and reports that to the scheduler once; the lock is held.
//
// Failure: an engine answers some of its calls and never begins others, while its health
// checks pass and the group sends events.
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

// reserve takes a slot at another group and a retry, if both are available; the lock is held.
func (s *stream) reserve(now time.Time, request scheduler.Call) bool {
	if s.retryWindow(s.service.Name).Available(now) < 1 {
		return false
	}
	group, ok := s.scheduler.TryPlace(now, request)
	if !ok {
		return false
	}
	s.reserved = group
	return s.take(now, s.service.Name)
}

// takeReserved returns and clears the reserved slot, if there is one.
func (s *stream) takeReserved() (scheduler.Decision, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	group := s.reserved
	s.reserved = ""
	return scheduler.Decision{Group: group}, group != ""
}

// releaseReserved frees a reserved slot that the call does not use because its group completed
// the answer.
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
