package server

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/garnetworks/garnetworks"
	"github.com/pkg/errors"
)

// Headers of responses; some are trailers of streams.
const (
	HeaderOutcome        = "Garnet-Outcome"
	HeaderCallID         = "Garnet-Call-Id"
	HeaderErrorKind      = "Garnet-Error-Kind"
	HeaderReplayed       = "Garnet-Replayed"
	HeaderIdempotencyKey = "Idempotency-Key"
	headerRetryAfter     = "Retry-After"
	headerContentType    = "Content-Type"
)

// ProblemType is the prefix of the type of problem documents; the error's kind follows.
const ProblemType = "urn:garnetworks:problem:"

// Problem is a problem document (RFC 9457).
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	// Instance identifies the call.
	Instance string              `json:"instance,omitempty"`
	Kind     garnetworks.Kind    `json:"kind"`
	Outcome  garnetworks.Outcome `json:"outcome"`
	// Retry says whether the same call may be sent again.
	Retry bool `json:"retry"`
	// RetryAfter is in seconds; 0 means unspecified.
	RetryAfter int `json:"retry-after,omitempty"`
	// Error repeats the title, detail and kind in the format of OpenAI clients.
	Error ProblemError `json:"error"`
}

// ProblemError is the error object that OpenAI clients parse.
type ProblemError struct {
	Message string           `json:"message"`
	Type    garnetworks.Kind `json:"type"`
	Code    garnetworks.Kind `json:"code"`
}

// NewProblem returns the problem document for an error. It does not contain the error's cause.
func NewProblem(call garnetworks.CallID, err error) Problem {
	response := garnetworks.ErrorResponseFor(garnetworks.KindOf(err))
	p := Problem{
		Type:    ProblemType + string(response.Kind),
		Title:   response.Title,
		Status:  response.Status,
		Kind:    response.Kind,
		Outcome: response.Outcome,
		Retry:   response.Retry,
	}
	retryAfter := response.RetryAfter
	var e *garnetworks.Error
	if errors.As(err, &e) {
		p.Detail = e.Detail
		if e.RetryAfter > 0 {
			retryAfter = e.RetryAfter
		}
	}
	if call != "" {
		p.Instance = "urn:garnetworks:call:" + string(call)
	}
	p.RetryAfter = ceilSeconds(retryAfter)
	p.Error = ProblemError{Message: p.Title, Type: p.Kind, Code: p.Kind}
	if p.Detail != "" {
		p.Error.Message += ": " + p.Detail
	}
	return p
}

// ceilSeconds rounds up to whole seconds, so that no caller retries too early.
func ceilSeconds(d time.Duration) int { return int(math.Ceil(d.Seconds())) }

// writeProblem writes the problem document for err as the response (rule H1).
func writeProblem(w http.ResponseWriter, call garnetworks.CallID, err error) {
	p := NewProblem(call, err)
	body, _ := json.Marshal(p)
	h := w.Header()
	h.Set(headerContentType, "application/problem+json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	h.Set(HeaderOutcome, string(p.Outcome))
	h.Set(HeaderErrorKind, string(p.Kind))
	if p.RetryAfter > 0 {
		h.Set(headerRetryAfter, strconv.Itoa(p.RetryAfter))
	}
	if p.Kind == garnetworks.KindUnauthenticated {
		h.Set("WWW-Authenticate", "Bearer")
	}
	w.WriteHeader(p.Status)
	_, _ = w.Write(body)
}

// refuse writes an error for a request that matches no route.
func (s *Server) refuse(w http.ResponseWriter, err error) {
	if s.closing() {
		w.Header().Set("Connection", "close")
	}
	writeProblem(w, "", err)
}
