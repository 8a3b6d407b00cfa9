// Command sesameledge is part of sesameledge.
package main

func main() {}
