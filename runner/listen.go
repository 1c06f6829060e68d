package runner

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/acceptor"
	"github.com/garnetworks/garnetworks/evictor"
	"github.com/garnetworks/garnetworks/messenger"
	"github.com/garnetworks/garnetworks/server"
)

func (r *Runner) listen(network garnetworks.Option[Network]) error {
	if n, ok := network.Get(); ok {
		return r.listenOn(n)
	}

	if files := r.settings.PeerTLS; files.Enabled() {
		keys, err := messenger.LoadKeys(messenger.Files(files))
		if err != nil {
			return garnetworks.WrapError(garnetworks.KindInvalidSettings, err, "peer-tls")
		}
		r.keys = keys
	}
	config := server.ListenConfig()
	var err error
	if r.callers, err = config.Listen(context.Background(), "tcp", r.settings.Listen.Callers); err != nil {
		return garnetworks.WrapError(garnetworks.KindInvalidSettings, err, "listen.callers")
	}
	if r.peers, err = messenger.Listen(r.settings.Listen.Peers, r.keys, r.settings.AllowInsecure); err != nil {
		r.closeListeners()
		return garnetworks.WrapError(garnetworks.KindInvalidSettings, err, "listen.peers")
	}
	if r.admin, err = net.Listen("tcp", r.settings.Listen.Admin); err != nil {
		r.closeListeners()
		return garnetworks.WrapError(garnetworks.KindInvalidSettings, err, "listen.admin")
	}
	return nil
}

func (r *Runner) listenOn(n Network) error {
	var err error
	if r.callers, err = n.Listen(r.settings.Listen.Callers); err != nil {
		return err
	}
	if r.peers, err = n.Listen(r.settings.Listen.Peers); err != nil {
		return err
	}
	r.admin, err = n.Listen(r.settings.Listen.Admin)
	return err
}

func (r *Runner) closeListeners() {
	for _, l := range []net.Listener{r.callers, r.peers, r.admin} {
		if l != nil {
			_ = l.Close()
		}
	}
}

func (r *Runner) serveCallers(ctx context.Context) error {
	s := r.server.HTTPServer()
	s.MaxHeaderBytes = r.settings.Limits.HeaderBytes
	s.ReadHeaderTimeout = r.settings.Limits.HeaderTime
	s.ConnState, s.ConnContext = acceptor.Track, acceptor.WithConn
	return serveHTTP(ctx, s, func() error {
		listener := r.accept("callers", r.callers, r.settings.Limits.Connections)
		listener.Sealed = r.settings.CallerTLS.Enabled()
		if files := r.settings.CallerTLS; files.Enabled() {
			return s.ServeTLS(listener, files.Certificate, files.Key)
		}
		return s.Serve(listener)
	})
}

const (
	// adminIdleTime is how long an unused connection for checks or metrics is kept, and
	// maxAdminConnections the number of connections for them.
	adminIdleTime       = time.Minute
	maxAdminConnections = 64
)

// accept returns a listener that bounds what its connections hold; most is its number of connections.
func (r *Runner) accept(name string, listener net.Listener, most int) *acceptor.Listener {
	limits := &r.settings.Limits
	return &acceptor.Listener{
		Listener: listener, Pool: r.evictor.Pool(most), Evictor: r.evictor,
		Limits: func() acceptor.Limits {
			return acceptor.Limits{HeadBytes: int64(limits.HeaderBytes), HeadTime: limits.HeaderTime}
		},
		Ended: func(end acceptor.End) { r.meter.ConnectionEnded(name, string(end)) },
		Log:   func(err error) { r.log.Warn("can't accept connections", "listener", name, "error", err) },
	}
}

// newEvictor returns the budget of the connections of all listeners.
func (r *Runner) newEvictor() *evictor.Evictor {
	most, err := acceptor.MaxConnections(0)
	if err != nil {
		r.log.Warn("the limit of open files is not known", "error", err)
	}
	return evictor.New(evictor.Limits{Connections: most, HeadBytes: r.settings.Limits.TotalHeaderBytes})
}

func (r *Runner) serveAdmin(ctx context.Context) error {
	s := &http.Server{
		Handler: r.adminHandler(), ReadHeaderTimeout: r.settings.Limits.HeaderTime, MaxHeaderBytes: r.settings.Limits.HeaderBytes,
		IdleTimeout: adminIdleTime, ConnState: acceptor.Track, ConnContext: acceptor.WithConn,
	}
	return serveHTTP(ctx, s, func() error { return s.Serve(r.accept("admin", r.admin, maxAdminConnections)) })
}

func (r *Runner) servePeers(ctx context.Context) error {
	r.peerListener = r.accept("peers", r.peers, 0)
	r.peerListener.Messages = true
	return r.peerServer.Serve(ctx, r.peerListener)
}

// serveHTTP serves until ctx ends. Calls in flight must have ended by then.
func serveHTTP(ctx context.Context, s *http.Server, serve func() error) error {
	stop := context.AfterFunc(ctx, func() { _ = s.Close() })
	defer stop()
	err := serve()
	if errors.Is(err, http.ErrServerClosed) {
		return ctx.Err()
	}
	return err
}
