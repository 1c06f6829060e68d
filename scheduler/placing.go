package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/garnetworks/garnetworks"
)

// firstWindow is the window of a group that is new to the node.
func (s *Scheduler) firstWindow(slots int) float64 {
	if s.known {
		return mostWindow(slots)
	}
	return max(1, float64(slots)*aloneWindowPart)
}

func mostWindow(slots int) float64 { return float64(slots) * (1 + queuedPart) }

// put counts a call at a place.
func (s *Scheduler) put(now time.Time, p *pool, l *place, w *Work) {
	s.tries(now, l.Zone)
	l.inflight++
	l.unread += w.Prompt
	l.placed++
	l.reading++
	p.allowance--
}

// expected is the number of calls that the group has now, if the other nodes have
// placed theirs since they were heard of as this node has placed its own (Q6).
func (p *pool) expected(l *place) float64 {
	n := float64(l.inflight + l.others)
	if p.share > 0 {
		n += float64(l.placed) * (1/p.share - 1) * mirrored
	}
	return n
}

// best returns the place that a call shall go to, or nil if none is free.
func (s *Scheduler) best(now time.Time, p *pool, w *Work) *place {
	if s.known && p.allowance < 1 && !w.Resumed { // Q6
		return nil
	}
	var free []*place
	elsewhere := s.reachedElsewhere(now, p)
	for _, l := range p.places {
		if elsewhere && s.cutOff(now, l.Zone) { // Q10
			continue
		}
		if l.gone || now.Before(l.restUntil) || l.isLost(now) || slices.Contains(w.Tried, l.ID) {
			continue
		}
		room := l.window
		if w.Resumed {
			room = mostWindow(l.Slots)
		}
		if p.expected(l)+1 > room || l.probing && l.inflight > 0 { // Q3
			continue
		}
		if l.failing > failingPart && l.inflight >= failingCalls { // Q8
			continue
		}
		if !p.reads(l, w) { // Q9
			continue
		}
		free = append(free, l)
	}
	return s.choose(p, free)
}

// choose returns the better one of a few groups drawn at random (Q7), or nil if
// there is none.
func (s *Scheduler) choose(p *pool, free []*place) *place {
	slices.SortFunc(free, func(a, b *place) int { return cmp.Compare(a.ID, b.ID) })
	var best *place
	bestUse := 0.0
	for range drawn {
		if len(free) == 0 {
			break
		}
		at := int(s.random() * float64(len(free)))
		l := free[at]
		free = slices.Delete(free, at, at+1)
		use := (p.expected(l) + readingWeight*float64(l.reading)) / l.window
		if l.Zone != s.zone {
			use += foreignZonePart
		}
		if best == nil || use < bestUse {
			best, bestUse = l, use
		}
	}
	return best
}

// reads reports whether the group can read the call's prompt beside those that it reads
// for this node, within the node's part of what keeps its other calls in time (Q9). A
// single prompt is always read, however long it is, and one that is longer than half of
// that part counts as half of it: else short ones would always find a place before it. The
// largest tenths of three kinds earn 0.66 of their worth under overload with it and 0.64
// without, mean over four seeds of the lab.
func (p *pool) reads(l *place, w *Work) bool {
	if l.unread == 0 || l.ReadRate <= 0 || w.MaxPause <= 0 {
		return true
	}
	most := l.ReadRate * readPart * w.MaxPause.Seconds()
	if p.share > 0 {
		most *= p.share
	}
	return float64(l.unread)+min(float64(w.Prompt), most/2) <= most
}

// Unread returns the prompt tokens of this node's calls that a group has not read.
func (s *Scheduler) Unread(model garnetworks.ModelName, group garnetworks.GroupID) int {
	if l := s.pool(model).places[group]; l != nil {
		return l.unread
	}
	return 0
}

// Read takes that a group has read a prompt, or that its call ended before. It is called
// once for each call that was placed.
func (s *Scheduler) Read(model garnetworks.ModelName, group garnetworks.GroupID, tokens int) {
	if l := s.pool(model).places[group]; l != nil {
		l.unread = max(0, l.unread-tokens)
	}
}

// Elsewhere takes a place at another group for a call whose group stands still, if
// one is free now (Q5). It does not wait: until there is a place, the call is better
// off where it is, since a group that stands still may go on.
func (s *Scheduler) Elsewhere(now time.Time, w Work) (garnetworks.GroupID, bool) {
	p := s.pool(w.Model)
	l := s.best(now, p, &w)
	if l == nil {
		return "", false
	}
	s.put(now, p, l, &w)
	return l.ID, true
}

// isLost reports whether nothing shall be sent to the group for what others know of it
// (Q11).
func (l *place) isLost(now time.Time) bool { return l.lost && now.Sub(l.heard) > heardTime }

// Lost reports whether the group is known to be lost, and gave this node no event since.
func (s *Scheduler) Lost(now time.Time, model garnetworks.ModelName, group garnetworks.GroupID) bool {
	l := s.pool(model).places[group]
	return l != nil && l.isLost(now)
}

// FirstEvent takes the time from a call's sending to its first event (Q2).
func (s *Scheduler) FirstEvent(now time.Time, model garnetworks.ModelName, group garnetworks.GroupID, took, objective time.Duration) {
	p := s.pool(model)
	p.firstTime += time.Duration(firstTimeWeight * float64(took-p.firstTime))
	l := p.places[group]
	if l == nil {
		return
	}
	l.probing = false
	l.reading--
	l.failing -= failureWeight * l.failing
	if float64(took) > float64(objective)*TargetPart {
		l.shrink(now, s.least(l))
		return
	}
	if float64(l.inflight+l.others) >= l.window-1 {
		l.window = min(mostWindow(l.Slots), l.window+1/l.window)
	}
}

// least is the window under which a group's does not shrink.
func (s *Scheduler) least(l *place) float64 {
	if s.known {
		return max(1, float64(l.Slots)*minWindowPart)
	}
	return 1
}

func (l *place) shrink(now time.Time, least float64) {
	if now.Sub(l.shrunk) < shrinkEvery {
		return
	}
	l.shrunk = now
	l.window = max(least, l.window*shrink)
}

// Full takes a group's refusal of a call because it is full.
func (s *Scheduler) Full(now time.Time, model garnetworks.ModelName, group garnetworks.GroupID) {
	if l := s.pool(model).places[group]; l != nil {
		l.shrink(now, s.least(l))
	}
}

// Failed takes a call that the group failed, or did not begin within BeginTime, though
// it may answer others (Q8).
func (s *Scheduler) Failed(model garnetworks.ModelName, group garnetworks.GroupID) {
	if l := s.pool(model).places[group]; l != nil {
		l.failing += failureWeight * (1 - l.failing)
	}
}

// BeginTime returns how long a call may have no event before it counts as failed.
func (s *Scheduler) BeginTime(model garnetworks.ModelName) time.Duration {
	return max(beginLeast, beginFactor*s.pool(model).firstTime)
}

// Still takes a sign that a group stands still, refuses or can't be reached (Q3).
func (s *Scheduler) Still(now time.Time, model garnetworks.ModelName, group garnetworks.GroupID) {
	if l := s.pool(model).places[group]; l != nil {
		l.restUntil = now.Add(restTime)
		l.probing = true
	}
}
