// Package edges runs instances of the snipeshed edge command, and engines that crash, as separate processes on loopback.
package edges
