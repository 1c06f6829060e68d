package claimer

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/faker"
	"github.com/garnetworks/garnetworks/fencer"
)

// eraSite is a set of claimers over one object API that can be restored from a copy.
type eraSite struct {
	t       *testing.T
	objects *faker.Objects
	running sync.WaitGroup
	stops   []context.CancelFunc
}

// start starts a node; it runs until its context ends.
func (s *eraSite) start(id garnetworks.NodeID) (*Claimer, context.CancelFunc) {
	api := fencer.New(s.objects, noEvents{})
	c := New(Options{Node: garnetworks.NodeInfo{ID: id}, API: api})
	api.OnNewEra(c.HandleNewEra)
	ctx, stop := context.WithCancel(s.t.Context())
	s.stops = append(s.stops, stop)
	s.running.Go(func() { _ = c.Run(ctx) })
	return c, stop
}

func (s *eraSite) end() {
	for _, stop := range s.stops {
		stop()
	}
	s.running.Wait()
}

type noEvents struct{}

func (noEvents) Record(garnetworks.Event) {}

// restore takes the object API away for a moment and brings it back from the copy.
func (s *eraSite) restore(old *faker.ObjectsCopy) {
	s.objects.SetFaults(faker.FaultPlan{Down: true})
	time.Sleep(800 * time.Millisecond)
	s.objects.Restore(old)
	s.objects.SetFaults(faker.FaultPlan{})
}

// Guards against granting a key to a second call because a restored store lacks the first claim.
func TestClaimLostWithACopyIsNotGrantedTwice(t *testing.T) {
	for name, c := range map[string]struct {
		restores int
		// completed says that the first call ends before the restore. fresh says that the second
		// one comes to a node that starts after the restore.
		completed, fresh bool
		// idle is how long nothing is claimed before the restore.
		idle time.Duration
		// stored says that the shard existed in the copy.
		stored bool
	}{
		"the call runs": {restores: 1, stored: true},
		"the call runs, the copy holds no claims": {restores: 1},
		"the call has completed":                  {restores: 1, completed: true, stored: true},
		"the second call comes to a new node":     {restores: 1, fresh: true, stored: true},
		"a new node, after a pause":               {restores: 1, fresh: true, stored: true, idle: 5 * time.Second},
		"a new node, the call has completed":      {restores: 1, fresh: true, completed: true, idle: 5 * time.Second},
		"two restores":                            {restores: 2, stored: true},
		"two restores, a new node, after a pause": {restores: 2, fresh: true, idle: 5 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &eraSite{t: t, objects: faker.NewObjects(faker.ObjectsOptions{})}
				defer s.end()
				ctx := t.Context()
				first, _ := s.start("n1")
				second, _ := s.start("n2")
				if c.stored {
					if _, err := first.Claim(ctx, requestSameShard(1, 7)); err != nil {
						t.Fatal(err)
					}
				}
				old := s.objects.Copy()
				granted, err := first.Claim(ctx, request(0, 1))
				if err != nil {
					t.Fatal(err)
				}
				if c.completed {
					if err := first.Complete(ctx, granted.Claim, &garnetworks.ServiceResponse{Status: 200, Body: []byte("x")}); err != nil {
						t.Fatal(err)
					}
				}
				time.Sleep(c.idle)
				for range c.restores {
					s.restore(old)
				}
				if c.fresh {
					second, _ = s.start("n3")
				}
				answers := 0
				for range 40 {
					result, err := second.Claim(ctx, request(0, 2))
					switch {
					case err == nil && !result.Recorded.Present:
						t.Fatal("the key was granted to a second call")
					case err == nil:
						answers++
					case garnetworks.IsKind(err, garnetworks.KindInProgress, garnetworks.KindOutcomeUnknown):
						answers++
					case !garnetworks.IsKind(err, garnetworks.KindClaimsUnavailable):
						t.Fatal(err)
					}
					time.Sleep(200 * time.Millisecond)
				}
				if answers == 0 {
					t.Error("the key's first call is not known after 8 s")
				}
				if c.completed {
					return
				}
				if err := first.Complete(ctx, granted.Claim, &garnetworks.ServiceResponse{Status: 200, Body: []byte("x")}); err != nil {
					t.Errorf("the first call's answer is not recorded: %v", err)
				}
				if result, err := second.Claim(ctx, request(0, 3)); err != nil || !result.Recorded.Present {
					t.Errorf("a third call gets %v, want the recorded answer", err)
				}
			})
		})
	}
}

// Guards against refusing the first claim of each shard at a node that started long ago.
func TestClaimsAreNotHeldLongAfterTheStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &eraSite{t: t, objects: faker.NewObjects(faker.ObjectsOptions{})}
		defer s.end()
		s.objects.Restore(s.objects.Copy())
		node, _ := s.start("n1")
		time.Sleep(EraHold + time.Second)
		for key := range 20 {
			if _, err := node.Claim(t.Context(), request(key, key)); err != nil {
				t.Errorf("key %d: %v", key, err)
			}
		}
	})
}

// Guards against claims that wait, or are refused, for longer than the hold after a restore.
func TestClaimsAreGrantedAfterTheHold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &eraSite{t: t, objects: faker.NewObjects(faker.ObjectsOptions{})}
		defer s.end()
		ctx := t.Context()
		node, _ := s.start("n1")
		if _, err := node.Claim(ctx, request(0, 1)); err != nil {
			t.Fatal(err)
		}
		old := s.objects.Copy()
		s.restore(old)
		time.Sleep(time.Second)
		sent := time.Now()
		_, err := node.Claim(ctx, requestSameShard(1, 2))
		if !garnetworks.IsKind(err, garnetworks.KindClaimsUnavailable) || time.Since(sent) > 100*time.Millisecond {
			t.Errorf("a claim in the hold got %v after %s, want a refusal at once", err, time.Since(sent))
		}
		time.Sleep(EraHold)
		if _, err := node.Claim(ctx, requestSameShard(1, 3)); err != nil {
			t.Errorf("after the hold: %v", err)
		}
	})
}
