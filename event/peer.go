package event

// Events of the connections between boragehub's own processes.
var (
	PeerConnected = register(2100, "peer_connected", "A QUIC connection to a peer was established.")
	PeerLost      = register(2101, "peer_lost", "A connection failed or became unresponsive and was closed; the next request dials a new one from a new port.")
	PeerRefused   = register(2102, "peer_refused", "A peer without a valid certificate, or with another protocol, was refused.")
)
