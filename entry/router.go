package entry

import (
	"context"
	"fmt"
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

// Delays of a round trip where nothing is measured yet.
const (
	nearDelay = time.Millisecond
	farDelay  = 5 * time.Millisecond
)

// contextView is what is known of a prompt's context for one weight version: every
// version has its own chain, since no block of one is of use to another.
type contextView struct {
	version  string
	anchor   prompt.Hash
	chain    prompt.Chain
	holdings []message.Holding
	// blockTokens is the size of the chain's blocks.
	blockTokens int
}

// routed is where a prompt goes.
type routed struct {
	target   target.Target
	view     *contextView
	decision route.Decision
	copies   []message.Holding
}

// toCompute returns how many of the prompt's tokens its engine is to compute.
func (r *routed) toCompute(tokens int) int {
	c := r.decision.Cost(r.decision.Target())
	held := 0

	switch c.How {
	case route.Warm:
		for _, h := range r.view.holdings {
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

	return max(0, tokens-held*r.view.blockTokens)
}

// scopeOf is the scope of j's blocks under a weight version.
func (j *job) scopeOf(version string) prompt.Scope {
	return prompt.Scope{Salt: j.salt(), Model: j.model, Version: version}
}

// view returns what is known of j's context for a version, asking its owner the
// first time.
func (j *job) view(ctx context.Context, version string, blockTokens int) *contextView {
	for _, v := range j.views {
		if v.version == version {
			return v
		}
	}

	scope := j.scopeOf(version)
	v := &contextView{version: version, anchor: directory.Anchor(scope, j.opening), chain: scope.Chain(j.text, blockTokens), blockTokens: blockTokens}

	if len(v.chain) > 0 {
		v.holdings = j.e.locate(ctx, j.id, v.anchor, v.chain)
	}

	j.views = append(j.views, v)

	return v
}

// route decides where j goes next. found is false when no target can take it.
func (j *job) route(ctx context.Context) (r routed, found bool) {
	now := time.Now()
	targets := j.candidates(now)
	best := routed{}

	for _, version := range versions(targets) {
		sp := j.e.speeds.get(firstOf(targets, version))
		v := j.view(ctx, version, blockTokens(sp))
		candidates := j.describe(now, targets, v)
		copies := j.copies(v)
		d := j.decide(now, candidates, v, copies, sp)

		if d.Found() && (!found || d.Cost(d.Target()).Total < best.decision.Cost(best.decision.Target()).Total) {
			best = routed{target: targets[d.Target()], view: v, decision: d, copies: moveToFront(copies, d.Source())}
			found = true
		}

		j.logDecision(d, candidates)
	}

	return best, found
}

// moveToFront returns copies with the one at index i first, so that the side process
// tries the one whose link was weighed before the others.
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

// candidates returns the targets that may take j. A request under suspicion has
// one home among them: its callers must not lose several targets at once by it.
func (j *job) candidates(now time.Time) []target.Target {
	all := j.e.targets.Candidates(now, j.service)
	usable := all[:0]

	for _, t := range all {
		if t.Model == j.model || t.Model == "" {
			usable = append(usable, t)
		}
	}

	if j.standing != quarantine.Suspect {
		return usable
	}

	return j.home(usable)
}

// home returns the one target on which a request under suspicion may run: not
// one that died while it ran there, nor one that it was tried at.
func (j *job) home(usable []target.Target) []target.Target {
	died := j.e.crashes.Places(j.fingerprint)

	var names []string

	for _, t := range usable {
		if !j.tried[t.VM] && !slices.Contains(died, t.VM) {
			names = append(names, t.VM)
		}
	}

	home := quarantine.Home(j.fingerprint, names)

	for _, t := range usable {
		if t.VM == home {
			return []target.Target{t}
		}
	}

	return nil
}

// versions returns the weight versions among targets, in order of appearance.
func versions(targets []target.Target) []string {
	var all []string

	for _, t := range targets {
		known := t.WeightVersion == ""

		for _, v := range all {
			known = known || v == t.WeightVersion
		}

		if !known {
			all = append(all, t.WeightVersion)
		}
	}

	return all
}

func firstOf(targets []target.Target, version string) string {
	for _, t := range targets {
		if t.WeightVersion == version {
			return t.VM
		}
	}

	return ""
}

func blockTokens(s speed) int {
	if s.blockTokens > 0 {
		return s.blockTokens
	}

	return prompt.DefaultBlockTokens
}

// describe tells the decision what is believed of each target.
func (j *job) describe(now time.Time, targets []target.Target, v *contextView) []route.Candidate {
	all := make([]route.Candidate, len(targets))

	for i, t := range targets {
		c := j.e.candidate(now, t)
		c.Tried = j.tried[t.VM]

		for _, h := range v.holdings {
			if !h.Store && h.Holder == t.VM {
				c.Warm = h.Blocks * blockTokens(j.e.speeds.get(t.VM))
				c.WarmAt = now.Add(-time.Duration(h.AgeMS) * time.Millisecond)
			}
		}

		all[i] = c
	}

	return all
}

// copies returns the sealed copies that may be imported, deepest first, with
// the addresses of their stores as the platform now lists them.
func (j *job) copies(v *contextView) []message.Holding {
	var all []message.Holding

	list := j.e.cfg.VMs.List()

	for _, h := range v.holdings {
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

func (j *job) decide(now time.Time, candidates []route.Candidate, v *contextView, copies []message.Holding, sp speed) route.Decision {
	q := route.Request{
		Tokens:        prompt.Tokens(j.text) + j.index,
		Version:       v.version,
		BytesPerToken: int64(sp.bytesPerToken),
		Seed:          j.seed,
		Links:         j.e.links,
	}

	for _, h := range v.holdings {
		q.Computed = max(q.Computed, h.Blocks*blockTokens(sp))
	}

	for _, h := range copies {
		q.Sources = append(q.Sources, route.Source{
			Name:       h.Holder,
			DataCentre: h.DataCentre,
			Tokens:     h.Blocks * blockTokens(sp),
			Store:      true,
			Learned:    now.Add(-time.Duration(h.AgeMS) * time.Millisecond),
		})
	}

	return route.Decide(now, route.Config{
		FirstTokenWeight: j.values.FirstTokenWeight,
		RecomputedWeight: j.values.RecomputedWeight,
	}, q, candidates)
}

// delay returns the round trip to a data centre by the settings.
func (e *Entry) delay(dataCentre string) time.Duration {
	if dataCentre == e.cfg.DataCentre {
		return nearDelay
	}

	if p := e.policy.Load(); p != nil {
		if l, ok := p.tree.Link(e.cfg.DataCentre, dataCentre); ok {
			return 2 * time.Duration(l.Delay)
		}
	}

	return farDelay
}

func fingerprintText(f quarantine.Fingerprint) string { return fmt.Sprintf("%x", f[:]) }
