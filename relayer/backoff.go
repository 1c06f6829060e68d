package relayer

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/garnetworks/garnetworks"
)

// failing reports whether the object API failed the last call for the cache's prefix.
func (r *Relayer) failing(c *cache) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return c.failures > 0
}

// errBackingOff is returned in place of a call to the object API (rule Y5).
var errBackingOff = garnetworks.Errorf(garnetworks.KindObjectAPIDown, "the object API failed recently, and no node that was asked has fresh contents")

// backingOff reports whether the node backs off from the object API now (rule Y5): the relay
// that it asked last responded, or a peer has just returned fresh contents. Other nodes keep
// calling, since no peer would detect the object API's return for them.
func (r *Relayer) backingOff(c *cache) bool {
	relays := r.options.Relays(c.prefix)
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.backoffLocked(now, c, relays) {
		return false
	}
	return len(relays) > 0 && r.relayResponded || now.Sub(c.lastPeerSuccess) < c.times.maxAge
}

// recordCall records the result of a call to the object API, and starts or ends the backoff
// (rule Y5). Without a backoff, all nodes would call a failing object API at their full rate,
// and all at once when it returns.
//
// call is the context of the call, derived from its caller's ctx. A call that timed out raises
// the failures to fallbackThreshold at least; one that the caller cancelled doesn't count.
func (r *Relayer) recordCall(ctx, call context.Context, c *cache, err error) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case err == nil, garnetworks.IsKind(err, garnetworks.KindCompacted):
		c.failures, c.fallback, c.direct, c.answered = 0, "", true, now
	case !errors.Is(ctx.Err(), context.Canceled):
		if c.failures == 0 {
			c.firstFailure = now
		}
		c.failures++
		if errors.Is(call.Err(), context.DeadlineExceeded) {
			c.failures = max(c.failures, fallbackThreshold)
		}
		c.lastFailure, c.backoffFactor = now, 0.5+r.options.Random()
	}
}

// backoffLocked reports whether the node is in a backoff after a failed call to the object API,
// whether or not it skips calls for it. r.mu must be held.
//
// Failure: a node fails while no other follows it, and begins a long backoff. Then others begin
// to follow it, so that it may not ask fallbacks before it has called the object API once more.
// The length must follow its present role, or it does neither until the long backoff ends.
func (r *Relayer) backoffLocked(now time.Time, c *cache, relays []string) bool {
	switch {
	case c.failures == 0:
		return false
	case c.unanswered:
		return true
	}
	mean := meanBackoff
	if r.readsForOthersLocked(now, relays) {
		if c.failures < fallbackThreshold && len(relays) > 0 && len(r.availableLocked(now, c, relays)) == 0 {
			return false // neither a relay nor a fallback may be asked
		}
		mean = meanReaderBackoff
	}
	return now.Before(c.lastFailure.Add(time.Duration(c.backoffFactor * float64(mean))))
}

// readsForOthersLocked reports whether other nodes may depend on what this node reads: it has no
// relays, or a node has followed it within PeerRetryDelay. r.mu must be held.
func (r *Relayer) readsForOthersLocked(now time.Time, relays []string) bool {
	return len(relays) == 0 || now.Sub(r.lastFollowed) < PeerRetryDelay
}

// recordPeerResponse records that a peer returned contents confirmed at the given time.
func (r *Relayer) recordPeerResponse(c *cache, address string, confirmed time.Time) {
	isFallback := !slices.Contains(r.options.Relays(c.prefix), address)
	r.mu.Lock()
	defer r.mu.Unlock()
	c.fallback, c.direct = "", false
	if confirmed.After(c.answered) {
		c.answered = confirmed
	}
	if isFallback {
		c.fallback = address
	}
	if c.failures > 0 && confirmed.After(c.firstFailure) {
		c.lastPeerSuccess = time.Now()
	}
}

// fromFallback reports whether the cache's contents came from a fallback node.
func (r *Relayer) fromFallback(c *cache) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return c.fallback != ""
}
