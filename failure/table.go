package failure

import "net/http"

// Ran says whether a request that failed may have run.
type Ran uint8

// The values of Ran.
const (
	// MayHaveRun means that it is unknown whether the request ran.
	MayHaveRun Ran = iota
	// NotRun guarantees that the request was not run and will not be.
	NotRun
)

// String returns the snake-case name of r.
func (r Ran) String() string {
	if r == NotRun {
		return "not_run"
	}

	return "may_have_run"
}

// Response is the response that a caller gets for a Kind.
type Response struct {
	// Status is the HTTP status.
	Status int
	// Type is the "type" in the OpenAI error object.
	Type string
	// Code is the "code" in the OpenAI error object, in snake case.
	Code string
	// Ran says whether the request may have run.
	Ran Ran
	// Retryable reports whether the same request may succeed later. Such a response
	// may carry Retry-After.
	Retryable bool
}

const (
	typeServer     = "server_error"
	typeRequest    = "invalid_request_error"
	typeAuth       = "authentication_error"
	typePermission = "permission_error"
	typeRate       = "rate_limit_error"
)

// table is indexed by Kind.
var table = [...]Response{
	Internal:         {http.StatusInternalServerError, typeServer, "internal", MayHaveRun, false},
	BadRequest:       {http.StatusBadRequest, typeRequest, "bad_request", NotRun, false},
	TooLarge:         {http.StatusRequestEntityTooLarge, typeRequest, "too_large", NotRun, false},
	Unauthenticated:  {http.StatusUnauthorized, typeAuth, "invalid_api_key", NotRun, false},
	Forbidden:        {http.StatusForbidden, typePermission, "forbidden", NotRun, false},
	UnknownModel:     {http.StatusNotFound, typeRequest, "model_not_found", NotRun, false},
	UnknownService:   {http.StatusNotFound, typeRequest, "service_not_found", NotRun, false},
	UnknownPath:      {http.StatusNotFound, typeRequest, "path_not_found", NotRun, false},
	RateLimited:      {http.StatusTooManyRequests, typeRate, "rate_limited", NotRun, true},
	ShareExceeded:    {http.StatusTooManyRequests, typeRate, "share_exceeded", NotRun, true},
	QueueFull:        {http.StatusServiceUnavailable, typeServer, "queue_full", NotRun, true},
	Throttled:        {http.StatusServiceUnavailable, typeServer, "throttled", NotRun, true},
	DeadlineHopeless: {http.StatusServiceUnavailable, typeServer, "deadline_hopeless", NotRun, true},
	Unavailable:      {http.StatusServiceUnavailable, typeServer, "unavailable", NotRun, true},
	NotReady:         {http.StatusServiceUnavailable, typeServer, "not_ready", NotRun, true},
	Draining:         {http.StatusServiceUnavailable, typeServer, "draining", NotRun, true},
	StaleFence:       {http.StatusConflict, typeServer, "stale_fence", NotRun, false},
	WrongVersion:     {http.StatusServiceUnavailable, typeServer, "wrong_version", NotRun, true},
	Quarantined:      {http.StatusUnprocessableEntity, typeRequest, "quarantined", NotRun, false},
	KeyRequired:      {http.StatusBadRequest, typeRequest, "idempotency_key_required", NotRun, false},
	KeyExpired:       {http.StatusBadRequest, typeRequest, "idempotency_key_expired", MayHaveRun, false},
	KeyReused:        {http.StatusUnprocessableEntity, typeRequest, "idempotency_key_reused", NotRun, false},
	KeyBusy:          {http.StatusConflict, typeRequest, "idempotency_key_busy", MayHaveRun, true},
	LogUnavailable:   {http.StatusServiceUnavailable, typeServer, "log_unavailable", NotRun, true},
	OutcomeUnknown:   {http.StatusConflict, typeServer, "outcome_unknown", MayHaveRun, false},
	TargetLost:       {http.StatusBadGateway, typeServer, "target_lost", MayHaveRun, true},
	Timeout:          {http.StatusGatewayTimeout, typeServer, "timeout", MayHaveRun, true},
	Cancelled:        {statusClientClosed, typeRequest, "cancelled", MayHaveRun, false},
	ProtocolMismatch: {http.StatusBadGateway, typeServer, "protocol_mismatch", NotRun, true},
	BadMessage:       {http.StatusBadGateway, typeServer, "bad_message", MayHaveRun, false},
	BadSettings:      {http.StatusBadRequest, typeRequest, "bad_settings", NotRun, false},
	Conflict:         {http.StatusConflict, typeRequest, "conflict", NotRun, false},
	TornCopy:         {http.StatusBadGateway, typeServer, "torn_copy", NotRun, true},
	IntakeFull:       {http.StatusServiceUnavailable, typeServer, "intake_full", NotRun, true},
	BodyTimeout:      {http.StatusRequestTimeout, typeRequest, "body_timeout", NotRun, true},
	StoreFull:        {http.StatusInsufficientStorage, typeServer, "store_full", NotRun, true},
}

// statusClientClosed is the non-standard status, introduced by nginx, for a client
// that closed the connection.
const statusClientClosed = 499

// Response returns the response for k; the one for Internal if k is not in the table.
func (k Kind) Response() Response {
	if int(k) >= len(table) {
		return table[Internal]
	}

	return table[k]
}
