package gateway

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/scheduler"
)

// holder answers the questions of a gateway after some time, in a test.
type holder struct {
	after time.Duration
	// verdict is empty if there is no answer.
	verdict garnetworks.Verdict
	asked   atomic.Int64
}

func (h *holder) ask(_ garnetworks.GroupID, _ time.Duration, answered func(garnetworks.Verdict)) {
	h.asked.Add(1)
	if h.verdict != "" {
		time.AfterFunc(h.after, func() { answered(h.verdict) })
	}
}

// pass is the time of a pass of a test's group.
const pass = 45 * time.Millisecond

// emit gives the call n events at the interval of passes.
func emit(wd *watchdog, n int) {
	for range n {
		time.Sleep(pass)
		wd.recordEvent()
	}
}

// silenceUntilMoved returns how long after its last event a call with a phase of its passes moved,
// or 0 if it did not move within a time in which today's time-outs end the attempt.
func silenceUntilMoved(t *testing.T, h *holder, pause, phase time.Duration) time.Duration {
	t.Helper()
	g, s := newWatchedStream(t)
	g.options.AskVerdict = h.ask
	s.route.MaxGap = pause
	ctx, cancel := context.WithCancelCause(t.Context())
	defer cancel(nil)
	wd := s.newWatchdog("a-grey", cancel)
	defer wd.stop()
	time.Sleep(phase)
	emit(wd, 12)
	last := time.Now()
	select {
	case <-ctx.Done():
		return time.Since(last)
	case <-time.After(stallTimeout + 2*moveRetryInterval):
		return 0
	}
}

// Guards against calls that stay at a lost group beyond the pause that their caller allows.
func TestCallLeavesLostGroupWithinPause(t *testing.T) {
	cases := map[string]struct {
		holder *holder
		pause  time.Duration
		min    time.Duration
		atMost time.Duration
	}{
		"lost, 200 ms":        {holder: &holder{after: 115 * time.Millisecond, verdict: garnetworks.VerdictLost}, pause: 200 * time.Millisecond, atMost: 250 * time.Millisecond},
		"lost, 300 ms":        {holder: &holder{after: 110 * time.Millisecond, verdict: garnetworks.VerdictLost}, pause: 300 * time.Millisecond, atMost: 250 * time.Millisecond},
		"lost, slow answer":   {holder: &holder{after: 150 * time.Millisecond, verdict: garnetworks.VerdictLost}, pause: 200 * time.Millisecond, atMost: 300 * time.Millisecond},
		"healthy":             {holder: &holder{after: 20 * time.Millisecond, verdict: garnetworks.VerdictHealthy}, pause: 200 * time.Millisecond, min: stallTimeout, atMost: stallTimeout},
		"unknown":             {holder: &holder{after: 20 * time.Millisecond, verdict: garnetworks.VerdictUnknown}, pause: 200 * time.Millisecond, min: stallTimeout, atMost: stallTimeout},
		"holder unreachable":  {holder: &holder{}, pause: 200 * time.Millisecond, min: stallTimeout, atMost: stallTimeout},
		"late answer is lost": {holder: &holder{after: 900 * time.Millisecond, verdict: garnetworks.VerdictLost}, pause: 200 * time.Millisecond, min: stallTimeout, atMost: stallTimeout},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var silences []time.Duration
			random := rand.New(rand.NewPCG(1, 1))
			for range 15 {
				synctest.Test(t, func(t *testing.T) {
					silences = append(silences, silenceUntilMoved(t, c.holder, c.pause, time.Duration(random.IntN(90))*time.Millisecond))
				})
			}
			slices.Sort(silences)
			t.Logf("median silence before the move: %s", silences[len(silences)/2])
			if got := silences[len(silences)/2]; got < max(c.min, 1) || got > c.atMost {
				t.Errorf("the median silence before the move is %s, want %s to %s", got, c.min, c.atMost)
			}
		})
	}
}

// Guards against calls that move from a healthy group that is slow, pauses or loses packets.
func TestCallsOfHealthyGroupsStay(t *testing.T) {
	cases := map[string][]time.Duration{
		"long prompt": {280 * time.Millisecond, pass, 290 * time.Millisecond, pass},
		"full batch":  slices.Repeat([]time.Duration{110 * time.Millisecond}, 20),
		// A lost packet is resent after 0.2 s.
		"lossy link":   slices.Repeat([]time.Duration{pass, pass, 200*time.Millisecond + pass, pass}, 8),
		"paused group": {pass, 500 * time.Millisecond, pass},
	}
	for name, pauses := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g, s := newWatchedStream(t)
				h := &holder{after: 20 * time.Millisecond, verdict: garnetworks.VerdictHealthy}
				g.options.AskVerdict = h.ask
				s.route.MaxGap = 200 * time.Millisecond
				ctx, cancel := context.WithCancelCause(t.Context())
				wd := s.newWatchdog("a-grey", cancel)
				defer wd.stop()
				emit(wd, 12)
				for _, pause := range pauses {
					time.Sleep(pause)
					wd.recordEvent()
				}
				if ctx.Err() != nil {
					t.Error("the call has moved")
				}
				if asked := h.asked.Load(); asked > 4 {
					t.Errorf("the holder was asked %d times", asked)
				}
			})
		})
	}
}

// Guards against a paused node that moves calls before it has read their events.
func TestCallsStayAfterAPauseOfTheNode(t *testing.T) {
	for name, event := range map[string]bool{"events arrived": true, "the group is lost": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g, s := newWatchedStream(t)
				ctx, cancel := context.WithCancelCause(t.Context())
				wd := s.newWatchdog("a-grey", cancel)
				defer wd.stop()
				emit(wd, 20)
				const pause = 700 * time.Millisecond
				g.mu.Lock()
				wd.due = wd.due.Add(-pause)
				g.lastGroupEvent["a-grey"] = time.Now().Add(-pause)
				g.mu.Unlock()
				wd.check()
				time.Sleep(readGrace / 2)
				if event {
					wd.recordEvent()
				}
				time.Sleep(readGrace)
				synctest.Wait()
				if moved := ctx.Err() != nil; moved == event {
					t.Errorf("the call has moved: %t", moved)
				}
			})
		})
	}
}

// Guards against a verdict that outweighs a later event, or moves only one of a group's calls.
func TestVerdictAppliesToAllCallsUntilTheNextEvent(t *testing.T) {
	cases := map[string]struct{ event, moves bool }{"no event": {moves: true}, "event before the verdict": {event: true}}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g, s := newWatchedStream(t)
				g.options.AskVerdict = (&holder{after: 100 * time.Millisecond, verdict: garnetworks.VerdictLost}).ask
				s.route.MaxGap = 200 * time.Millisecond
				ctx, cancel := context.WithCancelCause(t.Context())
				wd := s.newWatchdog("a-grey", cancel)
				defer wd.stop()
				emit(wd, 12)
				time.Sleep(150 * time.Millisecond) // the question is under way
				other := &stream{exchange: s.exchange}
				otherCtx, otherCancel := context.WithCancelCause(t.Context())
				otherWatchdog := other.newWatchdog("a-grey", otherCancel)
				defer otherWatchdog.stop()
				if c.event {
					wd.recordEvent()
				}
				time.Sleep(60 * time.Millisecond)
				synctest.Wait()
				if ctx.Err() != nil != c.moves || otherCtx.Err() != nil != c.moves {
					t.Errorf("the call has moved: %t, the other one: %t", ctx.Err() != nil, otherCtx.Err() != nil)
				}
				if d, ok := g.scheduler.Arrive(time.Now(), scheduler.Call{ID: "new", Model: "m", Arrived: time.Now(), Objective: time.Second}); !ok || d.Group == "a-grey" && c.moves {
					t.Errorf("a new call was placed at %+v", d)
				}
			})
		})
	}
}
