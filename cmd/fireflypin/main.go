// Command fireflypin has no function yet.
package main

func main() {}
