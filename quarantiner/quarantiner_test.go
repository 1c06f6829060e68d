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
	"github.com/garnetworks/garnetworks/faker"
)

// newIdle returns a quarantiner whose goroutines don't run.
func newIdle() *Quarantiner { return New(Options{}) }

// copyOf returns the identity of a copy of the call with a content.
func copyOf(content garnetworks.ContentDigest) garnetworks.CallIdentity {
	return garnetworks.CallIdentity{Content: content}
}

func incarnation(n int) garnetworks.Incarnation {
	return garnetworks.Incarnation{Instance: garnetworks.InstanceID(fmt.Sprint("i", n))}
}

// reportCrashes reports interruptions at some incarnations and proves their crashes.
func (q *Quarantiner) reportCrashes(content garnetworks.ContentDigest, incarnations ...int) {
	for _, n := range incarnations {
		q.ReportInterrupted(copyOf(content), incarnation(n))
		q.applyResult(time.Now(), incarnation(n), garnetworks.CrashProven)
	}
}

func (q *Quarantiner) isQuarantined(content garnetworks.ContentDigest) bool {
	_, quarantined := q.Quarantined(context.Background(), copyOf(content))
	return quarantined
}

// An outage that crashes three engines at once must not quarantine a popular content that
// engines answer.
func TestCompletedContentIsExempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newIdle()
		q.ReportCompleted(copyOf("popular"))
		time.Sleep(time.Second)
		q.reportCrashes("popular", 1, 2, 3, 4)
		if q.isQuarantined("popular") {
			t.Error("a content that was just completed is quarantined")
		}
		other := newIdle()
		other.reportCrashes("popular", 5, 6, 7)
		if !other.isQuarantined("popular") {
			t.Fatal("three crashes do not quarantine a content")
		}
		other.Merge(q.Recent())
		if other.isQuarantined("popular") {
			t.Error("another node's report of a completion has no effect")
		}
		// The exemption ends: later crashes quarantine the content.
		time.Sleep(ExemptionPeriod + time.Second)
		q.reportCrashes("popular", 8, 9, 10)
		if !q.isQuarantined("popular") {
			t.Error("a content that was completed long ago is never quarantined")
		}
	})
}

// Connections that the network interrupts must not count as crashes: the engines still run.
func TestRefutedCrashesDoNotCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newIdle()
		for n := range 4 {
			q.ReportInterrupted(copyOf("x"), incarnation(n))
		}
		began := time.Now()
		for n := range 4 {
			q.applyResult(began, incarnation(n), garnetworks.CrashRefuted)
		}
		if q.isQuarantined("x") {
			t.Error("a content is quarantined without a crash")
		}
		// A node that counted them as crashes learns of the refutation, also through the object API.
		later := newIdle()
		later.reportCrashes("x", 0, 1, 2)
		value, err := encode(time.Now(), q.Retained())
		if err != nil {
			t.Fatal(err)
		}
		if later.MergeObject(value); !later.isQuarantined("x") {
			t.Error("a proven crash is withdrawn by a refutation")
		}
		refused := newIdle()
		for n := range 3 {
			refused.ReportInterrupted(copyOf("x"), incarnation(n))
			refused.applyResult(time.Now(), incarnation(n), garnetworks.CrashConnectionRefused)
		}
		if refused.MergeObject(value); refused.isQuarantined("x") {
			t.Error("a node keeps counting refuted crashes")
		}
		// A probe that began before the interruption refutes nothing.
		time.Sleep(time.Second)
		q.ReportInterrupted(copyOf("y"), incarnation(5))
		q.ReportInterrupted(copyOf("y"), incarnation(6))
		q.applyResult(began, incarnation(5), garnetworks.CrashRefuted)
		if n := len(q.dueProbes(time.Now())); n != 2 {
			t.Errorf("%d probes are due, want 2: an earlier answer does not refute a later crash", n)
		}
	})
}

// A partition resets and then refuses connections. The quarantine of a harmless call must
// end at all nodes once its servers answer again.
func TestAnswersRefuteRefusedConnections(t *testing.T) {
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
			node.ReportInterrupted(copyOf("sound"), incarnation(n))
		}
		time.Sleep(time.Second)
		other.Merge(node.Retained())
		over.Store(true)
		time.Sleep(2 * probeBackoffMax)
		if node.isQuarantined("sound") {
			t.Error("the call is quarantined although its servers answer")
		}
		if node.Checksum() == other.Checksum() {
			t.Error("nodes with different records have the same checksum")
		}
		if other.Merge(node.Retained()); other.isQuarantined("sound") {
			t.Error("another node quarantines it")
		}
		stop()
		synctest.Wait()
	})
}

// A call must not be retried at a fourth engine while the third crash is being proven.
func TestQuarantinedWaitsForProof(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newIdle()
		q.reportCrashes("x", 1, 2)
		q.ReportInterrupted(copyOf("x"), incarnation(3))
		time.AfterFunc(5*time.Millisecond, func() { q.applyResult(time.Now(), incarnation(3), garnetworks.CrashProven) })
		if !q.isQuarantined("x") {
			t.Error("the call is allowed before the proof")
		}
		q.reportCrashes("y", 4, 5)
		q.ReportInterrupted(copyOf("y"), incarnation(6))
		began := time.Now()
		if q.isQuarantined("y") || time.Since(began) > proofTimeout {
			t.Errorf("without a proof the call waited %s, or was quarantined", time.Since(began))
		}
	})
}

// A quarantine ends with a trial, so that a repaired server gets the call again, and doubles with
// each further crash up to MaxQuarantine; other records expire.
func TestQuarantineExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := New(Options{Objects: faker.NewObjects(faker.ObjectsOptions{})})
		q.reportCrashes("x", 1, 2, 3)
		for n, want := range []time.Duration{MinQuarantine, 2 * MinQuarantine, 4 * MinQuarantine} {
			if remaining, _ := q.Quarantined(t.Context(), copyOf("x")); remaining != want {
				t.Errorf("after %d crashes it is quarantined for %s, want %s", 3+n, remaining, want)
			}
			time.Sleep(want)
			q.expire()
			if !q.isQuarantined("x") {
				t.Error("a call is let through without a trial")
			}
			q.claimTrial(t.Context(), "x")
			for i, id := range []garnetworks.CallID{"first", "second", "first"} {
				if _, got := q.Quarantined(t.Context(), garnetworks.CallIdentity{ID: id, Content: "x"}); got != (i == 1) {
					t.Errorf("the %s call of a trial: quarantined = %t", id, got)
				}
			}
			q.reportCrashes("x", 4+n)
		}
		for n := range 20 {
			q.reportCrashes("x", 10+n)
		}
		if remaining, _ := q.Quarantined(t.Context(), copyOf("x")); remaining != MaxQuarantine {
			t.Errorf("it is quarantined for %s, want %s at most", remaining, MaxQuarantine)
		}
		time.Sleep(2*MaxQuarantine + time.Second)
		q.expire()
		if n := len(q.records); n != 0 {
			t.Errorf("%d records never expire", n)
		}
	})
}

// The outage of a zone interrupts thousands of calls. Memory stays bounded, and the records
// of quarantined contents are not evicted for them.
func TestRecordsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newIdle()
		q.reportCrashes("x", 1, 2, 3)
		for n := range 2 * MaxRecords {
			q.ReportInterrupted(copyOf(garnetworks.ContentDigest(fmt.Sprint("c", n))), incarnation(100+n%40))
		}
		for n := range 2 * MaxRuns {
			q.ReportInterrupted(copyOf("many"), incarnation(200+n))
		}
		for n := range 3 * maxCompleted {
			q.ReportCompleted(copyOf(garnetworks.ContentDigest(fmt.Sprint("s", n))))
		}
		if len(q.records) > MaxRecords || len(q.records["many"].runs) > MaxRuns || len(q.completed.at) > maxCompleted || len(q.completed.order) > maxCompleted {
			t.Errorf("%d records, %d runs, %d completed contents", len(q.records), len(q.records["many"].runs), len(q.completed.at))
		}
		if !q.isQuarantined("x") {
			t.Error("a quarantined content was evicted")
		}
		if n := len(q.Recent()); n > maxReported {
			t.Errorf("%d records in a message", n)
		}
	})
}

// Nodes that merged the same reports, in any order, repeatedly or through others, quarantine
// the same contents and have the same checksum (rule Z5).
func TestMergeOrderDoesNotMatter(t *testing.T) {
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
			t.Fatalf("checksums %x, %x, %x", a.Checksum(), b.Checksum(), c.Checksum())
		}
		if !slices.Equal(quarantinedBy(a), quarantinedBy(b)) || !slices.Equal(quarantinedBy(a), quarantinedBy(c)) {
			t.Fatalf("quarantined are %v, %v, %v", quarantinedBy(a), quarantinedBy(b), quarantinedBy(c))
		}
	})
}

// Decoding a stored value never panics, and its result is bounded.
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
