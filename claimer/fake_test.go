package claimer

import (
	"context"
	"flag"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/garnetworks/garnetworks"
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

// faults are the probabilities of faults per call, and the time window of an outage.
type faults struct {
	// lost responses follow the effect; late writes take effect after their caller has
	// received an error.
	lost, late, throttled float64
	downFrom, downTo      time.Duration
	latency               time.Duration
}

// store is an in-memory object API.
type store struct {
	mu       sync.Mutex
	objects  map[string]garnetworks.Object
	revision garnetworks.Revision
	random   *rand.Rand
	faults   faults
	start    time.Time
	// puts, gets and conflicts count calls.
	puts, gets, conflicts int
}

func newStore(f faults, seed uint64) *store {
	return &store{objects: make(map[string]garnetworks.Object), random: rand.New(rand.NewPCG(seed, 1)), faults: f, start: time.Now()}
}

// injectFaults simulates the latency of a call and chooses its faults.
func (s *store) injectFaults(ctx context.Context) (lost, late bool, err error) {
	s.mu.Lock()
	f := s.faults
	latency := f.latency
	if latency > 0 {
		latency += time.Duration(s.random.Int64N(int64(latency)))
	}
	lost = s.random.Float64() < f.lost
	late = s.random.Float64() < f.late
	throttled := s.random.Float64() < f.throttled
	s.mu.Unlock()
	sleep(ctx, latency)
	if ctx.Err() != nil {
		return false, false, garnetworks.WrapError(garnetworks.KindResponseLost, ctx.Err(), "timeout")
	}
	since := time.Since(s.start)
	if since >= f.downFrom && since < f.downTo {
		return false, false, garnetworks.Errorf(garnetworks.KindObjectAPIDown, "down")
	}
	if throttled {
		return false, false, garnetworks.Errorf(garnetworks.KindThrottled, "throttled")
	}
	return lost, late, nil
}

func (s *store) Get(ctx context.Context, key string) (garnetworks.Object, error) {
	lost, _, err := s.injectFaults(ctx)
	if err != nil {
		return garnetworks.Object{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gets++
	if lost {
		return garnetworks.Object{}, garnetworks.Errorf(garnetworks.KindResponseLost, "lost")
	}
	o, ok := s.objects[key]
	if !ok {
		return o, garnetworks.Errorf(garnetworks.KindNotFound, "%s", key)
	}
	return o, nil
}

func (s *store) Put(ctx context.Context, key string, value []byte, after garnetworks.Revision) (garnetworks.Revision, error) {
	lost, late, err := s.injectFaults(ctx)
	if err != nil {
		return 0, err
	}
	if late {
		go func() {
			time.Sleep(3 * time.Second)
			_, _ = s.put(key, value, after)
		}()
		return 0, garnetworks.Errorf(garnetworks.KindResponseLost, "no response; takes effect late")
	}
	revision, err := s.put(key, value, after)
	if lost {
		return 0, garnetworks.Errorf(garnetworks.KindResponseLost, "lost")
	}
	return revision, err
}

func (s *store) put(key string, value []byte, after garnetworks.Revision) (garnetworks.Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.puts++
	if s.objects[key].Revision != after {
		s.conflicts++
		return 0, garnetworks.Errorf(garnetworks.KindConflict, "%s", key)
	}
	if len(value) > garnetworks.MaxObjectBytes {
		return 0, garnetworks.Errorf(garnetworks.KindTooLarge, "%s", key)
	}
	s.revision++
	s.objects[key] = garnetworks.Object{Key: key, Value: slices.Clone(value), Revision: s.revision}
	return s.revision, nil
}

func (s *store) Delete(_ context.Context, key string, after garnetworks.Revision) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.objects[key].Revision != after {
		return garnetworks.Errorf(garnetworks.KindNotFound, "%s", key)
	}
	delete(s.objects, key)
	return nil
}

func (s *store) List(context.Context, string) ([]garnetworks.Object, garnetworks.Revision, error) {
	panic("not used")
}

func (s *store) Watch(context.Context, string, garnetworks.Revision, time.Duration) ([]garnetworks.Object, garnetworks.Revision, error) {
	panic("not used")
}

// count returns the number of objects under a prefix.
func (s *store) count(prefix string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for key := range s.objects {
		if strings.HasPrefix(key, Prefix+prefix) {
			n++
		}
	}
	return n
}

// cluster is a set of nodes that share one store.
type cluster struct {
	store *store
	nodes []*Claimer
	stop  []context.CancelFunc
	// loss is the probability that a forwarded group is delayed, and that its response is
	// lost.
	loss float64
}

// newCluster starts nodes; if forwarding is true, they commit for each other.
func newCluster(ctx context.Context, size int, forwarding bool, loss float64, s *store) *cluster {
	c := &cluster{store: s, loss: loss}
	roster := make([]garnetworks.NodeInfo, size)
	for i := range roster {
		roster[i] = garnetworks.NodeInfo{ID: garnetworks.NodeID('a' + rune(i)), Region: "r", Zone: "z", Ready: true}
	}
	for i := range size {
		o := Options{Node: roster[i], API: s, Random: lockedRandom(uint64(i))}
		if forwarding {
			o.Forwarder = garnetworks.Some[Forwarder](&fakeForwarder{cluster: c, roster: roster})
		}
		n := New(o)
		n.SetRoster(roster)
		run, stop := context.WithCancel(ctx)
		go func() { _ = n.Run(run) }()
		c.nodes = append(c.nodes, n)
		c.stop = append(c.stop, stop)
	}
	return c
}

func lockedRandom(seed uint64) func() float64 {
	var mu sync.Mutex
	r := rand.New(rand.NewPCG(seed, 2))
	return func() float64 {
		mu.Lock()
		defer mu.Unlock()
		return r.Float64()
	}
}

// fakeForwarder forwards groups between the nodes of a cluster.
type fakeForwarder struct {
	cluster *cluster
	roster  []garnetworks.NodeInfo
}

func (l *fakeForwarder) Commit(ctx context.Context, node garnetworks.NodeInfo, shard int, ops []Op) ([]Result, error) {
	i := slices.IndexFunc(l.roster, func(n garnetworks.NodeInfo) bool { return n.ID == node.ID })
	s := l.cluster.store
	s.mu.Lock()
	lost := s.random.Float64() < l.cluster.loss
	delayed := s.random.Float64() < l.cluster.loss
	s.mu.Unlock()
	if delayed { // the group arrives after the sender has timed out
		go func() {
			time.Sleep(2 * time.Second)
			c, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
			defer cancel()
			_, _ = l.cluster.nodes[i].CommitForwarded(c, shard, ops)
		}()
		return nil, garnetworks.Errorf(garnetworks.KindResponseLost, "delayed")
	}
	results, err := l.cluster.nodes[i].CommitForwarded(ctx, shard, ops)
	if lost {
		return nil, garnetworks.Errorf(garnetworks.KindResponseLost, "lost")
	}
	return results, err
}
