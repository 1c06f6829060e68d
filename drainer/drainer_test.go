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

func row(state garnetworks.ListedState) []garnetworks.ListedInstance {
	return []garnetworks.ListedInstance{{ID: "e1", Zone: "z1", State: state}}
}

func word(incarnation uint64, leaving bool) *garnetworks.EngineStatus {
	return &garnetworks.EngineStatus{Instance: "e1", Incarnation: incarnation, Leaving: leaving}
}

func view(state garnetworks.GroupState, leaving bool) *garnetworks.ZoneView {
	return &garnetworks.ZoneView{
		Zone:    "z1",
		Groups:  []garnetworks.GroupView{{ID: "g1", State: state, Members: []garnetworks.InstanceID{"e0", "e1"}}},
		Servers: []garnetworks.ServerView{{Instance: "e1", Leaving: leaving}},
	}
}

func sequence(n uint64) garnetworks.UpdateVersion { return garnetworks.UpdateVersion{Sequence: n} }

// A tech's call is sent to a server that is stopped a second later, because one
// of the sources that say so lags behind the others. Each case is an order of
// words, with the sign that must hold at its end.
func TestOrdersOfSigns(t *testing.T) {
	tests := map[string]struct {
		run  func(d *Drainer)
		want Sign
	}{
		"nobody says anything": {func(d *Drainer) { d.List(at(0), row("live")) }, SignNone},
		"the list alone":       {func(d *Drainer) { d.List(at(0), row("leaving")) }, SignList},
		"a stale list does not take back the server's own word": {func(d *Drainer) {
			d.OwnWord(at(0), word(3, true))
			for i := range 100 {
				d.List(at(i), row("live"))
			}
		}, SignOwnWord},
		"a late answer of the same incarnation does not either": {func(d *Drainer) {
			d.OwnWord(at(0), word(3, true))
			d.OwnWord(at(1), word(3, false))
			d.OwnWord(at(2), word(2, false))
		}, SignOwnWord},
		"a new incarnation takes the word back": {func(d *Drainer) {
			d.OwnWord(at(0), word(3, true))
			d.OwnWord(at(1), word(4, false))
		}, SignNone},
		"the old incarnation's word comes after the new one's": {func(d *Drainer) {
			d.OwnWord(at(0), word(4, false))
			d.OwnWord(at(1), word(3, true))
		}, SignNone},
		"one lagging replica of the list says live": {func(d *Drainer) {
			d.List(at(0), row("leaving"))
			d.List(at(1), row("live"))
		}, SignList},
		"replicas of the list disagree for long": {func(d *Drainer) {
			for i := range 100 {
				d.List(at(2*i), row("live"))
				d.List(at(2*i+1), row("leaving"))
			}
			d.List(at(200), row("live"))
		}, SignList},
		"the list settles on live": {func(d *Drainer) {
			d.List(at(0), row("leaving"))
			d.List(at(1), row("live"))
			d.List(at(31), row("live"))
		}, SignNone},
		"the server started anew and the list knows": {func(d *Drainer) {
			d.OwnWord(at(0), word(3, false))
			d.List(at(1), row("leaving"))
			d.OwnWord(at(2), word(4, false))
			d.List(at(3), row("live"))
		}, SignNone},
		"the server started anew and the list does not know": {func(d *Drainer) {
			d.OwnWord(at(0), word(3, false))
			d.List(at(1), row("leaving"))
			d.OwnWord(at(2), word(4, false))
		}, SignList},
		"the row is missing": {func(d *Drainer) {
			d.List(at(0), row("leaving"))
			d.List(at(60), nil)
		}, SignList},
		"the server refuses a call": {func(d *Drainer) { d.Refused(at(0), "e1") }, SignOwnWord},
		"the operators name it": {func(d *Drainer) {
			d.Operators(at(0), Operators{Generation: 2, Instances: garnetworks.NewSet[garnetworks.InstanceID]("e1")})
			d.Operators(at(1), Operators{Generation: 1})
		}, SignOperator},
		"the operators name its zone": {func(d *Drainer) {
			d.List(at(0), row("live"))
			d.Operators(at(0), Operators{Generation: 2, Zones: garnetworks.NewSet[garnetworks.ZoneID]("z1")})
		}, SignOperator},
		"an old view comes late": {func(d *Drainer) {
			d.Controller(at(0), sequence(2), view(garnetworks.GroupServing, true))
			d.Controller(at(1), sequence(1), view(garnetworks.GroupServing, false))
		}, SignController},
		"the controller takes its word back": {func(d *Drainer) {
			d.Controller(at(0), sequence(1), view(garnetworks.GroupServing, true))
			d.Controller(at(1), sequence(2), view(garnetworks.GroupServing, false))
		}, SignNone},
		"the first of several signs is named": {func(d *Drainer) {
			d.List(at(0), row("leaving"))
			d.OwnWord(at(1), word(1, true))
		}, SignList},
		"a drain of its group is no sign of the server": {func(d *Drainer) {
			status := word(1, false)
			status.Phase = garnetworks.EngineDraining
			d.OwnWord(at(0), status)
		}, SignNone},
		"remembered while somebody names it": {func(d *Drainer) {
			d.OwnWord(at(0), word(1, true))
			d.List(at(3600), row("live"))
			d.Expire(at(3601))
		}, SignOwnWord},
		"forgotten once nobody does": {func(d *Drainer) {
			d.OwnWord(at(0), word(1, true))
			d.Expire(at(3600))
		}, SignNone},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			d := New(Options{})
			tt.run(d)
			if got := d.Judge("e1").Sign; got != tt.want {
				t.Errorf("sign %q, want %q", got, tt.want)
			}
			if got := d.Snapshot().Server("e1"); got != (tt.want == SignNone) {
				t.Errorf("may get work: %t", got)
			}
		})
	}
}

// A group of two serves while one of its members has said that it stops, or is
// called serving again by a controller that has not heard of its drain.
func TestGroups(t *testing.T) {
	d := New(Options{})
	serving := view(garnetworks.GroupServing, false)
	d.Controller(at(0), sequence(1), serving)
	if marked := d.Snapshot().Mark(serving); marked.Groups[0].State != garnetworks.GroupServing {
		t.Fatalf("a healthy group is %s", marked.Groups[0].State)
	}
	d.OwnWord(at(1), word(1, true))
	marked := d.Snapshot().Mark(serving)
	if marked.Groups[0].State != garnetworks.GroupDraining || !marked.Servers[0].Leaving {
		t.Errorf("with a leaving member: %+v", marked)
	}
	if serving.Groups[0].State != garnetworks.GroupServing {
		t.Error("Mark changed the given view")
	}
	d = New(Options{})
	d.Controller(at(0), sequence(1), view(garnetworks.GroupDraining, false))
	d.Controller(at(1), sequence(2), serving)
	d.Controller(at(3600), sequence(3), serving)
	d.Expire(at(3601))
	if d.Snapshot().Group(&serving.Groups[0]) {
		t.Error("a group that drained serves again under its name")
	}
}

// Signs come in any order, late and repeated. Whatever else is said, a server
// whose last word in its newest incarnation was "leaving" gets no work, and
// neither does one that the newest list answer calls leaving.
func TestNoSignIsOutvoted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := New(Options{})
		now := start
		var newest, said uint64
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
				d.List(now, row(state))
			case 1:
				w := word(uint64(rapid.IntRange(1, 6).Draw(t, "incarnation")), rapid.Bool().Draw(t, "leaving"))
				d.OwnWord(now, w)
				if w.Leaving && w.Incarnation >= newest {
					said = w.Incarnation
				}
				newest = max(newest, w.Incarnation)
			case 2:
				o := Operators{Generation: garnetworks.Generation(rapid.IntRange(1, 9).Draw(t, "generation"))}
				leaving := rapid.Bool().Draw(t, "leaving")
				if leaving {
					o.Instances = garnetworks.NewSet[garnetworks.InstanceID]("e1")
				}
				if o.Generation >= generation {
					generation, operator = o.Generation, leaving
				}
				d.Operators(now, o)
			case 3:
				d.Controller(now, sequence(1), view(garnetworks.GroupServing, false))
			case 4:
				d.Expire(now)
			}
			must := listLeaving || operator || (said > 0 && said == newest)
			if must && d.Snapshot().Server("e1") {
				t.Fatalf("a leaving server gets work: list %t, operator %t, own word in %d of %d", listLeaving, operator, said, newest)
			}
		}
	})
}
