package quarantiner

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/garnetworks/garnetworks"
)

// newQuiet returns a quarantiner whose duties don't run.
func newIdle() *Quarantiner { return New(Options{}) }

func incarnation(n int) garnetworks.Incarnation {
	return garnetworks.Incarnation{Instance: garnetworks.InstanceID(fmt.Sprint("i", n))}
}

// ended breaks a content off at some lives whose end is proven.
func (q *Quarantiner) reportCrashes(content garnetworks.ContentDigest, incarnations ...int) {
	for _, n := range incarnations {
		q.ReportInterrupted(content, incarnation(n))
		q.applyResult(time.Now(), incarnation(n), garnetworks.CrashProven)
	}
}

func (q *Quarantiner) isQuarantined(content garnetworks.ContentDigest) bool {
	_, quarantined := q.Quarantined(context.Background(), content)
	return quarantined
}

// Story: many callers ask the same thing of a public page, and a domain goes dark: three
// engines end at once under that call. It was held for minutes, and its callers refused,
// though engines answer it.
func TestAnsweredContentIsSound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newIdle()
		q.ReportCompleted("popular")
		time.Sleep(time.Second)
		q.reportCrashes("popular", 1, 2, 3, 4)
		if q.isQuarantined("popular") {
			t.Error("a content that was answered a moment ago is held")
		}
		other := newIdle()
		other.reportCrashes("popular", 5, 6, 7)
		if !other.isQuarantined("popular") {
			t.Fatal("three ends are not enough")
		}
		other.Merge(q.Recent())
		if other.isQuarantined("popular") {
			t.Error("another node's word that it was answered does not count")
		}
		// It is not sound for good: what ends servers later is held.
		time.Sleep(ExemptionPeriod + time.Second)
		q.reportCrashes("popular", 8, 9, 10)
		if !q.isQuarantined("popular") {
			t.Error("a content that was answered long ago is never held")
		}
	})
}

// Story: connections break off at three engines that live on, by the network's fault. The
// call was taken for what ended them.
func TestLivesThatAnswerAreNotBlamed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newIdle()
		for n := range 4 {
			q.ReportInterrupted("x", incarnation(n))
		}
		began := time.Now()
		for n := range 4 {
			q.applyResult(began, incarnation(n), garnetworks.CrashRefuted)
		}
		if q.isQuarantined("x") {
			t.Error("a content is held under which no server ended")
		}
		// A node that took them for ended hears of it, also by way of the object API.
		later := newIdle()
		later.reportCrashes("x", 0, 1, 2)
		value, err := encode(time.Now(), q.Retained())
		if err != nil {
			t.Fatal(err)
		}
		if later.MergeObject(value); !later.isQuarantined("x") {
			t.Error("what is proven by more than refused connections is withdrawn")
		}
		refused := newIdle()
		for n := range 3 {
			refused.ReportInterrupted("x", incarnation(n))
			refused.applyResult(time.Now(), incarnation(n), garnetworks.CrashConnectionRefused)
		}
		if refused.MergeObject(value); refused.isQuarantined("x") {
			t.Error("a node goes on with what was refuted")
		}
		// An answer to a question from before the break proves nothing.
		time.Sleep(time.Second)
		q.ReportInterrupted("y", incarnation(5))
		q.ReportInterrupted("y", incarnation(6))
		q.applyResult(began, incarnation(5), garnetworks.CrashRefuted)
		if n := len(q.dueProbes(time.Now())); n != 2 {
			t.Errorf("%d lives are in doubt, want 2: an older answer refutes no later end", n)
		}
	})
}

// Story: a zone is cut off, and its node's connections to three engines in others are reset
// and then refused. A sound call that met them was held for ten minutes at all nodes, though
// they answered again when the cut was over ("call-held" at six nodes, "connection reset by
// peer" in each of its attempts).
func TestRefusedConnectionsAreWithdrawnOnceTheServersAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var over atomic.Bool
		node, other := newIdle(), newIdle()
		node.options.Probe = func(context.Context, garnetworks.Incarnation, bool) garnetworks.CrashState {
			if over.Load() {
				return garnetworks.CrashRefuted
			}
			return garnetworks.CrashConnectionRefused
		}
		ctx, stop := context.WithCancel(t.Context())
		go node.runProbes(ctx)
		for n := range 3 {
			node.ReportInterrupted("sound", incarnation(n))
		}
		time.Sleep(time.Second)
		other.Merge(node.Retained())
		over.Store(true)
		time.Sleep(2 * probeBackoffMax)
		if node.isQuarantined("sound") {
			t.Error("the call is held though its servers answer")
		}
		if node.Checksum() == other.Checksum() {
			t.Error("nodes that know different things tell the same sum")
		}
		if other.Merge(node.Retained()); other.isQuarantined("sound") {
			t.Error("another node holds it")
		}
		stop()
		synctest.Wait()
	})
}

// Story: the third engine has ended, and its end is proven 5 ms later. In between the call
// was repeated at a fourth one.
func TestCallWaitsForTheProofThatWouldHoldIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newIdle()
		q.reportCrashes("x", 1, 2)
		q.ReportInterrupted("x", incarnation(3))
		time.AfterFunc(5*time.Millisecond, func() { q.applyResult(time.Now(), incarnation(3), garnetworks.CrashProven) })
		if !q.isQuarantined("x") {
			t.Error("the call goes on before the proof")
		}
		q.reportCrashes("y", 4, 5)
		q.ReportInterrupted("y", incarnation(6))
		began := time.Now()
		if q.isQuarantined("y") || time.Since(began) > proofTimeout {
			t.Errorf("without a proof the call waits for %s, or for good", time.Since(began))
		}
	})
}

// A hold ends, so that a mended server gets the call again, and doubles with each further
// end up to LongestHold; what is not held is forgotten.
func TestHoldsEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newIdle()
		q.reportCrashes("x", 1, 2, 3)
		for n, want := range []time.Duration{MinQuarantine, 2 * MinQuarantine, 4 * MinQuarantine} {
			if left, _ := q.Quarantined(t.Context(), "x"); left != want {
				t.Errorf("after %d ends it is held for %s, want %s", 3+n, left, want)
			}
			time.Sleep(want)
			q.expire()
			if q.isQuarantined("x") {
				t.Error("a hold does not end")
			}
			q.reportCrashes("x", 4+n)
		}
		for n := range 20 {
			q.reportCrashes("x", 10+n)
		}
		if left, _ := q.Quarantined(t.Context(), "x"); left != MaxQuarantine {
			t.Errorf("it is held for %s, want %s at most", left, MaxQuarantine)
		}
		time.Sleep(2*MaxQuarantine + time.Second)
		q.expire()
		if n := len(q.records); n != 0 {
			t.Errorf("%d records are kept for good", n)
		}
	})
}

// Story: a zone goes dark with 40 groups, and thousands of calls break off. What is known
// of the few that matter must not be lost among them, and memory is bounded.
func TestRecordsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newIdle()
		q.reportCrashes("x", 1, 2, 3)
		for n := range 2 * MaxRecords {
			q.ReportInterrupted(garnetworks.ContentDigest(fmt.Sprint("c", n)), incarnation(100+n%40))
		}
		for n := range 2 * MaxRuns {
			q.ReportInterrupted("many", incarnation(200+n))
		}
		for n := range 3 * maxCompleted {
			q.ReportCompleted(garnetworks.ContentDigest(fmt.Sprint("s", n)))
		}
		if len(q.records) > MaxRecords || len(q.records["many"].runs) > MaxRuns || len(q.completed) > maxCompleted || len(q.completionOrder) > maxCompleted {
			t.Errorf("%d records, %d runs, %d sound contents", len(q.records), len(q.records["many"].runs), len(q.completed))
		}
		if !q.isQuarantined("x") {
			t.Error("a content that is held was forgotten")
		}
		if n := len(q.Recent()); n > maxReported {
			t.Errorf("%d records in a message", n)
		}
	})
}

// Nodes that heard the same, in any order, twice or by way of others, hold the same and
// tell the same sum (rule Z5).
func TestNodesThatHeardTheSameDecideTheSame(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var reported []garnetworks.ContentRecord
		contents := []garnetworks.ContentDigest{"x", "y", "z"}
		for range rapid.IntRange(1, 30).Draw(t, "records") {
			r := garnetworks.ContentRecord{Digest: rapid.SampledFrom(contents).Draw(t, "content"), LastCompletedAgeMS: -1}
			for range rapid.IntRange(1, 3).Draw(t, "runs") {
				r.Runs = append(r.Runs, garnetworks.InterruptedRun{
					Instance: incarnation(rapid.IntRange(0, 6).Draw(t, "life")).Instance, AgeMS: 5,
					State: garnetworks.CrashState(rapid.IntRange(0, 3).Draw(t, "state")),
				})
			}
			reported = append(reported, r)
		}
		a, b, c := newIdle(), newIdle(), newIdle()
		a.Merge(reported)
		for _, r := range rapid.Permutation(reported).Draw(t, "order") {
			b.Merge([]garnetworks.ContentRecord{r, r})
		}
		c.Merge(b.Retained())
		quarantinedBy := func(q *Quarantiner) []garnetworks.ContentDigest { return slices.Sorted(maps.Keys(q.quarantined)) }
		if a.Checksum() != b.Checksum() || a.Checksum() != c.Checksum() {
			t.Fatalf("sums %x, %x, %x", a.Checksum(), b.Checksum(), c.Checksum())
		}
		if !slices.Equal(quarantinedBy(a), quarantinedBy(b)) || !slices.Equal(quarantinedBy(a), quarantinedBy(c)) {
			t.Fatalf("held are %v, %v, %v", quarantinedBy(a), quarantinedBy(b), quarantinedBy(c))
		}
	})
}

// What is stored reads back as it was; what another program wrote there is refused or
// bounded, and never ends the node.
func FuzzDecode(f *testing.F) {
	q := newIdle()
	q.reportCrashes("x", 1, 2, 3)
	value, err := encode(time.Now(), q.Retained())
	if err != nil {
		f.Fatal(err)
	}
	for _, seed := range []string{string(value), `{}`, `{"contents":null}`, `{"contents":[{"content":"x","runs":[{"instance":"i","at-ms":-9223372036854775808,"state":"proven"}],"answered-ms":9223372036854775807}]}`, `[]`, "\xff", `{"contents":[{"runs":[{"state":"other"}]}]}`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, value []byte) {
		records, err := decode(time.Now(), value)
		if err != nil {
			return
		}
		if len(records) > MaxStored {
			t.Errorf("%d records", len(records))
		}
		q := newIdle()
		q.Merge(records)
		for _, r := range q.Retained() {
			if len(r.Runs) > MaxRuns {
				t.Errorf("%d runs", len(r.Runs))
			}
			for _, x := range r.Runs {
				if x.AgeMS < 0 {
					t.Errorf("an age of %d ms", x.AgeMS)
				}
			}
		}
	})
}
