package claimer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/garnetworks/garnetworks"
)

// Defaults of Options.
const (
	// DefaultInterval is the interval between two writes of a shard, over all nodes that
	// write it.
	DefaultInterval = 50 * time.Millisecond
	// DefaultRetention lets a client that was offline for a day retry safely.
	DefaultRetention = 24 * time.Hour
	// DefaultClaimTimeout limits the wait for a claim.
	DefaultClaimTimeout = 2 * time.Second
	// DefaultCallTimeout limits one call to the object API.
	DefaultCallTimeout = time.Second
	// maxPending limits the operations that wait for one shard at one node.
	maxPending = 2048
)

// Forwarder sends operations to another node, which commits them together with its own. After
// an error the operations may or may not have been committed.
type Forwarder interface {
	Commit(ctx context.Context, node garnetworks.NodeInfo, shard int, ops []Op) ([]Result, error)
}

// Options configure a Claimer; zero fields are replaced by the defaults.
type Options struct {
	Node garnetworks.NodeInfo
	API  garnetworks.ObjectAPI
	// Forwarder may be absent; each node then writes its own operations.
	Forwarder garnetworks.Option[Forwarder]
	// Recorder may be nil.
	Recorder garnetworks.Recorder

	Interval, Retention, ClaimTimeout, CallTimeout time.Duration
	// Random returns values in [0, 1); nil selects math/rand/v2.
	Random func() float64
}

// withDefaults returns o with defaults for unset durations and Random.
func (o Options) withDefaults() Options {
	setDefault(&o.Interval, DefaultInterval)
	setDefault(&o.Retention, DefaultRetention)
	setDefault(&o.ClaimTimeout, DefaultClaimTimeout)
	setDefault(&o.CallTimeout, DefaultCallTimeout)
	if o.Random == nil {
		o.Random = rand.Float64
	}
	return o
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d <= 0 {
		*d = value
	}
}

// Claimer implements garnetworks.Claimer on the object API. It makes progress only while Run
// is running.
type Claimer struct {
	options Options
	workers [Shards]*worker
	// refusingWorkers counts the workers that refuse claims, so that a node reports an outage
	// once and not once per shard.
	refusingWorkers atomic.Int32

	mu    sync.Mutex
	nodes []garnetworks.NodeInfo
	// era is the newest era that this node has learned of, at eraSince.
	era      garnetworks.Era
	eraSince time.Time
	// open holds the claims of the calls that this node runs (rule C12).
	open map[Digest]Op
}

var _ garnetworks.Claimer = (*Claimer)(nil)

// New returns a claimer; call Run to start it.
func New(options Options) *Claimer {
	c := &Claimer{options: options.withDefaults(), open: make(map[Digest]Op)}
	for i := range c.workers {
		c.workers[i] = newWorker(c, i)
	}
	return c
}

// Run commits operations until ctx ends, and returns ctx's error. Call Flush first for an
// orderly shutdown.
func (c *Claimer) Run(ctx context.Context) error {
	var running sync.WaitGroup
	for _, w := range c.workers {
		running.Go(func() { w.run(ctx) })
	}
	running.Go(func() { c.watchEra(ctx) })
	running.Wait()
	return ctx.Err()
}

// SetRoster sets the entry nodes of all zones. Their number determines the write interval
// (rule C8); with a Forwarder, the committing node is chosen among them.
func (c *Claimer) SetRoster(nodes []garnetworks.NodeInfo) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nodes = slices.Clone(nodes)
}

// roster returns the nodes; the slice is never modified.
func (c *Claimer) roster() []garnetworks.NodeInfo {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.nodes
}

// MayForward reports whether a claimed call may still be sent to a backend server: the claim
// has expired by neither the monotonic nor the wall clock. The forwarder calls it right before
// sending, because a node can be paused after the claim: monotonic clocks stop while a virtual
// machine is suspended, and wall clocks can be set back.
func MayForward(now time.Time, claim *garnetworks.Claim) bool {
	return now.Before(claim.Until) && now.Round(0).Before(claim.Until.Round(0))
}

// Claim implements garnetworks.Claimer. Each request's Call must be unique.
func (c *Claimer) Claim(ctx context.Context, request garnetworks.ClaimRequest) (garnetworks.ClaimResult, error) {
	ctx, cancel := context.WithTimeout(ctx, c.options.ClaimTimeout)
	defer cancel()
	op := claimOp(OpClaim, &request)
	result, err := c.worker(op.Key).submitAndWait(ctx, op)
	if err != nil {
		return garnetworks.ClaimResult{}, err
	}
	if result.Verdict == VerdictRecorded {
		return c.recordedResult(ctx, &result.Record)
	}
	if result.Verdict != VerdictGranted {
		return garnetworks.ClaimResult{}, verdictError(&result, time.Now())
	}
	claim := garnetworks.Claim{ClaimRequest: request}
	if !MayForward(time.Now(), &claim) {
		c.worker(op.Key).submit(claimOp(OpRelease, &request)) // rules C4, C6
		return garnetworks.ClaimResult{}, unavailable("the claim came after the call's end")
	}
	c.setOpen(&op, true)
	return garnetworks.ClaimResult{Claim: claim}, nil
}

// Complete implements garnetworks.Claimer. If ctx ends first, it returns an error of kind
// KindResponseLost, and the answer is still recorded later.
func (c *Claimer) Complete(ctx context.Context, claim garnetworks.Claim, answer *garnetworks.ServiceResponse) error {
	op := claimOp(OpComplete, &claim.ClaimRequest)
	op.Answer = c.storeAnswer(ctx, op.Key, claim.Call, answer)
	return c.submitOutcome(ctx, op)
}

// Abandon implements garnetworks.Claimer. If ctx ends first, it returns an error of kind
// KindResponseLost, and the outcome is still recorded later.
func (c *Claimer) Abandon(ctx context.Context, claim garnetworks.Claim, outcome garnetworks.Outcome) error {
	switch outcome {
	case garnetworks.OutcomeNotRun:
		return c.submitOutcome(ctx, claimOp(OpRelease, &claim.ClaimRequest))
	case garnetworks.OutcomeUnknown:
		return c.submitOutcome(ctx, claimOp(OpUnknown, &claim.ClaimRequest))
	}
	return garnetworks.Errorf(garnetworks.KindInternal, "a claim can't be abandoned as %q", outcome)
}

// submitOutcome submits an operation that must eventually be recorded, and waits for it
// until ctx ends.
func (c *Claimer) submitOutcome(ctx context.Context, op Op) error {
	t := c.worker(op.Key).submit(op)
	c.setOpen(&op, false)
	select {
	case <-t.done:
	case <-ctx.Done():
		return garnetworks.WrapError(garnetworks.KindResponseLost, ctx.Err(), "the outcome of the claimed call is not recorded yet")
	}
	if t.result.Verdict == VerdictSuperseded {
		return garnetworks.Errorf(garnetworks.KindInternal, "the key of call %s belongs to call %s", op.Call, t.result.Record.Call)
	}
	return nil
}

// Flush waits until all submitted outcomes are recorded or ctx ends. Claim must not be called
// meanwhile.
func (c *Claimer) Flush(ctx context.Context) error {
	const poll = 10 * time.Millisecond
	for _, w := range c.workers {
		for w.unrecorded() > 0 {
			if ctx.Err() != nil {
				return garnetworks.WrapError(garnetworks.KindResponseLost, ctx.Err(), "outcomes of claimed calls are not recorded")
			}
			sleep(ctx, poll)
		}
	}
	return nil
}

// CommitForwarded commits operations that another node has forwarded, and returns the
// results for that node's Forwarder.
func (c *Claimer) CommitForwarded(ctx context.Context, shard int, ops []Op) ([]Result, error) {
	if shard < 0 || shard >= Shards {
		return nil, garnetworks.Errorf(garnetworks.KindInvalidRequest, "no shard %d", shard)
	}
	for i := range ops {
		if ops[i].Key.Shard() != shard {
			return nil, garnetworks.Errorf(garnetworks.KindInvalidRequest, "operation %d is of shard %d, not %d", i, ops[i].Key.Shard(), shard)
		}
	}
	return c.workers[shard].commitForwarded(ctx, ops)
}

// Stats holds counters since the start and the current state of a claimer.
type Stats struct {
	// Writes, Conflicts and Failures count attempts to write a shard by result; Forwarded
	// counts groups that another node has committed.
	Writes, Conflicts, Failures, Forwarded uint64
	// BucketWrites counts bucket writes.
	BucketWrites uint64
	// Unrecorded is the number of outcomes that are not yet recorded.
	Unrecorded int
	// RefusingShards is the number of shards whose claims are refused now.
	RefusingShards int
	// LargestShard is the size in bytes of the largest shard written.
	LargestShard int
}

// Stats returns the current statistics.
func (c *Claimer) Stats() Stats {
	var total Stats
	for _, w := range c.workers {
		total.Writes += w.writes.Load()
		total.Conflicts += w.conflicted.Load()
		total.Failures += w.failed.Load()
		total.Forwarded += w.forwarded.Load()
		total.BucketWrites += w.bucketWrites.Load()
		total.Unrecorded += w.unrecorded()
		total.LargestShard = max(total.LargestShard, int(w.bytes.Load()))
		if w.refusesClaims() {
			total.RefusingShards++
		}
	}
	return total
}

func (c *Claimer) worker(key Digest) *worker { return c.workers[key.Shard()] }

// claimOp returns an operation of the given kind for a claim request.
func claimOp(kind OpKind, r *garnetworks.ClaimRequest) Op {
	return Op{
		Kind: kind, Key: KeyDigest(r.Workspace, r.Service, r.Key), Body: truncate(r.BodyHash),
		Call: r.Call, Until: r.Until.UnixMilli(),
	}
}

// verdictError returns the error for a verdict that does not grant the claim.
func verdictError(r *Result, now time.Time) error {
	switch r.Verdict {
	case VerdictInProgress:
		const low, high = time.Second, 5 * time.Second
		left := time.UnixMilli(r.Record.Until).Sub(now)
		return &garnetworks.Error{
			Kind: garnetworks.KindInProgress, Detail: "the first call with the key may still run",
			RetryAfter: min(max(left, low), high),
		}
	case VerdictUnknown:
		return garnetworks.Errorf(garnetworks.KindOutcomeUnknown, "the node that forwarded the first call with the key recorded no answer in time")
	case VerdictKeyReused:
		return garnetworks.Errorf(garnetworks.KindKeyReused, "the first call with the key had another method, path or body")
	case VerdictFull:
		return &garnetworks.Error{Kind: garnetworks.KindClaimsUnavailable, Detail: "the store of claims is full", RetryAfter: time.Minute}
	}
	return unavailable("the claim was given up")
}

func unavailable(detail string) error {
	return garnetworks.Errorf(garnetworks.KindClaimsUnavailable, "%s", detail)
}

// storeAnswer decides how the answer is stored, and writes a large one to its own object.
func (c *Claimer) storeAnswer(ctx context.Context, key Digest, call garnetworks.CallID, answer *garnetworks.ServiceResponse) Answer {
	kept := Answer{Form: AnswerInline, Status: answer.Status, ContentType: answer.ContentType, Body: answer.Body}
	if len(answer.Body)+len(answer.ContentType) <= MaxInlineAnswer {
		return kept
	}
	kept = Answer{Form: AnswerDropped, Status: answer.Status}
	if len(answer.Body)+len(answer.ContentType) > MaxStoredAnswer {
		return kept
	}
	value, err := encode(&Answer{Form: AnswerInline, Status: answer.Status, ContentType: answer.ContentType, Body: answer.Body})
	if err != nil {
		return kept
	}
	// If the write fails, the answer is dropped and the call is still recorded as
	// completed, which is what prevents a second run.
	ctx, cancel := context.WithTimeout(ctx, c.options.CallTimeout)
	defer cancel()
	revision, err := c.options.API.Put(ctx, answerKey(key, call), value, 0)
	if err != nil {
		// Rule G11: the write may have taken effect. The key contains the call ID, so any
		// object there is this answer.
		stored, readErr := c.options.API.Get(ctx, answerKey(key, call))
		if readErr != nil {
			return kept
		}
		revision = stored.Revision
	}
	return Answer{Form: AnswerStored, Status: answer.Status, Revision: revision}
}

// recordedResult returns the answer that a record contains or refers to.
func (c *Claimer) recordedResult(ctx context.Context, r *Record) (garnetworks.ClaimResult, error) {
	answer := r.Answer
	if answer.Form == AnswerStored {
		stored, err := c.options.API.Get(ctx, answerKey(r.Key, r.Call))
		if err != nil && !garnetworks.IsKind(err, garnetworks.KindNotFound) {
			return garnetworks.ClaimResult{}, answerUnreadable()
		}
		if err != nil || decode(stored.Value, &answer) != nil {
			answer.Form = AnswerDropped
		}
	}
	if answer.Form == AnswerDropped {
		return garnetworks.ClaimResult{}, garnetworks.Errorf(garnetworks.KindOutcomeUnknown,
			"the first call with the key completed with status %d; its answer was not kept", answer.Status)
	}
	return garnetworks.ClaimResult{Recorded: garnetworks.Some(garnetworks.ServiceResponse{
		ID: r.Call, Status: answer.Status, ContentType: answer.ContentType, Body: answer.Body,
	})}, nil
}

// answerUnreadable asks the caller to retry for an answer that exists but can't be read
// now. KindClaimsUnavailable would imply that the call did not run.
func answerUnreadable() error {
	return &garnetworks.Error{
		Kind: garnetworks.KindInProgress, Detail: "the first call with the key completed; its answer can't be read now",
		RetryAfter: 2 * time.Second,
	}
}

func shardKey(shard int) string { return fmt.Sprintf("%sshard/%02d", Prefix, shard) }

func bucketKey(shard, bucket int) string {
	return fmt.Sprintf("%sbucket/%02d/%02d", Prefix, shard, bucket)
}

func answerKey(key Digest, call garnetworks.CallID) string {
	return fmt.Sprintf("%sanswer/%02d/%02d/%s", Prefix, key.Shard(), key.Bucket(), call)
}

// sleep waits for d or the end of ctx.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
