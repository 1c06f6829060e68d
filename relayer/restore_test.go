package relayer_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/faker"
	"github.com/garnetworks/garnetworks/relayer"
)

// Guards against a starting node that gets a copy's configuration from a relay that knows a newer one.
func TestStartingNodeGetsTheNewestKnownConfiguration(t *testing.T) {
	for name, restores := range map[string]int{"one restore": 1, "two restores": 2} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const key = prefix + "main"
				s := newTestSite(t)
				defer s.end()
				objects := faker.NewObjects(faker.ObjectsOptions{})
				write := func(value string) {
					t.Helper()
					object, err := objects.Get(t.Context(), key)
					after := object.Revision
					if garnetworks.IsKind(err, garnetworks.KindNotFound) {
						after = 0
					}
					if _, err := objects.Put(t.Context(), key, []byte(value), after); err != nil {
						t.Fatal(err)
					}
				}
				start := func(name string, relays ...string) map[string]string {
					contents := make(map[string]string)
					r := relayer.New(relayer.Options{
						Objects: objects, Peers: s.n, LastResume: neverSuspended, Relays: func(string) []string { return relays },
						Prefixes: []relayer.Prefix{{Key: prefix, Supersedes: func(known, other garnetworks.Object) bool {
							return string(known.Value) > string(other.Value)
						}}},
					})
					s.n.add(name, r)
					s.running.Go(func() { follow(s.ctx, r, contents, &s.mu) })
					return contents
				}
				write("1")
				old := objects.Copy()
				reader := start("reader")
				write("2")
				time.Sleep(2 * time.Second)
				for range restores {
					objects.Restore(old)
					time.Sleep(time.Second)
				}
				late := start("late", "reader")
				time.Sleep(time.Second)
				if v := s.value(late, key); v != "2" {
					t.Errorf("the node that starts has version %q, want 2", v)
				}
				write("3")
				time.Sleep(2 * time.Second)
				if a, b := s.value(reader, key), s.value(late, key); a != "3" || b != "3" {
					t.Errorf("the nodes have versions %q and %q, want 3", a, b)
				}
			})
		})
	}
}

// Guards against a starting reader that accepts a copy's configuration though its followers know a newer one.
func TestStartingReaderTakesNothingBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const key = prefix + "main"
		s := newTestSite(t)
		defer s.end()
		objects := faker.NewObjects(faker.ObjectsOptions{})
		var revision garnetworks.Revision
		write := func(value string) {
			t.Helper()
			var err error
			if revision, err = objects.Put(t.Context(), key, []byte(value), revision); err != nil {
				t.Fatal(err)
			}
		}
		start := func(ctx context.Context, name string, relays, others []string) map[string]string {
			contents := make(map[string]string)
			r := relayer.New(relayer.Options{
				Objects: objects, Peers: s.n, LastResume: neverSuspended, Relays: func(string) []string { return relays },
				Fallbacks: func() (near, far []string) { return others, nil },
				Prefixes: []relayer.Prefix{{Key: prefix, Supersedes: func(known, other garnetworks.Object) bool {
					return string(known.Value) > string(other.Value)
				}}},
			})
			s.n.add(name, r)
			s.running.Go(func() { follow(ctx, r, contents, &s.mu) })
			return contents
		}
		write("1")
		old := objects.Copy()
		first, kill := context.WithCancel(s.ctx)
		start(first, "reader", nil, []string{"follower"})
		start(s.ctx, "follower", []string{"reader"}, nil)
		write("2")
		time.Sleep(2 * time.Second)
		kill()
		objects.Restore(old)
		again := start(s.ctx, "reader", nil, []string{"follower"})
		for range 20 {
			time.Sleep(100 * time.Millisecond)
			if v := s.value(again, key); v == "1" {
				t.Fatal("the reader that starts again has version 1, which its follower knows to be replaced")
			}
		}
		if v := s.value(again, key); v != "2" {
			t.Errorf("the reader that starts again has version %q, want 2", v)
		}
	})
}

// Guards against nodes that start later for asking others about an object API that never came back from a copy.
func TestStartingReaderAsksOnlyAfterARestore(t *testing.T) {
	for name, restored := range map[string]bool{"first era": false, "restored": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const key, soon = prefix + "main", 50 * time.Millisecond
				s := newTestSite(t)
				defer s.end()
				objects := faker.NewObjects(faker.ObjectsOptions{})
				if _, err := objects.Put(t.Context(), key, []byte("1"), garnetworks.Revision(0)); err != nil {
					t.Fatal(err)
				}
				if restored {
					objects.Restore(objects.Copy())
				}
				contents := make(map[string]string)
				r := relayer.New(relayer.Options{
					Objects: objects, Peers: s.n, LastResume: neverSuspended, Relays: func(string) []string { return nil },
					Fallbacks: func() (near, far []string) { return []string{"gone"}, nil },
					Prefixes:  []relayer.Prefix{{Key: prefix, Supersedes: func(known, other garnetworks.Object) bool { return false }}},
				})
				s.running.Go(func() { follow(s.ctx, r, contents, &s.mu) })
				time.Sleep(soon)
				if got := s.value(contents, key) == "1"; got == restored {
					t.Errorf("the reader has the configuration after %v: %t", soon, got)
				}
				time.Sleep(time.Second)
				if s.value(contents, key) != "1" {
					t.Error("the reader has no configuration")
				}
			})
		})
	}
}
