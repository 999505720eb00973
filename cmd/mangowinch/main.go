// Command mangowinch is the load balancer's one program; see package verbs.
package main

import (
	"os"

	"mangowinch/internal/oper/verbs"
)

func main() {
	os.Exit(verbs.Main(os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
}
