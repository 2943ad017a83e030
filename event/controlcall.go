package event

// Events of calls between processes. A client writes at most one of these lines a second.
var (
	ResponseMismatched  = register(2600, "response_mismatched", "A control call got a response with the id of another call, or without an id where such responses on the connection had one; the call failed, its outcome is unknown, and its connection was closed: `address`, `method`, `path`, `id` (that arrived), `calls` (answered on that connection before), `mismatched` (calls so far). At most one line a second with 2601.")
	ResponseUnsolicited = register(2601, "response_unsolicited", "Bytes arrived on idle connections for control calls, which were closed: `address`, `connections`, `unsolicited` (connections so far).")
)
