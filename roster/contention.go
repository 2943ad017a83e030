package roster

import (
	"fmt"

	"boragehub/event"
)

// Contention says which services are contended: requests compete there for the room at targets, or
// for the hosts of targets, and further decisions apply.
type Contention uint8

// The values of Contention.
const (
	// ContentionAuto means that a service is contended if a target of it reports the slowdown of
	// its host, or if it has engines under Config.MemoryPressure.
	ContentionAuto Contention = iota
	// ContentionOn means that all services are contended, ContentionOff that none is.
	ContentionOn
	ContentionOff
)

var contentionNames = [...]string{"auto", "on", "off"}

// String returns the name of c: auto, on or off.
func (c Contention) String() string { return contentionNames[min(int(c), len(contentionNames)-1)] }

// ParseContention returns the value with a name. The empty name stands for auto.
func ParseContention(name string) (Contention, error) {
	if name == "" {
		return ContentionAuto, nil
	}

	for i, n := range contentionNames {
		if n == name {
			return Contention(i), nil
		}
	}

	return ContentionAuto, fmt.Errorf("contention %q is none of auto, on, off", name)
}

// Contended reports whether a service is contended.
func (r *Roster) Contended(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()

	return r.isContended(service)
}

// AnyContended reports whether any service of the deployment may be contended.
func (r *Roster) AnyContended() bool {
	switch r.cfg.Contention {
	case ContentionOn:
		return true
	case ContentionOff:
		return false
	case ContentionAuto:
	}

	r.mu.Lock()
	defer r.mu.Unlock()

	return r.cfg.MemoryPressure || len(r.contended) > 0
}

// isContended is Contended for a caller that holds mu.
func (r *Roster) isContended(service string) bool {
	switch r.cfg.Contention {
	case ContentionOn:
		return true
	case ContentionOff:
		return false
	case ContentionAuto:
	}

	return r.contended[service] || r.cfg.MemoryPressure && r.cfg.HasEngines != nil && r.cfg.HasEngines(service)
}

// markContended records that a target of a service has reported the slowdown of its host. The caller
// holds mu.
func (r *Roster) markContended(id, service, basis string) {
	if r.contended[service] {
		return
	}

	r.contended[service] = true
	event.Log(r.cfg.Log, event.ServiceContended, "service", service, "target", id, "basis", basis, "setting", r.cfg.Contention.String())
}
