//go:build review

package main

// This file starts the platform: the store with a manifest.

import (
	"net"
	"net/http"
)

// startPlatform serves the store and publishes the first manifest.
func (b *bed) startPlatform(routes, services []any) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.fail("listening: %v", err)
	}
	s := &http.Server{Handler: b.store}
	go s.Serve(l)
	b.closers = append(b.closers, func() { s.Close() })
	b.storeAddress = l.Addr().String()
	b.publish(1, routes, services, "key-1")
}

// publish writes a version of the manifest.
func (b *bed) publish(version int, routes, services []any, keys ...string) {
	b.store.put(wire("manifestKey"), map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 1 << 20, "header_timeout_ms": 5000, "idle_timeout_ms": 30000},
		"tenants": []any{map[string]any{"name": "tenant-1", wire("keys"): keys}},
	})
}

func route(name, kind, service string, more map[string]any) map[string]any {
	r := map[string]any{
		"name": name, "host": "app.example", "prefix": "/" + name + "/", "kind": kind, "service": service,
		"timeout_ms": 3000, "goal_ms": 300, wire("attempts"): 1, "priority": 2, "public": false,
	}
	for k, v := range more {
		r[k] = v
	}
	return r
}
