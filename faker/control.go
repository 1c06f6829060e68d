package faker

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/garnetworks/garnetworks"
)

// FaultTarget is a fake whose faults can be set.
type FaultTarget interface {
	SetFaults(plan FaultPlan)
	CurrentFaults() FaultPlan
	SilenceOpen()
	DropConnections()
}

// FaultGroup is a set of fakes that fail together, such as those of a network domain or an
// availability zone.
type FaultGroup []FaultTarget

// SetFaults sets the plan of every member.
func (s FaultGroup) SetFaults(plan FaultPlan) {
	for _, f := range s {
		f.SetFaults(plan)
	}
}

// CurrentFaults returns the plan of the first member.
func (s FaultGroup) CurrentFaults() FaultPlan {
	if len(s) == 0 {
		return FaultPlan{}
	}
	return s[0].CurrentFaults()
}

// SilenceOpen makes the open connections of every member silent.
func (s FaultGroup) SilenceOpen() {
	for _, f := range s {
		f.SilenceOpen()
	}
}

// DropConnections breaks the open connections of every member.
func (s FaultGroup) DropConnections() {
	for _, f := range s {
		f.DropConnections()
	}
}

// Control is an HTTP API that lets another process inject faults. It is served on an
// address of its own, which no fault affects.
type Control struct {
	// Targets maps the names used in request paths to fakes.
	Targets map[string]FaultTarget
	// Fleet, Objects and Services may be nil.
	Fleet    *Fleet
	Objects  *Objects
	Services map[string]*Service
}

// PlanBody is the JSON form of a FaultPlan, with durations in milliseconds.
type PlanBody struct {
	DelayMillis     int64    `json:"delay-ms,omitempty"`
	Down            bool     `json:"down,omitempty"`
	Unavailable     bool     `json:"unavailable,omitempty"`
	Frozen          bool     `json:"frozen,omitempty"`
	LoseAnswers     int      `json:"lose-answers,omitempty"`
	LateAnswers     int      `json:"late-answers,omitempty"`
	LateByMillis    int64    `json:"late-by-ms,omitempty"`
	CrossAnswers    int      `json:"cross-answers,omitempty"`
	TruncateAnswers int      `json:"truncate-answers,omitempty"`
	BreakAfter      int      `json:"break-after,omitempty"`
	Methods         []string `json:"methods,omitempty"`
}

func (b PlanBody) plan() FaultPlan {
	return FaultPlan{
		Delay:           time.Duration(b.DelayMillis) * time.Millisecond,
		Down:            b.Down,
		Unavailable:     b.Unavailable,
		Frozen:          b.Frozen,
		LoseAnswers:     b.LoseAnswers,
		LateAnswers:     b.LateAnswers,
		LateBy:          time.Duration(b.LateByMillis) * time.Millisecond,
		CrossAnswers:    b.CrossAnswers,
		TruncateAnswers: b.TruncateAnswers,
		BreakAfter:      b.BreakAfter,
		Methods:         b.Methods,
	}
}

func planBody(p FaultPlan) PlanBody {
	return PlanBody{
		DelayMillis:     p.Delay.Milliseconds(),
		Down:            p.Down,
		Unavailable:     p.Unavailable,
		Frozen:          p.Frozen,
		LoseAnswers:     p.LoseAnswers,
		LateAnswers:     p.LateAnswers,
		LateByMillis:    p.LateBy.Milliseconds(),
		CrossAnswers:    p.CrossAnswers,
		TruncateAnswers: p.TruncateAnswers,
		BreakAfter:      p.BreakAfter,
		Methods:         p.Methods,
	}
}

// StateBody is the response to GET /state.
type StateBody struct {
	// ObjectCalls counts the object API's calls by method.
	ObjectCalls map[string]uint64 `json:"object-calls,omitempty"`
	Throttled   uint64            `json:"throttled"`
	// Draw is the total power of all instances that are not off.
	Draw    garnetworks.Watts          `json:"draw-watts"`
	Engines []garnetworks.EngineStatus `json:"engines,omitempty"`
	// Orders counts the orders that each engine executed, without repeated ones.
	Orders map[garnetworks.InstanceID]int `json:"orders,omitempty"`
	// Attempts counts the calls that reached engines, Refused those of them that were refused.
	Attempts int `json:"attempts"`
	Refused  int `json:"refused"`
	// Executions counts the plain services' executions.
	Executions map[string]int `json:"executions,omitempty"`
}

// ServeControl serves the control API on the loopback address.
func ServeControl(c *Control) (*Server, error) { return ServeControlAt(loopback, c) }

// ServeControlAt serves the control API on the given address.
func ServeControlAt(address string, c *Control) (*Server, error) {
	r := chi.NewRouter()
	r.Get("/faults", c.serveFaults)
	r.Get("/faults/{target}", c.serveTargetFaults)
	r.Put("/faults/{target}", c.serveSetFaults)
	r.Post("/faults/{target}/silence", c.actionHandler(FaultTarget.SilenceOpen))
	r.Post("/faults/{target}/drop", c.actionHandler(FaultTarget.DropConnections))
	r.Post("/engines/{engine}/{action}", c.serveEngine)
	r.Get("/state", c.serveState)
	r.Get("/groups", c.serveGroups)
	r.Get("/services/{service}/keys", c.serveKeys)
	return serve(address, r, &Faults{}, nil)
}

func (c *Control) serveFaults(w http.ResponseWriter, r *http.Request) {
	plans := make(map[string]PlanBody, len(c.Targets))
	for name, target := range c.Targets {
		plans[name] = planBody(target.CurrentFaults())
	}
	reply(w, r, plans, nil)
}

// target returns the fake named in the path. If there is none, it replies with an error.
func (c *Control) target(w http.ResponseWriter, r *http.Request) (FaultTarget, bool) {
	name := chi.URLParam(r, "target")
	target, ok := c.Targets[name]
	if !ok {
		names := slices.Sorted(maps.Keys(c.Targets))
		replyProblem(w, garnetworks.Errorf(garnetworks.KindNotFound, "no stand-in %q; there are %v", name, names))
	}
	return target, ok
}

func (c *Control) serveTargetFaults(w http.ResponseWriter, r *http.Request) {
	if target, ok := c.target(w, r); ok {
		reply(w, r, planBody(target.CurrentFaults()), nil)
	}
}

func (c *Control) serveSetFaults(w http.ResponseWriter, r *http.Request) {
	target, ok := c.target(w, r)
	if !ok {
		return
	}
	var body PlanBody
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&body); err != nil {
		replyProblem(w, garnetworks.Errorf(garnetworks.KindInvalidRequest, "the plan is not as expected: %v", err))
		return
	}
	target.SetFaults(body.plan())
	reply(w, r, planBody(target.CurrentFaults()), nil)
}

func (c *Control) actionHandler(action func(FaultTarget)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if target, ok := c.target(w, r); ok {
			action(target)
			reply(w, r, struct{}{}, nil)
		}
	}
}

// engineActions maps action names in request paths to actions on an engine.
var engineActions = map[string]func(*Engine){
	"restart":   (*Engine).Restart,
	"power-on":  (*Engine).PowerOn,
	"power-off": (*Engine).PowerOff,
	"leave":     (*Engine).SetLeaving,
}

// serveEngine runs an action on an engine; slow-down takes its factor from the query.
func (c *Control) serveEngine(w http.ResponseWriter, r *http.Request) {
	var e *Engine
	if c.Fleet != nil {
		e = c.Fleet.Engine(garnetworks.InstanceID(chi.URLParam(r, "engine")))
	}
	if e == nil {
		replyProblem(w, garnetworks.Errorf(garnetworks.KindNotFound, "no engine %q", chi.URLParam(r, "engine")))
		return
	}
	action := chi.URLParam(r, "action")
	if action == "slow-down" {
		serveSlowdown(w, r, e)
		return
	}
	act, ok := engineActions[action]
	if !ok {
		names := slices.Sorted(maps.Keys(engineActions))
		replyProblem(w, garnetworks.Errorf(garnetworks.KindNotFound, "no action %q; there are %v and slow-down", action, names))
		return
	}
	act(e)
	reply(w, r, struct{}{}, nil)
}

func serveSlowdown(w http.ResponseWriter, r *http.Request, e *Engine) {
	factor, err := strconv.ParseFloat(r.URL.Query().Get("factor"), 64)
	if err != nil || factor <= 0 {
		replyProblem(w, garnetworks.Errorf(garnetworks.KindInvalidRequest, "the factor is not a number above 0"))
		return
	}
	e.SetSlowdown(factor)
	reply(w, r, struct{}{}, nil)
}

func (c *Control) serveState(w http.ResponseWriter, r *http.Request) {
	reply(w, r, c.State(), nil)
}

// State returns the counters and states of the fakes.
func (c *Control) State() StateBody {
	var body StateBody
	if c.Objects != nil {
		body.ObjectCalls, body.Throttled = c.Objects.Counts(), c.Objects.Throttled()
	}
	if c.Fleet != nil {
		body.Draw = c.Fleet.Draw()
		body.Engines = c.Fleet.statuses()
		body.Attempts, body.Refused = c.Fleet.counts()
		body.Orders = make(map[garnetworks.InstanceID]int)
		for _, e := range c.Fleet.Engines() {
			body.Orders[e.spec.ID] = e.Orders()
		}
	}
	body.Executions = make(map[string]int, len(c.Services))
	for name, s := range c.Services {
		body.Executions[name] = s.Executions()
	}
	return body
}

// serveKeys replies with the number of executions per idempotency key, so that a load
// generator in another process can compare them with the calls it sent.
func (c *Control) serveKeys(w http.ResponseWriter, r *http.Request) {
	name := chi.URLParam(r, "service")
	service := c.Services[name]
	if service == nil {
		replyProblem(w, garnetworks.Errorf(garnetworks.KindNotFound, "there is no service %q", name))
		return
	}
	reply(w, r, service.ExecutionsPerKey(), nil)
}

// GroupBody describes a serving group, as its first member reports it.
type GroupBody struct {
	Group garnetworks.GroupID `json:"group"`
	// Token is encoded as a string, because some JSON readers lose precision above 2^53.
	Token   uint64                `json:"token,string"`
	Model   garnetworks.ModelName `json:"model"`
	Address string                `json:"address"`
}

func (c *Control) serveGroups(w http.ResponseWriter, r *http.Request) {
	groups := []GroupBody{}
	if c.Fleet != nil {
		groups = append(groups, c.Fleet.Groups()...)
	}
	reply(w, r, groups, nil)
}

// Groups returns the groups that are serving now.
func (f *Fleet) Groups() []GroupBody {
	var groups []GroupBody
	for _, e := range f.Engines() {
		f.mu.Lock()
		missing, _ := e.missingMember()
		if e.phase == garnetworks.EngineReady && e.members[0] == e.spec.ID && missing == "" {
			groups = append(groups, GroupBody{e.group, uint64(e.token), e.model, e.spec.Address})
		}
		f.mu.Unlock()
	}
	return groups
}

// statuses returns the actual status of every running engine, regardless of faults.
func (f *Fleet) statuses() []garnetworks.EngineStatus {
	var statuses []garnetworks.EngineStatus
	for _, e := range f.Engines() {
		f.mu.Lock()
		if e.power == garnetworks.PowerOn {
			statuses = append(statuses, e.status())
		}
		f.mu.Unlock()
	}
	return statuses
}

func (f *Fleet) counts() (attempts, refused int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, a := range f.attempts {
		if a.Refused != "" {
			refused++
		}
	}
	return len(f.attempts), refused
}
