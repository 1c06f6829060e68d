package controller

import (
	"testing"

	"github.com/garnetworks/garnetworks"
)

func TestZonesTakeTurnsWithANewVersion(t *testing.T) {
	// Guards against all zones draining their only group for a new version at once, which
	// leaves no group to serve until the first has loaded.
	group := func(version garnetworks.VersionName, state garnetworks.GroupState, confirmed bool) garnetworks.GroupView {
		return garnetworks.GroupView{Model: "chat", Version: version, State: state, Confirmed: confirmed}
	}
	view := func(zone garnetworks.ZoneID, groups ...garnetworks.GroupView) garnetworks.ZoneView {
		return garnetworks.ZoneView{Zone: zone, Groups: groups}
	}
	old := group("v1", garnetworks.GroupServing, true)
	moved := group("v2", garnetworks.GroupServing, true)
	tests := map[string]struct {
		max      int
		others   []garnetworks.ZoneView
		noOutage bool
	}{
		"the zone before has yet to begin":   {3, []garnetworks.ZoneView{view("a", old), view("c", old)}, true},
		"the zone before drains":             {3, []garnetworks.ZoneView{view("a", group("v1", garnetworks.GroupDraining, false))}, true},
		"the zone before loads":              {3, []garnetworks.ZoneView{view("a", group("v2", garnetworks.GroupLoading, false))}, true},
		"the zone before is not confirmed":   {3, []garnetworks.ZoneView{view("a", group("v2", garnetworks.GroupServing, false))}, true},
		"the zone before has one old group":  {3, []garnetworks.ZoneView{view("a", moved, old)}, true},
		"the zone before has ended":          {3, []garnetworks.ZoneView{view("a", moved), view("c", old)}, false},
		"the zone after has begun":           {3, []garnetworks.ZoneView{view("a", moved), view("c", group("v2", garnetworks.GroupLoading, false))}, true},
		"the zone before is cut off":         {3, []garnetworks.ZoneView{view("c", old)}, false},
		"the zone before has no such groups": {3, []garnetworks.ZoneView{view("a"), view("c", old)}, false},
		"the zone before has lost its group": {3, []garnetworks.ZoneView{{Zone: "a", Metrics: garnetworks.ZoneMetrics{GroupsDown: 1}}, view("c", old)}, true},
		"the zone before is left out":        {3, []garnetworks.ZoneView{view("a-left-out", old), view("c", moved)}, false},
		"the groups are many":                {24, []garnetworks.ZoneView{view("a", old), view("c", old)}, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			manifest := &garnetworks.Manifest{
				Site:   garnetworks.SiteSpec{Zones: []garnetworks.ZoneSpec{{Name: "a"}, {Name: "b"}, {Name: "c"}, {Name: "a-left-out", Excluded: true}}},
				Models: []garnetworks.ModelSpec{{Name: "chat", Version: "v2", MaxGroups: tt.max}},
			}
			if got := noOutageModels(manifest, "b", tt.others).Has("chat"); got != tt.noOutage {
				t.Errorf("held = %t, want %t", got, tt.noOutage)
			}
		})
	}
}
