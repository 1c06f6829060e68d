package diagnoser

import (
	"slices"
	"time"

	"github.com/garnetworks/garnetworks"
)

// Report is the diagnosis of all requests.
type Report struct {
	Lines Lines `json:"lines"`
	// Total counts all requests; Causes counts them by cause, the costliest first.
	Total  Counts       `json:"total"`
	Causes []CauseCount `json:"causes"`
	// Kinds counts requests by kind and cause.
	Kinds []KindCount `json:"kinds"`
	// Tables counts requests by other properties, in a fixed order.
	Tables    []Table   `json:"tables"`
	Failovers Failovers `json:"moves"`
	// FirstEvents describes the load of groups before calls whose first event was late, and
	// before calls on time.
	FirstEvents []FirstEvent `json:"first-events"`
	// Seconds has an entry for each second from the first receipt.
	Seconds []Second `json:"seconds"`
}

// Counts holds numbers of requests and their credit.
type Counts struct {
	Requests   int `json:"requests"`
	OnTime     int `json:"on-time"`
	Late       int `json:"late"`
	Refused    int `json:"refused"`
	Failed     int `json:"failed"`
	Abandoned  int `json:"left"`
	NotAllowed int `json:"not-allowed"`
	// Owed is the credit that the requests on time and the missed ones would bring if all
	// were on time, Earned the credit that they brought.
	Owed   float64 `json:"owed"`
	Earned float64 `json:"earned"`
}

// Share returns the earned fraction of the owed credit.
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

// CauseCount counts the requests of one cause.
type CauseCount struct {
	Cause Cause  `json:"cause"`
	Text  string `json:"text"`
	Counts
	// Lost is the fraction of all owed credit that its requests did not earn. Bound is the
	// share that would be earned without this cause (rule D5).
	Lost  float64 `json:"lost"`
	Bound float64 `json:"bound"`
	// Spare is the number of its requests that were rejected beside free slots that could have
	// served them in time.
	Spare int `json:"spare"`
	// Suppressed is the number of calls of the same cause whose lines the nodes suppressed. The
	// number of their requests is not known, so they are counted only here (rule D4).
	Suppressed int `json:"held-back"`
}

// KindCount counts the requests of one kind and cause.
type KindCount struct {
	Kind  string `json:"kind"`
	Cause Cause  `json:"cause"`
	Counts
}

// Table counts requests by one property.
type Table struct {
	By   string `json:"by"`
	Rows []Row  `json:"rows"`
}

// Row counts the requests with one value of the property.
type Row struct {
	Name string `json:"name"`
	Counts
	// ByCause is the credit that each cause cost, as a fraction of the row's owed credit.
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

// Failovers summarizes the failover steps of requests whose group was lost.
type Failovers struct {
	Detect  Spread `json:"see"`
	Place   Spread `json:"place"`
	Prefill Spread `json:"read"`
}

// Spread summarizes durations in milliseconds.
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

// FirstEvent summarizes calls by the load of their group when they began.
type FirstEvent struct {
	Model garnetworks.ModelName `json:"model"`
	Late  bool                  `json:"late"`
	Count int                   `json:"count"`
	// FirstMS, Prompt, CallsAhead and PrefillAhead are medians.
	FirstMS      int64 `json:"first-ms"`
	Prompt       int   `json:"prompt"`
	CallsAhead   int   `json:"calls"`
	PrefillAhead int   `json:"reading"`
}

// Second counts the requests that were received within one second.
type Second struct {
	At time.Time `json:"at"`
	Counts
	ByCause map[Cause]int `json:"by-cause"`
	// Losses is the number of instances reported lost in the second, Groups the number of
	// groups of each model that had calls in it.
	Losses int                           `json:"losses"`
	Groups map[garnetworks.ModelName]int `json:"groups"`
}

// Report diagnoses all requests.
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
