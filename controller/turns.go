package controller

import (
	"slices"

	"github.com/garnetworks/garnetworks"
)

// rolloutDivisor limits a rollout: at most one in rolloutDivisor of a model's groups over
// the site may stop serving for a new version at once.
const rolloutDivisor = 8

// noOutageModels returns the models whose groups in this zone must keep serving instead of
// stopping for a new version, because other zones are first (C11). Others are the recent
// views of the other zones; a zone that is cut off or excluded is not waited for.
//
// Failure: zones that each have one group roll a new version out independently, all groups
// of the site drain at once, and callers find no serving group until the first has loaded.
// A new version that can't be loaded would take every group with it; in turn, it stops in
// the first zone.
func noOutageModels(manifest *garnetworks.Manifest, zone garnetworks.ZoneID, others []garnetworks.ZoneView) garnetworks.Set[garnetworks.ModelName] {
	models := garnetworks.NewSet[garnetworks.ModelName]()
	others = slices.DeleteFunc(slices.Clone(others), func(v garnetworks.ZoneView) bool { return excluded(manifest, v.Zone) })
	for i := range manifest.Models {
		m := &manifest.Models[i]
		maxZones := max(1, m.MaxGroups/rolloutDivisor)
		if maxZones >= len(manifest.Site.Zones) {
			continue // each zone replaces one group at a time, which is within the limit
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

// zonesAhead counts the zones that come before this one: those that have begun the rollout
// and not finished it, and those with a lower name that have yet to begin.
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

// rollout reports whether a zone has begun to serve the model's version, and whether it
// has finished. Views don't contain broken groups, so a zone with no group of the model
// and some group down counts as in progress: otherwise a version that can't be loaded
// would go on to the next zone after each failed attempt.
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
