package measurer_test

import (
	"testing"
	"time"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/measurer"
	"github.com/garnetworks/garnetworks/placer"
)

var epoch = time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)

func snapshot() measurer.Snapshot {
	instance := func(id garnetworks.InstanceID, class string, power garnetworks.PowerState) garnetworks.Instance {
		return garnetworks.Instance{ID: id, Class: class, Watts: 10, Power: power}
	}
	group := func(id garnetworks.GroupID, model garnetworks.ModelName, state garnetworks.GroupState, members ...garnetworks.InstanceID) garnetworks.Group {
		return garnetworks.Group{ID: id, Model: model, State: state, Members: members}
	}
	return measurer.Snapshot{
		At: epoch, Limit: 100,
		Classes: []garnetworks.InstanceClass{{Name: "engine", Accelerators: 8}, {Name: "plain"}},
		Wanted:  []placer.ModelGroups{{Model: "b", Groups: 2}, {Model: "a", Groups: 1}},
		Domains: []garnetworks.FabricDomain{{
			Instances: []garnetworks.Instance{
				instance("i0", "engine", garnetworks.PowerOn),
				instance("i1", "engine", garnetworks.PowerOn),
				instance("i2", "engine", garnetworks.PowerOn),
				instance("i3", "engine", garnetworks.PowerUnknown),
				instance("i4", "engine", garnetworks.PowerOff),
				instance("p0", "plain", garnetworks.PowerOn),
			},
			Groups: []garnetworks.Group{
				group("g0", "a", garnetworks.GroupServing, "i0"),
				group("g1", "a", garnetworks.GroupServing, "i1"),
				group("g2", "b", garnetworks.GroupDraining, "i2"),
			},
		}},
		Confirmed: func(garnetworks.GroupID) bool { return true },
	}
}

func TestObserve(t *testing.T) {
	cases := map[string]struct {
		change   func(s *measurer.Snapshot)
		down     int
		stranded int
	}{
		// A surplus group of model a does not offset a missing one of b.
		"surplus of another model": {func(*measurer.Snapshot) {}, 2, 2},
		"unconfirmed group": {func(s *measurer.Snapshot) {
			s.Confirmed = func(id garnetworks.GroupID) bool { return id != "g0" }
		}, 2, 3},
		"no group confirmed": {func(s *measurer.Snapshot) {
			s.Confirmed = func(garnetworks.GroupID) bool { return false }
		}, 3, 4},
		"unknown power is off": {func(s *measurer.Snapshot) { s.Domains[0].Instances[3].Power = garnetworks.PowerOff }, 2, 1},
		"nothing wanted":       {func(s *measurer.Snapshot) { s.Wanted = nil }, 0, 2},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := snapshot()
			c.change(&s)
			o := measurer.Observe(s)
			if o.GroupsDown() != c.down || o.Stranded != c.stranded {
				t.Errorf("%d groups down, %d stranded, want %d and %d", o.GroupsDown(), o.Stranded, c.down, c.stranded)
			}
		})
	}
}

// Guards against time that is lost or subtracted when the process pauses or its clock steps
// back; the time beyond MaxGap is reported as unobserved.
func TestAccountHandlesPausesAndClockSteps(t *testing.T) {
	var a measurer.Account
	s := snapshot()
	a.Add(measurer.Observe(s))
	s.At = epoch.Add(time.Minute)
	a.Add(measurer.Observe(s))
	s.At = epoch.Add(30 * time.Second)
	a.Add(measurer.Observe(s))
	a.CountUntil(epoch.Add(70 * time.Second))
	m := a.Metrics()
	if want := 2 * 70 * time.Second; m.GroupDowntime != want || m.Stranded != want {
		t.Errorf("downtime %v, stranded %v, want %v for both", m.GroupDowntime, m.Stranded, want)
	}
	if want := time.Minute - measurer.MaxGap; a.Unobserved() != want {
		t.Errorf("unobserved for %v, want %v", a.Unobserved(), want)
	}
	if by := a.DowntimeByModel(); len(by) != 1 || by[0].Model != "b" {
		t.Errorf("downtime by model is %v, want b alone", by)
	}
	if sum := measurer.Sum([]garnetworks.ZoneMetrics{m, m}); sum.Stranded != 2*m.Stranded || sum.Drawn != 100 {
		t.Errorf("sum of two zones is %+v", sum)
	}
}
