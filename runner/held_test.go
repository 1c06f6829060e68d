package runner

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/quarantiner"
)

// Guards against a call that crashes every engine it runs on while its caller keeps retrying:
// at most CrashThreshold engines crash, and all nodes reject it, also after a restart.
func TestCallThatCrashesEnginesIsRejectedAtAllNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const prompt, copies = "ends its engine", 10
		body := strings.Replace(virtualBody, "the pump at well 9 has failed", prompt, 1)
		s := newVirtualSite(t, smallShape)
		defer s.close()
		s.begin()
		for _, e := range s.fleet.Engines() {
			e.SetCrashPrompt(prompt)
		}
		crashes := func() (sum int) {
			for _, e := range s.fleet.Engines() {
				sum += e.Crashes()
			}
			return sum
		}
		nodes := s.names()
		for range copies {
			s.node(nodes[0]).answerOf(t.Context(), s.key, "POST", "/v1/completions", "", body)
			time.Sleep(time.Second)
		}
		checkQuarantined := func(id garnetworks.NodeID) {
			a := s.node(id).answerOf(t.Context(), s.key, "POST", "/v1/completions", "", body)
			if a.kind != string(garnetworks.KindCallQuarantined) || a.outcome != string(garnetworks.OutcomeNotRun) {
				t.Errorf("node %s answered %+v", id, a)
			}
		}
		for _, id := range nodes {
			checkQuarantined(id)
		}
		for _, id := range nodes {
			s.replace(id)
		}
		time.Sleep(time.Minute)
		for _, id := range nodes {
			checkQuarantined(id)
			if a := s.node(id).answerOf(t.Context(), s.key, "POST", "/v1/completions", "", virtualBody); a.outcome != string(garnetworks.OutcomeCompleted) {
				t.Errorf("a call without a crash at node %s got %+v", id, a)
			}
		}
		if n := crashes(); n > quarantiner.CrashThreshold {
			t.Errorf("%d engines crashed, want at most %d", n, quarantiner.CrashThreshold)
		}
	})
}
