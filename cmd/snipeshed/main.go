// Command snipeshed runs an instance and the operators' commands.
package main

import (
	"os"

	"snipeshed/cli"
)

func main() { os.Exit(cli.Main(os.Args, os.Stdout, os.Stderr)) }
