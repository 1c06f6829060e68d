package former

import (
	"testing"
	"time"

	"github.com/garnetworks/garnetworks"
)

// Many engines are due for an order at once, at a node that handles one after the other. An
// unbounded number in flight makes orders time out although every engine responds at once.
func TestWindowAdaptsToNodeCapacity(t *testing.T) {
	const orders, bound = 3000, 250 * time.Millisecond
	cases := map[string]struct {
		each, later, slowest time.Duration
		// late is the number of orders that may be late.
		late int
	}{
		"strong node": {each: 300 * time.Microsecond, later: 300 * time.Microsecond, slowest: time.Second, late: 30},
		"weak node":   {each: 1500 * time.Microsecond, later: 1500 * time.Microsecond, slowest: 5 * time.Second, late: 30},
		"busy node":   {each: 10 * time.Millisecond, later: 10 * time.Millisecond, slowest: 33 * time.Second, late: 30},
		// Orders in flight when the node becomes slow are late, and few after that.
		"node that turns slow": {each: 300 * time.Microsecond, later: 15 * time.Millisecond, slowest: 25 * time.Second, late: 400},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			w := newCongestionWindow()
			now, free := time.Unix(0, 0), time.Unix(0, 0)
			begun := make([]time.Time, 0, orders)
			sent, late := 0, 0
			for done := 0; done < orders; done++ {
				for ; w.available() > 0 && sent < orders; sent++ {
					w.start()
					begun = append(begun, now)
				}
				// The node handles the oldest order in flight next.
				if free.Before(begun[done]) {
					free = begun[done]
				}
				if done < orders/2 {
					free = free.Add(c.each)
				} else {
					free = free.Add(c.later)
				}
				now = free
				took := now.Sub(begun[done])
				if took > bound {
					late++
				}
				w.done(now, took, true)
			}
			if late > c.late {
				t.Errorf("%d of %d orders were late because of the node itself", late, orders)
			}
			if took := now.Sub(time.Unix(0, 0)); took > c.slowest {
				t.Errorf("all orders took %s", took)
			}
			t.Logf("window %.0f, %d late, all within %s", w.size, late, now.Sub(time.Unix(0, 0)))
		})
	}
}

// Lost engines don't respond. A window that shrank with each of them would delay the orders to
// all others during a loss.
func TestUnresponsiveEnginesDoNotShrinkWindow(t *testing.T) {
	w := newCongestionWindow()
	for range 100 {
		w.start()
		w.done(time.Unix(0, 0), time.Second, false)
	}
	if w.size < initialWindow || w.inFlight != 0 {
		t.Errorf("window %.0f, %d in flight", w.size, w.inFlight)
	}
}

// A node that is cut off from all engines must not dissolve the site's groups, while the loss of
// a domain or a zone must be detected at once.
func TestFailuresInSeveralZonesSuspectLocalFault(t *testing.T) {
	type probe struct {
		zone   garnetworks.ZoneID
		failed bool
	}
	repeat := func(n int, probes ...probe) []probe {
		var list []probe
		for range n {
			list = append(list, probes...)
		}
		return list
	}
	cases := map[string]struct {
		probes []probe
		want   bool
	}{
		"one engine":                   {repeat(2, probe{"a", true}), false},
		"a lost domain":                {repeat(35, probe{"a", true}), false},
		"a zone, others responsive":    {repeat(35, probe{"a", true}, probe{"b", false}), false},
		"a domain and two losses":      {append(repeat(35, probe{"a", true}), repeat(3, probe{"b", true})...), false},
		"losses among many responsive": {repeat(10, probe{"a", true}, probe{"a", false}, probe{"a", false}, probe{"b", true}, probe{"b", false}, probe{"b", false}), false},
		"all zones":                    {repeat(10, probe{"a", true}, probe{"b", true}, probe{"c", true}), true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var d localFaultDetector
			got := false
			for i, p := range c.probes {
				got = d.observe(time.Unix(0, int64(i)*int64(time.Millisecond)), p.zone, p.failed)
			}
			if got != c.want {
				t.Errorf("local fault %t, want %t", got, c.want)
			}
		})
	}
	var d localFaultDetector
	now := time.Unix(0, 0)
	for i := range 40 {
		isLocal := d.observe(now.Add(time.Duration(i)*100*time.Millisecond), garnetworks.ZoneID([]string{"a", "b"}[i%2]), true)
		if past := time.Duration(i) * 100 * time.Millisecond; isLocal && past > localFaultHold+2*localFaultWindow {
			t.Errorf("failures are still presumed to be a local fault after %s", past)
		}
	}
}

// The lease holder is cut off from the engines of all zones. The time line must say why it does
// not take them for unresponsive.
func TestLocalFaultIsRecorded(t *testing.T) {
	recorder := &eventCounter{}
	f := &Former{options: Options{Recorder: recorder}, prober: newProber(100)}
	for i := range 40 {
		f.handleProbeResult(probeResult{
			incarnation: garnetworks.Incarnation{Instance: garnetworks.InstanceID(rune('a' + i))}, zone: garnetworks.ZoneID([]string{"a", "b"}[i%2]),
			err: garnetworks.Errorf(garnetworks.KindUnreachable, "no answer"), took: probeTimeout,
		})
	}
	if recorder.kinds[garnetworks.EventLocalFaultSuspected] != 1 || recorder.kinds[garnetworks.EventInstanceUnresponsive] != 0 {
		t.Errorf("recorded %v", recorder.kinds)
	}
}

// eventCounter counts events by kind.
type eventCounter struct{ kinds map[garnetworks.EventKind]int }

func (t *eventCounter) Record(e garnetworks.Event) {
	if t.kinds == nil {
		t.kinds = make(map[garnetworks.EventKind]int)
	}
	t.kinds[e.Kind]++
}
