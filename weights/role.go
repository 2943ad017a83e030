package weights

// orderRoleChange orders one role change for a model, if one is due. An engine keeps its
// role unless more engines than wanted have it, and the engine to change is chosen in the
// order of VM names, so that plans don't oscillate.
func (p *planner) orderRoleChange(w Wanted, engines []Engine) {
	wanted := map[string]int{}
	for _, r := range w.Roles {
		wanted[r.Role] += r.Count
	}

	var spare []Engine

	for _, e := range engines {
		// The new role of an engine isn't visible while it changes. If another engine were
		// ordered meanwhile, one of the two would have to change back.
		if p.busy(e) {
			return
		}

		if e.State != Leaving && e.Role != "" && wanted[e.Role] > 0 {
			wanted[e.Role]--
			continue
		}

		if p.ready(e) && !p.unconfirmed[e.DataCentre] {
			spare = append(spare, e)
		}
	}

	for _, r := range w.Roles {
		if wanted[r.Role] > 0 && len(spare) > 0 {
			p.issue(spare[0], Order{Kind: SetRole, Role: r.Role})
			return
		}
	}

	for _, e := range spare {
		if e.Role != "" {
			p.issue(e, Order{Kind: SetRole})
			return
		}
	}
}
