package suspector

import (
	"fmt"
	"testing"
	"time"

	"github.com/garnetworks/garnetworks"
)

const ms = time.Millisecond

var start = time.Unix(1000, 0)

// play lets a call at the group get events with the gaps, the first one after the first of them,
// and returns the time of the last event and the number of suspicions that the gaps caused.
func play(s *Suspector, now time.Time, id garnetworks.GroupID, pause time.Duration, gaps ...time.Duration) (last time.Time, suspected int) {
	s.Started(now, "m", id)
	for i, gap := range gaps {
		if asked := now.Add(gap - 1); s.Check(asked, id, gap-1, pause).Ask {
			suspected++
			s.Answered(asked, id, asked, garnetworks.VerdictHealthy)
		}
		now = now.Add(gap)
		s.Event(now, id, i == 0, gap)
	}
	return now, suspected
}

// repeat returns n gaps that alternate between the values.
func repeat(n int, values ...time.Duration) []time.Duration {
	gaps := make([]time.Duration, n)
	for i := range gaps {
		gaps[i] = values[i%len(values)]
	}
	return gaps
}

// Guards against thresholds that are late for the caller's pause, or that usual gaps reach.
func TestThresholdFollowsGapsAndPause(t *testing.T) {
	cases := map[string]struct {
		gaps         []time.Duration
		pause        time.Duration
		atLeast, max time.Duration
	}{
		"short passes":           {repeat(60, 40*ms, 45*ms), 200 * ms, 90 * ms, 100 * ms},
		"short passes, 300 ms":   {repeat(60, 40*ms, 45*ms), 300 * ms, 135 * ms, 140 * ms},
		"full batch":             {repeat(60, 95*ms, 105*ms), 300 * ms, 160 * ms, 185 * ms},
		"passes with prompts":    {repeat(60, 60*ms, 150*ms), 300 * ms, 200 * ms, 270 * ms},
		"lost packets":           {repeat(100, append(repeat(24, 45*ms), 245*ms)...), 200 * ms, 90 * ms, 120 * ms},
		"very slow":              {repeat(60, 280*ms), 300 * ms, MaxThreshold, MaxThreshold},
		"no pause is stated":     {repeat(60, 40*ms), 0, MaxThreshold / 2, MaxThreshold / 2},
		"nothing known":          {repeat(3, 40*ms), 200 * ms, MaxThreshold, MaxThreshold},
		"two calls in each pass": {repeat(60, 40*ms, 1*ms), 200 * ms, 90 * ms, 100 * ms},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var s Suspector
			now, _ := play(&s, start, "g", c.pause, c.gaps...)
			s.groups["g"].refuted = 0
			if got := s.Threshold(now, "g", c.pause); got < c.atLeast || got > c.max {
				t.Errorf("threshold is %s, want %s to %s", got, c.atLeast, c.max)
			}
		})
	}
}

// Guards against calls that wait for a long prefill and are suspected like those between events.
func TestFirstEventHasItsOwnThreshold(t *testing.T) {
	var s Suspector
	now := start
	for range 12 {
		now, _ = play(&s, now, "g", 300*ms, append([]time.Duration{150 * ms}, repeat(10, 50*ms)...)...)
		s.Ended(now, "g", true)
	}
	s.Started(now, "m", "g")
	if got := s.Threshold(now, "g", 300*ms); got < 200*ms {
		t.Errorf("threshold before a first event is %s", got)
	}
	s.Event(now.Add(150*ms), "g", true, 150*ms)
	if got := s.Threshold(now, "g", 300*ms); got > 150*ms {
		t.Errorf("threshold between events is %s", got)
	}
}

// Guards against a new group that is judged by the fixed time although its model's gaps are known.
func TestNewGroupIsJudgedByItsModel(t *testing.T) {
	var s Suspector
	now, _ := play(&s, start, "old", 200*ms, repeat(30, 40*ms)...)
	now, _ = play(&s, now, "new", 200*ms, 80*ms)
	if got := s.Threshold(now, "new", 200*ms); got > 100*ms {
		t.Errorf("threshold of the new group is %s", got)
	}
}

// Guards against endless probes of a healthy group that is slow or behind a lossy link.
func TestRefutedSuspicionsBackOff(t *testing.T) {
	var s Suspector
	now, _ := play(&s, start, "g", 200*ms, repeat(30, 40*ms)...)
	ask := func() bool {
		silent := now.Add(150 * ms)
		asked := s.Check(silent, "g", 150*ms, 200*ms).Ask
		if asked {
			s.Answered(silent, "g", silent, garnetworks.VerdictHealthy)
		}
		now = now.Add(160 * ms)
		s.Event(now, "g", false, 0)
		return asked
	}
	asked := 0
	for range 40 { // within 7 s
		if ask() {
			asked++
		}
	}
	if asked > 3 {
		t.Errorf("%d questions for 40 pauses of a healthy group", asked)
	}
	for range 200 {
		now = now.Add(40 * ms)
		s.Event(now, "g", false, 0)
	}
	now = now.Add(time.Minute)
	s.Event(now, "g", false, 0)
	if got := s.Threshold(now, "g", 200*ms); got > 120*ms {
		t.Errorf("the threshold remains at %s after a minute without refuted suspicions", got)
	}
}

// Guards against more than one question in a silence, and against verdicts that an event refutes.
func TestOneQuestionForEachSilence(t *testing.T) {
	cases := map[string]struct {
		verdict garnetworks.Verdict
		event   bool
		asked   int
		current bool
	}{
		"healthy":               {verdict: garnetworks.VerdictHealthy, asked: 1, current: true},
		"lost":                  {verdict: garnetworks.VerdictLost, asked: 1, current: true},
		"unknown":               {verdict: garnetworks.VerdictUnknown, asked: maxQuestions, current: true},
		"event before the lost": {verdict: garnetworks.VerdictLost, event: true, asked: 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var s Suspector
			last, _ := play(&s, start, "g", 200*ms, repeat(30, 40*ms)...)
			asked := 0
			for now := last; now.Before(last.Add(time.Second)); now = now.Add(10 * ms) {
				if !s.Check(now, "g", now.Sub(last), 200*ms).Ask {
					continue
				}
				asked++
				answered := now.Add(9 * ms)
				if c.event {
					s.Event(answered, "g", false, 0)
					last = answered
				}
				if got := s.Answered(answered, "g", now, c.verdict); got != c.current {
					t.Errorf("the verdict is current: %t, want %t", got, c.current)
				}
				if c.event {
					break
				}
			}
			if asked != c.asked {
				t.Errorf("%d questions, want %d", asked, c.asked)
			}
		})
	}
}

// Guards against memory that grows with groups that come and go.
func TestStateIsBounded(t *testing.T) {
	var s Suspector
	for i := range maxGroups + 10 {
		id := garnetworks.GroupID(fmt.Sprint(i))
		s.Started(start, "m", id)
		s.Event(start, id, true, ms)
		s.Ended(start, id, true)
	}
	if len(s.groups) != maxGroups {
		t.Errorf("%d groups are held", len(s.groups))
	}
	s.Retain(start.Add(retention + 1))
	if len(s.groups) != 0 || len(s.models) != 0 {
		t.Errorf("%d groups and %d models are held after the retention", len(s.groups), len(s.models))
	}
}
