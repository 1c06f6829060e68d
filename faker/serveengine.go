package faker

import (
	"bytes"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/connector"
)

// ServeEngine serves an engine on the loopback address and sets its address in the fleet
// and the instance list.
func ServeEngine(e *Engine) (*Server, error) { return ServeEngineAt(loopback, e) }

// ServeEngineAt serves an engine on the given address.
func ServeEngineAt(address string, e *Engine) (*Server, error) {
	r := chi.NewRouter()
	r.Post(connector.PathOrders, e.serveOrder)
	r.Get(connector.PathStatus, e.serveStatus)
	r.Get(connector.PathCacheEvents, e.serveCacheEvents)
	r.Post(connector.PathGenerate, e.serveGenerate)
	r.Post(connector.PathKVCache+"/export", e.serveExport)
	r.Post(connector.PathKVCache+"/import", e.serveImport)
	s, err := serve(address, r, &e.Faults, func() bool { return !e.on() })
	if err != nil {
		return nil, err
	}
	e.fleet.setAddress(e, s.Address)
	return s, nil
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order garnetworks.EngineOrder
	if !readJSON(w, r, &order) {
		return
	}
	status, err := e.Order(r.Context(), order)
	reply(w, r, status, err)
}

func (e *Engine) serveStatus(w http.ResponseWriter, r *http.Request) {
	status, err := e.Status(r.Context())
	reply(w, r, status, err)
}

func (e *Engine) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, ok := parseNumber(w, r.URL.Query().Get("after"))
	if !ok {
		return
	}
	events, err := e.CacheEvents(r.Context(), after)
	reply(w, r, events, err)
}

func (e *Engine) serveExport(w http.ResponseWriter, r *http.Request) {
	var body connector.GenerateBody
	if !readJSON(w, r, &body) {
		return
	}
	reply(w, r, e.ExportKV(body.Model, body.Adapter, body.Prompt), nil)
}

func (e *Engine) serveImport(w http.ResponseWriter, r *http.Request) {
	var kv KVCache
	if !readJSON(w, r, &kv) {
		return
	}
	e.ImportKV(kv)
	reply(w, r, struct{}{}, nil)
}

// engineCall decodes a call from the request's headers and body. If it is invalid, it
// replies with an error and returns false.
func engineCall(w http.ResponseWriter, r *http.Request) (*garnetworks.EngineCall, bool) {
	var body connector.GenerateBody
	if !readJSON(w, r, &body) {
		return nil, false
	}
	token, ok := parseNumber(w, r.Header.Get(connector.HeaderToken))
	if !ok {
		return nil, false
	}
	resume, ok := parseNumber(w, r.Header.Get(connector.HeaderResume))
	if !ok {
		return nil, false
	}
	priority, err := strconv.Atoi(r.Header.Get(connector.HeaderPriority))
	if err != nil {
		replyProblem(w, garnetworks.Errorf(garnetworks.KindInvalidRequest, "the priority is not a number"))
		return nil, false
	}
	return &garnetworks.EngineCall{
		CallRequest: garnetworks.CallRequest{
			ID:          garnetworks.CallID(r.Header.Get(connector.HeaderCall)),
			Workspace:   garnetworks.WorkspaceName(r.Header.Get(connector.HeaderWorkspace)),
			Model:       body.Model,
			Adapter:     body.Adapter,
			Priority:    priority,
			Prompt:      body.Prompt,
			MaxTokens:   body.MaxTokens,
			Temperature: body.Temperature,
			Stop:        body.Stop,
		},
		Attempt:    garnetworks.CallID(r.Header.Get(connector.HeaderAttempt)),
		Group:      garnetworks.GroupID(r.Header.Get(connector.HeaderGroup)),
		Token:      garnetworks.FencingToken(token),
		ResumeFrom: int(resume),
		Delivered:  body.Delivered,
	}, true
}

func (e *Engine) serveGenerate(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(connector.HeaderAttempt, r.Header.Get(connector.HeaderAttempt))
	call, ok := engineCall(w, r)
	if !ok {
		return
	}
	t, err := e.begin(r.Context(), MethodGenerate)
	if errors.Is(err, errUnavailable) {
		refuse(w, connector.HeaderAttempt, string(call.Attempt), errUnavailableServer)
		return
	}
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	s, refused := e.submit(call)
	if refused != nil {
		refuse(w, connector.HeaderAttempt, string(call.Attempt), refused)
		return
	}
	defer e.cancel(s)
	if e.end(r.Context(), t) != nil {
		panic(http.ErrAbortHandler)
	}
	e.stream(w, r, s)
}

// keepAlive is the interval of keep-alive comments on a stream without new tokens.
const keepAlive = 500 * time.Millisecond

var keepAliveComment = []byte(": waiting\n\n")

// mismatchedAttempt is the attempt identifier sent by the CrossAnswers fault.
const mismatchedAttempt = garnetworks.CallID("attempt-of-another-call")

// stream writes the response as server-sent events.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, s *sequence) {
	st := &stream{}
	st.takeFaults(&e.Faults)
	attempt := s.call.Attempt
	header := attempt
	if st.mismatchAt == 0 {
		header = mismatchedAttempt
	}
	w.Header().Set(connector.HeaderAttempt, string(header))
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	flush(w)
	ticker := time.NewTicker(keepAlive)
	defer ticker.Stop()
	var events eventEncoder
	for sent := 0; ; sent++ {
		if sent == st.truncateAt {
			panic(http.ErrAbortHandler)
		}
		if sent == st.mismatchAt {
			attempt = mismatchedAttempt
		}
		chunk, ok := e.nextChunk(w, r, s, ticker.C)
		if !ok || e.waitUnfrozen(r.Context()) != nil {
			panic(http.ErrAbortHandler)
		}
		if _, err := w.Write(events.encode(attempt, &chunk)); err != nil {
			return
		}
		if len(s.chunks) == 0 || chunk.End {
			flush(w)
		}
		if chunk.End {
			return
		}
	}
}

// nextChunk waits for the next chunk, sending keep-alive comments meanwhile. It returns
// false if the stream broke off.
func (e *Engine) nextChunk(w http.ResponseWriter, r *http.Request, s *sequence, tick <-chan time.Time) (garnetworks.Chunk, bool) {
	for {
		select {
		case <-r.Context().Done():
			return garnetworks.Chunk{}, false
		case <-e.fleet.ctx.Done():
			return garnetworks.Chunk{}, false
		case chunk, ok := <-s.chunks:
			return chunk, ok
		case <-tick:
			if e.waitUnfrozen(r.Context()) != nil {
				return garnetworks.Chunk{}, false
			}
			_, _ = w.Write(keepAliveComment)
			flush(w)
		}
	}
}

// eventEncoder encodes chunks as server-sent events into a reused buffer.
type eventEncoder struct {
	buffer  bytes.Buffer
	encoder *json.Encoder
	body    connector.EventBody
	load    garnetworks.EngineLoad
}

func (ew *eventEncoder) encode(attempt garnetworks.CallID, chunk *garnetworks.Chunk) []byte {
	if ew.encoder == nil {
		ew.encoder = json.NewEncoder(&ew.buffer)
	}
	ew.buffer.Reset()
	ew.buffer.WriteString("id: ")
	ew.buffer.WriteString(string(attempt))
	if chunk.End {
		ew.buffer.WriteString("\nevent: " + connector.EventEnd)
	}
	ew.buffer.WriteString("\ndata: ")
	ew.body = connector.EventBody{
		Index:        chunk.Index,
		Tokens:       chunk.Tokens,
		Text:         chunk.Text,
		FinishReason: chunk.FinishReason,
	}
	if load, ok := chunk.Load.Get(); ok {
		ew.load = load
		ew.body.Load = &ew.load
	}
	// Encode appends a newline; a second one ends the event.
	if err := ew.encoder.Encode(&ew.body); err != nil {
		panic(http.ErrAbortHandler)
	}
	ew.buffer.WriteByte('\n')
	return ew.buffer.Bytes()
}
