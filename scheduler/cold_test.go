package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/limiter"
	"github.com/garnetworks/garnetworks/scheduler"
)

const (
	coldTime = 3 * time.Second
	coldName = "cold"
)

// coldGroups returns warm groups and one that is cold for coldTime.
func coldGroups(interval time.Duration, warm ...garnetworks.GroupID) []scheduler.Group {
	const slots = 20
	list := groups(slots, append(warm, coldName)...)
	list[len(list)-1].Limit = limiter.Limit{Until: start.Add(coldTime), Interval: interval}
	return list
}

// Guards against the full load of a node at a cold group while the others have no free slot.
func TestColdGroupGetsNoMoreThanItsLimit(t *testing.T) {
	const tick = 20 * time.Millisecond
	cases := map[string]struct {
		interval time.Duration
		want     int
	}{
		"none": {0, 0}, "one a second": {time.Second, 3},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := scheduler.New("z", fixedRandom)
			s.SetGroups(start, coldGroups(c.interval, "warm"))
			fill(s)
			placed := s.Calls("m", coldName)
			for at := tick; at < coldTime; at += tick {
				before := s.Calls("m", coldName)
				call := newCall(fmt.Sprint(at))
				call.Arrived = start.Add(at)
				s.Arrive(start.Add(at), call)
				s.Advance(start.Add(at))
				placed += s.Calls("m", coldName) - before
			}
			if placed != c.want {
				t.Errorf("the cold group got %d calls, want %d", placed, c.want)
			}
		})
	}
}

// Guards against calls that wait for their objective although all groups stay cold for longer.
func TestOnlyColdGroupsRejectAtOnce(t *testing.T) {
	s := scheduler.New("z", fixedRandom)
	s.SetGroups(start, coldGroups(0))
	d, decided := s.Arrive(start, newCall("a"))
	if !decided || d.Kind != garnetworks.KindNoGroup {
		t.Fatalf("got %+v, decided is %t", d, decided)
	}
	soon := start.Add(coldTime - 200*time.Millisecond)
	late := newCall("b")
	late.Arrived = soon
	if d, decided := s.Arrive(soon, late); decided {
		t.Errorf("a call that can wait until the group is warm got %+v", d)
	}
	if got := s.Advance(start.Add(coldTime)); len(got) != 1 || got[0].Group != coldName {
		t.Errorf("once the group is warm: %+v", got)
	}
	s.Finished(start.Add(coldTime), "m", coldName, 0, false)
	early := newCall("c")
	early.Arrived = start.Add(coldTime - 300*time.Millisecond)
	early.Objective = 100 * time.Millisecond
	if d, _ := s.Arrive(early.Arrived, early); d.RetryAfter > 300*time.Millisecond {
		t.Errorf("the client comes back after %s, the group is warm sooner", d.RetryAfter)
	}
}

// Guards against nodes that count the slots of a cold group as free: each would take a share of
// them, and its calls would wait for slots that it may not use.
func TestSlotsOfAColdGroupAreNotFree(t *testing.T) {
	s := scheduler.New("z", fixedRandom)
	s.SetGroups(start, coldGroups(0, "warm"))
	s.SetPeerLoad(start, garnetworks.LoadReport{Nodes: 1, Groups: []garnetworks.GroupLoad{{Group: "warm", Running: 23}}, Demands: []garnetworks.ModelDemand{{Model: "m", CallsPerSecond: 100}}}, true)
	d, decided := s.Arrive(start, newCall("a"))
	if decided && d.Group != "" {
		t.Errorf("placed at %s", d.Group)
	}
}
