package pulser

import (
	"fmt"
	"testing"
	"time"

	"github.com/garnetworks/garnetworks"
)

var start = time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)

func zoneView(groups int) garnetworks.ZoneView {
	view := garnetworks.ZoneView{Zone: "a", Metrics: garnetworks.ZoneMetrics{Drawn: 90000, Limit: 100000}}
	for i := range groups {
		g := garnetworks.GroupView{
			ID: garnetworks.GroupID(fmt.Sprintf("domain-%d-g%d", i/4, i)), Zone: "a", Model: "chat", Version: "v1",
			Token: garnetworks.NewFencingToken(3, uint32(i)), Address: fmt.Sprintf("10.0.%d.1:8000", i),
			State: garnetworks.GroupServing, Confirmed: true,
			Load: garnetworks.EngineLoad{Running: 20 + i, Waiting: i % 3, Capacity: 64},
		}
		for m := range 4 {
			id := garnetworks.InstanceID(fmt.Sprintf("instance-%d-%d", i, m))
			g.Members = append(g.Members, id)
			view.Engines = append(view.Engines, garnetworks.EngineView{Instance: id, Address: fmt.Sprintf("10.0.%d.%d:8000", i, m)})
		}
		view.Groups = append(view.Groups, g)
	}
	return view
}

func at(sequence uint64) garnetworks.UpdateVersion {
	return garnetworks.UpdateVersion{Term: 1, Sequence: sequence}
}

func next(t *testing.T, s *Sender, now time.Time, v garnetworks.UpdateVersion, view garnetworks.ZoneView) []garnetworks.Update {
	t.Helper()
	updates, err := s.Next(now, v, view)
	if err != nil {
		t.Fatal(err)
	}
	return updates
}

func apply(t *testing.T, r *Receiver, now time.Time, updates ...garnetworks.Update) garnetworks.Option[Joined] {
	t.Helper()
	var last garnetworks.Option[Joined]
	for _, u := range updates {
		joined, err := r.Apply(now, u)
		if err != nil {
			t.Fatal(err)
		}
		if joined.Present {
			last = joined
		}
	}
	return last
}

func TestFullViewOnlyWhenStableFieldsChange(t *testing.T) {
	s, r := NewSender(start), NewReceiver("a")
	view := zoneView(3)
	first := next(t, s, start, at(1), view)
	if len(first) != 2 {
		t.Fatalf("first view came as %d updates, want full view and status", len(first))
	}
	apply(t, r, start, first...)

	view.Groups[1].Confirmed = false
	view.Groups[2].Load = garnetworks.EngineLoad{Running: 7, Capacity: 64}
	second := next(t, s, start.Add(time.Second), at(2), view)
	if len(second) != 1 {
		t.Fatalf("a change of confirmation and load came as %d updates, want a status", len(second))
	}
	joined, ok := apply(t, r, start.Add(time.Second), second...).Get()
	if !ok {
		t.Fatal("the status did not refresh the view")
	}
	if got := joined.View.Groups; got[1].Confirmed || !got[0].Confirmed || got[2].Load.Running != 7 {
		t.Errorf("joined groups: %+v", got)
	}
	if joined.View.Metrics.Limit != 100000 {
		t.Errorf("joined metrics: %+v", joined.View.Metrics)
	}

	view.Groups[0].State = garnetworks.GroupDraining
	if got := len(next(t, s, start.Add(2*time.Second), at(3), view)); got != 2 {
		t.Errorf("a change of state came as %d updates, want full view and status", got)
	}
}

func TestStatusOfAnotherViewDoesNotRefresh(t *testing.T) {
	// A status update that arrives before its view must not refresh the older view: a
	// group that was released since would seem confirmed.
	s, r := NewSender(start), NewReceiver("a")
	view := zoneView(3)
	apply(t, r, start, next(t, s, start, at(1), view)...)
	view.Groups = view.Groups[1:]
	updates := next(t, s, start.Add(time.Second), at(2), view)

	if got := apply(t, r, start.Add(time.Second), updates[1]); got.Present {
		t.Fatalf("the status refreshed the older view: %+v", got.Value)
	}
	got := apply(t, r, start.Add(2*time.Second), updates[0])
	if !got.Present || len(got.Value.View.Groups) != 2 {
		t.Fatalf("the view did not join with the pending status: %+v", got)
	}
	if !got.Value.At.Equal(start.Add(time.Second)) {
		t.Errorf("joined at %v, want the time of the status", got.Value.At)
	}
	if again := apply(t, r, start.Add(3*time.Second), updates...); again.Present {
		t.Errorf("repeated updates refreshed the view")
	}
}

func TestDelayedStatusCountsAsOld(t *testing.T) {
	// A relay that resumes after a pause forwards an old status update; taken as fresh,
	// it would keep a group with a dead member in use.
	s, r := NewSender(start), NewReceiver("a")
	view := zoneView(1)
	for i := range 5 {
		now := start.Add(time.Duration(i) * time.Second)
		apply(t, r, now.Add(3*time.Millisecond), next(t, s, now, at(uint64(i+1)), view)...)
	}
	sent := start.Add(5 * time.Second)
	held := next(t, s, sent, at(6), view)
	received := sent.Add(10 * time.Second)
	joined, ok := apply(t, r, received, held...).Get()
	if !ok {
		t.Fatal("the status was not applied")
	}
	if age := received.Sub(joined.At); age < 9990*time.Millisecond {
		t.Errorf("a status delayed by 10 s counts as %v old", age)
	}
}

func TestNewTermResetsDelay(t *testing.T) {
	r := NewReceiver("a")
	apply(t, r, start.Add(time.Hour), next(t, NewSender(start), start.Add(time.Hour), at(9), zoneView(1))...)
	v := garnetworks.UpdateVersion{Term: 2, Sequence: 1}
	now := start.Add(time.Hour + time.Second)
	joined, ok := apply(t, r, now, next(t, NewSender(now), now, v, zoneView(1))...).Get()
	if !ok || !joined.At.Equal(now) {
		t.Errorf("the first status of a new term: %+v, %t", joined.At, ok)
	}
	older, err := r.Apply(now, garnetworks.Update{Topic: garnetworks.TopicZoneView + "a", Version: at(99)})
	if err != nil || older.Present {
		t.Errorf("a view of an older term was applied: %v, %v", older, err)
	}
}

func TestMalformedBodies(t *testing.T) {
	for name, topic := range map[string]garnetworks.Topic{"view": garnetworks.TopicZoneView + "a", "status": garnetworks.TopicZoneStatus + "a"} {
		t.Run(name, func(t *testing.T) {
			r := NewReceiver("a")
			if _, err := r.Apply(start, garnetworks.Update{Topic: topic, Version: at(1), Body: []byte{0xff}}); !garnetworks.IsKind(err, garnetworks.KindInvalidRequest) {
				t.Errorf("Take() error = %v", err)
			}
		})
	}
}

func TestLoadEncoding(t *testing.T) {
	tests := map[string]struct{ load, want garnetworks.EngineLoad }{
		"idle":           {garnetworks.EngineLoad{Capacity: 64}, garnetworks.EngineLoad{Capacity: 64}},
		"one of many":    {garnetworks.EngineLoad{Running: 1, Capacity: 640}, garnetworks.EngineLoad{Running: 10, Capacity: 640}},
		"half":           {garnetworks.EngineLoad{Running: 32, Capacity: 64}, garnetworks.EngineLoad{Running: 33, Capacity: 64}},
		"queue":          {garnetworks.EngineLoad{Running: 63, Waiting: 63, Capacity: 63}, garnetworks.EngineLoad{Running: 63, Waiting: 63, Capacity: 63}},
		"beyond a byte":  {garnetworks.EngineLoad{Running: 63, Waiting: 9999, Capacity: 63}, garnetworks.EngineLoad{Running: 63, Waiting: 192, Capacity: 63}},
		"no capacity":    {garnetworks.EngineLoad{Running: 7}, garnetworks.EngineLoad{Running: 7}},
		"negative calls": {garnetworks.EngineLoad{Running: -1, Capacity: 4}, garnetworks.EngineLoad{Capacity: 4}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			if got := unpackLoad(packLoad(tt.load), tt.load.Capacity); got != tt.want {
				t.Errorf("load %+v came out as %+v, want %+v", tt.load, got, tt.want)
			}
		})
	}
}

// BenchmarkBytes reports the encoded size of a zone's view and status update.
func BenchmarkBytes(b *testing.B) {
	for _, groups := range []int{5, 9, 19, 38, 75} {
		b.Run(fmt.Sprintf("groups=%d", groups), func(b *testing.B) {
			view := zoneView(groups)
			var viewBytes, statusBytes int
			for b.Loop() {
				updates, err := NewSender(start).Next(start, at(1), view)
				if err != nil {
					b.Fatal(err)
				}
				viewBytes, statusBytes = len(updates[0].Body), len(updates[1].Body)
			}
			b.ReportMetric(float64(viewBytes), "view-bytes")
			b.ReportMetric(float64(statusBytes), "pulse-bytes")
		})
	}
}
