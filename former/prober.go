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
	probeTime = 150 * time.Millisecond
	// probeTries is the number of probes in a row without an answer after which
	// an instance counts as dark.
	probeTries = 2
	// darkProbeEvery is the time between two probes of a dark instance.
	darkProbeEvery = 700 * time.Millisecond
	// suspectEvery bounds the probes that suspicions of one group cause.
	suspectEvery = 400 * time.Millisecond
	// ownDelay is how late the end of a probe may be noticed before the probe says
	// more of this node than of the engine. Timers of a node with time to spare fire
	// within a few milliseconds.
	ownDelay = 20 * time.Millisecond
	// mostLate bounds the probes in a row that are left out for this node's delay, so
	// that a node that is always late finds losses all the same.
	mostLate = 3
	// silenceWindow is the time in which silences are taken together, and doubtFor for
	// how long many of them in several zones are presumed to be this node's own fault.
	// Two windows are enough to be told by others that the groups give no events.
	silenceWindow = time.Second
	doubtFor      = 2 * time.Second
	// silentMany silences of a zone within the window are more than single losses.
	silentMany = 4
)

// prober asks engines whether they live, and holds what it found.
type prober struct {
	flight flight
	// waiting are the probes that wait for room in flight, the oldest first.
	waiting []pendingProbe
	// dark instances do not answer.
	dark garnetworks.Set[garnetworks.Incarnation]
	// doubted instances did not answer an order and are to be probed.
	doubted garnetworks.Set[garnetworks.Incarnation]
	misses  map[garnetworks.Incarnation]int
	// late counts the probes in a row that this node's own delay spoilt.
	late map[garnetworks.Incarnation]int
	// probing holds when a probe of each instance was asked for.
	probing map[garnetworks.Incarnation]time.Time
	asked   map[garnetworks.GroupID]time.Time
	results chan probed
	silence silence
}

type pendingProbe struct {
	server garnetworks.RegisteredServer
	tries  int
}

// probed is the end of a probe.
type probed struct {
	life garnetworks.Incarnation
	zone garnetworks.ZoneID
	err  error
	// took is the time to the answer or to the end of the wait for it.
	took time.Duration
	// last says that no further try follows.
	last bool
}

func newProber(ring int) prober {
	return prober{
		flight:  newFlight(),
		dark:    make(garnetworks.Set[garnetworks.Incarnation]),
		doubted: make(garnetworks.Set[garnetworks.Incarnation]),
		misses:  make(map[garnetworks.Incarnation]int),
		late:    make(map[garnetworks.Incarnation]int),
		probing: make(map[garnetworks.Incarnation]time.Time),
		asked:   make(map[garnetworks.GroupID]time.Time),
		results: make(chan probed, ring),
	}
}

// silence tells one's own fault from that of others.
//
// Load pattern: the node is cut off from the engines, or late itself. Then engines of
// several zones are silent at once, most of those that are asked; a zone or a domain
// that is lost leaves the other zones' engines as they were.
type silence struct {
	zones map[garnetworks.ZoneID]*zoneProbes
	began time.Time
	// since is when the present doubt began.
	since time.Time
}

// zoneProbes counts the instances of a zone that were probed in a window.
type zoneProbes struct{ silent, well int }

// note takes a probe's result, and reports whether its silence is presumed to be this
// node's own fault.
func (s *silence) note(now time.Time, zone garnetworks.ZoneID, silent bool) bool {
	if s.zones == nil || now.Sub(s.began) > silenceWindow {
		s.zones, s.began = make(map[garnetworks.ZoneID]*zoneProbes), now
	}
	z := s.zones[zone]
	if z == nil {
		z = &zoneProbes{}
		s.zones[zone] = z
	}
	if !silent {
		z.well++
		return false
	}
	z.silent++
	bad := 0
	for _, z := range s.zones {
		if z.silent >= silentMany && z.silent > z.well {
			bad++
		}
	}
	if bad < 2 {
		return false
	}
	if now.Sub(s.since) > doubtFor+silenceWindow {
		s.since = now
	}
	return now.Sub(s.since) <= doubtFor
}

// doubt notes that an instance did not answer an order. Only probes tell whether it
// is dark: orders get lost, or are carried out late, at instances that serve well,
// and a group that is given up for that is lost for nothing.
func (f *Former) doubt(id garnetworks.Incarnation) {
	if len(f.doubted) < cap(f.results) {
		f.doubted.Add(id)
	}
}

func (f *Former) takeProbe(p probed) {
	now := time.Now()
	if p.last {
		f.flight.ended(now, p.took, p.err == nil)
	}
	if p.err == nil {
		f.silence.note(now, p.zone, false)
		f.alive(p.life)
		return
	}
	if garnetworks.IsKind(p.err, garnetworks.KindNotFound) {
		// Another life, or another engine, answers at the address: the one that was
		// asked has ended, and a second probe would say the same.
		f.misses[p.life] = probeTries
		f.miss(p.life)
		return
	}
	// Failure: the node stands still for a moment, and finds the answer and the end of
	// the wait for it at once. It took the engine for silent, and its group was given up.
	if p.took > probeTime+ownDelay && f.late[p.life] < mostLate {
		f.late[p.life]++
		f.doubt(p.life)
		return
	}
	if f.presumesOwnFault(now, &p) && !f.dark.Has(p.life) {
		f.doubt(p.life)
		return
	}
	f.miss(p.life)
}

// presumesOwnFault notes an instance's silence, and tells when a doubt begins.
func (f *Former) presumesOwnFault(now time.Time, p *probed) bool {
	before := f.silence.since
	own := f.silence.note(now, p.zone, true)
	if f.silence.since != before {
		f.options.Recorder.Record(garnetworks.Event{
			Kind: garnetworks.EventLocalFaultSuspected, Zone: p.zone, Instance: p.life.Instance,
			Detail: "most instances of several zones are silent at once; none counts as silent for " + doubtFor.String(),
		})
	}
	return own
}

func (f *Former) alive(id garnetworks.Incarnation) {
	if f.dark.Has(id) {
		f.stale = true
		f.options.Recorder.Record(garnetworks.Event{Kind: garnetworks.EventInstanceResponsive, Instance: id.Instance})
	}
	f.dark.Remove(id)
	delete(f.misses, id)
	delete(f.late, id)
}

func (f *Former) miss(id garnetworks.Incarnation) {
	f.misses[id]++
	if f.misses[id] < probeTries || f.dark.Has(id) {
		return
	}
	f.dark.Add(id)
	f.stale = true
	f.options.Recorder.Record(garnetworks.Event{Kind: garnetworks.EventInstanceUnresponsive, Instance: id.Instance, Detail: fmt.Sprintf("%d probes in a row without an answer", f.misses[id])})
}

// suspect probes the members of a group twice.
func (f *Former) suspect(id garnetworks.GroupID) {
	now := time.Now()
	if f.options.Lease.Term(now) == 0 || now.Sub(f.asked[id]) < suspectEvery {
		return
	}
	f.asked[id] = now
	f.options.Recorder.Record(garnetworks.Event{Kind: garnetworks.EventGroupSuspected, Group: id, Detail: "no events for a while, or a refusal; its members are probed"})
	for _, s := range f.options.Follower.Servers() {
		if s.Membership.Group == id {
			f.probe(s, probeTries)
		}
	}
}

// probe asks an instance up to tries times, until it answers. It returns false if the
// last probe of it may still be under way.
func (f *Former) probe(s garnetworks.RegisteredServer, tries int) bool {
	if time.Since(f.probing[s.Incarnation()]) < probeTime*time.Duration(tries) {
		return false
	}
	f.probing[s.Incarnation()] = time.Now()
	f.waiting = append(f.waiting, pendingProbe{s, tries})
	return true
}

// dispatchProbes sends the probes for which there is room in flight.
func (f *Former) dispatchProbes(ctx context.Context) {
	for len(f.waiting) > 0 && f.flight.room() > 0 {
		next := f.waiting[0]
		f.waiting = f.waiting[1:]
		f.flight.sent()
		go f.ask(ctx, next.server, next.tries)
	}
}

func (f *Former) ask(ctx context.Context, s garnetworks.RegisteredServer, tries int) {
	for n := range tries {
		began := time.Now()
		call, cancel := context.WithTimeout(ctx, probeTime)
		err := f.options.Orders.Probe(call, s.Address, s.Incarnation())
		cancel()
		if ctx.Err() != nil {
			return
		}
		last := err == nil || n == tries-1
		f.results <- probed{s.Incarnation(), s.Zone, err, time.Since(began), last}
		if last {
			return
		}
	}
}

// probeDark asks dark instances whether they are back.
func (f *Former) probeDark(servers follower.Servers) {
	for id := range f.dark {
		if s, ok := serverOf(servers, id); ok && time.Since(f.probing[id]) >= darkProbeEvery {
			f.probe(s, 1)
		}
	}
}

// probeDoubted asks the instances that did not answer an order whether they live.
func (f *Former) probeDoubted(servers follower.Servers) {
	for id := range f.doubted {
		if s, ok := serverOf(servers, id); !ok || f.probe(s, probeTries) {
			f.doubted.Remove(id)
		}
	}
}

// forget drops what is known of instances that are not registered any more.
func (f *Former) forget(servers follower.Servers) {
	gone := func(id garnetworks.Incarnation) bool { _, ok := serverOf(servers, id); return !ok }
	maps.DeleteFunc(f.dark, func(id garnetworks.Incarnation, _ struct{}) bool { return gone(id) })
	maps.DeleteFunc(f.misses, func(id garnetworks.Incarnation, _ int) bool { return gone(id) })
	maps.DeleteFunc(f.late, func(id garnetworks.Incarnation, _ int) bool { return gone(id) })
	maps.DeleteFunc(f.probing, func(id garnetworks.Incarnation, _ time.Time) bool { return gone(id) })
	// Groups come and go; those asked about long ago matter no more.
	maps.DeleteFunc(f.asked, func(_ garnetworks.GroupID, at time.Time) bool { return time.Since(at) > time.Minute })
}
