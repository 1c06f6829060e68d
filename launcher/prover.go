package launcher

import (
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/quarantiner"
)

// proveTime bounds a question to a server. One that lives answers within milliseconds, and
// a host whose process has ended refuses as fast.
const probeTimeout = 200 * time.Millisecond

// prove finds out whether a server's life has ended, by asking in its place. A life whose
// entry is there is asked; one whose entry is gone only if ask is set. A host that does not
// answer proves nothing.
//
// Failure: a zone is cut off, and its servers' entries lapse though they live. Calls that
// broke off there were taken for what ended them, and kept from all servers. An entry that
// is gone is so no proof, nor is one of another start that an old view shows: only what
// answers at the address tells lives apart.
func (l *Launcher) probeIncarnation(ctx context.Context, incarnation garnetworks.Incarnation, unregistered bool) garnetworks.CrashState {
	servers := l.follower.Servers()
	s, registered := servers[incarnation.Instance]
	if !registered {
		var known bool
		if s, known = l.follower.Past(incarnation); !known || !unregistered {
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
	// Without a start, whoever listens at the address answers alike.
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

// reaches reports whether another server of the zone answers the node.
func (l *Launcher) zoneReachable(ctx context.Context, servers map[garnetworks.InstanceID]garnetworks.RegisteredServer, s *garnetworks.RegisteredServer) bool {
	var others []garnetworks.RegisteredServer
	for id := range servers {
		if other := servers[id]; id != s.ID && other.Zone == s.Zone && other.Address != s.Address {
			others = append(others, other)
		}
	}
	return quarantiner.AnyReachable(others, func(other garnetworks.RegisteredServer) bool {
		err := l.options.Orders.Probe(ctx, other.Address, other.Incarnation())
		// A plain server answers that it has no such report.
		return err == nil || garnetworks.IsKind(err, garnetworks.KindNotFound, garnetworks.KindInvalidRequest)
	})
}

// addressTaken reports whether another server is registered at the server's address: it
// started there after the one had ended.
func addressTaken(servers map[garnetworks.InstanceID]garnetworks.RegisteredServer, s *garnetworks.RegisteredServer) bool {
	for id := range servers {
		if other := servers[id]; id != s.ID && other.Address == s.Address {
			return true
		}
	}
	return false
}
