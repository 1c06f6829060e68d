package diagnoser

import (
	"cmp"
	"io"
	"slices"
	"time"

	"github.com/garnetworks/garnetworks"
)

// Options describe what the operators know of their site.
type Options struct {
	Credits Credits
	// Way is the time between a client and a node, both ways.
	RoundTrip time.Duration
	// From and Until bound the receipts of requests that count; zero times don't.
	From, Until time.Time
	// NamedOnly leaves out requests of kinds that the credits don't name.
	NamedOnly bool
}

// Lines counts what was read.
type Lines struct {
	Read int `json:"read"`
	// Truncated lines were no whole JSON, Foreign ones no line of a node.
	Truncated int `json:"cut"`
	Foreign   int `json:"foreign"`
	Calls     int `json:"calls"`
	Events    int `json:"events"`
	// Folded is the number of calls whose lines the nodes held back.
	Suppressed int `json:"folded"`
}

// Diagnoser gathers lines. It is for one goroutine.
type Diagnoser struct {
	options       Options
	lines         Lines
	names         map[string]string
	serviceLevels map[string]ServiceLevel
	calls         []*Call
	history       history
}

// New returns a diagnoser without lines.
func New(options Options) *Diagnoser {
	return &Diagnoser{options: options, names: make(map[string]string), serviceLevels: make(map[string]ServiceLevel), history: newHistory()}
}

// Read takes all lines of one source; the order of sources does not matter.
func (d *Diagnoser) Read(source io.Reader) error { return d.read(source) }

// judged is a request with its verdict and what it is worth.
type diagnosed struct {
	*Request
	Diagnosis
	kind   string
	decile int
	weight float64
	credit Credit
}

// owed and earned are the credit that the request could bring and brought.
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

// diagnoseAll judges all requests within the options' bounds.
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

// deciles is the number of parts by size that each kind is divided into.
const deciles = 10

// weigh finds each request's weight and tenth among those of its kind.
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

// zone is the availability zone of the node that took the request.
func (d *Diagnoser) zone(j *diagnosed) garnetworks.ZoneID { return d.history.zones[j.first().Node] }
