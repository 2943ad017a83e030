package event

// Events of stored contexts: copies, evictions, transfers over links.
var (
	ContextParked    = register(1900, "context_parked", "A context is copied from an engine to a store; the fields give the expected saving and the cost of the copy.")
	ContextNotParked = register(1901, "context_not_parked", "A context is not copied to a store; the fields give the reason and the figures compared.")
	ContextEvicted   = register(1902, "context_evicted", "A stored copy was evicted to free space; the fields give its value per byte.")
	LinkPromised     = register(1904, "link_promised", "A transfer window was reserved on a link between data centres.")
	HolderForgotten  = register(1905, "holder_forgotten", "All records of what an engine or store holds were dropped.")
)
