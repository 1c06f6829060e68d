package diagnoser

import (
	"cmp"
	"io"
	"slices"
	"time"

	"github.com/garnetworks/garnetworks"
)

// Options configures a diagnoser.
type Options struct {
	Credits Credits
	// RoundTrip is the network time between a client and a node, both ways.
	RoundTrip time.Duration
	// From and Until limit the receipt times of the requests that count; zero sets no limit.
	From, Until time.Time
	// NamedOnly leaves out requests whose kind has no entry in Credits.
	NamedOnly bool
}

// Lines counts the log lines that were read.
type Lines struct {
	Read int `json:"read"`
	// Truncated counts lines that are no complete JSON, Foreign those not written by a node.
	Truncated int `json:"cut"`
	Foreign   int `json:"foreign"`
	Calls     int `json:"calls"`
	Events    int `json:"events"`
	// Suppressed is the number of calls whose lines the nodes suppressed.
	Suppressed int `json:"folded"`
}

// Diagnoser collects log lines and reports on them. It is not safe for concurrent use.
type Diagnoser struct {
	options       Options
	lines         Lines
	names         map[string]string
	serviceLevels map[string]ServiceLevel
	calls         []*Call
	history       history
}

// New returns a diagnoser that has read no lines.
func New(options Options) *Diagnoser {
	return &Diagnoser{options: options, names: make(map[string]string), serviceLevels: make(map[string]ServiceLevel), history: newHistory()}
}

// Read reads all lines of one source. The order of sources does not matter.
func (d *Diagnoser) Read(source io.Reader) error { return d.read(source) }

// diagnosed is a request with its diagnosis and credit.
type diagnosed struct {
	*Request
	Diagnosis
	kind   string
	decile int
	weight float64
	credit Credit
}

// owed returns the on-time credit of a request that was on time or missed, otherwise 0.
func (j *diagnosed) owed() float64 {
	if j.Outcome == OnTime || j.Outcome.missed() {
		return j.weight * j.credit.OnTime
	}
	return 0
}

func (j *diagnosed) earned() float64 {
	switch j.Outcome {
	case OnTime:
		return j.owed()
	case Late:
		return j.weight * j.credit.Late
	}
	return 0
}

// diagnoseAll diagnoses all requests that the options select.
func (d *Diagnoser) diagnoseAll() []*diagnosed {
	var all []*diagnosed
	for _, r := range d.requests() {
		at := r.first().Received
		if !d.options.From.IsZero() && at.Before(d.options.From) || !d.options.Until.IsZero() && !at.Before(d.options.Until) {
			continue
		}
		j := &diagnosed{Request: r, Diagnosis: d.history.diagnose(r, d.options.RoundTrip)}
		credit, named := d.options.Credits.match(r.first().ServiceLevel)
		if d.options.NamedOnly && !named {
			continue
		}
		j.credit, j.kind = credit, credit.Name
		all = append(all, j)
	}
	d.assignWeights(all)
	return all
}

// deciles is the number of size classes into which the requests of a kind are divided.
const deciles = 10

// assignWeights sets each request's weight and size decile within its kind.
func (d *Diagnoser) assignWeights(all []*diagnosed) {
	ofKind := make(map[string][]*diagnosed)
	for _, j := range all {
		if j.first().Model != "" {
			ofKind[j.kind] = append(ofKind[j.kind], j)
		}
		j.weight = 1
	}
	credits := &d.options.Credits
	for _, list := range ofKind {
		sum := 0.0
		for _, j := range list {
			sum += credits.size(j.Request)
		}
		mean := sum / float64(len(list))
		slices.SortStableFunc(list, func(a, b *diagnosed) int {
			return cmp.Compare(credits.size(a.Request), credits.size(b.Request))
		})
		for i, j := range list {
			j.weight = credits.weight(credits.size(j.Request), mean)
			j.decile = 1 + i*deciles/len(list)
		}
	}
}

// zone returns the availability zone of the node that received the request's first call.
func (d *Diagnoser) zone(j *diagnosed) garnetworks.ZoneID { return d.history.zones[j.first().Node] }
