package relayer

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/garnetworks/garnetworks"
)

// failureKey identifies a peer and the prefix that it failed to return.
type failureKey struct{ address, prefix string }

// failure records when a request to a peer failed, until when the peer is not asked again, and
// whether it responded.
type failure struct {
	at, until time.Time
	responded bool
}

// fallbacks returns the addresses of the fallback nodes (rule Y7).
func (r *Relayer) fallbacks() (near, far []string) {
	if r.options.Fallbacks == nil {
		return nil, nil
	}
	return r.options.Fallbacks()
}

// listFromPeers requests all objects from up to maxListAttempts other nodes. It goes on to the
// next one if a node responds that it is stale, or does not respond while the object API fails.
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

// Isolated reports whether the node reads some prefix for itself only: it has relays, none of
// them is available, and no node has followed this one for PeerRetryDelay. Such a node doesn't
// have to call the object API as often as one that reads for others.
func (r *Relayer) Isolated() bool {
	for _, c := range r.caches {
		if r.isolated(c) {
			return true
		}
	}
	return false
}

// isolated is Isolated for one prefix.
func (r *Relayer) isolated(c *cache) bool {
	relays := r.options.Relays(c.prefix)
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(relays) > 0 && len(r.availableLocked(now, c, relays)) == 0 && now.Sub(r.lastFollowed) > PeerRetryDelay
}

// selectPeer returns the peer to request the cache's prefix from: the first available relay, if
// there is one. During a backoff from the object API, the fallback that responded last comes
// before it, and if no relay is available, selectPeer returns a random available fallback (rule
// Y7), or else the relay or fallback that failed longest ago.
//
// Without fallbacks, a node that backs off while its preferred relay is partitioned would keep a
// stale routing until the backoff ends, though other nodes have the newest one.
func (r *Relayer) selectPeer(c *cache) (string, bool) {
	now := time.Now()
	relays := r.options.Relays(c.prefix)
	near, far := r.fallbacks()
	fallbacks := slices.Concat(near, far)
	r.mu.Lock()
	defer r.mu.Unlock()
	backingOff := r.backoffLocked(now, c, relays)
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
		near, far, fallbacks = nil, nil, nil
	}
	if available := r.drawGroupLocked(now, c, near, far); len(available) > 0 {
		return available[int(r.options.Random()*float64(len(available)))], true
	}
	if len(relays)+len(fallbacks) == 0 {
		return "", false
	}
	failedAt := func(address string) time.Time { return r.failed[failureKey{address, c.prefix}].at }
	return slices.MinFunc(slices.Concat(relays, fallbacks), func(a, b string) int { return failedAt(a).Compare(failedAt(b)) }), true
}

// drawGroupLocked returns the available fallbacks of one of the two groups, each as often as the
// other if both have some. r.mu must be held.
//
// Failure: a zone is partitioned. Half of all fallbacks do not respond, each of them takes the
// time of a request, and a node that draws from all may ask only those until its contents are
// too old. If the object API fails a whole zone, the nodes of that zone are as stale as this one.
func (r *Relayer) drawGroupLocked(now time.Time, c *cache, near, far []string) []string {
	near, far = r.availableLocked(now, c, near), r.availableLocked(now, c, far)
	if len(near) == 0 || len(far) > 0 && r.options.Random() < 0.5 {
		return far
	}
	return near
}

// availableLocked returns those of the addresses that have not recently failed to return the
// cache's prefix. It removes expired failures. r.mu must be held.
func (r *Relayer) availableLocked(now time.Time, c *cache, addresses []string) []string {
	maps.DeleteFunc(r.failed, func(_ failureKey, f failure) bool { return now.After(f.until) })
	return slices.DeleteFunc(slices.Clone(addresses), func(address string) bool {
		_, failed := r.failed[failureKey{address, c.prefix}]
		return failed
	})
}

// fetch requests a prefix from a peer. It returns the response, or nil if there is none or it
// is too old (rule Y3), the time as of which its contents are confirmed, and whether the peer
// responded at all.
//
// A leaf repeats a request that got no usable response if the apply time allows it. When a
// region's reader loses the object API, the contents of all nodes become stale at once; without
// the second request, each node would call the object API instead of its relay.
func (r *Relayer) fetch(ctx context.Context, address, prefix string, after garnetworks.Revision, wait time.Duration) (*garnetworks.FollowResponse, time.Time, bool) {
	response, confirmed, responded := r.fetchOnce(ctx, address, prefix, after, wait)
	if response == nil && responded && wait > 0 && r.caches[prefix].repeatsRequests() && r.leaf() {
		response, confirmed, responded = r.fetchOnce(ctx, address, prefix, after, wait)
	}
	relay := slices.Contains(r.options.Relays(prefix), address)
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

// recordFailureLocked records that a peer did not return contents: of one prefix if it
// responded, of all prefixes if it did not. r.mu must be held.
func (r *Relayer) recordFailureLocked(address, prefix string, relay, responded bool) {
	now := time.Now()
	until := now.Add(PeerRetryDelay)
	switch {
	case responded:
		until = now.Add(staleRetryDelay)
	case !relay:
		until = now.Add(fallbackRetryDelay)
	}
	for p := range r.caches {
		if p == prefix || !responded {
			r.failed[failureKey{address, p}] = failure{now, until, responded}
		}
	}
}

// fetchOnce sends one request; responded is also true if the peer responds that it is not ready.
func (r *Relayer) fetchOnce(ctx context.Context, address, prefix string, after garnetworks.Revision, wait time.Duration) (response *garnetworks.FollowResponse, confirmed time.Time, responded bool) {
	call, cancel := context.WithTimeout(ctx, connectionAttempts*(wait+r.marginFor(r.caches[prefix])))
	defer cancel()
	sent := time.Now()
	response, err := r.options.Peers.Follow(call, address, &garnetworks.FollowRequest{Prefix: prefix, After: after, WaitMS: wait.Milliseconds()})
	if ctx.Err() != nil || err != nil {
		return nil, time.Time{}, garnetworks.IsKind(err, garnetworks.KindNotReady)
	}
	// The peer responded WaitedMS after the request was sent, or later (rule Y2).
	confirmed = sent.Add(time.Duration(response.WaitedMS-response.AgeMS) * time.Millisecond)
	if response.Revision < after || time.Since(confirmed) >= r.caches[prefix].times.maxAge {
		return nil, time.Time{}, true
	}
	r.options.Observe(response.Revision)
	return response, confirmed, true
}

// marginFor returns how long past its wait a response may take. A node without contents rejects
// calls meanwhile, so that it waits for no longer than for the prefix with the shortest times.
func (r *Relayer) marginFor(c *cache) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c.revision == 0 {
		return ResponseMargin
	}
	return c.times.margin
}

// leaf reports whether no node has followed this one for PeerRetryDelay.
func (r *Relayer) leaf() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Since(r.lastFollowed) > PeerRetryDelay
}
