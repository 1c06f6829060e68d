package parser_test

import (
	"fmt"
	"os"
	"reflect"
	"strings"
	"testing"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/keymaker"
	"github.com/garnetworks/garnetworks/parser"
)

func parse(t *testing.T, text string) *garnetworks.Manifest {
	t.Helper()
	m, problems := parser.Parse("", []byte(text))
	if len(problems) > 0 {
		t.Fatalf("problems:\n%v", problems)
	}
	return m
}

func TestRoundTrips(t *testing.T) {
	texts := map[string]string{
		"example":         parser.Example(),
		"large numbers":   strings.Replace(parser.Example(), "tokens-per-second: 60000", "tokens-per-second: 2e+06", 1),
		"small numbers":   strings.Replace(parser.Example(), "failures-per-day: 0.02", "failures-per-day: 0.00000001", 1),
		"fractions":       strings.Replace(parser.Example(), "drain: 60s", "drain: 1.5s", 1),
		"line ends":       strings.ReplaceAll(parser.Example(), "\n", "\r\n"),
		"blank end":       parser.Example() + "\n  \n",
		"no services":     strings.Replace(removeRange(parser.Example(), "# May be absent.\nservices:", "# The last line"), "    # May be absent.\n    services:\n      - ledger\n", "", 1),
		"numeric version": strings.Replace(parser.Example(), `"2026.11"`, `"12"`, 1),
	}
	for name, text := range texts {
		t.Run(name, func(t *testing.T) {
			m := parse(t, text)
			body, err := parser.Encode(m)
			if err != nil {
				t.Fatal(err)
			}
			decoded, err := parser.Decode(body)
			if err != nil {
				t.Fatal(err)
			}
			formatted, err := parser.Format(m)
			if err != nil {
				t.Fatal(err)
			}
			if changes := append(parser.Diff(m, decoded), parser.Diff(m, parse(t, formatted))...); len(changes) > 0 {
				t.Errorf("the manifest changed: %v", changes)
			}
		})
	}
}

// removeRange removes the text from one marker up to another.
func removeRange(text, from, to string) string {
	i, j := strings.Index(text, from), strings.Index(text, to)
	return text[:i] + text[j:]
}

// Each case breaks the example in one place; Parse must report that place and nothing
// else.
func TestParseRejects(t *testing.T) {
	hash := keymaker.Hash("another")
	cases := map[string]struct{ old, new, want string }{
		"newer format":        {"format: 1", "format: 2\nwhatever: 3", "m.yaml:5:9: format: the manifest has format 2 and comes from a newer program; this one reads up to format 1"},
		"format zero":         {"format: 1", "format: 0", "format: must be 1"},
		"unknown key":         {"    drain:", "    drian: 1s\n    drain:", "site.grace.drian: unknown key; known here: drain, shed"},
		"missing key":         {"    drain: 60s\n", "", "site.grace.drain: is missing"},
		"key twice":           {"    drain: 60s\n", "    drain: 60s\n    drain: 61s\n", "site.grace.drain: the key stands twice; first on line 51"},
		"empty value":         {"drain: 60s", "drain:", "site.grace.drain: the value is missing"},
		"no unit":             {"drain: 60s", "drain: 60", "must be a duration with its unit, such as 30s, not 60"},
		"bad duration":        {"drain: 60s", "drain: 60 sec", `must be a duration with its unit, such as 30s, not "60 sec"`},
		"negative duration":   {"drain: 60s", "drain: -1s", "must be between 1ms and 24h0m0s, not -1s"},
		"negative watts":      {"watts: 1400", "watts: -1400", "site.instance-classes[0].watts: must be between 1 and"},
		"text for number":     {"watts: 1400", "watts: much", `must be a whole number, not the text "much"`},
		"fraction":            {"watts: 1400", "watts: 1400.5", "must be a whole number, not 1400.5"},
		"overflow":            {"watts: 1400", "watts: 99999999999999999999", "must be a whole number"},
		"not a number":        {"failures-per-day: 0.02", "failures-per-day: .nan", "must be a number, not .nan"},
		"infinite":            {"failures-per-day: 0.02", "failures-per-day: .inf", "must be a number, not .inf"},
		"list for text":       {"name: pump-hall", "name: [pump-hall]", "must be text, not a list"},
		"text for list":       {"    adapters:\n      - pump-history\n      - contract-verdict\n", "    adapters: pump-history\n", `must be a list, not the text "pump-history"`},
		"not kebab case":      {"name: pump-hall", "name: pump_hall", "is not a name in kebab case"},
		"long name":           {"name: pump-hall", "name: " + strings.Repeat("a", 64), "is not a name in kebab case of at most 63"},
		"zone twice":          {"      left-out: false", "      left-out: false\n    - name: south-a\n      region: south", `"south-a" stands twice; first as site.zones[0]`},
		"cap below top group": {"power-cap-watts: 96000", "power-cap-watts: 5000", `site.power-cap-watts: 5000 W is below one group of model "field-brief", which has the top priority and draws 5600 W`},
		"cap below group":     {"    group-size: 2\n", "    group-size: 100\n", "models[1].group-size: one group draws 140000 W, above the cap of 96000 W"},
		"one weight":          {"group-downtime: 3\n", "group-downtime: 0\n", ""},
		"no weight":           {"group-downtime: 3\n    # Cost of one powered instance that does not serve for one second.\n    stranded: 1", "group-downtime: 0\n    stranded: 0", "site.weights: one of group-downtime and stranded must be above 0"},
		"model twice":         {"\nworkspaces:\n", secondModel, `models[2].name: "field-brief" stands twice in models`},
		"adapter twice":       {"- contract-verdict", "- pump-history", `models[0].adapters[1]: "pump-history" stands twice`},
		"unknown class":       {"group-size: 4\n    instance-class: engine-8", "group-size: 4\n    instance-class: engine-9", `models[0].instance-class: there is no instance class "engine-9"`},
		"class without accel": {"group-size: 4\n    instance-class: engine-8", "group-size: 4\n    instance-class: ledger-host", "have no accelerators, which a model needs"},
		"max below min":       {"max-groups: 10", "max-groups: 3", "models[0].max-groups: must be at least min-groups, 4, not 3"},
		"unknown model":       {"      - note-reader\n", "      - note-writer\n", `workspaces[0].models[1]: there is no model "note-writer" in models`},
		"unknown service":     {"      - ledger\n", "      - roster\n", `workspaces[0].services[0]: there is no service "roster" in services`},
		"key not hash":        {"sha256:3b64db95cb55c763391c707108489ae18b4112d783300de38e033b4c98c3deaf", keymaker.New().Secret, "this is a key, not its hash"},
		"bad hash":            {"sha256:3b64", "md5:3b64", "a key hash is sha256: and 64 lower-case hexadecimal digits"},
		"no hash":             {"      - \"sha256:3b64db95cb55c763391c707108489ae18b4112d783300de38e033b4c98c3deaf\"\n", "      []\n", "must hold 1 to 8 hashes, not 0"},
		"hash of two":         {"# May be absent.\nservices:", secondWorkspace("sha256:3b64db95cb55c763391c707108489ae18b4112d783300de38e033b4c98c3deaf"), "workspaces[1].key-hashes[0]: the hash stands twice; first as workspaces[0].key-hashes[0]"},
		"workspace twice":     {"# May be absent.\nservices:", strings.Replace(secondWorkspace(hash), "second", "dispatch", 1), `workspaces[1].name: "dispatch" stands twice`},
		"deadlines":           {"total: 120s", "total: 1s", "must be at least first-token, 2s, not 1s"},
		"negative limit":      {"requests-per-second: 200", "requests-per-second: -0.5", "must be between 0 and 1e+12, not -0.5"},
		"path prefix":         {"path-prefix: /visits", "path-prefix: visits", `must begin with /, not "visits"`},
		"method":              {"          - POST", "          - post", `services[0].calls[1].methods[0]: "post" is not one of`},
		"hidden call rule":    {"      - methods:\n          - GET\n          - HEAD\n        path-prefix: /\n", "      - path-prefix: /\n", "services[0].calls[1]: calls[0] matches all of its calls, so it never decides; put it first"},
		"no timeout":          {"timeout: 10s", "timeout: 0s", "must be between 1ms and 1h0m0s, not 0s"},
		"anchor":              {"name: pump-hall", "name: &a pump-hall", "9: anchors are not allowed in a manifest"},
		"alias":               {"name: pump-hall", "name: *a", "aliases are not allowed in a manifest"},
		"merge key":           {"  name: pump-hall", "  <<: {name: a}", "merge keys are not allowed in a manifest"},
		"tag":                 {"name: pump-hall", "name: !!str pump-hall", "tags are not allowed in a manifest"},
		"text block":          {"name: pump-hall", "name: |\n    pump-hall", "text blocks are not allowed in a manifest"},
		"second document":     {"models:\n", "...\nmodels:\n", `the end marker "..." stands before the end of the text`},
		"document start":      {"format: 1", "---\nformat: 1", "the document start marker is not allowed"},
		"deep nesting":        {"name: pump-hall", "name: " + strings.Repeat("[", 17), "the text is nested more than 16 deep"},
		"deep entries":        {"name: pump-hall", "name:\n    " + strings.Repeat("- ", 17), "the text is nested more than 16 deep"},
		"deep indentation":    {"  name: pump-hall", strings.Repeat(" ", 65) + "name: pump-hall", "the line is indented by more than 64"},
		"syntax":              {"timeout: 10s", "timeout: [10s", "the text is not YAML"},
		"open bracket":        {"name: pump-hall", "name: [pump-hall", "the bracket on line 8 holds more than 64 keys; is it closed?"},
		"many keys":           {"name: pump-hall\n", "name: pump-hall\n" + strings.Repeat("  name: pump-hall\n", 64), "the mapping has more than 64 keys"},
		"many keys in flow":   {"name: pump-hall\n", "name: {" + strings.Repeat("a: b, ", 65) + "}\n", "the bracket on line 8 holds more than 64 keys"},
		"tabs":                {"  name: pump-hall", "\tname: pump-hall", "the text is not YAML"},
		"cut off":             {"...\n", "", `the text does not end with the line "..."`},
		"zero byte":           {"name: pump-hall", "name: pump\x00hall", "the text is not UTF-8 or holds a zero byte"},
		"not UTF-8":           {"name: pump-hall", "name: pump\xffhall", "the text is not UTF-8 or holds a zero byte"},
		"all zones left out":  {"- name: south-a\n      region: south\n    - name: south-b\n      region: south\n    - name: south-c\n      region: south\n      # May be absent. true: a new manifest does not wait for this zone. Use it\n      # while the zone is cut off; it catches up when it is back.\n      left-out: false", "- name: south-a\n      region: south\n      left-out: true", "at least one zone must not be left out"},
		"empty":               {parser.Example(), "...\n", "the text holds no manifest"},
		"only text":           {parser.Example(), "manifest\n...\n", `must be a mapping, not the text "manifest"`},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if !strings.Contains(parser.Example(), c.old) {
				t.Fatalf("the example does not hold %q", c.old)
			}
			m, problems := parser.Parse("m.yaml", []byte(strings.Replace(parser.Example(), c.old, c.new, 1)))
			if c.want == "" {
				if len(problems) > 0 {
					t.Fatalf("problems:\n%v", problems)
				}
				return
			}
			if m != nil || len(problems) != 1 || !strings.Contains(problems[0].String(), c.want) {
				t.Fatalf("problems:\n%v\nwant one with %q", problems, c.want)
			}
			if p := problems[0]; p.Line < 1 || p.Column < 1 || p.File != "m.yaml" {
				t.Errorf("the problem has no position: %+v", p)
			}
			if err := problems.Err(); !garnetworks.IsKind(err, garnetworks.KindInvalidManifest) {
				t.Errorf("the problems are an error of kind %s", garnetworks.KindOf(err))
			}
		})
	}
}

const secondModel = `  - {name: field-brief, version: v1, weight-bytes: 1, group-size: 1, instance-class: engine-8, min-groups: 0, max-groups: 1, priority: 1}
workspaces:
`

// secondWorkspace returns the text of another workspace, to precede the services.
func secondWorkspace(hash string) string {
	return fmt.Sprintf(`  - name: second
    key-hashes: [%q]
    priority: 1
    limits: {requests-per-second: 0, tokens-per-second: 0, concurrency: 0}
services:`, hash)
}

// A file that was truncated at any byte must be rejected, even where the rest is valid
// YAML with fewer workspaces.
func TestParseRejectsTruncatedText(t *testing.T) {
	text := parser.Example()
	for i := range len(text) - len("...\n") {
		if m, _ := parser.Parse("", []byte(text[:i])); m != nil {
			t.Fatalf("the first %d of %d bytes are accepted as a manifest", i, len(text))
		}
	}
}

func TestParseRejectsTooLarge(t *testing.T) {
	var workspaces strings.Builder
	for i := range 5000 {
		fmt.Fprintf(&workspaces, `  - {name: w%d, key-hashes: [%q, %q], priority: 1, limits: {requests-per-second: 0, tokens-per-second: 0, concurrency: 0}}
`, i, keymaker.Hash(fmt.Sprint(i)), keymaker.Hash(fmt.Sprint("x", i)))
	}
	text := strings.Replace(parser.Example(), "workspaces:\n", "workspaces:\n"+workspaces.String(), 1)
	_, problems := parser.Parse("", []byte(text))
	if len(problems) != 1 || !strings.Contains(problems[0].Text, "bytes") {
		t.Errorf("a manifest of %d bytes gives %v", len(text), problems)
	}
	_, problems = parser.Parse("", []byte(strings.Repeat("#", parser.MaxTextBytes)+"\n...\n"))
	if len(problems) != 1 || !strings.Contains(problems[0].Text, "at most") {
		t.Errorf("a text above the limit gives %v", problems)
	}
}

func TestReportsAllProblemsInOrder(t *testing.T) {
	text := strings.NewReplacer("name: pump-hall", "name: Pump", "watts: 1400", "watts: none", "priority: 50", "priority: -1",
		"shed: 20s", "shed: 20", "timeout: 10s", "timeout: 2h").Replace(parser.Example())
	_, problems := parser.Parse("", []byte(text))
	var paths []string
	for i, p := range problems {
		paths = append(paths, p.Path)
		if i > 0 && p.Line < problems[i-1].Line {
			t.Errorf("line %d is listed after line %d", p.Line, problems[i-1].Line)
		}
	}
	want := "site.name site.instance-classes[0].watts site.grace.shed models[1].priority services[0].timeout"
	if got := strings.Join(paths, " "); got != want {
		t.Errorf("problems at %s\nwant %s", got, want)
	}
}

// A node of an older program must not drop fields that a newer one wrote, because they
// may decide what is served.
func TestDecodeRejectsUnknownFields(t *testing.T) {
	body, err := parser.Encode(parse(t, parser.Example()))
	if err != nil {
		t.Fatal(err)
	}
	cases := map[string]string{
		"newer format":  strings.Replace(string(body), `"format":1`, `"format":2`, 1),
		"unknown field": strings.Replace(string(body), `"format":1`, `"format":1,"standby-groups":3`, 1),
		"cut off":       string(body[:len(body)/2]),
		"empty":         "",
	}
	for name, text := range cases {
		t.Run(name, func(t *testing.T) {
			if _, err := parser.Decode([]byte(text)); !garnetworks.IsKind(err, garnetworks.KindInvalidManifest) {
				t.Errorf("Decode = %v", err)
			}
		})
	}
}

func TestFleetTooSmall(t *testing.T) {
	fleet := func(sizes ...int) []garnetworks.ListedInstance {
		var rows []garnetworks.ListedInstance
		for domain, size := range sizes {
			for range size {
				rows = append(rows, garnetworks.ListedInstance{Class: "engine-8", Domain: garnetworks.DomainID(fmt.Sprint(domain))})
			}
		}
		return rows
	}
	cases := map[string]struct {
		fleet []garnetworks.ListedInstance
		bad   int
	}{
		"not known":    {nil, 0},
		"fits":         {fleet(2, 4), 0},
		"spread":       {fleet(3, 3, 3), 1},
		"none fits":    {fleet(1, 1), 2},
		"other class":  {[]garnetworks.ListedInstance{{Class: "ledger-host"}}, 2},
		"largest last": {fleet(1, 2, 3, 4), 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if _, problems := parser.ParseForFleet("", []byte(parser.Example()), c.fleet); len(problems) != c.bad {
				t.Errorf("%d problems, want %d:\n%v", len(problems), c.bad, problems)
			}
		})
	}
}

// FuzzParse looks for texts that panic, take long, or are accepted as a manifest that
// cannot be formatted again.
func FuzzParse(f *testing.F) {
	f.Add([]byte(parser.Example()))
	for _, seed := range []string{
		"", "...\n", "a: b\n...\n", "{format: 1}\n...\n", "format: 99\n...\n", "- - - -\n...\n", "a: &x [*x]\n...\n",
		"? a\n: b\n...\n", "\"\\u0000\": 1\n...\n", "a:\n\t- b\n...\n", "[[[[[\n...\n", "format: 0x1\n...\n", "%YAML 1.2\n---\na: b\n...\n",
		"format: 1\nsite: {name: x, power-cap-watts: 1e3}\n...\n", "a: |\n  b\n...\n", ": :\n...\n", "'\n...\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		m, problems := parser.Parse("", data)
		if (m == nil) != (len(problems) > 0) {
			t.Fatalf("manifest %v with problems %v", m, problems)
		}
		if m == nil {
			return
		}
		if problems := parser.Check(m); len(problems) > 0 {
			t.Fatalf("Parse accepts what Check rejects: %v", problems)
		}
		if _, err := parser.Format(m); err != nil {
			t.Fatalf("the manifest can't be written: %v", err)
		}
	})
}

// The documentation must contain every key and the embedded example.
func TestDocsMatchFormat(t *testing.T) {
	page, err := os.ReadFile("../docs/manifest.md")
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(string(page), "```yaml\n"+parser.Example()+"```\n") {
		t.Error("the page's example differs from the embedded one")
	}
	reference, _, _ := strings.Cut(string(page), "## A whole example")
	var walk func(reflect.Type)
	walk = func(s reflect.Type) {
		for i := range s.NumField() {
			key, _, _ := strings.Cut(s.Field(i).Tag.Get("yaml"), ",")
			if !strings.Contains(reference, key+"`") && !strings.Contains(reference, key+".") {
				t.Errorf("the page's reference lacks the key %s", key)
			}
			f := s.Field(i).Type
			if f.Kind() == reflect.Slice {
				f = f.Elem()
			}
			if f.Kind() == reflect.Struct {
				walk(f)
			}
		}
	}
	walk(reflect.TypeFor[garnetworks.Manifest]())
}

// A field that Diff ignores would be committed without appearing in the plan.
func TestDiffCoversEveryField(t *testing.T) {
	var walk func(path string, field func(*garnetworks.Manifest) reflect.Value, s reflect.Type)
	walk = func(path string, field func(*garnetworks.Manifest) reflect.Value, s reflect.Type) {
		switch s.Kind() {
		case reflect.Struct:
			for i := range s.NumField() {
				walk(path+"."+s.Field(i).Name, func(m *garnetworks.Manifest) reflect.Value { return field(m).Field(i) }, s.Field(i).Type)
			}
			return
		case reflect.Slice:
			walk(path+"[]", func(m *garnetworks.Manifest) reflect.Value { return field(m).Index(0) }, s.Elem())
			return
		}
		m := parse(t, parser.Example())
		change(field(m))
		if len(parser.Diff(parse(t, parser.Example()), m)) == 0 {
			t.Errorf("Diff ignores a change of %s", path)
		}
	}
	root := func(m *garnetworks.Manifest) reflect.Value { return reflect.ValueOf(m).Elem() }
	walk("", root, reflect.TypeFor[garnetworks.Manifest]())
}

// change sets v to a different value.
func change(v reflect.Value) {
	switch v.Kind() {
	case reflect.String:
		v.SetString(v.String() + "x")
	case reflect.Bool:
		v.SetBool(!v.Bool())
	case reflect.Float64:
		v.SetFloat(v.Float() + 1)
	default:
		v.SetInt(v.Int() + 1)
	}
}
