// Command sesameledged is part of sesameledge.
package main

func main() {}
