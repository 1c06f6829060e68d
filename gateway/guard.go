package gateway

import (
	"context"
	"time"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/meter"
	"github.com/garnetworks/garnetworks/scheduler"
)

// moveRetryInterval is the time between two attempts to reserve a slot elsewhere while a group
// stalls. Slots become free some ten times a second.
const moveRetryInterval = 100 * time.Millisecond

// checkDelay is how late a check may run before the delay is attributed to this node. Timers fire
// within a few milliseconds unless the node was paused or is overloaded. readGrace is the time
// that the node then has to read events that have arrived meanwhile.
const (
	checkDelay = 20 * time.Millisecond
	readGrace  = 20 * time.Millisecond
)

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
	// due is when the next check is due; postponed says that one was late since the last event.
	due       time.Time
	postponed bool
	limit     time.Duration
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
	s.suspector.Started(w.started, s.call.Model, group)
	first := w.threshold(w.started)
	w.due = w.started.Add(first)
	w.timer = time.AfterFunc(first, w.check)
	if s.watchdogs[group] == nil {
		s.watchdogs[group] = make(garnetworks.Set[*watchdog])
	}
	s.watchdogs[group].Add(w)
	return w
}

// threshold returns the silence from which the group is suspected; the lock is held.
func (w *watchdog) threshold(now time.Time) time.Duration {
	return w.stream.suspector.Threshold(now, w.group, w.stream.route.MaxGap)
}

// recordEvent records an event of the group.
func (w *watchdog) recordEvent() {
	now := time.Now()
	w.stream.mu.Lock()
	defer w.stream.mu.Unlock()
	w.stream.lastGroupEvent[w.group] = now
	w.stream.scheduler.EventReceived(now, w.stream.call.Model, w.group)
	w.stream.suspector.Event(now, w.group, !w.hadEvent, now.Sub(w.started))
	w.limit, w.hadEvent, w.postponed = stallTimeout, true, false
	w.reset(now, w.threshold(now))
}

// reset schedules the next check; the lock is held.
func (w *watchdog) reset(now time.Time, after time.Duration) {
	w.due = now.Add(after)
	w.timer.Reset(after)
}

// postpone reports whether a check is late, and postpones it once; the lock is held.
//
// Failure: the node is paused for longer than a time-out. It finds the timer and the events that
// have arrived at once, and would move its calls from healthy groups.
func (w *watchdog) postpone(now time.Time) bool {
	if w.postponed || now.Sub(w.due) <= checkDelay {
		return false
	}
	w.postponed = true
	w.reset(now, readGrace)
	return true
}

// stop stops the watchdog; it reserves no slot afterwards.
func (w *watchdog) stop() {
	w.stream.mu.Lock()
	defer w.stream.mu.Unlock()
	if w.stopped {
		return
	}
	w.stopped = true
	w.timer.Stop()
	w.stream.suspector.Ended(time.Now(), w.group, w.hadEvent)
	w.stream.watchdogs[w.group].Remove(w)
	if len(w.stream.watchdogs[w.group]) == 0 {
		delete(w.stream.watchdogs, w.group)
	}
}

// check runs when the call has had no event for some time.
func (w *watchdog) check() {
	now := time.Now()
	a := w.evaluate(now)
	if a.silent {
		w.stream.options.Suspect(w.group)
	}
	if a.ask {
		w.stream.askVerdict(now, w.stream.call.Model, w.group, a.silence)
	}
	if a.moved {
		w.stream.options.Meter.Moved(a.cause, a.silence)
		w.cancel(errStalled)
	}
}

// assessment is what follows from the time without events.
type assessment struct {
	silence time.Duration
	// silent says that the silence is reported to all nodes, ask that the lease holder is asked
	// for its verdict.
	silent, ask bool
	// moved says that a slot elsewhere was reserved so that the call moves, because of cause.
	moved bool
	cause meter.MoveCause
}

// evaluate assesses the time without events, and resets the timer unless the call moves.
func (w *watchdog) evaluate(now time.Time) assessment {
	w.stream.mu.Lock()
	defer w.stream.mu.Unlock()
	if w.stopped || w.postpone(now) {
		return assessment{}
	}
	model := w.stream.call.Model
	last := w.stream.lastGroupEvent[w.group]
	if last.Before(w.started) {
		last = w.started
	}
	a := assessment{silence: now.Sub(last), cause: meter.MoveStalled}
	a.silent = a.silence >= suspectTimeout
	if a.silent {
		w.stream.scheduler.Unreachable(now, model, w.group)
	}
	suspicion := w.stream.suspector.Check(now, w.group, a.silence, w.stream.route.MaxGap)
	a.ask = suspicion.Ask
	if w.firstEventOverdue(now) && w.movable && w.stream.reserve(now, w.request) {
		a.moved, a.cause = true, meter.MoveNoFirstEvent
		return a
	}
	limit := w.limit
	switch {
	case w.stream.scheduler.IsFoundLost(now, model, w.group):
		limit, a.cause = 0, meter.MoveVerdict
	case w.stream.scheduler.Lost(now, model, w.group):
		limit, a.cause = suspectTimeout, meter.MoveReportedLost
	}
	switch {
	case a.silence < min(limit, suspicion.Threshold):
		w.reset(now, min(limit, suspicion.Threshold)-a.silence)
	case a.silence < limit && !a.silent:
		w.reset(now, min(moveRetryInterval, suspectTimeout-a.silence))
	case a.silence < limit:
		w.reset(now, min(moveRetryInterval, limit-a.silence))
	case w.movable && w.stream.reserve(now, w.request):
		a.moved = true
	default:
		w.reset(now, moveRetryInterval)
	}
	return a
}

// askVerdict asks the lease holder for its verdict on a group without events for some time.
func (g *Gateway) askVerdict(asked time.Time, model garnetworks.ModelName, group garnetworks.GroupID, silence time.Duration) {
	if g.options.AskVerdict != nil {
		g.options.AskVerdict(group, silence, func(verdict garnetworks.Verdict) { g.verdictReceived(asked, model, group, verdict) })
	}
}

// verdictReceived applies the verdict on a group that the lease holder was asked about. On "lost"
// all calls at the group move, where other groups have slots.
func (g *Gateway) verdictReceived(asked time.Time, model garnetworks.ModelName, group garnetworks.GroupID, verdict garnetworks.Verdict) {
	now := time.Now()
	g.options.Meter.Suspicion(verdict)
	g.mu.Lock()
	defer g.mu.Unlock()
	current := g.suspector.Answered(now, group, asked, verdict)
	if !current || verdict != garnetworks.VerdictLost {
		return
	}
	g.scheduler.FoundLost(now, model, group)
	for w := range g.watchdogs[group] {
		w.reset(now, 0)
	}
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
