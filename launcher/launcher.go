// Package launcher joins the parts of a node where calls are passed on whole and
// the operators' routing lies in the object API: it starts the duties in order,
// and ends them in the order that loses no call.
//
//	J1  A node that stops first says that it wants no new connections, then goes
//	    on serving until the balancer has heard it, then closes its listener, and
//	    ends when the calls in flight have their answers (rule G9).
//	J2  The lease is given up before that, once no order is in flight, so that
//	    another node can go on forming groups.
package launcher

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"runtime/debug"
	"slices"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/emitter"
	"github.com/garnetworks/garnetworks/exchanger"
	"github.com/garnetworks/garnetworks/follower"
	"github.com/garnetworks/garnetworks/former"
	"github.com/garnetworks/garnetworks/gateway"
	"github.com/garnetworks/garnetworks/leaser"
	"github.com/garnetworks/garnetworks/meter"
	"github.com/garnetworks/garnetworks/quarantiner"
	"github.com/garnetworks/garnetworks/recorder"
	"github.com/garnetworks/garnetworks/timekeeper"
)

const (
	// MetricsPort is where a node serves its metrics, at any path. deploy/system.toml
	// names it, too.
	MetricsPort = "9464"
	// leaseKey is the lease of the node that forms groups.
	leaseKey = "leases/groups"
	// balancerTime is how long the balancer may take to hear that a node stops:
	// two questions, a second apart, and some slack.
	balancerTime = 2500 * time.Millisecond
	// stopMargin is left of the grace period when calls in flight are given up.
	stopMargin = 300 * time.Millisecond
	// headerTime bounds a request's headers, above what routings allow, and
	// idleTime an unused connection of a client.
	headerTime = 10 * time.Second
	idleTime   = 60 * time.Second
	// headerBytes bounds a request's headers.
	headerBytes = 64 << 10
	// memoryPart is the part of the node's memory that the heap may fill before
	// it is collected more often.
	memoryPart = 0.6
	// heapGrowth is how far the heap grows between two collections, in percent.
	// The live heap is a few MB, so that a collection costs little, and more of them
	// halve the memory that a node holds.
	heapGrowth = 150
	// sweepEvery is how often unused connections and the nodes that contend for the
	// lease are looked through.
	sweepEvery = 2 * time.Second
	// contendersEvery is how often the lease is told which nodes there are: soon enough
	// for a candidate that is lost. It is told first after firstContenders, before the
	// patience of a node that starts is over.
	contendersEvery = 700 * time.Millisecond
	firstContenders = 200 * time.Millisecond
)

// leaseSettings pass the lease on within about 3 s of its holder's loss. A group
// is lost every few seconds at worst, and nobody mends it meanwhile.
func leaseSettings() leaser.Settings {
	return leaser.Settings{
		Duration:         2400 * time.Millisecond,
		RenewInterval:    800 * time.Millisecond,
		OrderBound:       600 * time.Millisecond,
		DriftBound:       50 * time.Millisecond,
		ReadInterval:     time.Second,
		RareReadInterval: time.Minute,
	}
}

// firstPatience is how long no node takes the lease after the site's first start. Nodes
// know of each other within a second; servers register for some seconds, so that nothing
// is ordered in that time anyway. startPatience is the same for a node that starts later:
// it hears of the others, who may come before it.
const (
	firstPatience = 1500 * time.Millisecond
	startPatience = 250 * time.Millisecond
)

// firstQuarantineRead is how long the node leaves the records of calls under which servers
// ended to others at the site's first start: it knows by then who reads for others, and
// calls come much later.
const firstQuarantineRead = 2500 * time.Millisecond

// firstRead returns how long a node that starts leaves those records to others.
func firstRead(site *garnetworks.NodeSettings) time.Duration {
	if !site.FirstStart {
		return 0
	}
	return firstQuarantineRead
}

// patience returns how long a node that starts leaves the lease to others.
func patience(site *garnetworks.NodeSettings) time.Duration {
	if !site.FirstStart {
		return startPatience
	}
	return firstPatience
}

// Listeners take calls, the balancer's questions and the operators' reading of
// metrics.
type Listeners struct {
	Callers, Ready, Peers net.Listener
	// Metrics may be nil.
	Metrics net.Listener
}

// Options are what a node consists of.
type Options struct {
	Site garnetworks.NodeSettings
	// Listeners replaces the site's addresses where it is set.
	Listeners Listeners
	// Program is the program's version, as nodes tell each other.
	Program string
	Objects garnetworks.ObjectAPI
	Reader  garnetworks.SiteReader
	Calls   garnetworks.CallReader
	Passer  garnetworks.CallProxy
	Orders  garnetworks.GroupOrders
	// BalancerTime replaces the time that the balancer may take to hear that the node
	// stops, if it is above 0.
	BalancerTime time.Duration
	// Ready makes the handler of the balancer's question.
	Ready func(ready func() bool) http.Handler
	// Sweep closes unused connections.
	Sweep  func(now time.Time)
	Logger hclog.Logger
	// LinesDropped returns the number of log lines dropped so far; it may be nil.
	LinesDropped func() uint64
}

// Launcher is a node.
type Launcher struct {
	options  Options
	follower *follower.Follower
	lease    *leaser.Lease
	former   *former.Former
	gateway  *gateway.Gateway
	// quarantine keeps calls under which servers end from other servers.
	quarantine *quarantiner.Quarantiner
	peers      *peers
	meter      *meter.Meter
	recorder   *recorder.Recorder
}

// New joins the parts.
func New(options Options) (*Launcher, error) {
	site := &options.Site
	l := &Launcher{options: options, meter: meter.New(), recorder: recorder.New(site.Node, 0)}
	events := l.meter.Recorder(emitter.Recorder(options.Logger, l.recorder))
	objects := l.meter.ObjectAPI(options.Objects)
	clocks := timekeeper.New()
	var err error
	prefixes := []string{options.Reader.RoutingKey(), options.Reader.ServerPrefix()}
	if l.peers, err = newPeers(&options, objects, events, l.recorder, clocks.Woke, prefixes); err != nil {
		return nil, err
	}
	l.follower = follower.New(follower.Options{
		Objects: l.peers.relayer, Confirmed: l.peers.relayer.Confirmed, LastResume: clocks.Woke, Reader: options.Reader, Recorder: events,
		Acting: func() bool { return l.peers.leading() }, Alone: l.peers.relayer.Isolated,
	})
	l.lease, err = leaser.New(leaser.Options{
		Self: site.Node, Key: leaseKey, Objects: objects, Settings: leaseSettings(), Recorder: events, Zone: site.Zone, MilliCPU: site.MilliCPU,
		StartDelay: patience(site),
	})
	if err != nil {
		return nil, err
	}
	l.peers.leading = func() bool { return l.lease.Term(time.Now()) != 0 }
	l.former = former.New(former.Options{
		Follower: l.follower, Orders: options.Orders, Lease: l.lease, Bounds: site.Bounds, FirstStart: site.FirstStart, Recorder: events,
		Progressing: func() garnetworks.Set[garnetworks.GroupID] { return l.gateway.Progressing() },
		Demand:      func() map[garnetworks.ModelName]float64 { return l.gateway.OfferedLoad() },
	})
	l.quarantine = quarantiner.New(quarantiner.Options{
		Probe: l.prove, Objects: objects, Reads: func() bool { return l.peers.exchanger.IsReader() }, Recorder: events,
		InitialReadDelay: firstRead(site),
	})
	l.gateway = gateway.New(gateway.Options{
		Zone: site.Zone, Bounds: site.Bounds, Follower: l.follower, Reader: options.Calls, Proxy: options.Passer,
		Meter: l.meter, Suspect: l.suspect, Quarantine: l.quarantine, Logger: options.Logger,
	})
	l.meter.RegisterRoutingAge(l.gateway.RoutingAge)
	l.peers.exchanger = exchanger.New(exchanger.Options{
		Peers: l.peers.client, Self: l.peers.tracker.Self, Nodes: l.peers.tracker.Peers,
		Load: l.load, SetPeerLoad: l.takeOthers, Suspect: l.former.Suspect, Contents: l.quarantine,
	})
	return l, nil
}

// load is what the node tells of its calls, and as the holder of the lease of lost groups.
func (l *Launcher) load() garnetworks.LoadReport {
	report := l.gateway.Load()
	report.Lost = l.former.Lost()
	return report
}

// takeOthers takes what the other nodes tell. What the node itself tells of lost groups is
// not among it.
func (l *Launcher) takeOthers(others garnetworks.LoadReport, known bool) {
	others.Lost = append(slices.Clone(others.Lost), l.former.Lost()...)
	l.gateway.SetPeerLoad(others, known)
}

// suspect tells of a group that seems to stand still: the node itself, which may
// hold the lease, and the others.
func (l *Launcher) suspect(group garnetworks.GroupID) {
	l.former.Suspect(group)
	l.peers.exchanger.Suspect(group)
}

// Reload takes the site's bounds from settings that have changed. Addresses stay
// those of the start.
func (l *Launcher) Reload(bounds garnetworks.SiteBounds) {
	l.gateway.SetBounds(bounds)
	l.former.SetBounds(bounds)
}

// Run serves until stop ends, and then until the calls in flight have ended.
func (l *Launcher) Run(stop context.Context) error {
	l.limitMemory()
	listeners, err := l.listen()
	if err != nil {
		return err
	}
	serving, end := context.WithCancel(context.Background())
	defer end()
	duties, serving := errgroup.WithContext(serving)
	duties.Go(func() error { return ignoreEnd(serving, l.follower.Run(serving)) })
	duties.Go(func() error { return l.gateway.Run(serving) })
	duties.Go(func() error { return l.quarantine.Run(serving) })
	duties.Go(func() error { return l.sweep(serving) })
	duties.Go(func() error { return l.peers.run(serving, listeners.Peers) })
	duties.Go(func() error { return l.lead(stop) })
	calls := l.server(l.gateway)
	calls.IdleTimeout = idleTime
	others := []*http.Server{l.server(l.options.Ready(l.gateway.Ready)), l.server(l.meter.Handler())}
	for server, listener := range map[*http.Server]net.Listener{calls: listeners.Callers, others[0]: listeners.Ready, others[1]: listeners.Metrics} {
		if listener != nil {
			duties.Go(func() error { return ignoreClosed(server.Serve(listener)) })
		}
	}
	duties.Go(func() error {
		select {
		case <-stop.Done():
			l.stop(calls)
		case <-serving.Done():
		}
		end()
		for _, server := range append(others, calls) {
			_ = server.Close() // the node ends
		}
		return nil
	})
	l.options.Logger.Info(string(garnetworks.EventNodeStarted), "zone", l.options.Site.Zone, "first-start", l.options.Site.FirstStart)
	err = duties.Wait()
	l.options.Logger.Info("node-stopped", "error", err)
	return err
}

// limitMemory makes the runtime collect within the node's memory.
func (l *Launcher) limitMemory() {
	debug.SetGCPercent(heapGrowth)
	if l.options.Site.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(float64(l.options.Site.MemoryBytes) * memoryPart))
	}
}

// server returns an HTTP server with the node's bounds.
func (l *Launcher) server(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTime, MaxHeaderBytes: headerBytes,
		// A handler that panics shows as a closed connection and in this log only.
		ErrorLog: l.options.Logger.Named("http").StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Warn}),
	}
}

// listen opens the site's addresses.
func (l *Launcher) listen() (Listeners, error) {
	if l.options.Listeners.Callers != nil {
		return l.options.Listeners, nil
	}
	callers, err := net.Listen("tcp4", l.options.Site.CallAddress)
	if err != nil {
		return Listeners{}, garnetworks.WrapError(garnetworks.KindInvalidSettings, err, "the callers' address can't be listened on")
	}
	ready, err := net.Listen("tcp4", l.options.Site.ReadinessAddress)
	if err != nil {
		return Listeners{}, garnetworks.WrapError(garnetworks.KindInvalidSettings, err, "the balancer's address can't be listened on")
	}
	peers, err := net.Listen("tcp4", l.options.Site.PeerAddress)
	if err != nil {
		return Listeners{}, garnetworks.WrapError(garnetworks.KindInvalidSettings, err, "the address for other nodes can't be listened on")
	}
	metrics, err := net.Listen("tcp4", net.JoinHostPort(l.options.Site.IP, MetricsPort))
	if err != nil {
		// A node that can't show its metrics still serves.
		l.options.Logger.Error("metrics are not served", "error", err)
		metrics = nil
	}
	return Listeners{Callers: callers, Ready: ready, Peers: peers, Metrics: metrics}, nil
}

// lead forms groups while the node holds the lease, and gives the lease up once
// no order is in flight (rule J2).
func (l *Launcher) lead(stop context.Context) error {
	leasing, release := context.WithCancel(context.Background())
	defer release()
	var duties errgroup.Group
	duties.Go(func() error { return l.lease.Run(leasing) })
	err := l.former.Run(stop)
	release()
	if e := duties.Wait(); err == nil {
		err = e
	}
	return err
}

// stop ends the service of callers (rule J1).
func (l *Launcher) stop(calls *http.Server) {
	l.options.Logger.Info(string(garnetworks.EventNodeStopping), "grace", l.options.Site.Bounds.StopGrace.String())
	deadline := time.Now().Add(l.options.Site.Bounds.StopGrace - stopMargin)
	l.gateway.Stop()
	l.peers.leave(l.options.Logger)
	time.Sleep(min(cmp.Or(l.options.BalancerTime, balancerTime), l.options.Site.Bounds.StopGrace/2))
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	if err := calls.Shutdown(ctx); err != nil {
		l.options.Logger.Warn("calls were in flight at the end of the grace period", "error", err)
		_ = calls.Close() // the process ends
	}
}

// sweep does what is due now and then.
func (l *Launcher) sweep(ctx context.Context) error {
	ticker := time.NewTicker(sweepEvery)
	defer ticker.Stop()
	contenders := time.NewTicker(firstContenders)
	defer contenders.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-contenders.C:
			l.lease.SetContenders(l.peers.tracker.Peers())
			contenders.Reset(contendersEvery)
		case now := <-ticker.C:
			l.options.Sweep(now)
			l.meter.QuarantinedContents(l.quarantine.Count())
			if l.options.LinesDropped != nil {
				l.meter.LinesDropped(l.options.LinesDropped())
			}
		}
	}
}

func ignoreClosed(err error) error {
	if err == http.ErrServerClosed {
		return nil
	}
	return err
}

func ignoreEnd(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return nil
	}
	return err
}
