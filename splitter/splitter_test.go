package splitter_test

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"testing"

	"github.com/garnetworks/garnetworks/splitter"
)

func TestObject(t *testing.T) {
	deep := strings.Repeat("[", 1<<20) + strings.Repeat("]", 1<<20)
	tests := map[string]struct {
		text string
		want map[string]string
	}{
		"empty":         {" { } ", map[string]string{}},
		"scalars":       {`{"a":1,"b" : true , "c":null}`, map[string]string{"a": "1", "b": "true", "c": "null"}},
		"brackets":      {`{"a":{"b":[1,{"c":2}]},"d":[]}`, map[string]string{"a": `{"b":[1,{"c":2}]}`, "d": "[]"}},
		"strings":       {`{"a":"}\"]\\","b":["\\\"]"]}`, map[string]string{"a": `"}\"]\\"`, "b": `["\\\"]"]`}},
		"escaped name":  {`{"\u0061":1}`, map[string]string{"a": "1"}},
		"doubled name":  {`{"a":1,"a":2}`, map[string]string{"a": "2"}},
		"nested deeply": {`{"a":` + deep + `,"b":2}`, map[string]string{"a": deep, "b": "2"}},
		"number's size": {`{"a":1e400}`, map[string]string{"a": "1e400"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			members, err := splitter.Object([]byte(tt.text))
			if err != nil {
				t.Fatal(err)
			}
			got := make(map[string]string)
			for member, text := range members {
				got[member] = string(text)
			}
			if !maps.Equal(got, tt.want) {
				t.Errorf("got %.200v, want %.200v", got, tt.want)
			}
		})
	}
}

func TestArray(t *testing.T) {
	tests := map[string]struct {
		text string
		want []string
	}{
		"empty":    {"[ ]", nil},
		"scalars":  {`[1, "a,]" ,null]`, []string{"1", `"a,]"`, "null"}},
		"brackets": {`[[1,2],{"a":[3]}]`, []string{"[1,2]", `{"a":[3]}`}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			elements, err := splitter.Array([]byte(tt.text))
			if err != nil {
				t.Fatal(err)
			}
			var got []string
			for _, text := range elements {
				got = append(got, string(text))
			}
			if !slices.Equal(got, tt.want) {
				t.Errorf("got %q, want %q", got, tt.want)
			}
		})
	}
}

func TestTextsWithoutAnEndAreErrors(t *testing.T) {
	texts := map[string]string{
		"nothing": "", "open": "{", "name alone": `{"a"`, "no value": `{"a":}`, "no colon": `{"a" 1}`, "no comma": `{"a":1 "b":2}`, "comma first": `{,"a":1}`,
		"open value": `{"a":[[]`, "open string": `{"a":"b`, "open escape": `{"a":"\`, "number as name": `{1:2}`, "rest": `{"a":1}}`, "array": `[]`,
	}
	for name, text := range texts {
		t.Run(name, func(t *testing.T) {
			if members, err := splitter.Object([]byte(text)); err == nil {
				t.Errorf("%s was split into %q", text, members)
			}
		})
	}
}

// Guards against a text of other programs that ends the process, or is split where a decoder would not.
func FuzzObject(f *testing.F) {
	for _, text := range []string{`{"a":1,"b":[{"c":"]\""}]}`, `{"a":{"b":null},"a":2}`, `{"a":"\`, `{"\ud800":1}`, "[[", `{"items":[{"metadata":{"name":"i-1"},"spec":[]}]}`} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		members, err := splitter.Object(text)
		var decoded map[string]json.RawMessage
		if json.Unmarshal(text, &decoded) != nil || decoded == nil {
			return
		}
		if err != nil {
			t.Fatalf("%q: %v", text, err)
		}
		if len(members) != len(decoded) {
			t.Fatalf("%q: %d members, want %d", text, len(members), len(decoded))
		}
		for name, value := range decoded {
			if string(members[name]) != string(value) {
				t.Errorf("%q: %q is %q, want %q", text, name, members[name], value)
			}
		}
	})
}
