package watcher

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/garnetworks/garnetworks"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true", "rapid.checks": "600"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

// store is an in-memory object API with a history of changes.
type store struct {
	mu      sync.Mutex
	history []garnetworks.Object
	// compacted is the revision up to which the history was compacted.
	compacted garnetworks.Revision
	// stalled makes watches hang; skip makes a watch omit a change; lag is the number of
	// revisions by which lists are behind.
	stalled, skip bool
	lag           garnetworks.Revision
	down          bool
	// calls holds the time of each call, including refused ones.
	calls []time.Time
}

func (s *store) write(key, value string, deleted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := garnetworks.Revision(len(s.history) + 1)
	s.history = append(s.history, garnetworks.Object{Key: key, Value: []byte(value), Revision: r, Deleted: deleted})
}

// at returns the objects that exist at a revision.
func (s *store) at(revision garnetworks.Revision) map[string]garnetworks.Object {
	live := make(map[string]garnetworks.Object)
	for _, o := range s.history[:revision] {
		live[o.Key] = o
		if o.Deleted {
			delete(live, o.Key)
		}
	}
	return live
}

func (s *store) begin() error {
	s.calls = append(s.calls, time.Now())
	if s.down {
		return garnetworks.Errorf(garnetworks.KindObjectAPIDown, "down")
	}
	return nil
}

func (s *store) List(_ context.Context, prefix string) ([]garnetworks.Object, garnetworks.Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.begin(); err != nil {
		return nil, 0, err
	}
	revision := garnetworks.Revision(len(s.history))
	revision -= min(revision, s.lag)
	var objects []garnetworks.Object
	for key, o := range s.at(revision) {
		if strings.HasPrefix(key, prefix) {
			objects = append(objects, o)
		}
	}
	return objects, revision, nil
}

func (s *store) Watch(ctx context.Context, prefix string, after garnetworks.Revision, wait time.Duration) ([]garnetworks.Object, garnetworks.Revision, error) {
	s.mu.Lock()
	err, stalled, compacted := s.begin(), s.stalled, after < s.compacted
	s.mu.Unlock()
	switch {
	case err != nil:
		return nil, 0, err
	case compacted:
		return nil, 0, garnetworks.Errorf(garnetworks.KindCompacted, "compacted")
	case stalled:
		<-ctx.Done()
		return nil, 0, garnetworks.WrapError(garnetworks.KindResponseLost, ctx.Err(), "stalled")
	}
	const poll = 100 * time.Millisecond
	for end := time.Now().Add(wait); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(poll) {
		if objects, revision := s.since(prefix, after); len(objects) > 0 {
			return objects, revision, nil
		}
	}
	return nil, after, nil
}

func (s *store) since(prefix string, after garnetworks.Revision) ([]garnetworks.Object, garnetworks.Revision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	revision := garnetworks.Revision(len(s.history))
	if after >= revision {
		return nil, after
	}
	objects := slices.DeleteFunc(slices.Clone(s.history[after:]), func(o garnetworks.Object) bool {
		return !strings.HasPrefix(o.Key, prefix)
	})
	if s.skip && len(objects) > 0 {
		objects = objects[1:]
	}
	return objects, revision
}

func (s *store) Get(context.Context, string) (garnetworks.Object, error) { panic("not used") }

func (s *store) Put(context.Context, string, []byte, garnetworks.Revision) (garnetworks.Revision, error) {
	panic("not used")
}

func (s *store) Delete(context.Context, string, garnetworks.Revision) error { panic("not used") }

// mirror is the state that a watcher has delivered; it detects regressions to older revisions.
type mirror struct {
	mu         sync.Mutex
	objects    map[string]garnetworks.Object
	highest    map[string]garnetworks.Revision
	regression string
}

func newMirror() *mirror {
	return &mirror{objects: make(map[string]garnetworks.Object), highest: make(map[string]garnetworks.Revision)}
}

func (m *mirror) apply(o garnetworks.Object) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if o.Revision <= m.highest[o.Key] {
		m.regression = fmt.Sprintf("%s went from revision %d to %d", o.Key, m.highest[o.Key], o.Revision)
	}
	m.highest[o.Key] = o.Revision
	m.objects[o.Key] = o
	if o.Deleted {
		delete(m.objects, o.Key)
	}
}

// differs returns how the mirror differs from the store, or a regression; empty if neither.
func (m *mirror) differs(s *store) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	live := s.at(garnetworks.Revision(len(s.history)))
	for key, o := range live {
		if strings.HasPrefix(key, "p/") && m.objects[key].Revision != o.Revision {
			return fmt.Sprintf("%s is at revision %d, delivered at %d", key, o.Revision, m.objects[key].Revision)
		}
	}
	for key := range m.objects {
		if _, ok := live[key]; !ok {
			return key + " is deleted but was not delivered as deleted"
		}
	}
	return m.regression
}

// Despite stalled watches, missed changes, compacted histories, lagging lists and outages,
// each change is delivered within the bounds, and no older state follows a newer one.
func TestWatcherFollowsThroughFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		type step struct {
			wait        time.Duration
			key, fault  int
			deleted, on bool
		}
		var steps []step
		for range rapid.IntRange(1, 25).Draw(rt, "steps") {
			steps = append(steps, step{
				wait: time.Duration(rapid.IntRange(0, 60_000).Draw(rt, "wait")) * time.Millisecond,
				key:  rapid.IntRange(0, 3).Draw(rt, "key"), fault: rapid.IntRange(0, 5).Draw(rt, "fault"),
				deleted: rapid.Bool().Draw(rt, "deleted"), on: rapid.Bool().Draw(rt, "on"),
			})
		}
		var problem string
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			s, m := &store{}, newMirror()
			w := New(s, "p/", Options{Random: rand.New(rand.NewPCG(1, 1)).Float64})
			go func() { _ = w.Run(ctx, m.apply) }()
			for _, st := range steps {
				time.Sleep(st.wait)
				s.write([]string{"p/a", "p/b", "p/c", "q/d"}[st.key], "x", st.deleted)
				s.mu.Lock()
				switch st.fault {
				case 0:
					s.stalled = st.on
				case 1:
					s.down = st.on
				case 2:
					s.skip = st.on
				case 3:
					s.compacted = garnetworks.Revision(len(s.history) - 1)
				case 4:
					s.lag = 0
					if st.on {
						s.lag = 3
					}
				}
				s.mu.Unlock()
			}
			s.mu.Lock()
			s.stalled, s.down, s.skip, s.lag = false, false, false, 0
			s.mu.Unlock()
			time.Sleep(DefaultRelist + DefaultWait + DefaultMargin + 2*DefaultRetryMax)
			problem = m.differs(s)
			if !w.Healthy() {
				problem += " not healthy"
			}
			cancel()
			time.Sleep(time.Minute)
		})
		if problem != "" {
			rt.Fatalf("%s: %+v", problem, steps)
		}
	})
}

// A connection dropped by a middlebox leaves a watch hanging. A change must still be
// delivered within Wait and Margin.
func TestStalledWatchIsDetected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s, m := &store{stalled: true}, newMirror()
		w := New(s, "p/", Options{})
		go func() { _ = w.Run(ctx, m.apply) }()
		time.Sleep(time.Second)
		s.write("p/a", "x", false)
		time.Sleep(DefaultWait + DefaultMargin)
		if problem := m.differs(s); problem != "" {
			t.Error(problem)
		}
		s.mu.Lock()
		s.down = true
		s.mu.Unlock()
		time.Sleep(DefaultWait + DefaultMargin + time.Second)
		if w.Healthy() {
			t.Error("healthy during an outage")
		}
		cancel()
		time.Sleep(time.Minute)
	})
}

// After an outage, the lists of all nodes must be spread over time, or they overload the
// object API again.
func TestCallsSpreadAfterOutage(t *testing.T) {
	const nodes, watches = 330, 3
	outage := 10 * time.Minute
	if testing.Short() {
		outage = time.Minute
	}
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s := &store{down: true}
		var mu sync.Mutex
		random := rand.New(rand.NewPCG(1, 1))
		draw := func() float64 {
			mu.Lock()
			defer mu.Unlock()
			return random.Float64()
		}
		for range nodes * watches {
			w := New(s, "p/", Options{Random: draw})
			go func() { _ = w.Run(ctx, func(garnetworks.Object) {}) }()
		}
		time.Sleep(outage)
		s.mu.Lock()
		s.down, s.calls = false, nil
		s.mu.Unlock()
		back := time.Now()
		time.Sleep(DefaultRetryMax)
		var perSecond [8]int
		perTenth := make([]int, 80)
		s.mu.Lock()
		calls := slices.Clone(s.calls)
		s.mu.Unlock()
		for _, at := range calls {
			perSecond[min(int(at.Sub(back)/time.Second), 7)]++
			perTenth[min(int(at.Sub(back)/(100*time.Millisecond)), 79)]++
		}
		t.Logf("calls in each second after the outage: %v; most in 100 ms: %d", perSecond, slices.Max(perTenth))
		if most := slices.Max(perSecond[:]); most > 2000/4 {
			t.Errorf("%d calls in one second", most)
		}
		cancel()
		time.Sleep(time.Minute)
	})
}

// While a list is being delivered, the node must not count as ready, or calls see only some
// of the servers.
func TestListIsConfirmedOnlyAfterDelivery(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &store{}
		s.write("k/a", "1", false)
		s.write("k/b", "1", false)
		w := New(s, "k/", Options{})
		ctx, stop := context.WithCancel(t.Context())
		done := make(chan struct{})
		delivered := 0
		go func() {
			defer close(done)
			_ = w.Run(ctx, func(garnetworks.Object) {
				delivered++
				if !w.Confirmed().IsZero() || w.Healthy() {
					t.Errorf("the list is confirmed while object %d of it is delivered", delivered)
				}
			})
		}()
		time.Sleep(time.Second)
		stop()
		<-done
		if delivered != 2 || w.Confirmed().IsZero() {
			t.Errorf("%d objects were delivered, confirmed at %s", delivered, w.Confirmed())
		}
	})
}

// While a list or a watch's changes are being delivered, they must not count as confirmed:
// a new lease holder could plan with a partly delivered view and assign an engine twice.
func TestResponsesAreConfirmedOnlyAfterDelivery(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &store{}
		s.write("k/a", "1", false)
		// Each response has its own confirmation time.
		began, responses := time.Now(), 0
		at := func(n int) time.Time { return began.Add(time.Duration(n) * time.Minute) }
		w := New(s, "k/", Options{Wait: time.Second, ConfirmedAt: func() time.Time { responses++; return at(responses) }})
		ctx, stop := context.WithCancel(t.Context())
		done := make(chan struct{})
		delivered := 0
		go func() {
			defer close(done)
			_ = w.Run(ctx, func(garnetworks.Object) {
				delivered++
				if w.Confirmed().Equal(at(responses)) {
					t.Errorf("response %d is confirmed while it is delivered", responses)
				}
			})
		}()
		time.Sleep(1500 * time.Millisecond)
		s.write("k/a", "2", false) // arrives through the watch
		time.Sleep(1500 * time.Millisecond)
		w.Relist()
		s.write("k/a", "3", false)
		time.Sleep(time.Second)
		stop()
		<-done
		if delivered != 3 || !w.Confirmed().Equal(at(responses)) {
			t.Errorf("%d objects were delivered, the last of %d responses is not confirmed", delivered, responses)
		}
	})
}
