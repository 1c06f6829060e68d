package garnetworks

import (
	"context"
	"time"
)

// Object is a stored value with its revision.
type Object struct {
	Key      string
	Value    []byte
	Revision Revision
	// Deleted is set only in changes returned by Watch.
	Deleted bool
}

// ObjectAPI is the platform's object store. Every method call, including a waiting
// watch, counts against its rate limits. Errors are of kind KindNotFound,
// KindConflict, KindCompacted, KindTooLarge, KindThrottled, KindObjectAPIDown or
// KindResponseLost. Only a write that failed with KindResponseLost may have taken
// effect.
//
// An object API that comes back from an older copy begins a new era. All revisions that it
// returns from then on are of that era, also those of objects that have not changed since.
type ObjectAPI interface {
	// Get returns the newest version of an object, or KindNotFound and an Object of which only
	// the era of Revision is set.
	Get(ctx context.Context, key string) (Object, error)
	// Put writes value if the object's revision is still after; if after is 0, it creates
	// the object. It returns KindConflict if the revision differs.
	Put(ctx context.Context, key string, value []byte, after Revision) (Revision, error)
	// Delete deletes the object if its revision is still after.
	Delete(ctx context.Context, key string, after Revision) error
	// List returns the objects whose keys begin with prefix, in key order, and the
	// store's revision at which they were read.
	List(ctx context.Context, prefix string) ([]Object, Revision, error)
	// Watch waits until an object under prefix changes after revision after, or
	// until wait has passed. It returns the changes in order (none if wait has passed)
	// and the revision to continue from. After KindCompacted the caller must list again.
	Watch(ctx context.Context, prefix string, after Revision, wait time.Duration) ([]Object, Revision, error)
}

// ListedState is the state of an instance in the instance list.
type ListedState string

const (
	// ListedLive instances are running.
	ListedLive ListedState = "live"
	// ListedLeaving instances will be stopped soon.
	ListedLeaving ListedState = "leaving"
)

// ListedInstance is an entry of the platform's instance list.
type ListedInstance struct {
	ID      InstanceID  `json:"id"`
	Address string      `json:"address"`
	Zone    ZoneID      `json:"zone"`
	Domain  DomainID    `json:"domain"`
	Class   string      `json:"class"`
	State   ListedState `json:"state"`
	// Service is set for instances that run a plain service.
	Service ServiceName `json:"service,omitempty"`
}

// InstanceList is the platform's list of backend instances. It lags behind: entries
// can be missing or outdated, or name instances that no longer exist.
type InstanceList interface {
	// Instances returns the entries of one zone.
	Instances(ctx context.Context, zone ZoneID) ([]ListedInstance, error)
}

// PowerOrder orders an instance's power on or off.
type PowerOrder struct {
	// ID is unique to the decision; a repeated order has the same ID.
	ID       string       `json:"id"`
	Instance InstanceID   `json:"instance"`
	On       bool         `json:"on"`
	Token    FencingToken `json:"token"`
}

// PowerSwitch turns instances on and off. The response to an order can be lost after
// the order took effect (KindResponseLost).
type PowerSwitch interface {
	// SetPower executes the order, or refuses it with KindStaleToken.
	SetPower(ctx context.Context, order PowerOrder) error
	// Power returns the proven state of the instance's power: on or off.
	Power(ctx context.Context, instance InstanceID) (PowerState, error)
}

// OrderKind is the kind of an engine order.
type OrderKind string

const (
	// OrderForm makes the instance a member of a group and loads the model's weights.
	OrderForm OrderKind = "form"
	// OrderRelease removes the instance from its group; calls in flight are refused or
	// finish within the drain time.
	OrderRelease OrderKind = "release"
	// OrderDrain stops new calls; those in flight finish.
	OrderDrain OrderKind = "drain"
	// OrderPreload loads weights without joining a group.
	OrderPreload OrderKind = "preload"
	// OrderAdapters loads and unloads adapters of the served model.
	OrderAdapters OrderKind = "adapters"
)

// EngineOrder is an order to the engine on one instance.
type EngineOrder struct {
	ID       string        `json:"id"`
	Kind     OrderKind     `json:"kind"`
	Token    FencingToken  `json:"token"`
	Group    GroupID       `json:"group,omitempty"`
	Members  []InstanceID  `json:"members,omitempty"`
	Model    ModelName     `json:"model,omitempty"`
	Version  VersionName   `json:"version,omitempty"`
	Adapters []AdapterName `json:"adapters,omitempty"`
	// LoadRate is the instance's share of the weight store's rate in bytes per second; 0
	// leaves the rate to the engine.
	LoadRate int64 `json:"load-rate,omitempty"`
}

// EnginePhase is the phase that an engine is in.
type EnginePhase string

const (
	// EngineIdle engines belong to no group.
	EngineIdle EnginePhase = "idle"
	// EngineLoading engines are loading weights.
	EngineLoading EnginePhase = "loading"
	// EngineReady engines are serving.
	EngineReady EnginePhase = "ready"
	// EngineDraining engines take no new calls.
	EngineDraining EnginePhase = "draining"
)

// EngineStatus is the state that an engine reports of itself.
type EngineStatus struct {
	Instance    InstanceID    `json:"instance"`
	Incarnation uint64        `json:"incarnation"`
	Phase       EnginePhase   `json:"phase"`
	Group       GroupID       `json:"group,omitempty"`
	Token       FencingToken  `json:"token"`
	Model       ModelName     `json:"model,omitempty"`
	Version     VersionName   `json:"version,omitempty"`
	Adapters    []AdapterName `json:"adapters,omitempty"`
	Weights     []WeightID    `json:"weights,omitempty"`
	// LastOrder is the ID of the last order that was executed.
	LastOrder string `json:"last-order,omitempty"`
	// Leaving says that the server has announced that it will stop.
	Leaving bool       `json:"leaving,omitempty"`
	Load    EngineLoad `json:"load"`
	// CacheEvents is the number of the newest cache event.
	CacheEvents uint64 `json:"cache-events"`
}

// EngineOrders sends orders to engines and reads their status. Errors are of
// kind KindUnreachable, KindResponseLost or KindStaleToken.
type EngineOrders interface {
	Order(ctx context.Context, address string, order EngineOrder) (EngineStatus, error)
	Status(ctx context.Context, address string) (EngineStatus, error)
}

// CacheEvent reports that a prompt prefix was added to or evicted from an engine's cache.
type CacheEvent struct {
	// Number counts the engine's events from 1 without gaps; a gap at the reader means
	// that events were lost.
	Number uint64 `json:"number"`
	// Block is the hash of the prefix block, as PrefixBlocks computes it.
	Block uint64 `json:"block"`
	// Added is false for an eviction.
	Added bool `json:"added"`
}

// CacheEvents reads an engine's cache events, which arrive late and with gaps.
type CacheEvents interface {
	CacheEvents(ctx context.Context, address string, after uint64) ([]CacheEvent, error)
}

// EngineCaller sends calls to replica groups. Errors are *AttemptError.
type EngineCaller interface {
	// Generate starts an attempt. If the error is nil, the stream is not nil and must be
	// closed.
	Generate(ctx context.Context, address string, call *EngineCall) (EngineStream, error)
}

// EngineStream is the response to one attempt.
type EngineStream interface {
	// Next reads the next chunk. After a chunk with End it returns io.EOF. It never
	// returns io.EOF before End: an incomplete response ends with an *AttemptError.
	Next(chunk *Chunk) error
	// Close ends the attempt and cancels it at the engine if the response is incomplete.
	Close() error
}

// ServiceCaller sends calls to plain services. Errors are *AttemptError.
type ServiceCaller interface {
	Call(ctx context.Context, address string, call *ServiceCall) (ServiceResponse, error)
}

// WeightStore describes the rate-limited store of weights.
type WeightStore interface {
	// Rate is the store's total rate in bytes per second.
	Rate(ctx context.Context) (int64, error)
	// Size returns the number of bytes of the weights that one instance loads.
	Size(ctx context.Context, weights WeightID) (int64, error)
}
