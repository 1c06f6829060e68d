package relayer

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/garnetworks/garnetworks"
)

const (
	// MaxAge is the age from which a node's contents are stale and not served to others (rule
	// Y3), if changes must apply within two seconds. Those of a node that reads the object API
	// are at most two waits of its watch old. With this bound and one unanswered request, a
	// follower stays below the two seconds.
	MaxAge = 1200 * time.Millisecond
	// ResponseMargin is how long past its wait a response may take on one connection.
	ResponseMargin = 150 * time.Millisecond
	// connectionAttempts is the number of connections that a request may need: if a kept-alive
	// one is dead, the messenger opens another in the time left.
	connectionAttempts = 2
	// fallbackThreshold is the number of consecutive failed calls from which a node that reads
	// for others asks fallbacks. One failure may be an interrupted watch; a call that timed out
	// counts as fallbackThreshold failures.
	fallbackThreshold = 2
	// maxListAttempts bounds the peers that one list asks in turn.
	maxListAttempts = 3
	// PeerRetryDelay is how long a peer that did not respond is not asked again, and how long
	// after its last request a node still counts as a follower.
	PeerRetryDelay = 2 * time.Second
	// peerPause is the pause between two requests to peers that fail at once.
	peerPause = 50 * time.Millisecond
	// fallbackRetryDelay is the same for a fallback, staleRetryDelay for a peer that responds
	// but has no fresh contents.
	fallbackRetryDelay = time.Second
	staleRetryDelay    = 300 * time.Millisecond
	// watchWait bounds the wait of a watch, and so the age of a node's contents: two waits.
	// chainedWatchWait is the same for a node whose contents pass through two others, each of
	// which adds followWait: 2*chainedWatchWait + 2*followWait is below MaxAge.
	watchWait        = 500 * time.Millisecond
	chainedWatchWait = 250 * time.Millisecond
	// watchMargin is how long past its wait a watch of the object API may take.
	watchMargin = 450 * time.Millisecond
	// listTimeout bounds a list of the object API while other nodes may help.
	listTimeout = time.Second
	// staleWatchWait is the wait of a watch by a stale node, which needs changes at once.
	staleWatchWait = 10 * time.Millisecond
	// followWait bounds the wait of a request to a peer, and so how late a follower detects
	// that the peer does not respond.
	followWait = 300 * time.Millisecond
	// A node of a site that starts for the first time reads the object API itself discoveryWait
	// after its start if it has found no relays, else firstReadDelay after its start (rule Y6).
	// Calls arrive about ten seconds after the start. firstReadInterval is the pause between
	// its requests to the relays until then.
	discoveryWait     = 1200 * time.Millisecond
	firstReadDelay    = 1700 * time.Millisecond
	firstReadInterval = 100 * time.Millisecond
	// restartDiscoveryWait and restartReadDelay are the same for a node that starts later. Calls
	// wait for it then, and it knows the others as soon as it has read the rosters or a seed has
	// answered. Up to restartSpread for each other node is added to restartReadDelay at random:
	// the object API limits the rate of lists, and if all nodes read all objects at once, none
	// gets them, the node that reads for the others included.
	restartDiscoveryWait = 2 * time.Second
	restartReadDelay     = 800 * time.Millisecond
	restartSpread        = 50 * time.Millisecond
	restartReadInterval  = 20 * time.Millisecond
	// retryReserve is the time that must be left of the apply time when a node reads the object
	// API after two requests to a peer; otherwise it sends one.
	retryReserve = 500 * time.Millisecond
	// meanBackoff is the mean backoff of a node with relays from an object API that failed it. It
	// bounds how late the node detects the end of a failure that affects no other node; the
	// reader's own retries detect the end of an outage.
	meanBackoff = 2500 * time.Millisecond
	// meanReaderBackoff is the same for a node that reads for others.
	meanReaderBackoff = 800 * time.Millisecond
	// maxHistory bounds the changes that are kept of a prefix. A follower that lacks more gets
	// all objects.
	maxHistory = 4096
)

// Options configure a Relayer.
type Options struct {
	// Objects is the object API itself.
	Objects garnetworks.ObjectAPI
	// Peers sends requests to other nodes.
	Peers garnetworks.FollowCaller
	// Relays returns the addresses of the nodes to read a prefix from, in order of preference;
	// none if this node is to read the object API itself.
	Relays func(prefix string) []string
	// Fallbacks returns the addresses of further nodes, in any order (rule Y7): those of the
	// node's availability zone and those of other zones; it may be nil.
	Fallbacks func() (near, far []string)
	// Chained reports whether followers of this node have followers in turn; it may be nil.
	Chained func() bool
	// LastResume returns when the instance was last found to have been suspended.
	LastResume func(now time.Time) time.Time
	// FirstStart is set when the whole site starts for the first time.
	FirstStart bool
	// Prefixes are those that are read through other nodes and served to them.
	Prefixes []Prefix
	// Observe is called with each revision that another node returns; it may be nil.
	Observe func(revision garnetworks.Revision)
	// Unjudged is called when a starting node reads a prefix from an object API that has come back
	// from a copy, and no other node reports what it knows; it may be nil.
	Unjudged func(prefix string)
	// Random returns values in [0, 1); nil uses math/rand/v2.
	Random func() float64
}

// Prefix is a prefix of keys that is read through other nodes.
type Prefix struct {
	Key string
	// ApplyTime is the time within which the site expects changes under the prefix to apply.
	ApplyTime time.Duration
	// Supersedes reports whether a known version of an object goes before another one whatever their
	// revisions; it may be nil.
	Supersedes func(known, other garnetworks.Object) bool
}

// Relayer is an object API whose lists and watches of some prefixes go through other nodes. It
// serves the same prefixes to other nodes.
type Relayer struct {
	garnetworks.ObjectAPI
	options Options

	// mu guards failed, lastFollowed, lastAsked, relayResponded and the contents of the caches.
	mu     sync.Mutex
	caches map[string]*cache
	// failed holds the peers that are not asked for a prefix until their failure expires.
	failed map[failureKey]failure
	// started is when the Relayer was created; startFactor is drawn once, in [0, 1).
	started     time.Time
	startFactor float64
	// lastFollowed is when the last request of a follower arrived.
	lastFollowed time.Time
	// lastAsked is when the last request without a wait arrived.
	lastAsked time.Time
	// relayResponded is set if the relay that was asked last responded.
	relayResponded bool
}

// New returns a Relayer with the given options.
func New(options Options) *Relayer {
	if options.Random == nil {
		options.Random = rand.Float64
	}
	if options.Observe == nil {
		options.Observe = func(garnetworks.Revision) {}
	}
	r := &Relayer{ObjectAPI: options.Objects, options: options, caches: make(map[string]*cache), failed: make(map[failureKey]failure), started: time.Now(), startFactor: options.Random()}
	for _, p := range options.Prefixes {
		r.caches[p.Key] = &cache{prefix: p.Key, applyTime: p.ApplyTime, supersedes: p.Supersedes, times: timesFor(p.ApplyTime), changed: make(chan struct{})}
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
	return r.listDirect(ctx, c)
}

// listResult is a result of listing the object API.
type listResult struct {
	objects  []garnetworks.Object
	revision garnetworks.Revision
	err      error
}

// listDirect lists the object API itself. While that takes long and earlier calls have failed, it
// asks peers again, and lists a second time on another connection after listTimeout.
//
// Failure: the object API gives no response to a node, and all peers that it asked were stale.
// The list then lasts to its timeout, although a peer has fresh contents soon, or the object API
// responds again but not to a call from before.
func (r *Relayer) listDirect(ctx context.Context, c *cache) ([]garnetworks.Object, garnetworks.Revision, error) {
	direct, stop := context.WithCancel(ctx)
	defer stop()
	done := make(chan listResult, 2)
	list := func() { done <- r.callList(direct, c) }
	go list()
	began, pending := time.Now(), 1
	ticker := time.NewTicker(c.times.follow)
	defer ticker.Stop()
	for {
		select {
		case result := <-done:
			if pending--; result.err == nil || pending == 0 {
				return result.objects, result.revision, result.err
			}
			continue
		case <-ticker.C:
		}
		if !r.failing(c) {
			continue // a slow response, as of a long list
		}
		if pending == 1 && time.Since(began) >= listTimeout {
			began, pending = time.Now(), 2
			go list()
		}
		r.setUnanswered(c, true)
		objects, revision, ok := r.listFromPeers(ctx, c, c.prefix)
		r.setUnanswered(c, false)
		if ok {
			return objects, revision, nil
		}
	}
}

func (r *Relayer) setUnanswered(c *cache, unanswered bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c.unanswered = unanswered
}

// callList calls the object API once.
func (r *Relayer) callList(ctx context.Context, c *cache) listResult {
	call, cancel := r.listContext(ctx, c)
	defer cancel()
	sent := time.Now()
	objects, revision, err := r.ObjectAPI.List(call, c.prefix)
	r.recordCall(ctx, call, c, err)
	if err == nil {
		objects = r.withKnown(ctx, c, objects, revision)
		r.storeSnapshot(c, objects, revision, sent)
	}
	return listResult{objects, revision, err}
}

// listContext bounds a list of the object API by listTimeout while other nodes may help: the
// object API has not failed often and there are fallbacks, a peer has just succeeded, or a
// fallback is available. Otherwise a slow object API gets the caller's time, so that a list
// succeeds in the end.
func (r *Relayer) listContext(ctx context.Context, c *cache) (context.Context, context.CancelFunc) {
	near, far := r.fallbacks()
	fallbacks := slices.Concat(near, far)
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(fallbacks) > 0 && c.failures < fallbackThreshold || now.Sub(c.lastPeerSuccess) < PeerRetryDelay || len(r.availableLocked(now, c, fallbacks)) > 0 {
		return context.WithTimeout(ctx, listTimeout)
	}
	return context.WithCancel(ctx)
}

// deferFirstRead waits for firstReadInterval while the first read is left to other nodes (rule
// Y6), and returns false when it no longer is. Without it, each node of a new site would list
// and watch the object API until it knows the others.
func (r *Relayer) deferFirstRead(ctx context.Context, c *cache) bool {
	since := time.Since(r.started)
	relays := r.options.Relays(c.prefix)
	near, far := r.fallbacks()
	limit, interval := r.firstReadTimes(len(relays), len(near)+len(far))
	r.mu.Lock()
	hasContents := c.revision > 0
	deferred := !hasContents && since < limit
	if deferred {
		r.forgetFailuresLocked(time.Now(), c, relays)
	}
	r.mu.Unlock()
	if !deferred {
		return false
	}
	timer := time.NewTimer(interval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// forgetFailuresLocked lets a starting node ask peers again that have failed: those that responded
// have no contents yet and soon will, and those that did not are asked again once no relay is left.
// r.mu must be held.
//
// Failure: one of the relays has ended. A node that starts would ask only that one until it reads
// the object API itself, which takes the longer the larger the site is.
func (r *Relayer) forgetFailuresLocked(now time.Time, c *cache, relays []string) {
	maps.DeleteFunc(r.failed, func(_ failureKey, f failure) bool { return f.responded })
	if len(r.availableLocked(now, c, relays)) == 0 {
		clear(r.failed)
	}
}

// firstReadTimes returns how long after its start the node leaves the first read to other nodes,
// and the pause between its requests to them until then. A node that knows others, but has no
// relays, reads for them.
func (r *Relayer) firstReadTimes(relays, fallbacks int) (limit, interval time.Duration) {
	switch {
	case r.options.FirstStart && relays > 0:
		return firstReadDelay, firstReadInterval
	case r.options.FirstStart:
		return discoveryWait, firstReadInterval
	case relays > 0:
		if relays == 1 {
			// The next node after a reader; there is one for each cell. Others follow it, so that
			// all of them would wait for its spread if the reader has ended.
			return restartReadDelay, restartReadInterval
		}
		spread := time.Duration(r.startFactor * float64(relays+fallbacks) * float64(restartSpread))
		return restartReadDelay + spread, restartReadInterval
	case fallbacks > 0 || r.options.Fallbacks == nil:
		return 0, restartReadInterval
	}
	return restartDiscoveryWait, restartReadInterval
}

// Watch implements garnetworks.ObjectAPI.
func (r *Relayer) Watch(ctx context.Context, prefix string, after garnetworks.Revision, wait time.Duration) ([]garnetworks.Object, garnetworks.Revision, error) {
	c := r.caches[prefix]
	if c == nil {
		return r.ObjectAPI.Watch(ctx, prefix, after, wait)
	}
	for {
		began := time.Now()
		address, ok := r.selectPeer(c)
		if ok {
			response, confirmed, _ := r.fetch(ctx, address, prefix, after, min(wait, c.times.follow))
			if response != nil && response.Snapshot {
				// The peer's change history starts later; the caller lists again.
				return nil, 0, garnetworks.Errorf(garnetworks.KindCompacted, "node %s has no change history that far back", address)
			}
			if response != nil {
				r.applyChanges(c, response.Objects, response.Revision, confirmed)
				r.recordPeerResponse(c, address, confirmed)
				return response.Objects, response.Revision, nil
			}
		}
		if !ok || time.Since(began) > peerPause || !r.awaitPeer(ctx, c) {
			return r.watchDirect(ctx, c, prefix, after, wait)
		}
	}
}

// awaitPeer waits for peerPause and returns true if the node may ask a peer once more before it
// calls the object API: the last peer failed at once, so that the contents are still fresh. If
// two relays are partitioned, waiting for both takes longer than a change may take to apply.
//
// Load pattern: nodes that others follow stop one after the other, or start and have no contents
// yet. Each of their followers would call the object API in between.
func (r *Relayer) awaitPeer(ctx context.Context, c *cache) bool {
	relays := r.options.Relays(c.prefix)
	r.mu.Lock()
	fresh := c.failures == 0 && time.Since(c.confirmed) < c.times.maxAge/2
	r.mu.Unlock()
	if !fresh || len(relays) == 0 {
		return false
	}
	timer := time.NewTimer(peerPause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// watchDirect watches the object API itself, unless the node backs off from it.
func (r *Relayer) watchDirect(ctx context.Context, c *cache, prefix string, after garnetworks.Revision, wait time.Duration) ([]garnetworks.Object, garnetworks.Revision, error) {
	if r.backingOff(c) {
		return nil, 0, errBackingOff
	}
	isolated := r.isolated(c) && !r.recentlyAsked()
	switch {
	case r.stale(c, isolated) || r.failing(c):
		// A stale node and its followers need changes at once. After a failure, the watch only
		// shows whether the object API responds again; an unanswered one must end soon, so that
		// the node asks other nodes meanwhile.
		wait = min(wait, staleWatchWait)
	case isolated:
	case r.options.Chained != nil && r.options.Chained():
		wait = min(wait, c.times.chainedWatch)
	default:
		wait = min(wait, c.times.watch)
	}
	// The timeout bounds an unanswered watch by its own wait, not the caller's.
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

// recentlyAsked reports whether a node has looked for a fallback here within PeerRetryDelay.
//
// Failure: the object API fails a node that has lost its relays, and all nodes that it may ask are
// isolated ones. The usual waits of these make their contents too old to be served, so that none
// of them helps, although the object API responds to them.
func (r *Relayer) recentlyAsked() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Since(r.lastAsked) <= PeerRetryDelay
}

// stale reports whether a watch must return at once because the contents are too old. An
// isolated node that last read the object API itself keeps its usual wait.
func (r *Relayer) stale(c *cache, isolated bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Since(c.confirmed) > c.times.maxAge && !(isolated && c.direct)
}

// Confirmed returns a time as of which the prefix's contents were known to be current; zero
// before the first list.
func (r *Relayer) Confirmed(prefix string) time.Time {
	c := r.caches[prefix]
	if c == nil {
		return time.Time{}
	}
	return r.confirmed(c)
}

// Answered returns the latest time at which the object API is known to have answered a call for the
// prefix, of this node or of one that it read through; zero before the first answer.
func (r *Relayer) Answered(prefix string) time.Time {
	c := r.caches[prefix]
	if c == nil {
		return time.Time{}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return c.answered
}

func (r *Relayer) confirmed(c *cache) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return c.confirmed
}
