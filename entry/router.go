package entry

import (
	"context"
	"slices"
	"time"

	"boragehub/directory"
	"boragehub/event"
	"boragehub/message"
	"boragehub/prompt"
	"boragehub/quarantine"
	"boragehub/route"
	"boragehub/target"
	"boragehub/vm"
)

// The round-trip times assumed within a data centre, and to another one that the
// settings list no link to.
const (
	localRoundTrip  = time.Millisecond
	remoteRoundTrip = 5 * time.Millisecond
)

// contextLookup is the result of looking up a prompt's context in the directory for one
// weight version. Each version has its own chain because cached blocks can't be used
// with another version.
type contextLookup struct {
	version  string
	anchor   prompt.Hash
	chain    prompt.Chain
	holdings []message.Holding
	// blockTokens is the number of tokens in a block of the chain.
	blockTokens int
}

// routeChoice is the target chosen for a prompt, with the routing decision, the context
// lookup and the sealed copies that can be imported.
type routeChoice struct {
	target   target.Target
	lookup   *contextLookup
	decision route.Decision
	copies   []message.Holding
}

// tokensToPrefill returns how many of the prompt's tokens the engine has to prefill.
func (r *routeChoice) tokensToPrefill(tokens int) int {
	c := r.decision.Cost(r.decision.Target())
	held := 0

	switch c.Strategy {
	case route.Warm:
		for _, h := range r.lookup.holdings {
			if !h.Store && h.Holder == r.target.VM {
				held = max(held, h.Blocks)
			}
		}
	case route.Import:
		if len(r.copies) > 0 {
			held = r.copies[0].Blocks
		}
	default:
	}

	return max(0, tokens-held*r.lookup.blockTokens)
}

// scopeOf returns the scope of j's blocks for a weight version.
func (j *job) scopeOf(version string) prompt.Scope {
	return prompt.Scope{Salt: j.salt(), Model: j.model, Version: version}
}

// lookup returns the lookup of j's context for a version. It queries the owner the first
// time and returns the stored result afterwards.
func (j *job) lookup(ctx context.Context, version string, blockTokens int) *contextLookup {
	for _, l := range j.lookups {
		if l.version == version {
			return l
		}
	}

	scope := j.scopeOf(version)
	l := &contextLookup{version: version, anchor: directory.Anchor(scope, j.sharedPrefix), chain: scope.Chain(j.rendered, blockTokens), blockTokens: blockTokens}

	if len(l.chain) > 0 {
		l.holdings = j.e.locate(ctx, j.id, l.anchor, l.chain)
	}

	j.lookups = append(j.lookups, l)

	return l
}

// route chooses the target of the next attempt, over all weight versions among the
// targets. found is false when no target is available.
func (j *job) route(ctx context.Context) (r routeChoice, found bool) {
	now := time.Now()
	targets := j.usableTargets(now)
	best := routeChoice{}

	for _, version := range versions(targets) {
		info := j.e.engines.get(firstVM(targets, version))
		lookup := j.lookup(ctx, version, blockTokensOf(info))
		candidates := j.routeCandidates(now, targets, lookup)
		copies := j.copies(lookup)
		d := j.decide(now, candidates, lookup, copies, info)

		if d.Found() && (!found || d.Cost(d.Target()).Total < best.decision.Cost(best.decision.Target()).Total) {
			best = routeChoice{target: targets[d.Target()], lookup: lookup, decision: d, copies: moveToFront(copies, d.Source())}
			found = true
		}

		j.logDecision(d, candidates)
	}

	return best, found
}

// moveToFront returns copies with the one at index i first, so that the side process
// tries the copy of the routing decision before the others.
func moveToFront(copies []message.Holding, i int) []message.Holding {
	if i <= 0 || i >= len(copies) {
		return copies
	}

	all := append([]message.Holding{copies[i]}, copies[:i]...)

	return append(all, copies[i+1:]...)
}

func (j *job) logDecision(d route.Decision, candidates []route.Candidate) {
	e := event.RouteRefused
	if d.Found() {
		e = event.RouteDecided
	}

	event.Log(j.e.cfg.Log, e, append([]any{"request_id", j.id, "attempt", j.attempt}, d.Fields(candidates)...)...)
}

// usableTargets returns the targets that may run j. For a suspect request it is at most
// one, so that copies of the request sent through several entries don't crash several
// targets at once.
func (j *job) usableTargets(now time.Time) []target.Target {
	all := j.e.targets.Candidates(now, j.service)
	usable := all[:0]

	for _, t := range all {
		if t.Model == j.model || t.Model == "" {
			usable = append(usable, t)
		}
	}

	if j.status != quarantine.Suspect {
		return usable
	}

	return j.suspectTarget(usable)
}

// suspectTarget returns the one target that may run a suspect request. Targets that
// crashed while they ran the request, and those already tried, are excluded.
func (j *job) suspectTarget(usable []target.Target) []target.Target {
	crashed := j.e.crashes.CrashedTargets(j.fingerprint)

	var names []string

	for _, t := range usable {
		if !j.tried[t.VM] && !slices.Contains(crashed, t.VM) {
			names = append(names, t.VM)
		}
	}

	chosen := quarantine.IsolationVM(j.fingerprint, names)

	for _, t := range usable {
		if t.VM == chosen {
			return []target.Target{t}
		}
	}

	return nil
}

// versions returns the distinct weight versions of targets, in order of appearance.
// Targets whose version is not known are skipped.
func versions(targets []target.Target) []string {
	var all []string

	for _, t := range targets {
		skip := t.WeightVersion == ""

		for _, v := range all {
			skip = skip || v == t.WeightVersion
		}

		if !skip {
			all = append(all, t.WeightVersion)
		}
	}

	return all
}

func firstVM(targets []target.Target, version string) string {
	for _, t := range targets {
		if t.WeightVersion == version {
			return t.VM
		}
	}

	return ""
}

func blockTokensOf(info engineInfo) int {
	if info.blockTokens > 0 {
		return info.blockTokens
	}

	return prompt.DefaultBlockTokens
}

// routeCandidates returns the targets as input for the routing decision, with the tokens
// of j's context that each one holds.
func (j *job) routeCandidates(now time.Time, targets []target.Target, lookup *contextLookup) []route.Candidate {
	all := make([]route.Candidate, len(targets))

	for i, t := range targets {
		c := j.e.routeCandidate(now, t)
		c.Tried = j.tried[t.VM]

		for _, h := range lookup.holdings {
			if !h.Store && h.Holder == t.VM {
				c.WarmTokens = h.Blocks * blockTokensOf(j.e.engines.get(t.VM))
				c.WarmAt = now.Add(-time.Duration(h.AgeMS) * time.Millisecond)
			}
		}

		all[i] = c
	}

	return all
}

// copies returns the sealed copies that can be imported, in the order of the lookup,
// with the current addresses of their stores from the VM list.
func (j *job) copies(lookup *contextLookup) []message.Holding {
	var all []message.Holding

	list := j.e.cfg.VMs.List()

	for _, h := range lookup.holdings {
		if !h.Store {
			continue
		}

		m, ok := list.Get(h.Holder)
		if !ok || m.Kind != vm.Store {
			continue
		}

		h.Address = m.Address
		all = append(all, h)
	}

	return all
}

func (j *job) decide(now time.Time, candidates []route.Candidate, lookup *contextLookup, copies []message.Holding, info engineInfo) route.Decision {
	q := route.Request{
		Tokens:        prompt.Tokens(j.rendered) + j.delivered,
		Version:       lookup.version,
		BytesPerToken: int64(info.bytesPerToken),
		Seed:          j.seed,
		Links:         j.e.links,
	}

	for _, h := range lookup.holdings {
		q.Computed = max(q.Computed, h.Blocks*blockTokensOf(info))
	}

	for _, h := range copies {
		q.Sources = append(q.Sources, route.Source{
			Name:       h.Holder,
			DataCentre: h.DataCentre,
			Tokens:     h.Blocks * blockTokensOf(info),
			Store:      true,
			LastSeen:   now.Add(-time.Duration(h.AgeMS) * time.Millisecond),
		})
	}

	return route.Decide(now, route.Config{
		FirstTokenWeight: j.values.FirstTokenWeight,
		RecomputedWeight: j.values.RecomputedWeight,
	}, q, candidates)
}

// roundTrip returns the round-trip time to a data centre according to the settings.
func (e *Entry) roundTrip(dataCentre string) time.Duration {
	if dataCentre == e.cfg.DataCentre {
		return localRoundTrip
	}

	if p := e.policy.Load(); p != nil {
		if l, ok := p.tree.Link(e.cfg.DataCentre, dataCentre); ok {
			return 2 * time.Duration(l.Delay)
		}
	}

	return remoteRoundTrip
}
