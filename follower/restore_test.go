package follower_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/faker"
	"github.com/garnetworks/garnetworks/faker/impersonator"
	"github.com/garnetworks/garnetworks/follower"
	"github.com/garnetworks/garnetworks/platform"
)

// restoredSite is a store that comes back from copies of itself, and a follower of it.
type restoredSite struct {
	store    *impersonator.Store
	follower *follower.Follower
	events   *events
}

// Times of the restores.
const (
	// changeInterval is the time between two writes of the operator.
	changeInterval = 40 * time.Millisecond
	// awayTime is how long the store is away before it comes back.
	awayTime = 800 * time.Millisecond
	// applyTime is the time within which an acknowledged change must apply.
	applyTime = 2 * time.Second
	// heartbeatInterval is that of the servers.
	heartbeatInterval = time.Second
)

func storedServer(state string) map[string]any {
	return map[string]any{"service": "svc", "address": "10.0.0.1:80", "zone": "z1", "version": "1", "slots": 4, "state": state, "cold-remaining-ms": 0, "sequence": 1}
}

func storedConfig(version int) map[string]any {
	return map[string]any{
		"version":  version,
		"routes":   []any{map[string]any{"name": "r", "host": "a.example", "path-prefix": "/x/", "kind": "safe", "service": "svc", "attempts": 2, "timeout-ms": 5000, "slo-ms": 1000, "priority": 1}},
		"services": []any{map[string]any{"name": "svc", "health-path": "/healthz", "max-connections": 100}},
		"limits":   map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4096, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants":  []any{map[string]any{"name": "w1", "api-keys": []string{fmt.Sprintf("k%d", version)}}},
	}
}

// inRestoredSite runs a test with a follower whose store holds version 1 and the server i-1.
func inRestoredSite(t *testing.T, test func(s *restoredSite)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		network := new(faker.Network)
		store := impersonator.NewStoreOn(network.NewListener())
		defer store.Close()
		store.Set("config", "main", storedConfig(1))
		store.Set("servers", "i-1", storedServer("ready"))
		store.Restore(store.Copy()) // the node starts in a later era than the first
		s := &restoredSite{store: store, events: &events{}}
		s.follower = follower.New(follower.Options{
			Objects: platform.NewStoreOver(network.Dial, store.Address()), Reader: platform.SiteReader{}, Recorder: s.events,
			HeartbeatInterval: heartbeatInterval,
		})
		ctx, stop := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			_ = s.follower.Run(ctx)
		}()
		time.Sleep(time.Second)
		test(s)
		stop()
		<-ended
		http.DefaultClient.CloseIdleConnections()
	})
}

// restore takes the store away and brings it back from the copy.
func (s *restoredSite) restore(c *impersonator.StoreCopy) {
	s.store.UpdateFaults(func(f *impersonator.StoreFaults) { f.Down = true })
	s.store.Restore(c)
	time.Sleep(awayTime)
	s.store.UpdateFaults(func(f *impersonator.StoreFaults) { f.Down = false })
}

// change writes n versions of the configuration, one after the other.
func (s *restoredSite) change(from, n int) {
	for i := range n {
		s.store.Set("config", "main", storedConfig(from+i))
		time.Sleep(changeInterval)
	}
}

// Guards against a node that takes the contents of a restored store for older ones than its own.
func TestChangesApplyAfterAStoreIsRestored(t *testing.T) {
	const changes = 40
	for name, c := range map[string]struct {
		restores int
		// past says that the revisions of the new era have passed those of the old one before
		// the node is back.
		past bool
	}{
		"revisions below the node's":         {restores: 1},
		"revisions beyond the node's":        {restores: 1, past: true},
		"two restores, below the node's":     {restores: 2},
		"three restores, beyond the node's":  {restores: 3, past: true},
		"two restores, beyond after the one": {restores: 2, past: true},
	} {
		t.Run(name, func(t *testing.T) {
			inRestoredSite(t, func(s *restoredSite) {
				old := s.store.Copy()
				s.change(2, changes)
				seen := s.store.Revision()
				for range c.restores {
					s.restore(old)
				}
				s.store.Set("config", "main", storedConfig(changes+10))
				s.store.Set("servers", "i-1", storedServer("draining"))
				if c.past {
					s.store.Advance(seen + changes)
				}
				time.Sleep(applyTime)
				if version := s.follower.Index().Version; version != changes+10 {
					t.Errorf("version %d is in effect %s after %d was acknowledged", version, applyTime, changes+10)
				}
				if x, ok := s.follower.Server("i-1"); !ok || x.State != garnetworks.ListedLeaving {
					t.Errorf("the server is %q (registered: %t) %s after it reported that it leaves", x.State, ok, applyTime)
				}
			})
		})
	}
}

// Guards against a node that forgets what was acknowledged since the copy that a store came back from.
func TestRestoredStoreTakesNothingBack(t *testing.T) {
	const newServer = "i-2"
	leaving := func(f *follower.Follower) bool {
		x, ok := f.Server("i-1")
		return !ok || x.State == garnetworks.ListedLeaving
	}
	for name, c := range map[string]struct {
		// since writes to the store after the copy.
		since func(s *impersonator.Store)
		// holds is checked all the time from the restore on, for span.
		holds func(f *follower.Follower) bool
		span  time.Duration
	}{
		"the configuration that removed a key": {
			since: func(s *impersonator.Store) { s.Set("config", "main", storedConfig(2)) },
			holds: func(f *follower.Follower) bool { return f.Index().Version == 2 },
			span:  time.Minute,
		},
		"a server's report that it leaves": {
			since: func(s *impersonator.Store) { s.Set("servers", "i-1", storedServer("draining")) },
			holds: leaving, span: time.Minute,
		},
		"the removal of a server": {
			since: func(s *impersonator.Store) { s.Remove("servers", "i-1") },
			holds: leaving, span: 3 * heartbeatInterval,
		},
		"the registration of a server": {
			since: func(s *impersonator.Store) { s.Set("servers", newServer, storedServer("ready")) },
			holds: func(f *follower.Follower) bool {
				_, ok := f.Server(newServer)
				return ok
			},
			span: applyTime,
		},
		"an evacuation": {
			since: func(s *impersonator.Store) { s.Set("evacuations", "z1", map[string]any{}) },
			holds: func(f *follower.Follower) bool { return f.Evacuated().Has("z1") },
			span:  applyTime,
		},
	} {
		for _, restores := range []int{1, 2} {
			t.Run(fmt.Sprintf("%s, %d restores", name, restores), func(t *testing.T) {
				inRestoredSite(t, func(s *restoredSite) {
					old := s.store.Copy()
					c.since(s.store)
					time.Sleep(applyTime)
					for range restores {
						s.restore(old)
					}
					const step = 50 * time.Millisecond
					for since := time.Duration(0); since < c.span; since += step {
						if !c.holds(s.follower) {
							t.Fatalf("it was taken back %s after the restore", since)
						}
						time.Sleep(step)
					}
				})
			})
		}
	}
}

// Guards against a server or an evacuation of the old era that stays in effect for good.
func TestNewEraReplacesWhatTheOldOneHeld(t *testing.T) {
	for name, c := range map[string]struct {
		since func(s *impersonator.Store)
		gone  func(f *follower.Follower) bool
	}{
		"a server that does not write again": {
			since: func(s *impersonator.Store) { s.Set("servers", "i-2", storedServer("ready")) },
			gone: func(f *follower.Follower) bool {
				_, ok := f.Server("i-2")
				return !ok
			},
		},
		"an evacuation that is not written again": {
			since: func(s *impersonator.Store) { s.Set("evacuations", "z1", map[string]any{}) },
			gone:  func(f *follower.Follower) bool { return !f.Evacuated().Has("z1") },
		},
		"the removal of a server whose entry stays": {
			since: func(s *impersonator.Store) { s.Remove("servers", "i-1") },
			gone: func(f *follower.Follower) bool {
				x, ok := f.Server("i-1")
				return ok && x.State == garnetworks.ListedLive
			},
		},
	} {
		t.Run(name, func(t *testing.T) {
			inRestoredSite(t, func(s *restoredSite) {
				old := s.store.Copy()
				c.since(s.store)
				time.Sleep(applyTime)
				s.restore(old)
				time.Sleep(10 * heartbeatInterval)
				if !c.gone(s.follower) {
					t.Error("the state of the old era is still in effect")
				}
			})
		})
	}
}

// Guards against calls to a removed server because the first era seen counts as a new one.
func TestServerRemovedAfterStartIsDropped(t *testing.T) {
	inRestoredSite(t, func(s *restoredSite) {
		s.store.Remove("servers", "i-1")
		time.Sleep(500 * time.Millisecond)
		if _, ok := s.follower.Server("i-1"); ok {
			t.Error("the server is still known 0.5 s after its removal")
		}
	})
}

// Guards against withholding a live server, and against an earlier incarnation that replaces it.
func TestEntriesOfTheNewEraAreTaken(t *testing.T) {
	started := func(startMS int, state string) map[string]any {
		x := storedServer(state)
		x["born"] = startMS
		return x
	}
	for name, c := range map[string]struct {
		before, since, after map[string]any
		want                 int64
	}{
		"a removed server registers again":          {before: started(5, "ready"), after: started(5, "ready"), want: 5},
		"a removed server restarts":                 {before: started(5, "ready"), after: started(7, "ready"), want: 7},
		"the copy holds an earlier incarnation":     {before: started(5, "ready"), since: started(7, "ready"), want: 7},
		"the earlier incarnation was a leaving one": {before: started(5, "draining"), since: started(7, "ready"), want: 7},
	} {
		t.Run(name, func(t *testing.T) {
			inRestoredSite(t, func(s *restoredSite) {
				s.store.Set("servers", "i-2", c.before)
				time.Sleep(applyTime)
				old := s.store.Copy()
				s.store.Remove("servers", "i-2")
				time.Sleep(applyTime)
				if c.since != nil {
					s.store.Set("servers", "i-2", c.since)
					time.Sleep(applyTime)
				}
				s.restore(old)
				time.Sleep(heartbeatInterval)
				if c.after != nil {
					s.store.Remove("servers", "i-2")
					s.store.Set("servers", "i-2", c.after)
					time.Sleep(heartbeatInterval)
				}
				if x, ok := s.follower.Server("i-2"); !ok || x.StartMS != c.want || x.State != garnetworks.ListedLive {
					t.Errorf("got %q, started at %d (registered: %t); want a live one started at %d", x.State, x.StartMS, ok, c.want)
				}
			})
		})
	}
}
