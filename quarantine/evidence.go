package quarantine

import "time"

// Evidence is all that a process knows of crashes.
type Evidence struct {
	// Requests are the requests that were running, Parts the parts of their prompts.
	Requests *Tracker
	Parts    *PartTracker
}

// Crashes returns the crashes, oldest first: those with requests, then those with parts of prompts.
func (e Evidence) Crashes(now time.Time) []Crash {
	return append(e.Requests.Crashes(now), e.Parts.Crashes(now)...)
}

// Digest returns a hash of the crashes, which is equal for equal sets.
func (e Evidence) Digest(now time.Time) uint64 { return e.Requests.Digest(now) + e.Parts.Digest(now) }
