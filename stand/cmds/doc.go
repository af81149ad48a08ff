// Package cmds implements the command line of the standin binary.
package cmds
