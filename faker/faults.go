package faker

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/garnetworks/garnetworks"
)

// FaultPlan describes the faults of a fake; the zero plan has none. Each use of a counted
// fault decrements its count; a negative count never runs out.
type FaultPlan struct {
	// Delay is waited before each call is processed.
	Delay time.Duration `json:"delay,omitempty"`
	// Down drops connections and fails calls without effect.
	Down bool `json:"down,omitempty"`
	// Unavailable refuses each call, without effect, as unavailable.
	Unavailable bool `json:"unavailable,omitempty"`
	// Frozen holds every call and stream until it is cleared, like a paused process.
	Frozen bool `json:"frozen,omitempty"`
	// LoseAnswers is the number of responses to lose after the call took effect.
	LoseAnswers int `json:"lose-answers,omitempty"`
	// LateAnswers is the number of responses to send LateBy after the call took effect.
	LateAnswers int           `json:"late-answers,omitempty"`
	LateBy      time.Duration `json:"late-by,omitempty"`
	// CrossAnswers is the number of responses to send with another call's identifier.
	CrossAnswers int `json:"cross-answers,omitempty"`
	// TruncateAnswers is the number of responses to break off in the middle.
	TruncateAnswers int `json:"truncate-answers,omitempty"`
	// BreakAfter is the number of stream events sent before the stream is truncated or
	// carries another call's identifier.
	BreakAfter int `json:"break-after,omitempty"`
	// Methods limits the plan to these methods; empty means all. Down and Frozen always
	// apply to all methods.
	Methods []string `json:"methods,omitempty"`
}

// Faults injects faults into the fake that embeds it (rule F1). The zero value injects
// none.
type Faults struct {
	// Listen opens the listener of a server; nil listens on TCP. It must be set before the server starts.
	Listen func(network, address string) (net.Listener, error)

	mu       sync.Mutex
	plan     FaultPlan
	changed  chan struct{}
	silenced chan struct{}
	conns    map[*conn]struct{}
}

// callState is the fault state of one call.
type callState struct {
	method   string
	silenced <-chan struct{}
}

// SetFaults replaces the plan.
func (f *Faults) SetFaults(plan FaultPlan) {
	f.UpdateFaults(func(p *FaultPlan) { *p = plan })
}

// UpdateFaults changes the plan in place.
func (f *Faults) UpdateFaults(change func(plan *FaultPlan)) {
	f.mu.Lock()
	change(&f.plan)
	f.signal()
	down := f.plan.Down
	f.mu.Unlock()
	if down {
		f.DropConnections()
	}
}

// CurrentFaults returns the plan with its remaining counts.
func (f *Faults) CurrentFaults() FaultPlan {
	f.mu.Lock()
	defer f.mu.Unlock()
	plan := f.plan
	plan.Methods = slices.Clone(plan.Methods)
	return plan
}

// SilenceOpen makes the currently open connections and calls silent permanently; new ones
// work.
func (f *Faults) SilenceOpen() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.silenced != nil {
		close(f.silenced)
	}
	f.silenced = nil
	for c := range f.conns {
		c.silent.Store(true)
	}
}

// DropConnections breaks all open connections.
func (f *Faults) DropConnections() {
	f.mu.Lock()
	conns := f.connections()
	f.mu.Unlock()
	for _, c := range conns {
		reset(c.Conn)
	}
}

func (f *Faults) connections() []*conn {
	conns := make([]*conn, 0, len(f.conns))
	for c := range f.conns {
		conns = append(conns, c)
	}
	return conns
}

// signal wakes the goroutines that wait for a change of the plan. The caller holds f.mu.
func (f *Faults) signal() {
	if f.changed != nil {
		close(f.changed)
	}
	f.changed = nil
}

// snapshot returns the plan, a channel closed by its next change, and a channel closed by
// SilenceOpen.
func (f *Faults) snapshot() (plan FaultPlan, changed, silenced <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.changed == nil {
		f.changed = make(chan struct{})
	}
	if f.silenced == nil {
		f.silenced = make(chan struct{})
	}
	return f.plan, f.changed, f.silenced
}

// begin waits while the fake is frozen or delayed, and fails if it is down or unavailable.
// A call must not take effect before begin returns.
func (f *Faults) begin(ctx context.Context, method string) (callState, error) {
	plan, _, silenced := f.snapshot()
	t := callState{method: method, silenced: silenced}
	if err := f.waitUnfrozen(ctx); err != nil {
		return t, err
	}
	if plan.appliesTo(method) {
		if err := sleep(ctx, plan.Delay); err != nil {
			return t, err
		}
	}
	// The plan may have changed while the call waited.
	plan = f.CurrentFaults()
	if plan.Down {
		return t, errDown
	}
	if plan.Unavailable && plan.appliesTo(method) {
		return t, errUnavailable
	}
	return t, nil
}

// end waits if the response is late or the call is silent, and returns errLost if the
// response is to be lost.
func (f *Faults) end(ctx context.Context, t callState) error {
	if err := f.waitUnfrozen(ctx); err != nil {
		return err
	}
	select {
	case <-t.silenced:
		<-ctx.Done()
		return ctx.Err()
	default:
	}
	late, lost := f.consume(t.method, lateAnswers), f.consume(t.method, lostAnswers)
	if late {
		if err := sleep(ctx, f.CurrentFaults().LateBy); err != nil {
			return err
		}
	}
	if lost || f.CurrentFaults().Down {
		return errLost
	}
	return nil
}

// waitUnfrozen waits until the fake is not frozen.
func (f *Faults) waitUnfrozen(ctx context.Context) error {
	for {
		plan, changed, _ := f.snapshot()
		if !plan.Frozen {
			return ctx.Err()
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}

// cancelWhenDown returns a context that is cancelled when the fake goes down, as the
// context of a call on a broken connection would be.
func (f *Faults) cancelWhenDown(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	go func() {
		for {
			plan, changed, _ := f.snapshot()
			if plan.Down {
				cancel(errDown)
			}
			select {
			case <-ctx.Done():
				return
			case <-changed:
			}
		}
	}()
	return ctx, func() { cancel(nil) }
}

// Accessors of the plan's counted faults, for consume.
func lostAnswers(p *FaultPlan) *int      { return &p.LoseAnswers }
func lateAnswers(p *FaultPlan) *int      { return &p.LateAnswers }
func crossedAnswers(p *FaultPlan) *int   { return &p.CrossAnswers }
func truncatedAnswers(p *FaultPlan) *int { return &p.TruncateAnswers }

// consume reports whether a counted fault applies to the method, and decrements its count.
func (f *Faults) consume(method string, field func(*FaultPlan) *int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.plan.appliesTo(method) {
		return false
	}
	n := field(&f.plan)
	if *n > 0 {
		*n--
		return true
	}
	return *n < 0
}

func (p FaultPlan) appliesTo(method string) bool {
	return len(p.Methods) == 0 || slices.Contains(p.Methods, method)
}

// Errors of injected faults; each fake maps them to its interface's kinds.
var (
	errDown        = garnetworks.Errorf(garnetworks.KindUnreachable, "the stand-in is down")
	errUnavailable = garnetworks.Errorf(garnetworks.KindUnreachable, "the stand-in is unavailable")
	errLost        = garnetworks.Errorf(garnetworks.KindResponseLost, "the stand-in lost the answer")
)

func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}

// withFaults runs effect between begin and end. failed maps an injected error to the
// interface's kinds; its argument begun tells whether effect has run.
func withFaults[T any](ctx context.Context, f *Faults, method string, failed func(err error, begun bool) error, effect func() (T, error)) (T, error) {
	var none T
	t, err := f.begin(ctx, method)
	if err != nil {
		return none, failed(err, false)
	}
	result, effectErr := effect()
	if err := f.end(ctx, t); err != nil {
		return none, failed(err, true)
	}
	return result, effectErr
}

// failedRead maps injected errors for methods without effect.
func failedRead(kind garnetworks.Kind) func(error, bool) error {
	return func(err error, _ bool) error {
		return garnetworks.WrapError(kind, err, "no answer")
	}
}

// failedWrite maps injected errors for methods with an effect.
func failedWrite(kind garnetworks.Kind) func(error, bool) error {
	return func(err error, begun bool) error {
		if begun {
			return garnetworks.WrapError(garnetworks.KindResponseLost, err, "no answer after the effect")
		}
		return garnetworks.WrapError(kind, err, "not carried out")
	}
}
