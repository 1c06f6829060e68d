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

// stallTimeout is the time without progress after which the adapters and fakes end an attempt.
// It is long enough that scheduling delays over TCP do not trigger it.
const stallTimeout = 800 * time.Millisecond

var weights = garnetworks.WeightID{Model: "model", Version: "v1"}

const (
	weightRate = 1 << 30
	weightSize = 1 << 20
)

// fakes holds the fake services behind one fixture. If overHTTP is set, they are called
// through the adapters.
type fakes struct {
	t        *testing.T
	overHTTP bool
	list     *faker.InstanceList
	store    *faker.WeightStore
	fleet    *faker.Fleet
	options  connector.Options
	// listen opens the servers' listeners; nil listens on TCP.
	listen func(network, address string) (net.Listener, error)
}

func newFakes(t *testing.T, overHTTP bool, network *faker.Network) *fakes {
	f := &fakes{t: t, overHTTP: overHTTP, list: faker.NewInstanceList(0), options: connector.Options{StallTimeout: stallTimeout}}
	if network != nil {
		f.options.Dial, f.listen = network.Dial, network.Listen
	}
	f.store = faker.NewWeightStore(weightRate, map[garnetworks.WeightID]int64{weights: weightSize})
	f.fleet = faker.NewFleet(f.store, f.list)
	f.fleet.Silence = stallTimeout
	t.Cleanup(f.fleet.Close)
	return f
}

// serve closes the server at the end of the test and returns its address.
func (f *fakes) serve(s *faker.Server, err error) string {
	f.t.Helper()
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { _ = s.Close() })
	return s.Address
}

func (f *fakes) servePlatform(p *faker.Platform) string {
	f.t.Helper()
	p.Listen = f.listen
	return f.serve(faker.ServePlatform(p))
}

func (f *fakes) engine(spec faker.EngineSpec) *faker.Engine {
	e := f.fleet.Add(spec)
	e.Listen = f.listen
	if f.overHTTP {
		f.serve(faker.ServeEngine(e))
	}
	return e
}

// unused returns an address at which nothing listens.
func (f *fakes) unused() string {
	listen := f.listen
	if listen == nil {
		listen = net.Listen
	}
	l, err := listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// testTransports runs a suite on the fakes: in process, through the HTTP adapters over an in-memory
// network, and, apart from the timed cases, through the same adapters over TCP.
func testTransports[B any](t *testing.T, cases map[string]checker.Case[B], newFixture func(f *fakes) B) {
	t.Parallel()
	for name, overHTTP := range map[string]bool{"in process": false, "over HTTP": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			checker.RunInBubbles(t, func(t *testing.T) B { return newFixture(newFakes(t, overHTTP, new(faker.Network))) }, cases)
		})
	}
	t.Run("over TCP", func(t *testing.T) {
		t.Parallel()
		checker.Run(t, func(t *testing.T) B { return newFixture(newFakes(t, true, nil)) }, checker.Untimed(cases))
	})
}

func TestObjectAPI(t *testing.T) { testTransports(t, checker.ObjectAPICases(), objectAPIFixture) }

func objectAPIFixture(f *fakes) checker.ObjectAPIFixture {
	objects := faker.NewObjects(faker.ObjectsOptions{})
	fixture := checker.ObjectAPIFixture{API: objects, Faults: objects, Compact: objects.Compact}
	if f.overHTTP {
		platform := &faker.Platform{Objects: objects}
		fixture.API = connector.NewObjectAPI(f.servePlatform(platform), f.options)
		fixture.Faults = serverFaults{objects, platform}
	}
	fixture.Throttle = func() {
		const oneInManySeconds = 0.001
		objects.SetRates(oneInManySeconds, oneInManySeconds)
		_, _ = objects.Get(f.t.Context(), "")
		_ = objects.Delete(f.t.Context(), "", 0)
	}
	return fixture
}

// Guards against taking a lease or claim that was lost with a copy for one that never existed.
func TestMissingObjectNamesTheEra(t *testing.T) {
	for name, overHTTP := range map[string]bool{"in process": false, "over HTTP": true} {
		t.Run(name, func(t *testing.T) {
			objects := faker.NewObjects(faker.ObjectsOptions{})
			api := garnetworks.ObjectAPI(objects)
			if overHTTP {
				f := newFakes(t, overHTTP, nil)
				api = connector.NewObjectAPI(f.servePlatform(&faker.Platform{Objects: objects}), f.options)
			}
			for want := range garnetworks.Era(3) {
				object, err := api.Get(t.Context(), "absent")
				if !garnetworks.IsKind(err, garnetworks.KindNotFound) || object.Revision != garnetworks.NewRevision(want, 0) {
					t.Errorf("got revision %s and %v, want era %d", object.Revision, err, want)
				}
				objects.Restore(objects.Copy())
			}
		})
	}
}

// serverFaults injects faults into a fake and stalls the connections of the server in front of
// it.
type serverFaults struct {
	checker.FaultInjector
	connections checker.FaultInjector
}

func (b serverFaults) SilenceOpen() { b.connections.SilenceOpen() }

func TestInstanceList(t *testing.T) {
	testTransports(t, checker.InstanceListCases(), instanceListFixture)
}

func instanceListFixture(f *fakes) checker.InstanceListFixture {
	fixture := checker.InstanceListFixture{List: f.list, Faults: f.list}
	for i := range 6 {
		entry := garnetworks.ListedInstance{
			ID:      garnetworks.InstanceID(fmt.Sprintf("instance-%d", i)),
			Address: fmt.Sprintf("127.0.0.1:%d", 1000+i),
			Zone:    garnetworks.ZoneID(fmt.Sprintf("zone-%d", i%2)),
			Domain:  garnetworks.DomainID(fmt.Sprintf("domain-%d", i%2)),
			Class:   "large",
			State:   garnetworks.ListedLive,
		}
		if i == 5 {
			entry.State, entry.Service = garnetworks.ListedLeaving, "ledger"
		}
		f.list.Report(entry)
		fixture.Entries = append(fixture.Entries, entry)
	}
	if f.overHTTP {
		fixture.List = connector.NewInstanceList(f.servePlatform(&faker.Platform{Instances: f.list}), f.options)
	}
	return fixture
}

func TestPowerSwitch(t *testing.T) { testTransports(t, checker.PowerSwitchCases(), powerSwitchFixture) }

func powerSwitchFixture(f *fakes) checker.PowerSwitchFixture {
	f.engine(faker.EngineSpec{ListedInstance: garnetworks.ListedInstance{ID: "engine-0"}, Boot: time.Millisecond})
	power := faker.NewPower(f.fleet)
	fixture := checker.PowerSwitchFixture{Power: power, Instance: "engine-0", AppliedOrders: power.Orders, Faults: power}
	if f.overHTTP {
		fixture.Power = connector.NewPowerSwitch(f.servePlatform(&faker.Platform{Power: power}), f.options)
	}
	return fixture
}

func TestWeightStore(t *testing.T) { testTransports(t, checker.WeightStoreCases(), weightStoreFixture) }

func weightStoreFixture(f *fakes) checker.WeightStoreFixture {
	fixture := checker.WeightStoreFixture{Store: f.store, Rate: weightRate, Weights: weights, Size: weightSize, Faults: f.store}
	if f.overHTTP {
		fixture.Store = connector.NewWeightStore(f.servePlatform(&faker.Platform{Weights: f.store}), f.options)
	}
	return fixture
}

func TestEngineOrders(t *testing.T) {
	testTransports(t, checker.EngineOrdersCases(), engineOrdersFixture)
}

func engineOrdersFixture(f *fakes) checker.EngineOrdersFixture {
	fenced := f.engine(faker.EngineSpec{ListedInstance: garnetworks.ListedInstance{ID: "checking"}, On: true, ChecksFencing: true})
	unfenced := f.engine(faker.EngineSpec{ListedInstance: garnetworks.ListedInstance{ID: "trusting"}, On: true})
	fixture := checker.EngineOrdersFixture{
		Orders:   f.fleet,
		Fenced:   checker.EngineTarget{Instance: "checking", Address: fenced.Spec().Address},
		Unfenced: checker.EngineTarget{Instance: "trusting", Address: unfenced.Spec().Address},
		Weights:  weights,
		Unused:   f.unused(),
		Faults:   fenced,
	}
	if f.overHTTP {
		fixture.Orders = connector.NewEngineOrders(f.options)
	}
	return fixture
}

// group forms a serving group of two engines and returns them.
func (f *fakes) group(spec faker.EngineSpec) (first, second *faker.Engine) {
	members := []garnetworks.InstanceID{"first", "second"}
	var engines []*faker.Engine
	for _, id := range members {
		spec.ID, spec.On = id, true
		e := f.engine(spec)
		engines = append(engines, e)
		_, err := e.Order(f.t.Context(), garnetworks.EngineOrder{
			ID: "form", Kind: garnetworks.OrderForm, Token: groupToken, Group: "group", Members: members,
			Model: weights.Model, Version: weights.Version,
		})
		if err != nil {
			f.t.Fatal(err)
		}
	}
	for _, e := range engines {
		for phase := garnetworks.EngineLoading; phase != garnetworks.EngineReady; {
			time.Sleep(time.Millisecond)
			status, err := e.Status(f.t.Context())
			if err != nil {
				f.t.Fatal(err)
			}
			phase = status.Phase
		}
	}
	return engines[0], engines[1]
}

const groupToken = garnetworks.FencingToken(3<<32 | 7)

func TestCacheEvents(t *testing.T) { testTransports(t, checker.CacheEventsCases(), cacheEventsFixture) }

func cacheEventsFixture(f *fakes) checker.CacheEventsFixture {
	e := f.engine(faker.EngineSpec{
		ListedInstance: garnetworks.ListedInstance{ID: "engine"}, On: true, CacheBlocks: 4, EventLag: time.Millisecond,
	})
	fixture := checker.CacheEventsFixture{
		Events:     f.fleet,
		Address:    e.Spec().Address,
		Unused:     f.unused(),
		AddBlocks:  func() { e.ImportKV(faker.KVCache{Blocks: []uint64{1, 2, 3, 4, 5, 6}}) },
		DropEvents: func() { e.SetEventGap(2) },
	}
	if f.overHTTP {
		fixture.Events = connector.NewEngineOrders(f.options)
	}
	return fixture
}

func TestEngineCaller(t *testing.T) {
	testTransports(t, checker.EngineCallerCases(), engineCallerFixture)
}

func engineCallerFixture(f *fakes) checker.EngineCallerFixture {
	first, second := f.group(faker.EngineSpec{PerToken: 2 * time.Millisecond, FirstToken: 2 * time.Millisecond})
	var calls atomic.Int64
	fixture := checker.EngineCallerFixture{
		Caller:          f.fleet,
		Address:         first.Spec().Address,
		Unused:          f.unused(),
		MaxStallTimeout: 2 * stallTimeout,
		NewCall: func(maxTokens int) *garnetworks.EngineCall {
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
		ResponseText: func(call *garnetworks.EngineCall, from, end int) string {
			return faker.AnswerText(&call.CallRequest, from, end)
		},
		RunningCalls: func() int {
			status, err := first.Status(f.t.Context())
			if err != nil {
				f.t.Error(err)
			}
			return status.Load.Running + status.Load.Waiting
		},
		StopMember: func() { second.SetFaults(faker.FaultPlan{Down: true}) },
		Faults:     first,
	}
	if f.overHTTP {
		fixture.Caller = connector.NewEngineCaller(f.options)
	}
	return fixture
}

func TestServiceCaller(t *testing.T) {
	testTransports(t, checker.ServiceCallerCases(), serviceCallerFixture)
}

func serviceCallerFixture(f *fakes) checker.ServiceCallerFixture {
	s := faker.NewService("ledger", time.Millisecond)
	services := &faker.Services{}
	services.Add("ledger", s)
	fixture := checker.ServiceCallerFixture{
		Caller:     services,
		Address:    "ledger",
		Unused:     f.unused(),
		Executions: s.ExecutionsOf,
		SetLeaving: s.SetLeaving,
		Faults:     s,
	}
	if f.overHTTP {
		fixture.Caller = connector.NewServiceCaller(f.options)
		s.Listen = f.listen
		fixture.Address = f.serve(faker.ServeService(s))
		fixture.DropConnections = s.DropConnections
	}
	return fixture
}
