// Package examples holds the settings documents of two example deployments.
package examples

import (
	"os"
	"testing"
	"time"

	"github.com/matryer/is"

	"fuchsiavane.org/core/settings"
)

func load(t *testing.T, name string) *settings.Document {
	t.Helper()
	data, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	document, findings := settings.Parse(data)
	if len(findings) > 0 {
		t.Fatalf("%s:\n%v", name, findings)
	}
	return document
}

func protected(d *settings.Document) []string {
	var names []string
	for _, r := range d.Ranks() {
		if r.Protected {
			names = append(names, r.Name)
		}
	}
	return names
}

// TestTePuna checks the effective settings of te-puna.json.
func TestTePuna(t *testing.T) {
	is := is.New(t)
	d := load(t, "te-puna.json")
	is.Equal(protected(d), []string{"ruling"})
	is.Equal(len(d.Services()), 4)
	ruling := d.Resolve("rulings", "POST", "/rulings", "")
	is.Equal(ruling.Rank, "ruling")
	is.True(!ruling.IsIdempotent("POST"))
	is.Equal(d.ServiceValues("certificates").Slots, 15)
	is.Equal(d.ServiceValues("certificates").Connections, 180)
	is.Equal(d.ServiceValues("results").Slots, 50)
	is.Equal(d.Resolve("archives", "GET", "/curves/2031", "").Rank, "archive")
}

// TestTePunaHours checks that the rank archive has no guaranteed share at the morning
// peak, and its largest share overnight.
func TestTePunaHours(t *testing.T) {
	is := is.New(t)
	d := load(t, "te-puna.json")
	zone, err := time.LoadLocation("Pacific/Auckland")
	is.NoErr(err)
	archive := d.RankIndex("archive")
	at := func(hour, minute int) float64 {
		return d.SharesAt("archives", time.Date(2031, 7, 5, hour, minute, 0, 0, zone))[archive]
	}
	is.Equal(at(4, 59), 0.4)
	is.Equal(at(5, 0), 0.0)
	is.Equal(at(10, 29), 0.0)
	is.Equal(at(12, 0), 0.05)
	is.Equal(at(23, 0), 0.4)
}

// TestAssociation checks the effective settings of association.json.
func TestAssociation(t *testing.T) {
	is := is.New(t)
	d := load(t, "association.json")
	is.Equal(protected(d), []string{"live", "paid"})
	is.Equal(len(d.Services()), 4)
	is.Equal(d.ServiceValues("console").Slots, 15)
	is.Equal(d.ServiceValues("console").Connections, 200)
	booking := d.Resolve("bookings", "POST", "/shout-outs", "")
	is.Equal(booking.Rank, "paid")
	is.True(!booking.IsIdempotent("POST"))
	is.Equal(d.Resolve("console", "GET", "/on-air", "").Rank, "live")
	is.Equal(d.Resolve("requests", "POST", "/songs", "").Rank, "listener")
	is.Equal(d.Resolve("requests", "POST", "/songs", "live").Rank, "listener") // a request cannot raise its rank
	is.Equal(d.Resolve("downloads", "GET", "/jingles", "").Rank, "sponsor")
}
