package quarantiner

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/faker"
)

// Guards against each node letting a call through once the time of a quarantine is over.
func TestOneCallIsTriedAfterQuarantine(t *testing.T) {
	const (
		judged   = 30 * time.Second
		interval = 500 * time.Millisecond
		// mostReads bounds the reads of the object by a node while a trial is under way and after it.
		mostReads = 4
	)
	type result struct {
		harmful bool
		faults  faker.FaultPlan
		// mostReached bounds the calls that reach servers; held is whether calls are held in the end.
		mostReached int
		held        bool
	}
	cases := map[string]result{
		"still harmful":              {harmful: true, mostReached: 1, held: true},
		"repaired":                   {mostReached: 1},
		"lost writes":                {harmful: true, faults: faker.FaultPlan{LoseAnswers: 2, Methods: []string{faker.MethodPut}}, mostReached: 1, held: true},
		"the object API unavailable": {harmful: true, faults: faker.FaultPlan{Down: true}, held: true},
	}
	sizes := []int{6}
	if !testing.Short() {
		sizes = append(sizes, 89)
	}
	if *LargeSites {
		sizes = append(sizes, 986)
	}
	for _, nodes := range sizes {
		for name, c := range cases {
			t.Run(fmt.Sprint(nodes, " nodes/", name), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					objects := faker.NewObjects(faker.ObjectsOptions{})
					seen := newIdle()
					seen.crashCalls(0, "p", "p", "p", "p", "p")
					ctx, stop := context.WithCancel(t.Context())
					var site []*Quarantiner
					for range nodes {
						q := New(Options{
							Objects: objects, IsReader: func() bool { return false },
							Probe: func(context.Context, garnetworks.Incarnation, bool) garnetworks.CrashState {
								return garnetworks.CrashProven
							},
						})
						q.Merge(seen.Retained())
						site = append(site, q)
						go func() { _ = q.Run(ctx) }()
					}
					time.Sleep(MinQuarantine + time.Second)
					objects.SetFaults(c.faults)
					readsBefore := objects.Counts()[faker.MethodGet]
					var mu sync.Mutex
					reached, calls := 0, 0
					send := func(q *Quarantiner) {
						mu.Lock()
						calls++
						call := callWith(1000+calls, "p")
						mu.Unlock()
						if _, held := q.Quarantined(ctx, call); held {
							return
						}
						mu.Lock()
						reached++
						server := incarnation(1000 + reached)
						mu.Unlock()
						time.Sleep(100 * time.Millisecond)
						if c.harmful {
							q.ReportInterrupted(call, server)
						} else {
							q.ReportSurvival(call)
						}
					}
					count := func() int {
						mu.Lock()
						defer mu.Unlock()
						return reached
					}
					for range int(judged / interval) {
						for _, q := range site {
							go send(q)
						}
						time.Sleep(interval)
						if !c.harmful && count() > 0 {
							break
						}
					}
					if reads := objects.Counts()[faker.MethodGet] - readsBefore; reads > mostReads*uint64(nodes) {
						t.Errorf("%d reads of the object, want %d for each node at most", reads, mostReads)
					}
					if n := count(); n > c.mostReached {
						t.Errorf("%d of %d calls reached servers, want %d at most", n, calls, c.mostReached)
					}
					for _, q := range site {
						site[0].Merge(q.Retained())
					}
					if _, held := site[0].Quarantined(ctx, callWith(1, "p")); held != c.held {
						t.Errorf("once the nodes have exchanged their records, calls are held = %t", held)
					}
					stop()
					synctest.Wait()
				})
			})
		}
	}
}
