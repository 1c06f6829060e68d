package forwarder

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/garnetworks/garnetworks"
	"github.com/pkg/errors"
)

// Causes with which the watchdog cancels an attempt.
var (
	// errEngineLost: the engine is unreachable on a new connection as well.
	errEngineLost = errors.New("the engine does not answer on a new connection")
	// errEngineChanged: the engine answers, but is no longer in the attempt's group.
	errEngineChanged = errors.New("the engine is no longer in the group of the attempt")
	// errConnectionStalled: the engine works, but nothing arrives on the attempt's connection.
	errConnectionStalled = errors.New("the connection went silent while the engine works")
	// errTooSlow: the slow timeout expired.
	errTooSlow = errors.New("the engine made no progress within the slow bound")
)

// stallEvidence is what is known of an attempt without progress.
type stallEvidence struct {
	// hasToken says that the attempt has received a token.
	hasToken bool
	// started is when the attempt started.
	started time.Time
	group   garnetworks.GroupID
	// othersProgressed says that other streams of the group received tokens in the second half
	// of the silence.
	othersProgressed bool
	// overtaken says that an attempt at the group that started later has its first token.
	overtaken bool
	// early says that the silence is longer than usual for the model, but not longer than
	// Timeouts.FirstToken allows.
	early bool
	// probed says that there is a Prober; probeError and status are its result.
	probed     bool
	probeError error
	status     garnetworks.EngineStatus
}

// diagnoseStall returns the cause with which a silent attempt is cancelled, or nil if it
// continues until the slow timeout. It is pure.
//
//	S1  An engine that is unreachable on a new connection is lost.
//	S2  An engine that is now in another group has dropped the attempt. Group IDs
//	    are never reused, so comparing them is enough.
//	S3  Engines batch continuously: each step produces a token for every running
//	    request. If other streams of the group progress while this one is silent,
//	    its connection is dead.
//	S4  If, before the first token, an attempt that started later has its first
//	    token, and the engine has measured since this one started that no request
//	    waits, the engine does not have this one: its connection is dead.
//	S5  An engine that measured, since the attempt started, neither running nor
//	    waiting requests does not have the attempt: its connection is dead.
//	S6  In all other cases the engine may be slow, and the slow timeout applies.
//	S7  Once the node knows a model's usual time to the first token, the first
//	    probe comes at twice the 95th percentile. At that time only S1 and S2
//	    apply, because the engine may not have reached the call yet. A second
//	    probe comes at the timeout that suits any engine.
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

// activityTracker records when each group's streams at this node last received a token, for
// rules S3 and S4.
type activityTracker struct {
	mu     sync.Mutex
	groups map[garnetworks.GroupID]*groupActivity
}

// groupActivity is the activity of one group. It exists while an attempt refers to it.
type groupActivity struct {
	refs int
	// lastToken is when the newest token arrived, latestStart the latest start of an attempt
	// that has its first token, both in nanoseconds of monotonic time since Forwarder.start.
	lastToken   atomic.Int64
	latestStart atomic.Int64
}

// recordFirstToken records that an attempt with this start time has its first token.
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

// watchdog cancels an attempt that makes no progress (rule F4).
//
// If a device between the node and the engine drops the state of an open connection, reads on
// it block forever without an error. Only the missing progress shows that, and only a new
// connection distinguishes it from a slow engine.
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
	// startOffset is started in nanoseconds since Forwarder.start.
	startOffset int64
	// prefillAllowance is added to the first-token timeouts for the prompt's length.
	prefillAllowance time.Duration
	// earlyProbe is the wait for the first token before the early probe (rule S7); 0 if there
	// is no such probe.
	earlyProbe time.Duration

	// lastActivity and lastToken are the times of the last chunk and of the last token, or of
	// resume if that was later, in nanoseconds since started.
	lastActivity atomic.Int64
	lastToken    atomic.Int64
	hasToken     atomic.Bool
	// paused says that the attempt waits for the caller, not for the engine.
	paused atomic.Bool

	timer *time.Timer
	// checking is held by check: a token that resets the timer during a probe must not start a
	// second probe in parallel.
	checking sync.Mutex
	// probedActivity is the value of lastActivity at which the silence was probed and found
	// slow; -1 before the first probe. earlyProbeDone says that the early probe is done.
	// checking guards both.
	probedActivity int64
	earlyProbeDone bool
}

// prefillBytesPerSecond is a low estimate of the rate at which engines prefill prompts.
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
	// The timer's function reads w.timer, so it waits until w.timer is set.
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

// recordProgress records a chunk with the given number of tokens.
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
		// The shorter timeout applies from now on; the timer still runs for the longer one.
		w.hasToken.Store(true)
		w.timer.Reset(w.f.options.Timeouts.BetweenTokens)
	}
}

// pause and resume enclose the time in which the attempt waits for the caller.
func (w *watchdog) pause() { w.paused.Store(true) }

func (w *watchdog) resume() {
	elapsed := int64(time.Since(w.started))
	w.lastActivity.Store(elapsed)
	w.lastToken.Store(elapsed)
	w.paused.Store(false)
}

// timeouts returns the timeouts that apply now.
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

// check runs on the timer's goroutine. It compares the clock with the recorded times, so that
// the timer need not be reset for each token.
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

// probe requests the engine's status on a new connection and acts on the diagnosis.
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

// watchdogCause returns the cause with which the watchdog cancelled ctx, or nil.
func watchdogCause(ctx context.Context) error {
	cause := context.Cause(ctx)
	switch cause {
	case errEngineLost, errEngineChanged, errConnectionStalled, errTooSlow:
		return cause
	}
	return nil
}
