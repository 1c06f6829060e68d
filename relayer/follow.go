package relayer

import (
	"context"
	"time"

	"github.com/garnetworks/garnetworks"
)

// Follow implements garnetworks.FollowHandler.
func (r *Relayer) Follow(ctx context.Context, request *garnetworks.FollowRequest) (*garnetworks.FollowResponse, error) {
	c := r.caches[request.Prefix]
	if c == nil {
		return nil, garnetworks.Errorf(garnetworks.KindInvalidRequest, "the node does not follow the prefix %q", request.Prefix)
	}
	if request.WaitMS == garnetworks.FollowAnyAge {
		return r.known(c)
	}
	start := time.Now()
	wait := min(time.Duration(request.WaitMS)*time.Millisecond, c.times.follow)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	if r.fromFallback(c) {
		return nil, garnetworks.Errorf(garnetworks.KindNotReady, "the node's contents come from a fallback node (rule Y7)")
	}
	stale := false
	for timedOut := wait <= 0; ; {
		r.mu.Lock()
		if wait > 0 { // a request without a wait may only look for a fallback
			r.lastFollowed = start
		} else {
			r.lastAsked = start
		}
		recovered := stale && time.Since(c.confirmed) < c.times.maxAge
		stale = time.Since(c.confirmed) >= c.times.maxAge
		changed := c.changed
		response, ready := c.response(request.After)
		confirmed := c.confirmed
		r.mu.Unlock()
		if ready || timedOut || recovered {
			return r.finish(c, response, start, confirmed)
		}
		select {
		case <-changed:
		case <-timer.C:
			timedOut = true
		case <-ctx.Done():
			return nil, garnetworks.WrapError(garnetworks.KindCancelled, ctx.Err(), "the call ended")
		}
	}
}

// known returns the contents that the node has (rule Y10).
func (r *Relayer) known(c *cache) (*garnetworks.FollowResponse, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	response, ready := c.response(0)
	if !ready {
		return nil, garnetworks.Errorf(garnetworks.KindNotReady, "the node has no contents")
	}
	response.AgeMS = time.Since(c.confirmed).Milliseconds() + 1
	return response, nil
}

// finish adds the ages to a response, or refuses to respond with stale contents (rule Y3). In an
// outage, nodes poll each other often; without the refusal, each response would carry all
// objects to a node that drops them for their age.
func (r *Relayer) finish(c *cache, response *garnetworks.FollowResponse, start, confirmed time.Time) (*garnetworks.FollowResponse, error) {
	now := time.Now()
	if response.Revision == 0 || !confirmed.After(r.options.LastResume(now)) {
		return nil, garnetworks.Errorf(garnetworks.KindNotReady, "the node has no contents confirmed since it started or was last suspended")
	}
	if age := now.Sub(confirmed); age >= c.times.maxAge {
		return nil, garnetworks.Errorf(garnetworks.KindNotReady, "the node's contents are stale: %s old", age)
	}
	response.WaitedMS = now.Sub(start).Milliseconds()
	// Rounded up, so that the age is never understated.
	response.AgeMS = now.Sub(confirmed).Milliseconds() + 1
	return response, nil
}
