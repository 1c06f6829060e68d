package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"

	"github.com/garnetworks/garnetworks/faker/impersonator"
)

const (
	// lateCopies is the number of copies of a join that get no answer; the next one does. They are
	// carried out laterDelay after they were sent, and joins into later groups nextDelay: within the 2
	// to 12 s of late orders.
	lateCopies = 3
	laterDelay = 5200 * time.Millisecond
	nextDelay  = 4 * time.Second
	// lateWindow is how long orders are carried out late.
	lateWindow = 5500 * time.Millisecond
	// lapseTime is how long after a cut an engine's entry is removed: three heartbeats.
	lapseTime = 3600 * time.Millisecond
	// lateTime is how long the case watches after the loss of an engine.
	lateTime = 9 * time.Second
)

// order is what the case reads of an order.
type order struct {
	Operation string   `json:"operation"`
	Group     string   `json:"group"`
	Epoch     uint64   `json:"epoch"`
	Members   []string `json:"members"`
}

// lateOrders stands in front of the engines' orders. Once armed, it carries out late, and leaves
// unanswered, the joins of one engine, and cuts the head of the first group that this engine is
// ordered into from the store once that group is open.
type lateOrders struct {
	record *record
	store  *impersonator.Store

	mu sync.Mutex
	// until is until when orders are late; zero before the first late one.
	until time.Time
	// armed says that orders are late from the next join on.
	armed bool
	// late is the engine whose joins are late, head the head of its group, group that group.
	late, head, group string
	copies            map[string]int
	cut               bool
	// groups holds the group that each engine is in, open the open groups' heads.
	groups map[string]string
	open   map[string]string
	// broken are the joins that broke the rule.
	broken []string
}

// front is the part of lateOrders before one engine.
type front struct {
	*lateOrders
	engine *impersonator.Backend
	next   http.Handler
}

// ServeHTTP implements http.Handler.
func (f *front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/v1/order" {
		f.next.ServeHTTP(w, r)
		return
	}
	body, err := io.ReadAll(r.Body)
	var o order
	if err != nil || json.Unmarshal(body, &o) != nil {
		http.Error(w, "order", http.StatusBadRequest)
		return
	}
	if delay := f.delay(f.engine.ID, &o); delay > 0 {
		f.record.printf("%s: %s %s gets no answer and is carried out %s later", f.engine.ID, o.Operation, o.Group, delay)
		late := r.Clone(r.Context())
		time.AfterFunc(delay, func() { f.execute(httptest.NewRecorder(), late, body, &o, "late ") })
		<-r.Context().Done()
		return
	}
	f.execute(w, r, body, &o, "")
}

// delay returns how late an order is carried out; 0 if it is not late.
func (l *lateOrders) delay(engine string, o *order) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.armed || o.Operation != "join" || len(o.Members) == 0 {
		return 0
	}
	if l.late == "" && o.Members[0] != engine {
		l.late, l.head, l.group = engine, o.Members[0], o.Group
	}
	if engine != l.late {
		return 0
	}
	if l.until.IsZero() {
		l.until = time.Now().Add(lateWindow)
	}
	if time.Now().After(l.until) {
		return 0
	}
	l.copies[o.Group]++
	switch {
	case o.Group != l.group:
		return nextDelay
	case l.copies[o.Group] <= lateCopies:
		return laterDelay
	}
	return 0
}

// execute lets the engine execute an order and notes what it shows of the groups.
func (f *front) execute(w http.ResponseWriter, r *http.Request, body []byte, o *order, how string) {
	r.Body = io.NopCloser(bytes.NewReader(body))
	answer := httptest.NewRecorder()
	f.next.ServeHTTP(answer, r)
	f.note(f.engine.ID, o, how, answer.Code)
	w.WriteHeader(answer.Code)
}

func (l *lateOrders) note(engine string, o *order, how string, status int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if o.Operation != "stage" {
		l.record.printf("%s: %s%s %s: %d", engine, how, o.Operation, o.Group, status)
	}
	if status != http.StatusAccepted {
		return
	}
	switch o.Operation {
	case "join":
		in := l.groups[engine]
		if head, isOpen := l.open[in]; in != "" && in != o.Group && isOpen {
			l.broken = append(l.broken, fmt.Sprintf("%s joined %s while %s, which it had not left, was open at %s", engine, o.Group, in, head))
		}
		l.groups[engine] = o.Group
	case "leave":
		delete(l.groups, engine)
		if l.open[o.Group] == engine {
			delete(l.open, o.Group)
		}
	case "open":
		l.open[o.Group] = engine
		if o.Group == l.group && engine == l.head && !l.cut {
			l.cut = true
			l.record.printf("%s, the head of %s, is cut off from the store", engine, o.Group)
			time.AfterFunc(lapseTime, func() {
				l.record.printf("the entry of %s is removed", engine)
				l.store.Remove("servers", engine)
			})
		}
	case "close":
		delete(l.open, o.Group)
	}
}

// lateCase loses a member of a group while the joins of another engine are carried out late, and
// then the new group's head, and checks that no engine joins a group while one that it is in is
// open (TWO).
func lateCase(r *record, dir string, trouble bool) (bool, error) {
	s := newSite(r, dir)
	defer s.stop()
	orders := &lateOrders{record: r, store: s.store, copies: make(map[string]int), groups: make(map[string]string), open: make(map[string]string)}
	s.addEngines("hattiesburg", "hattiesburg-1", 11)
	for _, e := range s.engines {
		e.JoinTime = 200 * time.Millisecond
		e.Config.Handler = &front{lateOrders: orders, engine: e, next: e.Config.Handler}
	}
	s.configure(7, []string{apiKey}, routeSpec{name: "r-2yhvz3p", prefix: "/lohu930/", kind: "streaming", service: "garnet-llm", timeoutMS: deadlineMS, objectiveMS: 400, attempts: 2, resumable: true})
	if err := s.start(1); err != nil {
		return false, err
	}
	q := request{method: http.MethodPost, path: "/lohu930/2f", body: `{"prompt":"pump 9"}`, model: true, deadline: deadlineMS * time.Millisecond}
	if err := awaitServing(s.nodes[0].front, q, 40*time.Second); err != nil {
		return false, err
	}
	const settle = 12 * time.Second // the first seconds after the start have rules of their own
	time.Sleep(settle)
	lost := orders.lastMember(s)
	r.printf("%s is lost", lost.ID)
	if trouble {
		orders.arm()
	}
	lost.Kill()
	time.Sleep(lapseTime)
	s.store.Remove("servers", lost.ID)
	time.Sleep(lateTime)
	orders.mu.Lock()
	defer orders.mu.Unlock()
	for _, b := range orders.broken {
		r.printf("TWO: %s", b)
	}
	if len(orders.broken) == 0 {
		return false, nil
	}
	return true, fmt.Errorf("%w: TWO, %d joins", errRule, len(orders.broken))
}

// arm makes joins late for lateWindow, from the next join on.
func (l *lateOrders) arm() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.armed = true
}

// lastMember returns an engine that is in an open group and not its head.
func (l *lateOrders) lastMember(s *site) *impersonator.Backend {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range s.engines {
		if head, isOpen := l.open[l.groups[e.ID]]; isOpen && head != e.ID {
			return e
		}
	}
	return s.engines[0]
}
