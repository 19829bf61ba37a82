// Command fireflypind has no function yet.
package main

func main() {}
