package relayer

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/garnetworks/garnetworks"
)

// failing reports whether the object API failed the last call.
func (r *Relayer) failing(c *cache) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return c.failures > 0
}

// errBackingOff is the error of a call that was not made (rule Y5).
var errBackingOff = garnetworks.Errorf(garnetworks.KindObjectAPIDown, "the object API failed a moment ago, and no node that was asked reaches it either")

// backingOff reports whether the node backs off from the object API now (rule Y5): the relay
// that it asked last answered, or a spare has just helped it.
//
// Failure: a node's relays are lost, or refused by the object API as well, and after one failed
// call it waited for seconds for others to detect the object API's return.
func (r *Relayer) backingOff(c *cache) bool {
	hasRelays := len(r.options.Relays()) > 0
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if !now.Before(c.backoffUntil) {
		return false
	}
	return hasRelays && r.relayResponded || now.Sub(c.lastPeerSuccess) < MaxAge
}

// recordCall notes the end of a call to the object API itself (rule Y5).
//
// Load pattern: the object API is away for eight seconds, and each of 95 nodes calls it
// for two prefixes, up to eight times a second in all: some 500 calls a second that find
// nothing, and as many in the moment of its return.
//
// The call had the time of call, a part of its caller's ctx.
func (r *Relayer) recordCall(ctx, call context.Context, c *cache, err error) {
	relays := r.options.Relays()
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case err == nil, garnetworks.IsKind(err, garnetworks.KindCompacted):
		c.failures, c.backoffUntil, c.fallback, c.direct = 0, time.Time{}, "", true
	case !errors.Is(ctx.Err(), context.Canceled):
		if c.failures == 0 {
			c.firstFailure = now
		}
		c.failures++
		if errors.Is(call.Err(), context.DeadlineExceeded) {
			c.failures = max(c.failures, fallbackThreshold)
		}
		mean := meanBackoff
		if r.readsForOthersLocked(now, relays) {
			mean = meanReaderBackoff
		}
		jitter := 0.5 + r.options.Random()
		c.backoffUntil = now.Add(time.Duration(jitter * float64(mean)))
	}
}

// readsForOthersLocked reports whether the node reads the object API for others: it has no relays, or
// nodes follow it.
func (r *Relayer) readsForOthersLocked(now time.Time, relays []string) bool {
	return len(relays) == 0 || now.Sub(r.lastFollowed) < PeerRetryDelay
}

// recordPeerResponse notes that a node gave contents, which are certain since a time.
func (r *Relayer) recordPeerResponse(c *cache, address string, confirmed time.Time) {
	isFallback := !slices.Contains(r.options.Relays(), address)
	r.mu.Lock()
	defer r.mu.Unlock()
	c.fallback, c.direct = "", false
	if isFallback {
		c.fallback = address
	}
	if c.failures > 0 && confirmed.After(c.firstFailure) {
		c.lastPeerSuccess = time.Now()
	}
}

// fromFallback reports whether what the cache holds came from a spare.
func (r *Relayer) fromFallback(c *cache) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return c.fallback != ""
}
