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

// Phase is the state of a zone's controller from standby to active.
type Phase string

const (
	// PhaseStandby: another node holds the lease, or nobody does.
	PhaseStandby Phase = "standby"
	// PhaseLoading: the zone's objects are being read.
	PhaseLoading Phase = "loading"
	// PhaseClaiming: each object is being written under the new term (C1).
	PhaseClaiming Phase = "claiming"
	// PhaseActive: the holder makes decisions.
	PhaseActive Phase = "active"
)

// TimedStatus is a status with the time at which it was requested.
type TimedStatus struct {
	garnetworks.EngineStatus
	At time.Time
}

// Observation is the input of one step. Its maps and slices are read-only.
type Observation struct {
	Now time.Time
	// Term is the lease's term if it is held now, or 0.
	Term uint32
	// Contested says that another node is known to hold the lease.
	Contested bool
	// Statuses are the newest statuses of the zone's instances.
	Statuses map[garnetworks.InstanceID]TimedStatus
	// Manifest is nil until the first one is accepted.
	Manifest *garnetworks.AcceptedManifest
	// Slowdowns may be nil.
	Slowdowns map[garnetworks.InstanceID]float64
	// Others are the recent views of other zones.
	Others []garnetworks.ZoneView
}

// DomainState is a fabric domain as stored and as decided.
type DomainState struct {
	Record[garnetworks.FabricDomain]
	// Decided is the domain with all decisions, stored or not.
	Decided garnetworks.FabricDomain
	// Urgency says whether Decided has changes that no write has been requested for.
	Urgency grouper.Urgency
	// Resend says that the newest value sent is not known to be stored.
	Resend bool
	// SoftSince is when the oldest unwritten soft change was made.
	SoftSince time.Time
}

// ZoneState is the whole state of a zone's controller. Only Step and the On methods
// change it.
type ZoneState struct {
	Zone  garnetworks.ZoneID
	Times Times
	Phase Phase
	// Term is the term that the state belongs to; in PhaseStandby it is the last one,
	// which is never reused.
	Term uint32
	// Since is when the phase began; ListeningSince is the time from which silence counts.
	Since          time.Time
	ListeningSince time.Time

	Domains map[garnetworks.DomainID]*DomainState
	Power   Record[garnetworks.ZonePower]
	// Ledger is the newest ledger read.
	Ledger     garnetworks.Option[garnetworks.PowerLedger]
	ledgerRead periodicCall
	// Listed are the zone's rows; ListKnown says that they were read under this term.
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

	// direct are statuses that this controller read itself or got as answers to orders.
	direct map[garnetworks.InstanceID]TimedStatus
	// orders, reads and power hold what was last sent to each instance, for retries.
	orders map[garnetworks.InstanceID]*sentOrder
	reads  map[garnetworks.InstanceID]*periodicCall
	power  map[garnetworks.InstanceID]*sentPower
	// offAt is when an instance was confirmed off: older statuses don't count.
	offAt map[garnetworks.InstanceID]time.Time
	// removed are instances unknown to the power switch.
	removed garnetworks.Set[garnetworks.InstanceID]
	// refused says who rejected a token of this term as stale; empty if nobody did.
	refused string
	// lastContact is when the holder last had a fresh status of any instance, or began
	// to listen; yieldedAt is when it yielded the lease for isolation (C8).
	lastContact time.Time
	yieldedAt   time.Time

	// Limit is what the zone may draw now; granted says that the zone was
	// ever granted power.
	Limit     garnetworks.Watts
	granted   bool
	Metrics   garnetworks.ZoneMetrics
	metricsAt time.Time
	// lastStep is the time of the last step.
	lastStep time.Time
	view     garnetworks.ZoneView
	viewAt   time.Time
	sequence uint64
	writes   uint64
}

// periodicCall limits how often a call is made.
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

// sentOrder is the last order to an instance.
type sentOrder struct {
	id    string
	kind  garnetworks.OrderKind
	token garnetworks.FencingToken
	busy  bool
	at    time.Time
	// firstSent is when an order of this kind and token was first sent.
	firstSent time.Time
}

// sentPower is the last power order to an instance.
type sentPower struct {
	id    string
	token garnetworks.FencingToken
	busy  bool
	acked bool
	at    time.Time
	// firstSent is when the order of this decision was first sent.
	firstSent time.Time
}

// NewZoneState returns the state of a controller that does not hold the lease.
func NewZoneState(zone garnetworks.ZoneID, times Times) *ZoneState {
	s := &ZoneState{Zone: zone, Times: times}
	s.reset()
	return s
}

// reset drops everything that belongs to the current term.
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

// sortedDomains returns the domains sorted by key, so that steps are deterministic.
func (s *ZoneState) sortedDomains() []*DomainState {
	return slices.SortedFunc(maps.Values(s.Domains), func(a, b *DomainState) int { return cmp.Compare(a.Key, b.Key) })
}

// Drawn returns the zone's worst-case draw by all decisions.
func (s *ZoneState) Drawn() garnetworks.Watts {
	sum := s.servicesDraw()
	for _, d := range s.Domains {
		sum += grouper.Drawn(&d.Decided)
	}
	return sum
}

// servicesDraw returns the draw of the listed plain services, which this controller never
// powers off.
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
