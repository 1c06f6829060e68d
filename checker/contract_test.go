package checker_test

import (
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/checker"
	"github.com/garnetworks/garnetworks/connector"
	"github.com/garnetworks/garnetworks/faker"
)

// silence is the bound that callers have in these tests; it is far above the
// pauses of a loaded machine.
const silence = 800 * time.Millisecond

var (
	weights = garnetworks.WeightID{Model: "model", Version: "v1"}
	options = connector.Options{StallTimeout: silence}
)

const (
	weightRate = 1 << 30
	weightSize = 1 << 20
)

// world is the stand-ins of one bed; overHTTP serves them.
type world struct {
	t        *testing.T
	overHTTP bool
	list     *faker.InstanceList
	store    *faker.WeightStore
	fleet    *faker.Fleet
}

func newWorld(t *testing.T, overHTTP bool) *world {
	w := &world{t: t, overHTTP: overHTTP, list: faker.NewInstanceList(0)}
	w.store = faker.NewWeightStore(weightRate, map[garnetworks.WeightID]int64{weights: weightSize})
	w.fleet = faker.NewFleet(w.store, w.list)
	w.fleet.Silence = silence
	t.Cleanup(w.fleet.Close)
	return w
}

// serve keeps a server until the end of the test and returns its address.
func (w *world) serve(s *faker.Server, err error) string {
	w.t.Helper()
	if err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(func() { _ = s.Close() })
	return s.Address
}

func (w *world) engine(spec faker.EngineSpec) *faker.Engine {
	e := w.fleet.Add(spec)
	if w.overHTTP {
		w.serve(faker.ServeEngine(e))
	}
	return e
}

// unused returns an address at which nothing listens.
func (w *world) unused() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		w.t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// bothWays runs a suite on the stand-ins in process and through the adapters.
func bothWays[B any](t *testing.T, suite func(*testing.T, func(*testing.T) B), open func(w *world) B) {
	t.Parallel()
	for name, overHTTP := range map[string]bool{"in process": false, "over HTTP": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			suite(t, func(t *testing.T) B { return open(newWorld(t, overHTTP)) })
		})
	}
}

func TestObjectAPI(t *testing.T) { bothWays(t, checker.ObjectAPI, objectAPIBed) }

func objectAPIBed(w *world) checker.ObjectAPIBed {
	objects := faker.NewObjects(faker.ObjectsOptions{})
	bed := checker.ObjectAPIBed{API: objects, Faults: objects, Compact: objects.Compact}
	if w.overHTTP {
		platform := &faker.Platform{Objects: objects}
		bed.API = connector.NewObjectAPI(w.serve(faker.ServePlatform(platform)), options)
		bed.Faults = both{objects, platform}
	}
	bed.Throttle = func() {
		const oneInManySeconds = 0.001
		objects.SetRates(oneInManySeconds, oneInManySeconds)
		_, _ = objects.Get(w.t.Context(), "")
		_ = objects.Delete(w.t.Context(), "", 0)
	}
	return bed
}

// both sets a part's faults and makes the connections of its server silent.
type both struct {
	checker.Faults
	connections checker.Faults
}

func (b both) SilenceOpen() { b.connections.SilenceOpen() }

func TestInstanceList(t *testing.T) { bothWays(t, checker.InstanceList, instanceListBed) }

func instanceListBed(w *world) checker.InstanceListBed {
	bed := checker.InstanceListBed{List: w.list, Faults: w.list}
	for i := range 6 {
		row := garnetworks.ListedInstance{
			ID:      garnetworks.InstanceID(fmt.Sprintf("instance-%d", i)),
			Address: fmt.Sprintf("127.0.0.1:%d", 1000+i),
			Zone:    garnetworks.ZoneID(fmt.Sprintf("zone-%d", i%2)),
			Domain:  garnetworks.DomainID(fmt.Sprintf("domain-%d", i%2)),
			Class:   "large",
			State:   garnetworks.ListedLive,
		}
		if i == 5 {
			row.State, row.Service = garnetworks.ListedLeaving, "ledger"
		}
		w.list.Report(row)
		bed.Rows = append(bed.Rows, row)
	}
	if w.overHTTP {
		bed.List = connector.NewInstanceList(w.serve(faker.ServePlatform(&faker.Platform{Instances: w.list})), options)
	}
	return bed
}

func TestPowerSwitch(t *testing.T) { bothWays(t, checker.PowerSwitch, powerSwitchBed) }

func powerSwitchBed(w *world) checker.PowerSwitchBed {
	w.engine(faker.EngineSpec{ListedInstance: garnetworks.ListedInstance{ID: "engine-0"}, Boot: time.Millisecond})
	power := faker.NewPower(w.fleet)
	bed := checker.PowerSwitchBed{Power: power, Instance: "engine-0", Orders: power.Orders, Faults: power}
	if w.overHTTP {
		bed.Power = connector.NewPowerSwitch(w.serve(faker.ServePlatform(&faker.Platform{Power: power})), options)
	}
	return bed
}

func TestWeightStore(t *testing.T) { bothWays(t, checker.WeightStore, weightStoreBed) }

func weightStoreBed(w *world) checker.WeightStoreBed {
	bed := checker.WeightStoreBed{Store: w.store, Rate: weightRate, Weights: weights, Size: weightSize, Faults: w.store}
	if w.overHTTP {
		bed.Store = connector.NewWeightStore(w.serve(faker.ServePlatform(&faker.Platform{Weights: w.store})), options)
	}
	return bed
}

func TestEngineOrders(t *testing.T) { bothWays(t, checker.EngineOrders, engineOrdersBed) }

func engineOrdersBed(w *world) checker.EngineOrdersBed {
	checking := w.engine(faker.EngineSpec{ListedInstance: garnetworks.ListedInstance{ID: "checking"}, On: true, ChecksFencing: true})
	trusting := w.engine(faker.EngineSpec{ListedInstance: garnetworks.ListedInstance{ID: "trusting"}, On: true})
	bed := checker.EngineOrdersBed{
		Orders:   w.fleet,
		Checking: checker.EngineTarget{Instance: "checking", Address: checking.Spec().Address},
		Trusting: checker.EngineTarget{Instance: "trusting", Address: trusting.Spec().Address},
		Weights:  weights,
		Unused:   w.unused(),
		Faults:   checking,
	}
	if w.overHTTP {
		bed.Orders = connector.NewEngineOrders(options)
	}
	return bed
}

// group forms a serving group of two engines and returns them.
func (w *world) group(spec faker.EngineSpec) (first, second *faker.Engine) {
	members := []garnetworks.InstanceID{"first", "second"}
	var engines []*faker.Engine
	for _, id := range members {
		spec.ID, spec.On = id, true
		e := w.engine(spec)
		engines = append(engines, e)
		_, err := e.Order(w.t.Context(), garnetworks.EngineOrder{
			ID: "form", Kind: garnetworks.OrderForm, Token: groupToken, Group: "group", Members: members,
			Model: weights.Model, Version: weights.Version,
		})
		if err != nil {
			w.t.Fatal(err)
		}
	}
	for _, e := range engines {
		for phase := garnetworks.EngineLoading; phase != garnetworks.EngineReady; {
			time.Sleep(time.Millisecond)
			status, err := e.Status(w.t.Context())
			if err != nil {
				w.t.Fatal(err)
			}
			phase = status.Phase
		}
	}
	return engines[0], engines[1]
}

const groupToken = garnetworks.FencingToken(3<<32 | 7)

func TestCacheEvents(t *testing.T) { bothWays(t, checker.CacheEvents, cacheEventsBed) }

func cacheEventsBed(w *world) checker.CacheEventsBed {
	e := w.engine(faker.EngineSpec{
		ListedInstance: garnetworks.ListedInstance{ID: "engine"}, On: true, CacheBlocks: 4, EventLag: time.Millisecond,
	})
	bed := checker.CacheEventsBed{
		Events:  w.fleet,
		Address: e.Spec().Address,
		Unused:  w.unused(),
		Fill:    func() { e.ImportKV(faker.KVCache{Blocks: []uint64{1, 2, 3, 4, 5, 6}}) },
		Lose:    func() { e.SetEventGap(2) },
	}
	if w.overHTTP {
		bed.Events = connector.NewEngineOrders(options)
	}
	return bed
}

func TestEngineCaller(t *testing.T) { bothWays(t, checker.EngineCaller, engineCallerBed) }

func engineCallerBed(w *world) checker.EngineCallerBed {
	first, second := w.group(faker.EngineSpec{PerToken: 2 * time.Millisecond, FirstToken: 2 * time.Millisecond})
	var calls atomic.Int64
	bed := checker.EngineCallerBed{
		Caller:  w.fleet,
		Address: first.Spec().Address,
		Unused:  w.unused(),
		Silence: 2 * silence,
		Call: func(maxTokens int) *garnetworks.EngineCall {
			id := garnetworks.CallID(fmt.Sprintf("call-%d", calls.Add(1)))
			return &garnetworks.EngineCall{
				CallRequest: garnetworks.CallRequest{
					ID: id, Workspace: "office", Model: weights.Model, Prompt: "prompt of " + string(id), MaxTokens: maxTokens,
				},
				Attempt: id + ".1",
				Group:   "group",
				Token:   groupToken,
			}
		},
		Text: func(call *garnetworks.EngineCall, from, end int) string {
			return faker.AnswerText(&call.CallRequest, from, end)
		},
		Running: func() int {
			status, err := first.Status(w.t.Context())
			if err != nil {
				w.t.Error(err)
			}
			return status.Load.Running + status.Load.Waiting
		},
		LoseMember: func() { second.SetFaults(faker.FaultPlan{Down: true}) },
		Faults:     first,
	}
	if w.overHTTP {
		bed.Caller = connector.NewEngineCaller(options)
	}
	return bed
}

func TestServiceCaller(t *testing.T) { bothWays(t, checker.ServiceCaller, serviceCallerBed) }

func serviceCallerBed(w *world) checker.ServiceCallerBed {
	s := faker.NewService("ledger", time.Millisecond)
	services := &faker.Services{}
	services.Add("ledger", s)
	bed := checker.ServiceCallerBed{
		Caller:     services,
		Address:    "ledger",
		Unused:     w.unused(),
		Executions: s.ExecutionsOf,
		SetLeaving: s.SetLeaving,
		Faults:     s,
	}
	if w.overHTTP {
		bed.Caller = connector.NewServiceCaller(options)
		bed.Address = w.serve(faker.ServeService(s))
		bed.DropConnections = s.DropConnections
	}
	return bed
}
