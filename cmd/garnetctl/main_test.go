package main

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sebdah/goldie/v2"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/keymaker"
	"github.com/garnetworks/garnetworks/parser"
)

const nodesFlag = "--nodes=10.0.1.4:7600,10.0.2.4:7600"

// execute runs a command line against the nodes and returns the exit code and a transcript of
// the command, its output and its exit code.
func execute(ctx context.Context, nodes *fakeNodes, stdin string, args ...string) (int, string) {
	var stdout, stderr bytes.Buffer
	code := run(ctx, args, strings.NewReader(stdin), &stdout, &stderr, func(tlsFlags) (garnetworks.PeerCaller, error) { return nodes, nil })
	return code, fmt.Sprintf("$ garnetctl %s\n%s--- errors and notes\n%s--- exit code %d\n", strings.Join(args, " "), &stdout, &stderr, code)
}

func TestOutputs(t *testing.T) {
	denied := func(kind garnetworks.Kind, text string) []proposal {
		return []proposal{{err: garnetworks.Errorf(kind, "%s", text)}}
	}
	lost := proposal{err: garnetworks.Errorf(garnetworks.KindOutcomeUnknown, "the answer to the write was lost")}
	commit := []string{nodesFlag, "manifest", "commit", "-", "--commit-id=c8", "--operator=anna", "--base=7", "--wait=10s"}
	firstDown := garnetworks.NewSet("10.0.1.4:7600")
	allDown := garnetworks.NewSet("10.0.1.4:7600", "10.0.2.4:7600", "10.0.3.4:7600")
	refused := commitProgress(garnetworks.CommitRefused, 2, 0)
	refused.Reason = "node node-c of zone south-c refuses it: the manifest has format 2 and comes from a newer program"
	superseded := garnetworks.CommitProgress{
		CommitID: "c8", Operator: "anna", Base: 7, State: garnetworks.CommitSuperseded, Reason: "commit c9 by otto took its place",
		Winner: garnetworks.CommitRecord{Generation: 8, CommitID: "c9", Operator: "otto", At: at(30)},
	}
	changed := strings.NewReplacer("96000", "50000", `"2026.11"`, `"2026.12"`, "      - note-reader\n", "").Replace(parser.Example())

	cases := map[string]struct {
		nodes fakeNodes
		stdin string
		args  []string
		want  int
	}{
		"usage":              {args: []string{"manifest", "chek"}, want: exitUsage},
		"exit-codes":         {args: []string{"exit-codes"}},
		"no-nodes":           {args: []string{"status"}, want: exitUsage},
		"check-bad":          {args: []string{"manifest", "check", "testdata/bad.yaml"}, want: exitInvalid},
		"check-bad-json":     {args: []string{"manifest", "check", "testdata/bad.yaml", "--output=json"}, want: exitInvalid},
		"check-good":         {stdin: parser.Example(), args: []string{"manifest", "check", "-"}},
		"check-fleet":        {stdin: parser.Example(), args: []string{"manifest", "check", "-", "--fleet=testdata/fleet.json"}, want: exitInvalid},
		"check-no-fleet":     {stdin: "null\n", args: []string{"manifest", "check", "testdata/bad.yaml", "--fleet=-"}, want: exitUsage},
		"check-cut-off":      {stdin: parser.Example()[:2000], args: []string{"manifest", "check", "-"}, want: exitInvalid},
		"check-no-file":      {args: []string{"manifest", "check", "testdata/none.yaml"}, want: exitUsage},
		"plan":               {stdin: changed, args: []string{nodesFlag, "manifest", "plan", "-"}},
		"plan-first":         {nodes: fakeNodes{noManifest: true}, stdin: parser.Example(), args: []string{nodesFlag, "manifest", "plan", "-"}},
		"show":               {args: []string{nodesFlag, "manifest", "show"}},
		"commit":             {nodes: fakeNodes{proposals: []proposal{{progress: commitProgress(garnetworks.CommitStaging, 1, 0)}}, progress: []garnetworks.CommitProgress{commitProgress(garnetworks.CommitStaging, 2, 0), commitProgress(garnetworks.CommitAccepted, 3, 1), committed()}}, stdin: changed, args: commit},
		"commit-stale":       {nodes: fakeNodes{proposals: denied(garnetworks.KindStaleGeneration, "generation 8 was made from generation 7 first, by otto with commit c9; the newest is generation 8")}, stdin: changed, args: commit, want: exitStale},
		"commit-pending":     {nodes: fakeNodes{proposals: denied(garnetworks.KindConflict, "commit c9 by otto on generation 7 is pending")}, stdin: changed, args: commit, want: exitPending},
		"commit-race":        {nodes: fakeNodes{proposals: append(denied(garnetworks.KindConflict, "commit c9 by otto on generation 7 is pending"), denied(garnetworks.KindStaleGeneration, "generation 8 was made from generation 7 first, by otto with commit c9; the newest is generation 8")...)}, stdin: changed, args: commit, want: exitStale},
		"commit-refused":     {nodes: fakeNodes{proposals: []proposal{{progress: commitProgress(garnetworks.CommitStaging, 1, 0)}}, progress: []garnetworks.CommitProgress{refused}}, stdin: changed, args: commit, want: exitInvalid},
		"commit-held":        {nodes: fakeNodes{proposals: []proposal{{progress: commitProgress(garnetworks.CommitStaging, 1, 0)}}, progress: []garnetworks.CommitProgress{heldCommit()}}, stdin: changed, args: commit, want: exitNotYet},
		"commit-superseded":  {nodes: fakeNodes{proposals: []proposal{{progress: commitProgress(garnetworks.CommitStaging, 1, 0)}}, progress: []garnetworks.CommitProgress{superseded}}, stdin: changed, args: commit, want: exitStale},
		"commit-lost-once":   {nodes: fakeNodes{proposals: []proposal{lost, {progress: committed()}}}, stdin: changed, args: commit},
		"commit-lost":        {nodes: fakeNodes{proposals: []proposal{lost, {err: garnetworks.Errorf(garnetworks.KindObjectAPIDown, "nothing was written")}}}, stdin: changed, args: commit, want: exitUnknown},
		"commit-unreachable": {nodes: fakeNodes{down: allDown}, stdin: changed, args: commit, want: exitUnreachable},
		"commit-bad":         {args: []string{nodesFlag, "manifest", "commit", "testdata/bad.yaml"}, want: exitInvalid},
		"watch-json":         {nodes: fakeNodes{progress: []garnetworks.CommitProgress{heldCommit()}}, args: []string{nodesFlag, "--output=json", "manifest", "watch", "--wait=0"}, want: exitNotYet},
		"status":             {args: []string{nodesFlag, "status"}},
		"status-partly":      {nodes: fakeNodes{down: firstDown, progress: []garnetworks.CommitProgress{heldCommit()}}, args: []string{nodesFlag, "status"}, want: exitPartial},
		"status-json":        {args: []string{nodesFlag, "status", "--output=json"}},
		"status-unreachable": {nodes: fakeNodes{down: allDown}, args: []string{nodesFlag, "status"}, want: exitUnreachable},
		"groups":             {args: []string{nodesFlag, "groups"}},
		"groups-down":        {args: []string{nodesFlag, "groups", "--down"}},
		"power":              {args: []string{nodesFlag, "power"}},
		"nodes":              {args: []string{nodesFlag, "nodes"}},
		"nodes-partly":       {nodes: fakeNodes{down: firstDown}, args: []string{nodesFlag, "nodes"}, want: exitPartial},
		"timeline":           {args: []string{nodesFlag, "timeline"}},
		"timeline-partly":    {nodes: fakeNodes{down: firstDown}, args: []string{nodesFlag, "timeline"}, want: exitPartial},
		"timeline-overrun":   {nodes: fakeNodes{lostEvents: 12}, args: []string{nodesFlag, "timeline", "--kind=member-lost,group-broken"}, want: exitPartial},
		"timeline-call-json": {args: []string{nodesFlag, "timeline", "--call=call-5", "--output=json"}},
		"key-hash":           {stdin: keymaker.Prefix + strings.Repeat("a", 52) + "\n", args: []string{"key", "hash"}},
		"key-hash-of-no-key": {stdin: "secret\n", args: []string{"key", "hash"}, want: exitUsage},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				code, seen := execute(t.Context(), &c.nodes, c.stdin, c.args...)
				if code != c.want {
					t.Errorf("exit code %d, want %d", code, c.want)
				}
				goldie.New(t).Assert(t, name, []byte(seen))
			})
		})
	}
}

// Guards against committing twice when the answer to a proposal is lost: every retry must
// carry the same commit ID and base generation.
func TestCommitRetriesWithTheSameID(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nodes := &fakeNodes{proposals: []proposal{
			{err: garnetworks.Errorf(garnetworks.KindResponseLost, "the connection broke")},
			{err: garnetworks.Errorf(garnetworks.KindResponseLost, "the connection broke")},
			{progress: committed()},
		}}
		code, seen := execute(t.Context(), nodes, parser.Example(), nodesFlag, "manifest", "commit", "-")
		if code != exitOK || len(nodes.received) != 3 {
			t.Fatalf("exit code %d after %d proposals:\n%s", code, len(nodes.received), seen)
		}
		for _, request := range nodes.received {
			if request.CommitID != nodes.received[0].CommitID || request.Base != 7 {
				t.Errorf("proposal %s on %d, first %s on 7", request.CommitID, request.Base, nodes.received[0].CommitID)
			}
		}
	})
}

// Guards against overwriting another operator's commit: an edited manifest from show must be
// based on the generation that show printed, not on the newest.
func TestCommitBuildsOnShownGeneration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nodes := &fakeNodes{proposals: []proposal{{progress: committed()}}}
		text := "# generation: 5\n" + parser.Example()
		if code, seen := execute(t.Context(), nodes, text, nodesFlag, "manifest", "commit", "-"); code != exitOK {
			t.Fatalf("exit code %d:\n%s", code, seen)
		}
		if base := nodes.received[0].Base; base != 5 {
			t.Errorf("the commit builds on generation %d, want 5", base)
		}
	})
}

func TestKeyNewIsShownOnce(t *testing.T) {
	_, first := execute(t.Context(), &fakeNodes{}, "", "key", "new")
	_, second := execute(t.Context(), &fakeNodes{}, "", "key", "new")
	if first == second || strings.Count(first, keymaker.Prefix) != 1 || strings.Count(first, keymaker.HashPrefix) != 1 {
		t.Errorf("two new keys:\n%s\n%s", first, second)
	}
}

// Guards against events out of causal order, missing or repeated with --follow, when one node's
// events arrive after younger events of another.
func TestFollowKeepsCausalOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		nodes := &lateEvents{fakeNodes: &fakeNodes{}, rounds: make(map[string]int)}
		var stdout, stderr bytes.Buffer
		code := run(ctx, []string{nodesFlag, "timeline", "--follow"}, nil, &stdout, &stderr,
			func(tlsFlags) (garnetworks.PeerCaller, error) { return nodes, nil })
		var kinds []string
		for line := range strings.Lines(stdout.String()) {
			kinds = append(kinds, strings.Fields(line)[3])
		}
		want := "node-started member-lost group-broken call-refused group-formed"
		if got := strings.Join(kinds, " "); code != exitOK || got != want {
			t.Errorf("exit code %d, events %s, want %s\n%s", code, got, want, &stderr)
		}
	})
}

// lateEvents withholds events of the first two nodes in the first round.
type lateEvents struct {
	*fakeNodes
	mu sync.Mutex
	// rounds counts the reads of each node; nodes are read concurrently.
	rounds map[string]int
}

// round returns the number of this read of the node, from 1.
func (l *lateEvents) round(address string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rounds[address]++
	return l.rounds[address]
}

func (l *lateEvents) Events(ctx context.Context, address string, request *garnetworks.EventsRequest) (*garnetworks.EventsResponse, error) {
	late := l.round(address) < 2
	if late && address == infos[0].Address {
		return &garnetworks.EventsResponse{Node: infos[0].ID}, nil
	}
	response, err := l.fakeNodes.Events(ctx, address, request)
	if late && err == nil && address == infos[1].Address {
		response.Events = response.Events[:1]
	}
	return response, err
}

func TestTLSFlagsRequireEachOther(t *testing.T) {
	for name, f := range map[string]tlsFlags{
		"--tls-certificate": {Key: "k", Authorities: "a"},
		"--tls-key":         {Certificate: "c", Authorities: "a"},
		"--tls-authorities": {Certificate: "c", Key: "k"},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := dial(f)
			if err == nil || !strings.Contains(err.Error(), name+" is missing") {
				t.Errorf("dial() error = %v", err)
			}
		})
	}
}
