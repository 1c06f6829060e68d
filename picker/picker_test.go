package picker_test

import (
	"testing"
	"time"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/picker"
)

func servers(names ...garnetworks.InstanceID) []garnetworks.RegisteredServer {
	var list []garnetworks.RegisteredServer
	for _, n := range names {
		list = append(list, garnetworks.RegisteredServer{ListedInstance: garnetworks.ListedInstance{ID: n, Zone: "z"}})
	}
	return list
}

func incarnation(id garnetworks.InstanceID) garnetworks.Incarnation {
	return garnetworks.Incarnation{Instance: id}
}

// run makes sequential calls and returns the number of calls by server.
func run(p *picker.Picker, now time.Time, list []garnetworks.RegisteredServer, calls int, answer func(garnetworks.InstanceID) (time.Duration, bool)) map[garnetworks.InstanceID]int {
	counts := make(map[garnetworks.InstanceID]int)
	for range calls {
		s, ok := p.Pick(now, list, nil)
		if !ok {
			return counts
		}
		counts[s.ID]++
		took, failed := answer(s.ID)
		now = now.Add(took)
		p.Finished(now, s.Incarnation(), took, failed)
	}
	return counts
}

// Guards against sending a slow or failing server its full share of calls while its health
// check passes.
func TestBadServersGetFewCalls(t *testing.T) {
	const normalTime, calls = 30 * time.Millisecond, 300
	cases := map[string]func(id garnetworks.InstanceID, n int) (time.Duration, bool){
		"slow": func(id garnetworks.InstanceID, _ int) (time.Duration, bool) {
			return normalTime * time.Duration(1+4*btoi(id == "a")), false
		},
		"fails": func(id garnetworks.InstanceID, n int) (time.Duration, bool) { return normalTime, id == "a" && n%2 == 0 },
	}
	for name, behave := range cases {
		t.Run(name, func(t *testing.T) {
			n := 0
			counts := run(picker.New("z"), time.Unix(0, 0), servers("a", "b", "c"), calls, func(id garnetworks.InstanceID) (time.Duration, bool) {
				n++
				return behave(id, n)
			})
			if counts["a"] > calls/10 {
				t.Errorf("the bad server got %d of %d calls", counts["a"], calls)
			}
		})
	}
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}

func TestPick(t *testing.T) {
	now := time.Unix(0, 0)
	cases := map[string]struct {
		prepare func(*picker.Picker)
		tried   []garnetworks.Incarnation
		want    garnetworks.InstanceID
	}{
		"fewest calls": {prepare: func(p *picker.Picker) { p.Pick(now, servers("a"), nil) }, want: "b"},
		"not tried":    {tried: []garnetworks.Incarnation{incarnation("a")}, want: "b"},
		"all tried":    {tried: []garnetworks.Incarnation{incarnation("a"), incarnation("b")}},
		"unreachable":  {prepare: func(p *picker.Picker) { p.Unreachable(now, incarnation("a")) }, want: "b"},
		"all unreachable": {prepare: func(p *picker.Picker) {
			p.Unreachable(now, incarnation("a"))
			p.Unreachable(now, incarnation("b"))
		}, want: "a"},
		"reachable again": {prepare: func(p *picker.Picker) { p.Unreachable(now.Add(-picker.Cooldown), incarnation("a")) }, want: "a"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p := picker.New("z")
			if c.prepare != nil {
				c.prepare(p)
			}
			s, ok := p.Pick(now, servers("a", "b"), c.tried)
			if ok != (c.want != "") || s.ID != c.want {
				t.Errorf("picked %q, want %q", s.ID, c.want)
			}
		})
	}
}

// Guards against applying the history of a server to its next incarnation.
func TestRestartedServerIsUsedAtOnce(t *testing.T) {
	now := time.Unix(0, 0)
	p := picker.New("z")
	list := servers("a", "b")
	for range 5 {
		p.Pick(now, list[:1], nil)
		p.Finished(now, list[0].Incarnation(), time.Second, true)
	}
	p.Unreachable(now, list[0].Incarnation())
	if s, _ := p.Pick(now, list, nil); s.ID != "b" {
		t.Fatalf("picked %q, which is unreachable", s.ID)
	}
	list[0].StartMS = 1
	if s, _ := p.Pick(now, list, nil); s.ID != "a" {
		t.Errorf("picked %q, want the server that has just restarted", s.ID)
	}
}

func TestOwnZoneFirst(t *testing.T) {
	list := servers("a", "b")
	list[0].Zone = "far"
	s, _ := picker.New("z").Pick(time.Unix(0, 0), list, nil)
	if s.ID != "b" {
		t.Errorf("picked %q, which is in another zone", s.ID)
	}
}
