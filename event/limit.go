package event

// Events of admission at an entry.
var (
	RequestAdmitted = register(1800, "request_admitted", "A request was admitted: `request_id`, `organisation`, `class`, `places_used`.")
	RequestRefused  = register(1801, "request_refused", "A request was not admitted and not run: `request_id`, `organisation`, `class`, `kind`, `retry_after_ms`.")
)
