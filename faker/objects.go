package faker

import (
	"bytes"
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/garnetworks/garnetworks"
)

// Fault methods of the object API, for FaultPlan.Methods and Objects.Counts.
const (
	MethodGet    = "get"
	MethodPut    = "put"
	MethodDelete = "delete"
	MethodList   = "list"
	MethodWatch  = "watch"
)

// ObjectsOptions limits an object API; zero fields select the defaults.
type ObjectsOptions struct {
	// WritesPerSecond and ReadsPerSecond are rate limits; 0 means no limit. A burst of one
	// second's worth of calls is allowed.
	WritesPerSecond float64
	ReadsPerSecond  float64
	// History is the number of changes kept for watches; 4096 by default.
	History int
	// MaxBytes is the maximum size of a value; garnetworks.MaxObjectBytes by default.
	MaxBytes int
}

const defaultHistory = 4096 // changes

// Objects is an in-memory object API.
type Objects struct {
	Faults
	options ObjectsOptions
	writes  *rate.Limiter
	reads   *rate.Limiter

	mu       sync.Mutex
	objects  map[string]garnetworks.Object
	era      garnetworks.Era
	revision garnetworks.Revision
	// history holds the latest changes in order; changes up to compacted are dropped.
	history   []garnetworks.Object
	compacted garnetworks.Revision
	changed   chan struct{}
	counts    map[string]uint64
	throttled uint64
}

// NewObjects returns an empty object API.
func NewObjects(options ObjectsOptions) *Objects {
	if options.History == 0 {
		options.History = defaultHistory
	}
	if options.MaxBytes == 0 {
		options.MaxBytes = garnetworks.MaxObjectBytes
	}
	return &Objects{
		options: options,
		writes:  limiter(options.WritesPerSecond),
		reads:   limiter(options.ReadsPerSecond),
		objects: make(map[string]garnetworks.Object),
		changed: make(chan struct{}),
		counts:  make(map[string]uint64),
	}
}

func limiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 1)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

// SetRates changes the rate limits; 0 means no limit.
func (o *Objects) SetRates(writesPerSecond, readsPerSecond float64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.writes, o.reads = limiter(writesPerSecond), limiter(readsPerSecond)
}

// Counts returns the number of calls by method, including throttled ones.
func (o *Objects) Counts() map[string]uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return maps.Clone(o.counts)
}

// Throttled returns the number of throttled calls.
func (o *Objects) Throttled() uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.throttled
}

// Compact drops the history, so that watches from an older revision must list again.
func (o *Objects) Compact() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.history = nil
	o.compacted = o.revision
}

// ObjectsCopy is a backup of an Objects' contents.
type ObjectsCopy struct {
	objects  map[string]garnetworks.Object
	revision garnetworks.Revision
}

// Copy returns a copy of the present contents.
func (o *Objects) Copy() *ObjectsCopy {
	o.mu.Lock()
	defer o.mu.Unlock()
	return &ObjectsCopy{maps.Clone(o.objects), o.revision}
}

// Restore replaces the contents by those of a copy and begins a new era: changes since the copy
// are gone, and revisions are counted on from its own. Waiting watches break off.
func (o *Objects) Restore(c *ObjectsCopy) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.era++
	o.objects, o.revision = maps.Clone(c.objects), garnetworks.NewRevision(o.era, c.revision.Number())
	for key, object := range o.objects {
		object.Revision = garnetworks.NewRevision(o.era, object.Revision.Number())
		o.objects[key] = object
	}
	o.history, o.compacted = nil, o.revision
	close(o.changed)
	o.changed = make(chan struct{})
}

// Get implements garnetworks.ObjectAPI.
func (o *Objects) Get(ctx context.Context, key string) (garnetworks.Object, error) {
	return withFaults(ctx, &o.Faults, MethodGet, failedObjectRead, func() (garnetworks.Object, error) { return o.get(key) })
}

// Put implements garnetworks.ObjectAPI.
func (o *Objects) Put(ctx context.Context, key string, value []byte, after garnetworks.Revision) (garnetworks.Revision, error) {
	return withFaults(ctx, &o.Faults, MethodPut, failedObjectWrite, func() (garnetworks.Revision, error) {
		return o.put(key, value, after)
	})
}

// Delete implements garnetworks.ObjectAPI.
func (o *Objects) Delete(ctx context.Context, key string, after garnetworks.Revision) error {
	_, err := withFaults(ctx, &o.Faults, MethodDelete, failedObjectWrite, func() (struct{}, error) {
		return struct{}{}, o.delete(key, after)
	})
	return err
}

// List implements garnetworks.ObjectAPI.
func (o *Objects) List(ctx context.Context, prefix string) ([]garnetworks.Object, garnetworks.Revision, error) {
	p, err := withFaults(ctx, &o.Faults, MethodList, failedObjectRead, func() (page, error) { return o.list(prefix) })
	return p.objects, p.revision, err
}

// Watch implements garnetworks.ObjectAPI.
func (o *Objects) Watch(ctx context.Context, prefix string, after garnetworks.Revision, wait time.Duration) ([]garnetworks.Object, garnetworks.Revision, error) {
	return watchWithFaults(ctx, &o.Faults, func(ctx context.Context) (page, error) {
		changes, revision, err := o.watch(ctx, prefix, after, wait)
		return page{changes, revision}, err
	})
}

var (
	failedObjectRead  = failedRead(garnetworks.KindObjectAPIDown)
	failedObjectWrite = failedWrite(garnetworks.KindObjectAPIDown)
)

func (o *Objects) get(key string) (garnetworks.Object, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if err := o.countRead(MethodGet); err != nil {
		return garnetworks.Object{}, err
	}
	object, ok := o.objects[key]
	if !ok {
		return garnetworks.Object{Revision: garnetworks.NewRevision(o.era, 0)}, garnetworks.Errorf(garnetworks.KindNotFound, "no object %q", key)
	}
	object.Value = bytes.Clone(object.Value)
	return object, nil
}

func (o *Objects) put(key string, value []byte, after garnetworks.Revision) (garnetworks.Revision, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if err := o.countWrite(MethodPut); err != nil {
		return 0, err
	}
	if key == "" {
		return 0, garnetworks.Errorf(garnetworks.KindInvalidRequest, "the key is empty")
	}
	if len(value) > o.options.MaxBytes {
		return 0, garnetworks.Errorf(garnetworks.KindTooLarge, "object %q has %d bytes; %d are allowed", key, len(value), o.options.MaxBytes)
	}
	if now := o.objects[key].Revision; now != after {
		return 0, errRevision(key, now, after)
	}
	o.change(garnetworks.Object{Key: key, Value: append([]byte{}, value...)})
	return o.revision, nil
}

func errRevision(key string, now, after garnetworks.Revision) error {
	return garnetworks.Errorf(garnetworks.KindConflict, "object %q is at revision %d, not %d", key, now, after)
}

func (o *Objects) delete(key string, after garnetworks.Revision) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if err := o.countWrite(MethodDelete); err != nil {
		return err
	}
	object, ok := o.objects[key]
	if !ok {
		return garnetworks.Errorf(garnetworks.KindNotFound, "no object %q", key)
	}
	if object.Revision != after {
		return errRevision(key, object.Revision, after)
	}
	o.change(garnetworks.Object{Key: key, Deleted: true})
	return nil
}

func (o *Objects) list(prefix string) (page, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if err := o.countRead(MethodList); err != nil {
		return page{}, err
	}
	var objects []garnetworks.Object
	for _, key := range slices.Sorted(maps.Keys(o.objects)) {
		if strings.HasPrefix(key, prefix) {
			object := o.objects[key]
			object.Value = bytes.Clone(object.Value)
			objects = append(objects, object)
		}
	}
	return page{objects, o.revision}, nil
}

func (o *Objects) watch(ctx context.Context, prefix string, after garnetworks.Revision, wait time.Duration) ([]garnetworks.Object, garnetworks.Revision, error) {
	o.mu.Lock()
	err := o.countRead(MethodWatch)
	o.mu.Unlock()
	if err != nil {
		return nil, 0, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		changes, revision, changed, err := o.changesAfter(prefix, after)
		if err != nil || len(changes) > 0 {
			return changes, revision, err
		}
		select {
		case <-ctx.Done():
			return nil, 0, garnetworks.WrapError(garnetworks.KindObjectAPIDown, context.Cause(ctx), "the watch broke off")
		case <-timer.C:
			return nil, revision, nil
		case <-changed:
		}
	}
}

// page is the result of a list or a watch.
type page struct {
	objects  []garnetworks.Object
	revision garnetworks.Revision
}

// watchWithFaults runs a watch that fails when the fake goes down while it waits.
func watchWithFaults(ctx context.Context, f *Faults, watch func(ctx context.Context) (page, error)) ([]garnetworks.Object, garnetworks.Revision, error) {
	ctx, cancel := f.cancelWhenDown(ctx)
	defer cancel()
	p, err := withFaults(ctx, f, MethodWatch, failedObjectRead, func() (page, error) { return watch(ctx) })
	return p.objects, p.revision, err
}

func (o *Objects) changesAfter(prefix string, after garnetworks.Revision) ([]garnetworks.Object, garnetworks.Revision, <-chan struct{}, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if after < o.compacted {
		return nil, 0, nil, garnetworks.Errorf(garnetworks.KindCompacted, "changes up to revision %d are forgotten", o.compacted)
	}
	var changes []garnetworks.Object
	for _, c := range o.history {
		if c.Revision > after && strings.HasPrefix(c.Key, prefix) {
			c.Value = bytes.Clone(c.Value)
			changes = append(changes, c)
		}
	}
	return changes, o.revision, o.changed, nil
}

// change stores a change at the next revision and wakes all watches. The caller holds o.mu.
func (o *Objects) change(object garnetworks.Object) {
	o.revision++
	object.Revision = o.revision
	if object.Deleted {
		delete(o.objects, object.Key)
	} else {
		o.objects[object.Key] = object
	}
	o.history = append(o.history, object)
	if excess := len(o.history) - o.options.History; excess > 0 {
		o.compacted = o.history[excess-1].Revision
		o.history = slices.Clone(o.history[excess:])
	}
	close(o.changed)
	o.changed = make(chan struct{})
}

func (o *Objects) countRead(method string) error { return o.count(method, o.reads) }

func (o *Objects) countWrite(method string) error { return o.count(method, o.writes) }

func (o *Objects) count(method string, l *rate.Limiter) error {
	o.counts[method]++
	if l.Allow() {
		return nil
	}
	o.throttled++
	return &garnetworks.Error{Kind: garnetworks.KindThrottled, Detail: "too many calls", RetryAfter: throttleDelay}
}

// throttleDelay is the RetryAfter of a throttled call.
const throttleDelay = 100 * time.Millisecond

// View returns a view of the object API with faults of its own. A view that is down
// simulates an availability zone cut off from the object API.
func (o *Objects) View() *ObjectsView { return &ObjectsView{objects: o} }

// ObjectsView is an object API on the objects of another. The faults of both apply.
type ObjectsView struct {
	Faults
	objects *Objects
}

// Get implements garnetworks.ObjectAPI.
func (v *ObjectsView) Get(ctx context.Context, key string) (garnetworks.Object, error) {
	return withFaults(ctx, &v.Faults, MethodGet, failedObjectRead, func() (garnetworks.Object, error) {
		return v.objects.Get(ctx, key)
	})
}

// Put implements garnetworks.ObjectAPI.
func (v *ObjectsView) Put(ctx context.Context, key string, value []byte, after garnetworks.Revision) (garnetworks.Revision, error) {
	return withFaults(ctx, &v.Faults, MethodPut, failedObjectWrite, func() (garnetworks.Revision, error) {
		return v.objects.Put(ctx, key, value, after)
	})
}

// Delete implements garnetworks.ObjectAPI.
func (v *ObjectsView) Delete(ctx context.Context, key string, after garnetworks.Revision) error {
	_, err := withFaults(ctx, &v.Faults, MethodDelete, failedObjectWrite, func() (struct{}, error) {
		return struct{}{}, v.objects.Delete(ctx, key, after)
	})
	return err
}

// List implements garnetworks.ObjectAPI.
func (v *ObjectsView) List(ctx context.Context, prefix string) ([]garnetworks.Object, garnetworks.Revision, error) {
	p, err := withFaults(ctx, &v.Faults, MethodList, failedObjectRead, func() (page, error) {
		objects, revision, err := v.objects.List(ctx, prefix)
		return page{objects, revision}, err
	})
	return p.objects, p.revision, err
}

// Watch implements garnetworks.ObjectAPI.
func (v *ObjectsView) Watch(ctx context.Context, prefix string, after garnetworks.Revision, wait time.Duration) ([]garnetworks.Object, garnetworks.Revision, error) {
	return watchWithFaults(ctx, &v.Faults, func(ctx context.Context) (page, error) {
		objects, revision, err := v.objects.Watch(ctx, prefix, after, wait)
		return page{objects, revision}, err
	})
}
