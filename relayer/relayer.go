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
	// AnswerMargin is how long past its wait an answer may take on one connection.
	AnswerMargin = 150 * time.Millisecond
	// connections is the number of connections that a question may take: a kept one
	// may have gone silent, and the messenger then opens another in the time left.
	connections = 2
	// failuresAway is the number of failed calls in a row from which a node that reads for
	// others asks spares. One can be a watch that was cut, and an unanswered one counts for as many.
	failuresAway = 2
	// askedAtOnce bounds the nodes that are asked one after the other for all objects.
	askedAtOnce = 3
	// FailedFor is how long a node that did not answer is not asked again.
	FailedFor = 2 * time.Second
	// spareFailedFor is the same for a spare, and staleFor for a node that answers that it
	// is stale, during a backoff from the object API.
	spareFailedFor = time.Second
	staleFor       = 300 * time.Millisecond
	// readWait bounds the wait of a watch, and so how old a node's contents get: two
	// waits. chainedWait is the same for a node whose contents pass through two others,
	// each of which adds askWait: 0.5 s and twice 0.3 s are below MaxAge.
	readWait    = 500 * time.Millisecond
	chainedWait = 250 * time.Millisecond
	// watchMargin is how long past its wait a watch of the object API may take to answer.
	watchMargin = 450 * time.Millisecond
	// listTime is how long a list of the object API may take while other nodes may help.
	listTime = time.Second
	// soonWait is the wait of a watch whose answer is wanted at once.
	soonWait = 10 * time.Millisecond
	// askWait bounds the wait of an answer, and so how late a reader finds that a
	// node does not answer.
	askWait = 300 * time.Millisecond
	// firstWait is how long a node whose site starts for the first time waits to learn which
	// nodes there are, and firstAsked how long it then asks them before it reads for itself
	// (Y6). Calls come ten seconds after the start.
	firstWait  = 1200 * time.Millisecond
	firstAsked = 1700 * time.Millisecond
	firstEvery = 100 * time.Millisecond
	// twiceAsked is the age of what a node knows that reads for itself after it has asked
	// another one twice. Where changes are to be used sooner than spareTime after that, it asks once.
	twiceAsked = MaxAge + 2*askWait + AnswerMargin
	spareTime  = 500 * time.Millisecond
	// outageWait is the mean backoff from an object API that failed a node with relays. It
	// bounds how late a node detects that it alone is served again; otherwise the reader
	// detects that within its own retries.
	outageWait = 2500 * time.Millisecond
	// readerWait is the same for a node that reads for others.
	readerWait = 800 * time.Millisecond
	// maxGone bounds the deletions that are remembered of a prefix.
	maxGone = 1024
)

// Options describe a relayer.
type Options struct {
	// Objects is the object API itself.
	Objects garnetworks.ObjectAPI
	Peers   garnetworks.FollowCaller
	// Relays returns the addresses of the nodes to ask, in order of preference; none if this
	// node is to read the object API.
	Relays func() []string
	// Spares returns the addresses of further nodes, in any order (Y7); it may be nil.
	Spares func() []string
	// Chained reports whether those that ask this node are asked by others in turn; it
	// may be nil.
	Chained func() bool
	// Woke returns when the instance was last found to have been suspended.
	Woke func(now time.Time) time.Time
	// ChangeTime is the time within which a site expects changes to be used.
	ChangeTime time.Duration
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
	failed map[question]failure
	// started is when the relayer was made.
	started time.Time
	// asked is when another node last asked this one.
	asked time.Time
	// answered says that the relay that was asked last answered.
	answered bool
}

// New returns a relayer.
func New(options Options) *Relayer {
	if options.Random == nil {
		options.Random = rand.Float64
	}
	r := &Relayer{ObjectAPI: options.Objects, options: options, caches: make(map[string]*cache), failed: make(map[question]failure), started: time.Now()}
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
	for r.first(ctx, c) {
		if objects, revision, ok := r.listOfOthers(ctx, c, prefix); ok {
			return objects, revision, nil
		}
	}
	if objects, revision, ok := r.listOfOthers(ctx, c, prefix); ok {
		return objects, revision, nil
	}
	if r.backingOff(c) {
		return nil, 0, errBackingOff
	}
	call, cancel := r.boundList(ctx, c)
	defer cancel()
	sent := time.Now()
	objects, revision, err := r.ObjectAPI.List(call, prefix)
	r.called(ctx, call, c, err)
	if err == nil {
		r.listed(c, objects, revision, sent)
	}
	return objects, revision, err
}

// boundList bounds a list of the object API by less than its caller does while other nodes may
// help: while it has not failed often, one has just helped, or one is still to be asked.
// Otherwise a slow object API gets the caller's time, so that a list succeeds in the end.
func (r *Relayer) boundList(ctx context.Context, c *cache) (context.Context, context.CancelFunc) {
	spares := r.spares()
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(spares) > 0 && c.failures < failuresAway || now.Sub(c.helped) < FailedFor || len(r.untriedLocked(now, c, spares)) > 0 {
		return context.WithTimeout(ctx, listTime)
	}
	return context.WithCancel(ctx)
}

// first waits for a moment while the first reading is left to other nodes (Y6), and returns
// false once it is not, or is no longer.
//
// Load pattern: 88 nodes start at once. Each listed and watched both prefixes until it knew
// the others: 600 of the 4,000 calls of a day, for what one node reads.
func (r *Relayer) first(ctx context.Context, c *cache) bool {
	since := time.Since(r.started)
	most := firstWait
	if len(r.options.Relays()) > 0 {
		most = firstAsked
	}
	r.mu.Lock()
	known := c.revision > 0
	waits := r.options.FirstStart && !known && since < most
	if waits {
		clear(r.failed) // nodes that know nothing yet will
	}
	r.mu.Unlock()
	if !waits {
		return false
	}
	timer := time.NewTimer(firstEvery)
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
	if address, ok := r.whom(c); ok {
		answer, confirmed, _ := r.ask(ctx, address, prefix, after, min(wait, askWait))
		if answer == nil {
			return r.watch(ctx, c, prefix, after, wait)
		}
		if answer.Snapshot {
			// The node has no changes from that far back; a list gets its objects.
			return nil, 0, garnetworks.Errorf(garnetworks.KindCompacted, "the node %s remembers less", address)
		}
		r.changed(c, answer.Objects, answer.Revision, confirmed)
		r.helpedBy(c, address, confirmed)
		return answer.Objects, answer.Revision, nil
	}
	return r.watch(ctx, c, prefix, after, wait)
}

// watch watches the object API itself.
func (r *Relayer) watch(ctx context.Context, c *cache, prefix string, after garnetworks.Revision, wait time.Duration) ([]garnetworks.Object, garnetworks.Revision, error) {
	if r.backingOff(c) {
		return nil, 0, errBackingOff
	}
	alone := r.alone(c)
	switch {
	case r.stale(c, alone):
		// A stale node, and its askers, must learn changes at once.
		wait = min(wait, soonWait)
	case alone:
	case r.options.Chained != nil && r.options.Chained():
		wait = min(wait, chainedWait)
	default:
		wait = min(wait, readWait)
	}
	// Without an answer the watch would last for the caller's wait, not for its own.
	call, cancel := context.WithTimeout(ctx, wait+watchMargin)
	defer cancel()
	sent := time.Now()
	objects, revision, err := r.ObjectAPI.Watch(call, prefix, after, wait)
	r.called(ctx, call, c, err)
	if err == nil {
		r.changed(c, objects, revision, sent)
	}
	return objects, revision, err
}

// stale reports whether a watch is to answer at once, since what the node knows is too old. A
// node that reads for itself only, and did so the last time, waits as long as it always does.
func (r *Relayer) stale(c *cache, alone bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Since(c.confirmed) > MaxAge && !(alone && c.own)
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
