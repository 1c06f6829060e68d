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
	// DefaultInterval is the distance between two writes of a shard, summed over
	// all nodes that write it: 16 shards come to 320 writes a second at most.
	DefaultInterval = 50 * time.Millisecond
	// DefaultRetention outlasts a device that is out of reach for a day.
	DefaultRetention = 24 * time.Hour
	// DefaultClaimTimeout bounds the wait of a claim whose context allows more.
	DefaultClaimTimeout = 2 * time.Second
	// DefaultCallTimeout bounds one call to the object API.
	DefaultCallTimeout = time.Second
	// maxPending is the most operations that wait for one shard at one node.
	maxPending = 2048
)

// Forwarder hands operations to another node, which commits them together with
// its own. An error says nothing about whether they were committed.
type Forwarder interface {
	Commit(ctx context.Context, node garnetworks.NodeInfo, shard int, ops []Op) ([]Result, error)
}

// Options configure a Claimer; zero fields take the defaults.
type Options struct {
	Node garnetworks.NodeInfo
	API  garnetworks.ObjectAPI
	// Forwarder may be nil: then each node writes for itself.
	Forwarder garnetworks.Option[Forwarder]
	// Recorder may be nil.
	Recorder garnetworks.Recorder

	Interval, Retention, ClaimTimeout, CallTimeout time.Duration
	// Random returns values in [0, 1); nil takes the runtime's generator.
	Random func() float64
}

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

// Claimer implements garnetworks.Claimer over the object API. It works while
// Run runs.
type Claimer struct {
	options Options
	workers [Shards]*worker
	// refusingWorkers counts the workers that refuse claims, so that an outage stands on
	// the time line once for a node and not once for each shard.
	refusingWorkers atomic.Int32

	mu    sync.Mutex
	nodes []garnetworks.NodeInfo
}

var _ garnetworks.Claimer = (*Claimer)(nil)

// New returns a claimer.
func New(options Options) *Claimer {
	c := &Claimer{options: options.withDefaults()}
	for i := range c.workers {
		c.workers[i] = newWorker(c, i)
	}
	return c
}

// Run commits operations until ctx ends; then it returns ctx's error. A planned
// stop calls Flush first.
func (c *Claimer) Run(ctx context.Context) error {
	var running sync.WaitGroup
	for _, w := range c.workers {
		running.Go(func() { w.run(ctx) })
	}
	running.Wait()
	return ctx.Err()
}

// SetRoster takes the entry nodes of all zones. Their number sets the pace of
// writes (rule C8); with a Forwarder they choose the node that commits for the
// others.
func (c *Claimer) SetRoster(nodes []garnetworks.NodeInfo) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nodes = slices.Clone(nodes)
}

// roster returns the nodes, which nobody changes.
func (c *Claimer) roster() []garnetworks.NodeInfo {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.nodes
}

// MayForward reports whether a claimed call may still be sent to a backend
// server: the claim's end has not come, neither by the monotonic clock nor by
// the wall clock, whichever is ahead. The forwarder asks right before it sends,
// because a node can be paused between the claim and the call: monotonic clocks
// stand still while a virtual machine is suspended, wall clocks can be set back.
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
	return garnetworks.ClaimResult{Claim: claim}, nil
}

// Complete implements garnetworks.Claimer. If ctx ends first, it returns an
// error of kind KindResponseLost, and the answer goes on being recorded.
func (c *Claimer) Complete(ctx context.Context, claim garnetworks.Claim, answer *garnetworks.ServiceResponse) error {
	op := claimOp(OpComplete, &claim.ClaimRequest)
	op.Answer = c.storeAnswer(ctx, op.Key, claim.Call, answer)
	return c.submitOutcome(ctx, op)
}

// Abandon implements garnetworks.Claimer. If ctx ends first, it returns an
// error of kind KindResponseLost, and the outcome goes on being recorded.
func (c *Claimer) Abandon(ctx context.Context, claim garnetworks.Claim, outcome garnetworks.Outcome) error {
	switch outcome {
	case garnetworks.OutcomeNotRun:
		return c.submitOutcome(ctx, claimOp(OpRelease, &claim.ClaimRequest))
	case garnetworks.OutcomeUnknown:
		return c.submitOutcome(ctx, claimOp(OpUnknown, &claim.ClaimRequest))
	}
	return garnetworks.Errorf(garnetworks.KindInternal, "a claim can't be abandoned as %q", outcome)
}

// submitOutcome submits an operation that has to be recorded sooner or later, and
// waits for it as long as ctx allows.
func (c *Claimer) submitOutcome(ctx context.Context, op Op) error {
	t := c.worker(op.Key).submit(op)
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

// Flush waits until every outcome that was handed over is recorded, or ctx
// ends. No new claims may be asked for meanwhile.
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

// CommitForwarded commits operations that another node has handed over. Its Forwarder
// brings the results back.
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

// Stats are counters of a claimer since its start, and its state now.
type Stats struct {
	// Writes, Conflicts and Failures count tries to write a shard by their end;
	// Forwarded counts groups that another node has committed.
	Writes, Conflicts, Failures, Forwarded uint64
	// BucketWrites counts the buckets that were written.
	BucketWrites uint64
	// Unrecorded is the number of outcomes that are not recorded yet.
	Unrecorded int
	// RefusingShards is the number of shards whose claims are refused now.
	RefusingShards int
	// LargestShard is the size in bytes of the largest shard known.
	LargestShard int
}

// Stats returns the counters.
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

// claimOp returns an operation for a claim request.
func claimOp(kind OpKind, r *garnetworks.ClaimRequest) Op {
	return Op{
		Kind: kind, Key: KeyDigest(r.Workspace, r.Service, r.Key), Body: truncate(r.BodyHash),
		Call: r.Call, Until: r.Until.UnixMilli(),
	}
}

// verdictError is the error for a verdict that gives no claim.
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

// storeAnswer decides where the answer is kept, and stores a large one.
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
	// Losing a large answer's text is accepted when the store fails here: the
	// mark that the call completed matters more than its answer and follows.
	ctx, cancel := context.WithTimeout(ctx, c.options.CallTimeout)
	defer cancel()
	revision, err := c.options.API.Put(ctx, answerKey(key, call), value, 0)
	if err != nil {
		// Rule G11: the write may have landed. The name is the call's own, so
		// whatever is there is this answer.
		stored, readErr := c.options.API.Get(ctx, answerKey(key, call))
		if readErr != nil {
			return kept
		}
		revision = stored.Revision
	}
	return Answer{Form: AnswerStored, Status: answer.Status, Revision: revision}
}

// recordedResult returns the answer that a record holds or points to.
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

// errAnswerUnreadable tells a caller to come back for an answer that exists but
// can't be read now. KindClaimsUnavailable would say that the call did not run.
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
