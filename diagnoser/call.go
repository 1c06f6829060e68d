package diagnoser

import (
	"time"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/emitter"
)

// Terms are what a route promises.
type Terms struct {
	// Objective is the time by which an answer, or the first event, is on time;
	// MaxPause the longest pause between two events, 0 where the answer comes whole.
	Objective, MaxPause time.Duration
	Timeout             time.Duration
	// Once says that a call must not run twice.
	Once bool
}

// Attempt is one attempt of a call at one group or server.
type Attempt struct {
	Group    garnetworks.GroupID
	Instance garnetworks.InstanceID
	Phase    garnetworks.CallPhase
	// Placed is the time that its place took to be found.
	Placed time.Duration
	// First is the time to its first event, 0 if none came, Took that to its end.
	First, Took time.Duration
	Events      int
	// Pause is the longest between two events, Silent the time without one before a
	// failed end.
	Pause, Silent time.Duration
	// Calls and Reading are what the group had before: calls, and prompt tokens that
	// it had not read.
	Calls, Reading int
	Cause          string
}

// Call is one call of a client, as its node told of it.
type Call struct {
	ID        garnetworks.CallID
	Node      garnetworks.NodeID
	Route     string
	Workspace garnetworks.WorkspaceName
	Model     garnetworks.ModelName
	// Prompt and Answer are tokens, Answer as expected; Body is bytes and Target the
	// path, of calls without a model.
	Prompt, Answer, Body int
	Target               string
	Received             time.Time
	// First is the time from the receipt to the first event, 0 if none was told.
	First, Took, Waited time.Duration
	// Pause is the longest between two events at the client, Write the longest time
	// that one took to be written, Stalled how long the process did not run.
	Pause, Write, Stalled time.Duration
	// Left is the time that was left at the end.
	Left time.Duration
	// RoutingAge is how long before the call the routing was known to be the newest.
	RoutingAge time.Duration
	Status     int
	Outcome    garnetworks.Outcome
	Kind       garnetworks.Kind
	// Detailed says that the line told the terms and the attempts in full.
	Detailed bool
	Terms    Terms
	Priority int
	// Groups might have taken a call that was turned away, and Spare places were free
	// at groups of other models.
	Groups, Spare int
	Attempts      []Attempt
	// Folded is the number of calls of the same cause whose lines were held back.
	Folded int
}

// Ended is when the call's answer was whole, or given up.
func (c *Call) Ended() time.Time { return c.Received.Add(c.Took) }

// answered reports whether the client got a server's whole answer.
func (c *Call) answered() bool { return c.Outcome == garnetworks.OutcomeCompleted && c.Kind == "" }

// takeCall keeps the call that a line tells of.
func (d *Diagnoser) takeCall(l *line) {
	took := duration(l.TookMS)
	c := &Call{
		ID: l.Call, Node: intern(d.names, l.Node), Route: intern(d.names, l.Route),
		Workspace: intern(d.names, l.Space), Model: intern(d.names, l.Model),
		Prompt: l.Prompt, Answer: l.Answer, Body: l.Body, Target: l.Target, Left: duration(l.LeftMS),
		Received: l.At.Add(-took), Took: took, First: duration(l.FirstMS), Waited: duration(l.WaitedMS),
		Pause: duration(l.PauseMS), Write: duration(l.WriteMS), Stalled: duration(l.StalledMS), RoutingAge: duration(l.AgeMS),
		Status: l.Status, Outcome: intern(d.names, l.Outcome), Kind: intern(d.names, l.Kind),
		Detailed: l.Objective != nil, Priority: l.Priority, Groups: l.Groups, Spare: l.Spare, Folded: l.Folded,
	}
	if c.Detailed {
		c.Terms = Terms{Objective: duration(*l.Objective), MaxPause: duration(l.MaxPause), Timeout: duration(l.TimeoutMS), Once: l.Once}
		d.terms[c.Route] = c.Terms
	}
	for i := range l.Attempts {
		c.Attempts = append(c.Attempts, d.newAttempt(&l.Attempts[i]))
	}
	d.lines.Calls++
	d.lines.Folded += c.Folded
	d.calls = append(d.calls, c)
}

func (d *Diagnoser) newAttempt(a *emitter.Attempt) Attempt {
	return Attempt{
		Group: intern(d.names, a.Group), Instance: intern(d.names, a.Instance), Phase: intern(d.names, a.Phase),
		Placed: duration(a.PlacedMS), First: duration(a.FirstMS), Took: duration(a.TookMS), Events: a.Events,
		Pause: duration(a.PauseMS), Silent: duration(a.SilentMS), Calls: a.Calls, Reading: a.Reading, Cause: a.Cause,
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
