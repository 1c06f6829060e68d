package garnetworks

import (
	"context"
	"io"
	"net/http"
	"time"
)

// ProxiedCall is a client's call that is forwarded unchanged: method, target,
// headers and body reach the backend server as the client sent them.
type ProxiedCall struct {
	ID     CallID
	Method string
	// Host and Target are the request's host and its target (path and query) as
	// they were on the request line.
	Host, Target string
	// Header holds the end-to-end headers, without those that carry the caller's
	// workspace key or that the system sets itself.
	Header http.Header
	Body   []byte
	// WorkspaceKey is the caller's workspace key; empty if it sent none.
	WorkspaceKey string
	// Received is when the node finished reading the request's headers.
	Received time.Time
	// Deadline is when the client gives up; zero if the client did not say.
	Deadline time.Time
	// Model is empty for calls of plain services.
	Model ModelName
	// PromptTokens is the length of the prompt, MaxTokens the most tokens that may be
	// generated.
	PromptTokens, MaxTokens int
	// EstimatedTokens is the client's estimate of the number of generated tokens, often
	// inaccurate; 0 if it gave none.
	EstimatedTokens int
	// LastEvent identifies the last event that the client received of an earlier response;
	// empty if the client starts from the beginning.
	LastEvent string
	// SharedParts identify the parts of the prompt in order, at most MaxSharedParts of them and
	// without the last one, which belongs to the call or its session.
	SharedParts []PromptPart
}

// ExpectedTokens returns the expected number of generated tokens: the client's
// estimate, or MaxTokens if it gave none.
func (c *ProxiedCall) ExpectedTokens() int {
	if c.EstimatedTokens > 0 {
		return c.EstimatedTokens
	}
	return c.MaxTokens
}

// ProxiedAttempt is one attempt of a call at one backend server.
type ProxiedAttempt struct {
	*ProxiedCall
	// Instance is the intended server; any other one refuses the attempt.
	Instance  InstanceID
	Workspace WorkspaceName
	// ServerDeadline is when the server must stop working on the call.
	ServerDeadline time.Time
	// Urgency is 0 to 9; servers admit calls with a lower value first.
	Urgency int
	// ResumeAfter identifies the last event that the client has; empty for a response from
	// the beginning.
	ResumeAfter string
	// AtMostOnce says that the call must not run twice, so it may only be sent over a
	// connection that is known to be alive.
	AtMostOnce bool
	// Repeated says that an earlier attempt of the call was sent. The responses to both carry the
	// call's identifier, so that a late one to the earlier attempt can't be distinguished
	// from that to this one on the same connection.
	Repeated bool
	// ConnectTime limits the time to open a connection, AckTime the time for which sent
	// bytes may stay unacknowledged; 0 means the adapter's default.
	ConnectTime, AckTime time.Duration
}

// ProxiedResponse is a backend server's response of which the headers have arrived.
type ProxiedResponse struct {
	Status int
	// Header holds the end-to-end headers.
	Header http.Header
	// Body must be closed. It ends with io.EOF only if the response is complete, as far as
	// EndsWithConnection allows to know.
	Body io.ReadCloser
	// EndsWithConnection says that the body has neither a length nor chunks: it ends with its
	// connection, as it does if the server crashes.
	EndsWithConnection bool
	// FromServer says that the response carries the header that backend servers set.
	FromServer bool
	// NotRun says that the server reported that it did not begin the call.
	NotRun bool
	// Reused says that the connection had carried another attempt, Unnamed that the response does
	// not carry the call's identifier.
	Reused, Unnamed bool
	// FaultyInstance is the instance because of which the server refused, if it named one.
	FaultyInstance InstanceID
	// Leaving says that the server is leaving and wants no further call.
	Leaving bool
	// RetryAfter is how long the server wants no call from this node, if it refused with one.
	RetryAfter time.Duration
	// CallLimit is the number of calls per second that the server takes from all nodes
	// together, if it named one; at least 0.
	CallLimit Option[float64]
}

// CallProxy forwards calls to backend servers. Errors are *AttemptError.
type CallProxy interface {
	Send(ctx context.Context, address string, attempt *ProxiedAttempt) (*ProxiedResponse, error)
}

// ServerConnector may be implemented by a CallProxy. Connect opens a connection to a backend server,
// to learn whether the node reaches it.
type ServerConnector interface {
	Connect(ctx context.Context, address string) error
}

// DelegatedCall is a client's call that a node hands to another one, which takes it over whole.
type DelegatedCall struct {
	// Request is the client's, of which Body was read.
	Request *http.Request
	Body    []byte
	// Elapsed is the time since the client's request was received.
	Elapsed time.Duration
}

// DelegatedResponse is the response of a node to a call that it took over.
type DelegatedResponse struct {
	Status int
	// Header holds the end-to-end headers.
	Header http.Header
	// Body must be closed. It ends with io.EOF only if the response is complete.
	Body io.ReadCloser
	// Untaken says that the node reaches no server either, or may send it no call: it did not run
	// the call, and another node may.
	Untaken bool
}

// CallDelegator hands a call to the node at an address. Errors are *AttemptError, of the connect
// phase only if the node did not receive the call.
type CallDelegator interface {
	Delegate(ctx context.Context, address string, call *DelegatedCall) (*DelegatedResponse, error)
}

// CallReader reads a client's call, without its body. Errors are of kind
// KindInvalidRequest.
type CallReader interface {
	ReadCall(r *http.Request) (*ProxiedCall, error)
}

// SiteReader decodes the objects in which the platform stores the configuration and the
// evacuations of operators, and the registrations of backend servers.
type SiteReader interface {
	// RoutingKey is the key of the routing object; it can be watched as a prefix.
	RoutingKey() string
	ReadRouting(value []byte) (*Routing, error)
	// ServerPrefix is the key prefix of registered servers; the rest of a key is the
	// server's InstanceID.
	ServerPrefix() string
	ReadServer(id InstanceID, value []byte) (RegisteredServer, error)
	// EvacuationPrefix is the key prefix of evacuations; the rest of a key is the
	// availability zone. An evacuation lasts as long as its object exists, whatever its value.
	EvacuationPrefix() string
}

// GroupOrderKind is the kind of a GroupOrder.
type GroupOrderKind string

const (
	// GroupJoin makes the instance a member of the group.
	GroupJoin GroupOrderKind = "join"
	// GroupOpen makes a ready head start serving. The other members' state is not checked.
	GroupOpen GroupOrderKind = "open"
	// GroupClose makes a head finish its calls and return to the ready state.
	GroupClose GroupOrderKind = "close"
	// GroupLeave removes the instance from its group immediately.
	GroupLeave GroupOrderKind = "leave"
	// GroupStage loads a model onto the instance's host, in parallel with other work.
	GroupStage GroupOrderKind = "stage"
)

// GroupOrder is an order to the engine on one instance.
type GroupOrder struct {
	Kind GroupOrderKind
	// Incarnation is the run of the engine that the order is meant for. If a later run
	// executes the order, this shows in its entry, which has its own start time.
	Incarnation Incarnation
	Address     string
	// Token orders the lease holders that send orders; engines that check it refuse an
	// order whose token is lower than one they have seen (rule G3).
	Token FencingToken
	// Group and Epoch are set for all kinds but GroupStage.
	Group GroupID
	Epoch FencingToken
	// Model is set for GroupJoin and GroupStage.
	Model ModelName
	// Members is set for GroupJoin; the first one is the head.
	Members []Incarnation
	// Conditional says that a GroupJoin may only take effect if the engine is in no other group.
	Conditional bool
	// Expect, if present, is the number of orders that the engine must have accepted; otherwise it
	// refuses the order.
	Expect Option[uint64]
}

// EngineReport is an engine's report of itself, as it was at one moment some time ago.
type EngineReport struct {
	// Membership is empty if the engine is in no group.
	Membership Membership
	// Accepted is the number of orders that the engine has accepted, if it reports that.
	Accepted Option[uint64]
}

// GroupOrders sends orders to engines. Errors are of kind KindUnreachable (the order
// was not sent), KindResponseLost, KindStaleToken (the engine has seen a newer order)
// or KindConflict (the order does not fit the engine's state).
type GroupOrders interface {
	SendOrder(ctx context.Context, order GroupOrder) error
	// Probe requests the report of the engine at an address. It returns nil if that
	// incarnation answered, and KindNotFound if a later one did.
	Probe(ctx context.Context, address string, incarnation Incarnation) error
	// Report does the same and returns the report. It fails if that can't be read.
	Report(ctx context.Context, address string, incarnation Incarnation) (EngineReport, error)
}
