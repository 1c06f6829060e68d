package suspector

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/garnetworks/garnetworks"
)

// replayedModel is a model of which a group is replayed; its calls are spread over nodes at random.
type replayedModel struct {
	callsPerSecond float64
	events, prompt int
	// factor multiplies the times of passes.
	factor float64
	pause  time.Duration
}

// delivery is an event of a call that reaches its node, or the call's start or end.
type delivery struct {
	at, started time.Duration
	node, kind  int
}

const (
	callStarts = iota
	firstEvent
	laterEvent
	lastEvent
)

// replay runs a group for some time, with the passes of the design page's engines, and returns the
// deliveries in order. One packet in a thousand is lost and resent after 0.2 s.
func (m *replayedModel) replay(random *rand.Rand, nodes int, span time.Duration) []delivery {
	type call struct {
		node, sent       int
		started, arrival time.Duration
	}
	var list []delivery
	var running []*call
	next := time.Duration(0)
	for now := time.Duration(0); now < span; {
		pass := 7 * (5.95 + 0.0445*float64(len(running))) * m.factor
		for ; next <= now; next += time.Duration(random.ExpFloat64() / m.callsPerSecond * float64(time.Second)) {
			c := &call{node: random.IntN(nodes), started: next}
			running = append(running, c)
			list = append(list, delivery{next, next, c.node, callStarts})
			pass += float64(m.prompt) / 50.7 * m.factor
		}
		now += time.Duration(pass * float64(time.Millisecond))
		running = slices.DeleteFunc(running, func(c *call) bool {
			at := now
			if random.IntN(1000) == 0 {
				at += 200 * ms
			}
			c.arrival = max(c.arrival, at)
			kind := laterEvent
			if c.sent++; c.sent == 1 {
				kind = firstEvent
			} else if c.sent == m.events {
				kind = lastEvent
			}
			list = append(list, delivery{c.arrival, c.started, c.node, kind})
			return kind == lastEvent
		})
	}
	slices.SortStableFunc(list, func(a, b delivery) int { return cmp.Compare(a.at, b.at) })
	return list
}

// Guards against frequent suspicions of healthy groups, and late ones of lost groups.
func TestSuspicionsOfHealthyGroupsAreRare(t *testing.T) {
	models := map[string]replayedModel{
		"larger model":  {callsPerSecond: 6, events: 25, prompt: 1460, factor: 1.3, pause: 300 * ms},
		"smaller model": {callsPerSecond: 12, events: 31, prompt: 714, factor: 0.8, pause: 200 * ms},
	}
	for name, m := range models {
		for _, nodes := range []int{6, 89, 986} {
			t.Run(fmt.Sprint(name, ", ", nodes, " nodes"), func(t *testing.T) {
				const span = 3 * time.Minute
				random := rand.New(rand.NewPCG(1, uint64(nodes)))
				// A node learns from all groups of a model, here ten, as from one.
				list := m.replay(random, max(1, nodes/10), span)
				type state struct {
					Suspector
					last  time.Duration
					calls []time.Duration // their starts
				}
				states := make([]state, max(1, nodes/10))
				calls, suspicions := 0, 0
				for _, d := range list {
					s, now := &states[d.node], start.Add(d.at)
					if len(s.calls) > 0 && d.kind != callStarts {
						if silence := d.at - max(s.last, s.calls[0]); s.Check(now, "g", silence, m.pause).Ask {
							suspicions++
							s.Answered(now, "g", now, garnetworks.VerdictHealthy)
						}
					}
					if d.kind == callStarts {
						calls++
						s.Started(now, "m", "g")
						s.calls = append(s.calls, d.at)
						continue
					}
					s.Event(now, "g", d.kind == firstEvent, d.at-d.started)
					s.last = d.at
					if d.kind == lastEvent {
						s.Ended(now, "g", true)
						at := slices.Index(s.calls, d.started)
						s.calls = slices.Delete(s.calls, at, at+1)
					}
				}
				var thresholds []time.Duration
				for i := range states {
					if len(states[i].calls) > 0 {
						thresholds = append(thresholds, states[i].Threshold(start.Add(span), "g", m.pause))
					}
				}
				slices.Sort(thresholds)
				median := thresholds[len(thresholds)/2]
				t.Logf("%d suspicions for %d calls; median threshold %s", suspicions, calls, median)
				if suspicions*8 > calls {
					t.Errorf("%d suspicions of a healthy group for %d calls", suspicions, calls)
				}
			})
		}
	}
}
