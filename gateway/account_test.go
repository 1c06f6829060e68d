package gateway

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/emitter"
	"github.com/garnetworks/garnetworks/meter"
	"github.com/garnetworks/garnetworks/scheduler"
)

// newLoggedStream returns a stream with the fields that its log line needs.
func newLoggedStream(t *testing.T) *stream {
	t.Helper()
	_, s := newWatchedStream(t)
	s.heads = map[garnetworks.GroupID]head{"a-grey": {incarnation: garnetworks.Incarnation{Instance: "i"}}, "b-well": {incarnation: garnetworks.Incarnation{Instance: "j"}}}
	s.route.MaxGap = 200 * time.Millisecond
	s.route.Name, s.route.Timeout = "r", 6*time.Second
	s.call.ID, s.call.PromptTokens, s.call.EstimatedTokens = "c", 1400, 90
	s.deadline = s.call.Received.Add(s.route.Timeout)
	return s
}

// logFields returns the fields of the call's log line by name.
func logFields(x *exchange, status int, err error) map[string]any {
	list := x.fields(status, garnetworks.OutcomeCompleted, err, 0)
	fields := make(map[string]any)
	for i := 0; i < len(list); i += 2 {
		fields[list[i].(string)] = list[i+1]
	}
	return fields
}

// giveEvents lets the current attempt receive events, each after a pause.
func (s *stream) giveEvents(pauses ...time.Duration) {
	for _, p := range pauses {
		time.Sleep(p)
		s.current.recordEvent(time.Now())
		s.recordEvent(s.call.Received, time.Now())
	}
}

// Guards against a line that does not show why a call was late: no slot, a slow first event,
// a pause or a lost group.
func TestLogLineExplainsLateCall(t *testing.T) {
	const step = 50 * time.Millisecond
	cases := map[string]struct {
		run    func(*stream)
		absent []string
		want   map[string]any
	}{
		"on time": {
			run: func(s *stream) {
				s.beginAttempt("a-grey")
				s.giveEvents(step, step, step)
				s.recordAttempt("a-grey", "i", s.current.started, nil)
			},
			absent: []string{"waited-ms", "objective-ms", "pause-ms"},
			want:   map[string]any{"prompt": 1400, "answer": 90, "first-ms": int64(50)},
		},
		"waited for a slot": {
			run: func(s *stream) {
				s.waited = 380 * time.Millisecond
				time.Sleep(s.waited)
				s.beginAttempt("a-grey")
				s.giveEvents(step)
				s.current.describe(s.recordAttempt("a-grey", "i", s.current.started, nil), 1, false)
			},
			want: map[string]any{
				"waited-ms": int64(380), "first-ms": int64(430), "objective-ms": int64(400),
				"max-pause-ms": int64(200), "timeout-ms": int64(6000), "priority": 0,
			},
		},
		"paused": {
			run: func(s *stream) {
				s.beginAttempt("a-grey")
				s.giveEvents(step, 300*time.Millisecond, step)
				s.current.describe(s.recordAttempt("a-grey", "i", s.current.started, nil), 3, false)
			},
			want: map[string]any{"pause-ms": int64(300), "waited-ms": int64(0)},
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newLoggedStream(t)
				s.options.Meter = meter.New()
				c.run(s)
				fields := logFields(s.exchange, 200, nil)
				for _, field := range c.absent {
					if _, ok := fields[field]; ok {
						t.Errorf("%s is logged for a call that was on time", field)
					}
				}
				for field, want := range c.want {
					if fields[field] != want {
						t.Errorf("%s is %v, not %v", field, fields[field], want)
					}
				}
			})
		})
	}
}

// Guards against a line without the steps of a move: detection of the loss, placement and
// second prefill.
func TestLogLineListsAttemptsOfMovedCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newLoggedStream(t)
		s.options.Meter = meter.New()
		s.beginAttempt("a-grey")
		s.giveEvents(100*time.Millisecond, 40*time.Millisecond)
		time.Sleep(550 * time.Millisecond)
		failure := &garnetworks.AttemptError{Phase: garnetworks.PhaseWait, Cause: errStalled}
		s.current.describe(s.recordAttempt("a-grey", "i", s.current.started, failure), 2, true)
		s.releaseSlot("a-grey")

		s.reserved = "b-well"
		d, ok := s.place()
		if !ok || d.Group != "b-well" {
			t.Fatalf("the call was placed at %+v", d)
		}
		s.current = s.newAttemptState(30 * time.Millisecond)
		s.beginAttempt("b-well")
		s.giveEvents(160*time.Millisecond, 40*time.Millisecond)
		s.current.describe(s.recordAttempt("b-well", "j", s.current.started, nil), 2, false)

		fields := logFields(s.exchange, 200, nil)
		if fields["pause-ms"] != int64(710) {
			t.Errorf("the client saw a pause of %v ms", fields["pause-ms"])
		}
		logged := fields["attempts"].([]emitter.Attempt)
		lost, next := logged[0], logged[1]
		if lost.SilentMS != 550 || lost.PauseMS != 40 || lost.FirstMS != 100 || lost.Phase != garnetworks.PhaseWait {
			t.Errorf("the lost attempt is logged as %+v", lost)
		}
		if next.Why != emitter.AttemptMoved || next.PlacedMS != 30 || next.FirstMS != 160 || next.Phase != garnetworks.PhaseDone {
			t.Errorf("the next attempt is logged as %+v", next)
		}
	})
}

// Guards against late first events without the group's earlier load in the line: its calls
// and pending prompt tokens.
func TestLogLineShowsGroupLoadBeforeCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newLoggedStream(t)
		s.call.PromptTokens = 0 // it was placed before its prompt length was known
		before := &stream{exchange: &exchange{Gateway: s.Gateway, call: &garnetworks.ProxiedCall{Model: "m", PromptTokens: 5900}, route: s.route, service: s.service}}
		if _, decided := s.scheduler.Arrive(time.Now(), scheduler.Call{ID: "other", Model: "m", PromptTokens: 5900, Arrived: time.Now(), Objective: time.Second, Tried: []garnetworks.GroupID{"b-well"}}); !decided {
			t.Fatal("the other call was not placed")
		}
		before.beginAttempt("a-grey")
		s.beginAttempt("a-grey")
		if s.current.groupCalls != 1 || s.current.pendingPrefill != 5900 {
			t.Errorf("the group had %d calls and %d prompt tokens before the call", s.current.groupCalls, s.current.pendingPrefill)
		}
		before.current.recordEvent(time.Now().Add(time.Millisecond))
		before.scheduler.PrefillDone("m", "a-grey", 5900)
		before.releaseSlot("a-grey")
		s.releaseSlot("a-grey")
		if left := s.scheduler.PendingPrefill("m", "a-grey"); left != 0 {
			t.Errorf("%d prompt tokens are still counted", left)
		}
	})
}

// Guards against log volume from a cause that is in both the call's error and its attempt.
func TestErrorOmitsCauseOfLastAttempt(t *testing.T) {
	x := &exchange{}
	failure := &garnetworks.AttemptError{Phase: garnetworks.PhaseWait, Cause: errors.New("i/o timeout")}
	err := garnetworks.WrapError(garnetworks.KindBackendLost, failure, "the call got no answer")
	if x.errorText(err) != err.Error() {
		t.Errorf("without an attempt the error is %q", x.errorText(err))
	}
	x.attemptLog = []emitter.Attempt{{Cause: failure.Error()}}
	if got := x.errorText(err); got != "backend-lost: the call got no answer" {
		t.Errorf("the error is %q", got)
	}
}

// Guards against a line that does not show that the node was frozen when a call was late.
func TestStallOfTheNodeIsCounted(t *testing.T) {
	var s stalls
	s.tick(25*time.Millisecond, advanceInterval)
	s.tick(90*time.Millisecond, advanceInterval)
	if s.total() != 0 {
		t.Errorf("slightly late ticks count as a stall of %s", s.total())
	}
	s.tick(2*time.Second+advanceInterval, advanceInterval)
	if s.total() != 2*time.Second {
		t.Errorf("a stall of two seconds counts as %s", s.total())
	}
}
