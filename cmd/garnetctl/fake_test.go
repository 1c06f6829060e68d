package main

import (
	"context"
	"encoding/json"
	"time"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/parser"
)

// fakeNodes answers as three entry nodes in three zones would. With zero fields it answers
// as a healthy site, but proposals must be set before a call of Propose.
type fakeNodes struct {
	garnetworks.PeerCaller
	// down holds the addresses that are unreachable.
	down garnetworks.Set[string]
	// proposals and progress are returned one after the other; the last one is repeated.
	proposals []proposal
	progress  []garnetworks.CommitProgress
	// received holds the proposals in the order of their arrival.
	received []*garnetworks.ProposeRequest
	// noManifest makes the nodes answer as if no manifest had been committed.
	noManifest bool
	// lostEvents is the number of events that the first node no longer holds.
	lostEvents uint64
}

type proposal struct {
	progress garnetworks.CommitProgress
	err      error
}

var start = time.Date(2026, 12, 3, 6, 0, 0, 0, time.UTC)

func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

var infos = []garnetworks.NodeInfo{
	{ID: "node-a", Incarnation: 3, Address: "10.0.1.4:7600", Zone: "south-a", Region: "south", Ready: true, Program: "1.0.0"},
	{ID: "node-b", Incarnation: 1, Address: "10.0.2.4:7600", Zone: "south-b", Region: "south", Ready: true, Program: "1.0.0"},
	{ID: "node-c", Incarnation: 2, Address: "10.0.3.4:7600", Zone: "south-c", Region: "south", Program: "0.9.0"},
}

func (f *fakeNodes) reach(address string) (int, error) {
	for i, n := range infos {
		if n.Address == address && !f.down.Has(address) {
			return i, nil
		}
	}
	return 0, garnetworks.Errorf(garnetworks.KindUnreachable, "no connection to %s", address)
}

func (f *fakeNodes) Status(_ context.Context, address string, _ *garnetworks.StatusRequest) (*garnetworks.StatusResponse, error) {
	i, err := f.reach(address)
	if err != nil {
		return nil, err
	}
	status := &garnetworks.StatusResponse{
		At: garnetworks.Timestamp{Wall: at(1).UnixMilli()}, Node: infos[i], Generation: 7,
		Views: views(), ObjectAPIDown: i == 2,
	}
	if i == 0 {
		status.Leases = []string{"lease/site", "lease/zone/south-a"}
	}
	if i == 2 {
		status.Generation = 6
	}
	for _, n := range infos {
		status.Rosters = append(status.Rosters, garnetworks.Roster{Zone: n.Zone, Nodes: []garnetworks.NodeInfo{n}, Version: 4})
	}
	return status, nil
}

// views returns the views of two zones' controllers; the third zone's is missing.
func views() []garnetworks.ZoneView {
	group := func(id garnetworks.GroupID, zone garnetworks.ZoneID, state garnetworks.GroupState, confirmed bool) garnetworks.GroupView {
		return garnetworks.GroupView{
			ID: id, Zone: zone, Domain: garnetworks.DomainID("rack-" + string(id[len(id)-1:])), Model: "field-brief", Version: "2026.11",
			Token: garnetworks.NewFencingToken(4, 17), State: state, Confirmed: confirmed,
			Members: []garnetworks.InstanceID{"i-1", "i-2", "i-3", "i-4"},
			Load:    garnetworks.EngineLoad{Running: 12, Waiting: 3, Capacity: 32, CacheUsed: 0.42},
		}
	}
	slow := group("g-2", "south-a", garnetworks.GroupServing, true)
	slow.Slow = true
	return []garnetworks.ZoneView{
		{
			Zone: "south-a", Groups: []garnetworks.GroupView{group("g-1", "south-a", garnetworks.GroupServing, true), slow},
			Servers: []garnetworks.ServerView{{Instance: "l-1", Service: "ledger", Zone: "south-a", Address: "10.0.1.9:80"}},
			Metrics: garnetworks.ZoneMetrics{Drawn: 11500, Limit: 40000},
		},
		{
			Zone: "south-b", Groups: []garnetworks.GroupView{group("g-3", "south-b", garnetworks.GroupServing, false)},
			Servers: []garnetworks.ServerView{{Instance: "l-2", Service: "ledger", Zone: "south-b", Address: "10.0.2.9:80", Leaving: true}},
			Metrics: garnetworks.ZoneMetrics{
				Drawn: 5600, Limit: 30000, GroupsDown: 1, GroupDowntime: 63 * time.Second, InstancesStranded: 3, Stranded: 189 * time.Second,
			},
		},
	}
}

// manifest returns the example manifest, encoded as the one in force.
func (f *fakeNodes) manifest() []byte {
	if f.noManifest {
		return nil
	}
	manifest, _ := parser.Parse("", []byte(parser.Example()))
	body, _ := json.Marshal(&garnetworks.AcceptedManifest{
		Generation: 7, CommitID: "c7", Operator: "anna", At: at(-60), Manifest: *manifest,
	})
	return body
}

func (f *fakeNodes) Propose(_ context.Context, address string, request *garnetworks.ProposeRequest) (*garnetworks.ProposeResponse, error) {
	if _, err := f.reach(address); err != nil {
		return nil, err
	}
	f.received = append(f.received, request)
	p := f.proposals[0]
	if len(f.proposals) > 1 {
		f.proposals = f.proposals[1:]
	}
	return &garnetworks.ProposeResponse{Progress: p.progress}, p.err
}

func (f *fakeNodes) Progress(_ context.Context, address string, request *garnetworks.ProgressRequest) (*garnetworks.ProgressResponse, error) {
	if _, err := f.reach(address); err != nil {
		return nil, err
	}
	if request.WithManifest {
		return &garnetworks.ProgressResponse{Manifest: f.manifest()}, nil
	}
	if len(f.progress) == 0 {
		return &garnetworks.ProgressResponse{Progress: committed()}, nil
	}
	p := f.progress[0]
	if len(f.progress) > 1 {
		f.progress = f.progress[1:]
	}
	return &garnetworks.ProgressResponse{Progress: p}, nil
}

// commitProgress returns a commit's progress in which the first zones, up to the number staged,
// have staged it, and the first ones, up to the number applied, have applied it.
func commitProgress(state garnetworks.CommitState, staged, applied int) garnetworks.CommitProgress {
	p := garnetworks.CommitProgress{
		CommitID: "c8", Operator: "anna", Base: 7, Proposal: 9, State: state, ProposedAt: at(0),
	}
	if applied > 0 || state == garnetworks.CommitAccepted {
		p.Generation, p.AcceptedAt = 8, at(0.2)
	}
	for i, n := range infos {
		z := garnetworks.ZoneProgress{Zone: n.Zone, Live: 1}
		report := garnetworks.NodeReport{Node: n.ID, Incarnation: n.Incarnation, Applied: 7}
		if i < staged {
			report.Proposal, report.StagedAt = 9, at(0.1+float64(i)/100)
		} else {
			z.Unstaged = []garnetworks.NodeID{n.ID}
		}
		if i < applied {
			report.Applied, report.AppliedAt = 8, at(0.3+float64(i)/100)
		} else {
			z.Unapplied = []garnetworks.NodeID{n.ID}
		}
		z.Nodes = []garnetworks.NodeReport{report}
		p.Zones = append(p.Zones, z)
	}
	return p
}

func committed() garnetworks.CommitProgress {
	p := commitProgress(garnetworks.CommitInForce, 3, 3)
	p.InForceAt = at(0.4)
	return p
}

func heldCommit() garnetworks.CommitProgress {
	p := commitProgress(garnetworks.CommitHeld, 2, 0)
	p.Reason = "zone south-c has not staged it at any of its nodes"
	return p
}

// Events returns the events of one group's failure. Their timestamps are in causal order
// across the nodes.
func (f *fakeNodes) Events(_ context.Context, address string, request *garnetworks.EventsRequest) (*garnetworks.EventsResponse, error) {
	i, err := f.reach(address)
	if err != nil {
		return nil, err
	}
	event := func(sequence uint64, seconds float64, logical uint32, kind garnetworks.EventKind, detail string) garnetworks.Event {
		return garnetworks.Event{
			At: garnetworks.Timestamp{Wall: at(seconds).UnixMilli(), Logical: logical}, Node: infos[i].ID, Sequence: sequence,
			Kind: kind, Zone: infos[i].Zone, Detail: detail,
		}
	}
	lists := [][]garnetworks.Event{
		{event(1, 1, 0, garnetworks.EventMemberLost, "no confirmation for 3s"), event(2, 1.2, 0, garnetworks.EventGroupBroken, "")},
		{event(1, 1.2, 1, garnetworks.EventCallRefused, "no other group"), event(2, 5, 0, garnetworks.EventGroupFormed, "")},
		{event(1, 0.5, 0, garnetworks.EventNodeStarted, "program 0.9.0")},
	}
	for _, list := range lists {
		for j := range list {
			list[j].Group = "g-3"
		}
	}
	lists[0][0].Instance = "i-2"
	lists[1][0].Call, lists[1][0].Error = "call-5", garnetworks.KindNoGroup
	lists[2][0].Group = ""
	response := &garnetworks.EventsResponse{Node: infos[i].ID}
	if i == 0 {
		response.Lost = f.lostEvents
	}
	for _, e := range lists[i] {
		if e.Sequence > request.After {
			response.Events = append(response.Events, e)
		}
	}
	return response, nil
}
