package experimenter

import (
	"slices"
	"time"

	"github.com/garnetworks/garnetworks"
)

// task is a call that was sent to a group.
type task struct {
	*call
	sentAt    time.Duration
	remaining int
	begun     bool
	// firstEventAt and lastEventAt are the times of its first and latest event.
	firstEventAt, lastEventAt time.Duration
	maxGap                    time.Duration
	group                     garnetworks.GroupID
}

// group is a simulated group, which processes calls in passes (rule E3).
type group struct {
	id      garnetworks.GroupID
	model   *garnetworks.ModelProfile
	profile *garnetworks.EngineProfile
	running []*task
	waiting []*task
	// busy says that a pass is running, down that the group is lost.
	busy, down bool
}

// beginPass admits waiting calls and returns the duration of the next pass; 0 if there
// are no calls.
func (g *group) beginPass() time.Duration {
	prefillSeconds := 0.0
	for len(g.waiting) > 0 && len(g.running) < g.profile.Slots {
		t := g.waiting[0]
		g.waiting = g.waiting[1:]
		prefillSeconds += float64(t.prompt) / g.profile.PrefillRate
		g.running = append(g.running, t)
	}
	if len(g.running) == 0 {
		return 0
	}
	step := g.profile.StepTime + time.Duration(len(g.running))*g.profile.StepTimePerCall
	took := time.Duration(prefillSeconds*float64(time.Second)) + time.Duration(g.profile.StepsPerPass)*step
	return time.Duration(float64(took) * g.model.TimeFactor)
}

// finishPass ends a pass and returns the calls that had their first event and those that
// are complete.
func (g *group) finishPass(now time.Duration) (first, done []*task) {
	for _, t := range g.running {
		if !t.begun {
			t.begun, t.firstEventAt = true, now
			first = append(first, t)
		} else {
			t.maxGap = max(t.maxGap, now-t.lastEventAt)
		}
		t.lastEventAt = now
		if t.remaining -= g.profile.StepsPerPass; t.remaining <= 0 {
			done = append(done, t)
		}
	}
	g.running = slices.DeleteFunc(g.running, func(t *task) bool { return t.remaining <= 0 })
	return first, done
}
