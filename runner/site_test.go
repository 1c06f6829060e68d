package runner

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/configurer"
	"github.com/garnetworks/garnetworks/faker"
	"github.com/garnetworks/garnetworks/keymaker"
	"github.com/garnetworks/garnetworks/messenger"
)

var zones = []garnetworks.ZoneID{"zone-a", "zone-b", "zone-c"}

// testSite is a site of three zones with fake backends and one node in each zone.
type testSite struct {
	t        *testing.T
	objects  *faker.Objects
	list     *faker.InstanceList
	fleet    *faker.Fleet
	power    *faker.Power
	service  *faker.Service
	platform *faker.Server
	nodes    map[garnetworks.ZoneID]*testNode
	client   *messenger.Client
	key      string
	// adjust holds changes to the settings of each node, applied before it starts.
	adjust []func(*configurer.Settings)
}

type testNode struct {
	*Runner
	stop context.CancelFunc
	done chan error
}

const enginesPerZone = 6

func newTestSite(t *testing.T, adjust ...func(*configurer.Settings)) *testSite {
	t.Helper()
	s := &testSite{t: t, nodes: make(map[garnetworks.ZoneID]*testNode), adjust: adjust}
	weights := faker.NewWeightStore(1<<30, map[garnetworks.WeightID]int64{{Model: "chat", Version: "v1"}: 1 << 20})
	s.objects = faker.NewObjects(faker.ObjectsOptions{})
	s.list = faker.NewInstanceList(0)
	s.fleet = faker.NewFleet(weights, s.list)
	t.Cleanup(s.fleet.Close)
	s.power = faker.NewPower(s.fleet)
	platform, err := faker.ServePlatform(&faker.Platform{Objects: s.objects, Instances: s.list, Power: s.power, Weights: weights})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = platform.Close() })
	s.platform = platform
	for _, zone := range zones {
		s.addEngines(zone)
	}
	s.addService()
	for _, zone := range zones {
		s.startNode(zone)
	}
	s.client = messenger.NewClient(messenger.ClientOptions{})
	t.Cleanup(s.client.Close)
	return s
}

func (s *testSite) addEngines(zone garnetworks.ZoneID) {
	for i := range enginesPerZone {
		engine := s.fleet.Add(faker.EngineSpec{
			ListedInstance: garnetworks.ListedInstance{
				ID:   garnetworks.InstanceID(fmt.Sprintf("%s-e%d", zone, i)),
				Zone: zone, Domain: garnetworks.DomainID(zone + "-d"), Class: "big", State: garnetworks.ListedLive,
			},
			Watts: 1000, On: true, Boot: 50 * time.Millisecond, ChecksFencing: true,
			FirstToken: 5 * time.Millisecond, PerToken: time.Millisecond,
		})
		server, err := faker.ServeEngine(engine)
		if err != nil {
			s.t.Fatal(err)
		}
		s.t.Cleanup(func() { _ = server.Close() })
	}
}

func (s *testSite) addService() {
	s.service = faker.NewService("ledger", time.Millisecond)
	server, err := faker.ServeService(s.service)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = server.Close() })
	s.list.Report(garnetworks.ListedInstance{
		ID: "ledger-1", Address: strings.TrimPrefix(server.URL(), "http://"), Zone: "zone-a", Class: "small",
		State: garnetworks.ListedLive, Service: "ledger",
	})
}

func (s *testSite) startNode(zone garnetworks.ZoneID) *testNode {
	s.t.Helper()
	var seeds []string
	for _, n := range s.nodes {
		seeds = append(seeds, n.Addresses().Peers)
	}
	settings, err := configurer.Parse([]byte(fmt.Sprintf(`
node: node-%s
zone: %s
listen: {callers: "127.0.0.1:0", peers: "127.0.0.1:0", admin: "127.0.0.1:0"}
drain-grace: 10s
platform: {object-api: %[3]s, instance-list: %[3]s, power: %[3]s, weight-store: %[3]s}
`, zone, zone, s.platform.URL())))
	if err != nil {
		s.t.Fatal(err)
	}
	settings.Seeds = seeds
	for _, adjust := range s.adjust {
		adjust(&settings)
	}
	var logger hclog.Logger
	if os.Getenv("SITE_LOG") != "" {
		logger = hclog.New(&hclog.LoggerOptions{Name: string(settings.Node), Level: hclog.Debug})
	}
	r, err := New(Options{Settings: settings, Logger: logger, Program: "test"})
	if err != nil {
		s.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	n := &testNode{Runner: r, stop: cancel, done: make(chan error, 1)}
	go func() { n.done <- r.Run(ctx, nil) }()
	s.t.Cleanup(func() {
		cancel()
		if err := <-n.done; err != nil {
			s.t.Errorf("node of %s: %v", zone, err)
		}
		close(n.done)
	})
	s.nodes[zone] = n
	return n
}

func (s *testSite) manifest() string {
	key := keymaker.New()
	s.key = key.Secret
	return fmt.Sprintf(`
format: 1
site:
  name: test
  power-cap-watts: 40000
  zones:
  - {name: zone-a, region: region-1}
  - {name: zone-b, region: region-1}
  - {name: zone-c, region: region-1}
  instance-classes:
  - {name: big, watts: 1000, accelerators: 8, checks-fencing: true, boot-time: 1s, failures-per-day: 0.02}
  - {name: small, watts: 200, accelerators: 0, checks-fencing: false, boot-time: 1s, failures-per-day: 0.02}
  weights: {group-downtime: 10, stranded: 1}
  grace: {drain: 5s, shed: 2s}
models:
- name: chat
  version: v1
  weight-bytes: 1048576
  group-size: 4
  instance-class: big
  min-groups: 3
  max-groups: 3
  priority: 1
workspaces:
- name: south
  key-hashes: ["%s"]
  models: [chat]
  services: [ledger]
  priority: 1
  limits: {requests-per-second: 1000, tokens-per-second: 100000, concurrency: 100}
services:
- name: ledger
  instance-class: small
  timeout: 2s
  calls:
  - {methods: [GET], path-prefix: /, repeatable: true}
  - {methods: [POST], path-prefix: /, repeatable: false, key-required: true}
...
`, key.Hash)
}

// commit proposes a manifest to the node and waits until it is in force.
func (s *testSite) commit(zone garnetworks.ZoneID, id string, base garnetworks.Generation, text string) {
	s.t.Helper()
	address := s.nodes[zone].Addresses().Peers
	ctx := s.t.Context()
	_, err := s.client.Propose(ctx, address, &garnetworks.ProposeRequest{CommitID: id, Operator: "test", Base: base, Text: []byte(text)})
	if err != nil {
		s.t.Fatal(err)
	}
	s.eventually("the manifest is in force", func() string {
		response, err := s.client.Progress(ctx, address, &garnetworks.ProgressRequest{CommitID: id})
		if err != nil {
			return err.Error()
		}
		if response.Progress.State != garnetworks.CommitInForce {
			return fmt.Sprintf("%+v", response.Progress)
		}
		return ""
	})
}

// waitTimeout ends a wait that makes no progress; it is not a bound that tests assert.
const waitTimeout = 60 * time.Second

// eventually waits until check returns an empty string.
func (s *testSite) eventually(what string, check func() string) {
	s.t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for {
		missing := check()
		if missing == "" {
			return
		}
		if time.Now().After(deadline) {
			s.t.Fatalf("timed out waiting until %s: %s", what, missing)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// answer is a node's HTTP response.
type answer struct {
	status  int
	outcome string
	kind    string
	body    string
}

func (s *testSite) call(zone garnetworks.ZoneID, method, path, key, body string) (answer, error) {
	request, err := http.NewRequestWithContext(s.t.Context(), method, "http://"+s.nodes[zone].Addresses().Callers+path, bytes.NewBufferString(body))
	if err != nil {
		return answer{}, err
	}
	request.Header.Set("Authorization", "Bearer "+s.key)
	request.Header.Set("Content-Type", "application/json")
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return answer{}, err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	outcome := response.Header.Get("Garnet-Outcome")
	if outcome == "" {
		outcome = response.Trailer.Get("Garnet-Outcome")
	}
	return answer{response.StatusCode, outcome, response.Header.Get("Garnet-Error-Kind"), string(data)}, err
}

const completion = `{"model":"chat","prompt":"the pump at well 9 has failed","max_tokens":12}`

func TestSiteServesACallThroughEveryLayer(t *testing.T) {
	s := newTestSite(t)
	s.commit("zone-a", "commit-1", 0, s.manifest())
	s.eventually("each zone's node answers a completion", func() string {
		for _, zone := range zones {
			a, err := s.call(zone, "POST", "/v1/completions", "", completion)
			if err != nil {
				return err.Error()
			}
			if a.status != http.StatusOK {
				return fmt.Sprintf("%s: %+v", zone, a)
			}
		}
		return ""
	})

	a, err := s.call("zone-b", "POST", "/v1/completions", "", completion)
	if err != nil {
		t.Fatal(err)
	}
	var body struct {
		Choices []struct{ Text string }
	}
	if err := json.Unmarshal([]byte(a.body), &body); err != nil {
		t.Fatal(err)
	}
	want := faker.AnswerText(&garnetworks.CallRequest{Model: "chat", Prompt: "the pump at well 9 has failed"}, 0, 12)
	if len(body.Choices) != 1 || body.Choices[0].Text != want || a.outcome != string(garnetworks.OutcomeCompleted) {
		t.Errorf("answer %+v, want text %q", a, want)
	}

	first, err := s.call("zone-a", "POST", "/services/ledger/visits", "visit-7", `{"part":3}`)
	if err != nil || first.status != http.StatusOK {
		t.Fatalf("keyed call: %+v, %v", first, err)
	}
	again, err := s.call("zone-c", "POST", "/services/ledger/visits", "visit-7", `{"part":3}`)
	if err != nil || again.body != first.body {
		t.Errorf("repeated keyed call: %+v, want the first answer %+v", again, first)
	}
	if got := s.service.ExecutionsByKey("visit-7"); got != 1 {
		t.Errorf("the keyed call ran %d times", got)
	}
	refused, err := s.call("zone-a", "POST", "/services/ledger/visits", "", `{"part":3}`)
	if err != nil || refused.outcome != string(garnetworks.OutcomeNotRun) {
		t.Errorf("call without the required key: %+v, %v", refused, err)
	}
	if draw := s.fleet.Draw(); draw > 40000 {
		t.Errorf("the site draws %d W", draw)
	}
}
