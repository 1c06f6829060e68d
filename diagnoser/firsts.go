package diagnoser

import (
	"cmp"
	"slices"
	"time"

	"github.com/garnetworks/garnetworks"
)

func failovers(all []*diagnosed) Failovers {
	var detect, place, prefill []time.Duration
	for _, j := range all {
		if j.Cause != CauseGroupLost {
			continue
		}
		detect = append(detect, j.Steps.Detect)
		if j.Steps.Prefill > 0 {
			place, prefill = append(place, j.Steps.Place), append(prefill, j.Steps.Prefill)
		}
	}
	return Failovers{newSpread(detect), newSpread(place), newSpread(prefill)}
}

// firstEvents summarizes single-attempt detailed calls by model, on time and late.
func firstEvents(all []*diagnosed) []FirstEvent {
	type key struct {
		model garnetworks.ModelName
		late  bool
	}
	calls := make(map[key][]*Call)
	var keys []key
	for _, j := range all {
		c := j.first()
		late := j.Cause == CauseSlowFirstEvent
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
			FirstMS:      median(of, func(c *Call) int64 { return c.Attempts[0].FirstEvent.Milliseconds() }),
			Prompt:       median(of, func(c *Call) int { return c.PromptTokens }),
			CallsAhead:   median(of, func(c *Call) int { return c.Attempts[0].CallsAhead }),
			PrefillAhead: median(of, func(c *Call) int { return c.Attempts[0].PrefillAhead }),
		})
	}
	return list
}

// rank sorts calls on time before late ones.
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
