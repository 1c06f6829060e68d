package prober

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/garnetworks/garnetworks"
)

// memberStatus returns the status of the only member in TestConfirmed, modified by change.
func memberStatus(change func(*garnetworks.EngineStatus)) garnetworks.EngineStatus {
	s := garnetworks.EngineStatus{
		Instance: "m", Incarnation: 7, Phase: garnetworks.EngineReady, Group: "g",
		Token: garnetworks.NewFencingToken(2, 5), Model: "large", Version: "v1",
	}
	if change != nil {
		change(&s)
	}
	return s
}

// A group may be confirmed only while its member's newest status confirms it, in whatever order
// the statuses of restarted, reassigned or failed members arrive.
func TestConfirmed(t *testing.T) {
	type result = garnetworks.ProbeResult
	good := memberStatus(nil)
	tests := map[string]struct {
		results []result
		want    bool
	}{
		"never probed":               {nil, false},
		"fresh":                      {[]result{{Status: good}}, true},
		"at the bound":               {[]result{{Status: good, Age: garnetworks.ConfirmationBound}}, true},
		"over the bound":             {[]result{{Status: good, Age: garnetworks.ConfirmationBound + 1}}, false},
		"age below zero":             {[]result{{Status: good, Age: garnetworks.ConfirmationBound + 1}, {Status: memberStatus(func(s *garnetworks.EngineStatus) { s.Group = "h" }), Age: -time.Hour}}, false},
		"cut off prober":             {[]result{{Status: good, Age: time.Second}, {Status: garnetworks.EngineStatus{Instance: "m"}, Failed: true}}, true},
		"only failures":              {[]result{{Status: garnetworks.EngineStatus{Instance: "m"}, Failed: true}}, false},
		"other group":                {[]result{{Status: memberStatus(func(s *garnetworks.EngineStatus) { s.Group = "h" })}}, false},
		"other model":                {[]result{{Status: memberStatus(func(s *garnetworks.EngineStatus) { s.Model = "small" })}}, false},
		"other version":              {[]result{{Status: memberStatus(func(s *garnetworks.EngineStatus) { s.Version = "v2" })}}, false},
		"older token":                {[]result{{Status: memberStatus(func(s *garnetworks.EngineStatus) { s.Token-- })}}, false},
		"newer token":                {[]result{{Status: memberStatus(func(s *garnetworks.EngineStatus) { s.Token++ })}}, false},
		"still loading":              {[]result{{Status: memberStatus(func(s *garnetworks.EngineStatus) { s.Phase = garnetworks.EngineLoading })}}, false},
		"leaving":                    {[]result{{Status: memberStatus(func(s *garnetworks.EngineStatus) { s.Leaving = true })}}, false},
		"old status arrives late":    {[]result{{Status: good}, {Status: memberStatus(func(s *garnetworks.EngineStatus) { s.Group = "h" }), Age: time.Second}}, true},
		"new status after old":       {[]result{{Status: good, Age: time.Second}, {Status: memberStatus(func(s *garnetworks.EngineStatus) { s.Group = "h" })}}, false},
		"status of old process":      {[]result{{Status: memberStatus(func(s *garnetworks.EngineStatus) { s.Incarnation++; s.Phase = garnetworks.EngineIdle }), Age: time.Second}, {Status: good}}, false},
		"status of old token":        {[]result{{Status: memberStatus(func(s *garnetworks.EngineStatus) { s.Token++; s.Group = "h" }), Age: time.Second}, {Status: good}}, false},
		"returned under token":       {[]result{{Status: memberStatus(func(s *garnetworks.EngineStatus) { s.Incarnation-- }), Age: time.Second}, {Status: good}}, false},
		"re-admitted by token":       {[]result{{Status: memberStatus(func(s *garnetworks.EngineStatus) { s.Incarnation--; s.Token-- }), Age: time.Second}, {Status: good}}, true},
		"late status of new process": {[]result{{Status: memberStatus(func(s *garnetworks.EngineStatus) { s.Incarnation--; s.Group = "h" })}, {Status: memberStatus(func(s *garnetworks.EngineStatus) { s.Token++ }), Age: time.Second}}, false},
	}
	group := garnetworks.Group{ID: "g", Token: good.Token, Model: "large", Version: "v1", Members: []garnetworks.InstanceID{"m"}}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			table, now := NewTable(), time.Now()
			newest := uint64(0)
			for _, r := range test.results {
				table.Merge(now, []garnetworks.ProbeResult{r})
				newest = max(newest, r.Status.Incarnation)
			}
			if s, _, _ := table.Status("m"); s.Incarnation != newest {
				t.Errorf("the table went back to incarnation %d", s.Incarnation)
			}
			if got := table.Confirmed(now, group); got != test.want {
				t.Errorf("Confirmed = %v, want %v", got, test.want)
			}
			if missing := table.Missing(now, group); (len(missing) == 0) != test.want {
				t.Errorf("Missing = %v", missing)
			}
		})
	}
	if NewTable().Confirmed(time.Now(), garnetworks.Group{}) {
		t.Error("a group without members counts as confirmed")
	}
}

// A suspended virtual machine must be detected by the jump of its wall clock, since its
// monotonic clock stops.
func TestClockJumped(t *testing.T) {
	tests := map[string]struct {
		before, wall, monotonic time.Duration
		want                    bool
	}{
		"steady":         {0, time.Hour, time.Hour, false},
		"being adjusted": {time.Second, time.Hour + time.Second + time.Millisecond, time.Hour, false},
		"suspended":      {time.Second, time.Hour + 2*time.Second, time.Hour, true},
		"set back":       {time.Second, time.Hour, time.Hour, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := clockJumped(test.before, test.wall, test.monotonic); got != test.want {
				t.Errorf("jumped = %v", got)
			}
		})
	}
}

// Ages that refer to a list which the receiver does not hold must be ignored; otherwise a
// member whose status has changed would keep confirming its old group.
func TestAgesForMismatchedList(t *testing.T) {
	start := time.Now()
	nodes := []garnetworks.NodeInfo{{ID: "a", Zone: "z", Ready: true}, {ID: "b", Zone: "z", Ready: true}}
	targets := []Target{{Instance: "m", Zone: "z"}}
	from, to := NewTable(), NewTable()
	sender, receiver := NewExchange("a", start, from), NewExchange("b", start, to)
	sender.SetTopology(nodes, targets)
	receiver.SetTopology(nodes, targets)
	send := func(at time.Duration, status garnetworks.EngineStatus, lost bool) {
		now := start.Add(at)
		from.Merge(now, []garnetworks.ProbeResult{{Status: status}})
		out := sender.Outgoing(now)[0]
		if lost {
			// The receiver's response to a later diff can't name this list.
			sender.HandleResponse(now, &out, &garnetworks.ConfirmResponse{ListChecksum: out.Request.ListChecksum})
			return
		}
		response, _ := receiver.HandleRequest(now, out.Request)
		sender.HandleResponse(now, &out, response)
	}
	send(0, memberStatus(nil), false)
	send(time.Second, memberStatus(nil), false)
	if _, at, ok := to.Status("m"); !ok || at.Before(start.Add(900*time.Millisecond)) {
		t.Fatalf("the status was not merged: %v", at.Sub(start))
	}
	moved := memberStatus(func(s *garnetworks.EngineStatus) { s.Group, s.Token = "h", s.Token+1 })
	send(2*time.Second, moved, true)
	send(3*time.Second, moved, false)
	if s, at, _ := to.Status("m"); s.Group == "g" && at.After(start.Add(time.Second)) {
		t.Fatalf("an outdated status was refreshed at %v", at.Sub(start))
	}
	send(4*time.Second, moved, false)
	if s, _, _ := to.Status("m"); s.Group != "h" {
		t.Fatalf("the change did not arrive after the response: %v", s.Group)
	}
}

// engines answers probes, except at silent addresses.
type engines struct{ silent garnetworks.Set[string] }

func (e engines) Order(context.Context, string, garnetworks.EngineOrder) (garnetworks.EngineStatus, error) {
	panic("not used")
}

func (e engines) Status(ctx context.Context, address string) (garnetworks.EngineStatus, error) {
	if e.silent.Has(address) {
		<-ctx.Done()
		return garnetworks.EngineStatus{}, garnetworks.WrapError(garnetworks.KindUnreachable, ctx.Err(), "no answer")
	}
	time.Sleep(10 * time.Millisecond)
	return memberStatus(func(s *garnetworks.EngineStatus) { s.Instance = garnetworks.InstanceID(address) }), nil
}

// mesh delivers confirmations between the probers of a test.
type mesh map[string]*Prober

func (m mesh) Confirm(ctx context.Context, address string, r *garnetworks.ConfirmRequest) (*garnetworks.ConfirmResponse, error) {
	time.Sleep(time.Millisecond)
	return m[address].Confirm(ctx, r)
}

// Probes of a dead engine that time out must not delay other probes, and neither the dead engine
// nor one whose address another instance has taken over may be confirmed.
func TestDeadEngineDoesNotDelayProbes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		m := mesh{}
		e := engines{silent: garnetworks.NewSet("dead")}
		var nodes []garnetworks.NodeInfo
		for _, id := range []string{"a", "b", "c", "d", "e", "f", "g", "h"} {
			nodes = append(nodes, garnetworks.NodeInfo{ID: garnetworks.NodeID(id), Address: id, Zone: "z", Ready: true})
		}
		targets := []Target{{"live", "live", "z"}, {"dead", "dead", "z"}, {"gone", "live", "z"}}
		for _, n := range nodes {
			p := New(Options{Node: n.ID, Orders: e, Peers: garnetworks.Some[garnetworks.ConfirmCaller](m)})
			p.SetRoster(nodes)
			p.SetTargets(targets)
			m[n.Address] = p
		}
		for _, p := range m {
			go func() { _ = p.Run(ctx) }()
		}
		time.Sleep(5 * time.Second)
		for range 20 {
			time.Sleep(300 * time.Millisecond)
			for id, p := range m {
				if c, ok := p.Table().Confirmation("live"); !ok || time.Since(c.At) > garnetworks.ConfirmationBound {
					t.Fatalf("%s: the living engine confirmed %v ago", id, time.Since(c.At))
				}
				for _, silent := range []garnetworks.InstanceID{"dead", "gone"} {
					if _, ok := p.Table().Confirmation(silent); ok {
						t.Fatalf("%s: %s confirms", id, silent)
					}
				}
			}
		}
		if _, err := m["a"].Check(ctx, "live"); err != nil {
			t.Errorf("Check of a living engine: %v", err)
		}
		if _, err := m["a"].Check(ctx, "dead"); !garnetworks.IsKind(err, garnetworks.KindUnreachable) {
			t.Errorf("Check of a dead engine: %v", err)
		}
		if !slices.ContainsFunc(nodes, func(n garnetworks.NodeInfo) bool { return len(m[n.Address].TakeChanges(time.Now())) > 0 }) {
			t.Error("no prober has changes to take")
		}
		cancel()
		time.Sleep(time.Second)
	})
}
