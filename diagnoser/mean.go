package diagnoser

import (
	"cmp"
	"slices"
)

// MeanCause is the mean cost of a cause over several reports.
type MeanCause struct {
	Cause   Cause   `json:"cause"`
	Late    float64 `json:"late"`
	Refused float64 `json:"refused"`
	Failed  float64 `json:"failed"`
	Lost    float64 `json:"lost"`
	Spare   float64 `json:"spare"`
}

// MeanCauses returns the causes for which requests missed in any of the reports, the
// costliest first.
func MeanCauses(reports []*Report) []MeanCause {
	var list []MeanCause
	for _, cause := range Causes() {
		m := MeanCause{Cause: cause}
		for _, r := range reports {
			m.add(r, float64(len(reports)))
		}
		if m.Late+m.Refused+m.Failed > 0 {
			list = append(list, m)
		}
	}
	slices.SortStableFunc(list, func(a, b MeanCause) int { return cmp.Compare(b.Lost, a.Lost) })
	return list
}

// add adds one report's share of the mean over the number of reports.
func (m *MeanCause) add(r *Report, reports float64) {
	for i := range r.Causes {
		c := &r.Causes[i]
		if c.Cause != m.Cause {
			continue
		}
		m.Late += float64(c.Late) / reports
		m.Refused += float64(c.Refused) / reports
		m.Failed += float64(c.Failed) / reports
		m.Lost += c.Lost / reports
		m.Spare += float64(c.Spare) / reports
	}
}
