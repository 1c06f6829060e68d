package quarantiner_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/faker"
	"github.com/garnetworks/garnetworks/quarantiner"
)

const (
	// judgedCrashes is the number of crashes after which, learnTime later, at most maxLateRuns
	// calls with a harmful part may reach servers, sent by nodes that were undisturbed for
	// learnTime.
	judgedCrashes = 5
	learnTime     = 4 * time.Second
	// partCrashes is the number of crashes after which a part is quarantined.
	partCrashes = 4
	maxLateRuns = 3
	// retryTime is the time from an attempt that crashes its server to the retry.
	retryTime = 200 * time.Millisecond
	// harmfulInterval and soundInterval are the times between calls of both kinds to the site.
	harmfulInterval = 100 * time.Millisecond
	soundInterval   = 20 * time.Millisecond
)

// traffic sends harmful calls, which share a part and nothing else, and sound ones, which share
// their other part, to random nodes of a site.
type traffic struct {
	*site
	guard  sync.Mutex
	random *rand.Rand
	// harmful returns the parts of a harmful call, and which of them is harmful.
	harmful func() (parts []garnetworks.PromptPart, harmful garnetworks.PromptPart)
	// interval is the time between harmful calls, harmfulInterval if it is 0.
	interval time.Duration
	// soundAfter is how long only harmful calls are sent.
	soundAfter time.Duration
	// disturbed is when a node was last partitioned, killed or started.
	disturbed map[*node]time.Time
	// crashedAt are the times of the crashes under calls with each harmful part, crashes their number.
	crashedAt map[garnetworks.PromptPart][]time.Time
	crashes   int
	// late counts the calls that reached servers too late, held the sound ones that were held.
	late, held, sound, calls int
}

func newTraffic(s *site, seed uint64) *traffic {
	return &traffic{
		site: s, random: rand.New(rand.NewPCG(seed, 1)), disturbed: make(map[*node]time.Time),
		crashedAt: make(map[garnetworks.PromptPart][]time.Time),
	}
}

// identity returns the identity of the next call with the parts.
func (f *traffic) identity(parts ...garnetworks.PromptPart) garnetworks.CallIdentity {
	f.guard.Lock()
	defer f.guard.Unlock()
	f.calls++
	call := garnetworks.ProxiedCall{
		ID: garnetworks.CallID(fmt.Sprint("r", f.calls)), Body: fmt.Append(nil, f.calls), Model: "m",
		SharedParts: parts,
	}
	return call.Identity("w")
}

func (f *traffic) pick() *node {
	nodes := f.all()
	return nodes[f.draw(len(nodes))]
}

func (f *traffic) draw(n int) int {
	f.guard.Lock()
	defer f.guard.Unlock()
	return f.random.IntN(n)
}

// oneOf returns one of some parts with a name.
func (f *traffic) oneOf(name string, parts int) garnetworks.PromptPart {
	return garnetworks.PromptPart(fmt.Sprint(name, f.draw(parts)))
}

// disturb notes that a node was partitioned, killed or started.
func (f *traffic) disturb(n *node) {
	f.guard.Lock()
	defer f.guard.Unlock()
	f.disturbed[n] = time.Now()
}

// replace kills a node and starts another one in its zone.
func (f *traffic) replace(n *node) {
	f.kill(n)
	zone, err := strconv.Atoi(string(n.info.Zone))
	if err != nil {
		f.t.Error(err)
	}
	f.disturb(f.start(zone))
}

// crash notes that a call with a harmful part reaches a server, which crashes, and returns the
// server's incarnation.
func (f *traffic) crash(n *node, harmful garnetworks.PromptPart) garnetworks.Incarnation {
	f.guard.Lock()
	defer f.guard.Unlock()
	now := time.Now()
	crashedAt := append(f.crashedAt[harmful], now)
	f.crashedAt[harmful] = crashedAt
	if len(crashedAt) > judgedCrashes && now.Sub(crashedAt[judgedCrashes-1]) > learnTime && now.Sub(f.disturbed[n]) > learnTime {
		f.late++
	}
	f.crashes++
	return garnetworks.Incarnation{Instance: garnetworks.InstanceID(fmt.Sprint("i", f.crashes))}
}

// sendHarmful sends a call that crashes the server of each attempt.
func (f *traffic) sendHarmful() {
	n := f.pick()
	parts, harmful := f.harmful()
	call := f.identity(parts...)
	for range 2 {
		if _, held := n.Quarantined(f.t.Context(), call); held {
			return
		}
		incarnation := f.crash(n, harmful)
		time.Sleep(retryTime)
		n.ReportInterrupted(call, incarnation)
	}
}

// sendSound sends a call with one of a few parts of its own kind.
func (f *traffic) sendSound() {
	n := f.pick()
	call := f.identity("common", f.oneOf("subject", 200))
	_, held := n.Quarantined(f.t.Context(), call)
	f.guard.Lock()
	f.sound++
	if held {
		f.held++
	}
	f.guard.Unlock()
	if held {
		return
	}
	time.Sleep(retryTime)
	n.ReportSurvival(call)
}

// run sends calls for a time and waits until they have ended.
func (f *traffic) run(span time.Duration) {
	harmful, sound := time.NewTicker(cmp.Or(f.interval, harmfulInterval)), time.NewTicker(soundInterval)
	defer harmful.Stop()
	defer sound.Stop()
	began, end := time.Now(), time.After(span)
	var calls sync.WaitGroup
	defer calls.Wait()
	for {
		select {
		case <-end:
			return
		case <-harmful.C:
			calls.Go(f.sendHarmful)
		case <-sound.C:
			if time.Since(began) > f.soundAfter {
				calls.Go(f.sendSound)
			}
		}
	}
}

// Guards against calls with a harmful part reaching servers at nodes that did not see the crashes.
func TestQuarantineOfPartsReachesAllNodes(t *testing.T) {
	sizes := map[string]struct{ zones, perZone int }{"6 nodes": {3, 2}}
	if !testing.Short() {
		sizes["89 nodes"] = struct{ zones, perZone int }{3, 30}
	}
	if *quarantiner.LargeSites {
		sizes["986 nodes"] = struct{ zones, perZone int }{7, 141}
	}
	const span = 12 * time.Second
	cases := map[string]func(f *traffic){
		"calm": func(*traffic) {},
		"all nodes are killed after the crashes": func(f *traffic) {
			time.Sleep(5 * time.Second)
			for _, n := range f.all() {
				f.replace(n)
			}
		},
		"nodes are killed one after the other": func(f *traffic) {
			for range 20 {
				f.replace(f.pick())
				time.Sleep(400 * time.Millisecond)
			}
		},
		"a third of the nodes is partitioned meanwhile": func(f *traffic) {
			nodes := f.all()
			cut := func(partition int, lost bool) {
				for i, n := range nodes {
					if i%3 == 0 {
						f.set(n, func(n *node) { n.partition, n.noObjectAPI = partition, lost })
						f.disturb(n)
					}
				}
			}
			cut(1, true)
			time.Sleep(6 * time.Second)
			cut(0, false)
		},
		"the object API is unavailable": func(f *traffic) { f.objects.SetFaults(faker.FaultPlan{Down: true}) },
	}
	for size, z := range sizes {
		for name, disturbance := range cases {
			t.Run(size+"/"+name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					s := newSite(t, z.zones, z.perZone)
					f := newTraffic(s, 1)
					f.harmful = func() ([]garnetworks.PromptPart, garnetworks.PromptPart) {
						return []garnetworks.PromptPart{"common", "bad"}, "bad"
					}
					go disturbance(f)
					f.run(span)
					if f.crashes < judgedCrashes || f.late > maxLateRuns {
						t.Errorf("%d servers crashed, %d of them too late; want %d too late at most", f.crashes, f.late, maxLateRuns)
					}
					if f.held > 0 {
						t.Errorf("%d of %d sound calls are held", f.held, f.sound)
					}
					s.close()
				})
			})
		}
	}
}

// Guards against blaming a first part for harmful parts behind it, and the reverse.
func TestHarmfulPartsBehindAFirstOneAreToldApart(t *testing.T) {
	const seeds = 10
	paces := map[string]struct{ interval, soundAfter, span time.Duration }{
		"fast": {harmfulInterval, 3 * time.Second, 15 * time.Second},
		"slow": {2 * time.Second, 25 * time.Second, 35 * time.Second},
	}
	behind := func(n int) func(f *traffic) ([]garnetworks.PromptPart, garnetworks.PromptPart) {
		return func(f *traffic) ([]garnetworks.PromptPart, garnetworks.PromptPart) {
			bad := f.oneOf("bad", n)
			return []garnetworks.PromptPart{"common", bad}, bad
		}
	}
	before := func(n int) func(f *traffic) ([]garnetworks.PromptPart, garnetworks.PromptPart) {
		return func(f *traffic) ([]garnetworks.PromptPart, garnetworks.PromptPart) {
			return []garnetworks.PromptPart{"bad", f.oneOf("subject", n)}, "bad"
		}
	}
	alone := func(*traffic) ([]garnetworks.PromptPart, garnetworks.PromptPart) {
		return []garnetworks.PromptPart{"bad"}, "bad"
	}
	for name, harmful := range map[string]func(f *traffic) ([]garnetworks.PromptPart, garnetworks.PromptPart){
		"one behind": behind(1), "two behind": behind(2), "three behind": behind(3), "alone": alone,
		"first before two": before(2), "first before three": before(3), "first before five": before(5), "first before many": before(200),
	} {
		for pace, p := range paces {
			for seed := range uint64(seeds) {
				t.Run(fmt.Sprintf("%s, %s, seed %d", name, pace, seed), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						s := newSite(t, 2, 1+int(seed%2)*2)
						f := newTraffic(s, seed)
						f.interval, f.soundAfter = p.interval, p.soundAfter
						f.harmful = func() ([]garnetworks.PromptPart, garnetworks.PromptPart) { return harmful(f) }
						f.run(p.span)
						t.Logf("%d servers crashed, %d of them too late; %d of %d sound calls are held", f.crashes, f.late, f.held, f.sound)
						if f.crashes < partCrashes || f.late > maxLateRuns {
							t.Errorf("%d servers crashed, %d of them too late; want %d too late at most", f.crashes, f.late, maxLateRuns)
						}
						if f.held > 0 {
							t.Errorf("%d of %d sound calls are held", f.held, f.sound)
						}
						s.close()
					})
				})
			}
		}
	}
}
