package event

// Events of routing: one line per decision, with the costs compared.
var (
	RouteDecided = register(1500, "route_decided", "A prompt was routed to an engine: how its context gets there, the estimated time to first token and every candidate's cost.")
	RouteRefused = register(1501, "route_refused", "No engine could take a prompt; the fields give each candidate's reason.")
	CallDecided  = register(1502, "call_decided", "A call of a plain service was routed to a target; the fields give the estimated waits compared.")
	CallRefused  = register(1503, "call_refused", "No target of a plain service could take a call.")
)
