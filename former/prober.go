package former

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/follower"
)

const (
	// probeTimeout bounds a probe. A live engine responds within some milliseconds, whatever
	// its load.
	probeTimeout = 150 * time.Millisecond
	// probeAttempts is the number of failed probes in a row after which an instance is
	// unresponsive.
	probeAttempts = 2
	// unresponsiveProbeInterval is the time between two probes of an unresponsive instance.
	unresponsiveProbeInterval = 700 * time.Millisecond
	// suspectInterval is the minimum time between two rounds of probes of a suspected group.
	suspectInterval = 400 * time.Millisecond
	// localDelay is how late a probe's timeout may be noticed before the delay is attributed
	// to this node. Timers fire within a few milliseconds unless the node is overloaded.
	localDelay = 20 * time.Millisecond
	// maxLateProbes bounds the probes in a row that are discarded for this node's delay, so
	// that a node that is always late detects losses too.
	maxLateProbes = 3
	// localFaultWindow is the time over which failed probes are counted. localFaultHold is
	// how long failures in several zones are presumed to be a local fault, which leaves time
	// for other nodes to report that the groups send no events.
	localFaultWindow = time.Second
	localFaultHold   = 2 * time.Second
	// zoneFailureCount is the number of failed probes of a zone within the window that
	// indicates more than single losses.
	zoneFailureCount = 4
	// controlProbes is the number of instances outside a suspected group that are probed beside
	// it, controlInterval the time between two rounds of them.
	controlProbes   = 3
	controlInterval = 400 * time.Millisecond
	// yieldTime is how long a node that reaches no engine leaves the lease to others.
	yieldTime = 5 * time.Second
)

// prober probes engines and holds the results.
type prober struct {
	probeWindow congestionWindow
	// probeQueue holds the probes that wait for the window, the oldest first.
	probeQueue []pendingProbe
	// unresponsive instances failed their last probes.
	unresponsive garnetworks.Set[garnetworks.Incarnation]
	// unconfirmed instances must be probed: they did not answer an order, or their last probe
	// was discarded.
	unconfirmed garnetworks.Set[garnetworks.Incarnation]
	misses      map[garnetworks.Incarnation]int
	// lateProbes counts the probes in a row that were discarded for this node's delay.
	lateProbes map[garnetworks.Incarnation]int
	// lastProbe is when the last probe of each instance was queued.
	lastProbe     map[garnetworks.Incarnation]time.Time
	lastSuspected map[garnetworks.GroupID]time.Time
	probeResults  chan probeResult
	localFault    localFaultDetector
	// controlsSent and controlsFailed are the instances of the control probes since the last
	// answer of any engine; lastControl is when the last round of them was queued.
	controlsSent, controlsFailed garnetworks.Set[garnetworks.Incarnation]
	lastControl                  time.Time
	// rounds are the open rounds of probes of suspected groups and the recent ones.
	rounds    map[garnetworks.GroupID]*round
	questions chan question
	// lone holds the last question on each group that waits for one of another node.
	lone map[garnetworks.GroupID]question
}

type pendingProbe struct {
	server   garnetworks.RegisteredServer
	attempts int
	control  bool
	// hedge says that the probe is a second one beside another: it counts only if answered.
	hedge bool
}

// probeResult is the result of a probe.
type probeResult struct {
	incarnation garnetworks.Incarnation
	zone        garnetworks.ZoneID
	err         error
	// took is the time to the response or to the timeout.
	took time.Duration
	// last says that no further attempt follows; control, that the probe only checks the node's
	// own links; hedge, that its failure does not count.
	last, control, hedge bool
}

func newProber(bufferSize int) prober {
	return prober{
		probeWindow:   newCongestionWindow(),
		unresponsive:  make(garnetworks.Set[garnetworks.Incarnation]),
		unconfirmed:   make(garnetworks.Set[garnetworks.Incarnation]),
		misses:        make(map[garnetworks.Incarnation]int),
		lateProbes:    make(map[garnetworks.Incarnation]int),
		lastProbe:     make(map[garnetworks.Incarnation]time.Time),
		lastSuspected: make(map[garnetworks.GroupID]time.Time),
		probeResults:  make(chan probeResult, bufferSize),
		rounds:        make(map[garnetworks.GroupID]*round),
		questions:     make(chan question, maxQuestions),
		lone:          make(map[garnetworks.GroupID]question),

		controlsSent: make(garnetworks.Set[garnetworks.Incarnation]), controlsFailed: make(garnetworks.Set[garnetworks.Incarnation]),
	}
}

// localFaultDetector distinguishes a fault of this node from faults of others.
//
// Load pattern: the node is cut off from the engines or overloaded. Then most probes of
// several zones fail at once, whereas the loss of a zone or a domain leaves other zones as
// they were.
type localFaultDetector struct {
	zones map[garnetworks.ZoneID]*zoneProbes
	began time.Time
	// suspectedSince is when the present suspicion began.
	suspectedSince time.Time
}

// zoneProbes counts the failed and the answered probes of a zone in a window.
type zoneProbes struct{ failed, responsive int }

// observe records a probe's result, and reports whether its failure is presumed to be a local
// fault.
func (d *localFaultDetector) observe(now time.Time, zone garnetworks.ZoneID, failed bool) bool {
	if d.zones == nil || now.Sub(d.began) > localFaultWindow {
		d.zones, d.began = make(map[garnetworks.ZoneID]*zoneProbes), now
	}
	z := d.zones[zone]
	if z == nil {
		z = &zoneProbes{}
		d.zones[zone] = z
	}
	if !failed {
		z.responsive++
		return false
	}
	z.failed++
	if failedZones(d.zones) < 2 {
		return false
	}
	if now.Sub(d.suspectedSince) > localFaultHold+localFaultWindow {
		d.suspectedSince = now
	}
	return now.Sub(d.suspectedSince) <= localFaultHold
}

// failedZones returns the number of zones in which many probes failed and fewer were answered.
func failedZones(zones map[garnetworks.ZoneID]*zoneProbes) int {
	count := 0
	for _, z := range zones {
		if z.failed >= zoneFailureCount && z.failed > z.responsive {
			count++
		}
	}
	return count
}

// scheduleProbe has an instance probed before it may count as unresponsive. An unanswered order
// is not enough: orders get lost or delayed at instances that serve well, and their groups
// would be abandoned without need.
func (f *Former) scheduleProbe(id garnetworks.Incarnation) {
	if len(f.unconfirmed) < cap(f.probeResults) {
		f.unconfirmed.Add(id)
	}
}

func (f *Former) handleProbeResult(p probeResult) {
	now := time.Now()
	if p.last {
		f.probeWindow.done(now, p.took, p.err == nil)
	}
	if p.err == nil || garnetworks.IsKind(p.err, garnetworks.KindNotFound) {
		clear(f.controlsSent)
		clear(f.controlsFailed)
		f.probeAnswered(now, &p)
	} else if p.hedge {
		return
	} else if p.control {
		if f.controlsSent.Has(p.incarnation) { // no engine answered since it was sent
			f.controlsFailed.Add(p.incarnation)
		}
		return
	}
	if p.err == nil {
		f.localFault.observe(now, p.zone, false)
		f.markResponsive(p.incarnation)
		return
	}
	if garnetworks.IsKind(p.err, garnetworks.KindNotFound) {
		// A later incarnation or another engine answers at the address: the probed one has
		// ended, and a second probe would fail too.
		f.misses[p.incarnation] = probeAttempts
		f.recordMiss(p.incarnation)
		return
	}
	// After a pause the node finds the response and the timeout at once. Such a probe is
	// repeated, up to maxLateProbes times; otherwise the group of a responsive engine would
	// be abandoned.
	if p.took > probeTimeout+localDelay && f.lateProbes[p.incarnation] < maxLateProbes {
		f.lateProbes[p.incarnation]++
		f.scheduleProbe(p.incarnation)
		return
	}
	if f.suspectsLocalFault(now, &p) && !f.unresponsive.Has(p.incarnation) {
		f.scheduleProbe(p.incarnation)
		return
	}
	if f.reachesNoEngine() {
		f.scheduleProbe(p.incarnation)
		f.yield(&p)
		return
	}
	f.recordMiss(p.incarnation)
}

// suspectsLocalFault records a failed probe and emits an event when a suspicion begins.
func (f *Former) suspectsLocalFault(now time.Time, p *probeResult) bool {
	before := f.localFault.suspectedSince
	isLocal := f.localFault.observe(now, p.zone, true)
	if f.localFault.suspectedSince != before {
		f.options.Recorder.Record(garnetworks.Event{
			Kind: garnetworks.EventLocalFaultSuspected, Zone: p.zone, Instance: p.incarnation.Instance,
			Detail: "most probes fail in several zones at once; a local fault is presumed for " + localFaultHold.String(),
		})
	}
	return isLocal
}

// reachesNoEngine reports whether the node's own links are down: no engine has answered since the
// last control probes, which all failed.
func (f *Former) reachesNoEngine() bool {
	return len(f.controlsSent) > 0 && len(f.controlsFailed) >= len(f.controlsSent)
}

// yield leaves the lease to a node that reaches the engines.
//
// Failure: the links of the lease holder alone are down. To it all engines are unresponsive; it
// would report their groups as lost, and no node would send them calls.
func (f *Former) yield(p *probeResult) {
	if f.term == 0 {
		return
	}
	f.options.Recorder.Record(garnetworks.Event{
		Kind: garnetworks.EventLocalFaultSuspected, Zone: p.zone, Instance: p.incarnation.Instance,
		Detail: "no engine answers this node; it leaves the lease to others for " + yieldTime.String(),
	})
	f.options.Lease.Yield(yieldTime)
}

// probeControls probes some instances outside the suspected group, of other domains where there
// are any, so that a fault of this node's links can be distinguished from one of the group.
// Nothing is sent within the interval after the last round of them.
func (f *Former) probeControls(now time.Time, interval time.Duration, suspected garnetworks.GroupID, servers follower.Servers) {
	if now.Sub(f.lastControl) < interval {
		return
	}
	f.lastControl = now
	domains := make(garnetworks.Set[garnetworks.DomainID])
	for _, s := range servers {
		if s.Membership.Group == suspected {
			domains.Add(s.Domain)
		}
	}
	queued := 0
	// The order of a map is random, so each round probes others.
	for _, otherDomain := range []bool{true, false} {
		for _, s := range servers {
			id := s.Incarnation()
			if len(f.controlsSent) >= controlProbes || s.Domain == "" || s.Membership.Group == suspected || f.controlsSent.Has(id) ||
				otherDomain && domains.Has(s.Domain) || s.State != garnetworks.ListedLive {
				continue
			}
			domains.Add(s.Domain)
			f.controlsSent.Add(id)
			f.probeQueue = slices.Insert(f.probeQueue, queued, pendingProbe{server: s, attempts: 1, control: true})
			queued++
		}
	}
}

func (f *Former) markResponsive(id garnetworks.Incarnation) {
	if f.unresponsive.Has(id) {
		f.needsPlan = true
		f.options.Recorder.Record(garnetworks.Event{Kind: garnetworks.EventInstanceResponsive, Instance: id.Instance})
	}
	f.unresponsive.Remove(id)
	delete(f.misses, id)
	delete(f.lateProbes, id)
}

func (f *Former) recordMiss(id garnetworks.Incarnation) {
	f.misses[id]++
	if f.misses[id] < probeAttempts || f.unresponsive.Has(id) {
		return
	}
	f.unresponsive.Add(id)
	f.markEnded(id)
	f.needsPlan = true
	f.options.Recorder.Record(garnetworks.Event{Kind: garnetworks.EventInstanceUnresponsive, Instance: id.Instance, Detail: fmt.Sprintf("%d probes in a row failed", f.misses[id])})
}

// suspect probes the members of a group up to probeAttempts times each.
func (f *Former) suspect(id garnetworks.GroupID) {
	now := time.Now()
	if f.options.Lease.Term(now) == 0 || now.Sub(f.lastSuspected[id]) < suspectInterval {
		return
	}
	f.beginRound(now, id, f.options.Follower.Servers())
}

// probe queues up to attempts probes of an instance, which end when it responds. It returns
// false if the last ones may still be running.
func (f *Former) probe(s garnetworks.RegisteredServer, attempts int) bool {
	if time.Since(f.lastProbe[s.Incarnation()]) < probeTimeout*time.Duration(attempts) {
		return false
	}
	f.lastProbe[s.Incarnation()] = time.Now()
	f.probeQueue = append(f.probeQueue, pendingProbe{server: s, attempts: attempts})
	return true
}

// dispatchProbes starts the queued probes that the window allows. Controls and second probes come
// first, since the verdicts wait for them.
func (f *Former) dispatchProbes(ctx context.Context) {
	for len(f.probeQueue) > 0 {
		next := f.probeQueue[0]
		available := f.probeWindow.available()
		if next.control || next.hedge {
			available += hedgeReserve
		}
		if available <= 0 {
			return
		}
		f.probeQueue = f.probeQueue[1:]
		f.probeWindow.start()
		f.probeSent(time.Now(), &next)
		go f.runProbe(ctx, next)
	}
}

func (f *Former) runProbe(ctx context.Context, probe pendingProbe) {
	s := &probe.server
	for n := range probe.attempts {
		began := time.Now()
		call, cancel := context.WithTimeout(ctx, probeTimeout)
		err := f.options.Orders.Probe(call, s.Address, s.Incarnation())
		cancel()
		if ctx.Err() != nil {
			return
		}
		last := err == nil || n == probe.attempts-1
		f.probeResults <- probeResult{s.Incarnation(), s.Zone, err, time.Since(began), last, probe.control, probe.hedge}
		if last {
			return
		}
	}
}

// probeUnresponsive probes unresponsive instances to find those that have recovered.
func (f *Former) probeUnresponsive(servers follower.Servers) {
	for id := range f.unresponsive {
		if s, ok := serverOf(servers, id); ok && time.Since(f.lastProbe[id]) >= unresponsiveProbeInterval {
			f.probe(s, 1)
		}
	}
}

// probeUnconfirmed probes the unconfirmed instances.
func (f *Former) probeUnconfirmed(servers follower.Servers) {
	for id := range f.unconfirmed {
		if s, ok := serverOf(servers, id); !ok || f.probe(s, probeAttempts) {
			f.unconfirmed.Remove(id)
		}
	}
}

// forget drops the state of instances that are no longer registered.
func (f *Former) forget(servers follower.Servers) {
	gone := func(id garnetworks.Incarnation) bool { _, ok := serverOf(servers, id); return !ok }
	maps.DeleteFunc(f.unresponsive, func(id garnetworks.Incarnation, _ struct{}) bool { return gone(id) })
	maps.DeleteFunc(f.misses, func(id garnetworks.Incarnation, _ int) bool { return gone(id) })
	maps.DeleteFunc(f.lateProbes, func(id garnetworks.Incarnation, _ int) bool { return gone(id) })
	maps.DeleteFunc(f.lastProbe, func(id garnetworks.Incarnation, _ time.Time) bool { return gone(id) })
	// Groups come and go; suspicions of long ago are dropped.
	maps.DeleteFunc(f.lastSuspected, func(_ garnetworks.GroupID, at time.Time) bool { return time.Since(at) > time.Minute })
}
