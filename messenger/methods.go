package messenger

import (
	"context"
	"time"

	"storj.io/drpc"

	"github.com/garnetworks/garnetworks"
)

// rpc describes one peer method with request type Q and response type A.
type rpc[Q, A any] struct {
	name string
	// progressTimeout is how long a waiting call may see no byte move (rule M2). It
	// includes the time that the handler needs.
	progressTimeout time.Duration
	// waits says that the handler may wait for an event. Such calls take no processor and do not
	// count towards MaxConcurrentCalls; MaxConnections bounds them, since a connection carries
	// one call at a time.
	waits bool
	// allowOperators permits calls with an operator's certificate.
	allowOperators    bool
	call              func(h garnetworks.PeerHandler, ctx context.Context, request *Q) (*A, error)
	requestTimestamp  func(request *Q) *garnetworks.Timestamp
	responseTimestamp func(response *A) *garnetworks.Timestamp
}

// Progress timeouts by type of method.
const (
	stateProgressTimeout   = time.Second
	readProgressTimeout    = 2 * time.Second
	proposeProgressTimeout = 5 * time.Second
)

// The methods. Names are short because every call carries one.
var (
	heartbeat = rpc[garnetworks.HeartbeatRequest, garnetworks.HeartbeatResponse]{
		name: "heartbeat", progressTimeout: stateProgressTimeout,
		call:              garnetworks.PeerHandler.Heartbeat,
		requestTimestamp:  func(m *garnetworks.HeartbeatRequest) *garnetworks.Timestamp { return &m.At },
		responseTimestamp: func(m *garnetworks.HeartbeatResponse) *garnetworks.Timestamp { return &m.At },
	}
	distribute = rpc[garnetworks.DistributeRequest, garnetworks.DistributeResponse]{
		name: "distribute", progressTimeout: stateProgressTimeout,
		call:              garnetworks.PeerHandler.Distribute,
		requestTimestamp:  func(m *garnetworks.DistributeRequest) *garnetworks.Timestamp { return &m.At },
		responseTimestamp: func(m *garnetworks.DistributeResponse) *garnetworks.Timestamp { return &m.At },
	}
	fetch = rpc[garnetworks.FetchRequest, garnetworks.FetchResponse]{
		name: "fetch", progressTimeout: stateProgressTimeout,
		call:              garnetworks.PeerHandler.Fetch,
		requestTimestamp:  func(m *garnetworks.FetchRequest) *garnetworks.Timestamp { return &m.At },
		responseTimestamp: func(m *garnetworks.FetchResponse) *garnetworks.Timestamp { return &m.At },
	}
	events = rpc[garnetworks.EventsRequest, garnetworks.EventsResponse]{
		name: "events", progressTimeout: readProgressTimeout, allowOperators: true,
		call:              garnetworks.PeerHandler.Events,
		requestTimestamp:  func(m *garnetworks.EventsRequest) *garnetworks.Timestamp { return &m.At },
		responseTimestamp: func(m *garnetworks.EventsResponse) *garnetworks.Timestamp { return &m.At },
	}
	status = rpc[garnetworks.StatusRequest, garnetworks.StatusResponse]{
		name: "status", progressTimeout: readProgressTimeout, allowOperators: true,
		call:              garnetworks.PeerHandler.Status,
		requestTimestamp:  func(m *garnetworks.StatusRequest) *garnetworks.Timestamp { return &m.At },
		responseTimestamp: func(m *garnetworks.StatusResponse) *garnetworks.Timestamp { return &m.At },
	}
	propose = rpc[garnetworks.ProposeRequest, garnetworks.ProposeResponse]{
		name: "propose", progressTimeout: proposeProgressTimeout, allowOperators: true,
		call:              garnetworks.PeerHandler.Propose,
		requestTimestamp:  func(m *garnetworks.ProposeRequest) *garnetworks.Timestamp { return &m.At },
		responseTimestamp: func(m *garnetworks.ProposeResponse) *garnetworks.Timestamp { return &m.At },
	}
	progress = rpc[garnetworks.ProgressRequest, garnetworks.ProgressResponse]{
		name: "progress", progressTimeout: readProgressTimeout, allowOperators: true,
		call:              garnetworks.PeerHandler.Progress,
		requestTimestamp:  func(m *garnetworks.ProgressRequest) *garnetworks.Timestamp { return &m.At },
		responseTimestamp: func(m *garnetworks.ProgressResponse) *garnetworks.Timestamp { return &m.At },
	}
	report = rpc[garnetworks.ReportRequest, garnetworks.ReportResponse]{
		name: "report", progressTimeout: stateProgressTimeout,
		call:              garnetworks.PeerHandler.Report,
		requestTimestamp:  func(m *garnetworks.ReportRequest) *garnetworks.Timestamp { return &m.At },
		responseTimestamp: func(m *garnetworks.ReportResponse) *garnetworks.Timestamp { return &m.At },
	}
	// Confirm requests go to many nodes each second and cause no event, so they carry no
	// timestamp.
	confirm = rpc[garnetworks.ConfirmRequest, garnetworks.ConfirmResponse]{
		name: "confirm", progressTimeout: stateProgressTimeout,
		call:              handleConfirm,
		requestTimestamp:  func(*garnetworks.ConfirmRequest) *garnetworks.Timestamp { return new(garnetworks.Timestamp) },
		responseTimestamp: func(m *garnetworks.ConfirmResponse) *garnetworks.Timestamp { return &m.At },
	}
)

// handleConfirm returns KindInvalidRequest if h does not implement ConfirmHandler, as in
// operators' programs and nodes of older versions.
func handleConfirm(h garnetworks.PeerHandler, ctx context.Context, request *garnetworks.ConfirmRequest) (*garnetworks.ConfirmResponse, error) {
	confirmer, ok := h.(garnetworks.ConfirmHandler)
	if !ok {
		return nil, garnetworks.Errorf(garnetworks.KindInvalidRequest, "the node takes no confirmations")
	}
	return confirmer.Confirm(ctx, request)
}

// methods is the drpc description of the peer service. It is written by hand because CBOR
// encodes plain structs without generated code.
type methods []describer

var _ drpc.Description = methods{}

// describer is an rpc of any request and response type.
type describer interface {
	describe() (name string, receiver drpc.Receiver, method any)
}

var peerMethods = methods{heartbeat, distribute, fetch, events, status, propose, progress, report, confirm, commitClaims, follow, exchange, verdict}

// NumMethods implements drpc.Description.
func (m methods) NumMethods() int { return len(m) }

// Method implements drpc.Description.
func (m methods) Method(n int) (string, drpc.Encoding, drpc.Receiver, any, bool) {
	if n < 0 || n >= len(m) {
		return "", nil, nil, nil, false
	}
	name, receiver, method := m[n].describe()
	return name, Encoding{}, receiver, method, true
}

func (r rpc[Q, A]) describe() (string, drpc.Receiver, any) {
	receiver := func(server any, ctx context.Context, request, _ any) (drpc.Message, error) {
		response, err := serve(ctx, server.(*Server), r, request.(*Q))
		if err != nil {
			return nil, err
		}
		return response, nil
	}
	return r.name, receiver, r.call
}
