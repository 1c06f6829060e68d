package diagnoser

import (
	"cmp"
	"fmt"
	"slices"
)

func causeCounts(all []*diagnosed, total Counts) []CauseCount {
	var list []CauseCount
	for _, known := range causes {
		c := CauseCount{Cause: known.Cause, Text: known.Text}
		for _, j := range all {
			if j.Cause != known.Cause {
				continue
			}
			c.add(j)
			if j.Call.SpareSlots > 0 {
				c.Spare++
			}
			for _, call := range j.Calls {
				c.Suppressed += call.Suppressed
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

func kindCounts(all []*diagnosed) []KindCount {
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

// tables counts the requests by each property.
func (d *Diagnoser) tables(all []*diagnosed) []Table {
	properties := []struct {
		by    string
		value func(*diagnosed) string
	}{
		{"model", func(j *diagnosed) string { return string(j.first().Model) }},
		{"kind", func(j *diagnosed) string { return j.kind }},
		{"kind and size tenth", func(j *diagnosed) string {
			if j.decile == 0 {
				return ""
			}
			return fmt.Sprintf("%s %2d", j.kind, j.decile)
		}},
		{"workspace", func(j *diagnosed) string { return string(j.first().Workspace) }},
		{"zone", func(j *diagnosed) string { return string(d.zone(j)) }},
	}
	var tables []Table
	for _, p := range properties {
		tables = append(tables, newTable(p.by, all, p.value))
	}
	return tables
}

func newTable(by string, all []*diagnosed, value func(*diagnosed) string) Table {
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
