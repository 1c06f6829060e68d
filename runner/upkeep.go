package runner

import (
	"context"
	"slices"
	"time"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/drainer"
	"github.com/garnetworks/garnetworks/meter"
)

const (
	// flushTimeout limits the work of a stopping node after its last call.
	flushTimeout = 5 * time.Second
	// upkeepInterval is the time between two rounds of upkeep.
	upkeepInterval = 250 * time.Millisecond
	// expireInterval is the time between two removals of unreported servers; each copies the
	// whole drain state.
	expireInterval = time.Minute
)

// upkeep periodically passes slowly changing state between the components.
func (r *Runner) upkeep(ctx context.Context) {
	ticker := time.NewTicker(upkeepInterval)
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
	r.views.observeLeavingStatuses(now)
	if now.Sub(r.lastExpiry) >= expireInterval {
		r.lastExpiry = now
		r.leaving.Update(func(d *drainer.Drainer) { d.Expire(now) })
	}
	r.zone.Lease().SetContenders(zoneNodes(nodes, r.self.Zone))
	r.site.Lease().SetContenders(nodes)
	r.meter.InFlight(r.server.InFlight())
	r.updateTrafficMetrics()
	claims := r.claimer.Stats()
	r.meter.SyncTotals(meter.Claims{
		Written:        claims.Writes,
		Conflicts:      claims.Conflicts,
		Failed:         claims.Failures,
		Forwarded:      claims.Forwarded,
		Unrecorded:     claims.Unrecorded,
		RefusingShards: claims.RefusingShards,
	}, r.timeline.Overwritten(), r.prober.Dropped())
}

// nodes returns all known nodes, this one included.
func (r *Runner) nodes() []garnetworks.NodeInfo {
	peers := r.tracker.Peers()
	nodes := make([]garnetworks.NodeInfo, 0, len(peers)+1)
	nodes = append(nodes, peers...)
	return append(nodes, r.tracker.Self())
}

// zoneNodes returns the nodes of a zone.
func zoneNodes(nodes []garnetworks.NodeInfo, zone garnetworks.ZoneID) []garnetworks.NodeInfo {
	return slices.DeleteFunc(slices.Clone(nodes), func(n garnetworks.NodeInfo) bool { return n.Zone != zone })
}
