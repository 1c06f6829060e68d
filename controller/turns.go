package controller

import (
	"slices"

	"github.com/garnetworks/garnetworks"
)

// movingPart is the part of a model's groups, over the site, that may stand
// still for a new version at one time.
const rolloutDivisor = 8

// heldModels returns the models whose groups in this zone must not yet stand
// still for a new version, because that is other zones' turn (C11). Others are
// the fresh views of the other zones; a zone that is cut off, or that operators
// have left out, is not waited for.
//
// Failure: each zone rolls a new version out by itself, and where zones have one
// group each, all groups of the site drain at the same moment; callers see no
// serving group until the first has loaded. A new version that can't be loaded
// would take every group with it; with turns it stops in the first zone.
func noOutageModels(manifest *garnetworks.Manifest, zone garnetworks.ZoneID, others []garnetworks.ZoneView) garnetworks.Set[garnetworks.ModelName] {
	models := garnetworks.NewSet[garnetworks.ModelName]()
	others = slices.DeleteFunc(slices.Clone(others), func(v garnetworks.ZoneView) bool { return excluded(manifest, v.Zone) })
	for i := range manifest.Models {
		m := &manifest.Models[i]
		maxZones := max(1, m.MaxGroups/rolloutDivisor)
		if maxZones >= len(manifest.Site.Zones) {
			continue // each zone moves one group at a time, which is few enough
		}
		if ahead := zonesAhead(m, zone, others); ahead >= maxZones {
			models.Add(m.Name)
		}
	}
	return models
}

func excluded(manifest *garnetworks.Manifest, zone garnetworks.ZoneID) bool {
	return slices.ContainsFunc(manifest.Site.Zones, func(z garnetworks.ZoneSpec) bool { return z.Name == zone && z.Excluded })
}

// turnsTaken counts the zones that come before this one: those that have begun
// with the version and not ended, and those with a lower name that have yet to
// begin.
func zonesAhead(m *garnetworks.ModelSpec, zone garnetworks.ZoneID, others []garnetworks.ZoneView) int {
	ahead := 0
	for i := range others {
		begun, ended := rollout(m, &others[i])
		if !ended && (begun || others[i].Zone < zone) {
			ahead++
		}
	}
	return ahead
}

// rollout tells whether a zone has begun to serve the model's version, and
// whether it has ended with it. Views don't show broken groups: a zone without a
// group that misses one counts as being in the middle, or a version that can't be
// loaded would go on to the next zone whenever a try has failed.
func rollout(m *garnetworks.ModelSpec, view *garnetworks.ZoneView) (begun, ended bool) {
	if !slices.ContainsFunc(view.Groups, func(g garnetworks.GroupView) bool { return g.Model == m.Name }) {
		down := view.Metrics.GroupsDown > 0
		return down, !down
	}
	ended = true
	for i := range view.Groups {
		g := &view.Groups[i]
		if g.Model != m.Name {
			continue
		}
		updated := g.Version == m.Version
		begun = begun || updated || g.State != garnetworks.GroupServing
		ended = ended && updated && g.State == garnetworks.GroupServing && g.Confirmed
	}
	return begun, ended
}
