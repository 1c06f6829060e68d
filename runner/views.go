package runner

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/drainer"
	"github.com/garnetworks/garnetworks/prober"
	"github.com/garnetworks/garnetworks/pulser"
)

// PulseTimeout is the time without a pulse of its own zone after which a node that also
// receives no probe results probes by itself (N5). It must exceed the pulse interval plus a
// controller tick and network delay, and together with one round of probes stay below
// garnetworks.ConfirmationBound.
const PulseTimeout = 1900 * time.Millisecond

// views holds the latest view of each zone's backend servers, and publishes the view of the
// node's own zone while the node controls it.
type views struct {
	r *Runner

	mu           sync.Mutex
	receivers    map[garnetworks.ZoneID]*pulser.Receiver
	joined       map[garnetworks.ZoneID]pulser.Joined
	sender       *pulser.Sender
	term         uint32
	probingAlone bool
	// peerProbeAt is when a node of the zone last sent probe results.
	peerProbeAt time.Time
}

func newViews(r *Runner) *views {
	return &views{
		r:         r,
		receivers: make(map[garnetworks.ZoneID]*pulser.Receiver),
		joined:    make(map[garnetworks.ZoneID]pulser.Joined),
	}
}

// handleUpdate handles updates of zone views and pulses. It reports whether the update was
// one of them.
func (v *views) handleUpdate(u garnetworks.Update) bool {
	zone, ok := garnetworks.CutTopic(u.Topic, garnetworks.TopicZoneView)
	if !ok {
		zone, ok = garnetworks.CutTopic(u.Topic, garnetworks.TopicZoneStatus)
	}
	if !ok {
		return false
	}
	joined, err := v.receive(garnetworks.ZoneID(zone), u)
	if err != nil {
		v.r.log.Warn("zone view refused", "zone", zone, "error", err)
		return true
	}
	if j, ok := joined.Get(); ok {
		v.r.leaving.Update(func(d *drainer.Drainer) { d.ObserveView(time.Now(), j.Version, &j.View) })
		v.route(j)
		v.r.meter.ZoneView(j.View)
		v.setTargets(j.View)
	}
	return true
}

// route passes a view to the router, with all leaving servers marked in it (rule G8).
func (v *views) route(j pulser.Joined) {
	v.r.router.SetView(j.At, v.r.leaving.Snapshot().Apply(&j.View))
}

// observeLeavingStatuses applies changes of the leaving state that engines of the node's zone
// report in probes, before the instance list or the controller shows them.
func (v *views) observeLeavingStatuses(now time.Time) {
	joined, ok := v.own()
	if !ok {
		return
	}
	snapshot := v.r.leaving.Snapshot()
	var statuses []garnetworks.EngineStatus
	for _, e := range joined.View.Engines {
		status, _, found := v.r.prober.Table().Status(e.Instance)
		if found && status.Leaving == snapshot.ServerEligible(e.Instance) {
			statuses = append(statuses, status)
		}
	}
	if len(statuses) == 0 {
		return
	}
	v.r.leaving.Update(func(d *drainer.Drainer) {
		for i := range statuses {
			d.ObserveStatus(now, &statuses[i])
		}
	})
	v.route(joined)
}

func (v *views) receive(zone garnetworks.ZoneID, u garnetworks.Update) (garnetworks.Option[pulser.Joined], error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	receiver := v.receivers[zone]
	if receiver == nil {
		receiver = pulser.NewReceiver(zone)
		v.receivers[zone] = receiver
	}
	joined, err := receiver.Apply(time.Now(), u)
	if j, ok := joined.Get(); ok {
		v.joined[zone] = j
	}
	return joined, err
}

// setTargets sets the engines of the node's zone as probe targets.
func (v *views) setTargets(view garnetworks.ZoneView) {
	if view.Zone != v.r.self.Zone {
		return
	}
	targets := make([]prober.Target, 0, len(view.Engines))
	known := garnetworks.NewSet[garnetworks.InstanceID]()
	for _, e := range view.Engines {
		targets = append(targets, prober.Target{Instance: e.Instance, Address: e.Address, Zone: view.Zone})
		known.Add(e.Instance)
	}
	v.r.prober.SetTargets(targets)
	v.r.prober.Table().Keep(known)
}

// own returns the view of the node's own zone.
func (v *views) own() (pulser.Joined, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	j, ok := v.joined[v.r.self.Zone]
	return j, ok
}

// all returns the views of all zones, sorted by zone.
func (v *views) all() []garnetworks.ZoneView {
	v.mu.Lock()
	defer v.mu.Unlock()
	list := make([]garnetworks.ZoneView, 0, len(v.joined))
	for _, j := range v.joined {
		list = append(list, j.View)
	}
	slices.SortFunc(list, func(a, b garnetworks.ZoneView) int {
		if a.Zone < b.Zone {
			return -1
		}
		return 1
	})
	return list
}

// otherViewMaxAge is the age up to which another zone's view counts as fresh.
const otherViewMaxAge = 3 * garnetworks.ConfirmationBound

// others returns the fresh views of the other zones.
func (v *views) others() []garnetworks.ZoneView {
	now := time.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	var fresh []garnetworks.ZoneView
	for zone, j := range v.joined {
		if zone != v.r.self.Zone && now.Sub(j.At) <= otherViewMaxAge {
			fresh = append(fresh, j.View)
		}
	}
	return fresh
}

// refresh sets the nodes that share the probes and confirms groups in the router from the
// node's own probe results.
func (v *views) refresh(now time.Time, nodes []garnetworks.NodeInfo) {
	joined, ok := v.own()
	pulseLost := !ok || now.Sub(joined.At) > PulseTimeout
	alone := pulseLost && now.Sub(v.lastPeerProbe()) > PulseTimeout
	if alone {
		nodes = []garnetworks.NodeInfo{readySelf(v.r.self)} // N5
	}
	v.setProbingAlone(alone && ok)
	v.r.prober.SetRoster(nodes)
	table := v.r.prober.Table()
	for i := range joined.View.Groups {
		g := &joined.View.Groups[i]
		if g.State != garnetworks.GroupServing || !table.ConfirmedView(now, g) {
			continue
		}
		v.r.router.ConfirmGroup(oldestConfirmation(table, g.Members), g.ID, g.Token)
	}
}

// recordPeerProbe records that a node of the zone sent probe results.
func (v *views) recordPeerProbe(now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.peerProbeAt = now
}

// lastPeerProbe returns when a node of the zone last sent probe results.
func (v *views) lastPeerProbe() time.Time {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.peerProbeAt
}

// readySelf returns the node's description marked as ready, since the prober assigns probes
// to ready nodes only. Whether the node accepts calls does not matter here.
func readySelf(self garnetworks.NodeInfo) garnetworks.NodeInfo {
	self.Ready = true
	return self
}

// oldestConfirmation returns the time of the members' oldest confirmation, or the zero time
// if a member has none.
func oldestConfirmation(table *prober.Table, members []garnetworks.InstanceID) time.Time {
	var oldest time.Time
	for _, m := range members {
		c, ok := table.Confirmation(m)
		if !ok {
			return time.Time{}
		}
		if oldest.IsZero() || c.At.Before(oldest) {
			oldest = c.At
		}
	}
	return oldest
}

// setProbingAlone stores whether the node probes its zone alone, and logs when that begins.
func (v *views) setProbingAlone(alone bool) {
	v.mu.Lock()
	changed := v.probingAlone != alone
	v.probingAlone = alone
	v.mu.Unlock()
	if changed && alone {
		v.r.log.Info("no pulse and no probes of other nodes in this zone; probing its engines alone", "zone", v.r.self.Zone)
	}
}

// publish distributes the view of the node's own zone; the zone's controller calls it.
func (v *views) publish(version garnetworks.UpdateVersion, view garnetworks.ZoneView) {
	view.Controller = v.r.tracker.Self()
	view.Controller.Incarnation = v.r.self.Incarnation
	view.Engines = v.r.listed.engines()
	v.mu.Lock()
	now := time.Now()
	if v.sender == nil || v.term != version.Term {
		v.sender, v.term = pulser.NewSender(now), version.Term
	}
	updates, err := v.sender.Next(now, version, view)
	v.mu.Unlock()
	if err != nil {
		v.r.log.Error("zone view not sent", "error", err)
		return
	}
	for _, u := range updates {
		v.r.publish(u)
	}
}

// listCache keeps the rows of the instance list that the controller last read, so that the
// view can include the engines without another read.
type listCache struct {
	garnetworks.InstanceList
	leaving *drainer.Shared

	mu   sync.Mutex
	rows []garnetworks.ListedInstance
}

// Instances implements garnetworks.InstanceList.
func (l *listCache) Instances(ctx context.Context, zone garnetworks.ZoneID) ([]garnetworks.ListedInstance, error) {
	rows, err := l.InstanceList.Instances(ctx, zone)
	if err == nil {
		l.mu.Lock()
		l.rows = rows
		l.mu.Unlock()
		l.leaving.Update(func(d *drainer.Drainer) { d.ObserveList(time.Now(), rows) })
	}
	return rows, err
}

// engines returns the engines in the cached rows, sorted by instance.
func (l *listCache) engines() []garnetworks.EngineView {
	l.mu.Lock()
	defer l.mu.Unlock()
	var engines []garnetworks.EngineView
	for _, row := range l.rows {
		if row.Service == "" && row.Address != "" {
			engines = append(engines, garnetworks.EngineView{Instance: row.ID, Address: row.Address})
		}
	}
	slices.SortFunc(engines, func(a, b garnetworks.EngineView) int {
		if a.Instance < b.Instance {
			return -1
		}
		return 1
	})
	return engines
}
