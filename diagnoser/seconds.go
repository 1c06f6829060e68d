package diagnoser

import (
	"time"

	"github.com/garnetworks/garnetworks"
)

// maxSeconds limits the seconds of a report; a day has 86,400.
const maxSeconds = 100_000

// seconds counts the requests of each second from the first receipt to the last end.
func (d *Diagnoser) seconds(all []*diagnosed) []Second {
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

// countGroups counts, for each second, the groups that had answered calls in it.
func countGroups(all []*diagnosed, begin time.Time, list []Second) {
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
