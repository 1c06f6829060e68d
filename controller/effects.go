package controller

import (
	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/grouper"
)

// Effects are what a step asks its loop to do. The loop reports each result
// back with the state's On methods.
type Effects struct {
	// ListDomains asks for all objects under DomainsPrefix.
	ListDomains bool
	Reads       []Read
	Writes      []Write
	// ReadList, ReadLedger and ReadRate ask for the instance list, the power
	// ledger and the weight store's rate.
	ReadList   bool
	ReadLedger bool
	ReadRate   bool
	// ReadBacks asks for engines' statuses.
	ReadBacks []ReadBack
	Orders    []EngineEffect
	Power     []PowerEffect
	// View is to be published if it is present.
	View   garnetworks.Option[garnetworks.ZoneView]
	Events []garnetworks.Event
	// RaiseFloor, if above 0, asks for a lease term above it.
	RaiseFloor uint32
	// GiveAway asks to leave the lease to another node for a while.
	YieldLease bool
}

// ReadBack asks for an engine's own word.
type ReadBack struct {
	Instance garnetworks.InstanceID
	Address  string
}

// EngineEffect is an order to an engine.
type EngineEffect struct {
	grouper.AddressedOrder
	// BeyondLease says that the order may go out though the lease can't be
	// renewed (rule C4).
	WithoutLease bool
	// Again says that the same order was sent before and showed no effect.
	Retry bool
}

// PowerEffect is a power order; after its acknowledgement an order to power off
// is followed by a read of the instance's power.
type PowerEffect struct{ garnetworks.PowerOrder }
