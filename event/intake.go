package event

// Events of the memory and the connections that clients take.
var (
	ClientYielded = register(2700, "client_yielded", "A connection was closed, or the request on it refused without having run, as others need its memory or its place: `port`, `reason` (stopped, slow, large or unused), `state` (unused, reading_head, reading_body), `bytes` beyond those of its connection, `received` of its request, `age_ms`, `quiet_ms` (since its last byte), `used` and `limit` (memory of all clients), `connections` and `max_connections` of the port, `left_out` (such lines since the last one; at most 20 a second are written).")
	ClientRefused = register(2701, "client_refused", "A request or a new connection was refused without having run, as there is no memory or place for it and nothing gives way: as 2700, with `reason` full.")
)
