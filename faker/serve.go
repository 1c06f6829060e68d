package faker

import (
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/connector"
)

// loopback is the default listen address.
const loopback = "127.0.0.1:0"

// Server serves a fake over HTTP/1.1.
type Server struct {
	// Address is the IP address and port that the server listens on.
	Address string
	server  *http.Server
}

// Close stops the server and closes its connections.
func (s *Server) Close() error { return s.server.Close() }

// URL returns the server's base URL.
func (s *Server) URL() string { return "http://" + s.Address }

const headerTimeout = 10 * time.Second

func serve(address string, handler http.Handler, faults *Faults, refuses func() bool) (*Server, error) {
	listen := net.Listen
	if faults.Listen != nil {
		listen = faults.Listen
	}
	l, err := listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &Server{
		Address: l.Addr().String(),
		server:  &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout},
	}
	go func() { _ = s.server.Serve(&listener{Listener: l, faults: faults, refuses: refuses}) }()
	return s, nil
}

// Platform combines an object API, an instance list, a power switch and a weight store in
// one server. Its own faults affect connections; each part also has faults of its own.
type Platform struct {
	Faults
	Objects   garnetworks.ObjectAPI
	Instances *InstanceList
	Power     *Power
	Weights   *WeightStore
}

// ServePlatform serves the platform on the loopback address.
func ServePlatform(p *Platform) (*Server, error) { return ServePlatformAt(loopback, p) }

// ServePlatformAt serves the platform on the given address.
func ServePlatformAt(address string, p *Platform) (*Server, error) {
	r := chi.NewRouter()
	if p.Objects != nil {
		objectRoutes(r, p.Objects)
	}
	if p.Instances != nil {
		r.Get(connector.PathInstances, p.serveInstances)
	}
	if p.Power != nil {
		r.Get(connector.PathPower, p.servePower)
		r.Post(connector.PathPower, p.serveSetPower)
	}
	if p.Weights != nil {
		r.Get(connector.PathWeightRate, p.serveRate)
		r.Get(connector.PathWeightSize, p.serveSize)
	}
	return serve(address, r, &p.Faults, nil)
}

// reply writes a result or an error. For a lost response or a fake that is down it breaks
// the connection instead, as the real failure would.
func reply(w http.ResponseWriter, r *http.Request, result any, err error) {
	switch {
	case err == nil:
		replyJSON(w, http.StatusOK, result)
	case errors.Is(err, errDown), errors.Is(err, errLost), r.Context().Err() != nil:
		panic(http.ErrAbortHandler)
	default:
		replyProblem(w, err)
	}
}

func replyJSON(w http.ResponseWriter, status int, body any) {
	encoded, err := json.Marshal(body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(encoded)))
	w.WriteHeader(status)
	_, _ = w.Write(encoded)
}

func replyProblem(w http.ResponseWriter, err error) {
	kind := garnetworks.KindOf(err)
	answer := garnetworks.ErrorResponseFor(kind)
	p := connector.Problem{
		Kind:   kind,
		Title:  answer.Title,
		Status: answer.Status,
		Detail: err.Error(),
	}
	var e *garnetworks.Error
	if errors.As(err, &e) {
		p.Detail = e.Detail
		p.RetryAfterMillis = e.RetryAfter.Milliseconds()
	}
	replyJSON(w, answer.Status, p)
}

// maxRequestBytes limits request bodies. It exceeds the object API's limit, so that an
// oversized value reaches the object API's own check.
const maxRequestBytes = 8 << 20

func readBody(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err != nil {
		replyProblem(w, garnetworks.WrapError(garnetworks.KindInvalidRequest, err, "the body can't be read"))
		return nil, false
	}
	return body, true
}

func readJSON[T any](w http.ResponseWriter, r *http.Request, into *T) bool {
	body, ok := readBody(w, r)
	if !ok {
		return false
	}
	if err := json.Unmarshal(body, into); err != nil {
		replyProblem(w, garnetworks.WrapError(garnetworks.KindInvalidRequest, err, "the body is not as expected"))
		return false
	}
	return true
}

func parseNumber(w http.ResponseWriter, text string) (uint64, bool) {
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		replyProblem(w, garnetworks.Errorf(garnetworks.KindInvalidRequest, "%q is not a number", text))
	}
	return n, err == nil
}

func objectRoutes(r chi.Router, objects garnetworks.ObjectAPI) {
	h := objectHandler{objects}
	r.Get(connector.PathObject, h.get)
	r.Put(connector.PathObject, h.put)
	r.Delete(connector.PathObject, h.delete)
	r.Get(connector.PathObjects, h.list)
	r.Get(connector.PathWatch, h.watch)
}

type objectHandler struct{ objects garnetworks.ObjectAPI }

func revisionText(v garnetworks.Revision) string { return strconv.FormatUint(uint64(v), 10) }

func (h objectHandler) get(w http.ResponseWriter, r *http.Request) {
	object, err := h.objects.Get(r.Context(), r.URL.Query().Get("key"))
	w.Header().Set(connector.HeaderRevision, revisionText(object.Revision))
	if err != nil {
		reply(w, r, nil, err)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(object.Value)))
	_, _ = w.Write(object.Value)
}

func (h objectHandler) put(w http.ResponseWriter, r *http.Request) {
	after, ok := parseNumber(w, r.Header.Get(connector.HeaderRevision))
	if !ok {
		return
	}
	body, ok := readBody(w, r)
	if !ok {
		return
	}
	revision, err := h.objects.Put(r.Context(), r.URL.Query().Get("key"), body, garnetworks.Revision(after))
	if err == nil {
		w.Header().Set(connector.HeaderRevision, revisionText(revision))
	}
	reply(w, r, struct{}{}, err)
}

func (h objectHandler) delete(w http.ResponseWriter, r *http.Request) {
	after, ok := parseNumber(w, r.Header.Get(connector.HeaderRevision))
	if !ok {
		return
	}
	err := h.objects.Delete(r.Context(), r.URL.Query().Get("key"), garnetworks.Revision(after))
	reply(w, r, struct{}{}, err)
}

func (h objectHandler) list(w http.ResponseWriter, r *http.Request) {
	objects, revision, err := h.objects.List(r.Context(), r.URL.Query().Get("prefix"))
	reply(w, r, objectsBody(objects, revision), err)
}

func (h objectHandler) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, ok := parseNumber(w, query.Get("after"))
	if !ok {
		return
	}
	millis, ok := parseNumber(w, query.Get("wait-ms"))
	if !ok {
		return
	}
	wait := time.Duration(millis) * time.Millisecond
	objects, revision, err := h.objects.Watch(r.Context(), query.Get("prefix"), garnetworks.Revision(after), wait)
	reply(w, r, objectsBody(objects, revision), err)
}

func objectsBody(objects []garnetworks.Object, revision garnetworks.Revision) connector.ObjectsBody {
	body := connector.ObjectsBody{Objects: make([]connector.ObjectBody, 0, len(objects)), Revision: revision}
	for _, o := range objects {
		body.Objects = append(body.Objects, connector.ObjectBody(o))
	}
	return body
}

func (p *Platform) serveInstances(w http.ResponseWriter, r *http.Request) {
	rows, err := p.Instances.Instances(r.Context(), garnetworks.ZoneID(r.URL.Query().Get("zone")))
	reply(w, r, rows, err)
}

func (p *Platform) servePower(w http.ResponseWriter, r *http.Request) {
	state, err := p.Power.Power(r.Context(), garnetworks.InstanceID(r.URL.Query().Get("instance")))
	reply(w, r, connector.PowerBody{State: state}, err)
}

func (p *Platform) serveSetPower(w http.ResponseWriter, r *http.Request) {
	var order garnetworks.PowerOrder
	if !readJSON(w, r, &order) {
		return
	}
	reply(w, r, struct{}{}, p.Power.SetPower(r.Context(), order))
}

func (p *Platform) serveRate(w http.ResponseWriter, r *http.Request) {
	rate, err := p.Weights.Rate(r.Context())
	reply(w, r, connector.BytesBody{Bytes: rate}, err)
}

func (p *Platform) serveSize(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	id := garnetworks.WeightID{
		Model:   garnetworks.ModelName(query.Get("model")),
		Version: garnetworks.VersionName(query.Get("version")),
	}
	size, err := p.Weights.Size(r.Context(), id)
	reply(w, r, connector.BytesBody{Bytes: size}, err)
}

// ServeService serves a server of a plain service on the loopback address.
func ServeService(s *Service) (*Server, error) { return ServeServiceAt(loopback, s) }

// ServeServiceAt serves a server of a plain service on the given address.
func ServeServiceAt(address string, s *Service) (*Server, error) {
	return serve(address, http.HandlerFunc(s.serve), &s.Faults, nil)
}

func (s *Service) serve(w http.ResponseWriter, r *http.Request) {
	body, ok := readBody(w, r)
	if !ok {
		return
	}
	call := &garnetworks.ServiceCall{
		ID:             garnetworks.CallID(r.Header.Get(connector.HeaderCall)),
		Workspace:      garnetworks.WorkspaceName(r.Header.Get(connector.HeaderWorkspace)),
		Service:        s.name,
		Method:         r.Method,
		Path:           r.URL.RequestURI(),
		ContentType:    r.Header.Get("Content-Type"),
		Body:           body,
		IdempotencyKey: r.Header.Get(connector.HeaderIdempotencyKey),
	}
	t, err := s.begin(r.Context(), MethodCall)
	if errors.Is(err, errUnavailable) {
		refuse(w, connector.HeaderCall, string(call.ID), errUnavailableServer)
		return
	}
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	s.answer(w, r, t, call)
}

func (s *Service) answer(w http.ResponseWriter, r *http.Request, t callState, call *garnetworks.ServiceCall) {
	if refused := s.checkAccepting(); refused != nil {
		refuse(w, connector.HeaderCall, string(call.ID), refused)
		return
	}
	answer, err := s.run(r.Context(), call)
	if err != nil || s.end(r.Context(), t) != nil {
		panic(http.ErrAbortHandler)
	}
	echo := call.ID
	if previous := s.previousCall(call.ID); s.consume(MethodCall, crossedAnswers) {
		echo = previous
	}
	w.Header().Set(connector.HeaderCall, string(echo))
	w.Header().Set("Content-Type", answer.ContentType)
	w.Header().Set("Content-Length", strconv.Itoa(len(answer.Body)))
	w.WriteHeader(answer.Status)
	if s.consume(MethodCall, truncatedAnswers) {
		_, _ = w.Write(answer.Body[:len(answer.Body)/2])
		flush(w)
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(answer.Body)
}

// errUnavailableServer is the refusal of a fake with the Unavailable fault.
var errUnavailableServer = newRefusal(garnetworks.KindNotReady, "the server is unavailable")

// refuse replies that a call was not started, with the proof required by rule C3 of
// package connector.
func refuse(w http.ResponseWriter, header, id string, refused *garnetworks.Error) {
	w.Header().Set(header, id)
	w.Header().Set(connector.HeaderOutcome, string(garnetworks.OutcomeNotRun))
	seconds := (refused.RetryAfter + time.Second - 1) / time.Second
	w.Header().Set("Retry-After", strconv.Itoa(int(seconds)))
	replyJSON(w, http.StatusServiceUnavailable, connector.Problem{
		Kind:             refused.Kind,
		Status:           http.StatusServiceUnavailable,
		Detail:           refused.Detail,
		RetryAfterMillis: refused.RetryAfter.Milliseconds(),
	})
}

func flush(w http.ResponseWriter) { _ = http.NewResponseController(w).Flush() }
