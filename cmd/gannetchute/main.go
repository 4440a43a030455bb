// Command gannetchute is the query broker and its command line.
package main

import (
	"os"

	"onyxsail/cli"
)

func main() { os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr)) }
