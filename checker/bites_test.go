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

// These tests inject one defect at a time into an implementation and check that the named
// case of the contract suite fails (rule K3).

// defect changes an implementation so that it breaks its contract.
type defect[B any] struct {
	inject     func(fixture B) B
	detectedBy string
}

func testDefects[B any](t *testing.T, newFixture func(f *fakes) B, cases map[string]checker.Case[B], defects map[string]defect[B]) {
	if testing.Short() {
		t.Skip("many of these cases fail only by their timeout")
	}
	for name, b := range defects {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c, ok := cases[b.detectedBy]
			if !ok {
				t.Fatalf("no case %q among %v", b.detectedBy, slices.Sorted(maps.Keys(cases)))
			}
			broken := func(t *testing.T) B { return b.inject(newFixture(newFakes(t, false, nil))) }
			failed := checker.Failures(t, broken, map[string]checker.Case[B]{b.detectedBy: c})
			if len(failed) == 0 {
				t.Errorf("the case %q passes", b.detectedBy)
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

// objectDefect returns a defect that overrides methods of the object API.
func objectDefect(detectedBy string, change func(b *brokenObjects, next garnetworks.ObjectAPI)) defect[checker.ObjectAPIFixture] {
	return defect[checker.ObjectAPIFixture]{detectedBy: detectedBy, inject: func(fixture checker.ObjectAPIFixture) checker.ObjectAPIFixture {
		b := &brokenObjects{ObjectAPI: fixture.API}
		change(b, fixture.API)
		fixture.API = b
		return fixture
	}}
}

// putUnconditionally returns a Put that ignores the given revision and overwrites the current
// one.
func putUnconditionally(next garnetworks.ObjectAPI) func(context.Context, string, []byte, garnetworks.Revision) (garnetworks.Revision, error) {
	return func(ctx context.Context, key string, value []byte, _ garnetworks.Revision) (garnetworks.Revision, error) {
		object, _ := next.Get(ctx, key)
		return next.Put(ctx, key, value, object.Revision)
	}
}

func TestObjectAPIDefectsAreDetected(t *testing.T) {
	t.Parallel()
	testDefects(t, objectAPIFixture, checker.ObjectAPICases(), map[string]defect[checker.ObjectAPIFixture]{
		"creates over existing objects": objectDefect("create refuses an existing object", func(b *brokenObjects, next garnetworks.ObjectAPI) {
			b.put = putUnconditionally(next)
		}),
		"updates at any revision": objectDefect("update requires the newest revision", func(b *brokenObjects, next garnetworks.ObjectAPI) {
			b.put = putUnconditionally(next)
		}),
		"lets all concurrent writers succeed": objectDefect("exactly one concurrent writer succeeds", func(b *brokenObjects, next garnetworks.ObjectAPI) {
			b.put = func(ctx context.Context, key string, value []byte, after garnetworks.Revision) (garnetworks.Revision, error) {
				revision, err := next.Put(ctx, key, value, after)
				if garnetworks.IsKind(err, garnetworks.KindConflict) {
					return after + 1, nil
				}
				return revision, err
			}
		}),
		"retries a write with a lost response and returns conflict": objectDefect("a write with a lost response has an unknown outcome", func(b *brokenObjects, next garnetworks.ObjectAPI) {
			b.put = func(ctx context.Context, key string, value []byte, after garnetworks.Revision) (garnetworks.Revision, error) {
				revision, err := next.Put(ctx, key, value, after)
				if garnetworks.IsKind(err, garnetworks.KindResponseLost) {
					return next.Put(ctx, key, value, after)
				}
				return revision, err
			}
		}),
		"reports a write with a lost response as failed": objectDefect("a late response counts as lost", func(b *brokenObjects, next garnetworks.ObjectAPI) {
			b.put = func(ctx context.Context, key string, value []byte, after garnetworks.Revision) (garnetworks.Revision, error) {
				revision, err := next.Put(ctx, key, value, after)
				if err != nil {
					err = garnetworks.Errorf(garnetworks.KindObjectAPIDown, "failed")
				}
				return revision, err
			}
		}),
		"reports a delete with a lost response as failed": objectDefect("a delete with a lost response has an unknown outcome", func(b *brokenObjects, next garnetworks.ObjectAPI) {
			b.delete = func(ctx context.Context, key string, after garnetworks.Revision) error {
				return garnetworks.WrapError(garnetworks.KindObjectAPIDown, next.Delete(ctx, key, after), "failed")
			}
		}),
		"reports an outage as an absent object": objectDefect("an outage is reported and ends", func(b *brokenObjects, next garnetworks.ObjectAPI) {
			b.get = func(ctx context.Context, key string) (garnetworks.Object, error) {
				object, err := next.Get(ctx, key)
				return object, garnetworks.WrapError(garnetworks.KindNotFound, err, "no object")
			}
		}),
		"ignores the context": objectDefect("a frozen store blocks no call beyond its context", func(b *brokenObjects, next garnetworks.ObjectAPI) {
			b.get = func(ctx context.Context, key string) (garnetworks.Object, error) {
				return next.Get(context.WithoutCancel(ctx), key)
			}
		}),
		"lists everything": objectDefect("list is by prefix and in key order", func(b *brokenObjects, next garnetworks.ObjectAPI) {
			b.list = func(ctx context.Context, _ string) ([]garnetworks.Object, garnetworks.Revision, error) {
				return next.List(ctx, "")
			}
		}),
		"returns changes out of order": objectDefect("watch returns changes in order", func(b *brokenObjects, next garnetworks.ObjectAPI) {
			b.watch = func(ctx context.Context, prefix string, after garnetworks.Revision, wait time.Duration) ([]garnetworks.Object, garnetworks.Revision, error) {
				changes, revision, err := next.Watch(ctx, prefix, after, wait)
				slices.Reverse(changes)
				return changes, revision, err
			}
		}),
		"hides compaction": objectDefect("compacted history is reported", func(b *brokenObjects, next garnetworks.ObjectAPI) {
			b.watch = func(ctx context.Context, prefix string, after garnetworks.Revision, wait time.Duration) ([]garnetworks.Object, garnetworks.Revision, error) {
				changes, revision, err := next.Watch(ctx, prefix, after, wait)
				if garnetworks.IsKind(err, garnetworks.KindCompacted) {
					return nil, after, nil
				}
				return changes, revision, err
			}
		}),
		"returns changes only after the wait": objectDefect("watch returns on a change", func(b *brokenObjects, next garnetworks.ObjectAPI) {
			b.watch = func(ctx context.Context, prefix string, after garnetworks.Revision, wait time.Duration) ([]garnetworks.Object, garnetworks.Revision, error) {
				time.Sleep(wait)
				return next.Watch(ctx, prefix, after, 0)
			}
		}),
		"truncates large values": objectDefect("value sizes are limited", func(b *brokenObjects, next garnetworks.ObjectAPI) {
			b.put = func(ctx context.Context, key string, value []byte, after garnetworks.Revision) (garnetworks.Revision, error) {
				return next.Put(ctx, key, value[:min(len(value), garnetworks.MaxObjectBytes)], after)
			}
		}),
		"throttles without a delay": objectDefect("throttling returns a retry delay", func(b *brokenObjects, next garnetworks.ObjectAPI) {
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

// brokenCaller changes the calls, streams or errors of an engine caller.
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

// brokenStream overrides the results of Next, and Close.
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

func callerDefect(detectedBy string, change func(b *brokenCaller)) defect[checker.EngineCallerFixture] {
	return defect[checker.EngineCallerFixture]{detectedBy: detectedBy, inject: func(fixture checker.EngineCallerFixture) checker.EngineCallerFixture {
		b := &brokenCaller{EngineCaller: fixture.Caller}
		change(b)
		fixture.Caller = b
		return fixture
	}}
}

func nextDefect(detectedBy string, next func(chunk *garnetworks.Chunk, err error) error) defect[checker.EngineCallerFixture] {
	return callerDefect(detectedBy, func(b *brokenCaller) {
		b.stream = func(s garnetworks.EngineStream) garnetworks.EngineStream {
			return &brokenStream{EngineStream: s, next: next}
		}
	})
}

// inPhase replaces an attempt's error by one in another phase.
func inPhase(phase garnetworks.CallPhase) func(error) error {
	return func(err error) error { return &garnetworks.AttemptError{Phase: phase, Cause: err} }
}

func TestEngineCallerDefectsAreDetected(t *testing.T) {
	t.Parallel()
	endIncomplete := func(chunk *garnetworks.Chunk, err error) error {
		var attempt *garnetworks.AttemptError
		if errors.As(err, &attempt) {
			chunk.End, chunk.Tokens, chunk.Text = true, 0, ""
			return nil
		}
		return err
	}
	eofOnError := func(_ *garnetworks.Chunk, err error) error {
		if err != nil {
			return io.EOF
		}
		return nil
	}
	testDefects(t, engineCallerFixture, checker.EngineCallerCases(), map[string]defect[checker.EngineCallerFixture]{
		"ends truncated responses":                nextDefect("a truncated response is never complete", endIncomplete),
		"ends responses of stopped engines":       nextDefect("an engine that stops mid-response is reported", eofOnError),
		"ends responses of incomplete groups":     nextDefect("losing a member mid-response fails the response", endIncomplete),
		"ends mismatched responses":               nextDefect("a mismatched response is dropped", endIncomplete),
		"returns EOF after an error":              nextDefect("an error is permanent", eofOnError),
		"clears Stalled for a stalled connection": nextDefect("a stalled connection is detected", func(_ *garnetworks.Chunk, err error) error { return withoutStalled(err) }),
		"clears Stalled for a frozen engine":      nextDefect("a frozen engine is detected", func(_ *garnetworks.Chunk, err error) error { return withoutStalled(err) }),
		"numbers tokens from 0 after resuming": nextDefect("a response resumes", func(chunk *garnetworks.Chunk, err error) error {
			chunk.Index = 0
			return err
		}),
		"drops the end marker": nextDefect("a response is complete and belongs to its call", func(chunk *garnetworks.Chunk, err error) error {
			chunk.End = false
			return err
		}),
		"never cancels": callerDefect("closing the stream cancels the call", func(b *brokenCaller) {
			b.stream = func(s garnetworks.EngineStream) garnetworks.EngineStream {
				return &brokenStream{EngineStream: s, close: func() error { return nil }}
			}
		}),
		"restarts in place of resuming": callerDefect("a response resumes", func(b *brokenCaller) {
			b.call = func(call *garnetworks.EngineCall) { call.ResumeFrom = 0 }
		}),
		"truncates prompts": callerDefect("unusual prompts arrive unchanged", func(b *brokenCaller) {
			b.call = func(call *garnetworks.EngineCall) { call.Prompt = call.Prompt[:1] }
		}),
		"reports a refusal as lost": callerDefect("a call with a stale fencing token is refused", func(b *brokenCaller) {
			b.fail = inPhase(garnetworks.PhaseWait)
		}),
		"reports lost responses as refused": callerDefect("a call with a lost response may have run", func(b *brokenCaller) {
			b.fail = inPhase(garnetworks.PhaseRefused)
		}),
		"reports missing listeners as lost": callerDefect("no listener", func(b *brokenCaller) {
			b.fail = inPhase(garnetworks.PhaseWait)
		}),
	})
}

// withoutStalled clears Stalled in an AttemptError.
func withoutStalled(err error) error {
	var attempt *garnetworks.AttemptError
	if errors.As(err, &attempt) {
		return &garnetworks.AttemptError{Phase: attempt.Phase}
	}
	return err
}

// brokenServices replaces the Call method of a service caller.
type brokenServices func(ctx context.Context, address string, call *garnetworks.ServiceCall) (garnetworks.ServiceResponse, error)

func (b brokenServices) Call(ctx context.Context, address string, call *garnetworks.ServiceCall) (garnetworks.ServiceResponse, error) {
	return b(ctx, address, call)
}

func serviceDefect(detectedBy string, change func(next garnetworks.ServiceCaller) brokenServices) defect[checker.ServiceCallerFixture] {
	return defect[checker.ServiceCallerFixture]{detectedBy: detectedBy, inject: func(fixture checker.ServiceCallerFixture) checker.ServiceCallerFixture {
		fixture.Caller = change(fixture.Caller)
		fixture.DropConnections = func() {}
		return fixture
	}}
}

func TestServiceCallerDefectsAreDetected(t *testing.T) {
	t.Parallel()
	retry := func(next garnetworks.ServiceCaller) brokenServices {
		return func(ctx context.Context, address string, call *garnetworks.ServiceCall) (garnetworks.ServiceResponse, error) {
			response, err := next.Call(ctx, address, call)
			if err != nil {
				return next.Call(ctx, address, call)
			}
			return response, nil
		}
	}
	failIn := func(phase garnetworks.CallPhase) func(next garnetworks.ServiceCaller) brokenServices {
		return func(next garnetworks.ServiceCaller) brokenServices {
			return func(ctx context.Context, address string, call *garnetworks.ServiceCall) (garnetworks.ServiceResponse, error) {
				response, err := next.Call(ctx, address, call)
				if err != nil {
					return response, &garnetworks.AttemptError{Phase: phase}
				}
				return response, nil
			}
		}
	}
	testDefects(t, serviceCallerFixture, checker.ServiceCallerCases(), map[string]defect[checker.ServiceCallerFixture]{
		"repeats failed calls":              serviceDefect("broken pooled connections never repeat a call", retry),
		"repeats calls with lost responses": serviceDefect("a call with a lost response may have run", retry),
		"reports lost responses as refused": serviceDefect("a call with a lost response may have run", failIn(garnetworks.PhaseRefused)),
		"reports every failure as unsent":   serviceDefect("a call with a truncated response may have run", failIn(garnetworks.PhaseConnect)),
		"reports resets as refused":         serviceDefect("a server that is down is never a refusal", failIn(garnetworks.PhaseRefused)),
		"reports refusals as lost":          serviceDefect("a leaving server refuses", failIn(garnetworks.PhaseWait)),
		"reports missing listeners as lost": serviceDefect("no listener", failIn(garnetworks.PhaseWait)),
		"passes mismatched responses": serviceDefect("a mismatched response is dropped", func(next garnetworks.ServiceCaller) brokenServices {
			return func(ctx context.Context, address string, call *garnetworks.ServiceCall) (garnetworks.ServiceResponse, error) {
				response, err := next.Call(ctx, address, call)
				if err != nil {
					return garnetworks.ServiceResponse{ID: call.ID, Status: 200, Body: []byte("another's")}, nil
				}
				return response, nil
			}
		}),
		"drops the idempotency key": serviceDefect("a call runs once and its response arrives", func(next garnetworks.ServiceCaller) brokenServices {
			return func(ctx context.Context, address string, call *garnetworks.ServiceCall) (garnetworks.ServiceResponse, error) {
				changed := *call
				changed.IdempotencyKey = ""
				return next.Call(ctx, address, &changed)
			}
		}),
	})
}

// brokenOrders changes orders, or the errors that they return.
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

func TestEngineOrdersDefectsAreDetected(t *testing.T) {
	t.Parallel()
	orderDefect := func(detectedBy string, b brokenOrders) defect[checker.EngineOrdersFixture] {
		return defect[checker.EngineOrdersFixture]{detectedBy: detectedBy, inject: func(fixture checker.EngineOrdersFixture) checker.EngineOrdersFixture {
			broken := b
			broken.EngineOrders = fixture.Orders
			fixture.Orders = &broken
			return fixture
		}}
	}
	unreachable := func(error) error { return garnetworks.Errorf(garnetworks.KindUnreachable, "failed") }
	testDefects(t, engineOrdersFixture, checker.EngineOrdersCases(), map[string]defect[checker.EngineOrdersFixture]{
		"truncates fencing tokens": orderDefect("form makes the engine a member that becomes ready", brokenOrders{order: func(o garnetworks.EngineOrder) garnetworks.EngineOrder {
			o.Token = garnetworks.FencingToken(uint32(o.Token))
			return o
		}}),
		"raises fencing tokens": orderDefect("a stale fencing token is refused by an engine that checks tokens", brokenOrders{order: func(o garnetworks.EngineOrder) garnetworks.EngineOrder {
			o.Token = 1 << 60
			return o
		}}),
		"changes order identifiers": orderDefect("an order with a lost response has an unknown outcome", brokenOrders{order: func(o garnetworks.EngineOrder) garnetworks.EngineOrder {
			o.ID += "-again"
			return o
		}}),
		"reports lost responses as unreachable": orderDefect("an order with a lost response has an unknown outcome", brokenOrders{fail: unreachable}),
		"reports stale tokens as unreachable":   orderDefect("a stale fencing token is refused by an engine that checks tokens", brokenOrders{fail: unreachable}),
		"ignores unknown orders":                orderDefect("an unknown order is an error", brokenOrders{fail: func(error) error { return nil }}),
	})
}

// brokenPower changes the orders, errors and power states of a power switch.
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

func TestPowerSwitchDefectsAreDetected(t *testing.T) {
	t.Parallel()
	powerDefect := func(detectedBy string, b brokenPower) defect[checker.PowerSwitchFixture] {
		return defect[checker.PowerSwitchFixture]{detectedBy: detectedBy, inject: func(fixture checker.PowerSwitchFixture) checker.PowerSwitchFixture {
			broken := b
			broken.PowerSwitch = fixture.Power
			fixture.Power = &broken
			return fixture
		}}
	}
	offWhenUnknown := func(state garnetworks.PowerState, err error) (garnetworks.PowerState, error) {
		if err != nil {
			return garnetworks.PowerOff, nil
		}
		return state, nil
	}
	var suffix atomic.Int32
	testDefects(t, powerSwitchFixture, checker.PowerSwitchCases(), map[string]defect[checker.PowerSwitchFixture]{
		"reports off during outages":       powerDefect("an outage proves no power state", brokenPower{state: offWhenUnknown}),
		"reports unknown instances as off": powerDefect("an unknown instance is reported", brokenPower{state: offWhenUnknown}),
		"reports orders with lost responses as failed": powerDefect("an order with a lost response has an unknown outcome", brokenPower{fail: func(error) error {
			return garnetworks.Errorf(garnetworks.KindUnreachable, "failed")
		}}),
		"raises fencing tokens": powerDefect("a stale fencing token is refused", brokenPower{order: func(o garnetworks.PowerOrder) garnetworks.PowerOrder {
			o.Token = 1 << 60
			return o
		}}),
		"changes order identifiers": powerDefect("a repeated order takes effect once", brokenPower{order: func(o garnetworks.PowerOrder) garnetworks.PowerOrder {
			o.ID += string(rune('a' + suffix.Add(1)))
			return o
		}}),
	})
}
