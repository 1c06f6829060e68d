package garnetworks

import (
	"errors"
	"go/ast"
	"go/parser"
	"go/token"
	"strconv"
	"strings"
	"testing"

	pkgerrors "github.com/pkg/errors"
)

// declaredKinds reads the constants of type Kind from the source, so that a kind without
// a row in the table is found.
func declaredKinds(t *testing.T) Set[string] {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), "kinds.go", nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	kinds := NewSet[string]()
	ast.Inspect(file, func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if !ok || len(spec.Values) != 1 || !strings.HasPrefix(spec.Names[0].Name, "Kind") {
			return true
		}
		if literal, ok := spec.Values[0].(*ast.BasicLit); ok {
			value, _ := strconv.Unquote(literal.Value)
			kinds.Add(value)
		}
		return true
	})
	return kinds
}

func TestEachKindHasOneErrorResponse(t *testing.T) {
	declared := declaredKinds(t)
	if len(declared) < 30 {
		t.Fatalf("found only %d declared kinds", len(declared))
	}
	seen := NewSet[string]()
	for _, r := range ErrorResponses() {
		if seen.Has(string(r.Kind)) {
			t.Errorf("kind %s has two rows", r.Kind)
		}
		seen.Add(string(r.Kind))
		if !declared.Has(string(r.Kind)) {
			t.Errorf("row for undeclared kind %s", r.Kind)
		}
		if r.Status < 400 || r.Title == "" || r.Outcome == "" {
			t.Errorf("row of %s is incomplete: %+v", r.Kind, r)
		}
		if r.Outcome == OutcomeCompleted {
			t.Errorf("kind %s claims a completed call", r.Kind)
		}
		if !r.Retry && r.RetryAfter != 0 {
			t.Errorf("kind %s forbids a retry but has a delay for it", r.Kind)
		}
	}
	for _, kind := range Sorted(declared) {
		if !seen.Has(kind) {
			t.Errorf("kind %s has no row", kind)
		}
	}
}

func TestKindOf(t *testing.T) {
	tests := map[string]struct {
		err  error
		want Kind
	}{
		"nil":            {nil, ""},
		"plain":          {errors.New("x"), KindInternal},
		"own":            {Errorf(KindOverLimit, "x"), KindOverLimit},
		"wrapped":        {pkgerrors.Wrap(Errorf(KindOverLimit, "x"), "outer"), KindOverLimit},
		"nearest counts": {WrapError(KindNoGroup, Errorf(KindUnreachable, "x"), "y"), KindNoGroup},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			if got := KindOf(tt.err); got != tt.want {
				t.Errorf("KindOf() = %q, want %q", got, tt.want)
			}
		})
	}
	if got := ErrorResponseFor("no-such-kind"); got.Outcome != OutcomeUnknown {
		t.Errorf("an unlisted kind has outcome %s", got.Outcome)
	}
}

func TestFencingTokenOrder(t *testing.T) {
	low, high := NewFencingToken(1, 1<<32-1), NewFencingToken(2, 0)
	if low >= high {
		t.Errorf("token %v of the older term is not below %v", low, high)
	}
	if high.Term() != 2 || high.Sequence() != 0 || low.String() != "1.4294967295" {
		t.Errorf("token parts: %v, %v", low, high)
	}
}
