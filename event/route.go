package event

// Events of routing: one line for each decision, with the costs weighed.
var (
	RouteDecided = register(1500, "route_decided", "A prompt got its engine: how its context comes there, the estimated time to first token and every candidate's cost.")
	RouteRefused = register(1501, "route_refused", "No engine could take a prompt; the candidates' reasons stand beside.")
	CallDecided  = register(1502, "call_decided", "A call of a plain service got its target, with the estimated waits weighed.")
	CallRefused  = register(1503, "call_refused", "No target of a plain service could take a call.")
)
