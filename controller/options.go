package controller

import (
	"time"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/leaser"
)

// Keys of the controllers' objects.
const (
	// SiteLeaseKey is the lease of the site's power.
	SiteLeaseKey = "leases/site"
	// LedgerKey is the power ledger.
	LedgerKey = "power/ledger"
	// PowersPrefix is before the zones' statements.
	PowersPrefix = "power/zones/"

	zoneLeasePrefix = "leases/zones/"
	domainsPrefix   = "domains/"
)

// ZoneLeaseKey is the key of a zone's lease.
func ZoneLeaseKey(zone garnetworks.ZoneID) string { return zoneLeasePrefix + string(zone) }

// DomainsPrefix is before the keys of a zone's fabric domains.
func DomainsPrefix(zone garnetworks.ZoneID) string { return domainsPrefix + string(zone) + "/" }

// DomainKey is the key of a fabric domain.
func DomainKey(zone garnetworks.ZoneID, domain garnetworks.DomainID) string {
	return DomainsPrefix(zone) + string(domain)
}

// PowerKey is the key of a zone's statement of its power.
func PowerKey(zone garnetworks.ZoneID) string { return PowersPrefix + string(zone) }

// StatusSource gives the newest status of an instance and when it was asked
// for, by this process's clock. prober.Table is one.
type StatusSource interface {
	Status(instance garnetworks.InstanceID) (garnetworks.EngineStatus, time.Time, bool)
}

// Options describe a zone's controller.
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
	// Publish hands out each changed view of a zone whose lease this node holds.
	// The version orders the views of all holders. It must not block.
	Publish func(version garnetworks.UpdateVersion, view garnetworks.ZoneView)
	// Slowdowns tells how many times slower than its peers an instance is; it
	// may be nil.
	Slowdowns func() map[garnetworks.InstanceID]float64
	// Others returns the fresh views of other zones; it may be nil, and zones
	// then take no turns with a new version.
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
		return garnetworks.Errorf(garnetworks.KindInvalidSettings, "the zone controller of %s lacks an interface", o.Zone)
	}
	return nil
}

// Times are a zone controller's periods and bounds.
type Times struct {
	// Tick is the time between two steps.
	Tick time.Duration
	// Loss is how long an instance may go unconfirmed before its group breaks.
	Loss time.Duration
	// Form and Load bound how long a group may take orders and load.
	Form time.Duration
	Load time.Duration
	// BootFactor multiplies a class's boot time, and BootSlack is added, before a
	// booting instance counts as lost.
	BootFactor int
	BootSlack  time.Duration
	// Retry is the time between two sendings of an order that shows no effect.
	Retry time.Duration
	// ReadBack is the time between two direct reads of a silent instance.
	ReadBack time.Duration
	// ListEvery is the time between two reads of the instance list.
	ListEvery time.Duration
	// LedgerEvery is the time between two reads of the power ledger.
	LedgerEvery time.Duration
	// SoftWriteEvery bounds how long a soft change stays unwritten.
	SoftWriteEvery time.Duration
	// PublishEvery is the time between two views though nothing has changed.
	PublishEvery time.Duration
	// Isolation is how long a holder hears from nobody before it gives the lease
	// away.
	Isolation time.Duration
	// PlanEvery is the longest time between two plans.
	PlanEvery time.Duration
}

// DefaultTimes are the times of a controller at the design size.
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
