package controller

import (
	"time"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/leaser"
)

// Keys of the controllers' objects in the object API.
const (
	// SiteLeaseKey is the key of the site's lease.
	SiteLeaseKey = "leases/site"
	// LedgerKey is the key of the power ledger.
	LedgerKey = "power/ledger"
	// PowersPrefix is the key prefix of the zones' power statements.
	PowersPrefix = "power/zones/"

	zoneLeasePrefix = "leases/zones/"
	domainsPrefix   = "domains/"
)

// ZoneLeaseKey returns the key of a zone's lease.
func ZoneLeaseKey(zone garnetworks.ZoneID) string { return zoneLeasePrefix + string(zone) }

// DomainsPrefix returns the key prefix of a zone's fabric domains.
func DomainsPrefix(zone garnetworks.ZoneID) string { return domainsPrefix + string(zone) + "/" }

// DomainKey returns the key of a fabric domain.
func DomainKey(zone garnetworks.ZoneID, domain garnetworks.DomainID) string {
	return DomainsPrefix(zone) + string(domain)
}

// PowerKey returns the key of a zone's power statement.
func PowerKey(zone garnetworks.ZoneID) string { return PowersPrefix + string(zone) }

// StatusSource returns the newest status of an instance and when it was requested, by
// this process's clock. prober.Table implements it.
type StatusSource interface {
	Status(instance garnetworks.InstanceID) (garnetworks.EngineStatus, time.Time, bool)
}

// Options configures a zone's controller.
type Options struct {
	Node garnetworks.NodeID
	Zone garnetworks.ZoneID
	// Objects, Instances, Power, Orders, Statuses and Manifest are required.
	Objects   garnetworks.ObjectAPI
	Instances garnetworks.InstanceList
	Power     garnetworks.PowerSwitch
	Orders    garnetworks.EngineOrders
	Statuses  StatusSource
	Manifest  garnetworks.ManifestSource
	// Weights may be nil; then no rates are set and nothing is preloaded.
	Weights garnetworks.WeightStore
	// Recorder may be nil.
	Recorder garnetworks.Recorder
	// Publish takes each new view of a zone whose lease this node holds. The version
	// orders the views of all holders. It must not block.
	Publish func(version garnetworks.UpdateVersion, view garnetworks.ZoneView)
	// Slowdowns returns how many times slower than its peers each instance is; it may
	// be nil.
	Slowdowns func() map[garnetworks.InstanceID]float64
	// Others returns the recent views of other zones; it may be nil, and zones then
	// do not roll a new version out in turn.
	Others func() []garnetworks.ZoneView
	// Lease is leaser.Defaults() if zero.
	Lease leaser.Settings
	// Times are DefaultTimes if zero.
	Times Times
}

func (o *Options) check() error {
	switch {
	case o.Node == "" || o.Zone == "":
		return garnetworks.Errorf(garnetworks.KindInvalidSettings, "a zone controller needs a node and a zone")
	case o.Objects == nil || o.Instances == nil || o.Power == nil || o.Orders == nil || o.Statuses == nil || o.Manifest == nil:
		return garnetworks.Errorf(garnetworks.KindInvalidSettings, "the zone controller of %s lacks a required option", o.Zone)
	}
	return nil
}

// Times are a zone controller's intervals and timeouts.
type Times struct {
	// Tick is the interval between steps.
	Tick time.Duration
	// Loss is how long an instance may be unconfirmed before its group breaks.
	Loss time.Duration
	// Form and Load bound how long a group may take to accept orders and to load.
	Form time.Duration
	Load time.Duration
	// BootFactor times the class's boot time, plus BootSlack, is how long an instance
	// may boot before it counts as lost.
	BootFactor int
	BootSlack  time.Duration
	// Retry is the minimum interval between sends of an order that shows no effect.
	Retry time.Duration
	// ReadBack is the interval between direct status reads of a silent instance.
	ReadBack time.Duration
	// ListEvery is the interval between reads of the instance list.
	ListEvery time.Duration
	// LedgerEvery is the interval between reads of the power ledger.
	LedgerEvery time.Duration
	// SoftWriteEvery bounds how long a soft change stays unwritten.
	SoftWriteEvery time.Duration
	// PublishEvery is the interval between views when nothing has changed.
	PublishEvery time.Duration
	// Isolation is how long a holder gets no status from any instance before it
	// yields the lease.
	Isolation time.Duration
	// PlanEvery is the longest interval between plans.
	PlanEvery time.Duration
}

// DefaultTimes returns the times for a site of the design size.
func DefaultTimes() Times {
	return Times{
		Tick:           200 * time.Millisecond,
		Loss:           garnetworks.ConfirmationBound + 2*time.Second,
		Form:           20 * time.Second,
		Load:           15 * time.Minute,
		BootFactor:     3,
		BootSlack:      30 * time.Second,
		Retry:          time.Second,
		ReadBack:       2 * time.Second,
		ListEvery:      time.Second,
		LedgerEvery:    3 * time.Second,
		SoftWriteEvery: 30 * time.Second,
		PublishEvery:   10 * time.Second,
		Isolation:      10 * time.Second,
		PlanEvery:      time.Second,
	}
}
