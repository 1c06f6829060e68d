package prober

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/garnetworks/garnetworks"
)

// event is a function to run at a time of a sim.
type event struct {
	at time.Duration
	do func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(v any)        { *e = append(*e, v.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// sim simulates the zones of a site in one goroutine: engines, and nodes that probe them and
// exchange confirmations over links that lose and delay messages.
type sim struct {
	start   time.Time
	now     time.Duration
	queue   events
	random  *rand.Rand
	roster  []garnetworks.NodeInfo
	targets []Target
	tables  []*Table
	nodes   []*Exchange
	// assigned are the targets of each node; the roster never changes.
	assigned [][]Target
	down     []bool
	// lag is how far a node's monotonic clock is behind because of suspensions, wokeAt that
	// clock's time at the end of the last suspension.
	lag       []time.Duration
	suspended []bool
	wokeAt    []time.Time
	engines   map[garnetworks.InstanceID]*garnetworks.EngineStatus
	// lastProbed is the time at which the last probe that returned a confirmation was sent,
	// by confirmationKey.
	lastProbed map[string]time.Time
	// loss and delayed are message probabilities; deadEngines do not answer.
	loss, delayed float64
	deadEngines   garnetworks.Set[garnetworks.InstanceID]
	cutLinks      map[[2]int]bool
	messages      int
	bytes         int
}

func newSim(zones, nodes, engines int, seed uint64) *sim {
	s := &sim{
		start: time.Unix(1e9, 0), random: rand.New(rand.NewPCG(seed, 0)),
		engines: make(map[garnetworks.InstanceID]*garnetworks.EngineStatus), lastProbed: make(map[string]time.Time),
		deadEngines: garnetworks.NewSet[garnetworks.InstanceID](), cutLinks: make(map[[2]int]bool),
	}
	zone := func(i int) garnetworks.ZoneID { return garnetworks.ZoneID(fmt.Sprint("zone-", i%zones)) }
	for i := range engines {
		id := garnetworks.InstanceID(fmt.Sprintf("engine-%04d", i))
		s.targets = append(s.targets, Target{Instance: id, Address: "10.0.0.1:9000", Zone: zone(i)})
		s.engines[id] = &garnetworks.EngineStatus{
			Instance: id, Incarnation: 1764697675000, Phase: garnetworks.EngineReady, Group: garnetworks.GroupID(fmt.Sprintf("group-%04d", i/4)),
			Token: 1 << 32, Model: "model-large", Version: "v1", Weights: []garnetworks.WeightID{{Model: "model-large", Version: "v1"}},
			Load: garnetworks.EngineLoad{Capacity: 64},
		}
		if i%4 == 0 {
			s.engines[id].Load = garnetworks.EngineLoad{Running: 40, Waiting: 3, Capacity: 64, CacheUsed: 0.7}
		}
	}
	for i := range nodes {
		s.roster = append(s.roster, garnetworks.NodeInfo{ID: garnetworks.NodeID(fmt.Sprintf("node-%03d", i)), Zone: zone(i), Ready: true})
	}
	s.down = make([]bool, nodes)
	s.lag = make([]time.Duration, nodes)
	s.suspended = make([]bool, nodes)
	s.wokeAt = make([]time.Time, nodes)
	s.tables = make([]*Table, nodes)
	s.nodes = make([]*Exchange, nodes)
	for i := range nodes {
		s.assigned = append(s.assigned, Assigned(s.roster[i].ID, s.roster, s.targets))
		s.restart(i)
		phase := time.Duration(s.random.Int64N(int64(time.Second)))
		s.after(phase, func() { s.round(i) })
	}
	return s
}

func (s *sim) clock() time.Time { return s.start.Add(s.now) }

// nodeClock returns the time of a node's own clock.
func (s *sim) nodeClock(i int) time.Time { return s.clock().Add(-s.lag[i]) }

// suspend stops a node and its clock for a time. Messages that arrive meanwhile wait.
func (s *sim) suspend(i int, d time.Duration) {
	if s.suspended[i] || s.down[i] {
		return
	}
	s.suspended[i] = true
	s.after(d, func() {
		s.suspended[i] = false
		s.lag[i] += d
		s.wokeAt[i] = s.nodeClock(i)
		// The sim's times have no wall clock that could jump, so the suspension is reported here.
		x := s.nodes[i]
		x.mu.Lock()
		defer x.mu.Unlock()
		x.handleSuspension(s.nodeClock(i))
	})
}

// whenAwake runs a function at a node as soon as the node is not suspended.
func (s *sim) whenAwake(i int, do func()) {
	if s.suspended[i] {
		s.after(10*time.Millisecond, func() { s.whenAwake(i, do) })
		return
	}
	do()
}

func (s *sim) after(d time.Duration, do func()) { heap.Push(&s.queue, event{s.now + d, do}) }

// run advances the sim to a time.
func (s *sim) run(until time.Duration) {
	for len(s.queue) > 0 && s.queue[0].at <= until {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.do()
	}
	s.now = until
}

// restart starts a new process of a node.
func (s *sim) restart(i int) {
	s.tables[i] = NewTable()
	s.nodes[i] = NewExchange(s.roster[i].ID, s.nodeClock(i), s.tables[i])
	s.nodes[i].SetTopology(s.roster, s.targets)
}

// round runs a node's probe round, schedules the sending of results and the next round.
func (s *sim) round(i int) {
	jitter := time.Duration(s.random.Int64N(int64(100 * time.Millisecond)))
	s.after(time.Second-jitter, func() { s.round(i) })
	if s.down[i] || s.suspended[i] {
		return
	}
	for _, t := range s.assigned[i] {
		s.probe(i, t.Instance)
	}
	s.after(sendDelay, func() { s.sendRequests(i) })
}

// probe probes an engine, which answers with its status at half of the round trip.
func (s *sim) probe(i int, id garnetworks.InstanceID) {
	sent, started := s.clock(), s.nodeClock(i)
	latency := time.Duration(1+s.random.IntN(20)) * time.Millisecond
	s.after(latency, func() {
		if s.deadEngines.Has(id) || s.down[i] {
			return
		}
		status := *s.engines[id]
		if key := confirmationKey(&status); sent.After(s.lastProbed[key]) {
			s.lastProbed[key] = sent
		}
		table := s.tables[i]
		s.after(latency, func() {
			s.whenAwake(i, func() {
				if started.Before(s.wokeAt[i]) {
					return // the clock jumped during the probe
				}
				table.Merge(s.nodeClock(i), []garnetworks.ProbeResult{{Status: status, Age: s.nodeClock(i).Sub(started)}})
			})
		})
	})
}

func confirmationKey(s *garnetworks.EngineStatus) string {
	return fmt.Sprint(s.Instance, s.Incarnation, s.Phase, s.Group, s.Token, s.Version, s.Leaving)
}

// sendRequests sends a node's requests.
func (s *sim) sendRequests(i int) {
	if s.down[i] || s.suspended[i] {
		return
	}
	x := s.nodes[i]
	for _, o := range x.Outgoing(s.nodeClock(i)) {
		to := slices.IndexFunc(s.roster, func(n garnetworks.NodeInfo) bool { return n.ID == o.To.ID })
		s.send(i, to, o.Request, func(copied *garnetworks.ConfirmRequest) {
			if s.down[to] {
				return
			}
			response, _ := s.nodes[to].HandleRequest(s.nodeClock(to), copied)
			s.send(to, i, response, func(copied *garnetworks.ConfirmResponse) {
				if s.nodes[i] == x {
					x.HandleResponse(s.nodeClock(i), &o, copied)
				}
			})
		})
	}
}

// send sends a message over a link in encoded form.
func (s *sim) send(from, to int, message any, arrive any) {
	encoded, err := cbor.Marshal(message)
	if err != nil {
		panic(err)
	}
	s.messages++
	s.bytes += len(encoded)
	if s.cutLinks[[2]int{from, to}] || s.random.Float64() < s.loss {
		return
	}
	latency := time.Duration(500+s.random.IntN(1000)) * time.Microsecond
	if s.random.Float64() < s.delayed {
		latency += time.Duration(s.random.Int64N(int64(8 * time.Second)))
	}
	s.after(latency, func() {
		switch arrive := arrive.(type) {
		case func(*garnetworks.ConfirmRequest):
			copied := &garnetworks.ConfirmRequest{}
			mustDecode(encoded, copied)
			s.whenAwake(to, func() { arrive(copied) })
		case func(*garnetworks.ConfirmResponse):
			copied := &garnetworks.ConfirmResponse{}
			mustDecode(encoded, copied)
			s.whenAwake(to, func() { arrive(copied) })
		}
	})
}

func mustDecode(encoded []byte, v any) {
	if err := cbor.Unmarshal(encoded, v); err != nil {
		panic(err)
	}
}

// ages returns the ages of all confirmations of live engines at all running nodes of their
// zones; a missing one counts as an hour.
func (s *sim) ages() []time.Duration {
	var ages []time.Duration
	for i, t := range s.tables {
		if s.down[i] {
			continue
		}
		for _, target := range s.targets {
			if target.Zone != s.roster[i].Zone || s.deadEngines.Has(target.Instance) {
				continue
			}
			age := time.Hour
			if _, at, ok := t.Status(target.Instance); ok {
				age = s.nodeClock(i).Sub(at)
			}
			ages = append(ages, age)
		}
	}
	return ages
}
