package recorder

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/garnetworks/garnetworks"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	checks := "100"
	if testing.Short() {
		checks = "20"
	}
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true", "rapid.checks": checks} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

var start = time.Date(2027, time.March, 1, 8, 0, 0, 0, time.UTC)

// message is a message in flight, with the IDs of all events that happened before it was sent.
type message struct {
	from   int
	at     garnetworks.Timestamp
	causes []int
}

// TestCausalOrderAcrossClocks checks that merged events of nodes with skewed clocks never show
// an effect before its cause.
func TestCausalOrderAcrossClocks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		offsets := []time.Duration{0, 7 * time.Second, -9 * time.Second, 2 * time.Second, 0}
		offsets[4] = time.Duration(rapid.SampledFrom([]int{0, 5, -3, 400, -400}).Draw(t, "broken")) * time.Hour
		clocks := make([]Clock, len(offsets))
		events := make([][]stamped, len(offsets))
		causes := make([][]int, len(offsets))
		var inFlight []message
		now, count := start, 0

		for range rapid.IntRange(20, 120).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond)
			n := rapid.IntRange(0, len(offsets)-1).Draw(t, "node")
			own := now.Add(offsets[n])
			switch rapid.SampledFrom([]string{"event", "send", "receive", "sample"}).Draw(t, "action") {
			case "event":
				events[n] = append(events[n], stamped{id: count, at: clocks[n].Now(own), causes: slices.Clone(causes[n])})
				causes[n] = append(causes[n], count)
				count++
			case "send":
				inFlight = append(inFlight, message{from: n, at: clocks[n].Now(own), causes: slices.Clone(causes[n])})
			case "receive":
				if len(inFlight) == 0 {
					continue
				}
				m := inFlight[0]
				inFlight = inFlight[1:]
				if clocks[n].Observe(m.at, own) != nil {
					continue
				}
				causes[n] = append(causes[n], m.causes...)
			case "sample":
				peer := rapid.IntRange(0, len(offsets)-1).Draw(t, "peer")
				reading := clocks[peer].Now(now.Add(offsets[peer]))
				if peer != n && clocks[n].Sample(fmt.Sprint(peer), reading, own) {
					events[n] = restampForTest(&clocks[n], events[n], own)
				}
			}
		}
		checkCausalOrder(t, events)
	})
}

type stamped struct {
	id     int
	at     garnetworks.Timestamp
	causes []int
}

// restampForTest applies rule E3 to the test's own list of events.
func restampForTest(c *Clock, events []stamped, own time.Time) []stamped {
	limit := own.Add(c.Correction() + MaxClockSkew).UnixMilli()
	for i := range events {
		if events[i].at.Wall > limit {
			events[i].at = c.Now(own)
		}
	}
	return events
}

func checkCausalOrder(t *rapid.T, events [][]stamped) {
	at := map[int]garnetworks.Timestamp{}
	for _, list := range events {
		for _, e := range list {
			at[e.id] = e.at
		}
	}
	for n, list := range events {
		for _, e := range list {
			for _, cause := range e.causes {
				if !at[cause].Before(e.at) {
					t.Fatalf("node %d: event %d at %v is not after its cause %d at %v", n, e.id, e.at, cause, at[cause])
				}
			}
		}
	}
}

// TestBrokenClockIsContained guards against one node's clock a year ahead moving the clocks of
// the nodes that receive its messages.
func TestBrokenClockIsContained(t *testing.T) {
	var broken, a, b Clock
	ahead := start.Add(365 * 24 * time.Hour)
	first := broken.Now(ahead)
	if err := a.Observe(first, start); !garnetworks.IsKind(err, garnetworks.KindInvalidRequest) {
		t.Fatalf("a message from a year ahead was answered with %v", err)
	}
	if got := a.Now(start); got.Wall != start.UnixMilli() {
		t.Errorf("the refused message moved the clock to %v", got.Time())
	}
	if broken.Sample("a", a.Now(start), ahead) {
		t.Error("one peer alone corrected a clock")
	}
	if !broken.Sample("b", b.Now(start), ahead) {
		t.Fatal("the broken clock was not corrected by two peers")
	}
	if err := a.Observe(broken.Now(ahead.Add(time.Second)), start.Add(time.Second)); err != nil {
		t.Errorf("the corrected node is still refused: %v", err)
	}
	a.Sample("broken", first, start)
	if a.Sample("b", b.Now(start), start) {
		t.Errorf("one broken peer corrected a correct clock by %v", a.Correction())
	}
}

// TestRestampsAfterCorrection guards against events of a node that started with a wrong clock
// being ordered after their effects.
func TestRestampsAfterCorrection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := New("entry-1", 8)
		day := garnetworks.Timestamp{Wall: time.Now().Add(-24 * time.Hour).UnixMilli()}
		r.Record(garnetworks.Event{Kind: garnetworks.EventNodeStarted})
		r.Record(garnetworks.Event{Kind: garnetworks.EventLeaseTaken})
		r.Sample("10.0.0.2:7000", day)
		r.Sample("10.0.0.3:7000", day)
		events, _ := r.Events(0, 0)
		for i, e := range events {
			if e.At.Wall > day.Wall {
				t.Errorf("event %d is still stamped %v", e.Sequence, e.At.Time())
			}
			if i > 0 && !events[i-1].At.Before(e.At) {
				t.Errorf("event %d is not after event %d", e.Sequence, events[i-1].Sequence)
			}
		}
		if last := events[len(events)-1]; last.Kind != garnetworks.EventClockCorrected {
			t.Errorf("the last event is %s", last.Kind)
		}
	})
}

func TestEvents(t *testing.T) {
	tests := map[string]struct {
		recorded, after, limit int
		first, count, lost     uint64
	}{
		"empty":                     {0, 0, 0, 0, 0, 0},
		"all":                       {3, 0, 0, 1, 3, 0},
		"after":                     {3, 2, 0, 3, 1, 0},
		"nothing new":               {3, 3, 0, 0, 0, 0},
		"limited":                   {4, 0, 2, 1, 2, 0},
		"overrun":                   {10, 0, 0, 7, 4, 6},
		"overrun after some":        {10, 3, 0, 7, 4, 3},
		"reader of earlier process": {2, 900, 0, 1, 2, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := New("entry-1", 4)
			for range test.recorded {
				r.Record(garnetworks.Event{Kind: garnetworks.EventOrderSent})
			}
			events, lost := r.Events(uint64(test.after), test.limit)
			if uint64(len(events)) != test.count || lost != test.lost {
				t.Fatalf("got %d events and %d lost, want %d and %d", len(events), lost, test.count, test.lost)
			}
			if len(events) > 0 && events[0].Sequence != test.first {
				t.Errorf("first event is %d, want %d", events[0].Sequence, test.first)
			}
		})
	}
}

func TestMergeAndFilter(t *testing.T) {
	event := func(wall int64, node garnetworks.NodeID, sequence uint64, zone garnetworks.ZoneID) garnetworks.Event {
		return garnetworks.Event{At: garnetworks.Timestamp{Wall: wall}, Node: node, Sequence: sequence, Zone: zone}
	}
	nodes := []NodeEvents{
		{Node: "b", Events: []garnetworks.Event{event(5, "b", 8, "z1"), event(9, "b", 9, "z2")}, Lost: 7},
		{Node: "a", Events: []garnetworks.Event{event(5, "a", 1, "z1"), event(7, "a", 2, "z1")}},
		{Node: "c", Err: garnetworks.Errorf(garnetworks.KindUnreachable, "no answer")},
	}
	rand.New(rand.NewPCG(1, 1)).Shuffle(len(nodes), func(i, j int) { nodes[i], nodes[j] = nodes[j], nodes[i] })
	line := Filter{Zone: "z1"}.Apply(Merge(nodes))
	var got []string
	for _, e := range line.Events {
		got = append(got, fmt.Sprintf("%s%d", e.Node, e.Sequence))
	}
	if want := []string{"a1", "b8", "a2"}; !slices.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
	if want := []Gap{{Node: "b", Before: garnetworks.Timestamp{Wall: 5}, Lost: 7}}; !slices.Equal(line.Gaps, want) {
		t.Errorf("gaps %v, want %v", line.Gaps, want)
	}
	if len(line.Unreachable) != 1 || line.Unreachable[0].Node != "c" {
		t.Errorf("unreachable %v", line.Unreachable)
	}
}

func BenchmarkRecord(b *testing.B) {
	r := New("entry-1", DefaultSize)
	b.ReportAllocs()
	for b.Loop() {
		r.Record(garnetworks.Event{Kind: garnetworks.EventOrderSent})
	}
}
