package connector

import (
	"github.com/garnetworks/garnetworks"
)

// HTTP headers of the calls to engines, plain services and the object API.
const (
	// HeaderAttempt carries the attempt's identifier; responses echo it.
	HeaderAttempt = "Garnet-Attempt"
	// HeaderCall carries the call's identifier; plain services echo it.
	HeaderCall = "Garnet-Call"
	// HeaderWorkspace carries the caller's workspace.
	HeaderWorkspace = "Garnet-Workspace"
	// HeaderGroup carries the replica group that must serve the call.
	HeaderGroup = "Garnet-Group"
	// HeaderToken carries the group's fencing token as a decimal number.
	HeaderToken = "Garnet-Fencing-Token"
	// HeaderResume carries the number of tokens already delivered to the caller.
	HeaderResume = "Garnet-Resume-From"
	// HeaderPriority carries the call's priority.
	HeaderPriority = "Garnet-Priority"
	// HeaderOutcome carries a garnetworks.Outcome.
	HeaderOutcome = "Garnet-Outcome"
	// HeaderRevision carries an object's revision. On a write, it is the revision that the
	// object must still have.
	HeaderRevision = "Garnet-Revision"
	// HeaderIdempotencyKey carries the caller's idempotency key.
	HeaderIdempotencyKey = "Idempotency-Key"
)

// HTTP paths of the platform and the engines.
const (
	PathObject      = "/platform/object"
	PathObjects     = "/platform/objects"
	PathWatch       = "/platform/watch"
	PathInstances   = "/platform/instances"
	PathPower       = "/platform/power"
	PathWeightRate  = "/platform/weights/rate"
	PathWeightSize  = "/platform/weights/size"
	PathOrders      = "/engine/orders"
	PathStatus      = "/engine/status"
	PathCacheEvents = "/engine/cache-events"
	PathGenerate    = "/engine/generate"
	PathKVCache     = "/engine/kv-cache"
)

// EventEnd is the SSE event type of the end marker.
const EventEnd = "end"

// Problem is the body of an error response.
type Problem struct {
	Kind   garnetworks.Kind `json:"kind"`
	Title  string           `json:"title,omitempty"`
	Status int              `json:"status,omitempty"`
	Detail string           `json:"detail,omitempty"`
	// RetryAfterMillis is 0 if the server gives no delay.
	RetryAfterMillis int64 `json:"retry-after-ms,omitempty"`
}

// ObjectBody is an object in the response to a list or a watch.
type ObjectBody struct {
	Key      string               `json:"key"`
	Value    []byte               `json:"value,omitempty"`
	Revision garnetworks.Revision `json:"revision"`
	Deleted  bool                 `json:"deleted,omitempty"`
}

// ObjectsBody is the response to a list or a watch.
type ObjectsBody struct {
	Objects []ObjectBody `json:"objects"`
	// Revision is the store's revision that the objects reflect.
	Revision garnetworks.Revision `json:"revision"`
}

// PowerBody is the response to a query for an instance's power state.
type PowerBody struct {
	State garnetworks.PowerState `json:"state"`
}

// BytesBody is the response to a query to the weight store.
type BytesBody struct {
	Bytes int64 `json:"bytes"`
}

// GenerateBody is the request body of a call to an engine.
type GenerateBody struct {
	Model       garnetworks.ModelName   `json:"model"`
	Adapter     garnetworks.AdapterName `json:"adapter,omitempty"`
	Prompt      string                  `json:"prompt"`
	MaxTokens   int                     `json:"max-tokens"`
	Temperature float64                 `json:"temperature,omitempty"`
	Stop        []string                `json:"stop,omitempty"`
	// Delivered is the text already delivered to the caller.
	Delivered string `json:"delivered,omitempty"`
	// FirstTokenMillis and DeadlineMillis are the times left when the call was sent; 0
	// means no limit. They are durations because clocks differ between machines.
	FirstTokenMillis int64 `json:"first-token-ms,omitempty"`
	DeadlineMillis   int64 `json:"deadline-ms,omitempty"`
}

// EventBody is the data of one server-sent event of a response.
type EventBody struct {
	Index        int                     `json:"index"`
	Tokens       int                     `json:"tokens"`
	Text         string                  `json:"text"`
	FinishReason string                  `json:"finish-reason,omitempty"`
	Load         *garnetworks.EngineLoad `json:"load,omitempty"`
}
