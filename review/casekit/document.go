package main

// limits are those of the pages' example.
var limits = map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}

// aimMS is the time within which a response earns its full credit, of all kinds of request
// that the cases play.
const aimMS = 2500

func route(host, prefix, kind, service string, timeoutMS int) map[string]any {
	return map[string]any{"host": host, "pathPrefix": prefix, "kind": kind, "timeoutMs": timeoutMS, "targetLatencyMs": aimMS,
		"priority": 1, "service": service, "maxAttempts": 2}
}

func services(names ...string) map[string]any {
	all := map[string]any{}
	for _, name := range names {
		all[name] = map[string]any{"healthPath": "/health", "maxConnections": 390, "protocol": "h1", "tls": false}
	}
	return all
}
