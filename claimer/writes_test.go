package claimer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/garnetworks/garnetworks"
)

// maxWritesPerSecond is the write rate that rule C8 allows, plus a tenth for jitter and retries
// after conflicts.
const maxWritesPerSecond = 1.1 * Shards * float64(time.Second/DefaultInterval)

// The write rate must stay below a bound that does not depend on the rate of calls, and no
// call may be refused.
func TestWriteRateIsBounded(t *testing.T) {
	rates := []int{5, 50, 200, 800, 3200}
	if testing.Short() {
		rates = []int{50, 200}
	}
	for _, size := range []struct {
		nodes      int
		forwarding bool
	}{{6, false}, {48, true}} {
		for _, rate := range rates {
			t.Run(fmt.Sprintf("nodes-%d/forwarding-%v/calls-%d", size.nodes, size.forwarding, rate), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { countWrites(t, size.nodes, size.forwarding, rate) })
			})
		}
	}
}

func countWrites(t *testing.T, nodes int, forwarding bool, rate int) {
	const seconds = 3
	ctx, cancel := context.WithCancel(t.Context())
	store := newStore(faults{latency: 4 * time.Millisecond}, 1)
	c := newCluster(ctx, nodes, forwarding, 0, store)
	random := rand.New(rand.NewPCG(1, 1))
	var mu sync.Mutex
	var waits []time.Duration
	refused := 0
	var calls sync.WaitGroup
	for i := range rate * seconds {
		at := time.Duration(random.Int64N(seconds * int64(time.Second)))
		node := c.nodes[random.IntN(nodes)]
		calls.Go(func() {
			time.Sleep(at)
			begun := time.Now()
			r := request(i, i)
			claim, err := node.Claim(ctx, r)
			mu.Lock()
			waits = append(waits, time.Since(begun))
			if err != nil {
				refused++
			}
			mu.Unlock()
			if err == nil {
				time.Sleep(20 * time.Millisecond)
				_ = node.Complete(ctx, claim.Claim, &garnetworks.ServiceResponse{ID: r.Call, Status: 200, Body: make([]byte, 200)})
			}
		})
	}
	calls.Wait()
	elapsed := time.Since(store.start).Seconds()
	cancel()
	time.Sleep(time.Second)
	slices.Sort(waits)
	writes := float64(store.puts) / elapsed
	t.Logf("%5d calls/s: %6.1f writes/s (%.1f of them conflicts), %6.1f reads/s, claim p50 %v p99 %v, %d refused",
		rate, writes, float64(store.conflicts)/elapsed, float64(store.gets)/elapsed,
		waits[len(waits)/2].Round(time.Millisecond), waits[len(waits)*99/100].Round(time.Millisecond), refused)
	if writes > maxWritesPerSecond {
		t.Errorf("%.1f writes/s, over %.1f", writes, maxWritesPerSecond)
	}
	if store.conflicts*4 > store.puts {
		t.Errorf("%d of %d writes met a conflict", store.conflicts, store.puts)
	}
	if refused > 0 {
		t.Errorf("%d claims were refused", refused)
	}
}
