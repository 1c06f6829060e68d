package scheduler_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/scheduler"
)

var start = time.Unix(1000, 0)

func fixedRandom() float64 { return 0.4 }

func groups(slots int, names ...garnetworks.GroupID) []scheduler.Group {
	var list []scheduler.Group
	for _, n := range names {
		list = append(list, scheduler.Group{ID: n, Model: "m", Zone: "z", Slots: slots})
	}
	return list
}

func newCall(id string) scheduler.Call {
	return scheduler.Call{ID: garnetworks.CallID(id), Model: "m", Arrived: start, Objective: 400 * time.Millisecond}
}

// fill places calls until one is not placed at once, and returns the number placed.
func fill(s *scheduler.Scheduler) int {
	for n := 0; ; n++ {
		d, decided := s.Arrive(start, newCall(fmt.Sprint("fill", n)))
		if !decided || d.Group == "" {
			return n
		}
	}
}

// Guards against calls that wait for their deadline although no group serves their model.
func TestNoGroupRefusesAtOnce(t *testing.T) {
	d, decided := scheduler.New("z", fixedRandom).Arrive(start, newCall("a"))
	if !decided || d.Kind != garnetworks.KindNoGroup || d.RetryAfter <= 0 {
		t.Errorf("got %+v, decided is %t, want an immediate rejection with a retry delay", d, decided)
	}
}

// Guards against keeping a call until its deadline although its first event can no longer be on
// time.
func TestCallWaitsWhileObjectiveCanBeMet(t *testing.T) {
	s := scheduler.New("z", fixedRandom)
	s.SetGroups(start, groups(6, "g"))
	fill(s)
	for wait := time.Duration(0); wait < 400*time.Millisecond; wait += 20 * time.Millisecond {
		decisions := s.Advance(start.Add(wait))
		if len(decisions) == 0 {
			continue
		}
		if d := decisions[0]; d.Group != "" || d.RetryAfter <= 0 || d.Kind != garnetworks.KindOverloaded {
			t.Errorf("after %s: got %+v, want an overload rejection with a retry delay", wait, d)
		}
		return
	}
	t.Error("the call still waits after its objective")
}

// Guards against sending an overloaded group as many calls as before.
func TestLateFirstEventsShrinkWindow(t *testing.T) {
	s := scheduler.New("z", fixedRandom)
	s.SetGroups(start, groups(30, "g"))
	before := fill(s)
	now := start
	for range 5 {
		now = now.Add(time.Second)
		s.FirstEvent(now, "m", "g", time.Second, 400*time.Millisecond)
	}
	for range before {
		s.Finished(now, "m", "g", 0, true)
	}
	if after := fill(s); after >= before {
		t.Errorf("%d calls placed before late first events, %d after; want fewer", before, after)
	}
}

// Guards against sending calls to a stalled group: after the cooldown it gets a single probe
// until that has an event.
func TestStalledGroupCoolsDown(t *testing.T) {
	s := scheduler.New("z", fixedRandom)
	s.SetGroups(start, groups(30, "g", "h"))
	s.Stalled(start, "m", "g")
	for n := range 5 {
		if d, _ := s.Arrive(start, newCall(fmt.Sprint(n))); d.Group != "h" {
			t.Fatalf("call %d went to group %q, want h", n, d.Group)
		}
	}
	s.SetGroups(start, groups(30, "g"))
	later := start.Add(time.Second)
	if d, _ := s.Arrive(later, scheduler.Call{ID: "first", Model: "m", Arrived: later, Objective: time.Second}); d.Group != "g" {
		t.Fatalf("the first call after the cooldown: got %+v, want group g", d)
	}
	if d, decided := s.Arrive(later, scheduler.Call{ID: "second", Model: "m", Arrived: later, Objective: time.Second}); decided && d.Group != "" {
		t.Errorf("a second call was placed before the first had an event")
	}
}

// Guards against several nodes each taking all free slots that they learn of at the same time.
func TestNodesDivideFreeSlots(t *testing.T) {
	const nodes, slots = 6, 26
	placed := 0
	for range nodes {
		s := scheduler.New("z", fixedRandom)
		s.SetGroups(start, groups(slots, "g"))
		s.Arrive(start, newCall("own"))
		s.Finished(start, "m", "g", 0, true)
		others := garnetworks.LoadReport{Nodes: nodes - 1, Demands: []garnetworks.ModelDemand{{Model: "m", CallsPerSecond: 0.5 * (nodes - 1)}}}
		s.SetPeerLoad(start, others, true)
		placed += fill(s)
	}
	if placed < slots/2 || placed > slots*3/2 {
		t.Errorf("six nodes placed %d calls in %d slots", placed, slots)
	}
}

// Guards against interrupted streams that queue behind new calls.
func TestResumedCallsGoFirst(t *testing.T) {
	s := scheduler.New("z", fixedRandom)
	s.SetGroups(start, groups(1, "g"))
	s.Arrive(start, newCall("running"))
	s.Arrive(start, newCall("waiting"))
	resumed := newCall("resumed")
	resumed.Resumed = true
	if d, decided := s.Arrive(start, resumed); decided && d.Group == "" {
		t.Fatalf("the resumed call was rejected: %+v", d)
	}
	for _, d := range s.Finished(start, "m", "g", 0, true) {
		if d.Call != "resumed" && d.Call != "waiting" {
			t.Errorf("unexpected decision on call %s", d.Call)
		}
		if d.Group != "" && d.Call != "resumed" {
			t.Errorf("call %s was placed before the resumed call", d.Call)
		}
	}
}

// Guards against duplicate decisions, overfilled groups and calls left behind, under random
// sequences of arrivals, completions, group changes and cancellations.
func TestCountsStayConsistentInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const slots = 4
		s := scheduler.New("z", fixedRandom)
		now := start
		names := []garnetworks.GroupID{"a", "b", "c"}
		running := make(map[garnetworks.CallID]garnetworks.GroupID)
		waiting := make(map[garnetworks.CallID]bool)
		record := func(decisions []scheduler.Decision) {
			for _, d := range decisions {
				if !waiting[d.Call] {
					t.Fatalf("unexpected decision on call %s: %+v", d.Call, d)
				}
				delete(waiting, d.Call)
				if d.Group != "" {
					running[d.Call] = d.Group
				}
			}
		}
		next := 0
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0, 1:
				next++
				call := scheduler.Call{ID: garnetworks.CallID(fmt.Sprint(next)), Model: "m", Arrived: now, Objective: 400 * time.Millisecond}
				waiting[call.ID] = true
				if d, decided := s.Arrive(now, call); decided {
					record([]scheduler.Decision{d})
				}
			case 2:
				for id, g := range running {
					delete(running, id)
					record(s.Finished(now, "m", g, 0, rapid.Bool().Draw(t, "read")))
					break
				}
			case 3:
				record(s.SetGroups(now, groups(slots, names[:rapid.IntRange(0, len(names)).Draw(t, "groups")]...)))
			case 4:
				record(s.Advance(now))
			case 5:
				for id := range waiting {
					delete(waiting, id)
					s.Cancel(id, "m")
					break
				}
			}
			counts := make(map[garnetworks.GroupID]int)
			for _, g := range running {
				counts[g]++
			}
			for g, n := range counts {
				if n > slots+1 {
					t.Fatalf("group %s has %d calls in %d slots", g, n, slots)
				}
			}
		}
		for id, g := range running {
			delete(running, id)
			record(s.Finished(now, "m", g, 0, true))
		}
		record(s.Advance(now.Add(time.Minute)))
		if s.Waiting() != 0 {
			t.Fatalf("%d calls still wait", s.Waiting())
		}
	})
}

// Guards against a group that fails a third of its calls but keeps its full share of calls, and
// against one that does not regain its share after recovery.
func TestFailingGroupGetsFewCalls(t *testing.T) {
	s := scheduler.New("z", rand.New(rand.NewPCG(1, 1)).Float64)
	s.SetGroups(start, groups(30, "failing", "healthy"))
	now := start
	// round places calls, ten at a time, and returns how many went to the failing group.
	round := func(fails func(int) bool) int {
		toFailing := 0
		for range 60 {
			var placed []garnetworks.GroupID
			for range 10 {
				if d, ok := s.Arrive(now, newCall("a")); ok && d.Group != "" {
					placed = append(placed, d.Group)
				}
			}
			now = now.Add(200 * time.Millisecond)
			for _, g := range placed {
				if g != "failing" {
					s.FirstEvent(now, "m", g, 200*time.Millisecond, time.Second)
					s.Finished(now, "m", g, 0, true)
					continue
				}
				toFailing++
				if fails(toFailing) {
					s.Failed("m", g)
					s.Finished(now, "m", g, 0, false)
					continue
				}
				s.FirstEvent(now, "m", g, 200*time.Millisecond, time.Second)
				s.Finished(now, "m", g, 0, true)
			}
		}
		return toFailing
	}
	whileFailing := round(func(n int) bool { return n%3 == 0 })
	whenHealthy := round(func(int) bool { return false })
	if whileFailing > whenHealthy/2 || whileFailing == 0 {
		t.Errorf("of 600 calls, %d went to the group while it failed, and %d after it recovered", whileFailing, whenHealthy)
	}
}

// Guards against rejections that don't show free slots at groups of other models.
func TestRejectionReportsSpareSlotsOfOtherModels(t *testing.T) {
	s := scheduler.New("z", fixedRandom)
	others := groups(10, "other-a", "other-b")
	for i := range others {
		others[i].Model = "other"
	}
	s.SetGroups(start, append(others, groups(6, "g")...))
	fill(s)
	for i := range 40 {
		d, decided := s.Arrive(start, newCall(fmt.Sprint("late", i)))
		if !decided || d.Kind != garnetworks.KindOverloaded {
			continue
		}
		if d.Spare < 5 {
			t.Errorf("rejection reports %d spare slots at the other model's groups, want at least 5", d.Spare)
		}
		return
	}
	// Nothing was rejected on arrival: waiting calls are rejected after their patience.
	for _, d := range s.Advance(start.Add(time.Second)) {
		if d.Kind != "" && d.Spare < 5 {
			t.Errorf("rejection reports %d spare slots at the other model's groups, want at least 5", d.Spare)
		}
	}
}

// Guards against counting a rejection as one despite free capacity that could not have served it.
func TestSpareSlotsCouldServeTheCall(t *testing.T) {
	const slots, prompt, rate = 20, 5000, 50_000
	cases := map[string]struct {
		otherSize, otherRunning int
		change                  func(c *scheduler.Call)
		want                    int
	}{
		"another group's instances are idle":       {4, 0, nil, slots},
		"groups of other sizes":                    {1, 0, nil, 0},
		"half of them are idle":                    {4, 10, nil, 0},
		"half of more instances are idle":          {8, 10, nil, slots},
		"its objective has passed":                 {8, 0, func(c *scheduler.Call) { c.FirstArrived = start.Add(-time.Minute) }, 0},
		"its model has slots, but prefills others": {1, 0, func(c *scheduler.Call) { c.PromptTokens, c.MaxGap = prompt, 200*time.Millisecond }, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := scheduler.New("z", fixedRandom)
			others := groups(slots, "other-a", "other-b")
			for i := range others {
				others[i].Model, others[i].Size = "other", c.otherSize
			}
			own := groups(slots, "g")
			own[0].Size, own[0].PrefillRate = 8, rate
			s.SetPeerLoad(start, garnetworks.LoadReport{}, true)
			s.SetGroups(start, append(others, own...))
			var load garnetworks.LoadReport
			for i := range others {
				load.Groups = append(load.Groups, garnetworks.GroupLoad{Group: others[i].ID, Running: c.otherRunning})
			}
			load.Nodes = 1
			call := newCall("a")
			if c.change != nil {
				c.change(&call)
			}
			if call.PromptTokens == 0 {
				load.Groups = append(load.Groups, garnetworks.GroupLoad{Group: "g", Running: slots * 2})
			}
			s.SetPeerLoad(start, load, true)
			first := call
			first.ID, first.FirstArrived = "first", time.Time{}
			s.Arrive(start, first)
			for i := range 100 {
				call.ID = garnetworks.CallID(fmt.Sprint(i))
				d, decided := s.Arrive(start, call)
				if i == 0 {
					s.Finished(start, "m", "none", 0, false)
				}
				if !decided || d.Group != "" {
					continue
				}
				if d.Spare != c.want {
					t.Errorf("%d spare slots, want %d", d.Spare, c.want)
				}
				return
			}
			t.Error("no call was rejected")
		})
	}
}

// Guards against nodes with few calls that lose a slot which they have not used by the next report.
func TestUnusedSlotIsKeptUntilTheNextCall(t *testing.T) {
	const nodes, reports = 986, 40
	s := scheduler.New("z", fixedRandom)
	s.SetGroups(start, groups(40, "g"))
	peers := garnetworks.LoadReport{Nodes: nodes - 1, Groups: []garnetworks.GroupLoad{{Group: "g", Running: 20}}, Demands: []garnetworks.ModelDemand{{Model: "m", CallsPerSecond: 100}}}
	now := start
	rejected := 0
	for i := range reports {
		for range reports { // reports between two calls
			now = now.Add(150 * time.Millisecond)
			s.SetPeerLoad(now, peers, true)
		}
		call := newCall(fmt.Sprint(i))
		call.Arrived = now
		d, decided := s.Arrive(now, call)
		if d.Group == "" {
			rejected++
			s.Cancel(call.ID, "m")
		}
		if decided && d.Group != "" {
			now = now.Add(time.Second)
			s.Finished(now, "m", "g", time.Second, true)
		}
		now = now.Add(time.Duration(i) * 7 * time.Millisecond)
	}
	if rejected > 1 {
		t.Errorf("%d of %d calls found no slot beside 20 free ones", rejected, reports)
	}
}

func TestCallsOfAGroup(t *testing.T) {
	s := scheduler.New("z", fixedRandom)
	s.SetGroups(start, groups(6, "g"))
	s.Arrive(start, newCall("a"))
	s.SetPeerLoad(start, garnetworks.LoadReport{Nodes: 1, Groups: []garnetworks.GroupLoad{{Group: "g", Running: 3}}}, true)
	if n := s.Calls("m", "g"); n != 4 {
		t.Errorf("the group has %d calls, want 4: one own and three of peers", n)
	}
	if n := s.Calls("m", "gone"); n != 0 {
		t.Errorf("an unknown group has %d calls, want 0", n)
	}
}

// Guards against prefilling so many prompts at once that the gaps between a group's events
// exceed what clients allow.
func TestPrefillIsLimitedByMaxGap(t *testing.T) {
	const rate, typicalPrompt = 50_000, 1400
	cases := map[string]struct {
		rate   float64
		pause  time.Duration
		prompt int
		placed int
	}{
		"long prompts": {rate: rate, pause: 200 * time.Millisecond, prompt: 6000, placed: 1},
		// Half of 200 ms at 50 tokens per ms is 5,000 tokens: three prompts.
		"within half a pause": {rate: rate, pause: 200 * time.Millisecond, placed: 3},
		"one prompt at least": {rate: rate, pause: 10 * time.Millisecond, placed: 1},
		"rate is not known":   {pause: 200 * time.Millisecond, placed: 10},
		"no pause is stated":  {rate: rate, placed: 10},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := scheduler.New("z", fixedRandom)
			s.SetPeerLoad(start, garnetworks.LoadReport{}, true)
			s.SetGroups(start, []scheduler.Group{{ID: "g", Model: "m", Zone: "z", Slots: 26, PrefillRate: c.rate}})
			s.SetPeerLoad(start, garnetworks.LoadReport{}, true)
			prompt := max(typicalPrompt, c.prompt)
			placed := 0
			for i := range 10 {
				call := newCall(fmt.Sprint("call", i))
				call.PromptTokens, call.MaxGap = prompt, c.pause
				if d, decided := s.Arrive(start, call); decided && d.Group == "g" {
					placed++
				}
			}
			if placed != c.placed {
				t.Errorf("%d prompts were placed at once, want %d", placed, c.placed)
			}
			if placed == 10 {
				return
			}
			s.PrefillDone("m", "g", prompt)
			s.FirstEvent(start, "m", "g", 100*time.Millisecond, 400*time.Millisecond)
			if list := s.Advance(start); len(list) != 1 || list[0].Group != "g" {
				t.Errorf("after prefill of one prompt: got decisions %+v, want one placement", list)
			}
		})
	}
}

// Guards against short prompts that starve a long one.
func TestShortPromptsDoNotStarveLongOnes(t *testing.T) {
	s := scheduler.New("z", fixedRandom)
	s.SetGroups(start, []scheduler.Group{{ID: "g", Model: "m", Zone: "z", Slots: 26, PrefillRate: 50_000}})
	for i, prompt := range []int{1400, 6000} {
		call := newCall(fmt.Sprint("call", i))
		call.PromptTokens, call.MaxGap = prompt, 200*time.Millisecond
		if d, decided := s.Arrive(start, call); !decided || d.Group != "g" {
			t.Errorf("the prompt of %d tokens was not placed", prompt)
		}
	}
}

// Guards against rejections beside free slots if a node's proportional share is less than one
// slot.
func TestNodesWithFewCallsGetFreeSlots(t *testing.T) {
	const nodes, slots, runningPerGroup = 88, 20, 14
	s := scheduler.New("z", rand.New(rand.NewPCG(1, 1)).Float64)
	names := []garnetworks.GroupID{"a", "b", "c", "d", "e", "f"}
	s.SetGroups(start, groups(slots, names...))
	s.Arrive(start, newCall("own"))
	s.Finished(start, "m", "a", time.Second, true)
	others := garnetworks.LoadReport{Nodes: nodes - 1, Demands: []garnetworks.ModelDemand{{Model: "m", CallsPerSecond: 42}}}
	for _, g := range names {
		others.Groups = append(others.Groups, garnetworks.GroupLoad{Group: g, Running: runningPerGroup})
	}
	s.SetPeerLoad(start, others, true)
	for i := range 3 {
		if d, decided := s.Arrive(start, newCall(fmt.Sprint("call", i))); !decided || d.Group == "" {
			t.Errorf("call %d is not placed beside %d free slots: %+v", i, len(names)*(slots-runningPerGroup), d)
		}
	}
	// With all slots taken, the retry delay follows from the rate at which the site frees slots.
	for i := range others.Groups {
		others.Groups[i].Running = slots * 2
	}
	later := start.Add(10 * time.Second)
	s.SetPeerLoad(later, others, true)
	call := newCall("late")
	call.Arrived = later
	d, _ := s.Arrive(later, call)
	if d.RetryAfter <= 0 || d.RetryAfter > time.Second {
		t.Errorf("retry delay is %s, want above 0 and at most 1s", d.RetryAfter)
	}
}
