package main

import (
	"context"
	"errors"
	"time"

	"boragehub/mirror"
	"boragehub/mirror/exchange"
	"boragehub/platform"
)

// fetchingEngines gives the store watcher access to the engines.
type fetchingEngines struct{ *gatewayProcess }

// RanUntil implements vault.Engines.
func (e fetchingEngines) RanUntil(now time.Time) int64 { return e.roster.RanUntil(now) }

// Probe implements vault.Engines. The engines to whose load reports this process subscribes are asked anyway.
func (e fetchingEngines) Probe(now time.Time, clock int64) []string {
	all, unsubscribed := e.roster.Unproven(now, clock)

	e.reports.Probe(unsubscribed)

	return all
}

// storePeers gives the store watcher access to the other entries.
type storePeers struct {
	*exchange.Client
	registration *exchange.Registration
	operators    *mirror.Topic
	self         string
}

// errResetUnknown is returned while this process doesn't know that the log has returned from a copy.
var errResetUnknown = errors.New("the log has returned from a copy")

// Registered reads from the log the addresses of all other registered entries.
func (p storePeers) Registered(ctx context.Context) ([]string, error) {
	all, era, err := p.registration.Addresses(ctx, p.self)
	if err == nil && era != p.operators.End().Era {
		return nil, errResetUnknown
	}

	return all, err
}

// Knows reports whether an entry has read the operators' topic up to a position.
func (p storePeers) Knows(ctx context.Context, peer string, at mirror.Position) bool {
	return p.Client.Knows(ctx, peer, platform.OperatorTopic, at)
}
