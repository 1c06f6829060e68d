package checker

import (
	"context"
	"fmt"
	"reflect"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/garnetworks/garnetworks"
)

// PeerFixture holds a peer caller and starts the servers that it calls.
type PeerFixture struct {
	Caller garnetworks.PeerCaller
	// Serve serves the handler and returns its address and a function that stops the server
	// and closes its connections.
	Serve func(handler garnetworks.PeerHandler) (address string, stop func())
	// Unused is an address at which nothing listens.
	Unused string
}

// Peer runs the contract suite of garnetworks.PeerCaller, together with the matching server.
func Peer(t *testing.T, newFixture func(t *testing.T) PeerFixture) {
	t.Helper()
	Run(t, newFixture, PeerCases())
}

// PeerCases returns the cases of the garnetworks.PeerCaller contract.
func PeerCases() map[string]Case[PeerFixture] {
	return map[string]Case[PeerFixture]{
		"requests and responses arrive unchanged": {
			Failure: "A field is lost between two nodes, which then compare incomplete leases and manifests.",
			Run:     peerRoundTrips,
		},
		"a handler's error keeps its kind": {
			Failure: "A refusal by a peer looks like a network failure and is retried forever.",
			Run:     peerKinds,
		},
		"no listener": {
			Failure: "Calls to a replaced node time out in place of failing at once.",
			Run: func(ctx context.Context, f PeerFixture) error {
				_, err := f.Caller.Status(ctx, f.Unused, &garnetworks.StatusRequest{})
				return wantKind("status", err, garnetworks.KindUnreachable)
			},
		},
		"a peer that hangs blocks no call beyond its context": {
			Failure: "One paused node delays the heartbeats of all others.",
			Run:     peerHangs,
		},
		"a peer that stops during a call is reported": {
			Failure: "A node stops during a call, and the caller is told that the call had no effect although it may have.",
			Run:     peerDies,
		},
		"a peer that restarts is reached": {
			Failure: "A node restarts at its address, and its peers go on using the closed connection.",
			Run:     peerRestarts,
		},
		"concurrent calls are not mixed": {
			Failure: "The response to one heartbeat is delivered to the caller of another.",
			Run:     peerConcurrent,
		},
		"a manifest of the maximum size arrives": {
			Failure: "A large manifest is committed but never arrives.",
			Run:     peerLargestManifest,
		},
	}
}

// peerHandler records requests and returns fixed responses. mu guards the request slices
// while calls run.
type peerHandler struct {
	mu          sync.Mutex
	heartbeats  []*garnetworks.HeartbeatRequest
	distributes []*garnetworks.DistributeRequest
	fetches     []*garnetworks.FetchRequest
	events      []*garnetworks.EventsRequest
	statuses    []*garnetworks.StatusRequest
	proposes    []*garnetworks.ProposeRequest
	progresses  []*garnetworks.ProgressRequest
	reports     []*garnetworks.ReportRequest
	// block, if not nil, holds each call until it is closed or the call's context ends.
	block chan struct{}
	// started receives a value for each call, unless it is full or nil.
	started chan struct{}
	err     error
	sample  peerSample
}

func (h *peerHandler) begin(ctx context.Context) error {
	select {
	case h.started <- struct{}{}:
	default:
	}
	if h.block != nil {
		select {
		case <-h.block:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return h.err
}

func (h *peerHandler) record(add func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	add()
}

// Heartbeat implements garnetworks.PeerHandler. It returns the sample with the sender's ID.
func (h *peerHandler) Heartbeat(ctx context.Context, r *garnetworks.HeartbeatRequest) (*garnetworks.HeartbeatResponse, error) {
	if err := h.begin(ctx); err != nil {
		return nil, err
	}
	h.record(func() { h.heartbeats = append(h.heartbeats, r) })
	response := h.sample.heartbeat
	response.From.ID = r.From.ID
	return &response, nil
}

// Distribute implements garnetworks.PeerHandler. It accepts all updates.
func (h *peerHandler) Distribute(ctx context.Context, r *garnetworks.DistributeRequest) (*garnetworks.DistributeResponse, error) {
	if err := h.begin(ctx); err != nil {
		return nil, err
	}
	h.record(func() { h.distributes = append(h.distributes, r) })
	return &garnetworks.DistributeResponse{At: h.sample.at, Accepted: len(r.Updates)}, nil
}

// Fetch implements garnetworks.PeerHandler.
func (h *peerHandler) Fetch(ctx context.Context, r *garnetworks.FetchRequest) (*garnetworks.FetchResponse, error) {
	if err := h.begin(ctx); err != nil {
		return nil, err
	}
	h.record(func() { h.fetches = append(h.fetches, r) })
	return &garnetworks.FetchResponse{At: h.sample.at, Updates: h.sample.updates}, nil
}

// Events implements garnetworks.PeerHandler.
func (h *peerHandler) Events(ctx context.Context, r *garnetworks.EventsRequest) (*garnetworks.EventsResponse, error) {
	if err := h.begin(ctx); err != nil {
		return nil, err
	}
	h.record(func() { h.events = append(h.events, r) })
	response := h.sample.events
	return &response, nil
}

// Status implements garnetworks.PeerHandler.
func (h *peerHandler) Status(ctx context.Context, r *garnetworks.StatusRequest) (*garnetworks.StatusResponse, error) {
	if err := h.begin(ctx); err != nil {
		return nil, err
	}
	h.record(func() { h.statuses = append(h.statuses, r) })
	response := h.sample.status
	return &response, nil
}

// Propose implements garnetworks.PeerHandler.
func (h *peerHandler) Propose(ctx context.Context, r *garnetworks.ProposeRequest) (*garnetworks.ProposeResponse, error) {
	if err := h.begin(ctx); err != nil {
		return nil, err
	}
	h.record(func() { h.proposes = append(h.proposes, r) })
	return &garnetworks.ProposeResponse{At: h.sample.at, Progress: h.sample.progress}, nil
}

// Progress implements garnetworks.PeerHandler.
func (h *peerHandler) Progress(ctx context.Context, r *garnetworks.ProgressRequest) (*garnetworks.ProgressResponse, error) {
	if err := h.begin(ctx); err != nil {
		return nil, err
	}
	h.record(func() { h.progresses = append(h.progresses, r) })
	return &garnetworks.ProgressResponse{At: h.sample.at, Progress: h.sample.progress}, nil
}

// Report implements garnetworks.PeerHandler.
func (h *peerHandler) Report(ctx context.Context, r *garnetworks.ReportRequest) (*garnetworks.ReportResponse, error) {
	if err := h.begin(ctx); err != nil {
		return nil, err
	}
	h.record(func() { h.reports = append(h.reports, r) })
	return &garnetworks.ReportResponse{At: h.sample.at, Manifest: 4, Proposal: 5}, nil
}

// peerSample holds values with every field set.
type peerSample struct {
	at        garnetworks.Timestamp
	updates   []garnetworks.Update
	heartbeat garnetworks.HeartbeatResponse
	events    garnetworks.EventsResponse
	status    garnetworks.StatusResponse
	request   garnetworks.HeartbeatRequest
	progress  garnetworks.CommitProgress
	report    garnetworks.NodeReport
}

func newPeerSample() peerSample {
	at := garnetworks.Timestamp{Wall: 1_700_000_000_123, Logical: 7}
	info := garnetworks.NodeInfo{
		ID: "node-1", Incarnation: 1 << 60, Address: "127.0.0.1:1", Zone: "zone-a", Region: "region-a", Ready: true, Program: "1.0",
	}
	versions := map[garnetworks.Topic]garnetworks.UpdateVersion{garnetworks.TopicManifest: {Term: 3, Sequence: 1 << 50}}
	updates := []garnetworks.Update{{
		Topic: garnetworks.TopicManifest, Version: garnetworks.UpdateVersion{Term: 1, Sequence: 2}, Body: []byte("a\x00\xff"),
	}}
	load := garnetworks.EngineLoad{Running: 1, Waiting: 2, Capacity: 3, CacheUsed: 0.25, At: time.UnixMilli(1_700_000_000_000).UTC()}
	status := garnetworks.EngineStatus{
		Instance: "engine-1", Incarnation: 4, Phase: garnetworks.EngineReady, Group: "group-1", Token: 1 << 60, Model: "model", Version: "v1",
		Adapters: []garnetworks.AdapterName{"adapter"}, Weights: []garnetworks.WeightID{{Model: "model", Version: "v1"}},
		LastOrder: "order-1", Leaving: true, Load: load, CacheEvents: 9,
	}
	view := garnetworks.ZoneView{
		Zone: "zone-a",
		Groups: []garnetworks.GroupView{{
			ID: "group-1", Zone: "zone-a", Domain: "domain-1", Model: "model", Version: "v1", Adapters: []garnetworks.AdapterName{"adapter"},
			Token: 1 << 60, Address: "127.0.0.1:2", State: garnetworks.GroupServing, Members: []garnetworks.InstanceID{"engine-1"},
			Confirmed: true, Load: load, Slow: true,
		}},
		Servers: []garnetworks.ServerView{{Instance: "server-1", Service: "ledger", Zone: "zone-a", Address: "127.0.0.1:3", Leaving: true}},
		Metrics: garnetworks.ZoneMetrics{GroupDowntime: time.Second, Stranded: time.Minute, GroupsDown: 1, InstancesStranded: 2, Drawn: 3, Limit: 4},
	}
	event := garnetworks.Event{
		At: at, Node: "node-1", Sequence: 5, Kind: garnetworks.EventGroupFormed, Zone: "zone-a", Group: "group-1", Instance: "engine-1",
		Call: "call-1", Generation: 6, Error: garnetworks.KindConflict, Detail: "detail",
	}
	report := garnetworks.NodeReport{Node: "node-1", Incarnation: 2, Proposal: 3, Refusal: "no", Applied: 4, StagedAt: load.At, AppliedAt: load.At}
	progress := garnetworks.CommitProgress{
		CommitID: "commit-1", Operator: "operator", Base: 5, Proposal: 6, State: garnetworks.CommitHeld, Generation: 7,
		ProposedAt: load.At, AcceptedAt: load.At, InForceAt: load.At, Reason: "zone-b is cut off",
		Zones: []garnetworks.ZoneProgress{{
			Zone: "zone-a", Excluded: true, Live: 2, Unstaged: []garnetworks.NodeID{"node-1"}, Unapplied: []garnetworks.NodeID{"node-2"},
			Nodes: []garnetworks.NodeReport{report},
		}},
	}
	return peerSample{
		progress:  progress,
		report:    report,
		at:        at,
		updates:   updates,
		heartbeat: garnetworks.HeartbeatResponse{From: info, At: at, Updates: updates, Versions: versions},
		events:    garnetworks.EventsResponse{At: at, Node: "node-1", Events: []garnetworks.Event{event}, Lost: 8},
		status: garnetworks.StatusResponse{
			At: at, Node: info, Generation: 9, Staged: 10, Leases: []string{"site"}, Views: []garnetworks.ZoneView{view},
			Rosters:       []garnetworks.Roster{{Zone: "zone-a", Nodes: []garnetworks.NodeInfo{info}, Version: 11, WriteID: "write-1"}},
			ObjectAPIDown: true,
		},
		request: garnetworks.HeartbeatRequest{
			From: info, At: at, Versions: versions,
			Demands:       []garnetworks.Demand{{Workspace: "office", RequestsPerSecond: 1.5, TokensPerSecond: 2.5, InFlight: 3}},
			Confirmations: []garnetworks.ProbeResult{{Status: status, Age: time.Millisecond, Failed: true}},
		},
	}
}

func wantEqual(what string, got, wanted any) error {
	if reflect.DeepEqual(got, wanted) {
		return nil
	}
	return errors.Errorf("%s: got %+v, want %+v", what, got, wanted)
}

func peerRoundTrips(ctx context.Context, f PeerFixture) error {
	sample := newPeerSample()
	h := &peerHandler{sample: sample}
	address, stop := f.Serve(h)
	defer stop()
	return firstError(
		func() error { return peerHeartbeat(ctx, f, address, h) },
		func() error { return peerDistribute(ctx, f, address, h) },
		func() error {
			request := &garnetworks.FetchRequest{At: sample.at, Topics: []garnetworks.Topic{garnetworks.TopicManifest}}
			response, err := f.Caller.Fetch(ctx, address, request)
			if err != nil {
				return errors.Wrap(err, "fetch")
			}
			return firstError(
				func() error { return wantEqual("fetch request", h.fetches[0], request) },
				func() error { return wantEqual("fetch response", response.Updates, sample.updates) },
			)
		},
		func() error {
			request := &garnetworks.EventsRequest{At: sample.at, After: 1 << 40, Limit: 12}
			response, err := f.Caller.Events(ctx, address, request)
			if err != nil {
				return errors.Wrap(err, "events")
			}
			return firstError(
				func() error { return wantEqual("events request", h.events[0], request) },
				func() error { return wantEqual("events response", *response, sample.events) },
			)
		},
		func() error {
			request := &garnetworks.StatusRequest{At: sample.at}
			response, err := f.Caller.Status(ctx, address, request)
			if err != nil {
				return errors.Wrap(err, "status")
			}
			statusToUTC(response)
			return firstError(
				func() error { return wantEqual("status request", h.statuses[0], request) },
				func() error { return wantEqual("status response", *response, sample.status) },
			)
		},
		func() error { return peerCommits(ctx, f, address, h) },
	)
}

// statusToUTC converts the times of a decoded response to UTC, as in the sample. A codec may
// return another location for the same instant.
func statusToUTC(response *garnetworks.StatusResponse) {
	for i := range response.Views {
		for j := range response.Views[i].Groups {
			at := &response.Views[i].Groups[j].Load.At
			*at = at.UTC()
		}
	}
}

func peerHeartbeat(ctx context.Context, f PeerFixture, address string, h *peerHandler) error {
	response, err := f.Caller.Heartbeat(ctx, address, &h.sample.request)
	if err != nil {
		return errors.Wrap(err, "heartbeat")
	}
	got := h.heartbeats[0]
	for i := range got.Confirmations {
		at := &got.Confirmations[i].Status.Load.At
		*at = at.UTC()
	}
	return firstError(
		func() error { return wantEqual("heartbeat request", *got, h.sample.request) },
		func() error { return wantEqual("heartbeat response", *response, h.sample.heartbeat) },
	)
}

// reportToUTC converts the report's times to UTC, as in the sample.
func reportToUTC(r *garnetworks.NodeReport) {
	r.StagedAt, r.AppliedAt = r.StagedAt.UTC(), r.AppliedAt.UTC()
}

func progressToUTC(p *garnetworks.CommitProgress) {
	for _, at := range []*time.Time{&p.ProposedAt, &p.AcceptedAt, &p.InForceAt} {
		*at = at.UTC()
	}
	for i := range p.Zones {
		for j := range p.Zones[i].Nodes {
			reportToUTC(&p.Zones[i].Nodes[j])
		}
	}
}

func peerCommits(ctx context.Context, f PeerFixture, address string, h *peerHandler) error {
	propose := &garnetworks.ProposeRequest{
		At: h.sample.at, CommitID: "commit-1", Operator: "operator", Base: 1, Supersedes: "commit-0", Text: []byte("format: 1\n"),
	}
	proposed, err := f.Caller.Propose(ctx, address, propose)
	if err != nil {
		return errors.Wrap(err, "propose")
	}
	progressToUTC(&proposed.Progress)
	progress := &garnetworks.ProgressRequest{At: h.sample.at, CommitID: "commit-1"}
	progressed, err := f.Caller.Progress(ctx, address, progress)
	if err != nil {
		return errors.Wrap(err, "progress")
	}
	progressToUTC(&progressed.Progress)
	report := &garnetworks.ReportRequest{At: h.sample.at, Zone: "zone-a", Report: h.sample.report}
	reported, err := f.Caller.Report(ctx, address, report)
	if err != nil {
		return errors.Wrap(err, "report")
	}
	reportToUTC(&h.reports[0].Report)
	return firstError(
		func() error { return wantEqual("propose request", h.proposes[0], propose) },
		func() error { return wantEqual("propose response", proposed.Progress, h.sample.progress) },
		func() error { return wantEqual("progress request", h.progresses[0], progress) },
		func() error { return wantEqual("progress response", progressed.Progress, h.sample.progress) },
		func() error { return wantEqual("report request", h.reports[0], report) },
		func() error {
			return wantEqual("report response", *reported, garnetworks.ReportResponse{At: h.sample.at, Manifest: 4, Proposal: 5})
		},
	)
}

func peerDistribute(ctx context.Context, f PeerFixture, address string, h *peerHandler) error {
	request := &garnetworks.DistributeRequest{
		From: "node-2", At: h.sample.at, Updates: h.sample.updates, Targets: []string{"127.0.0.1:4"}, Hops: 3,
	}
	response, err := f.Caller.Distribute(ctx, address, request)
	if err != nil {
		return errors.Wrap(err, "distribute")
	}
	return firstError(
		func() error { return wantEqual("distribute request", h.distributes[0], request) },
		func() error {
			return wantEqual("distribute response", *response, garnetworks.DistributeResponse{At: h.sample.at, Accepted: 1})
		},
	)
}

func peerKinds(ctx context.Context, f PeerFixture) error {
	for _, kind := range []garnetworks.Kind{garnetworks.KindStaleGeneration, garnetworks.KindNotReady, garnetworks.KindNotFound} {
		h := &peerHandler{err: garnetworks.Errorf(kind, "refused")}
		address, stop := f.Serve(h)
		_, err := f.Caller.Status(ctx, address, &garnetworks.StatusRequest{})
		stop()
		if err := wantKind("status", err, kind); err != nil {
			return err
		}
	}
	return nil
}

func peerHangs(ctx context.Context, f PeerFixture) error {
	h := &peerHandler{block: make(chan struct{})}
	address, stop := f.Serve(h)
	defer stop()
	defer close(h.block)
	err := callWithTimeout(ctx, shortTimeout, func(ctx context.Context) error {
		_, err := f.Caller.Heartbeat(ctx, address, &garnetworks.HeartbeatRequest{})
		return err
	})
	return wantKind("heartbeat", err, garnetworks.KindUnreachable, garnetworks.KindResponseLost)
}

func peerDies(ctx context.Context, f PeerFixture) error {
	h := &peerHandler{block: make(chan struct{}), started: make(chan struct{}, 1)}
	address, stop := f.Serve(h)
	go func() {
		<-h.started
		stop()
	}()
	defer close(h.block)
	err := callWithTimeout(ctx, caseTimeout/2, func(ctx context.Context) error {
		_, err := f.Caller.Heartbeat(ctx, address, &garnetworks.HeartbeatRequest{})
		return err
	})
	return wantKind("heartbeat", err, garnetworks.KindResponseLost)
}

func peerRestarts(ctx context.Context, f PeerFixture) error {
	first, second := &peerHandler{sample: newPeerSample()}, &peerHandler{sample: newPeerSample()}
	address, stop := f.Serve(first)
	if _, err := f.Caller.Status(ctx, address, &garnetworks.StatusRequest{}); err != nil {
		stop()
		return errors.Wrap(err, "status")
	}
	stop()
	_, err := f.Caller.Status(ctx, address, &garnetworks.StatusRequest{})
	if err := wantKind("status of a stopped peer", err, garnetworks.KindUnreachable, garnetworks.KindResponseLost); err != nil {
		return err
	}
	address, stop = f.Serve(second)
	defer stop()
	return eventually(ctx, func() error {
		_, err := f.Caller.Status(ctx, address, &garnetworks.StatusRequest{})
		return err
	})
}

func peerConcurrent(ctx context.Context, f PeerFixture) error {
	const calls = 32
	h := &peerHandler{sample: newPeerSample()}
	address, stop := f.Serve(h)
	defer stop()
	errs := make([]error, calls)
	var wg sync.WaitGroup
	for i := range calls {
		wg.Go(func() {
			id := garnetworks.NodeID(fmt.Sprintf("node-%d", i))
			response, err := f.Caller.Heartbeat(ctx, address, &garnetworks.HeartbeatRequest{From: garnetworks.NodeInfo{ID: id}})
			if err == nil {
				err = want("response to "+string(id), response.From.ID, id)
			}
			errs[i] = err
		})
	}
	wg.Wait()
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

func peerLargestManifest(ctx context.Context, f PeerFixture) error {
	h := &peerHandler{sample: newPeerSample()}
	address, stop := f.Serve(h)
	defer stop()
	body := make([]byte, garnetworks.MaxObjectBytes)
	for i := range body {
		body[i] = byte(i)
	}
	request := &garnetworks.DistributeRequest{Updates: []garnetworks.Update{{Topic: garnetworks.TopicManifest, Body: body}}}
	response, err := f.Caller.Distribute(ctx, address, request)
	if err != nil {
		return errors.Wrap(err, "distribute")
	}
	return firstError(
		func() error { return want("accepted", response.Accepted, 1) },
		func() error { return wantEqual("body", h.distributes[0].Updates[0].Body, body) },
	)
}
