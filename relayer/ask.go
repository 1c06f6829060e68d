package relayer

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/garnetworks/garnetworks"
)

// failureKey is what a node is asked about.
type failureKey struct{ address, prefix string }

// failure is when a node did not help, and until when it is not asked again.
type failure struct{ at, until time.Time }

// fallbacks returns the addresses of further nodes to ask (Y7).
func (r *Relayer) fallbacks() []string {
	if r.options.Fallbacks == nil {
		return nil
	}
	return r.options.Fallbacks()
}

// listFromPeers asks other nodes for all objects: the next one at once if one answers that it
// is stale, or does not answer while the object API fails.
func (r *Relayer) listFromPeers(ctx context.Context, c *cache, prefix string) ([]garnetworks.Object, garnetworks.Revision, bool) {
	for range maxListAttempts {
		address, ok := r.selectPeer(c)
		if !ok {
			return nil, 0, false
		}
		response, confirmed, responded := r.fetch(ctx, address, prefix, 0, 0)
		if response != nil && response.Snapshot {
			r.storeSnapshot(c, response.Objects, response.Revision, confirmed)
			r.recordPeerResponse(c, address, confirmed)
			return response.Objects, response.Revision, true
		}
		if !responded && !r.failing(c) {
			return nil, 0, false
		}
	}
	return nil, 0, false
}

// Isolated reports whether the node reads some prefix for itself only: there are nodes to ask,
// none of them answers, and none has asked this one for a while.
//
// Load pattern: a sixth of the nodes is cut off from the others and reaches the object
// API. Each of them read as often as one that reads for twenty: 7 cut nodes of 20 made
// some 40 of 55 calls a second. No other node waits for what such a node reads.
func (r *Relayer) Isolated() bool {
	for _, c := range r.caches {
		if r.isolated(c) {
			return true
		}
	}
	return false
}

// isolated is Alone for one prefix.
func (r *Relayer) isolated(c *cache) bool {
	relays := r.options.Relays()
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(relays) > 0 && len(r.availableLocked(now, c, relays)) == 0 && now.Sub(r.lastFollowed) > PeerRetryDelay
}

// selectPeer returns the node to ask now for what the cache holds, if there is one: a relay that has
// not failed to help a moment ago. During a backoff from the object API, the spare that helped
// last is preferred to it; without a relay it is any spare that has not failed (rule Y7), or the
// node that failed longest ago.
//
// Failure: the preferred relay is partitioned, and a node that backed off from the object API
// polled only that relay until the end of its backoff, with a stale routing, while another node
// had the newest one.
func (r *Relayer) selectPeer(c *cache) (string, bool) {
	now := time.Now()
	relays, fallbacks := r.options.Relays(), r.fallbacks()
	r.mu.Lock()
	defer r.mu.Unlock()
	backingOff := now.Before(c.backoffUntil)
	if backingOff && len(r.availableLocked(now, c, []string{c.fallback})) > 0 && slices.Contains(fallbacks, c.fallback) {
		return c.fallback, true
	}
	if available := r.availableLocked(now, c, relays); len(available) > 0 {
		return available[0], true
	}
	if !backingOff {
		return "", false
	}
	if r.readsForOthersLocked(now, relays) && c.failures < fallbackThreshold {
		fallbacks = nil
	}
	if available := r.availableLocked(now, c, fallbacks); len(available) > 0 {
		return available[int(r.options.Random()*float64(len(available)))], true
	}
	if len(relays)+len(fallbacks) == 0 {
		return "", false
	}
	failedAt := func(address string) time.Time { return r.failed[failureKey{address, c.prefix}].at }
	return slices.MinFunc(slices.Concat(relays, fallbacks), func(a, b string) int { return failedAt(a).Compare(failedAt(b)) }), true
}

// availableLocked returns the nodes that have not failed to help with the cache's prefix a moment
// ago.
func (r *Relayer) availableLocked(now time.Time, c *cache, addresses []string) []string {
	maps.DeleteFunc(r.failed, func(_ failureKey, f failure) bool { return now.After(f.until) })
	return slices.DeleteFunc(slices.Clone(addresses), func(address string) bool {
		_, failed := r.failed[failureKey{address, c.prefix}]
		return failed
	})
}

// fetch asks a node, and returns its answer, since when that is certain, and whether the node
// answered at all. An answer that is too old does not count (rule Y3).
//
// Load pattern: the node that reads for a region is cut off from the object API in silence.
// Its contents grow stale at all nodes in the same moment, and each of 88 read for itself,
// 800 calls in eight seconds, though the node that it asks does so for it. So a node that
// no other node asks repeats its question once, if the site leaves it the time.
func (r *Relayer) fetch(ctx context.Context, address, prefix string, after garnetworks.Revision, wait time.Duration) (*garnetworks.FollowResponse, time.Time, bool) {
	response, confirmed, responded := r.fetchOnce(ctx, address, prefix, after, wait)
	if response == nil && responded && wait > 0 && r.options.ApplyTime >= retriedAge+retryReserve && r.leaf() {
		response, confirmed, responded = r.fetchOnce(ctx, address, prefix, after, wait)
	}
	relay := slices.Contains(r.options.Relays(), address)
	r.mu.Lock()
	defer r.mu.Unlock()
	if relay {
		r.relayResponded = responded
	}
	if response == nil && ctx.Err() == nil {
		r.recordFailureLocked(address, prefix, relay, responded)
	}
	return response, confirmed, responded
}

// recordFailureLocked notes that a node did not help: with one prefix if it answered, else with all.
func (r *Relayer) recordFailureLocked(address, prefix string, relay, responded bool) {
	now := time.Now()
	until := now.Add(PeerRetryDelay)
	switch {
	case responded && now.Before(r.caches[prefix].backoffUntil):
		until = now.Add(staleRetryDelay)
	case !relay:
		until = now.Add(fallbackRetryDelay)
	}
	for p := range r.caches {
		if p == prefix || !responded {
			r.failed[failureKey{address, p}] = failure{now, until}
		}
	}
}

// fetchOnce is ask with one question; answered says that the node answered, if only that it
// is stale.
func (r *Relayer) fetchOnce(ctx context.Context, address, prefix string, after garnetworks.Revision, wait time.Duration) (response *garnetworks.FollowResponse, confirmed time.Time, responded bool) {
	call, cancel := context.WithTimeout(ctx, connectionAttempts*(wait+ResponseMargin))
	defer cancel()
	sent := time.Now()
	response, err := r.options.Peers.Follow(call, address, &garnetworks.FollowRequest{Prefix: prefix, After: after, WaitMS: wait.Milliseconds()})
	if ctx.Err() != nil || err != nil {
		return nil, time.Time{}, garnetworks.IsKind(err, garnetworks.KindNotReady)
	}
	// The answer left the node HeldMS after it was asked, or later (rule Y2).
	confirmed = sent.Add(time.Duration(response.WaitedMS-response.AgeMS) * time.Millisecond)
	if response.Revision < after || time.Since(confirmed) >= MaxAge {
		return nil, time.Time{}, true
	}
	return response, confirmed, true
}

// leaf reports whether no other node relies on what this one reads.
func (r *Relayer) leaf() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Since(r.lastFollowed) > PeerRetryDelay
}
