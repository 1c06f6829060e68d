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

// responseFormat is the JSON format of the responses of one endpoint.
type responseFormat struct {
	// object and chunkObject are the object types of complete responses and of stream chunks.
	object      string
	chunkObject string
	// idPrefix is the prefix of the response's id.
	idPrefix string
	// textPrefix and textSuffix enclose the text in the choice of a complete response.
	textPrefix string
	textSuffix string
	// chunkPrefix and chunkSuffix do so in a chunk of a stream. firstChoice is the choice of
	// an initial chunk without text, if there is one; lastChoice that of the last chunk, to
	// which the finish reason is added.
	chunkPrefix string
	chunkSuffix string
	firstChoice string
	lastChoice  string
}

var chatFormat = &responseFormat{
	object:      "chat.completion",
	chunkObject: "chat.completion.chunk",
	idPrefix:    "chatcmpl-",
	textPrefix:  `"message":{"role":"assistant","content":`,
	textSuffix:  `}`,
	chunkPrefix: `"delta":{"content":`,
	chunkSuffix: `},"finish_reason":null`,
	firstChoice: `"delta":{"role":"assistant","content":""},"finish_reason":null`,
	lastChoice:  `"delta":{}`,
}

var completionFormat = &responseFormat{
	object:      "text_completion",
	chunkObject: "text_completion",
	idPrefix:    "cmpl-",
	textPrefix:  `"text":`,
	chunkPrefix: `"text":`,
	chunkSuffix: `,"finish_reason":null`,
	lastChoice:  `"text":""`,
}

// modelResponse writes the response to a model call, as a stream or as a whole. It is a
// forwarder.Sink.
type modelResponse struct {
	*httpCall
	format  *responseFormat
	request *modelRequest
	// promptTokens is an estimate.
	promptTokens int
	// objectPrefix is the JSON of the response object up to its choices, eventPrefix that of
	// a stream event up to the text.
	objectPrefix []byte
	eventPrefix  []byte
	// text collects the text of a response that is not streamed.
	text []byte
	// buffer holds the stream events written since the last flush.
	buffer []byte
	// writeDeadline is the connection's current write deadline.
	writeDeadline time.Time
}

func newModelResponse(c *httpCall, format *responseFormat, request *modelRequest, promptTokens int) *modelResponse {
	m := &modelResponse{httpCall: c, format: format, request: request, promptTokens: promptTokens}
	object := format.object
	if request.Stream {
		object = format.chunkObject
	}
	m.objectPrefix = append(m.objectPrefix, `{"id":"`...)
	m.objectPrefix = append(m.objectPrefix, format.idPrefix...)
	m.objectPrefix = append(m.objectPrefix, c.id...)
	m.objectPrefix = append(m.objectPrefix, `","object":"`...)
	m.objectPrefix = append(m.objectPrefix, object...)
	m.objectPrefix = append(m.objectPrefix, `","created":`...)
	m.objectPrefix = strconv.AppendInt(m.objectPrefix, c.received.Unix(), 10)
	m.objectPrefix = append(m.objectPrefix, `,"model":`...)
	m.objectPrefix = appendString(m.objectPrefix, request.Model)
	m.objectPrefix = append(m.objectPrefix, `,"choices":[`...)
	m.eventPrefix = append(m.eventPrefix, eventStart...)
	m.eventPrefix = append(m.eventPrefix, m.objectPrefix...)
	m.eventPrefix = append(m.eventPrefix, choiceStart...)
	m.eventPrefix = append(m.eventPrefix, format.chunkPrefix...)
	return m
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

// Write adds a part of the response.
func (m *modelResponse) Write(part forwarder.Part) error {
	if !m.request.Stream {
		m.text = append(m.text, part.Text...)
		return nil
	}
	if !m.headerSent {
		m.startStream()
	}
	m.buffer = append(m.buffer, m.eventPrefix...)
	m.buffer = appendString(m.buffer, part.Text)
	m.buffer = append(m.buffer, m.format.chunkSuffix...)
	m.buffer = append(m.buffer, choicesEnd+eventEnd...)
	return nil
}

// Flush sends the buffered events.
func (m *modelResponse) Flush() error {
	if len(m.buffer) == 0 {
		return nil
	}
	m.extendWriteDeadline()
	_, err := m.w.Write(m.buffer)
	m.buffer = m.buffer[:0]
	if err != nil {
		return err
	}
	return m.control.Flush()
}

// Idle sends an SSE comment as a keep-alive, so that proxies and clients keep the connection
// open and writing to a dead one fails.
func (m *modelResponse) Idle() error {
	if !m.headerSent {
		return nil
	}
	m.buffer = append(m.buffer, streamPing...)
	return m.Flush()
}

// extendWriteDeadline sets the write deadline to WriteTimeout from now, at most once a quarter
// of WriteTimeout, so that not every flush sets a timer.
func (m *modelResponse) extendWriteDeadline() {
	limit := m.options.Limits.WriteTimeout
	now := time.Now()
	if m.writeDeadline.Sub(now) > limit*3/4 {
		return
	}
	m.writeDeadline = now.Add(limit)
	_ = m.control.SetWriteDeadline(m.writeDeadline)
}

// startStream sends the header of a stream. The outcome is only known at the end and follows as
// a trailer.
func (m *modelResponse) startStream() {
	h := m.w.Header()
	h.Set(headerContentType, "text/event-stream")
	h.Set("Cache-Control", "no-store")
	h.Set("Trailer", HeaderOutcome+", "+HeaderErrorKind)
	if m.closing() {
		h.Set("Connection", "close")
	}
	m.w.WriteHeader(http.StatusOK)
	m.headerSent = true
	if m.format.firstChoice != "" {
		m.appendChoice(m.format.firstChoice)
	}
}

// appendChoice appends an event with one choice to the buffer.
func (m *modelResponse) appendChoice(choice string) {
	m.buffer = append(m.buffer, eventStart...)
	m.buffer = append(m.buffer, m.objectPrefix...)
	m.buffer = append(m.buffer, choiceStart...)
	m.buffer = append(m.buffer, choice...)
	m.buffer = append(m.buffer, choicesEnd+eventEnd...)
}

// endResponse completes the response or ends it with an error. It returns the call's error.
func (m *modelResponse) endResponse(summary forwarder.Summary, err error) error {
	if !m.request.Stream {
		if err == nil {
			m.writeFull(summary)
		}
		return err
	}
	if err != nil && !m.headerSent {
		return err
	}
	if !m.headerSent {
		m.startStream()
	}
	if err != nil {
		m.endWithError(err)
		return err
	}
	m.appendChoice(m.format.lastChoice + `,"finish_reason":` + finishReason(summary))
	if m.request.IncludeUsage {
		m.buffer = append(m.buffer, eventStart...)
		m.buffer = append(m.buffer, m.objectPrefix...)
		m.buffer = append(m.buffer, `],"usage":`...)
		m.buffer = m.appendUsage(m.buffer, summary)
		m.buffer = append(m.buffer, "}"+eventEnd...)
	}
	m.buffer = append(m.buffer, streamEnd...)
	// A failed write means that the connection is lost; the caller then misses the end
	// marker.
	_ = m.Flush()
	m.w.Header().Set(HeaderOutcome, string(garnetworks.OutcomeCompleted))
	return nil
}

// endWithError ends a stream with an error event, since the response is incomplete (rule H2).
func (m *modelResponse) endWithError(err error) {
	problem := NewProblem(m.id, err)
	body, _ := json.Marshal(problem)
	m.buffer = append(m.buffer, errorStart...)
	m.buffer = append(m.buffer, body...)
	m.buffer = append(m.buffer, eventEnd...)
	_ = m.Flush()
	h := m.w.Header()
	h.Set(HeaderOutcome, string(problem.Outcome))
	h.Set(HeaderErrorKind, string(problem.Kind))
}

// writeFull sends the complete response to a request without streaming.
func (m *modelResponse) writeFull(summary forwarder.Summary) {
	body := append([]byte(nil), m.objectPrefix...)
	body = append(body, choiceStart...)
	body = append(body, m.format.textPrefix...)
	body = appendString(body, m.text)
	body = append(body, m.format.textSuffix...)
	body = append(body, `,"finish_reason":`...)
	body = append(body, finishReason(summary)...)
	body = append(body, `}],"usage":`...)
	body = m.appendUsage(body, summary)
	body = append(body, '}')
	h := m.w.Header()
	h.Set(headerContentType, "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	h.Set(HeaderOutcome, string(garnetworks.OutcomeCompleted))
	m.setWriteDeadline()
	m.headerSent = true
	_, _ = m.w.Write(body)
}

func finishReason(summary forwarder.Summary) string {
	return string(appendString(nil, summary.FinishReason))
}

func (m *modelResponse) appendUsage(dst []byte, summary forwarder.Summary) []byte {
	dst = append(dst, `{"prompt_tokens":`...)
	dst = strconv.AppendInt(dst, int64(m.promptTokens), 10)
	dst = append(dst, `,"completion_tokens":`...)
	dst = strconv.AppendInt(dst, int64(summary.Tokens), 10)
	dst = append(dst, `,"total_tokens":`...)
	dst = strconv.AppendInt(dst, int64(m.promptTokens+summary.Tokens), 10)
	return append(dst, '}')
}

const hexDigits = "0123456789abcdef"

// appendString appends text as a JSON string, with invalid UTF-8 replaced. Unlike encoding/json
// it does not allocate for each token.
func appendString[T string | []byte](dst []byte, text T) []byte {
	dst = append(dst, '"')
	start := 0
	for i := 0; i < len(text); {
		b := text[i]
		if b >= utf8.RuneSelf {
			size := runeSize(text, i)
			if size == 0 {
				dst = append(dst, text[start:i]...)
				dst = append(dst, `\ufffd`...)
				i++
				start = i
				continue
			}
			i += size
			continue
		}
		if b >= ' ' && b != '"' && b != '\\' {
			i++
			continue
		}
		dst = append(dst, text[start:i]...)
		dst = appendEscape(dst, b)
		i++
		start = i
	}
	dst = append(dst, text[start:]...)
	return append(dst, '"')
}

// runeSize returns the length in bytes of the rune at i, or 0 if it is invalid.
func runeSize[T string | []byte](text T, i int) int {
	end := min(i+utf8.UTFMax, len(text))
	r, size := utf8.DecodeRuneInString(string(text[i:end]))
	if r == utf8.RuneError && size <= 1 {
		return 0
	}
	return size
}

func appendEscape(dst []byte, b byte) []byte {
	switch b {
	case '"', '\\':
		return append(dst, '\\', b)
	case '\n':
		return append(dst, `\n`...)
	case '\r':
		return append(dst, `\r`...)
	case '\t':
		return append(dst, `\t`...)
	}
	dst = append(dst, `\u00`...)
	return append(dst, hexDigits[b>>4], hexDigits[b&0xf])
}

// modelList is the response to GET /v1/models.
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
	c.w.Header().Set(headerContentType, "application/json")
	c.w.Header().Set(HeaderOutcome, string(garnetworks.OutcomeCompleted))
	c.setWriteDeadline()
	c.headerSent = true
	_, _ = c.w.Write(body)
	return nil
}
