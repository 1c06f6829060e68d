package drainer

import (
	"flag"
	"os"
	"testing"
	"time"

	"github.com/garnetworks/garnetworks"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

var start = time.Unix(1000, 0)

func at(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }

func listed(state garnetworks.ListedState) []garnetworks.ListedInstance {
	return []garnetworks.ListedInstance{{ID: "e1", Zone: "z1", State: state}}
}

func engineStatus(incarnation uint64, leaving bool) *garnetworks.EngineStatus {
	return &garnetworks.EngineStatus{Instance: "e1", Incarnation: incarnation, Leaving: leaving}
}

func zoneView(state garnetworks.GroupState, leaving bool) *garnetworks.ZoneView {
	return &garnetworks.ZoneView{
		Zone:    "z1",
		Groups:  []garnetworks.GroupView{{ID: "g1", State: state, Members: []garnetworks.InstanceID{"e0", "e1"}}},
		Servers: []garnetworks.ServerView{{Instance: "e1", Leaving: leaving}},
	}
}

func version(n uint64) garnetworks.UpdateVersion { return garnetworks.UpdateVersion{Sequence: n} }

// A source that lags behind another must not send work to a leaving server. Each case is a
// sequence of reports, with the source that must hold at its end.
func TestSourceOrder(t *testing.T) {
	tests := map[string]struct {
		run  func(d *Drainer)
		want Source
	}{
		"no source says leaving": {func(d *Drainer) { d.ObserveList(at(0), listed("live")) }, SourceNone},
		"the list alone":         {func(d *Drainer) { d.ObserveList(at(0), listed("leaving")) }, SourceList},
		"a stale list does not clear the server's own report": {func(d *Drainer) {
			d.ObserveStatus(at(0), engineStatus(3, true))
			for i := range 100 {
				d.ObserveList(at(i), listed("live"))
			}
		}, SourceSelf},
		"a late answer of the same incarnation does not clear it": {func(d *Drainer) {
			d.ObserveStatus(at(0), engineStatus(3, true))
			d.ObserveStatus(at(1), engineStatus(3, false))
			d.ObserveStatus(at(2), engineStatus(2, false))
		}, SourceSelf},
		"a new incarnation clears the report": {func(d *Drainer) {
			d.ObserveStatus(at(0), engineStatus(3, true))
			d.ObserveStatus(at(1), engineStatus(4, false))
		}, SourceNone},
		"the old incarnation's report comes after the new one's": {func(d *Drainer) {
			d.ObserveStatus(at(0), engineStatus(4, false))
			d.ObserveStatus(at(1), engineStatus(3, true))
		}, SourceNone},
		"one lagging replica of the list says live": {func(d *Drainer) {
			d.ObserveList(at(0), listed("leaving"))
			d.ObserveList(at(1), listed("live"))
		}, SourceList},
		"replicas of the list disagree for long": {func(d *Drainer) {
			for i := range 100 {
				d.ObserveList(at(2*i), listed("live"))
				d.ObserveList(at(2*i+1), listed("leaving"))
			}
			d.ObserveList(at(200), listed("live"))
		}, SourceList},
		"the list settles on live": {func(d *Drainer) {
			d.ObserveList(at(0), listed("leaving"))
			d.ObserveList(at(1), listed("live"))
			d.ObserveList(at(31), listed("live"))
		}, SourceNone},
		"the server restarted and the list says live": {func(d *Drainer) {
			d.ObserveStatus(at(0), engineStatus(3, false))
			d.ObserveList(at(1), listed("leaving"))
			d.ObserveStatus(at(2), engineStatus(4, false))
			d.ObserveList(at(3), listed("live"))
		}, SourceNone},
		"the server restarted and the list does not say live": {func(d *Drainer) {
			d.ObserveStatus(at(0), engineStatus(3, false))
			d.ObserveList(at(1), listed("leaving"))
			d.ObserveStatus(at(2), engineStatus(4, false))
		}, SourceList},
		"the row is missing": {func(d *Drainer) {
			d.ObserveList(at(0), listed("leaving"))
			d.ObserveList(at(60), nil)
		}, SourceList},
		"the server refuses a call": {func(d *Drainer) { d.ObserveRefusal(at(0), "e1") }, SourceSelf},
		"the operators drain it": {func(d *Drainer) {
			d.SetOperatorDrains(at(0), OperatorDrains{Generation: 2, Instances: garnetworks.NewSet[garnetworks.InstanceID]("e1")})
			d.SetOperatorDrains(at(1), OperatorDrains{Generation: 1})
		}, SourceOperator},
		"the operators drain its zone": {func(d *Drainer) {
			d.ObserveList(at(0), listed("live"))
			d.SetOperatorDrains(at(0), OperatorDrains{Generation: 2, Zones: garnetworks.NewSet[garnetworks.ZoneID]("z1")})
		}, SourceOperator},
		"an old view arrives late": {func(d *Drainer) {
			d.ObserveView(at(0), version(2), zoneView(garnetworks.GroupServing, true))
			d.ObserveView(at(1), version(1), zoneView(garnetworks.GroupServing, false))
		}, SourceController},
		"the controller clears its report": {func(d *Drainer) {
			d.ObserveView(at(0), version(1), zoneView(garnetworks.GroupServing, true))
			d.ObserveView(at(1), version(2), zoneView(garnetworks.GroupServing, false))
		}, SourceNone},
		"the earliest of several sources is returned": {func(d *Drainer) {
			d.ObserveList(at(0), listed("leaving"))
			d.ObserveStatus(at(1), engineStatus(1, true))
		}, SourceList},
		"a drain of its group does not mark the server": {func(d *Drainer) {
			status := engineStatus(1, false)
			status.Phase = garnetworks.EngineDraining
			d.ObserveStatus(at(0), status)
		}, SourceNone},
		"remembered while a source reports it": {func(d *Drainer) {
			d.ObserveStatus(at(0), engineStatus(1, true))
			d.ObserveList(at(3600), listed("live"))
			d.Expire(at(3601))
		}, SourceSelf},
		"forgotten once no source does": {func(d *Drainer) {
			d.ObserveStatus(at(0), engineStatus(1, true))
			d.Expire(at(3600))
		}, SourceNone},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			d := New(Options{})
			tt.run(d)
			if got := d.Status("e1").Source; got != tt.want {
				t.Errorf("source %q, want %q", got, tt.want)
			}
			if got := d.Snapshot().ServerEligible("e1"); got != (tt.want == SourceNone) {
				t.Errorf("eligible = %t", got)
			}
		})
	}
}

// A group must not get work while a member is leaving, nor when a controller reports a
// drained group as serving again.
func TestGroupEligibility(t *testing.T) {
	d := New(Options{})
	serving := zoneView(garnetworks.GroupServing, false)
	d.ObserveView(at(0), version(1), serving)
	if applied := d.Snapshot().Apply(serving); applied.Groups[0].State != garnetworks.GroupServing {
		t.Fatalf("a healthy group is %s", applied.Groups[0].State)
	}
	d.ObserveStatus(at(1), engineStatus(1, true))
	applied := d.Snapshot().Apply(serving)
	if applied.Groups[0].State != garnetworks.GroupDraining || !applied.Servers[0].Leaving {
		t.Errorf("with a leaving member: %+v", applied)
	}
	if serving.Groups[0].State != garnetworks.GroupServing {
		t.Error("Apply changed the given view")
	}
	d = New(Options{})
	d.ObserveView(at(0), version(1), zoneView(garnetworks.GroupDraining, false))
	d.ObserveView(at(1), version(2), serving)
	d.ObserveView(at(3600), version(3), serving)
	d.Expire(at(3601))
	if d.Snapshot().GroupEligible(&serving.Groups[0]) {
		t.Error("a drained group is eligible again")
	}
}

// Whatever other sources report, a server gets no work while the latest report of its newest
// incarnation or of the list says leaving.
func TestNoSourceIsOverruled(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := New(Options{})
		now := start
		var newest, leavingIncarnation uint64
		listLeaving, operator := false, false
		var generation garnetworks.Generation
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "seconds")) * time.Second)
			switch rapid.IntRange(0, 4).Draw(t, "source") {
			case 0:
				listLeaving = rapid.Bool().Draw(t, "leaving")
				state := garnetworks.ListedLive
				if listLeaving {
					state = garnetworks.ListedLeaving
				}
				d.ObserveList(now, listed(state))
			case 1:
				status := engineStatus(uint64(rapid.IntRange(1, 6).Draw(t, "incarnation")), rapid.Bool().Draw(t, "leaving"))
				d.ObserveStatus(now, status)
				if status.Leaving && status.Incarnation >= newest {
					leavingIncarnation = status.Incarnation
				}
				newest = max(newest, status.Incarnation)
			case 2:
				o := OperatorDrains{Generation: garnetworks.Generation(rapid.IntRange(1, 9).Draw(t, "generation"))}
				leaving := rapid.Bool().Draw(t, "leaving")
				if leaving {
					o.Instances = garnetworks.NewSet[garnetworks.InstanceID]("e1")
				}
				if o.Generation >= generation {
					generation, operator = o.Generation, leaving
				}
				d.SetOperatorDrains(now, o)
			case 3:
				d.ObserveView(now, version(1), zoneView(garnetworks.GroupServing, false))
			case 4:
				d.Expire(now)
			}
			drained := listLeaving || operator || (leavingIncarnation > 0 && leavingIncarnation == newest)
			if drained && d.Snapshot().ServerEligible("e1") {
				t.Fatalf("a leaving server gets work: list %t, operator %t, own report in %d of %d", listLeaving, operator, leavingIncarnation, newest)
			}
		}
	})
}
