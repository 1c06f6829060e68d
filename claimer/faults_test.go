package claimer

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/garnetworks/garnetworks"
)

// Under each fault a claim must be answered within its timeout, and once the fault is over the
// key must be free exactly if the caller was refused.
func TestStoreFaults(t *testing.T) {
	const hour = time.Hour
	tests := map[string]struct {
		faults faults
		// want is the kind of the first result; "" is a granted claim.
		want garnetworks.Kind
		// wantSecond is the kind for a second key afterwards, due within the duration.
		wantSecond garnetworks.Kind
		within     time.Duration
	}{
		"none":                          {faults{}, "", "", 100 * time.Millisecond},
		"slow":                          {faults{latency: 200 * time.Millisecond}, "", "", 900 * time.Millisecond},
		"slower than the call timeout":  {faults{latency: 1100 * time.Millisecond}, garnetworks.KindClaimsUnavailable, garnetworks.KindClaimsUnavailable, DefaultClaimTimeout},
		"every answer lost":             {faults{lost: 1}, garnetworks.KindClaimsUnavailable, garnetworks.KindClaimsUnavailable, 0},
		"every write takes effect late": {faults{late: 1}, garnetworks.KindClaimsUnavailable, garnetworks.KindClaimsUnavailable, 0},
		"everything is throttled":       {faults{throttled: 1}, garnetworks.KindClaimsUnavailable, garnetworks.KindClaimsUnavailable, 0},
		"down":                          {faults{downTo: hour}, garnetworks.KindClaimsUnavailable, garnetworks.KindClaimsUnavailable, 0},
		"down for a moment":             {faults{downTo: 60 * time.Millisecond}, "", "", 200 * time.Millisecond},
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
				if unrecorded := node.Stats().Unrecorded; unrecorded != 0 {
					t.Errorf("%d outcomes are still unrecorded", unrecorded)
				}
				cancel()
				time.Sleep(5 * time.Second)
			})
		})
	}
}

// requestSameShard is like request, but for another key of key 0's shard.
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

// An outage of the object API must be reported once per node, not once per shard; the reports
// would otherwise push out older events.
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
