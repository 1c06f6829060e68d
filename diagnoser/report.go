package diagnoser

import (
	"cmp"
	"fmt"
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
	Tables []Table `json:"tables"`
	Moves  Moves   `json:"moves"`
	// Firsts describe what groups had before calls whose first event was late, and
	// before those on time.
	Firsts []FirstEvent `json:"first-events"`
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
	Left       int `json:"left"`
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

func (c *Counts) add(j *judged) {
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
	case Left:
		c.Left++
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
	// HeldBack is the number of calls like those of its requests whose lines the nodes
	// held back. How many requests they were is not known, so they are counted here
	// only (rule D4).
	HeldBack int `json:"held-back"`
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

// Dearest returns the cause that cost the row most; empty if none did.
func (r *Row) Dearest() Cause {
	best := Cause("")
	for _, c := range causes {
		if r.ByCause[c.Cause] > 0 && (best == "" || r.ByCause[c.Cause] > r.ByCause[best]) {
			best = c.Cause
		}
	}
	return best
}

// Moves are the steps of requests whose group was lost.
type Moves struct {
	See   Spread `json:"see"`
	Place Spread `json:"place"`
	Read  Spread `json:"read"`
}

// Spread describes times, in milliseconds.
type Spread struct {
	Count   int   `json:"count"`
	Median  int64 `json:"median-ms"`
	Quarter int64 `json:"third-quartile-ms"`
	Most    int64 `json:"most-ms"`
}

func newSpread(times []time.Duration) Spread {
	if len(times) == 0 {
		return Spread{}
	}
	slices.Sort(times)
	at := func(part float64) int64 { return times[int(part*float64(len(times)-1))].Milliseconds() }
	return Spread{Count: len(times), Median: at(0.5), Quarter: at(0.75), Most: at(1)}
}

// FirstEvent describes calls by what their group had before them.
type FirstEvent struct {
	Model garnetworks.ModelName `json:"model"`
	Late  bool                  `json:"late"`
	Count int                   `json:"count"`
	// Median time to the first event, and medians of what the group had before.
	FirstMS int64 `json:"first-ms"`
	Prompt  int   `json:"prompt"`
	Calls   int   `json:"calls"`
	Reading int   `json:"reading"`
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
	all := d.judgeAll()
	r := &Report{Lines: d.lines}
	for _, j := range all {
		r.Total.add(j)
	}
	r.Causes = causeCounts(all, r.Total)
	r.Kinds = kindCounts(all)
	r.Tables = d.tables(all)
	r.Moves = moves(all)
	r.Firsts = firstEvents(all)
	r.Seconds = d.seconds(all)
	return r
}

func causeCounts(all []*judged, total Counts) []CauseCount {
	var list []CauseCount
	for _, known := range causes {
		c := CauseCount{Cause: known.Cause, Text: known.Text}
		for _, j := range all {
			if j.Cause != known.Cause {
				continue
			}
			c.add(j)
			if j.Call.Spare > 0 {
				c.Spare++
			}
			for _, call := range j.Calls {
				c.HeldBack += call.Folded
			}
		}
		if c.Requests == 0 {
			continue
		}
		if total.Owed > 0 {
			c.Lost = (c.Owed - c.Earned) / total.Owed
		}
		c.Bound = total.Share() + c.Lost
		list = append(list, c)
	}
	slices.SortStableFunc(list, func(a, b CauseCount) int { return cmp.Compare(b.Lost, a.Lost) })
	return list
}

func kindCounts(all []*judged) []KindCount {
	type key struct {
		kind  string
		cause Cause
	}
	counts := make(map[key]*KindCount)
	for _, j := range all {
		k := key{j.kind, j.Cause}
		if counts[k] == nil {
			counts[k] = &KindCount{Kind: j.kind, Cause: j.Cause}
		}
		counts[k].add(j)
	}
	var list []KindCount
	for _, c := range counts {
		list = append(list, *c)
	}
	slices.SortFunc(list, func(a, b KindCount) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Cause, b.Cause))
	})
	return list
}

// tables counts by each property.
func (d *Diagnoser) tables(all []*judged) []Table {
	properties := []struct {
		by    string
		value func(*judged) string
	}{
		{"model", func(j *judged) string { return string(j.first().Model) }},
		{"kind", func(j *judged) string { return j.kind }},
		{"kind and size tenth", func(j *judged) string {
			if j.tenth == 0 {
				return ""
			}
			return fmt.Sprintf("%s %2d", j.kind, j.tenth)
		}},
		{"workspace", func(j *judged) string { return string(j.first().Workspace) }},
		{"zone", func(j *judged) string { return string(d.zone(j)) }},
	}
	var tables []Table
	for _, p := range properties {
		tables = append(tables, newTable(p.by, all, p.value))
	}
	return tables
}

func newTable(by string, all []*judged, value func(*judged) string) Table {
	rows := make(map[string]*Row)
	var names []string
	for _, j := range all {
		name := value(j)
		if name == "" || j.Outcome == NotAllowed {
			continue
		}
		row := rows[name]
		if row == nil {
			row = &Row{Name: name, ByCause: make(map[Cause]float64)}
			rows[name] = row
			names = append(names, name)
		}
		row.add(j)
		if lost := j.owed() - j.earned(); lost > 0 {
			row.ByCause[j.Cause] += lost
		}
	}
	slices.Sort(names)
	t := Table{By: by}
	for _, name := range names {
		row := rows[name]
		for cause := range row.ByCause {
			row.ByCause[cause] /= row.Owed
		}
		t.Rows = append(t.Rows, *row)
	}
	return t
}

func moves(all []*judged) Moves {
	var see, place, read []time.Duration
	for _, j := range all {
		if j.Cause != CauseGroupLost {
			continue
		}
		see = append(see, j.Steps.See)
		if j.Steps.Read > 0 {
			place, read = append(place, j.Steps.Place), append(read, j.Steps.Read)
		}
	}
	return Moves{newSpread(see), newSpread(place), newSpread(read)}
}

// firstEvents describes detailed calls of each model, late and on time.
func firstEvents(all []*judged) []FirstEvent {
	type key struct {
		model garnetworks.ModelName
		late  bool
	}
	calls := make(map[key][]*Call)
	var keys []key
	for _, j := range all {
		c := j.first()
		late := j.Cause == CauseSlowFirst
		if c.Model == "" || !c.Detailed || len(j.Calls) > 1 || len(c.Attempts) != 1 || !late && j.Outcome != OnTime {
			continue
		}
		k := key{c.Model, late}
		if calls[k] == nil {
			keys = append(keys, k)
		}
		calls[k] = append(calls[k], c)
	}
	slices.SortFunc(keys, func(a, b key) int {
		return cmp.Or(cmp.Compare(a.model, b.model), cmp.Compare(rank(a.late), rank(b.late)))
	})
	var list []FirstEvent
	for _, k := range keys {
		of := calls[k]
		list = append(list, FirstEvent{
			Model: k.model, Late: k.late, Count: len(of),
			FirstMS: median(of, func(c *Call) int64 { return c.Attempts[0].First.Milliseconds() }),
			Prompt:  median(of, func(c *Call) int { return c.Prompt }),
			Calls:   median(of, func(c *Call) int { return c.Attempts[0].Calls }),
			Reading: median(of, func(c *Call) int { return c.Attempts[0].Reading }),
		})
	}
	return list
}

// rank orders calls on time before late ones.
func rank(late bool) int {
	if late {
		return 1
	}
	return 0
}

func median[N int | int64](calls []*Call, value func(*Call) N) N {
	values := make([]N, len(calls))
	for i, c := range calls {
		values[i] = value(c)
	}
	slices.Sort(values)
	return values[len(values)/2]
}

// maxSeconds bounds the seconds that are told one by one; a day has 86,400.
const maxSeconds = 100_000

// seconds accounts for each second from the first receipt to the last end.
func (d *Diagnoser) seconds(all []*judged) []Second {
	if len(all) == 0 {
		return nil
	}
	begin, end := all[0].first().Received, all[0].last().Ended()
	for _, j := range all {
		if ended := j.last().Ended(); ended.After(end) {
			end = ended
		}
	}
	n := min(int(end.Sub(begin)/time.Second)+1, maxSeconds)
	list := make([]Second, n)
	for i := range list {
		list[i] = Second{At: begin.Add(time.Duration(i) * time.Second), ByCause: make(map[Cause]int), Groups: make(map[garnetworks.ModelName]int)}
	}
	for _, j := range all {
		if i := int(j.first().Received.Sub(begin) / time.Second); i < n {
			list[i].add(j)
			if j.Outcome.missed() {
				list[i].ByCause[j.Cause]++
			}
		}
	}
	for _, at := range d.history.lossTimes() {
		if i := int(at.Sub(begin) / time.Second); !at.Before(begin) && i < n {
			list[i].Losses++
		}
	}
	countGroups(all, begin, list)
	return list
}

// countGroups counts the groups that had calls in each second.
func countGroups(all []*judged, begin time.Time, list []Second) {
	type at struct {
		second int
		group  garnetworks.GroupID
	}
	counted := make(map[at]bool)
	for _, j := range all {
		for _, c := range j.Calls {
			if len(c.Attempts) == 0 || !c.answered() {
				continue
			}
			group := c.Attempts[len(c.Attempts)-1].Group
			if group == "" {
				continue
			}
			last := min(int(c.Ended().Sub(begin)/time.Second), len(list)-1)
			for i := max(int(c.Received.Sub(begin)/time.Second), 0); i <= last; i++ {
				if k := (at{i, group}); !counted[k] {
					counted[k] = true
					list[i].Groups[c.Model]++
				}
			}
		}
	}
}
