package controller_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/controller"
	"github.com/garnetworks/garnetworks/faker"
	"github.com/garnetworks/garnetworks/prober"
)

// testSite is a site of fakes with controllers on a few nodes per zone.
type testSite struct {
	t       *testing.T
	objects *faker.Objects
	list    *faker.InstanceList
	store   *faker.WeightStore
	fleet   *faker.Fleet
	power   *faker.Power
	table   *prober.Table

	mu       sync.Mutex
	accepted *garnetworks.AcceptedManifest
	views    map[garnetworks.ZoneID]garnetworks.ZoneView
	versions map[garnetworks.ZoneID]garnetworks.UpdateVersion
	events   []garnetworks.Event
}

func newTestSite(t *testing.T, manifest garnetworks.Manifest, checks bool, domains, size int) *testSite {
	b := &testSite{
		t:        t,
		objects:  faker.NewObjects(faker.ObjectsOptions{}),
		list:     faker.NewInstanceList(2 * time.Second),
		table:    prober.NewTable(),
		views:    map[garnetworks.ZoneID]garnetworks.ZoneView{},
		versions: map[garnetworks.ZoneID]garnetworks.UpdateVersion{},
		accepted: &garnetworks.AcceptedManifest{Generation: 1, Manifest: manifest},
	}
	weights := map[garnetworks.WeightID]int64{}
	for _, m := range manifest.Models {
		weights[garnetworks.WeightID{Model: m.Name, Version: m.Version}] = m.WeightBytes
	}
	b.store = faker.NewWeightStore(10_000_000_000, weights)
	b.fleet = faker.NewFleet(b.store, b.list)
	b.power = faker.NewPower(b.fleet)
	for _, z := range manifest.Site.Zones {
		for d := range domains {
			for i := range size {
				b.fleet.Add(faker.EngineSpec{
					ListedInstance: garnetworks.ListedInstance{
						ID:      garnetworks.InstanceID(fmt.Sprintf("%s-d%d-i%02d", z.Name, d, i)),
						Address: fmt.Sprintf("engine-%s-%d-%d", z.Name, d, i),
						Zone:    z.Name,
						Domain:  garnetworks.DomainID(fmt.Sprintf("%s-d%d", z.Name, d)),
						Class:   "gpu",
					},
					Watts:         10_000,
					On:            true,
					Boot:          30 * time.Second,
					ChecksFencing: checks,
				})
			}
		}
	}
	return b
}

func testManifest(zones, groups int, watts garnetworks.Watts, checks bool) garnetworks.Manifest {
	m := garnetworks.Manifest{
		Format: 1,
		Site: garnetworks.SiteSpec{
			PowerCap: watts,
			Classes: []garnetworks.InstanceClass{{
				Name: "gpu", Watts: 10_000, Accelerators: 8, ChecksFencing: checks,
				BootTime: 30 * time.Second, FailuresPerDay: 0.02,
			}},
			CostWeights: garnetworks.CostWeights{GroupDowntime: 4, Stranded: 1},
			Grace:       garnetworks.GraceSpec{Drain: 20 * time.Second, Shed: 10 * time.Second},
		},
		Models: []garnetworks.ModelSpec{{
			Name: "large", Version: "v1", WeightBytes: 40_000_000_000, GroupSize: 4, Class: "gpu",
			MinGroups: groups, MaxGroups: groups, Priority: 1,
		}},
	}
	for z := range zones {
		m.Site.Zones = append(m.Site.Zones, garnetworks.ZoneSpec{Name: garnetworks.ZoneID(fmt.Sprintf("z%d", z))})
	}
	return m
}

func (b *testSite) Manifest() (*garnetworks.AcceptedManifest, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.accepted, true
}

func (b *testSite) Record(e garnetworks.Event) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.events = append(b.events, e)
}

func (b *testSite) publish(version garnetworks.UpdateVersion, view garnetworks.ZoneView) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.versions[view.Zone].Less(version) {
		b.versions[view.Zone] = version
		b.views[view.Zone] = view
	}
}

// probe updates the shared table as probers would.
func (b *testSite) probe(ctx context.Context) {
	for ctx.Err() == nil {
		for _, e := range b.fleet.Engines() {
			go func() {
				ctx, cancel := context.WithTimeout(ctx, time.Second)
				defer cancel()
				sent := time.Now()
				status, err := e.Status(ctx)
				if err == nil {
					b.table.Merge(time.Now(), []garnetworks.ProbeResult{{Status: status, Age: time.Since(sent)}})
				}
			}()
		}
		time.Sleep(time.Second)
	}
}

// startZone runs a node's controller of a zone until ctx ends.
func (b *testSite) startZone(ctx context.Context, node garnetworks.NodeID, zone garnetworks.ZoneID, objects garnetworks.ObjectAPI) {
	b.t.Helper()
	z, err := controller.NewZone(controller.Options{
		Node: node, Zone: zone, Objects: objects, Instances: b.list, Power: b.power, Orders: b.fleet,
		Statuses: b.table, Manifest: b, Weights: b.store, Recorder: b, Publish: b.publish,
	})
	if err != nil {
		b.t.Fatal(err)
	}
	go func() { _ = z.Run(ctx) }()
}

// startSite runs a node's controller of the site until ctx ends.
func (b *testSite) startSite(ctx context.Context, node garnetworks.NodeID) {
	b.t.Helper()
	s, err := controller.NewSite(controller.SiteOptions{Node: node, Objects: b.objects, Manifest: b, Recorder: b})
	if err != nil {
		b.t.Fatal(err)
	}
	go func() { _ = s.Run(ctx) }()
}

func (b *testSite) serving() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, v := range b.views {
		for _, g := range v.Groups {
			if g.Confirmed && g.State == garnetworks.GroupServing {
				n++
			}
		}
	}
	return n
}

func (b *testSite) dump() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, e := range b.events {
		b.t.Logf("%s zone=%s group=%s instance=%s %s", e.Kind, e.Zone, e.Group, e.Instance, e.Detail)
	}
	for _, v := range b.views {
		b.t.Logf("%+v", v)
	}
	b.t.Log(b.objects.Counts())
}

func TestGroupsFormOnFakes(t *testing.T) {
	for name, checks := range map[string]bool{"checks": true, "ignores": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newTestSite(t, testManifest(2, 4, 200_000, checks), checks, 2, 5)
				ctx, cancel := context.WithCancel(t.Context())
				go b.probe(ctx)
				for _, z := range []garnetworks.ZoneID{"z0", "z1"} {
					b.startZone(ctx, garnetworks.NodeID("n-"+z), z, b.objects)
				}
				b.startSite(ctx, "n-site")
				time.Sleep(6 * time.Minute)
				if got := b.serving(); got != 4 {
					b.dump()
					t.Errorf("%d groups serve, want 4", got)
				}
				cancel()
				b.fleet.Close()
				synctest.Wait()
				time.Sleep(time.Minute)
			})
		})
	}
}

// Guards against a planned replacement of the lease holder delaying the next holder or
// breaking groups, while answers of the object API get lost.
func TestHolderStopsGracefully(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestSite(t, testManifest(1, 2, 200_000, false), false, 2, 5)
		ctx, cancel := context.WithCancel(t.Context())
		go b.probe(ctx)
		first, stopFirst := context.WithCancel(ctx)
		b.startZone(first, "n1", "z0", b.objects)
		b.startSite(ctx, "n1")
		time.Sleep(4 * time.Minute)
		b.startZone(ctx, "n2", "z0", b.objects)
		b.objects.SetFaults(faker.FaultPlan{LoseAnswers: 20, Methods: []string{faker.MethodPut}})
		time.Sleep(30 * time.Second)
		stopFirst()
		stopped := time.Now()
		for b.version("z0").Term < 2 && time.Since(stopped) < time.Minute {
			time.Sleep(100 * time.Millisecond)
		}
		t.Logf("another node acts %s after the stop", time.Since(stopped))
		if time.Since(stopped) > 8*time.Second {
			t.Error("the lease was not freed")
		}
		time.Sleep(10 * time.Second)
		if got := b.serving(); got != 2 {
			b.dump()
			t.Errorf("%d groups serve, want 2", got)
		}
		if got := b.count(garnetworks.EventGroupBroken); got != 0 {
			t.Errorf("%d groups were broken", got)
		}
		cancel()
		b.fleet.Close()
		synctest.Wait()
		time.Sleep(time.Minute)
	})
}

func (b *testSite) version(zone garnetworks.ZoneID) garnetworks.UpdateVersion {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.versions[zone]
}

func (b *testSite) count(kind garnetworks.EventKind) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, e := range b.events {
		if e.Kind == kind {
			n++
		}
	}
	return n
}
