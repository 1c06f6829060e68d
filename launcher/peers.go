package launcher

import (
	"context"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"
	"storj.io/drpc/drpcmigrate"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/carrier"
	"github.com/garnetworks/garnetworks/distributor"
	"github.com/garnetworks/garnetworks/exchanger"
	"github.com/garnetworks/garnetworks/fencer"
	"github.com/garnetworks/garnetworks/messenger"
	"github.com/garnetworks/garnetworks/recorder"
	"github.com/garnetworks/garnetworks/relayer"
	"github.com/garnetworks/garnetworks/tracker"
)

// peers handles a node's communication with other nodes: membership, distribution of
// rosters, reading the object API for others, and the exchange of load reports.
type peers struct {
	self        garnetworks.NodeInfo
	timeline    *recorder.Recorder
	client      *messenger.Client
	server      *messenger.Server
	distributor *distributor.Distributor
	tracker     *tracker.Tracker
	relayer     *relayer.Relayer
	exchanger   *exchanger.Exchanger
	// carrier hands clients' calls to other nodes.
	carrier *carrier.Client
	// leading reports whether the node holds the lease.
	leading func() bool
	// inquirer asks the lease holder for verdicts on groups.
	inquirer *inquirer
}

// newPeers assembles the parts. The caller sets exchanger, leading and inquirer before use.
func newPeers(options *Options, objects *fencer.Fencer, events garnetworks.Recorder, timeline *recorder.Recorder, lastResume func(time.Time) time.Time, prefixes []relayer.Prefix, activity func(net.Addr) (messenger.Activity, bool)) (*peers, error) {
	site := &options.Site
	p := &peers{
		timeline: timeline,
		self: garnetworks.NodeInfo{
			ID: site.Node, Incarnation: uint64(time.Now().UnixNano()), Address: site.PeerAddress, Zone: site.Zone, Region: site.Region, Program: options.Program,
			MilliCPU: site.MilliCPU,
		},
	}
	p.carrier = carrier.NewClient()
	p.client = messenger.NewClient(messenger.ClientOptions{Clock: timeline, Recorder: events})
	log := func(message string) func(error) {
		return func(err error) { options.Logger.Debug(message, "error", err) }
	}
	p.distributor = distributor.New(distributor.Options{
		Self: p.self, Peers: p.client,
		Nodes: func() []garnetworks.NodeInfo { return p.tracker.Peers() },
		Apply: func(u garnetworks.Update) { p.tracker.Apply(context.Background(), u) },
		Log:   log("distribution"),
	})
	p.tracker = tracker.New(tracker.Options{
		Self: p.self, Seeds: site.Seeds, FirstStart: site.FirstStart, Objects: objects, Peers: p.client, Recorder: events,
		Publish: p.distributor.Publish, Hold: p.distributor.Hold,
		Piggybackers: []tracker.Piggybacker{p.distributor}, Log: log("membership"),
	})
	p.relayer = relayer.New(relayer.Options{Objects: objects, Peers: p.client, Relays: p.relaysFor(options.Reader.ServerPrefix()), Fallbacks: p.fallbacks, Chained: p.hasMultipleCells, LastResume: lastResume, Observe: objects.Observe, Prefixes: prefixes, FirstStart: site.FirstStart, Unjudged: func(prefix string) {
		options.Logger.Warn("no other node could tell whether the object API's copy is older than what was acknowledged", "prefix", prefix)
	}})
	objects.OnNewEra(func() { p.tracker.HandleNewEra(context.Background()) })
	var err error
	p.server, err = messenger.NewServer(messenger.ServerOptions{Handler: &peerHandler{p}, Clock: timeline, Log: log("peer call"), Activity: activity})
	return p, err
}

// relaysFor returns a function for the nodes to read a prefix through. The lease holder reads
// the servers directly, because it acts on them and each relay adds delay.
func (p *peers) relaysFor(serverPrefix string) func(prefix string) []string {
	return func(prefix string) []string {
		if prefix == serverPrefix && p.leading() {
			return nil
		}
		return p.findUpstream().Relays
	}
}

// fallbacks returns further nodes to ask when neither the relays nor the object API answer;
// for the lease holder these include the relays.
func (p *peers) fallbacks() (near, far []string) {
	u := p.findUpstream()
	if p.leading() {
		return slices.Concat(u.Relays, u.Near), u.Far
	}
	return u.Near, u.Far
}

func (p *peers) findUpstream() *exchanger.Upstream { return &p.exchanger.Topology().Upstream }

// hasMultipleCells reports whether data from the region's reader passes through two nodes.
func (p *peers) hasMultipleCells() bool { return p.findUpstream().MultipleCells }

// run serves and calls other nodes until ctx ends; calls serves the calls that they hand over.
func (p *peers) run(ctx context.Context, listener net.Listener, calls *http.Server) error {
	tasks, ctx := errgroup.WithContext(ctx)
	mux := drpcmigrate.NewListenMux(listener, len(carrier.Prefix))
	callListener := mux.Route(carrier.Prefix)
	tasks.Go(func() error { return ignoreCancelled(ctx, mux.Run(ctx)) })
	tasks.Go(func() error { return ignoreCancelled(ctx, ignoreClosed(calls.Serve(callListener))) })
	tasks.Go(func() error { return p.server.Serve(ctx, mux.Default()) })
	tasks.Go(func() error { p.distributor.Run(ctx); return nil })
	tasks.Go(func() error { p.tracker.Run(ctx); return nil })
	tasks.Go(func() error { return p.exchanger.Run(ctx) })
	err := tasks.Wait()
	p.client.Close()
	p.carrier.Close()
	return err
}

// leave announces that this node stops, so that no other node waits for it.
func (p *peers) leave(logger hclog.Logger) {
	const timeout = 300 * time.Millisecond
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	p.tracker.Leave(ctx)
	logger.Debug("announced the stop to other nodes")
}

// peerHandler handles other nodes' requests. It refuses manifests, since the routing comes from
// the object API.
type peerHandler struct{ *peers }

// Heartbeat implements garnetworks.PeerHandler.
func (h *peerHandler) Heartbeat(_ context.Context, request *garnetworks.HeartbeatRequest) (*garnetworks.HeartbeatResponse, error) {
	response, err := h.tracker.HandleHeartbeat(request)
	if err != nil {
		return nil, err
	}
	response.At = h.timeline.Now()
	return response, nil
}

// Distribute implements garnetworks.PeerHandler.
func (h *peerHandler) Distribute(_ context.Context, request *garnetworks.DistributeRequest) (*garnetworks.DistributeResponse, error) {
	response := h.distributor.Handle(request)
	response.At = h.timeline.Now()
	return response, nil
}

// Fetch implements garnetworks.PeerHandler.
func (h *peerHandler) Fetch(_ context.Context, request *garnetworks.FetchRequest) (*garnetworks.FetchResponse, error) {
	response := h.distributor.HandleFetch(request)
	response.At = h.timeline.Now()
	return response, nil
}

// Events implements garnetworks.PeerHandler.
func (h *peerHandler) Events(_ context.Context, request *garnetworks.EventsRequest) (*garnetworks.EventsResponse, error) {
	return h.timeline.Handle(request), nil
}

// Status implements garnetworks.PeerHandler.
func (h *peerHandler) Status(context.Context, *garnetworks.StatusRequest) (*garnetworks.StatusResponse, error) {
	response := &garnetworks.StatusResponse{At: h.timeline.Now(), Node: h.tracker.Self()}
	for _, roster := range h.tracker.View().Rosters {
		response.Rosters = append(response.Rosters, roster)
	}
	return response, nil
}

var errNoManifests = garnetworks.Errorf(garnetworks.KindInvalidRequest, "this site's routing comes from the object API; nodes take no manifests")

// Propose implements garnetworks.PeerHandler.
func (h *peerHandler) Propose(context.Context, *garnetworks.ProposeRequest) (*garnetworks.ProposeResponse, error) {
	return nil, errNoManifests
}

// Progress implements garnetworks.PeerHandler.
func (h *peerHandler) Progress(context.Context, *garnetworks.ProgressRequest) (*garnetworks.ProgressResponse, error) {
	return nil, errNoManifests
}

// Report implements garnetworks.PeerHandler.
func (h *peerHandler) Report(context.Context, *garnetworks.ReportRequest) (*garnetworks.ReportResponse, error) {
	return nil, errNoManifests
}

// Follow implements garnetworks.FollowHandler.
func (h *peerHandler) Follow(ctx context.Context, request *garnetworks.FollowRequest) (*garnetworks.FollowResponse, error) {
	response, err := h.relayer.Follow(ctx, request)
	if err != nil {
		return nil, err
	}
	response.At = h.timeline.Now()
	return response, nil
}

// Exchange implements garnetworks.ExchangeHandler.
func (h *peerHandler) Exchange(ctx context.Context, request *garnetworks.ExchangeRequest) (*garnetworks.ExchangeResponse, error) {
	response, err := h.exchanger.Exchange(ctx, request)
	if err != nil {
		return nil, err
	}
	response.At = h.timeline.Now()
	return response, nil
}

// Verdicts implements garnetworks.VerdictHandler.
func (h *peerHandler) Verdicts(ctx context.Context, request *garnetworks.VerdictRequest) (*garnetworks.VerdictResponse, error) {
	response, err := h.inquirer.handle(ctx, request)
	if err != nil {
		return nil, err
	}
	response.At = h.timeline.Now()
	return response, nil
}
