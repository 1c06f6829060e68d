package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/oklog/ulid/v2"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/parser"
)

// manifestCommands holds the commands for manifests.
type manifestCommands struct {
	Check   checkCommand   `cmd:"" help:"Tell every problem of a manifest."`
	Diff    diffCommand    `cmd:"" help:"Tell the differences between two manifests."`
	Plan    planCommand    `cmd:"" help:"Tell what a commit of the manifest would change and what that does to running work."`
	Commit  commitCommand  `cmd:"" help:"Commit a manifest and wait until it is in force."`
	Watch   watchCommand   `cmd:"" help:"Follow a commit: proposed, staged, in force, by zone and node."`
	Show    showCommand    `cmd:"" help:"Print the manifest in force as text that can be committed again."`
	Example exampleCommand `cmd:"" help:"Print a whole, commented manifest."`
}

// readFile reads a file, or standard input for "-".
func (s *session) readFile(name string) ([]byte, error) {
	in := s.stdin
	if name != "-" {
		f, err := os.Open(name)
		if err != nil {
			return nil, &exitError{exitUsage, err}
		}
		defer func() { _ = f.Close() }()
		in = f
	}
	// One byte more than the limit lets the parser detect a text that is too long.
	data, err := io.ReadAll(io.LimitReader(in, parser.MaxTextBytes+1))
	if err != nil {
		return nil, &exitError{exitUsage, err}
	}
	return data, nil
}

// readManifest reads and parses a manifest.
func (s *session) readManifest(name string) (*garnetworks.Manifest, []byte, error) {
	data, err := s.readFile(name)
	if err != nil {
		return nil, nil, err
	}
	manifest, problems := parser.Parse(name, data)
	if len(problems) > 0 {
		return nil, nil, &exitError{exitInvalid, problems}
	}
	return manifest, data, nil
}

// checkCommand checks a manifest for problems.
type checkCommand struct {
	File  string `arg:"" help:"The manifest, or - for standard input."`
	Fleet string `help:"The platform's instance list, a JSON file: refuse groups that no fabric domain can hold." type:"path"`
}

// Run prints the problems, and returns an error if there are any.
func (c checkCommand) Run(s *session) error {
	data, err := s.readFile(c.File)
	if err != nil {
		return err
	}
	fleet, err := c.readFleet(s)
	if err != nil {
		return err
	}
	_, problems := parser.ParseForFleet(c.File, data, fleet)
	if s.json {
		if problems == nil {
			problems = parser.Problems{}
		}
		err = s.printJSON(problems)
	} else {
		for _, p := range problems {
			_, _ = fmt.Fprintln(s.stdout, sanitizeCell(p.String()))
		}
	}
	if err == nil && len(problems) > 0 {
		err = &exitError{exitInvalid, fmt.Errorf("%s", pluralize(len(problems), "problem"))}
	}
	return err
}

func (c checkCommand) readFleet(s *session) ([]garnetworks.ListedInstance, error) {
	if c.Fleet == "" {
		return nil, nil
	}
	data, err := s.readFile(c.Fleet)
	if err != nil {
		return nil, err
	}
	var fleet []garnetworks.ListedInstance
	if err := json.Unmarshal(data, &fleet); err != nil {
		return nil, &exitError{exitUsage, fmt.Errorf("%s is not a list of instances: %w", c.Fleet, err)}
	}
	// An empty list is most often the result of a failed query. The parser takes it for an
	// unknown fleet and would skip the checks against the fleet.
	if len(fleet) == 0 {
		return nil, &exitError{exitUsage, fmt.Errorf("%s holds no instances", c.Fleet)}
	}
	return fleet, nil
}

// diffCommand compares two manifests.
type diffCommand struct {
	Old string `arg:"" help:"The manifest before, or - for standard input."`
	New string `arg:"" help:"The manifest after."`
}

// Run prints the differences.
func (c diffCommand) Run(s *session) error {
	before, _, err := s.readManifest(c.Old)
	if err != nil {
		return err
	}
	after, _, err := s.readManifest(c.New)
	if err != nil {
		return err
	}
	return s.printChanges(parser.Diff(before, after))
}

func (s *session) printChanges(changes []parser.Change) error {
	if s.json {
		if changes == nil {
			changes = []parser.Change{}
		}
		return s.printJSON(changes)
	}
	if len(changes) == 0 {
		_, err := fmt.Fprintln(s.stdout, "no differences")
		return err
	}
	t := newTable("change", "value", "old", "new", "effect")
	for _, c := range changes {
		effect := string(c.Effect)
		if c.Note != "" {
			effect += ": " + c.Note
		}
		t.row(string(c.Kind), c.Path, c.Old, c.New, effect)
	}
	return t.print(s.stdout)
}

// planCommand compares a manifest with the one in force.
type planCommand struct {
	File string `arg:"" help:"The manifest, or - for standard input."`
}

// Run prints the differences from the manifest in force.
func (c planCommand) Run(s *session) error {
	after, _, err := s.readManifest(c.File)
	if err != nil {
		return err
	}
	current, err := s.site.manifest(s.ctx)
	if err != nil {
		return err
	}
	if current == nil {
		s.note("there is no manifest yet")
		return s.printChanges(parser.Diff(nil, after))
	}
	s.note("compared with generation %d, commit %s by %s", current.Generation, current.CommitID, current.Operator)
	return s.printChanges(parser.Diff(&current.Manifest, after))
}

// manifest returns the manifest that a node has in force, or nil if there is none.
func (s *site) manifest(ctx context.Context) (*garnetworks.AcceptedManifest, error) {
	var response *garnetworks.ProgressResponse
	err := s.callAny(ctx, func(ctx context.Context, address string) error {
		var err error
		response, err = s.caller.Progress(ctx, address, &garnetworks.ProgressRequest{WithManifest: true})
		return err
	})
	if err != nil || len(response.Manifest) == 0 {
		return nil, err
	}
	return decodeAccepted(response.Manifest)
}

// decodeAccepted rejects a manifest with fields that this program doesn't know: show would
// omit them, and a commit of the edited text would remove them.
func decodeAccepted(body []byte) (*garnetworks.AcceptedManifest, error) {
	accepted := &garnetworks.AcceptedManifest{}
	var raw struct {
		Manifest json.RawMessage `json:"manifest"`
	}
	if err := json.Unmarshal(body, accepted); err != nil {
		return nil, garnetworks.WrapError(garnetworks.KindInternal, err, "the node's manifest is damaged")
	}
	if err := json.Unmarshal(body, &raw); err != nil {
		return nil, garnetworks.WrapError(garnetworks.KindInternal, err, "the node's manifest is damaged")
	}
	manifest, err := parser.Decode(raw.Manifest)
	if err != nil {
		return nil, err
	}
	accepted.Manifest = *manifest
	return accepted, nil
}

// baseGeneration matches the comment by which show states the manifest's generation.
var baseGeneration = regexp.MustCompile(`(?m)^# generation: ([0-9]+)$`)

// commitCommand commits a manifest.
type commitCommand struct {
	File      string        `arg:"" help:"The manifest, or - for standard input."`
	Base      string        `help:"The generation that the manifest was made from; without it, the one that show has written into the file, or else the newest."`
	Operator  string        `help:"Who commits, for others to read." env:"GARNETCTL_OPERATOR,USER"`
	Supersede string        `help:"The pending commit that this one takes the place of." placeholder:"COMMIT-ID"`
	CommitID  string        `help:"The identifier of a commit whose fate is unknown, to ask again." placeholder:"COMMIT-ID"`
	Wait      time.Duration `help:"How long to wait until it is in force; 0 does not wait." default:"60s"`
}

// Run commits the manifest and, unless --wait is 0, waits until it is in force.
func (c commitCommand) Run(s *session) error {
	_, data, err := s.readManifest(c.File)
	if err != nil {
		return err
	}
	request, err := c.request(s, data)
	if err != nil {
		return err
	}
	s.note("commit %s builds on generation %d", request.CommitID, request.Base)
	progress, err := s.propose(request, s.now().Add(c.Wait))
	if err != nil {
		return err
	}
	if c.Wait <= 0 {
		return s.finish(progress)
	}
	return s.followCommit(request.CommitID, progress, s.now().Add(c.Wait))
}

// request returns the proposal to send.
func (c commitCommand) request(s *session, data []byte) (*garnetworks.ProposeRequest, error) {
	base, err := c.base(s, data)
	if err != nil {
		return nil, err
	}
	request := &garnetworks.ProposeRequest{
		CommitID:   c.CommitID,
		Operator:   c.Operator,
		Base:       base,
		Supersedes: c.Supersede,
		Text:       data,
	}
	if request.Operator == "" {
		request.Operator = "unknown"
	}
	if request.CommitID == "" {
		request.CommitID = strings.ToLower(ulid.Make().String())
	}
	return request, nil
}

func (c commitCommand) base(s *session, data []byte) (garnetworks.Generation, error) {
	value := c.Base
	if found := baseGeneration.FindSubmatch(data); value == "" && found != nil {
		value = string(found[1])
	}
	if value != "" && value != "newest" {
		base, err := strconv.ParseUint(value, 10, 64)
		if err != nil {
			return 0, &exitError{exitUsage, fmt.Errorf("--base is a generation or newest, not %q", value)}
		}
		return garnetworks.Generation(base), nil
	}
	status, err := s.site.status(s.ctx)
	if err != nil {
		return 0, err
	}
	return status.Generation, nil
}

// proposeRetryInterval is the time between attempts to propose a commit.
const proposeRetryInterval = time.Second

// propose sends the commit to a node. It retries until the given time while the outcome is
// unknown, no node can be reached or another commit is pending. Retries carry the same commit
// ID, so the manifest is committed at most once, and a stale base is reported with the commit
// that won.
func (s *session) propose(request *garnetworks.ProposeRequest, until time.Time) (garnetworks.CommitProgress, error) {
	unknown, last := false, ""
	for {
		var response *garnetworks.ProposeResponse
		err := s.site.callAny(s.ctx, func(ctx context.Context, address string) error {
			var err error
			response, err = s.site.caller.Propose(ctx, address, request)
			return err
		})
		if err == nil {
			return response.Progress, nil
		}
		unknown = unknown || garnetworks.IsKind(err, garnetworks.KindOutcomeUnknown, garnetworks.KindResponseLost)
		if !retryable(err) && !unknown || garnetworks.IsKind(err, garnetworks.KindStaleGeneration) {
			return garnetworks.CommitProgress{}, err
		}
		if text := err.Error(); text != last {
			s.note("asking again until --wait is over: %s", text)
			last = text
		}
		if !s.now().Add(proposeRetryInterval).Before(until) || s.pause(proposeRetryInterval) != nil {
			return garnetworks.CommitProgress{}, s.unknownOutcome(request, err, unknown)
		}
	}
}

// retryable reports whether a retry of the same request may succeed.
func retryable(err error) bool {
	return garnetworks.IsKind(err, garnetworks.KindOutcomeUnknown, garnetworks.KindResponseLost, garnetworks.KindUnreachable,
		garnetworks.KindObjectAPIDown, garnetworks.KindThrottled, garnetworks.KindNotReady, garnetworks.KindShuttingDown,
		garnetworks.KindConflict)
}

// unknownOutcome returns err, or if the outcome is unknown, an error that says how to retry.
func (s *session) unknownOutcome(request *garnetworks.ProposeRequest, err error, unknown bool) error {
	if !unknown {
		return err
	}
	return &exitError{exitUnknown, fmt.Errorf(
		"what became of commit %s can't be told now (%w); repeat the command with --commit-id %s --base %d",
		request.CommitID, err, request.CommitID, request.Base)}
}

// watchCommand follows a commit's progress.
type watchCommand struct {
	Commit string        `arg:"" optional:"" help:"The commit; the newest one if left out."`
	Wait   time.Duration `help:"How long to wait until it is in force; 0 prints once." default:"60s"`
}

// Run follows the commit.
func (c watchCommand) Run(s *session) error {
	progress, err := s.site.progress(s.ctx, c.Commit)
	if err != nil {
		return err
	}
	if c.Wait <= 0 {
		return s.finish(progress)
	}
	id := c.Commit
	if id == "" {
		id = progress.CommitID
	}
	return s.followCommit(id, progress, s.now().Add(c.Wait))
}

// watchPollInterval is the time between polls of a commit's progress.
const watchPollInterval = 200 * time.Millisecond

// followCommit prints each change of a commit's progress until its state is final, the given
// time is reached or the session ends.
func (s *session) followCommit(id string, p garnetworks.CommitProgress, until time.Time) error {
	last := ""
	for {
		if line := progressLine(p); line != last {
			last = line
			s.note("%s", line)
		}
		if isFinal(p.State) || !s.now().Before(until) {
			return s.finish(p)
		}
		if s.pause(watchPollInterval) != nil {
			return s.finish(p)
		}
		next, err := s.site.progress(s.ctx, id)
		if err != nil {
			s.note("no node tells of the commit now: %v", err)
			continue
		}
		p = next
	}
}

// isFinal reports whether a commit in this state can't change any more.
func isFinal(state garnetworks.CommitState) bool {
	return state == garnetworks.CommitInForce || state == garnetworks.CommitRefused || state == garnetworks.CommitSuperseded
}

// progressLine summarizes the state and the zones' progress in one line.
func progressLine(p garnetworks.CommitProgress) string {
	line := string(p.State)
	for _, z := range p.Zones {
		if z.Excluded {
			line += fmt.Sprintf(", %s left out", z.Zone)
			continue
		}
		line += fmt.Sprintf(", %s staged %d in force %d of %d", z.Zone, z.Live-len(z.Unstaged), z.Live-len(z.Unapplied), z.Live)
	}
	if p.Reason != "" {
		line += ": " + p.Reason
	}
	return line
}

// finish prints a commit's progress and returns the error for its state.
func (s *session) finish(p garnetworks.CommitProgress) error {
	var err error
	if s.json {
		err = s.printJSON(p)
	} else {
		err = printProgress(s, p)
	}
	if err != nil {
		return err
	}
	switch p.State {
	case garnetworks.CommitInForce:
		return nil
	case garnetworks.CommitAccepted:
		if p.Winner.CommitID != "" {
			return nil
		}
		return &exitError{exitNotYet, fmt.Errorf("accepted, but not yet confirmed everywhere")}
	case garnetworks.CommitRefused:
		return &exitError{exitInvalid, fmt.Errorf("refused: %s", p.Reason)}
	case garnetworks.CommitSuperseded:
		return &exitError{exitStale, fmt.Errorf("superseded: %s", p.Reason)}
	case garnetworks.CommitUnknown:
		return &exitError{exitUnknown, fmt.Errorf("unknown: %s", p.Reason)}
	}
	return &exitError{exitNotYet, fmt.Errorf("not accepted yet")}
}

func printProgress(s *session, p garnetworks.CommitProgress) error {
	t := newTable()
	t.row("commit", p.CommitID)
	t.row("operator", p.Operator)
	t.row("state", string(p.State))
	if p.Reason != "" {
		t.row("reason", p.Reason)
	}
	t.row("builds on", fmt.Sprintf("generation %d", p.Base))
	if p.Generation > 0 {
		t.row("became", fmt.Sprintf("generation %d", p.Generation))
	}
	if p.Winner.CommitID != "" {
		t.row("winner", fmt.Sprintf("generation %d, commit %s by %s at %s", p.Winner.Generation, p.Winner.CommitID, p.Winner.Operator, formatTime(p.Winner.At)))
	}
	for _, step := range []struct {
		name string
		at   time.Time
	}{{"proposed", p.ProposedAt}, {"accepted", p.AcceptedAt}, {"in force", p.InForceAt}} {
		if !step.at.IsZero() {
			t.row(step.name, formatTime(step.at))
		}
	}
	if err := t.print(s.stdout); err != nil || len(p.Zones) == 0 {
		return err
	}
	_, _ = fmt.Fprintln(s.stdout)
	return zoneTable(p).print(s.stdout)
}

// zoneTable lists by zone and node what is staged and in force.
func zoneTable(p garnetworks.CommitProgress) *table {
	t := newTable("zone", "node", "staged", "in force", "refusal")
	for _, z := range p.Zones {
		name := string(z.Zone)
		if z.Excluded {
			name += " (left out)"
		}
		if z.Live == 0 {
			t.row(name, "no live node known")
		}
		listed := garnetworks.NewSet[garnetworks.NodeID]()
		unstaged, unapplied := garnetworks.NewSet(z.Unstaged...), garnetworks.NewSet(z.Unapplied...)
		for _, n := range z.Nodes {
			listed.Add(n.Node)
			t.row(name, string(n.Node), formatStep(!unstaged.Has(n.Node), n.StagedAt), formatStep(!unapplied.Has(n.Node), n.AppliedAt), n.Refusal)
		}
		for _, n := range z.Unapplied {
			if !listed.Has(n) {
				t.row(name, string(n), "no", "no")
			}
		}
	}
	return t
}

// formatStep returns the time of a completed step, or yes or no if no time is known.
func formatStep(done bool, at time.Time) string {
	if done && !at.IsZero() {
		return formatTime(at)
	}
	return yesNo(done)
}

// showCommand prints the manifest in force.
type showCommand struct{}

// Run prints the manifest in force, as a text that can be committed again.
func (showCommand) Run(s *session) error {
	accepted, err := s.site.manifest(s.ctx)
	if err != nil {
		return err
	}
	if accepted == nil {
		return &exitError{exitNotYet, fmt.Errorf("there is no manifest yet")}
	}
	if s.json {
		return s.printJSON(accepted)
	}
	text, err := formatManifest(accepted)
	if err != nil {
		return err
	}
	_, err = io.WriteString(s.stdout, text)
	return err
}

// formatManifest returns a text that parses to the same manifest and states its generation,
// so that a commit of the edited text is based on it.
func formatManifest(accepted *garnetworks.AcceptedManifest) (string, error) {
	text, err := parser.Format(&accepted.Manifest)
	if err != nil {
		return "", err
	}
	return fmt.Sprintf("# generation: %d\n# commit %s by %s, accepted %s\n%s",
		accepted.Generation, sanitizeCell(accepted.CommitID), sanitizeCell(accepted.Operator), formatTime(accepted.At), text), nil
}

// exampleCommand prints an example manifest.
type exampleCommand struct{}

// Run prints the example manifest.
func (exampleCommand) Run(s *session) error {
	_, err := io.WriteString(s.stdout, parser.Example())
	return err
}
