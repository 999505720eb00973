// Command standin stands in for the platform, the fabric and backend servers in tests and demos.
package main

func main() {}
