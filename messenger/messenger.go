// Package messenger carries the calls between entry nodes, and from operators
// to nodes: drpc over TCP with CBOR messages, secured by mutual TLS.
//
// Its rules:
//
//	M1  Each call has a deadline, also where the caller set none.
//	M2  A call whose connection moves no byte within the method's progress bound
//	    ends its connection and the idle ones to the same address.
//	M3  A call is sent a second time, on a new connection, only if the first one
//	    went over a reused connection. That is safe because each peer call is
//	    idempotent: heartbeats and reports are merged by incarnation, updates
//	    and proposals by version and commit identifier, the rest only reads.
//	M4  Messages, connections, calls in progress and times are bounded.
//	M5  Each message carries a hybrid logical timestamp; one that is too far
//	    ahead is refused before anything is done for it.
//	M6  An error keeps its kind on the way.
//	M7  Without certificates, no address but a loopback one is listened on,
//	    unless the settings say so outright.
package messenger

import (
	"context"
	"net"
	"time"

	"github.com/garnetworks/garnetworks"
)

// Bounds of calls and connections.
const (
	// DefaultDeadline bounds a call whose caller set no deadline (rule M1).
	DefaultDeadline = 5 * time.Second
	// DialTimeout bounds connecting, including the TLS handshake.
	DialTimeout = time.Second
	// HandlerTimeout bounds the work on one received call.
	HandlerTimeout = 10 * time.Second
	// WriteTimeout ends a connection whose other side takes no bytes.
	WriteTimeout = 10 * time.Second
	// IdleTimeout is how long an unused connection is kept.
	IdleTimeout = 30 * time.Second
	// MaxReuseAge is the age from which a client does not use a connection for
	// another call, so that changed certificates come into force.
	MaxReuseAge = 10 * time.Minute
	// MaxConnectionAge is the age at which a server ends a connection; above
	// MaxReuseAge, so that only a client that breaks the rules loses a call.
	MaxConnectionAge = 15 * time.Minute
	// InactivityTimeout is how long a server keeps a connection without calls.
	InactivityTimeout = 2 * time.Minute
	// MaxMessageBytes bounds one message, compressed or not: a value of the
	// object API's largest size with its envelope.
	MaxMessageBytes = garnetworks.MaxObjectBytes + 256<<10
	// MaxConnections bounds a server's connections.
	MaxConnections = 1024
	// MaxConcurrentCalls bounds a server's calls in progress.
	MaxConcurrentCalls = 256
	// MaxIdleConnections bounds a client's unused connections over all addresses; the one
	// that was unused for longest gives way. Trees that differ from update to
	// update would else join each node with each other one.
	MaxIdleConnections = 24
	// MaxConnectionsPerAddress bounds a client's connections to one address.
	MaxConnectionsPerAddress = 4
)

// Clock stamps messages (rule M5). recorder.Recorder is one.
type Clock interface {
	// Now returns a timestamp for a message to be sent.
	Now() garnetworks.Timestamp
	// Observe takes in a received timestamp, or says that the message must be
	// refused.
	Observe(t garnetworks.Timestamp) error
	// Sample takes in what the clock of the node at an address read just now.
	Sample(source string, t garnetworks.Timestamp)
}

// optionalClock stamps messages by a clock; without one it leaves them as they are.
type optionalClock struct{ clock Clock }

func (o optionalClock) stamp(t *garnetworks.Timestamp) {
	if o.clock != nil {
		*t = o.clock.Now()
	}
}

func (o optionalClock) observe(t garnetworks.Timestamp) error {
	if o.clock == nil {
		return nil
	}
	return o.clock.Observe(t)
}

func (o optionalClock) sample(source string, t garnetworks.Timestamp) {
	if o.clock != nil {
		o.clock.Sample(source, t)
	}
}

// nopRecorder is the recorder of a program that records nothing.
type nopRecorder struct{}

func (nopRecorder) Record(garnetworks.Event) {}

// Listen opens the address for a server. Without keys it refuses any but a
// loopback address, unless insecure is set (rule M7).
func Listen(address string, keys *Keys, insecure bool) (net.Listener, error) {
	if err := CheckAddress(address, keys != nil, insecure); err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, garnetworks.WrapError(garnetworks.KindInvalidSettings, err, "can't listen for peers on "+address)
	}
	return listener, nil
}

// CheckAddress reports whether an address may be listened on (rule M7).
func CheckAddress(address string, secured, insecure bool) error {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return garnetworks.WrapError(garnetworks.KindInvalidSettings, err, "peer address "+address)
	}
	if secured || insecure {
		return nil
	}
	// An open port that takes updates from anyone gives the site away. It would
	// show only once somebody used it, so the process refuses to start instead.
	ip := net.ParseIP(host)
	if ip == nil || !ip.IsLoopback() {
		return garnetworks.Errorf(garnetworks.KindInvalidSettings, "peer address %s is not a loopback address and there are no certificates", address)
	}
	return nil
}

// withDefaultDeadline returns a context that ends by the default deadline if ctx has none
// (rule M1).
func withDefaultDeadline(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, DefaultDeadline)
}
