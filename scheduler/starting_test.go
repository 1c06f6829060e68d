package scheduler_test

import (
	"testing"
	"time"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/scheduler"
)

// observer returns a node that has observed first events after 40 ms, and a window of 13 calls at
// group g.
func observer(at time.Time) *scheduler.Scheduler {
	s := scheduler.New("z", fixedRandom)
	s.SetPeerLoad(at, peerLoad(88, 0, 40), true)
	s.SetGroups(at, groups(30, "g"))
	for range 100 {
		s.FirstEvent(at, "m", "g", 40*time.Millisecond, 400*time.Millisecond)
	}
	for s.Observations(at).Models[0].Windows[0].Calls > 14 {
		at = at.Add(time.Second)
		s.Full(at, "m", "g")
	}
	return s
}

// waitsFor returns how long a call waits for a slot of full groups before it is rejected.
func waitsFor(t *testing.T, s *scheduler.Scheduler, now time.Time) time.Duration {
	if d, decided := s.Arrive(now, urgentCall("a", now)); decided {
		t.Fatalf("got %+v, want the call to wait", d)
	}
	const step = 10 * time.Millisecond
	waited := time.Duration(0)
	for len(s.Advance(now.Add(waited))) == 0 {
		waited += step
	}
	return waited
}

// Guards against a started node that assumes slow first events and whole windows, or uses old observations.
func TestStartingNodeUsesAPeersObservations(t *testing.T) {
	tests := map[string]struct {
		age, own time.Duration
		taken    int
		waits    time.Duration
		placed   int
	}{
		// Calls with an objective of 250 ms wait for that less 20 ms and the first event time.
		"recent":               {time.Second, 0, 1, 190 * time.Millisecond, 13},
		"old":                  {time.Minute, 0, 0, 80 * time.Millisecond, 34},
		"the node has its own": {time.Second, 250 * time.Millisecond, 0, 70 * time.Millisecond, 34},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			now := start.Add(test.age)
			observations := observer(start).Observations(now)
			s := scheduler.New("z", fixedRandom)
			s.SetGroups(now, groups(30, "g"))
			if test.own > 0 {
				s.FirstEvent(now, "m", "g", test.own, time.Second)
			}
			if taken := s.TakeOver(observations); taken != test.taken {
				t.Errorf("observations of %d models are used, want %d", taken, test.taken)
			}
			s.SetPeerLoad(now, peerLoad(0, 40, 0, "g"), true)
			if waited := waitsFor(t, s, now); waited != test.waits {
				t.Errorf("a call waits for %s, want %s", waited, test.waits)
			}
			s.SetPeerLoad(now, garnetworks.LoadReport{}, true)
			if placed := fill(s); placed != test.placed {
				t.Errorf("%d calls are placed at the group, want %d", placed, test.placed)
			}
		})
	}
}
