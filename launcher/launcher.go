// Package launcher assembles and runs a node of a site where calls are proxied and
// the operators' routing comes from the object API. It starts the node's parts in
// order, and stops them in an order that loses no call.
//
//	J1  A node that stops first announces that it wants no new connections, then goes
//	    on serving until the balancer has noticed, then closes its listener, and
//	    ends when the calls in flight have their answers (rule G9). At the end of the grace
//	    period they are answered as lost, before their connections close.
//	J2  The lease is released before that, once no order is in flight, so that
//	    another node can go on forming groups.
package launcher

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"runtime/debug"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/apportioner"
	"github.com/garnetworks/garnetworks/carrier"
	"github.com/garnetworks/garnetworks/emitter"
	"github.com/garnetworks/garnetworks/exchanger"
	"github.com/garnetworks/garnetworks/fencer"
	"github.com/garnetworks/garnetworks/follower"
	"github.com/garnetworks/garnetworks/former"
	"github.com/garnetworks/garnetworks/gateway"
	"github.com/garnetworks/garnetworks/leaser"
	"github.com/garnetworks/garnetworks/meter"
	"github.com/garnetworks/garnetworks/quarantiner"
	"github.com/garnetworks/garnetworks/recorder"
	"github.com/garnetworks/garnetworks/relayer"
	"github.com/garnetworks/garnetworks/timekeeper"
)

const (
	// MetricsPort is the port where a node serves its metrics, at any path.
	// deploy/system.toml repeats it.
	MetricsPort = "9464"
	// leaseKey is the key of the lease of the node that forms groups.
	leaseKey = "leases/groups"
	// balancerNoticeTime is how long the balancer may take to notice that a node stops:
	// two readiness checks, a second apart, and some slack.
	balancerNoticeTime = 2500 * time.Millisecond
	// stopMargin is the part of the grace period left when connections are closed, and answerMargin
	// the time before that in which calls in flight are answered.
	stopMargin   = 300 * time.Millisecond
	answerMargin = 200 * time.Millisecond
	// heapFraction is the fraction of the node's memory that the heap may fill before
	// it is collected more often.
	heapFraction = 0.6
	// heapGrowth is the heap's growth between two collections, in percent. The live heap is
	// small, so collections are cheap and the node's memory stays low.
	heapGrowth = 150
	// sweepInterval is the interval at which unused connections are closed and metrics are
	// updated.
	sweepInterval = 2 * time.Second
	// contendersInterval is the interval at which the lease is told the known nodes, short
	// enough to replace a lost candidate in time. The first time is firstContendersDelay
	// after the start, within the lease delay of a starting node.
	contendersInterval   = 700 * time.Millisecond
	firstContendersDelay = 200 * time.Millisecond
)

// leaseSettings returns the lease's timing. Another node takes the lease over within about 3 s
// of its holder's loss. Groups that break meanwhile are not repaired until then.
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

// firstStartLeaseDelay is the time during which no node takes the lease after the site's first
// start. The nodes learn of each other meanwhile, and nothing can be ordered until servers have
// registered. A node that its zone's roster does not list by then knows too few others to rank
// itself, and waits for at most maxFirstStartLeaseDelay. restartLeaseDelay is the same for a node
// that starts later, so that it learns of the other candidates for the lease first.
const (
	firstStartLeaseDelay    = 1500 * time.Millisecond
	maxFirstStartLeaseDelay = 4 * time.Second
	restartLeaseDelay       = 250 * time.Millisecond
)

// firstStartReadDelay is how long a node doesn't read the quarantine records itself at the
// site's first start. Afterwards it knows which node reads for others; calls come later still.
const firstStartReadDelay = 2500 * time.Millisecond

// quarantineReadDelay returns how long a starting node doesn't read the quarantine records
// itself.
func quarantineReadDelay(site *garnetworks.NodeSettings) time.Duration {
	if !site.FirstStart {
		return 0
	}
	return firstStartReadDelay
}

// leaseDelay returns how long a starting node does not contend for the lease.
func leaseDelay(site *garnetworks.NodeSettings) time.Duration {
	if !site.FirstStart {
		return restartLeaseDelay
	}
	return maxFirstStartLeaseDelay
}

// Listeners accept calls, the balancer's readiness checks, other nodes' connections and
// requests for metrics.
type Listeners struct {
	Callers, Ready, Peers net.Listener
	// Metrics may be nil.
	Metrics net.Listener
}

// Options configures a node.
type Options struct {
	Site garnetworks.NodeSettings
	// Listeners replaces the site's addresses if Callers is set.
	Listeners Listeners
	// Program is the program's version, reported to other nodes.
	Program string
	Objects garnetworks.ObjectAPI
	Reader  garnetworks.SiteReader
	Calls   garnetworks.CallReader
	Proxy   garnetworks.CallProxy
	Orders  garnetworks.GroupOrders
	// BalancerTime, if above 0, replaces the time that the balancer may take to notice that
	// the node stops.
	BalancerTime time.Duration
	// Ready returns the handler of the balancer's readiness checks.
	Ready func(ready func() bool) http.Handler
	// Sweep closes unused connections.
	Sweep  func(now time.Time)
	Logger hclog.Logger
	// LinesDropped returns the number of log lines dropped so far; it may be nil.
	LinesDropped func() uint64
}

// Launcher runs a node.
type Launcher struct {
	options  Options
	follower *follower.Follower
	lease    *leaser.Lease
	former   *former.Former
	gateway  *gateway.Gateway
	// quarantine keeps calls that crash servers from reaching further servers.
	quarantine *quarantiner.Quarantiner
	peers      *peers
	meter      *meter.Meter
	recorder   *recorder.Recorder
	created    time.Time
	// connections bounds what the listeners' connections hold.
	connections *connections
}

// New assembles a node.
func New(options Options) (*Launcher, error) {
	site := &options.Site
	l := &Launcher{options: options, meter: meter.New(), recorder: recorder.New(site.Node, 0), created: time.Now()}
	l.connections = newConnections(l)
	events := l.meter.Recorder(emitter.Recorder(options.Logger, l.recorder))
	objects := fencer.New(l.meter.ObjectAPI(options.Objects), events)
	clocks := timekeeper.New()
	var err error
	prefixes := []relayer.Prefix{
		{Key: options.Reader.RoutingKey(), ApplyTime: site.Bounds.ApplyTime, Supersedes: newerRouting(options.Reader)},
		{Key: options.Reader.ServerPrefix(), ApplyTime: min(site.Bounds.ApplyTime, site.Bounds.LeavingTime)},
		{Key: options.Reader.EvacuationPrefix(), ApplyTime: site.Bounds.EvacuationTime},
	}
	if l.peers, err = newPeers(&options, objects, events, l.recorder, clocks.LastResume, prefixes, l.connections.activity); err != nil {
		return nil, err
	}
	l.follower = follower.New(follower.Options{
		Objects: l.peers.relayer, Confirmed: l.peers.relayer.Confirmed, Answered: l.peers.relayer.Answered, LastResume: clocks.LastResume, Reader: options.Reader, Recorder: events,
		Acting: func() bool { return l.peers.leading() }, Isolated: l.peers.relayer.Isolated,
		HeartbeatInterval: site.HeartbeatInterval,
	})
	l.lease, err = leaser.New(leaser.Options{
		Self: site.Node, Key: leaseKey, Objects: objects, Settings: leaseSettings(), Recorder: events, Zone: site.Zone, MilliCPU: site.MilliCPU,
		StartDelay: leaseDelay(site), FirstStart: site.FirstStart, SoleProcess: true,
	})
	if err != nil {
		return nil, err
	}
	l.peers.leading = func() bool { return l.lease.Term(time.Now()) != 0 }
	l.former = former.New(former.Options{
		Follower: l.follower, Orders: options.Orders, Lease: l.lease, Bounds: site.Bounds, FirstStart: site.FirstStart, Recorder: events,
		Progressing: func() garnetworks.Set[garnetworks.GroupID] { return l.gateway.Progressing() },
		ActiveNodes: func(group garnetworks.GroupID) int { return l.gateway.ActiveNodes(group) },
		Demands:     func() []garnetworks.ModelDemand { return l.gateway.Demands() },
		Apportioned: l.recordApportioned,
	})
	l.peers.inquirer = newInquirer(site.Node, l.peers.client, l.peers.tracker.Peers, l.former.Verdict, l.peers.leading)
	l.quarantine = quarantiner.New(quarantiner.Options{
		Probe: l.probeIncarnation, Objects: objects, IsReader: func() bool { return l.peers.exchanger.IsReader() }, Recorder: events,
		InitialReadDelay: quarantineReadDelay(site),
	})
	l.gateway = gateway.New(gateway.Options{
		Zone: site.Zone, Bounds: site.Bounds, Follower: l.follower, Reader: options.Calls, Proxy: options.Proxy,
		Meter: l.meter, Suspect: l.suspect, AskVerdict: l.peers.inquirer.ask, Quarantine: l.quarantine,
		Self: site.Node, Nodes: l.peers.tracker.Peers, Alone: knowsNoOther(site), MemoryBytes: site.MemoryBytes, Delegator: l.peers.carrier, Logger: options.Logger,
	})
	l.meter.RegisterRoutingAge(l.gateway.RoutingAge)
	l.peers.exchanger = exchanger.New(exchanger.Options{
		Peers: l.peers.client, Self: l.peers.tracker.Self, Nodes: l.peers.tracker.Peers,
		Load: l.loadReport, SetPeerLoad: l.setPeerLoad, Suspect: l.former.Suspect, Contents: l.quarantine,
		Observations: l.gateway.Observations, TakeOver: l.takeOver,
	})
	return l, nil
}

// knowsNoOther reports whether a node's settings name no other node of the site.
func knowsNoOther(site *garnetworks.NodeSettings) bool {
	return !slices.ContainsFunc(site.Seeds, func(address string) bool { return address != site.PeerAddress })
}

// loadReport returns the node's load and, if it holds the lease, its name and the groups known to
// be lost.
func (l *Launcher) loadReport() garnetworks.LoadReport {
	report := l.gateway.Load()
	report.Lost = l.former.Lost()
	if term := l.lease.Term(time.Now()); term != 0 {
		report.LeaseHolder, report.LeaseTerm = l.options.Site.Node, term
	}
	return report
}

// setPeerLoad passes the other nodes' load to the gateway. It adds the groups that this node
// knows to be lost, since the other nodes' reports do not contain them.
func (l *Launcher) setPeerLoad(others garnetworks.LoadReport, known bool) {
	others.Lost = append(slices.Clone(others.Lost), l.former.Lost()...)
	l.peers.inquirer.setHolder(others.LeaseHolder)
	l.gateway.SetPeerLoad(others, known)
}

// newerRouting returns a function that compares two routings by their versions.
func newerRouting(reader garnetworks.SiteReader) func(known, other garnetworks.Object) bool {
	return func(known, other garnetworks.Object) bool {
		k, knownErr := reader.ReadRouting(known.Value)
		o, otherErr := reader.ReadRouting(other.Value)
		return knownErr == nil && otherErr == nil && k.Version > o.Version
	}
}

// recordApportioned exports what the models of a service need; states is empty when this node does
// not form groups.
func (l *Launcher) recordApportioned(states []apportioner.ModelState) {
	if len(states) == 0 {
		l.meter.ForgetApportioned()
	}
	for _, s := range states {
		l.meter.Apportioned(s.Model, s.Needed, s.OnTime)
	}
}

// takeOver uses what the node at an address has observed, after a start of this one.
func (l *Launcher) takeOver(address string, observations garnetworks.Observations) {
	models := l.gateway.TakeOver(observations)
	age := int64(0)
	for i := range observations.Models {
		age = max(age, observations.Models[i].AgeMS)
	}
	l.options.Logger.Info(string(garnetworks.EventStateTakenOver), "source", address, "models", models, "age-ms", age, "after-ms", time.Since(l.created).Milliseconds())
}

// suspect reports a group that seems to make no progress to the other nodes and to the former,
// which acts only if this node holds the lease.
func (l *Launcher) suspect(group garnetworks.GroupID) {
	l.former.Suspect(group)
	l.peers.exchanger.Suspect(group)
}

// Reload applies changed bounds of the site. Addresses stay those of the start.
func (l *Launcher) Reload(bounds garnetworks.SiteBounds) {
	l.gateway.SetBounds(bounds)
	l.former.SetBounds(bounds)
}

// Run serves until stop is cancelled, and then until the calls in flight have ended.
func (l *Launcher) Run(stop context.Context) error {
	l.limitMemory()
	listeners, err := l.listen()
	if err != nil {
		return err
	}
	listeners = l.connections.accept(listeners, len(carrier.Prefix))
	serving, end := context.WithCancel(context.Background())
	defer end()
	tasks, serving := errgroup.WithContext(serving)
	tasks.Go(func() error { return ignoreCancelled(serving, l.follower.Run(serving)) })
	tasks.Go(func() error { return l.gateway.Run(serving) })
	tasks.Go(func() error { return l.quarantine.Run(serving) })
	tasks.Go(func() error { return l.runPeriodicTasks(serving) })
	tasks.Go(func() error { return l.connections.logEnded(serving) })
	delegated := l.connections.server(http.HandlerFunc(l.gateway.ServeDelegated))
	tasks.Go(func() error { return l.peers.run(serving, listeners.Peers, delegated) })
	tasks.Go(func() error { return l.formGroups(stop) })
	calls := l.connections.server(l.gateway)
	otherServers := []*http.Server{l.connections.server(l.options.Ready(l.gateway.Ready)), l.connections.server(l.meter.Handler())}
	for server, listener := range map[*http.Server]net.Listener{calls: listeners.Callers, otherServers[0]: listeners.Ready, otherServers[1]: listeners.Metrics} {
		if listener != nil {
			tasks.Go(func() error { return ignoreClosed(server.Serve(listener)) })
		}
	}
	tasks.Go(func() error {
		select {
		case <-stop.Done():
			l.stop(calls, delegated)
		case <-serving.Done():
		}
		end()
		for _, server := range append(otherServers, calls, delegated) {
			_ = server.Close() // the node ends
		}
		return nil
	})
	l.options.Logger.Info(string(garnetworks.EventNodeStarted), "zone", l.options.Site.Zone, "first-start", l.options.Site.FirstStart)
	err = tasks.Wait()
	l.options.Logger.Info("node-stopped", "error", err)
	return err
}

// limitMemory configures the garbage collector to keep within the node's memory.
func (l *Launcher) limitMemory() {
	debug.SetGCPercent(heapGrowth)
	if l.options.Site.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(float64(l.options.Site.MemoryBytes) * heapFraction))
	}
}

// listen opens listeners on the site's addresses, unless Options has them.
func (l *Launcher) listen() (Listeners, error) {
	if l.options.Listeners.Callers != nil {
		return l.options.Listeners, nil
	}
	callers, err := l.listenOn(l.options.Site.CallAddress, "callers")
	if err != nil {
		return Listeners{}, err
	}
	ready, err := l.listenOn(l.options.Site.ReadinessAddress, "readiness checks")
	if err != nil {
		return Listeners{}, err
	}
	peers, err := l.listenOn(l.options.Site.PeerAddress, "other nodes")
	if err != nil {
		return Listeners{}, err
	}
	metrics, err := l.listenOn(net.JoinHostPort(l.options.Site.IP, MetricsPort), "metrics")
	if err != nil {
		// A node whose metrics can't be served still serves calls.
		l.options.Logger.Error("metrics are not served", "error", err)
		metrics = nil
	}
	return Listeners{Callers: callers, Ready: ready, Peers: peers, Metrics: metrics}, nil
}

// formGroups runs the lease and the former until stop ends, and then releases the lease once no
// order is in flight (rule J2).
func (l *Launcher) formGroups(stop context.Context) error {
	leasing, release := context.WithCancel(context.Background())
	defer release()
	var tasks errgroup.Group
	tasks.Go(func() error { return l.lease.Run(leasing) })
	err := l.former.Run(stop)
	release()
	if e := tasks.Wait(); err == nil {
		err = e
	}
	return err
}

// stop announces the stop and ends the service of calls (rule J1).
func (l *Launcher) stop(calls ...*http.Server) {
	l.options.Logger.Info(string(garnetworks.EventNodeStopping), "grace", l.options.Site.Bounds.StopGrace.String())
	deadline := time.Now().Add(l.options.Site.Bounds.StopGrace - stopMargin)
	l.gateway.Stop()
	l.peers.leave(l.options.Logger)
	time.Sleep(min(cmp.Or(l.options.BalancerTime, balancerNoticeTime), l.options.Site.Bounds.StopGrace/2))
	end := deadline.Add(-answerMargin)
	l.gateway.Close(end)
	ending := time.AfterFunc(time.Until(end), func() { l.connections.endRequests(gateway.ErrStopped) })
	defer ending.Stop()
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	var stopping sync.WaitGroup
	for _, server := range calls {
		stopping.Go(func() {
			if err := server.Shutdown(ctx); err != nil {
				l.options.Logger.Warn("calls were in flight at the end of the grace period", "error", err)
				_ = server.Close() // the process ends
			}
		})
	}
	stopping.Wait()
}

// runPeriodicTasks closes unused connections, updates metrics and tells the lease the known
// nodes until ctx ends.
func (l *Launcher) runPeriodicTasks(ctx context.Context) error {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	started, contending := time.Now(), !l.options.Site.FirstStart
	contenders := time.NewTicker(firstContendersDelay)
	defer contenders.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-contenders.C:
			l.lease.SetContenders(l.peers.tracker.Peers())
			if !contending && l.peers.tracker.View().Listed && time.Since(started) >= firstStartLeaseDelay {
				l.lease.Begin()
				contending = true
			}
			contenders.Reset(contendersInterval)
		case now := <-ticker.C:
			l.options.Sweep(now)
			l.connections.report()
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

func ignoreCancelled(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return nil
	}
	return err
}
