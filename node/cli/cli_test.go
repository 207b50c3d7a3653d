package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"fuchsiavane.org/node/admin"
	"fuchsiavane.org/node/edit"
)

// run runs a command line and returns its exit status, stdout and stderr.
func run(t *testing.T, stdin string, args ...string) (int, string, string) {
	t.Helper()
	var out, err bytes.Buffer
	status := Main(t.Context(), args, Streams{In: strings.NewReader(stdin), Out: &out, Err: &err})
	return status, out.String(), err.String()
}

// fakeStore serves the settings keys as the platform's store does, and returns its
// base URL.
func fakeStore(t *testing.T) string {
	t.Helper()
	values := map[string][]byte{}
	revisions := map[string]int{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		key := r.URL.Path
		if r.Method == http.MethodPut {
			var b bytes.Buffer
			_, _ = b.ReadFrom(r.Body)
			values[key] = b.Bytes()
			revisions[key]++
			_ = json.NewEncoder(w).Encode(map[string]int{"revision": revisions[key]})
			return
		}
		if revisions[key] == 0 {
			http.NotFound(w, r)
			return
		}
		w.Header().Set("Revision", "1")
		_, _ = w.Write(values[key])
	}))
	t.Cleanup(server.Close)
	return server.URL
}

func fakeAdmin(t *testing.T, status func() admin.Status) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(status())
	}))
	t.Cleanup(server.Close)
	return server.URL
}

func TestWrongCommandLinesExitWithUsage(t *testing.T) {
	is := is.New(t)
	for _, args := range [][]string{
		{},
		{"sail"},
		{"settings"},
		{"settings", "sail"},
		{"settings", "check"},
		{"settings", "check", "a", "b"},
		{"settings", "check", "-colour", "-"},
		{"settings", "check", "-", "-colour"},
		{"settings", "show"}, // no store
		{"settings", "apply", "-platform", "nowhere", "-"},
		{"settings", "effective", "-"},
		{"version", "x"},
		{"status", "x"},
		{"drain"},
	} {
		status, out, stderr := run(t, "{}", args...)
		is.Equal(status, ExitUsage)
		is.Equal(out, "")
		is.True(stderr != "")
	}
}

func TestEveryCommandHasHelp(t *testing.T) {
	is := is.New(t)
	for _, command := range []string{"", "settings", "settings check", "settings diff", "settings apply", "settings show", "settings history", "settings effective", "status", "drain", "demo", "version"} {
		status, _, stderr := run(t, "", append(strings.Fields(command), "-h")...)
		is.Equal(status, ExitOK)
		is.True(strings.Contains(stderr, "USAGE"))
	}
}

func TestFindingsAsJSON(t *testing.T) {
	is := is.New(t)
	status, out, _ := run(t, `{"settings": {"slots": 0}}`, "settings", "check", "-", "--json")
	is.Equal(status, ExitUsage)
	var findings []struct {
		Pointer string
		Line    int
	}
	is.NoErr(json.Unmarshal([]byte(out), &findings))
	is.Equal(findings[0].Pointer, "/settings/slots")
	is.Equal(findings[0].Line, 1)
}

func TestDiffOfTwoFilesNeedsNoStore(t *testing.T) {
	is := is.New(t)
	old := filepath.Join(t.TempDir(), "old.json")
	is.NoErr(os.WriteFile(old, []byte(`{"settings": {"slots": 5}}`), 0o600))
	status, out, _ := run(t, `{"settings": {"slots": 6}}`, "settings", "diff", old, "-")
	is.Equal(status, ExitOK)
	is.Equal(out, "/settings/slots: 5 to 6\n")
}

func TestWaitReturnsWhenLiveDaemonsHaveTheRevision(t *testing.T) {
	is := is.New(t)
	var requests atomic.Uint64
	laggingPeer := fakeAdmin(t, func() admin.Status { // has it from the third request
		return admin.Status{Instance: "b", SettingsRevision: min(requests.Add(1)/3, 1)}
	})
	daemon := fakeAdmin(t, func() admin.Status {
		return admin.Status{Instance: "a", SettingsRevision: 1, Peers: []admin.Peer{
			{ID: "a", State: admin.StateServing},
			{ID: "b", State: admin.StateServing, Admin: strings.TrimPrefix(laggingPeer, "http://")},
			{ID: "c", State: admin.StateServing, SettingsRevision: 2},
			{ID: "d", State: admin.StateLeaving},
		}}
	})
	// c reports revision 2, so the edit gets revision 3, which no daemon has.
	status, out, stderr := run(t, "{}", "settings", "apply", "-platform", fakeStore(t), "-daemon", daemon, "-wait", "-wait-time", "1ms", "-")
	is.Equal(status, ExitFailed)
	is.True(strings.Contains(out, "revision 3\n"))
	is.True(strings.Contains(out, "not live, not waited for: d (leaving)"))
	is.True(strings.Contains(stderr, "revision 3 was accepted, but is not in force after 1ms at: a, b, c"))
}

func TestWaitSucceeds(t *testing.T) {
	is := is.New(t)
	var requests atomic.Uint64
	daemon := fakeAdmin(t, func() admin.Status {
		return admin.Status{Instance: "a", SettingsRevision: min(requests.Add(1)/3, 1)}
	})
	status, out, _ := run(t, "{}", "settings", "apply", "-platform", fakeStore(t), "-daemon", daemon, "-wait", "-json", "-")
	is.Equal(status, ExitOK)
	var result struct {
		Revision uint64
		InForce  []string `json:"in_force"`
	}
	is.NoErr(json.Unmarshal([]byte(out), &result))
	is.Equal(result.Revision, uint64(1))
	is.Equal(result.InForce, []string{"a"})
}

func TestWaitWithoutADaemonChangesNothing(t *testing.T) {
	is := is.New(t)
	store := fakeStore(t)
	status, _, stderr := run(t, "{}", "settings", "apply", "-platform", store, "-daemon", "http://127.0.0.1:1", "-wait", "-")
	is.Equal(status, ExitFailed)
	is.True(strings.Contains(stderr, "nothing was changed"))
	status, _, _ = run(t, "", "settings", "show", "-platform", store)
	is.Equal(status, ExitFailed) // no settings yet
}

func TestDrainOfUnknownInstanceListsKnownOnes(t *testing.T) {
	is := is.New(t)
	daemon := fakeAdmin(t, func() admin.Status {
		return admin.Status{Instance: "a", Peers: []admin.Peer{{ID: "a"}, {ID: "b"}}}
	})
	status, _, stderr := run(t, "", "drain", "-daemon", daemon, "c")
	is.Equal(status, ExitFailed)
	is.True(strings.Contains(stderr, `instance "c" is not known to a, which knows a, b`))
	status, _, stderr = run(t, "", "drain", "-daemon", daemon, "b")
	is.Equal(status, ExitFailed)
	is.True(strings.Contains(stderr, "admin address of b is not known"))
}

func TestStatusOfALargeFleetIsCounted(t *testing.T) {
	is := is.New(t)
	var peers []admin.Peer
	for i := range 9800 {
		peers = append(peers, admin.Peer{ID: fmt.Sprintf("i-%d", i), Region: "south", DataCentre: fmt.Sprintf("south-%d", i%2), State: admin.StateServing, SettingsRevision: 7})
	}
	daemon := fakeAdmin(t, func() admin.Status { return admin.Status{Instance: "a", Peers: peers} })
	status, out, _ := run(t, "", "status", "-daemon", daemon)
	is.Equal(status, ExitOK)
	is.Equal(strings.Count(out, "\n"), 4)
	is.True(regexp.MustCompile(`south +south-1 +serving +7 +4900\n`).MatchString(out))
	_, out, _ = run(t, "", "status", "-all", "-daemon", daemon)
	is.Equal(strings.Count(out, "\n"), 9802)
}

// TestWatchGoesOnUntilInterrupted checks that -watch continues after errors until it is
// interrupted, and then exits with 0.
func TestWatchGoesOnUntilInterrupted(t *testing.T) {
	is := is.New(t)
	ctx, interrupt := context.WithCancel(t.Context())
	var requests atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		switch requests.Add(1) {
		case 1:
			http.Error(w, "not now", http.StatusServiceUnavailable)
		case 3:
			interrupt()
		}
		_ = json.NewEncoder(w).Encode(admin.Status{Instance: "a"})
	}))
	defer server.Close()
	var out, stderr bytes.Buffer
	args := []string{"status", "-watch", "-interval", "1ms", "-daemon", server.URL}
	is.Equal(Main(ctx, args, Streams{Out: &out, Err: &stderr}), ExitOK)
	is.True(strings.Contains(stderr.String(), "status 503"))
	is.True(strings.Contains(out.String(), "a: "))
}

func TestStatusWarns(t *testing.T) {
	is := is.New(t)
	daemon := fakeAdmin(t, func() admin.Status {
		return admin.Status{Instance: "a", Superseded: true, StoreOutdated: true, StoreRevision: 3, Unreachable: []string{"north-1"}, Ejected: []string{"b", "c"}}
	})
	_, out, _ := run(t, "", "status", "-daemon", daemon)
	for _, want := range []string{"uses this instance ID", "revision 3", "unreachable data centres: north-1", "calls fail: b, c"} {
		is.True(strings.Contains(out, want))
	}
}

// TestEditGoesAboveTheRevisionInForce checks that a new revision exceeds the one in
// force at the given daemon, and that the edit is made even if the daemon does not
// respond.
func TestEditGoesAboveTheRevisionInForce(t *testing.T) {
	is := is.New(t)
	daemon := fakeAdmin(t, func() admin.Status { return admin.Status{Instance: "a", SettingsRevision: 57} })
	store := fakeStore(t)
	status, out, _ := run(t, "{}", "settings", "apply", "-platform", store, "-daemon", daemon, "-")
	is.Equal(status, ExitOK)
	is.Equal(out, "revision 58\n")
	status, out, stderr := run(t, "{}", "settings", "apply", "-platform", store, "-daemon", "http://127.0.0.1:1", "-")
	is.Equal(status, ExitOK)
	is.Equal(out, "revision 59\n")
	is.True(strings.Contains(stderr, "the revision in force is unknown"))
}

// TestDrainRefusesAnotherInstanceAtTheAddress checks that a daemon other than the named
// one is not drained. An admin address such as 127.0.0.1:7403 reaches another daemon
// from another machine.
func TestDrainRefusesAnotherInstanceAtTheAddress(t *testing.T) {
	is := is.New(t)
	var posts atomic.Int32
	var own string
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			posts.Add(1)
		}
		_ = json.NewEncoder(w).Encode(admin.Status{Instance: "a", Peers: []admin.Peer{{ID: "a"}, {ID: "b", Admin: own}}})
	}))
	defer server.Close()
	own = strings.TrimPrefix(server.URL, "http://")
	status, _, stderr := run(t, "", "drain", "-daemon", server.URL, "b")
	is.Equal(status, ExitFailed)
	is.True(strings.Contains(stderr, "reaches instance a from this machine"))
	is.Equal(posts.Load(), int32(0))
}

// TestEffectiveShowsWhatDaemonsApply checks a document in the store that a newer version
// accepted: its known parts are shown, the others noted. A file is checked strictly.
func TestEffectiveShowsWhatDaemonsApply(t *testing.T) {
	is := is.New(t)
	const newer = `{"settings":{"slots":7,"shield":"on"}}`
	store := fakeStore(t)
	head, err := json.Marshal(edit.Head{Stamp: edit.Stamp{Revision: 1, EditID: "e"}, Document: []byte(newer)})
	is.NoErr(err)
	put, err := http.NewRequest(http.MethodPut, store+"/v1/kv/"+edit.HeadKey, bytes.NewReader(head))
	is.NoErr(err)
	response, err := http.DefaultClient.Do(put)
	is.NoErr(err)
	is.NoErr(response.Body.Close())
	status, out, stderr := run(t, "", "settings", "effective", "-platform", store, "-service", "desk")
	is.Equal(status, ExitOK)
	is.True(strings.Contains(out, "slots"))
	is.True(strings.Contains(stderr, "/settings/shield"))
	status, _, stderr = run(t, newer, "settings", "effective", "-service", "desk", "-")
	is.True(status != ExitOK)
	is.True(strings.Contains(stderr, "shield"))
}

// TestStatusWithoutEndIsAnError has a daemon's admin port send a status without end: the
// command fails, and takes a bounded number of bytes.
func TestStatusWithoutEndIsAnError(t *testing.T) {
	is := is.New(t)
	const maxTaken = 32 << 20 // the largest status, and the buffers of the sockets
	var taken atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, err := w.Write([]byte(`{"instance":"`))
		for block := bytes.Repeat([]byte("a"), 64<<10); err == nil && taken.Load() <= maxTaken; {
			var n int
			n, err = w.Write(block)
			taken.Add(int64(n))
		}
	}))
	t.Cleanup(server.Close)
	status, _, _ := run(t, "", "status", "-daemon", server.URL)
	is.Equal(status, 1)
	is.True(taken.Load() <= maxTaken)
}
