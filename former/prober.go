package former

import (
	"context"
	"fmt"
	"maps"
	"time"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/follower"
)

const (
	// probeTime bounds a probe. An engine that lives answers within some
	// milliseconds, whatever its load.
	probeTimeout = 150 * time.Millisecond
	// probeTries is the number of probes in a row without an answer after which
	// an instance counts as dark.
	probeAttempts = 2
	// darkProbeEvery is the time between two probes of a dark instance.
	unresponsiveProbeInterval = 700 * time.Millisecond
	// suspectEvery bounds the probes that suspicions of one group cause.
	suspectInterval = 400 * time.Millisecond
	// ownDelay is how late the end of a probe may be noticed before the probe says
	// more of this node than of the engine. Timers of a node with time to spare fire
	// within a few milliseconds.
	localDelay = 20 * time.Millisecond
	// mostLate bounds the probes in a row that are left out for this node's delay, so
	// that a node that is always late finds losses all the same.
	maxLateProbes = 3
	// silenceWindow is the time in which silences are taken together, and doubtFor for
	// how long many of them in several zones are presumed to be this node's own fault.
	// Two windows are enough to be told by others that the groups give no events.
	localFaultWindow = time.Second
	localFaultHold   = 2 * time.Second
	// silentMany silences of a zone within the window are more than single losses.
	zoneFailureCount = 4
)

// prober asks engines whether they live, and holds what it found.
type prober struct {
	probeWindow congestionWindow
	// waiting are the probes that wait for room in flight, the oldest first.
	probeQueue []pendingProbe
	// dark instances do not answer.
	unresponsive garnetworks.Set[garnetworks.Incarnation]
	// doubted instances did not answer an order and are to be probed.
	unconfirmed garnetworks.Set[garnetworks.Incarnation]
	misses      map[garnetworks.Incarnation]int
	// late counts the probes in a row that this node's own delay spoilt.
	lateProbes map[garnetworks.Incarnation]int
	// probing holds when a probe of each instance was asked for.
	lastProbe     map[garnetworks.Incarnation]time.Time
	lastSuspected map[garnetworks.GroupID]time.Time
	probeResults  chan probeResult
	localFault    localFaultDetector
}

type pendingProbe struct {
	server   garnetworks.RegisteredServer
	attempts int
}

// probed is the end of a probe.
type probeResult struct {
	incarnation garnetworks.Incarnation
	zone        garnetworks.ZoneID
	err         error
	// took is the time to the answer or to the end of the wait for it.
	took time.Duration
	// last says that no further try follows.
	last bool
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
	}
}

// silence tells one's own fault from that of others.
//
// Load pattern: the node is cut off from the engines, or late itself. Then engines of
// several zones are silent at once, most of those that are asked; a zone or a domain
// that is lost leaves the other zones' engines as they were.
type localFaultDetector struct {
	zones map[garnetworks.ZoneID]*zoneProbes
	began time.Time
	// since is when the present doubt began.
	suspectedSince time.Time
}

// zoneProbes counts the instances of a zone that were probed in a window.
type zoneProbes struct{ failed, responsive int }

// note takes a probe's result, and reports whether its silence is presumed to be this
// node's own fault.
func (s *localFaultDetector) observe(now time.Time, zone garnetworks.ZoneID, failed bool) bool {
	if s.zones == nil || now.Sub(s.began) > localFaultWindow {
		s.zones, s.began = make(map[garnetworks.ZoneID]*zoneProbes), now
	}
	z := s.zones[zone]
	if z == nil {
		z = &zoneProbes{}
		s.zones[zone] = z
	}
	if !failed {
		z.responsive++
		return false
	}
	z.failed++
	failedZones := 0
	for _, z := range s.zones {
		if z.failed >= zoneFailureCount && z.failed > z.responsive {
			failedZones++
		}
	}
	if failedZones < 2 {
		return false
	}
	if now.Sub(s.suspectedSince) > localFaultHold+localFaultWindow {
		s.suspectedSince = now
	}
	return now.Sub(s.suspectedSince) <= localFaultHold
}

// doubt notes that an instance did not answer an order. Only probes tell whether it
// is dark: orders get lost, or are carried out late, at instances that serve well,
// and a group that is given up for that is lost for nothing.
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
	if p.err == nil {
		f.localFault.observe(now, p.zone, false)
		f.markResponsive(p.incarnation)
		return
	}
	if garnetworks.IsKind(p.err, garnetworks.KindNotFound) {
		// Another life, or another engine, answers at the address: the one that was
		// asked has ended, and a second probe would say the same.
		f.misses[p.incarnation] = probeAttempts
		f.recordMiss(p.incarnation)
		return
	}
	// Failure: the node stands still for a moment, and finds the answer and the end of
	// the wait for it at once. It took the engine for silent, and its group was given up.
	if p.took > probeTimeout+localDelay && f.lateProbes[p.incarnation] < maxLateProbes {
		f.lateProbes[p.incarnation]++
		f.scheduleProbe(p.incarnation)
		return
	}
	if f.suspectsLocalFault(now, &p) && !f.unresponsive.Has(p.incarnation) {
		f.scheduleProbe(p.incarnation)
		return
	}
	f.recordMiss(p.incarnation)
}

// presumesOwnFault notes an instance's silence, and tells when a doubt begins.
func (f *Former) suspectsLocalFault(now time.Time, p *probeResult) bool {
	before := f.localFault.suspectedSince
	isLocal := f.localFault.observe(now, p.zone, true)
	if f.localFault.suspectedSince != before {
		f.options.Recorder.Record(garnetworks.Event{
			Kind: garnetworks.EventLocalFaultSuspected, Zone: p.zone, Instance: p.incarnation.Instance,
			Detail: "most instances of several zones are silent at once; none counts as silent for " + localFaultHold.String(),
		})
	}
	return isLocal
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
	f.needsPlan = true
	f.options.Recorder.Record(garnetworks.Event{Kind: garnetworks.EventInstanceUnresponsive, Instance: id.Instance, Detail: fmt.Sprintf("%d probes in a row without an answer", f.misses[id])})
}

// suspect probes the members of a group twice.
func (f *Former) suspect(id garnetworks.GroupID) {
	now := time.Now()
	if f.options.Lease.Term(now) == 0 || now.Sub(f.lastSuspected[id]) < suspectInterval {
		return
	}
	f.lastSuspected[id] = now
	f.options.Recorder.Record(garnetworks.Event{Kind: garnetworks.EventGroupSuspected, Group: id, Detail: "no events for a while, or a refusal; its members are probed"})
	for _, s := range f.options.Follower.Servers() {
		if s.Membership.Group == id {
			f.probe(s, probeAttempts)
		}
	}
}

// probe asks an instance up to tries times, until it answers. It returns false if the
// last probe of it may still be under way.
func (f *Former) probe(s garnetworks.RegisteredServer, attempts int) bool {
	if time.Since(f.lastProbe[s.Incarnation()]) < probeTimeout*time.Duration(attempts) {
		return false
	}
	f.lastProbe[s.Incarnation()] = time.Now()
	f.probeQueue = append(f.probeQueue, pendingProbe{s, attempts})
	return true
}

// dispatchProbes sends the probes for which there is room in flight.
func (f *Former) dispatchProbes(ctx context.Context) {
	for len(f.probeQueue) > 0 && f.probeWindow.available() > 0 {
		next := f.probeQueue[0]
		f.probeQueue = f.probeQueue[1:]
		f.probeWindow.start()
		go f.runProbe(ctx, next.server, next.attempts)
	}
}

func (f *Former) runProbe(ctx context.Context, s garnetworks.RegisteredServer, attempts int) {
	for n := range attempts {
		began := time.Now()
		call, cancel := context.WithTimeout(ctx, probeTimeout)
		err := f.options.Orders.Probe(call, s.Address, s.Incarnation())
		cancel()
		if ctx.Err() != nil {
			return
		}
		last := err == nil || n == attempts-1
		f.probeResults <- probeResult{s.Incarnation(), s.Zone, err, time.Since(began), last}
		if last {
			return
		}
	}
}

// probeDark asks dark instances whether they are back.
func (f *Former) probeUnresponsive(servers follower.Servers) {
	for id := range f.unresponsive {
		if s, ok := serverOf(servers, id); ok && time.Since(f.lastProbe[id]) >= unresponsiveProbeInterval {
			f.probe(s, 1)
		}
	}
}

// probeDoubted asks the instances that did not answer an order whether they live.
func (f *Former) probeUnconfirmed(servers follower.Servers) {
	for id := range f.unconfirmed {
		if s, ok := serverOf(servers, id); !ok || f.probe(s, probeAttempts) {
			f.unconfirmed.Remove(id)
		}
	}
}

// forget drops what is known of instances that are not registered any more.
func (f *Former) forget(servers follower.Servers) {
	gone := func(id garnetworks.Incarnation) bool { _, ok := serverOf(servers, id); return !ok }
	maps.DeleteFunc(f.unresponsive, func(id garnetworks.Incarnation, _ struct{}) bool { return gone(id) })
	maps.DeleteFunc(f.misses, func(id garnetworks.Incarnation, _ int) bool { return gone(id) })
	maps.DeleteFunc(f.lateProbes, func(id garnetworks.Incarnation, _ int) bool { return gone(id) })
	maps.DeleteFunc(f.lastProbe, func(id garnetworks.Incarnation, _ time.Time) bool { return gone(id) })
	// Groups come and go; those asked about long ago matter no more.
	maps.DeleteFunc(f.lastSuspected, func(_ garnetworks.GroupID, at time.Time) bool { return time.Since(at) > time.Minute })
}
