package checker_test

import (
	"context"
	"errors"
	"io"
	"maps"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/checker"
)

// Each suite must notice an implementation that is broken in one way. The
// tables name the way and a case that must fail of it.

// bite is an implementation that is broken on purpose.
type bite[B any] struct {
	breakIt func(bed B) B
	noticed string
}

func checkBites[B any](t *testing.T, open func(w *world) B, cases map[string]checker.Case[B], bites map[string]bite[B]) {
	if testing.Short() {
		t.Skip("broken implementations are waited for")
	}
	for name, b := range bites {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			one, ok := cases[b.noticed]
			if !ok {
				t.Fatalf("no case %q among %v", b.noticed, slices.Sorted(maps.Keys(cases)))
			}
			broken := func(t *testing.T) B { return b.breakIt(open(newWorld(t, false))) }
			failed := checker.Failures(t, broken, map[string]checker.Case[B]{b.noticed: one})
			if len(failed) == 0 {
				t.Errorf("the case %q passes", b.noticed)
			}
		})
	}
}

// brokenObjects overrides single methods of an object API.
type brokenObjects struct {
	garnetworks.ObjectAPI
	get    func(ctx context.Context, key string) (garnetworks.Object, error)
	put    func(ctx context.Context, key string, value []byte, after garnetworks.Revision) (garnetworks.Revision, error)
	delete func(ctx context.Context, key string, after garnetworks.Revision) error
	list   func(ctx context.Context, prefix string) ([]garnetworks.Object, garnetworks.Revision, error)
	watch  func(ctx context.Context, prefix string, after garnetworks.Revision, wait time.Duration) ([]garnetworks.Object, garnetworks.Revision, error)
}

func (b *brokenObjects) Get(ctx context.Context, key string) (garnetworks.Object, error) {
	if b.get != nil {
		return b.get(ctx, key)
	}
	return b.ObjectAPI.Get(ctx, key)
}

func (b *brokenObjects) Put(ctx context.Context, key string, value []byte, after garnetworks.Revision) (garnetworks.Revision, error) {
	if b.put != nil {
		return b.put(ctx, key, value, after)
	}
	return b.ObjectAPI.Put(ctx, key, value, after)
}

func (b *brokenObjects) Delete(ctx context.Context, key string, after garnetworks.Revision) error {
	if b.delete != nil {
		return b.delete(ctx, key, after)
	}
	return b.ObjectAPI.Delete(ctx, key, after)
}

func (b *brokenObjects) List(ctx context.Context, prefix string) ([]garnetworks.Object, garnetworks.Revision, error) {
	if b.list != nil {
		return b.list(ctx, prefix)
	}
	return b.ObjectAPI.List(ctx, prefix)
}

func (b *brokenObjects) Watch(ctx context.Context, prefix string, after garnetworks.Revision, wait time.Duration) ([]garnetworks.Object, garnetworks.Revision, error) {
	if b.watch != nil {
		return b.watch(ctx, prefix, after, wait)
	}
	return b.ObjectAPI.Watch(ctx, prefix, after, wait)
}

// breakObjects returns a bite that changes some methods.
func breakObjects(noticed string, change func(b *brokenObjects, next garnetworks.ObjectAPI)) bite[checker.ObjectAPIBed] {
	return bite[checker.ObjectAPIBed]{noticed: noticed, breakIt: func(bed checker.ObjectAPIBed) checker.ObjectAPIBed {
		b := &brokenObjects{ObjectAPI: bed.API}
		change(b, bed.API)
		bed.API = b
		return bed
	}}
}

// newest writes unconditionally: it reads the revision and uses that.
func newest(next garnetworks.ObjectAPI) func(context.Context, string, []byte, garnetworks.Revision) (garnetworks.Revision, error) {
	return func(ctx context.Context, key string, value []byte, _ garnetworks.Revision) (garnetworks.Revision, error) {
		object, _ := next.Get(ctx, key)
		return next.Put(ctx, key, value, object.Revision)
	}
}

func TestObjectAPIBites(t *testing.T) {
	t.Parallel()
	checkBites(t, objectAPIBed, checker.ObjectAPICases(), map[string]bite[checker.ObjectAPIBed]{
		"creates over existing objects": breakObjects("create refuses an existing object", func(b *brokenObjects, next garnetworks.ObjectAPI) {
			b.put = newest(next)
		}),
		"updates at any revision": breakObjects("update needs the newest revision", func(b *brokenObjects, next garnetworks.ObjectAPI) {
			b.put = newest(next)
		}),
		"lets all racing writers win": breakObjects("one of many racing writers wins", func(b *brokenObjects, next garnetworks.ObjectAPI) {
			b.put = func(ctx context.Context, key string, value []byte, after garnetworks.Revision) (garnetworks.Revision, error) {
				revision, err := next.Put(ctx, key, value, after)
				if garnetworks.IsKind(err, garnetworks.KindConflict) {
					return after + 1, nil
				}
				return revision, err
			}
		}),
		"retries a lost write and says conflict": breakObjects("a lost write is neither failed nor done", func(b *brokenObjects, next garnetworks.ObjectAPI) {
			b.put = func(ctx context.Context, key string, value []byte, after garnetworks.Revision) (garnetworks.Revision, error) {
				revision, err := next.Put(ctx, key, value, after)
				if garnetworks.IsKind(err, garnetworks.KindResponseLost) {
					return next.Put(ctx, key, value, after)
				}
				return revision, err
			}
		}),
		"says that a lost write had no effect": breakObjects("a late answer is a lost one", func(b *brokenObjects, next garnetworks.ObjectAPI) {
			b.put = func(ctx context.Context, key string, value []byte, after garnetworks.Revision) (garnetworks.Revision, error) {
				revision, err := next.Put(ctx, key, value, after)
				if err != nil {
					err = garnetworks.Errorf(garnetworks.KindObjectAPIDown, "failed")
				}
				return revision, err
			}
		}),
		"says that a lost delete had no effect": breakObjects("a lost delete is neither failed nor done", func(b *brokenObjects, next garnetworks.ObjectAPI) {
			b.delete = func(ctx context.Context, key string, after garnetworks.Revision) error {
				return garnetworks.WrapError(garnetworks.KindObjectAPIDown, next.Delete(ctx, key, after), "failed")
			}
		}),
		"takes an outage for absence": breakObjects("an outage is said and ends", func(b *brokenObjects, next garnetworks.ObjectAPI) {
			b.get = func(ctx context.Context, key string) (garnetworks.Object, error) {
				object, err := next.Get(ctx, key)
				return object, garnetworks.WrapError(garnetworks.KindNotFound, err, "no object")
			}
		}),
		"ignores the context": breakObjects("a frozen store holds nobody beyond the context", func(b *brokenObjects, next garnetworks.ObjectAPI) {
			b.get = func(ctx context.Context, key string) (garnetworks.Object, error) {
				return next.Get(context.WithoutCancel(ctx), key)
			}
		}),
		"lists everything": breakObjects("list is by prefix and in key order", func(b *brokenObjects, next garnetworks.ObjectAPI) {
			b.list = func(ctx context.Context, _ string) ([]garnetworks.Object, garnetworks.Revision, error) {
				return next.List(ctx, "")
			}
		}),
		"watches out of order": breakObjects("watch returns changes in order", func(b *brokenObjects, next garnetworks.ObjectAPI) {
			b.watch = func(ctx context.Context, prefix string, after garnetworks.Revision, wait time.Duration) ([]garnetworks.Object, garnetworks.Revision, error) {
				changes, revision, err := next.Watch(ctx, prefix, after, wait)
				slices.Reverse(changes)
				return changes, revision, err
			}
		}),
		"hides compaction": breakObjects("compacted history is said", func(b *brokenObjects, next garnetworks.ObjectAPI) {
			b.watch = func(ctx context.Context, prefix string, after garnetworks.Revision, wait time.Duration) ([]garnetworks.Object, garnetworks.Revision, error) {
				changes, revision, err := next.Watch(ctx, prefix, after, wait)
				if garnetworks.IsKind(err, garnetworks.KindCompacted) {
					return nil, after, nil
				}
				return changes, revision, err
			}
		}),
		"sleeps through changes": breakObjects("watch wakes on a change", func(b *brokenObjects, next garnetworks.ObjectAPI) {
			b.watch = func(ctx context.Context, prefix string, after garnetworks.Revision, wait time.Duration) ([]garnetworks.Object, garnetworks.Revision, error) {
				time.Sleep(wait)
				return next.Watch(ctx, prefix, after, 0)
			}
		}),
		"cuts large values": breakObjects("values have a bound", func(b *brokenObjects, next garnetworks.ObjectAPI) {
			b.put = func(ctx context.Context, key string, value []byte, after garnetworks.Revision) (garnetworks.Revision, error) {
				return next.Put(ctx, key, value[:min(len(value), garnetworks.MaxObjectBytes)], after)
			}
		}),
		"throttles without a delay": breakObjects("throttling is said with a delay", func(b *brokenObjects, next garnetworks.ObjectAPI) {
			b.get = func(ctx context.Context, key string) (garnetworks.Object, error) {
				object, err := next.Get(ctx, key)
				if err != nil {
					err = garnetworks.Errorf(garnetworks.KindOf(err), "failed")
				}
				return object, err
			}
		}),
	})
}

// brokenCaller changes the streams or errors of an engine caller.
type brokenCaller struct {
	garnetworks.EngineCaller
	call   func(call *garnetworks.EngineCall)
	stream func(stream garnetworks.EngineStream) garnetworks.EngineStream
	fail   func(err error) error
}

func (b *brokenCaller) Generate(ctx context.Context, address string, call *garnetworks.EngineCall) (garnetworks.EngineStream, error) {
	changed := *call
	if b.call != nil {
		b.call(&changed)
	}
	stream, err := b.EngineCaller.Generate(ctx, address, &changed)
	if err != nil && b.fail != nil {
		return nil, b.fail(err)
	}
	if err == nil && b.stream != nil {
		stream = b.stream(stream)
	}
	return stream, err
}

// brokenStream changes what Next returns.
type brokenStream struct {
	garnetworks.EngineStream
	next  func(chunk *garnetworks.Chunk, err error) error
	close func() error
}

func (b *brokenStream) Next(chunk *garnetworks.Chunk) error {
	err := b.EngineStream.Next(chunk)
	if b.next != nil {
		return b.next(chunk, err)
	}
	return err
}

func (b *brokenStream) Close() error {
	if b.close != nil {
		return b.close()
	}
	return b.EngineStream.Close()
}

func breakCaller(noticed string, change func(b *brokenCaller)) bite[checker.EngineCallerBed] {
	return bite[checker.EngineCallerBed]{noticed: noticed, breakIt: func(bed checker.EngineCallerBed) checker.EngineCallerBed {
		b := &brokenCaller{EngineCaller: bed.Caller}
		change(b)
		bed.Caller = b
		return bed
	}}
}

func breakNext(noticed string, next func(chunk *garnetworks.Chunk, err error) error) bite[checker.EngineCallerBed] {
	return breakCaller(noticed, func(b *brokenCaller) {
		b.stream = func(s garnetworks.EngineStream) garnetworks.EngineStream {
			return &brokenStream{EngineStream: s, next: next}
		}
	})
}

// inPhase makes an attempt's failure look like one in another phase.
func inPhase(phase garnetworks.CallPhase) func(error) error {
	return func(err error) error { return &garnetworks.AttemptError{Phase: phase, Cause: err} }
}

func TestEngineCallerBites(t *testing.T) {
	t.Parallel()
	endBroken := func(chunk *garnetworks.Chunk, err error) error {
		var attempt *garnetworks.AttemptError
		if errors.As(err, &attempt) {
			chunk.End, chunk.Tokens, chunk.Text = true, 0, ""
			return nil
		}
		return err
	}
	endOfFile := func(_ *garnetworks.Chunk, err error) error {
		if err != nil {
			return io.EOF
		}
		return nil
	}
	checkBites(t, engineCallerBed, checker.EngineCallerCases(), map[string]bite[checker.EngineCallerBed]{
		"ends broken answers":             breakNext("a broken answer is never whole", endBroken),
		"ends answers of dead engines":    breakNext("an engine that dies in the middle is said", endOfFile),
		"ends answers of broken groups":   breakNext("a member lost in the middle breaks the answer", endBroken),
		"ends crossed answers":            breakNext("a crossed answer is dropped", endBroken),
		"ends after an error":             breakNext("an error lasts", endOfFile),
		"loses the silence":               breakNext("a silent connection is noticed", func(_ *garnetworks.Chunk, err error) error { return silenced(err) }),
		"loses the silence of the frozen": breakNext("a frozen engine is noticed", func(_ *garnetworks.Chunk, err error) error { return silenced(err) }),
		"numbers from 0 after a resumption": breakNext("an answer resumes", func(chunk *garnetworks.Chunk, err error) error {
			chunk.Index = 0
			return err
		}),
		"drops the end": breakNext("an answer is whole and its own", func(chunk *garnetworks.Chunk, err error) error {
			chunk.End = false
			return err
		}),
		"never cancels": breakCaller("closing cancels", func(b *brokenCaller) {
			b.stream = func(s garnetworks.EngineStream) garnetworks.EngineStream {
				return &brokenStream{EngineStream: s, close: func() error { return nil }}
			}
		}),
		"starts again in place of resuming": breakCaller("an answer resumes", func(b *brokenCaller) {
			b.call = func(call *garnetworks.EngineCall) { call.ResumeFrom = 0 }
		}),
		"trims prompts": breakCaller("odd prompts survive", func(b *brokenCaller) {
			b.call = func(call *garnetworks.EngineCall) { call.Prompt = call.Prompt[:1] }
		}),
		"calls a refusal lost": breakCaller("a call with an old token is refused", func(b *brokenCaller) {
			b.fail = inPhase(garnetworks.PhaseWait)
		}),
		"calls lost answers refused": breakCaller("a lost answer may have run", func(b *brokenCaller) {
			b.fail = inPhase(garnetworks.PhaseRefused)
		}),
		"calls missing listeners lost": breakCaller("nobody listens", func(b *brokenCaller) {
			b.fail = inPhase(garnetworks.PhaseWait)
		}),
	})
}

// silenced takes the mark of silence off an error.
func silenced(err error) error {
	var attempt *garnetworks.AttemptError
	if errors.As(err, &attempt) {
		return &garnetworks.AttemptError{Phase: attempt.Phase}
	}
	return err
}

// brokenServices changes calls or answers of a service caller.
type brokenServices func(ctx context.Context, address string, call *garnetworks.ServiceCall) (garnetworks.ServiceResponse, error)

func (b brokenServices) Call(ctx context.Context, address string, call *garnetworks.ServiceCall) (garnetworks.ServiceResponse, error) {
	return b(ctx, address, call)
}

func breakServices(noticed string, change func(next garnetworks.ServiceCaller) brokenServices) bite[checker.ServiceCallerBed] {
	return bite[checker.ServiceCallerBed]{noticed: noticed, breakIt: func(bed checker.ServiceCallerBed) checker.ServiceCallerBed {
		bed.Caller = change(bed.Caller)
		bed.DropConnections = func() {}
		return bed
	}}
}

func TestServiceCallerBites(t *testing.T) {
	t.Parallel()
	repeats := func(next garnetworks.ServiceCaller) brokenServices {
		return func(ctx context.Context, address string, call *garnetworks.ServiceCall) (garnetworks.ServiceResponse, error) {
			answer, err := next.Call(ctx, address, call)
			if err != nil {
				return next.Call(ctx, address, call)
			}
			return answer, nil
		}
	}
	fails := func(phase garnetworks.CallPhase) func(next garnetworks.ServiceCaller) brokenServices {
		return func(next garnetworks.ServiceCaller) brokenServices {
			return func(ctx context.Context, address string, call *garnetworks.ServiceCall) (garnetworks.ServiceResponse, error) {
				answer, err := next.Call(ctx, address, call)
				if err != nil {
					return answer, &garnetworks.AttemptError{Phase: phase}
				}
				return answer, nil
			}
		}
	}
	checkBites(t, serviceCallerBed, checker.ServiceCallerCases(), map[string]bite[checker.ServiceCallerBed]{
		"repeats failed calls":         breakServices("broken pooled connections never repeat a call", repeats),
		"repeats lost calls":           breakServices("a lost answer may have run", repeats),
		"calls lost answers refused":   breakServices("a lost answer may have run", fails(garnetworks.PhaseRefused)),
		"calls everything unsent":      breakServices("a truncated answer may have run", fails(garnetworks.PhaseConnect)),
		"calls resets refused":         breakServices("a server that is down is never a refusal", fails(garnetworks.PhaseRefused)),
		"calls refusals lost":          breakServices("a leaving server refuses", fails(garnetworks.PhaseWait)),
		"calls missing listeners lost": breakServices("nobody listens", fails(garnetworks.PhaseWait)),
		"passes crossed answers": breakServices("a crossed answer is dropped", func(next garnetworks.ServiceCaller) brokenServices {
			return func(ctx context.Context, address string, call *garnetworks.ServiceCall) (garnetworks.ServiceResponse, error) {
				answer, err := next.Call(ctx, address, call)
				if err != nil {
					return garnetworks.ServiceResponse{ID: call.ID, Status: 200, Body: []byte("another's")}, nil
				}
				return answer, nil
			}
		}),
		"drops the key": breakServices("a call runs once and is answered", func(next garnetworks.ServiceCaller) brokenServices {
			return func(ctx context.Context, address string, call *garnetworks.ServiceCall) (garnetworks.ServiceResponse, error) {
				changed := *call
				changed.IdempotencyKey = ""
				return next.Call(ctx, address, &changed)
			}
		}),
	})
}

// brokenOrders changes orders or their errors.
type brokenOrders struct {
	garnetworks.EngineOrders
	order func(order garnetworks.EngineOrder) garnetworks.EngineOrder
	fail  func(err error) error
}

func (b *brokenOrders) Order(ctx context.Context, address string, order garnetworks.EngineOrder) (garnetworks.EngineStatus, error) {
	if b.order != nil {
		order = b.order(order)
	}
	status, err := b.EngineOrders.Order(ctx, address, order)
	if err != nil && b.fail != nil {
		err = b.fail(err)
	}
	return status, err
}

func TestEngineOrdersBites(t *testing.T) {
	t.Parallel()
	breakOrders := func(noticed string, b brokenOrders) bite[checker.EngineOrdersBed] {
		return bite[checker.EngineOrdersBed]{noticed: noticed, breakIt: func(bed checker.EngineOrdersBed) checker.EngineOrdersBed {
			broken := b
			broken.EngineOrders = bed.Orders
			bed.Orders = &broken
			return bed
		}}
	}
	unreachable := func(error) error { return garnetworks.Errorf(garnetworks.KindUnreachable, "failed") }
	checkBites(t, engineOrdersBed, checker.EngineOrdersCases(), map[string]bite[checker.EngineOrdersBed]{
		"drops tokens": breakOrders("form makes a member that gets ready", brokenOrders{order: func(o garnetworks.EngineOrder) garnetworks.EngineOrder {
			o.Token = garnetworks.FencingToken(uint32(o.Token))
			return o
		}}),
		"raises tokens": breakOrders("an old token is refused by an engine that checks", brokenOrders{order: func(o garnetworks.EngineOrder) garnetworks.EngineOrder {
			o.Token = 1 << 60
			return o
		}}),
		"makes up identifiers": breakOrders("a lost answer is neither failed nor done", brokenOrders{order: func(o garnetworks.EngineOrder) garnetworks.EngineOrder {
			o.ID += "-again"
			return o
		}}),
		"calls lost answers unreachable": breakOrders("a lost answer is neither failed nor done", brokenOrders{fail: unreachable}),
		"calls stale tokens unreachable": breakOrders("an old token is refused by an engine that checks", brokenOrders{fail: unreachable}),
		"swallows unknown orders":        breakOrders("an unknown order is an error", brokenOrders{fail: func(error) error { return nil }}),
	})
}

// brokenPower changes errors and states of a power switch.
type brokenPower struct {
	garnetworks.PowerSwitch
	order func(order garnetworks.PowerOrder) garnetworks.PowerOrder
	fail  func(err error) error
	state func(state garnetworks.PowerState, err error) (garnetworks.PowerState, error)
}

func (b *brokenPower) SetPower(ctx context.Context, order garnetworks.PowerOrder) error {
	if b.order != nil {
		order = b.order(order)
	}
	err := b.PowerSwitch.SetPower(ctx, order)
	if err != nil && b.fail != nil {
		err = b.fail(err)
	}
	return err
}

func (b *brokenPower) Power(ctx context.Context, instance garnetworks.InstanceID) (garnetworks.PowerState, error) {
	state, err := b.PowerSwitch.Power(ctx, instance)
	if b.state != nil {
		return b.state(state, err)
	}
	return state, err
}

func TestPowerSwitchBites(t *testing.T) {
	t.Parallel()
	breakPower := func(noticed string, b brokenPower) bite[checker.PowerSwitchBed] {
		return bite[checker.PowerSwitchBed]{noticed: noticed, breakIt: func(bed checker.PowerSwitchBed) checker.PowerSwitchBed {
			broken := b
			broken.PowerSwitch = bed.Power
			bed.Power = &broken
			return bed
		}}
	}
	offWhenUnknown := func(state garnetworks.PowerState, err error) (garnetworks.PowerState, error) {
		if err != nil {
			return garnetworks.PowerOff, nil
		}
		return state, nil
	}
	var numbers atomic.Int32
	checkBites(t, powerSwitchBed, checker.PowerSwitchCases(), map[string]bite[checker.PowerSwitchBed]{
		"takes outages for off":           breakPower("an outage proves nothing", brokenPower{state: offWhenUnknown}),
		"takes unknown instances for off": breakPower("an unknown instance is said", brokenPower{state: offWhenUnknown}),
		"calls lost orders failed": breakPower("a lost answer is neither failed nor done", brokenPower{fail: func(error) error {
			return garnetworks.Errorf(garnetworks.KindUnreachable, "failed")
		}}),
		"raises tokens": breakPower("an old token is refused", brokenPower{order: func(o garnetworks.PowerOrder) garnetworks.PowerOrder {
			o.Token = 1 << 60
			return o
		}}),
		"makes up identifiers": breakPower("a repeated order takes effect once", brokenPower{order: func(o garnetworks.PowerOrder) garnetworks.PowerOrder {
			o.ID += string(rune('a' + numbers.Add(1)))
			return o
		}}),
	})
}
