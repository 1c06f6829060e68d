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
func newQuiet() *Quarantiner { return New(Options{}) }

func life(n int) garnetworks.Incarnation {
	return garnetworks.Incarnation{Instance: garnetworks.InstanceID(fmt.Sprint("i", n))}
}

// ended breaks a content off at some lives whose end is proven.
func (q *Quarantiner) ended(content garnetworks.ContentDigest, lives ...int) {
	for _, n := range lives {
		q.ReportInterrupted(content, life(n))
		q.settle(time.Now(), life(n), garnetworks.CrashProven)
	}
}

func (q *Quarantiner) holds(content garnetworks.ContentDigest) bool {
	_, held := q.Quarantined(context.Background(), content)
	return held
}

// Story: many callers ask the same thing of a public page, and a domain goes dark: three
// engines end at once under that call. It was held for minutes, and its callers refused,
// though engines answer it.
func TestAnsweredContentIsSound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newQuiet()
		q.ReportCompleted("popular")
		time.Sleep(time.Second)
		q.ended("popular", 1, 2, 3, 4)
		if q.holds("popular") {
			t.Error("a content that was answered a moment ago is held")
		}
		other := newQuiet()
		other.ended("popular", 5, 6, 7)
		if !other.holds("popular") {
			t.Fatal("three ends are not enough")
		}
		other.Merge(q.Recent())
		if other.holds("popular") {
			t.Error("another node's word that it was answered does not count")
		}
		// It is not sound for good: what ends servers later is held.
		time.Sleep(SoundTime + time.Second)
		q.ended("popular", 8, 9, 10)
		if !q.holds("popular") {
			t.Error("a content that was answered long ago is never held")
		}
	})
}

// Story: connections break off at three engines that live on, by the network's fault. The
// call was taken for what ended them.
func TestLivesThatAnswerAreNotBlamed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newQuiet()
		for n := range 4 {
			q.ReportInterrupted("x", life(n))
		}
		began := time.Now()
		for n := range 4 {
			q.settle(began, life(n), garnetworks.CrashRefuted)
		}
		if q.holds("x") {
			t.Error("a content is held under which no server ended")
		}
		// A node that took them for ended hears of it, also by way of the object API.
		later := newQuiet()
		later.ended("x", 0, 1, 2)
		value, err := encode(time.Now(), q.Retained())
		if err != nil {
			t.Fatal(err)
		}
		if later.TakeObject(value); !later.holds("x") {
			t.Error("what is proven by more than refused connections is withdrawn")
		}
		refused := newQuiet()
		for n := range 3 {
			refused.ReportInterrupted("x", life(n))
			refused.settle(time.Now(), life(n), garnetworks.CrashConnectionRefused)
		}
		if refused.TakeObject(value); refused.holds("x") {
			t.Error("a node goes on with what was refuted")
		}
		// An answer to a question from before the break proves nothing.
		time.Sleep(time.Second)
		q.ReportInterrupted("y", life(5))
		q.ReportInterrupted("y", life(6))
		q.settle(began, life(5), garnetworks.CrashRefuted)
		if n := len(q.doubts(time.Now())); n != 2 {
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
		node, other := newQuiet(), newQuiet()
		node.options.Prove = func(context.Context, garnetworks.Incarnation, bool) garnetworks.CrashState {
			if over.Load() {
				return garnetworks.CrashRefuted
			}
			return garnetworks.CrashConnectionRefused
		}
		ctx, stop := context.WithCancel(t.Context())
		go node.ask(ctx)
		for n := range 3 {
			node.ReportInterrupted("sound", life(n))
		}
		time.Sleep(time.Second)
		other.Merge(node.Retained())
		over.Store(true)
		time.Sleep(2 * longestAgain)
		if node.holds("sound") {
			t.Error("the call is held though its servers answer")
		}
		if node.Checksum() == other.Checksum() {
			t.Error("nodes that know different things tell the same sum")
		}
		if other.Merge(node.Retained()); other.holds("sound") {
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
		q := newQuiet()
		q.ended("x", 1, 2)
		q.ReportInterrupted("x", life(3))
		time.AfterFunc(5*time.Millisecond, func() { q.settle(time.Now(), life(3), garnetworks.CrashProven) })
		if !q.holds("x") {
			t.Error("the call goes on before the proof")
		}
		q.ended("y", 4, 5)
		q.ReportInterrupted("y", life(6))
		began := time.Now()
		if q.holds("y") || time.Since(began) > proofTime {
			t.Errorf("without a proof the call waits for %s, or for good", time.Since(began))
		}
	})
}

// A hold ends, so that a mended server gets the call again, and doubles with each further
// end up to LongestHold; what is not held is forgotten.
func TestHoldsEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newQuiet()
		q.ended("x", 1, 2, 3)
		for n, want := range []time.Duration{FirstHold, 2 * FirstHold, 4 * FirstHold} {
			if left, _ := q.Quarantined(t.Context(), "x"); left != want {
				t.Errorf("after %d ends it is held for %s, want %s", 3+n, left, want)
			}
			time.Sleep(want)
			q.forget()
			if q.holds("x") {
				t.Error("a hold does not end")
			}
			q.ended("x", 4+n)
		}
		for n := range 20 {
			q.ended("x", 10+n)
		}
		if left, _ := q.Quarantined(t.Context(), "x"); left != LongestHold {
			t.Errorf("it is held for %s, want %s at most", left, LongestHold)
		}
		time.Sleep(2*LongestHold + time.Second)
		q.forget()
		if n := len(q.records); n != 0 {
			t.Errorf("%d records are kept for good", n)
		}
	})
}

// Story: a zone goes dark with 40 groups, and thousands of calls break off. What is known
// of the few that matter must not be lost among them, and memory is bounded.
func TestRecordsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newQuiet()
		q.ended("x", 1, 2, 3)
		for n := range 2 * MostRecords {
			q.ReportInterrupted(garnetworks.ContentDigest(fmt.Sprint("c", n)), life(100+n%40))
		}
		for n := range 2 * MostRuns {
			q.ReportInterrupted("many", life(200+n))
		}
		for n := range 3 * mostSound {
			q.ReportCompleted(garnetworks.ContentDigest(fmt.Sprint("s", n)))
		}
		if len(q.records) > MostRecords || len(q.records["many"].runs) > MostRuns || len(q.sound) > mostSound || len(q.order) > mostSound {
			t.Errorf("%d records, %d runs, %d sound contents", len(q.records), len(q.records["many"].runs), len(q.sound))
		}
		if !q.holds("x") {
			t.Error("a content that is held was forgotten")
		}
		if n := len(q.Recent()); n > mostTold {
			t.Errorf("%d records in a message", n)
		}
	})
}

// Nodes that heard the same, in any order, twice or by way of others, hold the same and
// tell the same sum (rule Z5).
func TestNodesThatHeardTheSameDecideTheSame(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var told []garnetworks.ContentRecord
		contents := []garnetworks.ContentDigest{"x", "y", "z"}
		for range rapid.IntRange(1, 30).Draw(t, "records") {
			r := garnetworks.ContentRecord{Digest: rapid.SampledFrom(contents).Draw(t, "content"), LastCompletedAgeMS: -1}
			for range rapid.IntRange(1, 3).Draw(t, "runs") {
				r.Runs = append(r.Runs, garnetworks.InterruptedRun{
					Instance: life(rapid.IntRange(0, 6).Draw(t, "life")).Instance, AgeMS: 5,
					State: garnetworks.CrashState(rapid.IntRange(0, 3).Draw(t, "state")),
				})
			}
			told = append(told, r)
		}
		a, b, c := newQuiet(), newQuiet(), newQuiet()
		a.Merge(told)
		for _, r := range rapid.Permutation(told).Draw(t, "order") {
			b.Merge([]garnetworks.ContentRecord{r, r})
		}
		c.Merge(b.Retained())
		heldBy := func(q *Quarantiner) []garnetworks.ContentDigest { return slices.Sorted(maps.Keys(q.held)) }
		if a.Checksum() != b.Checksum() || a.Checksum() != c.Checksum() {
			t.Fatalf("sums %x, %x, %x", a.Checksum(), b.Checksum(), c.Checksum())
		}
		if !slices.Equal(heldBy(a), heldBy(b)) || !slices.Equal(heldBy(a), heldBy(c)) {
			t.Fatalf("held are %v, %v, %v", heldBy(a), heldBy(b), heldBy(c))
		}
	})
}

// What is stored reads back as it was; what another program wrote there is refused or
// bounded, and never ends the node.
func FuzzDecode(f *testing.F) {
	q := newQuiet()
	q.ended("x", 1, 2, 3)
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
		if len(records) > MostStored {
			t.Errorf("%d records", len(records))
		}
		q := newQuiet()
		q.Merge(records)
		for _, r := range q.Retained() {
			if len(r.Runs) > MostRuns {
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
