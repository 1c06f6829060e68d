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
	// advanceInterval is how often calls that wait are looked through; it bounds how
	// much longer than its patience a call waits.
	advanceInterval = 20 * time.Millisecond
	// progressWindow is how long after an event a group counts as moving. It is shorter
	// than the time in which a lost member is found, so that no group is kept for
	// what it gave before its loss.
	progressWindow = 250 * time.Millisecond
	// eventRetention is how long a group's last event is remembered. It is longer than
	// any silence that makes a difference.
	eventRetention = 10 * time.Second
	// revokeMargin is the part of RevokeTime after which keys are no longer
	// honoured; the rest covers the way of a call to its server.
	revokeMargin = 0.9
	// minRetryNodes is the number of nodes that share the site's retries at least: what
	// other nodes don't use is not used by fewer nodes that each know of few.
	minRetryNodes = 6
	// nodeCountRetention is how long a number of nodes counts for sharing the site's retries
	// after a lower one was heard; partitions last some minutes.
	nodeCountRetention = 5 * time.Minute
	// retryShare is the part of the site's bound on retries that nodes use
	// together. A node that starts anew does not know what it used before.
	retryShare = 0.8
)

// Options describe a gateway.
type Options struct {
	Zone     garnetworks.ZoneID
	Bounds   garnetworks.SiteBounds
	Follower *follower.Follower
	Reader   garnetworks.CallReader
	Proxy    garnetworks.CallProxy
	Meter    *meter.Meter
	// Suspect is told of groups that seem to stand still.
	Suspect    func(garnetworks.GroupID)
	Quarantine garnetworks.Quarantine
	Logger     hclog.Logger
}

// head is where a group takes calls.
type head struct {
	incarnation garnetworks.Incarnation
	address     string
}

// Gateway is the handler of callers' requests.
type Gateway struct {
	options  Options
	changed  <-chan struct{}
	stopping atomic.Bool
	bounds   atomic.Pointer[garnetworks.SiteBounds]
	sequence atomic.Uint64
	// successLines and failureLines bound the lines of calls.
	successLines, failureLines *emitter.Folder
	stalls                     stalls
	// onTimeCalls counts the calls that were on time, for sampled.
	onTimeCalls atomic.Uint64

	mu             sync.Mutex
	scheduler      *scheduler.Scheduler
	picker         *picker.Picker
	waiters        map[garnetworks.CallID]chan scheduler.Decision
	heads          map[garnetworks.GroupID]head
	lastGroupEvent map[garnetworks.GroupID]time.Time
	retryWindows   map[garnetworks.ServiceName]*retrier.Window
	// nodes is the number of nodes that share the site's retries: the highest heard
	// within nodesMemory, last at nodesSeen.
	nodes        int
	nodesUpdated time.Time
	// others is the last report on the other nodes.
	peers garnetworks.LoadReport
}

// New returns a gateway; it is called before the follower runs.
func New(options Options) *Gateway {
	g := &Gateway{
		options:        options,
		changed:        options.Follower.Changed(),
		successLines:   emitter.NewFolder(SuccessLinesPerSecond),
		failureLines:   emitter.NewFolder(FailureLinesPerSecond),
		scheduler:      scheduler.New(options.Zone, random),
		picker:         picker.New(options.Zone),
		waiters:        make(map[garnetworks.CallID]chan scheduler.Decision),
		heads:          make(map[garnetworks.GroupID]head),
		lastGroupEvent: make(map[garnetworks.GroupID]time.Time),
		retryWindows:   make(map[garnetworks.ServiceName]*retrier.Window),
	}
	g.bounds.Store(&options.Bounds)
	return g
}

// SetBounds takes the site's bounds.
func (g *Gateway) SetBounds(bounds garnetworks.SiteBounds) {
	g.bounds.Store(&bounds)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.updateRetryLimits()
}

// Run keeps the groups up to date and looks after the calls that wait, until ctx
// ends.
func (g *Gateway) Run(ctx context.Context) error {
	ticker := time.NewTicker(advanceInterval)
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
			g.stalls.tick(now.Sub(last), advanceInterval)
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
	return !g.stopping.Load() && g.options.Follower.Ready() && g.acceptsKeys(g.RoutingAge())
}

// RoutingAge returns how long ago the routing was last known to be the newest one.
func (g *Gateway) RoutingAge() time.Duration { return time.Since(g.options.Follower.Confirmed()) }

// honoursKeys reports whether keys are honoured by a routing of an age (rule W4).
func (g *Gateway) acceptsKeys(age time.Duration) bool {
	return age < time.Duration(float64(g.bounds.Load().RevokeTime)*revokeMargin)
}

// refusesForGood reports whether what a routing of an age lacks refuses a call for good (rule
// A3). A site that states no time for changes has the one in which keys are to be dead.
func (g *Gateway) rejectsPermanently(age time.Duration) bool {
	if bound := g.bounds.Load().ApplyTime; bound > 0 {
		return age < bound
	}
	return g.acceptsKeys(age)
}

// refresh takes the groups that serve now.
func (g *Gateway) refresh(now time.Time) {
	index := g.options.Follower.Index()
	if index == nil {
		return
	}
	servers := g.options.Follower.Servers()
	var serving []scheduler.Group
	heads := make(map[garnetworks.GroupID]head)
	for i := range index.Services {
		profile, ok := index.Services[i].Engines.Get()
		if !ok {
			continue
		}
		for _, group := range former.Observe(servers, index.Services[i].Name, former.Sizes(&profile)) {
			h, ok := group.Head()
			if !ok || !group.Serves() {
				continue
			}
			heads[group.ID] = head{h.Incarnation(), h.Address}
			serving = append(serving, scheduler.Group{ID: group.ID, Model: group.Model, Zone: h.Zone, Slots: profile.Slots, PrefillRate: prefillRate(&profile, group.Model)})
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	// A group whose head's entry has gone may still give events.
	maps.DeleteFunc(g.lastGroupEvent, func(_ garnetworks.GroupID, at time.Time) bool { return now.Sub(at) > eventRetention })
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
func prefillRate(profile *garnetworks.EngineProfile, model garnetworks.ModelName) float64 {
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
		if now.Sub(g.lastGroupEvent[report.Groups[i].Group]) < progressWindow {
			report.Groups[i].ActiveNodes = 1
		}
	}
	return report
}

// Progressing returns the groups that gave an event to some node a moment ago. Nothing
// moves in a group of which a member is lost.
func (g *Gateway) Progressing() garnetworks.Set[garnetworks.GroupID] {
	g.mu.Lock()
	defer g.mu.Unlock()
	progressing := make(garnetworks.Set[garnetworks.GroupID])
	for _, report := range []garnetworks.LoadReport{g.load(time.Now()), g.peers} {
		for _, p := range report.Groups {
			if p.ActiveNodes > 0 {
				progressing.Add(p.Group)
			}
		}
	}
	return progressing
}

// OfferedLoad returns the number of calls that each model's arrivals would keep running.
func (g *Gateway) OfferedLoad() map[garnetworks.ModelName]float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.scheduler.OfferedLoad(time.Now())
}

// SetPeerLoad takes what the other nodes have at each group; known is false if
// nothing is known of them.
func (g *Gateway) SetPeerLoad(peers garnetworks.LoadReport, known bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if known {
		g.setNodeCount(time.Now(), peers.Nodes+1)
	}
	g.peers = peers
	g.deliver(g.scheduler.SetPeerLoad(time.Now(), peers, known))
}

// countNodes takes the number of nodes that share the site's retries; g.mu is held.
//
// Failure: an availability zone is cut off, and the nodes on each side divide the
// site's retries among themselves; together they may use them twice. So a lower
// number counts only once it has been the highest for nodesMemory.
func (g *Gateway) setNodeCount(now time.Time, nodes int) {
	if nodes < g.nodes && now.Sub(g.nodesUpdated) < nodeCountRetention {
		return
	}
	g.nodesUpdated = now
	if nodes != g.nodes {
		g.nodes = nodes
		g.updateRetryLimits()
	}
}

// window returns the count of a service's retries; g.mu is held.
func (g *Gateway) retryWindow(now time.Time, service garnetworks.ServiceName) *retrier.Window {
	w := g.retryWindows[service]
	if w == nil {
		w = retrier.NewWindow(g.retryLimits(), now)
		g.retryWindows[service] = w
	}
	return w
}

// retryLimits is this node's part of the site's bound; g.mu is held.
func (g *Gateway) retryLimits() retrier.WindowLimits {
	bounds := g.bounds.Load()
	return retrier.WindowLimits{
		Span:     bounds.RetryWindow,
		Fraction: bounds.RetryRatio * retryShare,
		Slack:    bounds.RetrySlack * retryShare / float64(max(g.nodes, minRetryNodes)),
	}
}

// divideRetries brings all services' limits to the present number of nodes; g.mu is
// held.
func (g *Gateway) updateRetryLimits() {
	limits := g.retryLimits()
	for _, w := range g.retryWindows {
		w.SetLimits(limits)
	}
}

// mayRetry takes a retry, if the service's calls of late allow it.
func (g *Gateway) takeRetry(service garnetworks.ServiceName) bool {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.retryWindow(now, service).Take(now)
}

func (g *Gateway) recordCall(service garnetworks.ServiceName) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.retryWindow(now, service).RecordCall(now)
}

// ServeHTTP serves one call.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x, err := g.read(w, r)
	if err != nil {
		g.refuse(w, x, err)
		return
	}
	defer x.cancel()
	g.recordCall(x.service.Name)
	if x.service.Engines.Present && x.call.Model != "" {
		x.generate()
		return
	}
	x.callService()
}

// exchange is one call of a client.
type exchange struct {
	*Gateway
	callLog
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
	deadline time.Time
}

// read finds out what a request asks for.
func (g *Gateway) read(w http.ResponseWriter, r *http.Request) (*exchange, error) {
	x := &exchange{Gateway: g, w: w}
	x.stallsBefore = g.stalls.total()
	age := g.RoutingAge() // rule A5
	index := g.options.Follower.Index()
	if index == nil { // rule A4
		return x, garnetworks.Errorf(garnetworks.KindNotReady, "the node knows no routing yet")
	}
	x.hasRouting, x.routing, x.routingAge = true, index.Version, age
	call, err := g.options.Reader.ReadCall(r)
	if err != nil {
		return x, err
	}
	x.call = call
	if err := x.authorize(index); err != nil {
		return x, err
	}
	if call.Body, err = readBody(w, r, index.Limits.BodyBytes); garnetworks.IsKind(err, garnetworks.KindTooLarge) {
		return x, x.routingRefusal(err)
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
	x.deadline = call.Received.Add(x.route.Timeout)
	if !call.Deadline.IsZero() && call.Deadline.Before(x.deadline) {
		x.deadline = call.Deadline
	}
	x.ctx, x.cancel = context.WithDeadline(r.Context(), x.deadline)
	if err := x.checkQuarantine(); err != nil {
		x.cancel()
		return x, err
	}
	return x, nil
}

// authorize finds the call's route and workspace.
func (x *exchange) authorize(index *matcher.Index) error {
	route, ok := index.Route(x.call.Host, x.call.Target)
	if !ok {
		return x.routingRefusal(garnetworks.Errorf(garnetworks.KindUnknownService, "no route leads there"))
	}
	x.route, x.priority = route, route.Priority
	if route.Public {
		return nil
	}
	if !x.acceptsKeys(x.routingAge) {
		return garnetworks.Errorf(garnetworks.KindNotReady, "the node can't tell whether the key is still valid")
	}
	workspace, ok := index.Workspace(x.call.WorkspaceKey)
	if !ok {
		return x.routingRefusal(garnetworks.Errorf(garnetworks.KindUnauthenticated, "no workspace has the key"))
	}
	x.workspace = workspace.Name
	x.priority = workspace.Priority.Or(route.Priority)
	return nil
}

// lacking returns the refusal of a call whose routing does not allow it: for good, or for now
// (rule A3).
func (x *exchange) routingRefusal(refusal error) error {
	if x.rejectsPermanently(x.routingAge) {
		return refusal
	}
	return garnetworks.WrapError(garnetworks.KindStaleRouting, refusal, fmt.Sprintf("routing %d was last known to be the newest one %s ago", x.routing, x.routingAge.Round(time.Millisecond)))
}

// refuse answers a call that was not passed on.
func (g *Gateway) refuse(w http.ResponseWriter, x *exchange, err error) {
	kind := garnetworks.KindOf(err)
	answer := garnetworks.ErrorResponseFor(kind)
	retryAfter := answer.RetryAfter
	if e, ok := asError(err); ok && e.RetryAfter > 0 {
		retryAfter = e.RetryAfter
	}
	h := w.Header()
	if retryAfter > 0 && answer.Retry {
		h.Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	if g.stopping.Load() {
		h.Set("Connection", "close")
	}
	text := answer.Title + "\n"
	h.Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(answer.Status)
	_, _ = w.Write([]byte(text)) // the client may have left
	x.recordEnd(answer.Status, outcomeOf(answer.Status), err)
}
