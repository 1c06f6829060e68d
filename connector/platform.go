package connector

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/garnetworks/garnetworks"
)

// PlatformTimeout bounds a call to the platform or an order to an engine that has no
// earlier deadline, so that a stalled connection can't block the caller's loop.
const PlatformTimeout = 5 * time.Second

// client makes calls whose responses are read as a whole.
type client struct {
	*pool
	// unavailable is the error kind of a failed call that had no effect.
	unavailable garnetworks.Kind
}

// apiRequest describes one call of a client.
type apiRequest struct {
	address string
	method  string
	path    string
	query   url.Values
	header  http.Header
	body    []byte
	// writes reports whether the call has an effect (rule C5).
	writes bool
	// timeout replaces PlatformTimeout if it is not 0.
	timeout time.Duration
}

// target returns the URL of the call. The address is either an IP address with port or a
// base URL.
func (r apiRequest) target() (*url.URL, error) {
	base := r.address
	if !strings.Contains(base, "://") {
		base = "http://" + base
	}
	target, err := url.Parse(base)
	if err != nil {
		return nil, err
	}
	target = target.JoinPath(r.path)
	target.RawQuery = r.query.Encode()
	return target, nil
}

// apiResponse is a complete response with status 200.
type apiResponse struct {
	header http.Header
	body   []byte
}

// do makes the call and converts failures to errors with a kind.
func (c client) do(ctx context.Context, r apiRequest) (apiResponse, error) {
	if r.timeout == 0 {
		r.timeout = PlatformTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, r.timeout)
	defer cancel()
	target, err := r.target()
	if err != nil {
		return apiResponse{}, garnetworks.WrapError(c.unavailable, err, "the address can't be used")
	}
	request, err := http.NewRequest(r.method, target.String(), nil)
	if err != nil {
		return apiResponse{}, garnetworks.WrapError(c.unavailable, err, "the address can't be used")
	}
	if r.header != nil {
		request.Header = r.header
	}
	response, t, err := c.send(ctx, r.address, request, bytes.NewReader(r.body), len(r.body))
	if err != nil {
		phase := t.failurePhase()
		c.closeIdle(r.address)
		return apiResponse{}, c.incompleteError(r, phase, err)
	}
	defer response.Body.Close()
	body, err := readWhole(response, c.options.MaxResponseBytes)
	if err != nil {
		c.closeIdle(r.address)
		return apiResponse{}, c.incompleteError(r, garnetworks.PhaseBody, err)
	}
	if response.StatusCode == http.StatusOK {
		return apiResponse{response.Header, body}, nil
	}
	return apiResponse{header: response.Header}, c.responseError(r, response.StatusCode, body)
}

// incompleteError returns the error of a call that got no complete response.
func (c client) incompleteError(r apiRequest, phase garnetworks.CallPhase, err error) error {
	switch {
	case phase == garnetworks.PhaseConnect:
		return garnetworks.WrapError(c.unavailable, err, "not sent")
	case r.writes:
		return garnetworks.WrapError(garnetworks.KindResponseLost, err, "the answer was lost in phase "+string(phase))
	}
	return garnetworks.WrapError(c.unavailable, err, "no answer in phase "+string(phase))
}

// responseError converts an error response. One without a known kind is treated as no
// response, because it may come from a proxy instead of the server.
func (c client) responseError(r apiRequest, status int, body []byte) error {
	var p Problem
	if json.Unmarshal(body, &p) != nil || !p.known() {
		return c.incompleteError(r, garnetworks.PhaseHeaders, errors.Errorf("status %d without a known error kind", status))
	}
	kind := p.Kind
	if kind == garnetworks.KindUnreachable || kind == garnetworks.KindInternal {
		kind = c.unavailable
	}
	return &garnetworks.Error{Kind: kind, Detail: p.Detail, RetryAfter: p.retryAfter()}
}

var (
	errNoEndMarker = errors.New("response body has neither a length nor chunked encoding")
	errTooLarge    = errors.New("response too large")
)

// readWhole reads a body of at most limit bytes that has an end marker (rule C4).
func readWhole(response *http.Response, limit int64) ([]byte, error) {
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		return nil, errNoEndMarker
	}
	if response.ContentLength > limit {
		return nil, errTooLarge
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(body)) > limit {
		return nil, errTooLarge
	}
	return body, nil
}

// maxProblemBytes bounds the error response that is read.
const maxProblemBytes = 16 << 10

// readProblem reads an error response. Its kind is KindInternal if the response has no
// known kind.
func readProblem(response *http.Response) *garnetworks.Error {
	body, _ := io.ReadAll(io.LimitReader(response.Body, maxProblemBytes))
	var p Problem
	if json.Unmarshal(body, &p) != nil || !p.known() {
		p = Problem{Kind: garnetworks.KindInternal}
	}
	return &garnetworks.Error{
		Kind:       p.Kind,
		Detail:     fmt.Sprintf("status %d: %.512s", response.StatusCode, p.Detail),
		RetryAfter: p.retryAfter(),
	}
}

// known reports whether the problem has one of the listed error kinds.
func (p Problem) known() bool { return garnetworks.ErrorResponseFor(p.Kind).Kind == p.Kind }

func (p Problem) retryAfter() time.Duration {
	return min(time.Duration(max(0, p.RetryAfterMillis))*time.Millisecond, maxRetryAfter)
}

// maxRetryAfter bounds the retry delay that a server can request.
const maxRetryAfter = time.Hour

// getJSON makes a call without effect and decodes its response.
func getJSON[T any](ctx context.Context, c client, r apiRequest) (T, error) {
	r.method = http.MethodGet
	return doJSON[T](ctx, c, r)
}

// postJSON makes a call with an effect and decodes its response.
func postJSON[T any](ctx context.Context, c client, r apiRequest, body any) (T, error) {
	encoded, err := json.Marshal(body)
	if err != nil {
		var none T
		return none, garnetworks.WrapError(garnetworks.KindInvalidRequest, err, "the request can't be encoded")
	}
	r.method, r.body, r.writes = http.MethodPost, encoded, true
	r.header = http.Header{"Content-Type": {"application/json"}}
	return doJSON[T](ctx, c, r)
}

func doJSON[T any](ctx context.Context, c client, r apiRequest) (T, error) {
	var result T
	resp, err := c.do(ctx, r)
	if err != nil {
		return result, err
	}
	if err := json.Unmarshal(resp.body, &result); err != nil {
		return result, c.incompleteError(r, garnetworks.PhaseBody, err)
	}
	return result, nil
}

// ObjectAPI calls the platform's object API. It implements garnetworks.ObjectAPI.
type ObjectAPI struct {
	client
	address string
}

// NewObjectAPI returns an adapter for the object API at address, an IP address with port
// or a base URL.
func NewObjectAPI(address string, options Options) *ObjectAPI {
	return &ObjectAPI{client{newPool(options), garnetworks.KindObjectAPIDown}, address}
}

// Get implements garnetworks.ObjectAPI.
func (o *ObjectAPI) Get(ctx context.Context, key string) (garnetworks.Object, error) {
	r := apiRequest{address: o.address, method: http.MethodGet, path: PathObject, query: url.Values{"key": {key}}}
	resp, err := o.do(ctx, r)
	if garnetworks.IsKind(err, garnetworks.KindNotFound) {
		return garnetworks.Object{Revision: absentRevision(resp)}, err
	}
	if err != nil {
		return garnetworks.Object{}, err
	}
	revision, err := o.revision(r, resp)
	if err != nil {
		return garnetworks.Object{}, err
	}
	return garnetworks.Object{Key: key, Value: resp.body, Revision: revision}, nil
}

// absentRevision returns the era that the response to a read of an absent object names, as a revision
// without a number; 0 if it names none.
func absentRevision(resp apiResponse) garnetworks.Revision {
	n, err := strconv.ParseUint(resp.header.Get(HeaderRevision), 10, 64)
	if err != nil {
		return 0
	}
	return garnetworks.NewRevision(garnetworks.Revision(n).Era(), 0)
}

// revision returns the response's revision. Revision 0 stands for an absent object, so it
// is invalid here.
func (o *ObjectAPI) revision(r apiRequest, resp apiResponse) (garnetworks.Revision, error) {
	n, err := strconv.ParseUint(resp.header.Get(HeaderRevision), 10, 64)
	if err != nil || n == 0 {
		return 0, o.incompleteError(r, garnetworks.PhaseHeaders, errors.New("response has no revision"))
	}
	return garnetworks.Revision(n), nil
}

// Put implements garnetworks.ObjectAPI.
func (o *ObjectAPI) Put(ctx context.Context, key string, value []byte, after garnetworks.Revision) (garnetworks.Revision, error) {
	if len(value) > garnetworks.MaxObjectBytes {
		return 0, garnetworks.Errorf(garnetworks.KindTooLarge, "object %q has %d bytes; %d are allowed", key, len(value), garnetworks.MaxObjectBytes)
	}
	r := o.write(http.MethodPut, key, after)
	r.body = value
	resp, err := o.do(ctx, r)
	if err != nil {
		return 0, err
	}
	return o.revision(r, resp)
}

func (o *ObjectAPI) write(method, key string, after garnetworks.Revision) apiRequest {
	header := make(http.Header)
	header.Set(HeaderRevision, strconv.FormatUint(uint64(after), 10))
	return apiRequest{
		address: o.address,
		method:  method,
		path:    PathObject,
		query:   url.Values{"key": {key}},
		header:  header,
		writes:  true,
	}
}

// Delete implements garnetworks.ObjectAPI.
func (o *ObjectAPI) Delete(ctx context.Context, key string, after garnetworks.Revision) error {
	_, err := o.do(ctx, o.write(http.MethodDelete, key, after))
	return err
}

// List implements garnetworks.ObjectAPI.
func (o *ObjectAPI) List(ctx context.Context, prefix string) ([]garnetworks.Object, garnetworks.Revision, error) {
	r := apiRequest{address: o.address, path: PathObjects, query: url.Values{"prefix": {prefix}}}
	body, err := getJSON[ObjectsBody](ctx, o.client, r)
	if err != nil {
		return nil, 0, err
	}
	return body.objects(), body.Revision, nil
}

// Watch implements garnetworks.ObjectAPI.
func (o *ObjectAPI) Watch(ctx context.Context, prefix string, after garnetworks.Revision, wait time.Duration) ([]garnetworks.Object, garnetworks.Revision, error) {
	query := url.Values{
		"prefix":  {prefix},
		"after":   {strconv.FormatUint(uint64(after), 10)},
		"wait-ms": {strconv.FormatInt(max(0, wait.Milliseconds()), 10)},
	}
	r := apiRequest{address: o.address, path: PathWatch, query: query, timeout: wait + PlatformTimeout}
	body, err := getJSON[ObjectsBody](ctx, o.client, r)
	if err != nil {
		return nil, 0, err
	}
	return body.objects(), body.Revision, nil
}

func (b ObjectsBody) objects() []garnetworks.Object {
	objects := make([]garnetworks.Object, 0, len(b.Objects))
	for _, o := range b.Objects {
		objects = append(objects, garnetworks.Object(o))
	}
	return objects
}

// InstanceList calls the platform's instance list. It implements garnetworks.InstanceList.
type InstanceList struct {
	client
	address string
}

// NewInstanceList returns an adapter for the instance list at address, an IP address with
// port or a base URL.
func NewInstanceList(address string, options Options) *InstanceList {
	return &InstanceList{client{newPool(options), garnetworks.KindUnreachable}, address}
}

// Instances implements garnetworks.InstanceList.
func (l *InstanceList) Instances(ctx context.Context, zone garnetworks.ZoneID) ([]garnetworks.ListedInstance, error) {
	r := apiRequest{address: l.address, path: PathInstances, query: url.Values{"zone": {string(zone)}}}
	return getJSON[[]garnetworks.ListedInstance](ctx, l.client, r)
}

// PowerSwitch calls the platform's power switch. It implements garnetworks.PowerSwitch.
type PowerSwitch struct {
	client
	address string
}

// NewPowerSwitch returns an adapter for the power switch at address, an IP address with
// port or a base URL.
func NewPowerSwitch(address string, options Options) *PowerSwitch {
	return &PowerSwitch{client{newPool(options), garnetworks.KindUnreachable}, address}
}

// SetPower implements garnetworks.PowerSwitch.
func (p *PowerSwitch) SetPower(ctx context.Context, order garnetworks.PowerOrder) error {
	_, err := postJSON[struct{}](ctx, p.client, apiRequest{address: p.address, path: PathPower}, order)
	return err
}

// Power implements garnetworks.PowerSwitch.
func (p *PowerSwitch) Power(ctx context.Context, instance garnetworks.InstanceID) (garnetworks.PowerState, error) {
	r := apiRequest{address: p.address, path: PathPower, query: url.Values{"instance": {string(instance)}}}
	body, err := getJSON[PowerBody](ctx, p.client, r)
	if err != nil {
		return garnetworks.PowerUnknown, err
	}
	return body.State, nil
}

// WeightStore calls the weight store. It implements garnetworks.WeightStore.
type WeightStore struct {
	client
	address string
}

// NewWeightStore returns an adapter for the weight store at address, an IP address with
// port or a base URL.
func NewWeightStore(address string, options Options) *WeightStore {
	return &WeightStore{client{newPool(options), garnetworks.KindUnreachable}, address}
}

// Rate implements garnetworks.WeightStore.
func (w *WeightStore) Rate(ctx context.Context) (int64, error) {
	body, err := getJSON[BytesBody](ctx, w.client, apiRequest{address: w.address, path: PathWeightRate})
	return body.Bytes, err
}

// Size implements garnetworks.WeightStore.
func (w *WeightStore) Size(ctx context.Context, weights garnetworks.WeightID) (int64, error) {
	query := url.Values{"model": {string(weights.Model)}, "version": {string(weights.Version)}}
	body, err := getJSON[BytesBody](ctx, w.client, apiRequest{address: w.address, path: PathWeightSize, query: query})
	return body.Bytes, err
}

// EngineOrders sends orders to engines. It implements garnetworks.EngineOrders
// and garnetworks.CacheEvents.
type EngineOrders struct{ client }

// NewEngineOrders returns an adapter that reaches any engine by its address.
func NewEngineOrders(options Options) *EngineOrders {
	return &EngineOrders{client{newPool(options), garnetworks.KindUnreachable}}
}

// Order implements garnetworks.EngineOrders.
func (e *EngineOrders) Order(ctx context.Context, address string, order garnetworks.EngineOrder) (garnetworks.EngineStatus, error) {
	return postJSON[garnetworks.EngineStatus](ctx, e.client, apiRequest{address: address, path: PathOrders}, order)
}

// Status implements garnetworks.EngineOrders.
func (e *EngineOrders) Status(ctx context.Context, address string) (garnetworks.EngineStatus, error) {
	return getJSON[garnetworks.EngineStatus](ctx, e.client, apiRequest{address: address, path: PathStatus})
}

// CacheEvents implements garnetworks.CacheEvents.
func (e *EngineOrders) CacheEvents(ctx context.Context, address string, after uint64) ([]garnetworks.CacheEvent, error) {
	query := url.Values{"after": {strconv.FormatUint(after, 10)}}
	return getJSON[[]garnetworks.CacheEvent](ctx, e.client, apiRequest{address: address, path: PathCacheEvents, query: query})
}
