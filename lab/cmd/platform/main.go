// Command platform simulates the key-value store of the platform.
package main

import (
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"time"

	"fuchsiavane.org/lab/platformsim"
	"fuchsiavane.org/node/kv/memstore"
)

func main() {
	listen := flag.String("listen", "127.0.0.1:7499", "`address` to serve at")
	flag.Parse()
	listener, err := net.Listen("tcp", *listen)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	fmt.Printf("platform at http://%s\n", listener.Addr())
	server := &http.Server{Handler: platformsim.New(memstore.New()), ReadHeaderTimeout: 5 * time.Second}
	fmt.Fprintln(os.Stderr, server.Serve(listener))
	os.Exit(1)
}
