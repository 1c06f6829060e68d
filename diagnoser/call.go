package diagnoser

import (
	"time"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/emitter"
)

// ServiceLevel are what a route promises.
type ServiceLevel struct {
	// Objective is the time by which an answer, or the first event, is on time;
	// MaxGap the longest pause between two events, 0 where the answer comes whole.
	Objective, MaxGap time.Duration
	Timeout           time.Duration
	// Once says that a call must not run twice.
	Once bool
}

// Attempt is one attempt of a call at one group or server.
type Attempt struct {
	Group    garnetworks.GroupID
	Instance garnetworks.InstanceID
	Phase    garnetworks.CallPhase
	// PlacementTime is the time that its place took to be found.
	PlacementTime time.Duration
	// FirstEvent is the time to its first event, 0 if none came, Duration that to its end.
	FirstEvent, Duration time.Duration
	Events               int
	// MaxGap is the longest between two events, Silence the time without one before a
	// failed end.
	MaxGap, Silence time.Duration
	// CallsAhead and PrefillAhead are what the group had before: calls, and prompt tokens that
	// it had not read.
	CallsAhead, PrefillAhead int
	Cause                    string
}

// Call is one call of a client, as its node told of it.
type Call struct {
	ID        garnetworks.CallID
	Node      garnetworks.NodeID
	Route     string
	Workspace garnetworks.WorkspaceName
	Model     garnetworks.ModelName
	// PromptTokens and ExpectedTokens are tokens, ExpectedTokens as expected; BodyBytes is bytes and Target the
	// path, of calls without a model.
	PromptTokens, ExpectedTokens, BodyBytes int
	Target                                  string
	Received                                time.Time
	// FirstEvent is the time from the receipt to the first event, 0 if none was told.
	FirstEvent, Duration, QueueWait time.Duration
	// MaxGap is the longest between two events at the client, MaxWrite the longest time
	// that one took to be written, Stalled how long the process did not run.
	MaxGap, MaxWrite, Stalled time.Duration
	// TimeLeft is the time that was left at the end.
	TimeLeft time.Duration
	// RoutingAge is how long before the call the routing was known to be the newest.
	RoutingAge time.Duration
	Status     int
	Outcome    garnetworks.Outcome
	Kind       garnetworks.Kind
	// Detailed says that the line told the terms and the attempts in full.
	Detailed     bool
	ServiceLevel ServiceLevel
	Priority     int
	// Groups might have taken a call that was turned away, and SpareSlots places were free
	// at groups of other models.
	Groups, SpareSlots int
	Attempts           []Attempt
	// Suppressed is the number of calls of the same cause whose lines were held back.
	Suppressed int
}

// Ended is when the call's answer was whole, or given up.
func (c *Call) Ended() time.Time { return c.Received.Add(c.Duration) }

// answered reports whether the client got a server's whole answer.
func (c *Call) answered() bool { return c.Outcome == garnetworks.OutcomeCompleted && c.Kind == "" }

// addCall keeps the call that a line tells of.
func (d *Diagnoser) addCall(l *line) {
	took := duration(l.TookMS)
	c := &Call{
		ID: l.Call, Node: intern(d.names, l.Node), Route: intern(d.names, l.Route),
		Workspace: intern(d.names, l.Workspace), Model: intern(d.names, l.Model),
		PromptTokens: l.Prompt, ExpectedTokens: l.Answer, BodyBytes: l.Body, Target: l.Target, TimeLeft: duration(l.LeftMS),
		Received: l.At.Add(-took), Duration: took, FirstEvent: duration(l.FirstMS), QueueWait: duration(l.WaitedMS),
		MaxGap: duration(l.PauseMS), MaxWrite: duration(l.WriteMS), Stalled: duration(l.StalledMS), RoutingAge: duration(l.AgeMS),
		Status: l.Status, Outcome: intern(d.names, l.Outcome), Kind: intern(d.names, l.Kind),
		Detailed: l.Objective != nil, Priority: l.Priority, Groups: l.Groups, SpareSlots: l.Spare, Suppressed: l.Folded,
	}
	if c.Detailed {
		c.ServiceLevel = ServiceLevel{Objective: duration(*l.Objective), MaxGap: duration(l.MaxPause), Timeout: duration(l.TimeoutMS), Once: l.Once}
		d.serviceLevels[c.Route] = c.ServiceLevel
	}
	for i := range l.Attempts {
		c.Attempts = append(c.Attempts, d.newAttempt(&l.Attempts[i]))
	}
	d.lines.Calls++
	d.lines.Suppressed += c.Suppressed
	d.calls = append(d.calls, c)
}

func (d *Diagnoser) newAttempt(a *emitter.Attempt) Attempt {
	return Attempt{
		Group: intern(d.names, a.Group), Instance: intern(d.names, a.Instance), Phase: intern(d.names, a.Phase),
		PlacementTime: duration(a.PlacedMS), FirstEvent: duration(a.FirstMS), Duration: duration(a.TookMS), Events: a.Events,
		MaxGap: duration(a.PauseMS), Silence: duration(a.SilentMS), CallsAhead: a.Calls, PrefillAhead: a.Reading, Cause: a.Cause,
	}
}

// intern returns the one copy of a name: the same few names stand on each line.
func intern[S ~string](names map[string]string, name S) S {
	if known, ok := names[string(name)]; ok {
		return S(known)
	}
	names[string(name)] = string(name)
	return name
}
