// Command verdict reads the output of go test -json, prints the output of failed tests, and reports in its exit code
// whether the run passes: known failures are tolerated, as package known defines. It does not run tests itself.
//
// # Usage
//
//	verdict -known KNOWN-RED.txt -events FILE -status CODE
package main

import (
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/cockroachdb/errors"

	"mangowinch/internal/oper/known"
)

func main() {
	list := flag.String("known", "KNOWN-RED.txt", "list of tests that are known to fail; need not be there")
	events := flag.String("events", "", "output of go test -json")
	status := flag.Int("status", 0, "exit code of go test")
	flag.Parse()
	pass, err := judge(*list, *events, *status)
	if err != nil {
		fmt.Fprintf(os.Stderr, "verdict: %v\n", err)
		os.Exit(2)
	}
	if !pass {
		os.Exit(1)
	}
}

func judge(list, events string, status int) (pass bool, err error) {
	text, err := os.ReadFile(list)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return false, err
	}
	knownFailures, err := known.Parse(string(text))
	if err != nil {
		return false, err
	}
	f, err := os.Open(events)
	if err != nil {
		return false, err
	}
	defer f.Close()
	verdict, err := known.Judge(f, status, knownFailures)
	if err != nil {
		return false, err
	}
	if _, err := f.Seek(0, io.SeekStart); err != nil {
		return false, err
	}
	if err := known.Show(f, os.Stdout); err != nil {
		return false, err
	}
	verdict.Print(os.Stdout)
	return verdict.Pass(), nil
}
