package event

// Events of contexts between visits: copies, evictions, links.
var (
	ContextParked    = register(1900, "context_parked", "A context is copied from an engine to a store: what the copy is expected to save and what it costs.")
	ContextNotParked = register(1901, "context_not_parked", "A context gets no copy; the reason and the figures weighed stand beside.")
	ContextEvicted   = register(1902, "context_evicted", "A store's copy is dropped to make room; its value a byte stands beside.")
	LinkPromised     = register(1904, "link_promised", "A transfer got its window on a link between data centres.")
	HolderForgotten  = register(1905, "holder_forgotten", "All that an engine or store was said to hold is forgotten.")
)
