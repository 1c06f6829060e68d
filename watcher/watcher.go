package watcher

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/garnetworks/garnetworks"
)

// Defaults of Options.
const (
	// DefaultWait makes an idle watch cost two calls per minute.
	DefaultWait = 30 * time.Second
	// DefaultMargin is far above the object API's usual response time of milliseconds, and
	// low enough for a stalled watch to be detected within 35 s.
	DefaultMargin = 5 * time.Second
	// DefaultListTimeout limits the time of a list call.
	DefaultListTimeout = 5 * time.Second
	// DefaultRelist limits how long a change that a watch missed stays unnoticed.
	DefaultRelist = 5 * time.Minute
	// DefaultRetryMin is the ceiling of the first retry's wait.
	DefaultRetryMin = 200 * time.Millisecond
	// DefaultRetryMax spreads the first calls of all nodes after an outage, so that together
	// they stay well below the platform's rate limit.
	DefaultRetryMax = 8 * time.Second
)

// Options are the times and callbacks of a Watcher; zero fields take the defaults.
type Options struct {
	Wait, Margin, ListTimeout, Relist time.Duration
	RetryMin, RetryMax                time.Duration
	// Pause returns how long to wait after a response with changes, so that changes in quick
	// succession cost one call; if it is nil, the next call is made immediately.
	Pause func() time.Duration
	// ConfirmedAt returns a time at which the contents of the response just received are
	// known to have been the newest, for object APIs that read through other nodes, whose
	// responses can be older than the call. If it is nil, that is the time of the call.
	ConfirmedAt func() time.Time
	// AnsweredAt returns the latest time at which the object API is known to have answered a
	// call, for object APIs that read through other nodes. If it is nil or returns the zero
	// time, that is when the response just received arrived.
	AnsweredAt func() time.Time
	// MinOutage is the shortest time without an answer that counts as an outage (rule W6).
	MinOutage time.Duration
	// Recorder may be nil.
	Recorder garnetworks.Recorder
	// Random returns values in [0, 1); it defaults to rand.Float64.
	Random func() float64
}

// withDefaults fills in the zero fields.
func (o Options) withDefaults() Options {
	setDefault(&o.Wait, DefaultWait)
	setDefault(&o.Margin, DefaultMargin)
	setDefault(&o.ListTimeout, DefaultListTimeout)
	setDefault(&o.Relist, DefaultRelist)
	setDefault(&o.RetryMin, DefaultRetryMin)
	setDefault(&o.RetryMax, DefaultRetryMax)
	if o.Random == nil {
		o.Random = rand.Float64
	}
	return o
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d <= 0 {
		*d = value
	}
}

// Backoff returns how long to wait before the next call after a number of consecutive
// failures: a random time below a ceiling that doubles from low to high (rule W4). It is
// at least a tenth of the ceiling, so that no call follows immediately.
func Backoff(failures int, low, high time.Duration, random float64) time.Duration {
	const maxDoublings = 20
	ceiling := min(high, low<<min(max(failures-1, 0), maxDoublings))
	floor := ceiling / 10
	return floor + time.Duration(random*float64(ceiling-floor))
}

// Watcher follows the objects under one prefix.
type Watcher struct {
	api     garnetworks.ObjectAPI
	prefix  string
	options Options
	state   State

	mu sync.Mutex
	// down is true if the last call failed; synced is true once a list has been
	// delivered.
	down, synced bool
	// olderList is true if the last list was older than the state.
	olderList   bool
	lastSuccess time.Time
	// confirmed is a time at which the delivered state was the newest; recovered is when the
	// last outage ended.
	confirmed, recovered time.Time
	// answered is when the object API last answered, as far as known; zero before that.
	answered time.Time
	// unanswered is set from a failed call to the next answer, and unansweredSince is the value
	// of answered at that failure.
	unanswered      bool
	unansweredSince time.Time
	// interrupt cancels the pending watch; relist says that Relist was called.
	interrupt context.CancelFunc
	relist    bool
}

// New returns a watcher of the objects whose keys begin with prefix.
func New(api garnetworks.ObjectAPI, prefix string, options Options) *Watcher {
	return &Watcher{api: api, prefix: prefix, options: options.withDefaults()}
}

// Healthy reports whether the prefix has been listed, the last call succeeded, and that
// was no longer ago than a watch may take.
func (w *Watcher) Healthy() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	limit := w.options.Wait + w.options.Margin + w.options.ListTimeout
	return w.synced && !w.down && time.Since(w.lastSuccess) <= limit
}

// Confirmed returns a time at which the delivered state is known to have been the newest:
// by default, when the last successful call was sent. It is zero before the first list.
func (w *Watcher) Confirmed() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.confirmed
}

// Relist lists the prefix again as soon as possible, for users that can't wait for the
// watch to deliver the newest state.
func (w *Watcher) Relist() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.relist = true
	if w.interrupt != nil {
		w.interrupt()
	}
}

// relistRequested reports whether Relist was called since the last list.
func (w *Watcher) relistRequested() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.relist
}

// Recovered returns when the object API's last outage ended, zero if there was none, and
// whether none lasts now (rule W6).
func (w *Watcher) Recovered() (time.Time, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.recovered, !w.unanswered || time.Since(w.unansweredSince) < w.options.MinOutage
}

// Run calls deliver with the latest state of each object that changes, one after the
// other, until ctx ends; a deleted object has Deleted set. It returns ctx's error and may
// be called only once.
func (w *Watcher) Run(ctx context.Context, deliver func(garnetworks.Object)) error {
	failures := 0
	for ctx.Err() == nil {
		err := w.follow(ctx, deliver, func() { failures = 0 })
		if ctx.Err() != nil {
			break
		}
		if err == nil {
			continue
		}
		failures++
		if !garnetworks.IsKind(err, garnetworks.KindCompacted) {
			w.recordFailure(err)
		}
		o := w.options
		sleep(ctx, Backoff(failures, o.RetryMin, o.RetryMax, o.Random()))
	}
	return ctx.Err()
}

// follow lists the prefix and watches it until a call fails or the prefix is to be listed
// again; in the latter case it returns nil. It calls succeeded only after a successful
// watch: if a lagging replica answers the list, its revision may already be compacted, and
// list and watch would alternate without a backoff.
func (w *Watcher) follow(ctx context.Context, deliver func(garnetworks.Object), succeeded func()) error {
	if err := w.list(ctx, deliver); err != nil {
		return err
	}
	relistAt := time.Now().Add(w.options.Relist/2 + time.Duration(w.options.Random()*float64(w.options.Relist/2)))
	for ctx.Err() == nil && time.Now().Before(relistAt) && !w.relistRequested() { // rule W5
		if err := w.watch(ctx, deliver); err != nil {
			if w.relistRequested() {
				return nil
			}
			return err
		}
		succeeded()
	}
	return nil
}

// list lists the prefix once and delivers the changes.
func (w *Watcher) list(ctx context.Context, deliver func(garnetworks.Object)) error {
	call, cancel := context.WithTimeout(ctx, w.options.ListTimeout)
	defer cancel()
	w.mu.Lock()
	w.relist = false
	w.mu.Unlock()
	sent := time.Now()
	objects, revision, err := w.api.List(call, w.prefix)
	if err != nil {
		return err
	}
	w.recordAnswer()
	confirmedAt := w.confirmedAt(sent)
	updates, newer := w.state.ApplyList(objects, revision)
	if !newer {
		w.recordOlderList(revision)
		return garnetworks.Errorf(garnetworks.KindCompacted, "list of %q reflects revision %s, older than %s", w.prefix, revision, w.state.Revision)
	}
	w.deliverAll(updates, confirmedAt, deliver)
	return nil
}

// confirmedAt returns when the contents of a response to a call sent at sent were confirmed.
func (w *Watcher) confirmedAt(sent time.Time) time.Time {
	if w.options.ConfirmedAt != nil {
		return w.options.ConfirmedAt()
	}
	return sent
}

// deliverAll delivers the objects of a response and then records its success.
//
// Failure: if the success were recorded first, a node would be ready, and its view count as
// confirmed, while only part of a list is delivered; calls would see only some of the
// servers, and a new lease holder could plan with them.
func (w *Watcher) deliverAll(objects []garnetworks.Object, confirmedAt time.Time, deliver func(garnetworks.Object)) {
	for _, o := range objects {
		deliver(o)
	}
	w.recordSuccess(confirmedAt)
}

// watch makes one watch call and delivers the changes.
func (w *Watcher) watch(ctx context.Context, deliver func(garnetworks.Object)) error {
	// Rule W1: a middlebox can drop a connection silently, so that the watch hangs while
	// new connections work. The deadline ends it, and the list that follows finds what it
	// missed.
	call, cancel := context.WithTimeout(ctx, w.options.Wait+w.options.Margin)
	defer cancel()
	w.mu.Lock()
	w.interrupt = cancel
	w.mu.Unlock()
	sent := time.Now()
	objects, revision, err := w.api.Watch(call, w.prefix, w.state.Revision, w.options.Wait)
	if err != nil {
		if call.Err() != nil && ctx.Err() == nil && !w.relistRequested() {
			w.record(garnetworks.Event{Kind: garnetworks.EventStalledConnection, Detail: "watch of " + w.prefix})
		}
		return err
	}
	w.recordAnswer()
	confirmedAt := w.confirmedAt(sent)
	changed := w.state.ApplyChanges(objects, revision)
	w.deliverAll(changed, confirmedAt, deliver)
	if len(changed) > 0 && w.options.Pause != nil {
		sleep(ctx, w.options.Pause())
	}
	return nil
}

// recordFailure records a failed call, as an event if the previous call succeeded.
func (w *Watcher) recordFailure(err error) {
	w.mu.Lock()
	first := !w.down
	w.down = true
	if !w.unanswered {
		w.unanswered, w.unansweredSince = true, w.answered
	}
	w.mu.Unlock()
	if first {
		w.record(garnetworks.Event{Kind: garnetworks.EventObjectAPIDown, Error: garnetworks.KindOf(err), Detail: "watch of " + w.prefix})
	}
}

// recordAnswer records when the object API answered, and the end of an outage (rule W6). Contents
// that another node read before the outage don't end it.
func (w *Watcher) recordAnswer() {
	now := time.Now()
	answered := now
	if w.options.AnsweredAt != nil {
		if at := w.options.AnsweredAt(); !at.IsZero() {
			answered = at
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if !answered.After(w.answered) {
		return
	}
	if w.unanswered && answered.Sub(w.unansweredSince) >= w.options.MinOutage {
		w.recovered = now
	}
	w.answered, w.unanswered = answered, false
}

// recordOlderList records a list that is older than the state, if the previous one was not.
func (w *Watcher) recordOlderList(revision garnetworks.Revision) {
	w.mu.Lock()
	first := !w.olderList
	w.olderList = true
	w.mu.Unlock()
	if first {
		w.record(garnetworks.Event{Kind: garnetworks.EventObjectAPIStale, Detail: fmt.Sprintf("list of %s reflects revision %s, older than %s", w.prefix, revision, w.state.Revision)})
	}
}

// recordSuccess records a successful call whose contents were confirmed at confirmedAt.
func (w *Watcher) recordSuccess(confirmedAt time.Time) {
	w.mu.Lock()
	restored := w.down
	w.down, w.olderList = false, false
	w.synced = true
	w.lastSuccess = time.Now()
	w.confirmed = confirmedAt
	w.mu.Unlock()
	if restored {
		w.record(garnetworks.Event{Kind: garnetworks.EventObjectAPIRestored, Detail: "watch of " + w.prefix})
	}
}

func (w *Watcher) record(event garnetworks.Event) {
	if w.options.Recorder != nil {
		w.options.Recorder.Record(event)
	}
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
