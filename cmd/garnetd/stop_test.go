package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// Guards against requests that are sent on late in a planned stop and never answered.
func TestRequestsInAPlannedStopAreAnswered(t *testing.T) {
	cases := map[string]struct {
		work, deadline time.Duration
		// crowd is the number of requests that are in flight at SIGTERM besides the late ones.
		crowd int
	}{
		"short work":                  {time.Second, 5 * time.Second, 0},
		"short work, long deadline":   {time.Second, 30 * time.Second, 0},
		"long work":                   {4 * time.Second, 6 * time.Second, 0},
		"work beyond the grace":       {20 * time.Second, 30 * time.Second, 0},
		"crowd, beyond the grace":     {20 * time.Second, 30 * time.Second, 400},
		"work beyond the deadline":    {20 * time.Second, 2 * time.Second, 0},
		"work as long as what's left": {2500 * time.Millisecond, 5 * time.Second, 0},
	}
	for name, tt := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel() // each spends its time in waiting for the end of the grace
			s := newOnceSite(t, onceOptions{Nodes: 1, Grace: 8 * time.Second, WorkTime: tt.work, Timeout: tt.deadline})
			s.awaitListening()
			s.stopUnderRequests(tt.deadline, tt.crowd)
		})
	}
}

// awaitListening waits until each node accepts connections and has read the site's state.
func (s *onceSite) awaitListening() {
	end := time.Now().Add(serveTime)
	for _, node := range s.nodes {
		for {
			c := &onceClient{site: s, address: node.front, key: "unknown"}
			status := c.request("unknown-key")
			c.close()
			if status == 401 {
				break
			}
			if time.Now().After(end) {
				s.t.Fatal("the node does not listen")
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
}

// lateRequest is a request of which a part arrives before a planned stop begins, and the rest after it.
type lateRequest struct {
	onceClient
	id, rest string
	status   int
	ended    time.Time
	// sent says that the rest was sent before the connection ended.
	sent bool
}

// open sends all of a request but the last bytes.
func (r *lateRequest) open(deadline time.Duration, missing int) error {
	conn, err := net.DialTimeout("tcp4", r.address, time.Second)
	if err != nil {
		return err
	}
	r.conn, r.reader = conn, bufio.NewReader(conn)
	text := requestText(r.id, r.site.key, deadline)
	r.rest = text[len(text)-missing:]
	_, err = io.WriteString(conn, strings.TrimSuffix(text, r.rest))
	return err
}

// finish sends the rest after a while, unless the answer comes before.
func (r *lateRequest) finish(after time.Duration) {
	defer func() { r.ended = time.Now(); r.close() }()
	answered := make(chan onceAnswer, 1)
	go func() {
		answer, _ := r.receive()
		answered <- answer
	}()
	select {
	case answer := <-answered:
		r.status = answer.status
	case <-time.After(after):
		_, err := io.WriteString(r.conn, r.rest)
		r.sent = err == nil
		r.status = (<-answered).status
	}
}

// stopUnderRequests stops the node while requests arrive, and checks that each that ran, and each of which a
// part of the body had arrived before the stop, got an answer.
func (s *onceSite) stopUnderRequests(deadline time.Duration, crowd int) {
	const interval = 250 * time.Millisecond
	var late []*lateRequest
	for after := time.Duration(0); after < s.grace; after += interval {
		r := &lateRequest{onceClient: onceClient{site: s, address: s.nodes[0].front}, id: fmt.Sprint("late-", after)}
		if err := r.open(deadline, 2); err != nil {
			s.t.Fatal(err)
		}
		late = append(late, r)
	}
	var clients sync.WaitGroup
	var whole []*lateRequest
	for i := range crowd {
		r := &lateRequest{onceClient: onceClient{site: s, address: s.nodes[0].front}, id: fmt.Sprint("crowd-", i)}
		if err := r.open(deadline, 0); err != nil {
			s.t.Fatal(err)
		}
		whole = append(whole, r)
		clients.Go(func() { r.finish(0) })
	}
	time.Sleep(interval) // the node has begun to read them
	s.nodes[0].signal(syscall.SIGTERM)
	for i, r := range late {
		clients.Go(func() { r.finish(time.Duration(i) * interval) })
	}
	for i := 0; ; i++ {
		r := &lateRequest{onceClient: onceClient{site: s, address: s.nodes[0].front}, id: fmt.Sprint("whole-", i)}
		if r.open(deadline, 0) != nil {
			break // the node accepts no connections any more
		}
		whole = append(whole, r)
		clients.Go(func() { r.finish(0) })
		time.Sleep(interval)
	}
	<-s.nodes[0].ended
	clients.Wait()
	runs := s.countRuns()
	statuses := make(map[int]int)
	var lost []time.Time
	for _, r := range append(late, whole...) {
		statuses[r.status]++
		if r.status == 504 {
			lost = append(lost, r.ended)
		}
		switch ran := runs[r.id]; {
		case ran > 0 && r.status == 0:
			s.t.Errorf("%s was passed on and got no answer", r.id)
		case ran > 0 && r.status == 503:
			s.t.Errorf("%s ran and was answered %d", r.id, r.status)
		case ran == 0 && r.status == 0 && strings.HasPrefix(r.id, "late"):
			s.t.Errorf("%s, whose rest was sent: %t, got no answer", r.id, r.sent)
		}
	}
	s.t.Logf("%d requests, %d ran, answers by status: %v", len(late)+len(whole), len(runs), statuses)
	if len(lost) > 0 {
		s.t.Logf("status 504 within %s", slices.MaxFunc(lost, time.Time.Compare).Sub(slices.MinFunc(lost, time.Time.Compare)))
	}
}
