package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// What clients send.
const (
	tenant    = "hule930"
	apiKey    = "n2ctnfzs989anu6wsjnb"
	routeHost = "ficu95.example"
)

// request is a client's attempt and its answer; status is 0 if there was none.
type request struct {
	id       string
	node     int
	sent     time.Time
	answered time.Time
	status   int
}

// clients send requests to all nodes.
type clients struct {
	site     *site
	http     http.Client
	mu       sync.Mutex
	requests []*request
	pending  sync.WaitGroup
}

func (s *site) newClients() *clients {
	return &clients{site: s, http: http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 8 * time.Second, DisableCompression: true}}}
}

// send sends requests for a time, at a mean interval, to the nodes in turn, and returns when all have ended.
func (c *clients) send(duration, interval time.Duration, method, path string, deadline time.Duration) {
	end := time.Now().Add(duration)
	for i := 0; time.Now().Before(end); i++ {
		time.Sleep(time.Duration(rand.ExpFloat64() * float64(interval)))
		c.pending.Go(func() { c.one(i, method, path, deadline) })
	}
	c.pending.Wait()
}

// one sends one request.
func (c *clients) one(i int, method, path string, deadline time.Duration) {
	n := i % len(c.site.nodes)
	body := "record of a visit"
	id := fmt.Sprintf("%08x%08x", rand.Uint32(), i)
	r, err := http.NewRequest(method, "http://"+c.site.nodes[n].front+path, io.NopCloser(strings.NewReader(body)))
	if err != nil {
		panic(err)
	}
	r.ContentLength, r.Host = int64(len(body)), routeHost
	r.Header.Set("Garnetworks-Request-Id", id)
	r.Header.Set("Garnetworks-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	r.Header.Set("Authorization", "Token "+apiKey)
	x := &request{id: id, node: n, sent: time.Now()}
	c.site.note("request %s is sent to node %s", id, c.site.nodes[n].name)
	if response, err := c.http.Do(r); err == nil {
		_, err = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		if err == nil {
			x.status = response.StatusCode
		}
	}
	x.answered = time.Now()
	c.site.note("request %s is answered with status %d", id, x.status)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests = append(c.requests, x)
}
