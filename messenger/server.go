package messenger

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcwire"

	"github.com/garnetworks/garnetworks"
)

// ServerOptions configure a Server.
type ServerOptions struct {
	Handler garnetworks.PeerHandler
	// Keys enable mutual TLS; nil means plain TCP.
	Keys *Keys
	// Clock may be nil; messages are then neither stamped nor checked.
	Clock Clock
	// Traffic counts the server's traffic; it may be nil.
	Traffic *Traffic
	// Log receives errors that can't be returned to a caller; it may be nil.
	Log func(error)
	// Activity returns what is notified of the calls on the connection from an address, and false if nothing
	// is; it may be nil.
	Activity func(client net.Addr) (Activity, bool)
}

// Activity is notified when the calls on a connection begin and end.
type Activity interface {
	// BeginCall says that a call has arrived whole and is being handled, EndCall that it was handled.
	BeginCall()
	EndCall()
}

// Server serves the peer methods to other nodes and operators.
type Server struct {
	options ServerOptions
	clock   optionalClock
	drpc    *drpcserver.Server
	// connections and calls hold a token for each one that is open (rule M4).
	connections, calls chan struct{}
}

// NewServer returns a server that passes calls to options.Handler.
func NewServer(options ServerOptions) (*Server, error) {
	if options.Traffic == nil {
		options.Traffic = new(Traffic)
	}
	if options.Log == nil {
		options.Log = func(error) {}
	}
	s := &Server{
		options:     options,
		clock:       optionalClock{options.Clock},
		connections: make(chan struct{}, MaxConnections),
		calls:       make(chan struct{}, MaxConcurrentCalls),
	}
	mux := drpcmux.New()
	if err := mux.Register(s, peerMethods); err != nil {
		return nil, errors.Wrap(err, "can't register the peer methods")
	}
	s.drpc = drpcserver.NewWithOptions(mux, drpcserver.Options{Manager: managerOptions()})
	return s, nil
}

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{
		Reader:            drpcwire.ReaderOptions{MaximumBufferSize: MaxMessageBytes + 1024},
		InactivityTimeout: InactivityTimeout,
	}
}

// Serve accepts connections until ctx ends, then closes the listener and returns when all
// connections have ended.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	ctx, cancel := context.WithCancel(ctx)
	var group sync.WaitGroup
	defer group.Wait()
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	for {
		conn, err := listener.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			if !s.backOff(ctx, err) {
				return errors.Wrap(err, "can't accept connections")
			}
			continue
		}
		if !s.admit(conn) {
			continue
		}
		group.Go(func() {
			defer func() { <-s.connections }()
			s.serveConn(ctx, conn)
		})
	}
}

// backOff logs and waits after a failed accept, such as for too many open files. It
// returns false if the listener is closed.
func (s *Server) backOff(ctx context.Context, err error) bool {
	if errors.Is(err, net.ErrClosed) {
		return false
	}
	s.options.Log(err)
	select {
	case <-ctx.Done():
	case <-time.After(100 * time.Millisecond):
	}
	return true
}

// admit takes a slot for the connection, or closes it if there is none (rule M4).
func (s *Server) admit(conn net.Conn) bool {
	select {
	case s.connections <- struct{}{}:
		return true
	default:
		s.options.Traffic.refused.Add(1)
		_ = conn.Close()
		return false
	}
}

func (s *Server) serveConn(ctx context.Context, conn net.Conn) {
	ctx, cancel := context.WithTimeout(ctx, MaxConnectionAge)
	defer cancel()
	metered := newMeteredConn(conn, s.options.Traffic)
	defer func() { _ = metered.Close() }()
	if s.options.Activity != nil {
		if activity, ok := s.options.Activity(conn.RemoteAddr()); ok {
			ctx = context.WithValue(ctx, activityKey{}, activity)
		}
	}
	if s.options.Keys == nil {
		_ = s.drpc.ServeOne(withRole(ctx, roleNode), metered)
		return
	}
	secured := tls.Server(metered, s.options.Keys.serverConfig())
	role, err := handshake(ctx, secured)
	if err != nil {
		s.options.Log(errors.Wrapf(err, "rejected connection from %s", conn.RemoteAddr()))
		return
	}
	_ = s.drpc.ServeOne(withRole(ctx, role), secured)
}

func handshake(ctx context.Context, conn *tls.Conn) (role, error) {
	ctx, cancel := context.WithTimeout(ctx, DialTimeout)
	defer cancel()
	if err := conn.HandshakeContext(ctx); err != nil {
		return "", err
	}
	return roleOf(conn.ConnectionState())
}

// serve handles one received call and encodes its error, if any.
func serve[Q, A any](ctx context.Context, s *Server, r rpc[Q, A], request *Q) (*A, error) {
	response, err := handle(ctx, s, r, request)
	s.options.Traffic.messagesReceived.Add(1)
	s.options.Traffic.messagesSent.Add(1)
	if err != nil {
		var at garnetworks.Timestamp
		s.clock.stamp(&at)
		return nil, encodeFailure(err, at)
	}
	// Copies the response, because the handler may return the same one to several calls.
	stamped := *response
	s.clock.stamp(r.responseTimestamp(&stamped))
	return &stamped, nil
}

// activityKey is the key of a connection's Activity in the context of its calls.
type activityKey struct{}

func handle[Q, A any](ctx context.Context, s *Server, r rpc[Q, A], request *Q) (*A, error) {
	if activity, ok := ctx.Value(activityKey{}).(Activity); ok {
		activity.BeginCall()
		defer activity.EndCall()
	}
	if !r.waits {
		select {
		case s.calls <- struct{}{}:
			defer func() { <-s.calls }()
		default:
			s.options.Traffic.refused.Add(1)
			return nil, garnetworks.Errorf(garnetworks.KindOverloaded, "the node works on %d peer calls already", MaxConcurrentCalls)
		}
	}
	if !r.allowOperators && roleFrom(ctx) != roleNode {
		return nil, garnetworks.Errorf(garnetworks.KindForbidden, "%s needs a node's certificate", r.name)
	}
	if err := s.clock.observe(*r.requestTimestamp(request)); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, HandlerTimeout)
	defer cancel()
	response, err := r.call(s.options.Handler, ctx, request)
	if err == nil && response == nil {
		err = garnetworks.Errorf(garnetworks.KindInternal, "%s gave no answer", r.name)
	}
	return response, err
}
