// Package bench measures what relaying through snipeshed adds to calling a stand-in runner directly, in one run.
package bench
