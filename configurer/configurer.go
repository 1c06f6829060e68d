// Package configurer parses and checks the settings of an entry node before anything
// starts.
//
// The rules:
//
//	C1  Every field is declared once in the table Fields, with its help, default,
//	    check and setter; the printed example and the errors are made from the
//	    table.
//	C2  Unknown fields are rejected.
//	C3  A field without a default is required.
//	C4  Each fault is one line with the field, the value and what is allowed;
//	    all faults are reported at once.
//	C5  Settings that are valid alone but not in combination are reported in the
//	    same form.
package configurer

import (
	"fmt"
	"net"
	"os"
	"sort"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/pkg/errors"

	"github.com/garnetworks/garnetworks"
)

// Settings is the configuration of an entry node.
type Settings struct {
	// Node is the node's name, unique in the site.
	Node garnetworks.NodeID
	// Zone is the availability zone of the node's instance.
	Zone garnetworks.ZoneID
	// Region is the region of Zone.
	Region garnetworks.RegionID
	// Listen holds the addresses to listen on, each as ip:port.
	Listen Listen
	// Advertise is the ip:port at which peers reach this node; empty means the
	// address that Listen.Peers is bound to.
	Advertise string
	// Seeds are the peer addresses to contact first, in addition to the rosters in
	// the object API.
	Seeds []string
	// Platform holds the base URLs of the platform's services.
	Platform Platform
	// PeerTLS secures connections between nodes and from operators.
	PeerTLS TLSFiles
	// CallerTLS secures callers' connections; empty if the platform's load balancer
	// terminates TLS.
	CallerTLS TLSFiles
	// AllowInsecure permits non-loopback peer and admin addresses without PeerTLS.
	AllowInsecure bool
	// Limits bound the resources that callers can use.
	Limits Limits
	// DrainGrace is how long a planned stop waits for calls in flight.
	DrainGrace time.Duration
	// EventRing is the number of timeline events kept.
	EventRing int
	// LogLevel is one of trace, debug, info, warn, error.
	LogLevel string
}

// Listen holds a node's listen addresses.
type Listen struct {
	Callers string
	Peers   string
	Admin   string
}

// Platform holds the base URLs of the platform's services.
type Platform struct {
	ObjectAPI    string
	InstanceList string
	Power        string
	WeightStore  string
}

// TLSFiles holds names of PEM files. Certificate and Key are both set or both empty.
type TLSFiles struct {
	Certificate string
	Key         string
	// Authorities are the certificate authorities that verify the other side.
	Authorities string
}

// Enabled reports whether a certificate is set.
func (t TLSFiles) Enabled() bool { return t.Certificate != "" }

// Limits bound the resources that callers can use.
type Limits struct {
	// BodyBytes bounds the size of a request body.
	BodyBytes int64
	// HeaderBytes bounds the size of a request's headers.
	HeaderBytes int
	// TotalHeaderBytes bounds the memory that the headers of all requests take, some ten to twenty times
	// what is sent if the fields are short.
	TotalHeaderBytes int64
	// HeaderTime bounds the time to read a request's headers.
	HeaderTime time.Duration
	// Connections bounds the number of open caller connections, below what the process's limit of
	// descriptors leaves for them.
	Connections int
}

// Fault is one error in a settings file.
type Fault struct {
	// Field is the path of the field, such as listen.peers.
	Field string
	// Value is the given value, shortened; empty if there was none.
	Value string
	// Allowed describes the values that the field accepts.
	Allowed string
	// Problem is the kind of error, such as unknown field or bad value.
	Problem string
}

// String returns the fault as one line.
func (f Fault) String() string {
	if f.Value == "" {
		return fmt.Sprintf("settings: %s: %s; allowed: %s", f.Field, f.Problem, f.Allowed)
	}
	return fmt.Sprintf("settings: %s: %s %q; allowed: %s", f.Field, f.Problem, f.Value, f.Allowed)
}

// Faults are all faults of a settings file, sorted by field.
type Faults []Fault

// Error returns the faults, one per line.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}

// Load parses the settings file at path. Its errors are of kind
// garnetworks.KindInvalidSettings with Faults as their cause.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		fault := Fault{Field: path, Problem: "can't be read: " + errors.Cause(err).Error(), Allowed: "a readable YAML file"}
		return Settings{}, invalid(Faults{fault})
	}
	return Parse(data)
}

// Parse parses settings. Its errors are of kind garnetworks.KindInvalidSettings with
// Faults as their cause (rule C4).
func Parse(data []byte) (Settings, error) {
	var tree map[string]any
	if err := yaml.Unmarshal(data, &tree); err != nil {
		return Settings{}, invalid(Faults{syntaxFault(err)})
	}
	values := make(map[string]any)
	flatten("", tree, values)

	var s Settings
	faults := setFields(&s, values)
	faults = append(faults, unknownFields(values)...)
	if len(faults) == 0 {
		faults = checkCombinations(&s)
	}
	if len(faults) > 0 {
		sort.Slice(faults, func(i, j int) bool { return faults[i].Field < faults[j].Field })
		return Settings{}, invalid(faults)
	}
	return s, nil
}

func invalid(faults Faults) error {
	return &garnetworks.Error{Kind: garnetworks.KindInvalidSettings, Cause: faults}
}

// syntaxFault keeps the first line of the parser's message, which has the position;
// the others quote the file.
func syntaxFault(err error) Fault {
	first, _, _ := strings.Cut(err.Error(), "\n")
	return Fault{Field: "file", Problem: "bad syntax: " + first, Allowed: "YAML with each key once"}
}

// flatten converts nested maps to dotted paths. An empty map is kept as a value, so
// that an empty section is reported if it is unknown.
func flatten(prefix string, tree map[string]any, values map[string]any) {
	for name, value := range tree {
		path := name
		if prefix != "" {
			path = prefix + "." + name
		}
		if nested, ok := value.(map[string]any); ok && len(nested) > 0 {
			flatten(path, nested, values)
			continue
		}
		values[path] = value
	}
}

func setFields(s *Settings, values map[string]any) Faults {
	var faults Faults
	for i := range Fields {
		f := &Fields[i]
		value, ok := values[f.Path]
		if !ok || value == nil {
			if f.Required {
				faults = append(faults, Fault{Field: f.Path, Problem: "missing value", Allowed: f.Allowed}) // C3
				continue
			}
			value = f.Default
		}
		if err := f.set(s, value); err != nil {
			faults = append(faults, Fault{Field: f.Path, Value: shorten(value), Problem: "bad value", Allowed: f.Allowed})
		}
	}
	return faults
}

func unknownFields(values map[string]any) Faults {
	known := make(garnetworks.Set[string], len(Fields))
	for i := range Fields {
		known.Add(Fields[i].Path)
	}
	var faults Faults
	for path, value := range values {
		if known.Has(path) || isEmptySection(path, value) {
			continue
		}
		faults = append(faults, Fault{Field: path, Value: shorten(value), Problem: "unknown field", Allowed: "the fields of garnetd --print-example"}) // C2
	}
	return faults
}

// isEmptySection reports whether path is a known section without content, which is the
// same as leaving it out.
func isEmptySection(path string, value any) bool {
	if nested, isMap := value.(map[string]any); value != nil && (!isMap || len(nested) > 0) {
		return false
	}
	for i := range Fields {
		if strings.HasPrefix(Fields[i].Path, path+".") {
			return true
		}
	}
	return false
}

const maxValueBytes = 60

func shorten(value any) string {
	s := fmt.Sprint(value)
	if len(s) > maxValueBytes {
		return s[:maxValueBytes] + "…"
	}
	return s
}

// checkCombinations checks fields whose validity depends on each other (rule C5).
func checkCombinations(s *Settings) Faults {
	var faults Faults
	for name, files := range map[string]TLSFiles{"peer-tls": s.PeerTLS, "caller-tls": s.CallerTLS} {
		if (files.Certificate == "") != (files.Key == "") {
			faults = append(faults, Fault{Field: name, Problem: "certificate and key are not both set", Allowed: "both or none"})
		}
	}
	if s.PeerTLS.Enabled() && s.PeerTLS.Authorities == "" {
		faults = append(faults, Fault{Field: "peer-tls.authorities", Problem: "missing value", Allowed: "a PEM file that verifies the peers"})
	}
	if !s.PeerTLS.Enabled() && !s.AllowInsecure {
		faults = append(faults, insecureAddresses(s)...)
	}
	return faults
}

// insecureAddresses rejects non-loopback peer and admin addresses without
// authentication: anyone who can connect could stage a manifest.
func insecureAddresses(s *Settings) Faults {
	var faults Faults
	addresses := map[string]string{"listen.peers": s.Listen.Peers, "listen.admin": s.Listen.Admin}
	for field, address := range addresses {
		if isLoopback(address) {
			continue
		}
		faults = append(faults, Fault{
			Field: field, Value: address, Problem: "not a loopback address, without peer-tls",
			Allowed: "a loopback address, or peer-tls set, or allow-insecure: true",
		})
	}
	return faults
}

func isLoopback(address string) bool {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return false
	}
	ip := net.ParseIP(host)
	return ip != nil && ip.IsLoopback()
}

// Lines returns the text to show for an error of Load or Parse, one line per fault.
func Lines(err error) string {
	var faults Faults
	if errors.As(err, &faults) {
		return faults.Error()
	}
	return err.Error()
}
