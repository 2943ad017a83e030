package quarantine

import "time"

// maxAcquittals is the number of complete responses that a tracker keeps to tell other processes of.
const maxAcquittals = 1024

// Acquittal says that a request got a complete response, or one with a part did. Neither would have got it if it
// crashed its targets, so that earlier crashes don't count against it.
type Acquittal struct {
	// Part is the part's id; empty for a whole request.
	Part string
	// Request is the request's fingerprint, if Part is empty.
	Request Fingerprint
	// At is when the response was complete, by this process's clock.
	At time.Time
}

// earliest returns the earlier of two times.
func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}

	return b
}
