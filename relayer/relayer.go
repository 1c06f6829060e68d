// Package relayer lets the nodes of a cell read the object API once for all. The
// first node of the cell reads it; the others ask that node, and read for
// themselves when it does not answer or is out of touch.
//
// A store counts each call, and a waiting watch as one, so the calls of a site in
// which every node watches grow with its nodes, and so does what they cost.
//
//	Y1  Any node answers with what it knows; nobody is appointed. Two nodes that
//	    disagree on who is first cost some calls and no correctness.
//	Y2  An answer tells how old its contents are at most, and ages add up from
//	    node to node, so that a reader knows a bound whatever the way.
//	Y3  A node whose contents are older than MaxAge is out of touch; who asks it
//	    reads the object API itself.
//	Y4  Objects keep their revisions. A reader that is behind what a node
//	    remembers gets all objects instead of changes.
//	Y5  While the object API fails a node, and nodes that it asks answer, it calls the
//	    object API rarely: they find its return for all. A node that nobody answers
//	    goes on calling it.
//	Y7  While the object API fails a node, and no relay helps, it asks its spares, any
//	    other nodes, one at random until one knows enough. What it has from a spare it
//	    does not pass on: its spare may be asking it.
//	Y6  While a whole site starts for the first time, and no call comes yet, a node leaves
//	    the first reading to those that it will ask.
package relayer

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
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
	// failuresAway is the number of failed calls in a row from which a node without relays
	// asks spares. One can be a watch that was cut, and an unanswered one counts for as many.
	failuresAway = 2
	// askedAtOnce bounds the nodes that are asked one after the other for all objects.
	askedAtOnce = 3
	// FailedFor is how long a node that did not answer is not asked again.
	FailedFor = 2 * time.Second
	// spareFailedFor is the same for a spare, and staleFor for a node that answers that it
	// does not know enough, while the object API is left alone.
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
	// firstWait is how long a node whose site starts for the first time waits to hear which
	// nodes there are, and firstAsked how long it then asks them before it reads for itself
	// (Y6). Calls come ten seconds after the start.
	firstWait  = 1200 * time.Millisecond
	firstAsked = 1700 * time.Millisecond
	firstEvery = 100 * time.Millisecond
	// twiceAsked is how far a node is behind that reads for itself after it has asked another
	// one twice. Where changes are to be used sooner than spareTime after that, it asks once.
	twiceAsked = MaxAge + 2*askWait + AnswerMargin
	spareTime  = 500 * time.Millisecond
	// outageWait is the mean time between two calls of a node to an object API that
	// failed it, while it has others to ask. It bounds how late a node finds that it
	// alone is served again; otherwise the reader finds that within its own retries.
	outageWait = 2500 * time.Millisecond
	// readerWait is the same for a node that has no relays, and that others rely on.
	readerWait = 800 * time.Millisecond
	// maxGone bounds the deletions that are remembered of a prefix.
	maxGone = 1024
)

// Options describe a relayer.
type Options struct {
	// Objects is the object API itself.
	Objects garnetworks.ObjectAPI
	Peers   garnetworks.FollowCaller
	// Relays returns the addresses of the nodes to ask, best first; none if this
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

// question is what a node is asked about.
type question struct{ address, prefix string }

// failure is when a node did not help, and until when it is not asked again.
type failure struct{ at, until time.Time }

// cache is what is known of a prefix.
type cache struct {
	prefix  string
	objects map[string]garnetworks.Object
	// gone holds the revisions of deletions since the revision since.
	gone  map[string]garnetworks.Revision
	since garnetworks.Revision
	// revision is the object API's that the cache reflects; 0 before the first
	// list.
	revision garnetworks.Revision
	// confirmed is a time at which the cache was the newest state for certain.
	confirmed time.Time
	// failures counts the calls that the object API failed in a row, restUntil is until when
	// the node then leaves it alone (rule Y5).
	failures  int
	restUntil time.Time
	// failedSince is when the first of these calls ended.
	failedSince time.Time
	// helper is the spare that the contents come from; empty if they come from elsewhere.
	// helped is when a node last gave contents that were certain since failedSince, so that
	// some node reaches the object API.
	helper  string
	helped  time.Time
	changed chan struct{}
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
	if r.resting(c) {
		return nil, 0, errResting
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

// spares returns the addresses of further nodes to ask (Y7).
func (r *Relayer) spares() []string {
	if r.options.Spares == nil {
		return nil
	}
	return r.options.Spares()
}

// listOfOthers asks other nodes for all objects: the next one at once if one answers that it
// does not know enough, or does not answer while the object API fails.
func (r *Relayer) listOfOthers(ctx context.Context, c *cache, prefix string) ([]garnetworks.Object, garnetworks.Revision, bool) {
	for range askedAtOnce {
		address, ok := r.whom(c)
		if !ok {
			return nil, 0, false
		}
		answer, confirmed, answered := r.ask(ctx, address, prefix, 0, 0)
		if answer != nil && answer.Listed {
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

// failing reports whether the object API failed the last call.
func (r *Relayer) failing(c *cache) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return c.failures > 0
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

// errResting is the end of a call that was not made (rule Y5).
var errResting = garnetworks.Errorf(garnetworks.KindObjectAPIDown, "the object API failed a moment ago, and no node that was asked reaches it either")

// resting reports whether the node leaves the object API alone now (rule Y5): nodes that it
// relies on answer, or a spare has just helped it.
//
// Failure: the nodes that are asked are lost, or refused by the object API, and a node that
// failed to reach it once left it alone for seconds while nobody read for it.
func (r *Relayer) resting(c *cache) bool {
	relies := len(r.options.Relays()) > 0
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if !now.Before(c.restUntil) {
		return false
	}
	return relies && r.answered || now.Sub(c.helped) < MaxAge
}

// called notes the end of a call to the object API itself (rule Y5).
//
// Load pattern: the object API is away for eight seconds, and each of 95 nodes calls it
// for two prefixes, up to eight times a second in all: some 500 calls a second that find
// nothing, and as many in the moment of its return.
//
// The call had the time of call, a part of its caller's ctx.
func (r *Relayer) called(ctx, call context.Context, c *cache, err error) {
	relies := len(r.options.Relays()) > 0
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case err == nil, garnetworks.IsKind(err, garnetworks.KindCompacted):
		c.failures, c.restUntil, c.helper = 0, time.Time{}, ""
	case !errors.Is(ctx.Err(), context.Canceled):
		if c.failures == 0 {
			c.failedSince = now
		}
		c.failures++
		if errors.Is(call.Err(), context.DeadlineExceeded) {
			c.failures = max(c.failures, failuresAway)
		}
		mean := outageWait
		if !relies {
			mean = readerWait
		}
		part := 0.5 + r.options.Random()
		c.restUntil = now.Add(time.Duration(part * float64(mean)))
	}
}

// helpedBy notes that a node gave contents, which are certain since a time.
func (r *Relayer) helpedBy(c *cache, address string, confirmed time.Time) {
	spare := !slices.Contains(r.options.Relays(), address)
	r.mu.Lock()
	defer r.mu.Unlock()
	c.helper = ""
	if spare {
		c.helper = address
	}
	if c.failures > 0 && confirmed.After(c.failedSince) {
		c.helped = time.Now()
	}
}

// Watch implements garnetworks.ObjectAPI.
func (r *Relayer) Watch(ctx context.Context, prefix string, after garnetworks.Revision, wait time.Duration) ([]garnetworks.Object, garnetworks.Revision, error) {
	c := r.caches[prefix]
	if c == nil {
		return r.ObjectAPI.Watch(ctx, prefix, after, wait)
	}
	// Failure: two nodes that read for the others are cut off at once. Asking one
	// after the other takes longer than a change may take, so one is asked, and the
	// object API next.
	if address, ok := r.whom(c); ok {
		answer, confirmed, _ := r.ask(ctx, address, prefix, after, min(wait, askWait))
		if answer == nil {
			return r.watch(ctx, c, prefix, after, wait)
		}
		if answer.Listed {
			// The node does not remember as far back; its objects come by a list.
			return nil, 0, garnetworks.Errorf(garnetworks.KindCompacted, "the node %s remembers less", address)
		}
		r.changed(c, answer.Objects, answer.Revision, confirmed)
		r.helpedBy(c, address, confirmed)
		return answer.Objects, answer.Revision, nil
	}
	return r.watch(ctx, c, prefix, after, wait)
}

// Alone reports whether the node reads for itself only: there are nodes to ask, none of
// them answers, and none has asked this one for a while.
//
// Load pattern: a sixth of the nodes is cut off from the others and reaches the object
// API. Each of them read as often as one that reads for twenty: 7 cut nodes of 20 made
// some 40 of 55 calls a second. Nobody waits for what such a node reads but itself.
func (r *Relayer) Alone() bool {
	all := r.options.Relays()
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	reached := false
	for _, c := range r.caches {
		reached = reached || len(r.untriedLocked(now, c, all)) > 0
	}
	return len(all) > 0 && !reached && now.Sub(r.asked) > FailedFor
}

// watch watches the object API itself.
func (r *Relayer) watch(ctx context.Context, c *cache, prefix string, after garnetworks.Revision, wait time.Duration) ([]garnetworks.Object, garnetworks.Revision, error) {
	if r.resting(c) {
		return nil, 0, errResting
	}
	switch {
	case time.Since(r.confirmed(c)) > MaxAge:
		// What the node knows is to be certain again soon, for those that ask it as well.
		wait = min(wait, soonWait)
	case r.Alone():
	case r.options.Chained != nil && r.options.Chained():
		wait = min(wait, chainedWait)
	default:
		wait = min(wait, readWait)
	}
	// A watch that gets no answer would otherwise hang for as long as its caller's wait, of
	// which this node asks for a part.
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

// whom returns the node to ask now for what the cache holds, if there is one: a relay that has
// not failed to help a moment ago. While the object API is left alone, the spare that helped
// last goes before it, and if there is none it is any spare that has not failed (rule Y7), or
// whoever failed longest ago.
//
// Failure: the node that is asked first is cut off, and a node that left the object API
// alone asked it again and again, until its rest was over; it used a routing that was 4.7 s
// old, while another node would have told it the newest one.
func (r *Relayer) whom(c *cache) (string, bool) {
	now := time.Now()
	relays, spares := r.options.Relays(), r.spares()
	r.mu.Lock()
	defer r.mu.Unlock()
	rests := now.Before(c.restUntil)
	if rests && len(r.untriedLocked(now, c, []string{c.helper})) > 0 && slices.Contains(spares, c.helper) {
		return c.helper, true
	}
	if untried := r.untriedLocked(now, c, relays); len(untried) > 0 {
		return untried[0], true
	}
	if !rests {
		return "", false
	}
	if len(relays) == 0 && c.failures < failuresAway {
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
// What it told grows too old at all nodes in the same moment, and each of 88 read for itself,
// 800 calls in eight seconds, though the node that it asks does so for it. So a node that
// nobody asks asks once more, if the site leaves it the time.
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
	case answered && now.Before(r.caches[prefix].restUntil):
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
// knows nothing that is new enough.
func (r *Relayer) askOnce(ctx context.Context, address, prefix string, after garnetworks.Revision, wait time.Duration) (answer *garnetworks.FollowResponse, confirmed time.Time, answered bool) {
	call, cancel := context.WithTimeout(ctx, connections*(wait+AnswerMargin))
	defer cancel()
	sent := time.Now()
	answer, err := r.options.Peers.Follow(call, address, &garnetworks.FollowRequest{Prefix: prefix, After: after, WaitMS: wait.Milliseconds()})
	if ctx.Err() != nil || err != nil {
		return nil, time.Time{}, garnetworks.IsKind(err, garnetworks.KindNotReady)
	}
	// The answer left the node HeldMS after it was asked, or later (rule Y2).
	confirmed = sent.Add(time.Duration(answer.HeldMS-answer.AgeMS) * time.Millisecond)
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

func (r *Relayer) listed(c *cache, objects []garnetworks.Object, revision garnetworks.Revision, confirmed time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if revision < c.revision {
		return
	}
	c.objects = make(map[string]garnetworks.Object, len(objects))
	for _, o := range objects {
		c.objects[o.Key] = o
	}
	c.gone, c.since = make(map[string]garnetworks.Revision), revision
	c.advance(revision, confirmed)
}

func (r *Relayer) changed(c *cache, objects []garnetworks.Object, revision garnetworks.Revision, confirmed time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c.revision == 0 || revision < c.revision {
		return
	}
	for _, o := range objects {
		if !o.Deleted {
			c.objects[o.Key] = o
			delete(c.gone, o.Key)
			continue
		}
		delete(c.objects, o.Key)
		c.gone[o.Key] = max(o.Revision, c.revision+1)
	}
	if len(c.gone) > maxGone {
		c.gone, c.since = make(map[string]garnetworks.Revision), revision
	}
	c.advance(revision, confirmed)
}

// advance takes a newer state; the relayer's lock is held.
func (c *cache) advance(revision garnetworks.Revision, confirmed time.Time) {
	// Who waits for an answer is told of changes, and that what did not change has become
	// certain again after an outage.
	if revision > c.revision || confirmed.Sub(c.confirmed) > MaxAge {
		c.revision = revision
		close(c.changed)
		c.changed = make(chan struct{})
	}
	if confirmed.After(c.confirmed) {
		c.confirmed = confirmed
	}
}

// Follow implements garnetworks.FollowHandler.
func (r *Relayer) Follow(ctx context.Context, request *garnetworks.FollowRequest) (*garnetworks.FollowResponse, error) {
	c := r.caches[request.Prefix]
	if c == nil {
		return nil, garnetworks.Errorf(garnetworks.KindInvalidRequest, "the node does not follow %q", request.Prefix)
	}
	began := time.Now()
	wait := min(time.Duration(request.WaitMS)*time.Millisecond, askWait)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	if r.helpedBySpare(c) {
		return nil, garnetworks.Errorf(garnetworks.KindNotReady, "the node has its contents from others (rule Y7)")
	}
	stale := false
	for over := wait <= 0; ; {
		r.mu.Lock()
		r.asked = began
		back := stale && time.Since(c.confirmed) < MaxAge
		stale = time.Since(c.confirmed) >= MaxAge
		changed := c.changed
		answer, ready := c.answer(request.After)
		confirmed := c.confirmed
		r.mu.Unlock()
		if ready || over || back {
			return r.finish(answer, began, confirmed)
		}
		select {
		case <-changed:
		case <-timer.C:
			over = true
		case <-ctx.Done():
			return nil, garnetworks.WrapError(garnetworks.KindCancelled, ctx.Err(), "the call ended")
		}
	}
}

// helpedBySpare reports whether what the cache holds came from a spare.
func (r *Relayer) helpedBySpare(c *cache) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return c.helper != ""
}

// finish adds the ages to an answer.
func (r *Relayer) finish(answer *garnetworks.FollowResponse, began, confirmed time.Time) (*garnetworks.FollowResponse, error) {
	now := time.Now()
	if answer.Revision == 0 || !confirmed.After(r.options.Woke(now)) {
		return nil, garnetworks.Errorf(garnetworks.KindNotReady, "the node knows nothing yet, or was suspended since it did")
	}
	answer.HeldMS = now.Sub(began).Milliseconds()
	// Rounded up, so that no age is understated.
	answer.AgeMS = now.Sub(confirmed).Milliseconds() + 1
	return answer, nil
}

// answer returns what a reader at a revision lacks, and whether that is anything.
func (c *cache) answer(after garnetworks.Revision) (*garnetworks.FollowResponse, bool) {
	a := &garnetworks.FollowResponse{Revision: c.revision}
	if c.revision == 0 || after > c.revision {
		// This node is behind the reader; it waits until it has caught up.
		return a, false
	}
	if after == 0 || after < c.since { // rule Y4
		a.Listed = true
		for _, key := range slices.Sorted(maps.Keys(c.objects)) {
			a.Objects = append(a.Objects, c.objects[key])
		}
		return a, true
	}
	for _, o := range c.objects {
		if o.Revision > after {
			a.Objects = append(a.Objects, o)
		}
	}
	for key, revision := range c.gone {
		if revision > after {
			a.Objects = append(a.Objects, garnetworks.Object{Key: key, Revision: revision, Deleted: true})
		}
	}
	slices.SortFunc(a.Objects, func(x, y garnetworks.Object) int {
		if x.Revision != y.Revision {
			return int(int64(x.Revision) - int64(y.Revision))
		}
		return strings.Compare(x.Key, y.Key)
	})
	return a, len(a.Objects) > 0
}
