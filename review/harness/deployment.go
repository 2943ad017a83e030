//go:build review

package main

// limits are those that the examples of the pages have.
var limits = map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}

// modelService returns the configuration of a service of model engines.
func modelService(name string, models ...string) map[string]any {
	var all []any
	for _, m := range models {
		all = append(all, map[string]any{"name": m})
	}

	return map[string]any{
		"name": name, "healthPath": "/healthz", "maxConnections": 360, "protocol": "h1", "tls": false,
		"engine": map[string]any{
			"slots": engineSlots, "kvCapacityTokens": kvCapacity, "tokenKvBytes": 163840, "linkMbps": 550000.0, "moves": true, "backups": true,
			"managed": true, "stride": 4, "maxConcurrency": 12, "pinMs": 4000.0, "holdMs": 2000.0, "handle_s": 5.0, "models": all,
		},
	}
}

// seatQuery returns the route of the quick questions.
func seatQuery(service string) map[string]any {
	return map[string]any{
		"name": "seat-query", "host": host, "pathPrefix": "/seat/", "kind": "streaming", "timeoutMs": 5000, "targetLatencyMs": 400,
		"priority": 0, "service": service, "maxAttempts": 1, "public": false, "sticky": true, "resumable": false, "gapAimMs": 300,
	}
}

func tenant(name, key string) map[string]any {
	return map[string]any{"name": name, "apiKeys": []string{key}, "priority": 1}
}

// manifestPull returns the route of the lookups.
func manifestPull() map[string]any {
	return map[string]any{
		"name": "manifest-pull", "host": host, "pathPrefix": "/manifest/", "kind": "idempotent", "timeoutMs": 800, "targetLatencyMs": 150,
		"priority": 2, "service": "booking-api", "maxAttempts": 2, "public": false, "sticky": false, "resumable": false,
	}
}

// bookingWrite returns the route of the bookings, which must not run twice.
func bookingWrite() map[string]any {
	return map[string]any{
		"name": "booking-write", "host": host, "pathPrefix": "/booking/", "kind": "non_idempotent", "timeoutMs": 800, "targetLatencyMs": 150,
		"priority": 2, "service": "booking-api", "maxAttempts": 1, "public": false, "sticky": false, "resumable": false,
	}
}

// bookingService returns the configuration of the plain service.
func bookingService() map[string]any {
	return map[string]any{"name": "booking-api", "healthPath": "/healthz", "maxConnections": 96, "protocol": "h1", "tls": false}
}
