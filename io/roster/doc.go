// Package roster reads the platform's instance list.
package roster
