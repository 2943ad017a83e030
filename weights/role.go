package weights

// roles orders one change of role for a model, if one is due. Engines keep the
// role that they have as long as it isn't had by more than wanted, and those
// that change are taken by name, so the plan doesn't swing.
func (p *planner) roles(w Wanted, engines []Engine) {
	wanted := map[string]int{}
	for _, r := range w.Roles {
		wanted[r.Role] += r.Count
	}

	var spare []Engine

	for _, e := range engines {
		// What an engine is about to be doesn't show while it changes. Were another
		// one changed meanwhile, one of them would have to change back.
		if p.busy(e) {
			return
		}

		if e.State != Leaving && e.Role != "" && wanted[e.Role] > 0 {
			wanted[e.Role]--
			continue
		}

		if p.ready(e) && !p.closed[e.DataCentre] {
			spare = append(spare, e)
		}
	}

	for _, r := range w.Roles {
		if wanted[r.Role] > 0 && len(spare) > 0 {
			p.order(spare[0], Order{Kind: SetRole, Role: r.Role})
			return
		}
	}

	for _, e := range spare {
		if e.Role != "" {
			p.order(e, Order{Kind: SetRole})
			return
		}
	}
}
