package runner

import (
	"context"
	"fmt"
	"maps"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/configurer"
	"github.com/garnetworks/garnetworks/faker"
	"github.com/garnetworks/garnetworks/messenger"
)

// virtualSite is a site in a synctest bubble: real nodes on an in-memory network with fake
// backends.
type virtualSite struct {
	t        reporter
	size     shape
	network  *memoryNetwork
	objects  *faker.Objects
	list     *faker.InstanceList
	fleet    *faker.Fleet
	power    *faker.Power
	services *faker.Services
	// ledgers are the servers of the plain service, one each in the first two zones.
	ledgers []*faker.Service
	weights *faker.WeightStore
	// mu guards nodes, whose entries change when a node is replaced.
	mu    sync.Mutex
	nodes map[garnetworks.NodeID]*virtualNode
	// isCut holds the zones that are currently cut off.
	isCut    map[garnetworks.ZoneID]bool
	key      string
	load     *load
	stopLoad context.CancelFunc
	loading  sync.WaitGroup
	// methodsBefore holds the method counters at the start of a measurement.
	methodsBefore map[string]messenger.MethodCount
}

// virtualNode is a node of a virtualSite and its fault switches.
type virtualNode struct {
	*Runner
	objects *faker.ObjectsView
	// cut holds the zones whose backend servers the node can't reach; the empty zone
	// stands for the platform.
	cut sync.Map
	// eventReads counts the reads of engines' cache events.
	eventReads atomic.Int64
	// probes counts the reads of engines' status.
	probes atomic.Int64
	// crashed nodes are unreachable until they are replaced.
	crashed bool
	stop    context.CancelFunc
	done    chan error
}

const (
	groupsWanted  = 3
	virtualCap    = garnetworks.Watts(16000)
	engineWatts   = garnetworks.Watts(1000)
	virtualTokens = 20
)

// domainEngines is the number of engines in a fabric domain.
const domainEngines = 16

// reporter holds the common methods of testing.T and rapid.T.
type reporter interface {
	Helper()
	Log(args ...any)
	Logf(format string, args ...any)
	Error(args ...any)
	Errorf(format string, args ...any)
	Fatal(args ...any)
	Fatalf(format string, args ...any)
}

// shape is the size of a site.
type shape struct {
	zones []garnetworks.ZoneID
	// nodes, engines and on are counts per zone; the first on engines are powered on.
	nodes, engines, on int
	// groups is the number of groups wanted in the site.
	groups int
	cap    garnetworks.Watts
	// weight is the size in bytes of a version's weights on one engine, loaded at 1 GB/s in
	// total.
	weight int64
	// ignoresTokens makes the engines accept orders with outdated fencing tokens.
	ignoresTokens bool
}

// smallShape has one group in each zone, with one spare engine on and one off.
var smallShape = shape{zones: zones, nodes: 2, engines: 6, on: 5, groups: groupsWanted, cap: virtualCap, weight: 1 << 30}

func newVirtualSite(t reporter, size shape) *virtualSite {
	t.Helper()
	s := &virtualSite{t: t, size: size, network: newMemoryNetwork(), services: new(faker.Services), nodes: make(map[garnetworks.NodeID]*virtualNode), isCut: make(map[garnetworks.ZoneID]bool)}
	s.weights = faker.NewWeightStore(1<<30, map[garnetworks.WeightID]int64{{Model: "chat", Version: "v1"}: size.weight, {Model: "chat", Version: "v2"}: size.weight})
	s.objects = faker.NewObjects(faker.ObjectsOptions{WritesPerSecond: 300, ReadsPerSecond: 2000})
	s.list = faker.NewInstanceList(2 * time.Second)
	s.fleet = faker.NewFleet(s.weights, s.list)
	s.power = faker.NewPower(s.fleet)
	for _, zone := range size.zones {
		s.addEngines(zone)
	}
	for i, zone := range size.zones[:2] {
		s.ledgers = append(s.ledgers, faker.NewService("ledger", 5*time.Millisecond))
		s.services.Add(ledgerRow(zone).Address, s.ledgers[i])
		s.list.Report(ledgerRow(zone))
	}
	for _, zone := range size.zones {
		for i := range size.nodes {
			s.startNode(nodeName(zone, i), zone)
		}
	}
	return s
}

func ledgerRow(zone garnetworks.ZoneID) garnetworks.ListedInstance {
	return garnetworks.ListedInstance{
		ID: garnetworks.InstanceID(zone + "-ledger"), Address: string(zone) + "-ledger:80", Zone: zone,
		Class: "small", State: garnetworks.ListedLive, Service: "ledger",
	}
}

// executions counts how often a keyed call ran, over all servers.
func (s *virtualSite) executions(key string) int {
	sum := 0
	for _, l := range s.ledgers {
		sum += l.ExecutionsByKey(key)
	}
	return sum
}

func nodeName(zone garnetworks.ZoneID, i int) garnetworks.NodeID {
	return garnetworks.NodeID(fmt.Sprintf("%s-n%d", zone, i))
}

func (s *virtualSite) addEngines(zone garnetworks.ZoneID) {
	for i := range s.size.engines {
		id := garnetworks.InstanceID(fmt.Sprintf("%s-e%d", zone, i))
		s.fleet.Add(faker.EngineSpec{
			ListedInstance: garnetworks.ListedInstance{
				ID: id, Address: string(id) + ":80", Zone: zone, Domain: garnetworks.DomainID(fmt.Sprintf("%s-d%d", zone, i/domainEngines)), Class: "big", State: garnetworks.ListedLive,
			},
			Watts: engineWatts, On: i < s.size.on, Boot: 5 * time.Second, ChecksFencing: !s.size.ignoresTokens,
			FirstToken: 50 * time.Millisecond, PerToken: 20 * time.Millisecond,
		})
	}
}

func (s *virtualSite) startNode(id garnetworks.NodeID, zone garnetworks.ZoneID) *virtualNode {
	s.t.Helper()
	n := &virtualNode{objects: s.objects.View(), done: make(chan error, 1)}
	cut := &cutPlatform{node: n, site: s}
	settings := configurer.Settings{
		Node: id, Zone: zone, Region: s.region(zone),
		Listen:     configurer.Listen{Callers: string(id) + ":callers", Peers: string(id) + ":peers", Admin: string(id) + ":admin"},
		Limits:     configurer.Limits{BodyBytes: 1 << 20, HeaderBytes: 1 << 16, HeaderTime: time.Second, Connections: 100},
		DrainGrace: 20 * time.Second,
		EventRing:  8192,
	}
	for other := range s.nodes {
		settings.Seeds = append(settings.Seeds, string(other)+":peers")
	}
	r, err := New(Options{
		Settings: settings,
		Network:  garnetworks.Some(s.network.at(id)),
		Platform: garnetworks.Some(Platform{
			Objects: n.objects, Instances: cut, Power: cut, Weights: cut, Orders: cut, Probes: cut, Cache: cut, Engines: cut, Services: cut,
		}),
		LameDuck: time.Second,
	})
	if err != nil {
		s.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	n.Runner, n.stop = r, cancel
	s.mu.Lock()
	s.nodes[id] = n
	s.mu.Unlock()
	go func() { n.done <- r.Run(ctx, nil) }()
	return n
}

// region returns the region of a zone; each region has three zones.
func (s *virtualSite) region(zone garnetworks.ZoneID) garnetworks.RegionID {
	i := slices.Index(s.size.zones, zone)
	return garnetworks.RegionID(fmt.Sprintf("region-%d", i/3+1))
}

// node returns the current process of a node.
func (s *virtualSite) node(id garnetworks.NodeID) *virtualNode {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.nodes[id]
}

// names returns the nodes' names in order.
func (s *virtualSite) names() []garnetworks.NodeID {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Sorted(maps.Keys(s.nodes))
}

// replace stops a node's process and starts a new one under its name.
func (s *virtualSite) replace(id garnetworks.NodeID) {
	s.t.Helper()
	old := s.node(id)
	old.stop()
	if err := <-old.done; err != nil {
		s.t.Errorf("node %s: %v", id, err)
	}
	old.crashed = false
	for _, other := range s.names() {
		if other != id {
			s.network.setCut(id, other, s.partitioned(id, other))
		}
	}
	s.startNode(id, old.self.Zone).cutOff(s)
}

// partitioned reports whether two nodes can't reach each other.
func (s *virtualSite) partitioned(a, b garnetworks.NodeID) bool {
	if s.node(a).crashed || s.node(b).crashed {
		return true
	}
	from, to := s.node(a).self.Zone, s.node(b).self.Zone
	return from != to && (s.isCut[from] || s.isCut[to])
}

// close stops the load and all nodes, so that the bubble can end.
func (s *virtualSite) close() {
	if s.stopLoad != nil {
		s.stopLoad()
		s.loading.Wait()
	}
	for _, n := range s.nodes {
		n.stop()
	}
	for id, n := range s.nodes {
		if err := <-n.done; err != nil {
			s.t.Errorf("node %s: %v", id, err)
		}
	}
	s.fleet.Close()
}

// cutPlatform is the platform and the backend servers as one node reaches them.
type cutPlatform struct {
	node *virtualNode
	site *virtualSite
}

// connectTimeout is how long connecting to an unreachable address takes to fail.
const connectTimeout = time.Second

// reach fails after connectTimeout if the zone in the address is cut off from the node.
func (c *cutPlatform) reach(ctx context.Context, name string) error {
	zone := garnetworks.ZoneID("")
	if len(name) >= len("zone-a") {
		zone = garnetworks.ZoneID(name[:len("zone-a")])
	}
	if _, cut := c.node.cut.Load(zone); !cut {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	<-ctx.Done()
	return garnetworks.WrapError(garnetworks.KindUnreachable, ctx.Err(), name)
}

func (c *cutPlatform) Instances(ctx context.Context, zone garnetworks.ZoneID) ([]garnetworks.ListedInstance, error) {
	if err := c.reach(ctx, ""); err != nil {
		return nil, err
	}
	return c.site.list.Instances(ctx, zone)
}

func (c *cutPlatform) SetPower(ctx context.Context, order garnetworks.PowerOrder) error {
	if err := c.reach(ctx, ""); err != nil {
		return err
	}
	return c.site.power.SetPower(ctx, order)
}

func (c *cutPlatform) Power(ctx context.Context, id garnetworks.InstanceID) (garnetworks.PowerState, error) {
	if err := c.reach(ctx, ""); err != nil {
		return garnetworks.PowerUnknown, err
	}
	return c.site.power.Power(ctx, id)
}

func (c *cutPlatform) Rate(ctx context.Context) (int64, error) {
	if err := c.reach(ctx, ""); err != nil {
		return 0, err
	}
	return c.site.weights.Rate(ctx)
}

func (c *cutPlatform) Size(ctx context.Context, id garnetworks.WeightID) (int64, error) {
	if err := c.reach(ctx, ""); err != nil {
		return 0, err
	}
	return c.site.weights.Size(ctx, id)
}

func (c *cutPlatform) Order(ctx context.Context, address string, order garnetworks.EngineOrder) (garnetworks.EngineStatus, error) {
	if err := c.reach(ctx, address); err != nil {
		return garnetworks.EngineStatus{}, err
	}
	return c.site.fleet.Order(ctx, address, order)
}

func (c *cutPlatform) Status(ctx context.Context, address string) (garnetworks.EngineStatus, error) {
	if err := c.reach(ctx, address); err != nil {
		return garnetworks.EngineStatus{}, err
	}
	c.node.probes.Add(1)
	return c.site.fleet.Status(ctx, address)
}

func (c *cutPlatform) CacheEvents(ctx context.Context, address string, after uint64) ([]garnetworks.CacheEvent, error) {
	if err := c.reach(ctx, address); err != nil {
		return nil, err
	}
	c.node.eventReads.Add(1)
	return c.site.fleet.CacheEvents(ctx, address, after)
}

func (c *cutPlatform) Generate(ctx context.Context, address string, call *garnetworks.EngineCall) (garnetworks.EngineStream, error) {
	if err := c.reach(ctx, address); err != nil {
		return nil, &garnetworks.AttemptError{Phase: garnetworks.PhaseConnect, Cause: err}
	}
	return c.site.fleet.Generate(ctx, address, call)
}

func (c *cutPlatform) Call(ctx context.Context, address string, call *garnetworks.ServiceCall) (garnetworks.ServiceResponse, error) {
	if err := c.reach(ctx, address); err != nil {
		return garnetworks.ServiceResponse{}, &garnetworks.AttemptError{Phase: garnetworks.PhaseConnect, Cause: err}
	}
	return c.site.services.Call(ctx, address, call)
}

// cutZone cuts a zone off from the other zones and the platform, or restores it.
func (s *virtualSite) cutZone(zone garnetworks.ZoneID, cut bool) {
	s.isCut[zone] = cut
	names := s.names()
	for i, id := range names {
		for _, other := range names[i+1:] {
			s.network.setCut(id, other, s.partitioned(id, other))
		}
		s.node(id).cutOff(s)
	}
}

// cutOff updates which zones and platform APIs the node can reach.
func (n *virtualNode) cutOff(s *virtualSite) {
	if n.crashed {
		return
	}
	own := n.self.Zone
	for _, z := range append([]garnetworks.ZoneID{""}, s.size.zones...) {
		if z != own && (s.isCut[own] || s.isCut[z]) {
			n.cut.Store(z, true)
		} else {
			n.cut.Delete(z)
		}
	}
	n.objects.SetFaults(faker.FaultPlan{Down: s.isCut[own]})
}

// crash stops a node and cuts it off, so that its shutdown messages reach nobody.
func (s *virtualSite) crash(id garnetworks.NodeID) {
	n := s.node(id)
	n.crashed = true
	for _, other := range s.names() {
		if other != id {
			s.network.setCut(id, other, true)
		}
	}
	for _, z := range append([]garnetworks.ZoneID{""}, s.size.zones...) {
		n.cut.Store(z, true)
	}
	n.objects.SetFaults(faker.FaultPlan{Down: true})
	n.stop()
}

// manifestText returns a manifest with the given cap and model version.
func (s *virtualSite) manifestText(powerCap garnetworks.Watts, version string) string {
	base := &testSite{}
	text := base.manifest()
	if s.key == "" {
		s.key = base.key
		return s.manifestText(powerCap, version)
	}
	text = strings.Replace(text, "power-cap-watts: 40000", fmt.Sprintf("power-cap-watts: %d", powerCap), 1)
	text = strings.Replace(text, "checks-fencing: true", fmt.Sprintf("checks-fencing: %t", !s.size.ignoresTokens), 1)
	text = strings.Replace(text, "version: v1", "version: "+version, 1)
	text = strings.Replace(text, "min-groups: 3", fmt.Sprintf("min-groups: %d", s.size.groups), 1)
	text = strings.Replace(text, "max-groups: 3", fmt.Sprintf("max-groups: %d", s.size.groups), 1)
	text = strings.Replace(text, "  - {name: zone-a, region: region-1}\n  - {name: zone-b, region: region-1}\n  - {name: zone-c, region: region-1}\n", s.zoneLines(), 1)
	text = strings.Replace(text, "boot-time: 1s", "boot-time: 5s", 1)
	text = strings.Replace(text, "weight-bytes: 1048576", fmt.Sprintf("weight-bytes: %d", s.size.weight), 1)
	return keyLine.ReplaceAllString(text, fmt.Sprintf(`key-hashes: ["%s"]`, hashOf(s.key)))
}

func (s *virtualSite) zoneLines() string {
	var b strings.Builder
	for i, zone := range s.size.zones {
		fmt.Fprintf(&b, "  - {name: %s, region: region-%d}\n", zone, i/3+1)
	}
	return b.String()
}

// propose proposes a manifest to a node and returns its progress.
func (s *virtualSite) propose(node garnetworks.NodeID, id string, base garnetworks.Generation, text string) (garnetworks.CommitProgress, error) {
	response, err := s.nodes[node].committer.Propose(context.Background(), &garnetworks.ProposeRequest{
		CommitID: id, Operator: "operator-" + id, Base: base, Text: []byte(text),
	})
	if err != nil {
		return garnetworks.CommitProgress{}, err
	}
	return response.Progress, nil
}

// within waits until check returns an empty string, and fails after the bound.
func (s *virtualSite) within(bound time.Duration, what string, check func() string) time.Duration {
	s.t.Helper()
	begun := time.Now()
	for {
		missing := check()
		if missing == "" {
			return time.Since(begun)
		}
		if time.Since(begun) > bound {
			s.t.Fatalf("%s: not within %v: %s", what, bound, missing)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// inForce returns a check that a commit is in force according to a node.
func (s *virtualSite) inForce(node garnetworks.NodeID, id string) func() string {
	return func() string {
		r, err := s.nodes[node].committer.Progress(context.Background(), &garnetworks.ProgressRequest{CommitID: id})
		if err != nil {
			return err.Error()
		}
		if r.Progress.State != garnetworks.CommitInForce {
			return fmt.Sprintf("%s %s", r.Progress.State, r.Progress.Reason)
		}
		return ""
	}
}

// serving returns a check that a node sees at least the wanted number of confirmed groups.
func (s *virtualSite) serving(node garnetworks.NodeID, want int) func() string {
	return func() string {
		serving := 0
		for _, view := range s.nodes[node].views.all() {
			for i := range view.Groups {
				if g := &view.Groups[i]; g.State == garnetworks.GroupServing && g.Confirmed {
					serving++
				}
			}
		}
		if serving < want {
			return fmt.Sprintf("%d of %d groups serve", serving, want)
		}
		return ""
	}
}

// begin commits the first manifest and waits until all groups serve.
func (s *virtualSite) begin() {
	s.t.Helper()
	if _, err := s.propose(nodeName("zone-a", 0), "first", 0, s.manifestText(s.size.cap, "v1")); err != nil {
		s.t.Fatal(err)
	}
	s.within(30*time.Second, "the first manifest in force", s.inForce(nodeName("zone-b", 1), "first"))
	s.within(2*time.Minute, "all groups serve", s.serving(nodeName("zone-c", 0), s.size.groups))
}

// answerOf calls a node's HTTP handler in process.
func (n *virtualNode) answerOf(ctx context.Context, key, method, path, idempotency, body string) answer {
	request := httptest.NewRequestWithContext(ctx, method, path, strings.NewReader(body))
	request.Header.Set("Authorization", "Bearer "+key)
	request.Header.Set("Content-Type", "application/json")
	if idempotency != "" {
		request.Header.Set("Idempotency-Key", idempotency)
	}
	w := httptest.NewRecorder()
	n.server.Handler().ServeHTTP(w, request)
	result := w.Result()
	outcome := result.Header.Get("Garnet-Outcome")
	if trailer := result.Trailer.Get("Garnet-Outcome"); trailer != "" {
		outcome = trailer
	}
	return answer{result.StatusCode, outcome, result.Header.Get("Garnet-Error-Kind"), w.Body.String()}
}

// load calls every node periodically and checks each answer.
type load struct {
	site *virtualSite

	mu         sync.Mutex
	outcomes   map[string]int
	violations []string
	keys       atomic.Int64
}

func (s *virtualSite) startLoad() {
	ctx, cancel := context.WithCancel(context.Background())
	s.stopLoad = cancel
	s.load = &load{site: s, outcomes: make(map[string]int)}
	for id := range s.nodes {
		s.loading.Go(func() { s.load.callModels(ctx, id) })
		s.loading.Go(func() { s.load.callLedger(ctx, id) })
	}
	s.loading.Go(func() { s.load.watch(ctx) })
}

func (l *load) addViolation(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.violations) < 20 {
		l.violations = append(l.violations, fmt.Sprintf(format, args...))
	}
}

func (l *load) count(what string, a answer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outcomes[what+" "+a.outcome+" "+a.kind]++
}

const virtualBody = `{"model":"chat","prompt":"the pump at well 9 has failed","max_tokens":20}`

// callModels sends completions; one with outcome completed must have the full text (rule G7).
func (l *load) callModels(ctx context.Context, id garnetworks.NodeID) {
	want := faker.AnswerText(&garnetworks.CallRequest{Model: "chat", Prompt: "the pump at well 9 has failed"}, 0, virtualTokens)
	for ctx.Err() == nil {
		time.Sleep(200 * time.Millisecond)
		n := l.site.node(id)
		if n.stopping.Load() {
			continue
		}
		a := n.answerOf(ctx, l.site.key, "POST", "/v1/completions", "", virtualBody)
		l.count("model", a)
		if a.outcome == string(garnetworks.OutcomeCompleted) && !strings.Contains(a.body, want) {
			l.addViolation("node %s: a completed answer is incomplete: %s", id, a.body)
		}
	}
}

// callLedger sends each non-repeatable keyed call twice, the second time to another node. It
// must run at most once, and never if the outcome is not-run (rules G5 and G6).
func (l *load) callLedger(ctx context.Context, id garnetworks.NodeID) {
	for ctx.Err() == nil {
		time.Sleep(700 * time.Millisecond)
		n := l.site.node(id)
		if n.stopping.Load() {
			continue
		}
		number := l.keys.Add(1)
		key := fmt.Sprintf("visit-%d", number)
		if number%3 == 0 {
			l.callAtOnce(ctx, n, l.site.node(l.otherNode(id)), key)
			continue
		}
		first := n.answerOf(ctx, l.site.key, "POST", "/services/ledger/visits", key, `{"visit":"`+key+`"}`)
		l.count("ledger", first)
		ran := l.site.executions(key)
		if first.outcome == string(garnetworks.OutcomeNotRun) && ran > 0 {
			l.addViolation("node %s: call %s ran %d times despite outcome not-run: %+v", id, key, ran, first)
		}
		other := l.site.node(l.otherNode(id))
		if other.stopping.Load() {
			continue
		}
		second := other.answerOf(ctx, l.site.key, "POST", "/services/ledger/visits", key, `{"visit":"`+key+`"}`)
		l.count("ledger again", second)
		if ran := l.site.executions(key); ran > 1 {
			l.addViolation("call %s ran %d times: %+v, then %+v", key, ran, first, second)
		}
		if first.outcome == string(garnetworks.OutcomeCompleted) && second.outcome == string(garnetworks.OutcomeCompleted) && first.body != second.body {
			l.addViolation("call %s got two answers: %+v, then %+v", key, first, second)
		}
	}
}

// callAtOnce sends one keyed call through two nodes at the same time, like a caller that
// retries after a timeout.
func (l *load) callAtOnce(ctx context.Context, a, b *virtualNode, key string) {
	answers := make(chan answer, 2)
	for _, n := range []*virtualNode{a, b} {
		go func() {
			answers <- n.answerOf(ctx, l.site.key, "POST", "/services/ledger/visits", key, `{"visit":"`+key+`"}`)
		}()
	}
	first, second := <-answers, <-answers
	l.count("ledger at once", first)
	l.count("ledger at once", second)
	ran := l.site.executions(key)
	if ran > 1 {
		l.addViolation("call %s ran %d times: %+v and %+v", key, ran, first, second)
	}
	notRun := string(garnetworks.OutcomeNotRun)
	if first.outcome == notRun && second.outcome == notRun && ran > 0 {
		l.addViolation("call %s ran despite two not-run outcomes: %+v and %+v", key, first, second)
	}
}

func (l *load) otherNode(id garnetworks.NodeID) garnetworks.NodeID {
	for _, other := range l.site.names() {
		if l.site.node(other).self.Zone != l.site.node(id).self.Zone {
			return other
		}
	}
	return id
}

// watch checks invariants that must always hold: the power cap, and one holder per lease.
func (l *load) watch(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(20 * time.Millisecond)
		if draw := l.site.fleet.Draw(); draw > l.site.size.cap {
			l.addViolation("the site draws %d W over its cap of %d W", draw, l.site.size.cap)
		}
		holders := make(map[string][]garnetworks.NodeID)
		for _, id := range l.site.names() {
			for name, held := range l.site.node(id).leaseStates() {
				if held {
					holders[name] = append(holders[name], id)
				}
			}
		}
		for name, list := range holders {
			if len(list) > 1 {
				l.addViolation("lease %s is held by %v", name, list)
			}
		}
	}
}

// finishLoad stops the load and reports the violations it found.
func (s *virtualSite) finishLoad() {
	s.t.Helper()
	s.stopLoad()
	s.loading.Wait()
	s.stopLoad = nil
	s.load.mu.Lock()
	defer s.load.mu.Unlock()
	for _, f := range s.load.violations {
		s.t.Error(f)
	}
	attempts, _ := s.fleet.Attempts()
	for _, a := range attempts {
		// A call can be in flight when the last confirmation expires.
		if a.Refused == "" && a.MissingFor > garnetworks.ConfirmationBound+time.Second {
			s.t.Errorf("group %s served call %s %v after a member was lost", a.Group, a.Call, a.MissingFor)
		}
	}
	s.t.Logf("outcomes: %v; %d attempts at engines; %v calls to the object API", s.load.outcomes, len(attempts), s.objects.Counts())
}

// all returns the outcomes so far.
func (l *load) all() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return maps.Clone(l.outcomes)
}

// completed returns how many calls of a kind have completed.
func (l *load) completed(what string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.outcomes[what+" completed "]
}

// traffic returns each node's counters of peer traffic.
func (s *virtualSite) traffic() map[garnetworks.NodeID]messenger.TrafficCount {
	counts := make(map[garnetworks.NodeID]messenger.TrafficCount)
	for id, n := range s.nodes {
		counts[id] = n.Runner.traffic.Count()
	}
	return counts
}
