// Package stand groups the stand-ins of the systems around snipeshed: object API, instance list, model runner and application runner.
package stand
