package fencer_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/checker"
	"github.com/garnetworks/garnetworks/faker"
	"github.com/garnetworks/garnetworks/faker/impersonator"
	"github.com/garnetworks/garnetworks/fencer"
	"github.com/garnetworks/garnetworks/platform"
)

// eras counts the events of new eras.
type eras struct {
	mu sync.Mutex
	n  int
}

func (e *eras) Record(x garnetworks.Event) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if x.Kind == garnetworks.EventObjectAPINewEra {
		e.n++
	}
}

func (e *eras) count() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.n
}

// inStore runs a test with a store and a fenced object API on it, over an in-memory network.
func inStore(t *testing.T, test func(t *testing.T, store *impersonator.Store, api garnetworks.ObjectAPI, recorded *eras)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		network, recorded := new(faker.Network), &eras{}
		store := impersonator.NewStoreOn(network.NewListener())
		defer store.Close()
		test(t, store, fencer.New(platform.NewStoreOver(network.Dial, store.Address()), recorded), recorded)
	})
}

// Guards against an object API that does not keep its contract behind a fencer.
func TestObjectAPIContract(t *testing.T) {
	checker.RunInBubbles(t, func(t *testing.T) checker.ObjectAPIFixture {
		objects := faker.NewObjects(faker.ObjectsOptions{})
		return checker.ObjectAPIFixture{
			API: fencer.New(objects, &eras{}), Faults: objects, Compact: objects.Compact,
		}
	}, checker.Untimed(checker.ObjectAPICases()))
}

// Guards against a conditional write that replaces another version of the object with the same number.
func TestWritesOfAnEarlierEraAreRefused(t *testing.T) {
	for name, write := range map[string]func(ctx context.Context, api garnetworks.ObjectAPI, after garnetworks.Revision) error{
		"put": func(ctx context.Context, api garnetworks.ObjectAPI, after garnetworks.Revision) error {
			_, err := api.Put(ctx, "leases/a", []byte("mine"), after)
			return err
		},
		"delete": func(ctx context.Context, api garnetworks.ObjectAPI, after garnetworks.Revision) error {
			return api.Delete(ctx, "leases/a", after)
		},
	} {
		t.Run(name, func(t *testing.T) {
			inStore(t, func(t *testing.T, store *impersonator.Store, api garnetworks.ObjectAPI, recorded *eras) {
				ctx := t.Context()
				first, err := api.Put(ctx, "leases/a", []byte("first"), 0)
				if err != nil {
					t.Fatal(err)
				}
				old := store.Copy()
				mine, err := api.Put(ctx, "leases/a", []byte("mine"), first)
				if err != nil {
					t.Fatal(err)
				}
				store.Restore(old)
				store.Set("leases", "a", map[string]string{"holder": "theirs"})
				if store.Revision() != mine.Number() {
					t.Fatalf("the number %d was not given out again, %d was", mine.Number(), store.Revision())
				}
				if err := write(ctx, api, mine); !garnetworks.IsKind(err, garnetworks.KindResponseLost) {
					t.Errorf("before the era is known: %v, want %s", err, garnetworks.KindResponseLost)
				}
				store.Set("leases", "a", map[string]string{"holder": "theirs"})
				if _, err := api.Get(ctx, "leases/a"); err != nil {
					t.Fatal(err)
				}
				calls := store.Calls()
				if err := write(ctx, api, mine); !garnetworks.IsKind(err, garnetworks.KindConflict) {
					t.Errorf("once the era is known: %v, want %s", err, garnetworks.KindConflict)
				}
				if now := store.Calls(); now["PUT leases"] != calls["PUT leases"] || now["DELETE leases"] != calls["DELETE leases"] {
					t.Error("the write was sent")
				}
				if recorded.count() != 1 {
					t.Errorf("%d new eras were recorded, want 1", recorded.count())
				}
			})
		})
	}
}

// Guards against a watch that goes on in a new era and misses the changes since the copy.
func TestWatchesOfAnEarlierEraListAgain(t *testing.T) {
	for name, past := range map[string]bool{"revision not reached yet": false, "revision passed": true} {
		t.Run(name, func(t *testing.T) {
			inStore(t, func(t *testing.T, store *impersonator.Store, api garnetworks.ObjectAPI, recorded *eras) {
				ctx := t.Context()
				store.Set("config", "main", 1)
				old := store.Copy()
				store.Set("config", "main", 2)
				_, revision, err := api.List(ctx, "config/main")
				if err != nil {
					t.Fatal(err)
				}
				store.Restore(old)
				if past {
					store.Advance(revision.Number() + 10)
				}
				for range 2 {
					if _, _, err := api.Watch(ctx, "config/main", revision, time.Millisecond); !garnetworks.IsKind(err, garnetworks.KindCompacted) {
						t.Errorf("the watch returned %v, want %s", err, garnetworks.KindCompacted)
					}
				}
				_, listed, err := api.List(ctx, "config/main")
				if err != nil || listed <= revision {
					t.Errorf("the list reflects revision %s after %s, %v", listed, revision, err)
				}
			})
		})
	}
}

// laggingAPI returns lists of an earlier era.
type laggingAPI struct {
	garnetworks.ObjectAPI
	revision garnetworks.Revision
}

func (l *laggingAPI) List(context.Context, string) ([]garnetworks.Object, garnetworks.Revision, error) {
	return nil, l.revision, nil
}

// Guards against a lagging replica that is taken for a store that has come back.
func TestLaggingReplicaBeginsNoEra(t *testing.T) {
	recorded := &eras{}
	lagging := &laggingAPI{}
	api := fencer.New(lagging, recorded)
	for _, x := range []struct {
		revision garnetworks.Revision
		want     int
	}{
		{garnetworks.NewRevision(1, 9), 0},
		{garnetworks.NewRevision(1, 2), 0},
		{garnetworks.NewRevision(2, 3), 1},
		{garnetworks.NewRevision(1, 9), 1},
		{garnetworks.NewRevision(2, 1), 1},
		{garnetworks.NewRevision(4, 1), 2},
	} {
		lagging.revision = x.revision
		_, _, _ = api.List(t.Context(), "config/main")
		if recorded.count() != x.want {
			t.Errorf("%d new eras after a list of revision %s, want %d", recorded.count(), x.revision, x.want)
		}
	}
}
