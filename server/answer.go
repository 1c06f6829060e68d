package server

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
	"unicode/utf8"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/forwarder"
)

// shape is how the answers of one kind of request look.
type shape struct {
	// object and chunkObject name the objects of whole answers and of streams.
	object      string
	chunkObject string
	// idPrefix begins the answer's id.
	idPrefix string
	// Whole answers: what stands before and after the text in the choice.
	textOpen  string
	textClose string
	// Streams: the same for a chunk, the first chunk's choice, and the choice of
	// the last one, which carries the finish reason.
	chunkOpen  string
	chunkClose string
	first      string
	last       string
}

var chatShape = &shape{
	object:      "chat.completion",
	chunkObject: "chat.completion.chunk",
	idPrefix:    "chatcmpl-",
	textOpen:    `"message":{"role":"assistant","content":`,
	textClose:   `}`,
	chunkOpen:   `"delta":{"content":`,
	chunkClose:  `},"finish_reason":null`,
	first:       `"delta":{"role":"assistant","content":""},"finish_reason":null`,
	last:        `"delta":{}`,
}

var completionShape = &shape{
	object:      "text_completion",
	chunkObject: "text_completion",
	idPrefix:    "cmpl-",
	textOpen:    `"text":`,
	chunkOpen:   `"text":`,
	chunkClose:  `,"finish_reason":null`,
	last:        `"text":""`,
}

// answer writes the answer of a call to a model: as a stream, or at its end. It
// is a forwarder.Sink.
type answer struct {
	*httpCall
	shape   *shape
	request *modelRequest
	// promptTokens is an estimate.
	promptTokens int
	// head is the answer's object up to its choices, in JSON; eventHead the same
	// of a stream's chunk, up to the text.
	head      []byte
	eventHead []byte
	// text is the text so far of an answer that is not answered.
	text []byte
	// buffer is what was written to a stream since the last flush.
	buffer []byte
	// deadline is when the caller must have taken what was written.
	deadline time.Time
}

func newAnswer(c *httpCall, shape *shape, request *modelRequest, promptTokens int) *answer {
	a := &answer{httpCall: c, shape: shape, request: request, promptTokens: promptTokens}
	object := shape.object
	if request.Stream {
		object = shape.chunkObject
	}
	a.head = append(a.head, `{"id":"`...)
	a.head = append(a.head, shape.idPrefix...)
	a.head = append(a.head, c.id...)
	a.head = append(a.head, `","object":"`...)
	a.head = append(a.head, object...)
	a.head = append(a.head, `","created":`...)
	a.head = strconv.AppendInt(a.head, c.received.Unix(), 10)
	a.head = append(a.head, `,"model":`...)
	a.head = appendString(a.head, request.Model)
	a.head = append(a.head, `,"choices":[`...)
	a.eventHead = append(a.eventHead, eventStart...)
	a.eventHead = append(a.eventHead, a.head...)
	a.eventHead = append(a.eventHead, choiceStart...)
	a.eventHead = append(a.eventHead, shape.chunkOpen...)
	return a
}

const (
	eventStart  = "data: "
	eventEnd    = "\n\n"
	choiceStart = `{"index":0,`
	choicesEnd  = `}]}`
	streamEnd   = "data: [DONE]\n\n"
	streamPing  = ": ping\n\n"
	errorStart  = "event: error\ndata: "
)

// Write takes a part of the answer.
func (a *answer) Write(part forwarder.Part) error {
	if !a.request.Stream {
		a.text = append(a.text, part.Text...)
		return nil
	}
	if !a.answered {
		a.start()
	}
	a.buffer = append(a.buffer, a.eventHead...)
	a.buffer = appendString(a.buffer, part.Text)
	a.buffer = append(a.buffer, a.shape.chunkClose...)
	a.buffer = append(a.buffer, choicesEnd+eventEnd...)
	return nil
}

// Flush sends the events that were written.
func (a *answer) Flush() error {
	if len(a.buffer) == 0 {
		return nil
	}
	a.extendDeadline()
	_, err := a.w.Write(a.buffer)
	a.buffer = a.buffer[:0]
	if err != nil {
		return err
	}
	return a.control.Flush()
}

// Idle sends a comment, so that a caller and all between see that the
// connection lives, and a dead one fails.
func (a *answer) Idle() error {
	if !a.answered {
		return nil
	}
	a.buffer = append(a.buffer, streamPing...)
	return a.Flush()
}

// extendDeadline gives the caller WriteTime from now on, in steps, so that not
// each token sets a timer.
func (a *answer) extendDeadline() {
	limit := a.options.Limits.WriteTime
	now := time.Now()
	if a.deadline.Sub(now) > limit*3/4 {
		return
	}
	a.deadline = now.Add(limit)
	_ = a.control.SetWriteDeadline(a.deadline)
}

// start sends the header of a stream. The outcome is known only at the end, so it
// comes as a trailer.
func (a *answer) start() {
	h := a.w.Header()
	h.Set(headerType, "text/event-stream")
	h.Set("Cache-Control", "no-store")
	h.Set("Trailer", HeaderOutcome+", "+HeaderErrorKind)
	if a.closing() {
		h.Set("Connection", "close")
	}
	a.w.WriteHeader(http.StatusOK)
	a.answered = true
	if a.shape.first != "" {
		a.event(a.shape.first)
	}
}

// event writes an event with one choice.
func (a *answer) event(choice string) {
	a.buffer = append(a.buffer, eventStart...)
	a.buffer = append(a.buffer, a.head...)
	a.buffer = append(a.buffer, choiceStart...)
	a.buffer = append(a.buffer, choice...)
	a.buffer = append(a.buffer, choicesEnd+eventEnd...)
}

// end ends the answer, whole or not. It returns the call's error.
func (a *answer) end(summary forwarder.Summary, err error) error {
	if !a.request.Stream {
		if err == nil {
			a.writeWhole(summary)
		}
		return err
	}
	if err != nil && !a.answered {
		return err
	}
	if !a.answered {
		a.start()
	}
	if err != nil {
		a.endBroken(err)
		return err
	}
	a.event(a.shape.last + `,"finish_reason":` + finishReason(summary))
	if a.request.IncludeUsage {
		a.buffer = append(a.buffer, eventStart...)
		a.buffer = append(a.buffer, a.head...)
		a.buffer = append(a.buffer, `],"usage":`...)
		a.buffer = a.appendUsage(a.buffer, summary)
		a.buffer = append(a.buffer, "}"+eventEnd...)
	}
	a.buffer = append(a.buffer, streamEnd...)
	// What can't be sent now is lost with the caller's connection; the end
	// marker is then missing at the caller.
	_ = a.Flush()
	a.w.Header().Set(HeaderOutcome, string(garnetworks.OutcomeCompleted))
	return nil
}

// endBroken tells the caller that the answer is not whole (rule H2).
func (a *answer) endBroken(err error) {
	problem := NewProblem(a.id, err)
	body, _ := json.Marshal(problem)
	a.buffer = append(a.buffer, errorStart...)
	a.buffer = append(a.buffer, body...)
	a.buffer = append(a.buffer, eventEnd...)
	_ = a.Flush()
	h := a.w.Header()
	h.Set(HeaderOutcome, string(problem.Outcome))
	h.Set(HeaderErrorKind, string(problem.Kind))
}

// writeWhole answers a request without a stream.
func (a *answer) writeWhole(summary forwarder.Summary) {
	body := append([]byte(nil), a.head...)
	body = append(body, choiceStart...)
	body = append(body, a.shape.textOpen...)
	body = appendString(body, a.text)
	body = append(body, a.shape.textClose...)
	body = append(body, `,"finish_reason":`...)
	body = append(body, finishReason(summary)...)
	body = append(body, `}],"usage":`...)
	body = a.appendUsage(body, summary)
	body = append(body, '}')
	h := a.w.Header()
	h.Set(headerType, "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	h.Set(HeaderOutcome, string(garnetworks.OutcomeCompleted))
	a.allowWrite()
	a.answered = true
	_, _ = a.w.Write(body)
}

func finishReason(summary forwarder.Summary) string {
	return string(appendString(nil, summary.FinishReason))
}

func (a *answer) appendUsage(into []byte, summary forwarder.Summary) []byte {
	into = append(into, `{"prompt_tokens":`...)
	into = strconv.AppendInt(into, int64(a.promptTokens), 10)
	into = append(into, `,"completion_tokens":`...)
	into = strconv.AppendInt(into, int64(summary.Tokens), 10)
	into = append(into, `,"total_tokens":`...)
	into = strconv.AppendInt(into, int64(a.promptTokens+summary.Tokens), 10)
	return append(into, '}')
}

const hexDigits = "0123456789abcdef"

// appendString appends text as a JSON string. It allocates nothing, which
// encoding/json does for each token.
func appendString[T string | []byte](into []byte, text T) []byte {
	into = append(into, '"')
	begin := 0
	for i := 0; i < len(text); {
		b := text[i]
		if b >= utf8.RuneSelf {
			size := runeSize(text, i)
			if size == 0 {
				into = append(into, text[begin:i]...)
				into = append(into, `\ufffd`...)
				i++
				begin = i
				continue
			}
			i += size
			continue
		}
		if b >= ' ' && b != '"' && b != '\\' {
			i++
			continue
		}
		into = append(into, text[begin:i]...)
		into = appendEscape(into, b)
		i++
		begin = i
	}
	into = append(into, text[begin:]...)
	return append(into, '"')
}

// runeSize returns the length of the rune at i, or 0 if it is not valid.
func runeSize[T string | []byte](text T, i int) int {
	end := min(i+utf8.UTFMax, len(text))
	r, size := utf8.DecodeRuneInString(string(text[i:end]))
	if r == utf8.RuneError && size <= 1 {
		return 0
	}
	return size
}

func appendEscape(into []byte, b byte) []byte {
	switch b {
	case '"', '\\':
		return append(into, '\\', b)
	case '\n':
		return append(into, `\n`...)
	case '\r':
		return append(into, `\r`...)
	case '\t':
		return append(into, `\t`...)
	}
	into = append(into, `\u00`...)
	return append(into, hexDigits[b>>4], hexDigits[b&0xf])
}

// modelList is the answer of GET /v1/models.
type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

// serveModels lists the workspace's models.
func (s *Server) serveModels(w http.ResponseWriter, r *http.Request) {
	s.serve(w, r, (*httpCall).listModels)
}

func (c *httpCall) listModels() error {
	list := modelList{Object: "list", Data: []modelItem{}}
	for _, name := range c.catalog.modelNames(c.workspace) {
		list.Data = append(list.Data, modelItem{
			ID:      name,
			Object:  "model",
			Created: c.catalog.accepted.At.Unix(),
			OwnedBy: c.catalog.accepted.Manifest.Site.Name,
		})
	}
	body, err := json.Marshal(list)
	if err != nil {
		return garnetworks.WrapError(garnetworks.KindInternal, err, "the list can't be written")
	}
	c.w.Header().Set(headerType, "application/json")
	c.w.Header().Set(HeaderOutcome, string(garnetworks.OutcomeCompleted))
	c.allowWrite()
	c.answered = true
	_, _ = c.w.Write(body)
	return nil
}
