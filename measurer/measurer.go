// Package measurer accounts for group downtime and stranded accelerators, the two
// quantities that users of a zone care about. It does no I/O and reads no clock; the
// caller supplies the times.
//
//	M1  A wanted group is one that the manifest and the power limit allow, as
//	    placer.Output.Wanted counts them. A fault never makes a group unwanted.
//	M2  A group serves if routers may send it new calls: it is in state serving
//	    and all of its members are confirmed. A draining group doesn't serve.
//	M3  Group downtime is summed per model: the number of wanted groups that don't
//	    serve, times the time. Surplus groups of one model don't offset missing
//	    groups of another.
//	M4  An instance is stranded if it has accelerators, isn't proven off, and is
//	    no member of a serving group. So booting, loading, forming and draining
//	    count, and so does a lost instance until it is proven off.
//	M5  The time between two observations counts with the values of the first.
//	    If it exceeds MaxGap, for example after a pause of the process, the excess
//	    counts too and is also summed as unobserved, so that a reader can tell how
//	    much of the figures is extrapolated.
//	M6  A clock that steps back neither adds nor subtracts time.
package measurer

import (
	"cmp"
	"slices"
	"time"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/placer"
)

// MaxGap is the longest time between two observations that counts as observed (rule M5).
const MaxGap = 10 * time.Second

// Observation holds a zone's counts at one time.
type Observation struct {
	At time.Time
	// Models are sorted by name.
	Models []ModelCount
	// Stranded is the number of stranded instances (rule M4).
	Stranded int
	// Powered is the number of instances with accelerators that aren't proven off.
	Powered int
	// Drawn is the pessimistic power draw: of every instance that isn't proven off.
	Drawn garnetworks.Watts
	Limit garnetworks.Watts
}

// ModelCount counts the groups of a model.
type ModelCount struct {
	Model   garnetworks.ModelName
	Wanted  int
	Serving int
}

// Down returns how many wanted groups don't serve (rule M3).
func (c ModelCount) Down() int { return max(0, c.Wanted-c.Serving) }

// Snapshot is the state of a zone from which Observe makes an observation.
type Snapshot struct {
	At      time.Time
	Domains []garnetworks.FabricDomain
	Classes []garnetworks.InstanceClass
	// Wanted comes from the last plan (rule M1).
	Wanted []placer.ModelGroups
	Limit  garnetworks.Watts
	// Confirmed reports whether all members of a group were confirmed within
	// garnetworks.ConfirmationBound (rule G1).
	Confirmed func(garnetworks.GroupID) bool
}

// Observe computes the counts of a snapshot.
func Observe(s Snapshot) Observation {
	o := Observation{At: s.At, Limit: s.Limit}
	accelerated := garnetworks.NewSet[string]()
	for _, c := range s.Classes {
		if c.Accelerators > 0 {
			accelerated.Add(c.Name)
		}
	}
	for _, w := range s.Wanted {
		o.Models = append(o.Models, ModelCount{Model: w.Model, Wanted: w.Groups})
	}
	slices.SortFunc(o.Models, compareCounts)
	for i := range s.Domains {
		o.addDomain(&s.Domains[i], accelerated, s.Confirmed)
	}
	return o
}

func compareCounts(a, b ModelCount) int { return cmp.Compare(a.Model, b.Model) }

func (o *Observation) addDomain(d *garnetworks.FabricDomain, accelerated garnetworks.Set[string], confirmed func(garnetworks.GroupID) bool) {
	serving := garnetworks.NewSet[garnetworks.InstanceID]()
	for i := range d.Groups {
		g := &d.Groups[i]
		if g.State != garnetworks.GroupServing || !confirmed(g.ID) {
			continue // rule M2
		}
		o.addServing(g.Model)
		for _, m := range g.Members {
			serving.Add(m)
		}
	}
	for i := range d.Instances {
		instance := &d.Instances[i]
		if !instance.Power.Draws() {
			continue
		}
		o.Drawn += instance.Watts
		if !accelerated.Has(instance.Class) {
			continue
		}
		o.Powered++
		if !serving.Has(instance.ID) {
			o.Stranded++
		}
	}
}

// addServing counts a serving group, unless its model is not wanted.
func (o *Observation) addServing(m garnetworks.ModelName) {
	at, ok := slices.BinarySearchFunc(o.Models, ModelCount{Model: m}, compareCounts)
	if ok {
		o.Models[at].Serving++
	}
}

// GroupsDown returns the number of wanted groups that don't serve.
func (o Observation) GroupsDown() int {
	down := 0
	for _, m := range o.Models {
		down += m.Down()
	}
	return down
}

// Account accumulates downtime and stranded time. The zero value is ready for use.
type Account struct {
	last       Observation
	started    bool
	downtime   time.Duration
	stranded   time.Duration
	unobserved time.Duration
	byModel    map[garnetworks.ModelName]time.Duration
}

// Add counts the last observation up to o.At and replaces it by o.
func (a *Account) Add(o Observation) {
	a.CountUntil(o.At)
	if a.started && o.At.Before(a.last.At) {
		o.At = a.last.At
	}
	a.last = o
	a.started = true
}

// CountUntil counts the last observation up to now (rule M5).
func (a *Account) CountUntil(now time.Time) {
	elapsed := now.Sub(a.last.At)
	if !a.started || elapsed <= 0 {
		return // rule M6
	}
	a.last.At = now
	a.unobserved += max(0, elapsed-MaxGap)
	a.stranded += elapsed * time.Duration(a.last.Stranded)
	for _, m := range a.last.Models {
		a.addDowntime(m, elapsed)
	}
}

func (a *Account) addDowntime(m ModelCount, elapsed time.Duration) {
	if m.Down() == 0 {
		return
	}
	if a.byModel == nil {
		a.byModel = make(map[garnetworks.ModelName]time.Duration)
	}
	down := elapsed * time.Duration(m.Down())
	a.downtime += down
	a.byModel[m.Model] += down
}

// Metrics returns the sums up to the last time counted, and the last observation's counts.
func (a *Account) Metrics() garnetworks.ZoneMetrics {
	return garnetworks.ZoneMetrics{
		GroupDowntime:     a.downtime,
		Stranded:          a.stranded,
		GroupsDown:        a.last.GroupsDown(),
		InstancesStranded: a.last.Stranded,
		Drawn:             a.last.Drawn,
		Limit:             a.last.Limit,
	}
}

// Unobserved returns how much of the counted time exceeded MaxGap (rule M5).
func (a *Account) Unobserved() time.Duration { return a.unobserved }

// ModelDowntime is the downtime of a model's groups.
type ModelDowntime struct {
	Model    garnetworks.ModelName
	Downtime time.Duration
}

// DowntimeByModel returns the downtime of each model that had any, sorted by name.
func (a *Account) DowntimeByModel() []ModelDowntime {
	all := make([]ModelDowntime, 0, len(a.byModel))
	for m, d := range a.byModel {
		all = append(all, ModelDowntime{Model: m, Downtime: d})
	}
	slices.SortFunc(all, func(a, b ModelDowntime) int { return cmp.Compare(a.Model, b.Model) })
	return all
}

// Sum returns the sum of several zones' metrics.
func Sum(zones []garnetworks.ZoneMetrics) garnetworks.ZoneMetrics {
	var sum garnetworks.ZoneMetrics
	for _, m := range zones {
		sum.GroupDowntime += m.GroupDowntime
		sum.Stranded += m.Stranded
		sum.GroupsDown += m.GroupsDown
		sum.InstancesStranded += m.InstancesStranded
		sum.Drawn += m.Drawn
		sum.Limit += m.Limit
	}
	return sum
}
