package placer

import (
	"slices"

	"github.com/garnetworks/garnetworks"
)

// ZoneModels returns the manifest's models with MinGroups and MaxGroups reduced to
// one zone's share, so that a zone that is cut off knows its part from the manifest
// alone. Groups are divided evenly among the zones that are not excluded; the
// remainder is assigned round robin, for each model from where the groups of the
// previous one ended, so that no zone gets all remainders. An excluded zone keeps
// the share that it had with all zones counted: it may be cut off and serving.
func ZoneModels(manifest *garnetworks.Manifest, zone garnetworks.ZoneID) []garnetworks.ModelSpec {
	zones := participatingZones(manifest, zone)
	position, ok := slices.BinarySearch(zones, zone)
	models := slices.Clone(manifest.Models)
	offset := 0
	for i := range models {
		m := &models[i]
		if !ok {
			m.MinGroups, m.MaxGroups = 0, 0
			continue
		}
		turn := (position - offset%len(zones) + len(zones)) % len(zones)
		offset += m.MaxGroups
		m.MinGroups = zoneShare(m.MinGroups, turn, len(zones))
		m.MaxGroups = zoneShare(m.MaxGroups, turn, len(zones))
	}
	return models
}

func participatingZones(manifest *garnetworks.Manifest, zone garnetworks.ZoneID) []garnetworks.ZoneID {
	var all, included []garnetworks.ZoneID
	for _, z := range manifest.Site.Zones {
		all = append(all, z.Name)
		if !z.Excluded {
			included = append(included, z.Name)
		}
	}
	slices.Sort(all)
	slices.Sort(included)
	if _, ok := slices.BinarySearch(included, zone); ok {
		return included
	}
	return all
}

// zoneShare returns the number of groups for the zone at position turn.
func zoneShare(groups, turn, zones int) int {
	share := groups / zones
	if turn < groups%zones {
		share++
	}
	return share
}
