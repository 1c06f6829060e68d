// Package messenger is the RPC layer between entry nodes, and between operators and nodes:
// drpc over TCP with CBOR messages and mutual TLS.
//
// Its rules:
//
//	M1  Every call has a deadline, even if the caller set none.
//	M2  If no byte moves on a call's connection for the method's progress timeout,
//	    that connection and the idle ones to the same address are closed.
//	M3  A call is retried once, on a new connection, only if the first attempt used a
//	    reused connection. This is safe because every peer call is idempotent:
//	    heartbeats and reports are merged by incarnation, updates and proposals by
//	    version and commit identifier, the others only read.
//	M4  Messages, connections, concurrent calls and durations are bounded.
//	M5  Each message carries a hybrid logical timestamp; a message whose timestamp is
//	    too far ahead is rejected before it is processed.
//	M6  An error keeps its kind when it is sent to the caller.
//	M7  Without certificates, a server listens only on loopback addresses, unless the
//	    settings explicitly allow others.
package messenger

import (
	"context"
	"net"
	"time"

	"github.com/garnetworks/garnetworks"
)

// Limits of calls and connections.
const (
	// DefaultDeadline is the timeout of a call whose caller set no deadline (rule M1).
	DefaultDeadline = 5 * time.Second
	// DialTimeout bounds connecting and the TLS handshake.
	DialTimeout = time.Second
	// HandlerTimeout bounds the handling of one received call.
	HandlerTimeout = 10 * time.Second
	// WriteTimeout bounds one write to a connection.
	WriteTimeout = 10 * time.Second
	// IdleTimeout is how long a client keeps an idle connection.
	IdleTimeout = 30 * time.Second
	// MaxReuseAge is the age beyond which a client does not reuse a connection, so that
	// changed certificates take effect.
	MaxReuseAge = 10 * time.Minute
	// MaxConnectionAge is the age at which a server closes a connection. It exceeds
	// MaxReuseAge, so that no call of a conforming client is interrupted.
	MaxConnectionAge = 15 * time.Minute
	// InactivityTimeout is how long a server keeps a connection without calls.
	InactivityTimeout = 2 * time.Minute
	// MaxMessageBytes bounds one message, compressed or not. It fits the largest object of
	// the object API with its envelope.
	MaxMessageBytes = garnetworks.MaxObjectBytes + 256<<10
	// MaxConnections bounds a server's connections: MaxConnectionsPerAddress from each of 500
	// nodes of an availability zone, within half of the descriptors of the smallest machine.
	MaxConnections = 2000
	// MaxConcurrentCalls bounds the calls that a server handles concurrently, without those that
	// wait for an event.
	MaxConcurrentCalls = 256
	// MaxIdleConnections bounds a client's idle connections over all addresses; the one
	// idle for longest is closed first. Without it, distribution trees that change with
	// each update would leave every node connected to every other.
	MaxIdleConnections = 24
	// MaxConnectionsPerAddress bounds a client's connections to one address.
	MaxConnectionsPerAddress = 4
)

// Clock stamps and checks messages (rule M5). recorder.Recorder implements it.
type Clock interface {
	// Now returns the timestamp for a message to be sent.
	Now() garnetworks.Timestamp
	// Observe advances the clock by a received timestamp, or returns an error if the
	// message must be rejected.
	Observe(t garnetworks.Timestamp) error
	// Sample records the current timestamp of the node at the address source.
	Sample(source string, t garnetworks.Timestamp)
}

// optionalClock wraps a Clock that may be nil; without one it does nothing.
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

// nopRecorder discards all events.
type nopRecorder struct{}

func (nopRecorder) Record(garnetworks.Event) {}

// Listen listens on the address. Without keys it rejects all but loopback addresses,
// unless insecure is set (rule M7).
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

// CheckAddress returns an error if rule M7 forbids listening on the address.
func CheckAddress(address string, secured, insecure bool) error {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return garnetworks.WrapError(garnetworks.KindInvalidSettings, err, "peer address "+address)
	}
	if secured || insecure {
		return nil
	}
	// An unsecured port would accept updates from anyone, and nothing would show it until
	// someone exploited it, so startup fails instead.
	ip := net.ParseIP(host)
	if ip == nil || !ip.IsLoopback() {
		return garnetworks.Errorf(garnetworks.KindInvalidSettings, "peer address %s is not a loopback address and there are no certificates", address)
	}
	return nil
}

// withDefaultDeadline returns ctx with DefaultDeadline as its timeout if ctx has no
// deadline (rule M1).
func withDefaultDeadline(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, DefaultDeadline)
}
