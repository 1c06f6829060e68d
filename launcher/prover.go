package launcher

import (
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/quarantiner"
)

// probeTimeout bounds a probe of a server. A live server answers within milliseconds, and a
// host whose server process has ended refuses the connection as fast.
const probeTimeout = 200 * time.Millisecond

// probeIncarnation finds out whether a server's incarnation has crashed, by contacting its
// address. An incarnation that is no longer registered is contacted only if unregistered is
// set. A host that does not answer proves nothing.
//
// Failure: entries of servers in a partitioned zone expire though the servers live, and calls
// interrupted there would be taken for the cause and kept from all servers. So neither a
// missing entry nor an outdated entry with another start time is proof: only what answers at
// the address tells incarnations apart.
func (l *Launcher) probeIncarnation(ctx context.Context, incarnation garnetworks.Incarnation, unregistered bool) garnetworks.CrashState {
	servers := l.follower.Servers()
	s, registered := servers[incarnation.Instance]
	if !registered {
		var known bool
		if s, known = l.follower.LastEntry(incarnation); !known || !unregistered {
			return garnetworks.CrashSuspected
		}
	}
	addressReused := addressTaken(servers, &s)
	if !registered && addressReused && incarnation.StartMS == 0 {
		return garnetworks.CrashProven
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	err := l.options.Orders.Probe(ctx, s.Address, incarnation)
	// Without a start time, any server at the address gives the same answer.
	ambiguous := addressReused || incarnation.StartMS == 0 && (!registered || s.Incarnation() != incarnation)
	switch {
	case err == nil && ambiguous:
		return garnetworks.CrashSuspected
	case err == nil:
		return garnetworks.CrashRefuted
	case garnetworks.IsKind(err, garnetworks.KindNotFound):
		return garnetworks.CrashProven
	case errors.Is(err, syscall.ECONNREFUSED) && l.zoneReachable(ctx, servers, &s):
		return garnetworks.CrashConnectionRefused
	}
	return garnetworks.CrashSuspected
}

// zoneReachable reports whether another server of the server's zone answers this node.
func (l *Launcher) zoneReachable(ctx context.Context, servers map[garnetworks.InstanceID]garnetworks.RegisteredServer, s *garnetworks.RegisteredServer) bool {
	var others []garnetworks.RegisteredServer
	for id := range servers {
		if other := servers[id]; id != s.ID && other.Zone == s.Zone && other.Address != s.Address {
			others = append(others, other)
		}
	}
	return quarantiner.AnyReachable(others, func(other garnetworks.RegisteredServer) bool {
		err := l.options.Orders.Probe(ctx, other.Address, other.Incarnation())
		// A plain server rejects the probe, since it has no such report, but is reachable.
		return err == nil || garnetworks.IsKind(err, garnetworks.KindNotFound, garnetworks.KindInvalidRequest)
	})
}

// addressTaken reports whether another server is registered at the server's address, having
// started there after the server had ended.
func addressTaken(servers map[garnetworks.InstanceID]garnetworks.RegisteredServer, s *garnetworks.RegisteredServer) bool {
	for id := range servers {
		if other := servers[id]; id != s.ID && other.Address == s.Address {
			return true
		}
	}
	return false
}
