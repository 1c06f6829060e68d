package forwarder

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/quarantiner"
)

// crashTime is the time from the start of a call to the crash of its engine.
const crashTime = 100 * time.Millisecond

// crashingEngines are engines that crash on each call with the prompt "crash" and return at
// once under another token.
type crashingEngines struct {
	fastEngine
	crashes int
}

func (c *crashingEngines) Choose(_ time.Time, _ *garnetworks.CallRequest, tried []garnetworks.GroupID) (garnetworks.GroupView, error) {
	for n := range 8 {
		if id := garnetworks.GroupID(fmt.Sprint("g", n)); !slices.Contains(tried, id) {
			return garnetworks.GroupView{ID: id, Token: garnetworks.FencingToken(1 + c.crashes), Members: []garnetworks.InstanceID{"i"}}, nil
		}
	}
	return garnetworks.GroupView{}, garnetworks.Errorf(garnetworks.KindNoGroup, "none is left")
}

func (c *crashingEngines) Generate(ctx context.Context, address string, call *garnetworks.EngineCall) (garnetworks.EngineStream, error) {
	if strings.HasPrefix(call.Prompt, "crash") {
		c.crashes++
		time.Sleep(crashTime)
		return nil, &garnetworks.AttemptError{Phase: garnetworks.PhaseWait}
	}
	c.sent = 0
	return c.fastEngine.Generate(ctx, address, call)
}

// newCrashSite returns a forwarder to the engines that has earned its first retries.
func newCrashSite(t *testing.T, c *crashingEngines) (*Forwarder, context.CancelFunc) {
	quarantine := quarantiner.New(quarantiner.Options{
		Probe: func(context.Context, garnetworks.Incarnation, bool) garnetworks.CrashState {
			return garnetworks.CrashProven
		},
		Objects: unavailableObjects{}, IsReader: func() bool { return false },
	})
	ctx, stop := context.WithCancel(t.Context())
	go func() { _ = quarantine.Run(ctx) }()
	f := New(Options{Engines: c, Groups: c, Quarantine: quarantine})
	time.Sleep(2 * time.Second) // earns the retries of the first call
	return f, stop
}

// Guards against calls that share only a part of their prompts crashing one engine after the other.
func TestCrashingPartReachesFewEngines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &crashingEngines{}
		f, stop := newCrashSite(t, c)
		generate := func(prompt string, parts ...garnetworks.PromptPart) error {
			call := callFor(time.Minute)
			call.Prompt, call.SharedParts, call.MaxTokens = prompt, parts, fastTokens
			_, err := f.Generate(t.Context(), call, &stallingSink{})
			time.Sleep(time.Second)
			return err
		}
		const most = 5
		for n := range 10 {
			_ = generate(fmt.Sprint("crash", n), "common", "bad")
			if err := generate(fmt.Sprint("sound", n), "common"); garnetworks.IsKind(err, garnetworks.KindCallQuarantined) {
				t.Errorf("a sound call ended with %v", err)
			}
		}
		if c.crashes > most {
			t.Errorf("%d engines crashed, want %d at most", c.crashes, most)
		}
		stop()
		synctest.Wait()
	})
}

// Guards against a call that crashes each engine it reaches, when each copy of the call is
// retried on further engines.
func TestCrashingCallReachesThreeEngines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &crashingEngines{}
		f, stop := newCrashSite(t, c)
		generate := func(prompt string) error {
			call := callFor(time.Minute)
			call.Prompt, call.MaxTokens = prompt, fastTokens
			_, err := f.Generate(t.Context(), call, &stallingSink{})
			time.Sleep(time.Second)
			return err
		}
		for n := range 10 {
			err := generate("crash")
			if ran := n == 0; ran != garnetworks.IsKind(err, garnetworks.KindBackendLost) || !ran && !garnetworks.IsKind(err, garnetworks.KindCallQuarantined) {
				t.Errorf("copy %d ended with %v", n, err)
			}
		}
		if c.crashes != quarantiner.CrashThreshold {
			t.Errorf("%d engines ended, want %d", c.crashes, quarantiner.CrashThreshold)
		}
		if err := generate("sound"); garnetworks.IsKind(err, garnetworks.KindCallQuarantined) {
			t.Errorf("a sound call ended with %v", err)
		}
		stop()
		synctest.Wait()
	})
}

// unavailableObjects is an object API that is unavailable.
type unavailableObjects struct{ garnetworks.ObjectAPI }

func (unavailableObjects) Get(context.Context, string) (garnetworks.Object, error) {
	return garnetworks.Object{}, garnetworks.Errorf(garnetworks.KindObjectAPIDown, "nowhere")
}
