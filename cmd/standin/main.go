// Command standin runs stand-ins for the systems that snipeshed depends on, the demo and the benchmarks.
package main

import (
	"os"

	"snipeshed/stand/cmds"
)

func main() { os.Exit(cmds.Main(os.Args, os.Stdout, os.Stderr)) }
