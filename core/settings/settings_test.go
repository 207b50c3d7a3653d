package settings

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const ranksABC = `"ranks": [{"name": "a", "share": 0.5}, {"name": "b", "share": 0.3}, {"name": "c"}]`

// TestFindings checks that each kind of invalid document gives a finding with its
// pointer and line.
func TestFindings(t *testing.T) {
	for _, test := range []struct{ name, document, want string }{
		{"shares", "{\n\"ranks\": [{\"name\": \"a\", \"share\": 0.7}, {\"name\": \"b\", \"share\": 0.4}]}", "line 2: /ranks: the shares add up to 1.1"},
		{"rank twice", `{"ranks": [{"name": "a"}, {"name": "a"}]}`, `/ranks/1: duplicate rank "a"`},
		{"rank without a name", `{"ranks": [{"share": 0.1}]}`, `/ranks/0: the rank has no name`},
		{"rank name", `{"ranks": [{"name": "a b"}]}`, `/ranks/0/name: rank "a b" must be`},
		{"unknown rank", `{"settings": {"rank": "x"}}`, `/settings/rank: rank "x" is not in "ranks"`},
		{"window shares", `{` + ranksABC + `, "settings": {"hours": [{"from": "01:00", "to": "02:00", "shares": {"c": 0.3}}]}}`, `/settings/hours/0: the shares add up to 1.1 in this window`},
		{"window overlap", `{` + ranksABC + `, "settings": {"hours": [{"from": "22:00", "to": "02:00", "shares": {}}, {"from": "01:00", "to": "03:00", "shares": {}}]}}`, `/settings/hours/1: the window overlaps`},
		{"window zones", `{` + ranksABC + `, "settings": {"hours": [{"from": "01:00", "to": "02:00", "shares": {}}, {"from": "03:00", "to": "04:00", "zone": "Asia/Tokyo", "shares": {}}]}}`, `all windows of a list must have one zone`},
		{"window empty", `{"settings": {"hours": [{"from": "01:00", "to": "01:00", "shares": {}}]}}`, `begins and ends at 01:00`},
		{"window time", `{"settings": {"hours": [{"from": "25:00", "to": "02:00", "shares": {}}]}}`, `/settings/hours/0/from: "25:00" is not a time of day`},
		{"window keys", `{"settings": {"hours": [{"from": "01:00"}]}}`, `/settings/hours/0: the window has no "to"`},
		{"zone", `{"settings": {"hours": [{"from": "01:00", "to": "02:00", "zone": "Local", "shares": {}}]}}`, `/settings/hours/0/zone: "Local" is not an IANA time zone`},
		{"hours of a path", `{"services": {"s": {"paths": {"/x": {"settings": {"hours": []}}}}}}`, `/services/s/paths/~1x/settings/hours: "hours" is not a setting of a call path`},
		{"slots of a path", `{"services": {"s": {"paths": {"/x": {"settings": {"slots": 3}}}}}}`, `"slots" is not a setting of a call path`},
		{"rank of a rank", `{` + ranksABC + `, "services": {"s": {"paths": {"/x": {"ranks": {"c": {"settings": {"rank": "a"}}}}}}}}`, `"rank" is not a setting of a rank`},
		{"unknown rank at rank level", `{"services": {"s": {"paths": {"/x": {"ranks": {"z": {}}}}}}}`, `/services/s/paths/~1x/ranks/z: rank "z" is not`},
		{"rank never in force", `{` + ranksABC + `, "services": {"s": {"paths": {"/x": {"settings": {"rank": "b"}, "ranks": {"a": {"settings": {}}}}}}}}`, `/services/s/paths/~1x/ranks/a: rank "a" is more urgent`},
		{"queue", `{"settings": {"queue_ms": 100}, "services": {"s": {"paths": {"/x": {"settings": {"timeout_ms": 50}}}}}}`, `/services/s/paths/~1x/settings/timeout_ms: queue_ms 100 is longer than timeout_ms 50`},
		{"path", `{"services": {"s": {"paths": {"x": {}}}}}`, `call path "x" is not`},
		{"query", `{"services": {"s": {"paths": {"GET /x?y": {}}}}}`, `without a query`},
		{"method", `{"services": {"s": {"paths": {"get /x": {}}}}}`, `"get" is not an HTTP method`},
		{"no method", `{"services": {"s": {"paths": {" /x": {}}}}}`, `"" is not an HTTP method`},
		{"path twice", `{"services": {"s": {"paths": {"/x": {}, "/x": {}}}}}`, `duplicate key "/x"`},
		{"service name", `{"services": {"a/b": {}}}`, `/services/a~1b: service "a/b" must be`},
		{"key twice", `{"settings": {"slots": 1, "slots": 2}}`, `/settings/slots: duplicate key "slots"`},
		{"type", `{"settings": {"slots": "1"}}`, `/settings/slots: is string, must be number`},
		{"fraction", `{"settings": {"slots": 1.5}}`, `/settings/slots: 1.5 is not an integer`},
		{"huge", `{"settings": {"slots": 1e999}}`, `/settings/slots: 1e999 is outside`},
		{"null", `{"services": null}`, `/services: is null, must be object`},
		{"syntax", "{\n\"settings\": {,}}", "line 2: /: not JSON"},
		{"cut", "{\n\"settings\": {\n", "line 3: /: not JSON: unexpected EOF"},
		{"two values", "{}\n{}", "more than one JSON value"},
		{"rest", "{} x", "not JSON"},
		{"encoding", "{\n\"\xff\": 1}", "line 2: /: not JSON: invalid UTF-8"},
		{"depth", strings.Repeat("[", 100), "nested deeper"},
		{"size", `{"x": "` + strings.Repeat("x", MaxDocumentBytes) + `"}`, "more than the"},
	} {
		t.Run(test.name, func(t *testing.T) {
			document, findings := Parse([]byte(test.document))
			if document != nil || !strings.Contains(findings.Error(), test.want) {
				t.Errorf("want %q, got document %v and findings:\n%v", test.want, document, findings)
			}
		})
	}
}

func TestFindingsAreReportedTogether(t *testing.T) {
	is := is.New(t)
	_, findings := Parse([]byte("{\"settings\": {\n\"slots\": 0,\n\"colour\": 1},\n\"ranks\": 3}"))
	is.Equal(findings, Findings{
		{"/settings/slots", 2, "0 is outside 1 to 100000"},
		{"/settings/colour", 3, `unknown key "colour"`},
		{"/ranks", 4, "is number, must be array"},
	})
}

func TestEffectiveNamesTheLevelThatSets(t *testing.T) {
	is := is.New(t)
	d, findings := Parse([]byte(`{` + ranksABC + `,
		"settings": {"timeout_ms": 2000, "rank": "a"},
		"services": {"s": {"settings": {"timeout_ms": 2000}, "paths": {
			"/x": {"settings": {"attempts": 3}, "ranks": {"b": {"settings": {"attempts": 3}}}}}}}}`))
	is.Equal(len(findings), 0)
	level := func(rank, key string) Level {
		for _, v := range d.Effective("s", "GET", "/x/1", rank) {
			if v.Key == key {
				return v.Level
			}
		}
		return ""
	}
	is.Equal(level("", "timeout_ms"), LevelService) // repeats the value of the level above
	is.Equal(level("", "attempts"), LevelPath)
	is.Equal(level("b", "attempts"), LevelRank)
	is.Equal(level("b", "rank"), LevelRequest)
	is.Equal(level("", "rank"), LevelRoot)
	is.Equal(level("", "slots"), LevelDefault)
}

func TestDiffIsBySetting(t *testing.T) {
	is := is.New(t)
	before := []byte(`{"settings": {"slots": 1, "queue_ms": 2}, ` + ranksABC + `}`)
	after := []byte("{\n" + `"ranks": [{"name": "b", "share": 0.3}, {"share": 0.4, "name": "a"}, {"name": "c"}], "settings": {"queue_ms": 2, "attempts": 4}}`)
	is.Equal(Diff(before, after), []Change{
		{"/ranks", "a > b > c", "b > a > c"},
		{"/ranks/a/share", "0.5", "0.4"},
		{"/settings/attempts", "", "4"},
		{"/settings/slots", "1", ""},
	})
	is.Equal(len(Diff(before, before)), 0)
}

func TestWindowAcrossMidnightAndSummerTime(t *testing.T) {
	is := is.New(t)
	zone, err := time.LoadLocation("Pacific/Auckland")
	is.NoErr(err)
	w := Window{From: 21 * time.Hour, To: 5 * time.Hour, Zone: zone}
	is.True(w.Contains(time.Date(2031, 1, 1, 23, 0, 0, 0, zone)))
	is.True(w.Contains(time.Date(2031, 7, 1, 4, 59, 0, 0, zone)))
	is.True(!w.Contains(time.Date(2031, 7, 1, 5, 0, 0, 0, zone)))
}

// tree holds the values that a random document sets at each level.
type tree struct {
	root, service, path, rank map[string]int
	pathRank, requestedRank   string
}

var integerKeys = []string{"timeout_ms", "attempts"}

func drawLevel(t *rapid.T, name string) map[string]int {
	return rapid.MapOf(rapid.SampledFrom(integerKeys), rapid.IntRange(1, 5)).Draw(t, name)
}

func settingsJSON(values map[string]int, rank string) string {
	var parts []string
	for name, value := range values {
		parts = append(parts, fmt.Sprintf("%q: %d", name, value))
	}
	if rank != "" {
		parts = append(parts, fmt.Sprintf(`"rank": %q`, rank))
	}
	return "{" + strings.Join(parts, ", ") + "}"
}

// TestResolveTakesTheDeepestLevel checks that Resolve gives each setting the value of
// the deepest level that sets it, and that Effective names that level.
func TestResolveTakesTheDeepestLevel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rank := rapid.SampledFrom([]string{"", "a", "b", "c", "unknown"})
		tr := tree{
			drawLevel(t, "root"), drawLevel(t, "service"), drawLevel(t, "path"), drawLevel(t, "rank"),
			rapid.SampledFrom([]string{"", "a", "b", "c"}).Draw(t, "path rank"), rank.Draw(t, "asked"),
		}
		d, findings := Parse([]byte(fmt.Sprintf(`{%s, "settings": %s, "services": {"s": {"settings": %s, "paths": {"/": {}, "/x": {"settings": %s, "ranks": {"c": {"settings": %s}}}}}}}`,
			ranksABC, settingsJSON(tr.root, ""), settingsJSON(tr.service, ""), settingsJSON(tr.path, tr.pathRank), settingsJSON(tr.rank, ""))))
		if len(findings) > 0 {
			t.Fatal(findings)
		}
		want, level := tr.expectedValues()
		got := d.Resolve("s", "GET", "/x/y", tr.requestedRank)
		if got.Timeout.Milliseconds() != int64(want["timeout_ms"]) || got.Attempts != want["attempts"] {
			t.Fatalf("want %v, got %+v", want, got)
		}
		for _, v := range d.Effective("s", "GET", "/x/y", tr.requestedRank) {
			if l, checked := level[v.Key]; checked && v.Level != l {
				t.Fatalf("%s: want level %s, got %s", v.Key, l, v.Level)
			}
		}
	})
}

func (tr tree) expectedValues() (map[string]int, map[string]Level) {
	want := map[string]int{"timeout_ms": 2000, "attempts": 3}
	level := map[string]Level{"timeout_ms": LevelDefault, "attempts": LevelDefault}
	override := func(values map[string]int, l Level) {
		for name, value := range values {
			want[name], level[name] = value, l
		}
	}
	override(tr.root, LevelRoot)
	override(tr.service, LevelService)
	override(tr.path, LevelPath)
	if tr.requestedRank == "c" || tr.pathRank == "c" || tr.pathRank == "" {
		override(tr.rank, LevelRank)
	}
	return want, level
}

// TestLargeFleetFits checks that a document of 550 services with six call paths each
// fits MaxDocumentBytes.
func TestLargeFleetFits(t *testing.T) {
	is := is.New(t)
	document := largeDocument()
	is.True(len(document) <= MaxDocumentBytes)
	d, findings := Parse(document)
	is.Equal(len(findings), 0)
	is.Equal(len(d.Services()), 550)
	is.Equal(d.Resolve("service-549", "POST", "/orders/7/items", "").Timeout, 1500*time.Millisecond)
}

func largeDocument() []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "{\n  %s,\n  \"services\": {", ranksABC)
	for i := range 550 {
		if i > 0 {
			b.WriteString(",")
		}
		fmt.Fprintf(&b, "\n    \"service-%03d\": {\n      \"settings\": {\"slots\": 50, \"connections\": 400, \"rank\": \"b\"},\n      \"paths\": {", i)
		for j, name := range []string{"POST /orders", "GET /orders", "GET /reports", "/health", "PUT /profiles", "GET /search"} {
			if j > 0 {
				b.WriteString(",")
			}
			fmt.Fprintf(&b, "\n        %q: {\n          \"settings\": {\"rank\": \"a\", \"timeout_ms\": 1500, \"attempts\": 2},\n          \"ranks\": {\"c\": {\"settings\": {\"timeout_ms\": 700}}}\n        }", name)
		}
		b.WriteString("\n      }\n    }")
	}
	b.WriteString("\n  }\n}\n")
	return []byte(b.String())
}

func TestResolveAllocatesNothing(t *testing.T) {
	d, _ := Parse(largeDocument())
	allocs := testing.AllocsPerRun(100, func() { resolved = d.Resolve("service-100", "GET", "/reports/1", "c") })
	if allocs != 0 {
		t.Fatalf("Resolve made %v allocations, want 0", allocs)
	}
}

var resolved Values

func BenchmarkResolve(b *testing.B) {
	d, _ := Parse(largeDocument())
	b.ReportAllocs()
	for b.Loop() {
		resolved = d.Resolve("service-100", "GET", "/reports/1", "c")
	}
}

func BenchmarkParse(b *testing.B) {
	document := largeDocument()
	b.SetBytes(int64(len(document)))
	b.ReportAllocs()
	for b.Loop() {
		if _, findings := Parse(document); len(findings) > 0 {
			b.Fatal(findings)
		}
	}
}

// FuzzParse checks that Parse returns either a document or findings, each with its
// line, and that every lookup in an accepted document succeeds.
func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"settings": {"slots": 1}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		d, findings := Parse(data)
		if (d == nil) != (len(findings) > 0) {
			t.Fatalf("document %v with findings %v", d, findings)
		}
		for _, finding := range findings {
			if finding.Line < 1 && len(data) <= MaxDocumentBytes {
				t.Fatalf("no line: %v", finding)
			}
		}
		if d == nil {
			return
		}
		for _, service := range append(d.Services(), "other") {
			d.Resolve(service, "GET", "/", "")
			d.Effective(service, "POST", "/x", "bulk")
			d.SharesAt(service, time.Unix(0, 0))
		}
		if changes := Diff(data, data); len(changes) > 0 {
			t.Fatalf("Diff of a document with itself: %v", changes)
		}
	})
}
