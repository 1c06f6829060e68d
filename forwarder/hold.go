package forwarder

import (
	"context"
	"time"

	"github.com/garnetworks/garnetworks"
)

// checkQuarantine returns an error of kind KindCallQuarantined if calls like this one are
// quarantined (rule F9).
func (f *Forwarder) checkQuarantine(ctx context.Context, call garnetworks.CallIdentity) error {
	if f.options.Quarantine == nil {
		return nil
	}
	left, quarantined := f.options.Quarantine.Quarantined(ctx, call)
	if !quarantined {
		return nil
	}
	return garnetworks.QuarantinedError(left)
}

// reportToQuarantine reports the end of an attempt to the quarantine. An interruption is not
// reported if ctx ended.
func (f *Forwarder) reportToQuarantine(ctx context.Context, call garnetworks.CallIdentity, incarnation garnetworks.Incarnation, failed *failure) {
	switch {
	case f.options.Quarantine == nil:
	case failed == nil:
		f.options.Quarantine.ReportCompleted(call)
	case ctx.Err() == nil && failed.phase.Interrupted():
		f.options.Quarantine.ReportInterrupted(call, incarnation)
	}
}

// reportSurvival reports once in an attempt, of which the first token took some time, that the engine
// survived the beginning of the answer.
func (m *modelCall) reportSurvival(started time.Time, firstToken time.Duration) {
	if m.options.Quarantine == nil || m.survived || time.Since(started) < firstToken+garnetworks.SurvivalTime {
		return
	}
	m.survived = true
	m.options.Quarantine.ReportSurvival(m.identity)
}

// interruptedIdentity returns the identity to report if the current attempt was interrupted. An engine
// that survived the beginning of the answer was not crashed by a part of the prompt.
func (m *modelCall) interruptedIdentity() garnetworks.CallIdentity {
	identity := m.identity
	if m.survived && m.lastFailure != nil {
		identity.Parts = nil
	}
	return identity
}

// headIncarnation returns the incarnation of a group's head, identified by the group's token:
// after a restart or in another group the head has another token.
func headIncarnation(group *garnetworks.GroupView) garnetworks.Incarnation {
	incarnation := garnetworks.Incarnation{StartMS: int64(group.Token)}
	if len(group.Members) > 0 {
		incarnation.Instance = group.Members[0]
	}
	return incarnation
}
