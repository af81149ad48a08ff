// Package vet checks a routing configuration before it is submitted, and compares it with the one in force.
package vet
