package quarantiner

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/garnetworks/garnetworks"
)

// callWith returns the identity of a call of its own content that shares parts, which are separated
// by spaces.
func callWith(n int, parts string) garnetworks.CallIdentity {
	call := garnetworks.CallIdentity{ID: garnetworks.CallID(fmt.Sprint("r", n)), Content: garnetworks.ContentDigest(fmt.Sprint("c", n))}
	for _, part := range strings.Fields(parts) {
		call.Parts = append(call.Parts, garnetworks.ContentDigest("part-"+part))
	}
	return call
}

// crashCalls lets one server crash under a call with each of the lists of parts.
func (q *Quarantiner) crashCalls(first int, calls ...string) {
	for i, parts := range calls {
		time.Sleep(200 * time.Millisecond)
		q.ReportInterrupted(callWith(first+i, parts), incarnation(first+i))
		q.applyResult(time.Now(), incarnation(first+i), garnetworks.CrashProven)
	}
}

// Guards against a harmful part going undetected, or sound calls being quarantined for other parts.
func TestPartsThatCrashServers(t *testing.T) {
	cases := map[string]struct {
		// crashed are the parts of the calls under which a server crashed each, begun those of
		// calls whose answers servers began before the last of these crashes.
		crashed    []string
		begun      []string
		held, free string
	}{
		"three crashes are too few":               {[]string{"a p", "a p", "a p"}, nil, "", "a p"},
		"a part beside one that is answered":      {[]string{"a p", "a p", "a p", "a p"}, []string{"a"}, "a p, p, b p", "a"},
		"whatever else the calls contain":         {[]string{"a p", "b p", "c p", "d p"}, nil, "p, e p", "a b c d"},
		"parts that always come together":         {[]string{"a b p", "a b p", "a b p", "a b p"}, nil, "a b p", "a b, a p, b p"},
		"another part met all crashes but one":    {[]string{"a p", "a p", "a p", "p"}, nil, "a p", "a, p"},
		"another part missed two crashes":         {[]string{"a p", "a p", "a p", "p", "p"}, nil, "p, a p", "a"},
		"two parts, each with crashes of its own": {[]string{"p", "r", "p", "r", "p", "r", "p", "r"}, nil, "p, r", "a"},
		"two parts behind a first one":            {[]string{"a p", "a r", "a p", "a r"}, nil, "a p, a r", "a, a b, p, r"},
		"each always with another part":           {[]string{"a p x", "a r", "a p x", "a r"}, nil, "a p x, a r", "a, a p, a x"},
		"more often behind one of the two":        {[]string{"a p", "a r", "a p", "a p", "a p", "a r"}, nil, "a p, a r", "a, a b"},
		"one crash behind a third part":           {[]string{"a p", "a r", "a p", "a r", "a b"}, nil, "a p, a r", "a, a c, a b"},
		"three parts behind a first one":          {[]string{"a p", "a r", "a s", "a p", "a r", "a s"}, nil, "a p, a r, a s", "a, a b, p"},
		"a first part, mostly before one other":   {[]string{"a p", "a r", "a p", "a s", "a t"}, nil, "a, a c, a p", "p, t"},
		"the first part alone after two others":   {[]string{"a p", "a r", "a p", "a r", "a"}, nil, "a, a c, a p", "p"},
		"an answer acquits a part later on":       {[]string{"a p", "a p", "a p", "a p", "a p"}, []string{"a p"}, "", "a p"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				q := newIdle()
				last := len(c.crashed) - 1
				q.crashCalls(0, c.crashed[:last]...)
				for _, parts := range c.begun {
					q.ReportSurvival(callWith(100, parts))
				}
				q.crashCalls(last, c.crashed[last])
				for want, calls := range map[bool]string{true: c.held, false: c.free} {
					for parts := range strings.SplitSeq(calls, ",") {
						if parts == "" {
							continue
						}
						if _, got := q.Quarantined(t.Context(), callWith(200, parts)); got != want {
							t.Errorf("calls with %q: quarantined = %t", parts, got)
						}
					}
				}
			})
		})
	}
}

// Guards against quarantining all calls with a first part for two harmful parts behind it.
func TestFirstPartOfTwoHarmfulPartsIsNotQuarantined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newIdle()
		harmful := []string{"a p", "a r"}
		for n := range 10 {
			if _, held := q.Quarantined(t.Context(), callWith(n, harmful[n%2])); !held {
				q.crashCalls(n, harmful[n%2])
			}
		}
		for _, parts := range []string{"a", "a b"} {
			if _, held := q.Quarantined(t.Context(), callWith(100, parts)); held {
				t.Errorf("calls with %q are quarantined", parts)
			}
		}
	})
}

// Guards against a popular part being quarantined after the outage of many servers at once.
func TestOutageDoesNotQuarantineSharedParts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newIdle()
		for n := range 18 {
			q.ReportInterrupted(callWith(n, "popular"), incarnation(n))
			time.Sleep(time.Millisecond)
		}
		for n := range 18 {
			q.applyResult(time.Now(), incarnation(n), garnetworks.CrashProven)
		}
		if _, held := q.Quarantined(t.Context(), callWith(100, "popular")); held {
			t.Error("calls with a popular part are quarantined after one outage")
		}
	})
}

// Guards against a sound call being quarantined for the crashes that a part caused.
func TestCallsBesideHarmfulPartAreNotQuarantined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newIdle()
		for n := range 6 {
			time.Sleep(200 * time.Millisecond)
			q.ReportInterrupted(callWith(n, "p"), incarnation(n))
			if n < 3 {
				q.ReportInterrupted(copyOf("sound"), incarnation(n))
			}
			q.applyResult(time.Now(), incarnation(n), garnetworks.CrashProven)
			if n >= 3 && q.isQuarantined("sound") {
				t.Errorf("after %d crashes a call that met three of them is quarantined", n+1)
			}
		}
		if _, held := q.Quarantined(t.Context(), callWith(100, "p")); !held {
			t.Error("calls with the part are not quarantined")
		}
	})
}

// Guards against a part being quarantined for the crashes that copies of one call caused.
func TestPartsOfCrashingCopiesAreNotQuarantined(t *testing.T) {
	for name, others := range map[string]int{"copies alone": 0, "another call met a crash": 1} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				q := newIdle()
				harmful := callWith(1, "p")
				for n := range 5 + others {
					time.Sleep(200 * time.Millisecond)
					call := harmful
					if n < others {
						call = callWith(50, "p")
					}
					q.ReportInterrupted(call, incarnation(n))
					q.applyResult(time.Now(), incarnation(n), garnetworks.CrashProven)
				}
				if _, held := q.Quarantined(t.Context(), harmful); !held {
					t.Error("a copy is not quarantined")
				}
				if _, held := q.Quarantined(t.Context(), callWith(60, "p")); held {
					t.Error("another call with the part is quarantined")
				}
			})
		})
	}
}

// Guards against a caller having the parts of others quarantined by naming them in harmful calls.
func TestWorkspaceCannotHaveOthersPartsQuarantined(t *testing.T) {
	identity := func(n int, workspace garnetworks.WorkspaceName, parts ...garnetworks.PromptPart) garnetworks.CallIdentity {
		call := garnetworks.ProxiedCall{ID: garnetworks.CallID(fmt.Sprint(n)), Body: fmt.Append(nil, n), Model: "m", SharedParts: parts}
		return call.Identity(workspace)
	}
	synctest.Test(t, func(t *testing.T) {
		q := newIdle()
		crash := func(n int, call garnetworks.CallIdentity) {
			time.Sleep(200 * time.Millisecond)
			q.ReportInterrupted(call, incarnation(n))
			q.applyResult(time.Now(), incarnation(n), garnetworks.CrashProven)
		}
		held := func(call garnetworks.CallIdentity) bool {
			_, quarantined := q.Quarantined(t.Context(), call)
			return quarantined
		}
		for n := range 8 {
			crash(n, identity(n, "attacker", garnetworks.PromptPart(fmt.Sprint("own", n)), "others"))
		}
		if !held(identity(50, "attacker", "others")) {
			t.Error("the workspace's own calls are not quarantined")
		}
		if held(identity(51, "victim", "others")) {
			t.Error("calls of another workspace are quarantined")
		}
		// If they crash servers as well, the part is harmful whoever sends it.
		crash(60, identity(60, "victim", "others"))
		crash(61, identity(61, "third", "others"))
		for n, workspace := range []garnetworks.WorkspaceName{"victim", "third", "fourth"} {
			if !held(identity(70+n, workspace, "others")) {
				t.Errorf("calls of %s are not quarantined", workspace)
			}
		}
	})
}

// Guards against records of parts being evicted by those of calls that an outage interrupts.
func TestRecordsOfPartsAreKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newIdle()
		q.crashCalls(0, "p", "p", "p")
		for n := range 2 * MaxRecords {
			q.ReportInterrupted(callWith(1000+n, fmt.Sprint("rare", n)), incarnation(100+n%40))
		}
		q.crashCalls(10, "p")
		if _, held := q.Quarantined(t.Context(), callWith(20, "p")); !held {
			t.Error("crashes of a part were forgotten")
		}
		parts := 0
		for digest := range q.records {
			if digest.IsPart() {
				parts++
			}
		}
		if parts > MaxRecords || len(q.records) > 2*MaxRecords {
			t.Errorf("%d records, %d of parts", len(q.records), parts)
		}
	})
}
