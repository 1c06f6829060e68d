package experimenter

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/garnetworks/garnetworks"
)

// Kind is a class of requests with the same model, size distribution and objectives.
type Kind struct {
	Name  string
	Model garnetworks.ModelName
	// PerSecond is the rate of first attempts at the whole site.
	PerSecond float64
	// Prompt and Answer are mean numbers of tokens. They are drawn from a log-normal
	// distribution whose logarithm has the standard deviation Spread.
	Prompt, Answer, Spread float64
	Objective, MaxGap      time.Duration
	Deadline               time.Duration
	// Worth is the credit for a response on time, LateWorth that for a later one.
	Worth, LateWorth float64
}

// Loss takes a group out of service at a time for a duration.
type Loss struct {
	At, For time.Duration
	Model   garnetworks.ModelName
	Group   int
}

// Burst multiplies the rate of a kind for a duration; an empty Kind means all kinds.
type Burst struct {
	At, For time.Duration
	Kind    string
	Factor  float64
}

// Pattern describes a load and the site that receives it.
type Pattern struct {
	Name    string
	Length  time.Duration
	Profile garnetworks.EngineProfile
	// Groups is the number of groups of each model.
	Groups map[garnetworks.ModelName]int
	Kinds  []Kind
	// Nodes are the fractions of the calls that each node receives; they sum to 1.
	Nodes  []float64
	Losses []Loss
	Bursts []Burst
	// Retries is the number of times that a rejected client retries.
	Retries int
}

// call is one attempt of a client.
type call struct {
	kind           *Kind
	node           int
	first, arrived time.Duration
	prompt, answer int
	tries          int
	// patience is how long the caller waits in all, as it states.
	patience time.Duration
	// workspace is the number of the sending workspace; large says that the call is among the
	// largest tenth of its kind.
	workspace int
	large     bool
}

// minPatience is the shortest time for which a caller waits, as a fraction of Kind.Deadline: at
// their first arrival, the users' callers state times that are evenly distributed from there on.
const minPatience = 0.85

// workspaces is the number of workspaces; each sends half as many calls as the one before,
// but the last as many.
const workspaces = 6

// drawWorkspace returns a workspace for a random number u in [0, 1).
func drawWorkspace(u float64) int {
	t := 0
	for part := 0.5; u >= part && t < workspaces-1; part /= 2 {
		u -= part
		t++
	}
	return t
}

// markLargest marks the largest tenth of each kind's calls.
func markLargest(calls []*call) {
	sizes := make(map[*Kind][]int)
	for _, c := range calls {
		sizes[c.kind] = append(sizes[c.kind], c.prompt+c.answer)
	}
	for _, list := range sizes {
		slices.Sort(list)
	}
	for _, c := range calls {
		list := sizes[c.kind]
		c.large = c.prompt+c.answer > list[len(list)*9/10]
	}
}

// draw returns the first attempts of the pattern's clients, by kind (rule E2).
func (p *Pattern) draw(seed uint64) []*call {
	const streams = 7
	random := rand.New(rand.NewPCG(seed, streams))
	var calls []*call
	for k := range p.Kinds {
		kind := &p.Kinds[k]
		most := kind.PerSecond
		for _, b := range p.Bursts {
			most = max(most, kind.PerSecond*b.Factor)
		}
		for at := time.Duration(0); ; {
			at += time.Duration(random.ExpFloat64() / most * float64(time.Second))
			if at >= p.Length {
				break
			}
			if random.Float64()*most > kind.PerSecond*p.rateFactor(kind, at) {
				continue
			}
			calls = append(calls, &call{
				kind: kind, node: p.node(random.Float64()), first: at, arrived: at,
				prompt: drawTokens(random, kind.Prompt, kind.Spread), answer: drawTokens(random, kind.Answer, kind.Spread),
			})
		}
	}
	markLargest(calls)
	// A separate generator keeps the arrivals independent of the workspaces.
	workspaceRandom := rand.New(rand.NewPCG(seed, streams+1))
	for _, c := range calls {
		c.workspace = drawWorkspace(workspaceRandom.Float64())
	}
	patienceRandom := rand.New(rand.NewPCG(seed, streams+2))
	for _, c := range calls {
		c.patience = time.Duration(float64(c.kind.Deadline) * (minPatience + (1-minPatience)*patienceRandom.Float64()))
	}
	return calls
}

// rateFactor returns the factor on a kind's rate at a time.
func (p *Pattern) rateFactor(kind *Kind, at time.Duration) float64 {
	times := 1.0
	for _, b := range p.Bursts {
		if at >= b.At && at < b.At+b.For && (b.Kind == "" || b.Kind == kind.Name) {
			times *= b.Factor
		}
	}
	return times
}

func (p *Pattern) node(u float64) int {
	for i, part := range p.Nodes {
		if u < part {
			return i
		}
		u -= part
	}
	return len(p.Nodes) - 1
}

func drawTokens(random *rand.Rand, mean, spread float64) int {
	// The mean of a log-normal distribution is above its median.
	return 1 + int(math.Exp(math.Log(mean)-spread*spread/2+random.NormFloat64()*spread))
}

// engineProfile returns the profile that the users' engines publish.
func engineProfile() garnetworks.EngineProfile {
	return garnetworks.EngineProfile{
		Slots: 26, StepsPerPass: 6, StepTime: 6450 * time.Microsecond, StepTimePerCall: 97 * time.Microsecond, PrefillRate: 56100,
		Models: []garnetworks.ModelProfile{{Name: "large", GroupSize: 6, TimeFactor: 1}, {Name: "small", GroupSize: 3, TimeFactor: 0.6}},
	}
}

func kinds(times float64) []Kind {
	const ms = time.Millisecond
	return []Kind{
		{"brief", "large", 33 * times, 1420, 174, 0.6, 400 * ms, 250 * ms, 8 * time.Second, 3, 0.74},
		{"verdict", "large", 27 * times, 1960, 24, 0.6, 400 * ms, 250 * ms, 5 * time.Second, 1.7, 0.42},
		{"reply", "small", 88 * times, 674, 186, 0.6, 250 * ms, 200 * ms, 6 * time.Second, 1.7, 0.43},
	}
}

func competingKinds() []Kind {
	const ms = time.Millisecond
	return []Kind{
		{"draft", "large", 33, 1460, 175, 0.7, 300 * ms, 300 * ms, 8 * time.Second, 3.1, 0.77},
		{"verdict", "large", 22, 2000, 21, 0.7, 400 * ms, 300 * ms, 5 * time.Second, 2.1, 0.53},
	}
}

// sixNodes are uneven fractions of the calls, with more than a third at one node.
var sixNodes = []float64{0.11, 0.1, 0.1, 0.15, 0.15, 0.39}

// Patterns returns the load patterns by name.
func Patterns() map[string]Pattern {
	base := Pattern{
		Length: 30 * time.Second, Profile: engineProfile(), Groups: map[garnetworks.ModelName]int{"large": 6, "small": 6},
		Kinds: kinds(1), Nodes: sixNodes, Retries: 1,
	}
	patterns := make(map[string]Pattern)
	add := func(name string, change func(*Pattern)) {
		p := base
		change(&p)
		p.Name = name
		patterns[name] = p
	}
	add("calm", func(*Pattern) {})
	add("overload", func(p *Pattern) { p.Kinds = kinds(1.7) })
	add("burst", func(p *Pattern) { p.Bursts = []Burst{{At: 10 * time.Second, For: 5 * time.Second, Factor: 2}} })
	add("losses", func(p *Pattern) {
		for i := range 9 {
			model := garnetworks.ModelName("large")
			if i%3 == 2 {
				model = "small"
			}
			p.Losses = append(p.Losses, Loss{At: time.Duration(3*i+2) * time.Second, For: 2500 * time.Millisecond, Model: model, Group: i % 6})
		}
	})
	add("short-of-prefill", func(p *Pattern) {
		p.Profile = competingProfile(0.5)
		p.Profile.Models[0].TimeFactor = 1
		p.Groups = map[garnetworks.ModelName]int{"large": 5}
		p.Nodes = evenNodes(89)
		p.Kinds = competingKinds()
		p.Bursts = []Burst{{10 * time.Second, 8 * time.Second, "", 1.5}}
	})
	add("many-nodes", func(p *Pattern) { p.Nodes = evenNodes(78) })
	return patterns
}

// evenNodes returns equal fractions of the calls for some nodes.
func evenNodes(nodes int) []float64 { return slices.Repeat([]float64{1 / float64(nodes)}, nodes) }
