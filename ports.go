package garnetworks

import (
	"context"
	"time"
)

// Object is a stored value with its version.
type Object struct {
	Key      string
	Value    []byte
	Revision Revision
	// Deleted is set only in changes that Watch returns.
	Deleted bool
}

// ObjectAPI is the platform's store. Every method counts as one call against
// its rates, a waiting watch too. Errors are of kind KindNotFound,
// KindConflict, KindCompacted, KindTooLarge, KindThrottled, KindObjectAPIDown
// (the call may have taken effect only if it was a write and the error is
// KindResponseLost) or KindResponseLost.
type ObjectAPI interface {
	// Get returns the newest object, or KindNotFound.
	Get(ctx context.Context, key string) (Object, error)
	// Put writes value if the object's revision is still after; after 0 creates
	// it. It returns KindConflict if the revision differs.
	Put(ctx context.Context, key string, value []byte, after Revision) (Revision, error)
	// Delete removes the object if its revision is still after.
	Delete(ctx context.Context, key string, after Revision) error
	// List returns the objects whose keys begin with prefix, in key order, and
	// the revision of the whole store that they reflect.
	List(ctx context.Context, prefix string) ([]Object, Revision, error)
	// Watch waits until an object under prefix changes after revision after, or
	// wait is over, and returns the changes in order (none at the end of wait)
	// and the revision to go on from. KindCompacted asks to list again.
	Watch(ctx context.Context, prefix string, after Revision, wait time.Duration) ([]Object, Revision, error)
}

// ListedState is an instance's state in the instance list.
type ListedState string

const (
	// ListedLive instances run.
	ListedLive ListedState = "live"
	// ListedLeaving instances will be stopped soon.
	ListedLeaving ListedState = "leaving"
)

// ListedInstance is a row of the platform's instance list.
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

// InstanceList is the platform's list of backend instances. It lags: rows can
// be missing, stale, or name instances that are gone.
type InstanceList interface {
	// Instances returns the rows of one zone.
	Instances(ctx context.Context, zone ZoneID) ([]ListedInstance, error)
}

// PowerOrder asks for an instance's power to change.
type PowerOrder struct {
	// ID is unique to the decision; a repeated order has the same one.
	ID       string       `json:"id"`
	Instance InstanceID   `json:"instance"`
	On       bool         `json:"on"`
	Token    FencingToken `json:"token"`
}

// PowerSwitch turns instances on and off. An order's answer can be lost after
// its effect (KindResponseLost).
type PowerSwitch interface {
	// SetPower carries out the order; KindStaleToken refuses it.
	SetPower(ctx context.Context, order PowerOrder) error
	// Power returns the instance's proven state: on or off.
	Power(ctx context.Context, instance InstanceID) (PowerState, error)
}

// OrderKind is what an engine order asks for.
type OrderKind string

const (
	// OrderForm makes the instance a member of a group and loads its weights.
	OrderForm OrderKind = "form"
	// OrderRelease takes the instance out of its group; calls end as refused or
	// finish within the drain.
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
	// LoadRate is the instance's share of the weight store in bytes a second; 0
	// leaves it to the engine.
	LoadRate int64 `json:"load-rate,omitempty"`
}

// EnginePhase is what an engine is doing.
type EnginePhase string

const (
	// EngineIdle engines are members of no group.
	EngineIdle EnginePhase = "idle"
	// EngineLoading engines load weights.
	EngineLoading EnginePhase = "loading"
	// EngineReady engines serve.
	EngineReady EnginePhase = "ready"
	// EngineDraining engines take no new calls.
	EngineDraining EnginePhase = "draining"
)

// EngineStatus is an engine's own word on its state.
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
	// LastOrder is the ID of the last order carried out.
	LastOrder string `json:"last-order,omitempty"`
	// Leaving is the server's own word that it will stop.
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

// CacheEvent says that a prompt prefix entered or left an engine's cache.
type CacheEvent struct {
	// Number counts from 1 without gaps at the engine; a gap at the reader means
	// lost events.
	Number uint64 `json:"number"`
	// Block is the hash of the prefix block.
	Block uint64 `json:"block"`
	// Added is false for an eviction.
	Added bool `json:"added"`
}

// CacheEvents reads an engine's cache events, which come late and with gaps.
type CacheEvents interface {
	CacheEvents(ctx context.Context, address string, after uint64) ([]CacheEvent, error)
}

// EngineCaller sends calls to replica groups. Errors are *AttemptError.
type EngineCaller interface {
	// Generate starts an attempt. The stream is not nil if the error is nil and
	// must be closed.
	Generate(ctx context.Context, address string, call *EngineCall) (EngineStream, error)
}

// EngineStream is the answer of one attempt.
type EngineStream interface {
	// Next fills in the next chunk. After a chunk with End it returns io.EOF;
	// io.EOF before End never happens: a broken answer is an *AttemptError.
	Next(chunk *Chunk) error
	// Close ends the attempt and cancels it at the engine if it is not whole.
	Close() error
}

// ServiceCaller sends calls to plain services. Errors are *AttemptError.
type ServiceCaller interface {
	Call(ctx context.Context, address string, call *ServiceCall) (ServiceResponse, error)
}

// WeightStore tells what the rate-limited store of weights can give.
type WeightStore interface {
	// Rate is the store's whole rate in bytes a second.
	Rate(ctx context.Context) (int64, error)
	// Size returns the bytes of one instance's share of the weights.
	Size(ctx context.Context, weights WeightID) (int64, error)
}
