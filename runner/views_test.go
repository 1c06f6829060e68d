package runner

import (
	"testing"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/controller"
	"github.com/garnetworks/garnetworks/pulser"
)

// Pulses come when the controller's tick after their interval lets them. A node
// that fears silence sooner takes each late tick for a lost controller: in a
// calm site its log says so every few seconds, and it probes all of its zone's
// engines alone each time.
func TestSilenceOutlastsAPulse(t *testing.T) {
	longest := pulser.Interval + controller.DefaultTimes().Tick
	if PulseSilence <= longest {
		t.Errorf("silence is feared after %v, and a pulse can take %v", PulseSilence, longest)
	}
	if PulseSilence+garnetworks.ProbeInterval >= garnetworks.ConfirmationBound {
		t.Errorf("silence of %v and one round of probes outlast the bound %v", PulseSilence, garnetworks.ConfirmationBound)
	}
}
