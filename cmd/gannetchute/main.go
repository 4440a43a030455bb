// Command gannetchute is the broker.
package main

import (
	"os"

	"onyxsail/cli"
)

func main() { os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr)) }
