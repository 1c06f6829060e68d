package scheduler

import "time"

// spare returns the number of free slots that could have served a rejected call in time (Q16): at
// groups of its model, and those of the groups that idle instances of another model could form. If
// there are some, this node's share of the slots is too small, or the models have the wrong numbers
// of groups.
func (s *Scheduler) spare(now time.Time, p *pool, c *Call) int {
	if p.patience(c.Arrived, c) <= 0 { // it could not be on time when it arrived
		return 0
	}
	free := 0
	for _, g := range s.freeGroups(now, p, c) {
		free += int(g.window - p.expectedCalls(g))
	}
	for _, other := range s.pools {
		if other == p {
			continue
		}
		idle := 0.0
		for _, g := range other.groups {
			if g.gone || now.Before(g.cooldownUntil) || g.Limit.Active(now) || g.isLost(now) || s.zoneUnreachable(now, g.Zone) {
				continue
			}
			idle += max(0, 1-other.expectedCalls(g)/g.window) * float64(max(1, g.Size))
		}
		free += int(idle) / max(1, p.size) * max(1, p.slots)
	}
	return free
}
