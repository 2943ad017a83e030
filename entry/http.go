package entry

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/emicklei/go-restful/v3"
	"github.com/google/uuid"

	"boragehub/event"
	"boragehub/failure"
	"boragehub/quarantine"
	"boragehub/setting"
)

// Headers that callers send and get.
const (
	headerRequestID   = "X-Request-Id"
	headerTraceParent = "Traceparent"
	headerWorkload    = "X-Workload"
	headerKey         = "Idempotency-Key"
	headerRetryAfter  = "Retry-After"
	headerRan         = "X-Request-Ran"
	headerReplayed    = "Idempotency-Replayed"
)

// Bounds of headers that callers choose.
const (
	maxRequestID = 128
	maxWorkload  = 64
	maxKey       = 255
)

// request is what every call has in common.
type request struct {
	id           string
	organisation string
	workload     string
	arrived      time.Time
	policy       *policy
}

// Handler returns the callers' API.
func (e *Entry) Handler() http.Handler {
	c := restful.NewContainer()
	c.DoNotRecover(false)
	c.ServiceErrorHandler(func(_ restful.ServiceError, r *restful.Request, w *restful.Response) {
		e.unknown(w.ResponseWriter, r.Request)
	})
	c.Add(e.routes())

	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !strings.HasPrefix(r.URL.Path, apiPrefix+"/") {
			e.unknown(w, r)

			return
		}

		c.ServeHTTP(w, r)
	})
}

// apiPrefix is where the OpenAI API and the plain services are.
const apiPrefix = "/v1"

func (e *Entry) routes() *restful.WebService {
	ws := new(restful.WebService)

	// Without it every call that names what it accepts would be refused with 406,
	// and each official client names it.
	ws.Path(apiPrefix).Produces("*/*")
	ws.Route(ws.POST("/chat/completions").To(e.serve(e.chat)))
	ws.Route(ws.POST("/completions").To(e.serve(e.text)))
	ws.Route(ws.GET("/models").To(e.serve(e.models)))

	for _, method := range []string{http.MethodGet, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete} {
		ws.Route(ws.Method(method).Path("/services/{service}/{path:*}").To(e.serve(e.plain)))
	}

	return ws
}

// unknown answers a path or method that doesn't exist in the one shape of errors.
func (e *Entry) unknown(w http.ResponseWriter, r *http.Request) {
	id := requestID(r)
	w.Header().Set(headerRequestID, id)
	e.fail(w, id, failure.New(failure.UnknownPath, "there is no %s %s", r.Method, r.URL.Path))
}

// handler serves one authenticated call.
type handler func(ctx context.Context, q request, r *http.Request, w http.ResponseWriter) error

// serve reads what every call has in common and turns errors into answers.
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

		q, err := e.read(id, req.Request)
		if err == nil {
			err = h(req.Request.Context(), q, req.Request, w)
		}

		if err != nil {
			e.fail(w, id, err)
		}
	}
}

// read finds a call's organisation and the settings in force.
func (e *Entry) read(id string, r *http.Request) (request, error) {
	q := request{id: id, arrived: time.Now(), policy: e.policy.Load()}

	if q.policy == nil {
		return q, failure.New(failure.NotReady, "no settings are in force yet").After(e.retryAfter())
	}

	if n := e.cfg.MaxRequests; n > 0 && e.active.Load() > int64(n) {
		return q, failure.New(failure.QueueFull, "this entry has %d requests in work", n).After(e.retryAfter())
	}

	credential, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return q, failure.New(failure.Unauthenticated, "an API key is needed: Authorization: Bearer …")
	}

	name, err := q.policy.register.Authenticate(credential)
	if err != nil {
		return q, err
	}

	q.organisation = name
	q.workload = r.Header.Get(headerWorkload)

	if len(q.workload) > maxWorkload {
		return q, failure.New(failure.BadRequest, "%s is longer than %d", headerWorkload, maxWorkload)
	}

	event.Log(e.cfg.Log.V(1), event.RequestArrived, "request_id", id, "organisation", name, "workload", q.workload, "path", r.URL.Path)

	return q, nil
}

// requestID returns the caller's id when it is one, otherwise a new one.
func requestID(r *http.Request) string {
	id := r.Header.Get(headerRequestID)
	if id != "" && len(id) <= maxRequestID && strings.IndexFunc(id, unprintable) < 0 {
		return id
	}

	return uuid.NewString()
}

func unprintable(r rune) bool { return r <= ' ' || r > '~' }

// values returns the settings for a call of a service.
func (e *Entry) values(q request, service string) setting.Values {
	return q.policy.tree.Effective(setting.Path{
		Site:         e.cfg.Site,
		Service:      service,
		Organisation: q.organisation,
		Workload:     q.workload,
	})
}

// body reads a body of at most n bytes.
func body(r *http.Request, n int64) ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(r.Body, n+1))
	if err != nil {
		return nil, failure.Wrap(failure.BadRequest, err, "the body could not be read")
	}

	if int64(len(b)) > n {
		return nil, failure.New(failure.TooLarge, "the body is over %d bytes", n)
	}

	return b, nil
}

func (e *Entry) chat(ctx context.Context, q request, r *http.Request, w http.ResponseWriter) error {
	return e.servePrompt(ctx, q, r, w, chatShape)
}

func (e *Entry) text(ctx context.Context, q request, r *http.Request, w http.ResponseWriter) error {
	return e.servePrompt(ctx, q, r, w, textShape)
}

// servePrompt serves one prompt.
func (e *Entry) servePrompt(ctx context.Context, q request, r *http.Request, w http.ResponseWriter, s shape) error {
	b, err := body(r, e.values(q, "").MaxBodyBytes)
	if err != nil {
		return err
	}

	c, err := parseCompletion(s, b)
	if err != nil {
		return err
	}

	service, ok := serviceOf(q.policy.tree, c.Model)
	if !ok {
		return failure.New(failure.UnknownModel, "model %q is not served", c.Model)
	}

	if err := q.policy.register.Permit(q.organisation, service); err != nil {
		return err
	}

	v := e.values(q, service)

	release, err := e.admit(q, service, v, e.expectedWait(q.arrived, service, e.seed()))
	if err != nil {
		return err
	}

	defer release()

	j := e.newJob(q, service, c, s, v)
	j.to = newSink(head{shape: s, id: q.id, model: c.Model, created: q.arrived}, w, c)

	return e.finish(ctx, j, w)
}

func (e *Entry) newJob(q request, service string, c completionRequest, s shape, v setting.Values) *job {
	text, opening := c.text(s)

	return &job{
		e:            e,
		id:           q.id,
		organisation: q.organisation,
		workload:     q.workload,
		service:      service,
		model:        c.Model,
		values:       v,
		text:         text,
		opening:      opening,
		maxTokens:    min(c.maxTokens(), v.MaxOutputTokens),
		sampling:     c.Sampling,
		fingerprint:  quarantine.Of(q.organisation, []byte(c.Model+"\x00"+text)),
		seed:         e.seed(),
		arrived:      q.arrived,
		tried:        map[string]bool{},
	}
}

func newSink(h head, w http.ResponseWriter, c completionRequest) sink {
	if c.Stream {
		return newStreamSink(h, w, c.StreamOptions.IncludeUsage)
	}

	return &wholeSink{head: h, w: w}
}

// finish runs a job and ends its answer.
func (e *Entry) finish(ctx context.Context, j *job, w http.ResponseWriter) error {
	d, err := j.run(ctx)
	if err == nil {
		event.Log(e.cfg.Log, event.RequestAnswered, "request_id", j.id, "organisation", j.organisation, "workload", j.workload,
			"prompt_tokens", d.PromptTokens, "cached_tokens", d.CachedTokens, "imported_tokens", d.ImportedTokens, "tokens", d.Tokens,
			"first_token_ms", j.first.Milliseconds(), "attempts", j.attempt, "anchor", j.views[0].anchor.String(), "took_ms", time.Since(j.arrived).Milliseconds())

		return j.to.done(d)
	}

	if !j.to.begun() {
		return err
	}

	// The caller has a part of the answer already, under status 200. It gets the
	// error as an event of the stream and no end mark, so that a client library
	// takes the answer for what it is: broken off.
	e.logFailure(j.id, err)

	b, _ := json.Marshal(errorBody(err))
	_, _ = w.Write([]byte("data: " + string(b) + "\n\n"))

	return nil
}

// serviceOf returns the service that serves a model.
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

// models lists the models that the organisation may use.
func (e *Entry) models(_ context.Context, q request, _ *http.Request, w http.ResponseWriter) error {
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
		if q.policy.register.Permit(q.organisation, s.Name) != nil {
			continue
		}

		for _, m := range s.Models {
			list.Data = append(list.Data, model{ID: m, Object: "model", OwnedBy: s.Name})
		}
	}

	w.Header().Set("Content-Type", "application/json")

	return json.NewEncoder(w).Encode(list)
}

// apiError is the OpenAI error shape with what callers of boragehub may rely on.
type apiError struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
	Param   any    `json:"param"`
	// Ran is "not_run" only when the request was not and will not be run.
	Ran string `json:"ran"`
}

type apiErrorBody struct {
	Error apiError `json:"error"`
}

func errorBody(err error) apiErrorBody {
	f := failure.As(err)
	a := f.Kind().Answer()

	return apiErrorBody{Error: apiError{Message: f.Message(), Type: a.Type, Code: a.Code, Ran: a.Ran.String()}}
}

// fail answers with an error, at once.
func (e *Entry) fail(w http.ResponseWriter, id string, err error) {
	e.logFailure(id, err)

	f := failure.As(err)
	a := f.Kind().Answer()
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
	e.metrics.refused(f.Kind())

	if errors.Is(err, context.Canceled) {
		err = nil
	}

	event.Fail(e.cfg.Log, err, event.RequestFailed, "request_id", id, "kind", f.Kind().String(), "retry_after_ms", f.RetryAfter().Milliseconds())
}
