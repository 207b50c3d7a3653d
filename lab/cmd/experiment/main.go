// Command experiment measures overload control under load and writes the report; see
// lab/experiment.
package main

import (
	"bytes"
	"flag"
	"fmt"
	"os"

	"fuchsiavane.org/lab/experiment"
)

func main() {
	seed := flag.Uint64("seed", 1, "`seed` of the runs")
	path := flag.String("out", "", "`file` to write; standard output if empty")
	flag.Parse()
	if err := run(*seed, *path); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// run writes the report to a file, or to standard output if path is empty.
func run(seed uint64, path string) error {
	command := fmt.Sprintf("go run ./lab/cmd/experiment -seed %d -out docs/measurements/overload.md", seed)
	var b bytes.Buffer
	if err := experiment.Report(&b, seed, command); err != nil {
		return err
	}
	if path == "" {
		_, err := os.Stdout.Write(b.Bytes())
		return err
	}
	return os.WriteFile(path, b.Bytes(), 0o644)
}
