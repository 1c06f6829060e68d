package diagnoser

import (
	"cmp"
	"slices"
	"time"

	"github.com/garnetworks/garnetworks"
)

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
