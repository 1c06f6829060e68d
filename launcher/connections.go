package launcher

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sys/unix"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/acceptor"
	"github.com/garnetworks/garnetworks/evictor"
	"github.com/garnetworks/garnetworks/messenger"
)

const (
	// headerTimeout bounds reading a request's head where the routing has no time for it, and of
	// requests that are not callers'. idleTimeout is the same for unused connections.
	headerTimeout = 10 * time.Second
	idleTimeout   = 60 * time.Second
	// maxHeaderBytes bounds the head of a caller's request if the routing does not, and that of a call that
	// another node hands over beyond carriedBytes. checkHeaderBytes bounds that of readiness checks and
	// requests for metrics.
	maxHeaderBytes   = 64 << 10
	carriedBytes     = 1 << 10
	checkHeaderBytes = 8 << 10
	// writeTimeout is how long a client may take nothing of its answer.
	writeTimeout = 20 * time.Second
	// headFraction is the part of the node's memory that the heads of requests may take.
	headFraction = 0.1
	// connectionFraction is the part of it that open connections may take with what the kernel has
	// received for them, connectionBytes each.
	connectionFraction = 0.4
	connectionBytes    = 12<<10 + 2*receiveBuffer
	// receiveBuffer is the size that the kernel is asked for, which takes twice as much.
	receiveBuffer = 16 << 10
	// checkConnections bounds the connections for readiness checks, and those for metrics.
	checkConnections = 64
	// shortageInterval is the time between two log lines about connections that were ended.
	shortageInterval = 10 * time.Second
)

// connections bounds what the connections of all listeners hold.
type connections struct {
	launcher *Launcher
	evictor  *evictor.Evictor
	// peers is the listener for other nodes.
	peers *acceptor.Listener
	// ended counts the connections that were ended since the last log line.
	ended atomic.Int64
	// requests is the context that the contexts of all requests derive from, endRequests ends it.
	requests    context.Context
	endRequests context.CancelCauseFunc
}

func newConnections(l *Launcher) *connections {
	site := &l.options.Site
	most, err := acceptor.MaxConnections(site.MaxConnections)
	if err != nil {
		l.options.Logger.Warn("the limit of open files is not known", "error", err)
	}
	c := &connections{launcher: l, evictor: evictor.New(connectionLimits(site.MemoryBytes, most))}
	c.requests, c.endRequests = context.WithCancelCause(context.Background())
	return c
}

// connectionLimits returns the limits of a node with that much memory, 0 if it is not bounded, which may accept
// that many connections for its descriptors, 0 if that is not known.
func connectionLimits(memory int64, connections int) evictor.Limits {
	limits := evictor.Limits{Connections: connections}
	if memory <= 0 {
		return limits
	}
	limits.HeadBytes = int64(float64(memory) * headFraction)
	if most := int(float64(memory) * connectionFraction / connectionBytes); limits.Connections == 0 || limits.Connections > most {
		limits.Connections = most
	}
	return limits
}

// accept returns the listeners as ones that only end when they are closed and that bound what
// their connections hold.
func (c *connections) accept(listeners Listeners, prefixBytes int) Listeners {
	c.peers = c.listener("peers", listeners.Peers, 0, c.peerLimits)
	c.peers.PrefixBytes, c.peers.Messages = prefixBytes, true
	accepted := Listeners{
		Callers: c.listener("callers", listeners.Callers, 0, c.callerLimits),
		Ready:   c.listener("ready", listeners.Ready, checkConnections, checkLimits),
		Peers:   c.peers,
	}
	if listeners.Metrics != nil {
		accepted.Metrics = c.listener("metrics", listeners.Metrics, checkConnections, checkLimits)
	}
	return accepted
}

// activity returns the connection from another node's address.
func (c *connections) activity(client net.Addr) (messenger.Activity, bool) {
	return c.peers.Find(client)
}

func (c *connections) listener(name string, listener net.Listener, most int, limits func() acceptor.Limits) *acceptor.Listener {
	return &acceptor.Listener{
		Listener: listener, Limits: limits, Pool: c.evictor.Pool(most), Evictor: c.evictor, WriteTime: writeTimeout,
		Ended: func(end acceptor.End) {
			c.ended.Add(1)
			c.launcher.meter.ConnectionEnded(name, string(end))
		},
		Log: func(err error) {
			c.launcher.options.Logger.Warn("can't accept connections", "listener", name, "error", err)
		},
	}
}

// callerLimits returns the routing's limits, and defaults if none is known.
func (c *connections) callerLimits() acceptor.Limits {
	limits := acceptor.Limits{HeadBytes: maxHeaderBytes, HeadTime: headerTimeout}
	if index := c.launcher.follower.Index(); index != nil {
		limits.HeadBytes = cmp.Or(index.Limits.HeaderBytes, limits.HeadBytes)
		limits.HeadTime = cmp.Or(index.Limits.HeaderTime, limits.HeadTime)
		limits.IdleTime = index.Limits.IdleTime
	}
	return limits
}

// peerLimits returns the limits of calls that other nodes hand over, whose heads have some fields more.
func (c *connections) peerLimits() acceptor.Limits {
	return acceptor.Limits{HeadBytes: max(c.callerLimits().HeadBytes, maxHeaderBytes) + carriedBytes, HeadTime: headerTimeout}
}

func checkLimits() acceptor.Limits {
	return acceptor.Limits{HeadBytes: checkHeaderBytes, HeadTime: headerTimeout}
}

// server returns an HTTP server for a listener of accept. The listener's limits hold, which may change.
func (c *connections) server(handler http.Handler) *http.Server {
	return &http.Server{
		BaseContext: func(net.Listener) context.Context { return c.requests },
		Handler:     handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		ConnState: acceptor.Track, ConnContext: acceptor.WithConn,
		// A handler's panic shows only as a closed connection and in this log.
		ErrorLog: c.launcher.options.Logger.Named("http").StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Warn}),
	}
}

// report updates the metrics.
func (c *connections) report() {
	counts := c.evictor.Count()
	for stage, n := range counts.Stages {
		c.launcher.meter.Connections(evictor.Stage(stage).String(), n)
	}
	c.launcher.meter.HeadBytes(counts.HeadBytes)
}

// logEnded logs how many connections were ended, if any were, until ctx ends.
func (c *connections) logEnded(ctx context.Context) error {
	ticker := time.NewTicker(shortageInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			if n := c.ended.Swap(0); n > 0 {
				counts := c.evictor.Count()
				c.launcher.options.Logger.Warn("connections were refused or ended", "count", n, "open", counts.Open(), "head-bytes", counts.HeadBytes)
			}
		}
	}
}

// listenOn listens on an address. The kernel receives no more than receiveBuffer asks for before the node
// has read it.
func (l *Launcher) listenOn(address, purpose string) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var failed error
		err := raw.Control(func(descriptor uintptr) {
			failed = unix.SetsockoptInt(int(descriptor), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBuffer)
		})
		if failed != nil || err != nil {
			l.options.Logger.Warn("the receive buffers are not bounded", "address", address, "error", cmp.Or(failed, err))
		}
		return nil
	}}
	listener, err := config.Listen(context.Background(), "tcp4", address)
	if err != nil {
		return nil, garnetworks.WrapError(garnetworks.KindInvalidSettings, err, "can't listen on the address for "+purpose)
	}
	return listener, nil
}
