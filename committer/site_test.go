package committer_test

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/committer"
	"github.com/garnetworks/garnetworks/faker"
)

// site is a set of nodes in one process. A published update is delivered to every reachable
// node, unless it is dropped; gossip delivers the dropped ones.
type site struct {
	ctx     context.Context
	objects *faker.Objects

	mu    sync.Mutex
	nodes map[garnetworks.NodeID]*node
	// partitioned holds the zones that are cut off from other zones and the object API,
	// rosters the rosters as the zones' own nodes know them, and visible the rosters as
	// other zones know them.
	partitioned garnetworks.Set[garnetworks.ZoneID]
	rosters     map[garnetworks.ZoneID]garnetworks.Roster
	visible     map[garnetworks.ZoneID]garnetworks.Roster
	// starts counts the processes of each node.
	starts map[garnetworks.NodeID]uint64
	// dropping is the number of deliveries to drop.
	dropping int
	round    int
	sent     traffic
}

// traffic counts reports sent, updates published and their bytes.
type traffic struct{ reports, updates, bytes int }

func (s *site) traffic() traffic {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sent
}

// node is one process and its access to the object API.
type node struct {
	*committer.Committer
	info   garnetworks.NodeInfo
	view   *faker.ObjectsView
	api    *faultyAPI
	cancel context.CancelFunc
	done   chan struct{}

	mu   sync.Mutex
	held map[garnetworks.Topic]garnetworks.Update
}

// faultyAPI is an object API with stale reads and lost responses for the head.
type faultyAPI struct {
	garnetworks.ObjectAPI
	objects *faker.Objects

	mu sync.Mutex
	// staleReads is the number of reads to answer with the value from staleBy changes ago.
	staleReads, staleBy int
	// outage begins with the next write of the head, which takes effect: its response and
	// all calls until outageEnd are lost. 0 means no outage.
	outage    time.Duration
	outageEnd time.Time
	// lostResponses is the number of writes of the head whose responses to lose, and
	// staleAfter the number of stale reads after each of them.
	lostResponses, staleAfter int
}

// outageError returns the error of a call during an outage.
func (s *faultyAPI) outageError() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Now().Before(s.outageEnd) {
		return garnetworks.Errorf(garnetworks.KindObjectAPIDown, "outage")
	}
	return nil
}

func (s *faultyAPI) Put(ctx context.Context, key string, value []byte, after garnetworks.Revision) (garnetworks.Revision, error) {
	if err := s.outageError(); err != nil {
		return 0, err
	}
	revision, err := s.ObjectAPI.Put(ctx, key, value, after)
	s.mu.Lock()
	defer s.mu.Unlock()
	if key == committer.HeadKey && s.outage > 0 {
		s.outageEnd, s.outage = time.Now().Add(s.outage), 0
		return 0, garnetworks.Errorf(garnetworks.KindResponseLost, "outage")
	}
	if key == committer.HeadKey && s.lostResponses > 0 {
		s.lostResponses--
		s.staleReads = s.staleAfter
		return 0, garnetworks.Errorf(garnetworks.KindResponseLost, "lost")
	}
	return revision, err
}

func (s *faultyAPI) Get(ctx context.Context, key string) (garnetworks.Object, error) {
	if err := s.outageError(); err != nil {
		return garnetworks.Object{}, err
	}
	s.mu.Lock()
	behind := key == committer.HeadKey && s.staleReads > 0
	back := s.staleBy
	if behind {
		s.staleReads--
	}
	s.mu.Unlock()
	if !behind {
		return s.ObjectAPI.Get(ctx, key)
	}
	changes, _, err := s.objects.Watch(ctx, key, 0, 0)
	if err != nil {
		return garnetworks.Object{}, err
	}
	if back >= len(changes) {
		return garnetworks.Object{}, garnetworks.Errorf(garnetworks.KindNotFound, "no object %q yet", key)
	}
	return changes[len(changes)-1-back], nil
}

func newSite(ctx context.Context) *site {
	return &site{
		ctx:         ctx,
		objects:     faker.NewObjects(faker.ObjectsOptions{}),
		nodes:       map[garnetworks.NodeID]*node{},
		partitioned: garnetworks.NewSet[garnetworks.ZoneID](),
		rosters:     map[garnetworks.ZoneID]garnetworks.Roster{},
		visible:     map[garnetworks.ZoneID]garnetworks.Roster{},
		starts:      map[garnetworks.NodeID]uint64{},
	}
}

// start starts a process of a node and replaces an earlier one.
func (s *site) start(id garnetworks.NodeID, zone garnetworks.ZoneID) *node {
	s.mu.Lock()
	view := s.objects.View()
	view.SetFaults(faker.FaultPlan{Down: s.partitioned.Has(zone)})
	n := &node{
		view: view,
		api:  &faultyAPI{ObjectAPI: view, objects: s.objects},
		done: make(chan struct{}),
		held: map[garnetworks.Topic]garnetworks.Update{},
	}
	s.starts[id]++
	n.info = garnetworks.NodeInfo{ID: id, Incarnation: s.starts[id], Zone: zone, Address: string(id)}
	n.Committer = committer.New(committer.Options{
		Node: id, Incarnation: n.info.Incarnation, Zone: zone,
		Objects: n.api,
		Peers:   &caller{site: s, from: zone},
		Rosters: func() []garnetworks.Roster { return s.rostersFor(zone) },
		Publish: func(u garnetworks.Update) { s.publish(n, u) },
	})
	ctx, cancel := context.WithCancel(s.ctx)
	n.cancel = cancel
	s.nodes[id] = n
	s.setRosterRow(zone, id, []garnetworks.NodeInfo{n.info})
	s.mu.Unlock()
	go func() {
		defer close(n.done)
		_ = n.Run(ctx)
	}()
	return n
}

// setRosterRow replaces a node's rows in its zone's roster. The caller holds mu.
func (s *site) setRosterRow(zone garnetworks.ZoneID, id garnetworks.NodeID, rows []garnetworks.NodeInfo) {
	r := s.rosters[zone]
	list := slices.DeleteFunc(slices.Clone(r.Nodes), func(n garnetworks.NodeInfo) bool { return n.ID == id })
	list = append(list, rows...)
	slices.SortFunc(list, func(a, b garnetworks.NodeInfo) int { return cmp.Compare(a.ID, b.ID) })
	s.rosters[zone] = garnetworks.Roster{Zone: zone, Nodes: list, Version: r.Version + 1}
	if !s.partitioned.Has(zone) {
		s.visible[zone] = s.rosters[zone]
	}
}

// halt ends a process without notice; its row stays in the roster until evict.
func (n *node) halt() {
	n.cancel()
	<-n.done
}

// evict removes a dead node from its zone's roster, as the membership does.
func (s *site) evict(n *node) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.nodes[n.info.ID] == n {
		delete(s.nodes, n.info.ID)
		s.setRosterRow(n.info.Zone, n.info.ID, nil)
	}
}

func (s *site) haltAll() {
	for _, n := range s.running() {
		n.halt()
	}
}

// running returns the running processes, sorted by name.
func (s *site) running() []*node {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []*node
	for _, n := range s.nodes {
		select {
		case <-n.done:
		default:
			list = append(list, n)
		}
	}
	slices.SortFunc(list, func(a, b *node) int { return cmp.Compare(a.info.ID, b.info.ID) })
	return list
}

// rostersFor returns the rosters as the nodes of a zone know them. Roster changes of a zone
// that is cut off do not reach other zones.
func (s *site) rostersFor(zone garnetworks.ZoneID) []garnetworks.Roster {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []garnetworks.Roster
	for id, r := range s.visible {
		if id == zone {
			r = s.rosters[id]
		}
		list = append(list, r)
	}
	return list
}

// connected reports whether two zones can reach each other.
func (s *site) connected(a, b garnetworks.ZoneID) bool {
	return a == b || !s.partitioned.Has(a) && !s.partitioned.Has(b)
}

// receive handles an update as a distributor does: only a newer version is applied.
func (n *node) receive(u garnetworks.Update) {
	n.mu.Lock()
	old, ok := n.held[u.Topic]
	newer := !ok || old.Version.Less(u.Version)
	if newer {
		n.held[u.Topic] = u
	}
	n.mu.Unlock()
	if newer {
		n.OnUpdate(u)
	}
}

func (n *node) updates() []garnetworks.Update {
	n.mu.Lock()
	defer n.mu.Unlock()
	var list []garnetworks.Update
	for _, u := range n.held {
		list = append(list, u)
	}
	slices.SortFunc(list, func(a, b garnetworks.Update) int { return cmp.Compare(a.Topic, b.Topic) })
	return list
}

func (s *site) publish(from *node, u garnetworks.Update) {
	s.mu.Lock()
	s.sent.updates++
	s.sent.bytes += len(u.Body)
	s.mu.Unlock()
	from.receive(u)
	for _, n := range s.running() {
		s.mu.Lock()
		reached := n != from && s.connected(from.info.Zone, n.info.Zone)
		if reached && s.dropping > 0 {
			s.dropping--
			reached = false
		}
		s.mu.Unlock()
		if reached {
			n.receive(u)
		}
	}
}

// gossip copies to each node the updates of one reachable node, a different one each time.
func (s *site) gossip() {
	nodes := s.running()
	s.round++
	for i, n := range nodes {
		for j := range nodes {
			other := nodes[(i+s.round+j)%len(nodes)]
			s.mu.Lock()
			reached := other != n && s.connected(n.info.Zone, other.info.Zone)
			s.mu.Unlock()
			if !reached {
				continue
			}
			for _, u := range other.updates() {
				n.receive(u)
			}
			break
		}
	}
}

// cutOff cuts a zone off from other zones and the object API, or reconnects it.
func (s *site) cutOff(zone garnetworks.ZoneID, off bool) {
	s.mu.Lock()
	if off {
		s.partitioned.Add(zone)
	} else {
		s.partitioned.Remove(zone)
		s.visible[zone] = s.rosters[zone]
	}
	s.mu.Unlock()
	for _, n := range s.running() {
		if n.info.Zone == zone {
			n.view.SetFaults(faker.FaultPlan{Down: off})
		}
	}
	s.gossip()
}

// heads returns every head that was ever stored, in order.
func (s *site) heads(t fataler) []committer.Head {
	changes, _, err := s.objects.Watch(context.Background(), committer.HeadKey, 0, 0)
	if err != nil {
		t.Fatal(err)
	}
	heads := make([]committer.Head, len(changes))
	for i, c := range changes {
		if err := json.Unmarshal(c.Value, &heads[i]); err != nil {
			t.Fatal(err)
		}
	}
	return heads
}

// caller calls the nodes of the site by name.
type caller struct {
	garnetworks.PeerCaller
	site *site
	from garnetworks.ZoneID
}

func (c *caller) to(address string) (*node, error) {
	c.site.mu.Lock()
	defer c.site.mu.Unlock()
	n, ok := c.site.nodes[garnetworks.NodeID(address)]
	if !ok || !c.site.connected(c.from, n.info.Zone) {
		return nil, garnetworks.Errorf(garnetworks.KindUnreachable, "no way to %s", address)
	}
	select {
	case <-n.done:
		return nil, garnetworks.Errorf(garnetworks.KindUnreachable, "%s does not run", address)
	default:
		return n, nil
	}
}

func (c *caller) Report(ctx context.Context, address string, request *garnetworks.ReportRequest) (*garnetworks.ReportResponse, error) {
	c.site.mu.Lock()
	c.site.sent.reports++
	c.site.mu.Unlock()
	n, err := c.to(address)
	if err != nil {
		return nil, err
	}
	return n.Report(ctx, request)
}

func (c *caller) Fetch(_ context.Context, address string, request *garnetworks.FetchRequest) (*garnetworks.FetchResponse, error) {
	n, err := c.to(address)
	if err != nil {
		return nil, err
	}
	response := &garnetworks.FetchResponse{}
	for _, u := range n.updates() {
		if slices.Contains(request.Topics, u.Topic) {
			response.Updates = append(response.Updates, u)
		}
	}
	return response, nil
}

// fataler is the part that *testing.T and *rapid.T have in common.
type fataler interface {
	Fatal(args ...any)
}
