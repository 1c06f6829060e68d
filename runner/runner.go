// Package runner joins the parts of an entry node and runs its duties, each on
// a goroutine of its own, until it is stopped.
//
// The rules:
//
//	N1  Every node runs the same duties. The controllers of the zone and of the
//	    site run on each node and act on the one that holds their lease.
//	N2  A node is ready once it knows the manifest in force; it says so to the
//	    balancer and to its peers, and says the opposite first when it stops.
//	N3  A planned stop drops the readiness, lets calls in flight finish within
//	    the grace period, records what is left to record, gives up leases, and
//	    only then closes the connections. A second signal ends the grace period.
//	N4  Nodes of a zone report to its controller now and then, in a larger zone
//	    less often: what they are asked for and which groups are slow. The answer
//	    carries the node's shares of the limits.
//	N5  A node that hears no fresh pulse of its own zone for PulseSilence probes
//	    all engines of the zone itself, so that its routers go on by its own
//	    findings (rule G1) while a controller is replaced or the node is cut off.
//	N6  A duty that ends before the node is stopped ends the node: a node that
//	    only seems to work is worse than one that is replaced.
package runner

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/admitter"
	"github.com/garnetworks/garnetworks/claimer"
	"github.com/garnetworks/garnetworks/committer"
	"github.com/garnetworks/garnetworks/configurer"
	"github.com/garnetworks/garnetworks/controller"
	"github.com/garnetworks/garnetworks/distributor"
	"github.com/garnetworks/garnetworks/drainer"
	"github.com/garnetworks/garnetworks/forwarder"
	"github.com/garnetworks/garnetworks/keymaker"
	"github.com/garnetworks/garnetworks/messenger"
	"github.com/garnetworks/garnetworks/meter"
	"github.com/garnetworks/garnetworks/prober"
	"github.com/garnetworks/garnetworks/recorder"
	"github.com/garnetworks/garnetworks/router"
	"github.com/garnetworks/garnetworks/server"
	"github.com/garnetworks/garnetworks/tracker"
)

// Options are what a node is made from.
type Options struct {
	Settings configurer.Settings
	// Logger may be nil.
	Logger hclog.Logger
	// Platform replaces the adapters that the settings name; embedders and tests
	// set it.
	Platform garnetworks.Option[Platform]
	// Network replaces TCP; tests set it to cut nodes off from each other.
	Network garnetworks.Option[Network]
	// Program is the program's version.
	Program string
	// LameDuck is how long a stopping node goes on taking calls after it dropped
	// its readiness.
	LameDuck time.Duration
}

// Network opens the node's listeners and its connections to peers.
type Network interface {
	Listen(address string) (net.Listener, error)
	Dial(ctx context.Context, address string) (net.Conn, error)
}

// Platform is everything outside the node that it calls.
type Platform struct {
	Objects   garnetworks.ObjectAPI
	Instances garnetworks.InstanceList
	Power     garnetworks.PowerSwitch
	Weights   garnetworks.WeightStore
	Orders    garnetworks.EngineOrders
	// Probes read engines' status on a new connection each time.
	Probes garnetworks.EngineOrders
	// Cache reads engines' cache events; it may be nil.
	Cache    garnetworks.CacheEvents
	Engines  garnetworks.EngineCaller
	Services garnetworks.ServiceCaller
}

// Runner is one entry node.
type Runner struct {
	settings configurer.Settings
	log      hclog.Logger
	platform Platform
	self     garnetworks.NodeInfo

	callers, peers, admin net.Listener

	meter       *meter.Meter
	timeline    *recorder.Recorder
	events      garnetworks.Recorder
	keys        *messenger.Keys
	traffic     messenger.Traffic
	client      *messenger.Client
	peerServer  *messenger.Server
	distributor *distributor.Distributor
	tracker     *tracker.Tracker
	committer   *committer.Committer
	router      *router.Router
	admitter    *admitter.Admitter
	claimer     *claimer.Claimer
	prober      *prober.Prober
	forwarder   *forwarder.Forwarder
	server      *server.Server
	zone        *controller.Zone
	site        *controller.Site

	// signs tells which backend servers are leaving.
	signs   *drainer.Shared
	views   *views
	reports *reports
	listed  *listCache

	// counted is the traffic that the metrics hold; upkeep alone uses it.
	counted messenger.TrafficCount

	objectsDown atomic.Bool
	stopping    atomic.Bool
	superseded  chan struct{}
}

// New opens the node's addresses and joins its parts; Run starts them.
func New(options Options) (*Runner, error) {
	r := &Runner{
		settings:   options.Settings,
		log:        options.Logger,
		superseded: make(chan struct{}),
	}
	if r.log == nil {
		r.log = hclog.NewNullLogger()
	}
	if err := r.listen(options.Network); err != nil {
		return nil, err
	}
	r.meter = meter.New()
	r.timeline = recorder.New(r.settings.Node, r.settings.EventRing)
	r.events = r.meter.Recorder(r.timeline)
	r.platform = options.Platform.Or(connect(r.settings))
	r.platform.Objects = r.watchHealth(r.meter.ObjectAPI(r.platform.Objects))
	r.self = r.describe(options.Program)
	if err := r.join(options); err != nil {
		r.closeListeners()
		return nil, err
	}
	return r, nil
}

// Addresses tells where the node listens.
type Addresses struct {
	Callers, Peers, Admin string
}

// Addresses returns the node's addresses as bound.
func (r *Runner) Addresses() Addresses {
	return Addresses{
		Callers: r.callers.Addr().String(),
		Peers:   r.peers.Addr().String(),
		Admin:   r.admin.Addr().String(),
	}
}

func (r *Runner) listen(network garnetworks.Option[Network]) error {
	if n, ok := network.Get(); ok {
		return r.listenOn(n)
	}

	if files := r.settings.PeerTLS; files.Enabled() {
		keys, err := messenger.LoadKeys(messenger.Files(files))
		if err != nil {
			return garnetworks.WrapError(garnetworks.KindInvalidSettings, err, "peer-tls")
		}
		r.keys = keys
	}
	config := server.ListenConfig()
	var err error
	if r.callers, err = config.Listen(context.Background(), "tcp", r.settings.Listen.Callers); err != nil {
		return garnetworks.WrapError(garnetworks.KindInvalidSettings, err, "listen.callers")
	}
	if r.peers, err = messenger.Listen(r.settings.Listen.Peers, r.keys, r.settings.AllowInsecure); err != nil {
		r.closeListeners()
		return garnetworks.WrapError(garnetworks.KindInvalidSettings, err, "listen.peers")
	}
	if r.admin, err = net.Listen("tcp", r.settings.Listen.Admin); err != nil {
		r.closeListeners()
		return garnetworks.WrapError(garnetworks.KindInvalidSettings, err, "listen.admin")
	}
	return nil
}

func (r *Runner) listenOn(n Network) error {
	var err error
	if r.callers, err = n.Listen(r.settings.Listen.Callers); err != nil {
		return err
	}
	if r.peers, err = n.Listen(r.settings.Listen.Peers); err != nil {
		return err
	}
	r.admin, err = n.Listen(r.settings.Listen.Admin)
	return err
}

func (r *Runner) closeListeners() {
	for _, l := range []net.Listener{r.callers, r.peers, r.admin} {
		if l != nil {
			_ = l.Close()
		}
	}
}

// describe returns the node's description. The start time as incarnation grows
// with each start of the process, also on another instance, as long as clocks
// are within the time that a replacement takes; the tracker raises it above a
// higher one that it finds.
func (r *Runner) describe(program string) garnetworks.NodeInfo {
	address := r.settings.Advertise
	if address == "" {
		address = r.peers.Addr().String()
	}
	return garnetworks.NodeInfo{
		ID:          r.settings.Node,
		Incarnation: uint64(time.Now().UnixMilli()),
		Address:     address,
		Zone:        r.settings.Zone,
		Region:      r.settings.Region,
		Program:     program,
	}
}

// join makes the parts, from those that need nothing to those that need others.
func (r *Runner) join(options Options) error {
	r.client = messenger.NewClient(clientOptions(r, options.Network))
	r.router = router.New(router.Options{Node: r.self.ID, Zone: r.self.Zone})
	r.admitter = admitter.New(admitter.Options{Node: r.self.ID})
	r.claimer = claimer.New(claimer.Options{
		Node:      r.self,
		API:       r.platform.Objects,
		Forwarder: garnetworks.Some[claimer.Forwarder](claimer.PeerForwarder{Peers: r.client}),
		Recorder:  r.events,
	})
	r.prober = prober.New(prober.Options{
		Node:     r.self.ID,
		Peers:    garnetworks.Some[garnetworks.ConfirmCaller](r.client),
		Orders:   r.platform.Orders,
		Recorder: r.events,
	})
	r.signs = drainer.NewShared(drainer.Options{})
	r.views = newViews(r)
	r.reports = newReports(r)
	r.joinPeers()
	r.joinCalls(options)
	if err := r.joinControl(); err != nil {
		return err
	}
	var err error
	r.peerServer, err = messenger.NewServer(messenger.ServerOptions{
		Handler: &peerHandler{r},
		Keys:    r.keys,
		Clock:   r.timeline,
		Traffic: &r.traffic,
		Log:     func(err error) { r.log.Debug("peer call", "error", err) },
	})
	return err
}

func clientOptions(r *Runner, network garnetworks.Option[Network]) messenger.ClientOptions {
	o := messenger.ClientOptions{Keys: r.keys, Clock: r.timeline, Traffic: &r.traffic, Recorder: r.events}
	if n, ok := network.Get(); ok {
		o.Dial = n.Dial
	}
	return o
}

func (r *Runner) joinPeers() {
	r.distributor = distributor.New(distributor.Options{
		Self:  r.self,
		Peers: r.client,
		Nodes: func() []garnetworks.NodeInfo { return r.tracker.Peers() },
		Apply: r.apply,
		Log:   func(err error) { r.log.Debug("distribution", "error", err) },
	})
	r.tracker = tracker.New(tracker.Options{
		Self:       r.self,
		Seeds:      r.settings.Seeds,
		Objects:    r.platform.Objects,
		Peers:      r.client,
		Recorder:   r.events,
		Publish:    r.distributor.Publish,
		Hold:       r.distributor.Hold,
		Passengers: []tracker.Passenger{r.distributor},
		Superseded: func() { close(r.superseded) },
		Log:        func(err error) { r.log.Warn("membership", "error", err) },
	})
	r.committer = committer.New(committer.Options{
		Node:        r.self.ID,
		Incarnation: r.self.Incarnation,
		Zone:        r.self.Zone,
		Self:        r.tracker.Self, // the tracker may raise the incarnation
		Objects:     r.platform.Objects,
		Peers:       r.client,
		Rosters:     r.rosters,
		Seeds:       r.settings.Seeds,
		Publish:     r.publish,
		Applied:     r.applied,
		Recorder:    r.events,
		Logger:      r.log.Named("committer"),
		Clock:       r.timeline.Now,
	})
}

func (r *Runner) joinCalls(options Options) {
	r.forwarder = forwarder.New(forwarder.Options{
		Engines:  r.platform.Engines,
		Services: r.platform.Services,
		Groups:   r.router,
		Servers:  r.router,
		Claims:   r.claimer,
		Prober:   r.platform.Probes,
		Recorder: r.events,
		Manifest: r.committer,
	})
	limits := server.DefaultLimits()
	limits.Body = r.settings.Limits.BodyBytes
	limits.Header = r.settings.Limits.HeaderBytes
	r.server = server.New(server.Options{
		Calls:       r.forwarder,
		Manifest:    r.committer,
		NewKeyIndex: func(m *garnetworks.Manifest) server.KeyIndex { return keymaker.NewIndex(m) },
		Admitter:    r.admitter,
		Recorder:    r.events,
		Observer:    &callObserver{r.meter},
		Limits:      limits,
		LameDuck:    options.LameDuck,
	})
}

// publish hands an update to the distribution. An update that is refused because
// a newer one is held is no fault: another node was quicker.
func (r *Runner) publish(u garnetworks.Update) {
	if err := r.distributor.Publish(u); err != nil && !garnetworks.IsKind(err, garnetworks.KindConflict) {
		r.log.Warn("update not published", "topic", u.Topic, "error", err)
	}
}

// apply takes an update that the distribution brought, in the topic's order.
func (r *Runner) apply(u garnetworks.Update) {
	switch {
	case committer.Topics(u.Topic):
		r.committer.OnUpdate(u)
	case r.views.take(u):
	case r.reports.take(u):
	default:
		r.tracker.Apply(context.Background(), u)
	}
}

// applied takes a manifest that the node begins to decide by.
func (r *Runner) applied(m *garnetworks.AcceptedManifest) {
	r.router.SetZones(m.Manifest.Site.Zones)
	r.admitter.SetManifest(&m.Manifest)
	r.meter.InForce(m.Generation)
	r.log.Info("manifest in force", "generation", m.Generation, "operator", m.Operator)
}

func (r *Runner) rosters() []garnetworks.Roster {
	view := r.tracker.View()
	rosters := make([]garnetworks.Roster, 0, len(view.Rosters))
	for _, roster := range view.Rosters {
		rosters = append(rosters, roster)
	}
	return rosters
}

// Run runs the node until ctx ends, and then stops it as planned. A second
// context, hurry, ends the grace period; it may be nil.
func (r *Runner) Run(ctx, hurry context.Context) error {
	r.events.Record(garnetworks.Event{Kind: garnetworks.EventNodeStarted, Zone: r.self.Zone, Detail: r.self.Address})
	r.log.Info("node started", "node", r.self.ID, "zone", r.self.Zone,
		"callers", r.callers.Addr(), "peers", r.peers.Addr(), "admin", r.admin.Addr())
	work, stopWork := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWork()
	group, work := errgroup.WithContext(work)
	for _, d := range r.duties() {
		group.Go(func() error { return r.runDuty(work, d) })
	}
	select {
	case <-ctx.Done():
	case <-work.Done():
	case <-r.superseded:
		r.log.Error("another process took this node's name", "node", r.self.ID)
	}
	r.stop(work, hurry)
	stopWork()
	if err := group.Wait(); err != nil && !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}

// duty is one goroutine's work; it returns when its context ends.
type duty struct {
	name string
	run  func(ctx context.Context) error
}

func (r *Runner) duties() []duty {
	plain := func(run func(context.Context)) func(context.Context) error {
		return func(ctx context.Context) error {
			run(ctx)
			return ctx.Err()
		}
	}
	list := []duty{
		{"callers", r.serveCallers},
		{"admin", r.serveAdmin},
		{"peers", func(ctx context.Context) error { return r.peerServer.Serve(ctx, r.peers) }},
		{"membership", plain(r.tracker.Run)},
		{"distribution", plain(r.distributor.Run)},
		{"manifest", r.committer.Run},
		{"claims", r.claimer.Run},
		{"probes", r.prober.Run},
		{"zone-controller", r.zone.Run},
		{"site-controller", r.site.Run},
		{"reports", plain(r.reports.run)},
		{"cache-events", plain(r.readHints)},
		{"upkeep", plain(r.upkeep)},
	}
	if r.keys != nil {
		list = append(list, duty{"keys", plain(func(ctx context.Context) {
			r.keys.Run(ctx, func(err error) { r.log.Warn("peer-tls not reloaded", "error", err) })
		})})
	}
	return list
}

// runDuty runs a duty and makes its early end the node's end (N6).
func (r *Runner) runDuty(ctx context.Context, d duty) error {
	err := d.run(ctx)
	if ctx.Err() != nil {
		return nil
	}
	if err == nil {
		err = errors.New("ended early")
	}
	r.log.Error("duty ended", "duty", d.name, "error", err)
	return errors.Wrapf(err, "duty %s", d.name)
}

// stop ends the node's calls as planned (N3).
func (r *Runner) stop(work, hurry context.Context) {
	r.stopping.Store(true)
	r.events.Record(garnetworks.Event{Kind: garnetworks.EventNodeStopping, Zone: r.self.Zone})
	r.tracker.SetReady(work, false)
	grace, cancel := context.WithTimeout(work, r.settings.DrainGrace)
	defer cancel()
	if hurry != nil {
		defer context.AfterFunc(hurry, cancel)()
	}
	if err := r.server.Drain(grace); err != nil {
		r.log.Warn("calls ended by the node", "error", err)
	}
	flush, cancelFlush := context.WithTimeout(work, flushBound)
	defer cancelFlush()
	if err := r.claimer.Flush(flush); err != nil {
		r.log.Warn("outcomes not recorded; later calls with their keys are answered as unknown", "error", err)
	}
	r.tracker.Leave(flush)
	r.log.Info("node stopped", "node", r.self.ID)
}

const (
	// flushBound bounds what a stopping node does after its last call.
	flushBound = 5 * time.Second
	// upkeepEvery is the time between two rounds of upkeep.
	upkeepEvery = 250 * time.Millisecond
)

// upkeep carries what changes slowly between the parts.
func (r *Runner) upkeep(ctx context.Context) {
	ticker := time.NewTicker(upkeepEvery)
	defer ticker.Stop()
	for {
		r.upkeepOnce(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (r *Runner) upkeepOnce(ctx context.Context) {
	now := time.Now()
	_, known := r.committer.Manifest()
	ready := known && !r.stopping.Load() // N2
	r.server.SetReady(ready)
	if r.tracker.Self().Ready != ready {
		r.tracker.SetReady(ctx, ready)
	}
	nodes := r.nodes()
	r.admitter.SetNodes(len(nodes))
	r.admitter.SetCapacity(r.router.Capacities(now))
	r.claimer.SetRoster(nodes)
	r.views.refresh(now, nodes)
	r.views.takeOwnWords(now)
	r.signs.Update(func(d *drainer.Drainer) { d.Expire(now) })
	r.zone.Lease().SetContenders(zoneNodes(nodes, r.self.Zone))
	r.site.Lease().SetContenders(zoneNodes(nodes, ""))
	r.meter.InFlight(r.server.InFlight())
	r.countTraffic()
	claims := r.claimer.Stats()
	r.meter.Upkeep(meter.Claims{
		Written:   claims.Writes,
		Conflicts: claims.Conflicts,
		Failed:    claims.Failures,
		Forwarded: claims.Forwarded,
		Owed:      claims.Owed,
		Refusing:  claims.Down,
	}, r.timeline.Overwritten(), r.prober.Dropped())
}

// nodes returns all known nodes, this one included.
func (r *Runner) nodes() []garnetworks.NodeInfo {
	peers := r.tracker.Peers()
	nodes := make([]garnetworks.NodeInfo, 0, len(peers)+1)
	nodes = append(nodes, peers...)
	return append(nodes, r.tracker.Self())
}

// zoneNodes returns the names of the zone's nodes, or of all if zone is empty.
func zoneNodes(nodes []garnetworks.NodeInfo, zone garnetworks.ZoneID) []garnetworks.NodeID {
	var ids []garnetworks.NodeID
	for _, n := range nodes {
		if zone == "" || n.Zone == zone {
			ids = append(ids, n.ID)
		}
	}
	return ids
}

func (r *Runner) serveCallers(ctx context.Context) error {
	s := r.server.HTTPServer()
	s.MaxHeaderBytes = r.settings.Limits.HeaderBytes
	s.ReadHeaderTimeout = r.settings.Limits.HeaderTime
	return serveHTTP(ctx, s, func() error {
		listener := limitConnections(r.callers, r.settings.Limits.Connections)
		if files := r.settings.CallerTLS; files.Enabled() {
			return s.ServeTLS(listener, files.Certificate, files.Key)
		}
		return s.Serve(listener)
	})
}

func (r *Runner) serveAdmin(ctx context.Context) error {
	s := &http.Server{Handler: r.adminHandler(), ReadHeaderTimeout: r.settings.Limits.HeaderTime}
	return serveHTTP(ctx, s, func() error { return s.Serve(r.admin) })
}

// serveHTTP serves until ctx ends; the calls have ended by then.
func serveHTTP(ctx context.Context, s *http.Server, serve func() error) error {
	stop := context.AfterFunc(ctx, func() { _ = s.Close() })
	defer stop()
	err := serve()
	if errors.Is(err, http.ErrServerClosed) {
		return ctx.Err()
	}
	return err
}
