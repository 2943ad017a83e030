package entry

import (
	"context"
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/emicklei/go-restful/v3"
	"github.com/google/uuid"

	"boragehub/event"
	"boragehub/failure"
	"boragehub/intake"
	"boragehub/quarantine"
	"boragehub/setting"
)

// Headers of requests and responses.
const (
	headerRequestID      = "X-Request-Id"
	headerTraceParent    = "Traceparent"
	headerWorkload       = "X-Workload"
	headerIdempotencyKey = "Idempotency-Key"
	headerRetryAfter     = "Retry-After"
	headerRan            = "X-Request-Ran"
	headerReplayed       = "Idempotency-Replayed"
)

// The maximum lengths of header values set by callers, in bytes.
const (
	maxRequestID      = 128
	maxWorkload       = 64
	maxIdempotencyKey = 255
)

// callerRequest is what all kinds of request have in common.
type callerRequest struct {
	id           string
	organisation string
	workload     string
	arrived      time.Time
	policy       *policy
}

// Handler returns the handler of the callers' API.
func (e *Entry) Handler() http.Handler {
	c := restful.NewContainer()
	// Recovering would complete the framing of a response that was broken off.
	c.DoNotRecover(true)
	c.ServiceErrorHandler(func(_ restful.ServiceError, r *restful.Request, w *restful.Response) {
		e.notFound(w.ResponseWriter, r.Request)
	})
	c.Add(e.routes())

	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !strings.HasPrefix(r.URL.Path, apiPrefix+"/") {
			e.notFound(w, r)

			return
		}

		c.ServeHTTP(w, r)
	})
}

// apiPrefix is the path prefix of the OpenAI API and of plain services.
const apiPrefix = "/v1"

func (e *Entry) routes() *restful.WebService {
	ws := new(restful.WebService)

	// Without Produces, go-restful refuses every request that has an Accept header
	// with status 406, and all official clients send one.
	ws.Path(apiPrefix).Produces("*/*")
	ws.Route(ws.POST("/chat/completions").To(e.serve(e.serveChat)))
	ws.Route(ws.POST("/completions").To(e.serve(e.serveText)))
	ws.Route(ws.GET("/models").To(e.serve(e.serveModels)))

	for _, method := range []string{http.MethodGet, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete} {
		ws.Route(ws.Method(method).Path("/services/{service}/{path:*}").To(e.serve(e.serveCall)))
	}

	return ws
}

// notFound responds to an unknown path or method with the API's error object.
func (e *Entry) notFound(w http.ResponseWriter, r *http.Request) {
	id := requestID(r)
	w.Header().Set(headerRequestID, id)
	e.writeError(w, id, failure.New(failure.UnknownPath, "unknown method or path: %s %s", r.Method, r.URL.Path))
}

// handler serves one authenticated request.
type handler func(ctx context.Context, q callerRequest, r *http.Request, w http.ResponseWriter) error

// serve reads what all kinds of request have in common, calls h and writes an error
// response if it fails.
func (e *Entry) serve(h handler) restful.RouteFunction {
	return func(req *restful.Request, resp *restful.Response) {
		e.active.Add(1)
		defer e.active.Add(-1)

		id := requestID(req.Request)
		w := resp.ResponseWriter
		w.Header().Set(headerRequestID, id)

		if t := req.Request.Header.Get(headerTraceParent); t != "" {
			w.Header().Set(headerTraceParent, t)
		}

		ctx, release := e.untilEnded(req.Request.Context())
		defer release()

		q, err := e.readRequest(id, req.Request)
		if err == nil {
			err = h(ctx, q, req.Request, w)
		}

		if err != nil {
			intake.Refuse(w, req.Request)
			e.writeError(w, id, err)
		}
	}
}

// readRequest authenticates a request and returns its organisation, workload and the
// settings in force.
func (e *Entry) readRequest(id string, r *http.Request) (callerRequest, error) {
	q := callerRequest{id: id, arrived: time.Now(), policy: e.policy.Load()}

	if q.policy == nil {
		return q, failure.New(failure.NotReady, "no settings are in force yet").WithRetryAfter(e.retryAfter())
	}

	if n := e.cfg.MaxRequests; n > 0 && e.active.Load() > int64(n) {
		return q, failure.New(failure.QueueFull, "this entry has reached its limit of %d requests in flight", n).WithRetryAfter(e.retryAfter())
	}

	credential, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return q, failure.New(failure.Unauthenticated, "API key is missing: send Authorization: Bearer …")
	}

	name, err := q.policy.register.Authenticate(credential)
	if err != nil {
		return q, err
	}

	q.organisation = name
	q.workload = r.Header.Get(headerWorkload)

	if len(q.workload) > maxWorkload {
		return q, failure.New(failure.BadRequest, "%s is longer than %d bytes", headerWorkload, maxWorkload)
	}

	event.Log(e.cfg.Log.V(1), event.RequestArrived, "request_id", id, "organisation", name, "workload", q.workload, "path", r.URL.Path)

	return q, nil
}

// requestID returns the caller's request ID if it is valid, otherwise a new one.
func requestID(r *http.Request) string {
	id := r.Header.Get(headerRequestID)
	if id != "" && len(id) <= maxRequestID && strings.IndexFunc(id, unprintable) < 0 {
		return id
	}

	return uuid.NewString()
}

func unprintable(r rune) bool { return r <= ' ' || r > '~' }

// settingValues returns the settings in force for a request to a service.
func (e *Entry) settingValues(q callerRequest, service string) setting.Values {
	return q.policy.tree.Effective(setting.Path{
		Site:         e.cfg.Site,
		Service:      service,
		Organisation: q.organisation,
		Workload:     q.workload,
	})
}

// maxBodyTime is how long a request body may take.
const maxBodyTime = time.Minute

// readBody returns a request body, within the limits of the settings.
func readBody(w http.ResponseWriter, r *http.Request, arrived time.Time, v setting.Values) ([]byte, error) {
	b, err := intake.ReadBody(w, r, v.MaxBodyBytes, arrived.Add(min(v.Timeout, maxBodyTime)))

	switch {
	case err == nil:
		return b, nil
	case errors.Is(err, intake.ErrTooLarge):
		return nil, failure.New(failure.TooLarge, "the request body is larger than %d bytes", v.MaxBodyBytes)
	case errors.Is(err, intake.ErrTimeout):
		return nil, failure.New(failure.BodyTimeout, "the request body was not complete in time")
	case errors.Is(err, intake.ErrFull):
		return nil, failure.Wrap(failure.IntakeFull, err, "this entry has no memory for the request body")
	default:
		return nil, failure.Wrap(failure.BadRequest, err, "the request body could not be read")
	}
}

func (e *Entry) serveChat(ctx context.Context, q callerRequest, r *http.Request, w http.ResponseWriter) error {
	return e.servePrompt(ctx, q, r, w, chatAPI)
}

func (e *Entry) serveText(ctx context.Context, q callerRequest, r *http.Request, w http.ResponseWriter) error {
	return e.servePrompt(ctx, q, r, w, textAPI)
}

// servePrompt serves a request of the completions or the chat completions API.
func (e *Entry) servePrompt(ctx context.Context, q callerRequest, r *http.Request, w http.ResponseWriter, api apiKind) error {
	b, err := readBody(w, r, q.arrived, e.settingValues(q, ""))
	if err != nil {
		return err
	}

	c, err := parseCompletion(api, b)
	if err != nil {
		return err
	}

	service, ok := serviceOf(q.policy.tree, c.Model)
	if !ok {
		return failure.New(failure.UnknownModel, "model %q is not served", c.Model)
	}

	if err := q.policy.register.Authorise(q.organisation, service); err != nil {
		return err
	}

	v := e.settingValues(q, service)

	release, err := e.admit(q, service, v, e.expectedWait(q.arrived, service, e.nextSeed()))
	if err != nil {
		return err
	}

	defer release()

	j := e.newJob(q, service, c, api, v)
	j.sink = newSink(responseMeta{api: api, id: q.id, model: c.Model, created: q.arrived}, w, c)

	return e.runJob(ctx, j, w)
}

func (e *Entry) newJob(q callerRequest, service string, c completionRequest, api apiKind, v setting.Values) *job {
	rendered, sharedPrefix := c.render(api)

	return &job{
		e:            e,
		id:           q.id,
		organisation: q.organisation,
		workload:     q.workload,
		service:      service,
		model:        c.Model,
		values:       v,
		rendered:     rendered,
		sharedPrefix: sharedPrefix,
		maxTokens:    min(c.maxTokens(), v.MaxOutputTokens),
		sampling:     c.Sampling,
		fingerprint:  quarantine.FingerprintOf(q.organisation, []byte(c.Model+"\x00"+rendered)),
		seed:         e.nextSeed(),
		arrived:      q.arrived,
		tried:        map[string]bool{},
	}
}

func newSink(meta responseMeta, w http.ResponseWriter, c completionRequest) sink {
	if c.Stream {
		return newStreamSink(meta, w, c.StreamOptions.IncludeUsage)
	}

	return &bufferedSink{responseMeta: meta, w: w}
}

// runJob runs a job and ends its response. An error of the job is returned only if
// nothing has been written to the caller yet; otherwise it is written to the stream.
func (e *Entry) runJob(ctx context.Context, j *job, w http.ResponseWriter) error {
	d, err := j.run(ctx)
	if err == nil {
		event.Log(e.cfg.Log, event.RequestAnswered, "request_id", j.id, "organisation", j.organisation, "workload", j.workload,
			"prompt_tokens", d.PromptTokens, "cached_tokens", d.CachedTokens, "imported_tokens", d.ImportedTokens, "tokens", d.Tokens,
			"first_token_ms", j.firstTokenTime.Milliseconds(), "attempts", j.attempt, "anchor", j.lookups[0].anchor.String(), "took_ms", time.Since(j.arrived).Milliseconds())

		if err := j.sink.finish(d); err != nil {
			e.logFailure(j.id, failure.Wrap(failure.Cancelled, err, "the caller disconnected"))
			panic(http.ErrAbortHandler)
		}

		return nil
	}

	if !j.sink.hasWritten() {
		return err
	}

	e.logFailure(j.id, err)
	breakOff(w, err)

	return nil
}

// breakOff ends a stream of which the caller already has a part, with status 200. The error is sent as an
// event, which client libraries recognise. The connection breaks behind it: to others, a stream whose
// framing is completed is complete.
func breakOff(w http.ResponseWriter, err error) {
	if b, jsonErr := json.Marshal(errorBody(err)); jsonErr == nil {
		_, _ = w.Write([]byte("data: " + string(b) + "\n\n"))
		_ = http.NewResponseController(w).Flush()
	}

	panic(http.ErrAbortHandler)
}

// serviceOf returns the name of the service that serves a model.
func serviceOf(t *setting.Tree, model string) (string, bool) {
	for _, s := range t.Services() {
		for _, m := range s.Models {
			if m == model {
				return s.Name, true
			}
		}
	}

	return "", false
}

// serveModels lists the models that the organisation may use.
func (e *Entry) serveModels(_ context.Context, q callerRequest, _ *http.Request, w http.ResponseWriter) error {
	type model struct {
		ID      string `json:"id"`
		Object  string `json:"object"`
		Created int64  `json:"created"`
		OwnedBy string `json:"owned_by"`
	}

	list := struct {
		Object string  `json:"object"`
		Data   []model `json:"data"`
	}{"list", []model{}}

	for _, s := range q.policy.tree.Services() {
		if q.policy.register.Authorise(q.organisation, s.Name) != nil {
			continue
		}

		for _, m := range s.Models {
			list.Data = append(list.Data, model{ID: m, Object: "model", OwnedBy: s.Name})
		}
	}

	w.Header().Set("Content-Type", "application/json")

	return json.NewEncoder(w).Encode(list)
}

// apiError is the error object of the OpenAI API, extended by Ran.
type apiError struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
	Param   any    `json:"param"`
	// Ran is "not_run" only if the request was not run and will not be run.
	Ran string `json:"ran"`
}

type apiErrorBody struct {
	Error apiError `json:"error"`
}

func errorBody(err error) apiErrorBody {
	f := failure.As(err)
	a := f.Kind().Response()

	return apiErrorBody{Error: apiError{Message: f.Message(), Type: a.Type, Code: a.Code, Ran: a.Ran.String()}}
}

// writeError writes an error response. A retryable error without a delay of its own
// gets the one of retryAfter.
func (e *Entry) writeError(w http.ResponseWriter, id string, err error) {
	e.logFailure(id, err)

	f := failure.As(err)
	a := f.Kind().Response()
	after := f.RetryAfter()

	if a.Retryable && after <= 0 {
		after = e.retryAfter()
	}

	if after > 0 {
		w.Header().Set(headerRetryAfter, strconv.Itoa(int(math.Ceil(after.Seconds()))))
	}

	w.Header().Set(headerRan, a.Ran.String())
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(a.Status)

	_ = json.NewEncoder(w).Encode(errorBody(err))
}

func (e *Entry) logFailure(id string, err error) {
	f := failure.As(err)
	e.metrics.failed(f.Kind())

	if errors.Is(err, context.Canceled) {
		err = nil
	}

	event.Fail(e.cfg.Log, err, event.RequestFailed, "request_id", id, "kind", f.Kind().String(), "retry_after_ms", f.RetryAfter().Milliseconds())
}
