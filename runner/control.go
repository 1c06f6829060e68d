package runner

import (
	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/controller"
	"github.com/garnetworks/garnetworks/pulser"
)

// buildControllers creates the zone and site controllers.
func (r *Runner) buildControllers() error {
	r.listed = &listCache{InstanceList: r.platform.Instances, leaving: r.leaving}
	times := controller.DefaultTimes()
	times.PublishEvery = pulser.Interval // nodes of other zones learn that groups are confirmed only from pulses
	var err error
	r.zone, err = controller.NewZone(controller.Options{
		Node:      r.self.ID,
		Zone:      r.self.Zone,
		Objects:   r.platform.Objects,
		Instances: r.listed,
		Power:     r.platform.Power,
		Orders:    r.platform.Orders,
		Statuses:  r.prober.Table(),
		Manifest:  r.committer,
		Weights:   r.platform.Weights,
		Recorder:  r.events,
		Publish:   r.views.publish,
		Slowdowns: r.reports.slowdowns,
		Others:    r.views.others,
		Times:     times,
	})
	if err != nil {
		return err
	}
	r.site, err = controller.NewSite(controller.SiteOptions{
		Node:     r.self.ID,
		Objects:  r.platform.Objects,
		Manifest: r.committer,
		Recorder: r.events,
	})
	return err
}

// leases returns the names of the leases that the node holds.
func (r *Runner) leases() []string {
	held := []string{}
	for name, holds := range r.leaseStates() {
		if holds {
			held = append(held, name)
		}
	}
	return held
}

// zoneLease returns the name of the zone's lease.
func zoneLease(zone garnetworks.ZoneID) string { return controller.ZoneLeaseKey(zone) }
