// Package admin serves the operators' port of a daemon.
package admin

import (
	"encoding/json"
	"io"
	"net/http"
)

// Peer is one known peer in a Status.
type Peer struct {
	ID         string `json:"id"`
	Service    string `json:"service"`
	Region     string `json:"region"`
	DataCentre string `json:"data_centre"`
	Addr       string `json:"addr"`
	// Admin is the host:port of the peer's admin port; empty if not known.
	Admin string `json:"admin"`
	State string `json:"state"`
	// SettingsRevision is the revision that the peer last said to have in
	// force; 0 if not known.
	SettingsRevision uint64 `json:"settings_revision"`
}

// States of a peer and lives of a daemon that commands look at.
const (
	StateServing = "serving"
	StateLeaving = "leaving"
)

// Status is the body of /status.
type Status struct {
	Version          string `json:"version"`
	Instance         string `json:"instance"`
	Service          string `json:"service"`
	Region           string `json:"region"`
	DataCentre       string `json:"data_centre"`
	LifecycleState             string `json:"life"`
	SettingsRevision uint64 `json:"settings_revision"`
	Running          int    `json:"running"`
	Queued           int    `json:"queued"`
	// RegionLinkShare is the own share of the link between regions, in bytes per
	// second each way.
	RegionLinkShare float64 `json:"region_link_share"`
	// Ejected lists the peers that get no calls because they fail.
	Ejected []string `json:"ejected,omitempty"`
	// Relay is set while this daemon is a relay between data centres.
	Relay bool `json:"relay"`
	// Superseded is set once another process holds this instance id.
	Superseded bool `json:"superseded,omitempty"`
	// Unreachable lists the data centres that do not answer.
	Unreachable []string `json:"unreachable,omitempty"`
	// StoreOutdated is set while this daemon sees the store hold settings that are
	// older than, or differ from, those in force; StoreRevision is their revision.
	StoreOutdated    bool   `json:"store_settings_older,omitempty"`
	StoreRevision uint64 `json:"store_settings_revision,omitempty"`
	Peers         []Peer `json:"peers"`
}

// Daemon is what the port shows and drives.
type Daemon interface {
	// Status returns the daemon's present state.
	Status() Status
	// Ready reports whether the daemon takes new work.
	Ready() bool
	// Drain begins a planned stop.
	Drain()
	// WriteMetrics writes the metrics in the Prometheus text format.
	WriteMetrics(w io.Writer)
}

// Handler returns the handler of the admin port. POST /drain takes the name of the
// instance that is meant as ?instance=NAME, and refuses to drain another.
func Handler(d Daemon) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { d.WriteMetrics(w) })
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", "  ")
		_ = encoder.Encode(d.Status())
	})
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok\n") })
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !d.Ready() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
			return
		}
		_, _ = io.WriteString(w, "ready\n")
	})
	mux.HandleFunc("POST /drain", func(w http.ResponseWriter, r *http.Request) {
		if instance := r.URL.Query().Get("instance"); instance != "" && instance != d.Status().Instance {
			http.Error(w, "this is instance "+d.Status().Instance, http.StatusConflict)
			return
		}
		d.Drain()
		w.WriteHeader(http.StatusAccepted)
		_, _ = io.WriteString(w, "draining\n")
	})
	return mux
}
