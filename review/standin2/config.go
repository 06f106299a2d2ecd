//go:build review2

package main

// This file builds manifests.

// config is a manifest with the limits of the platform's example.
func config(version int, routes, services []map[string]any) map[string]any {
	return map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []map[string]any{{"name": "bozi300", wireName("keys"): []string{key}, "priority": 1}},
	}
}

func route(name, host, prefix, kind, service string, timeout, goal, attempts int) map[string]any {
	return map[string]any{
		"name": name, "host": host, "prefix": prefix, "kind": kind, "service": service, "timeout_ms": timeout, "goal_ms": goal,
		"priority": 2, wireName("attempts"): attempts, "stages": []any{}, "public": false, "sticky": false, wireName("resume"): false,
	}
}

func service(name string, conns int) map[string]any {
	return map[string]any{"name": name, wireName("health"): "/health", "max_conns": conns, "protocol": "h1", "tls": false}
}

func engine(name string, conns, slots int) map[string]any {
	s := service(name, conns)
	s["engine"] = map[string]any{
		"capacity": slots, wireName("tokens"): 568434, wireName("tokenbytes"): 96256, "link_mbps": 550000.0, "stride": 4, "models": []map[string]any{{"name": "m"}},
	}
	return s
}

func zone(i int) string { return "kelang-" + string(rune('a'+i%3)) }
