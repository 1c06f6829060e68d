package launcher_test

import (
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/garnetworks/garnetworks/faker/impersonator"
)

const (
	// crashPart is the part of prompts on which each engine crashes.
	crashPart = "bad0"
	// countedCrashes is the number of crashes after which, learnTime later, at most
	// maxLateRuns calls with the part may reach engines.
	countedCrashes = 5
	learnTime      = 4 * time.Second
	maxLateRuns    = 3
	// minSound is the least number of sound calls that count.
	minSound = 20
)

// newPartSite starts a site whose engines crash on prompts with crashPart.
func newPartSite(t *testing.T) *site {
	t.Helper()
	const engines, groups = 60, 12
	s := newSite(t, engines)
	s.eventually("groups serve", func() bool {
		open := 0
		for _, e := range s.engines {
			if strings.Contains(strings.Join(e.Orders(), "\n"), "open ") {
				open++
			}
		}
		return open >= groups
	})
	s.awaitSuccess(streamURL)
	for _, e := range s.engines {
		e.UpdateFaults(func(f *impersonator.BackendFaults) { f.CrashPart = crashPart })
	}
	return s
}

// sendPrompt sends a call with a body of its own and a prompt of shared parts, to which a last
// part of its own is added.
func (s *site) sendPrompt(shared ...string) answer {
	s.t.Helper()
	own := newID()
	prompt := own + ":10"
	for i := len(shared) - 1; i >= 0; i-- {
		prompt = shared[i] + ":40," + prompt
	}
	return s.call(http.MethodPost, streamURL, func(r *http.Request) {
		r.Header.Set("Garnetworks-Prompt-Prefix", prompt)
		r.Body, r.ContentLength = io.NopCloser(strings.NewReader(own)), int64(len(own))
	})
}

// crashTimes returns when calls with crashPart reached engines, in order.
func (s *site) crashTimes() (times []time.Time) {
	for _, e := range s.engines {
		for _, run := range e.Runs() {
			if run.SharesPart(crashPart) {
				times = append(times, run.At)
			}
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	return times
}

// recovered reports whether the time is over in which sound calls may find the groups crashed: twice
// learnTime after the crashes that count.
func (s *site) recovered() bool {
	times := s.crashTimes()
	return len(times) >= countedCrashes && time.Since(times[countedCrashes-1]) > 2*learnTime
}

// checkLateRuns checks how many calls with crashPart reached engines later than learnTime after
// the crashes that count.
func (s *site) checkLateRuns() {
	s.t.Helper()
	times, late := s.crashTimes(), 0
	for _, at := range times {
		if len(times) > countedCrashes && at.Sub(times[countedCrashes-1]) > learnTime {
			late++
		}
	}
	if late > maxLateRuns {
		s.t.Errorf("%d calls with the part reached engines, %d of them later than %s after crash %d; want %d at most", len(times), late, learnTime, countedCrashes, maxLateRuns)
	}
}

// Guards against calls that share only a part of their prompts crashing one engine after the other.
func TestPromptPartThatCrashesEnginesIsKeptFromOthers(t *testing.T) {
	cases := map[string][]string{
		"first part":                {crashPart},
		"middle part":               {"aa", crashPart},
		"beside a part rarely used": {"aa", "cc", crashPart},
	}
	for name, shared := range cases {
		t.Run(name, func(t *testing.T) {
			s := newPartSite(t)
			second := s.join("n2")
			second.awaitSuccess(streamURL)
			const rounds, soundFrom, interval = 80, 20, 200 * time.Millisecond
			served, sent := 0, 0
			for round := range rounds {
				for _, node := range []*site{s, second} {
					node.sendPrompt(shared...)
					if round < soundFrom {
						continue
					}
					counts := s.recovered()
					a := node.sendPrompt("aa", "cc")
					if !counts {
						continue
					}
					sent++
					if a.status == http.StatusOK {
						served++
					}
				}
				time.Sleep(interval)
			}
			s.checkLateRuns()
			if sent < minSound || served < sent*9/10 {
				t.Errorf("%d of %d sound calls that share the other parts are served, %d count at least", served, sent, minSound)
			}
		})
	}
}
