package scenario

import (
	"encoding/json"
	"fmt"
	"net/http"
	"regexp"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

func init() {
	commands["store"] = backupOrRestoreStore
	commands["unknown"] = awaitUnlisted
	commands["revision"] = awaitRevision
}

func backupOrRestoreStore(ts *testscript.TestScript, _ bool, args []string) {
	response, err := http.Post(ts.Getenv("platform")+"/"+args[0], "", http.NoBody)
	ts.Check(err)
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		ts.Fatalf("store %s: status %d", args[0], response.StatusCode)
	}
}

func awaitUnlisted(ts *testscript.TestScript, _ bool, args []string) {
	timeout, err := time.ParseDuration(args[0])
	ts.Check(err)
	url := ts.Getenv(args[1]+"_admin") + "/status"
	deadline := time.Now().Add(timeout)
	body := ""
	for time.Now().Before(deadline) {
		body = getBody(url)
		if json.Valid([]byte(body)) && !strings.Contains(body, fmt.Sprintf(`"id": %q`, args[2])) {
			return
		}
		time.Sleep(pollInterval)
	}
	ts.Fatalf("%s still lists %s after %v:\n%s", args[1], args[2], timeout, body)
}

func awaitRevision(ts *testscript.TestScript, _ bool, args []string) {
	timeout, err := time.ParseDuration(args[0])
	ts.Check(err)
	pattern := regexp.MustCompile(fmt.Sprintf(`(?m)^  "settings_revision": %s,`, args[1]))
	deadline := time.Now().Add(timeout)
	for _, name := range args[2:] {
		await(ts, time.Until(deadline), ts.Getenv(name+"_admin")+"/status", pattern)
	}
}
