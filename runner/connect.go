package runner

import (
	"context"
	"net"
	"time"

	"golang.org/x/net/netutil"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/configurer"
	"github.com/garnetworks/garnetworks/connector"
)

// connect returns the HTTP adapters of everything that the settings name.
func connect(s configurer.Settings) Platform {
	var pooled connector.Options
	fresh := connector.Options{FreshConnections: true}
	orders := connector.NewEngineOrders(pooled)
	return Platform{
		Objects:   connector.NewObjectAPI(s.Platform.ObjectAPI, pooled),
		Instances: connector.NewInstanceList(s.Platform.InstanceList, pooled),
		Power:     connector.NewPowerSwitch(s.Platform.Power, pooled),
		Weights:   connector.NewWeightStore(s.Platform.WeightStore, pooled),
		Orders:    orders,
		Cache:     orders,
		Probes:    connector.NewEngineOrders(fresh),
		Engines:   connector.NewEngineCaller(pooled),
		Services:  connector.NewServiceCaller(pooled),
	}
}

// limitConnections bounds the open connections of callers; further ones wait in
// the kernel's queue.
func limitConnections(listener net.Listener, most int) net.Listener {
	if most <= 0 {
		return listener
	}
	return netutil.LimitListener(listener, most)
}

// watchHealth notes whether the object API answers, for status and events.
func (r *Runner) watchHealth(next garnetworks.ObjectAPI) garnetworks.ObjectAPI {
	return &healthObjectAPI{next: next, note: r.noteObjects}
}

func (r *Runner) noteObjects(err error) {
	down := garnetworks.IsKind(err, garnetworks.KindObjectAPIDown, garnetworks.KindUnreachable)
	if !down && err != nil && !garnetworks.IsKind(err, garnetworks.KindNotFound, garnetworks.KindConflict, garnetworks.KindCompacted) {
		return // says nothing of the object API's health
	}
	if r.objectsDown.Swap(down) == down {
		return
	}
	kind := garnetworks.EventObjectAPIBack
	if down {
		kind = garnetworks.EventObjectAPIDown
	}
	r.events.Record(garnetworks.Event{Kind: kind, Zone: r.self.Zone, Error: garnetworks.KindOf(err)})
}

// healthObjectAPI tells each call's error to note.
type healthObjectAPI struct {
	next garnetworks.ObjectAPI
	note func(error)
}

// Get implements garnetworks.ObjectAPI.
func (h *healthObjectAPI) Get(ctx context.Context, key string) (garnetworks.Object, error) {
	object, err := h.next.Get(ctx, key)
	h.note(err)
	return object, err
}

// Put implements garnetworks.ObjectAPI.
func (h *healthObjectAPI) Put(ctx context.Context, key string, value []byte, after garnetworks.Revision) (garnetworks.Revision, error) {
	revision, err := h.next.Put(ctx, key, value, after)
	h.note(err)
	return revision, err
}

// Delete implements garnetworks.ObjectAPI.
func (h *healthObjectAPI) Delete(ctx context.Context, key string, after garnetworks.Revision) error {
	err := h.next.Delete(ctx, key, after)
	h.note(err)
	return err
}

// List implements garnetworks.ObjectAPI.
func (h *healthObjectAPI) List(ctx context.Context, prefix string) ([]garnetworks.Object, garnetworks.Revision, error) {
	objects, revision, err := h.next.List(ctx, prefix)
	h.note(err)
	return objects, revision, err
}

// Watch implements garnetworks.ObjectAPI.
func (h *healthObjectAPI) Watch(ctx context.Context, prefix string, after garnetworks.Revision, wait time.Duration) ([]garnetworks.Object, garnetworks.Revision, error) {
	objects, revision, err := h.next.Watch(ctx, prefix, after, wait)
	h.note(err)
	return objects, revision, err
}
