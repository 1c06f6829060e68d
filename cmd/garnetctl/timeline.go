package main

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/recorder"
)

const (
	// eventsPage is the maximum number of events per request.
	eventsPage = 1000
	// followInterval is the time between two rounds of --follow.
	followInterval = time.Second
	// rosterRounds is the number of rounds between updates of the list of nodes.
	rosterRounds = 5
)

// timelineCommand shows the events of all nodes.
type timelineCommand struct {
	Follow   bool          `short:"f" help:"Go on with new events until interrupted."`
	Since    time.Duration `help:"Only events of this last span of time." placeholder:"10m"`
	Node     string        `help:"Only events of this node."`
	Zone     string        `help:"Only events of this zone."`
	Group    string        `help:"Only events of this replica group."`
	Instance string        `help:"Only events of this instance."`
	Call     string        `help:"Only events of this call."`
	Kind     []string      `help:"Only events of these kinds." placeholder:"KIND,..."`
}

func (c *timelineCommand) filter() recorder.Filter {
	f := recorder.Filter{
		Node:     garnetworks.NodeID(c.Node),
		Zone:     garnetworks.ZoneID(c.Zone),
		Group:    garnetworks.GroupID(c.Group),
		Instance: garnetworks.InstanceID(c.Instance),
		Call:     garnetworks.CallID(c.Call),
		Kinds:    garnetworks.NewSet[garnetworks.EventKind](),
	}
	for _, k := range c.Kind {
		f.Kinds.Add(garnetworks.EventKind(k))
	}
	return f
}

// eventReader reads the events of all nodes incrementally.
type eventReader struct {
	site  *site
	nodes []garnetworks.NodeInfo
	// after holds the sequence number of the last event read from each process.
	after map[process]uint64
	// pending holds events that an event still to be read may precede.
	pending []garnetworks.Event
	// until is the newest timestamp read in earlier rounds.
	until garnetworks.Timestamp
}

// process identifies one run of a node; sequence numbers start from 1 in each.
type process struct {
	node        garnetworks.NodeID
	incarnation uint64
}

// Run prints the timeline.
func (c *timelineCommand) Run(s *session) error {
	status, err := s.site.status(s.ctx)
	if err != nil {
		return err
	}
	r := &eventReader{site: s.site, nodes: nodesOf(status), after: map[process]uint64{}}
	if c.Follow {
		return c.follow(s, r)
	}
	t := c.since(s, c.filter().Apply(r.read(s.ctx)))
	if s.json {
		err = s.printJSON(t)
	} else {
		printEvents(s, t)
	}
	if err != nil || len(t.Unreachable)+len(t.Gaps) == 0 {
		return err
	}
	return partialError("%s not reached, %s in what the others hold", pluralize(len(t.Unreachable), "node"), pluralize(len(t.Gaps), "gap"))
}

// since removes events older than --since.
func (c *timelineCommand) since(s *session, t recorder.Timeline) recorder.Timeline {
	if c.Since <= 0 {
		return t
	}
	oldest := s.now().Add(-c.Since)
	t.Events = slices.DeleteFunc(t.Events, func(e garnetworks.Event) bool { return e.At.Time().Before(oldest) })
	return t
}

// follow prints new events, round by round, until interrupted.
func (c *timelineCommand) follow(s *session, r *eventReader) error {
	reported := garnetworks.NewSet[garnetworks.NodeID]()
	for round := 1; ; round++ {
		t := r.round(s.ctx)
		if s.ctx.Err() != nil {
			return nil
		}
		t = c.since(s, c.filter().Apply(t))
		t.Unreachable = newlyUnreachable(t.Unreachable, reported)
		if s.json {
			printLines(s, t)
		} else {
			printEvents(s, t)
		}
		if s.pause(followInterval) != nil {
			return nil
		}
		if round%rosterRounds == 0 {
			r.refresh(s.ctx)
		}
	}
}

// newlyUnreachable returns the nodes of lost that are not in reported, and sets reported to
// the nodes of lost.
func newlyUnreachable(lost []recorder.Unreachable, reported garnetworks.Set[garnetworks.NodeID]) []recorder.Unreachable {
	var added []recorder.Unreachable
	unreachable := garnetworks.NewSet[garnetworks.NodeID]()
	for _, u := range lost {
		unreachable.Add(u.Node)
		if !reported.Has(u.Node) {
			added = append(added, u)
		}
	}
	clear(reported)
	for n := range unreachable {
		reported.Add(n)
	}
	return added
}

// refresh updates the list of nodes; it keeps the old one if no node answers.
func (r *eventReader) refresh(ctx context.Context) {
	status, err := r.site.status(ctx)
	if err == nil {
		r.nodes = nodesOf(status)
	}
}

// read returns all events that were not read before.
func (r *eventReader) read(ctx context.Context) recorder.Timeline {
	list := make([]recorder.NodeEvents, len(r.nodes))
	last := make([]uint64, len(r.nodes))
	r.site.forEachNode(ctx, r.nodes, func(ctx context.Context, i int, n garnetworks.NodeInfo) {
		list[i], last[i] = r.readNode(ctx, n, r.after[processOf(n)])
	})
	for i, n := range r.nodes {
		r.after[processOf(n)] = last[i]
	}
	return recorder.Merge(list)
}

func processOf(n garnetworks.NodeInfo) process { return process{n.ID, n.Incarnation} }

// readNode reads a node's events page by page. After an error it returns no events and the
// position before the call, so that the next round reads them all, each once.
func (r *eventReader) readNode(ctx context.Context, n garnetworks.NodeInfo, after uint64) (recorder.NodeEvents, uint64) {
	events := recorder.NodeEvents{Node: n.ID}
	start := after
	for {
		response, err := r.site.caller.Events(ctx, n.Address, &garnetworks.EventsRequest{After: after, Limit: eventsPage})
		if err != nil {
			return recorder.NodeEvents{Node: n.ID, Err: err}, start
		}
		events.Lost += response.Lost
		events.Events = append(events.Events, response.Events...)
		if len(response.Events) > 0 {
			after = response.Events[len(response.Events)-1].Sequence
		}
		if len(response.Events) < eventsPage {
			return events, after
		}
	}
}

// round reads new events and returns those that no later round is expected to precede. An
// event newer than all events of earlier rounds stays pending until the next round, as an
// earlier event of another node may still arrive; a round without new events returns all.
func (r *eventReader) round(ctx context.Context) recorder.Timeline {
	t := r.read(ctx)
	noEvents := len(t.Events) == 0
	newest := r.until
	for _, e := range t.Events {
		if newest.Before(e.At) {
			newest = e.At
		}
	}
	all := append(r.pending, t.Events...)
	slices.SortFunc(all, compareEvents)
	ready := all
	if !noEvents {
		i, _ := slices.BinarySearchFunc(all, r.until, func(e garnetworks.Event, until garnetworks.Timestamp) int {
			if until.Before(e.At) {
				return 1
			}
			return -1
		})
		ready = all[:i]
	}
	r.pending = slices.Clone(all[len(ready):])
	r.until = newest
	t.Events = ready
	return t
}

func compareEvents(a, b garnetworks.Event) int {
	return cmp.Or(
		cmp.Compare(a.At.Wall, b.At.Wall), cmp.Compare(a.At.Logical, b.At.Logical),
		cmp.Compare(a.Node, b.Node), cmp.Compare(a.Sequence, b.Sequence),
	)
}

// printEvents prints a timeline as text.
func printEvents(s *session, t recorder.Timeline) {
	for _, u := range t.Unreachable {
		s.note("node %s could not be reached, its events are missing: %s", u.Node, u.Reason)
	}
	for _, g := range t.Gaps {
		before := ""
		if g.Before != (garnetworks.Timestamp{}) {
			before = " before " + formatTime(g.Before.Time())
		}
		s.note("node %s no longer holds %d events%s", g.Node, g.Lost, before)
	}
	out := &table{}
	for _, e := range t.Events {
		out.row(formatTime(e.At.Time()), string(e.Node), string(e.Kind), describeEvent(e))
	}
	_ = out.print(s.stdout)
}

// describeEvent joins the fields that are set.
func describeEvent(e garnetworks.Event) string {
	var words []string
	add := func(name, value string) {
		if value != "" {
			words = append(words, name+"="+value)
		}
	}
	add("zone", string(e.Zone))
	add("group", string(e.Group))
	add("instance", string(e.Instance))
	add("call", string(e.Call))
	add("generation", formatGeneration(e.Generation))
	add("error", string(e.Error))
	if e.Detail != "" {
		words = append(words, e.Detail)
	}
	return strings.Join(words, " ")
}

// printLines prints a round as JSON, one value per line.
func printLines(s *session, t recorder.Timeline) {
	encoder := json.NewEncoder(s.stdout)
	for _, u := range t.Unreachable {
		_ = encoder.Encode(struct {
			Unreachable recorder.Unreachable `json:"unreachable"`
		}{u})
	}
	for _, g := range t.Gaps {
		_ = encoder.Encode(struct {
			Gap recorder.Gap `json:"gap"`
		}{g})
	}
	for _, e := range t.Events {
		if err := encoder.Encode(e); err != nil {
			_, _ = fmt.Fprintln(s.stderr, err)
		}
	}
}
