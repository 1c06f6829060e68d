package controller

import (
	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/grouper"
)

// Effects are the calls and changes that a step requests from its loop. The loop passes
// each result back through the state's On methods.
type Effects struct {
	// ListDomains requests all objects under DomainsPrefix.
	ListDomains bool
	Reads       []Read
	Writes      []Write
	// ReadList, ReadLedger and ReadRate request the instance list, the power ledger and
	// the weight store's rate.
	ReadList   bool
	ReadLedger bool
	ReadRate   bool
	// ReadBacks request engines' statuses.
	ReadBacks []ReadBack
	Orders    []EngineEffect
	Power     []PowerEffect
	// View is to be published if present.
	View   garnetworks.Option[garnetworks.ZoneView]
	Events []garnetworks.Event
	// RaiseFloor, if above 0, requests a lease term above it.
	RaiseFloor uint32
	// YieldLease requests that the lease be left to other nodes for yieldPeriod.
	YieldLease bool
}

// ReadBack requests an engine's status directly from the engine.
type ReadBack struct {
	Instance garnetworks.InstanceID
	Address  string
}

// EngineEffect is an order to an engine.
type EngineEffect struct {
	grouper.AddressedOrder
	// WithoutLease says that the order may be sent although the lease can't be renewed
	// (rule C4).
	WithoutLease bool
	// Retry says that the same order was sent before and has shown no effect.
	Retry bool
}

// PowerEffect is a power order. After an order to power off is acknowledged, the
// instance's power state is read.
type PowerEffect struct{ garnetworks.PowerOrder }
