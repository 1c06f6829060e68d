package gateway

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/emitter"
	"github.com/garnetworks/garnetworks/follower"
	"github.com/garnetworks/garnetworks/former"
	"github.com/garnetworks/garnetworks/matcher"
	"github.com/garnetworks/garnetworks/meter"
	"github.com/garnetworks/garnetworks/picker"
	"github.com/garnetworks/garnetworks/retrier"
	"github.com/garnetworks/garnetworks/scheduler"
)

const (
	// advanceEvery is how often calls that wait are looked through; it bounds how
	// much longer than its patience a call waits.
	advanceEvery = 20 * time.Millisecond
	// movingTime is how long after an event a group counts as moving. It is shorter
	// than the time in which a lost member is found, so that no group is kept for
	// what it gave before its loss.
	movingTime = 250 * time.Millisecond
	// progressMemory is how long a group's last event is remembered. It is longer than
	// any silence that makes a difference.
	progressMemory = 10 * time.Second
	// revokeMargin is the part of RevokeTime after which keys are no longer
	// honoured; the rest covers the way of a call to its server.
	revokeMargin = 0.9
	// usualNodes is the number of nodes that share the site's retries at least: what
	// other nodes don't use is not used by fewer nodes that each know of few.
	usualNodes = 6
	// nodesMemory is how long a number of nodes counts for sharing the site's retries
	// after a lower one was heard; partitions last some minutes.
	nodesMemory = 5 * time.Minute
	// retryPart is the part of the site's bound on retries that nodes use
	// together. A node that starts anew does not know what it used before.
	retryPart = 0.8
)

// Options describe a gateway.
type Options struct {
	Zone     garnetworks.ZoneID
	Bounds   garnetworks.SiteBounds
	Follower *follower.Follower
	Reader   garnetworks.CallReader
	Passer   garnetworks.CallProxy
	Meter    *meter.Meter
	// Suspect is told of groups that seem to stand still.
	Suspect    func(garnetworks.GroupID)
	Quarantine garnetworks.Quarantine
	Logger     hclog.Logger
}

// head is where a group takes calls.
type head struct {
	life    garnetworks.Incarnation
	address string
}

// Gateway is the handler of callers' requests.
type Gateway struct {
	options  Options
	changed  <-chan struct{}
	stopping atomic.Bool
	bounds   atomic.Pointer[garnetworks.SiteBounds]
	sequence atomic.Uint64
	// well and badly bound the lines of calls.
	well, badly *emitter.Folder
	stalls      stalls
	// told counts the calls that were on time, for sampled.
	told atomic.Uint64

	mu        sync.Mutex
	scheduler *scheduler.Scheduler
	picker    *picker.Picker
	waiters   map[garnetworks.CallID]chan scheduler.Decision
	heads     map[garnetworks.GroupID]head
	progress  map[garnetworks.GroupID]time.Time
	retries   map[garnetworks.ServiceName]*retrier.Window
	// nodes is the number of nodes that share the site's retries: the highest heard
	// within nodesMemory, last at nodesSeen.
	nodes     int
	nodesSeen time.Time
	// others is the last report on the other nodes.
	others garnetworks.LoadReport
}

// New returns a gateway; it is called before the follower runs.
func New(options Options) *Gateway {
	g := &Gateway{
		options:   options,
		changed:   options.Follower.Changed(),
		well:      emitter.NewFolder(EndedWell),
		badly:     emitter.NewFolder(EndedBadly),
		scheduler: scheduler.New(options.Zone, random),
		picker:    picker.New(options.Zone),
		waiters:   make(map[garnetworks.CallID]chan scheduler.Decision),
		heads:     make(map[garnetworks.GroupID]head),
		progress:  make(map[garnetworks.GroupID]time.Time),
		retries:   make(map[garnetworks.ServiceName]*retrier.Window),
	}
	g.bounds.Store(&options.Bounds)
	return g
}

// SetBounds takes the site's bounds.
func (g *Gateway) SetBounds(bounds garnetworks.SiteBounds) {
	g.bounds.Store(&bounds)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.divideRetries()
}

// Run keeps the groups up to date and looks after the calls that wait, until ctx
// ends.
func (g *Gateway) Run(ctx context.Context) error {
	ticker := time.NewTicker(advanceEvery)
	defer ticker.Stop()
	last := time.Now()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-g.changed:
			g.refresh(time.Now())
		case <-ticker.C:
			now := time.Now()
			g.stalls.tick(now.Sub(last), advanceEvery)
			last = now
			g.advance(now)
		}
	}
}

// Stop makes the gateway tell clients to open their next connection elsewhere.
func (g *Gateway) Stop() { g.stopping.Store(true) }

// Ready reports whether the node should get new connections: it knows the
// routing, and may honour keys.
func (g *Gateway) Ready() bool {
	return !g.stopping.Load() && g.options.Follower.Ready() && g.honoursKeys(g.RoutingAge())
}

// RoutingAge returns how long ago the routing was last known to be the newest one.
func (g *Gateway) RoutingAge() time.Duration { return time.Since(g.options.Follower.Confirmed()) }

// honoursKeys reports whether keys are honoured by a routing of an age (rule W4).
func (g *Gateway) honoursKeys(age time.Duration) bool {
	return age < time.Duration(float64(g.bounds.Load().RevokeTime)*revokeMargin)
}

// refusesForGood reports whether what a routing of an age lacks refuses a call for good (rule
// A3). A site that states no time for changes has the one in which keys are to be dead.
func (g *Gateway) refusesForGood(age time.Duration) bool {
	if bound := g.bounds.Load().ApplyTime; bound > 0 {
		return age < bound
	}
	return g.honoursKeys(age)
}

// refresh takes the groups that serve now.
func (g *Gateway) refresh(now time.Time) {
	x := g.options.Follower.Index()
	if x == nil {
		return
	}
	servers := g.options.Follower.Servers()
	var serving []scheduler.Group
	heads := make(map[garnetworks.GroupID]head)
	for i := range x.Services {
		profile, ok := x.Services[i].Engines.Get()
		if !ok {
			continue
		}
		for _, group := range former.Observe(servers, x.Services[i].Name, former.Sizes(&profile)) {
			h, ok := group.Head()
			if !ok || !group.Serves() {
				continue
			}
			heads[group.ID] = head{h.Incarnation(), h.Address}
			serving = append(serving, scheduler.Group{ID: group.ID, Model: group.Model, Zone: h.Zone, Slots: profile.Slots, PrefillRate: readRate(&profile, group.Model)})
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	// A group whose head's entry has gone may still give events.
	maps.DeleteFunc(g.progress, func(_ garnetworks.GroupID, at time.Time) bool { return now.Sub(at) > progressMemory })
	for id := range g.heads {
		if _, ok := heads[id]; !ok {
			g.options.Meter.ForgetGroup(id)
		}
	}
	g.heads = heads
	g.picker.Retain(func(l garnetworks.Incarnation) bool { s, ok := servers[l.Instance]; return ok && s.Incarnation() == l })
	g.deliver(g.scheduler.SetGroups(now, serving))
}

// readRate returns the prompt tokens that a group of the model reads in a second.
func readRate(profile *garnetworks.EngineProfile, model garnetworks.ModelName) float64 {
	for i := range profile.Models {
		if m := &profile.Models[i]; m.Name == model && m.TimeFactor > 0 {
			return profile.PrefillRate / m.TimeFactor
		}
	}
	return 0
}

func (g *Gateway) advance(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.scheduler.Waiting() > 0 {
		g.deliver(g.scheduler.Advance(now))
	}
}

// deliver hands decisions to the calls that wait for them; g.mu is held.
func (g *Gateway) deliver(decisions []scheduler.Decision) {
	for _, d := range decisions {
		if c := g.waiters[d.Call]; c != nil {
			delete(g.waiters, d.Call)
			c <- d
		}
	}
}

// Load returns what the node has at each group, for the other nodes.
func (g *Gateway) Load() garnetworks.LoadReport {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.load(time.Now())
}

// load is Load; g.mu is held.
func (g *Gateway) load(now time.Time) garnetworks.LoadReport {
	report := g.scheduler.Load(now)
	for i := range report.Groups {
		if now.Sub(g.progress[report.Groups[i].Group]) < movingTime {
			report.Groups[i].ActiveNodes = 1
		}
	}
	return report
}

// Moving returns the groups that gave an event to some node a moment ago. Nothing
// moves in a group of which a member is lost.
func (g *Gateway) Moving() garnetworks.Set[garnetworks.GroupID] {
	g.mu.Lock()
	defer g.mu.Unlock()
	moving := make(garnetworks.Set[garnetworks.GroupID])
	for _, report := range []garnetworks.LoadReport{g.load(time.Now()), g.others} {
		for _, p := range report.Groups {
			if p.ActiveNodes > 0 {
				moving.Add(p.Group)
			}
		}
	}
	return moving
}

// Work returns the number of calls that each model's arrivals would keep running.
func (g *Gateway) Work() map[garnetworks.ModelName]float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.scheduler.OfferedLoad(time.Now())
}

// SetOthers takes what the other nodes have at each group; known is false if
// nothing is known of them.
func (g *Gateway) SetOthers(others garnetworks.LoadReport, known bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if known {
		g.countNodes(time.Now(), others.Nodes+1)
	}
	g.others = others
	g.deliver(g.scheduler.SetPeerLoad(time.Now(), others, known))
}

// countNodes takes the number of nodes that share the site's retries; g.mu is held.
//
// Failure: an availability zone is cut off, and the nodes on each side divide the
// site's retries among themselves; together they may use them twice. So a lower
// number counts only once it has been the highest for nodesMemory.
func (g *Gateway) countNodes(now time.Time, nodes int) {
	if nodes < g.nodes && now.Sub(g.nodesSeen) < nodesMemory {
		return
	}
	g.nodesSeen = now
	if nodes != g.nodes {
		g.nodes = nodes
		g.divideRetries()
	}
}

// window returns the count of a service's retries; g.mu is held.
func (g *Gateway) window(now time.Time, service garnetworks.ServiceName) *retrier.Window {
	w := g.retries[service]
	if w == nil {
		w = retrier.NewWindow(g.retryLimits(), now)
		g.retries[service] = w
	}
	return w
}

// retryLimits is this node's part of the site's bound; g.mu is held.
func (g *Gateway) retryLimits() retrier.WindowLimits {
	bounds := g.bounds.Load()
	return retrier.WindowLimits{
		Span:     bounds.RetryWindow,
		Fraction: bounds.RetryRatio * retryPart,
		Slack:    bounds.RetrySlack * retryPart / float64(max(g.nodes, usualNodes)),
	}
}

// divideRetries brings all services' limits to the present number of nodes; g.mu is
// held.
func (g *Gateway) divideRetries() {
	limits := g.retryLimits()
	for _, w := range g.retries {
		w.SetLimits(limits)
	}
}

// mayRetry takes a retry, if the service's calls of late allow it.
func (g *Gateway) mayRetry(service garnetworks.ServiceName) bool {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.window(now, service).Take(now)
}

func (g *Gateway) called(service garnetworks.ServiceName) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.window(now, service).RecordCall(now)
}

// ServeHTTP serves one call.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x, err := g.read(w, r)
	if err != nil {
		g.refuse(w, x, err)
		return
	}
	defer x.cancel()
	g.called(x.service.Name)
	if x.service.Engines.Present && x.call.Model != "" {
		x.generate()
		return
	}
	x.passOn()
}

// exchange is one call of a client.
type exchange struct {
	*Gateway
	account
	w         http.ResponseWriter
	ctx       context.Context
	cancel    context.CancelFunc
	call      *garnetworks.ProxiedCall
	route     *garnetworks.Route
	workspace garnetworks.WorkspaceName
	content   garnetworks.ContentDigest
	priority  int
	service   *garnetworks.RoutedService
	// until is when the call is given up at the latest.
	until time.Time
}

// read finds out what a request asks for.
func (g *Gateway) read(w http.ResponseWriter, r *http.Request) (*exchange, error) {
	x := &exchange{Gateway: g, w: w}
	x.stalled = g.stalls.total()
	age := g.RoutingAge() // rule A5
	index := g.options.Follower.Index()
	if index == nil { // rule A4
		return x, garnetworks.Errorf(garnetworks.KindNotReady, "the node knows no routing yet")
	}
	x.matched, x.routing, x.routingAge = true, index.Version, age
	call, err := g.options.Reader.ReadCall(r)
	if err != nil {
		return x, err
	}
	x.call = call
	if err := x.authorize(index); err != nil {
		return x, err
	}
	if call.Body, err = readBody(w, r, index.Limits.BodyBytes); garnetworks.IsKind(err, garnetworks.KindTooLarge) {
		return x, x.lacking(err)
	} else if err != nil {
		return x, err
	}
	x.content = call.ContentDigest(x.workspace)
	target, ok := matcher.Target(x.route, random())
	if ok {
		x.service, ok = index.Service(target)
	}
	if !ok {
		return x, garnetworks.Errorf(garnetworks.KindNoBackend, "the route %s leads to no service", x.route.Name)
	}
	x.until = call.Received.Add(x.route.Timeout)
	if !call.Deadline.IsZero() && call.Deadline.Before(x.until) {
		x.until = call.Deadline
	}
	x.ctx, x.cancel = context.WithDeadline(r.Context(), x.until)
	if err := x.heldBack(); err != nil {
		x.cancel()
		return x, err
	}
	return x, nil
}

// authorize finds the call's route and workspace.
func (x *exchange) authorize(index *matcher.Index) error {
	route, ok := index.Route(x.call.Host, x.call.Target)
	if !ok {
		return x.lacking(garnetworks.Errorf(garnetworks.KindUnknownService, "no route leads there"))
	}
	x.route, x.priority = route, route.Priority
	if route.Public {
		return nil
	}
	if !x.honoursKeys(x.routingAge) {
		return garnetworks.Errorf(garnetworks.KindNotReady, "the node can't tell whether the key is still valid")
	}
	workspace, ok := index.Workspace(x.call.WorkspaceKey)
	if !ok {
		return x.lacking(garnetworks.Errorf(garnetworks.KindUnauthenticated, "no workspace has the key"))
	}
	x.workspace = workspace.Name
	x.priority = workspace.Priority.Or(route.Priority)
	return nil
}

// lacking returns the refusal of a call whose routing does not allow it: for good, or for now
// (rule A3).
func (x *exchange) lacking(refusal error) error {
	if x.refusesForGood(x.routingAge) {
		return refusal
	}
	return garnetworks.WrapError(garnetworks.KindStaleRouting, refusal, fmt.Sprintf("routing %d was last known to be the newest one %s ago", x.routing, x.routingAge.Round(time.Millisecond)))
}

// refuse answers a call that was not passed on.
func (g *Gateway) refuse(w http.ResponseWriter, x *exchange, err error) {
	kind := garnetworks.KindOf(err)
	answer := garnetworks.ErrorResponseFor(kind)
	after := answer.RetryAfter
	if e, ok := asError(err); ok && e.RetryAfter > 0 {
		after = e.RetryAfter
	}
	h := w.Header()
	if after > 0 && answer.Retry {
		h.Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	if g.stopping.Load() {
		h.Set("Connection", "close")
	}
	text := answer.Title + "\n"
	h.Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(answer.Status)
	_, _ = w.Write([]byte(text)) // the client may have left
	x.ended(answer.Status, outcomeOf(answer.Status), err)
}
