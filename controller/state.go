package controller

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/grouper"
	"github.com/garnetworks/garnetworks/placer"
)

// Phase is how far a holder has come.
type Phase string

const (
	// PhaseStandby: another node holds the lease, or nobody does.
	PhaseStandby Phase = "standby"
	// PhaseLoading: the zone's objects are being read.
	PhaseLoading Phase = "loading"
	// PhaseClaiming: each object is being written under the new term (C1).
	PhaseClaiming Phase = "claiming"
	// PhaseActive: the holder decides.
	PhaseActive Phase = "active"
)

// Witness is a status with the time at which it was asked for.
type TimedStatus struct {
	garnetworks.EngineStatus
	At time.Time
}

// Observation is what a zone's controller sees at one step. Maps and slices
// are only read.
type Observation struct {
	Now time.Time
	// Term is the lease's term if it is held now, or 0.
	Term uint32
	// Contested says that another node is known to hold the lease.
	Contested bool
	// Statuses are the newest witnesses of the zone's instances.
	Statuses map[garnetworks.InstanceID]TimedStatus
	// Manifest is nil before the first one.
	Manifest *garnetworks.AcceptedManifest
	// Slowdowns may be nil.
	Slowdowns map[garnetworks.InstanceID]float64
	// Others are the fresh views of other zones.
	Others []garnetworks.ZoneView
}

// DomainState is one fabric domain and what is decided about it.
type DomainState struct {
	Record[garnetworks.FabricDomain]
	// Ahead is the domain with all decisions, written or not.
	Decided garnetworks.FabricDomain
	// Urgency says whether Ahead holds what has not been sent to be written.
	Urgency grouper.Urgency
	// Resend says that the newest value sent is not proven to be stored.
	Resend bool
	// SoftSince is when the oldest unwritten soft change was made.
	SoftSince time.Time
}

// ZoneState is everything a zone's controller knows. Only Step and the On
// methods change it.
type ZoneState struct {
	Zone  garnetworks.ZoneID
	Times Times
	Phase Phase
	// Term is the term that the state belongs to; in PhaseStandby it is the last
	// one that it belonged to, which is never used again.
	Term uint32
	// Since is when the phase was entered; HearFrom is when silence began to
	// count.
	Since          time.Time
	ListeningSince time.Time

	Domains map[garnetworks.DomainID]*DomainState
	Power   Record[garnetworks.ZonePower]
	// Ledger is the newest one read.
	Ledger     garnetworks.Option[garnetworks.PowerLedger]
	ledgerRead periodicCall
	// Listed are the zone's rows; ListKnown says that they were read under this
	// term.
	Listed     []garnetworks.ListedInstance
	ListKnown  bool
	listRead   periodicCall
	domainList periodicCall
	StoreRate  int64
	rateRead   periodicCall

	Manifest  *garnetworks.AcceptedManifest
	Plan      placer.Output
	plannedAt time.Time
	changed   bool
	loads     grouper.LoadPlan

	// direct are statuses that this controller read itself or that orders
	// answered.
	direct map[garnetworks.InstanceID]TimedStatus
	// orders, reads and power hold what was sent to each instance, for retries.
	orders map[garnetworks.InstanceID]*sentOrder
	reads  map[garnetworks.InstanceID]*periodicCall
	power  map[garnetworks.InstanceID]*sentPower
	// offAt is when an instance was proven off: older statuses don't count.
	offAt map[garnetworks.InstanceID]time.Time
	// gone are instances that the power switch does not know.
	removed garnetworks.Set[garnetworks.InstanceID]
	// refused says who refused a token of this term as stale; empty if nobody.
	refused string
	// heardAny is when the holder last heard from any instance; gaveAway is when
	// it gave the lease away for silence (C8).
	lastContact time.Time
	yieldedAt   time.Time

	// Limit is what the zone may draw now; granted says that it was ever granted
	// anything.
	Limit     garnetworks.Watts
	granted   bool
	Metrics   garnetworks.ZoneMetrics
	metricsAt time.Time
	// stepped is the time of the last step.
	lastStep time.Time
	view     garnetworks.ZoneView
	viewAt   time.Time
	sequence uint64
	writes   uint64
}

// nextCall paces a repeated call.
type periodicCall struct {
	busy   bool
	nextAt time.Time
}

func (n *periodicCall) start(now time.Time) bool {
	if n.busy || now.Before(n.nextAt) {
		return false
	}
	n.busy = true
	return true
}

func (n *periodicCall) done(at time.Time) { n.busy, n.nextAt = false, at }

// sentOrder paces the orders to one instance.
type sentOrder struct {
	id    string
	kind  garnetworks.OrderKind
	token garnetworks.FencingToken
	busy  bool
	at    time.Time
	// first is when an order of this kind and token was first sent.
	firstSent time.Time
}

// sentPower paces the power orders to one instance.
type sentPower struct {
	id    string
	token garnetworks.FencingToken
	busy  bool
	acked bool
	at    time.Time
	// first is when the decision's order was first sent.
	firstSent time.Time
}

// NewZoneState returns the state of a controller that holds nothing.
func NewZoneState(zone garnetworks.ZoneID, times Times) *ZoneState {
	s := &ZoneState{Zone: zone, Times: times}
	s.reset()
	return s
}

// reset forgets everything that belonged to a holding.
func (s *ZoneState) reset() {
	yieldedAt, direct := s.yieldedAt, s.direct
	*s = ZoneState{Zone: s.Zone, Times: s.Times, Phase: PhaseStandby, Term: s.Term, yieldedAt: yieldedAt, direct: direct, sequence: s.sequence, writes: s.writes}
	s.Domains = map[garnetworks.DomainID]*DomainState{}
	s.Power.Key = PowerKey(s.Zone)
	s.loads = grouper.LoadPlan{
		Rates:    map[garnetworks.InstanceID]int64{},
		Preloads: map[garnetworks.InstanceID]garnetworks.WeightID{},
	}
	if s.direct == nil {
		s.direct = map[garnetworks.InstanceID]TimedStatus{}
	}
	s.orders = map[garnetworks.InstanceID]*sentOrder{}
	s.reads = map[garnetworks.InstanceID]*periodicCall{}
	s.power = map[garnetworks.InstanceID]*sentPower{}
	s.offAt = map[garnetworks.InstanceID]time.Time{}
	s.removed = garnetworks.NewSet[garnetworks.InstanceID]()
}

// sorted returns the domains in order of name, so that a step is repeatable.
func (s *ZoneState) sortedDomains() []*DomainState {
	return slices.SortedFunc(maps.Values(s.Domains), func(a, b *DomainState) int { return cmp.Compare(a.Key, b.Key) })
}

// Drawn is the zone's pessimistic draw by all decisions.
func (s *ZoneState) Drawn() garnetworks.Watts {
	sum := s.servicesDraw()
	for _, d := range s.Domains {
		sum += grouper.Drawn(&d.Decided)
	}
	return sum
}

// servicesDraw is the draw of the listed plain services, which this controller
// never powers off.
func (s *ZoneState) servicesDraw() garnetworks.Watts {
	var sum garnetworks.Watts
	for _, l := range s.Listed {
		if l.Service == "" {
			continue
		}
		if c, ok := s.class(l.Class); ok {
			sum += c.Watts
		}
	}
	return sum
}

func (s *ZoneState) class(name string) (garnetworks.InstanceClass, bool) {
	if s.Manifest == nil {
		return garnetworks.InstanceClass{}, false
	}
	classes := s.Manifest.Manifest.Site.Classes
	n := slices.IndexFunc(classes, func(c garnetworks.InstanceClass) bool { return c.Name == name })
	if n < 0 {
		return garnetworks.InstanceClass{}, false
	}
	return classes[n], true
}
