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

// Headers of answers, and trailers of streams.
const (
	HeaderOutcome     = "Garnet-Outcome"
	HeaderCallID      = "Garnet-Call-Id"
	HeaderErrorKind   = "Garnet-Error-Kind"
	HeaderReplayed    = "Garnet-Replayed"
	HeaderKey         = "Idempotency-Key"
	headerRetryAfter  = "Retry-After"
	headerContentType = "Content-Type"
)

// ProblemType begins the type of problem documents; the kind follows.
const ProblemType = "urn:garnetworks:problem:"

// Problem is a problem document (RFC 9457).
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	// Instance names the call.
	Instance string              `json:"instance,omitempty"`
	Kind     garnetworks.Kind    `json:"kind"`
	Outcome  garnetworks.Outcome `json:"outcome"`
	// Retry says whether the same call may be sent again.
	Retry bool `json:"retry"`
	// RetryAfter is in seconds; 0 means that no time is named.
	RetryAfter int `json:"retry-after,omitempty"`
	// Error repeats title and kind in the form that OpenAI clients read.
	Error ProblemError `json:"error"`
}

// ProblemError is the error member that OpenAI clients read.
type ProblemError struct {
	Message string           `json:"message"`
	Type    garnetworks.Kind `json:"type"`
	Code    garnetworks.Kind `json:"code"`
}

// NewProblem returns the problem document of an error. The cause of an error is
// not shown to callers.
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

// wholeSeconds rounds up, so that nobody comes back too early.
func ceilSeconds(d time.Duration) int { return int(math.Ceil(d.Seconds())) }

// writeProblem answers with the error's problem document (rule H1).
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

// refuse answers a request that became no call.
func (s *Server) refuse(w http.ResponseWriter, err error) {
	if s.closing() {
		w.Header().Set("Connection", "close")
	}
	writeProblem(w, "", err)
}
