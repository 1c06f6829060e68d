package committer

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/parser"
	"github.com/garnetworks/garnetworks/watcher"
)

const (
	// pollInterval is the time between two calls of State.Step while a commit is in
	// progress, idlePollInterval the time between them otherwise.
	pollInterval     = 20 * time.Millisecond
	idlePollInterval = 250 * time.Millisecond
	// queueSize limits the fetches that wait for fetchLoop. Fetches that do not fit are
	// dropped; Step asks for them again.
	queueSize = 16
	// peerTimeout limits the time of one call to a peer.
	peerTimeout = 2 * time.Second
	// maxPeerResponses is the number of responses after which a new node stops querying
	// peers.
	maxPeerResponses = 3
	// rosterTimeout is how long a new node waits for a roster with other nodes.
	rosterTimeout = 3 * time.Second
	// maxCommitID is the maximum length of a commit identifier, which is part of an
	// object key.
	maxCommitID = 64
)

// Options configure a Committer. Node, Zone and Objects are required.
type Options struct {
	Node        garnetworks.NodeID
	Incarnation uint64
	Zone        garnetworks.ZoneID
	// Self returns the node's current entry in the membership; it may be nil. A higher
	// incarnation than Incarnation replaces it: a process whose clock is behind gets a
	// higher incarnation when it joins, and reports with the lower one would be ignored.
	Self    func() garnetworks.NodeInfo
	Objects garnetworks.ObjectAPI
	// Peers calls other nodes; without it the node does not query or report to any.
	Peers garnetworks.PeerCaller
	// Rosters returns the rosters of all known zones; nil means that there are no other
	// nodes.
	Rosters func() []garnetworks.Roster
	// Seeds are addresses of peers to query in addition to those of the rosters.
	Seeds []string
	// Publish publishes an update to all nodes; it must not block. The receiving nodes
	// call OnUpdate with it.
	Publish func(garnetworks.Update)
	// OnApplied is called with each manifest that the node applies, in order. It may be
	// nil, and must not call the committer.
	OnApplied func(*garnetworks.AcceptedManifest)
	// Recorder may be nil.
	Recorder garnetworks.Recorder
	// Logger may be nil.
	Logger hclog.Logger
	// Clock returns the timestamp of messages; nil means the system clock.
	Clock func() garnetworks.Timestamp
	// Watcher holds the options of the watch on the object API.
	Watcher watcher.Options
}

// Status is the state of manifests as one node knows it.
type Status struct {
	// Applied is the generation that the node has applied.
	Applied garnetworks.Generation
	// Staged is the generation that the pending proposal becomes if it is
	// accepted; 0 if the node has staged none.
	Staged garnetworks.Generation
	// InForce is the newest generation that the node knows to be in force.
	InForce garnetworks.Generation
	// Synced says that the node has looked for the newest generation (rule M9).
	Synced bool
	// Unreadable is a generation above Applied that this program can't decode, Reason the
	// decoding error.
	Unreadable garnetworks.Generation
	Reason     string
	// ObjectAPIStale says that the object API returned a lower generation than the node
	// has applied. If it stays set, the object API was restored from an older copy. It
	// is set only on nodes that watch the object API.
	ObjectAPIStale bool
}

// Committer runs a node's part of the commit protocol.
type Committer struct {
	options   Options
	store     store
	manifest  atomic.Pointer[garnetworks.AcceptedManifest]
	wake      chan struct{}
	reports   chan SendReport
	bodies    chan FetchBody
	decisions chan Action

	mu    sync.Mutex
	state *State
	// headRead says that the head was read from the object API, peersQueried that peers
	// were queried; both are guarded by mu.
	headRead, peersQueried bool
}

// New returns a committer without a manifest; Run obtains one.
func New(options Options) *Committer {
	if options.Publish == nil {
		options.Publish = func(garnetworks.Update) {}
	}
	if options.Logger == nil {
		options.Logger = hclog.NewNullLogger()
	}
	if options.Clock == nil {
		options.Clock = func() garnetworks.Timestamp { return garnetworks.Timestamp{Wall: time.Now().UnixMilli()} }
	}
	if options.Watcher.Recorder == nil {
		options.Watcher.Recorder = options.Recorder
	}
	return &Committer{
		options:   options,
		store:     store{options.Objects},
		state:     NewState(Identity{Node: options.Node, Incarnation: options.Incarnation, Zone: options.Zone}),
		wake:      make(chan struct{}, 1),
		reports:   make(chan SendReport, 1),
		bodies:    make(chan FetchBody, queueSize),
		decisions: make(chan Action, 1),
	}
}

// Manifest returns the manifest that the node has applied, which must not be modified. It
// returns false until the node is synced (rule M9).
func (c *Committer) Manifest() (*garnetworks.AcceptedManifest, bool) {
	m := c.manifest.Load()
	return m, m != nil
}

// Status returns the node's current status.
func (c *Committer) Status() Status {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.state
	status := Status{
		Applied: s.Applied(),
		InForce: s.inForce,
		Synced:  c.synced(),
	}
	if s.pending() && s.staged.manifest != nil {
		status.Staged = s.staged.Base + 1
	}
	if s.unreadable > s.Applied() {
		status.Unreadable, status.Reason = s.unreadable, s.unreadableReason
	}
	status.ObjectAPIStale = s.headStale && s.IsWatcher()
	return status
}

// synced reports whether the node satisfies rule M9: peers were queried, either the head
// was read or a manifest is known, and no newer manifest is unreadable. The caller holds mu.
func (c *Committer) synced() bool {
	if c.state.unreadable > c.state.Applied() {
		return false
	}
	return c.peersQueried && (c.headRead || c.state.accepted != nil)
}

// Run runs the commit protocol until ctx ends.
func (c *Committer) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return c.stepLoop(ctx) })
	g.Go(func() error { return c.reportLoop(ctx) })
	g.Go(func() error { return c.fetchLoop(ctx) })
	g.Go(func() error { return c.decisionLoop(ctx) })
	g.Go(func() error { return c.syncHead(ctx) })
	g.Go(func() error { return c.syncPeers(ctx) })
	g.Go(func() error { return c.watchLoop(ctx) })
	return g.Wait()
}

// stepLoop steps the state whenever it changes or the poll interval has passed.
func (c *Committer) stepLoop(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-timer.C:
		case <-c.wake:
		}
		if c.step() {
			timer.Reset(pollInterval)
		} else {
			timer.Reset(idlePollInterval)
		}
	}
}

// step dispatches the due actions and reports whether more will be due soon.
func (c *Committer) step() bool {
	var rosters []garnetworks.Roster
	if c.options.Rosters != nil {
		rosters = c.options.Rosters()
	}
	updates, busy := c.stepState(rosters)
	for _, u := range updates {
		c.options.Publish(u)
	}
	return busy
}

// stepState records the due events, queues the other due actions, and returns the updates,
// because Step would not return a dropped update again. Queued actions may be dropped when
// their queue is full.
func (c *Committer) stepState(rosters []garnetworks.Roster) (updates []garnetworks.Update, busy bool) {
	self := garnetworks.NodeInfo{}
	if c.options.Self != nil {
		self = c.options.Self()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state.ObserveIncarnation(self.Incarnation)
	c.state.ObserveRosters(rosters)
	for _, action := range c.state.Step(time.Now()) {
		switch a := action.(type) {
		case Publish:
			updates = append(updates, a.Update)
		case SendReport:
			trySend(c.reports, a)
		case FetchBody:
			trySend(c.bodies, a)
		case RecordEvent:
			c.record(a.Event)
		default:
			trySend(c.decisions, action)
		}
	}
	c.updateManifest()
	return updates, c.state.Busy()
}

func trySend[T any](queue chan T, value T) {
	select {
	case queue <- value:
	default:
	}
}

// updateManifest makes the state's manifest the one that Manifest returns, once the node
// is synced: a node that has just started must not apply an old manifest that one peer
// sent (rule M9). The caller holds mu.
func (c *Committer) updateManifest() {
	accepted := c.state.Accepted()
	if accepted == nil || accepted == c.manifest.Load() || !c.synced() {
		return
	}
	c.manifest.Store(accepted)
	if c.options.OnApplied != nil {
		c.options.OnApplied(accepted)
	}
}

func (c *Committer) record(e garnetworks.Event) {
	c.options.Logger.Info("manifest event", "kind", e.Kind, "generation", e.Generation, "detail", e.Detail)
	if c.options.Recorder != nil {
		c.options.Recorder.Record(e)
	}
}

// updateState changes the state and wakes up stepLoop.
func (c *Committer) updateState(change func(s *State, now time.Time)) {
	c.mu.Lock()
	change(c.state, time.Now())
	c.updateManifest()
	c.mu.Unlock()
	trySend(c.wake, struct{}{})
}

// OnUpdate handles an update from another node; topics of other packages are ignored.
func (c *Committer) OnUpdate(u garnetworks.Update) {
	if !HandlesTopic(u.Topic) {
		return
	}
	c.updateState(func(s *State, now time.Time) { s.ObserveUpdate(u, now) })
}

// HandlesTopic reports whether OnUpdate handles updates of the topic.
func HandlesTopic(t garnetworks.Topic) bool {
	return t == garnetworks.TopicManifest || t == garnetworks.TopicProposal || strings.HasPrefix(string(t), string(garnetworks.TopicStaged))
}

func (c *Committer) reportLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case r := <-c.reports:
			c.sendReport(ctx, r)
		}
	}
}

// sendReport sends a report to a peer, and fetches the peer's updates if they are newer.
func (c *Committer) sendReport(ctx context.Context, r SendReport) {
	if c.options.Peers == nil {
		return
	}
	call, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	request := &garnetworks.ReportRequest{At: c.options.Clock(), Zone: c.options.Zone, Report: r.Report}
	response, err := c.options.Peers.Report(call, r.To.Address, request)
	if err != nil {
		c.options.Logger.Debug("report not delivered", "to", r.To.ID, "error", err)
		c.updateState((*State).ObserveReportFailure)
		return
	}
	if response.Manifest > r.Report.Applied || response.Proposal > r.Report.Proposal {
		c.fetchFrom(call, r.To.Address)
	}
}

// fetchFrom fetches the updates of a peer and reports whether it responded.
func (c *Committer) fetchFrom(ctx context.Context, address string) bool {
	call, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	request := &garnetworks.FetchRequest{
		At:     c.options.Clock(),
		Topics: []garnetworks.Topic{garnetworks.TopicManifest, garnetworks.TopicProposal},
	}
	response, err := c.options.Peers.Fetch(call, address, request)
	if err != nil {
		return false
	}
	for _, u := range response.Updates {
		c.OnUpdate(u)
	}
	return true
}

func (c *Committer) fetchLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case f := <-c.bodies:
			body, err := c.store.readBody(ctx, f.CommitID)
			if err != nil {
				c.options.Logger.Debug("manifest not read", "commit", f.CommitID, "error", err)
				continue
			}
			c.updateState(func(s *State, now time.Time) { s.ObserveBody(f.CommitID, body, now) })
		}
	}
}

func (c *Committer) decisionLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case action := <-c.decisions:
			c.writeDecision(ctx, action)
		}
	}
}

// writeDecision accepts or refuses a proposal in the head. If another node has already
// decided it, nothing is written.
func (c *Committer) writeDecision(ctx context.Context, action Action) {
	head, err := c.store.updateHead(ctx, func(h Head) (Head, bool, error) {
		switch a := action.(type) {
		case Accept:
			next, changed := h.Accept(a.Number, time.Now())
			return next, changed, nil
		case Refuse:
			next, changed := h.Refuse(a.Number, a.Reason)
			return next, changed, nil
		}
		return h, false, nil
	})
	if err != nil {
		c.options.Logger.Warn("proposal not decided", "error", err)
		return
	}
	c.handleHead(head, (*State).ObserveOwnWrite)
}

// handleHead passes a head that was read or written to the state.
func (c *Committer) handleHead(h headObject, observe func(*State, Head, garnetworks.Revision, time.Time)) {
	c.updateState(func(s *State, now time.Time) {
		observe(s, h.Head, h.revision, now)
	})
}

// syncHead retries reading the head until it succeeds (rule M9).
func (c *Committer) syncHead(ctx context.Context) error {
	for {
		h, err := c.store.readHead(ctx)
		if err == nil {
			c.updateState(func(s *State, now time.Time) {
				s.ObserveHead(h.Head, h.revision, now)
				c.headRead = true
			})
			return nil
		}
		if err := sleep(ctx, retryDelay); err != nil {
			return err
		}
	}
}

// syncPeers queries some peers for their manifests (rule M9). The object API may return a
// stale head; peers that have confirmed a generation still have it.
func (c *Committer) syncPeers(ctx context.Context) error {
	addresses := c.peerAddresses(ctx)
	answers := 0
	for _, address := range addresses {
		if answers == maxPeerResponses || ctx.Err() != nil {
			break
		}
		if c.fetchFrom(ctx, address) {
			answers++
		}
	}
	c.updateState(func(*State, time.Time) { c.peersQueried = true })
	return ctx.Err()
}

// peerAddresses returns the addresses of the other nodes, those of the node's own zone
// first, followed by the seeds. It waits for a roster with other nodes until rosterTimeout.
func (c *Committer) peerAddresses(ctx context.Context) []string {
	if c.options.Peers == nil {
		return nil
	}
	deadline := time.Now().Add(rosterTimeout)
	var sameZone, otherZones []string
	for c.options.Rosters != nil && ctx.Err() == nil {
		sameZone, otherZones = c.rosterAddresses()
		if len(sameZone)+len(otherZones) > 0 || !time.Now().Before(deadline) {
			break
		}
		_ = sleep(ctx, pollInterval)
	}
	return append(append(sameZone, otherZones...), c.options.Seeds...)
}

func (c *Committer) rosterAddresses() (sameZone, otherZones []string) {
	for _, r := range c.options.Rosters() {
		for _, n := range r.Nodes {
			switch {
			case n.ID == c.options.Node:
			case r.Zone == c.options.Zone:
				sameZone = append(sameZone, n.Address)
			default:
				otherZones = append(otherZones, n.Address)
			}
		}
	}
	return sameZone, otherZones
}

// watchLoop watches the head while the node is a watcher.
func (c *Committer) watchLoop(ctx context.Context) error {
	for ctx.Err() == nil {
		if !c.IsWatcher() {
			_ = sleep(ctx, time.Second)
			continue
		}
		c.watch(ctx)
	}
	return ctx.Err()
}

// IsWatcher reports whether the node is one of those of its zone that watch the object API.
func (c *Committer) IsWatcher() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state.IsWatcher()
}

// watch watches the head until ctx ends or the node is no longer a watcher.
func (c *Committer) watch(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		defer cancel()
		for sleep(ctx, time.Second) == nil && c.IsWatcher() {
		}
	}()
	w := watcher.New(c.options.Objects, HeadKey, c.options.Watcher)
	_ = w.Run(ctx, func(o garnetworks.Object) {
		if o.Key != HeadKey || o.Deleted {
			return
		}
		h, err := decodeHead(o.Value)
		if err != nil {
			c.options.Logger.Error("head not readable", "error", err)
			return
		}
		c.handleHead(headObject{h, o.Revision}, (*State).ObserveHead)
	})
}

// Propose implements garnetworks.PeerHandler. The manifest is parsed and checked before
// anything is written. Errors are of kind KindInvalidManifest, KindInvalidRequest,
// KindTooLarge, KindKeyReused (the identifier was used with another manifest),
// KindStaleGeneration (the detail names the winner, or says that the object API is
// stale), KindConflict (another proposal is pending), KindThrottled or KindObjectAPIDown
// (nothing was proposed), KindInternal or KindOutcomeUnknown. The response holds the
// progress of the commit.
func (c *Committer) Propose(ctx context.Context, request *garnetworks.ProposeRequest) (*garnetworks.ProposeResponse, error) {
	body, err := c.checkProposal(request)
	if err != nil {
		return nil, err
	}
	progress, err := c.propose(ctx, request, body)
	if err != nil {
		return nil, err
	}
	return &garnetworks.ProposeResponse{At: c.options.Clock(), Progress: progress}, nil
}

// checkProposal validates a request and returns the manifest encoded for storage.
func (c *Committer) checkProposal(request *garnetworks.ProposeRequest) ([]byte, error) {
	if !validCommitID(request.CommitID) {
		return nil, garnetworks.Errorf(garnetworks.KindInvalidRequest, "a commit identifier is 1 to %d letters, digits and hyphens", maxCommitID)
	}
	if request.Operator == "" || len(request.Operator) > 2*maxCommitID {
		return nil, garnetworks.Errorf(garnetworks.KindInvalidRequest, "an operator's name has 1 to %d bytes", 2*maxCommitID)
	}
	manifest, problems := parser.Parse("", request.Text)
	if err := problems.Err(); err != nil {
		return nil, err
	}
	return parser.Encode(manifest)
}

func validCommitID(id string) bool {
	const digits = "0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ-"
	return id != "" && len(id) <= maxCommitID && strings.Trim(id, digits) == ""
}

func (c *Committer) propose(ctx context.Context, request *garnetworks.ProposeRequest, body []byte) (garnetworks.CommitProgress, error) {
	p := Proposal{
		CommitID: request.CommitID,
		Operator: request.Operator,
		Base:     request.Base,
		Hash:     hashOf(body),
		At:       time.Now(),
	}
	current, err := c.store.readHead(ctx)
	if err != nil {
		return garnetworks.CommitProgress{}, wrapNotProposed(err)
	}
	if _, recorded := current.Progress(p.CommitID); !recorded {
		// Avoids writing a body for a proposal that is refused; a stale head decides nothing.
		if _, err := current.Propose(p, request.Supersedes); err != nil && !c.isStale(current.Head) {
			return garnetworks.CommitProgress{}, err
		}
		if err := c.store.writeBody(ctx, p.CommitID, body); err != nil {
			return garnetworks.CommitProgress{}, wrapNotProposed(err)
		}
	}
	deleted := c.store.deleteBodies(ctx, current.Garbage)
	head, err := c.store.updateHead(ctx, func(h Head) (Head, bool, error) {
		// Rule M3: a commit that the head records is not proposed again.
		if _, recorded := h.Progress(p.CommitID); recorded {
			return h, false, nil
		}
		if c.isStale(h) {
			return h, false, errStaleHead
		}
		next, err := h.Propose(p, request.Supersedes)
		return next.WithoutGarbage(deleted), err == nil, err
	})
	if garnetworks.IsKind(err, garnetworks.KindStaleGeneration) && !errors.Is(err, errStaleHead) {
		// The commit can't be accepted any more, so its body is not needed.
		c.store.deleteBodies(ctx, []string{p.CommitID})
	}
	if err != nil {
		return garnetworks.CommitProgress{}, err
	}
	if pending := head.Pending; pending != nil && pending.CommitID == p.CommitID {
		c.updateState(func(s *State, now time.Time) { s.ObserveOwnProposal(*pending, body, now) })
	}
	c.handleHead(head, (*State).ObserveHead)
	return c.progress(ctx, p.CommitID), nil
}

// wrapNotProposed wraps an error from before the head was written. A body without an entry
// in the head has no effect.
func wrapNotProposed(err error) error {
	if garnetworks.IsKind(err, garnetworks.KindKeyReused, garnetworks.KindTooLarge, garnetworks.KindInternal) {
		return err
	}
	return garnetworks.WrapError(garnetworks.KindObjectAPIDown, err, "nothing was proposed")
}

// isStale reports whether the head has a lower generation than the node has applied.
func (c *Committer) isStale(h Head) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return h.Accepted.Generation < c.state.Applied()
}

// Progress implements garnetworks.PeerHandler.
func (c *Committer) Progress(ctx context.Context, request *garnetworks.ProgressRequest) (*garnetworks.ProgressResponse, error) {
	response := &garnetworks.ProgressResponse{At: c.options.Clock(), Progress: c.progress(ctx, request.CommitID)}
	if request.WithManifest {
		response.Manifest = c.manifestBody()
	}
	return response, nil
}

// manifestBody returns the encoded accepted-manifest message that the node has applied, or
// nil.
func (c *Committer) manifestBody() []byte {
	if _, known := c.Manifest(); !known {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state.message.update().Body
}

// progress returns the progress of a commit; it reads the head only if the state asks for it.
func (c *Committer) progress(ctx context.Context, commitID string) garnetworks.CommitProgress {
	c.mu.Lock()
	progress, askHead := c.state.Progress(commitID, time.Now())
	c.mu.Unlock()
	if !askHead || progress.CommitID == "" {
		return progress
	}
	head, err := c.store.readHead(ctx)
	if err != nil {
		progress.Reason = strings.TrimPrefix(progress.Reason+"; the object API can't be asked now", "; ")
		return progress
	}
	c.handleHead(head, (*State).ObserveHead)
	recordedProgress, recorded := head.Progress(progress.CommitID)
	if !recorded || recordedProgress.State == progress.State || recordedProgress.State == garnetworks.CommitStaging {
		return progress
	}
	return recordedProgress
}

// Report implements garnetworks.PeerHandler.
func (c *Committer) Report(_ context.Context, request *garnetworks.ReportRequest) (*garnetworks.ReportResponse, error) {
	c.updateState(func(s *State, _ time.Time) { s.ObserveReport(request.Zone, request.Report) })
	c.mu.Lock()
	defer c.mu.Unlock()
	own := c.state.report()
	return &garnetworks.ReportResponse{At: c.options.Clock(), Manifest: own.Applied, Proposal: own.Proposal}, nil
}
