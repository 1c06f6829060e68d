package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/garnetworks/garnetworks/faker/impersonator"
)

const (
	// revokedKey is the key that the second configuration takes away.
	revokedKey = "anfqasnmgkcuyj8pjbvk"
	// revokeTime is revoke-ms.
	revokeTime = 5 * time.Second
	// restoreAfter is how long after the acknowledgement of that configuration the store goes away,
	// awayTime how long it is away, and rewriteAfter how long after its return the operator writes
	// again what it lacks.
	restoreAfter = 5500 * time.Millisecond
	awayTime     = 800 * time.Millisecond
	rewriteAfter = 2 * time.Second
	// watchTime is how long after the return clients go on.
	watchTime = 6 * time.Second
)

// watchers notes from which port the configuration was last watched.
type watchers struct {
	store http.Handler
	port  atomic.Pointer[string]
}

// ServeHTTP implements http.Handler.
func (w *watchers) ServeHTTP(writer http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/v1/objects/config" && r.URL.Query().Has("watch") {
		if _, port, err := net.SplitHostPort(r.RemoteAddr); err == nil {
			w.port.Store(&port)
		}
	}
	w.store.ServeHTTP(writer, r)
}

// awaitReader returns the node that watched the configuration last. It tries again while that node's
// connection has ended meanwhile.
func (w *watchers) awaitReader(s *site) (*node, error) {
	const (
		limit    = 3 * time.Second
		interval = 50 * time.Millisecond
	)
	for end := time.Now().Add(limit); ; time.Sleep(interval) {
		n, err := w.reader(s)
		if err == nil || time.Now().After(end) {
			return n, err
		}
	}
}

// reader returns the node that has the connection on which the configuration was watched last.
func (w *watchers) reader(s *site) (*node, error) {
	port := w.port.Load()
	if port == nil {
		return nil, errors.New("no node watches the configuration")
	}
	inode, err := socketInode(*port)
	if err != nil {
		return nil, err
	}
	for _, n := range s.nodes {
		if n.hasSocket(inode) {
			return n, nil
		}
	}
	return nil, fmt.Errorf("no node has the port %s", *port)
}

// socketInode returns the inode of the local socket with a port.
func socketInode(port string) (string, error) {
	number, err := strconv.ParseUint(port, 10, 16)
	if err != nil {
		return "", err
	}
	table, err := os.ReadFile("/proc/self/net/tcp")
	if err != nil {
		return "", err
	}
	const localColumn, inodeColumn = 1, 9
	suffix := fmt.Sprintf(":%04X", number)
	for line := range strings.Lines(string(table)) {
		columns := strings.Fields(line)
		if len(columns) > inodeColumn && strings.HasSuffix(columns[localColumn], suffix) {
			return columns[inodeColumn], nil
		}
	}
	return "", fmt.Errorf("there is no socket with the port %s", port)
}

// hasSocket reports whether the node's process has a socket open.
func (n *node) hasSocket(inode string) bool {
	directory := fmt.Sprintf("/proc/%d/fd", n.pid())
	files, err := os.ReadDir(directory)
	if err != nil {
		return false
	}
	for _, f := range files {
		if target, err := os.Readlink(filepath.Join(directory, f.Name())); err == nil && target == "socket:["+inode+"]" {
			return true
		}
	}
	return false
}

// restoredCase takes a key away, lets the store come back from a copy from before that, while one
// node starts again, and checks that no request with the key runs later than revoke-ms (CONFIG).
func restoredCase(r *record, dir string, trouble bool) (bool, error) {
	s := newSite(r, dir)
	defer s.stop()
	watching := &watchers{store: s.store.Config.Handler}
	s.store.Config.Handler = watching
	s.addServices()
	route := routeSpec{name: "r-396qagb", prefix: "/safe/", kind: "safe", service: "service-ledger", timeoutMS: 1500, objectiveMS: 150, attempts: 2}
	s.configure(7, []string{apiKey, revokedKey}, route)
	if err := s.start(len(zones)); err != nil {
		return false, err
	}
	q := request{method: http.MethodGet, path: "/safe/stock", deadline: 1500 * time.Millisecond}
	for _, n := range s.nodes {
		if err := awaitServing(n.front, q, 30*time.Second); err != nil {
			return false, err
		}
	}
	time.Sleep(4 * time.Second)
	old := s.store.Copy()
	s.configure(8, []string{apiKey}, route)
	acked := time.Now()
	r.printf("configuration 8 takes the key away; acknowledged")
	time.Sleep(restoreAfter)
	n, err := watching.awaitReader(s)
	if err != nil {
		return false, err
	}
	r.printf("%s reads the configuration for the others", n.name)
	if trouble {
		s.kill(n)
		r.printf("the store is away")
		s.store.UpdateFaults(func(f *impersonator.StoreFaults) { f.Down = true })
		s.store.Restore(old)
		if err := s.run(n, false); err != nil {
			return false, err
		}
	}
	time.Sleep(awayTime)
	if trouble {
		s.store.UpdateFaults(func(f *impersonator.StoreFaults) { f.Down = false })
		r.printf("the store is back from its copy, one era higher")
	}
	back := time.Now()
	rewritten := !trouble
	q.key = revokedKey
	ran, last := 0, 0
	for time.Since(back) < watchTime {
		if !rewritten && time.Since(back) >= rewriteAfter {
			rewritten = true
			s.configure(8, []string{apiKey}, route)
			r.printf("the operator writes configuration 8 again")
		}
		a := once(n.front, q)
		if a.status != last || a.status == http.StatusOK {
			r.printf("request %s", a)
			last = a.status
		}
		for _, b := range s.services {
			for _, run := range b.Runs() {
				if run.ID == a.id && a.sent.Sub(acked) > revokeTime {
					ran++
					r.printf("  it ran at %s, %s after the acknowledgement", b.ID, a.sent.Sub(acked).Round(time.Millisecond))
				}
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	if ran == 0 {
		return false, nil
	}
	return true, fmt.Errorf("%w: CONFIG, %d requests with a key that was taken away ran", errRule, ran)
}
