// Package admin serves a daemon's admin port: metrics, status, health checks and
// drain.
package admin

import (
	"encoding/json"
	"io"
	"net/http"
)

// Peer is a known peer in a Status.
type Peer struct {
	ID         string `json:"id"`
	Service    string `json:"service"`
	Region     string `json:"region"`
	DataCentre string `json:"data_centre"`
	Addr       string `json:"addr"`
	// Admin is the host:port of the peer's admin port; empty if unknown.
	Admin string `json:"admin"`
	// State is serving, leaving, suspect or unreachable.
	State string `json:"state"`
	// SettingsRevision is the revision in force that the peer last reported; 0
	// if unknown.
	SettingsRevision uint64 `json:"settings_revision"`
}

// States of a peer that are also lifecycle states of a daemon. Only a peer that is
// serving counts as live.
const (
	StateServing = "serving"
	StateLeaving = "leaving"
)

// Status is the JSON body of /status.
type Status struct {
	Version    string `json:"version"`
	Instance   string `json:"instance"`
	Service    string `json:"service"`
	Region     string `json:"region"`
	DataCentre string `json:"data_centre"`
	// LifecycleState is the daemon's state in the state chart daemon-life.
	LifecycleState string `json:"life"`
	// SettingsRevision is the revision in force at this daemon; 0 before the first.
	SettingsRevision uint64 `json:"settings_revision"`
	// Running and Queued count the requests that run at the upstream and those that
	// wait for a slot.
	Running int `json:"running"`
	Queued  int `json:"queued"`
	// RegionLinkShare is this daemon's share of the region link, in bytes per second
	// each way.
	RegionLinkShare float64 `json:"region_link_share"`
	// Ejected lists the peers that receive no calls because they fail.
	Ejected []string `json:"ejected,omitempty"`
	// Relay is set while this daemon is a relay between data centres.
	Relay bool `json:"relay"`
	// Superseded is set once another process holds this instance id.
	Superseded bool `json:"superseded,omitempty"`
	// Unreachable lists the data centres that do not respond.
	Unreachable []string `json:"unreachable,omitempty"`
	// StoreOutdated is set while the store holds settings that are older than, or differ
	// from, those in force. StoreRevision is the revision of the store's settings.
	StoreOutdated bool   `json:"store_settings_older,omitempty"`
	StoreRevision uint64 `json:"store_settings_revision,omitempty"`
	// Peers lists the known instances, this one included.
	Peers []Peer `json:"peers"`
}

// Daemon is the daemon that the admin port shows and controls.
type Daemon interface {
	// Status returns the daemon's current state.
	Status() Status
	// Ready reports whether the daemon accepts new requests.
	Ready() bool
	// Drain starts a drain and returns at once.
	Drain()
	// WriteMetrics writes the metrics in the Prometheus text format.
	WriteMetrics(w io.Writer)
}

// Handler returns the handler of the admin port. POST /drain?instance=NAME fails unless
// the daemon is instance NAME.
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
