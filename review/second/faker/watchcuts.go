package main

import (
	"fmt"
	"time"
)

const (
	// drainTime is the site's drain-ms.
	drainTime = 2 * time.Second
	// The waiting watches are cut off twice, cutLead before the server's entry is removed and cutLag after
	// that, for cutTime each; no watch waits for longer than cutStep meanwhile.
	cutLead = time.Second
	cutLag  = time.Second
	cutTime = 200 * time.Millisecond
	cutStep = 20 * time.Millisecond
	// requestInterval is that of the sheet's 12.7 visit-logs a second in a burst of 1.7.
	requestInterval = 46 * time.Millisecond
	// servingTime is how long a server goes on serving after its entry was removed.
	servingTime = 3 * time.Second
)

// playWatchCuts lets a server leave without reporting it, while the store cuts off waiting watches.
func playWatchCuts(s *site) ([]string, error) {
	const service = "puxa403"
	for i, zone := range zones {
		if _, err := s.startServer(fmt.Sprintf("i-%08x", 0x7f3a91c0+i), service, zone); err != nil {
			return nil, err
		}
	}
	route := map[string]any{"name": "visit-log", "host": routeHost, "path-prefix": "/puxa403/", "service": service, "kind": "unsafe", "attempts": 1, "timeout-ms": 800, "slo-ms": 150, "priority": 2, "public": false}
	if err := s.configure(7, []any{route}, []any{map[string]any{"name": service, "health-path": "/healthz", "max-connections": 96}}); err != nil {
		return nil, err
	}
	if err := s.startNodes(3); err != nil {
		return nil, err
	}
	time.Sleep(startTime)
	c := s.newClients()
	var removed time.Time
	leaving := s.servers[0]
	left := make(chan struct{})
	go func() {
		defer close(left)
		time.Sleep(4 * time.Second)
		go s.cutWatches()
		time.Sleep(cutLead)
		removed = leaving.leave()
		time.AfterFunc(cutLag, s.cutWatches)
		time.Sleep(servingTime)
		leaving.exit()
		s.note("server %s exits", leaving.id)
	}()
	c.send(10*time.Second, requestInterval, "POST", "/puxa403/2f", 1500*time.Millisecond)
	<-left
	return s.checkLeft(c, leaving, removed)
}

// cutWatches cuts off the watches that wait, for cutTime.
func (s *site) cutWatches() {
	if !s.options.trouble {
		return
	}
	n := 0
	for end := time.Now().Add(cutTime); time.Now().Before(end); time.Sleep(cutStep) {
		n += s.front.cutWatches()
	}
	s.note("%d waiting watches are cut off within %v", n, cutTime)
}

// checkLeft checks that no request reached a server later than drainTime after its entry was removed.
func (s *site) checkLeft(c *clients, leaving *server, removed time.Time) ([]string, error) {
	served, late, lost, last := 0, 0, 0, time.Duration(0)
	for _, x := range c.requests {
		if x.status == 200 {
			served++
		}
		at, ok := leaving.arrivedAt(x.id)
		if !ok || at.Sub(removed) <= drainTime {
			continue
		}
		late++
		last = max(last, at.Sub(removed))
		if x.status != 200 {
			lost++
		}
	}
	s.note("%d requests, %d served; %d reached server %s later than %v after its removal, the last %.3f s after it; %d of these got no answer of it", len(c.requests), served, late, leaving.id, drainTime, last.Seconds(), lost)
	if served < len(c.requests)/2 {
		return nil, fmt.Errorf("only %d of %d requests were served", served, len(c.requests))
	}
	if late == 0 {
		return nil, nil
	}
	return []string{fmt.Sprintf("DRAIN: %d requests reached server %s later than %v after its entry was removed, the last %.3f s after it; %d of these got no answer of it", late, leaving.id, drainTime, last.Seconds(), lost)}, nil
}
