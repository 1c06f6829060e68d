// Package fencer keeps what a node read in one era of the object API from taking effect in a
// later one, in which the same numbers may belong to other changes.
//
//	N1  A conditional write whose revision is of an earlier era than the newest one
//	    known fails as a conflict, without a call.
//	N2  A watch from a revision of another era than the response's is refused as
//	    compacted, so that its caller lists again: changes between the copy and that
//	    revision would be missed.
//	N3  An era lower than the newest one known is that of a lagging replica. It
//	    begins nothing.
package fencer

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/garnetworks/garnetworks"
)

// Fencer is an object API with these rules on top of another one.
type Fencer struct {
	next     garnetworks.ObjectAPI
	recorder garnetworks.Recorder
	// onNewEra is called with each new era; it does not change once the Fencer is in use.
	onNewEra []func()

	mu sync.Mutex
	// era is the newest era known; valid if known is set.
	era   garnetworks.Era
	known bool
}

// New returns a Fencer on top of next that records each new era.
func New(next garnetworks.ObjectAPI, recorder garnetworks.Recorder) *Fencer {
	return &Fencer{next: next, recorder: recorder}
}

// OnNewEra registers a function to call when an era has begun. It must not block, and must be
// registered before the Fencer is used.
func (f *Fencer) OnNewEra(do func()) { f.onNewEra = append(f.onNewEra, do) }

// Get implements garnetworks.ObjectAPI.
func (f *Fencer) Get(ctx context.Context, key string) (garnetworks.Object, error) {
	object, err := f.next.Get(ctx, key)
	if err == nil || garnetworks.IsKind(err, garnetworks.KindNotFound) {
		f.Observe(object.Revision)
	}
	return object, err
}

// Put implements garnetworks.ObjectAPI.
func (f *Fencer) Put(ctx context.Context, key string, value []byte, after garnetworks.Revision) (garnetworks.Revision, error) {
	if err := f.checkCondition(key, after); err != nil {
		return 0, err
	}
	revision, err := f.next.Put(ctx, key, value, after)
	if err == nil {
		f.Observe(revision)
	}
	return revision, err
}

// Delete implements garnetworks.ObjectAPI.
func (f *Fencer) Delete(ctx context.Context, key string, after garnetworks.Revision) error {
	if err := f.checkCondition(key, after); err != nil {
		return err
	}
	return f.next.Delete(ctx, key, after)
}

// List implements garnetworks.ObjectAPI.
func (f *Fencer) List(ctx context.Context, prefix string) ([]garnetworks.Object, garnetworks.Revision, error) {
	objects, revision, err := f.next.List(ctx, prefix)
	if err == nil {
		f.Observe(revision)
	}
	return objects, revision, err
}

// Watch implements garnetworks.ObjectAPI.
func (f *Fencer) Watch(ctx context.Context, prefix string, after garnetworks.Revision, wait time.Duration) ([]garnetworks.Object, garnetworks.Revision, error) {
	if f.outdated(after) {
		return nil, 0, errOtherEra(prefix, after)
	}
	objects, revision, err := f.next.Watch(ctx, prefix, after, wait)
	if err != nil {
		return nil, 0, err
	}
	f.Observe(revision)
	if revision.Era() != after.Era() {
		return nil, 0, errOtherEra(prefix, after)
	}
	return objects, revision, nil
}

func errOtherEra(prefix string, after garnetworks.Revision) error {
	return garnetworks.Errorf(garnetworks.KindCompacted, "the object API came back from an older copy, so the changes of %s after revision %s are unknown", prefix, after)
}

// checkCondition enforces rule N1.
func (f *Fencer) checkCondition(key string, after garnetworks.Revision) error {
	if after == 0 || !f.outdated(after) {
		return nil
	}
	return garnetworks.Errorf(garnetworks.KindConflict, "revision %s of %s is of an earlier era of the object API", after, key)
}

func (f *Fencer) outdated(revision garnetworks.Revision) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.known && revision.Era() < f.era
}

// Observe records the era of a revision, if it is new. It is for revisions that other nodes have
// read as well, since many nodes rarely call the object API themselves.
func (f *Fencer) Observe(revision garnetworks.Revision) {
	f.mu.Lock()
	previous, known := f.era, f.known
	f.era, f.known = max(f.era, revision.Era()), true
	f.mu.Unlock()
	if !known || revision.Era() <= previous {
		return
	}
	for _, do := range f.onNewEra {
		do()
	}
	f.recorder.Record(garnetworks.Event{Kind: garnetworks.EventObjectAPINewEra, Detail: fmt.Sprintf("it came back from an older copy: era %d after %d, now at revision %s", revision.Era(), previous, revision)})
}
