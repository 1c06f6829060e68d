package experimenter

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/former"
)

// Times of the site in which groups are lost.
const (
	// planInterval is the time between two plans, storeLag how old the store's list is.
	planInterval = 50 * time.Millisecond
	storeLag     = 50 * time.Millisecond
	// detectionTime is the time from a loss to its confirmation where silence is noticed:
	// 0.3 s without events and two probes of 0.15 s.
	detectionTime = 600 * time.Millisecond
	// entryLapseTime is the time after which a lost engine's entry is gone: three heartbeats
	// of 1.2 s.
	entryLapseTime = 3600 * time.Millisecond
	// rejoinTime is the time of a join of the model in memory.
	rejoinTime = 200 * time.Millisecond
	// firstCall is when the first call comes; loads take a tenth of the time before.
	firstCall          = 10 * time.Second
	initialLoadSpeedup = 10
	sampleInterval     = 500 * time.Millisecond
)

// GroupPattern is a site whose engines are lost for good, one after the other, and
// replaced by new ones without weights.
type GroupPattern struct {
	Name    string
	Profile garnetworks.EngineProfile
	// Domains of EnginesPerDomain engines stand at the start.
	Domains, EnginesPerDomain int
	Length                    time.Duration
	// LossEvery and AddEvery are the times between two losses and two additions;
	// losses hit members of serving groups.
	LossEvery, AddEvery time.Duration
	// RequiredGroups is the number of groups that each model's calls need.
	RequiredGroups map[garnetworks.ModelName]float64
	// RestartAt are times at which all engines of the first domains, one domain for each
	// time, begin anew: with their hosts' models, without groups or memory.
	RestartAt []time.Duration
}

// GroupPatterns returns the patterns of losses.
func GroupPatterns() map[string]GroupPattern {
	profile := withModels(6, 3, 0.67, 5.5, 8)
	grown := withModels(12, 6, 0.5, 14, 20)
	small := withModels(4, 2, 0.67, 4, 6)
	hundreds := withModels(16, 4, 0.5, 73, 109)
	return map[string]GroupPattern{
		"hundreds": {
			Name: "hundreds", Profile: hundreds, Domains: 25, EnginesPerDomain: 35, Length: time.Minute,
			LossEvery: 400 * time.Millisecond, AddEvery: 500 * time.Millisecond,
			RequiredGroups: map[garnetworks.ModelName]float64{"large": 22, "small": 60},
		},
		"lost-engines": {
			Name: "lost-engines", Profile: profile, Domains: 6, EnginesPerDomain: 11, Length: time.Minute,
			LossEvery: 3 * time.Second, AddEvery: 4 * time.Second,
			RequiredGroups: map[garnetworks.ModelName]float64{"large": 4, "small": 4},
		},
		"lost-engines-grown": {
			Name: "lost-engines-grown", Profile: grown, Domains: 6, EnginesPerDomain: 27, Length: time.Minute,
			LossEvery: time.Second, AddEvery: 1400 * time.Millisecond,
			RequiredGroups: map[garnetworks.ModelName]float64{"large": 5, "small": 8},
		},
		"small-domains": {
			Name: "small-domains", Profile: small, Domains: 6, EnginesPerDomain: 8, Length: time.Minute,
			LossEvery: 3 * time.Second, AddEvery: 3500 * time.Millisecond,
			RequiredGroups: map[garnetworks.ModelName]float64{"large": 6, "small": 6}, RestartAt: []time.Duration{15 * time.Second, 30 * time.Second},
		},
	}
}

// SharePatterns returns the patterns in which the work differs from the stated shares.
func SharePatterns() map[string]GroupPattern {
	return map[string]GroupPattern{
		"old-shares": {
			Name: "old-shares", Profile: withModels(8, 2, 0.5, 14, 20), Domains: 9, EnginesPerDomain: 18, Length: time.Minute,
			LossEvery: 1500 * time.Millisecond, AddEvery: 2 * time.Second,
			RequiredGroups: map[garnetworks.ModelName]float64{"large": 3, "small": 50},
		},
	}
}

// withModels returns engines that form groups of a large and a small model, of the large
// one's share of the work, and what their weight store carries: loads in a second, and at
// once.
func withModels(large, small int, largeShare, loadsPerSecond float64, loadsAtOnce int) garnetworks.EngineProfile {
	profile := engineProfile()
	profile.LoadsPerSecond, profile.MaxConcurrentLoads, profile.FormTime = loadsPerSecond, loadsAtOnce, 300*time.Millisecond
	profile.Models = []garnetworks.ModelProfile{
		{Name: "large", GroupSize: large, InitialShare: largeShare, TimeFactor: 1, LoadTime: 16 * time.Second, WarmLoadTime: 1600 * time.Millisecond},
		{Name: "small", GroupSize: small, InitialShare: 1 - largeShare, TimeFactor: 0.6, LoadTime: 12 * time.Second, WarmLoadTime: 1100 * time.Millisecond},
	}
	return profile
}

// work returns the calls that need the groups that the pattern says.
func (p *GroupPattern) demand() map[garnetworks.ModelName]float64 {
	calls := make(map[garnetworks.ModelName]float64)
	for model, groups := range p.RequiredGroups {
		calls[model] = groups * float64(p.Profile.Slots)
	}
	return calls
}

// Sample is the number of serving groups of each model at a time.
type Sample struct {
	At      time.Duration
	Serving map[garnetworks.ModelName]int
}

// GroupResult is what a policy made of a pattern of losses.
type GroupResult struct {
	Losses int
	// Downtime holds the milliseconds from the loss of a group to the first call of the
	// group that takes its place; a group that nothing takes the place of counts until
	// the end.
	Downtime *hdrhistogram.Histogram
	// Idle is the time that living engines spent in no serving group, added up.
	Idle    time.Duration
	Samples []Sample
	// ServedShare is the mean part of the work that the serving groups could take: of each
	// model, at most what its calls need.
	ServedShare float64
}

// groupPolicy decides which groups exist.
type groupPolicy interface {
	Plan(now time.Time, in former.Input) []garnetworks.GroupOrder
	Sent(now time.Time, order garnetworks.GroupOrder)
	Answered(now time.Time, order garnetworks.GroupOrder, err error)
}

// groupPolicies are the policies by name; detectsSilence says whether silence of a group is
// noticed, or only the lapse of an entry, and observesDemand whether the models' work is known
// beside their stated shares.
var groupPolicies = map[string]struct {
	policy                         func() groupPolicy
	detectsSilence, observesDemand bool
}{
	"former": {func() groupPolicy { return former.NewPlanner() }, true, true},
	"stated": {func() groupPolicy { return former.NewPlanner() }, true, false},
	"naive":  {func() groupPolicy { return &naivePlanner{} }, false, false},
}

// GroupPolicyNames returns the names of the policies for groups.
func GroupPolicyNames() []string { return []string{"former", "stated", "naive"} }

// RunGroups replays losses against a policy.
func RunGroups(pattern *GroupPattern, policyName string, seed uint64) (*GroupResult, error) {
	p, ok := groupPolicies[policyName]
	if !ok {
		return nil, garnetworks.Errorf(garnetworks.KindInvalidRequest, "no policy %q; there are %v", policyName, GroupPolicyNames())
	}
	const mostMS, digits, stream = 120000, 2, 11
	r := &groupRun{
		fleet: newFleet(pattern), policy: p.policy(), detectsSilence: p.detectsSilence, observesDemand: p.observesDemand,
		random: rand.New(rand.NewPCG(seed, stream)),
		result: &GroupResult{Downtime: hdrhistogram.New(1, mostMS, digits)},
	}
	for now := time.Duration(0); now < pattern.Length; now += planInterval {
		r.step(now)
	}
	r.recordUnreplaced(pattern.Length)
	for _, sample := range r.result.Samples {
		r.result.ServedShare += r.servedShare(sample) / float64(len(r.result.Samples))
	}
	return r.result, nil
}

// groupRun is one replay of losses.
type groupRun struct {
	*fleet
	policy         groupPolicy
	detectsSilence bool
	// observesDemand says that the policy is told of the models' work.
	observesDemand bool
	random         *rand.Rand
	result         *GroupResult
	// down holds the times since which groups are missing, oldest first.
	down map[garnetworks.ModelName][]time.Duration
	// added, lost and restarted count the engines, and the domains, so far.
	added, lost, restarted int
}

func (r *groupRun) step(now time.Duration) {
	r.now = now
	r.advance()
	if now >= firstCall {
		r.injectLosses()
		r.restart()
	}
	in := former.Input{
		Servers: r.snapshotAt(now - storeLag), Service: service, Profile: &r.pattern.Profile, Unresponsive: r.unresponsive(r.detectsSilence),
		Term: 1, Loads: r.pattern.Profile.MaxConcurrentLoads, BeforeFirstCall: now < firstCall,
	}
	if r.observesDemand && now >= firstCall {
		in.Demand = r.pattern.demand()
	}
	for _, o := range r.policy.Plan(instant(now), in) {
		r.policy.Sent(instant(now), o)
		r.policy.Answered(instant(now), o, r.execute(&o))
	}
	r.matchReplacements()
	if now >= firstCall {
		r.result.Idle += time.Duration(r.idle()) * planInterval
		if now%sampleInterval == 0 {
			r.result.Samples = append(r.result.Samples, Sample{now, r.serving()})
		}
	}
}

// strike loses a member of a serving group when it is due, and adds an engine.
func (r *groupRun) injectLosses() {
	since := r.now - firstCall
	for r.pattern.AddEvery > 0 && since >= time.Duration(r.added+1)*r.pattern.AddEvery {
		r.added++
		r.add(r.added % r.pattern.Domains)
	}
	for since >= time.Duration(r.lost+1)*r.pattern.LossEvery {
		r.lost++
		members := r.members()
		if len(members) == 0 {
			continue
		}
		e := members[r.random.IntN(len(members))]
		e.lostAt = r.now
		r.result.Losses++
		if r.down == nil {
			r.down = make(map[garnetworks.ModelName][]time.Duration)
		}
		r.down[former.GroupModel(e.Membership.Group)] = append(r.down[former.GroupModel(e.Membership.Group)], r.now)
	}
}

// restart lets a domain begin anew when it is due: its engines come back under other
// names, with what their hosts hold.
func (r *groupRun) restart() {
	if r.restarted >= len(r.pattern.RestartAt) || r.now < r.pattern.RestartAt[r.restarted] {
		return
	}
	domain := r.restarted
	r.restarted++
	for _, id := range slices.Sorted(maps.Keys(r.engines)) {
		old := r.engines[id]
		if old.Domain == domainName(domain) && old.lostAt == never {
			old.lostAt = r.now - entryLapseTime
			r.add(domain).Staged = old.Staged
		}
	}
}

// served is the part of the work that the groups of a sample could take.
func (r *groupRun) servedShare(s Sample) float64 {
	sum := 0.0
	for _, m := range r.pattern.Profile.Models {
		sum += m.InitialShare * min(1, float64(s.Serving[m.Name])/r.pattern.RequiredGroups[m.Name])
	}
	return sum
}

// match takes the groups that opened as replacements of those lost longest ago.
func (r *groupRun) matchReplacements() {
	for _, model := range r.opened {
		waiting := r.down[model]
		if len(waiting) == 0 {
			continue
		}
		r.recordDowntime(r.now - waiting[0])
		r.down[model] = slices.Delete(waiting, 0, 1)
	}
	r.opened = nil
}

func (r *groupRun) recordDowntime(down time.Duration) {
	_ = r.result.Downtime.RecordValue(down.Milliseconds()) // beyond the range
}

// settle counts the groups that were not replaced.
func (r *groupRun) recordUnreplaced(end time.Duration) {
	for _, waiting := range r.down {
		for _, since := range waiting {
			r.recordDowntime(end - since)
		}
	}
}
