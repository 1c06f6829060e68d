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
	errSilent = errors.New("the connection went silent while the engine works")
	// errTooSlow: the slow bound is over.
	errTooSlow = errors.New("the engine made no progress within the slow bound")
)

// evidence is what is known of an attempt without progress.
type evidence struct {
	// begun says that the attempt has brought tokens.
	begun bool
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
func judge(e evidence) error {
	if e.probed && e.probeError != nil {
		return errEngineLost // S1
	}
	if e.probed && e.status.Group != e.group {
		return errEngineChanged // S2
	}
	if e.early {
		return nil // S7
	}
	if e.begun && e.othersProgressed {
		return errSilent // S3
	}
	load := e.status.Load
	if !e.probed || load.Waiting > 0 || !load.At.After(e.started) {
		return nil // S6
	}
	if !e.begun && e.overtaken {
		return errSilent // S4
	}
	if load.Running == 0 {
		return errSilent // S5
	}
	return nil // S6
}

// pulses know when each group's streams at this node last brought a token, for
// rule S3.
type pulses struct {
	mu     sync.Mutex
	groups map[garnetworks.GroupID]*pulse
}

// pulse is one group's. It exists while an attempt uses it.
type pulse struct {
	users int
	// last is when the newest token came, and begun the start of the youngest
	// attempt that has its first token, in nanoseconds of the monotonic clock
	// since Forwarder.start.
	last  atomic.Int64
	begun atomic.Int64
}

// begin notes that an attempt which started at the time has its first token.
func (p *pulse) begin(started int64) {
	for {
		known := p.begun.Load()
		if known >= started || p.begun.CompareAndSwap(known, started) {
			return
		}
	}
}

func (p *pulses) join(group garnetworks.GroupID) *pulse {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.groups == nil {
		p.groups = map[garnetworks.GroupID]*pulse{}
	}
	u := p.groups[group]
	if u == nil {
		u = &pulse{}
		p.groups[group] = u
	}
	u.users++
	return u
}

func (p *pulses) leave(group garnetworks.GroupID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	u := p.groups[group]
	u.users--
	if u.users == 0 {
		delete(p.groups, group)
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
	ctx    context.Context
	cancel context.CancelCauseFunc
	pulse  *pulse
	base   time.Time
	// offset is base in nanoseconds since Forwarder.start.
	offset int64
	// prefill is added to the bound of the first token for the prompt's length.
	prefill time.Duration
	// early is the wait for the first token before the first probe (rule S7); 0
	// if there is no such probe.
	early time.Duration

	// sign and token are the times of the last sign of life and of the last
	// token, in nanoseconds since base.
	sign  atomic.Int64
	token atomic.Int64
	begun atomic.Bool
	// paused says that the attempt waits for the caller, not for the engine.
	paused atomic.Bool

	timer *time.Timer
	// checking is held by check: a token that sets the timer anew while a probe
	// runs must not start a second one beside it.
	checking sync.Mutex
	// judged is the sign up to which the silence was probed and found slow; -1
	// before the first probe. It belongs to the holder of checking, as does
	// judgedEarly, which says that the early probe is done.
	judged      int64
	judgedEarly bool
}

// prefillBytesPerSecond is a low estimate of how fast engines read prompts: about
// 5000 tokens a second.
const prefillBytesPerSecond = 20_000

func (f *Forwarder) watch(ctx context.Context, cancel context.CancelCauseFunc, group *garnetworks.GroupView, call *garnetworks.CallRequest) *watchdog {
	w := &watchdog{
		f:       f,
		group:   group,
		call:    call.ID,
		model:   call.Model,
		ctx:     ctx,
		cancel:  cancel,
		pulse:   f.pulses.join(group.ID),
		base:    time.Now(),
		prefill: time.Duration(len(call.Prompt)) * time.Second / prefillBytesPerSecond,
		judged:  -1,
	}
	w.offset = int64(w.base.Sub(f.start))
	first := f.options.Timeouts.FirstToken + w.prefill
	if early, ok := f.usual.early(call.Model, w.prefill); ok && early < first && f.options.Prober != nil {
		w.early = early
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
	w.f.pulses.leave(w.group.ID)
}

// progress notes a chunk with the given number of tokens.
func (w *watchdog) progress(tokens int) {
	elapsed := int64(time.Since(w.base))
	w.sign.Store(elapsed)
	if tokens == 0 {
		return
	}
	w.token.Store(elapsed)
	w.pulse.last.Store(w.offset + elapsed)
	if !w.begun.Load() {
		w.pulse.begin(w.offset)
		w.f.usual.took(w.model, time.Duration(elapsed))
		// From here on the shorter bound holds, and the timer still runs for the
		// longer one.
		w.begun.Store(true)
		w.timer.Reset(w.f.options.Timeouts.BetweenTokens)
	}
}

// pause and resume frame the time in which the caller holds the attempt up.
func (w *watchdog) pause() { w.paused.Store(true) }

func (w *watchdog) resume() {
	elapsed := int64(time.Since(w.base))
	w.sign.Store(elapsed)
	w.token.Store(elapsed)
	w.paused.Store(false)
}

// limits returns the bounds that hold now.
func (w *watchdog) limits() (quiet, slow time.Duration) {
	t := &w.f.options.Timeouts
	if w.begun.Load() {
		return t.BetweenTokens, t.SlowBetweenTokens
	}
	if w.early > 0 && !w.judgedEarly {
		return w.early, t.SlowFirstToken + w.prefill
	}
	return t.FirstToken + w.prefill, t.SlowFirstToken + w.prefill
}

// check runs on the timer's goroutine. It looks at the clock in place of a timer
// that is set anew for each token.
func (w *watchdog) check() {
	w.checking.Lock()
	defer w.checking.Unlock()
	if w.ctx.Err() != nil {
		return
	}
	quietLimit, slowLimit := w.limits()
	if w.paused.Load() {
		w.timer.Reset(quietLimit)
		return
	}
	elapsed := time.Since(w.base)
	sign := w.sign.Load()
	slow := elapsed - time.Duration(w.token.Load())
	if slow >= slowLimit {
		w.end(errTooSlow)
		return
	}
	quiet := elapsed - time.Duration(sign)
	if quiet < quietLimit {
		w.timer.Reset(min(quietLimit-quiet, slowLimit-slow))
		return
	}
	if sign != w.judged {
		w.probe(sign)
		return
	}
	w.timer.Reset(slowLimit - slow)
}

// probe asks the engine on a new connection and acts on the judgement.
func (w *watchdog) probe(sign int64) {
	e := evidence{
		begun:   w.begun.Load(),
		started: w.base,
		group:   w.group.ID,
	}
	e.early = !e.begun && w.early > 0 && !w.judgedEarly
	half := (int64(time.Since(w.base)) - sign) / 2
	e.othersProgressed = w.pulse.last.Load() > w.offset+sign+half
	e.overtaken = w.pulse.begun.Load() > w.offset
	if w.f.options.Prober != nil {
		ctx, cancel := context.WithTimeout(w.ctx, w.f.options.Timeouts.Probe)
		e.status, e.probeError = w.f.options.Prober.Status(ctx, w.group.Address)
		e.probed = true
		cancel()
	}
	if w.ctx.Err() != nil {
		return
	}
	if w.sign.Load() == sign {
		if cause := judge(e); cause != nil {
			w.end(cause)
			return
		}
		if e.early {
			w.judgedEarly = true
		} else {
			w.judged = sign
		}
	}
	w.timer.Reset(time.Nanosecond)
}

func (w *watchdog) end(cause error) {
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
func endedByWatchdog(ctx context.Context) error {
	cause := context.Cause(ctx)
	switch cause {
	case errEngineLost, errEngineChanged, errSilent, errTooSlow:
		return cause
	}
	return nil
}
