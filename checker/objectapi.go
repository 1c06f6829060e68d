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

// ObjectAPIBed is an object API without objects.
type ObjectAPIFixture struct {
	API garnetworks.ObjectAPI
	// Faults may be nil.
	Faults FaultInjector
	// Compact forgets the history up to now; it may be nil.
	Compact func()
	// Throttle makes the next calls exceed the rates; it may be nil.
	Throttle func()
}

// ObjectAPI checks an object API.
func ObjectAPI(t *testing.T, newFixture func(t *testing.T) ObjectAPIFixture) {
	t.Helper()
	run(t, newFixture, ObjectAPICases())
}

func objectHasFaults(f ObjectAPIFixture) bool { return f.Faults != nil }

// ObjectAPICases returns the contract of garnetworks.ObjectAPI.
func ObjectAPICases() map[string]Case[ObjectAPIFixture] {
	return map[string]Case[ObjectAPIFixture]{
		"a written object reads back": {
			Failure: "A node that restarts must find what was written, byte for byte.",
			Run:     objectReadsBack,
		},
		"create refuses an existing object": {
			Failure: "Two controllers create the same lease; both would believe they hold it.",
			Run:     objectCreateConflicts,
		},
		"update needs the newest revision": {
			Failure: "A paused lease holder writes a domain after its successor did and wipes out the successor's groups.",
			Run:     objectUpdateConflicts,
		},
		"update of an absent object conflicts": {
			Failure: "A deleted lease comes back to life by a late renewal.",
			Run:     objectUpdateAbsent,
		},
		"absent objects": {
			Failure: "A missing object is taken for an outage, or an outage for a missing object.",
			Run:     objectAbsent,
		},
		"delete needs the newest revision": {
			Failure: "A late delete takes away an object that was written since.",
			Run:     objectDelete,
		},
		"revisions never come back": {
			Failure: "An object is deleted and created again; a stale writer's old revision matches by chance.",
			Run:     objectRevisionsGrow,
		},
		"values have a bound": {
			Failure: "A manifest that is too large is stored in part.",
			Run:     objectTooLarge,
		},
		"values are the caller's own": {
			Failure: "A caller reuses its buffer and changes the stored value.",
			Run:     objectCopies,
		},
		"odd keys survive": {
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
		"watch wakes on a change": {
			Failure: "A new manifest waits for the end of each node's watch.",
			Run:     objectWatchWakes,
		},
		"watch ends after its wait": {
			Failure: "A watch without changes never ends, and its silent connection is never noticed.",
			Run:     objectWatchEnds,
		},
		"compacted history is said": {
			Failure:   "A node that was cut off misses changes and never knows.",
			Supported: func(f ObjectAPIFixture) bool { return f.Compact != nil },
			Run:       objectCompacted,
		},
		"one of many racing writers wins": {
			Failure: "Operators race; two commits are both told that they won.",
			Run:     objectRace,
		},
		"a lost write is neither failed nor done": {
			Failure:   "The store takes a write and its answer gets lost; the operator is told that the commit failed although it is in force.",
			Supported: objectHasFaults,
			Run:       objectLostPut,
		},
		"a lost delete is neither failed nor done": {
			Failure:   "As for a write; the object is gone although the caller was told that it isn't.",
			Supported: objectHasFaults,
			Run:       objectLostDelete,
		},
		"a late answer is a lost one": {
			Failure:   "The answer comes after the caller stopped waiting; the write stands.",
			Supported: objectHasFaults,
			Run:       objectLatePut,
		},
		"an outage is said and ends": {
			Failure:   "The store is down; a caller takes that for an absent object, or never notices that it is back.",
			Supported: objectHasFaults,
			Run:       objectDown,
		},
		"an unavailable store writes nothing": {
			Failure:   "The store answers that it can't; a caller that is told so goes on as if nothing was written.",
			Supported: objectHasFaults,
			Run:       objectUnavailable,
		},
		"a frozen store holds nobody beyond the context": {
			Failure:   "The store pauses and a lease holder hangs in its renewal past the lease's end.",
			Supported: objectHasFaults,
			Run:       objectFrozen,
		},
		"silent connections are given up": {
			Failure:   "What lies between forgets the open connections; calls on them hang although new ones work.",
			Supported: objectHasFaults,
			Run:       objectStalled,
		},
		"throttling is said with a delay": {
			Failure:   "Throttled calls are retried at once by every node, and the store never recovers.",
			Supported: func(f ObjectAPIFixture) bool { return f.Throttle != nil },
			Run:       objectThrottled,
		},
		"a cancelled watch returns": {
			Failure: "A node that shuts down waits for its watch.",
			Run:     objectCancelledWatch,
		},
	}
}

const (
	testKey = "checks/object"
	// longWatch is the wait of a watch that a change is to end.
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
		func() error { return want("revision is not absent", revision != 0, true) },
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
	return wantKind("update at the revision of a former life", err, garnetworks.KindConflict)
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
		func() error { return want("goes on from the last change", revision >= changes[1].Revision, true) },
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
		func() error { return want("woke before its end", time.Since(start) < longWatch, true) },
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
		func() error { return want("revision to go on from", next, revision) },
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
			return errors.Errorf("writers %d and %d both won", winner, i)
		}
		if err == nil {
			winner = i
		} else if err := wantKind("loser", err, garnetworks.KindConflict); err != nil {
			return err
		}
	}
	if winner < 0 {
		return errors.New("no writer won")
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
	return wantKind("get after a put that was said to have no effect", err, garnetworks.KindNotFound)
}

func objectStalled(ctx context.Context, f ObjectAPIFixture) error {
	revision, err := f.API.Put(ctx, testKey, []byte("one"), 0)
	if err != nil {
		return errors.Wrap(err, "put")
	}
	f.Faults.SilenceOpen()
	// The first call may meet a silent connection; it must end with its context,
	// and the next ones must not meet it again.
	err = callWithTimeout(ctx, shortTimeout, func(ctx context.Context) error {
		_, err := f.API.Get(ctx, testKey)
		return err
	})
	if err != nil {
		if err := wantKind("get on a silent connection", err, garnetworks.KindObjectAPIDown); err != nil {
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
		return errors.Errorf("got error %v without a delay", err)
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
