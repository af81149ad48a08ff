// Package cmds holds the commands of the standin binary.
package cmds
