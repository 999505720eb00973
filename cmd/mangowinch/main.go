// Command mangowinch is the load balancer's only program: it runs entries and agents, and has the operator's commands.
// Package verbs implements them.
//
// # Usage
//
//	mangowinch entry --settings FILE
//	mangowinch agent --settings FILE
package main

import (
	"os"

	"mangowinch/internal/oper/verbs"
)

func main() {
	os.Exit(verbs.Main(os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
}
