package scheduler_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/scheduler"
)

// threeZones are two groups in each of three zones.
func threeZones() (list []scheduler.Group) {
	for _, zone := range []garnetworks.ZoneID{"z", "far", "other"} {
		for i := range 2 {
			list = append(list, scheduler.Group{ID: garnetworks.GroupID(fmt.Sprint(zone, i)), Model: "m", Zone: zone, Slots: 20})
		}
	}
	return list
}

// toFar counts the calls of many that go to the far zone, at one moment; all end at once.
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

// Story: a zone is cut off for six seconds, and for four of them its groups are listed. A
// third of a node's calls went there, and each waited for a connection in vain before it
// was sent elsewhere, late (895 of 18,000 calls of a day, 740 of them in the cut). After
// two groups that give no sign of life the zone gets one call at a time, and its calls
// again once anything is heard from it.
func TestUnreachableZoneGetsOnlyProbes(t *testing.T) {
	s := scheduler.New("z", rand.New(rand.NewPCG(1, 1)).Float64)
	s.SetGroups(start, threeZones())
	s.SetPeerLoad(start, garnetworks.LoadReport{}, true)
	now := start
	s.Unreachable(now, "m", "far0")
	now = now.Add(100 * time.Millisecond)
	s.Unreachable(now, "m", "far1")
	if n := callsToFarZone(s, now); n != 0 {
		t.Errorf("%d calls go to a zone that was just found cut off", n)
	}
	tried := 0
	for range 40 {
		now = now.Add(100 * time.Millisecond)
		n := callsToFarZone(s, now)
		if n > 1 {
			t.Fatalf("%d calls try the way at once", n)
		}
		if n == 1 {
			tried++
			s.Unreachable(now.Add(50*time.Millisecond), "m", "far0")
		}
	}
	if tried == 0 || tried > 3 {
		t.Errorf("the way was tried %d times in four seconds, want 1 to 3", tried)
	}
	s.EventReceived(now, "m", "far1")
	if n := callsToFarZone(s, now); n < 2 {
		t.Errorf("%d calls go to a zone that was heard again", n)
	}
}

// Story: one group is lost, or two are while a third of their zone gives events, or nothing
// is heard from any zone. None of these is a zone that is cut off from the node.
func TestLostGroupsDoNotMakeZoneUnreachable(t *testing.T) {
	cases := map[string]func(s *scheduler.Scheduler, now time.Time){
		"one group": func(s *scheduler.Scheduler, now time.Time) {
			s.Unreachable(now, "m", "far0")
			s.Unreachable(now, "m", "far0")
		},
		"an event between": func(s *scheduler.Scheduler, now time.Time) {
			s.Unreachable(now, "m", "far0")
			s.EventReceived(now, "m", "far1")
			s.Unreachable(now, "m", "far1")
		},
		"long ago": func(s *scheduler.Scheduler, now time.Time) {
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

// Story: both instances of a group go dark at once. Nobody is left to change the list, and
// for four seconds each of 88 nodes sent the group calls of its own until one found it
// (some 40 calls a group, half of them late). What the holder of the lease has found counts
// at all nodes at once; where the group still gives events, or nobody says so any more, it
// does not.
func TestGroupReportedLostGetsNoCalls(t *testing.T) {
	lost := garnetworks.LoadReport{Lost: []garnetworks.GroupID{"far0", "far1"}}
	now := start.Add(time.Second)
	cases := map[string]struct {
		setUp func(s *scheduler.Scheduler)
		want  bool
	}{
		"told": {func(s *scheduler.Scheduler) { s.SetPeerLoad(now, lost, true) }, false},
		"told no more": {func(s *scheduler.Scheduler) {
			s.SetPeerLoad(now, lost, true)
			s.SetPeerLoad(now, garnetworks.LoadReport{}, true)
		}, true},
		"nothing is known": {func(s *scheduler.Scheduler) {
			s.SetPeerLoad(now, lost, true)
			s.SetPeerLoad(now, garnetworks.LoadReport{}, false)
		}, true},
		"it gives events": {func(s *scheduler.Scheduler) { s.SetPeerLoad(now, lost, true); s.EventReceived(now, "m", "far1") }, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := scheduler.New("z", rand.New(rand.NewPCG(1, 1)).Float64)
			s.SetGroups(start, threeZones())
			s.SetPeerLoad(start, garnetworks.LoadReport{}, true)
			c.setUp(s)
			if got := callsToFarZone(s, now) > 0; got != c.want {
				t.Errorf("calls are sent there: %t", got)
			}
		})
	}
}
