package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/garnetworks/garnetworks/faker/impersonator"
)

// errRule is the error of a broken rule.
var errRule = errors.New("rule broken")

const (
	host      = "ficu95.example"
	apiKey    = "n2ctnfzs989anu6wsjnb"
	tenant    = "hule930"
	modelName = "daka510000"
	// deadlineMS is what clients of streams wait, as for the sheet's longest kind of request.
	deadlineMS = 8000
	// stopTime is how long the processes may take to stop at the end.
	stopTime = 3 * time.Second
)

// lockedWriter lets several goroutines write whole lines.
type lockedWriter struct {
	mu sync.Mutex
	w  io.Writer
}

func (l *lockedWriter) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.w.Write(p)
}

// zones are those of the small site; each has one entry node here.
var zones = []string{"jackson-a", "jackson-b", "hattiesburg"}

// nodeSpec describes an entry node.
type nodeSpec struct {
	name, zone, ip        string
	front, ready, control string
}

// site is a small deployment on loopback addresses.
type site struct {
	record   *record
	dir      string
	seeds    []string
	store    *impersonator.Store
	engines  []*impersonator.Backend
	services []*impersonator.Backend
	nodes    []*node
}

// node is an entry node that runs as a process.
type node struct {
	nodeSpec
	// err is how the process ended; it is read after ended was closed.
	err error

	mu      sync.Mutex
	command *exec.Cmd
	// ended is closed when the process has ended.
	ended chan struct{}
}

func newSite(r *record, dir string) *site {
	s := &site{record: r, dir: dir, store: impersonator.NewStore()}
	return s
}

// addEngines adds engines of one fabric domain in a zone.
func (s *site) addEngines(zone, domain string, count int) {
	for range count {
		id := fmt.Sprintf("i-7f3a91%02x", len(s.engines))
		s.engines = append(s.engines, impersonator.NewBackend(s.store, id, "garnet-llm", zone, domain))
	}
}

// addServices adds a server of the plain service to each zone.
func (s *site) addServices() {
	for _, zone := range zones {
		id := fmt.Sprintf("i-02d9e6%02x", len(s.services))
		b := impersonator.NewBackend(s.store, id, "service-ledger", zone, "")
		b.UpdateFaults(func(f *impersonator.BackendFaults) { f.ExecutionTime = 30 * time.Millisecond })
		s.services = append(s.services, b)
	}
}

// routeSpec is a route of the configuration.
type routeSpec struct {
	name, prefix, kind, service string
	timeoutMS, objectiveMS      int
	attempts                    int
	resumable                   bool
}

// configure writes the operator's configuration with the routes.
func (s *site) configure(version int, keys []string, routes ...routeSpec) {
	list := make([]any, 0, len(routes))
	for _, r := range routes {
		list = append(list, map[string]any{
			"name": r.name, "host": host, "path-prefix": r.prefix, "kind": r.kind, "service": r.service, "attempts": r.attempts,
			"timeout-ms": r.timeoutMS, "slo-ms": r.objectiveMS, "gap-aim-ms": 250, "priority": 1, "public": false,
			"sticky": r.kind == "streaming", "can-resume": r.resumable,
		})
	}
	s.store.Set("config", "main", map[string]any{
		"version": version, "routes": list,
		"services": []any{
			map[string]any{"name": "garnet-llm", "health-path": "/healthz", "max-connections": 394, "protocol": "h1", "tls": false, "engine": map[string]any{
				"slots": 26, "kv-capacity": 2470000, "stride": 6, "step_ms": 6.45, "per_seq_ms": 0.0967, "context_per_k": 0.00293,
				"read_per_s": 56100.0, "pairs_per_m": 0.309, "chunk": 2048, "report_lag_ms": 200.0, "loads-per-s": 5.5, "loads_at_once": 8,
				"usual": map[string]any{"prompt": 1115, "answer": 152}, "keeps": 1, "far_x": 2.5, "form-ms": 300.0,
				"models": []any{map[string]any{"name": modelName, "size": 3, "share": 1.0, "pace": 1.0, "load-s": 12.0, "warm-s": 1.1}},
			}},
			map[string]any{"name": "service-ledger", "health-path": "/healthz", "max-connections": 96, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants": []any{map[string]any{"name": tenant, "api-keys": keys, "priority": 1}},
	})
}

// freeAddress returns a free port on ip, with the address.
func freeAddress(ip string) (string, error) {
	l, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// start starts one entry node in each of the last count zones.
func (s *site) start(count int) error {
	specs := make([]nodeSpec, 0, count)
	for i, zone := range zones[len(zones)-count:] {
		n := nodeSpec{name: "front-" + zone + "-1", zone: zone, ip: fmt.Sprintf("127.0.0.%d", 41+i)}
		for _, address := range []*string{&n.front, &n.ready, &n.control} {
			var err error
			if *address, err = freeAddress(n.ip); err != nil {
				return err
			}
		}
		specs = append(specs, n)
		s.seeds = append(s.seeds, n.control)
	}
	for _, spec := range specs {
		n := &node{nodeSpec: spec}
		s.nodes = append(s.nodes, n)
		if err := s.run(n, true); err != nil {
			return err
		}
	}
	return nil
}

// run starts a node's process.
func (s *site) run(n *node, first bool) error {
	path := filepath.Join(s.dir, n.name+".yaml")
	if err := os.WriteFile(path, []byte(s.settings(n.nodeSpec, first)), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(s.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	// The platform limits the descriptors of each process.
	command := exec.Command("target/garnetd", "--platform")
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + s.dir, "LANG=C", "GARNETWORKS_NODE_FILE=" + path}
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	n.mu.Lock()
	n.command, n.ended = command, ended
	n.mu.Unlock()
	go func() {
		n.err = command.Wait()
		close(ended)
	}()
	s.record.printf("%s starts as process %d", n.name, command.Process.Pid)
	return nil
}

// kill ends a node's process with SIGKILL.
func (s *site) kill(n *node) {
	s.record.printf("%s is killed", n.name)
	<-n.signal(syscall.SIGKILL)
}

// signal sends a signal that ends the process, and returns the channel that is closed when it has ended.
func (n *node) signal(number syscall.Signal) <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	_ = n.command.Process.Signal(number) // fails if the process has ended
	return n.ended
}

// settings returns a node's settings file, as the platform writes it for a small deployment.
func (s *site) settings(n nodeSpec, first bool) string {
	var b strings.Builder
	fmt.Fprintf(&b, "node: %q\nrole: entry-node\nmachine-class: front\nserves: [front, control]\nip: %q\nzone: %q\nregion: gulf-south\n", n.name, n.ip, n.zone)
	fmt.Fprintf(&b, "zones:\n")
	for _, zone := range zones {
		fmt.Fprintf(&b, "  %s: gulf-south\n", zone)
	}
	fmt.Fprintf(&b, "listen:\n  front: %q\n  ready: %q\n  control: %q\ninternal-port-range: [7340, 7355]\nseeds:\n", n.front, n.ready, n.control)
	for _, seed := range s.seeds {
		fmt.Fprintf(&b, "  - %q\n", seed)
	}
	fmt.Fprintf(&b, "first-start: %t\nloss-counts: false\nlimits: {cpu-share: 0.4, cpu-speed: 1, memory-mb: 284, max-fds: 4200, link-mbps: 1000.0, disk-mb: 0}\n", first)
	fmt.Fprintf(&b, "data-dir: null\ndiscovery: platform\nentry: vip\nheartbeat-ms: 1200\n")
	fmt.Fprintf(&b, "contracts: [base, drain, config, cost, retry, recover, engine, stream, tenants, platform, gangs]\n")
	fmt.Fprintf(&b, "fault-tolerance: {machines: 2, zones: 1, regions: 0}\n")
	fmt.Fprintf(&b, "bounds: {seed-lag-s: 3, reuse-after-s: 2, stable-window-ms: 3000, ack-ms: 4000, catch-up-s: 4, drain-ms: 2000, grace-s: 8, loss-slack-ms: 200,"+
		" config-apply-ms: 2000, rollback-slack-ms: 250, outer-ms: 5000, revoke-fail-closed: true, revoke-ms: 5000, retry-budget-ratio: 0.2, budget-window-s: 10,"+
		" budget-slack: 130, recover-s: 12, pass-ms: 120, retry-after-s: 0, stall-ms: 4000, require-fencing: false, ceiling-window-s: 5, ceiling-overage: 1.1}\n")
	fmt.Fprintf(&b, "platform: {address: %q, form: objects, writes-per-s: 400, reads-per-s: 2000, history-s: 20, value-bytes: 1048576, ttl-min-ms: 1000}\n", s.store.Address())
	return b.String()
}

// stop ends the processes and the stand-ins.
func (s *site) stop() {
	for _, n := range s.nodes {
		n.signal(syscall.SIGKILL)
	}
	for _, n := range s.nodes {
		select {
		case <-n.signal(syscall.SIGKILL):
		case <-time.After(stopTime):
			s.record.printf("%s does not end", n.name)
		}
	}
	for _, b := range append(append([]*impersonator.Backend(nil), s.engines...), s.services...) {
		b.Close()
	}
	s.store.Close()
}

func (n *node) pid() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.command.Process.Pid
}
