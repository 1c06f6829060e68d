package configurer

import (
	"strings"
	"testing"

	"github.com/garnetworks/garnetworks"
	"github.com/pkg/errors"
	"github.com/sebdah/goldie/v2"
)

const validSettings = `
node: entry-a-1
zone: zone-a
listen: {callers: "127.0.0.1:0", peers: "127.0.0.1:0", admin: "127.0.0.1:0"}
platform:
  object-api: http://127.0.0.1:6001
  instance-list: http://127.0.0.1:6001
  power: http://127.0.0.1:6001
  weight-store: http://127.0.0.1:6001/
`

func TestParseFaults(t *testing.T) {
	// A wrong setting must be reported with its field; a node that started with a default
	// instead could serve from the wrong zone or listen at the wrong address.
	tests := map[string]struct {
		extra   string
		replace [2]string
		want    string
	}{
		"unknown field":         {extra: "nodes: x\n", want: `settings: nodes: unknown field "x"; allowed: the fields of garnetd --print-example`},
		"unknown nested field":  {extra: "limits: {body: 3}\n", want: `settings: limits.body: unknown field "3"; allowed: the fields of garnetd --print-example`},
		"missing value":         {replace: [2]string{"zone: zone-a", ""}, want: "settings: zone: missing value; allowed: " + allowedName},
		"null value":            {replace: [2]string{"zone: zone-a", "zone:"}, want: "settings: zone: missing value; allowed: " + allowedName},
		"bad name":              {replace: [2]string{"zone-a", "Zone_A"}, want: `settings: zone: bad value "Zone_A"; allowed: ` + allowedName},
		"number for a name":     {replace: [2]string{"zone: zone-a", "zone: 3"}, want: `settings: zone: bad value "3"; allowed: ` + allowedName},
		"host name":             {replace: [2]string{`callers: "127.0.0.1:0"`, `callers: "localhost:80"`}, want: `settings: listen.callers: bad value "localhost:80"; allowed: ` + allowedAddress},
		"bad URL":               {replace: [2]string{"object-api: http:", "object-api: ftp:"}, want: `settings: platform.object-api: bad value "ftp://127.0.0.1:6001"; allowed: ` + allowedURL},
		"duration out of range": {extra: "drain-grace: 5ms\n", want: `settings: drain-grace: bad value "5ms"; allowed: a duration between 1s and 1h0m0s, such as 30s`},
		"duration without unit": {extra: "drain-grace: 5\n", want: `settings: drain-grace: bad value "5"; allowed: a duration between 1s and 1h0m0s, such as 30s`},
		"number out of range":   {extra: "event-ring: 1\n", want: `settings: event-ring: bad value "1"; allowed: a whole number from 64 to 1000000`},
		"fraction":              {extra: "event-ring: 99.5\n", want: `settings: event-ring: bad value "99.5"; allowed: a whole number from 64 to 1000000`},
		"bad choice":            {extra: "log-level: loud\n", want: `settings: log-level: bad value "loud"; allowed: one of trace, debug, info, warn, error`},
		"text for a boolean":    {extra: "allow-insecure: \"yes\"\n", want: `settings: allow-insecure: bad value "yes"; allowed: true or false`},
		"bad seed":              {extra: "seeds: [\"10.0.0.1\"]\n", want: `settings: seeds: bad value "[10.0.0.1]"; allowed: a list of ` + allowedAddress},
		"half a key pair":       {extra: "caller-tls: {certificate: a.pem}\n", want: "settings: caller-tls: certificate and key are not both set; allowed: both or none"},
		"no authorities":        {extra: "peer-tls: {certificate: a.pem, key: a.key}\n", want: "settings: peer-tls.authorities: missing value; allowed: a PEM file that verifies the peers"},
		"open peer address":     {replace: [2]string{`peers: "127.0.0.1:0"`, `peers: "10.0.0.1:7070"`}, want: `settings: listen.peers: not a loopback address, without peer-tls "10.0.0.1:7070"; allowed: a loopback address, or peer-tls set, or allow-insecure: true`},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			text := validSettings + tt.extra
			if tt.replace[0] != "" {
				text = strings.Replace(text, tt.replace[0], tt.replace[1], 1)
			}
			_, err := Parse([]byte(text))
			if !garnetworks.IsKind(err, garnetworks.KindInvalidSettings) {
				t.Fatalf("Parse() error = %v, want kind %s", err, garnetworks.KindInvalidSettings)
			}
			var faults Faults
			if !errors.As(err, &faults) || len(faults) != 1 {
				t.Fatalf("Parse() error = %v, want one fault", err)
			}
			if got := faults[0].String(); got != tt.want {
				t.Errorf("fault\n got %s\nwant %s", got, tt.want)
			}
		})
	}
}

func TestParseBadSyntaxIsOneLine(t *testing.T) {
	for name, text := range map[string]string{
		"open bracket":  "node: [",
		"key twice":     "node: a\nnode: b\n",
		"not a mapping": "- a\n- b\n",
	} {
		t.Run(name, func(t *testing.T) {
			_, err := Parse([]byte(text))
			var faults Faults
			if !errors.As(err, &faults) || len(faults) != 1 {
				t.Fatalf("Parse() error = %v, want one fault", err)
			}
			if strings.Contains(faults[0].String(), "\n") {
				t.Errorf("fault has several lines: %q", faults[0].String())
			}
		})
	}
}

func TestParseReportsAllFaults(t *testing.T) {
	_, err := Parse([]byte("node: 1\nzone: 2\n"))
	var faults Faults
	if !errors.As(err, &faults) {
		t.Fatalf("Parse() error = %v, want Faults", err)
	}
	if len(faults) != 9 {
		t.Errorf("Parse() found %d faults, want 9:\n%v", len(faults), faults)
	}
}

func TestExampleIsValidAndGolden(t *testing.T) {
	s, err := Parse([]byte(Example()))
	if err != nil {
		t.Fatalf("Parse(Example()) error = %v", err)
	}
	if s.Limits.BodyBytes == 0 || s.DrainGrace == 0 || s.LogLevel != "info" {
		t.Errorf("defaults not set: %+v", s)
	}
	goldie.New(t).Assert(t, "example", []byte(Example()))
}
