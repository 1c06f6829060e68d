// Package configurer reads the settings of an entry node and refuses what is
// not right before anything starts.
//
// The rules:
//
//	C1  Every field stands once in the table Fields, with its help, default,
//	    check and setter; the printed example and the errors come from there.
//	C2  A field that the table does not hold is refused.
//	C3  A field without a default must be given.
//	C4  Each fault is one line with the field, the value and what is allowed;
//	    all faults are told at once.
//	C5  Settings that are right one by one but not together are refused by
//	    the same kind of line.
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

// Settings are everything that an entry node learns from its surroundings.
type Settings struct {
	// Node is the node's name, unique over the site.
	Node garnetworks.NodeID
	// Zone is the availability zone of the node's instance.
	Zone garnetworks.ZoneID
	// Region is the region of Zone.
	Region garnetworks.RegionID
	// Listen holds the addresses to listen on, each ip:port.
	Listen Listen
	// Advertise is the ip:port under which peers reach this node; empty means
	// Listen.Peers as bound.
	Advertise string
	// Seeds are peers' addresses to ask first; the object API's rosters add to
	// them.
	Seeds []string
	// Platform holds the base URLs of the platform's services.
	Platform Platform
	// PeerTLS secures the traffic between nodes and from operators.
	PeerTLS TLSFiles
	// CallerTLS secures the callers' interface; empty when the platform's
	// balancer ends TLS.
	CallerTLS TLSFiles
	// AllowInsecure permits a non-loopback peer address without certificates.
	AllowInsecure bool
	// Limits bound what one caller can take.
	Limits Limits
	// DrainGrace is the time that a planned stop leaves to calls in flight.
	DrainGrace time.Duration
	// EventRing is the number of time-line events kept.
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

// TLSFiles names PEM files; all are empty or Certificate and Key are set.
type TLSFiles struct {
	Certificate string
	Key         string
	// Authorities verifies the other side.
	Authorities string
}

// Enabled reports whether certificates are set.
func (t TLSFiles) Enabled() bool { return t.Certificate != "" }

// Limits bound what one caller can take.
type Limits struct {
	// BodyBytes bounds a request's body.
	BodyBytes int64
	// HeaderBytes bounds a request's headers.
	HeaderBytes int
	// HeaderTime bounds the reading of a request's headers.
	HeaderTime time.Duration
	// Connections bounds the callers' open connections.
	Connections int
}

// Fault is one thing that is wrong with a settings file.
type Fault struct {
	// Field is the path of the field, such as listen.peers.
	Field string
	// Value is what was given, shortened; empty if nothing was.
	Value string
	// Allowed says what the field takes.
	Allowed string
	// Problem is unknown field, missing value, bad value or bad syntax.
	Problem string
}

// String returns the fault's one line.
func (f Fault) String() string {
	if f.Value == "" {
		return fmt.Sprintf("settings: %s: %s; allowed: %s", f.Field, f.Problem, f.Allowed)
	}
	return fmt.Sprintf("settings: %s: %s %q; allowed: %s", f.Field, f.Problem, f.Value, f.Allowed)
}

// Faults is every fault of a settings file, sorted by field.
type Faults []Fault

// Error joins the lines.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}

// Load reads the file and returns its settings, or an error of kind
// garnetworks.KindInvalidSettings whose cause is Faults.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		fault := Fault{Field: path, Problem: "can't be read: " + errors.Cause(err).Error(), Allowed: "a readable YAML file"}
		return Settings{}, invalid(Faults{fault})
	}
	return Parse(data)
}

// Parse returns the settings in data, or an error of kind
// garnetworks.KindInvalidSettings whose cause is Faults (rule C4).
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

// syntaxFault keeps the first line of the parser's message, which holds the
// position; the rest repeats the file.
func syntaxFault(err error) Fault {
	first, _, _ := strings.Cut(err.Error(), "\n")
	return Fault{Field: "file", Problem: "bad syntax: " + first, Allowed: "YAML with each key once"}
}

// flatten turns nested maps into dotted paths; an empty map stays as a value,
// so that a section that should have fields is told as unknown or missing.
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

// emptySection reports whether path is a section that was left empty, which is
// the same as leaving it out.
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

// together checks what only shows when fields are seen side by side (C5).
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

// openAddresses refuses peer and admin addresses that other machines reach
// while nothing proves who calls: anybody there could stage a manifest.
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

// Lines returns the lines to show for an error of Load or Parse, one for each
// fault.
func Lines(err error) string {
	var faults Faults
	if errors.As(err, &faults) {
		return faults.Error()
	}
	return err.Error()
}
