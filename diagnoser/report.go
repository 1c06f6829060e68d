package diagnoser

import (
	"slices"
	"time"

	"github.com/garnetworks/garnetworks"
)

// Report is the account of all requests.
type Report struct {
	Lines Lines `json:"lines"`
	// Total is the count over all requests, and Causes the same by cause, the dearest
	// first.
	Total  Counts       `json:"total"`
	Causes []CauseCount `json:"causes"`
	// Kinds are the causes' counts by kind of request.
	Kinds []KindCount `json:"kinds"`
	// Tables count by what requests have in common, in a fixed order.
	Tables    []Table   `json:"tables"`
	Failovers Failovers `json:"moves"`
	// Firsts describe what groups had before calls whose first event was late, and
	// before those on time.
	FirstEvents []FirstEvent `json:"first-events"`
	// Seconds is the account of each second of receipt, from the first one.
	Seconds []Second `json:"seconds"`
}

// Counts are numbers of requests and their credit.
type Counts struct {
	Requests   int `json:"requests"`
	OnTime     int `json:"on-time"`
	Late       int `json:"late"`
	Refused    int `json:"refused"`
	Failed     int `json:"failed"`
	Abandoned  int `json:"left"`
	NotAllowed int `json:"not-allowed"`
	// Owed is the credit of all requests that were owed an answer, Earned what they
	// brought.
	Owed   float64 `json:"owed"`
	Earned float64 `json:"earned"`
}

// Share is the earned part of the credit.
func (c *Counts) Share() float64 {
	if c.Owed == 0 {
		return 0
	}
	return c.Earned / c.Owed
}

func (c *Counts) add(j *diagnosed) {
	c.Requests++
	c.Owed += j.owed()
	c.Earned += j.earned()
	switch j.Outcome {
	case OnTime:
		c.OnTime++
	case Late:
		c.Late++
	case Refused:
		c.Refused++
	case Failed:
		c.Failed++
	case Abandoned:
		c.Abandoned++
	case NotAllowed:
		c.NotAllowed++
	}
}

// CauseCount is what one cause did.
type CauseCount struct {
	Cause Cause  `json:"cause"`
	Text  string `json:"text"`
	Counts
	// Lost is the part of all owed credit that its requests did not earn, and Bound
	// the part that would be earned if only this cause were gone (rule D5).
	Lost  float64 `json:"lost"`
	Bound float64 `json:"bound"`
	// Spare is the number of its requests that were turned away while there were free
	// places at groups of other models.
	Spare int `json:"spare"`
	// Suppressed is the number of calls like those of its requests whose lines the nodes
	// held back. How many requests they were is not known, so they are counted here
	// only (rule D4).
	Suppressed int `json:"held-back"`
}

// KindCount is what one cause did to requests of one kind.
type KindCount struct {
	Kind  string `json:"kind"`
	Cause Cause  `json:"cause"`
	Counts
}

// Table is an account by one property of requests.
type Table struct {
	By   string `json:"by"`
	Rows []Row  `json:"rows"`
}

// Row is the account of the requests with one value of the property.
type Row struct {
	Name string `json:"name"`
	Counts
	// ByCause is the credit that each cause cost, as a part of the row's.
	ByCause map[Cause]float64 `json:"by-cause"`
}

// Costliest returns the cause that cost the row most; empty if none did.
func (r *Row) Costliest() Cause {
	best := Cause("")
	for _, c := range causes {
		if r.ByCause[c.Cause] > 0 && (best == "" || r.ByCause[c.Cause] > r.ByCause[best]) {
			best = c.Cause
		}
	}
	return best
}

// Failovers are the steps of requests whose group was lost.
type Failovers struct {
	Detect  Spread `json:"see"`
	Place   Spread `json:"place"`
	Prefill Spread `json:"read"`
}

// Spread describes times, in milliseconds.
type Spread struct {
	Count         int   `json:"count"`
	Median        int64 `json:"median-ms"`
	ThirdQuartile int64 `json:"third-quartile-ms"`
	Max           int64 `json:"most-ms"`
}

func newSpread(times []time.Duration) Spread {
	if len(times) == 0 {
		return Spread{}
	}
	slices.Sort(times)
	at := func(part float64) int64 { return times[int(part*float64(len(times)-1))].Milliseconds() }
	return Spread{Count: len(times), Median: at(0.5), ThirdQuartile: at(0.75), Max: at(1)}
}

// FirstEvent describes calls by what their group had before them.
type FirstEvent struct {
	Model garnetworks.ModelName `json:"model"`
	Late  bool                  `json:"late"`
	Count int                   `json:"count"`
	// Median time to the first event, and medians of what the group had before.
	FirstMS      int64 `json:"first-ms"`
	Prompt       int   `json:"prompt"`
	CallsAhead   int   `json:"calls"`
	PrefillAhead int   `json:"reading"`
}

// Second is the account of the requests that came in one second.
type Second struct {
	At time.Time `json:"at"`
	Counts
	ByCause map[Cause]int `json:"by-cause"`
	// Losses are instances told to be lost in the second, Groups those of each model
	// that had calls in it.
	Losses int                           `json:"losses"`
	Groups map[garnetworks.ModelName]int `json:"groups"`
}

// Report judges all requests.
func (d *Diagnoser) Report() *Report {
	all := d.diagnoseAll()
	r := &Report{Lines: d.lines}
	for _, j := range all {
		r.Total.add(j)
	}
	r.Causes = causeCounts(all, r.Total)
	r.Kinds = kindCounts(all)
	r.Tables = d.tables(all)
	r.Failovers = failovers(all)
	r.FirstEvents = firstEvents(all)
	r.Seconds = d.seconds(all)
	return r
}
