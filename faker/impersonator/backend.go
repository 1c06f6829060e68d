package impersonator

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/garnetworks/garnetworks"
)

// BackendFaults are the injectable faults of a Backend.
type BackendFaults struct {
	// Full refuses calls as not run. RetryAfter is the backoff in seconds that such a refusal
	// requests; empty for none.
	Full       bool
	RetryAfter string
	// Stalled sends no events and no responses to calls; Unreachable responds to nothing,
	// orders included.
	Stalled, Unreachable bool
	// BreakAfter breaks a stream off in the middle of the event after this many events; 0
	// never does.
	BreakAfter int
	// PreemptAfter pauses a stream for PreemptTime after this many events, as an engine does
	// that needs the memory for another call; 0 never does.
	PreemptAfter int
	PreemptTime  time.Duration
	// ExecutionTime is the duration of a plain service's call.
	ExecutionTime time.Duration
	// OmitStamp leaves out the response stamp of the backend server.
	OmitStamp bool
	// LoseResponses is the number of following calls that run without a response.
	LoseResponses int
	// Fail runs calls and responds with status 500.
	Fail bool
	// ExtraResponses is the number of following responses that are sent twice on the same
	// connection.
	ExtraResponses int
	// LoseOrders is the number of following orders that are executed without a response.
	LoseOrders int
	// AnnounceLeaving says in each response to a call that the backend leaves, but not in its entry.
	AnnounceLeaving bool
	// CallLimit, if present, is the limit of calls per second that each response to a call names.
	CallLimit garnetworks.Option[float64]
	// CrashBody is the body of calls that crash the backend; empty matches none.
	CrashBody string
	// CrashPart crashes the backend when it begins to write an answer to a prompt that has this
	// part before its last one; empty matches none.
	CrashPart string
	// Raw returns the answer to the call with an identifier, before its body is read; nil leaves it to the
	// other faults.
	Raw func(id string) RawAnswer
	// Unframed sends streams with neither a length nor chunks, so that they end with their
	// connection. EndAfter ends such streams after this many events; 0 never does, and a negative
	// number ends them after their headers.
	Unframed bool
	EndAfter int
	// Endless sends bytes without end in place of answers to calls, until the caller closes the
	// connection; EndlessPause is the pause between two pieces of them.
	Endless      EndlessKind
	EndlessPause time.Duration
}

// Run records a call that a backend ran.
type Run struct {
	ID, Method, Target, Body, Workspace, Key, ResumeAfter, Prompt string
	At                                                            time.Time
}

// SharesPart reports whether the run's prompt has the part before its last one.
func (r *Run) SharesPart(part string) bool {
	entries := strings.Split(r.Prompt, ",")
	return slices.ContainsFunc(entries[:len(entries)-1], func(entry string) bool {
		id, _, _ := strings.Cut(entry, ":")
		return id == part
	})
}

// Member is a backend's group membership in its wire format.
type Member struct {
	Name  string `json:"name"`
	Epoch uint64 `json:"epoch"`
	Rank  int    `json:"rank"`
	State string `json:"state"`
}

// Backend is a fake model engine or plain-service server.
type Backend struct {
	*httptest.Server
	ID, Service, Zone, Domain string
	// Events is the number of events of a stream, EventTime the time before each.
	Events    int
	EventTime time.Duration
	// JoinTime is the duration of a join.
	JoinTime time.Duration

	store   *Store
	blocker *callBlocker

	registering sync.Mutex

	mu     sync.Mutex
	faults BackendFaults
	// running is the number of calls in progress.
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
	// accepted is the number of orders that began something.
	accepted uint64
	// startedAt is the reported start time in Unix milliseconds; 0 reports none.
	startedAt int64
	stopped   bool

	endlessBytes atomic.Int64
	endlessCalls atomic.Uint64
}

// NewBackend starts a backend and registers it in the store, unless store is nil.
func NewBackend(store *Store, id, service, zone, domain string) *Backend {
	b := &Backend{ID: id, Service: service, Zone: zone, Domain: domain, Events: 5, EventTime: 5 * time.Millisecond, store: store, blocker: newCallBlocker(), state: "ready"}
	b.Server = httptest.NewServer(http.HandlerFunc(b.serve))
	b.register()
	return b
}

// Address returns the backend's IP address and port.
func (b *Backend) Address() string { return strings.TrimPrefix(b.URL, "http://") }

// UpdateFaults changes the faults in place.
func (b *Backend) UpdateFaults(change func(*BackendFaults)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	change(&b.faults)
}

// Runs returns the calls that ran, in order of arrival.
func (b *Backend) Runs() []Run {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.runs)
}

// Running returns the number of calls in progress.
func (b *Backend) Running() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.running
}

// BlockedCalls returns the number of calls that are blocked without a response.
func (b *Backend) BlockedCalls() int { return int(b.blocker.blocked.Load()) }

// Orders returns the accepted orders as operation and group, such as "join m.1".
func (b *Backend) Orders() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.orders)
}

// Drain sets the backend's registered state to draining.
func (b *Backend) Drain() {
	b.mu.Lock()
	b.state = "draining"
	b.mu.Unlock()
	b.register()
}

// Kill stops the backend, breaks its connections and removes its entry from the store.
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

// crashedEntryTime is how long the entry of a crashed or partitioned backend remains.
const crashedEntryTime = 300 * time.Millisecond

// Crash simulates the end of the backend's process: connections break, nothing listens at
// its address, and its entry expires later.
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

// Partition cuts the running backend off from the platform and its callers: connections
// break, later requests get no response, and its entry expires later.
func (b *Backend) Partition() {
	b.UpdateFaults(func(f *BackendFaults) { f.Unreachable = true })
	b.CloseClientConnections()
	if b.store != nil {
		time.AfterFunc(crashedEntryTime, func() { b.store.Remove("servers", b.ID) })
	}
}

// Heal ends a partition: the backend responds again and re-registers with the same start
// time.
func (b *Backend) Heal() {
	b.UpdateFaults(func(f *BackendFaults) { f.Unreachable = false })
	b.register()
}

// Stopped reports whether the backend was killed or has crashed.
func (b *Backend) Stopped() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.stopped
}

// Close stops the server and releases all blocked calls.
func (b *Backend) Close() {
	b.blocker.release()
	b.Server.Close()
}

// Restart simulates a crash and an immediate restart under the same identifier, at a start
// time in Unix milliseconds. Connections break; the membership, the loaded model, the epoch
// and the fencing token are lost; models staged on the host remain.
func (b *Backend) Restart(startedAt int64) {
	b.CloseClientConnections()
	b.mu.Lock()
	b.member, b.model, b.epoch, b.token, b.accepted, b.startedAt = Member{}, "", 0, 0, 0, startedAt
	b.mu.Unlock()
	b.register()
}

// register writes the backend's entry to the store.
func (b *Backend) register() {
	if b.store == nil {
		return
	}
	// The lock keeps an older state from overwriting a newer one in the store.
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
	f, stopped := b.faults, b.stopped
	b.mu.Unlock()
	if stopped {
		panic(http.ErrAbortHandler)
	}
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
	report := map[string]any{"busy": false, "queued": 0, "running": 0, "sequence": b.accepted}
	if b.member.Name != "" {
		report["group"] = b.member
	}
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
	if f.AnnounceLeaving {
		w.Header().Set("Server-Leaving", "1")
	}
	if limit, ok := f.CallLimit.Get(); ok {
		w.Header().Set("Server-Limit", strconv.FormatFloat(limit, 'f', -1, 64))
	}
	if want := r.Header.Get("Garnetworks-Expect-Instance"); want != "" && want != b.ID {
		w.Header().Set("Garnetworks-Instance-Id", b.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.Header.Get("Garnetworks-Model") != "" && !b.headsOpenGroup() {
		w.Header().Set("At-Server", b.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if f.Full || id == "" {
		w.Header().Set("Garnetworks-Not-Run", "1")
		if f.RetryAfter != "" {
			w.Header().Set("Retry-After", f.RetryAfter)
		}
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if f.Stalled {
		b.blocker.block(r)
		return
	}
	if f.Raw != nil {
		sendRaw(w, r, f.Raw(id))
		return
	}
	if f.Endless != "" {
		b.sendEndless(w, r, f)
		return
	}
	body, _ := io.ReadAll(r.Body)
	run := Run{
		ID: id, Method: r.Method, Target: r.RequestURI, Body: string(body), At: time.Now(),
		Workspace: r.Header.Get("Garnetworks-Tenant"), Key: r.Header.Get("Authorization"), ResumeAfter: r.Header.Get("Last-Event-Id"),
		Prompt: r.Header.Get("Garnetworks-Prompt-Prefix"),
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
	if f.CrashPart != "" && run.SharesPart(f.CrashPart) {
		b.blocker.delay(r, b.EventTime)
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
	case f.Unframed:
		b.streamUnframed(w, id, f)
	case r.Header.Get("Garnetworks-Model") != "":
		b.stream(w, r, f)
	case extra:
		b.respondTwice(w, id)
	default:
		b.blocker.delay(r, f.ExecutionTime)
		_, _ = io.WriteString(w, "answer of "+b.ID+" to "+id)
	}
}

// headsOpenGroup reports whether the engine takes the calls of a group. Backends without a store
// are in no group and take all calls.
func (b *Backend) headsOpenGroup() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.store == nil || b.member.Rank == 0 && b.member.State == "open"
}

// respondTwice sends the same response twice on one connection.
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
		// Keeps the connection open, as an engine does.
		_, _ = io.Copy(io.Discard, c)
		_ = c.Close()
	}()
}

// sendRaw sends an answer and closes the connection.
func sendRaw(w http.ResponseWriter, r *http.Request, a RawAnswer) {
	if a.readsFirst() {
		_, _ = io.Copy(io.Discard, r.Body) // the answer is sent in any case
	}
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer c.Close()
	conn, ok := c.(*net.TCPConn)
	if ok {
		a.send(conn, conn)
	}
}

// streamUnframed sends events on a connection whose end is the answer's end.
func (b *Backend) streamUnframed(w http.ResponseWriter, id string, f *BackendFaults) {
	c, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer c.Close()
	_, _ = fmt.Fprintf(buffered, "HTTP/1.1 200 OK\r\nGarnetworks-Request-Id: %s\r\nGarnetworks-Response-Stamp: stamp.%s\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n", id, b.ID)
	_ = buffered.Flush()
	for n := 1; n <= b.Events && f.EndAfter >= 0; n++ {
		if f.BreakAfter > 0 && n > f.BreakAfter {
			_, _ = fmt.Fprintf(buffered, "id: %d\nda", n)
			_ = buffered.Flush()
			return
		}
		_, _ = fmt.Fprintf(buffered, "id: %d\ndata: piece %d\n\n", n, n)
		_ = buffered.Flush()
		if n == f.EndAfter {
			return
		}
		time.Sleep(b.EventTime)
	}
}

// stream sends events with identifiers from 1, or from the one after Last-Event-Id.
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
	Expect    *uint64  `json:"expect"`
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

// executeOrder executes an order and returns the response's status.
func (b *Backend) executeOrder(o *orderBody) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	if o.Token < b.token {
		return http.StatusPreconditionFailed
	}
	b.token = o.Token
	if o.Expect != nil && *o.Expect != b.accepted {
		return http.StatusConflict
	}
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
	b.accepted++
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
