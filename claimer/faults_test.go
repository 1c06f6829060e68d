package claimer

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/garnetworks/garnetworks"
)

// A visit is sent while the object API has one fault after the other. In each
// case the caller must hear within its patience, and at once when the node knows
// already that the API is away; once the fault is over, the key must be as free
// as the caller was told.
func TestStoreFaults(t *testing.T) {
	const hour = time.Hour
	tests := map[string]struct {
		faults faults
		// want is the first answer; "" is a fresh claim.
		want garnetworks.Kind
		// again is the answer of a second key right after, within atOnce.
		wantSecond garnetworks.Kind
		within     time.Duration
	}{
		"none":                    {faults{}, "", "", 100 * time.Millisecond},
		"slow":                    {faults{latency: 200 * time.Millisecond}, "", "", 900 * time.Millisecond},
		"slower than a call's":    {faults{latency: 1100 * time.Millisecond}, garnetworks.KindClaimsUnavailable, garnetworks.KindClaimsUnavailable, DefaultClaimTimeout},
		"every answer lost":       {faults{lost: 1}, garnetworks.KindClaimsUnavailable, garnetworks.KindClaimsUnavailable, 0},
		"every write lands late":  {faults{late: 1}, garnetworks.KindClaimsUnavailable, garnetworks.KindClaimsUnavailable, 0},
		"everything is throttled": {faults{throttled: 1}, garnetworks.KindClaimsUnavailable, garnetworks.KindClaimsUnavailable, 0},
		"down":                    {faults{downTo: hour}, garnetworks.KindClaimsUnavailable, garnetworks.KindClaimsUnavailable, 0},
		"down for a moment":       {faults{downTo: 60 * time.Millisecond}, "", "", 200 * time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				c := newCluster(ctx, 1, false, 0, newStore(test.faults, 1))
				node := c.nodes[0]
				begun := time.Now()
				if _, err := node.Claim(ctx, request(0, 1)); garnetworks.KindOf(err) != test.want || time.Since(begun) > DefaultClaimTimeout {
					t.Errorf("after %v: %v", time.Since(begun), err)
				}
				begun = time.Now()
				if _, err := node.Claim(ctx, requestSameShard(1, 2)); garnetworks.KindOf(err) != test.wantSecond || time.Since(begun) > test.within {
					t.Errorf("second key after %v: %v", time.Since(begun), err)
				}
				c.store.mu.Lock()
				c.store.faults = faults{}
				c.store.mu.Unlock()
				time.Sleep(10 * time.Second)
				_, err := node.Claim(ctx, request(0, 3))
				if free := test.want != ""; free != (err == nil) {
					t.Errorf("after the fault: %v", err)
				}
				if owed := node.Stats().Unrecorded; owed != 0 {
					t.Errorf("%d outcomes are still owed", owed)
				}
				cancel()
				time.Sleep(5 * time.Second)
			})
		})
	}
}

// requestNear is request for another key of the same shard as key 0.
func requestSameShard(key, call int) garnetworks.ClaimRequest {
	shard := func(key int) int {
		r := request(key, call)
		return KeyDigest(r.Workspace, r.Service, r.Key).Shard()
	}
	for shard(key) != shard(0) {
		key++
	}
	return request(key, call)
}

// eventCounter counts events by kind.
type eventCounter struct {
	mu    sync.Mutex
	kinds map[garnetworks.EventKind]int
}

func (c *eventCounter) Record(event garnetworks.Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.kinds[event.Kind]++
}

// The object API is down for ten seconds while keyed calls of all shards arrive.
// The operator reads the time line and finds sixteen outages and sixteen ends at
// each node, as each shard tells its own, and older events are pushed out.
func TestOutageIsReportedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		events := &eventCounter{kinds: make(map[garnetworks.EventKind]int)}
		node := New(Options{Node: garnetworks.NodeInfo{ID: "a", Zone: "z"}, API: newStore(faults{downTo: 10 * time.Second}, 1), Random: lockedRandom(1), Recorder: events})
		go func() { _ = node.Run(ctx) }()
		var calls sync.WaitGroup
		for key := range 8 * Shards {
			calls.Go(func() { _, _ = node.Claim(ctx, request(key, 1)) })
		}
		calls.Wait()
		time.Sleep(20 * time.Second)
		for key := range 8 * Shards {
			if _, err := node.Claim(ctx, request(key, 2)); err != nil {
				t.Errorf("key %d after the outage: %v", key, err)
			}
		}
		if down, back := events.kinds[garnetworks.EventObjectAPIDown], events.kinds[garnetworks.EventObjectAPIRestored]; down != 1 || back != 1 {
			t.Errorf("got %d outages and %d ends on the time line, want 1 and 1", down, back)
		}
	})
}
