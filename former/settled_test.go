package former

import (
	"testing"
	"testing/synctest"
	"time"
)

// The engines of a site register over several seconds. Groups formed before the last of them
// use domains that are not complete, and the mixture of models stays wrong.
func TestGroupsWaitForTheLastRegistration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const engines, all = 162, 4100 * time.Millisecond
		f := &Former{options: Options{FirstStart: true}, started: time.Now()}
		for i := range engines {
			time.Sleep(all / engines)
			if f.settled(time.Now(), i+1) {
				t.Fatalf("groups are formed of %d of %d engines", i+1, engines)
			}
		}
		time.Sleep(settleTime)
		if !f.settled(time.Now(), engines) {
			t.Errorf("no groups are formed %s after the last registration", settleTime)
		}
	})
}

// Engines that crash and restart keep registering. Groups must still be formed before the
// first calls.
func TestGroupsWaitNoLongerThanTheBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &Former{options: Options{FirstStart: true}, started: time.Now()}
		for count := 1; !f.settled(time.Now(), count); count++ {
			time.Sleep(settleTime / 2)
		}
		if waited := time.Since(f.started); waited > maxSettleTime+settleTime {
			t.Errorf("groups are formed after %s", waited)
		}
	})
}
