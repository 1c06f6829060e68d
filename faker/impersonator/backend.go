package impersonator

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// BackendFaults are what may be wrong with a Backend.
type BackendFaults struct {
	// Full refuses calls as not run.
	Full bool
	// Stalled gives no events and no answers; Unreachable does not even answer orders.
	Stalled, Unreachable bool
	// BreakAfter ends a stream without an end after so many events and the
	// beginning of the next one; 0 never does.
	BreakAfter int
	// PreemptAfter stops a stream for Preempted after so many events, as an engine
	// does that needs the memory for another call; 0 never does.
	PreemptAfter int
	PreemptTime  time.Duration
	// ExecutionTime is how long a run of a plain service takes.
	ExecutionTime time.Duration
	// OmitStamp leaves out the mark of a backend server.
	OmitStamp bool
	// LoseResponses is the number of next calls that run and are not answered.
	LoseResponses int
	// Fail answers calls with status 500 after running them.
	Fail bool
	// ExtraResponses is the number of next answers that are followed by a second
	// one on the same connection.
	ExtraResponses int
	// LoseOrders is the number of next orders that are taken and not answered.
	LoseOrders int
	// CrashBody is the body of calls under which the backend crashes; empty is none.
	CrashBody string
}

// Run is a call that a backend ran.
type Run struct {
	ID, Method, Target, Body, Workspace, Key, ResumeAfter string
	At                                                    time.Time
}

// Member is a backend's state in a group, as it goes over the wire.
type Member struct {
	Name  string `json:"name"`
	Epoch uint64 `json:"epoch"`
	Rank  int    `json:"rank"`
	State string `json:"state"`
}

// Backend stands in for a model engine or for a server of a plain service.
type Backend struct {
	*httptest.Server
	ID, Service, Zone, Domain string
	// Events is the number of events of a stream, EventTime the time between two.
	Events    int
	EventTime time.Duration
	// JoinTime is the time that a join takes.
	JoinTime time.Duration

	store   *Store
	blocker *callBlocker

	registering sync.Mutex

	mu     sync.Mutex
	faults BackendFaults
	// running counts the calls that are being answered.
	running int
	runs    []Run
	orders  []string
	member  Member
	model   string
	staged  []string
	state   string
	epoch   uint64
	// token is the highest fencing token seen; orders with a lower one are refused.
	token uint64
	// born is the start that it tells, in Unix milliseconds; 0 tells none.
	startedAt int64
	stopped   bool
}

// NewBackend starts a backend and registers it in the store, if there is one.
func NewBackend(store *Store, id, service, zone, domain string) *Backend {
	b := &Backend{ID: id, Service: service, Zone: zone, Domain: domain, Events: 5, EventTime: 5 * time.Millisecond, store: store, blocker: newCallBlocker(), state: "ready"}
	b.Server = httptest.NewServer(http.HandlerFunc(b.serve))
	b.register()
	return b
}

// Address returns the backend's IP number and port.
func (b *Backend) Address() string { return strings.TrimPrefix(b.URL, "http://") }

// UpdateFaults changes the faults.
func (b *Backend) UpdateFaults(change func(*BackendFaults)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	change(&b.faults)
}

// Runs returns the calls that ran.
func (b *Backend) Runs() []Run {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.runs)
}

// Running returns the number of calls that are being answered.
func (b *Backend) Running() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.running
}

// BlockedCalls returns the number of calls that hang.
func (b *Backend) BlockedCalls() int { return int(b.blocker.blocked.Load()) }

// Orders returns the orders that were taken, such as "join m.1".
func (b *Backend) Orders() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.orders)
}

// Drain announces that the backend will stop.
func (b *Backend) Drain() {
	b.mu.Lock()
	b.state = "draining"
	b.mu.Unlock()
	b.register()
}

// Kill ends the backend as a crash does, and its entry as the platform does later.
func (b *Backend) Kill() {
	b.mu.Lock()
	b.stopped = true
	b.mu.Unlock()
	b.CloseClientConnections()
	b.Close()
	if b.store != nil {
		b.store.Remove("servers", b.ID)
	}
}

// crashedEntryTime is how long the entry of a backend that crashed stays.
const crashedEntryTime = 300 * time.Millisecond

// Crash ends the backend as its process's end does: connections break off, nobody listens
// at its address, and its entry lapses later.
func (b *Backend) Crash() {
	b.mu.Lock()
	b.stopped = true
	b.mu.Unlock()
	_ = b.Listener.Close() // Close closes it again
	b.CloseClientConnections()
	b.Close()
	if b.store != nil {
		time.AfterFunc(crashedEntryTime, func() { b.store.Remove("servers", b.ID) })
	}
}

// Partition cuts the backend off from the platform and from its callers: connections break off,
// later ones get no answer, and its entry lapses later, though it lives.
func (b *Backend) Partition() {
	b.UpdateFaults(func(f *BackendFaults) { f.Unreachable = true })
	b.CloseClientConnections()
	if b.store != nil {
		time.AfterFunc(crashedEntryTime, func() { b.store.Remove("servers", b.ID) })
	}
}

// Heal ends what Cut began: the backend answers, and its entry is back with the same
// start.
func (b *Backend) Heal() {
	b.UpdateFaults(func(f *BackendFaults) { f.Unreachable = false })
	b.register()
}

// Stopped reports whether the backend has died or crashed.
func (b *Backend) Stopped() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.stopped
}

// Close ends the backend and all calls that hang in it.
func (b *Backend) Close() {
	b.blocker.release()
	b.Server.Close()
}

// Restart lets the backend crash and start again at once under its identifier, at a
// time in Unix milliseconds: calls break off, and it knows nothing of before but what its
// host holds.
func (b *Backend) Restart(startedAt int64) {
	b.CloseClientConnections()
	b.mu.Lock()
	b.member, b.model, b.epoch, b.token, b.startedAt = Member{}, "", 0, 0, startedAt
	b.mu.Unlock()
	b.register()
}

// register writes the backend's entry.
func (b *Backend) register() {
	if b.store == nil {
		return
	}
	// Entries are written in the order of the states that they tell.
	b.registering.Lock()
	defer b.registering.Unlock()
	b.mu.Lock()
	if b.stopped {
		b.mu.Unlock()
		return
	}
	entry := map[string]any{
		"service": b.Service, "address": b.Address(), "zone": b.Zone, "version": "v1", "slots": 4,
		"state": b.state, "cold-remaining-ms": 0, "sequence": 1, "domain": b.Domain, "staged": slices.Clone(b.staged), "unknown-field": 1,
	}
	if b.startedAt != 0 {
		entry["born"] = b.startedAt
	}
	if b.model != "" {
		entry["models"] = []map[string]any{{"name": b.model, "version": 1}}
	}
	if b.member.Name != "" {
		entry["group"] = b.member
	}
	b.mu.Unlock()
	b.store.Set("servers", b.ID, entry)
}

func (b *Backend) serve(w http.ResponseWriter, r *http.Request) {
	b.mu.Lock()
	f := b.faults
	b.mu.Unlock()
	if f.Unreachable {
		b.blocker.block(r)
		return
	}
	switch r.URL.Path {
	case "/v1/order":
		b.order(w, r)
	case "/v1/report":
		b.report(w)
	default:
		b.call(w, r, &f)
	}
}

func (b *Backend) report(w http.ResponseWriter) {
	b.mu.Lock()
	report := map[string]any{"busy": false, "queued": 0, "running": 0}
	if b.startedAt != 0 {
		report["born"] = b.startedAt
	}
	b.mu.Unlock()
	reply(w, http.StatusOK, report)
}

// call serves a client's call.
func (b *Backend) call(w http.ResponseWriter, r *http.Request, f *BackendFaults) {
	id := r.Header.Get("Garnetworks-Request-Id")
	w.Header().Set("Garnetworks-Request-Id", id)
	if want := r.Header.Get("Garnetworks-Expect-Instance"); want != "" && want != b.ID {
		w.Header().Set("Garnetworks-Instance-Id", b.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if f.Full || id == "" {
		w.Header().Set("Garnetworks-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if f.Stalled {
		b.blocker.block(r)
		return
	}
	body, _ := io.ReadAll(r.Body)
	run := Run{
		ID: id, Method: r.Method, Target: r.RequestURI, Body: string(body), At: time.Now(),
		Workspace: r.Header.Get("Garnetworks-Tenant"), Key: r.Header.Get("Authorization"), ResumeAfter: r.Header.Get("Last-Event-Id"),
	}
	b.mu.Lock()
	b.runs = append(b.runs, run)
	b.running++
	lose := b.faults.LoseResponses > 0
	if lose {
		b.faults.LoseResponses--
	}
	extra := b.faults.ExtraResponses > 0
	if extra {
		b.faults.ExtraResponses--
	}
	b.mu.Unlock()
	defer func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.running--
	}()
	if lose {
		panic(http.ErrAbortHandler)
	}
	if f.CrashBody != "" && run.Body == f.CrashBody {
		go b.Crash()
		<-r.Context().Done()
		return
	}
	if !f.OmitStamp {
		w.Header().Set("Garnetworks-Response-Stamp", "stamp."+b.ID)
	}
	switch {
	case f.Fail:
		w.WriteHeader(http.StatusInternalServerError)
		_, _ = io.WriteString(w, "failed")
	case r.Header.Get("Garnetworks-Model") != "":
		b.stream(w, r, f)
	case extra:
		b.respondTwice(w, id)
	default:
		b.blocker.delay(r, f.ExecutionTime)
		_, _ = io.WriteString(w, "answer of "+b.ID+" to "+id)
	}
}

// twice answers twice on the same connection.
func (b *Backend) respondTwice(w http.ResponseWriter, id string) {
	c, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	text := "answer of " + b.ID + " to " + id
	response := fmt.Sprintf("HTTP/1.1 200 OK\r\nGarnetworks-Request-Id: %s\r\nGarnetworks-Response-Stamp: stamp.%s\r\nContent-Length: %d\r\n\r\n%s", id, b.ID, len(text), text)
	_, _ = buffered.WriteString(response + response)
	_ = buffered.Flush()
	go func() {
		// The connection stays open, as an engine's does.
		_, _ = io.Copy(io.Discard, c)
		_ = c.Close()
	}()
}

// stream gives events with numbers from 1.
func (b *Backend) stream(w http.ResponseWriter, r *http.Request, f *BackendFaults) {
	w.Header().Set("Content-Type", "text/event-stream")
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	flusher := http.NewResponseController(w)
	for n := last + 1; n <= b.Events; n++ {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(b.EventTime):
		}
		b.mu.Lock()
		stalled := b.faults.Stalled
		b.mu.Unlock()
		if stalled {
			b.blocker.block(r)
			return
		}
		if f.PreemptAfter > 0 && n-last == f.PreemptAfter+1 {
			time.Sleep(f.PreemptTime)
		}
		if f.BreakAfter > 0 && n-last > f.BreakAfter {
			_, _ = fmt.Fprintf(w, "id: %d\nda", n)
			_ = flusher.Flush()
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", n, n)
		_ = flusher.Flush()
	}
}

type orderBody struct {
	Operation string   `json:"operation"`
	Group     string   `json:"group"`
	Epoch     uint64   `json:"epoch"`
	Model     string   `json:"model"`
	Members   []string `json:"members"`
	Token     uint64   `json:"fencing-token"`
}

func (b *Backend) order(w http.ResponseWriter, r *http.Request) {
	var o orderBody
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, "order", http.StatusBadRequest)
		return
	}
	if want := r.Header.Get("Garnetworks-Expect-Instance"); want != "" && want != b.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	status := b.executeOrder(&o)
	b.register()
	b.mu.Lock()
	lose := b.faults.LoseOrders > 0
	if lose {
		b.faults.LoseOrders--
	}
	b.mu.Unlock()
	if lose {
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(status)
}

// take carries an order out and returns the answer's status.
func (b *Backend) executeOrder(o *orderBody) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	if o.Token < b.token {
		return http.StatusPreconditionFailed
	}
	b.token = o.Token
	same := b.member.Name == o.Group && b.member.Epoch == o.Epoch
	switch o.Operation {
	case "stage":
		b.staged = []string{o.Model}
	case "join":
		if same {
			return http.StatusOK
		}
		if o.Epoch < b.epoch {
			return http.StatusPreconditionFailed
		}
		b.epoch = o.Epoch
		b.member = Member{Name: o.Group, Epoch: o.Epoch, Rank: slices.Index(o.Members, b.ID), State: "joining"}
		time.AfterFunc(b.JoinTime, func() { b.finishJoin(o) })
	case "open", "close", "leave":
		if !same {
			return http.StatusConflict
		}
		switch o.Operation {
		case "open":
			if b.member.State != "ready" {
				return http.StatusConflict
			}
			b.member.State = "open"
		case "close":
			b.member.State = "ready"
		case "leave":
			b.member = Member{}
		}
	default:
		return http.StatusBadRequest
	}
	b.orders = append(b.orders, o.Operation+" "+o.Group)
	return http.StatusAccepted
}

func (b *Backend) finishJoin(o *orderBody) {
	b.mu.Lock()
	if b.member.Name != o.Group || b.member.Epoch != o.Epoch || b.member.State != "joining" {
		b.mu.Unlock()
		return
	}
	b.member.State, b.model, b.staged = "ready", o.Model, []string{o.Model}
	b.mu.Unlock()
	b.register()
}
