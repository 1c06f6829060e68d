// Package forwarder sends admitted calls to backend servers and returns their answers:
// calls to models as streams of tokens, calls to plain services as whole answers.
//
//	F1  Each attempt has its own identifier, which the answer must echo. An answer
//	    with another identifier is discarded, its connection closed, and the
//	    attempt fails as mismatched (rule G7).
//	F2  An answer is whole only with its end marker; any other end of an attempt
//	    is a failure, and package retrier decides what follows.
//	F3  Tokens reach the caller in order, without duplicates or gaps, over all
//	    attempts: positions and texts of overlapping chunks are compared with
//	    what was delivered, and a contradicting chunk fails the attempt.
//	F4  An attempt without progress is probed on a new connection, once, or twice
//	    before its first token. It is cancelled if the probe shows that the
//	    connection or the engine is dead, or when the slow timeout expires. See
//	    Timeouts and rule S7 for the times.
//	F5  A call buffers at most BufferParts parts and BufferBytes bytes. While the
//	    buffer is full the engine's stream is not read, so that backpressure
//	    reaches the engine; a caller that reads nothing for SlowCaller loses the
//	    call.
//	F6  A cancelled call to a model is cancelled at the engine at once. A claimed
//	    call continues without its caller, so that its answer is recorded and a
//	    repetition of the call receives it.
//	F7  A call that may not be repeated and has an idempotency key is claimed before
//	    its first attempt (rule G6). Without a claim it is not forwarded.
//	F8  A retry is taken from the node's budget unless it is free (rules R5, R6).
//	    Calls without delivered tokens don't wait for the budget; interrupted
//	    streams wait up to ResumeWait.
//	F9  A call under which servers crash is kept from further ones by package
//	    quarantiner, which is asked before each attempt.
package forwarder

import (
	"cmp"
	"context"
	"sync"
	"time"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/retrier"
	"github.com/pkg/errors"
)

// ErrGraceEnded is the cause with which a stopping node cancels the calls that still run when
// its grace period is over.
var ErrGraceEnded = errors.New("the node's grace period is over")

// Limits of a call's buffer (rule F5).
const (
	// BufferParts is the maximum number of buffered parts.
	BufferParts = 128
	// BufferBytes is the maximum number of bytes of buffered text; a single part may be larger.
	BufferBytes = 64 << 10
)

// Prober requests an engine's status on a new connection. garnetworks.EngineOrders is a Prober
// if it opens a connection for each call, or at least for Status.
type Prober interface {
	Status(ctx context.Context, address string) (garnetworks.EngineStatus, error)
}

// Timeouts are the limits on waiting. Zero fields have the value of DefaultTimeouts.
type Timeouts struct {
	// FirstToken is the silence before the first token of an attempt after which the engine is
	// probed, unless an early probe has found it lost (rule S7).
	FirstToken time.Duration
	// BetweenTokens is the silence between tokens after which the engine is probed.
	BetweenTokens time.Duration
	// Probe limits a probe.
	Probe time.Duration
	// SlowFirstToken and SlowBetweenTokens limit the wait for a token from an engine that the
	// probe found alive.
	SlowFirstToken    time.Duration
	SlowBetweenTokens time.Duration
	// SlowCaller limits the time for which the buffer may stay full.
	SlowCaller time.Duration
	// Idle is the time without tokens after which Sink.Idle is called.
	Idle time.Duration
	// ResumeWait limits how long an interrupted stream waits for the retry budget, and then for
	// a group.
	ResumeWait time.Duration
	// Claim limits the claiming of a keyed call.
	Claim time.Duration
	// RecordWait limits how long the answer of a keyed call is held back for its recording,
	// Record the recording itself.
	RecordWait time.Duration
	Record     time.Duration
}

// DefaultTimeouts returns timeouts for engines with several tokens per second and first tokens
// within about a second.
func DefaultTimeouts() Timeouts {
	return Timeouts{
		FirstToken:        2 * time.Second,
		BetweenTokens:     time.Second,
		Probe:             500 * time.Millisecond,
		SlowFirstToken:    10 * time.Second,
		SlowBetweenTokens: 5 * time.Second,
		SlowCaller:        10 * time.Second,
		Idle:              5 * time.Second,
		ResumeWait:        3 * time.Second,
		Claim:             2 * time.Second,
		RecordWait:        500 * time.Millisecond,
		Record:            30 * time.Second,
	}
}

// DefaultMaxAttempts limits the attempts of one call.
const DefaultMaxAttempts = 3

// Options configure a Forwarder.
type Options struct {
	Engines  garnetworks.EngineCaller
	Services garnetworks.ServiceCaller
	Groups   garnetworks.GroupChooser
	Servers  garnetworks.ServerChooser
	// Claims may be nil; keyed calls are then refused as not run.
	Claims garnetworks.Claimer
	// Prober may be nil; silent attempts are then cancelled at the slow timeouts.
	Prober Prober
	// Recorder may be nil.
	Recorder garnetworks.Recorder
	Manifest garnetworks.ManifestSource
	// Quarantine may be nil; no call is then quarantined (rule F9).
	Quarantine garnetworks.Quarantine
	Timeouts   Timeouts
	// Budget with a Burst of 0 means retrier.DefaultBudgetLimits.
	Budget retrier.BudgetLimits
	// MaxAttempts of 0 means DefaultMaxAttempts.
	MaxAttempts int
}

// Forwarder forwards calls. It is safe for concurrent use.
type Forwarder struct {
	options Options
	// start is the origin of the times in activity.
	start       time.Time
	events      *EventLimiter
	activity    activityTracker
	firstTokens firstTokenWaits
	tasks       Tasks

	budgetMu sync.Mutex
	budget   *retrier.Budget
}

// New returns a Forwarder. Engines and Groups may both be nil if there are no calls to models,
// Services and Servers if there are none to plain services.
func New(options Options) *Forwarder {
	options.Timeouts = options.Timeouts.withDefaults()
	if options.Budget.Burst == 0 {
		options.Budget = retrier.DefaultBudgetLimits()
	}
	if options.MaxAttempts == 0 {
		options.MaxAttempts = DefaultMaxAttempts
	}
	return &Forwarder{
		options: options,
		start:   time.Now(),
		events:  NewEventLimiter(options.Recorder),
		budget:  retrier.NewBudget(options.Budget, time.Now()),
	}
}

// Wait returns when no attempt and no recording of an answer is in progress, or when ctx ends.
// It includes calls whose callers have disconnected (rule F6).
func (f *Forwarder) Wait(ctx context.Context) error { return f.tasks.Wait(ctx) }

// RetriesLeft returns the number of retries that the budget allows now.
func (f *Forwarder) RetriesLeft() int {
	f.budgetMu.Lock()
	defer f.budgetMu.Unlock()
	return f.budget.Available(time.Now())
}

// creditRetryBudget counts a call, which adds to the retries that the budget allows.
func (f *Forwarder) creditRetryBudget() {
	f.budgetMu.Lock()
	defer f.budgetMu.Unlock()
	f.budget.RecordCall(time.Now())
}

// takeFromRetryBudget takes a retry from the budget and reports whether there was one.
func (f *Forwarder) takeFromRetryBudget() bool {
	f.budgetMu.Lock()
	defer f.budgetMu.Unlock()
	return f.budget.Take(time.Now())
}

func (t Timeouts) withDefaults() Timeouts {
	d := DefaultTimeouts()
	t.FirstToken = cmp.Or(t.FirstToken, d.FirstToken)
	t.BetweenTokens = cmp.Or(t.BetweenTokens, d.BetweenTokens)
	t.Probe = cmp.Or(t.Probe, d.Probe)
	t.SlowFirstToken = cmp.Or(t.SlowFirstToken, d.SlowFirstToken)
	t.SlowBetweenTokens = cmp.Or(t.SlowBetweenTokens, d.SlowBetweenTokens)
	t.SlowCaller = cmp.Or(t.SlowCaller, d.SlowCaller)
	t.Idle = cmp.Or(t.Idle, d.Idle)
	t.ResumeWait = cmp.Or(t.ResumeWait, d.ResumeWait)
	t.Claim = cmp.Or(t.Claim, d.Claim)
	t.RecordWait = cmp.Or(t.RecordWait, d.RecordWait)
	t.Record = cmp.Or(t.Record, d.Record)
	return t
}

// recoverPanic calls run and returns its panic as an error. Attempts run on their own
// goroutines, where the HTTP server doesn't recover panics: an adapter that panics on an
// unexpected answer would end the process and all its calls.
func recoverPanic(run func() error) (err error) {
	defer func() {
		if value := recover(); value != nil {
			err = errors.Errorf("the adapter panicked: %v", value)
		}
	}()
	return run()
}
