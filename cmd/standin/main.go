// Command standin runs the stand-ins of the systems around snipeshed, the demo and the benchmarks.
package main

import (
	"os"

	"snipeshed/stand/cmds"
)

func main() { os.Exit(cmds.Main(os.Args, os.Stdout, os.Stderr)) }
