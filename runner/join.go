package runner

import (
	"context"
	"net"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/admitter"
	"github.com/garnetworks/garnetworks/claimer"
	"github.com/garnetworks/garnetworks/committer"
	"github.com/garnetworks/garnetworks/distributor"
	"github.com/garnetworks/garnetworks/drainer"
	"github.com/garnetworks/garnetworks/forwarder"
	"github.com/garnetworks/garnetworks/keymaker"
	"github.com/garnetworks/garnetworks/messenger"
	"github.com/garnetworks/garnetworks/prober"
	"github.com/garnetworks/garnetworks/quarantiner"
	"github.com/garnetworks/garnetworks/router"
	"github.com/garnetworks/garnetworks/server"
	"github.com/garnetworks/garnetworks/tracker"
	"github.com/garnetworks/garnetworks/watcher"
)

// build creates the components in the order of their dependencies.
func (r *Runner) build(options Options) error {
	r.client = messenger.NewClient(clientOptions(r, options.Network))
	r.router = router.New(router.Options{Node: r.self.ID, Zone: r.self.Zone})
	r.admitter = admitter.New(admitter.Options{Node: r.self.ID})
	r.claimer = claimer.New(claimer.Options{
		Node:      r.self,
		API:       r.platform.Objects,
		Forwarder: garnetworks.Some[claimer.Forwarder](claimer.PeerForwarder{Peers: r.client}),
		Recorder:  r.events,
	})
	r.objects.OnNewEra(r.claimer.HandleNewEra)
	r.prober = prober.New(prober.Options{
		Node:     r.self.ID,
		Peers:    garnetworks.Some[garnetworks.ConfirmCaller](r.client),
		Orders:   r.platform.Orders,
		Recorder: r.events,
	})
	r.leaving = drainer.NewShared(drainer.Options{})
	r.views = newViews(r)
	r.reports = newReports(r)
	r.buildMembership()
	r.buildCallHandling(options)
	if err := r.buildControllers(); err != nil {
		return err
	}
	var err error
	r.peerServer, err = messenger.NewServer(messenger.ServerOptions{
		Handler:  &peerHandler{r},
		Keys:     r.keys,
		Clock:    r.timeline,
		Traffic:  &r.traffic,
		Log:      func(err error) { r.log.Debug("peer call", "error", err) },
		Activity: func(client net.Addr) (messenger.Activity, bool) { return r.peerListener.Find(client) },
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

func (r *Runner) buildMembership() {
	r.distributor = distributor.New(distributor.Options{
		Self:  r.self,
		Peers: r.client,
		Nodes: func() []garnetworks.NodeInfo { return r.tracker.Peers() },
		Apply: r.apply,
		Log:   func(err error) { r.log.Debug("distribution", "error", err) },
	})
	r.tracker = tracker.New(tracker.Options{
		Self:         r.self,
		Seeds:        r.settings.Seeds,
		Objects:      r.platform.Objects,
		Peers:        r.client,
		Recorder:     r.events,
		Publish:      r.distributor.Publish,
		Hold:         r.distributor.Hold,
		Piggybackers: []tracker.Piggybacker{r.distributor},
		Superseded:   func() { close(r.superseded) },
		Log:          func(err error) { r.log.Warn("membership", "error", err) },
	})
	r.objects.OnNewEra(func() { r.tracker.HandleNewEra(context.Background()) })
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
		OnApplied:   r.applied,
		Recorder:    r.events,
		Logger:      r.log.Named("committer"),
		Clock:       r.timeline.Now,
	})
}

func (r *Runner) buildCallHandling(options Options) {
	r.quarantine = quarantiner.New(quarantiner.Options{
		Probe: r.probeCrash, Objects: r.platform.Objects, Recorder: r.events,
		IsReader: r.committer.IsWatcher, ReadWait: watcher.DefaultWait,
		Publish: func(value []byte, revision garnetworks.Revision) {
			r.publish(garnetworks.Update{Topic: garnetworks.TopicQuarantinedCalls, Version: garnetworks.UpdateVersion{Sequence: uint64(revision)}, Body: value})
		},
	})
	r.forwarder = forwarder.New(forwarder.Options{
		Engines:  r.platform.Engines,
		Services: r.platform.Services,
		Groups:   r.router,
		Servers:  r.router,
		Claims:   r.claimer,
		Prober:   r.platform.Probes,
		Recorder: r.events,
		Manifest: r.committer,

		Quarantine: r.quarantine,
	})
	limits := server.DefaultLimits()
	limits.BodyBytes = r.settings.Limits.BodyBytes
	limits.HeaderBytes = r.settings.Limits.HeaderBytes
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

// publish hands an update to the distributor. A conflict is not logged: it means that
// another node has already published a newer version.
func (r *Runner) publish(u garnetworks.Update) {
	if err := r.distributor.Publish(u); err != nil && !garnetworks.IsKind(err, garnetworks.KindConflict) {
		r.log.Warn("update not published", "topic", u.Topic, "error", err)
	}
}

// apply passes a received update to the component that handles its topic.
func (r *Runner) apply(u garnetworks.Update) {
	switch {
	case committer.HandlesTopic(u.Topic):
		r.committer.OnUpdate(u)
	case u.Topic == garnetworks.TopicQuarantinedCalls:
		r.quarantine.MergeObject(u.Body)
	case r.views.handleUpdate(u):
	case r.reports.handleUpdate(u):
	default:
		r.tracker.Apply(context.Background(), u)
	}
}

// applied configures the components for a manifest that has come into force.
func (r *Runner) applied(m *garnetworks.AcceptedManifest) {
	r.router.SetZones(m.Manifest.Site.Zones)
	r.admitter.SetManifest(&m.Manifest)
	r.meter.ManifestGeneration(m.Generation)
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
