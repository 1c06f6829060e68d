package gateway

import (
	"context"
	"time"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/scheduler"
)

// moveAgain is the time between two looks for a place elsewhere while a group stands
// still; places come free some ten times a second.
const moveAgain = 100 * time.Millisecond

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
type guard struct {
	stream *stream
	group  garnetworks.GroupID
	cancel context.CancelCauseFunc
	timer  *time.Timer
	began  time.Time
	limit  time.Duration
	// begun says that the call has had an event here, late that it has had none for
	// the scheduler's BeginTime.
	begun, late bool
	// movable says that the route allows another attempt after this one, and work is
	// what the call then asks the scheduler for.
	movable bool
	work    scheduler.Call
	stopped bool
}

// guard begins to look after an attempt.
func (s *stream) guard(group garnetworks.GroupID, cancel context.CancelCauseFunc) *guard {
	g := &guard{
		stream: s, group: group, cancel: cancel, began: time.Now(), limit: stillFirst,
		movable: s.route.Idempotent() && s.attempts+1 < s.route.MaxAttempts,
		work:    s.work(),
	}
	g.work.Resumed = true
	s.mu.Lock()
	defer s.mu.Unlock()
	g.timer = time.AfterFunc(quietTime, g.check)
	return g
}

// event notes that the group gave an event.
func (g *guard) event() {
	now := time.Now()
	g.stream.mu.Lock()
	defer g.stream.mu.Unlock()
	g.stream.progress[g.group] = now
	g.stream.scheduler.EventReceived(now, g.stream.call.Model, g.group)
	g.limit, g.begun = stillTime, true
	g.timer.Reset(quietTime)
}

// stop ends the guard; no place is taken after it.
func (g *guard) stop() {
	g.stream.mu.Lock()
	defer g.stream.mu.Unlock()
	g.stopped = true
	g.timer.Stop()
}

// check runs when this call has had no event for some time.
func (g *guard) check() {
	quiet, moved := g.judge(time.Now())
	if quiet {
		g.stream.options.Suspect(g.group)
	}
	if moved {
		g.cancel(errStill)
	}
}

// judge tells whether the group is quiet, and whether the call has a place elsewhere
// for that; if not, it sets the timer anew.
func (g *guard) judge(now time.Time) (quiet, moved bool) {
	g.stream.mu.Lock()
	defer g.stream.mu.Unlock()
	if g.stopped {
		return false, false
	}
	last := g.stream.progress[g.group]
	if last.Before(g.began) {
		last = g.began
	}
	silence := now.Sub(last)
	if silence >= quietTime {
		g.stream.scheduler.Unreachable(now, g.stream.call.Model, g.group)
	}
	if g.neverBegins(now) && g.movable && g.stream.reserve(now, g.work) {
		return silence >= quietTime, true
	}
	limit := g.limit
	if g.stream.scheduler.Lost(now, g.stream.call.Model, g.group) {
		limit = quietTime
	}
	switch {
	case silence < quietTime:
		g.timer.Reset(quietTime - silence)
		return false, false
	case silence < limit:
		g.timer.Reset(min(moveAgain, limit-silence))
	case g.movable && g.stream.reserve(now, g.work):
		return true, true
	default:
		g.timer.Reset(moveAgain)
	}
	return true, false
}

// neverBegins tells that the group has not begun the call for so long that it counts
// as failed; the lock is held.
//
// Failure: an engine answers a part of its calls and never begins the others, while
// its health is good and its group gives events. It shows as calls without a first
// event; their clients left after two seconds, and new calls went there all the same.
func (g *guard) neverBegins(now time.Time) bool {
	if g.begun || now.Sub(g.began) < g.stream.scheduler.FirstEventTimeout(g.stream.call.Model) {
		return false
	}
	if !g.late {
		g.late = true
		g.stream.scheduler.Failed(g.stream.call.Model, g.group)
	}
	return true
}

// reserve takes a place at another group and a retry, if there are both; the lock is
// held.
func (s *stream) reserve(now time.Time, work scheduler.Call) bool {
	retries := s.window(now, s.service.Name)
	if retries.Available(now) < 1 {
		return false
	}
	group, ok := s.scheduler.TryPlace(now, work)
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
func (s *stream) giveBack() {
	d, ok := s.takeReserved()
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.scheduler.PrefillDone(s.call.Model, d.Group, s.call.PromptTokens)
	s.deliver(s.scheduler.Finished(time.Now(), s.call.Model, d.Group, 0, false))
}
