package stand

import "fmt"

// Host is the host of the routes of these stand-ins.
const Host = "h.example"

// Limits returns the limits that operators declare in the small deployments.
func Limits() map[string]any {
	return map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 5000, "idleTimeoutMs": 10000}
}

// PlainService returns the declaration of a service without model engines.
func PlainService(name string) map[string]any {
	return map[string]any{"name": name, "maxConnections": 110, "healthPath": "/healthz", "coldPerS": 0}
}

// UnsafeRoute returns the declaration of a route whose requests run once at most.
func UnsafeRoute(name, service string) map[string]any {
	return map[string]any{
		"name": name, "host": Host, "prefix": "/" + name + "/", "kind": "unsafe", "service": service,
		"timeoutMs": 2500, "targetLatencyMs": 150, "maxAttempts": 2, "priority": 2,
	}
}

// Tenant returns the declaration of a tenant with a quota that no script reaches.
func Tenant(name string, keys ...string) map[string]any {
	if keys == nil {
		keys = []string{}
	}
	return map[string]any{"name": name, "apiKeys": keys, "ratePerS": 1e6, "burst": 1e6, "unit": "tokens", "plainTokens": 200}
}

// Post returns a POST request of a client with its key, which waits for 2.5 s. The fields, each with its line end, are
// added to the head.
func Post(id, path, key, fields string, body []byte) []byte {
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: 2500\r\nAuthorization: Bearer %s\r\n%sContent-Length: %d\r\n\r\n",
		path, Host, id, key, fields, len(body))
	return append([]byte(head), body...)
}
