// Package runner builds the components of an entry node and runs its duties, each in its
// own goroutine, until the node is stopped.
//
// The rules:
//
//	N1  Every node runs the same duties. The zone and site controllers run on each
//	    node and act only on the node that holds their lease.
//	N2  A node is ready once it knows the manifest in force. It reports this to the
//	    load balancer and to its peers, and withdraws it first when it stops.
//	N3  A planned stop withdraws readiness, lets calls in flight finish within the
//	    grace period, records what is left to record, releases leases, and only
//	    then closes the connections. A second signal ends the grace period.
//	N4  The nodes of a zone report their demand and slow groups to the zone's
//	    controller periodically, less often in larger zones. The response carries
//	    the node's shares of the limits.
//	N5  A node that receives neither a fresh pulse of its own zone nor another
//	    node's probe results for PulseTimeout is isolated and probes all engines
//	    of the zone itself, so that its router can rely on its own results (rule
//	    G1). While only the controller is being replaced, the shared probes
//	    suffice.
//	N6  A duty that ends before the node is stopped ends the node, because a node
//	    that works only partly is worse than one that gets replaced.
package runner

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/acceptor"
	"github.com/garnetworks/garnetworks/admitter"
	"github.com/garnetworks/garnetworks/claimer"
	"github.com/garnetworks/garnetworks/committer"
	"github.com/garnetworks/garnetworks/configurer"
	"github.com/garnetworks/garnetworks/controller"
	"github.com/garnetworks/garnetworks/distributor"
	"github.com/garnetworks/garnetworks/drainer"
	"github.com/garnetworks/garnetworks/evictor"
	"github.com/garnetworks/garnetworks/fencer"
	"github.com/garnetworks/garnetworks/forwarder"
	"github.com/garnetworks/garnetworks/messenger"
	"github.com/garnetworks/garnetworks/meter"
	"github.com/garnetworks/garnetworks/prober"
	"github.com/garnetworks/garnetworks/quarantiner"
	"github.com/garnetworks/garnetworks/recorder"
	"github.com/garnetworks/garnetworks/router"
	"github.com/garnetworks/garnetworks/server"
	"github.com/garnetworks/garnetworks/tracker"
)

// Options configure a Runner.
type Options struct {
	Settings configurer.Settings
	// Logger may be nil.
	Logger hclog.Logger
	// Platform replaces the HTTP clients made from the settings; embedders and tests set it.
	Platform garnetworks.Option[Platform]
	// Network replaces TCP; tests set it to simulate partitions.
	Network garnetworks.Option[Network]
	// Program is the version of the program.
	Program string
	// LameDuck is how long a stopping node still accepts calls after withdrawing its
	// readiness.
	LameDuck time.Duration
}

// Network opens the node's listeners and its connections to peers.
type Network interface {
	Listen(address string) (net.Listener, error)
	Dial(ctx context.Context, address string) (net.Conn, error)
}

// Platform holds the clients of everything outside the node that it calls.
type Platform struct {
	Objects   garnetworks.ObjectAPI
	Instances garnetworks.InstanceList
	Power     garnetworks.PowerSwitch
	Weights   garnetworks.WeightStore
	Orders    garnetworks.EngineOrders
	// Probes reads the status of engines over a new connection each time.
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
	// evictor bounds what the connections of callers, other nodes and for checks hold.
	evictor *evictor.Evictor
	// peerListener is peers with these bounds.
	peerListener *acceptor.Listener

	meter       *meter.Meter
	timeline    *recorder.Recorder
	objects     *fencer.Fencer
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
	quarantine  *quarantiner.Quarantiner
	server      *server.Server
	zone        *controller.Zone
	site        *controller.Site

	// leaving tracks which backend servers are leaving.
	leaving *drainer.Shared
	views   *views
	reports *reports
	listed  *listCache

	// lastExpiry is when unreported servers were last removed from the drain state; only
	// upkeep uses it.
	lastExpiry time.Time
	// reportedTraffic is the traffic already added to the metrics; only upkeep uses it.
	reportedTraffic messenger.TrafficCount

	objectsDown atomic.Bool
	stopping    atomic.Bool
	superseded  chan struct{}
}

// New opens the node's listeners and builds its components; Run starts them.
func New(options Options) (*Runner, error) {
	r := &Runner{
		settings:   options.Settings,
		log:        options.Logger,
		superseded: make(chan struct{}),
	}
	if r.log == nil {
		r.log = hclog.NewNullLogger()
	}
	r.evictor = r.newEvictor()
	if err := r.listen(options.Network); err != nil {
		return nil, err
	}
	r.meter = meter.New()
	r.timeline = recorder.New(r.settings.Node, r.settings.EventRing)
	r.events = r.meter.Recorder(r.timeline)
	r.platform = options.Platform.Or(connect(r.settings))
	r.objects = fencer.New(meter.Observe(r.meter.ObjectAPI(r.platform.Objects), r.observeObjectAPI), r.events)
	r.platform.Objects = r.objects
	r.self = r.describe(options.Program)
	if err := r.build(options); err != nil {
		r.closeListeners()
		return nil, err
	}
	return r, nil
}

// Addresses are the addresses the node listens on.
type Addresses struct {
	Callers, Peers, Admin string
}

// Addresses returns the addresses of the bound listeners.
func (r *Runner) Addresses() Addresses {
	return Addresses{
		Callers: r.callers.Addr().String(),
		Peers:   r.peers.Addr().String(),
		Admin:   r.admin.Addr().String(),
	}
}

// describe returns the node's description. The start time serves as incarnation: it
// grows with each start of the process, also on another instance, as long as clock skew
// is smaller than the time a replacement takes. The tracker raises it above any higher one
// that it finds.
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

// Run runs the node until ctx ends, and then stops it as planned. The end of forceStop ends
// the grace period; forceStop may be nil.
func (r *Runner) Run(ctx, forceStop context.Context) error {
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
	r.stop(work, forceStop)
	stopWork()
	if err := group.Wait(); err != nil && !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}

// duty is the work of one goroutine; run returns when its context ends.
type duty struct {
	name string
	run  func(ctx context.Context) error
}

func (r *Runner) duties() []duty {
	noError := func(run func(context.Context)) func(context.Context) error {
		return func(ctx context.Context) error {
			run(ctx)
			return ctx.Err()
		}
	}
	list := []duty{
		{"callers", r.serveCallers},
		{"admin", r.serveAdmin},
		{"peers", r.servePeers},
		{"membership", noError(r.tracker.Run)},
		{"distribution", noError(r.distributor.Run)},
		{"manifest", r.committer.Run},
		{"claims", r.claimer.Run},
		{"quarantine", r.quarantine.Run},
		{"probes", r.prober.Run},
		{"zone-controller", r.zone.Run},
		{"site-controller", r.site.Run},
		{"reports", noError(r.reports.run)},
		{"cache-events", noError(r.readHints)},
		{"upkeep", noError(r.upkeep)},
	}
	if r.keys != nil {
		list = append(list, duty{"keys", noError(func(ctx context.Context) {
			r.keys.Run(ctx, func(err error) { r.log.Warn("peer-tls not reloaded", "error", err) })
		})})
	}
	return list
}

// runDuty runs a duty and returns an error if it ends before ctx does (N6).
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

// stop performs a planned stop (N3).
func (r *Runner) stop(work, forceStop context.Context) {
	r.stopping.Store(true)
	r.events.Record(garnetworks.Event{Kind: garnetworks.EventNodeStopping, Zone: r.self.Zone})
	r.tracker.SetReady(work, false)
	grace, cancel := context.WithTimeout(work, r.settings.DrainGrace)
	defer cancel()
	if forceStop != nil {
		defer context.AfterFunc(forceStop, cancel)()
	}
	if err := r.server.Drain(grace); err != nil {
		r.log.Warn("calls ended by the node", "error", err)
	}
	flush, cancelFlush := context.WithTimeout(work, flushTimeout)
	defer cancelFlush()
	if err := r.claimer.Flush(flush); err != nil {
		r.log.Warn("outcomes not recorded; later calls with their keys are answered as unknown", "error", err)
	}
	r.tracker.Leave(flush)
	r.log.Info("node stopped", "node", r.self.ID)
}
