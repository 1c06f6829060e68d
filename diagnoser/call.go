package diagnoser

import (
	"time"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/emitter"
)

// ServiceLevel holds the limits that a route sets for its calls.
type ServiceLevel struct {
	// Objective is the time within which a response, or the first event of a stream, is on
	// time. MaxGap is the longest pause between two events of a stream; 0 for other responses.
	Objective, MaxGap time.Duration
	Timeout           time.Duration
	// Once says that a call must not be run twice.
	Once bool
}

// Attempt is one attempt of a call at a group or a backend server.
type Attempt struct {
	Group    garnetworks.GroupID
	Instance garnetworks.InstanceID
	Phase    garnetworks.CallPhase
	// PlacementTime is the time from the end of the attempt before to this one's start.
	PlacementTime time.Duration
	// FirstEvent is the time to the first event, 0 if none came; Duration is that to the end.
	FirstEvent, Duration time.Duration
	Events               int
	// MaxGap is the longest pause between two events. Silence is the time without an event
	// before a failed end.
	MaxGap, Silence time.Duration
	// CallsAhead and PrefillAhead are the group's load when the attempt began: its calls, and
	// the prompt tokens of calls of this node that it had not prefilled yet.
	CallsAhead, PrefillAhead int
	Cause                    string
}

// Call is one call of a client, as the log line of its node describes it.
type Call struct {
	ID        garnetworks.CallID
	Node      garnetworks.NodeID
	Route     string
	Workspace garnetworks.WorkspaceName
	Model     garnetworks.ModelName
	// PromptTokens and ExpectedTokens (of the response) are set for calls to models, BodyBytes
	// and Target (the path) for others.
	PromptTokens, ExpectedTokens, BodyBytes int
	Target                                  string
	Received                                time.Time
	// FirstEvent is the time from the receipt to the first event, 0 if none was logged.
	FirstEvent, Duration, QueueWait time.Duration
	// MaxGap is the longest pause between two events at the client, MaxWrite the longest time
	// to write one event, Stalled the time for which the process did not run.
	MaxGap, MaxWrite, Stalled time.Duration
	// TimeLeft is the time from the call's end to its deadline.
	TimeLeft time.Duration
	// RoutingAge is how long before the call the routing was last known to be the newest.
	RoutingAge time.Duration
	Status     int
	Outcome    garnetworks.Outcome
	Kind       garnetworks.Kind
	// Detailed says that the line has the service level and the full attempts.
	Detailed     bool
	ServiceLevel ServiceLevel
	Priority     int
	// Groups is the number of groups that could have taken a rejected call, SpareSlots that of
	// free slots that could have served it in time.
	Groups, SpareSlots int
	Attempts           []Attempt
	// Suppressed is the number of calls of the same cause whose lines were suppressed.
	Suppressed int
}

// Ended returns when the response was complete or the call was given up.
func (c *Call) Ended() time.Time { return c.Received.Add(c.Duration) }

// answered reports whether the client got the complete response of a backend server.
func (c *Call) answered() bool { return c.Outcome == garnetworks.OutcomeCompleted && c.Kind == "" }

// addCall stores the call that a line describes.
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

// intern returns the shared copy of a name, since the same few names occur on every line.
func intern[S ~string](names map[string]string, name S) S {
	if known, ok := names[string(name)]; ok {
		return S(known)
	}
	names[string(name)] = string(name)
	return name
}
