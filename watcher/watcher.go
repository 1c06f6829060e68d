package watcher

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/garnetworks/garnetworks"
)

// Defaults of Options.
const (
	// DefaultWait makes a node's watch cost two calls a minute at rest.
	DefaultWait = 30 * time.Second
	// DefaultMargin is far above the object API's usual milliseconds, and low
	// enough for a silent watch to be found within 35 s.
	DefaultMargin = 5 * time.Second
	// DefaultListTimeout bounds one list.
	DefaultListTimeout = 5 * time.Second
	// DefaultRelist bounds how long a change that a watch skipped stays unseen.
	DefaultRelist = 5 * time.Minute
	// DefaultRetryMin is the first retry's ceiling.
	DefaultRetryMin = 200 * time.Millisecond
	// DefaultRetryMax spreads the first calls of all nodes after an outage: 330
	// nodes with three watches each make their 990 lists and the watches that
	// follow within 8 s, under a quarter of the platform's reads in any second.
	DefaultRetryMax = 8 * time.Second
)

// Options change a Watcher's times; zero fields take the defaults.
type Options struct {
	Wait, Margin, ListTimeout, Relist time.Duration
	RetryMin, RetryMax                time.Duration
	// Pause returns what is waited after an answer with changes, so that changes that
	// come in a row cost one call together; nil asks again at once.
	Pause func() time.Duration
	// ConfirmedAt returns since when the contents of the answer that has just come are
	// certain, where the object API knows better than by when it was asked: answers that
	// pass through other nodes are older. Nil takes the time at which the call was sent.
	ConfirmedAt func() time.Time
	// Recorder may be nil.
	Recorder garnetworks.Recorder
	// Random returns values in [0, 1); nil takes the runtime's generator.
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

// Backoff returns the wait before the next call after failures in a row: a
// uniformly random part of a ceiling that doubles from low to high (rule W4).
// It is never under a tenth of the ceiling, so that no call follows at once.
func Backoff(failures int, low, high time.Duration, random float64) time.Duration {
	const maxDoublings = 20
	ceiling := min(high, low<<min(max(failures-1, 0), maxDoublings))
	floor := ceiling / 10
	return floor + time.Duration(random*float64(ceiling-floor))
}

// Watcher follows one prefix.
type Watcher struct {
	api     garnetworks.ObjectAPI
	prefix  string
	options Options
	state   State

	mu sync.Mutex
	// down is true while the last call failed; synced is true once a list has
	// been told.
	down, synced bool
	lastSuccess  time.Time
	// confirmed is when the last call that succeeded was sent, recovered when the
	// first call after a failure succeeded.
	confirmed, recovered time.Time
	// interrupt ends the watch that waits now; relist says that Relist did.
	interrupt context.CancelFunc
	relist    bool
}

// New returns a watcher of the objects whose keys begin with prefix.
func New(api garnetworks.ObjectAPI, prefix string, options Options) *Watcher {
	return &Watcher{api: api, prefix: prefix, options: options.withDefaults()}
}

// Healthy reports whether the prefix was listed and the last call, no longer
// ago than a watch may take, succeeded.
func (w *Watcher) Healthy() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	limit := w.options.Wait + w.options.Margin + w.options.ListTimeout
	return w.synced && !w.down && time.Since(w.lastSuccess) <= limit
}

// Confirmed returns a time at which what was told was the newest state for
// certain: when the last call that succeeded was sent. It is zero before the
// first list.
func (w *Watcher) Confirmed() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.confirmed
}

// Relist lists the prefix anew as soon as possible, for a user that must know more
// than what the watch has told so far.
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

// Recovered returns when the object API answered again after its last failure;
// zero if it has not failed since the first list. While it fails, it returns
// false.
func (w *Watcher) Recovered() (time.Time, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.recovered, !w.down
}

// Run tells each newest object to tell, one after the other, until ctx ends; a
// deletion comes as an object with Deleted. It returns ctx's error and may be
// called once.
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

// follow lists the prefix and watches it until a call fails or the prefix is
// to be listed anew; the latter returns no error. Only a watch that succeeded
// ends a series of failures: where a lagging replica answers the list, its
// revision may be compacted already, and list and watch would chase each other
// without a pause.
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

// list lists the prefix once and tells what is new.
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
	confirmedAt := w.confirmedAt(sent)
	updates, newer := w.state.ApplyList(objects, revision)
	if !newer {
		return garnetworks.Errorf(garnetworks.KindCompacted, "list of %q reflects revision %d, older than %d", w.prefix, revision, w.state.Revision)
	}
	w.deliverAll(updates, confirmedAt, deliver)
	return nil
}

// confirmedAt returns since when the contents of an answer are confirmedAt.
func (w *Watcher) confirmedAt(sent time.Time) time.Time {
	if w.options.ConfirmedAt != nil {
		return w.options.ConfirmedAt()
	}
	return sent
}

// deliverAll tells the objects of an answer, and counts it after the last of them.
//
// Failure: a node counted as ready, and what it knew as confirmed, while a list was still
// being told. A call met a part of the servers, and was given up for want of one; a new
// holder of the lease could have planned with such a part.
func (w *Watcher) deliverAll(objects []garnetworks.Object, confirmedAt time.Time, deliver func(garnetworks.Object)) {
	for _, o := range objects {
		deliver(o)
	}
	w.recordSuccess(confirmedAt)
}

// watch waits for one watch's answer and tells it.
func (w *Watcher) watch(ctx context.Context, deliver func(garnetworks.Object)) error {
	// Rule W1: something between the two ends can lose track of a connection, so
	// that a watch hangs for good while new connections work. The deadline ends
	// it; the list that follows shows what it has missed.
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
	confirmedAt := w.confirmedAt(sent)
	changed := w.state.ApplyChanges(objects, revision)
	w.deliverAll(changed, confirmedAt, deliver)
	if len(changed) > 0 && w.options.Pause != nil {
		sleep(ctx, w.options.Pause())
	}
	return nil
}

// recordFailure notes a recordFailure call.
func (w *Watcher) recordFailure(err error) {
	w.mu.Lock()
	first := !w.down
	w.down = true
	w.mu.Unlock()
	if first {
		w.record(garnetworks.Event{Kind: garnetworks.EventObjectAPIDown, Error: garnetworks.KindOf(err), Detail: "watch of " + w.prefix})
	}
}

// recordSuccess notes the answer of a call.
func (w *Watcher) recordSuccess(sent time.Time) {
	w.mu.Lock()
	recovered := w.down
	w.down = false
	w.synced = true
	w.lastSuccess = time.Now()
	w.confirmed = sent
	if recovered {
		w.recovered = w.lastSuccess
	}
	w.mu.Unlock()
	if recovered {
		w.record(garnetworks.Event{Kind: garnetworks.EventObjectAPIRestored, Detail: "watch of " + w.prefix})
	}
}

func (w *Watcher) record(event garnetworks.Event) {
	if w.options.Recorder != nil {
		w.options.Recorder.Record(event)
	}
}

// sleep waits for d or the end of ctx.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
