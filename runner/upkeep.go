package runner

import (
	"context"
	"time"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/drainer"
	"github.com/garnetworks/garnetworks/leaser"
	"github.com/garnetworks/garnetworks/meter"
)

const (
	// flushBound bounds what a stopping node does after its last call.
	flushBound = 5 * time.Second
	// upkeepEvery is the time between two rounds of upkeep.
	upkeepEvery = 250 * time.Millisecond
	// expireEvery is the time between two looks for servers to forget; each makes
	// a snapshot of all signs.
	expireEvery = time.Minute
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
	if now.Sub(r.expired) >= expireEvery {
		r.expired = now
		r.signs.Update(func(d *drainer.Drainer) { d.Expire(now) })
	}
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
func zoneNodes(nodes []garnetworks.NodeInfo, zone garnetworks.ZoneID) []leaser.Contender {
	var contenders []leaser.Contender
	for _, n := range nodes {
		if zone == "" || n.Zone == zone {
			contenders = append(contenders, leaser.Contender{ID: n.ID, Zone: n.Zone, Processor: n.Processor})
		}
	}
	return contenders
}
