package runner

import (
	"context"
	"net"
	"slices"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/quarantiner"
)

// crashProbeTimeout limits one crash probe.
const crashProbeTimeout = 500 * time.Millisecond

// probeCrash checks whether a server has crashed: a plain server if the incarnation has no
// start time, otherwise the head of the group whose token is the start time.
func (r *Runner) probeCrash(ctx context.Context, incarnation garnetworks.Incarnation, _ bool) garnetworks.CrashState {
	if incarnation.StartMS == 0 {
		return r.probeServerCrash(ctx, incarnation.Instance)
	}
	address, zone := r.addressOf(incarnation)
	if address == "" {
		return garnetworks.CrashSuspected
	}
	ctx, cancel := context.WithTimeout(ctx, crashProbeTimeout)
	defer cancel()
	status, err := r.platform.Probes.Status(ctx, address)
	switch {
	case err == nil && status.Instance == incarnation.Instance && int64(status.Token) == incarnation.StartMS:
		return garnetworks.CrashRefuted
	case err == nil && status.Instance == incarnation.Instance && int64(status.Token) > incarnation.StartMS:
		// A group that was cut off can be formed again under a later token although no
		// member has crashed.
		return garnetworks.CrashSuspected
	case err == nil:
		return garnetworks.CrashProven
	case errors.Is(err, unix.ECONNREFUSED) && r.zoneReachable(ctx, zone, address):
		return garnetworks.CrashConnectionRefused
	}
	return garnetworks.CrashSuspected
}

// addressOf returns the address and zone of a group's head, or empty strings if no view
// lists it.
func (r *Runner) addressOf(incarnation garnetworks.Incarnation) (string, garnetworks.ZoneID) {
	for _, view := range r.views.all() {
		for i := range view.Groups {
			g := &view.Groups[i]
			if int64(g.Token) == incarnation.StartMS && len(g.Members) > 0 && g.Members[0] == incarnation.Instance {
				return g.Address, view.Zone
			}
		}
		for _, e := range view.Engines {
			if e.Instance == incarnation.Instance {
				return e.Address, view.Zone
			}
		}
	}
	return "", ""
}

// probeServerCrash probes a plain server by opening a connection, which its host refuses
// once the process has ended. A process restarted at the same address is not
// distinguished from the old one and counts as alive.
func (r *Runner) probeServerCrash(ctx context.Context, instance garnetworks.InstanceID) garnetworks.CrashState {
	address, zone := "", garnetworks.ZoneID("")
	for _, view := range r.views.all() {
		for _, s := range view.Servers {
			if s.Instance == instance && !s.Leaving {
				address, zone = s.Address, view.Zone
			}
		}
	}
	if address == "" {
		return garnetworks.CrashSuspected
	}
	ctx, cancel := context.WithTimeout(ctx, crashProbeTimeout)
	defer cancel()
	err := dial(ctx, address)
	switch {
	case err == nil:
		return garnetworks.CrashRefuted
	case errors.Is(err, unix.ECONNREFUSED) && r.zoneReachable(ctx, zone, address):
		return garnetworks.CrashConnectionRefused
	}
	return garnetworks.CrashSuspected
}

// zoneReachable reports whether any server of the zone other than except accepts
// connections from the node.
func (r *Runner) zoneReachable(ctx context.Context, zone garnetworks.ZoneID, except string) bool {
	var others []string
	for _, view := range r.views.all() {
		if view.Zone != zone {
			continue
		}
		for _, e := range view.Engines {
			others = append(others, e.Address)
		}
		for _, s := range view.Servers {
			others = append(others, s.Address)
		}
	}
	others = slices.DeleteFunc(others, func(address string) bool { return address == except })
	return quarantiner.AnyReachable(others, func(address string) bool { return dial(ctx, address) == nil })
}

// dial opens a connection and closes it again.
func dial(ctx context.Context, address string) error {
	var dialer net.Dialer
	c, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return err
	}
	return c.Close()
}
