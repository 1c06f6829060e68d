package garnetworks

import (
	"context"
	"io"
	"net/http"
	"time"
)

// ProxiedCall is a client's call that is passed on whole and unread: method,
// target, headers and body reach the backend server as the client sent them.
type ProxiedCall struct {
	ID     CallID
	Method string
	// Host and Target are the request's host and its target (path and query) as
	// they stood on the request line.
	Host, Target string
	// Header holds the headers that travel from end to end, without those that
	// name the caller's key or that the system sets itself.
	Header http.Header
	Body   []byte
	// WorkspaceKey is the caller's workspace key; empty if it sent none.
	WorkspaceKey string
	// Received is when the node had read the request's headers.
	Received time.Time
	// Deadline is when the client gives up; the zero time if it did not say.
	Deadline time.Time
	// Model is empty for calls of plain services.
	Model ModelName
	// PromptTokens is the length of the prompt, MaxTokens the most tokens that
	// are generated.
	PromptTokens, MaxTokens int
	// EstimatedTokens is the client's estimate of the generated tokens, often far
	// off; 0 if it gave none.
	EstimatedTokens int
	// LastEvent is the last event that the client got of an earlier answer; empty
	// if it begins anew.
	LastEvent string
}

// ExpectedTokens is the number of tokens that the answer is expected to have: the
// client's estimate, or the most that are generated if it gave none.
func (c *ProxiedCall) ExpectedTokens() int {
	if c.EstimatedTokens > 0 {
		return c.EstimatedTokens
	}
	return c.MaxTokens
}

// ProxiedAttempt is one attempt of a call at one backend server.
type ProxiedAttempt struct {
	*ProxiedCall
	// Instance is the server that is meant; another one refuses.
	Instance  InstanceID
	Workspace WorkspaceName
	// ServerDeadline is when the server shall stop working on the call.
	ServerDeadline time.Time
	// Urgency is 0 to 9; a server lets calls with a lower one in first.
	Urgency int
	// ResumeAfter is the last event that the client has; empty for an answer from
	// its beginning.
	ResumeAfter string
	// AtMostOnce says that the call must not run twice, so that only a connection that
	// is surely alive may carry it.
	AtMostOnce bool
	// ConnectTime bounds the time to open a connection, AckTime that for which sent
	// bytes may stay unacknowledged; 0 leaves either to the adapter.
	ConnectTime, AckTime time.Duration
}

// ProxiedResponse is a backend server's answer whose headers have come.
type ProxiedResponse struct {
	Status int
	// Header holds the headers that travel from end to end.
	Header http.Header
	// Body must be closed. Its end is io.EOF only if the answer is whole.
	Body io.ReadCloser
	// FromServer says that the answer bears the mark of a backend server.
	FromServer bool
	// NotRun is the server's word that it did not begin the call.
	NotRun bool
	// FaultyInstance is the instance for whose sake the server refused, if it said.
	FaultyInstance InstanceID
}

// CallProxy passes calls on to backend servers. Errors are *AttemptError.
type CallProxy interface {
	Send(ctx context.Context, address string, attempt *ProxiedAttempt) (*ProxiedResponse, error)
}

// CallReader reads a client's call, except for its body. Errors are of kind
// KindInvalidRequest.
type CallReader interface {
	ReadCall(r *http.Request) (*ProxiedCall, error)
}

// SiteReader decodes the objects in which the platform keeps what operators and
// backend servers state.
type SiteReader interface {
	// RoutingKey is the key of the routing; its prefix may be watched.
	RoutingKey() string
	ReadRouting(value []byte) (*Routing, error)
	// ServerPrefix is the prefix of the keys of registered servers; what follows
	// it is the server's InstanceID.
	ServerPrefix() string
	ReadServer(id InstanceID, value []byte) (RegisteredServer, error)
}

// GroupOrderKind is what a GroupOrder asks for.
type GroupOrderKind string

const (
	// GroupJoin makes the instance a member of the group.
	GroupJoin GroupOrderKind = "join"
	// GroupOpen makes a ready head serve. Nobody checks the other members.
	GroupOpen GroupOrderKind = "open"
	// GroupClose makes a head finish its calls and become ready again.
	GroupClose GroupOrderKind = "close"
	// GroupLeave takes the instance out of the group at once.
	GroupLeave GroupOrderKind = "leave"
	// GroupStage loads a model onto the instance's host beside all other work.
	GroupStage GroupOrderKind = "stage"
)

// GroupOrder is an order to the engine on one instance.
type GroupOrder struct {
	Kind GroupOrderKind
	// Incarnation is the run of the engine that the order is meant for. A later one that
	// takes it is found by its entry, which tells its own start.
	Incarnation Incarnation
	Address     string
	// Token orders the holders of the lease that send orders; engines that check it
	// refuse one that is lower than one they have seen (rule G3).
	Token FencingToken
	// Group and Epoch are set for all kinds but GroupStage.
	Group GroupID
	Epoch FencingToken
	// Model is set for GroupJoin and GroupStage.
	Model ModelName
	// Members is set for GroupJoin; the first one is the head.
	Members []Incarnation
}

// GroupOrders sends orders to engines. Errors are of kind KindUnreachable (it
// was not sent), KindResponseLost, KindStaleToken (a newer order was taken) or
// KindConflict (it does not fit the engine's state).
type GroupOrders interface {
	SendOrder(ctx context.Context, order GroupOrder) error
	// Probe asks the engine at an address for its report and returns nil if the life
	// answered, and KindNotFound if a later one did.
	Probe(ctx context.Context, address string, incarnation Incarnation) error
}
