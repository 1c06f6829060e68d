package configurer

import (
	"fmt"
	"net"
	"net/netip"
	"net/url"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/garnetworks/garnetworks"
)

// Field is a row of the settings table.
type Field struct {
	// Path is the field's dotted path in the file.
	Path string
	// Help is a sentence for the printed example.
	Help string
	// Allowed describes the accepted values; it is part of each error.
	Allowed string
	// Required marks a field without a default.
	Required bool
	// Default is the value if the file has none.
	Default any
	// Example is the value of a required field in the printed example.
	Example string

	set func(s *Settings, value any) error
}

const (
	allowedName     = "a name of a-z, 0-9 and -, 1 to 63 long, beginning with a letter"
	allowedAddress  = "an IP number and a port, such as 10.0.0.5:7000"
	allowedURL      = "an http or https URL with an IP number as its host"
	allowedFile     = "a file name, or empty"
	allowedDuration = "a duration between %s and %s, such as 30s"
)

// Fields is the settings table, in the order of the printed example (rule C1).
var Fields = []Field{
	{Path: "node", Help: "The node's name, unique over the site.", Allowed: allowedName, Required: true, Example: "entry-a-1", set: setName(func(s *Settings, v string) { s.Node = garnetworks.NodeID(v) })},
	{Path: "zone", Help: "The availability zone of this instance.", Allowed: allowedName, Required: true, Example: "zone-a", set: setName(func(s *Settings, v string) { s.Zone = garnetworks.ZoneID(v) })},
	{Path: "region", Help: "The region of the availability zone.", Allowed: allowedName, Default: "region-1", set: setName(func(s *Settings, v string) { s.Region = garnetworks.RegionID(v) })},
	{Path: "listen.callers", Help: "Where callers' requests arrive, behind the balancer.", Allowed: allowedAddress, Required: true, Example: "127.0.0.1:8080", set: setAddress(func(s *Settings) *string { return &s.Listen.Callers })},
	{Path: "listen.peers", Help: "Where other nodes and garnetctl connect.", Allowed: allowedAddress, Required: true, Example: "127.0.0.1:7070", set: setAddress(func(s *Settings) *string { return &s.Listen.Peers })},
	{Path: "listen.admin", Help: "Where /livez, /readyz and /metrics answer.", Allowed: allowedAddress, Required: true, Example: "127.0.0.1:9090", set: setAddress(func(s *Settings) *string { return &s.Listen.Admin })},
	{Path: "advertise", Help: "The address under which peers reach this node; empty means listen.peers.", Allowed: allowedAddress + ", or empty", Default: "", set: setOptionalAddress},
	{Path: "seeds", Help: "Peers to ask first; the rosters in the object API add to them.", Allowed: "a list of " + allowedAddress, Default: []any{}, set: setSeeds},
	{Path: "platform.object-api", Help: "Base URL of the object API.", Allowed: allowedURL, Required: true, Example: "http://127.0.0.1:6001", set: setURL(func(s *Settings) *string { return &s.Platform.ObjectAPI })},
	{Path: "platform.instance-list", Help: "Base URL of the instance list.", Allowed: allowedURL, Required: true, Example: "http://127.0.0.1:6001", set: setURL(func(s *Settings) *string { return &s.Platform.InstanceList })},
	{Path: "platform.power", Help: "Base URL of the power switch.", Allowed: allowedURL, Required: true, Example: "http://127.0.0.1:6001", set: setURL(func(s *Settings) *string { return &s.Platform.Power })},
	{Path: "platform.weight-store", Help: "Base URL of the weight store.", Allowed: allowedURL, Required: true, Example: "http://127.0.0.1:6001", set: setURL(func(s *Settings) *string { return &s.Platform.WeightStore })},
	{Path: "peer-tls.certificate", Help: "This node's certificate for peers and operators.", Allowed: allowedFile, Default: "", set: setText(func(s *Settings) *string { return &s.PeerTLS.Certificate })},
	{Path: "peer-tls.key", Help: "The certificate's private key.", Allowed: allowedFile, Default: "", set: setText(func(s *Settings) *string { return &s.PeerTLS.Key })},
	{Path: "peer-tls.authorities", Help: "The authorities that sign peers' and operators' certificates.", Allowed: allowedFile, Default: "", set: setText(func(s *Settings) *string { return &s.PeerTLS.Authorities })},
	{Path: "caller-tls.certificate", Help: "The certificate for callers; empty if the balancer ends TLS.", Allowed: allowedFile, Default: "", set: setText(func(s *Settings) *string { return &s.CallerTLS.Certificate })},
	{Path: "caller-tls.key", Help: "The certificate's private key.", Allowed: allowedFile, Default: "", set: setText(func(s *Settings) *string { return &s.CallerTLS.Key })},
	{Path: "allow-insecure", Help: "Permits peer and admin addresses beyond loopback without certificates.", Allowed: "true or false", Default: false, set: setInsecure},
	{Path: "limits.body-bytes", Help: "Largest request body.", Allowed: "a whole number from 1024 to 67108864", Default: 4 << 20, set: setInteger(1024, 64<<20, func(s *Settings, n int64) { s.Limits.BodyBytes = n })},
	{Path: "limits.header-bytes", Help: "Largest request headers.", Allowed: "a whole number from 1024 to 1048576", Default: 32 << 10, set: setInteger(1024, 1<<20, func(s *Settings, n int64) { s.Limits.HeaderBytes = int(n) })},
	{Path: "limits.total-header-bytes", Help: "Most memory for the headers of all requests.", Allowed: "a whole number from 1048576 to 1073741824", Default: 32 << 20, set: setInteger(1<<20, 1<<30, func(s *Settings, n int64) { s.Limits.TotalHeaderBytes = n })},
	{Path: "limits.header-time", Help: "Longest time for a request's headers.", Allowed: durationAllowed(100*time.Millisecond, time.Minute), Default: "5s", set: setDuration(100*time.Millisecond, time.Minute, func(s *Settings) *time.Duration { return &s.Limits.HeaderTime })},
	{Path: "limits.connections", Help: "Most open callers' connections.", Allowed: "a whole number from 1 to 1000000", Default: 10000, set: setInteger(1, 1000000, func(s *Settings, n int64) { s.Limits.Connections = int(n) })},
	{Path: "drain-grace", Help: "How long a planned stop waits for calls in flight.", Allowed: durationAllowed(time.Second, time.Hour), Default: "2m", set: setDuration(time.Second, time.Hour, func(s *Settings) *time.Duration { return &s.DrainGrace })},
	{Path: "event-ring", Help: "Events kept for the time line.", Allowed: "a whole number from 64 to 1000000", Default: 8192, set: setInteger(64, 1000000, func(s *Settings, n int64) { s.EventRing = int(n) })},
	{Path: "log-level", Help: "What the log holds.", Allowed: "one of " + strings.Join(logLevels, ", "), Default: "info", set: setLogLevel},
}

var (
	logLevels   = []string{"trace", "debug", "info", "warn", "error"}
	namePattern = regexp.MustCompile(`^[a-z][a-z0-9-]{0,62}$`)
	errInvalid  = errors.New("not valid")
)

func durationAllowed(low, high time.Duration) string {
	return fmt.Sprintf(allowedDuration, low, high)
}

func setName(assign func(*Settings, string)) func(*Settings, any) error {
	return func(s *Settings, value any) error {
		text, ok := value.(string)
		if !ok || !namePattern.MatchString(text) {
			return errInvalid
		}
		assign(s, text)
		return nil
	}
}

func setText(field func(*Settings) *string) func(*Settings, any) error {
	return func(s *Settings, value any) error {
		text, ok := value.(string)
		if !ok {
			return errInvalid
		}
		*field(s) = text
		return nil
	}
}

// validAddress rejects host names, because a node must be able to start without name
// resolution, and a name may later resolve to another machine.
func validAddress(text string) bool {
	_, err := netip.ParseAddrPort(text)
	return err == nil
}

func setAddress(field func(*Settings) *string) func(*Settings, any) error {
	return func(s *Settings, value any) error {
		text, ok := value.(string)
		if !ok || !validAddress(text) {
			return errInvalid
		}
		*field(s) = text
		return nil
	}
}

func setOptionalAddress(s *Settings, value any) error {
	if value == "" {
		return nil
	}
	return setAddress(func(s *Settings) *string { return &s.Advertise })(s, value)
}

func setSeeds(s *Settings, value any) error {
	list, ok := value.([]any)
	if !ok {
		return errInvalid
	}
	for _, item := range list {
		text, ok := item.(string)
		if !ok || !validAddress(text) {
			return errInvalid
		}
		s.Seeds = append(s.Seeds, text)
	}
	return nil
}

func setURL(field func(*Settings) *string) func(*Settings, any) error {
	return func(s *Settings, value any) error {
		text, ok := value.(string)
		if !ok {
			return errInvalid
		}
		u, err := url.Parse(text)
		if err != nil || (u.Scheme != "http" && u.Scheme != "https") {
			return errInvalid
		}
		if net.ParseIP(u.Hostname()) == nil {
			return errInvalid
		}
		*field(s) = strings.TrimSuffix(text, "/")
		return nil
	}
}

func setInteger(low, high int64, assign func(*Settings, int64)) func(*Settings, any) error {
	return func(s *Settings, value any) error {
		n, err := strconv.ParseInt(fmt.Sprint(value), 10, 64)
		if err != nil || n < low || n > high {
			return errInvalid
		}
		assign(s, n)
		return nil
	}
}

func setDuration(low, high time.Duration, field func(*Settings) *time.Duration) func(*Settings, any) error {
	return func(s *Settings, value any) error {
		text, ok := value.(string)
		if !ok {
			return errInvalid
		}
		d, err := time.ParseDuration(text)
		if err != nil || d < low || d > high {
			return errInvalid
		}
		*field(s) = d
		return nil
	}
}

func setInsecure(s *Settings, value any) error {
	b, ok := value.(bool)
	if !ok {
		return errInvalid
	}
	s.AllowInsecure = b
	return nil
}

func setLogLevel(s *Settings, value any) error {
	text, ok := value.(string)
	if !ok || !slices.Contains(logLevels, text) {
		return errInvalid
	}
	s.LogLevel = text
	return nil
}

// Example returns a settings file with each field, its help and its default.
func Example() string {
	var b strings.Builder
	b.WriteString("# Settings of an entry node. Fields that stand here with a # have this default.\n")
	section := ""
	for _, f := range Fields {
		name := f.Path
		indent := ""
		if head, rest, nested := strings.Cut(f.Path, "."); nested {
			if head != section {
				fmt.Fprintf(&b, "%s:\n", head)
			}
			section, name, indent = head, rest, "  "
		} else {
			section = ""
		}
		fmt.Fprintf(&b, "%s# %s Allowed: %s.\n", indent, f.Help, f.Allowed)
		if f.Required {
			fmt.Fprintf(&b, "%s%s: %s\n", indent, name, f.Example)
			continue
		}
		fmt.Fprintf(&b, "%s# %s: %s\n", indent, name, exampleValue(f.Default))
	}
	return b.String()
}

func exampleValue(value any) string {
	switch v := value.(type) {
	case string:
		if v == "" {
			return `""`
		}
		return v
	case []any:
		return "[]"
	}
	return fmt.Sprint(value)
}
