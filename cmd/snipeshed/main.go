// Command snipeshed runs instances and contains the operators' commands.
package main

import (
	"os"

	"snipeshed/cmds"
)

func main() { os.Exit(cmds.Main(os.Args, os.Stdout, os.Stderr)) }
