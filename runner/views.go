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

// PulseSilence is how long a node waits for a pulse of its own zone before it
// probes by itself (N5). It is longer than a pulse can take to come: the pulses'
// interval, a tick of the controller that sends them, and the way. With one
// round of probes it stays below garnetworks.ConfirmationBound.
const PulseSilence = 1900 * time.Millisecond

// views holds what the node knows of each zone's backend servers, and sends the
// own zone's view while the node controls it.
type views struct {
	r *Runner

	mu        sync.Mutex
	receivers map[garnetworks.ZoneID]*pulser.Receiver
	joined    map[garnetworks.ZoneID]pulser.Joined
	sender    *pulser.Sender
	term      uint32
	alone     bool
	// heard is when a node of the zone last told what it has probed.
	heard time.Time
}

func newViews(r *Runner) *views {
	return &views{
		r:         r,
		receivers: make(map[garnetworks.ZoneID]*pulser.Receiver),
		joined:    make(map[garnetworks.ZoneID]pulser.Joined),
	}
}

// take takes an update of a zone's view or pulse, and reports whether it was
// one.
func (v *views) take(u garnetworks.Update) bool {
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
		v.r.signs.Update(func(d *drainer.Drainer) { d.ObserveView(time.Now(), j.Version, &j.View) })
		v.route(j)
		v.r.meter.ZoneView(j.View)
		v.setTargets(j.View)
	}
	return true
}

// route hands a view to the router with all signs of leaving servers in it
// (rule G8).
func (v *views) route(j pulser.Joined) {
	v.r.router.SetView(j.At, v.r.signs.Snapshot().Apply(&j.View))
}

// takeOwnWords looks for engines of the own zone that say that they are leaving;
// a probe hears that before the instance list or the controller does.
func (v *views) takeOwnWords(now time.Time) {
	joined, ok := v.own()
	if !ok {
		return
	}
	known := v.r.signs.Snapshot()
	var words []garnetworks.EngineStatus
	for _, e := range joined.View.Engines {
		status, _, heard := v.r.prober.Table().Status(e.Instance)
		if heard && status.Leaving == known.ServerEligible(e.Instance) {
			words = append(words, status)
		}
	}
	if len(words) == 0 {
		return
	}
	v.r.signs.Update(func(d *drainer.Drainer) {
		for i := range words {
			d.ObserveStatus(now, &words[i])
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
	joined, err := receiver.Take(time.Now(), u)
	if j, ok := joined.Get(); ok {
		v.joined[zone] = j
	}
	return joined, err
}

// setTargets tells the prober which engines its zone has.
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

// own returns the own zone's view.
func (v *views) own() (pulser.Joined, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	j, ok := v.joined[v.r.self.Zone]
	return j, ok
}

// all returns every zone's view, sorted by zone.
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

// otherBound is the age at which another zone's view no longer counts as fresh.
const otherBound = 3 * garnetworks.ConfirmationBound

// others returns the fresh views of the other zones.
func (v *views) others() []garnetworks.ZoneView {
	now := time.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	var fresh []garnetworks.ZoneView
	for zone, j := range v.joined {
		if zone != v.r.self.Zone && now.Sub(j.At) <= otherBound {
			fresh = append(fresh, j.View)
		}
	}
	return fresh
}

// refresh keeps probes and routes going by the node's own findings.
func (v *views) refresh(now time.Time, nodes []garnetworks.NodeInfo) {
	joined, ok := v.own()
	silent := !ok || now.Sub(joined.At) > PulseSilence
	alone := silent && now.Sub(v.peersHeard()) > PulseSilence
	if alone {
		nodes = []garnetworks.NodeInfo{readySelf(v.r.self)} // N5
	}
	v.noteAlone(alone && ok)
	v.r.prober.SetRoster(nodes)
	table := v.r.prober.Table()
	for i := range joined.View.Groups {
		g := &joined.View.Groups[i]
		if g.State != garnetworks.GroupServing || !table.ConfirmedView(now, g) {
			continue
		}
		v.r.router.ConfirmGroup(oldestWord(table, g.Members), g.ID, g.Token)
	}
}

// hearPeer notes that a node of the zone told what it has probed.
func (v *views) hearPeer(now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.heard = now
}

// peersHeard returns when a node of the zone last told what it has probed.
func (v *views) peersHeard() time.Time {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.heard
}

// readySelf makes the node the only one that probes; whether it takes calls
// does not matter for that.
func readySelf(self garnetworks.NodeInfo) garnetworks.NodeInfo {
	self.Ready = true
	return self
}

// oldestWord returns when the member that was asked longest ago was asked.
func oldestWord(table *prober.Table, members []garnetworks.InstanceID) time.Time {
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

// noteAlone logs when the node begins to probe its zone alone.
func (v *views) noteAlone(alone bool) {
	v.mu.Lock()
	changed := v.alone != alone
	v.alone = alone
	v.mu.Unlock()
	if changed && alone {
		v.r.log.Info("no pulse and no other node of the own zone; probing its engines alone", "zone", v.r.self.Zone)
	}
}

// publish sends the own zone's view on; the zone's controller calls it.
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

// listCache keeps the instance list's last rows on their way to the controller,
// so that the view can name the engines without another read.
type listCache struct {
	garnetworks.InstanceList
	signs *drainer.Shared

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
		l.signs.Update(func(d *drainer.Drainer) { d.ObserveList(time.Now(), rows) })
	}
	return rows, err
}

// engines returns the engines of the last rows, sorted by instance.
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
