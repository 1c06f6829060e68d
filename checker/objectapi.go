package checker

import (
	"bytes"
	"context"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/faker"
)

// ObjectAPIFixture holds an empty object API.
type ObjectAPIFixture struct {
	API garnetworks.ObjectAPI
	// Faults injects faults into the object store; it may be nil.
	Faults FaultInjector
	// Compact compacts the store's history up to now; it may be nil.
	Compact func()
	// Throttle makes the next calls exceed the rate limits; it may be nil.
	Throttle func()
}

// ObjectAPI runs the contract suite of garnetworks.ObjectAPI.
func ObjectAPI(t *testing.T, newFixture func(t *testing.T) ObjectAPIFixture) {
	t.Helper()
	Run(t, newFixture, ObjectAPICases())
}

func objectHasFaults(f ObjectAPIFixture) bool { return f.Faults != nil }

// ObjectAPICases returns the cases of the garnetworks.ObjectAPI contract.
func ObjectAPICases() map[string]Case[ObjectAPIFixture] {
	return map[string]Case[ObjectAPIFixture]{
		"a written object reads back": {
			Failure: "A node that restarts reads a value that differs from the written one.",
			Run:     objectReadsBack,
		},
		"create refuses an existing object": {
			Failure: "Two controllers create the same lease, and both conclude that they hold it.",
			Run:     objectCreateConflicts,
		},
		"update requires the newest revision": {
			Failure: "A lease holder resumes after a pause and overwrites the groups that its successor wrote.",
			Run:     objectUpdateConflicts,
		},
		"update of an absent object conflicts": {
			Failure: "A late renewal recreates a deleted lease.",
			Run:     objectUpdateAbsent,
		},
		"absent objects are not found": {
			Failure: "A missing object is taken for an outage, or an outage for a missing object.",
			Run:     objectAbsent,
		},
		"delete requires the newest revision": {
			Failure: "A late delete removes an object that was written in the meantime.",
			Run:     objectDelete,
		},
		"revisions are never reused": {
			Failure: "An object is deleted and created again, and a stale writer's old revision matches.",
			Run:     objectRevisionsGrow,
		},
		"value sizes are limited": {
			Failure: "A manifest that is too large is stored in part.",
			Run:     objectTooLarge,
		},
		"values are copied": {
			Failure: "A caller reuses its buffer and thereby changes the stored value.",
			Run:     objectCopies,
		},
		"unusual keys are distinct": {
			Failure: "A zone whose name needs escaping reads another zone's object.",
			Run:     objectUnusualKeys,
		},
		"list is by prefix and in key order": {
			Failure: "A zone's controller takes over another zone's domains.",
			Run:     objectList,
		},
		"watch returns changes in order": {
			Failure: "A node applies an older roster after a newer one.",
			Run:     objectWatchOrder,
		},
		"watch returns on a change": {
			Timed:   true,
			Failure: "A new manifest is applied only after each node's watch has timed out.",
			Run:     objectWatchWakes,
		},
		"watch returns after its wait": {
			Timed:   true,
			Failure: "A watch without changes never returns, so a stalled connection is not detected.",
			Run:     objectWatchEnds,
		},
		"compacted history is reported": {
			Failure:   "A node that was disconnected misses changes without knowing it.",
			Supported: func(f ObjectAPIFixture) bool { return f.Compact != nil },
			Run:       objectCompacted,
		},
		"exactly one concurrent writer succeeds": {
			Failure: "Two operators commit concurrently, and both are told that they succeeded.",
			Run:     objectRace,
		},
		"a write with a lost response has an unknown outcome": {
			Failure:   "The store executes a write and its response is lost; the operator is told that the commit failed although it took effect.",
			Supported: objectHasFaults,
			Run:       objectLostPut,
		},
		"a delete with a lost response has an unknown outcome": {
			Failure:   "The object is deleted although the caller is told that the delete failed.",
			Supported: objectHasFaults,
			Run:       objectLostDelete,
		},
		"a late response counts as lost": {
			Timed:     true,
			Failure:   "The response arrives after the caller stopped waiting, and the caller is told that the write failed although it took effect.",
			Supported: objectHasFaults,
			Run:       objectLatePut,
		},
		"an outage is reported and ends": {
			Failure:   "The store is down, and a caller takes that for an absent object or cannot use the store after its recovery.",
			Supported: objectHasFaults,
			Run:       objectDown,
		},
		"an unavailable store writes nothing": {
			Failure:   "The store reports that it is unavailable, but the write took effect.",
			Supported: objectHasFaults,
			Run:       objectUnavailable,
		},
		"a frozen store blocks no call beyond its context": {
			Timed:     true,
			Failure:   "The store pauses, and a lease holder is blocked in its renewal past the end of the lease.",
			Supported: objectHasFaults,
			Run:       objectFrozen,
		},
		"stalled connections are dropped": {
			Timed:     true,
			Failure:   "The network drops the state of open connections, and calls over them hang although new connections work.",
			Supported: objectHasFaults,
			Run:       objectStalled,
		},
		"throttling returns a retry delay": {
			Failure:   "Every node retries throttled calls at once, and the store never recovers.",
			Supported: func(f ObjectAPIFixture) bool { return f.Throttle != nil },
			Run:       objectThrottled,
		},
		"a cancelled watch returns": {
			Timed:   true,
			Failure: "A node that shuts down waits for its watch.",
			Run:     objectCancelledWatch,
		},
	}
}

const (
	testKey = "checks/object"
	// longWatch is the wait of a watch that is expected to return earlier, on a change.
	longWatch = 2 * time.Second
)

func objectReadsBack(ctx context.Context, f ObjectAPIFixture) error {
	value := []byte("a\x00b\xff\n")
	revision, err := f.API.Put(ctx, testKey, value, 0)
	if err != nil {
		return errors.Wrap(err, "put")
	}
	return wantObject(ctx, f, testKey, value, revision)
}

func wantObject(ctx context.Context, f ObjectAPIFixture, key string, value []byte, revision garnetworks.Revision) error {
	object, err := f.API.Get(ctx, key)
	if err != nil {
		return errors.Wrap(err, "get")
	}
	if !bytes.Equal(object.Value, value) {
		return errors.Errorf("got value %q, want %q", object.Value, value)
	}
	return firstError(
		func() error { return want("key", object.Key, key) },
		func() error { return want("revision", object.Revision, revision) },
		func() error { return want("has a nonzero revision", revision != 0, true) },
	)
}

func objectCreateConflicts(ctx context.Context, f ObjectAPIFixture) error {
	revision, err := f.API.Put(ctx, testKey, []byte("one"), 0)
	if err != nil {
		return errors.Wrap(err, "first create")
	}
	_, err = f.API.Put(ctx, testKey, []byte("two"), 0)
	if err := wantKind("second create", err, garnetworks.KindConflict); err != nil {
		return err
	}
	return wantObject(ctx, f, testKey, []byte("one"), revision)
}

func objectUpdateConflicts(ctx context.Context, f ObjectAPIFixture) error {
	first, err := f.API.Put(ctx, testKey, []byte("one"), 0)
	if err != nil {
		return errors.Wrap(err, "create")
	}
	second, err := f.API.Put(ctx, testKey, []byte("two"), first)
	if err != nil {
		return errors.Wrap(err, "update")
	}
	_, err = f.API.Put(ctx, testKey, []byte("three"), first)
	if err := wantKind("update at an old revision", err, garnetworks.KindConflict); err != nil {
		return err
	}
	return wantObject(ctx, f, testKey, []byte("two"), second)
}

func objectUpdateAbsent(ctx context.Context, f ObjectAPIFixture) error {
	_, err := f.API.Put(ctx, testKey, []byte("one"), 7)
	if err := wantKind("update of an absent object", err, garnetworks.KindConflict); err != nil {
		return err
	}
	_, err = f.API.Get(ctx, testKey)
	return wantKind("get", err, garnetworks.KindNotFound)
}

func objectAbsent(ctx context.Context, f ObjectAPIFixture) error {
	_, err := f.API.Get(ctx, testKey)
	if err := wantKind("get", err, garnetworks.KindNotFound); err != nil {
		return err
	}
	err = f.API.Delete(ctx, testKey, 1)
	if err := wantKind("delete", err, garnetworks.KindNotFound); err != nil {
		return err
	}
	objects, _, err := f.API.List(ctx, testKey)
	if err != nil {
		return errors.Wrap(err, "list")
	}
	return want("objects", len(objects), 0)
}

func objectDelete(ctx context.Context, f ObjectAPIFixture) error {
	first, err := f.API.Put(ctx, testKey, []byte("one"), 0)
	if err != nil {
		return errors.Wrap(err, "create")
	}
	second, err := f.API.Put(ctx, testKey, []byte("two"), first)
	if err != nil {
		return errors.Wrap(err, "update")
	}
	err = f.API.Delete(ctx, testKey, first)
	if err := wantKind("delete at an old revision", err, garnetworks.KindConflict); err != nil {
		return err
	}
	if err := f.API.Delete(ctx, testKey, second); err != nil {
		return errors.Wrap(err, "delete")
	}
	_, err = f.API.Get(ctx, testKey)
	return wantKind("get after delete", err, garnetworks.KindNotFound)
}

func objectRevisionsGrow(ctx context.Context, f ObjectAPIFixture) error {
	first, err := f.API.Put(ctx, testKey, []byte("one"), 0)
	if err != nil {
		return errors.Wrap(err, "create")
	}
	if err := f.API.Delete(ctx, testKey, first); err != nil {
		return errors.Wrap(err, "delete")
	}
	again, err := f.API.Put(ctx, testKey, []byte("two"), 0)
	if err != nil {
		return errors.Wrap(err, "create again")
	}
	if again <= first {
		return errors.Errorf("revision %d came after %d", again, first)
	}
	_, err = f.API.Put(ctx, testKey, []byte("three"), first)
	return wantKind("update at the revision of the deleted object", err, garnetworks.KindConflict)
}

func objectTooLarge(ctx context.Context, f ObjectAPIFixture) error {
	largest := bytes.Repeat([]byte{'x'}, garnetworks.MaxObjectBytes)
	revision, err := f.API.Put(ctx, testKey, largest, 0)
	if err != nil {
		return errors.Wrap(err, "put of the largest value")
	}
	_, err = f.API.Put(ctx, testKey, append(largest, 'x'), revision)
	if err := wantKind("put of a larger value", err, garnetworks.KindTooLarge); err != nil {
		return err
	}
	return wantObject(ctx, f, testKey, largest, revision)
}

func objectCopies(ctx context.Context, f ObjectAPIFixture) error {
	value := []byte("one")
	revision, err := f.API.Put(ctx, testKey, value, 0)
	if err != nil {
		return errors.Wrap(err, "put")
	}
	value[0] = 'X'
	object, err := f.API.Get(ctx, testKey)
	if err != nil {
		return errors.Wrap(err, "get")
	}
	object.Value[1] = 'X'
	objects, _, err := f.API.List(ctx, testKey)
	if err != nil {
		return errors.Wrap(err, "list")
	}
	for _, o := range objects {
		o.Value[2] = 'X'
	}
	return wantObject(ctx, f, testKey, []byte("one"), revision)
}

func objectUnusualKeys(ctx context.Context, f ObjectAPIFixture) error {
	keys := []string{"a b", "a/b", "a%2Fb", "a?b=c&d", "a#b", "ä", "a+b", "a//b", "a/../b"}
	for _, key := range keys {
		if _, err := f.API.Put(ctx, key, []byte(key), 0); err != nil {
			return errors.Wrapf(err, "put %q", key)
		}
	}
	for _, key := range keys {
		object, err := f.API.Get(ctx, key)
		if err != nil {
			return errors.Wrapf(err, "get %q", key)
		}
		if err := want("value of "+key, string(object.Value), key); err != nil {
			return err
		}
	}
	objects, _, err := f.API.List(ctx, "a%")
	if err != nil {
		return errors.Wrap(err, "list")
	}
	return want("objects under a%", len(objects), 1)
}

func objectList(ctx context.Context, f ObjectAPIFixture) error {
	var newest garnetworks.Revision
	for _, key := range []string{"zones/b", "zones/a", "zone", "zones/a/x", "other"} {
		revision, err := f.API.Put(ctx, key, []byte(key), 0)
		if err != nil {
			return errors.Wrap(err, "put")
		}
		newest = revision
	}
	objects, revision, err := f.API.List(ctx, "zones/")
	if err != nil {
		return errors.Wrap(err, "list")
	}
	var keys []string
	for _, o := range objects {
		keys = append(keys, o.Key)
		if err := want("value", string(o.Value), o.Key); err != nil {
			return err
		}
	}
	if wanted := []string{"zones/a", "zones/a/x", "zones/b"}; !slices.Equal(keys, wanted) {
		return errors.Errorf("got keys %v, want %v", keys, wanted)
	}
	return want("revision of the list", revision, newest)
}

func objectWatchOrder(ctx context.Context, f ObjectAPIFixture) error {
	first, err := f.API.Put(ctx, "watched/a", []byte("1"), 0)
	if err != nil {
		return errors.Wrap(err, "put")
	}
	second, err := f.API.Put(ctx, "watched/a", []byte("2"), first)
	if err != nil {
		return errors.Wrap(err, "put")
	}
	if _, err := f.API.Put(ctx, "elsewhere", nil, 0); err != nil {
		return errors.Wrap(err, "put")
	}
	if err := f.API.Delete(ctx, "watched/a", second); err != nil {
		return errors.Wrap(err, "delete")
	}
	changes, revision, err := f.API.Watch(ctx, "watched/", first, time.Second)
	if err != nil {
		return errors.Wrap(err, "watch")
	}
	if len(changes) != 2 {
		return errors.Errorf("got %d changes, want 2", len(changes))
	}
	return firstError(
		func() error { return want("first change", string(changes[0].Value), "2") },
		func() error { return want("first revision", changes[0].Revision, second) },
		func() error { return want("second is a deletion", changes[1].Deleted, true) },
		func() error { return want("order", changes[1].Revision > second, true) },
		func() error { return want("continues from the last change", revision >= changes[1].Revision, true) },
	)
}

func objectWatchWakes(ctx context.Context, f ObjectAPIFixture) error {
	_, revision, err := f.API.List(ctx, "watched/")
	if err != nil {
		return errors.Wrap(err, "list")
	}
	written := make(chan error, 1)
	go func() {
		time.Sleep(20 * time.Millisecond)
		_, err := f.API.Put(ctx, "watched/a", []byte("1"), 0)
		written <- err
	}()
	start := time.Now()
	changes, _, err := f.API.Watch(ctx, "watched/", revision, longWatch)
	if err != nil {
		return errors.Wrap(err, "watch")
	}
	if err := <-written; err != nil {
		return errors.Wrap(err, "put")
	}
	return firstError(
		func() error { return want("changes", len(changes), 1) },
		func() error { return want("returned before its wait ended", time.Since(start) < longWatch, true) },
	)
}

func objectWatchEnds(ctx context.Context, f ObjectAPIFixture) error {
	revision, err := f.API.Put(ctx, "elsewhere", nil, 0)
	if err != nil {
		return errors.Wrap(err, "put")
	}
	changes, next, err := f.API.Watch(ctx, "watched/", revision, 30*time.Millisecond)
	if err != nil {
		return errors.Wrap(err, "watch")
	}
	return firstError(
		func() error { return want("changes", len(changes), 0) },
		func() error { return want("revision to continue from", next, revision) },
	)
}

func objectCompacted(ctx context.Context, f ObjectAPIFixture) error {
	first, err := f.API.Put(ctx, testKey, []byte("1"), 0)
	if err != nil {
		return errors.Wrap(err, "put")
	}
	if _, err := f.API.Put(ctx, testKey, []byte("2"), first); err != nil {
		return errors.Wrap(err, "put")
	}
	f.Compact()
	_, _, err = f.API.Watch(ctx, testKey, first, time.Second)
	if err := wantKind("watch", err, garnetworks.KindCompacted); err != nil {
		return err
	}
	_, revision, err := f.API.List(ctx, testKey)
	if err != nil {
		return errors.Wrap(err, "list")
	}
	_, _, err = f.API.Watch(ctx, testKey, revision, 10*time.Millisecond)
	return errors.Wrap(err, "watch from the list's revision")
}

func objectRace(ctx context.Context, f ObjectAPIFixture) error {
	const writers = 8
	revision, err := f.API.Put(ctx, testKey, nil, 0)
	if err != nil {
		return errors.Wrap(err, "create")
	}
	errs := make([]error, writers)
	var wg sync.WaitGroup
	for i := range writers {
		wg.Go(func() { _, errs[i] = f.API.Put(ctx, testKey, []byte{byte(i)}, revision) })
	}
	wg.Wait()
	winner := -1
	for i, err := range errs {
		if err == nil && winner >= 0 {
			return errors.Errorf("writers %d and %d both succeeded", winner, i)
		}
		if err == nil {
			winner = i
		} else if err := wantKind("other writer", err, garnetworks.KindConflict); err != nil {
			return err
		}
	}
	if winner < 0 {
		return errors.New("no writer succeeded")
	}
	object, err := f.API.Get(ctx, testKey)
	if err != nil {
		return errors.Wrap(err, "get")
	}
	return want("stored value", string(object.Value), string([]byte{byte(winner)}))
}

func objectLostPut(ctx context.Context, f ObjectAPIFixture) error {
	f.Faults.SetFaults(faker.FaultPlan{LoseAnswers: 1, Methods: []string{faker.MethodPut}})
	_, err := f.API.Put(ctx, testKey, []byte("one"), 0)
	if err := wantKind("put", err, garnetworks.KindResponseLost); err != nil {
		return err
	}
	object, err := f.API.Get(ctx, testKey)
	if err != nil {
		return errors.Wrap(err, "read back")
	}
	return want("value", string(object.Value), "one")
}

func objectLostDelete(ctx context.Context, f ObjectAPIFixture) error {
	revision, err := f.API.Put(ctx, testKey, []byte("one"), 0)
	if err != nil {
		return errors.Wrap(err, "put")
	}
	f.Faults.SetFaults(faker.FaultPlan{LoseAnswers: 1, Methods: []string{faker.MethodDelete}})
	err = f.API.Delete(ctx, testKey, revision)
	if err := wantKind("delete", err, garnetworks.KindResponseLost); err != nil {
		return err
	}
	_, err = f.API.Get(ctx, testKey)
	return wantKind("read back", err, garnetworks.KindNotFound)
}

func objectLatePut(ctx context.Context, f ObjectAPIFixture) error {
	f.Faults.SetFaults(faker.FaultPlan{LateAnswers: 1, LateBy: time.Minute})
	err := callWithTimeout(ctx, shortTimeout, func(ctx context.Context) error {
		_, err := f.API.Put(ctx, testKey, []byte("one"), 0)
		return err
	})
	if err := wantKind("put", err, garnetworks.KindResponseLost); err != nil {
		return err
	}
	f.Faults.SetFaults(faker.FaultPlan{})
	object, err := f.API.Get(ctx, testKey)
	if err != nil {
		return errors.Wrap(err, "read back")
	}
	return want("value", string(object.Value), "one")
}

func objectDown(ctx context.Context, f ObjectAPIFixture) error {
	revision, err := f.API.Put(ctx, testKey, []byte("one"), 0)
	if err != nil {
		return errors.Wrap(err, "put")
	}
	f.Faults.SetFaults(faker.FaultPlan{Down: true})
	_, getErr := f.API.Get(ctx, testKey)
	_, _, listErr := f.API.List(ctx, testKey)
	_, _, watchErr := f.API.Watch(ctx, testKey, revision, time.Second)
	_, putErr := f.API.Put(ctx, testKey, []byte("two"), revision)
	f.Faults.SetFaults(faker.FaultPlan{})
	err = firstError(
		func() error { return wantKind("get", getErr, garnetworks.KindObjectAPIDown) },
		func() error { return wantKind("list", listErr, garnetworks.KindObjectAPIDown) },
		func() error { return wantKind("watch", watchErr, garnetworks.KindObjectAPIDown) },
		func() error {
			return wantKind("put", putErr, garnetworks.KindObjectAPIDown, garnetworks.KindResponseLost)
		},
	)
	if err != nil {
		return err
	}
	return wantObject(ctx, f, testKey, []byte("one"), revision)
}

func objectUnavailable(ctx context.Context, f ObjectAPIFixture) error {
	f.Faults.SetFaults(faker.FaultPlan{Unavailable: true})
	_, putErr := f.API.Put(ctx, testKey, []byte("one"), 0)
	_, getErr := f.API.Get(ctx, testKey)
	f.Faults.SetFaults(faker.FaultPlan{})
	return firstError(
		func() error { return wantKind("put", putErr, garnetworks.KindObjectAPIDown) },
		func() error { return wantKind("get", getErr, garnetworks.KindObjectAPIDown) },
		func() error {
			_, err := f.API.Get(ctx, testKey)
			return wantKind("get afterwards", err, garnetworks.KindNotFound)
		},
	)
}

func objectFrozen(ctx context.Context, f ObjectAPIFixture) error {
	f.Faults.SetFaults(faker.FaultPlan{Frozen: true})
	putErr := callWithTimeout(ctx, shortTimeout, func(ctx context.Context) error {
		_, err := f.API.Put(ctx, testKey, []byte("one"), 0)
		return err
	})
	getErr := callWithTimeout(ctx, shortTimeout, func(ctx context.Context) error {
		_, err := f.API.Get(ctx, testKey)
		return err
	})
	f.Faults.SetFaults(faker.FaultPlan{})
	err := firstError(
		func() error {
			return wantKind("put", putErr, garnetworks.KindObjectAPIDown, garnetworks.KindResponseLost)
		},
		func() error { return wantKind("get", getErr, garnetworks.KindObjectAPIDown) },
	)
	if err != nil || garnetworks.IsKind(putErr, garnetworks.KindResponseLost) {
		return err
	}
	_, err = f.API.Get(ctx, testKey)
	return wantKind("get after a put that reported no effect", err, garnetworks.KindNotFound)
}

func objectStalled(ctx context.Context, f ObjectAPIFixture) error {
	revision, err := f.API.Put(ctx, testKey, []byte("one"), 0)
	if err != nil {
		return errors.Wrap(err, "put")
	}
	f.Faults.SilenceOpen()
	// The first call may use a stalled connection. It must end with its context, and the
	// next call must use a working connection.
	err = callWithTimeout(ctx, shortTimeout, func(ctx context.Context) error {
		_, err := f.API.Get(ctx, testKey)
		return err
	})
	if err != nil {
		if err := wantKind("get on a stalled connection", err, garnetworks.KindObjectAPIDown); err != nil {
			return err
		}
	}
	return callWithTimeout(ctx, longTimeout, func(ctx context.Context) error {
		return wantObject(ctx, f, testKey, []byte("one"), revision)
	})
}

func objectThrottled(ctx context.Context, f ObjectAPIFixture) error {
	f.Throttle()
	_, err := f.API.Get(ctx, testKey)
	if err := wantKind("get", err, garnetworks.KindThrottled); err != nil {
		return err
	}
	var e *garnetworks.Error
	if !errors.As(err, &e) || e.RetryAfter <= 0 {
		return errors.Errorf("got error %v without a retry delay", err)
	}
	_, err = f.API.Put(ctx, testKey, []byte("one"), 0)
	return wantKind("put", err, garnetworks.KindThrottled)
}

func objectCancelledWatch(ctx context.Context, f ObjectAPIFixture) error {
	err := callWithTimeout(ctx, shortTimeout, func(ctx context.Context) error {
		_, _, err := f.API.Watch(ctx, strings.Repeat("x", 8), 0, time.Minute)
		return err
	})
	return wantKind("watch", err, garnetworks.KindObjectAPIDown)
}
