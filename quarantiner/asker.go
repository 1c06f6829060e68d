package quarantiner

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/garnetworks/garnetworks"
)

const (
	// askEvery is how often lives that are in doubt are looked through.
	askEvery = 100 * time.Millisecond
	// askAgain is the time to the second question, and doubles with each. A host that does
	// not answer is dark or cut off.
	askAgain = 150 * time.Millisecond
	// longestAgain bounds that time.
	longestAgain = 2 * time.Second
	// mostAsked is the number of questions to a server whose entry is gone: nothing new is
	// to be learnt of it before its entry, or that of its next life, is back.
	mostAsked = 3
	// longestDoubt is how long after a call broke off the server's end is put down to it: a
	// partition lasts seconds, and so does a start. One that ends later may have any cause.
	longestDoubt = time.Minute
	// mostAtOnce bounds the questions in flight.
	mostAtOnce = 8
	// forgetEvery is how often old records are looked for.
	forgetEvery = 10 * time.Second
)

// ask finds out which of the lives have ended that matter (Z2).
func (q *Quarantiner) ask(ctx context.Context) {
	ticker, old := time.NewTicker(askEvery), time.NewTicker(forgetEvery)
	defer ticker.Stop()
	defer old.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-q.asking:
		case <-ticker.C:
		case <-old.C:
			q.forget()
		}
		var questions sync.WaitGroup
		for _, d := range q.doubts(time.Now()) {
			questions.Go(func() {
				began := time.Now()
				q.settle(began, d.life, q.options.Prove(ctx, d.life, d.ask))
			})
		}
		questions.Wait()
	}
}

// doubt is a life of which it shall be found out whether it has ended.
type doubt struct {
	life garnetworks.Incarnation
	// ask says that the server shall be asked also if its entry is gone.
	ask bool
}

// doubts returns the lives that matter and are due: those under which a content broke off
// that has others, of contents that this node saw. So a loss costs no question, since the
// calls that it breaks off have one life each.
//
// Failure: a zone is cut off in such a way that its nodes' connections are refused. The
// servers beyond the cut were taken for ended, and a sound call that had met three of them
// was held at all nodes. So a life that only refuses connections is asked again whenever
// its entry is there; its answer releases the call.
func (q *Quarantiner) doubts(now time.Time) []doubt {
	q.mu.Lock()
	defer q.mu.Unlock()
	due := make(map[garnetworks.Incarnation]bool)
	for _, r := range q.records {
		if !r.seen || !r.lasting() {
			continue
		}
		for _, life := range r.lives(garnetworks.CrashSuspected) {
			x := r.runs[life]
			settled := x.state > garnetworks.CrashConnectionRefused || x.state == garnetworks.CrashSuspected && now.Sub(x.at) > longestDoubt
			if settled || now.Sub(x.askedAt) < againAfter(x.asked) || len(due) == mostAtOnce {
				continue
			}
			due[life] = due[life] || x.asked < mostAsked
			x.asked++
			x.askedAt = now
			r.runs[life] = x
		}
	}
	var list []doubt
	for life, ask := range due {
		list = append(list, doubt{life, ask})
	}
	return list
}

// againAfter is the time from a question to the next one.
func againAfter(asked int) time.Duration {
	const doublings = 5
	return min(longestAgain, askAgain<<min(asked, doublings))
}

// settle takes what was found out of a life; an answer refutes what broke off before it
// was asked for.
func (q *Quarantiner) settle(began time.Time, life garnetworks.Incarnation, state garnetworks.CrashState) {
	if state == garnetworks.CrashSuspected {
		return
	}
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	news := false
	for content, r := range q.records {
		x, ok := r.runs[life]
		if !ok || state == garnetworks.CrashRefuted && x.at.After(began) {
			continue
		}
		if r.join(life, x.at, state) {
			q.learnt(now, content, r)
			news = true
		}
	}
	if news {
		q.judge(now)
	}
}

// mostReached is the number of others that are asked whether a zone is reached; one or two
// of them may have ended as well.
const mostReached = 3

// AnyAnswers reports whether any of a few of the others beside a server answers.
//
// Failure: a node is cut off from a zone in such a way that its connections there are
// refused. It shows at all servers of the zone alike, and says nothing of any of them.
func AnyAnswers[T any](others []T, answers func(T) bool) bool {
	return slices.ContainsFunc(others[:min(len(others), mostReached)], answers)
}
