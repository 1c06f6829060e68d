package main

import (
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"
)

// nested returns lists nested depth deep around inner.
func nested(inner string, depth int) string {
	return strings.Repeat("[", depth) + inner + strings.Repeat("]", depth)
}

// oddEntry returns the entry of a server with one field replaced or added as it is.
func oddEntry(field, text string) string {
	fields := map[string]string{
		"service": `"ledger"`, "address": `"127.0.9.9:80"`, "zone": `"z1"`, "version": `"v1"`, "slots": "40", "state": `"ready"`,
		"cold-remaining-ms": "0", "sequence": "1",
	}
	fields[field] = text
	var list []string
	for name, value := range fields {
		list = append(list, fmt.Sprintf("%q:%s", name, value))
	}
	return "{" + strings.Join(list, ",") + "}"
}

// nestedEntryDepth is more than a JSON decoder accepts; such an entry is far smaller than the store's limit.
const nestedEntryDepth = 20_000

// oddEntries returns entries that another writer may leave among those of the servers, by what is odd.
func oddEntries() map[string]string {
	return map[string]string{
		"nested":               nested("", nestedEntryDepth),
		"nested maps":          strings.Repeat(`{"a":`, nestedEntryDepth) + "1" + strings.Repeat("}", nestedEntryDepth),
		"nested known field":   oddEntry("zone", nested("", nestedEntryDepth)),
		"nested unknown field": oddEntry("note", nested("", nestedEntryDepth)),
		"nested string":        oddEntry("note", nested(`"\"]\\"`, nestedEntryDepth)),
		"nested within limits": oddEntry("note", nested("", 9_000)),
		"1e400":                oddEntry("cold-remaining-ms", "1e400"),
		"slots of 2^62":        oddEntry("slots", "4611686018427387904"),
		"slots of 2^70":        oddEntry("slots", "1180591620717411303424"),
		"100,000 digits":       oddEntry("sequence", strings.Repeat("9", 100_000)),
		"port 65536":           oddEntry("address", `"127.0.9.9:65536"`),
		"port -1":              oddEntry("address", `"127.0.9.9:-1"`),
	}
}

// replaceServers replaces all processes of servers by others under other identifiers. The old entries remain
// for entryTime.
func (s *onceSite) replaceServers() {
	for _, server := range s.servers {
		s.restartServer(server)
	}
}

// Guards against an odd entry among those of the servers by which nodes lose all servers.
func TestOddEntriesHideNoServer(t *testing.T) {
	s := newOnceSite(t, onceOptions{})
	s.awaitServing()
	for name, text := range oddEntries() {
		s.store.SetText("servers", "i-odd-"+strings.ReplaceAll(name, " ", "-"), text)
	}
	s.replaceServers()
	time.Sleep(entryTime) // only entries that nodes have read since then are of use
	s.awaitServing()
	for i := range s.nodes {
		s.restartNode(i, syscall.SIGKILL)
	}
	s.awaitServing()
}

// Guards against a nested object beside the routing by which nodes miss changes of it.
func TestNestedObjectDoesNotHideTheRouting(t *testing.T) {
	s := newOnceSite(t, onceOptions{})
	s.awaitServing()
	s.store.SetText("config", "another", nested("", nestedEntryDepth))
	s.key = "k2"
	s.configure(onceTimeout, 15*time.Second, 3*time.Second)
	s.awaitServing()
	old := &onceClient{site: s, address: s.nodes[0].front, key: "k1"}
	defer old.close()
	if status := old.request("revoked"); status != http.StatusUnauthorized {
		t.Errorf("a request with the revoked key was answered %d", status)
	}
}
