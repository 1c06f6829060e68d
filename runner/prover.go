package runner

import (
	"context"
	"net"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"github.com/garnetworks/garnetworks"
)

// proveTime bounds a question to a server. One that lives answers within milliseconds.
const proveTime = 500 * time.Millisecond

// prove finds out whether the head of a group, under the group's token, or a plain server,
// which has none, has ended.
func (r *Runner) prove(ctx context.Context, life garnetworks.Life, ask bool) garnetworks.EndState {
	if life.Born == 0 {
		return r.proveServer(ctx, life.Instance, ask)
	}
	address := r.addressOf(life)
	if status, _, heard := r.prober.Table().Status(life.Instance); heard && uint64(life.Born) < uint64(status.Token) {
		return garnetworks.EndProven
	}
	if !ask || address == "" {
		return garnetworks.EndSuspected
	}
	ctx, cancel := context.WithTimeout(ctx, proveTime)
	defer cancel()
	status, err := r.platform.Probes.Status(ctx, address)
	switch {
	case err == nil && status.Instance == life.Instance && int64(status.Token) == life.Born:
		return garnetworks.EndRefuted
	case err == nil:
		return garnetworks.EndProven
	case errors.Is(err, unix.ECONNREFUSED):
		return garnetworks.EndRefused
	}
	return garnetworks.EndSuspected
}

// addressOf returns where the head of a group is, as far as a view tells it.
func (r *Runner) addressOf(life garnetworks.Life) string {
	for _, view := range r.views.all() {
		for i := range view.Groups {
			g := &view.Groups[i]
			if int64(g.Token) == life.Born && len(g.Members) > 0 && g.Members[0] == life.Instance {
				return g.Address
			}
		}
		for _, e := range view.Engines {
			if e.Instance == life.Instance {
				return e.Address
			}
		}
	}
	return ""
}

// proveServer asks a plain server by a new connection: its host refuses one once its
// process has ended. One that starts again at its address meanwhile is not told apart, and
// counts as the one that lived.
func (r *Runner) proveServer(ctx context.Context, instance garnetworks.InstanceID, ask bool) garnetworks.EndState {
	address := ""
	for _, view := range r.views.all() {
		for _, s := range view.Servers {
			if s.Instance == instance && !s.Leaving {
				address = s.Address
			}
		}
	}
	if !ask || address == "" {
		return garnetworks.EndSuspected
	}
	dialer := net.Dialer{Timeout: proveTime}
	c, err := dialer.DialContext(ctx, "tcp", address)
	switch {
	case err == nil:
		_ = c.Close()
		return garnetworks.EndRefuted
	case errors.Is(err, unix.ECONNREFUSED):
		return garnetworks.EndRefused
	}
	return garnetworks.EndSuspected
}
