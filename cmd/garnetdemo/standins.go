package main

import (
	"fmt"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/faker"
	"github.com/garnetworks/garnetworks/keymaker"
)

var zones = []garnetworks.ZoneID{"zone-a", "zone-b", "zone-c"}

// Sizes, rates and delays of the simulated site. weightRate is in bytes per second; every
// eventGap-th cache event is lost.
const (
	region           = "region-1"
	enginesPerDomain = 4 // engines, also the size of a replica group
	engineWatts      = 1000
	serverWatts      = 200
	weightBytes      = 64 << 20
	weightRate       = 2 << 30
	listLag          = 300 * time.Millisecond
	bootTime         = 500 * time.Millisecond
	loadLag          = 200 * time.Millisecond
	eventLag         = 200 * time.Millisecond
	eventGap         = 50
	serviceTime      = 5 * time.Millisecond
)

// Rate limits of the object API, in requests per second.
const (
	objectWrites = 300
	objectReads  = 2000
)

// standIns holds the simulations of everything outside the entry nodes.
type standIns struct {
	engines int
	key     keymaker.Key
	fleet   *faker.Fleet
	service *faker.Service
	// platforms holds each zone's server of the platform.
	platforms map[garnetworks.ZoneID]*faker.Server
	control   *faker.Server
	servers   []*faker.Server
}

// startStandIns starts the simulations, with the given number of engines in each zone.
func startStandIns(engines int) (*standIns, error) {
	if engines < enginesPerDomain {
		return nil, errors.Errorf("--engines is %d; %d at least are needed for a replica group", engines, enginesPerDomain)
	}
	list := faker.NewInstanceList(listLag)
	weights := faker.NewWeightStore(weightRate, map[garnetworks.WeightID]int64{
		{Model: "chat", Version: "v1"}:    weightBytes,
		{Model: "summary", Version: "v1"}: weightBytes,
	})
	s := &standIns{
		engines: engines,
		key:     keymaker.New(),
		fleet:   faker.NewFleet(weights, list),
		service: faker.NewService("ledger", serviceTime),

		platforms: make(map[garnetworks.ZoneID]*faker.Server),
	}
	objects := faker.NewObjects(faker.ObjectsOptions{WritesPerSecond: objectWrites, ReadsPerSecond: objectReads})
	power := faker.NewPower(s.fleet)
	shared := &faker.Platform{Objects: objects, Instances: list, Power: power, Weights: weights}
	control := &faker.Control{
		Fleet:    s.fleet,
		Objects:  objects,
		Services: map[string]*faker.Service{"ledger": s.service},
		Targets: map[string]faker.FaultTarget{
			"objects": objects, "instances": list, "power": power, "weights": weights, "ledger": s.service,
		},
	}
	if err := s.serveEngines(control); err != nil {
		s.close()
		return nil, err
	}
	if err := s.serveServiceAndPlatform(shared, control, list); err != nil {
		s.close()
		return nil, err
	}
	return s, nil
}

func (s *standIns) serveEngines(control *faker.Control) error {
	domains := make(map[string]faker.FaultGroup)
	for _, zone := range zones {
		for i := range s.engines {
			e := s.fleet.Add(engineSpec(zone, i))
			if _, err := s.track(faker.ServeEngine(e)); err != nil {
				return err
			}
			spec := e.Spec()
			control.Targets[string(spec.ID)] = e
			domains[string(spec.Domain)] = append(domains[string(spec.Domain)], e)
		}
	}
	for name, engines := range domains {
		control.Targets[name] = engines
	}
	return nil
}

// serveServiceAndPlatform serves the plain service and the control path, and the platform once
// for each zone, so that a zone can be partitioned from it.
func (s *standIns) serveServiceAndPlatform(shared *faker.Platform, control *faker.Control, list *faker.InstanceList) error {
	server, err := s.track(faker.ServeService(s.service))
	if err != nil {
		return err
	}
	list.Report(garnetworks.ListedInstance{
		ID: "ledger-1", Address: server.Address, Zone: zones[0], Class: "small", State: garnetworks.ListedLive, Service: "ledger",
	})
	for _, zone := range zones {
		platform := &faker.Platform{Objects: shared.Objects, Instances: shared.Instances, Power: shared.Power, Weights: shared.Weights}
		if s.platforms[zone], err = s.track(faker.ServePlatform(platform)); err != nil {
			return err
		}
		control.Targets["platform-"+string(zone)] = platform
	}
	s.control, err = s.track(faker.ServeControl(control))
	return err
}

// track records a server so that close closes it.
func (s *standIns) track(server *faker.Server, err error) (*faker.Server, error) {
	if err != nil {
		return nil, errors.Wrap(err, "a stand-in can't be served")
	}
	s.servers = append(s.servers, server)
	return server, nil
}

func (s *standIns) close() {
	for _, server := range s.servers {
		_ = server.Close()
	}
	s.fleet.Close()
}

// engineSpec describes the ith engine of a zone. The engines of every other domain check
// fencing tokens.
func engineSpec(zone garnetworks.ZoneID, i int) faker.EngineSpec {
	domain := i / enginesPerDomain
	return faker.EngineSpec{
		ListedInstance: garnetworks.ListedInstance{
			ID:     garnetworks.InstanceID(fmt.Sprintf("%s-engine-%d", zone, i)),
			Zone:   zone,
			Domain: garnetworks.DomainID(fmt.Sprintf("%s-domain-%d", zone, domain)),
			Class:  className(domain),
			State:  garnetworks.ListedLive,
		},
		Watts:         engineWatts,
		On:            true,
		Boot:          bootTime,
		ChecksFencing: checksFencing(domain),
		PerBlock:      2 * time.Millisecond,
		LoadLag:       loadLag,
		EventLag:      eventLag,
		EventGap:      eventGap,
	}
}

func checksFencing(domain int) bool { return domain%2 == 0 }

// className returns the instance class of a domain's engines; the class states whether its
// instances check fencing tokens.
func className(domain int) string {
	if checksFencing(domain) {
		return "large"
	}
	return "large-trusting"
}

// manifest returns a manifest whose power cap is below what all engines together draw.
func (s *standIns) manifest() string {
	const capNumerator, capDenominator = 5, 6
	watts := len(zones)*s.engines*engineWatts*capNumerator/capDenominator + serverWatts
	var text strings.Builder
	_, _ = fmt.Fprintf(&text, manifestHead, watts, engineWatts, serverWatts)
	_, _ = fmt.Fprintf(&text, modelEntry, "chat", weightBytes, enginesPerDomain, className(0), 1, len(zones), 100)
	if s.engines >= 2*enginesPerDomain {
		_, _ = fmt.Fprintf(&text, modelEntry, "summary", weightBytes, enginesPerDomain/2, className(1), 1, len(zones), 50)
	}
	models := "chat"
	if s.engines >= 2*enginesPerDomain {
		models = "chat, summary"
	}
	_, _ = fmt.Fprintf(&text, manifestTail, s.key.Hash, models)
	return text.String()
}

const manifestHead = `format: 1
site:
  name: demo
  power-cap-watts: %[1]d
  zones:
    - {name: zone-a, region: region-1}
    - {name: zone-b, region: region-1}
    - {name: zone-c, region: region-1}
  instance-classes:
    - {name: large, watts: %[2]d, accelerators: 8, checks-fencing: true, boot-time: 1s, failures-per-day: 0.02}
    - {name: large-trusting, watts: %[2]d, accelerators: 8, checks-fencing: false, boot-time: 1s, failures-per-day: 0.02}
    - {name: small, watts: %[3]d, accelerators: 0, checks-fencing: false, boot-time: 1s, failures-per-day: 0.005}
  weights: {group-downtime: 3, stranded: 1}
  grace: {drain: 20s, shed: 5s}
models:
`

const modelEntry = `  - {name: %s, version: v1, weight-bytes: %d, group-size: %d, instance-class: %s, min-groups: %d, max-groups: %d, priority: %d}
`

const manifestTail = `workspaces:
  - name: demo
    key-hashes: ["%s"]
    models: [%s]
    services: [ledger]
    priority: 10
    limits: {requests-per-second: 5000, tokens-per-second: 2000000, concurrency: 4000}
services:
  - name: ledger
    instance-class: small
    timeout: 5s
    calls:
      - {methods: [GET], path-prefix: /, repeatable: true}
      - {methods: [POST], path-prefix: /visits, repeatable: false, key-required: true}
      - {methods: [POST], path-prefix: /, repeatable: false}
...
`
