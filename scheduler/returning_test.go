package scheduler_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/scheduler"
)

const routeTimeout = 8 * time.Second

// learn returns Arrivals that have seen calls whose callers state the given times.
func learn(stated func(i int) time.Duration, calls int) *scheduler.Arrivals {
	a := scheduler.NewArrivals()
	for i := range calls {
		a.Describe(false, "r", start, start.Add(stated(i)))
	}
	return a
}

// Guards against returns that lose their place, and first calls that are taken for returns.
func TestReturningCallersAreRecognized(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	even := func(int) time.Duration {
		return time.Duration((0.85 + 0.15*random.Float64()) * float64(routeTimeout))
	}
	same := func(int) time.Duration { return routeTimeout }
	cases := map[string]struct {
		stated   func(int) time.Duration
		calls    int
		arrives  time.Duration
		returned bool
	}{
		"states the whole time":       {same, 200, routeTimeout, false},
		"states a little less":        {same, 200, routeTimeout - 40*time.Millisecond, false},
		"returned":                    {same, 200, routeTimeout - 200*time.Millisecond, true},
		"route is new to the node":    {same, 10, routeTimeout / 2, false},
		"always states less":          {func(int) time.Duration { return routeTimeout / 2 }, 200, routeTimeout / 2, false},
		"lowest of different times":   {even, 200, 6800 * time.Millisecond, false},
		"below all of them":           {even, 200, 6400 * time.Millisecond, true},
		"some of the known returned":  {func(i int) time.Duration { return routeTimeout - time.Duration(i%20/19)*time.Second }, 200, 7 * time.Second, true},
		"most callers state far more": {func(i int) time.Duration { return routeTimeout * time.Duration(1+i%2) }, 200, routeTimeout, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			a := learn(c.stated, c.calls)
			call := a.Describe(false, "r", start, start.Add(c.arrives))
			if returned := !call.FirstArrived.IsZero(); returned != c.returned {
				t.Fatalf("taken for a return: %t", returned)
			}
			if c.returned && !call.FirstArrived.Before(start) {
				t.Errorf("the first arrival is %s after the return", call.FirstArrived.Sub(start))
			}
			if c.returned || c.calls < 20 {
				return
			}
			again := a.Describe(false, "r", start.Add(call.RecognizedAfter+time.Millisecond), start.Add(c.arrives))
			if again.FirstArrived.IsZero() {
				t.Errorf("a return after %s is not recognized", call.RecognizedAfter)
			}
		})
	}
}

// Guards against learning the times of returned callers as those of first calls.
func TestNothingIsLearnedWhileCallsAreRejected(t *testing.T) {
	for name, list := range map[string][]scheduler.Group{"no slot": groups(1, "g"), "no group": nil} {
		t.Run(name, func(t *testing.T) {
			a, s := learn(func(int) time.Duration { return routeTimeout }, 100), scheduler.New("z", fixedRandom)
			s.SetGroups(start, list)
			reject(t, s)
			for i := range 1000 {
				if i%2 == 0 {
					a.Describe(s.Rejecting(start, "m"), "r", start, start.Add(routeTimeout))
				}
				if call := a.Describe(s.Rejecting(start, "m"), "r", start, start.Add(routeTimeout-time.Second)); call.FirstArrived.IsZero() {
					t.Fatal("a returned call is taken for a first one")
				}
			}
		})
	}
}

// Guards against taking all calls of a route for returns after its callers changed what they state.
func TestChangedTimesAreNotTakenForReturns(t *testing.T) {
	a := learn(func(int) time.Duration { return routeTimeout }, 100)
	returned := 0
	for range 1000 {
		if call := a.Describe(true, "r", start, start.Add(routeTimeout/2)); !call.FirstArrived.IsZero() {
			returned++
		}
	}
	if returned > 256 {
		t.Errorf("%d of 1000 calls are taken for returns", returned)
	}
}

// reject fills the groups until a call is rejected: slots become free at a slow rate.
func reject(t *testing.T, s *scheduler.Scheduler) scheduler.Decision {
	t.Helper()
	const most = 100
	for i := range most {
		if d, decided := s.Arrive(start, statedCall(fmt.Sprint("fill", i), start)); decided && d.Group == "" {
			return d
		}
		if i == 0 {
			s.Finished(start, "m", "g", 0, false)
		}
	}
	t.Fatal("no call was rejected")
	return scheduler.Decision{}
}

// statedCall returns a call whose caller states how long it waits.
func statedCall(id string, arrived time.Time) scheduler.Call {
	c := newCall(id)
	c.Arrived, c.Deadline = arrived, arrived.Add(routeTimeout)
	return c
}

// returnedCall returns a call whose objective has passed since its first arrival.
func returnedCall(id string, now time.Time, waited time.Duration) scheduler.Call {
	c := statedCall(id, now)
	c.FirstArrived, c.Deadline = now.Add(-waited), now.Add(routeTimeout-waited)
	return c
}

// busy returns a scheduler with one group of 20 slots and a number of calls there.
func busy(calls int) *scheduler.Scheduler {
	s := scheduler.New("z", fixedRandom)
	s.SetPeerLoad(start, garnetworks.LoadReport{}, true)
	s.SetGroups(start, groups(20, "g"))
	s.SetPeerLoad(start, garnetworks.LoadReport{Nodes: 1, Groups: []garnetworks.GroupLoad{{Group: "g", Running: calls}}}, true)
	return s
}

// Guards against a second rejection of a patient caller, and late answers in place of those on time.
func TestReturnedCallsAreServedLate(t *testing.T) {
	s := busy(20)
	for i, waited := range []time.Duration{time.Second, 3 * time.Second, 2 * time.Second} {
		call := returnedCall(fmt.Sprint("returned", i), start, waited)
		call.Objective = 13*waited/10 - time.Second // those that arrived first were due last
		if d, decided := s.Arrive(start, call); decided {
			t.Fatalf("got %+v", d)
		}
	}
	for i := range 2 {
		call := statedCall(fmt.Sprint("first", i), start)
		if d, _ := s.Arrive(start, call); d.Group == "" {
			t.Fatalf("call %d that can be on time is not placed: %+v", i, d)
		}
	}
	now := start.Add(time.Second)
	got := s.SetPeerLoad(now, garnetworks.LoadReport{Nodes: 1, Groups: []garnetworks.GroupLoad{{Group: "g", Running: 2}}}, true)
	var order []garnetworks.CallID
	for _, d := range got {
		if d.Group == "" || !d.Late || !d.Returned {
			t.Errorf("got %+v", d)
		}
		order = append(order, d.Call)
	}
	if want := []garnetworks.CallID{"returned1", "returned2", "returned0"}; fmt.Sprint(order) != fmt.Sprint(want) {
		t.Errorf("placed %v, want %v", order, want)
	}
}

// Guards against late answers in place of those on time, also of calls with a lower priority.
func TestLateCallsComeLast(t *testing.T) {
	s := busy(24)
	for _, late := range []bool{true, false} {
		call := statedCall("on time", start)
		if call.Priority = 1; late {
			call = returnedCall("late", start, time.Second)
		}
		if d, decided := s.Arrive(start, call); decided {
			t.Fatalf("got %+v", d)
		}
	}
	got := s.SetPeerLoad(start, garnetworks.LoadReport{Nodes: 1, Groups: []garnetworks.GroupLoad{{Group: "g", Running: 2}}}, true)
	if len(got) != 2 || got[0].Call != "on time" || got[1].Call != "late" {
		t.Errorf("got %+v, want the call that can be on time first", got)
	}
}

// Guards against late calls that take a slot while one that can be on time waits to be prefilled.
func TestLateCallsDoNotOvertake(t *testing.T) {
	const prompt, rate = 5000, 50_000
	s := busy(0)
	list := groups(20, "g")
	list[0].PrefillRate = rate
	s.SetGroups(start, list)
	for _, id := range []string{"prefilled", "waits"} {
		call := statedCall(id, start)
		call.PromptTokens, call.MaxGap = prompt, 200*time.Millisecond
		s.Arrive(start, call)
	}
	s.Arrive(start, returnedCall("late", start, time.Second))
	if got := s.Advance(start); len(got) > 0 || s.Waiting() != 2 {
		t.Errorf("%d calls wait, got %+v", s.Waiting(), got)
	}
	s.PrefillDone("m", "g", prompt)
	if got := s.Advance(start); len(got) != 2 || got[0].Call != "waits" {
		t.Errorf("after prefill: %+v", got)
	}
}

// Guards against late calls that fill the groups, so that the next calls that can be on time wait.
func TestLateCallsTakeAPartOfAWindow(t *testing.T) {
	cases := map[string]struct{ running, want int }{"idle": {0, 12}, "half full": {10, 9}, "three quarters": {16, 3}, "full": {19, 0}}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := busy(c.running)
			for i := range 20 {
				s.Arrive(start, returnedCall(fmt.Sprint(i), start, time.Second))
			}
			if got := s.Calls("m", "g") - c.running; got != c.want {
				t.Errorf("%d late calls were placed, want %d", got, c.want)
			}
		})
	}
}

// Guards against rejecting callers that won't return, and late answers to those that will.
func TestWhoIsAdmittedLate(t *testing.T) {
	cases := map[string]struct {
		change func(c *scheduler.Call)
		late   bool
	}{
		"first arrival":                  {func(*scheduler.Call) {}, false},
		"returned":                       {func(c *scheduler.Call) { c.FirstArrived = start.Add(-time.Second) }, true},
		"states no time":                 {func(c *scheduler.Call) { c.Deadline = time.Time{} }, false},
		"recognized within what it does": {func(c *scheduler.Call) { c.RecognizedAfter = time.Second }, false},
		"recognized too late":            {func(c *scheduler.Call) { c.RecognizedAfter = 3 * time.Second }, true},
		"has no time":                    {func(c *scheduler.Call) { c.FirstArrived, c.Deadline = start.Add(-time.Second), start }, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := busy(0)
			reject(t, s)
			later := start.Add(time.Second) // the calls that waited are over
			s.Advance(later)
			call := statedCall("a", start)
			c.change(&call)
			d, decided := s.Arrive(later, call)
			if late := !decided; late != c.late {
				t.Fatalf("admitted late is %t: %+v", late, d)
			}
			if !c.late {
				return
			}
			s.Advance(start.Add(2 * routeTimeout))
			if s.Waiting() > 0 {
				t.Error("the call waits beyond its deadline")
			}
		})
	}
}

// Guards against rejected callers that return together, before they are recognized, or not at all.
func TestReturnsAreSpread(t *testing.T) {
	s := busy(0)
	before := reject(t, s).RetryAfter
	for i := range 40 {
		call := statedCall(fmt.Sprint("next", i), start)
		call.RecognizedAfter = 300 * time.Millisecond
		call.Objective = 0
		d, decided := s.Arrive(start, call)
		if !decided || d.Group != "" {
			t.Fatalf("not rejected: %+v", d)
		}
		if d.RetryAfter < before || d.RetryAfter == before && before < 2*time.Second || d.RetryAfter < call.RecognizedAfter || d.RetryAfter > routeTimeout/3 {
			t.Fatalf("rejection %d: return after %s, the one before after %s", i, d.RetryAfter, before)
		}
		before = d.RetryAfter
	}
	short := statedCall("short", start)
	short.Deadline = start.Add(1500 * time.Millisecond)
	if d, decided := s.Arrive(start, short); decided && d.RetryAfter > 500*time.Millisecond {
		t.Errorf("the caller waits for 1.5s and shall return after %s", d.RetryAfter)
	}
}
