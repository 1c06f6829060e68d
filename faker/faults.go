package faker

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/garnetworks/garnetworks"
)

// FaultPlan says what a stand-in does wrong; the zero plan does nothing wrong.
// Counts fall by one with each use; a negative count lasts.
type FaultPlan struct {
	// Delay passes before each call is looked at.
	Delay time.Duration `json:"delay,omitempty"`
	// Down drops connections and fails calls without effect.
	Down bool `json:"down,omitempty"`
	// Unavailable answers each call, without effect, that the stand-in can't.
	Unavailable bool `json:"unavailable,omitempty"`
	// Frozen holds every call and every running stream until it is taken back,
	// as a paused process would.
	Frozen bool `json:"frozen,omitempty"`
	// LoseAnswers counts answers that get lost after their effect.
	LoseAnswers int `json:"lose-answers,omitempty"`
	// LateAnswers counts answers that come LateBy after their effect.
	LateAnswers int           `json:"late-answers,omitempty"`
	LateBy      time.Duration `json:"late-by,omitempty"`
	// CrossAnswers counts answers that carry another call's identifier.
	CrossAnswers int `json:"cross-answers,omitempty"`
	// TruncateAnswers counts answers that break off in the middle.
	TruncateAnswers int `json:"truncate-answers,omitempty"`
	// BreakAfter is the number of events of a stream that are sent before it is
	// truncated or crossed.
	BreakAfter int `json:"break-after,omitempty"`
	// Methods limits the plan to these methods; empty means all. Down and Frozen
	// are not limited.
	Methods []string `json:"methods,omitempty"`
}

// Faults is embedded in each stand-in (rule F1). The zero value does nothing
// wrong.
type Faults struct {
	mu       sync.Mutex
	plan     FaultPlan
	changed  chan struct{}
	silenced chan struct{}
	conns    map[*conn]struct{}
}

// callState is one call's share of the faults.
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

// CurrentFaults returns the plan with the counts that are left.
func (f *Faults) CurrentFaults() FaultPlan {
	f.mu.Lock()
	defer f.mu.Unlock()
	plan := f.plan
	plan.Methods = slices.Clone(plan.Methods)
	return plan
}

// SilenceOpen makes the connections and calls that are open now silent for
// good; new ones work.
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

// signal wakes those that wait for a change of the plan.
func (f *Faults) signal() {
	if f.changed != nil {
		close(f.changed)
	}
	f.changed = nil
}

// snapshot returns the plan, a channel that its next change closes, and one
// that SilenceOpen closes.
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

// begin lets a call in: it waits while the stand-in is frozen or slow and fails
// if it is down or unavailable. No effect may come before it.
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

// end lets the answer out: it waits if the answer is late or the call silent,
// and returns errLost if the answer gets lost.
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

// waitUnfrozen waits until the stand-in is not frozen.
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

// cancelWhenDown returns a context that ends when the stand-in goes down, as a call
// that waits on its connection would.
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

// Fields of the plan that count down.
func lostAnswers(p *FaultPlan) *int      { return &p.LoseAnswers }
func lateAnswers(p *FaultPlan) *int      { return &p.LateAnswers }
func crossedAnswers(p *FaultPlan) *int   { return &p.CrossAnswers }
func truncatedAnswers(p *FaultPlan) *int { return &p.TruncateAnswers }

// consume uses up one of the counted faults.
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

// Errors of the faults; each stand-in maps them to its interface's kinds.
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

// apply runs effect between the faults. failed maps an error of the faults to
// the interface's kinds; begun says whether effect ran.
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

// failedRead is for methods without effect.
func failedRead(kind garnetworks.Kind) func(error, bool) error {
	return func(err error, _ bool) error {
		return garnetworks.WrapError(kind, err, "no answer")
	}
}

// failedWrite is for methods with an effect.
func failedWrite(kind garnetworks.Kind) func(error, bool) error {
	return func(err error, begun bool) error {
		if begun {
			return garnetworks.WrapError(garnetworks.KindResponseLost, err, "no answer after the effect")
		}
		return garnetworks.WrapError(kind, err, "not carried out")
	}
}
