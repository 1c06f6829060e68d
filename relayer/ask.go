package relayer

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/garnetworks/garnetworks"
)

// question is what a node is asked about.
type question struct{ address, prefix string }

// failure is when a node did not help, and until when it is not asked again.
type failure struct{ at, until time.Time }

// spares returns the addresses of further nodes to ask (Y7).
func (r *Relayer) spares() []string {
	if r.options.Spares == nil {
		return nil
	}
	return r.options.Spares()
}

// listOfOthers asks other nodes for all objects: the next one at once if one answers that it
// is stale, or does not answer while the object API fails.
func (r *Relayer) listOfOthers(ctx context.Context, c *cache, prefix string) ([]garnetworks.Object, garnetworks.Revision, bool) {
	for range askedAtOnce {
		address, ok := r.whom(c)
		if !ok {
			return nil, 0, false
		}
		answer, confirmed, answered := r.ask(ctx, address, prefix, 0, 0)
		if answer != nil && answer.Snapshot {
			r.listed(c, answer.Objects, answer.Revision, confirmed)
			r.helpedBy(c, address, confirmed)
			return answer.Objects, answer.Revision, true
		}
		if !answered && !r.failing(c) {
			return nil, 0, false
		}
	}
	return nil, 0, false
}

// Alone reports whether the node reads some prefix for itself only: there are nodes to ask,
// none of them answers, and none has asked this one for a while.
//
// Load pattern: a sixth of the nodes is cut off from the others and reaches the object
// API. Each of them read as often as one that reads for twenty: 7 cut nodes of 20 made
// some 40 of 55 calls a second. No other node waits for what such a node reads.
func (r *Relayer) Alone() bool {
	for _, c := range r.caches {
		if r.alone(c) {
			return true
		}
	}
	return false
}

// alone is Alone for one prefix.
func (r *Relayer) alone(c *cache) bool {
	all := r.options.Relays()
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(all) > 0 && len(r.untriedLocked(now, c, all)) == 0 && now.Sub(r.asked) > FailedFor
}

// whom returns the node to ask now for what the cache holds, if there is one: a relay that has
// not failed to help a moment ago. During a backoff from the object API, the spare that helped
// last is preferred to it; without a relay it is any spare that has not failed (rule Y7), or the
// node that failed longest ago.
//
// Failure: the preferred relay is partitioned, and a node that backed off from the object API
// polled only that relay until the end of its backoff, with a stale routing, while another node
// had the newest one.
func (r *Relayer) whom(c *cache) (string, bool) {
	now := time.Now()
	relays, spares := r.options.Relays(), r.spares()
	r.mu.Lock()
	defer r.mu.Unlock()
	backsOff := now.Before(c.backoffUntil)
	if backsOff && len(r.untriedLocked(now, c, []string{c.helper})) > 0 && slices.Contains(spares, c.helper) {
		return c.helper, true
	}
	if untried := r.untriedLocked(now, c, relays); len(untried) > 0 {
		return untried[0], true
	}
	if !backsOff {
		return "", false
	}
	if r.readsLocked(now, relays) && c.failures < failuresAway {
		spares = nil
	}
	if untried := r.untriedLocked(now, c, spares); len(untried) > 0 {
		return untried[int(r.options.Random()*float64(len(untried)))], true
	}
	if len(relays)+len(spares) == 0 {
		return "", false
	}
	at := func(address string) time.Time { return r.failed[question{address, c.prefix}].at }
	return slices.MinFunc(slices.Concat(relays, spares), func(a, b string) int { return at(a).Compare(at(b)) }), true
}

// untriedLocked returns the nodes that have not failed to help with the cache's prefix a moment
// ago.
func (r *Relayer) untriedLocked(now time.Time, c *cache, all []string) []string {
	maps.DeleteFunc(r.failed, func(_ question, f failure) bool { return now.After(f.until) })
	return slices.DeleteFunc(slices.Clone(all), func(address string) bool {
		_, failed := r.failed[question{address, c.prefix}]
		return failed
	})
}

// ask asks a node, and returns its answer, since when that is certain, and whether the node
// answered at all. An answer that is too old does not count (rule Y3).
//
// Load pattern: the node that reads for a region is cut off from the object API in silence.
// Its contents grow stale at all nodes in the same moment, and each of 88 read for itself,
// 800 calls in eight seconds, though the node that it asks does so for it. So a node that
// no other node asks repeats its question once, if the site leaves it the time.
func (r *Relayer) ask(ctx context.Context, address, prefix string, after garnetworks.Revision, wait time.Duration) (*garnetworks.FollowResponse, time.Time, bool) {
	answer, confirmed, answered := r.askOnce(ctx, address, prefix, after, wait)
	if answer == nil && answered && wait > 0 && r.options.ChangeTime >= twiceAsked+spareTime && r.leaf() {
		answer, confirmed, answered = r.askOnce(ctx, address, prefix, after, wait)
	}
	relay := slices.Contains(r.options.Relays(), address)
	r.mu.Lock()
	defer r.mu.Unlock()
	if relay {
		r.answered = answered
	}
	if answer == nil && ctx.Err() == nil {
		r.failedLocked(address, prefix, relay, answered)
	}
	return answer, confirmed, answered
}

// failedLocked notes that a node did not help: with one prefix if it answered, else with all.
func (r *Relayer) failedLocked(address, prefix string, relay, answered bool) {
	now := time.Now()
	until := now.Add(FailedFor)
	switch {
	case answered && now.Before(r.caches[prefix].backoffUntil):
		until = now.Add(staleFor)
	case !relay:
		until = now.Add(spareFailedFor)
	}
	for p := range r.caches {
		if p == prefix || !answered {
			r.failed[question{address, p}] = failure{now, until}
		}
	}
}

// askOnce is ask with one question; answered says that the node answered, if only that it
// is stale.
func (r *Relayer) askOnce(ctx context.Context, address, prefix string, after garnetworks.Revision, wait time.Duration) (answer *garnetworks.FollowResponse, confirmed time.Time, answered bool) {
	call, cancel := context.WithTimeout(ctx, connections*(wait+AnswerMargin))
	defer cancel()
	sent := time.Now()
	answer, err := r.options.Peers.Follow(call, address, &garnetworks.FollowRequest{Prefix: prefix, After: after, WaitMS: wait.Milliseconds()})
	if ctx.Err() != nil || err != nil {
		return nil, time.Time{}, garnetworks.IsKind(err, garnetworks.KindNotReady)
	}
	// The answer left the node HeldMS after it was asked, or later (rule Y2).
	confirmed = sent.Add(time.Duration(answer.WaitedMS-answer.AgeMS) * time.Millisecond)
	if answer.Revision < after || time.Since(confirmed) >= MaxAge {
		return nil, time.Time{}, true
	}
	return answer, confirmed, true
}

// leaf reports whether no other node relies on what this one reads.
func (r *Relayer) leaf() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Since(r.asked) > FailedFor
}
