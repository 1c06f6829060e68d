package relayer

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/garnetworks/garnetworks"
)

const (
	// MaxAge is the age from which a node's contents don't serve others (Y3). A
	// node that reads the object API knows them to be two waits of its watch old at
	// most; with this bound, and a question that is not answered, a reader lags by
	// less than the two seconds within which sites expect changes to be used.
	MaxAge = 1200 * time.Millisecond
	// ResponseMargin is how long past its wait an answer may take on one connection.
	ResponseMargin = 150 * time.Millisecond
	// connectionAttempts is the number of connectionAttempts that a question may take: a kept one
	// may have gone silent, and the messenger then opens another in the time left.
	connectionAttempts = 2
	// fallbackThreshold is the number of failed calls in a row from which a node that reads for
	// others asks spares. One can be a watch that was cut, and an unanswered one counts for as many.
	fallbackThreshold = 2
	// maxListAttempts bounds the nodes that are asked one after the other for all objects.
	maxListAttempts = 3
	// PeerRetryDelay is how long a node that did not answer is not asked again.
	PeerRetryDelay = 2 * time.Second
	// fallbackRetryDelay is the same for a spare, and staleFor for a node that answers that it
	// is stale, during a backoff from the object API.
	fallbackRetryDelay = time.Second
	staleRetryDelay    = 300 * time.Millisecond
	// watchWait bounds the wait of a watch, and so how old a node's contents get: two
	// waits. chainedWait is the same for a node whose contents pass through two others,
	// each of which adds askWait: 0.5 s and twice 0.3 s are below MaxAge.
	watchWait        = 500 * time.Millisecond
	chainedWatchWait = 250 * time.Millisecond
	// watchMargin is how long past its wait a watch of the object API may take to answer.
	watchMargin = 450 * time.Millisecond
	// listTimeout is how long a list of the object API may take while other nodes may help.
	listTimeout = time.Second
	// staleWatchWait is the wait of a watch whose answer is wanted at once.
	staleWatchWait = 10 * time.Millisecond
	// followWait bounds the wait of an answer, and so how late a reader finds that a
	// node does not answer.
	followWait = 300 * time.Millisecond
	// discoveryWait is how long a node whose site starts for the first time waits to learn which
	// nodes there are, and firstAsked how long it then asks them before it reads for itself
	// (Y6). Calls come ten seconds after the start.
	discoveryWait     = 1200 * time.Millisecond
	firstReadDelay    = 1700 * time.Millisecond
	firstReadInterval = 100 * time.Millisecond
	// retriedAge is the age of what a node knows that reads for itself after it has asked
	// another one twice. Where changes are to be used sooner than spareTime after that, it asks once.
	retriedAge   = MaxAge + 2*followWait + ResponseMargin
	retryReserve = 500 * time.Millisecond
	// meanBackoff is the mean backoff from an object API that failed a node with relays. It
	// bounds how late a node detects that it alone is served again; otherwise the reader
	// detects that within its own retries.
	meanBackoff = 2500 * time.Millisecond
	// meanReaderBackoff is the same for a node that reads for others.
	meanReaderBackoff = 800 * time.Millisecond
	// maxTombstones bounds the deletions that are remembered of a prefix.
	maxTombstones = 1024
)

// Options describe a relayer.
type Options struct {
	// Objects is the object API itself.
	Objects garnetworks.ObjectAPI
	Peers   garnetworks.FollowCaller
	// Relays returns the addresses of the nodes to ask, in order of preference; none if this
	// node is to read the object API.
	Relays func() []string
	// Fallbacks returns the addresses of further nodes, in any order (Y7); it may be nil.
	Fallbacks func() []string
	// Chained reports whether those that ask this node are asked by others in turn; it
	// may be nil.
	Chained func() bool
	// Woke returns when the instance was last found to have been suspended.
	Woke func(now time.Time) time.Time
	// ApplyTime is the time within which a site expects changes to be used.
	ApplyTime time.Duration
	// FirstStart is set when the whole site starts for the first time.
	FirstStart bool
	// Prefixes are those that are read for others.
	Prefixes []string
	// Random returns values in [0, 1); nil takes the runtime's generator.
	Random func() float64
}

// Relayer is an object API whose lists and watches of some prefixes go through
// other nodes. It answers other nodes about the same prefixes.
type Relayer struct {
	garnetworks.ObjectAPI
	options Options

	mu     sync.Mutex
	caches map[string]*cache
	// failed holds the nodes that are not asked again about a prefix for a while.
	failed map[failureKey]failure
	// started is when the relayer was made.
	started time.Time
	// lastFollowed is when another node last lastFollowed this one.
	lastFollowed time.Time
	// relayResponded says that the relay that was asked last relayResponded.
	relayResponded bool
}

// New returns a relayer.
func New(options Options) *Relayer {
	if options.Random == nil {
		options.Random = rand.Float64
	}
	r := &Relayer{ObjectAPI: options.Objects, options: options, caches: make(map[string]*cache), failed: make(map[failureKey]failure), started: time.Now()}
	for _, prefix := range options.Prefixes {
		r.caches[prefix] = &cache{prefix: prefix, changed: make(chan struct{})}
	}
	return r
}

// List implements garnetworks.ObjectAPI.
func (r *Relayer) List(ctx context.Context, prefix string) ([]garnetworks.Object, garnetworks.Revision, error) {
	c := r.caches[prefix]
	if c == nil {
		return r.ObjectAPI.List(ctx, prefix)
	}
	for r.deferFirstRead(ctx, c) {
		if objects, revision, ok := r.listFromPeers(ctx, c, prefix); ok {
			return objects, revision, nil
		}
	}
	if objects, revision, ok := r.listFromPeers(ctx, c, prefix); ok {
		return objects, revision, nil
	}
	if r.backingOff(c) {
		return nil, 0, errBackingOff
	}
	call, cancel := r.listContext(ctx, c)
	defer cancel()
	sent := time.Now()
	objects, revision, err := r.ObjectAPI.List(call, prefix)
	r.recordCall(ctx, call, c, err)
	if err == nil {
		r.storeSnapshot(c, objects, revision, sent)
	}
	return objects, revision, err
}

// listContext bounds a list of the object API by less than its caller does while other nodes may
// help: while it has not failed often, one has just helped, or one is still to be asked.
// Otherwise a slow object API gets the caller's time, so that a list succeeds in the end.
func (r *Relayer) listContext(ctx context.Context, c *cache) (context.Context, context.CancelFunc) {
	fallbacks := r.fallbacks()
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(fallbacks) > 0 && c.failures < fallbackThreshold || now.Sub(c.lastPeerSuccess) < PeerRetryDelay || len(r.availableLocked(now, c, fallbacks)) > 0 {
		return context.WithTimeout(ctx, listTimeout)
	}
	return context.WithCancel(ctx)
}

// deferFirstRead waits for a moment while the deferFirstRead reading is left to other nodes (Y6), and returns
// false once it is not, or is no longer.
//
// Load pattern: 88 nodes start at once. Each listed and watched both prefixes until it knew
// the others: 600 of the 4,000 calls of a day, for what one node reads.
func (r *Relayer) deferFirstRead(ctx context.Context, c *cache) bool {
	since := time.Since(r.started)
	limit := discoveryWait
	if len(r.options.Relays()) > 0 {
		limit = firstReadDelay
	}
	r.mu.Lock()
	hasContents := c.revision > 0
	deferred := r.options.FirstStart && !hasContents && since < limit
	if deferred {
		clear(r.failed) // nodes that know nothing yet will
	}
	r.mu.Unlock()
	if !deferred {
		return false
	}
	timer := time.NewTimer(firstReadInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// Watch implements garnetworks.ObjectAPI.
func (r *Relayer) Watch(ctx context.Context, prefix string, after garnetworks.Revision, wait time.Duration) ([]garnetworks.Object, garnetworks.Revision, error) {
	c := r.caches[prefix]
	if c == nil {
		return r.ObjectAPI.Watch(ctx, prefix, after, wait)
	}
	// Failure: two nodes that read for the others are partitioned at once. Asking one
	// after the other takes longer than a change may take, so one is asked, and the
	// object API next.
	if address, ok := r.selectPeer(c); ok {
		response, confirmed, _ := r.fetch(ctx, address, prefix, after, min(wait, followWait))
		if response == nil {
			return r.watchDirect(ctx, c, prefix, after, wait)
		}
		if response.Snapshot {
			// The node has no changes from that far back; a list gets its objects.
			return nil, 0, garnetworks.Errorf(garnetworks.KindCompacted, "the node %s remembers less", address)
		}
		r.applyChanges(c, response.Objects, response.Revision, confirmed)
		r.recordPeerResponse(c, address, confirmed)
		return response.Objects, response.Revision, nil
	}
	return r.watchDirect(ctx, c, prefix, after, wait)
}

// watchDirect watches the object API itself.
func (r *Relayer) watchDirect(ctx context.Context, c *cache, prefix string, after garnetworks.Revision, wait time.Duration) ([]garnetworks.Object, garnetworks.Revision, error) {
	if r.backingOff(c) {
		return nil, 0, errBackingOff
	}
	isolated := r.isolated(c)
	switch {
	case r.stale(c, isolated):
		// A stale node, and its askers, must learn changes at once.
		wait = min(wait, staleWatchWait)
	case isolated:
	case r.options.Chained != nil && r.options.Chained():
		wait = min(wait, chainedWatchWait)
	default:
		wait = min(wait, watchWait)
	}
	// Without an answer the watch would last for the caller's wait, not for its own.
	call, cancel := context.WithTimeout(ctx, wait+watchMargin)
	defer cancel()
	sent := time.Now()
	objects, revision, err := r.ObjectAPI.Watch(call, prefix, after, wait)
	r.recordCall(ctx, call, c, err)
	if err == nil {
		r.applyChanges(c, objects, revision, sent)
	}
	return objects, revision, err
}

// stale reports whether a watch is to answer at once, since what the node knows is too old. A
// node that reads for itself only, and did so the last time, waits as long as it always does.
func (r *Relayer) stale(c *cache, isolated bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Since(c.confirmed) > MaxAge && !(isolated && c.direct)
}

// Confirmed returns a time at which what was last read of the prefix was the
// newest state for certain; zero before the first list.
func (r *Relayer) Confirmed(prefix string) time.Time {
	c := r.caches[prefix]
	if c == nil {
		return time.Time{}
	}
	return r.confirmed(c)
}

func (r *Relayer) confirmed(c *cache) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return c.confirmed
}
