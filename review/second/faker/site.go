package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/garnetworks/garnetworks/faker/impersonator"
)

const (
	// heartbeatInterval is the time between two writes of a server's entry.
	heartbeatInterval = 1200 * time.Millisecond
	// startTime is the time from the start of the machines to that of the traffic.
	startTime = 10 * time.Second
	// stopTime is the grace of a planned stop.
	stopTime = 8 * time.Second
)

// zones are the site's availability zones.
var zones = []string{"jackson-a", "jackson-b", "hattiesburg"}

// site is a small deployment: the store, servers and entry nodes.
type site struct {
	options *options
	dir     string
	began   time.Time
	store   *impersonator.Store
	front   *storeFront

	mu      sync.Mutex
	record  *bufio.Writer
	file    *os.File
	nodes   []*node
	servers []*server
	closed  chan struct{}
	closing sync.Once
}

// node is an entry node's process.
type node struct {
	name    string
	front   string
	control string
	ready   string
	path    string
	process *exec.Cmd
	ended   chan struct{}
}

func newSite(o *options) (*site, error) {
	s := &site{options: o, began: time.Now(), closed: make(chan struct{})}
	var err error
	if s.dir, err = os.MkdirTemp("", "review-"); err != nil {
		return nil, err
	}
	if s.file, err = os.Create(o.record); err != nil {
		return nil, err
	}
	s.record = bufio.NewWriter(s.file)
	s.store = impersonator.NewStore()
	if s.front, err = newStoreFront(s.store); err != nil {
		return nil, err
	}
	return s, nil
}

// note writes a line to the record.
func (s *site) note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _ = fmt.Fprintf(s.record, "%7.3f ", time.Since(s.began).Seconds())
	_, _ = fmt.Fprintf(s.record, format+"\n", args...)
}

// close ends all processes and servers.
func (s *site) close() {
	s.closing.Do(s.end)
}

func (s *site) end() {
	close(s.closed)
	for _, n := range s.nodes {
		n.end(syscall.SIGKILL)
	}
	for _, b := range s.servers {
		b.exit()
	}
	s.front.close()
	s.store.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.record.Flush()
	_ = s.file.Close()
	_ = os.RemoveAll(s.dir)
}

// configure writes the operators' configuration.
func (s *site) configure(version int, routes, services []any) error {
	spec, err := json.Marshal(map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits":  map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 5000, "idle-timeout-ms": 15000},
		"tenants": []any{map[string]any{"name": tenant, "api-keys": []string{apiKey}}},
	})
	if err != nil {
		return err
	}
	s.store.SetText("config", "main", string(spec))
	s.note("configuration %d is acknowledged", version)
	return nil
}

// freeAddress returns an address of the host that nothing listens on.
func freeAddress(host string) (string, error) {
	l, err := net.Listen("tcp4", net.JoinHostPort(host, "0"))
	if err != nil {
		return "", err
	}
	return l.Addr().String(), l.Close()
}

// startNodes starts entry nodes, each at a loopback address of its own, one zone after the other.
func (s *site) startNodes(count int) error {
	hosts := os.Getpid() % 250
	for i := range count {
		host := fmt.Sprintf("127.88.%d.%d", hosts, i+2)
		n := &node{name: fmt.Sprintf("front-%s-%d", zones[i%len(zones)], i/len(zones)+1), path: filepath.Join(s.dir, fmt.Sprintf("node-%d.yaml", i))}
		for _, address := range []*string{&n.front, &n.control, &n.ready} {
			var err error
			if *address, err = freeAddress(host); err != nil {
				return err
			}
		}
		s.nodes = append(s.nodes, n)
	}
	for i := range s.nodes {
		if err := s.startNode(i, true); err != nil {
			return err
		}
	}
	return nil
}

// startNode starts the process of a node.
func (s *site) startNode(i int, first bool) error {
	n := s.nodes[i]
	if err := os.WriteFile(n.path, []byte(s.settings(i, first)), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(s.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	n.process = exec.Command(s.options.daemon, "--platform")
	n.process.Env = []string{"GARNETWORKS_NODE_FILE=" + n.path, "PATH=" + os.Getenv("PATH"), "HOME=" + s.dir, "LANG=C"}
	n.process.Stdout, n.process.Stderr = log, log
	if err := n.process.Start(); err != nil {
		return err
	}
	n.ended = make(chan struct{})
	go func() {
		_ = n.process.Wait() // how it ended is not of interest
		close(n.ended)
	}()
	s.note("node %s starts, process %d", n.name, n.process.Process.Pid)
	return nil
}

// end sends a signal to the node's process and waits for its end.
func (n *node) end(signal os.Signal) {
	if n.process == nil {
		return
	}
	_ = n.process.Process.Signal(signal) // it may have ended
	select {
	case <-n.ended:
	case <-time.After(stopTime):
		_ = n.process.Process.Kill()
		<-n.ended
	}
}

// settings returns the settings file of a node.
func (s *site) settings(i int, first bool) string {
	n := s.nodes[i]
	host, _, _ := net.SplitHostPort(n.front)
	seeds := ""
	for _, seed := range s.nodes[:min(3, len(s.nodes))] {
		seeds += fmt.Sprintf("  - %q\n", seed.control)
	}
	return fmt.Sprintf(`node: %q
role: "entry-node"
machine-class: "front"
serves: ["front", "control"]
ip: %q
zone: %q
region: "gulf-south"
zones: {jackson-a: "gulf-south", jackson-b: "gulf-south", hattiesburg: "gulf-south"}
listen: {front: %q, ready: %q, control: %q}
internal-port-range: [7340, 7355]
seeds:
%sfirst-start: %t
loss-counts: false
limits: {cpu-share: 0.4, cpu-speed: 1, memory-mb: 284, max-fds: 4200, link-mbps: 1000.0, disk-mb: 0}
data-dir: null
discovery: "platform"
entry: "vip"
heartbeat-ms: 1200
bounds: {seed-lag-s: 3, reuse-after-s: 2, stable-window-ms: 3000, ack-ms: 4000, catch-up-s: 4, drain-ms: 2000, grace-s: 8, loss-slack-ms: 200, config-apply-ms: 2000, rollback-slack-ms: 250, outer-ms: 5000, revoke-fail-closed: true, revoke-ms: 5000, retry-budget-ratio: 0.2, budget-window-s: 10, budget-slack: 130, recover-s: 12, pass-ms: 120, retry-after-s: 0, stall-ms: 4000, require-fencing: false, ceiling-window-s: 5, ceiling-overage: 1.1}
platform: {address: %q, form: "objects", writes-per-s: 400, reads-per-s: 2000, history-s: 20, value-bytes: 1048576, ttl-min-ms: 1000}
`, n.name, host, zones[i%len(zones)], n.front, n.ready, n.control, seeds, first, s.front.address())
}
