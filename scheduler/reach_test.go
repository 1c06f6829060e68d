package scheduler_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/limiter"
	"github.com/garnetworks/garnetworks/scheduler"
)

// threeZones returns two groups in each of three zones.
func threeZones() (list []scheduler.Group) {
	for _, zone := range []garnetworks.ZoneID{"z", "far", "other"} {
		for i := range 2 {
			list = append(list, scheduler.Group{ID: garnetworks.GroupID(fmt.Sprint(zone, i)), Model: "m", Zone: zone, Slots: 20})
		}
	}
	return list
}

// callsToFarZone places calls at one moment, ends them, and returns how many went to zone far.
func callsToFarZone(s *scheduler.Scheduler, now time.Time) (n int) {
	const calls = 30
	for i := range calls {
		call := newCall(fmt.Sprint(now.UnixNano(), i))
		call.Arrived = now
		d, _ := s.Arrive(now, call)
		if d.Group == "far0" || d.Group == "far1" {
			n++
		}
		defer s.Finished(now, "m", d.Group, 0, true)
	}
	return n
}

// Guards against calls that wait in vain for connections to a partitioned zone whose groups are
// still listed: it gets single probes, and normal traffic after the next event.
func TestUnreachableZoneGetsOnlyProbes(t *testing.T) {
	s := scheduler.New("z", rand.New(rand.NewPCG(1, 1)).Float64)
	s.SetGroups(start, threeZones())
	s.SetPeerLoad(start, garnetworks.LoadReport{}, true)
	now := start
	s.Unreachable(now, "m", "far0")
	now = now.Add(100 * time.Millisecond)
	s.Unreachable(now, "m", "far1")
	if n := callsToFarZone(s, now); n != 0 {
		t.Errorf("%d calls go to a zone that was just found unreachable", n)
	}
	tried := 0
	for range 40 {
		now = now.Add(100 * time.Millisecond)
		n := callsToFarZone(s, now)
		if n > 1 {
			t.Fatalf("%d calls probe the zone at once", n)
		}
		if n == 1 {
			tried++
			s.Unreachable(now.Add(50*time.Millisecond), "m", "far0")
		}
	}
	if tried == 0 || tried > 3 {
		t.Errorf("the zone was probed %d times in four seconds, want 1 to 3", tried)
	}
	s.EventReceived(now, "m", "far1")
	if n := callsToFarZone(s, now); n < 2 {
		t.Errorf("%d calls go to a zone that is reachable again, want at least 2", n)
	}
}

// Guards against treating lost groups, or a partition of the node itself, as an unreachable
// zone.
func TestLostGroupsDoNotMakeZoneUnreachable(t *testing.T) {
	cases := map[string]func(s *scheduler.Scheduler, now time.Time){
		"one group": func(s *scheduler.Scheduler, now time.Time) {
			s.Unreachable(now, "m", "far0")
			s.Unreachable(now, "m", "far0")
		},
		"event in between": func(s *scheduler.Scheduler, now time.Time) {
			s.Unreachable(now, "m", "far0")
			s.EventReceived(now, "m", "far1")
			s.Unreachable(now, "m", "far1")
		},
		"outside the window": func(s *scheduler.Scheduler, now time.Time) {
			s.Unreachable(now.Add(-time.Minute), "m", "far0")
			s.Unreachable(now, "m", "far1")
		},
		"all zones": func(s *scheduler.Scheduler, now time.Time) {
			for _, g := range threeZones() {
				s.Unreachable(now, "m", g.ID)
			}
		},
	}
	for name, setUp := range cases {
		t.Run(name, func(t *testing.T) {
			s := scheduler.New("z", rand.New(rand.NewPCG(1, 1)).Float64)
			s.SetGroups(start, threeZones())
			s.SetPeerLoad(start, garnetworks.LoadReport{}, true)
			setUp(s, start)
			if callsToFarZone(s, start) == 0 {
				t.Error("no call goes to the zone")
			}
		})
	}
}

// findLost records the verdict that the groups of the far zone are lost.
func findLost(s *scheduler.Scheduler, at time.Time) {
	for _, g := range []garnetworks.GroupID{"far0", "far1"} {
		s.FoundLost(at, "m", g)
	}
}

// Guards against each node discovering by its own calls that all instances of a group have
// failed: a report by the lease holder counts, unless the group still gives events.
func TestGroupReportedLostGetsNoCalls(t *testing.T) {
	lost := garnetworks.LoadReport{Lost: []garnetworks.GroupID{"far0", "far1"}}
	now := start.Add(time.Second)
	cases := map[string]struct {
		setUp func(s *scheduler.Scheduler)
		want  bool
	}{
		"reported lost": {func(s *scheduler.Scheduler) { s.SetPeerLoad(now, lost, true) }, false},
		"no longer reported": {func(s *scheduler.Scheduler) {
			s.SetPeerLoad(now, lost, true)
			s.SetPeerLoad(now, garnetworks.LoadReport{}, true)
		}, true},
		"peer load unknown": {func(s *scheduler.Scheduler) {
			s.SetPeerLoad(now, lost, true)
			s.SetPeerLoad(now, garnetworks.LoadReport{}, false)
		}, true},
		"recent event": {func(s *scheduler.Scheduler) { s.SetPeerLoad(now, lost, true); s.EventReceived(now, "m", "far1") }, true},
		"found lost after an event": {func(s *scheduler.Scheduler) {
			s.EventReceived(now.Add(-200*time.Millisecond), "m", "far1")
			findLost(s, now.Add(-time.Millisecond))
		}, false},
		"event after it was found lost": {func(s *scheduler.Scheduler) {
			findLost(s, now.Add(-time.Millisecond))
			s.EventReceived(now, "m", "far1")
		}, true},
		"found lost, but not reported": {func(s *scheduler.Scheduler) { findLost(s, now.Add(-time.Second)) }, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := scheduler.New("z", rand.New(rand.NewPCG(1, 1)).Float64)
			s.SetGroups(start, threeZones())
			s.SetPeerLoad(start, garnetworks.LoadReport{}, true)
			c.setUp(s)
			if got := callsToFarZone(s, now) > 0; got != c.want {
				t.Errorf("calls are sent to the group: %t", got)
			}
		})
	}
}

// Guards against rejections beside free groups of the only zone, of which a few did not respond.
func TestOnlyZoneKeepsItsAllowanceWhenGroupsFail(t *testing.T) {
	s := scheduler.New("z", fixedRandom)
	s.SetGroups(start, groups(20, "a", "b", "c", "d"))
	peers := garnetworks.LoadReport{}
	s.SetPeerLoad(start, peers, true)
	for _, id := range []garnetworks.GroupID{"a", "b"} {
		s.Stalled(start, "m", id)
		s.Unreachable(start, "m", id)
	}
	now := start.Add(150 * time.Millisecond)
	s.SetPeerLoad(now, peers, true)
	if d, decided := s.Arrive(now, newCall("healthy")); !decided || d.Group == "" {
		t.Errorf("the call was not placed: %t, %+v", decided, d)
	}
}

// Guards against rejecting calls as in excess of what groups can prefill where no group's rate counts.
func TestCallsWaitWhereNoRateIsKnown(t *testing.T) {
	cases := map[string]func(s *scheduler.Scheduler, id garnetworks.GroupID){
		"the only zone seems unreachable": func(s *scheduler.Scheduler, id garnetworks.GroupID) { s.Unreachable(start, "m", id) },
		"all groups are limited": func(s *scheduler.Scheduler, id garnetworks.GroupID) {
			s.SetLimit("m", id, limiter.Limit{Until: start.Add(time.Minute), Interval: 100 * time.Millisecond})
		},
	}
	for name, arrange := range cases {
		t.Run(name, func(t *testing.T) {
			s := scheduler.New("z", fixedRandom)
			ids := []garnetworks.GroupID{"a", "b", "c"}
			s.SetGroups(start, groups(1, ids...))
			s.SetPeerLoad(start, garnetworks.LoadReport{}, true)
			for _, id := range ids {
				arrange(s, id)
			}
			for i := range ids {
				if d, _ := s.Arrive(start, newCall(fmt.Sprint(i))); d.Group == "" {
					t.Fatalf("call %d was not placed: %+v", i, d)
				}
			}
			if d, decided := s.Arrive(start, newCall("next")); decided {
				t.Errorf("the next call does not wait: %+v", d)
			}
		})
	}
}
