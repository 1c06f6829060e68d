// Package forwarder carries admitted calls to backend servers and their answers
// back: calls to models as streams of tokens, calls to plain services as whole
// answers.
//
//	F1  Each attempt has an identifier of its own, which the answer must echo.
//	    What echoes another one is dropped, the connection closed, and the
//	    attempt counts as crossed (rule G7).
//	F2  An answer is whole only with its end marker; whatever else ends an
//	    attempt is a failure, and package retrier decides what follows.
//	F3  Tokens reach the caller in order, none twice and none left out, over all
//	    attempts: positions and texts of overlapping chunks are compared with
//	    what was delivered, and a chunk that contradicts it fails the attempt.
//	F4  An attempt without progress is probed on a new connection, once, or twice
//	    before its first token, and ended if the probe shows that the connection
//	    or the engine is dead, or if the slow bound is over. The bounds are in
//	    Timeouts and in rule S7.
//	F5  A call buffers at most BufferParts parts and BufferBytes bytes. While the
//	    buffer is full the engine's stream is not read, so that the engine is
//	    held back by the connection; a caller who takes nothing for SlowCaller
//	    loses the call.
//	F6  A cancelled call to a model is cancelled at the engine at once. A claimed
//	    call goes on without its caller, so that its answer is recorded and a
//	    repetition of the call receives it.
//	F7  A call that may not be repeated and carries a key is claimed before its
//	    first attempt (rule G6). Without a claim it is not forwarded.
//	F8  A retry takes from the node's budget unless it is free (rules R5, R6).
//	    Calls without delivered tokens don't wait for the budget; broken streams
//	    wait up to ResumeWait.
//	F9  A call under which servers end is kept from further ones; package quarantiner
//	    decides that. It is asked before each attempt.
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

// ErrGraceEnded is the cause with which a stopping node cancels the calls that
// are left when its grace period is over.
var ErrGraceEnded = errors.New("the node's grace period is over")

// Bounds of a call's buffer (rule F5).
const (
	// BufferParts is the most parts that wait for a slow caller.
	BufferParts = 128
	// BufferBytes is the most bytes of text that wait for a slow caller; one
	// part alone may be larger.
	BufferBytes = 64 << 10
)

// Prober asks an engine for its status on a new connection.
// garnetworks.EngineOrders is a Prober if it opens one for each call or for
// Status alone.
type Prober interface {
	Status(ctx context.Context, address string) (garnetworks.EngineStatus, error)
}

// Timeouts are the bounds on waiting. Zero fields take the value of
// DefaultTimeouts.
type Timeouts struct {
	// FirstToken is the silence before the first token of an attempt after which
	// the engine is probed, if it was not found lost by an early probe (rule S7).
	FirstToken time.Duration
	// BetweenTokens is the silence between tokens after which the engine is
	// probed.
	BetweenTokens time.Duration
	// Probe bounds the probe.
	Probe time.Duration
	// SlowFirstToken and SlowBetweenTokens bound the wait for a token from an
	// engine that the probe found alive.
	SlowFirstToken    time.Duration
	SlowBetweenTokens time.Duration
	// SlowCaller bounds the time that the buffer stays full.
	SlowCaller time.Duration
	// Idle is the time without tokens after which Sink.Idle is called.
	Idle time.Duration
	// ResumeWait bounds the wait of a broken stream for the retry budget.
	ResumeWait time.Duration
	// Claim bounds the claim of a keyed call.
	Claim time.Duration
	// RecordWait is how long a keyed call's answer waits to be recorded before it
	// goes to the caller all the same; Record bounds the recording.
	RecordWait time.Duration
	Record     time.Duration
}

// DefaultTimeouts return the bounds for the design size: tokens come every 46 ms
// and first tokens within 0.84 s for 95 of 100 calls, so silence of over 20
// tokens or two first tokens is worth a probe.
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

// DefaultMaxAttempts bounds the attempts of one call.
const DefaultMaxAttempts = 3

// Options join a Forwarder with the rest of the node.
type Options struct {
	Engines  garnetworks.EngineCaller
	Services garnetworks.ServiceCaller
	Groups   garnetworks.GroupChooser
	Servers  garnetworks.ServerChooser
	// Claims may be nil; keyed calls are then refused as not run.
	Claims garnetworks.Claimer
	// Prober may be nil; silent attempts then end at the slow bounds.
	Prober Prober
	// Recorder may be nil.
	Recorder garnetworks.Recorder
	Manifest garnetworks.ManifestSource
	// Quarantine may be nil; no call is then kept from servers (rule F9).
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
	// start is the origin of the times in pulses.
	start       time.Time
	events      *EventLimiter
	activity    activityTracker
	firstTokens firstTokenWaits
	tasks       Tasks

	budgetMu sync.Mutex
	budget   *retrier.Budget
}

// New returns a Forwarder. Engines and Groups, and Services and Servers, may be
// nil together if no such calls come.
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

// Wait returns when no attempt and no recording of an answer is left, or when
// ctx ends. Calls whose callers went away are among them (rule F6).
func (f *Forwarder) Wait(ctx context.Context) error { return f.tasks.Wait(ctx) }

// RetriesLeft returns the number of retries that the budget allows now.
func (f *Forwarder) RetriesLeft() int {
	f.budgetMu.Lock()
	defer f.budgetMu.Unlock()
	return f.budget.Available(time.Now())
}

func (f *Forwarder) recordCall() {
	f.budgetMu.Lock()
	defer f.budgetMu.Unlock()
	f.budget.RecordCall(time.Now())
}

func (f *Forwarder) takeRetry() bool {
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

// guard runs an adapter and turns its panic into an error.
//
// Failure: an answer that nobody thought of makes an adapter panic. The attempt
// runs on a goroutine of its own, where no HTTP server recovers, so the process
// would end, and with it some hundred other calls.
func recoverPanic(run func() error) (err error) {
	defer func() {
		if value := recover(); value != nil {
			err = errors.Errorf("the adapter panicked: %v", value)
		}
	}()
	return run()
}
