// Command mangowinch is the load balancer's one program; see package verbs.
package main

func main() {}
