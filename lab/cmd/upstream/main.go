// Command upstream simulates an upstream.
package main

import (
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"fuchsiavane.org/lab/upstreamsim"
)

func main() {
	listen := flag.String("listen", "127.0.0.1:7498", "`address` to serve at")
	work := flag.Duration("work", 0, "`duration` of the work on a request")
	local := flag.String("local", "", "base `URL` of the daemon's local port")
	next := flag.String("next", "", "`services` called for each request, separated by commas")
	flag.Parse()
	config := upstreamsim.Config{Work: *work, Local: *local}
	if *next != "" {
		config.Next = strings.Split(*next, ",")
	}
	listener, err := net.Listen("tcp", *listen)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	fmt.Printf("upstream at http://%s\n", listener.Addr())
	server := &http.Server{Handler: upstreamsim.New(config), ReadHeaderTimeout: 5 * time.Second}
	fmt.Fprintln(os.Stderr, server.Serve(listener))
	os.Exit(1)
}
