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
		return nil, garnetworks.Errorf(garnetworks.KindInvalidRequest, "the node does not follow %q", request.Prefix)
	}
	start := time.Now()
	wait := min(time.Duration(request.WaitMS)*time.Millisecond, followWait)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	if r.fromFallback(c) {
		return nil, garnetworks.Errorf(garnetworks.KindNotReady, "the node has its contents from others (rule Y7)")
	}
	stale := false
	for timedOut := wait <= 0; ; {
		r.mu.Lock()
		if wait > 0 { // a node that follows this one, not one that only looks for a spare
			r.lastFollowed = start
		}
		recovered := stale && time.Since(c.confirmed) < MaxAge
		stale = time.Since(c.confirmed) >= MaxAge
		changed := c.changed
		response, ready := c.response(request.After)
		confirmed := c.confirmed
		r.mu.Unlock()
		if ready || timedOut || recovered {
			return r.finish(response, start, confirmed)
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

// finish adds the ages to an answer, or refuses to answer with stale contents (rule Y3).
//
// Load pattern: the object API is away for all, and each node polls others several times a
// second; each answer held all objects, which the asker dropped for their age.
func (r *Relayer) finish(response *garnetworks.FollowResponse, start, confirmed time.Time) (*garnetworks.FollowResponse, error) {
	now := time.Now()
	if response.Revision == 0 || !confirmed.After(r.options.Woke(now)) {
		return nil, garnetworks.Errorf(garnetworks.KindNotReady, "the node knows nothing yet, or was suspended since it did")
	}
	if age := now.Sub(confirmed); age >= MaxAge {
		return nil, garnetworks.Errorf(garnetworks.KindNotReady, "the node's contents are %s old", age)
	}
	response.WaitedMS = now.Sub(start).Milliseconds()
	// Rounded up, so that no age is understated.
	response.AgeMS = now.Sub(confirmed).Milliseconds() + 1
	return response, nil
}
