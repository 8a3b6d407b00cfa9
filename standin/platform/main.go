// Command platform is a stand-in for the platform.
package main

func main() {}
