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

// Acquittals returns the complete responses that cleared requests or parts of them.
func (e Evidence) Acquittals() []Acquittal {
	return append(e.Requests.Acquittals(), e.Parts.Acquittals()...)
}

// Acquit records complete responses that other processes know of, and returns those that cleared what crashes counted
// against until now.
func (e Evidence) Acquit(now time.Time, all []Acquittal) (cleared []Acquittal) {
	for _, f := range e.Requests.Acquit(now, all) {
		cleared = append(cleared, Acquittal{Request: f, At: now})
	}

	for _, p := range e.Parts.Acquit(now, all) {
		cleared = append(cleared, Acquittal{Part: p, At: now})
	}

	return cleared
}

// Digest returns a hash of the crashes, which is equal for equal sets.
func (e Evidence) Digest(now time.Time) uint64 { return e.Requests.Digest(now) + e.Parts.Digest(now) }
