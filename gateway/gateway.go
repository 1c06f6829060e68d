package gateway

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/carrier"
	"github.com/garnetworks/garnetworks/delegator"
	"github.com/garnetworks/garnetworks/emitter"
	"github.com/garnetworks/garnetworks/follower"
	"github.com/garnetworks/garnetworks/limiter"
	"github.com/garnetworks/garnetworks/matcher"
	"github.com/garnetworks/garnetworks/meter"
	"github.com/garnetworks/garnetworks/picker"
	"github.com/garnetworks/garnetworks/retrier"
	"github.com/garnetworks/garnetworks/scheduler"
	"github.com/garnetworks/garnetworks/suspector"
)

const (
	// advanceInterval is the time between two checks of the waiting calls; it bounds how much
	// longer than its limit a call waits. idleInterval is the same while no call waits.
	advanceInterval = 20 * time.Millisecond
	idleInterval    = 200 * time.Millisecond
	// progressWindow is how long after an event a group counts as progressing. It is shorter
	// than the detection time of a lost member, so that a group is not kept because of events
	// from before the loss.
	progressWindow = 250 * time.Millisecond
	// eventRetention is how long the time of a group's last event is kept. It is longer than
	// any silence that a decision depends on.
	eventRetention = 10 * time.Second
	// revokeMargin is the fraction of RevokeTime after which keys are no longer accepted; the
	// rest covers the time until a call reaches its server.
	revokeMargin = 0.9
)

// Options describe a gateway.
type Options struct {
	Zone     garnetworks.ZoneID
	Bounds   garnetworks.SiteBounds
	Follower *follower.Follower
	Reader   garnetworks.CallReader
	Proxy    garnetworks.CallProxy
	Meter    *meter.Meter
	// Suspect is called for groups that seem to stall.
	Suspect func(garnetworks.GroupID)
	// AskVerdict asks the lease holder for its verdict on a group without events for some time.
	// It returns at once, and calls answered later from another goroutine, at most once. It may
	// be nil.
	AskVerdict func(group garnetworks.GroupID, silence time.Duration, answered func(garnetworks.Verdict))
	Quarantine garnetworks.Quarantine
	// Self is the node, and Nodes returns the other nodes of the site that it knows; it may be
	// nil.
	Self  garnetworks.NodeID
	Nodes func() []garnetworks.NodeInfo
	// MemoryBytes is the most memory that the process may use; 0 if there is no bound.
	MemoryBytes int64
	// Alone says that the site is known to have no other node.
	Alone bool
	// Delegator hands calls to other nodes; it may be nil.
	Delegator garnetworks.CallDelegator
	Logger    hclog.Logger
}

// head is the head of a group, which takes the group's calls.
type head struct {
	incarnation garnetworks.Incarnation
	address     string
	model       garnetworks.ModelName
	// cold limits the calls while the head is cold.
	cold limiter.Limit
}

// Gateway is the HTTP handler for client calls.
type Gateway struct {
	options  Options
	changed  <-chan struct{}
	stopping atomic.Bool
	stop     *stop
	bounds   atomic.Pointer[garnetworks.SiteBounds]
	sequence atomic.Uint64
	// successLines and failureLines limit the log lines of calls.
	successLines, failureLines *emitter.RateLimiter
	stalls                     stalls
	// groups is used by Run only.
	groups *groupIndex
	// enqueued has a buffer of one signal that a call waits.
	enqueued chan struct{}
	bodies   *bodies
	// onTimeCalls counts the calls that were on time, to sample them for detailed lines.
	onTimeCalls atomic.Uint64

	// mu guards the fields below.
	mu             sync.Mutex
	scheduler      *scheduler.Scheduler
	arrivals       *scheduler.Arrivals
	picker         *picker.Picker
	waiters        map[garnetworks.CallID]chan scheduler.Decision
	heads          map[garnetworks.GroupID]head
	lastGroupEvent map[garnetworks.GroupID]time.Time
	suspector      suspector.Suspector
	// watchdogs holds those of the attempts that run at each group.
	watchdogs    map[garnetworks.GroupID]garnetworks.Set[*watchdog]
	retryWindows map[garnetworks.ServiceName]*retrier.Window
	// nodes is the number of nodes among which the site's retries are divided: the highest one
	// reported within nodeCountRetention, at nodesUpdated.
	nodes        int
	nodesUpdated time.Time
	// peers is the last load report of the other nodes; peersKnown says that there is one.
	peers      garnetworks.LoadReport
	peersKnown bool
	outcomes   outcomes
	// limits are the limits that servers named; limitsApplied is when the groups got theirs.
	limits        *limiter.Limits
	limitsApplied time.Time
	// backoffs are those that servers requested from this node.
	backoffs limiter.Backoffs
	// leaving holds when servers last announced to this node that they leave.
	leaving   map[garnetworks.Incarnation]time.Time
	links     *delegator.Links
	delegates *delegator.Delegates
	offers    *delegator.Offers
	// started is when the gateway was created; limitedCalls are the calls to plain servers that
	// were limited.
	started      time.Time
	limitedCalls limiter.Calls
}

// New returns a gateway. It must be called before the follower runs.
func New(options Options) *Gateway {
	g := &Gateway{
		options:        options,
		changed:        options.Follower.Changed(),
		groups:         newGroupIndex(),
		enqueued:       make(chan struct{}, 1),
		successLines:   emitter.NewRateLimiter(SuccessLinesPerSecond),
		failureLines:   emitter.NewRateLimiter(FailureLinesPerSecond),
		scheduler:      scheduler.New(options.Zone, random),
		arrivals:       scheduler.NewArrivals(),
		picker:         picker.New(options.Zone),
		waiters:        make(map[garnetworks.CallID]chan scheduler.Decision),
		heads:          make(map[garnetworks.GroupID]head),
		lastGroupEvent: make(map[garnetworks.GroupID]time.Time),
		watchdogs:      make(map[garnetworks.GroupID]garnetworks.Set[*watchdog]),
		retryWindows:   make(map[garnetworks.ServiceName]*retrier.Window),
		started:        time.Now(),
		limitedCalls:   make(limiter.Calls),
		limits:         limiter.NewLimits(random),
		backoffs:       make(limiter.Backoffs),
		leaving:        make(map[garnetworks.Incarnation]time.Time),
		links:          delegator.NewLinks(),
		delegates:      delegator.NewDelegates(options.Zone, random),
		offers:         delegator.NewOffers(random),
		bodies:         newBodies(options.MemoryBytes),
		stop:           newStop(),
	}
	g.bounds.Store(&options.Bounds)
	return g
}

// SetBounds replaces the site's bounds.
func (g *Gateway) SetBounds(bounds garnetworks.SiteBounds) {
	g.bounds.Store(&bounds)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.updateRetryLimits()
}

// Run keeps the groups up to date and advances the waiting calls until ctx ends.
func (g *Gateway) Run(ctx context.Context) error {
	interval := idleInterval
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	last := time.Now()
	for {
		next := interval
		select {
		case <-ctx.Done():
			return nil
		case <-g.changed:
			g.refresh(time.Now())
		case <-g.enqueued:
			next = advanceInterval
		case <-ticker.C:
			now := time.Now()
			g.stalls.tick(now.Sub(last), interval)
			last = now
			g.refreshLimits(now)
			g.tryLinks(ctx, now)
			if !g.advance(now) {
				next = idleInterval
			}
		}
		if next != interval {
			interval, last = next, time.Now()
			ticker.Reset(interval)
		}
	}
}

// Ready reports whether the node should get new connections: it has a routing that is
// recent enough to accept keys, and is not stopping.
func (g *Gateway) Ready() bool {
	return !g.stopping.Load() && g.options.Follower.Ready() && g.acceptsKeys(g.RoutingAge())
}

// RoutingAge returns the time since the routing was last confirmed as the newest.
func (g *Gateway) RoutingAge() time.Duration { return time.Since(g.options.Follower.Confirmed()) }

// acceptsKeys reports whether keys are accepted with a routing of this age (rule W4).
func (g *Gateway) acceptsKeys(age time.Duration) bool {
	return age < time.Duration(float64(g.bounds.Load().RevokeTime)*revokeMargin)
}

// rejectsPermanently reports whether a routing of this age may reject calls permanently (rule
// A3). Without an ApplyTime the limit is that of acceptsKeys.
func (g *Gateway) rejectsPermanently(age time.Duration) bool {
	if bound := g.bounds.Load().ApplyTime; bound > 0 {
		return age < bound
	}
	return g.acceptsKeys(age)
}

// refresh updates the serving groups from the registered servers.
func (g *Gateway) refresh(now time.Time) {
	index := g.options.Follower.Index()
	if index == nil {
		return
	}
	evacuated := g.options.Follower.Evacuated()
	g.options.Meter.EvacuatedZones(len(evacuated))
	g.groups.update(index, g.options.Follower.TakeUpdated())
	var serving []scheduler.Group
	heads := make(map[garnetworks.GroupID]head)
	for _, group := range g.groups.groups {
		h, ok := group.Head()
		if !ok || !group.Serves() || evacuated.Has(h.Zone) { // rule E1
			continue
		}
		service, ok := index.Service(group.Service)
		if !ok {
			continue
		}
		profile, _ := service.Engines.Get()
		heads[group.ID] = head{h.Incarnation(), h.Address, group.Model, g.coldLimit(now, service, &h)}
		g := scheduler.Group{ID: group.ID, Model: group.Model, Zone: h.Zone, Slots: profile.Slots}
		if m := modelProfile(&profile, group.Model); m != nil {
			g.Size, g.PrefillRate, g.PassTime = m.GroupSize, profile.PrefillRate/m.TimeFactor, profile.PassTime(m)
		}
		serving = append(serving, g)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	// A group may still send events after its head's entry has disappeared.
	maps.DeleteFunc(g.lastGroupEvent, func(_ garnetworks.GroupID, at time.Time) bool { return now.Sub(at) > eventRetention })
	g.suspector.Retain(now)
	for id := range g.heads {
		if _, ok := heads[id]; !ok {
			g.options.Meter.ForgetGroup(id)
		}
	}
	g.heads = heads
	listed := func(l garnetworks.Incarnation) bool {
		s, ok := g.options.Follower.Server(l.Instance)
		return ok && s.Incarnation() == l
	}
	g.picker.Retain(listed)
	g.limitedCalls.Retain(listed)
	g.limits.Retain(now, listed)
	g.options.Meter.LimitedServers(g.limits.Count())
	g.backoffs.Retain(now)
	maps.DeleteFunc(g.leaving, func(l garnetworks.Incarnation, at time.Time) bool {
		return !listed(l) && now.Sub(at) > leavingRetention
	})
	view := g.view(now)
	for i := range serving {
		h := heads[serving[i].ID]
		serving[i].Limit = g.serverLimit(now, &view, h.incarnation, h.cold)
	}
	g.deliver(g.scheduler.SetGroups(now, serving))
}

// modelProfile returns the profile of a model whose times are known; nil if there is none.
func modelProfile(profile *garnetworks.EngineProfile, model garnetworks.ModelName) *garnetworks.ModelProfile {
	for i := range profile.Models {
		if m := &profile.Models[i]; m.Name == model && m.TimeFactor > 0 {
			return m
		}
	}
	return nil
}

// advance advances the waiting calls, and reports whether there are any.
func (g *Gateway) advance(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.scheduler.Waiting() == 0 {
		return false
	}
	g.deliver(g.scheduler.Advance(now))
	return true
}

// deliver passes decisions to the calls that wait for them; g.mu is held.
func (g *Gateway) deliver(decisions []scheduler.Decision) {
	for _, d := range decisions {
		if c := g.waiters[d.Call]; c != nil {
			delete(g.waiters, d.Call)
			c <- d
		}
	}
}

// Load returns this node's load at each group, to be reported to the other nodes.
func (g *Gateway) Load() garnetworks.LoadReport {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	report := g.load(now)
	report.Limits = g.limits.Report(now)
	return report
}

// load implements Load; g.mu is held.
func (g *Gateway) load(now time.Time) garnetworks.LoadReport {
	report := g.scheduler.Load(now)
	g.outcomes.report(now, report.Demands)
	for i := range report.Groups {
		if now.Sub(g.lastGroupEvent[report.Groups[i].Group]) < progressWindow {
			report.Groups[i].ActiveNodes = 1
		}
	}
	return report
}

// Progressing returns the groups that sent an event to any node within progressWindow. A
// group that has lost a member makes no progress.
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

// ActiveNodes returns the number of other nodes that recently had an event of the group, by their
// last reports.
func (g *Gateway) ActiveNodes(group garnetworks.GroupID) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	at := slices.IndexFunc(g.peers.Groups, func(l garnetworks.GroupLoad) bool { return l.Group == group })
	if at < 0 {
		return 0
	}
	return g.peers.Groups[at].ActiveNodes
}

// Observations returns what this node has observed of models, for a node that has just started.
func (g *Gateway) Observations() garnetworks.Observations {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.scheduler.Observations(time.Now())
}

// TakeOver uses another node's observations of models where this node has none of its own, and
// returns the number of these models.
func (g *Gateway) TakeOver(observations garnetworks.Observations) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.scheduler.TakeOver(observations)
}

// SetPeerLoad sets the load of the other nodes; known is false if there is no report.
func (g *Gateway) SetPeerLoad(peers garnetworks.LoadReport, known bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.countNodes(now, peers.Nodes)
	if known && g.limits.Merge(now, peers.Limits) {
		g.applyLimits(now)
	}
	g.peers, g.peersKnown = peers, known
	g.deliver(g.scheduler.SetPeerLoad(now, peers, known))
}

// ServeHTTP proxies one call.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.serve(&exchange{Gateway: g, w: w, request: r})
}

// ServeDelegated proxies one call that another node hands to this one.
func (g *Gateway) ServeDelegated(w http.ResponseWriter, r *http.Request) {
	g.serve(&exchange{Gateway: g, w: w, request: r, delegated: true, elapsed: carrier.Receive(r)})
}

func (g *Gateway) serve(x *exchange) {
	defer x.releaseBody()
	if err := x.read(); err != nil {
		g.refuse(x.w, x, err)
		x.releaseBody()
		x.discardRest()
		return
	}
	defer x.cancel()
	g.recordCall(x.service.Name)
	if x.linksDown() {
		if !x.delegate() {
			x.refuseUnreachable()
		}
		return
	}
	if x.service.Engines.Present && x.call.Model != "" {
		if !x.knowsModel() {
			g.refuse(x.w, x, garnetworks.Errorf(garnetworks.KindNoGroup, "service %s has no model %q", x.service.Name, x.call.Model))
			return
		}
		x.generate()
		return
	}
	x.callService()
}

// knowsModel reports whether the call's model is one of its service's, or is still served by a group. What is
// remembered of models is bounded by that: clients may name any.
func (x *exchange) knowsModel() bool {
	profile, _ := x.service.Engines.Get()
	if slices.ContainsFunc(profile.Models, func(m garnetworks.ModelProfile) bool { return m.Name == x.call.Model }) {
		return true
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, h := range x.heads {
		if h.model == x.call.Model {
			return true
		}
	}
	return false
}

// exchange is one client call and its response.
type exchange struct {
	*Gateway
	callLog
	relayed
	w       http.ResponseWriter
	request *http.Request
	// delegated says that another node handed the call to this one, elapsed before that.
	delegated bool
	elapsed   time.Duration
	execution execution
	ctx       context.Context
	cancel    context.CancelFunc
	call      *garnetworks.ProxiedCall
	route     *garnetworks.Route
	workspace garnetworks.WorkspaceName
	identity  garnetworks.CallIdentity
	priority  int
	service   *garnetworks.RoutedService
	// deadline is when the call fails at the latest.
	deadline time.Time
	// reserved is the memory that the call's body takes, in bytes.
	reserved int64
	// bodyUnread says that a part of it was not read.
	bodyUnread bool
}

// read reads a request, and finds its route, workspace and service.
func (x *exchange) read() error {
	x.stallsBefore = x.stalls.total()
	age := x.RoutingAge() // rule A5
	index := x.options.Follower.Index()
	if index == nil { // rule A4
		return garnetworks.Errorf(garnetworks.KindNotReady, "the node has no routing yet")
	}
	x.hasRouting, x.routing, x.routingAge = true, index.Version, age
	if !x.options.Follower.EvacuationsKnown() { // rule E2
		return garnetworks.Errorf(garnetworks.KindNotReady, "the node doesn't know yet which zones are evacuated")
	}
	call, err := x.options.Reader.ReadCall(x.request)
	if err != nil {
		return err
	}
	x.call = call
	call.Received = call.Received.Add(-x.elapsed)
	if !call.Deadline.IsZero() {
		call.Deadline = call.Deadline.Add(-x.elapsed)
	}
	if err := x.authorize(index); err != nil {
		return err
	}
	x.deadline = call.Received.Add(x.route.Timeout)
	if !call.Deadline.IsZero() && call.Deadline.Before(x.deadline) {
		x.deadline = call.Deadline
	}
	if call.Body, err = x.readBody(index.Limits.BodyBytes); garnetworks.IsKind(err, garnetworks.KindTooLarge) {
		return x.routingRefusal(err)
	} else if err != nil {
		return err
	}
	x.identity = call.Identity(x.workspace)
	target, ok := matcher.Target(x.route, random())
	if ok {
		x.service, ok = index.Service(target)
	}
	if !ok {
		return garnetworks.Errorf(garnetworks.KindNoBackend, "route %s has no target service", x.route.Name)
	}
	x.ctx, x.cancel = context.WithDeadline(x.request.Context(), x.deadline)
	if err := x.checkBegin(); err != nil {
		x.cancel()
		return err
	}
	return nil
}

// authorize finds the call's route and workspace and checks its key.
func (x *exchange) authorize(index *matcher.Index) error {
	route, ok := index.Route(x.call.Host, x.call.Target)
	if !ok {
		return x.routingRefusal(garnetworks.Errorf(garnetworks.KindUnknownService, "no route matches the host and path"))
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

// routingRefusal returns the error for a call that the routing does not allow: permanent or
// temporary, depending on the routing's age (rule A3).
func (x *exchange) routingRefusal(refusal error) error {
	if x.rejectsPermanently(x.routingAge) {
		return refusal
	}
	return garnetworks.WrapError(garnetworks.KindStaleRouting, refusal, fmt.Sprintf("routing %d was last known to be the newest one %s ago", x.routing, x.routingAge.Round(time.Millisecond)))
}

// refuse answers a call with an error of the node's own.
func (g *Gateway) refuse(w http.ResponseWriter, x *exchange, err error) {
	if x.headersSent {
		x.interrupt(err)
	}
	kind := garnetworks.KindOf(err)
	answer := garnetworks.ErrorResponseFor(kind)
	if x.execution.mayHaveRun() && outcomeOf(answer.Status) == garnetworks.OutcomeNotRun { // rule W2
		kind = x.lostKind()
		answer, err = garnetworks.ErrorResponseFor(kind), garnetworks.WrapError(kind, err, "the call got no answer")
	}
	retryAfter := answer.RetryAfter
	if e, ok := asError(err); ok && e.RetryAfter > 0 {
		retryAfter = e.RetryAfter
	}
	h := w.Header()
	if retryAfter > 0 && answer.Retry {
		h.Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
	if outcomeOf(answer.Status) == garnetworks.OutcomeNotRun && x.untaken(kind) {
		carrier.MarkUntaken(h)
	}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	if g.stopping.Load() {
		h.Set("Connection", "close")
	}
	text := answer.Title + "\n"
	h.Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(answer.Status)
	_, _ = w.Write([]byte(text)) // fails if the client has disconnected
	x.recordEnd(answer.Status, outcomeOf(answer.Status), err)
}
