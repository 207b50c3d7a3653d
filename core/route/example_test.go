package route_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"fuchsiavane.org/core/route"
)

func ExamplePicker() {
	now := time.Date(2026, 1, 5, 6, 0, 0, 0, time.UTC)
	p := route.NewPicker(route.Locality{Instance: "bench-1", Region: "south", DataCentre: "south-1"})
	p.Update(now, []route.Peer{
		{ID: "registry-1", Service: "registry", Region: "south", DataCentre: "south-1"},
		{ID: "registry-2", Service: "registry", Region: "north", DataCentre: "north-1"},
	})
	c, _ := p.Pick(now, route.Query{Service: "registry", CrossRegion: true}, rand.New(rand.NewPCG(1, 1)))
	fmt.Println(c.ID, c.CrossRegion)
	p.Done(now.Add(20*time.Millisecond), "registry", c.ID, route.Result{Latency: 20 * time.Millisecond})
	// Output: registry-1 false
}
