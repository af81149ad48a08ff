// Package cmds holds the commands of the snipeshed binary.
package cmds
