package runner

import (
	"time"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/configurer"
	"github.com/garnetworks/garnetworks/connector"
)

// connect returns HTTP clients for the platform APIs in the settings and for backend servers.
func connect(s configurer.Settings) Platform {
	var pooled connector.Options
	unpooled := connector.Options{DisableReuse: true}
	orders := connector.NewEngineOrders(pooled)
	return Platform{
		Objects:   connector.NewObjectAPI(s.Platform.ObjectAPI, pooled),
		Instances: connector.NewInstanceList(s.Platform.InstanceList, pooled),
		Power:     connector.NewPowerSwitch(s.Platform.Power, pooled),
		Weights:   connector.NewWeightStore(s.Platform.WeightStore, pooled),
		Orders:    orders,
		Cache:     orders,
		Probes:    connector.NewEngineOrders(unpooled),
		Engines:   connector.NewEngineCaller(pooled),
		Services:  connector.NewServiceCaller(pooled),
	}
}

// observeObjectAPI records whether the object API is reachable, for status and events.
func (r *Runner) observeObjectAPI(_, _ string, _ time.Duration, err error) {
	down := garnetworks.IsKind(err, garnetworks.KindObjectAPIDown, garnetworks.KindUnreachable)
	if !down && err != nil && !garnetworks.IsKind(err, garnetworks.KindNotFound, garnetworks.KindConflict, garnetworks.KindCompacted) {
		return // the error says nothing about the object API's health
	}
	if r.objectsDown.Swap(down) == down {
		return
	}
	kind := garnetworks.EventObjectAPIRestored
	if down {
		kind = garnetworks.EventObjectAPIDown
	}
	r.events.Record(garnetworks.Event{Kind: kind, Zone: r.self.Zone, Error: garnetworks.KindOf(err)})
}
