package forwarder

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/garnetworks/garnetworks"
	"github.com/pkg/errors"
)

// Causes with which the watchdog ends an attempt.
var (
	// errEngineLost: a new connection does not reach the engine either.
	errEngineLost = errors.New("the engine does not answer on a new connection")
	// errEngineChanged: the engine answers, but is no longer the attempt's.
	errEngineChanged = errors.New("the engine is no longer in the group of the attempt")
	// errSilent: the engine works, but nothing comes on the attempt's connection.
	errConnectionStalled = errors.New("the connection went silent while the engine works")
	// errTooSlow: the slow bound is over.
	errTooSlow = errors.New("the engine made no progress within the slow bound")
)

// evidence is what is known of an attempt without progress.
type stallEvidence struct {
	// begun says that the attempt has brought tokens.
	hasToken bool
	// started is when the attempt began.
	started time.Time
	group   garnetworks.GroupID
	// othersProgressed says that other streams of the group brought tokens in
	// the second half of the silence.
	othersProgressed bool
	// overtaken says that an attempt that started later at the group has its
	// first token.
	overtaken bool
	// early says that the silence is longer than usual, but within the bound that
	// suits any engine.
	early bool
	// probed says that there is a Prober; probeError and status are its result.
	probed     bool
	probeError error
	status     garnetworks.EngineStatus
}

// judge says whether a silent attempt is ended, and with which cause; nil keeps
// it until the slow bound. It is pure.
//
//	S1  An engine that a new connection does not reach is lost.
//	S2  An engine that now is in another group has dropped the attempt. Names of
//	    groups are not used again, so the name is enough.
//	S3  Engines batch continuously: one step brings a token to every running
//	    request. If other streams of the group go on while this one stands
//	    still, its connection is dead.
//	S4  If, before the first token, an attempt that started later has its first
//	    token, and the engine has measured since this one started that none
//	    waits, then the engine does not have this one: its connection is dead.
//	S5  An engine that measured, since the attempt began, neither running nor
//	    waiting requests does not have the attempt: its connection is dead.
//	S6  Everything else can be a slow engine and gets the slow bound.
//	S7  Once the node knows how long a model's first tokens usually take here, the
//	    first probe comes at twice the wait of 95 in 100 calls. So early, only S1
//	    and S2 judge: the engine may not have got to a slow call yet. A second
//	    probe comes at the bound that suits any engine.
func diagnoseStall(e stallEvidence) error {
	if e.probed && e.probeError != nil {
		return errEngineLost // S1
	}
	if e.probed && e.status.Group != e.group {
		return errEngineChanged // S2
	}
	if e.early {
		return nil // S7
	}
	if e.hasToken && e.othersProgressed {
		return errConnectionStalled // S3
	}
	load := e.status.Load
	if !e.probed || load.Waiting > 0 || !load.At.After(e.started) {
		return nil // S6
	}
	if !e.hasToken && e.overtaken {
		return errConnectionStalled // S4
	}
	if load.Running == 0 {
		return errConnectionStalled // S5
	}
	return nil // S6
}

// pulses know when each group's streams at this node last brought a token, for
// rule S3.
type activityTracker struct {
	mu     sync.Mutex
	groups map[garnetworks.GroupID]*groupActivity
}

// pulse is one group's. It exists while an attempt uses it.
type groupActivity struct {
	refs int
	// last is when the newest token came, and begun the start of the youngest
	// attempt that has its first token, in nanoseconds of the monotonic clock
	// since Forwarder.start.
	lastToken   atomic.Int64
	latestStart atomic.Int64
}

// begin notes that an attempt which started at the time has its first token.
func (a *groupActivity) recordFirstToken(started int64) {
	for {
		known := a.latestStart.Load()
		if known >= started || a.latestStart.CompareAndSwap(known, started) {
			return
		}
	}
}

func (t *activityTracker) acquire(group garnetworks.GroupID) *groupActivity {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.groups == nil {
		t.groups = map[garnetworks.GroupID]*groupActivity{}
	}
	a := t.groups[group]
	if a == nil {
		a = &groupActivity{}
		t.groups[group] = a
	}
	a.refs++
	return a
}

func (t *activityTracker) release(group garnetworks.GroupID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	a := t.groups[group]
	a.refs--
	if a.refs == 0 {
		delete(t.groups, group)
	}
}

// watchdog ends one attempt that makes no progress (rule F4).
//
// Failure: something between node and engine loses track of an open connection.
// Reads on it wait for good, and nothing fails. Only the absence of progress
// shows it, and only a new connection tells it from a slow engine.
type watchdog struct {
	f     *Forwarder
	group *garnetworks.GroupView
	call  garnetworks.CallID
	model garnetworks.ModelName
	// ctx is the attempt's; cancel ends it.
	ctx      context.Context
	cancel   context.CancelCauseFunc
	activity *groupActivity
	started  time.Time
	// offset is base in nanoseconds since Forwarder.start.
	startOffset int64
	// prefill is added to the bound of the first token for the prompt's length.
	prefillAllowance time.Duration
	// early is the wait for the first token before the first probe (rule S7); 0
	// if there is no such probe.
	earlyProbe time.Duration

	// sign and token are the times of the last sign of life and of the last
	// token, in nanoseconds since base.
	lastActivity atomic.Int64
	lastToken    atomic.Int64
	hasToken     atomic.Bool
	// paused says that the attempt waits for the caller, not for the engine.
	paused atomic.Bool

	timer *time.Timer
	// checking is held by check: a token that sets the timer anew while a probe
	// runs must not start a second one beside it.
	checking sync.Mutex
	// judged is the sign up to which the silence was probed and found slow; -1
	// before the first probe. It belongs to the holder of checking, as does
	// judgedEarly, which says that the early probe is done.
	probedActivity int64
	earlyProbeDone bool
}

// prefillBytesPerSecond is a low estimate of how fast engines read prompts: about
// 5000 tokens a second.
const prefillBytesPerSecond = 20_000

func (f *Forwarder) watch(ctx context.Context, cancel context.CancelCauseFunc, group *garnetworks.GroupView, call *garnetworks.CallRequest) *watchdog {
	w := &watchdog{
		f:                f,
		group:            group,
		call:             call.ID,
		model:            call.Model,
		ctx:              ctx,
		cancel:           cancel,
		activity:         f.activity.acquire(group.ID),
		started:          time.Now(),
		prefillAllowance: time.Duration(len(call.Prompt)) * time.Second / prefillBytesPerSecond,
		probedActivity:   -1,
	}
	w.startOffset = int64(w.started.Sub(f.start))
	first := f.options.Timeouts.FirstToken + w.prefillAllowance
	if early, ok := f.firstTokens.earlyProbe(call.Model, w.prefillAllowance); ok && early < first && f.options.Prober != nil {
		w.earlyProbe = early
		first = early
	}
	// The timer's goroutine reads w.timer, so it is set before the timer runs.
	ready := make(chan struct{})
	w.timer = time.AfterFunc(first, func() {
		<-ready
		w.check()
	})
	close(ready)
	return w
}

func (w *watchdog) stop() {
	w.timer.Stop()
	w.f.activity.release(w.group.ID)
}

// progress notes a chunk with the given number of tokens.
func (w *watchdog) recordProgress(tokens int) {
	elapsed := int64(time.Since(w.started))
	w.lastActivity.Store(elapsed)
	if tokens == 0 {
		return
	}
	w.lastToken.Store(elapsed)
	w.activity.lastToken.Store(w.startOffset + elapsed)
	if !w.hasToken.Load() {
		w.activity.recordFirstToken(w.startOffset)
		w.f.firstTokens.record(w.model, time.Duration(elapsed))
		// From here on the shorter bound holds, and the timer still runs for the
		// longer one.
		w.hasToken.Store(true)
		w.timer.Reset(w.f.options.Timeouts.BetweenTokens)
	}
}

// pause and resume frame the time in which the caller holds the attempt up.
func (w *watchdog) pause() { w.paused.Store(true) }

func (w *watchdog) resume() {
	elapsed := int64(time.Since(w.started))
	w.lastActivity.Store(elapsed)
	w.lastToken.Store(elapsed)
	w.paused.Store(false)
}

// limits returns the bounds that hold now.
func (w *watchdog) timeouts() (silence, slow time.Duration) {
	t := &w.f.options.Timeouts
	if w.hasToken.Load() {
		return t.BetweenTokens, t.SlowBetweenTokens
	}
	if w.earlyProbe > 0 && !w.earlyProbeDone {
		return w.earlyProbe, t.SlowFirstToken + w.prefillAllowance
	}
	return t.FirstToken + w.prefillAllowance, t.SlowFirstToken + w.prefillAllowance
}

// check runs on the timer's goroutine. It looks at the clock in place of a timer
// that is set anew for each token.
func (w *watchdog) check() {
	w.checking.Lock()
	defer w.checking.Unlock()
	if w.ctx.Err() != nil {
		return
	}
	silenceLimit, slowLimit := w.timeouts()
	if w.paused.Load() {
		w.timer.Reset(silenceLimit)
		return
	}
	elapsed := time.Since(w.started)
	activity := w.lastActivity.Load()
	sinceToken := elapsed - time.Duration(w.lastToken.Load())
	if sinceToken >= slowLimit {
		w.endAttempt(errTooSlow)
		return
	}
	silence := elapsed - time.Duration(activity)
	if silence < silenceLimit {
		w.timer.Reset(min(silenceLimit-silence, slowLimit-sinceToken))
		return
	}
	if activity != w.probedActivity {
		w.probe(activity)
		return
	}
	w.timer.Reset(slowLimit - sinceToken)
}

// probe asks the engine on a new connection and acts on the judgement.
func (w *watchdog) probe(activity int64) {
	e := stallEvidence{
		hasToken: w.hasToken.Load(),
		started:  w.started,
		group:    w.group.ID,
	}
	e.early = !e.hasToken && w.earlyProbe > 0 && !w.earlyProbeDone
	half := (int64(time.Since(w.started)) - activity) / 2
	e.othersProgressed = w.activity.lastToken.Load() > w.startOffset+activity+half
	e.overtaken = w.activity.latestStart.Load() > w.startOffset
	if w.f.options.Prober != nil {
		ctx, cancel := context.WithTimeout(w.ctx, w.f.options.Timeouts.Probe)
		e.status, e.probeError = w.f.options.Prober.Status(ctx, w.group.Address)
		e.probed = true
		cancel()
	}
	if w.ctx.Err() != nil {
		return
	}
	if w.lastActivity.Load() == activity {
		if cause := diagnoseStall(e); cause != nil {
			w.endAttempt(cause)
			return
		}
		if e.early {
			w.earlyProbeDone = true
		} else {
			w.probedActivity = activity
		}
	}
	w.timer.Reset(time.Nanosecond)
}

func (w *watchdog) endAttempt(cause error) {
	w.cancel(cause)
	w.f.events.Record(garnetworks.Event{
		Kind:   garnetworks.EventStalledConnection,
		Zone:   w.group.Zone,
		Group:  w.group.ID,
		Call:   w.call,
		Detail: cause.Error(),
	})
}

// endedByWatchdog returns the watchdog's cause, or nil.
func watchdogCause(ctx context.Context) error {
	cause := context.Cause(ctx)
	switch cause {
	case errEngineLost, errEngineChanged, errConnectionStalled, errTooSlow:
		return cause
	}
	return nil
}
