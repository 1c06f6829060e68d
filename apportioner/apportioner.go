package apportioner

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/garnetworks/garnetworks"
)

const (
	// averagingTime is the time constant of the averages. At 15 s, a wave of 17 s with a swing of
	// 0.55 changes an average by 0.1, and a burst by a factor of 1.5 for 3 s by 0.09.
	averagingTime = 15 * time.Second
	// minObservation exceeds the length of bursts.
	minObservation = 5 * time.Second
	// updateInterval is that of the load reports that the figures are from, at most.
	updateInterval = time.Second
	// minShareChange is in parts of the instances; a group of 16 of 222 instances is 0.07.
	minShareChange = 0.04
	// persistence is how long shares must differ before they are replaced.
	persistence = 2 * time.Second
	// correctionTime is the time constant of the correction. It covers several waves, since the
	// correction says something about the groups, not about the load.
	correctionTime = 30 * time.Second
	// settleTime is how long the number of groups must be unchanged before the outcomes are those
	// of that number: a new group opens after a second or two, and outcomes are averages over 2 s.
	settleTime = 4 * time.Second
	// The bounds of the correction keep the need near the profile's where losses or a lost zone
	// make calls late, which more groups don't change.
	minCorrection, maxCorrection = 0.7, 1.6
	// uninformative is the fraction on time from which the load says nothing of the groups.
	uninformative = 0.97
	// returnMargin is the ratio of the mean need to that at the peak of a wave with a swing of 0.55.
	// The configured shares apply again when the need falls below this fraction of their groups,
	// and no model gets more groups for its waves than exceed the need by as much, while another
	// one can use them.
	returnMargin = 0.6
	// lossMargin is how much more groups than needed a model gets before any gets groups for the
	// peaks of its waves, where all instances are in groups. It grows with the part of the
	// instances that are not, as where losses break groups every 3 s.
	lossMargin = 1.05
	// urgencyFactor is the weight of calls relative to those of the next lower priority.
	urgencyFactor = 1.25
	// maxUrgencySteps bounds the priorities that are distinguished, since calls of low priority also
	// need some groups.
	maxUrgencySteps = 3
	// countExponent weighs the number of calls on time against equal fractions: of two models whose
	// calls differ by a factor of 5 in the instances that they take, the one with the smaller
	// calls gets a fraction on time that is higher by a factor of 1.4 if both are short. Equal
	// fractions would cost 36 calls on time for each 3 gained, with losses every 3 s.
	countExponent = 0.2
)

// Input is what Update needs to know.
type Input struct {
	// Profile holds the configured shares.
	Profile *garnetworks.EngineProfile
	// Demands are the figures of the whole site; empty if unknown.
	Demands []garnetworks.ModelDemand
	// Groups are the groups of each model that serve or are being formed, Instances the instances
	// that can be in groups.
	Groups    map[garnetworks.ModelName]int
	Instances int
}

// ModelState is what is known of a model.
type ModelState struct {
	Model garnetworks.ModelName
	// OnTime is the average fraction of calls on time; 1 without calls.
	OnTime float64
	// Needed is the number of groups that the calls need, Groups the average number that there
	// are.
	Needed, Groups float64
	// Share is the share of the instances in use.
	Share float64
}

// average holds the averages of a model. Its fields are sums, with the weight of
// Apportioner.weight.
type average struct {
	outcomes   garnetworks.CallOutcomes
	groups     float64
	correction float64
	// count is the last number of groups, unchanged since countSince.
	count      int
	countSince time.Time
}

// Apportioner holds the averages and the shares of the models of one service. The zero value has
// seen nothing. It is not safe for concurrent use.
type Apportioner struct {
	// at is when the averages were updated, since when they began; weight is the sum of the
	// weights of the figures in them.
	at, since time.Time
	weight    float64
	averages  map[garnetworks.ModelName]*average
	// shares are those in use; nil while the configured ones are.
	shares map[garnetworks.ModelName]float64
	// differsSince is since when other shares have been due; zero if none are.
	differsSince time.Time
	states       []ModelState
}

// Update adds figures to the averages and reports whether it has changed the shares.
func (a *Apportioner) Update(now time.Time, in Input) bool {
	if len(in.Demands) == 0 || len(in.Profile.Models) == 0 || now.Sub(a.at) < updateInterval {
		return false
	}
	if a.averages == nil && !anyCallEnded(in.Demands) { // rule P6
		a.describe(in.Profile)
		return false
	}
	if a.averages == nil || now.Sub(a.at) > averagingTime {
		a.averages, a.weight, a.since = make(map[garnetworks.ModelName]*average), 0, now
	}
	a.add(now, &in)
	a.describe(in.Profile)
	if now.Sub(a.since) < minObservation { // rule P6
		return false
	}
	return a.replaceShares(now, &in)
}

// anyCallEnded reports whether the figures are of any calls.
func anyCallEnded(demands []garnetworks.ModelDemand) bool {
	return slices.ContainsFunc(demands, func(d garnetworks.ModelDemand) bool { return d.Outcomes.Ended() > 0 })
}

// add adds the figures to the averages (rule P5).
func (a *Apportioner) add(now time.Time, in *Input) {
	decay, elapsed := 0.0, now.Sub(a.at)
	if a.weight > 0 {
		decay = math.Exp(-float64(elapsed) / float64(averagingTime))
	}
	added := 1 - decay
	a.at, a.weight = now, a.weight*decay+added
	observed := make(map[garnetworks.ModelName]*garnetworks.CallOutcomes, len(in.Demands))
	for i := range in.Demands {
		observed[in.Demands[i].Model] = &in.Demands[i].Outcomes
	}
	for i := range in.Profile.Models {
		m := &in.Profile.Models[i]
		v := a.averages[m.Name]
		if v == nil {
			v = &average{correction: 1}
			a.averages[m.Name] = v
		}
		v.outcomes.Scale(float32(decay))
		if o := observed[m.Name]; o != nil {
			v.outcomes.Add(o, float32(added))
		}
		v.groups = v.groups*decay + added*float64(in.Groups[m.Name])
		if n := in.Groups[m.Name]; n != v.count {
			v.count, v.countSince = n, now
		}
		if o := observed[m.Name]; o != nil && v.count > 0 && now.Sub(v.countSince) >= settleTime {
			weight := 1 - math.Exp(-float64(min(elapsed, updateInterval))/float64(correctionTime))
			v.correct(in.Profile, m, o, float64(v.count), weight)
		}
	}
}

// correct moves the model's correction toward the one that explains the observed fraction on time
// (rule P2).
func (v *average) correct(profile *garnetworks.EngineProfile, m *garnetworks.ModelProfile, o *garnetworks.CallOutcomes, groups, weight float64) {
	calls := o.Ended()
	if calls <= 0 {
		return
	}
	w := workOf(profile, m, o)
	load, observed := calls/groups, float64(o.OnTime)/calls
	if observed >= uninformative && w.served(load*v.correction) >= uninformative {
		return
	}
	low, high := minCorrection, maxCorrection
	for range bisections {
		if middle := (low + high) / 2; w.served(load*middle) > observed {
			low = middle
		} else {
			high = middle
		}
	}
	v.correction += weight * (low - v.correction)
}

// describe updates the models' states.
func (a *Apportioner) describe(profile *garnetworks.EngineProfile) {
	current := a.Profile(profile)
	total := shareSum(current)
	a.states = a.states[:0]
	for i := range current.Models {
		m := &current.Models[i]
		v := a.averages[m.Name]
		s := ModelState{Model: m.Name, OnTime: 1, Needed: 1, Share: m.InitialShare / total}
		if v == nil {
			a.states = append(a.states, s)
			continue
		}
		s.Groups = v.groups / a.weight
		if calls := v.outcomes.Ended(); calls > 0 {
			w := workOf(profile, m, &v.outcomes)
			s.OnTime = float64(v.outcomes.OnTime) / calls
			// A model with few calls also needs a group.
			s.Needed = max(1, v.correction*calls/a.weight/w.rate())
		}
		a.states = append(a.states, s)
	}
}

// replaceShares replaces the shares by those that are due, if they have differed for long enough
// (rule P5).
func (a *Apportioner) replaceShares(now time.Time, in *Input) bool {
	due := a.dueShares(in)
	if !a.differ(in.Profile, due) || due != nil && !a.helps(due) {
		a.differsSince = time.Time{}
		return false
	}
	if a.differsSince.IsZero() {
		a.differsSince = now
	}
	if now.Sub(a.differsSince) < persistence {
		return false
	}
	a.shares, a.differsSince = due, time.Time{}
	a.describe(in.Profile)
	return true
}

// differ reports whether shares differ from those in use by minShareChange, or by more while the
// averages cover less than averagingTime, since a burst counts for more in them.
func (a *Apportioner) differ(profile *garnetworks.EngineProfile, due map[garnetworks.ModelName]float64) bool {
	total := shareSum(profile)
	for i := range a.states {
		share := profile.Models[i].InitialShare / total
		if due != nil {
			share = due[a.states[i].Model]
		}
		if math.Abs(share-a.states[i].Share) >= minShareChange/a.weight {
			return true
		}
	}
	return false
}

// helps reports whether shares give more to a model that is not served on time.
func (a *Apportioner) helps(due map[garnetworks.ModelName]float64) bool {
	for i := range a.states {
		if s := &a.states[i]; s.OnTime < TargetFraction && due[s.Model] > s.Share {
			return true
		}
	}
	return false
}

// dueShares returns the shares by rules P3 and P4; nil for the configured ones.
func (a *Apportioner) dueShares(in *Input) map[garnetworks.ModelName]float64 {
	total := shareSum(in.Profile)
	enough, onTime := true, true
	for i := range in.Profile.Models {
		m := &in.Profile.Models[i]
		groups := m.InitialShare / total * float64(in.Instances) / float64(max(1, m.GroupSize))
		enough = enough && a.states[i].Needed <= groups*returnMargin
		onTime = onTime && a.states[i].OnTime >= TargetFraction
	}
	if onTime && (enough || a.shares == nil) { // rule P3
		return nil
	}
	return a.neededShares(in)
}

// neededShares divides the instances in groups by need (rule P4).
func (a *Apportioner) neededShares(in *Input) map[garnetworks.ModelName]float64 {
	n := len(a.states)
	base, waves, weights := make([]float64, n), make([]float64, n), make([]float64, n)
	instances, total := 0.0, 0.0
	for i := range in.Profile.Models {
		instances += a.states[i].Groups * float64(in.Profile.Models[i].GroupSize)
	}
	margin := lossMargin * max(1, float64(in.Instances)/max(instances, 1))
	for i := range in.Profile.Models {
		m, s := &in.Profile.Models[i], &a.states[i]
		size := float64(max(1, m.GroupSize))
		base[i] = s.Needed * size * margin
		waves[i] = max(0, s.Needed*size/returnMargin-base[i])
		weights[i] = base[i] * a.importance(m, s.Needed*size)
		total += base[i]
	}
	amounts := base
	if total > instances {
		amounts = divide(instances, base, weights)
	} else {
		for i, part := range divide(instances-total, waves, weights) {
			amounts[i] += part
		}
	}
	total = 0
	for _, amount := range amounts {
		total += amount
	}
	shares := make(map[garnetworks.ModelName]float64, n)
	for i, amount := range amounts {
		shares[a.states[i].Model] = amount / total
	}
	return shares
}

// importance is the weight of an instance that the model needs.
func (a *Apportioner) importance(m *garnetworks.ModelProfile, instances float64) float64 {
	o := &a.averages[m.Name].outcomes
	calls := o.Ended()
	if calls <= 0 {
		return 1
	}
	steps := min(float64(o.Priority)/calls, maxUrgencySteps)
	return math.Pow(urgencyFactor, -steps) * math.Pow(calls/a.weight/instances, countExponent)
}

// divide divides an amount in proportion to the weights, with at most its need for each.
func divide(amount float64, needs, weights []float64) []float64 {
	parts := make([]float64, len(needs))
	for range needs {
		open := 0.0
		for i := range needs {
			if parts[i] < needs[i] {
				open += weights[i]
			}
		}
		rest := amount
		for i := range parts {
			rest -= parts[i]
		}
		if open <= 0 || rest <= 0 {
			break
		}
		for i := range needs {
			if parts[i] < needs[i] {
				parts[i] = min(needs[i], parts[i]+rest*weights[i]/open)
			}
		}
	}
	return parts
}

// Profile returns the profile with the shares in use.
func (a *Apportioner) Profile(configured *garnetworks.EngineProfile) *garnetworks.EngineProfile {
	if a.shares == nil {
		return configured
	}
	current := *configured
	current.Models = make([]garnetworks.ModelProfile, len(configured.Models))
	for i, m := range configured.Models {
		if share, ok := a.shares[m.Name]; ok {
			m.InitialShare = share
		}
		current.Models[i] = m
	}
	return &current
}

// States returns the states of the models; empty before the first figures. The caller must not
// keep the slice.
func (a *Apportioner) States() []ModelState { return a.states }

// Short reports whether a model has fewer groups than it needs and too few calls on time.
func (a *Apportioner) Short(model garnetworks.ModelName, groups int) bool {
	for i := range a.states {
		if s := &a.states[i]; s.Model == model {
			return float64(groups) < s.Needed && s.OnTime < TargetFraction
		}
	}
	return false
}

// Describe returns the states as the text of an event.
func Describe(states []ModelState) string {
	parts := make([]string, len(states))
	for i, s := range states {
		parts[i] = fmt.Sprintf("%s: %.2f on time, needs %.1f groups, has %.1f, share %.2f", s.Model, s.OnTime, s.Needed, s.Groups, s.Share)
	}
	return strings.Join(parts, "; ")
}

// shareSum returns the sum of the models' shares, or 1 if they have none.
func shareSum(profile *garnetworks.EngineProfile) float64 {
	total := 0.0
	for i := range profile.Models {
		total += profile.Models[i].InitialShare
	}
	if total <= 0 {
		return 1
	}
	return total
}
