// Package stand groups the stand-ins (simulations) of the systems around snipeshed, such as the object API, the instance list,
// model runners and application runners, and the test clients and benchmarks that use them.
package stand
