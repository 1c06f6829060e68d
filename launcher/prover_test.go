package launcher

import (
	"context"
	"syscall"
	"testing"

	"github.com/garnetworks/garnetworks"
)

// refusing answers probes of some servers and refuses connections to all others.
type refusing struct {
	garnetworks.GroupOrders
	answers garnetworks.Set[garnetworks.InstanceID]
}

func (r refusing) Probe(_ context.Context, _ string, life garnetworks.Life) error {
	if r.answers.Has(life.Instance) {
		return nil
	}
	return garnetworks.WrapError(garnetworks.KindUnreachable, syscall.ECONNREFUSED, "refused")
}

// A node was cut off from a zone, where its connections were refused, and took the servers
// there for ended. Refusals count only while another server of the zone answers.
func TestRefusalsOfAWholeZoneProveNothing(t *testing.T) {
	servers := make(map[garnetworks.InstanceID]garnetworks.RegisteredServer)
	for id, zone := range map[garnetworks.InstanceID]garnetworks.ZoneID{"asked": "far", "beside": "far", "here": "near"} {
		servers[id] = garnetworks.RegisteredServer{ListedInstance: garnetworks.ListedInstance{ID: id, Address: string(id), Zone: zone}}
	}
	asked := servers["asked"]
	cases := map[string]struct {
		answers garnetworks.Set[garnetworks.InstanceID]
		want    bool
	}{
		"cut off from the zone": {garnetworks.NewSet[garnetworks.InstanceID]("here"), false},
		"one server has ended":  {garnetworks.NewSet[garnetworks.InstanceID]("here", "beside"), true},
	}
	for name, c := range cases {
		l := &Launcher{options: Options{Orders: refusing{answers: c.answers}}}
		if got := l.reaches(t.Context(), servers, &asked); got != c.want {
			t.Errorf("%s: the zone is reached: %t", name, got)
		}
	}
}
