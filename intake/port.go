package intake

import "time"

// leavingDivisor is the part of a port's connections that may be open besides while they give way: a refusal
// takes a moment to reach its client.
const leavingDivisor = 4

// PortConfig configures a Port.
type PortConfig struct {
	// Name is the port's name in the log.
	Name string
	// Connections is the maximum number of open connections; zero means no limit.
	Connections int
}

// Port bounds the connections of one listener.
type Port struct {
	cfg    PortConfig
	ledger *Ledger

	// The ledger's mu guards the rest.
	accounts map[*Account]struct{}
}

// Port returns a new Port of the ledger. The connections that the ledger's memory allows are its limit at the most.
func (l *Ledger) Port(cfg PortConfig) *Port {
	if most := l.MaxConnections(); most > 0 && (cfg.Connections <= 0 || cfg.Connections > most) {
		cfg.Connections = most
	}

	return &Port{cfg: cfg, ledger: l, accounts: make(map[*Account]struct{})}
}

// Open registers a connection that was accepted. It has to be closed by Account.Close.
func (p *Port) Open(now time.Time, cfg AccountConfig) *Account {
	if p == nil {
		return nil
	}

	a := &Account{port: p, cfg: cfg, opened: now, began: now}

	p.ledger.mu.Lock()
	defer p.ledger.mu.Unlock()

	p.accounts[a] = struct{}{}
	p.ledger.accounts[a] = struct{}{}
	p.ledger.used += ConnectionBytes

	return a
}

// Admit decides whether a connection that was opened last may stay. At the port's limit, another one gives way to
// it. If none can, Admit returns false, and the connection has to be closed.
func (p *Port) Admit(now time.Time, opened *Account) bool {
	if p == nil || p.cfg.Connections <= 0 {
		return true
	}

	l := p.ledger

	l.mu.Lock()
	defer l.mu.Unlock()

	if len(p.accounts) <= p.cfg.Connections {
		return true
	}

	leaving, mostLeaving := 0, max(p.cfg.Connections/leavingDivisor, 1)

	for a := range p.accounts {
		if a.yielded {
			leaving++
		}
	}

	if len(p.accounts)-leaving <= p.cfg.Connections && leaving <= mostLeaving {
		return true
	}

	if leaving < mostLeaving {
		if a := p.longestUnused(now, opened); a != nil {
			l.yield(now, a, reasonUnused)

			return true
		}

		if a, reason := l.mostOverdue(now, func(a *Account) bool { return a.port == p && a != opened }); a != nil {
			l.yield(now, a, reason)

			return true
		}
	}

	l.refuse(now, opened)

	return false
}

// longestUnused returns the connection that has been without a request for the longest time; nil for none. The
// caller holds the ledger's mu.
func (p *Port) longestUnused(now time.Time, opened *Account) *Account {
	passed := map[*Account]bool{opened: true}

	for range maxPeeks {
		var longest *Account

		for a := range p.accounts {
			if a.state == unused && !a.yielded && !passed[a] && (longest == nil || a.sinceProgress(now) > longest.sinceProgress(now)) {
				longest = a
			}
		}

		if longest == nil || !longest.pending() {
			return longest
		}

		passed[longest] = true
	}

	return nil
}
