package main

// Routes and services of the cases, as on the sheets of the sites.
const (
	modelService = "lm"
	appService   = "app"
	draftPath    = "/draft/1"
	lookupPath   = "/lookup/1"
)

func (w *world) putConfig(version int) {
	w.store.put("config", "main", map[string]any{
		"version": version,
		"routes": []map[string]any{
			{
				"name": "r-draft", "host": host, "path_prefix": "/draft/", "kind": "streaming", "timeout_ms": 39000, "latency_goal_ms": 4000,
				"priority": 2, "service": modelService, "max_attempts": 1, "anonymous": false, "sticky": true, "resumable": false, "gap_target_ms": 180,
			},
			{
				"name": "r-lookup", "host": host, "path_prefix": "/lookup/", "kind": "idempotent", "timeout_ms": 3000, "latency_goal_ms": 300,
				"priority": 2, "service": appService, "max_attempts": 2, "anonymous": false, "sticky": false, "resumable": false,
			},
		},
		"services": []map[string]any{
			{
				"name": modelService, "health_path": "/health", "max_conns": 851, "protocol": "h1", "tls": false, "cold_start_s": 1.0, "cold_per_s": 0.0,
				"engine": map[string]any{
					"slots": 24, "kv_capacity_tokens": w.kvCapacity, "kv_token_bytes": w.kvTokenBytes, "link_mbps": w.linkMbps, "moves": true, "backups": w.backups,
					"stride": 4, "most": 12, "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0, "models": []map[string]any{{"name": "m"}},
				},
			},
			{"name": appService, "health_path": "/health", "max_conns": 672, "protocol": "h1", "tls": false, "cold_start_s": 0.0, "cold_per_s": 0.0},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []map[string]any{{"name": tenant, "api_keys": []string{apiKey}}},
	})
}
