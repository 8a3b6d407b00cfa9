// Command sesameledge is the command-line tool for operators and callers. Package command
// implements it.
package main

import (
	"os"

	"sesameledge.dev/sesameledge/command"
)

func main() {
	info, err := os.Stderr.Stat()
	terminal := err == nil && info.Mode()&os.ModeCharDevice != 0
	env := command.Env{In: os.Stdin, Out: os.Stdout, Err: os.Stderr, Terminal: terminal}
	os.Exit(command.Main(os.Args[1:], env))
}
