package launcher

import (
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/garnetworks/garnetworks"
)

// proveTime bounds a question to a server. One that lives answers within milliseconds, and
// a host whose process has ended refuses as fast.
const proveTime = 200 * time.Millisecond

// mostReached is the number of other servers that are asked whether the node reaches a zone;
// one or two of them may have ended as well.
const mostReached = 3

// prove finds out whether a server's life has ended: by its entry, and if ask is set by
// asking the server. A host that does not answer proves nothing.
func (l *Launcher) prove(ctx context.Context, life garnetworks.Life, ask bool) garnetworks.EndState {
	servers := l.follower.Servers()
	s, ok := servers[life.Instance]
	switch {
	case !ok:
		// Before its first list a node knows of no server, and none of them has ended.
		if l.follower.ServersConfirmed().IsZero() {
			return garnetworks.EndSuspected
		}
		return garnetworks.EndProven
	case s.Life() != life:
		return garnetworks.EndProven
	case !ask:
		return garnetworks.EndSuspected
	}
	ctx, cancel := context.WithTimeout(ctx, proveTime)
	defer cancel()
	err := l.options.Orders.Probe(ctx, s.Address, life)
	switch {
	case err == nil && addressTaken(servers, &s):
		return garnetworks.EndSuspected // whoever answered
	case err == nil:
		return garnetworks.EndRefuted
	case garnetworks.IsKind(err, garnetworks.KindNotFound):
		return garnetworks.EndProven
	case errors.Is(err, syscall.ECONNREFUSED) && l.reaches(ctx, servers, &s):
		return garnetworks.EndRefused
	}
	return garnetworks.EndSuspected
}

// reaches reports whether another server of the zone answers the node.
//
// Failure: the node is cut off from a zone in such a way that its connections there are
// refused. It shows at all servers of the zone alike, and says nothing of any of them.
func (l *Launcher) reaches(ctx context.Context, servers map[garnetworks.InstanceID]garnetworks.RegisteredServer, s *garnetworks.RegisteredServer) bool {
	tries := 0
	for id := range servers {
		other := servers[id]
		if id == s.ID || other.Zone != s.Zone || other.Address == s.Address || tries == mostReached {
			continue
		}
		tries++
		err := l.options.Orders.Probe(ctx, other.Address, other.Life())
		// A plain server answers that it has no such report.
		if err == nil || garnetworks.IsKind(err, garnetworks.KindNotFound, garnetworks.KindInvalidRequest) {
			return true
		}
	}
	return false
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
