package main

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/garnetworks/garnetworks"
)

// statusCommand shows a summary of the site.
type statusCommand struct{}

// siteStatus is the output of status.
type siteStatus struct {
	Generation  garnetworks.Generation     `json:"generation"`
	Commit      garnetworks.CommitProgress `json:"commit"`
	Nodes       int                        `json:"nodes"`
	Ready       int                        `json:"ready"`
	Unreachable []garnetworks.NodeID       `json:"unreachable,omitempty"`
	// Behind lists reachable nodes whose manifest in force has a lower generation.
	Behind []garnetworks.NodeID `json:"behind,omitempty"`
	// ObjectAPIDown lists the nodes that can't reach the object API.
	ObjectAPIDown []garnetworks.NodeID    `json:"object-api-down,omitempty"`
	Groups        int                     `json:"groups"`
	Serving       int                     `json:"serving"`
	Measures      garnetworks.ZoneMetrics `json:"measures"`
	// Silent lists the zones without a view from their controller.
	Silent []garnetworks.ZoneID `json:"silent-zones,omitempty"`
}

// Run prints the status.
func (statusCommand) Run(s *session) error {
	status, err := s.site.status(s.ctx)
	if err != nil {
		return err
	}
	commit, err := s.site.progress(s.ctx, "")
	if err != nil {
		return err
	}
	nodes := s.site.nodeStatuses(s.ctx, nodesOf(status))
	out := summarize(status, commit, nodes)
	if s.json {
		err = s.printJSON(out)
	} else {
		err = out.print(s)
	}
	if err == nil && len(out.Unreachable) > 0 {
		err = partialError("not reached: %s", joinNames(out.Unreachable))
	}
	return err
}

// partialError returns the error for an incomplete answer.
func partialError(format string, args ...any) error {
	return &exitError{exitPartial, fmt.Errorf(format, args...)}
}

func summarize(status *garnetworks.StatusResponse, commit garnetworks.CommitProgress, nodes []nodeStatus) siteStatus {
	out := siteStatus{Generation: status.Generation, Commit: commit, Nodes: len(nodes)}
	for _, n := range nodes {
		if n.err == nil {
			out.Generation = max(out.Generation, n.status.Generation)
		}
	}
	for _, n := range nodes {
		out.addNode(n)
	}
	reporting := garnetworks.NewSet[garnetworks.ZoneID]()
	for _, v := range status.Views {
		out.addView(v)
		reporting.Add(v.Zone)
	}
	for _, r := range status.Rosters {
		if !reporting.Has(r.Zone) {
			out.Silent = append(out.Silent, r.Zone)
		}
	}
	return out
}

func (o *siteStatus) addNode(n nodeStatus) {
	if n.err != nil {
		o.Unreachable = append(o.Unreachable, n.ID)
		return
	}
	if n.status.Node.Ready {
		o.Ready++
	}
	if n.status.Generation < o.Generation {
		o.Behind = append(o.Behind, n.ID)
	}
	if n.status.ObjectAPIDown {
		o.ObjectAPIDown = append(o.ObjectAPIDown, n.ID)
	}
}

func (o *siteStatus) addView(v garnetworks.ZoneView) {
	for _, g := range v.Groups {
		o.Groups++
		if serves(g) {
			o.Serving++
		}
	}
	o.Measures.GroupDowntime += v.Metrics.GroupDowntime
	o.Measures.Stranded += v.Metrics.Stranded
	o.Measures.GroupsDown += v.Metrics.GroupsDown
	o.Measures.InstancesStranded += v.Metrics.InstancesStranded
	o.Measures.Drawn += v.Metrics.Drawn
	o.Measures.Limit += v.Metrics.Limit
}

func serves(g garnetworks.GroupView) bool { return g.State == garnetworks.GroupServing && g.Confirmed }

func (o *siteStatus) print(s *session) error {
	t := newTable()
	t.row("manifest", describeCommit(o.Generation, o.Commit))
	t.row("nodes", fmt.Sprintf("%d of %d ready%s%s", o.Ready, o.Nodes, prefixedNames(", not reached: ", o.Unreachable), prefixedNames(", behind: ", o.Behind)))
	objectAPI := "reached by all nodes that answer"
	if len(o.ObjectAPIDown) > 0 {
		objectAPI = "NOT reached by " + joinNames(o.ObjectAPIDown)
	}
	t.row("object API", objectAPI)
	t.row("groups", fmt.Sprintf("%d of %d serving", o.Serving, o.Groups))
	t.row("power", fmt.Sprintf("%s drawn of %s granted", formatWatts(o.Measures.Drawn), formatWatts(o.Measures.Limit)))
	t.row("group downtime", fmt.Sprintf("%s down now, %s in sum", pluralize(o.Measures.GroupsDown, "group"), formatDuration(o.Measures.GroupDowntime)))
	t.row("stranded", fmt.Sprintf("%s stranded now, %s in sum", pluralize(o.Measures.InstancesStranded, "instance"), formatDuration(o.Measures.Stranded)))
	if len(o.Silent) > 0 {
		t.row("no word of", joinNames(o.Silent))
	}
	return t.print(s.stdout)
}

func prefixedNames[T ~string](before string, values []T) string {
	if len(values) == 0 {
		return ""
	}
	return before + joinNames(values)
}

// describeCommit describes the manifest in force and the newest commit.
func describeCommit(newest garnetworks.Generation, p garnetworks.CommitProgress) string {
	if newest == 0 && p.CommitID == "" {
		return "none yet"
	}
	text := fmt.Sprintf("generation %d", newest)
	switch p.State {
	case garnetworks.CommitInForce:
		text = fmt.Sprintf("generation %d in force since %s", p.Generation, formatTime(p.InForceAt))
	case garnetworks.CommitAccepted:
		text = fmt.Sprintf("generation %d accepted at %s, not confirmed everywhere", p.Generation, formatTime(p.AcceptedAt))
	case garnetworks.CommitStaging, garnetworks.CommitHeld:
		text += fmt.Sprintf("; commit %s by %s is %s", p.CommitID, p.Operator, p.State)
	}
	if p.Reason != "" && p.State != garnetworks.CommitUnknown {
		text += ": " + p.Reason
	}
	return text
}

// groupsCommand shows groups and backend servers.
type groupsCommand struct {
	Zone  string `help:"Only this zone."`
	Model string `help:"Only this model."`
	Down  bool   `help:"Only groups that do not serve."`
}

// groupsOutput is the output of groups.
type groupsOutput struct {
	Groups  []garnetworks.GroupView  `json:"groups"`
	Servers []garnetworks.ServerView `json:"servers"`
}

// Run prints the groups.
func (c groupsCommand) Run(s *session) error {
	status, err := s.site.status(s.ctx)
	if err != nil {
		return err
	}
	out := c.filter(status)
	if s.json {
		return s.printJSON(out)
	}
	t := newTable("group", "zone", "domain", "model", "state", "load", "cache", "token", "members")
	for _, g := range out.Groups {
		t.row(string(g.ID), string(g.Zone), string(g.Domain), string(g.Model)+"@"+string(g.Version), describeState(g),
			fmt.Sprintf("%d+%d of %d", g.Load.Running, g.Load.Waiting, g.Load.Capacity),
			fmt.Sprintf("%.0f %%", 100*g.Load.CacheUsed), g.Token.String(), joinNames(g.Members))
	}
	if err := t.print(s.stdout); err != nil || len(out.Servers) == 0 {
		return err
	}
	_, _ = fmt.Fprintln(s.stdout)
	t = newTable("backend server", "zone", "service", "address", "leaving")
	for _, v := range out.Servers {
		t.row(string(v.Instance), string(v.Zone), string(v.Service), v.Address, yesNo(v.Leaving))
	}
	return t.print(s.stdout)
}

// describeState returns a group's state, and whether a member is unconfirmed or the group slow.
func describeState(g garnetworks.GroupView) string {
	words := []string{string(g.State)}
	if g.State == garnetworks.GroupServing && !g.Confirmed {
		words = append(words, "member not confirmed")
	}
	if g.Slow {
		words = append(words, "slow")
	}
	return strings.Join(words, ", ")
}

func (c groupsCommand) filter(status *garnetworks.StatusResponse) groupsOutput {
	out := groupsOutput{Groups: []garnetworks.GroupView{}, Servers: []garnetworks.ServerView{}}
	for _, v := range status.Views {
		if c.Zone != "" && c.Zone != string(v.Zone) {
			continue
		}
		for _, g := range v.Groups {
			if (c.Model == "" || c.Model == string(g.Model)) && !(c.Down && serves(g)) {
				out.Groups = append(out.Groups, g)
			}
		}
		if c.Model == "" {
			out.Servers = append(out.Servers, v.Servers...)
		}
	}
	slices.SortFunc(out.Groups, func(a, b garnetworks.GroupView) int {
		return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.ID, b.ID))
	})
	slices.SortFunc(out.Servers, func(a, b garnetworks.ServerView) int { return cmp.Compare(a.Instance, b.Instance) })
	return out
}

// powerCommand shows each zone's power draw and limit, group downtime and stranded instances.
type powerCommand struct{}

// zonePower is a row of power's output.
type zonePower struct {
	Zone garnetworks.ZoneID `json:"zone"`
	garnetworks.ZoneMetrics
}

// Run prints the power of each zone.
func (powerCommand) Run(s *session) error {
	status, err := s.site.status(s.ctx)
	if err != nil {
		return err
	}
	rows := []zonePower{}
	for _, v := range status.Views {
		rows = append(rows, zonePower{v.Zone, v.Metrics})
	}
	slices.SortFunc(rows, func(a, b zonePower) int { return cmp.Compare(a.Zone, b.Zone) })
	if s.json {
		return s.printJSON(rows)
	}
	t := newTable("zone", "drawn", "granted", "groups down", "downtime", "stranded", "stranded time")
	var sum zonePower
	for _, r := range rows {
		t.row(powerRow(r)...)
		sum.add(r.ZoneMetrics)
	}
	sum.Zone = "all"
	t.row(powerRow(sum)...)
	return t.print(s.stdout)
}

func (p *zonePower) add(m garnetworks.ZoneMetrics) {
	p.Drawn += m.Drawn
	p.Limit += m.Limit
	p.GroupsDown += m.GroupsDown
	p.GroupDowntime += m.GroupDowntime
	p.InstancesStranded += m.InstancesStranded
	p.Stranded += m.Stranded
}

func powerRow(p zonePower) []string {
	return []string{
		string(p.Zone), formatWatts(p.Drawn), formatWatts(p.Limit), fmt.Sprint(p.GroupsDown), formatDuration(p.GroupDowntime),
		fmt.Sprint(p.InstancesStranded), formatDuration(p.Stranded),
	}
}

// nodesCommand shows the entry nodes.
type nodesCommand struct{}

// nodeRow is a row of nodes' output.
type nodeRow struct {
	garnetworks.NodeInfo
	Generation garnetworks.Generation `json:"generation"`
	Staged     garnetworks.Generation `json:"staged,omitempty"`
	Leases     []string               `json:"leases,omitempty"`
	// ClockAhead is how far the node's clock is ahead of this machine's.
	ClockAhead time.Duration `json:"clock-ahead"`
	// ObjectAPIDown tells that the node can't reach the object API.
	ObjectAPIDown bool `json:"object-api-down,omitempty"`
	// Unreachable is the error of the call to the node, or empty.
	Unreachable string `json:"unreachable,omitempty"`
}

// Run prints the nodes.
func (nodesCommand) Run(s *session) error {
	status, err := s.site.status(s.ctx)
	if err != nil {
		return err
	}
	var rows []nodeRow
	missing := 0
	for _, n := range s.site.nodeStatuses(s.ctx, nodesOf(status)) {
		row := newNodeRow(n, s.now())
		if row.Unreachable != "" {
			missing++
			s.note("node %s: %s", row.ID, row.Unreachable)
		}
		rows = append(rows, row)
	}
	if s.json {
		err = s.printJSON(rows)
	} else {
		err = nodeTable(rows).print(s.stdout)
	}
	if err == nil && missing > 0 {
		err = partialError("%d of %s could not be reached", missing, pluralize(len(rows), "node"))
	}
	return err
}

func newNodeRow(n nodeStatus, now time.Time) nodeRow {
	if n.err != nil {
		return nodeRow{NodeInfo: n.NodeInfo, Unreachable: n.err.Error()}
	}
	row := nodeRow{
		NodeInfo:      n.status.Node,
		Generation:    n.status.Generation,
		Staged:        n.status.Staged,
		Leases:        n.status.Leases,
		ObjectAPIDown: n.status.ObjectAPIDown,
	}
	if n.status.At.Wall > 0 {
		row.ClockAhead = n.status.At.Time().Sub(now).Round(time.Millisecond)
	}
	return row
}

func nodeTable(rows []nodeRow) *table {
	t := newTable("node", "zone", "address", "process", "ready", "generation", "staged", "object API", "leases", "program")
	for _, r := range rows {
		if r.Unreachable != "" {
			t.row(string(r.ID), string(r.Zone), r.Address, fmt.Sprint(r.Incarnation), "not reached", "", "", "", "", "")
			continue
		}
		objectAPI := "up"
		if r.ObjectAPIDown {
			objectAPI = "DOWN"
		}
		t.row(string(r.ID), string(r.Zone), r.Address, fmt.Sprint(r.Incarnation), yesNo(r.Ready), formatGeneration(r.Generation),
			formatGeneration(r.Staged), objectAPI, strings.Join(r.Leases, ", "), r.Program)
	}
	return t
}
