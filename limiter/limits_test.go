package limiter_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/limiter"
)

var (
	start  = time.Unix(1000, 0)
	server = garnetworks.Incarnation{Instance: "i-1", StartMS: 1}
)

// What servers tolerate in any window beyond their limit.
const (
	window    = 4 * time.Second
	tolerance = 1.5
	slack     = 5
)

func nodes(count int) []garnetworks.NodeInfo {
	list := make([]garnetworks.NodeInfo, count)
	for i := range list {
		list[i].ID = garnetworks.NodeID(fmt.Sprintf("front-%d", i))
	}
	return list
}

func newLimits() *limiter.Limits { return limiter.NewLimits(func() float64 { return 0 }) }

// limited returns Limits that know of a server's limit since start.
func limited(perSecond float64) *limiter.Limits {
	l := newLimits()
	l.Observe(start, start, server, garnetworks.Some(perSecond))
	return l
}

// Guards against nodes that together send more than a limited server tolerates, or far less than it takes.
func TestNodesTogetherKeepALimit(t *testing.T) {
	for _, count := range []int{1, 2, 6, 89, 986, 1972} {
		for _, perSecond := range []float64{0, 0.1, 0.4, 1, 2.9, 7.5, 40, 300} {
			t.Run(fmt.Sprintf("%d nodes, %g a second", count, perSecond), func(t *testing.T) {
				all := nodes(count)
				worst, rate := 0, 0.0
				for i := range all {
					view := limiter.View{Self: all[i].ID, Others: all, Settled: true}
					view.Others = append(append([]garnetworks.NodeInfo(nil), all[:i]...), all[i+1:]...)
					limit := limited(perSecond).Limit(start, server, &view)
					if !limit.Active(start) {
						t.Fatal("the server isn't limited")
					}
					if limit.Interval > 0 {
						worst += 1 + int(window/limit.Interval)
						rate += 1 / limit.Interval.Seconds()
					}
				}
				allowed := tolerance*perSecond*window.Seconds() + slack
				if float64(worst*limiter.MaxViews) > allowed {
					t.Errorf("up to %d calls in %s in each of %d views, %.1f allowed", worst, window, limiter.MaxViews, allowed)
				}
				const used = 0.6
				if rate < used*perSecond || rate == 0 {
					t.Errorf("%.2f calls per second, the server takes %g", rate, perSecond)
				}
				if perSecond >= 1 && rate > perSecond+1e-6 {
					t.Errorf("%.2f calls per second, the server takes %g", rate, perSecond)
				}
			})
		}
	}
}

// Guards against calls to a limited server by each of many nodes that have just started.
func TestNodeThatKnowsNoOtherSendsNothing(t *testing.T) {
	limit := limited(10).Limit(start, server, &limiter.View{Self: "front-1"})
	if limit.Allows(start.Add(time.Hour), time.Time{}) {
		t.Error("it may call the server")
	}
}

// Guards against a limited server that none of the chosen nodes reaches.
func TestMoreNodesAreChosenWhileNothingIsLearned(t *testing.T) {
	const count, perSecond = 100, 2.0
	all := nodes(count)
	for age, want := range map[time.Duration]int{0: 3, time.Minute: count} {
		chosen, rate := 0, 0.0
		for i := range all {
			view := limiter.View{Self: all[i].ID, Others: append(append([]garnetworks.NodeInfo(nil), all[:i]...), all[i+1:]...), Settled: true}
			if limit := limited(perSecond).Limit(start.Add(age), server, &view); limit.Interval > 0 {
				chosen++
				rate += 1 / limit.Interval.Seconds()
			}
		}
		if chosen != want || rate > perSecond {
			t.Errorf("after %s %d nodes send %.2f calls per second, want %d nodes", age, chosen, rate, want)
		}
	}
}

// Guards against a limit that an answer to an earlier call ends, or that outlasts its end.
func TestLimitLastsAsLongAsItIsNamed(t *testing.T) {
	none := garnetworks.Option[float64]{}
	view := &limiter.View{Self: "front-1", Settled: true}
	cases := map[string]struct {
		sent  time.Duration
		limit garnetworks.Option[float64]
		want  bool
	}{
		"answer to an earlier call":   {-time.Second, none, true},
		"answer to a later call":      {time.Second, none, false},
		"later answer with the limit": {time.Second, garnetworks.Some(1.0), true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			l := limited(2)
			now := start.Add(2 * time.Second)
			if ended := l.Observe(now, start.Add(c.sent), server, c.limit); ended == c.want {
				t.Errorf("the limit has changed: %t", ended)
			}
			if got := l.Limit(now, server, view).Active(now); got != c.want {
				t.Errorf("the server is limited: %t", got)
			}
		})
	}
}

// Guards against limits that other nodes never learn of, and against reports that circulate.
func TestReportsOfLimits(t *testing.T) {
	view := &limiter.View{Self: "front-1", Settled: true}
	source, other := limited(2), newLimits()
	now := start.Add(200 * time.Millisecond)
	report := source.Report(now)
	if len(report) != 1 || report[0].AgeMS != 200 || report[0].Incarnation() != server {
		t.Fatalf("the report is %+v", report)
	}
	if !other.Merge(now, report) || !other.Limit(now, server, view).Active(now) {
		t.Error("the other node doesn't know of the limit")
	}
	if got := other.Report(now); len(got) != 0 {
		t.Errorf("the other node reports %+v", got)
	}
	if got := source.Report(start.Add(time.Second)); len(got) != 0 {
		t.Errorf("an old observation is reported: %+v", got)
	}
	end := start.Add(3 * time.Second)
	source.Observe(end, end.Add(-100*time.Millisecond), server, garnetworks.Option[float64]{})
	if !other.Merge(end, source.Report(end)) || other.Limit(end, server, view).Active(end) {
		t.Error("the other node doesn't know of the limit's end")
	}
	// A report of the limit that was under way when it ended.
	if late := end.Add(300 * time.Millisecond); other.Merge(late, report) || other.Limit(late, server, view).Active(late) {
		t.Error("a late report of the limit counts")
	}
}

// Guards against a limit that is lost while its entry has lapsed, and against records kept for good.
func TestLimitsAreForgotten(t *testing.T) {
	const lapse, long = 10 * time.Second, time.Hour
	cases := map[string]struct {
		ended, listed bool
		after         time.Duration
		want          bool
	}{
		"named, listed":               {listed: true, after: long, want: true},
		"named, entry has lapsed":     {after: lapse, want: true},
		"named, gone for long":        {after: long},
		"ended a short time ago":      {ended: true, listed: true, after: lapse, want: true},
		"ended long ago":              {ended: true, listed: true, after: long},
		"ended, entry lapsed as well": {ended: true, after: lapse, want: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			l := limited(2)
			if c.ended {
				l.Observe(start, start.Add(time.Millisecond), server, garnetworks.Option[float64]{})
			}
			l.Retain(start.Add(c.after), func(garnetworks.Incarnation) bool { return c.listed })
			if got := l.Knows(server); got != c.want {
				t.Errorf("the server is known: %t", got)
			}
		})
	}
}

// Guards against calls that are handed to nodes without a share, and shares that nodes don't know of.
func TestSharesAreThoseOfTheChosenNodes(t *testing.T) {
	for _, count := range []int{1, 2, 6, 89} {
		for _, perSecond := range []float64{0, 0.4, 2.9, 40} {
			t.Run(fmt.Sprintf("%d nodes, %g a second", count, perSecond), func(t *testing.T) {
				all := nodes(count)
				view := func(self int) *limiter.View {
					others := append(append([]garnetworks.NodeInfo(nil), all[:self]...), all[self+1:]...)
					return &limiter.View{Self: all[self].ID, Others: others, Settled: true}
				}
				rates := make(map[garnetworks.NodeID]float64)
				for _, s := range limited(perSecond).Shares(server, view(0)) {
					rates[s.Node.ID] = s.CallsPerSecond
				}
				for i := 1; i < count; i++ {
					want := 0.0
					if limit := limited(perSecond).Limit(start, server, view(i)); limit.Interval > 0 && perSecond > 0 {
						want = 1 / limit.Interval.Seconds()
					}
					if got := rates[all[i].ID]; math.Abs(got-want) > 1e-6*want {
						t.Errorf("%s has a share of %g, want %g", all[i].ID, got, want)
					}
				}
				if _, ok := rates[all[0].ID]; ok {
					t.Error("the node itself is listed")
				}
			})
		}
	}
}
