package impersonator

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// StoreFaults are the injectable faults of a Store.
type StoreFaults struct {
	// Down responds to every call with 503; Silent never responds.
	Down, Silent bool
	// Delay is waited before each response.
	Delay time.Duration
	// LoseWrites is the number of following writes that are applied without a response.
	LoseWrites int
	// LateWrites is the number of following writes that get no response and are applied LateBy
	// later, if their condition still holds.
	LateWrites int
	LateBy     time.Duration
	// Throttle is the number of following calls that are refused with 429.
	Throttle int
	// StaleLists is the number of following lists that return an empty, older state, as a
	// lagging replica does.
	StaleLists int
	// AbortWatches breaks waiting watches off without a response.
	AbortWatches bool
	// Refuse is the set of User-Agent values whose calls get 503.
	Refuse map[string]bool
}

// object is a stored object in its wire format.
type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type metadata struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	CreatedRev uint64   `json:"created-rev"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type change struct {
	kind    string
	object  object
	deleted bool
}

// Store is a fake of the platform's store.
type Store struct {
	*httptest.Server
	// PageSize is the maximum number of objects in one list; 0 means 500.
	PageSize int
	// ValueBytes is the maximum size of an object in bytes; 0 means 1 MiB.
	ValueBytes int

	mu     sync.Mutex
	faults StoreFaults
	// era is the number of times that the store has come back from a copy.
	era      uint64
	revision uint64
	kinds    map[string]map[string]object
	history  []change
	// compacted is the revision up to which the history is dropped.
	compacted uint64
	calls     map[string]int
	wake      chan struct{}
	blocker   *callBlocker

	textsMu sync.Mutex
	// texts are the specs of SetText, by the JSON strings that stand for them in stored objects.
	texts map[string]string
}

// NewStore starts an empty store on the loopback address.
func NewStore() *Store {
	s := newStore()
	s.Server = httptest.NewServer(http.HandlerFunc(s.serve))
	return s
}

// NewStoreOn starts an empty store on a listener.
func NewStoreOn(l net.Listener) *Store {
	s := newStore()
	s.Server = &httptest.Server{Listener: l, Config: &http.Server{Handler: http.HandlerFunc(s.serve)}}
	s.Start()
	return s
}

func newStore() *Store {
	return &Store{revision: 1, kinds: make(map[string]map[string]object), calls: make(map[string]int), wake: make(chan struct{}), blocker: newCallBlocker(), texts: make(map[string]string)}
}

// Close stops the server and releases all blocked calls.
func (s *Store) Close() {
	s.blocker.release()
	s.Server.Close()
}

// Address returns the store's IP address and port.
func (s *Store) Address() string { return strings.TrimPrefix(s.URL, "http://") }

// UpdateFaults changes the faults in place and wakes the watches.
func (s *Store) UpdateFaults(change func(*StoreFaults)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.faults)
	s.wakeLocked()
}

// Compact drops the history up to the current revision.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.compacted = nil, s.revision
	s.wakeLocked()
}

// StoreCopy is a backup of a Store's contents.
type StoreCopy struct {
	revision uint64
	kinds    map[string]map[string]object
}

// Copy returns a copy of the present contents.
func (s *Store) Copy() *StoreCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &StoreCopy{s.revision, cloneKinds(s.kinds)}
}

func cloneKinds(kinds map[string]map[string]object) map[string]map[string]object {
	cloned := make(map[string]map[string]object, len(kinds))
	for kind, objects := range kinds {
		cloned[kind] = maps.Clone(objects)
	}
	return cloned
}

// Restore replaces the contents by those of a copy and begins a new era: changes since the copy
// are gone, and revisions are counted on from its own. Waiting watches break off.
func (s *Store) Restore(c *StoreCopy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.revision, s.kinds = c.revision, cloneKinds(c.kinds)
	s.history, s.compacted = nil, c.revision
	s.wakeLocked()
}

// Advance raises the revision to at least n, as changes of kinds that no reader follows do.
func (s *Store) Advance(n uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision = max(s.revision, n)
	s.wakeLocked()
}

// Revision returns the revision of the last change.
func (s *Store) Revision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// EraHeader is the header of all answers that holds the store's era.
const EraHeader = "Store-Era"

// Calls returns the number of calls by method and kind, such as "GET servers".
func (s *Store) Calls() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	calls := make(map[string]int, len(s.calls))
	for k, n := range s.calls {
		calls[k] = n
	}
	return calls
}

// Set writes an object, as the operator or a backend server would.
func (s *Store) Set(kind, name string, spec any) {
	text, err := json.Marshal(spec)
	if err != nil {
		panic("impersonator: cannot marshal the spec: " + err.Error())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.kinds[kind][name]
	o.Metadata.Name = name
	o.Spec = text
	s.writeLocked(kind, o)
}

// SetText writes an object with a spec that is sent as it is, as another writer may leave one that no
// JSON encoder accepts.
func (s *Store) SetText(kind, name, spec string) {
	s.textsMu.Lock()
	placeholder := fmt.Sprintf("text-%d", len(s.texts)+1)
	s.texts[strconv.Quote(placeholder)] = spec
	s.textsMu.Unlock()
	s.Set(kind, name, placeholder)
}

// Remove deletes an object regardless of its finalizers, as the platform would.
func (s *Store) Remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o, ok := s.kinds[kind][name]; ok {
		s.deleteLocked(kind, o)
	}
}

func (s *Store) wakeLocked() {
	close(s.wake)
	s.wake = make(chan struct{})
}

func (s *Store) writeLocked(kind string, o object) object {
	s.revision++
	o.Metadata.Revision = s.revision
	if o.Metadata.CreatedRev == 0 {
		o.Metadata.CreatedRev = s.revision
	}
	if s.kinds[kind] == nil {
		s.kinds[kind] = make(map[string]object)
	}
	s.kinds[kind][o.Metadata.Name] = o
	s.history = append(s.history, change{kind: kind, object: o})
	s.wakeLocked()
	return o
}

func (s *Store) deleteLocked(kind string, o object) {
	s.revision++
	o.Metadata.Revision = s.revision
	delete(s.kinds[kind], o.Metadata.Name)
	s.history = append(s.history, change{kind: kind, object: o, deleted: true})
	s.wakeLocked()
}

// faultKind is the kind of fault that applies to a call.
type faultKind int

const (
	faultNone faultKind = iota
	faultDown
	faultSilent
	faultThrottle
	faultLoseResponse
	faultLateWrite
)

func (s *Store) nextFault(r *http.Request) (faultKind, time.Duration) {
	kind := strings.Split(strings.TrimPrefix(r.URL.Path, "/v1/objects/"), "/")[0]
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls[r.Method+" "+kind]++
	f := &s.faults
	isWrite := r.Method != http.MethodGet
	switch {
	case f.Silent:
		return faultSilent, 0
	case f.Down || f.Refuse[r.UserAgent()]:
		return faultDown, f.Delay
	case f.Throttle > 0:
		f.Throttle--
		return faultThrottle, f.Delay
	case isWrite && f.LoseWrites > 0:
		f.LoseWrites--
		return faultLoseResponse, f.Delay
	case isWrite && f.LateWrites > 0:
		f.LateWrites--
		return faultLateWrite, f.LateBy
	}
	return faultNone, f.Delay
}

func (s *Store) serve(w http.ResponseWriter, r *http.Request) {
	v, delay := s.nextFault(r)
	switch v {
	case faultSilent:
		s.blocker.block(r)
		return
	case faultDown:
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	case faultThrottle:
		http.Error(w, "beyond the rates", http.StatusTooManyRequests)
		return
	case faultLoseResponse:
		s.handle(httptest.NewRecorder(), r)
		panic(http.ErrAbortHandler)
	case faultLateWrite:
		s.delayWrite(r, delay)
		s.blocker.block(r)
		return
	case faultNone:
		time.Sleep(delay)
		s.handle(w, r)
	}
}

// delayWrite applies a write later, even if its caller has disconnected.
func (s *Store) delayWrite(r *http.Request, after time.Duration) {
	copied := r.Clone(r.Context())
	var body strings.Builder
	buffer := make([]byte, 1<<10)
	for {
		n, err := r.Body.Read(buffer)
		body.Write(buffer[:n])
		if err != nil {
			break
		}
	}
	text := body.String()
	time.AfterFunc(after, func() {
		copied.Body = readCloser{strings.NewReader(text)}
		s.handle(httptest.NewRecorder(), copied)
	})
}

type readCloser struct{ *strings.Reader }

func (readCloser) Close() error { return nil }

func (s *Store) handle(w http.ResponseWriter, r *http.Request) {
	rest := strings.TrimPrefix(r.URL.EscapedPath(), "/v1/objects/")
	s.mu.Lock()
	w.Header().Set(EraHeader, strconv.FormatUint(s.era, 10))
	s.mu.Unlock()
	kind, name, named := strings.Cut(rest, "/")
	name, err := url.PathUnescape(name)
	if err != nil {
		http.Error(w, "path", http.StatusBadRequest)
		return
	}
	query := r.URL.Query()
	switch {
	case r.Method == http.MethodGet && query.Has("watch"):
		s.watch(w, r, kind, query)
	case r.Method == http.MethodGet && !named:
		s.list(w, kind, query.Get("after"))
	case r.Method == http.MethodGet:
		s.get(w, kind, name)
	case r.Method == http.MethodPost && !named:
		s.create(w, r, kind)
	case r.Method == http.MethodPut:
		s.replace(w, r, kind, name)
	case r.Method == http.MethodDelete:
		s.remove(w, kind, name, query.Get("revision"))
	default:
		http.Error(w, "no such call", http.StatusNotFound)
	}
}

func reply(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

// reply sends a value with the specs of SetText in it.
func (s *Store) reply(w http.ResponseWriter, status int, value any) {
	recorder := httptest.NewRecorder()
	reply(recorder, status, value)
	body := recorder.Body.Bytes()
	s.textsMu.Lock()
	for placeholder, text := range s.texts {
		body = bytes.ReplaceAll(body, []byte(placeholder), []byte(text))
	}
	s.textsMu.Unlock()
	maps.Copy(w.Header(), recorder.Header())
	w.WriteHeader(status)
	_, _ = w.Write(body) // fails if the caller has disconnected
}

func (s *Store) get(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	o, ok := s.kinds[kind][name]
	s.mu.Unlock()
	if !ok {
		http.Error(w, "no such object", http.StatusNotFound)
		return
	}
	s.reply(w, http.StatusOK, o)
}

func (s *Store) list(w http.ResponseWriter, kind, after string) {
	const defaultPageSize = 500
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.StaleLists > 0 {
		s.faults.StaleLists--
		s.reply(w, http.StatusOK, map[string]any{"items": []object{}, "truncated": false, "current-rev": 1})
		return
	}
	page := s.PageSize
	if page == 0 {
		page = defaultPageSize
	}
	var names []string
	for name := range s.kinds[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	truncated := len(names) > page
	items := []object{}
	for _, name := range names[:min(page, len(names))] {
		items = append(items, s.kinds[kind][name])
	}
	s.reply(w, http.StatusOK, map[string]any{"items": items, "truncated": truncated, "current-rev": s.revision})
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request, kind string, query url.Values) {
	after, err := strconv.ParseUint(query.Get("watch"), 10, 64)
	wait, err2 := strconv.Atoi(query.Get("wait-ms"))
	if err != nil || err2 != nil {
		http.Error(w, "watch", http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	s.mu.Lock()
	era := s.era
	s.mu.Unlock()
	for expired := false; ; {
		s.mu.Lock()
		abort, compacted, wake := s.faults.AbortWatches || s.era != era, after < s.compacted || after > s.revision, s.wake
		events := s.eventsLocked(kind, after)
		revision := s.revision
		s.mu.Unlock()
		switch {
		case abort:
			panic(http.ErrAbortHandler)
		case compacted:
			http.Error(w, "the history is gone", http.StatusGone)
			return
		case len(events) > 0 || expired:
			s.reply(w, http.StatusOK, map[string]any{"events": events, "current-rev": revision})
			return
		}
		select {
		case <-wake:
		case <-timer.C:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) eventsLocked(kind string, after uint64) []map[string]any {
	events := []map[string]any{}
	for _, c := range s.history {
		if c.kind == kind && c.object.Metadata.Revision > after {
			events = append(events, map[string]any{"object": c.object, "deleted": c.deleted})
		}
	}
	return events
}

// decode reads the object of a write, or replies with an error and returns false.
func (s *Store) decode(w http.ResponseWriter, r *http.Request) (object, bool) {
	const defaultValueBytes = 1 << 20
	limit := s.ValueBytes
	if limit == 0 {
		limit = defaultValueBytes
	}
	var o object
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, "body", http.StatusBadRequest)
		return o, false
	}
	// The limit is doubled, because base64 makes the encoded value a third larger.
	if len(o.Spec) > limit*2 {
		http.Error(w, "too large", http.StatusRequestEntityTooLarge)
		return o, false
	}
	return o, true
}

func (s *Store) create(w http.ResponseWriter, r *http.Request, kind string) {
	o, ok := s.decode(w, r)
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if old, exists := s.kinds[kind][o.Metadata.Name]; exists {
		s.reply(w, http.StatusConflict, old)
		return
	}
	o.Metadata.CreatedRev, o.Metadata.Deleting = 0, false
	s.reply(w, http.StatusOK, s.writeLocked(kind, o))
}

func (s *Store) replace(w http.ResponseWriter, r *http.Request, kind, name string) {
	o, ok := s.decode(w, r)
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	old, exists := s.kinds[kind][name]
	if !exists {
		http.Error(w, "no such object", http.StatusNotFound)
		return
	}
	if o.Metadata.Revision != 0 && o.Metadata.Revision != old.Metadata.Revision {
		s.reply(w, http.StatusConflict, old)
		return
	}
	if string(old.Spec) == string(o.Spec) && slices.Equal(old.Metadata.Finalizers, o.Metadata.Finalizers) {
		s.reply(w, http.StatusOK, old)
		return
	}
	old.Spec = o.Spec
	old.Metadata.Finalizers = o.Metadata.Finalizers
	if old.Metadata.Deleting && len(old.Metadata.Finalizers) == 0 {
		s.deleteLocked(kind, old)
		s.reply(w, http.StatusOK, old)
		return
	}
	s.reply(w, http.StatusOK, s.writeLocked(kind, old))
}

func (s *Store) remove(w http.ResponseWriter, kind, name, revision string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, exists := s.kinds[kind][name]
	if !exists {
		http.Error(w, "no such object", http.StatusNotFound)
		return
	}
	if revision != "" && revision != strconv.FormatUint(old.Metadata.Revision, 10) {
		s.reply(w, http.StatusConflict, old)
		return
	}
	if len(old.Metadata.Finalizers) > 0 {
		// The object stays, marked as deleting, until its last finalizer is removed.
		old.Metadata.Deleting = true
		s.reply(w, http.StatusOK, s.writeLocked(kind, old))
		return
	}
	s.deleteLocked(kind, old)
	s.reply(w, http.StatusOK, old)
}

// AddFinalizer adds a finalizer to an object.
func (s *Store) AddFinalizer(kind, name, finalizer string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.kinds[kind][name]
	o.Metadata.Finalizers = append(slices.Clone(o.Metadata.Finalizers), finalizer)
	s.writeLocked(kind, o)
}
