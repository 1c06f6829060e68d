package connector

import (
	"bytes"
	"context"
	"net/http"
	"strings"

	"github.com/pkg/errors"

	"github.com/garnetworks/garnetworks"
)

// ServiceCaller calls plain services over HTTP/1.1. It implements
// garnetworks.ServiceCaller.
type ServiceCaller struct{ *pool }

// NewServiceCaller returns a caller that opens a connection for each call. A call that may
// not be repeated must not be written to a stalled pooled connection: its outcome would be
// unknown although a new connection would have worked.
func NewServiceCaller(options Options) *ServiceCaller {
	options.DisableReuse = true
	return &ServiceCaller{newPool(options)}
}

// Call implements garnetworks.ServiceCaller. Only the context's deadline bounds the call,
// because a plain service shows no progress before its response.
func (sc *ServiceCaller) Call(ctx context.Context, address string, call *garnetworks.ServiceCall) (garnetworks.ServiceResponse, error) {
	request, err := serviceRequest(address, call)
	if err != nil {
		return garnetworks.ServiceResponse{}, &garnetworks.AttemptError{Phase: garnetworks.PhaseConnect, Cause: err}
	}
	response, t, err := sc.send(ctx, address, request, bytes.NewReader(call.Body), len(call.Body))
	if err != nil {
		return garnetworks.ServiceResponse{}, &garnetworks.AttemptError{Phase: t.failurePhase(), Cause: err}
	}
	defer response.Body.Close()
	return sc.read(response, call.ID)
}

func (sc *ServiceCaller) read(response *http.Response, id garnetworks.CallID) (garnetworks.ServiceResponse, error) {
	if failure := checkEcho(response, HeaderCall, string(id)); failure != nil {
		return garnetworks.ServiceResponse{}, failure
	}
	if isRefusal(response) {
		return garnetworks.ServiceResponse{}, refusalError(response)
	}
	body, err := readWhole(response, sc.options.MaxResponseBytes)
	if err != nil {
		return garnetworks.ServiceResponse{}, &garnetworks.AttemptError{Phase: garnetworks.PhaseBody, Cause: err}
	}
	return garnetworks.ServiceResponse{
		ID:          id,
		Status:      response.StatusCode,
		ContentType: response.Header.Get("Content-Type"),
		Body:        body,
	}, nil
}

func serviceRequest(address string, call *garnetworks.ServiceCall) (*http.Request, error) {
	// Without the slash, the path would extend the address and could name another host.
	if !strings.HasPrefix(call.Path, "/") {
		return nil, errors.Errorf("path %.64q does not begin with a slash", call.Path)
	}
	request, err := http.NewRequest(call.Method, "http://"+address+call.Path, nil)
	if err != nil {
		return nil, errors.Wrap(err, "can't create request")
	}
	h := request.Header
	h.Set(HeaderCall, string(call.ID))
	h.Set(HeaderWorkspace, string(call.Workspace))
	if call.ContentType != "" {
		h.Set("Content-Type", call.ContentType)
	}
	if call.IdempotencyKey != "" {
		h.Set(HeaderIdempotencyKey, call.IdempotencyKey)
	}
	return request, nil
}
