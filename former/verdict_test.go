package former

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/follower"
)

// probedEngines answers a former's probes in a test.
type probedEngines struct {
	garnetworks.GroupOrders
	// answer returns the time to an engine's answer to its nth probe, and whether there is one.
	answer func(id garnetworks.InstanceID, n int) (time.Duration, bool)
	probes atomic.Int64
	counts map[garnetworks.InstanceID]int
	lock   chan struct{}
}

func (e *probedEngines) Probe(ctx context.Context, _ string, id garnetworks.Incarnation) error {
	e.probes.Add(1)
	e.lock <- struct{}{}
	e.counts[id.Instance]++
	took, ok := e.answer(id.Instance, e.counts[id.Instance])
	<-e.lock
	if !ok {
		took = time.Hour
	}
	select {
	case <-time.After(took):
		return nil
	case <-ctx.Done():
		return garnetworks.Errorf(garnetworks.KindUnreachable, "no answer")
	}
}

// holder is a lease holder with the servers of some groups of four, each in its own domain.
type holder struct {
	*Former
	engines *probedEngines
	servers follower.Servers
	// pauses are times at which the node stops for a while.
	pauseAt, pauseFor time.Duration
}

func newHolder(groups int, answer func(garnetworks.InstanceID, int) (time.Duration, bool)) *holder {
	e := &probedEngines{answer: answer, counts: make(map[garnetworks.InstanceID]int), lock: make(chan struct{}, 1)}
	h := &holder{engines: e, servers: make(follower.Servers)}
	h.Former = &Former{options: Options{Recorder: &eventCounter{}, Orders: e}, prober: newProber(1024)}
	h.lost.Store(&[]garnetworks.GroupID{})
	for g := range groups {
		for m := range 4 {
			s := garnetworks.RegisteredServer{ListedInstance: garnetworks.ListedInstance{
				ID: garnetworks.InstanceID(fmt.Sprintf("i-%d-%d", g, m)), State: garnetworks.ListedLive,
				Domain: garnetworks.DomainID(fmt.Sprint(g)), Zone: garnetworks.ZoneID(fmt.Sprint(g % 3)),
			}}
			s.Membership.Group = garnetworks.GroupID(fmt.Sprint("g", g))
			h.servers[s.ID] = s
		}
	}
	return h
}

// run handles questions and probes as Former.Run does.
func (h *holder) run(ctx context.Context) {
	timer := time.NewTimer(time.Hour)
	var pause <-chan time.Time
	if h.pauseFor > 0 {
		pause = time.After(h.pauseAt)
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-pause:
			time.Sleep(h.pauseFor)
		case p := <-h.probeResults:
			h.handleProbeResult(p)
		case q := <-h.questions:
			h.join(time.Now(), q, h.servers)
		case <-timer.C:
		}
		h.drainResults()
		h.advanceRounds(time.Now(), func() follower.Servers { return h.servers })
		h.dispatchProbes(ctx)
		if due, ok := h.nextRoundDue(); ok {
			timer.Reset(time.Until(due))
		}
	}
}

const fast = 12 * time.Millisecond

func allAnswer(garnetworks.InstanceID, int) (time.Duration, bool) { return fast, true }

// oneLost answers like all engines but one member of g0.
func oneLost(id garnetworks.InstanceID, _ int) (time.Duration, bool) { return fast, id != "i-0-1" }

// Guards against late verdicts, and healthy groups found lost by slowness, lost packets or the holder's fault.
func TestVerdict(t *testing.T) {
	cases := map[string]struct {
		answer func(garnetworks.InstanceID, int) (time.Duration, bool)
		groups int
		// unresponsive is an instance that was found unresponsive earlier.
		unresponsive      garnetworks.InstanceID
		pauseAt, pauseFor time.Duration
		noPlans           bool
		want              garnetworks.Verdict
		within            time.Duration
	}{
		"lost member":      {answer: oneLost, want: garnetworks.VerdictLost, within: 95 * time.Millisecond},
		"all members lost": {answer: func(id garnetworks.InstanceID, _ int) (time.Duration, bool) { return fast, id[:4] != "i-0-" }, want: garnetworks.VerdictLost, within: 95 * time.Millisecond},
		"healthy":          {answer: allAnswer, want: garnetworks.VerdictHealthy, within: fast},
		"lost packet":      {answer: func(id garnetworks.InstanceID, n int) (time.Duration, bool) { return fast, id != "i-0-1" || n > 1 }, want: garnetworks.VerdictHealthy, within: hedgeAfter + fast},
		"slow member":      {answer: func(id garnetworks.InstanceID, _ int) (time.Duration, bool) { return 80 * time.Millisecond, true }, want: garnetworks.VerdictHealthy, within: 80 * time.Millisecond},
		"paused member": {answer: func(id garnetworks.InstanceID, n int) (time.Duration, bool) {
			if id == "i-0-1" {
				return max(fast, 80*time.Millisecond-time.Duration(n-1)*hedgeAfter), true
			}
			return fast, true
		}, want: garnetworks.VerdictHealthy, within: 80 * time.Millisecond},
		"holder without links": {answer: func(garnetworks.InstanceID, int) (time.Duration, bool) { return 0, false }, want: garnetworks.VerdictUnknown, within: VerdictTimeout},
		"holder is paused":     {answer: oneLost, pauseAt: 50 * time.Millisecond, pauseFor: 80 * time.Millisecond, want: garnetworks.VerdictUnknown, within: VerdictTimeout},
		"holder is overloaded": {answer: func(id garnetworks.InstanceID, _ int) (time.Duration, bool) {
			return 60 * time.Millisecond, id != "i-0-1"
		}, want: garnetworks.VerdictUnknown, within: VerdictTimeout},
		"holder just replaced":                        {answer: oneLost, noPlans: true, want: garnetworks.VerdictUnknown, within: VerdictTimeout},
		"no other group":                              {answer: oneLost, groups: 1, want: garnetworks.VerdictLost, within: 95 * time.Millisecond},
		"no other group, none answers":                {answer: func(garnetworks.InstanceID, int) (time.Duration, bool) { return 0, false }, groups: 1, want: garnetworks.VerdictUnknown, within: VerdictTimeout},
		"serves without a member that doesn't answer": {answer: oneLost, unresponsive: "i-0-1", want: garnetworks.VerdictUnknown},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHolder(cmp.Or(c.groups, 6), c.answer)
				h.pauseAt, h.pauseFor = c.pauseAt, c.pauseFor
				if c.unresponsive != "" {
					h.unresponsive.Add(garnetworks.Incarnation{Instance: c.unresponsive})
				}
				if c.noPlans {
					h.lost.Store(nil)
				}
				ctx, cancel := context.WithCancel(t.Context())
				go h.run(ctx)
				began := time.Now()
				got := h.Verdict(ctx, "n1", "g0", 100*time.Millisecond)
				if took := time.Since(began); got != c.want || took > c.within {
					t.Errorf("got verdict %s after %s, want %s within %s", got, took, c.want, c.within)
				}
				if listed := slices.Contains(h.Lost(), "g0"); listed != (c.want == garnetworks.VerdictLost) {
					t.Errorf("the group is reported as lost: %t", listed)
				}
				time.Sleep(time.Second)
				cancel()
				synctest.Wait()
			})
		})
	}
}

// Guards against a group that stays reported as lost although the member answers after all.
func TestLateAnswerRefutesVerdict(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHolder(6, func(id garnetworks.InstanceID, n int) (time.Duration, bool) {
			if id == "i-0-1" {
				return 120*time.Millisecond - time.Duration(n-1)*hedgeAfter, true
			}
			return fast, true
		})
		ctx, cancel := context.WithCancel(t.Context())
		go h.run(ctx)
		if got := h.Verdict(ctx, "n1", "g0", 100*time.Millisecond); got != garnetworks.VerdictLost {
			t.Fatalf("got verdict %s", got)
		}
		time.Sleep(100 * time.Millisecond)
		synctest.Wait()
		h.findLostGroups(h.servers)
		if len(h.Lost()) > 0 || len(h.unresponsive) > 0 {
			t.Errorf("reported as lost: %v, unresponsive: %v", h.Lost(), h.unresponsive)
		}
		cancel()
		synctest.Wait()
	})
}

// Guards against probes and messages that grow with the nodes that ask.
func TestOneRoundServesAllNodesThatAsk(t *testing.T) {
	const slots = 30
	for _, nodes := range []int{6, 89, 986} {
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHolder(6, oneLost)
				ctx, cancel := context.WithCancel(t.Context())
				go h.run(ctx)
				random := rand.New(rand.NewPCG(1, uint64(nodes)))
				// A group has as many calls as slots, so no more nodes ask.
				askers := min(nodes, slots)
				verdicts := make(chan garnetworks.Verdict, askers)
				h.options.ActiveNodes = func(garnetworks.GroupID) int { return askers }
				for i := range askers {
					go func(delay time.Duration) {
						time.Sleep(delay)
						verdicts <- h.Verdict(ctx, garnetworks.NodeID(fmt.Sprint("n", i)), "g0", 100*time.Millisecond)
					}(time.Duration(random.IntN(40)) * time.Millisecond)
				}
				for range askers {
					if v := <-verdicts; v != garnetworks.VerdictLost {
						t.Errorf("got verdict %s", v)
					}
				}
				time.Sleep(time.Second)
				cancel()
				synctest.Wait()
				// Four members and three controls, and a second and a third probe of the lost one.
				if got := h.engines.probes.Load(); got > 9 {
					t.Errorf("%d probes for one loss", got)
				}
				t.Logf("%d nodes: %d questions and answers, %d probes", nodes, askers, h.engines.probes.Load())
			})
		})
	}
}

// Guards against a lost domain's unanswered probes filling the holder's window.
func TestVerdictsOnALostDomain(t *testing.T) {
	cases := map[string]struct {
		size float64 // of the probe window
		lost int     // groups found lost at least
	}{"window of a new holder": {initialWindow, 4}, "grown window": {maxWindow, 9}}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const groups = 9 // of a domain of 36
				var h *holder
				h = newHolder(groups+6, func(id garnetworks.InstanceID, _ int) (time.Duration, bool) {
					return fast, h.servers[id].Domain != "lost"
				})
				for id, s := range h.servers {
					if number, _ := strconv.Atoi(string(s.Domain)); number < groups {
						s.Domain, s.Zone = "lost", "0"
						h.servers[id] = s
					}
				}
				h.probeWindow.size = c.size
				ctx, cancel := context.WithCancel(t.Context())
				go h.run(ctx)
				verdicts := make(chan garnetworks.Verdict, groups)
				for g := range groups {
					go func() {
						verdicts <- h.Verdict(ctx, "n1", garnetworks.GroupID(fmt.Sprint("g", g)), 100*time.Millisecond)
					}()
				}
				lost := 0
				for range groups {
					if <-verdicts == garnetworks.VerdictLost {
						lost++
					}
				}
				if lost < c.lost {
					t.Errorf("%d of %d groups are found lost, want %d at least", lost, groups, c.lost)
				}
				time.Sleep(time.Second)
				cancel()
				synctest.Wait()
				t.Logf("%d groups found lost with %d probes", lost, h.engines.probes.Load())
			})
		})
	}
}

// Guards against probes for each lost packet of a large site.
func TestLoneQuestionCausesNoProbes(t *testing.T) {
	cases := map[string]struct {
		active int
		nodes  []garnetworks.NodeID
		want   garnetworks.Verdict
	}{
		"one of many":        {30, []garnetworks.NodeID{"n1"}, garnetworks.VerdictUnknown},
		"the same twice":     {30, []garnetworks.NodeID{"n1", "n1"}, garnetworks.VerdictUnknown},
		"two of many":        {30, []garnetworks.NodeID{"n1", "n2"}, garnetworks.VerdictLost},
		"one of few":         {2, []garnetworks.NodeID{"n1"}, garnetworks.VerdictLost},
		"two, no events yet": {0, []garnetworks.NodeID{"n1", "n2"}, garnetworks.VerdictLost},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHolder(6, oneLost)
				h.options.ActiveNodes = func(garnetworks.GroupID) int { return c.active }
				ctx, cancel := context.WithCancel(t.Context())
				go h.run(ctx)
				verdicts := make(chan garnetworks.Verdict, len(c.nodes))
				for _, n := range c.nodes {
					go func() { verdicts <- h.Verdict(ctx, n, "g0", 100*time.Millisecond) }()
					time.Sleep(10 * time.Millisecond)
				}
				for range c.nodes {
					if got := <-verdicts; got != c.want {
						t.Errorf("got verdict %s, want %s", got, c.want)
					}
				}
				if probed := h.engines.probes.Load() > 0; probed != (c.want == garnetworks.VerdictLost) {
					t.Errorf("engines were probed: %t", probed)
				}
				time.Sleep(time.Second)
				cancel()
				synctest.Wait()
			})
		})
	}
}

// Guards against verdicts while probes of several zones fail (O9), and none beside other rounds.
func TestUnansweredProbesInSeveralZones(t *testing.T) {
	cases := map[string]struct {
		zones int
		age   time.Duration
		want  bool
	}{
		"several zones":           {2, hedgeAfter, true},
		"one zone":                {1, hedgeAfter, false},
		"rounds have just begun":  {2, hedgeAfter - 1, false},
		"rounds of some time ago": {2, localFaultWindow + 1, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			h := newHolder(2, allAnswer)
			now := time.Now()
			for g := range 2 {
				group := garnetworks.GroupID(fmt.Sprint("g", g))
				r := &round{began: now.Add(-c.age), members: make(map[garnetworks.Incarnation]*memberProbe)}
				for _, s := range h.servers {
					if s.Membership.Group == group {
						r.members[s.Incarnation()] = &memberProbe{zone: garnetworks.ZoneID(fmt.Sprint(g % c.zones)), sent: now.Add(-c.age)}
					}
				}
				h.rounds[group] = r
			}
			if got := h.localFaultLikely(now); got != c.want {
				t.Errorf("a local fault is likely: %t, want %t", got, c.want)
			}
		})
	}
}
