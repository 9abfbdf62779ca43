//go:build review

package main

// apiKey is the key of the only tenant.
const apiKey = "i9n73hh2b9wu3fexd9dn"

// route returns a route of the configuration.
func route(name, prefix, kind, service string, timeoutMS, targetMS, attempts int, anonymous bool) map[string]any {
	r := map[string]any{
		"name": name, "host": hostName, "prefix": prefix, "kind": kind, "timeout_ms": timeoutMS,
		"target_latency_ms": targetMS, "priority": 1, "service": service, "max_attempts": attempts, "anonymous": anonymous,
	}
	if kind == "stream" {
		r["sticky"], r["resumable"], r["target_gap_ms"] = true, false, 300
	}
	return r
}

// configuration returns a configuration with a model service and two plain services.
func configuration(version int, routes []any) map[string]any {
	plain := func(name string) map[string]any {
		return map[string]any{"name": name, "health_path": "/healthz", "max_connections": 110, "protocol": "h1", "tls": false}
	}
	model := plain("mulberry-lm")
	model["max_connections"] = 620
	model["engine"] = map[string]any{
		"slots": 128, "kv_capacity_tokens": kvTokens, "kv_token_bytes": 18432, "link_mbps": 370000.0, "moves": true, "backups": true,
		"stride": tokensPerEvent, "most": 12, "kv_ttl_s": kvTTL.Seconds(), "role_switch_s": roleSwitch.Seconds(),
		"pin_ms": 4000.0, "hold_ms": 2000.0, "models": []any{map[string]any{"name": "m"}},
	}
	return map[string]any{
		"version": version, "routes": routes, "services": []any{model, plain("refill-desk"), plain("refill-desk-2")},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{
			"name": "hule930", "api_keys": []string{apiKey}, "priority": 1, "unit": "token_stream", "plain_tokens": 200,
			"rate_per_s": 5_000_000, "burst": 5_000_000,
		}},
	}
}
