//go:build review

// Command standin2 runs the scripted cases of the second review: it starts entries and agents as separate processes on
// loopback and plays callers, routers, servers, the operator and the platform's store for them.
//
// # Usage
//
//	standin2 CASE FOLDER
//
// CASE is a name in cases.go. The record is written to record.txt in FOLDER. With TROUBLE=0 in the environment the same
// is done without the disruption. The exit status is 1 if the rule was broken, 0 if it held, and 2 if the case couldn't
// run.
package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
)

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE FOLDER")
		os.Exit(2)
	}
	broken, err := run(cases[os.Args[1]], os.Args[2])
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		os.Exit(2)
	case broken:
		os.Exit(1)
	}
}

// play is one case. It returns a line on what was judged.
type play func(w *world, trouble bool) (judged string, err error)

func run(p play, folder string) (broken bool, err error) {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return false, err
	}
	defer file.Close()
	out := bufio.NewWriter(file)
	defer out.Flush()
	temporary, err := os.MkdirTemp("", "mangowinch-review-")
	if err != nil {
		return false, err
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(temporary)
	} else {
		fmt.Println("logs are kept in", temporary)
	}
	w, err := newWorld(temporary, out)
	if err != nil {
		return false, err
	}
	trouble := os.Getenv("TROUBLE") != "0"
	w.note("trouble:", trouble)
	judged, err := p(w, trouble)
	w.close()
	if err != nil {
		return false, err
	}
	w.note(judged)
	fmt.Println(judged)
	for _, v := range w.violations {
		w.note("BROKEN", v)
	}
	if n := len(w.violations); n > 0 {
		fmt.Printf("%d times broken, first: %s\n", n, w.violations[0])
	}
	return len(w.violations) > 0, nil
}

// encode returns v as JSON.
func encode(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}
